#include "src/forward/plain_server.h"

#include <algorithm>
#include <asio/ip/address.hpp>
#include <utility>
#include <vector>

#include "src/forward/http_format.h"

namespace cowsliphill {

namespace {

constexpr std::chrono::milliseconds kIdleTimeout{10000};  // Limit on the wait for a request.
constexpr std::chrono::milliseconds kLingerTimeout{
    500};  // Time for a client to read the last response.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};  // Delay after a failed accept.
constexpr size_t kMaxConnections = 512;
constexpr size_t kMaxHeaderBytes = 8192;
constexpr size_t kBufferBytes = 4096;

}  // namespace

std::string ListenOn(asio::ip::tcp::acceptor& acceptor, const Endpoint& listen) {
  std::error_code ec;
  const auto address = asio::ip::make_address(listen.ip, ec);
  if (ec) return listen.ip + ": " + ec.message();
  const asio::ip::tcp::endpoint endpoint(address, listen.port);
  acceptor.open(endpoint.protocol(), ec);
  if (!ec) acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acceptor.bind(endpoint, ec);
  if (!ec) acceptor.listen(asio::socket_base::max_listen_connections, ec);
  return ec ? listen.ToString() + ": " + ec.message() : "";
}

std::string QueryValue(const std::string& query, const std::string& name) {
  size_t begin = 0;
  while (begin < query.size()) {
    const size_t end = std::min(query.find('&', begin), query.size());
    const std::string part = query.substr(begin, end - begin);
    if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
    begin = end + 1;
  }
  return "";
}

class PlainServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(PlainServer& server, HttpStream::Socket socket)
      : server_(server), idle_timer_(server.io_) {
    std::error_code ec;
    const auto remote = socket.remote_endpoint(ec);
    if (!ec) caller_ = remote.address().to_string();
    std::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    stream_ = std::make_shared<HttpStream>(std::move(socket), HttpMessageType::kRequests,
                                           kMaxHeaderBytes, kBufferBytes);
  }

  void ReadRequest() {
    idle_timer_.expires_after(kIdleTimeout);
    idle_timer_.async_wait([weak = weak_from_this()](std::error_code ec) {
      const auto self = weak.lock();
      if (!ec && self) self->Close();
    });
    stream_->Read([self = shared_from_this()](const HttpEvent& event) {
      const auto* head = std::get_if<HttpHead>(&event);
      if (head == nullptr) return self->Close();
      self->ReadEnd(*head);
    });
  }
  void Close() {
    const auto keep = shared_from_this();
    idle_timer_.cancel();
    stream_->Close();
    server_.connections_.erase(keep);
  }

 private:
  void ReadEnd(const HttpHead& head) {
    stream_->Read([self = shared_from_this(), head](const HttpEvent& event) {
      if (!std::holds_alternative<HttpEnd>(event)) return self->Close();
      self->Respond(head);
    });
  }
  void Respond(const HttpHead& head) {
    const size_t mark = std::min(head.target.find('?'), head.target.size());
    const std::string query = mark < head.target.size() ? head.target.substr(mark + 1) : "";
    const bool is_head = head.method == "HEAD";
    const PlainResponse response =
        is_head || head.method == "GET"
            ? server_.handler_({head.target.substr(0, mark), query, caller_})
            : PlainResponse{405, "text/plain", "only GET and HEAD are allowed\n"};
    std::string out = StatusLine(response.status);
    AppendBody(out, response.type, response.body, head.keep_alive);
    if (is_head) RemoveBody(out);
    stream_->Write(std::move(out), [self = shared_from_this(), keep = head.keep_alive](bool ok) {
      if (ok && keep) return self->ReadRequest();
      self->idle_timer_.cancel();
      self->stream_->CloseGracefully(kLingerTimeout);
      self->server_.connections_.erase(self);
    });
  }

  PlainServer& server_;
  std::string caller_;
  asio::steady_timer idle_timer_;
  std::shared_ptr<HttpStream> stream_;
};

PlainServer::PlainServer(asio::io_context& io, Handler handler)
    : io_(io), handler_(std::move(handler)), acceptor_(io), retry_timer_(io) {}

PlainServer::~PlainServer() { Close(); }

std::string PlainServer::Listen(const Endpoint& listen) {
  std::string error = ListenOn(acceptor_, listen);
  if (error.empty()) Accept();
  return error;
}

void PlainServer::Accept() {
  acceptor_.async_accept([this](std::error_code ec, HttpStream::Socket socket) {
    if (!acceptor_.is_open()) return;
    if (ec) {
      retry_timer_.expires_after(kAcceptRetryDelay);
      retry_timer_.async_wait([this](std::error_code timer_ec) {
        if (!timer_ec && acceptor_.is_open()) Accept();
      });
      return;
    }
    if (connections_.size() < kMaxConnections) {
      const auto connection = std::make_shared<Connection>(*this, std::move(socket));
      connections_.insert(connection);
      connection->ReadRequest();
    }
    Accept();
  });
}

void PlainServer::Close() {
  std::error_code ignored;
  acceptor_.close(ignored);
  const std::vector<std::shared_ptr<Connection>> open(connections_.begin(), connections_.end());
  for (const auto& connection : open) connection->Close();
}

}  // namespace cowsliphill
