// The answering half of the peer transport.

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
  // Closes connections that were idle for too long; accepts again after an error.
  void Tick();
  size_t OpenConnections() const { return clients_.size(); }

 private:
  struct Client {
    std::shared_ptr<Http2Connection> connection;
    EntryVmId id;              // As given in its hello; proved by its first authenticator.
    std::string client_nonce;  // Empty until its hello.
    std::string server_nonce;
    MonotonicTime last_used;
  };
  using ClientIt = std::list<Client>::iterator;

  void Accept();
  void Admit(asio::ip::tcp::socket socket);
  void Answer(Client& client, int32_t stream, const Http2Message& request);
  void AnswerHello(Client& client, int32_t stream, const Http2Message& request);
  void AnswerKind(Client& client, int32_t stream, const Http2Message& request);
  static void Refuse(Client& client, int32_t stream, int status);

  asio::io_context& loop_;
  const Clock& clock_;
  EntryVmId self_;
  const PeerAuthenticator& authenticator_;
  PeerLimits limits_;
  PeerStats& stats_;
  TrafficStats& traffic_;
  asio::ip::tcp::acceptor acceptor_;
  std::map<std::string, PeerNode::Handler> handlers_;  // By path.
  std::list<Client> clients_;                          // Addresses stay valid.
  bool accept_failed_ = false;                         // For example out of file descriptors.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // Expires with this object.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_PEER_SERVER_H_
