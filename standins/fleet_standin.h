// Stand-in for what surrounds an entry VM on the users' platform: the store and a few backend
// servers, in one process. Speaks the platform's published forms; knows nothing of cowsliphill.
//
// The store: GET /-/rows-get, GET /-/rows-feed (held up to wait-ms, 410 when history is gone).
// Control, on the store's address, untouched by faults:
//   PUT /control/row?table=T&key=K     body: the row's value
//   DELETE /control/row?table=T&key=K
//   PUT /control/store?mode=ok|slow|busy|silent|reset&slow_ms=MS
//   POST /control/compact              forgets the history
//   PUT
//   /control/server?name=N&mode=ok|shed|hang|error|cut|other|stray|stream&work_ms=MS&slowdown=PERCENT
//     stream: the answer begins at once and its body takes the time of the work
//   GET /control/journal               [{"request","server","ended"}], in order of their starts
//   GET /control/counts                {"reads": N}
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
  Endpoint listen{"127.0.0.1", 0};  // Of the store.
  size_t servers = 3;
  uint32_t slots = 3;
  std::chrono::milliseconds work{5};
  std::string service = "service-a";
  std::string failure_domain = "place-a";
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
