// The peer transport: requests between entry VMs over HTTP/2, and tunnels through them to backend
// servers; one connection per ordered pair.
//
// A connection begins with `POST /peer/hello`, in which both ends exchange their ids and a nonce
// each. Every further request is `POST /peer/<kind>`; it and its response carry an authenticator
// (see peer_auth.h). A message that fails a check is refused and counted, and is not processed.
//
// If a request times out and no response at all has arrived on its connection since it was made,
// the connection counts as silent: it is closed, and the next request opens a new one. The
// transport doesn't retry requests. A tunnel is opened by CONNECT, with an authenticator as a
// request has; its bytes are not covered. The loss of a connection breaks its tunnels.

#ifndef COWSLIPHILL_MEMBERS_PEER_TRANSPORT_H_
#define COWSLIPHILL_MEMBERS_PEER_TRANSPORT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/base/result.h"
#include "src/members/http2_tunnel.h"
#include "src/members/peer.h"
#include "src/settings/settings.h"

namespace asio {
class io_context;
}

namespace cowsliphill {

struct PeerLimits {
  std::chrono::milliseconds request_timeout{1000};   // From the call of Request to the response.
  std::chrono::milliseconds connect_timeout{300};    // For the TCP connect and the hello response.
                                                     // Shorter than the second after which TCP
                                                     // retransmits the first packet to a machine
                                                     // that is off.
  std::chrono::milliseconds timeout_resolution{50};  // A timeout may be noticed this much later.
  // Unused connections are closed after this time. Among hundreds of entry VMs a connection is
  // seldom used again, and each costs memory at both ends.
  std::chrono::milliseconds idle_timeout{30000};
  std::chrono::milliseconds initial_backoff{100};  // After a failed connect; doubles each time.
  std::chrono::milliseconds max_backoff{1000};     // Upper bound of the backoff.
  uint32_t max_payload_bytes = 1 << 20;            // Maximum size of a request or reply.
  uint32_t max_streams = 32;                       // Maximum number of requests in flight per peer.
  uint32_t max_queue = 64;  // Maximum number of requests waiting to be sent, per peer.
  // Maximum number of connections per direction. At the limit, the least recently used connection
  // is closed for a new one.
  uint32_t max_connections = 256;
};

struct PeerStats {
  uint64_t bytes_in = 0;               // Received on sockets, without TCP and IP headers.
  uint64_t bytes_out = 0;              // Sent on sockets, without TCP and IP headers.
  uint64_t requests_out = 0;           // Requests sent.
  uint64_t requests_in = 0;            // Requests accepted and passed to a handler.
  uint64_t timeouts = 0;               // Requests sent that ended without a reply.
  uint64_t unreachable = 0;            // Requests that could not be sent.
  uint64_t connections_out = 0;        // Connections opened to peers.
  uint64_t connections_in = 0;         // Connections accepted.
  uint64_t silent_connections = 0;     // Connections closed as silent (see above).
  uint64_t refused_authenticator = 0;  // Messages with a wrong or missing authenticator.
  uint64_t refused_kind = 0;           // Requests of an unknown kind.
  uint64_t refused_version = 0;        // Requests of another protocol version.
  uint64_t refused_size = 0;           // Messages over max_payload_bytes.
  uint64_t refused_by_peer = 0;        // Requests of this entry VM that a peer refused.
};

struct PeerListenError {
  Endpoint endpoint;   // Endpoint that could not be bound.
  std::string detail;  // Error message of the operating system.
};

class PeerNode {
 public:
  using Done = std::function<void(Result<std::string, PeerError>)>;
  using Handler = std::function<std::string(const EntryVmId& from, const std::string& payload)>;
  using TunnelDone = std::function<void(Result<std::shared_ptr<Http2Tunnel>, TunnelError>)>;
  // Accepts the tunnel, or refuses it with an error. The first call counts.
  using TunnelAnswer =
      std::function<std::shared_ptr<Http2Tunnel>(const std::optional<TunnelError>& error)>;
  using TunnelHandler =
      std::function<void(const EntryVmId& from, const TunnelRequest&, const TunnelAnswer&)>;

  PeerNode(asio::io_context& loop, const Clock& clock, EntryVmId self, PeerSettings settings,
           PeerLimits limits = {});
  ~PeerNode();
  PeerNode(const PeerNode&) = delete;
  PeerNode& operator=(const PeerNode&) = delete;

  // Starts accepting on settings.listen. Returns the endpoint with the actual port, which the
  // operating system chooses if the settings have port 0.
  Result<Endpoint, PeerListenError> Listen();

  // `done` runs exactly once and never inside this call; it doesn't run if the node is destroyed
  // first.
  void Request(Endpoint to, MessageKind kind, std::string payload, Done done);
  // Sets the handler for requests of a kind, replacing any earlier one.
  void Handle(MessageKind kind, Handler handler);
  // Asks the entry VM at `to` for a tunnel. `done` runs as that of Request does; without an answer
  // within PeerLimits::request_timeout it gets kNotOpened.
  void OpenTunnel(Endpoint to, TunnelRequest request, TunnelDone done);
  // Sets the handler for requests for tunnels. Without one they are refused.
  void HandleTunnels(TunnelHandler handler);

  PeerStats Stats() const;
  size_t OpenConnections() const;  // In both directions.

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

static_assert(PeerTransport<PeerNode>);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_PEER_TRANSPORT_H_
