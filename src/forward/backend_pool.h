// Connections to backend servers, kept per backend server and class so that a class never waits
// for another one's connection. An idle connection proves nothing by being open: it carries
// non-idempotent work only if it proved itself alive within BackendSettings::proven_alive.

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
#include "src/base/request_class.h"
#include "src/forward/http_stream.h"
#include "src/settings/settings.h"

namespace cowsliphill {

enum class ConnectError {
  kRefused,  // Refused or unreachable.
  kTimeout,
  kLimit,  // The class has as many connections to that backend server as it may have.
};

struct PooledConnection {
  std::shared_ptr<HttpStream> stream;
  MonotonicTime proven;  // Last byte received, or the connection's start.
  bool reused = false;   // It has carried an answer before.
};

// Which connection an attempt needs.
enum class ConnectionNeed {
  kAny,     // An idle one will do: the work is idempotent and this is its first attempt.
  kProven,  // An idle one only if it proved itself alive lately: the work is not idempotent.
  kFresh,   // A new one: an earlier attempt may have met a connection that went silent.
};

class BackendPool {
 public:
  using AcquireCallback = std::function<void(std::variant<PooledConnection, ConnectError>)>;

  BackendPool(asio::io_context& io, const Clock& clock, const BackendSettings& settings,
              size_t max_header_bytes, size_t buffer_bytes);

  // An idle connection if the need allows it, else a fresh one.
  void Acquire(const Endpoint& server, RequestClass request_class, ConnectionNeed need,
               AcquireCallback done);
  // Takes a connection back after a whole answer that kept it open.
  void Release(const Endpoint& server, RequestClass request_class, PooledConnection connection);
  // Takes a connection back on which nothing was sent: it proved nothing anew.
  void ReturnUnused(const Endpoint& server, RequestClass request_class,
                    PooledConnection connection);
  // Counts a connection that won't come back. Closes it.
  void Discard(const Endpoint& server, RequestClass request_class, PooledConnection& connection);
  // Closes connections idle for longer than the settings allow.
  void CloseIdle();
  // Closes every idle connection.
  void CloseAll();

  size_t OpenConnections() const;

 private:
  using GroupKey = std::pair<Endpoint, RequestClass>;
  struct Group {
    std::vector<PooledConnection> idle;  // Last used at the back.
    uint32_t open = 0;                   // Idle ones, busy ones and those being made.
  };

  std::optional<PooledConnection> TakeIdle(Group& group, ConnectionNeed need);
  void Connect(const GroupKey& key, AcquireCallback done);
  static void WatchIdle(const std::shared_ptr<HttpStream>& stream);
  void ForgetOne(const GroupKey& key);

  asio::io_context& io_;
  const Clock& clock_;
  BackendSettings settings_;
  size_t max_header_bytes_;  // Of an answer, in bytes.
  size_t buffer_bytes_;      // Of each connection's read buffer.
  std::map<GroupKey, Group> groups_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_BACKEND_POOL_H_
