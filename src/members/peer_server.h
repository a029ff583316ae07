// Server side of the peer transport: accepts connections from other entry VMs and passes their
// requests to the registered handlers.

#ifndef COWSLIPHILL_MEMBERS_PEER_SERVER_H_
#define COWSLIPHILL_MEMBERS_PEER_SERVER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "src/base/clock.h"
#include "src/members/http2_connection.h"
#include "src/members/peer_auth.h"
#include "src/members/peer_transport.h"

namespace cowsliphill {

class PeerServer {
 public:
  PeerServer(asio::io_context& loop, const Clock& clock, EntryVmId self,
             const PeerAuthenticator& authenticator, const PeerLimits& limits, PeerStats& stats,
             TrafficStats& traffic);
  ~PeerServer();

  Result<Endpoint, PeerListenError> Listen(const Endpoint& endpoint);
  void Handle(MessageKind kind, PeerNode::Handler handler);
  void HandleTunnels(PeerNode::TunnelHandler handler) { tunnel_handler_ = std::move(handler); }
  // Closes idle connections, and resumes accepting after an error of accept. To be called about
  // every second.
  void Tick();
  size_t OpenConnections() const { return clients_.size(); }

 private:
  struct Client {
    std::shared_ptr<Http2Connection> connection;
    EntryVmId id;              // From its hello; unproven until its first valid authenticator.
    std::string client_nonce;  // Empty until its hello arrives.
    std::string server_nonce;
    MonotonicTime last_used;
  };
  using ClientIt = std::list<Client>::iterator;

  void Accept();
  void AddClient(asio::ip::tcp::socket socket);
  void HandleRequest(Client& client, int32_t stream, const Http2Message& request);
  void HandleHello(Client& client, int32_t stream, const Http2Message& request);
  void HandleMessage(Client& client, int32_t stream, const Http2Message& request);
  void HandleTunnelRequest(Client& client, int32_t stream, const Http2Message& request);
  static void Refuse(Client& client, int32_t stream, int status);

  asio::io_context& loop_;
  const Clock& clock_;
  EntryVmId self_;
  const PeerAuthenticator& authenticator_;
  PeerLimits limits_;
  PeerStats& stats_;
  TrafficStats& traffic_;
  asio::ip::tcp::acceptor acceptor_;
  std::map<std::string, PeerNode::Handler> handlers_;  // By URL path.
  PeerNode::TunnelHandler tunnel_handler_;
  std::list<Client> clients_;   // A list, so that iterators held by callbacks stay valid.
  bool accept_failed_ = false;  // Accept failed, for example for lack of file descriptors.
  // Expires with this object; pending callbacks check it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_PEER_SERVER_H_
