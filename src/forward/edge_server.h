// Where callers connect: accepts connections, reads requests one after the other from each, answers
// lookups itself and gives every other request to an Exchange.

#ifndef COWSLIPHILL_FORWARD_EDGE_SERVER_H_
#define COWSLIPHILL_FORWARD_EDGE_SERVER_H_

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "src/forward/exchange.h"
#include "src/forward/forward_context.h"
#include "src/forward/http_stream.h"

namespace cowsliphill {

// One caller's connection. Owned by its pending operations and by the server's set.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(ForwardContext& context, HttpStream::Socket socket,
                   std::function<void(CallerConnection&)> on_closed);

  void Start();
  void Abort();
  // Closes it if no request is open on it; else it closes after the open one.
  void CloseWhenIdle();

 private:
  void ReadRequest();
  void OnHead(const HttpEvent& event);
  void AnswerLookup(const HttpHead& head);
  void DiscardBody(std::function<void()> done);
  void RefuseMalformed(const HttpError& error);
  void OnExchangeDone(ConnectionAction fate);
  void Finish(ConnectionAction fate);

  ForwardContext& context_;
  std::shared_ptr<HttpStream> stream_;
  std::string caller_ip_;                             // As the socket has it.
  std::function<void(CallerConnection&)> on_closed_;  // Called once.
  std::shared_ptr<Exchange> exchange_;                // The open request.
  asio::steady_timer idle_timer_;                     // Runs between requests.
};

class EdgeServer {
 public:
  explicit EdgeServer(ForwardContext& context);
  ~EdgeServer();

  // Binds to the settings' address. Port 0 takes any free one. Returns what went wrong, or "".
  std::string Listen(const Endpoint& listen);
  Endpoint LocalEndpoint() const;

  // Takes no new connections; idle ones close, busy ones close after their request.
  void StopAccepting();
  // Ends every connection at once.
  void AbortAll();

  size_t OpenConnections() const { return connections_.size(); }
  uint64_t RefusedConnections() const { return refused_; }

 private:
  void Accept();
  void OnAccepted(HttpStream::Socket socket);

  ForwardContext& context_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;  // After a failed accept, for example with no descriptors left.
  std::set<std::shared_ptr<CallerConnection>> connections_;
  uint64_t refused_ = 0;  // Connections closed at once because of max_connections.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_EDGE_SERVER_H_
