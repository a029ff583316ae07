// Server for the callers' connections: accepts them and ends them when this entry VM stops.

#ifndef COWSLIPHILL_FORWARD_EDGE_SERVER_H_
#define COWSLIPHILL_FORWARD_EDGE_SERVER_H_

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include "src/forward/caller_connection.h"
#include "src/forward/forward_context.h"

namespace cowsliphill {

class EdgeServer {
 public:
  explicit EdgeServer(ForwardContext& context);
  ~EdgeServer();

  // Binds to `listen` and accepts connections; port 0 binds to any free port. Returns an error
  // message, or "" on success.
  std::string Listen(const Endpoint& listen);
  Endpoint LocalEndpoint() const;

  // Stops accepting connections and closes the idle ones; busy ones close after their request, also
  // those whose request has only just arrived.
  void StopAccepting();
  // Closes every connection immediately, without finishing its request.
  void AbortAll();

  size_t OpenConnections() const { return connections_.size(); }
  uint64_t RefusedConnections() const { return refused_; }

 private:
  void Accept();
  void OnAccepted(HttpStream::Socket socket);
  // Accepts up to `max` connections that are already established, without waiting for more.
  void AcceptPending(int max);
  void CloseIdle();

  ForwardContext& context_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;  // Delays the next accept after a failed one, for example when
                                    // file descriptors run out.
  std::set<std::shared_ptr<CallerConnection>> connections_;
  uint64_t refused_ = 0;  // Connections closed on accept because max_connections were open.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_EDGE_SERVER_H_
