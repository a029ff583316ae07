#include "src/forward/backend_pool.h"

#include <algorithm>
#include <asio/ip/address.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

namespace cowsliphill {

namespace {

// One connection being made, with its time limit.
struct Connecting {
  explicit Connecting(asio::io_context& io) : socket(io), timer(io) {}
  HttpStream::Socket socket;
  asio::steady_timer timer;
  bool timed_out = false;
};

}  // namespace

BackendPool::BackendPool(asio::io_context& io, const Clock& clock, const BackendSettings& settings,
                         size_t max_header_bytes, size_t buffer_bytes)
    : io_(io),
      clock_(clock),
      settings_(settings),
      max_header_bytes_(max_header_bytes),
      buffer_bytes_(buffer_bytes) {}

void BackendPool::Acquire(const Endpoint& server, RequestClass request_class, ConnectionNeed need,
                          AcquireCallback done) {
  const GroupKey key(server, request_class);
  Group& group = groups_[key];
  if (std::optional<PooledConnection> idle = TakeIdle(group, need)) {
    asio::post(io_, [idle = *idle, done = std::move(done)] { done(idle); });
    return;
  }
  if (group.open >= settings_.connections_per_class) {
    asio::post(io_, [done = std::move(done)] { done(ConnectError::kLimit); });
    return;
  }
  ++group.open;
  Connect(key, std::move(done));
}

std::optional<PooledConnection> BackendPool::TakeIdle(Group& group, ConnectionNeed need) {
  if (need == ConnectionNeed::kFresh) return std::nullopt;
  // The last used first: it is the best proven.
  while (!group.idle.empty()) {
    PooledConnection connection = group.idle.back();
    if (!connection.stream->IsOpen()) {
      group.idle.pop_back();
      --group.open;
      continue;
    }
    const bool proven = clock_.Now() - connection.proven <= settings_.proven_alive;
    if (need == ConnectionNeed::kProven && !proven) return std::nullopt;
    group.idle.pop_back();
    connection.reused = true;
    return connection;
  }
  return std::nullopt;
}

void BackendPool::Connect(const GroupKey& key, AcquireCallback done) {
  const auto attempt = std::make_shared<Connecting>(io_);
  attempt->timer.expires_after(settings_.connect_timeout);
  attempt->timer.async_wait([attempt](std::error_code ec) {
    if (ec) return;
    attempt->timed_out = true;
    std::error_code ignored;
    attempt->socket.close(ignored);
  });
  const asio::ip::tcp::endpoint target(asio::ip::make_address(key.first.ip), key.first.port);
  attempt->socket.async_connect(target, [this, key, attempt,
                                         done = std::move(done)](std::error_code ec) {
    attempt->timer.cancel();
    if (ec || attempt->timed_out) {
      ForgetOne(key);
      return done(attempt->timed_out ? ConnectError::kTimeout : ConnectError::kRefused);
    }
    std::error_code ignored;
    attempt->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    attempt->socket.non_blocking(true, ignored);
    PooledConnection connection;
    connection.stream = std::make_shared<HttpStream>(
        std::move(attempt->socket), HttpMessageType::kResponses, max_header_bytes_, buffer_bytes_);
    connection.proven = clock_.Now();
    done(std::move(connection));
  });
}

void BackendPool::Release(const Endpoint& server, RequestClass request_class,
                          PooledConnection connection) {
  connection.proven = clock_.Now();
  ReturnUnused(server, request_class, std::move(connection));
}

void BackendPool::ReturnUnused(const Endpoint& server, RequestClass request_class,
                               PooledConnection connection) {
  const GroupKey key(server, request_class);
  WatchIdle(connection.stream);
  groups_[key].idle.push_back(std::move(connection));
}

void BackendPool::WatchIdle(const std::shared_ptr<HttpStream>& stream) {
  // A closed stream stays in the idle list until TakeIdle or CloseIdle drops it.
  stream->WatchClose([weak = std::weak_ptr<HttpStream>(stream)] {
    if (const auto closed = weak.lock()) closed->Close();
  });
}

void BackendPool::Discard(const Endpoint& server, RequestClass request_class,
                          PooledConnection& connection) {
  connection.stream->Close();
  ForgetOne(GroupKey(server, request_class));
}

void BackendPool::ForgetOne(const GroupKey& key) {
  const auto it = groups_.find(key);
  if (it == groups_.end()) return;
  --it->second.open;
  if (it->second.open == 0) groups_.erase(it);
}

void BackendPool::CloseIdle() {
  const MonotonicTime oldest = clock_.Now() - settings_.idle_timeout;
  for (auto it = groups_.begin(); it != groups_.end();) {
    Group& group = it->second;
    const auto is_over = [oldest](const PooledConnection& connection) {
      if (connection.stream->IsOpen() && connection.proven >= oldest) return false;
      connection.stream->Close();
      return true;
    };
    const auto kept = std::remove_if(group.idle.begin(), group.idle.end(), is_over);
    group.open -= static_cast<uint32_t>(group.idle.end() - kept);
    group.idle.erase(kept, group.idle.end());
    it = group.open == 0 ? groups_.erase(it) : std::next(it);
  }
}

void BackendPool::CloseAll() {
  for (auto& [key, group] : groups_) {
    for (const PooledConnection& connection : group.idle) connection.stream->Close();
  }
  CloseIdle();
}

size_t BackendPool::OpenConnections() const {
  size_t n = 0;
  for (const auto& [key, group] : groups_) n += group.open;
  return n;
}

}  // namespace cowsliphill
