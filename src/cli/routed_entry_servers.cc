// The part of an entry VM that deals with backend servers: scheduling, the paths to them, and
// requests that crash them.

#include <asio/post.hpp>
#include <utility>

#include "src/cli/routed_entry.h"

namespace cowsliphill {

ServerConnectorListener RoutedEntry::MakeConnectorListener() {
  ServerConnectorListener listener;
  listener.find_server =
      [this](const BackendServerId& id) -> std::optional<ServerConnectorListener::Server> {
    const BackendServer* server = scheduling_.Planner()->FindServer(id);
    if (server == nullptr) return std::nullopt;
    return ServerConnectorListener::Server{server->endpoint, HashName(id.Text()), server->started};
  };
  listener.open_tunnel = [this](const Endpoint& peer, TunnelRequest request,
                                PeerNode::TunnelDone done) {
    peers_.OpenTunnel(peer, std::move(request), std::move(done));
  };
  listener.probe = [this](const BackendServerId& server, std::function<void(bool)> done) {
    link_probes_.CloseAll();  // A link is checked by a new connection.
    link_checks_[server].push_back(std::move(done));
    const std::optional<ProbeTarget> target = scheduling_.ProbeTargetOf(server);
    if (target) return link_probes_.Send(*target);
    asio::post(io_, [this, server] { EndLinkCheck(server, false); });
  };
  listener.on_leaving = [this](const BackendServerId& server) {
    const BackendServer* known = scheduling_.Planner()->FindServer(server);
    if (known != nullptr) scheduling_.Planner()->MarkLeaving(server, known->started);
  };
  listener.on_links_changed = [this] { OnLinksChanged(); };
  return listener;
}

void RoutedEntry::EndLinkCheck(const BackendServerId& server, bool answered) {
  const auto it = link_checks_.find(server);
  if (it == link_checks_.end()) return;
  const std::vector<std::function<void(bool)>> done = std::move(it->second);
  link_checks_.erase(it);
  for (const auto& call : done) call(answered);
}

std::vector<LinkWatch::Server> RoutedEntry::LinkedServers() {
  const RequestPlanner& planner = *scheduling_.Planner();
  std::vector<LinkWatch::Server> servers;
  for (BackendServerId& id : planner.ServerIds()) {
    const ServiceId& service = planner.FindServer(id)->service;
    servers.push_back({std::move(id), service});
  }
  return servers;
}

TunnelServerListener RoutedEntry::MakeTunnelListener() {
  TunnelServerListener listener;
  listener.find_server = [this](const TunnelRequest& request) {
    return FindServerForTunnel(request);
  };
  listener.on_connect = [this](const BackendServerId& server, bool connected) {
    if (!connected) connector_.OnFailure(server);
    return connector_.Links().TrustsFailures(clock_.Now()) ? TunnelError::kServerUnreachable
                                                           : TunnelError::kNoLink;
  };
  listener.on_ended = [this](const TunnelEnd& end) { OnTunnelEnded(end); };
  return listener;
}

std::variant<TunnelServerListener::Server, TunnelError> RoutedEntry::FindServerForTunnel(
    const TunnelRequest& request) {
  if (!HasCatalog() || connector_.Links().LinksLost()) return TunnelError::kBusy;
  const RequestPlanner& planner = *scheduling_.Planner();
  const BackendServer* server = planner.FindServerByHash(request.server);
  if (server == nullptr || server->started != request.started) return TunnelError::kServerUnknown;
  if (planner.IsLeavingOrUnknown(server->id)) return TunnelError::kServerLeaving;
  if (planner.IsPausing(server->id, clock_.Now())) return TunnelError::kBusy;
  // Not kServerLeaving: the server is used again after the evacuation.
  if (planner.IsEvacuated(server->id)) return TunnelError::kBusy;
  if (connector_.Links().PathTo(server->id, clock_.Now()) == ServerPath::kTunnel) {
    return TunnelError::kNoLink;
  }
  return TunnelServerListener::Server{server->id, server->endpoint};
}

void RoutedEntry::OnTunnelEnded(const TunnelEnd& end) {
  RateLimit& budget = end.error || end.server_reset ? failure_log_budget_ : success_log_budget_;
  if (!log_.IsEnabled(LogLevel::kInfo) || !budget.Allow(clock_.Now())) return;
  const auto refused_as = [&end]() -> std::string {
    if (!end.error) return "";
    switch (*end.error) {
      case TunnelError::kServerUnknown:
        return "the server is unknown";
      case TunnelError::kServerLeaving:
        return "the server is leaving";
      case TunnelError::kServerUnreachable:
        return "no connection to the server";
      case TunnelError::kBusy:
      case TunnelError::kNotOpened:
        return "no room or no links";
      case TunnelError::kNoLink:
        return "no link to the server";
    }
    return "";
  };
  log_.Write(LogLevel::kInfo, "tunnel ended",
             {{"request", end.request},
              {"entry_vm", end.for_entry_vm.Text()},
              {"backend_server", end.server.Text()},
              {"refused", refused_as()},
              {"server_reset", end.server_reset},
              {"bytes_up", static_cast<int64_t>(end.bytes_up)},
              {"bytes_down", static_cast<int64_t>(end.bytes_down)},
              {"took_ms", Millis(end.took)}});
}

// Called whenever what is known of the links may have changed: logs that, and hands over the duties
// that need links.
void RoutedEntry::OnLinksChanged() {
  const LinkWatch& links = connector_.Links();
  const MonotonicTime now = clock_.Now();
  const auto write = [&](LogLevel level, const char* event) {
    log_.Write(level, event,
               {{"failed_servers", static_cast<int64_t>(links.FailedSinceContact())},
                {"bypassed_servers", static_cast<int64_t>(links.BypassedServers())},
                {"last_contact_ms", Millis(now - links.LastContact())}});
  };
  const bool reaches_none = links.ReachesNone();
  if (std::exchange(was_reaching_none_, reaches_none) != reaches_none) {
    write(reaches_none ? LogLevel::kWarning : LogLevel::kInfo,
          reaches_none ? "reaches no backend server" : "reaches backend servers");
  }
  const bool lost = links.LinksLost();
  if (std::exchange(had_links_lost_, lost) == lost) return;
  write(lost ? LogLevel::kWarning : LogLevel::kInfo, lost ? "links lost" : "links regained");
  // Posted, because this is called while attempts are handled, which the following may change.
  asio::post(io_, [this] {
    members_->SetLinksLost(had_links_lost_);
    OnMembers();
    if (had_links_lost_) SendStuckRequestsAgain();
  });
}

// What was sent over a link that is broken gets no answer.
void RoutedEntry::SendStuckRequestsAgain() {
  std::vector<std::shared_ptr<Exchange>> exchanges;
  for (const auto& [ticket, it] : context_.exchanges) exchanges.push_back(it->shared_from_this());
  for (const std::shared_ptr<Exchange>& it : exchanges) it->OnLinksLost();
}

ScheduleListener RoutedEntry::MakeScheduleListener() {
  ScheduleListener listener;
  listener.send = [this](const Endpoint& to, const std::string& payload) {
    datagrams_.Send({to}, payload);
  };
  listener.on_event = [this](const std::string& event, const std::string& detail) {
    if (!event_log_budget_.Allow(clock_.Now())) return;
    log_.Write(LogLevel::kInfo, event, {{"detail", detail}});
  };
  listener.on_limit = [this](const LimitChange& change) {
    if (!event_log_budget_.Allow(clock_.Now())) return;
    const char* kind = !change.before ? "named" : change.after ? "changed" : "withdrawn";
    log_.Write(LogLevel::kInfo, "backend server limit",
               {{"backend_server", change.server.Text()},
                {"change", std::string(kind)},
                {"per_second", change.after.value_or(0)},
                {"per_second_before", change.before.value_or(0)}});
  };
  listener.on_leaving = [this](const BackendServerId& server) {
    if (!event_log_budget_.Allow(clock_.Now())) return;
    log_.Write(LogLevel::kInfo, "backend server",
               {{"backend_server", server.Text()}, {"change", std::string("says it is leaving")}});
  };
  listener.on_pause = [this](const PauseBegin& it) {
    if (!event_log_budget_.Allow(clock_.Now())) return;
    log_.Write(LogLevel::kInfo, "backend server pause",
               {{"backend_server", it.server.Text()}, {"asked_ms", Millis(it.pause)}});
  };
  listener.on_evacuation = [this](const EvacuationEvent& event) { LogEvacuation(event); };
  listener.on_health = [this](const ServerHealthReport& report) {
    if (!event_log_budget_.Allow(clock_.Now())) return;
    using Cause = HealthChange::Cause;
    const Cause cause = report.change.cause;
    log_.Write(LogLevel::kInfo, "backend server health",
               {{"backend_server", report.change.server.Text()},
                {"change", std::string(cause == Cause::kReached ? "up" : "down")},
                {"cause", std::string(cause == Cause::kReached        ? "it answers"
                                      : cause == Cause::kMissedProbes ? "missed probes"
                                                                      : "failed connect")},
                {"reported_by", report.reported_by.ToString()}});
  };
  return listener;
}

// Operators cause these lines, and few of them, so they need no log budget.
void RoutedEntry::LogEvacuation(const EvacuationEvent& event) {
  const bool unknown = event.kind == EvacuationEvent::Kind::kUnknownDomain;
  const auto change = [&event]() -> std::string {
    switch (event.kind) {
      case EvacuationEvent::Kind::kBegun:
        return "begun";
      case EvacuationEvent::Kind::kIdle:
        return "no request left";
      case EvacuationEvent::Kind::kEnded:
        return "ended";
      case EvacuationEvent::Kind::kUnknownDomain:
        return "unknown failure domain";
    }
    return "";
  };
  log_.Write(unknown ? LogLevel::kWarning : LogLevel::kInfo, "evacuation",
             {{"failure_domain", event.failure_domain.Text()},
              {"change", change()},
              {"running_attempts", static_cast<int64_t>(event.running)},
              {"since_ms", Millis(event.since)},
              {"manifest_age_ms", Millis(follower_.ManifestAge())}});
}

ProbeClient::ReadReport RoutedEntry::MakeReportReader() const {
  return [this](const HttpHead& response, const ProbeTarget& target) {
    std::optional<Report> report = adapter_.probe_report(response, target.server);
    if (report && !report->unreadable.empty()) {
      context_.on_bad_statement(report->unreadable);
    }
    return report;
  };
}

PoisonListener RoutedEntry::MakePoisonListener() {
  PoisonListener listener;
  listener.send = [this](const std::vector<Endpoint>& to, const std::string& payload) {
    datagrams_.Send(to, payload);
  };
  listener.find_server = [this](const BackendServerId& server) {
    return scheduling_.Planner()->FindServer(server);
  };
  listener.server_ids = [this] { return scheduling_.Planner()->ServerIds(); };
  listener.probe_target = [this](const BackendServerId& server) {
    return scheduling_.ProbeTargetOf(server);
  };
  listener.is_leaving = [this](const BackendServerId& server) {
    const RequestPlanner& planner = *scheduling_.Planner();
    return planner.IsLeavingOrUnknown(server) || planner.IsEvacuated(server);
  };
  listener.on_verified = [this](const LostAttempt& lost, bool crashed, const std::string& detail) {
    if (!event_log_budget_.Allow(clock_.Now())) return;
    log_.Write(LogLevel::kWarning, "attempt lost its server",
               {{"request", lost.request.Text()},
                {"request_hash", ToText(lost.hash)},
                {"caller", lost.caller},
                {"target", lost.target},
                {"backend_server", lost.server.Text()},
                {"crashed", crashed},
                {"detail", detail}});
  };
  listener.on_event = [this](const PoisonEvent& event) {
    const bool suspected = event.kind == PoisonEvent::Kind::kSuspected;
    if (suspected && !event_log_budget_.Allow(clock_.Now())) return;
    const bool condemned = event.kind == PoisonEvent::Kind::kCondemned;
    log_.Write(
        LogLevel::kWarning,
        suspected   ? "request suspected"
        : condemned ? "request condemned"
                    : "request acquitted",
        {{"request_hash", ToText(event.hash)}, {"crashes", static_cast<int64_t>(event.crashes)}});
  };
  return listener;
}

}  // namespace cowsliphill
