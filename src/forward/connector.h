// How connections to backend servers are made. The default is a TCP connection; src/links adds ways
// through other entry VMs.

#ifndef COWSLIPHILL_FORWARD_CONNECTOR_H_
#define COWSLIPHILL_FORWARD_CONNECTOR_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <variant>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/forward/byte_stream.h"
#include "src/settings/settings.h"

namespace cowsliphill {

enum class ConnectError {
  kRefused,  // The backend server refused the connection or is unreachable.
  kTimeout,
  kLimit,    // The class has reached its limit of connections to the backend server.
  kLeaving,  // Another entry VM, asked for a tunnel, knows that the backend server is leaving.
};

// The backend server that a connection is for.
struct ConnectTarget {
  Endpoint endpoint;
  BackendServerId server;                  // Empty if it is not a backend server.
  std::string request = {};                // Id of the request that it is for; may be empty.
  std::chrono::milliseconds time_left{0};  // Until an answer is of no more use; 0: unknown.
};

struct Connected {
  ByteStream stream;
  Endpoint through;  // Peer address of the entry VM that the tunnel leads through; port 0: none.
};

using ConnectResult = std::variant<Connected, ConnectError>;
using ConnectDone = std::function<void(ConnectResult)>;

// Opens a TCP connection, within BackendSettings::connect_timeout. `done` runs once, never inside
// the call.
void ConnectDirectly(asio::io_context& io, const BackendSettings& settings, const Endpoint& to,
                     ConnectDone done);

// What a BackendPool asks about the paths to backend servers, and what it tells of them. All may be
// unset: connections are then made directly.
struct LinkHooks {
  std::function<void(const ConnectTarget&, ConnectDone)> connect;
  // Whether an idle connection that last received bytes at `last_active` may still work.
  std::function<bool(const BackendServerId&, MonotonicTime last_active)> may_reuse;
  // The server has begun to respond on a direct connection.
  std::function<void(const BackendServerId&)> on_contact;
  // The server did not respond on a direct connection: it left a probe unanswered, or a new
  // connection was lost. Returns whether there may be another path.
  std::function<bool(const BackendServerId&)> on_failure;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_CONNECTOR_H_
