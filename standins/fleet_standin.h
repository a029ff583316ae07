// Stand-in for the users' platform, which entry VMs use with platform.kind = "store": the store and
// a few backend servers in one process. It speaks the platform's published wire format and contains
// nothing of cowsliphill. platform_standin.h imitates the platform of kind "http".
//
// The store answers GET /-/rows-get and GET /-/rows-feed. The feed is a long poll of up to wait-ms.
// It lists a row that was written several times once for each write, and answers 410 if the
// requested history has been compacted or the version asked for does not exist. All answers have
// the header Store-Era. Control requests go to the store's address and are not
// subject to faults:
//   PUT /control/row?table=T&key=K     the body is the row's value
//   DELETE /control/row?table=T&key=K
//   PUT /control/store?mode=ok|slow|busy|silent|reset&slow_ms=MS&bytes_per_s=N
//     bytes_per_s: bandwidth of each answer; 0 or absent: unlimited
//   POST /control/copy                 copies the rows and the version of the store
//   POST /control/restore              the store is back from that copy: what was written since is
//                                      gone, versions are given out again, Store-Era rises by one
//   POST /control/compact              discards the history of changes
//   PUT /control/server?name=N&mode=MODE&work_ms=MS&slowdown=PERCENT&limit=N
//     ok: executes the request and answers 200; with all slots busy, refuses as in mode shed (so do
//         the modes below, except hang)
//     shed: refuses with 503 and X-Not-Executed, without executing
//     hang: neither executes nor answers
//     error: executes, then answers 500
//     cut: executes, then closes the connection without an answer
//     stray: executes, then answers with an X-Request-Id that is not the request's
//     stream: the answer starts at once and its body is sent over the execution time
//     limit: the answers name a Server-Limit of N requests a second (a decimal number); 0: none
//   PUT /control/server?name=N&leaving=1   all answers state Server-Leaving, until the next crash
//   PUT /control/server?name=N&pause=S     refuses all requests with 503 and a Retry-After of S
//                                          seconds (a decimal number); 0: no longer
//   PUT /control/crash?name=N          the server crashes at once
//   PUT /control/link?from=IP&mode=ok|silent|reset|refuse[&name=N]
//                                      the path from this address to all servers, or to one; needs
//                                      FleetOptions::links, see link.h
//   GET /control/arrivals              [{"request","server","at_ms","leaving","pause_ms"}], also of
//                                      refused requests, but not of probes; "leaving" and
//                                      "pause_ms": what the answer states
//   GET /control/journal               [{"request","server","ended"}], in the order of their starts
//   GET /control/counts                {"reads": N}
//
// A request whose path contains "poison" crashes the server that runs it, after its execution time.
// A server that has crashed refuses connections for FleetOptions::down and is then back at its
// address under a new id (s-0.1, s-0.2, ...). Its old row lapses at that time.
//
// Backend servers are named s-0, s-1, ... and registered in table `servers`.

#ifndef COWSLIPHILL_STANDINS_FLEET_STANDIN_H_
#define COWSLIPHILL_STANDINS_FLEET_STANDIN_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/ids.h"

namespace asio {
class io_context;
}

namespace cowsliphill::standins {

struct FleetOptions {
  Endpoint listen{"127.0.0.1", 0};  // Address of the store.
  size_t servers = 3;
  uint32_t slots = 3;
  std::chrono::milliseconds work{5};
  std::chrono::milliseconds down{1500};  // Time from a crash until the server is back.
  std::string service = "service-a";
  std::string failure_domain = "place-a";
  bool links = false;  // Servers are reached through links (link.h), which can be cut.
};

class FleetStandin {
 public:
  FleetStandin(asio::io_context& loop, const Clock& clock, const FleetOptions& options);
  ~FleetStandin();
  Endpoint StoreAddress() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace cowsliphill::standins

#endif  // COWSLIPHILL_STANDINS_FLEET_STANDIN_H_
