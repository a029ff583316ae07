// Client side of the peer transport: opens connections to other entry VMs and sends requests on
// them.

#ifndef COWSLIPHILL_MEMBERS_PEER_CLIENT_H_
#define COWSLIPHILL_MEMBERS_PEER_CLIENT_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "src/base/clock.h"
#include "src/members/http2_connection.h"
#include "src/members/peer_auth.h"
#include "src/members/peer_transport.h"

namespace cowsliphill {

class PeerClient {
 public:
  PeerClient(asio::io_context& loop, const Clock& clock, EntryVmId self,
             const PeerAuthenticator& authenticator, const PeerLimits& limits, PeerStats& stats,
             TrafficStats& traffic);
  ~PeerClient();

  void Request(const Endpoint& to, MessageKind kind, std::string payload, PeerNode::Done done);
  void OpenTunnel(const Endpoint& to, TunnelRequest request, PeerNode::TunnelDone done);
  // Ends requests that timed out, and closes unresponsive and idle connections. Returns when it
  // must be called next; Request may make that earlier, but not sooner than a timeout after its
  // call.
  MonotonicTime Tick();
  size_t OpenConnections() const;

 private:
  struct Pending {
    std::string path;
    std::string payload;
    PeerNode::Done done;
    MonotonicTime requested_at;  // When Request was called; the request timeout starts here.
  };
  // A tunnel that was asked for and is not open yet.
  struct PendingTunnel {
    TunnelRequest request;
    PeerNode::TunnelDone done;
    MonotonicTime requested_at;
    std::shared_ptr<Http2Tunnel> tunnel;  // Null until the request was sent.
  };
  // The connection to one peer, if any, and the requests to that peer.
  struct Peer {
    std::shared_ptr<asio::ip::tcp::socket> connecting;  // Set while the TCP connect is pending.
    std::shared_ptr<Http2Connection> connection;        // Set once the TCP connect succeeded.
    uint64_t generation = 0;                            // Identifies the connection; 0: none.
    MonotonicTime connect_start;                        // When the TCP connect began.
    EntryVmId id;                                       // The peer's id, from its hello response.
    std::string client_nonce;
    std::string server_nonce;
    bool handshake_done = false;             // The hello response arrived; requests may be sent.
    std::deque<Pending> queue;               // Requests not sent yet.
    std::map<int32_t, Pending> in_flight;    // Requests sent, by stream number.
    std::deque<PendingTunnel> tunnel_queue;  // Requests for tunnels not sent yet.
    std::map<int32_t, PendingTunnel> opening_tunnels;  // Those sent, by stream number.
    MonotonicTime last_used;                           // Time of the last call of Request.
    MonotonicTime last_response;                       // Time of the last response.
    MonotonicTime earliest_reconnect;  // Earliest time of a connect after a failed one.
    std::chrono::milliseconds backoff{0};
  };

  void Connect(const Endpoint& to, Peer& peer);
  void OnConnected(const Endpoint& to, Peer& peer);
  void OnResponse(const Endpoint& to, Peer& peer, int32_t stream, const Http2Message& response);
  void OnHelloResponse(const Endpoint& to, Peer& peer, const Http2Message& response);
  void SendQueued(Peer& peer);
  void Send(Peer& peer, Pending pending);
  // Returns the entry of the peer if a request to it may be sent or queued now, else null.
  Peer* PeerForRequest(const Endpoint& to);
  void SendTunnelRequest(Peer& peer, PendingTunnel pending);
  void OnTunnelAnswer(Peer& peer, int32_t stream, int status);
  void FinishTunnel(PeerNode::TunnelDone done,
                    Result<std::shared_ptr<Http2Tunnel>, TunnelError> result);
  // Removes what waits for longer than the request timeout. Returns whether the connection was
  // silent meanwhile.
  bool ExpireTunnelRequests(Peer& peer, MonotonicTime cutoff);
  void OnRequestResponse(const Endpoint& to, Peer& peer, Pending pending, int32_t stream,
                         const Http2Message& response);
  void OnConnectFailure(Peer& peer);
  void Disconnect(Peer& peer, PeerError in_flight_error);
  void ExpireRequests(Peer& peer, MonotonicTime now);
  bool IsRemovable(const Peer& peer, MonotonicTime now) const;
  MonotonicTime NextTimeout(const Peer& peer) const;
  void EvictLeastRecentlyUsed();
  void Finish(PeerNode::Done done, Result<std::string, PeerError> result);
  Peer* FindPeer(const Endpoint& to, uint64_t generation);

  asio::io_context& loop_;
  const Clock& clock_;
  EntryVmId self_;
  const PeerAuthenticator& authenticator_;
  PeerLimits limits_;
  PeerStats& stats_;
  TrafficStats& traffic_;
  std::map<Endpoint, Peer> peers_;
  uint64_t last_generation_ = 0;
  // Expires with this object; pending callbacks check it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_PEER_CLIENT_H_
