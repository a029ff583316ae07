// The asking half of the peer transport: connections to other entry VMs and requests on them.

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
  // Ends requests whose time is up, and closes silent and idle connections.
  void Tick();
  size_t OpenConnections() const;

 private:
  struct Pending {
    std::string path;
    std::string payload;
    PeerNode::Done done;
    MonotonicTime sent;  // When it was asked for, and from when its answer is awaited.
  };
  // One peer: its connection, if any, and the requests to it.
  struct Peer {
    std::shared_ptr<asio::ip::tcp::socket> connecting;  // Set while connecting.
    std::shared_ptr<Http2Connection> connection;        // Set once connected.
    uint64_t generation = 0;                            // Number of the connection.
    MonotonicTime opened;                               // When connecting began.
    EntryVmId id;                                       // Set by the answer to our hello.
    std::string client_nonce;
    std::string server_nonce;
    bool greeted = false;             // Requests may be sent.
    std::deque<Pending> queue;        // Not sent yet.
    std::map<int32_t, Pending> open;  // Sent, by stream.
    MonotonicTime last_used;          // Last request.
    MonotonicTime last_heard;         // Last answer.
    MonotonicTime next_connect;       // Not before this, after a failed connect.
    std::chrono::milliseconds back_off{0};
  };

  void Connect(const Endpoint& to, Peer& peer);
  void Connected(const Endpoint& to, Peer& peer);
  void Arrived(const Endpoint& to, Peer& peer, int32_t stream, const Http2Message& answer);
  void Greeted(const Endpoint& to, Peer& peer, const Http2Message& answer);
  void SendQueued(Peer& peer);
  void Send(Peer& peer, Pending pending);
  void ReadAnswer(const Endpoint& to, Peer& peer, Pending pending, int32_t stream,
                  const Http2Message& answer);
  void ConnectFailed(Peer& peer);
  void Drop(Peer& peer, PeerError of_open);
  void Expire(Peer& peer, MonotonicTime now);
  bool Idle(const Peer& peer, MonotonicTime now) const;
  void MakeRoom();
  void Finish(PeerNode::Done done, Result<std::string, PeerError> result);
  Peer* Current(const Endpoint& to, uint64_t generation);

  asio::io_context& loop_;
  const Clock& clock_;
  EntryVmId self_;
  const PeerAuthenticator& authenticator_;
  PeerLimits limits_;
  PeerStats& stats_;
  TrafficStats& traffic_;
  std::map<Endpoint, Peer> peers_;
  uint64_t last_generation_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // Expires with this object.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_PEER_CLIENT_H_
