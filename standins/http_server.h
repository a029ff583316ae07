// A small HTTP/1.1 server on Asio and http_parser for the stand-ins. Unlike a ready-made one it
// can close a connection without an answer, hold hundreds of connections on one thread and tell
// when the other side has gone. A peer that only closes its sending half counts as gone.

#ifndef COWSLIPHILL_STANDINS_HTTP_SERVER_H_
#define COWSLIPHILL_STANDINS_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/base/ids.h"

namespace asio {
class io_context;
}

namespace cowsliphill::standins {

struct HttpRequest {
  std::string method;
  std::string path;                            // Without the query.
  std::map<std::string, std::string> query;    // Not decoded.
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;

  // Empty when absent.
  std::string Header(const std::string& name) const;
  std::string Query(const std::string& name) const;
};

struct HttpHeader {
  std::string name;
  std::string value;
};

// Bytes made while they are sent, for large bodies.
struct GeneratedBody {
  uint64_t size = 0;
  uint64_t bytes_per_second = 0;                               // 0: as fast as they are taken.
  std::function<std::string(uint64_t at, size_t most)> bytes;  // Bytes from `at` on.
};

struct HttpAnswer {
  int status = 200;
  std::vector<HttpHeader> headers;  // Content-Length is added.
  std::string body;
  GeneratedBody generated;  // Sent instead of `body` when its size is not 0.
};

class HttpConnection;

// One request and the way to answer it. Copies mean the same exchange.
class HttpExchange {
 public:
  explicit HttpExchange(std::shared_ptr<HttpConnection> connection);

  const HttpRequest& Request() const;
  // `done` runs once the last byte is written; not when the connection breaks before.
  void Answer(HttpAnswer answer, std::function<void()> done = {}) const;
  // Closes the connection without an answer.
  void Drop() const;
  // `gone` runs when the connection ends before the answer is written.
  void OnGone(std::function<void()> gone) const;

 private:
  std::shared_ptr<HttpConnection> connection_;
};

class HttpServer {
 public:
  using Handler = std::function<void(HttpExchange)>;
  using AcceptFilter = std::function<bool(size_t open_connections)>;

  // Listens at once; port 0 takes a free one. Connections that `accept` refuses are closed.
  HttpServer(asio::io_context& loop, const Endpoint& listen, Handler handler,
             AcceptFilter accept = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  Endpoint Address() const;
  void StopListening();

 private:
  struct Listener;
  std::shared_ptr<Listener> listener_;
};

}  // namespace cowsliphill::standins

#endif  // COWSLIPHILL_STANDINS_HTTP_SERVER_H_
