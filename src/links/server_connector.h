// Connects to backend servers, directly or through another entry VM, as LinkWatch tells. A server
// counts as unreachable only on the word of two entry VMs, of different failure domains if there
// are any; this one is none of them while it has lost its links. Or if there is no other entry VM
// to ask.
//
// A tunnel carries the connection of one request: everything about the request (its attempts, its
// retry budget, its deadline, what has run) stays with the entry VM that its caller has connected
// to. The entry VM in between never opens a further tunnel, so a request passes through one at
// most.

#ifndef COWSLIPHILL_LINKS_SERVER_CONNECTOR_H_
#define COWSLIPHILL_LINKS_SERVER_CONNECTOR_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/wake_timer.h"
#include "src/forward/connector.h"
#include "src/links/link_watch.h"
#include "src/links/tunnel_peers.h"
#include "src/members/peer_transport.h"

namespace cowsliphill {

struct ServerConnectorListener {
  // How the server is named in a TunnelRequest; nullopt if it is unknown.
  struct Server {
    Endpoint endpoint;
    uint32_t hash = 0;
    uint64_t started = 0;
  };
  std::function<std::optional<Server>(const BackendServerId&)> find_server;
  std::function<void(const Endpoint& peer, TunnelRequest, PeerNode::TunnelDone)> open_tunnel;
  // Probes the server on a direct connection. `done` runs once, never inside the call.
  std::function<void(const BackendServerId&, std::function<void(bool answered)> done)> probe;
  // Another entry VM knows that the server is leaving.
  std::function<void(const BackendServerId&)> on_leaving;
  // LinkWatch may have changed: ReachesNone, LinksLost or BypassedServers.
  std::function<void()> on_links_changed;
};

struct TunnelCounts {
  uint64_t opened = 0;
  uint64_t refused = 0;     // By the other entry VM, which has no connection either or no room.
  uint64_t unanswered = 0;  // By an entry VM within kTunnelTimeout.
};

class ServerConnector {
 public:
  // A connection is usually made within milliseconds. If it takes longer than this, the other way
  // is tried beside it.
  static constexpr std::chrono::milliseconds kSecondWayDelay{60};
  // From the request for a tunnel to its answer; another entry VM is asked afterwards.
  static constexpr std::chrono::milliseconds kTunnelTimeout{200};
  // Entry VMs asked for one connection. One that has no link itself says so at once.
  static constexpr size_t kMaxTunnelPeers = 6;

  ServerConnector(asio::io_context& io, const Clock& clock, const BackendSettings& settings,
                  uint64_t seed, ServerConnectorListener listener);

  // The hooks for a BackendPool. They must not be used after this object is gone. Connections that
  // are being made then are dropped.
  LinkHooks Hooks();
  void SetServers(std::vector<LinkWatch::Server> servers) { watch_.SetServers(std::move(servers)); }
  // Replaces the list of live entry VMs, with which tunnels can be opened.
  void SetMembers(const Member& self, const std::vector<Member>& members) {
    peers_.SetMembers(self, members);
  }
  // A direct connection that this object did not make has failed.
  void OnFailure(const BackendServerId& server);
  void Close();

  const LinkWatch& Links() const { return watch_; }
  const TunnelCounts& Counts() const { return counts_; }

 private:
  // One call of Connect. At most one of the two ways delivers its connection; the other one is
  // closed when it is made.
  struct Attempt {
    Attempt(asio::io_context& io, ConnectTarget to)
        : target(std::move(to)), second_way_timer(io), tunnel_timer(io) {}
    ConnectTarget target;
    ConnectDone done;  // Null once it was called.
    asio::steady_timer second_way_timer;
    asio::steady_timer tunnel_timer;  // For the newest call of open_tunnel.
    bool direct_started = false;
    bool direct_failed = false;
    ConnectError direct_error = ConnectError::kRefused;
    bool tunnel_started = false;
    bool tunnel_failed = false;
    std::vector<Endpoint> tried;  // Peers that were asked for a tunnel.
    // Further entry VMs that must have no connection either before the server is unreachable.
    uint32_t words_needed = 1;
    uint32_t tunnel_calls = 0;  // Number of the newest call of open_tunnel.
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  void Connect(const ConnectTarget& target, ConnectDone done);
  void StartDirect(const AttemptPtr& attempt);
  void OnDirect(const AttemptPtr& attempt, ConnectResult result);
  void StartTunnel(const AttemptPtr& attempt);
  void OnTunnel(const AttemptPtr& attempt, const Endpoint& peer, uint32_t call,
                Result<std::shared_ptr<Http2Tunnel>, TunnelError> result);
  void OnTunnelFailed(const AttemptPtr& attempt);
  static void Deliver(const AttemptPtr& attempt, ConnectResult result);
  static void DeliverErrorIfOver(const AttemptPtr& attempt);
  void Check();
  // Opens a tunnel to the server only to see whether that is possible.
  void TestTunnel(const BackendServerId& server);
  void AfterEvidence();

  asio::io_context& io_;
  const Clock& clock_;
  BackendSettings settings_;
  ServerConnectorListener listener_;
  LinkWatch watch_;
  TunnelPeers peers_;
  TunnelCounts counts_;
  WakeTimer check_timer_;
  // Expires with this object; pending callbacks check it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_LINKS_SERVER_CONNECTOR_H_
