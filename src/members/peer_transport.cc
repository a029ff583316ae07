#include "src/members/peer_transport.h"

#include <asio/io_context.hpp>
#include <utility>

#include "src/members/peer_auth.h"
#include "src/members/peer_client.h"
#include "src/members/peer_server.h"
#include "src/members/ticker.h"

namespace cowsliphill {
namespace {

constexpr std::chrono::milliseconds kTickInterval{100};

}  // namespace

struct PeerNode::Parts {
  Parts(asio::io_context& loop, const Clock& clock, EntryVmId self, PeerSettings settings,
        const PeerLimits& limits)
      : settings(std::move(settings)),
        authenticator(this->settings.key),
        server(loop, clock, self, authenticator, limits, stats, traffic),
        client(loop, clock, self, authenticator, limits, stats, traffic),
        ticker(loop, kTickInterval, [this] {
          client.Tick();
          server.Tick();
        }) {}

  PeerSettings settings;
  PeerAuthenticator authenticator;
  PeerStats stats;
  TrafficStats traffic;
  PeerServer server;
  PeerClient client;
  Ticker ticker;
};

PeerNode::PeerNode(asio::io_context& loop, const Clock& clock, EntryVmId self,
                   PeerSettings settings, PeerLimits limits)
    : parts_(std::make_unique<Parts>(loop, clock, std::move(self), std::move(settings), limits)) {}

PeerNode::~PeerNode() = default;

Result<Endpoint, PeerListenError> PeerNode::Listen() {
  return parts_->server.Listen(parts_->settings.listen);
}

void PeerNode::Request(Endpoint to, MessageKind kind, std::string payload, Done done) {
  parts_->client.Request(to, kind, std::move(payload), std::move(done));
}

void PeerNode::Handle(MessageKind kind, Handler handler) {
  parts_->server.Handle(kind, std::move(handler));
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
