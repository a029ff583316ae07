// Server for the callers' connections. Accepts connections, reads the requests of a connection one
// at a time, serves lookups itself and passes every other request to an Exchange.

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

// One caller's connection. Its pending operations and EdgeServer::connections_ share ownership.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(ForwardContext& context, HttpStream::Socket socket,
                   std::function<void(CallerConnection&)> on_closed);

  void Start();
  void Abort();
  // Closes the connection if no request is open on it. Otherwise the connection closes after that
  // request, provided that ForwardContext::leaving is set.
  void CloseWhenIdle();

 private:
  void ReadRequest();
  void OnHead(const HttpEvent& event);
  void ServeLookup(const HttpHead& head);
  void DiscardBody(std::function<void()> done);
  void RejectMalformed(const HttpError& error);
  void OnExchangeDone(ConnectionAction action);
  void Finish(ConnectionAction action);

  ForwardContext& context_;
  std::shared_ptr<HttpStream> stream_;
  std::string caller_ip_;  // Remote address of the socket; empty if unknown.
  std::function<void(CallerConnection&)> on_closed_;  // Called once, when the connection ends.
  std::shared_ptr<Exchange> exchange_;                // Request in progress; null between requests.
  asio::steady_timer idle_timer_;                     // Limits the wait for the next request head.
};

class EdgeServer {
 public:
  explicit EdgeServer(ForwardContext& context);
  ~EdgeServer();

  // Binds to `listen` and accepts connections; port 0 binds to any free port. Returns an error
  // message, or "" on success.
  std::string Listen(const Endpoint& listen);
  Endpoint LocalEndpoint() const;

  // Stops accepting connections and closes the idle ones; busy ones close after their request.
  void StopAccepting();
  // Closes every connection immediately, without finishing its request.
  void AbortAll();

  size_t OpenConnections() const { return connections_.size(); }
  uint64_t RefusedConnections() const { return refused_; }

 private:
  void Accept();
  void OnAccepted(HttpStream::Socket socket);

  ForwardContext& context_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;  // Delays the next accept after a failed one, for example when
                                    // file descriptors run out.
  std::set<std::shared_ptr<CallerConnection>> connections_;
  uint64_t refused_ = 0;  // Connections closed on accept because max_connections were open.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_EDGE_SERVER_H_
