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
  if (!peers_.contains(to)) MakeRoom();
  Peer& peer = peers_[to];
  const MonotonicTime now = clock_.Now();
  const bool backing_off = !peer.connection && !peer.connecting && now < peer.next_connect;
  if (backing_off || peer.queue.size() >= limits_.max_queue) {
    ++stats_.unreachable;
    return Finish(std::move(done), PeerError::kUnreachable);
  }
  peer.last_used = now;
  peer.queue.push_back({PathOf(kind), std::move(payload), std::move(done), now});
  if (!peer.connection && !peer.connecting) return Connect(to, peer);
  if (peer.greeted) SendQueued(peer);
}

void PeerClient::Tick() {
  const MonotonicTime now = clock_.Now();
  for (auto it = peers_.begin(); it != peers_.end();) {
    Expire(it->second, now);
    if (Idle(it->second, now)) {
      Drop(it->second, PeerError::kTimeout);
      it = peers_.erase(it);
    } else {
      ++it;
    }
  }
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
  if (ec) return ConnectFailed(peer);
  peer.generation = ++last_generation_;
  peer.opened = clock_.Now();
  peer.connecting = std::make_shared<asio::ip::tcp::socket>(loop_);
  peer.connecting->async_connect({address, to.port},
                                 [this, to, generation = peer.generation, socket = peer.connecting,
                                  alive = std::weak_ptr<bool>(alive_)](std::error_code ec) {
                                   if (alive.expired()) return;
                                   Peer* current = Current(to, generation);
                                   if (current == nullptr || !current->connecting) return;
                                   if (ec) return ConnectFailed(*current);
                                   Connected(to, *current);
                                 });
}

void PeerClient::Connected(const Endpoint& to, Peer& peer) {
  ++stats_.connections_out;
  peer.connection =
      std::make_shared<Http2Connection>(std::move(*peer.connecting), Http2Connection::Role::kClient,
                                        ConnectionLimits(limits_), traffic_);
  peer.connecting.reset();
  const uint64_t generation = peer.generation;
  Http2Connection::Events events;
  events.on_message = [this, to, generation](int32_t stream, const Http2Message& answer) {
    if (Peer* current = Current(to, generation)) Arrived(to, *current, stream, answer);
  };
  events.on_reset = [this, to, generation](int32_t stream) {
    if (Peer* current = Current(to, generation)) Drop(*current, PeerError::kTimeout);
  };
  events.on_closed = [this, to, generation] {
    if (Peer* current = Current(to, generation)) Drop(*current, PeerError::kTimeout);
  };
  const std::shared_ptr<Http2Connection> connection = peer.connection;
  connection->Start(std::move(events));
  peer.client_nonce = MakeNonce();
  Http2Message hello;
  hello.path = kHelloPath;
  hello.version = kPeerVersion;
  hello.sender = self_.Text();
  hello.nonce = peer.client_nonce;
  connection->SendRequest(hello);
}

void PeerClient::ConnectFailed(Peer& peer) {
  const auto doubled = std::max(limits_.first_back_off, peer.back_off * 2);
  peer.back_off = std::min(doubled, limits_.longest_back_off);
  peer.next_connect = clock_.Now() + peer.back_off;
  Drop(peer, PeerError::kTimeout);
}

void PeerClient::Greeted(const Endpoint& to, Peer& peer, const Http2Message& answer) {
  const bool good = answer.status == kStatusOk && answer.nonce.size() == kNonceLength &&
                    !answer.sender.empty() && answer.sender.size() <= kMaxEntryVmIdLength;
  if (!good) {
    ++stats_.refused_by_peer;
    return ConnectFailed(peer);
  }
  peer.id = EntryVmId(answer.sender);
  peer.server_nonce = answer.nonce;
  peer.greeted = true;
  SendQueued(peer);
}

// --- Requests ---

void PeerClient::SendQueued(Peer& peer) {
  while (peer.connection && !peer.queue.empty() && peer.open.size() < limits_.max_streams) {
    Pending pending = std::move(peer.queue.front());
    peer.queue.pop_front();
    Send(peer, std::move(pending));
  }
}

void PeerClient::Send(Peer& peer, Pending pending) {
  const int32_t stream = peer.connection->NextStream();
  Http2Message request;
  request.path = pending.path;
  request.version = kPeerVersion;
  request.body = std::move(pending.payload);
  request.authenticator = authenticator_.Sign(
      {PeerDirection::kRequest, peer.client_nonce, peer.server_nonce, self_, stream, request.path},
      request.body);
  ++stats_.requests_out;
  peer.open[stream] = std::move(pending);
  // Fails only when the stream numbers are used up, or the peer says goodbye.
  if (peer.connection->SendRequest(request) != stream) Drop(peer, PeerError::kTimeout);
}

