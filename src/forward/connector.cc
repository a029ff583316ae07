#include "src/forward/connector.h"

#include <asio/ip/address.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace cowsliphill {

namespace {

// A connection attempt in progress and its timeout.
struct PendingConnection {
  explicit PendingConnection(asio::io_context& io) : socket(io), timer(io) {}
  ByteStream::Socket socket;
  asio::steady_timer timer;
  bool timed_out = false;
};

}  // namespace

void ConnectDirectly(asio::io_context& io, const BackendSettings& settings, const Endpoint& to,
                     ConnectDone done) {
  const auto pending = std::make_shared<PendingConnection>(io);
  const asio::ip::tcp::endpoint target(asio::ip::make_address(to.ip), to.port);
  std::error_code ec;
  if (!settings.source.empty()) {
    pending->socket.open(target.protocol(), ec);
    if (!ec) pending->socket.bind({asio::ip::make_address(settings.source), 0}, ec);
  }
  if (ec) {
    asio::post(io, [done = std::move(done)] { done(ConnectError::kRefused); });
    return;
  }
  pending->timer.expires_after(settings.connect_timeout);
  pending->timer.async_wait([pending](std::error_code cancelled) {
    if (cancelled) return;
    pending->timed_out = true;
    std::error_code ignored;
    pending->socket.close(ignored);
  });
  pending->socket.async_connect(target, [pending, done = std::move(done)](std::error_code failed) {
    pending->timer.cancel();
    if (failed || pending->timed_out) {
      return done(pending->timed_out ? ConnectError::kTimeout : ConnectError::kRefused);
    }
    std::error_code ignored;
    pending->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    pending->socket.non_blocking(true, ignored);
    done(Connected{std::move(pending->socket), {}});
  });
}

}  // namespace cowsliphill
