// The peer transport: requests between entry VMs over HTTP/2, one connection per ordered pair.
//
// A connection begins with `POST /peer/hello`, in which both ends give their id and a nonce; every
// further request is `POST /peer/<kind>` with an authenticator over both nonces, the stream and
// the payload, and so is its answer. Whatever isn't right is refused, counted and changes nothing.
//
// A connection on which a request gets no answer, nor anything else, within the timeout counts as
// silent: it is closed and the next request opens a new one. Requests aren't repeated here.

#ifndef COWSLIPHILL_MEMBERS_PEER_TRANSPORT_H_
#define COWSLIPHILL_MEMBERS_PEER_TRANSPORT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/base/result.h"
#include "src/members/peer.h"
#include "src/settings/settings.h"

namespace asio {
class io_context;
}

namespace cowsliphill {

struct PeerLimits {
  std::chrono::milliseconds request_timeout{1000};   // From Request to its answer.
  std::chrono::milliseconds connect_timeout{300};    // Of which the hello's answer is a part. The
                                                     // first packet to a machine that is off is
                                                     // sent again only after a second.
  std::chrono::milliseconds idle_timeout{180000};    // Unused connections are closed after this.
  std::chrono::milliseconds first_back_off{100};     // After a failed connect; doubles.
  std::chrono::milliseconds longest_back_off{1000};  // Upper bound of the back-off.
  uint32_t max_payload_bytes = 1 << 20;              // Of one request or answer.
  uint32_t max_streams = 32;                         // Requests open at the same time, per peer.
  uint32_t max_queue = 64;                           // Requests waiting, per peer.
  uint32_t max_connections = 256;                    // Each way; the one idle longest goes first.
};

struct PeerStats {
  uint64_t bytes_in = 0;               // On sockets, without TCP and IP headers.
  uint64_t bytes_out = 0;              // The same, sent.
  uint64_t requests_out = 0;           // Sent.
  uint64_t requests_in = 0;            // Accepted and given to a handler.
  uint64_t timeouts = 0;               // Requests without an answer in time.
  uint64_t unreachable = 0;            // Requests not sent.
  uint64_t connections_out = 0;        // Opened.
  uint64_t connections_in = 0;         // Accepted.
  uint64_t silent_connections = 0;     // Closed because nothing came any more.
  uint64_t refused_authenticator = 0;  // Messages with a wrong authenticator, or none.
  uint64_t refused_kind = 0;           // Requests of an unknown kind.
  uint64_t refused_version = 0;        // Requests of another protocol version.
  uint64_t refused_size = 0;           // Messages over max_payload_bytes.
  uint64_t refused_by_peer = 0;        // Our requests that a peer refused.
};

struct PeerListenError {
  Endpoint endpoint;   // Where it tried to listen.
  std::string detail;  // In the operating system's words.
};

class PeerNode {
 public:
  using Done = std::function<void(Result<std::string, PeerError>)>;
  using Handler = std::function<std::string(const EntryVmId& from, const std::string& payload)>;

  PeerNode(asio::io_context& loop, const Clock& clock, EntryVmId self, PeerSettings settings,
           PeerLimits limits = {});
  ~PeerNode();
  PeerNode(const PeerNode&) = delete;
  PeerNode& operator=(const PeerNode&) = delete;

  // Starts to accept on settings.listen; gives the endpoint with the port in use (port 0: any).
  Result<Endpoint, PeerListenError> Listen();

  // `done` runs exactly once, never inside the call, unless the node is destroyed first.
  void Request(Endpoint to, MessageKind kind, std::string payload, Done done);
  // What answers requests of a kind. Replaces an earlier handler.
  void Handle(MessageKind kind, Handler handler);

  PeerStats Stats() const;
  size_t OpenConnections() const;  // Both ways.

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

static_assert(PeerTransport<PeerNode>);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_PEER_TRANSPORT_H_