void PeerClient::Arrived(const Endpoint& to, Peer& peer, int32_t stream,
                         const Http2Message& answer) {
  peer.last_heard = clock_.Now();
  if (!peer.greeted) return Greeted(to, peer, answer);
  const auto it = peer.open.find(stream);
  if (it == peer.open.end()) return;  // Its time was up.
  Pending pending = std::move(it->second);
  peer.open.erase(it);
  ReadAnswer(to, peer, std::move(pending), stream, answer);
}

void PeerClient::ReadAnswer(const Endpoint& to, Peer& peer, Pending pending, int32_t stream,
                            const Http2Message& answer) {
  if (answer.too_large || answer.status != kStatusOk) {
    ++(answer.too_large ? stats_.refused_size : stats_.refused_by_peer);
    Finish(std::move(pending.done), PeerError::kRefused);
    return SendQueued(peer);
  }
  const PeerMessageIdentity identity{
      PeerDirection::kReply, peer.client_nonce, peer.server_nonce, peer.id, stream, pending.path};
  if (!authenticator_.Verify(identity, answer.body, answer.authenticator)) {
    ++stats_.refused_authenticator;
    Finish(std::move(pending.done), PeerError::kRefused);
    return ConnectFailed(peer);
  }
  peer.back_off = std::chrono::milliseconds(0);
  Finish(std::move(pending.done), answer.body);
  SendQueued(peer);
}

// Closes the connection. Requests that were sent end with `of_open`, the others as not sent.
void PeerClient::Drop(Peer& peer, PeerError of_open) {
  if (peer.connection) peer.connection->Close();
  peer.connection.reset();
  if (peer.connecting) {
    std::error_code ec;
    peer.connecting->close(ec);
  }
  peer.connecting.reset();
  peer.generation = 0;
  peer.greeted = false;
  std::map<int32_t, Pending> open = std::exchange(peer.open, {});
  std::deque<Pending> queue = std::exchange(peer.queue, {});
  for (auto& [stream, pending] : open) {
    if (of_open == PeerError::kTimeout) ++stats_.timeouts;
    Finish(std::move(pending.done), of_open);
  }
  for (Pending& pending : queue) {
    ++stats_.unreachable;
    Finish(std::move(pending.done), PeerError::kUnreachable);
  }
}

// --- Time ---

void PeerClient::Expire(Peer& peer, MonotonicTime now) {
  const MonotonicTime limit = now - limits_.request_timeout;
  const bool opening = (peer.connecting || peer.connection) && !peer.greeted;
  if (opening && peer.opened < now - limits_.connect_timeout) return ConnectFailed(peer);
  bool silent = false;
  for (auto it = peer.open.begin(); it != peer.open.end();) {
    if (it->second.sent >= limit) {
      ++it;
      continue;
    }
    if (peer.last_heard <= it->second.sent) silent = true;
    ++stats_.timeouts;
    Finish(std::move(it->second.done), PeerError::kTimeout);
    it = peer.open.erase(it);
  }
  while (!peer.queue.empty() && peer.queue.front().sent < limit) {
    ++stats_.unreachable;
    Finish(std::move(peer.queue.front().done), PeerError::kUnreachable);
    peer.queue.pop_front();
  }
  if (!silent) return;
  ++stats_.silent_connections;
  Drop(peer, PeerError::kTimeout);
}

bool PeerClient::Idle(const Peer& peer, MonotonicTime now) const {
  const bool busy = !peer.open.empty() || !peer.queue.empty() || peer.connecting != nullptr;
  if (busy) return false;
  const bool forgettable = !peer.connection && now >= peer.next_connect + limits_.longest_back_off;
  return forgettable || now - peer.last_used > limits_.idle_timeout;
}

// Drops the peer that was used longest ago when there are too many.
void PeerClient::MakeRoom() {
  if (peers_.size() < limits_.max_connections) return;
  const auto oldest = std::min_element(
      peers_.begin(), peers_.end(),
      [](const auto& a, const auto& b) { return a.second.last_used < b.second.last_used; });
  Drop(oldest->second, PeerError::kTimeout);
  peers_.erase(oldest);
}

void PeerClient::Finish(PeerNode::Done done, Result<std::string, PeerError> result) {
  asio::post(loop_, [done = std::move(done), result = std::move(result),
                     alive = std::weak_ptr<bool>(alive_)]() mutable {
    if (!alive.expired()) done(std::move(result));
  });
}

PeerClient::Peer* PeerClient::Current(const Endpoint& to, uint64_t generation) {
  const auto it = peers_.find(to);
  const bool current = it != peers_.end() && it->second.generation == generation;
  return current ? &it->second : nullptr;
}

}  // namespace cowsliphill
