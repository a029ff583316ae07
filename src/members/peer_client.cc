#include "src/members/peer_client.h"

#include <algorithm>
#include <asio/post.hpp>
#include <system_error>
#include <utility>
#include <vector>

#include "src/members/peer_wire.h"

namespace cowsliphill {

PeerClient::PeerClient(asio::io_context& loop, const Clock& clock, EntryVmId self,
                       const PeerAuthenticator& authenticator, const PeerLimits& limits,
                       PeerStats& stats, TrafficStats& traffic)
    : loop_(loop),
      clock_(clock),
      self_(std::move(self)),
      authenticator_(authenticator),
      limits_(limits),
      stats_(stats),
      traffic_(traffic) {}

PeerClient::~PeerClient() {
  for (auto& [to, peer] : peers_) {
    if (peer.connection) peer.connection->Close();
  }
}

void PeerClient::Request(const Endpoint& to, MessageKind kind, std::string payload,
                         PeerNode::Done done) {
  if (payload.size() > limits_.max_payload_bytes) {
    ++stats_.refused_size;
    return Finish(std::move(done), PeerError::kRefused);
  }
  Peer* peer = PeerForRequest(to);
  if (peer == nullptr) return Finish(std::move(done), PeerError::kUnreachable);
  peer->queue.push_back({MessagePath(kind), std::move(payload), std::move(done), clock_.Now()});
  if (!peer->connection && !peer->connecting) return Connect(to, *peer);
  if (peer->handshake_done) SendQueued(*peer);
}

PeerClient::Peer* PeerClient::PeerForRequest(const Endpoint& to) {
  if (!peers_.contains(to)) EvictLeastRecentlyUsed();
  Peer& peer = peers_[to];
  const MonotonicTime now = clock_.Now();
  const bool backing_off = !peer.connection && !peer.connecting && now < peer.earliest_reconnect;
  if (backing_off || peer.queue.size() + peer.tunnel_queue.size() >= limits_.max_queue) {
    ++stats_.unreachable;
    return nullptr;
  }
  peer.last_used = now;
  return &peer;
}

void PeerClient::OpenTunnel(const Endpoint& to, TunnelRequest request, PeerNode::TunnelDone done) {
  Peer* peer = PeerForRequest(to);
  if (peer == nullptr) return FinishTunnel(std::move(done), TunnelError::kNotOpened);
  peer->tunnel_queue.push_back({std::move(request), std::move(done), clock_.Now(), nullptr});
  if (!peer->connection && !peer->connecting) return Connect(to, *peer);
  if (peer->handshake_done) SendQueued(*peer);
}

MonotonicTime PeerClient::Tick() {
  const MonotonicTime now = clock_.Now();
  MonotonicTime next = now + limits_.idle_timeout;
  for (auto it = peers_.begin(); it != peers_.end();) {
    ExpireRequests(it->second, now);
    if (IsRemovable(it->second, now)) {
      Disconnect(it->second, PeerError::kTimeout);
      it = peers_.erase(it);
    } else {
      next = std::min(next, NextTimeout(it->second));
      ++it;
    }
  }
  return std::max(next, now + limits_.timeout_resolution);
}

MonotonicTime PeerClient::NextTimeout(const Peer& peer) const {
  const bool opening = (peer.connecting || peer.connection) && !peer.handshake_done;
  if (opening) return peer.connect_start + limits_.connect_timeout;
  MonotonicTime next = peer.last_used + limits_.idle_timeout;
  if (!peer.queue.empty()) next = peer.queue.front().requested_at + limits_.request_timeout;
  for (const auto& [stream, pending] : peer.in_flight) {
    next = std::min(next, pending.requested_at + limits_.request_timeout);
  }
  if (!peer.tunnel_queue.empty()) {
    next = std::min(next, peer.tunnel_queue.front().requested_at + limits_.request_timeout);
  }
  for (const auto& [stream, pending] : peer.opening_tunnels) {
    next = std::min(next, pending.requested_at + limits_.request_timeout);
  }
  return next;
}

size_t PeerClient::OpenConnections() const {
  return static_cast<size_t>(std::count_if(peers_.begin(), peers_.end(), [](const auto& it) {
    return it.second.connection != nullptr;
  }));
}

// --- Connecting ---

void PeerClient::Connect(const Endpoint& to, Peer& peer) {
  std::error_code ec;
  const auto address = asio::ip::make_address(to.ip, ec);
  if (ec) return OnConnectFailure(peer);
  peer.generation = ++last_generation_;
  peer.connect_start = clock_.Now();
  peer.connecting = std::make_shared<asio::ip::tcp::socket>(loop_);
  peer.connecting->async_connect({address, to.port},
                                 [this, to, generation = peer.generation, socket = peer.connecting,
                                  alive = std::weak_ptr<bool>(alive_)](std::error_code ec) {
                                   if (alive.expired()) return;
                                   Peer* current = FindPeer(to, generation);
                                   if (current == nullptr || !current->connecting) return;
                                   if (ec) return OnConnectFailure(*current);
                                   OnConnected(to, *current);
                                 });
}

void PeerClient::OnConnected(const Endpoint& to, Peer& peer) {
  ++stats_.connections_out;
  peer.connection =
      std::make_shared<Http2Connection>(std::move(*peer.connecting), Http2Connection::Role::kClient,
                                        ConnectionLimits(limits_), traffic_);
  peer.connecting.reset();
  const uint64_t generation = peer.generation;
  Http2Connection::Events events;
  events.on_message = [this, to, generation](int32_t stream, const Http2Message& response) {
    if (Peer* current = FindPeer(to, generation)) OnResponse(to, *current, stream, response);
  };
  events.on_tunnel_answer = [this, to, generation](int32_t stream, int status) {
    if (Peer* current = FindPeer(to, generation)) OnTunnelAnswer(*current, stream, status);
  };
  events.on_reset = [this, to, generation](int32_t stream) {
    if (Peer* current = FindPeer(to, generation)) Disconnect(*current, PeerError::kTimeout);
  };
  events.on_closed = [this, to, generation] {
    if (Peer* current = FindPeer(to, generation)) Disconnect(*current, PeerError::kTimeout);
  };
  const std::shared_ptr<Http2Connection> connection = peer.connection;
  connection->Start(std::move(events));
  peer.client_nonce = MakeNonce();
  Http2Message hello;
  hello.path = kHelloPath;
  hello.version = kPeerProtocolVersion;
  hello.sender = self_.Text();
  hello.nonce = peer.client_nonce;
  connection->SendRequest(hello);
}

void PeerClient::OnConnectFailure(Peer& peer) {
  const auto doubled = std::max(limits_.initial_backoff, peer.backoff * 2);
  peer.backoff = std::min(doubled, limits_.max_backoff);
  peer.earliest_reconnect = clock_.Now() + peer.backoff;
  Disconnect(peer, PeerError::kTimeout);
}

void PeerClient::OnHelloResponse(const Endpoint& to, Peer& peer, const Http2Message& response) {
  const bool valid = response.status == kStatusOk && response.nonce.size() == kNonceLength &&
                     !response.sender.empty() && response.sender.size() <= kMaxEntryVmIdLength;
  if (!valid) {
    ++stats_.refused_by_peer;
    return OnConnectFailure(peer);
  }
  peer.id = EntryVmId(response.sender);
  peer.server_nonce = response.nonce;
  peer.handshake_done = true;
  SendQueued(peer);
}

// --- Requests ---

void PeerClient::SendQueued(Peer& peer) {
  while (peer.connection && !peer.queue.empty() && peer.in_flight.size() < limits_.max_streams) {
    Pending pending = std::move(peer.queue.front());
    peer.queue.pop_front();
    Send(peer, std::move(pending));
  }
  while (peer.connection && !peer.tunnel_queue.empty()) {
    PendingTunnel pending = std::move(peer.tunnel_queue.front());
    peer.tunnel_queue.pop_front();
    if (peer.connection->OpenTunnels() >= kMaxTunnelsPerConnection) {
      FinishTunnel(std::move(pending.done), TunnelError::kBusy);
    } else {
      SendTunnelRequest(peer, std::move(pending));
    }
  }
}

void PeerClient::SendTunnelRequest(Peer& peer, PendingTunnel pending) {
  Http2Message request;
  request.version = kPeerProtocolVersion;
  request.tunnel_to = FormatTunnelTo(pending.request);
  request.request = pending.request.request.substr(0, kMaxTunnelRequestIdLength);
  request.authenticator =
      authenticator_.Sign({PeerDirection::kRequest, peer.client_nonce, peer.server_nonce, self_,
                           peer.connection->NextStream(), kTunnelPath},
                          request.tunnel_to);
  ++stats_.requests_out;
  auto [stream, tunnel] = peer.connection->OpenTunnel(request);
  // It fails only when the stream numbers are used up or the peer sent GOAWAY.
  if (!tunnel) {
    FinishTunnel(std::move(pending.done), TunnelError::kNotOpened);
    return Disconnect(peer, PeerError::kTimeout);
  }
  pending.tunnel = std::move(tunnel);
  peer.opening_tunnels[stream] = std::move(pending);
}

void PeerClient::OnTunnelAnswer(Peer& peer, int32_t stream, int status) {
  peer.last_response = clock_.Now();
  const auto it = peer.opening_tunnels.find(stream);
  if (it == peer.opening_tunnels.end()) return;
  PendingTunnel pending = std::move(it->second);
  peer.opening_tunnels.erase(it);
  if (status == kStatusOk) return FinishTunnel(std::move(pending.done), std::move(pending.tunnel));
  pending.tunnel->Reset();
  FinishTunnel(std::move(pending.done), TunnelErrorOf(status));
}

void PeerClient::FinishTunnel(PeerNode::TunnelDone done,
                              Result<std::shared_ptr<Http2Tunnel>, TunnelError> result) {
  asio::post(loop_, [done = std::move(done), result = std::move(result),
                     alive = std::weak_ptr<bool>(alive_)]() mutable {
    if (!alive.expired()) done(std::move(result));
  });
}

void PeerClient::Send(Peer& peer, Pending pending) {
  const int32_t stream = peer.connection->NextStream();
  Http2Message request;
  request.path = pending.path;
  request.version = kPeerProtocolVersion;
  request.body = std::move(pending.payload);
  request.authenticator = authenticator_.Sign(
      {PeerDirection::kRequest, peer.client_nonce, peer.server_nonce, self_, stream, request.path},
      request.body);
  ++stats_.requests_out;
  peer.in_flight[stream] = std::move(pending);
  // SendRequest fails only when the stream numbers are used up or the peer sent GOAWAY.
  if (peer.connection->SendRequest(request) != stream) Disconnect(peer, PeerError::kTimeout);
}

void PeerClient::OnResponse(const Endpoint& to, Peer& peer, int32_t stream,
                            const Http2Message& response) {
  peer.last_response = clock_.Now();
  if (!peer.handshake_done) return OnHelloResponse(to, peer, response);
  const auto it = peer.in_flight.find(stream);
  if (it == peer.in_flight.end()) return;  // The request timed out before.
  Pending pending = std::move(it->second);
  peer.in_flight.erase(it);
  OnRequestResponse(to, peer, std::move(pending), stream, response);
}

void PeerClient::OnRequestResponse(const Endpoint& to, Peer& peer, Pending pending, int32_t stream,
                                   const Http2Message& response) {
  if (response.too_large || response.status != kStatusOk) {
    ++(response.too_large ? stats_.refused_size : stats_.refused_by_peer);
    Finish(std::move(pending.done), PeerError::kRefused);
    return SendQueued(peer);
  }
  const PeerMessageIdentity identity{
      PeerDirection::kReply, peer.client_nonce, peer.server_nonce, peer.id, stream, pending.path};
  if (!authenticator_.Verify(identity, response.body, response.authenticator)) {
    ++stats_.refused_authenticator;
    Finish(std::move(pending.done), PeerError::kRefused);
    return OnConnectFailure(peer);
  }
  peer.backoff = std::chrono::milliseconds(0);
  Finish(std::move(pending.done), response.body);
  SendQueued(peer);
}

// Closes the connection. Requests that were sent end with `in_flight_error`, queued ones with
// kUnreachable.
void PeerClient::Disconnect(Peer& peer, PeerError in_flight_error) {
  if (peer.connection) peer.connection->Close();
  peer.connection.reset();
  if (peer.connecting) {
    std::error_code ec;
    peer.connecting->close(ec);
  }
  peer.connecting.reset();
  peer.generation = 0;
  peer.handshake_done = false;
  std::map<int32_t, Pending> in_flight = std::exchange(peer.in_flight, {});
  std::deque<Pending> queue = std::exchange(peer.queue, {});
  for (PendingTunnel& pending : std::exchange(peer.tunnel_queue, {})) {
    FinishTunnel(std::move(pending.done), TunnelError::kNotOpened);
  }
  for (auto& [stream, pending] : std::exchange(peer.opening_tunnels, {})) {
    FinishTunnel(std::move(pending.done), TunnelError::kNotOpened);
  }
  for (auto& [stream, pending] : in_flight) {
    if (in_flight_error == PeerError::kTimeout) ++stats_.timeouts;
    Finish(std::move(pending.done), in_flight_error);
  }
  for (Pending& pending : queue) {
    ++stats_.unreachable;
    Finish(std::move(pending.done), PeerError::kUnreachable);
  }
}

// --- Timeouts ---

void PeerClient::ExpireRequests(Peer& peer, MonotonicTime now) {
  const MonotonicTime cutoff = now - limits_.request_timeout;
  const bool opening = (peer.connecting || peer.connection) && !peer.handshake_done;
  if (opening && peer.connect_start < now - limits_.connect_timeout) return OnConnectFailure(peer);
  bool silent = ExpireTunnelRequests(peer, cutoff);
  for (auto it = peer.in_flight.begin(); it != peer.in_flight.end();) {
    if (it->second.requested_at >= cutoff) {
      ++it;
      continue;
    }
    if (peer.last_response <= it->second.requested_at) silent = true;
    ++stats_.timeouts;
    Finish(std::move(it->second.done), PeerError::kTimeout);
    it = peer.in_flight.erase(it);
  }
  while (!peer.queue.empty() && peer.queue.front().requested_at < cutoff) {
    ++stats_.unreachable;
    Finish(std::move(peer.queue.front().done), PeerError::kUnreachable);
    peer.queue.pop_front();
  }
  if (!silent) return;
  ++stats_.silent_connections;
  Disconnect(peer, PeerError::kTimeout);
}

bool PeerClient::ExpireTunnelRequests(Peer& peer, MonotonicTime cutoff) {
  bool silent = false;
  for (auto it = peer.opening_tunnels.begin(); it != peer.opening_tunnels.end();) {
    if (it->second.requested_at >= cutoff) {
      ++it;
      continue;
    }
    if (peer.last_response <= it->second.requested_at) silent = true;
    ++stats_.timeouts;
    it->second.tunnel->Reset();
    FinishTunnel(std::move(it->second.done), TunnelError::kNotOpened);
    it = peer.opening_tunnels.erase(it);
  }
  while (!peer.tunnel_queue.empty() && peer.tunnel_queue.front().requested_at < cutoff) {
    ++stats_.unreachable;
    FinishTunnel(std::move(peer.tunnel_queue.front().done), TunnelError::kNotOpened);
    peer.tunnel_queue.pop_front();
  }
  return silent;
}

bool PeerClient::IsRemovable(const Peer& peer, MonotonicTime now) const {
  const bool has_tunnels =
      !peer.tunnel_queue.empty() || (peer.connection && peer.connection->OpenTunnels() > 0);
  const bool busy =
      !peer.in_flight.empty() || !peer.queue.empty() || has_tunnels || peer.connecting != nullptr;
  if (busy) return false;
  const bool forgettable = !peer.connection && now >= peer.earliest_reconnect + limits_.max_backoff;
  return forgettable || now - peer.last_used > limits_.idle_timeout;
}

// Removes the least recently used peer if max_connections is reached.
void PeerClient::EvictLeastRecentlyUsed() {
  if (peers_.size() < limits_.max_connections) return;
  // One without tunnels goes first: requests of callers run through those.
  const auto has_tunnels = [](const Peer& peer) {
    return peer.connection && peer.connection->OpenTunnels() > 0;
  };
  const auto oldest =
      std::min_element(peers_.begin(), peers_.end(), [&](const auto& a, const auto& b) {
        return std::pair(has_tunnels(a.second), a.second.last_used) <
               std::pair(has_tunnels(b.second), b.second.last_used);
      });
  Disconnect(oldest->second, PeerError::kTimeout);
  peers_.erase(oldest);
}

void PeerClient::Finish(PeerNode::Done done, Result<std::string, PeerError> result) {
  asio::post(loop_, [done = std::move(done), result = std::move(result),
                     alive = std::weak_ptr<bool>(alive_)]() mutable {
    if (!alive.expired()) done(std::move(result));
  });
}

PeerClient::Peer* PeerClient::FindPeer(const Endpoint& to, uint64_t generation) {
  const auto it = peers_.find(to);
  const bool current = it != peers_.end() && it->second.generation == generation;
  return current ? &it->second : nullptr;
}

}  // namespace cowsliphill
