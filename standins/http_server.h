// A small HTTP/1.1 server on Asio and http_parser for the stand-ins. Unlike common library servers
// it can close a connection without an answer, serve hundreds of connections on one thread and
// report that the peer has disconnected. A peer that half-closes its connection counts as
// disconnected.

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
  std::string path;                            // Path without the query.
  std::map<std::string, std::string> query;    // Values are percent-decoded, names are not.
  std::map<std::string, std::string> headers;  // Keyed by the lower-case name.
  std::string body;

  // These return "" if the header or parameter is absent.
  std::string Header(const std::string& name) const;
  std::string Query(const std::string& name) const;
};

struct HttpHeader {
  std::string name;
  std::string value;
};

// A large body whose bytes are generated while it is sent.
struct GeneratedBody {
  uint64_t size = 0;
  uint64_t bytes_per_second = 0;  // 0: as fast as the peer reads.
  // Returns `max_bytes` bytes from offset `at`.
  std::function<std::string(uint64_t at, size_t max_bytes)> bytes;
};

struct HttpAnswer {
  int status = 200;
  std::vector<HttpHeader> headers;  // Content-Length is added to these.
  std::string body;
  GeneratedBody generated;  // Sent instead of `body` if its size is not 0.
};

class HttpConnection;

// A request and the means to answer it. Copies refer to the same exchange.
class HttpExchange {
 public:
  explicit HttpExchange(std::shared_ptr<HttpConnection> connection);

  const HttpRequest& Request() const;
  // `done` runs once the last byte is written, but not if the connection fails before.
  void Answer(HttpAnswer answer, std::function<void()> done = {}) const;
  // Closes the connection without an answer.
  void Drop() const;
  // `callback` runs if the connection closes before the answer is written.
  void OnDisconnect(std::function<void()> callback) const;

 private:
  std::shared_ptr<HttpConnection> connection_;
};

class HttpServer {
 public:
  using Handler = std::function<void(HttpExchange)>;
  using AcceptFilter = std::function<bool(size_t open_connections)>;

  // Listens at once; port 0 selects a free port. Connections that `accept` rejects are closed.
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
