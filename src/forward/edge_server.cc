#include "src/forward/edge_server.h"

#include <asio/ip/address.hpp>
#include <limits>
#include <utility>
#include <vector>

#include "src/forward/plain_server.h"

namespace cowsliphill {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAcceptRetryDelay{100};  // Delay after a failed accept.
// Connections accepted in one turn of the event loop. A turn takes tens of milliseconds while a few
// hundred responses are streamed, so with one connection a turn the last of 300 callers were
// accepted a second late. With more, a flood of connections would delay the open requests.
constexpr int kMaxAcceptsPerTurn = 64;

}  // namespace

EdgeServer::EdgeServer(ForwardContext& context)
    : context_(context), acceptor_(context.io), retry_timer_(context.io) {}

EdgeServer::~EdgeServer() { AbortAll(); }

std::string EdgeServer::Listen(const Endpoint& listen) {
  const std::string error = ListenOn(acceptor_, listen);
  if (!error.empty()) return "edge.listen: " + error;
  Accept();
  return "";
}

Endpoint EdgeServer::LocalEndpoint() const {
  std::error_code ec;
  const auto local = acceptor_.local_endpoint(ec);
  return ec ? Endpoint{} : Endpoint{local.address().to_string(), local.port()};
}

void EdgeServer::Accept() {
  acceptor_.async_accept([this](std::error_code ec, HttpStream::Socket socket) {
    if (!ec) {
      OnAccepted(std::move(socket));
      AcceptPending(kMaxAcceptsPerTurn - 1);
    }
    // Closed meanwhile: this connection had been accepted before.
    if (!acceptor_.is_open()) return CloseIdle();
    if (!ec) return Accept();
    retry_timer_.expires_after(kAcceptRetryDelay);
    retry_timer_.async_wait([this](std::error_code timer_ec) {
      if (!timer_ec && acceptor_.is_open()) Accept();
    });
  });
}

void EdgeServer::OnAccepted(HttpStream::Socket socket) {
  if (connections_.size() >= context_.settings.edge.max_connections) {
    ++refused_;
    context_.observer.on_bad_input("connections", "the limit edge.max_connections is reached");
    return;
  }
  const auto connection = std::make_shared<CallerConnection>(
      context_, std::move(socket),
      [this](CallerConnection& closed) { connections_.erase(closed.shared_from_this()); });
  connections_.insert(connection);
  connection->Start();
}

void EdgeServer::AcceptPending(int max) {
  std::error_code ec;
  acceptor_.non_blocking(true, ec);
  for (int n = 0; n < max && !ec; ++n) {
    HttpStream::Socket socket(context_.io);
    acceptor_.accept(socket, ec);
    if (!ec) OnAccepted(std::move(socket));
  }
}

void EdgeServer::StopAccepting() {
  // The kernel resets the connections that are established and not accepted yet when the listening
  // socket is closed.
  AcceptPending(std::numeric_limits<int>::max());
  std::error_code ignored;
  acceptor_.close(ignored);
  CloseIdle();
}

void EdgeServer::CloseIdle() {
  const std::vector<std::shared_ptr<CallerConnection>> open(connections_.begin(),
                                                            connections_.end());
  for (const auto& connection : open) connection->CloseWhenIdle();
}

void EdgeServer::AbortAll() {
  const std::vector<std::shared_ptr<CallerConnection>> open(connections_.begin(),
                                                            connections_.end());
  for (const auto& connection : open) connection->Abort();
}

}  // namespace cowsliphill
