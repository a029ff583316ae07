#include "src/members/peer_transport.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <utility>

#include "src/base/wake_timer.h"
#include "src/members/peer_auth.h"
#include "src/members/peer_client.h"
#include "src/members/peer_server.h"

namespace cowsliphill {
namespace {

constexpr std::chrono::milliseconds kMaxTickInterval{1000};

}  // namespace

struct PeerNode::Parts {
  Parts(asio::io_context& loop, const Clock& clock, EntryVmId self, PeerSettings settings,
        const PeerLimits& limits)
      : clock(clock),
        limits(limits),
        settings(std::move(settings)),
        authenticator(this->settings.key),
        server(loop, clock, self, authenticator, limits, stats, traffic),
        client(loop, clock, self, authenticator, limits, stats, traffic),
        timer(loop, clock, [this] { Tick(); }) {
    Tick();
  }
  void Tick() {
    server.Tick();
    const MonotonicTime next = client.Tick();
    timer.WakeBy(std::min(next, clock.Now() + kMaxTickInterval));
  }

  const Clock& clock;
  PeerLimits limits;
  PeerSettings settings;
  PeerAuthenticator authenticator;
  PeerStats stats;
  TrafficStats traffic;
  PeerServer server;
  PeerClient client;
  WakeTimer timer;
};

PeerNode::PeerNode(asio::io_context& loop, const Clock& clock, EntryVmId self,
                   PeerSettings settings, PeerLimits limits)
    : parts_(std::make_unique<Parts>(loop, clock, std::move(self), std::move(settings), limits)) {}

PeerNode::~PeerNode() = default;

Result<Endpoint, PeerListenError> PeerNode::Listen() {
  return parts_->server.Listen(parts_->settings.listen);
}

void PeerNode::Request(Endpoint to, MessageKind kind, std::string payload, Done done) {
  const PeerLimits& limits = parts_->limits;
  parts_->timer.WakeBy(parts_->clock.Now() +
                       std::min(limits.connect_timeout, limits.request_timeout));
  parts_->client.Request(to, kind, std::move(payload), std::move(done));
}

void PeerNode::Handle(MessageKind kind, Handler handler) {
  parts_->server.Handle(kind, std::move(handler));
}

void PeerNode::OpenTunnel(Endpoint to, TunnelRequest request, TunnelDone done) {
  const PeerLimits& limits = parts_->limits;
  parts_->timer.WakeBy(parts_->clock.Now() +
                       std::min(limits.connect_timeout, limits.request_timeout));
  parts_->client.OpenTunnel(to, std::move(request), std::move(done));
}

void PeerNode::HandleTunnels(TunnelHandler handler) {
  parts_->server.HandleTunnels(std::move(handler));
}

PeerStats PeerNode::Stats() const {
  PeerStats stats = parts_->stats;
  stats.bytes_in = parts_->traffic.bytes_in;
  stats.bytes_out = parts_->traffic.bytes_out;
  return stats;
}

size_t PeerNode::OpenConnections() const {
  return parts_->server.OpenConnections() + parts_->client.OpenConnections();
}

}  // namespace cowsliphill
