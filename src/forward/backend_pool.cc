#include "src/forward/backend_pool.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

namespace cowsliphill {

BackendPool::BackendPool(asio::io_context& io, const Clock& clock, const BackendSettings& settings,
                         size_t max_header_bytes, size_t buffer_bytes, LinkHooks links)
    : io_(io),
      clock_(clock),
      settings_(settings),
      max_header_bytes_(max_header_bytes),
      buffer_bytes_(buffer_bytes),
      links_(std::move(links)) {}

void BackendPool::Acquire(const ConnectTarget& target, RequestClass request_class,
                          ConnectionReuse reuse, AcquireCallback done) {
  const GroupKey key(target.endpoint, request_class);
  Group& group = groups_[key];
  if (std::optional<PooledConnection> idle = TakeIdle(group, target.server, reuse)) {
    asio::post(io_, [idle = *idle, done = std::move(done)] { done(idle); });
    return;
  }
  if (group.open >= settings_.connections_per_class) {
    asio::post(io_, [done = std::move(done)] { done(ConnectError::kLimit); });
    return;
  }
  ++group.open;
  Connect(target, request_class, std::move(done));
}

std::optional<PooledConnection> BackendPool::TakeIdle(Group& group, const BackendServerId& server,
                                                      ConnectionReuse reuse) {
  if (reuse == ConnectionReuse::kNever) return std::nullopt;
  // The most recently used connection is the most likely to be alive.
  while (!group.idle.empty()) {
    PooledConnection connection = group.idle.back();
    const bool works = !links_.may_reuse || links_.may_reuse(server, connection.last_active);
    if (!connection.stream->IsOpen() || !works) {
      connection.stream->Close();
      group.idle.pop_back();
      --group.open;
      continue;
    }
    const bool recently_active = clock_.Now() - connection.last_active <= settings_.proven_alive;
    if (reuse == ConnectionReuse::kIfRecentlyActive && !recently_active) return std::nullopt;
    group.idle.pop_back();
    connection.reused = true;
    return connection;
  }
  return std::nullopt;
}

void BackendPool::Connect(const ConnectTarget& target, RequestClass request_class,
                          AcquireCallback done) {
  const GroupKey key(target.endpoint, request_class);
  ConnectDone on_result = [this, key, done = std::move(done)](ConnectResult result) {
    if (const auto* error = std::get_if<ConnectError>(&result)) {
      DecrementOpen(key);
      return done(*error);
    }
    auto& connected = std::get<Connected>(result);
    PooledConnection connection;
    connection.stream = std::make_shared<HttpStream>(
        std::move(connected.stream), HttpMessageType::kResponses, max_header_bytes_, buffer_bytes_);
    connection.last_active = clock_.Now();
    connection.through = connected.through;
    done(std::move(connection));
  };
  if (links_.connect) return links_.connect(target, std::move(on_result));
  ConnectDirectly(io_, settings_, target.endpoint, std::move(on_result));
}

void BackendPool::Release(const ConnectTarget& target, RequestClass request_class,
                          PooledConnection connection) {
  connection.last_active = clock_.Now();
  if (connection.stream->Transport().IsTunnel()) return Discard(target, request_class, connection);
  ReturnUnused(target, request_class, std::move(connection));
}

void BackendPool::ReturnUnused(const ConnectTarget& target, RequestClass request_class,
                               PooledConnection connection) {
  if (connection.stream->Transport().IsTunnel()) return Discard(target, request_class, connection);
  const GroupKey key(target.endpoint, request_class);
  WatchIdle(connection.stream);
  groups_[key].idle.push_back(std::move(connection));
}

void BackendPool::WatchIdle(const std::shared_ptr<HttpStream>& stream) {
  // A closed stream stays in the idle list until TakeIdle or CloseIdle drops it.
  stream->WatchClose([weak = std::weak_ptr<HttpStream>(stream)] {
    if (const auto closed = weak.lock()) closed->Close();
  });
}

void BackendPool::Discard(const ConnectTarget& target, RequestClass request_class,
                          PooledConnection& connection) {
  connection.stream->Close();
  DecrementOpen(GroupKey(target.endpoint, request_class));
}

void BackendPool::DecrementOpen(const GroupKey& key) {
  const auto it = groups_.find(key);
  if (it == groups_.end()) return;
  --it->second.open;
  if (it->second.open == 0) groups_.erase(it);
}

void BackendPool::OnResponse(const ConnectTarget& target, const PooledConnection& connection) {
  if (links_.on_contact && !connection.stream->Transport().IsTunnel()) {
    links_.on_contact(target.server);
  }
}

// A server may close an idle connection at any time, so the loss of one shows nothing.
void BackendPool::OnLost(const ConnectTarget& target, const PooledConnection& connection) {
  const bool is_new = !connection.reused && !connection.stream->Transport().IsTunnel();
  if (links_.on_failure && is_new) links_.on_failure(target.server);
}

void BackendPool::CloseIdle() {
  const MonotonicTime cutoff = clock_.Now() - settings_.idle_timeout;
  for (auto it = groups_.begin(); it != groups_.end();) {
    Group& group = it->second;
    const auto expired = [cutoff](const PooledConnection& connection) {
      if (connection.stream->IsOpen() && connection.last_active >= cutoff) return false;
      connection.stream->Close();
      return true;
    };
    const auto kept = std::remove_if(group.idle.begin(), group.idle.end(), expired);
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
