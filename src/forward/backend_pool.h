// Connections to backend servers, pooled per backend server and request class so that one class
// never waits for a connection of another. An idle connection that is still open does not prove
// that its server is alive, so it carries non-idempotent work only if it received bytes within
// BackendSettings::proven_alive.

#ifndef COWSLIPHILL_FORWARD_BACKEND_POOL_H_
#define COWSLIPHILL_FORWARD_BACKEND_POOL_H_

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/base/request_class.h"
#include "src/forward/connector.h"
#include "src/forward/http_stream.h"
#include "src/settings/settings.h"

namespace cowsliphill {

struct PooledConnection {
  std::shared_ptr<HttpStream> stream;
  MonotonicTime last_active;  // When it was established or last received bytes.
  bool reused = false;        // It was taken from the idle connections.
  Endpoint through;           // See Connected::through.
};

// Whether an attempt may use an idle connection.
enum class ConnectionReuse {
  kAllowed,           // For the first attempt at idempotent work.
  kIfRecentlyActive,  // For non-idempotent work; see BackendSettings::proven_alive.
  kNever,             // For later attempts: the first may have met a dead idle connection.
};

class BackendPool {
 public:
  using AcquireCallback = std::function<void(std::variant<PooledConnection, ConnectError>)>;

  BackendPool(asio::io_context& io, const Clock& clock, const BackendSettings& settings,
              size_t max_header_bytes, size_t buffer_bytes, LinkHooks links = {});

  // Passes `done` an idle connection if `reuse` allows one, else a new one. `done` runs once, never
  // inside the call.
  void Acquire(const ConnectTarget& target, RequestClass request_class, ConnectionReuse reuse,
               AcquireCallback done);
  // Takes back a connection that its server keeps open after a complete response. Tunnels are
  // closed: another entry VM would not know when the server begins to leave.
  void Release(const ConnectTarget& target, RequestClass request_class,
               PooledConnection connection);
  // Takes back a connection on which nothing was sent. Its last_active stays as it was.
  void ReturnUnused(const ConnectTarget& target, RequestClass request_class,
                    PooledConnection connection);
  // Closes a connection and no longer counts it as open.
  void Discard(const ConnectTarget& target, RequestClass request_class,
               PooledConnection& connection);
  // Tell what a connection to the server has shown: the beginning of a response, or that it was
  // lost before.
  void OnResponse(const ConnectTarget& target, const PooledConnection& connection);
  void OnLost(const ConnectTarget& target, const PooledConnection& connection);
  // Closes connections that were idle for longer than BackendSettings::idle_timeout.
  void CloseIdle();
  // Closes every idle connection.
  void CloseAll();

  size_t OpenConnections() const;

 private:
  using GroupKey = std::pair<Endpoint, RequestClass>;
  struct Group {
    std::vector<PooledConnection> idle;  // The most recently returned is last.
    uint32_t open = 0;                   // Idle, busy and connecting ones.
  };

  std::optional<PooledConnection> TakeIdle(Group& group, const BackendServerId& server,
                                           ConnectionReuse reuse);
  void Connect(const ConnectTarget& target, RequestClass request_class, AcquireCallback done);
  static void WatchIdle(const std::shared_ptr<HttpStream>& stream);
  void DecrementOpen(const GroupKey& key);

  asio::io_context& io_;
  const Clock& clock_;
  BackendSettings settings_;
  size_t max_header_bytes_;  // Limit of a response's headers.
  size_t buffer_bytes_;      // Size of each connection's read buffer.
  LinkHooks links_;
  std::map<GroupKey, Group> groups_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_BACKEND_POOL_H_
