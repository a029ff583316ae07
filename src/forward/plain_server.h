// A small HTTP server on the loop's thread for questions with short answers: lookups, readiness,
// metrics. GET only; bodies of requests are refused.

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

struct PlainAnswer {
  int status = 200;
  std::string type = "text/plain";
  std::string body;
};

class PlainServer {
 public:
  using Handle = std::function<PlainAnswer(const std::string& path, const std::string& query)>;

  PlainServer(asio::io_context& io, Handle handle);
  ~PlainServer();

  // Returns what went wrong, or "".
  std::string Listen(const Endpoint& listen);
  void Close();

 private:
  class Connection;

  void Accept();

  asio::io_context& io_;
  Handle handle_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;  // After a failed accept.
  std::set<std::shared_ptr<Connection>> connections_;
};

// Opens, binds and listens. Returns what went wrong, or "".
std::string ListenOn(asio::ip::tcp::acceptor& acceptor, const Endpoint& listen);

// The value of a name in a query string, without percent-decoding: ids need none.
std::string QueryValue(const std::string& query, const std::string& name);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_PLAIN_SERVER_H_
