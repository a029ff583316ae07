// Small HTTP server for short responses: lookups, readiness and metrics. Runs on the event loop's
// thread. Accepts only GET and HEAD; a request with a body closes the connection.

#ifndef COWSLIPHILL_FORWARD_PLAIN_SERVER_H_
#define COWSLIPHILL_FORWARD_PLAIN_SERVER_H_

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "src/base/ids.h"
#include "src/forward/http_stream.h"

namespace cowsliphill {

struct PlainRequest {
  std::string path;
  std::string query;   // Without the question mark; may be empty.
  std::string caller;  // Remote IP address; empty if unknown.
};

struct PlainResponse {
  int status = 200;
  std::string type = "text/plain";
  std::string body;
};

class PlainServer {
 public:
  using Handler = std::function<PlainResponse(const PlainRequest& request)>;

  PlainServer(asio::io_context& io, Handler handler);
  ~PlainServer();

  // Returns an error message, or "" on success.
  std::string Listen(const Endpoint& listen);
  void Close();

 private:
  class Connection;

  void Accept();

  asio::io_context& io_;
  Handler handler_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;  // Delays the next accept after a failed one.
  std::set<std::shared_ptr<Connection>> connections_;
};

// Opens the acceptor, binds it to `listen` and listens. Returns an error message, or "" on success.
std::string ListenOn(asio::ip::tcp::acceptor& acceptor, const Endpoint& listen);

// Returns the value of a parameter in a query string, or "" if it is missing. Does not
// percent-decode, because the ids that are passed this way need no encoding.
std::string QueryValue(const std::string& query, const std::string& name);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_PLAIN_SERVER_H_
