// Carries the connections of other entry VMs to backend servers. Each tunnel is one TCP connection
// to one server, whose bytes are passed on as they are.
//
// A tunnel is refused if this entry VM does not know the server, knows that it is leaving, has no
// connection to it, has too many tunnels or is stopping. It is broken if the server resets the
// connection, so that a response which was cut off never looks complete.
//
// Limits: memory of kTunnelBufferBytes and the flow control window of HTTP/2 for each direction of
// a tunnel.

#ifndef COWSLIPHILL_LINKS_TUNNEL_SERVER_H_
#define COWSLIPHILL_LINKS_TUNNEL_SERVER_H_

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "src/base/clock.h"
#include "src/forward/connector.h"
#include "src/members/peer_transport.h"
#include "src/settings/settings.h"

namespace cowsliphill {

inline constexpr size_t kTunnelBufferBytes = 16384;

// How a tunnel for another entry VM ended, for logs.
struct TunnelEnd {
  EntryVmId for_entry_vm;
  std::string request;
  BackendServerId server;                 // Empty if it is unknown here.
  std::optional<TunnelError> error = {};  // Set if the tunnel was refused.
  uint64_t bytes_up = 0;                  // To the server.
  uint64_t bytes_down = 0;                // From the server.
  bool server_reset = false;              // The server has broken the connection.
  Duration took{};
};

struct TunnelServerListener {
  struct Server {
    BackendServerId id;
    Endpoint endpoint;
  };
  // Returns the server, or why there can't be a tunnel to it.
  std::function<std::variant<Server, TunnelError>(const TunnelRequest&)> find_server;
  // Tells whether there is a connection to the server. Returns why there can't be a tunnel if there
  // is none: kServerUnreachable, or kNoLink if that may be due to the links of this entry VM.
  std::function<TunnelError(const BackendServerId&, bool connected)> on_connect;
  std::function<void(const TunnelEnd&)> on_ended;
};

class TunnelServer {
 public:
  // Open tunnels per core of this VM: with some hundred milliseconds for each request, they take
  // less than half of the processor.
  static constexpr double kTunnelsPerCore = 500;
  static constexpr size_t kMinTunnels = 16;
  // Time to connect to a server. It is shorter than the time for which the other entry VM waits.
  static constexpr std::chrono::milliseconds kConnectTimeout{150};
  // A tunnel ends when no byte moves for BackendSettings::silence_timeout, or for this much longer
  // than the request has time left, whichever is longer.
  static constexpr std::chrono::milliseconds kSilenceGrace{1000};

  TunnelServer(asio::io_context& io, const Clock& clock, const BackendSettings& settings,
               double cores, TunnelServerListener listener);
  ~TunnelServer();

  // The handler for PeerNode::HandleTunnels.
  void Open(const EntryVmId& from, const TunnelRequest& request,
            const PeerNode::TunnelAnswer& answer);
  // Refuses further tunnels.
  void StopAccepting() { stopping_ = true; }
  void Close();

  size_t OpenTunnels() const { return tunnels_.size(); }
  uint64_t Opened() const { return opened_; }
  uint64_t Refused() const { return refused_; }

 private:
  class Tunnel;

  void Refuse(TunnelEnd end, TunnelError error, const PeerNode::TunnelAnswer& answer);
  void OnConnected(TunnelEnd end, const TunnelRequest& request, MonotonicTime started,
                   const PeerNode::TunnelAnswer& answer, ConnectResult result);

  asio::io_context& io_;
  const Clock& clock_;
  BackendSettings settings_;
  size_t max_tunnels_;
  TunnelServerListener listener_;
  std::set<std::shared_ptr<Tunnel>> tunnels_;
  size_t connecting_ = 0;
  bool stopping_ = false;
  uint64_t opened_ = 0;
  uint64_t refused_ = 0;
  // Expires with this object; pending callbacks check it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_LINKS_TUNNEL_SERVER_H_
