#include "src/links/server_connector.h"

#include <utility>

namespace cowsliphill {

namespace {

constexpr const char* kCheckName = "link check";  // In place of a request's id.

}  // namespace

ServerConnector::ServerConnector(asio::io_context& io, const Clock& clock,
                                 const BackendSettings& settings, uint64_t seed,
                                 ServerConnectorListener listener)
    : io_(io),
      clock_(clock),
      settings_(settings),
      listener_(std::move(listener)),
      watch_(seed),
      peers_(seed),
      check_timer_(io, clock, [this] { Check(); }) {}

LinkHooks ServerConnector::Hooks() {
  LinkHooks hooks;
  hooks.connect = [this](const ConnectTarget& target, ConnectDone done) {
    Connect(target, std::move(done));
  };
  hooks.may_reuse = [this](const BackendServerId& server, MonotonicTime last_active) {
    return watch_.MayReuse(server, last_active);
  };
  hooks.on_contact = [this](const BackendServerId& server) {
    watch_.OnContact(server, clock_.Now());
    AfterEvidence();
  };
  hooks.on_failure = [this](const BackendServerId& server) {
    OnFailure(server);
    return !peers_.Empty();
  };
  return hooks;
}

void ServerConnector::OnFailure(const BackendServerId& server) {
  watch_.OnFailure(server, clock_.Now());
  AfterEvidence();
}

void ServerConnector::Close() { check_timer_.Cancel(); }

// ---- Connections --------------------------------------------------------------------------------

void ServerConnector::Connect(const ConnectTarget& target, ConnectDone done) {
  const auto attempt = std::make_shared<Attempt>(io_, target);
  attempt->done = std::move(done);
  const ServerPath path =
      peers_.Empty() ? ServerPath::kDirect : watch_.PathTo(target.server, clock_.Now());
  if (path == ServerPath::kTunnel) {
    attempt->words_needed = 2;
    return StartTunnel(attempt);
  }
  if (path == ServerPath::kTunnelFirst) {
    StartTunnel(attempt);
  } else {
    StartDirect(attempt);
  }
  attempt->second_way_timer.expires_after(kSecondWayDelay);
  attempt->second_way_timer.async_wait(
      [this, attempt, alive = std::weak_ptr<bool>(alive_)](std::error_code ec) {
        if (ec || alive.expired() || !attempt->done) return;
        if (!attempt->tunnel_started) return StartTunnel(attempt);
        StartDirect(attempt);
      });
}

void ServerConnector::StartDirect(const AttemptPtr& attempt) {
  if (std::exchange(attempt->direct_started, true)) return;
  ConnectDirectly(io_, settings_, attempt->target.endpoint,
                  [this, attempt, alive = std::weak_ptr<bool>(alive_)](ConnectResult result) {
                    if (!alive.expired()) OnDirect(attempt, std::move(result));
                  });
}

void ServerConnector::OnDirect(const AttemptPtr& attempt, ConnectResult result) {
  if (const auto* error = std::get_if<ConnectError>(&result)) {
    watch_.OnFailure(attempt->target.server, clock_.Now());
    attempt->direct_failed = true;
    attempt->direct_error = *error;
    AfterEvidence();
    if (!attempt->done) return;
    if (!attempt->tunnel_started) return StartTunnel(attempt);
    return DeliverErrorIfOver(attempt);
  }
  if (attempt->done) Deliver(attempt, std::move(result));
}

void ServerConnector::StartTunnel(const AttemptPtr& attempt) {
  attempt->tunnel_started = true;
  const MonotonicTime now = clock_.Now();
  const auto server = listener_.find_server(attempt->target.server);
  const std::optional<Endpoint> peer = server && attempt->tried.size() < kMaxTunnelPeers
                                           ? peers_.Pick(attempt->tried, now)
                                           : std::optional<Endpoint>();
  if (!peer) return OnTunnelFailed(attempt);
  attempt->tried.push_back(*peer);
  const uint32_t call = ++attempt->tunnel_calls;
  TunnelRequest request;
  request.server = server->hash;
  request.started = server->started;
  request.time_left = attempt->target.time_left;
  request.request = attempt->target.request;
  listener_.open_tunnel(*peer, std::move(request),
                        [this, attempt, peer = *peer, call, alive = std::weak_ptr<bool>(alive_)](
                            Result<std::shared_ptr<Http2Tunnel>, TunnelError> result) {
                          if (!alive.expired()) OnTunnel(attempt, peer, call, std::move(result));
                        });
  attempt->tunnel_timer.expires_after(kTunnelTimeout);
  attempt->tunnel_timer.async_wait(
      [this, attempt, peer = *peer, call, alive = std::weak_ptr<bool>(alive_)](std::error_code ec) {
        if (ec || alive.expired() || !attempt->done || call != attempt->tunnel_calls) return;
        ++counts_.unanswered;
        peers_.Avoid(peer, clock_.Now());
        StartTunnel(attempt);
      });
}

void ServerConnector::OnTunnel(const AttemptPtr& attempt, const Endpoint& peer, uint32_t call,
                               Result<std::shared_ptr<Http2Tunnel>, TunnelError> result) {
  const MonotonicTime now = clock_.Now();
  const BackendServerId& server = attempt->target.server;
  if (Ok(result)) {
    ++counts_.opened;
    peers_.OnAnswer(peer);
    watch_.OnTunnel(server, true, now);
    AfterEvidence();
    const std::shared_ptr<Http2Tunnel>& tunnel = ValueOf(result);
    if (!attempt->done) return tunnel->Reset();
    return Deliver(attempt, Connected{ByteStream(tunnel, io_.get_executor()), peer});
  }
  const bool is_newest = call == attempt->tunnel_calls;
  const TunnelError error = ErrorOf(result);
  if (error != TunnelError::kNotOpened) ++counts_.refused;
  if (error == TunnelError::kNotOpened || error == TunnelError::kBusy) {
    peers_.Avoid(peer, now);
  } else {
    peers_.OnAnswer(peer);
  }
  if (error == TunnelError::kServerLeaving) listener_.on_leaving(server);
  const bool counts = error == TunnelError::kServerUnreachable && !peers_.HasIndependentOf(peer);
  const bool is_down = counts && --attempt->words_needed == 0;
  if (is_down) {
    watch_.OnTunnel(server, false, now);
    AfterEvidence();
  }
  if (!attempt->done || !is_newest) return;
  if (error == TunnelError::kServerLeaving) return Deliver(attempt, ConnectError::kLeaving);
  is_down ? OnTunnelFailed(attempt) : StartTunnel(attempt);
}

void ServerConnector::OnTunnelFailed(const AttemptPtr& attempt) {
  attempt->tunnel_timer.cancel();
  attempt->tunnel_failed = true;
  if (!attempt->direct_started) return StartDirect(attempt);
  DeliverErrorIfOver(attempt);
}

void ServerConnector::Deliver(const AttemptPtr& attempt, ConnectResult result) {
  attempt->tunnel_timer.cancel();
  attempt->second_way_timer.cancel();
  const ConnectDone done = std::exchange(attempt->done, nullptr);
  done(std::move(result));
}

void ServerConnector::DeliverErrorIfOver(const AttemptPtr& attempt) {
  if (!attempt->done || !attempt->direct_failed || !attempt->tunnel_failed) return;
  Deliver(attempt, attempt->direct_error);
}

// ---- Checks -------------------------------------------------------------------------------------

// To be called after each call of LinkWatch that may change it.
void ServerConnector::AfterEvidence() {
  if (const std::optional<MonotonicTime> next = watch_.NextCheck()) check_timer_.WakeBy(*next);
  listener_.on_links_changed();
}

// A probe that gets no answer is followed by a tunnel, so that a broken link can be told from a
// server that is down.
void ServerConnector::Check() {
  for (const BackendServerId& id : watch_.TakeChecks(clock_.Now())) {
    listener_.probe(id, [this, id, alive = std::weak_ptr<bool>(alive_)](bool answered) {
      if (alive.expired()) return;
      const MonotonicTime now = clock_.Now();
      if (answered) {
        watch_.OnContact(id, now);
        return AfterEvidence();
      }
      OnFailure(id);
      if (watch_.PathTo(id, now) != ServerPath::kTunnel) TestTunnel(id);
    });
  }
  if (const std::optional<MonotonicTime> next = watch_.NextCheck()) check_timer_.WakeBy(*next);
}

void ServerConnector::TestTunnel(const BackendServerId& server) {
  ConnectTarget target;
  target.server = server;
  target.request = kCheckName;
  const auto attempt = std::make_shared<Attempt>(io_, target);
  attempt->direct_started = true;
  attempt->direct_failed = true;
  attempt->done = [](ConnectResult result) {
    if (auto* connected = std::get_if<Connected>(&result)) connected->stream.Close();
  };
  StartTunnel(attempt);
}

}  // namespace cowsliphill
