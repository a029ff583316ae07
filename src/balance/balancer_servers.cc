// The servers of a Balancer: the list, ended attempts, reports, limits and probes.

#include <algorithm>

#include "src/balance/balancer.h"
#include "src/balance/balancer_state.h"

namespace cowsliphill {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// A cancelled attempt counts as a failure after this many times its expected time.
constexpr double kOverdueFactor = 2.5;
// Interval between probes of a server while the times at which its host changes speed are unknown:
// a tenth of the shortest time for which hosts stay slow.
constexpr milliseconds kProbeInterval{50};
// Longest interval between probes of a server, used if the times at which its host changes speed
// are known or its cell is quiet: in-flight counts come from the assignments, and reports only
// correct them.
constexpr milliseconds kMaxProbeInterval{250};
// A cell is quiet after this time without a speed change at any of its hosts: probes then only show
// that its servers are alive.
constexpr milliseconds kQuietPeriod{3000};
constexpr milliseconds kStepDelay{2};  // Delay of a probe after an expected speed change.

}  // namespace

// ---- List of servers ---------------------------------------------------------------------------

void Balancer::Apply(const ServerChanges& changes, const CellMap& cells, MonotonicTime now) {
  for (const BackendServer& config : changes.removed) {
    const auto it = servers_.find(config.id);
    if (it == servers_.end()) continue;
    it->second->listed = false;
    RemoveFromCell(*it->second);
  }
  for (const ServerChange& change : changes.changed) Put(change.server, cells, now);
  for (const BackendServer& config : changes.removed) {
    const auto it = servers_.find(config.id);
    if (it == servers_.end() || it->second->listed) continue;  // It has moved to another cell.
    if (it->second->open_requests.empty()) servers_.erase(it);
  }
}

void Balancer::Put(const BackendServer& config, const CellMap& cells, MonotonicTime now) {
  auto& server = servers_[config.id];
  const bool restarted = server && server->config.started != config.started;
  const bool is_new = !server || restarted;
  if (!server) server = std::make_unique<Server>();
  if (restarted) {
    // The state of the previous process with this id does not apply to the new one.
    server->load = ServerLoad();
    server->health = ServerHealth();
    UpdateLimit(*server, [](ServerLimit& limit) { limit = ServerLimit(); });
    server->leaving = false;
  }
  RemoveFromCell(*server);
  server->config = config;
  server->listed = true;
  if (is_new) server->warmup_end = now + config.warmup;
  const WarmupRule* rule = WarmupRuleOf(*server);
  server->warmup.OnRow(config.warmup, restarted, rule ? rule->usual : milliseconds(0), now);
  if (config.state == BackendState::kLeaving) server->leaving = true;
  AddToCell(*server, cells);
  UpdateWarmup(*server, now);
}

void Balancer::AddToCell(Server& server, const CellMap& cells) {
  const BackendServer& config = server.config;
  server.cell = &FindOrCreateCell(cells.CellOf(config.service, config.failure_domain));
  server.evacuated = evacuated_.count(config.failure_domain) > 0;
  if (!server.leaving && !server.evacuated) server.cell->servers.push_back(&server);
}

void Balancer::RemoveFromCell(Server& server) {
  if (server.cell != nullptr) std::erase(server.cell->servers, &server);
}

void Balancer::Regroup(const CellMap& cells) {
  for (auto& [id, server] : servers_) {
    if (!server->listed) continue;
    RemoveFromCell(*server);
    AddToCell(*server, cells);
  }
}

void Balancer::SetEvacuated(const EvacuatedDomains& domains, const CellMap& cells) {
  evacuated_ = domains;
  for (auto& [id, server] : servers_) {
    const bool was_evacuated = server->evacuated;
    const bool is_evacuated = domains.count(server->config.failure_domain) > 0;
    if (!server->listed || was_evacuated == is_evacuated) continue;
    RemoveFromCell(*server);
    // Its host's speed and its load are those of the time before, or those under the requests that
    // were still running there.
    if (was_evacuated) server->load.ForgetReports();
    AddToCell(*server, cells);
  }
}

std::vector<AssignmentId> Balancer::QueuedWithoutServers() const {
  std::vector<AssignmentId> queued;
  for (const auto& [id, cell] : cells_) {
    if (!cell->servers.empty()) continue;
    for (const QueueKey& key : cell->queue) queued.push_back(std::get<2>(key));
  }
  return queued;
}

std::vector<BackendServer> Balancer::Servers() const {
  std::vector<BackendServer> servers;
  for (const auto& [id, server] : servers_) {
    if (server->listed) servers.push_back(server->config);
  }
  return servers;
}

// ---- Ended attempts and reports ----------------------------------------------------------------

void Balancer::Withdraw(AssignmentId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  RemoveFromQueue(it->second);
  if (Server* server = it->second.server) {
    server->load.OnAssignmentEnded(it->second.assigned_at);
    std::erase(server->open_requests, id);
    if (!server->listed && server->open_requests.empty()) servers_.erase(server->config.id);
  }
  requests_.erase(it);
}

void Balancer::OnAttemptEnded(AssignmentId id, const AttemptResult& result, MonotonicTime now) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.server == nullptr) return Withdraw(id);
  const Request& request = it->second;
  Server& server = *request.server;
  const BackendServerId server_id = server.config.id;
  Cell& cell = *request.cell;
  switch (result.end) {
    case AttemptEnd::kAnswered:
      MarkReached(server, now);
      server.health.OnOutcome(false);
      if (request.host_speed_known) {
        ServiceTimeEstimate& service_time = ServiceTimeOf(cell, request.spec, now);
        if (NearCapacityEstimate::IsNearCapacity(request.assignment.in_flight,
                                                 server.config.slots)) {
          cell.near_capacity.OnAnswer(result.latency,
                                      Times(service_time.Mean(), request.assignment.slowdown));
        } else {
          service_time.OnAnswer(result.latency, request.assignment.slowdown);
        }
      }
      break;
    case AttemptEnd::kShed:
    case AttemptEnd::kNotStarted:
      server.load.OnFull(SlotsOf(server));
      break;
    case AttemptEnd::kConnectFailed:
      if (!server.health.IsDown(now)) {
        health_changes_.push_back({server_id, HealthChange::Cause::kConnectFailed});
      }
      server.health.OnUnreachable(now);
      break;
    case AttemptEnd::kServerError:
    case AttemptEnd::kTimedOut:
    case AttemptEnd::kConnectionLost:
      server.health.OnOutcome(true);
      break;
    case AttemptEnd::kCancelled:
      if (now - request.assigned_at > Times(request.assignment.expected, kOverdueFactor)) {
        server.health.OnOutcome(true);
      }
      break;
  }
  // An instance that has taken over the server's address refuses requests for the server: its
  // notice that the server is gone comes with the refusal.
  if (result.end == AttemptEnd::kNotStarted && result.report && result.report->draining) {
    server.limit.OnUnused(request.assigned_at, now);
  }
  // Only a whole answer without a limit states that there is none.
  if (result.limit || result.end == AttemptEnd::kAnswered) {
    UpdateLimit(server, [&](ServerLimit& limit) {
      limit.OnAnswer(result.limit, request.assigned_at, now);
    });
  }
  Withdraw(id);
  if (result.report) OnReport(server_id, *result.report, now);
}

void Balancer::MarkReached(Server& server, MonotonicTime now) {
  if (server.health.IsDown(now)) {
    health_changes_.push_back({server.config.id, HealthChange::Cause::kReached});
  }
  server.health.OnReached();
}

const BackendServer* Balancer::FindServer(const BackendServerId& server) const {
  const auto it = servers_.find(server);
  return it == servers_.end() ? nullptr : &it->second->config;
}

bool Balancer::MayServe(const BackendServerId& server, MonotonicTime now) const {
  const auto it = servers_.find(server);
  return it != servers_.end() && !it->second->leaving && !it->second->evacuated &&
         !it->second->health.IsDown(now);
}

bool Balancer::MarkLeaving(const BackendServerId& id, uint64_t started) {
  const auto it = servers_.find(id);
  if (it == servers_.end() || it->second->config.started != started) return false;
  Server& server = *it->second;
  if (std::exchange(server.leaving, true)) return false;
  RemoveFromCell(server);
  return true;
}

bool Balancer::IsLeaving(const BackendServerId& server) const {
  const auto it = servers_.find(server);
  return it != servers_.end() && it->second->leaving;
}

void Balancer::OnReport(const BackendServerId& id, const Report& report,
                        MonotonicTime received_at) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) return;
  Server& server = *it->second;
  const ServerLoad::HostChange change =
      server.load.OnReport(report, received_at, host_interval_.Interval());
  MarkReached(server, received_at);
  if (report.limit) {
    UpdateLimit(server, [&](ServerLimit& limit) { limit.OnStatement(report.limit, received_at); });
  }
  if (report.warmup) {
    server.warmup.OnStatement(received_at + *report.warmup, received_at);
    UpdateWarmup(server, received_at);
  }
  if (change.changed) {
    if (received_at - server.cell->last_speed_change > kQuietPeriod) ++next_probe_changes_;
    server.cell->last_speed_change = received_at;
  }
  if (change.gap) {
    const std::optional<Duration> before = host_interval_.Interval();
    host_interval_.OnGapBetweenChanges(*change.gap);
    if (host_interval_.Interval() != before) ++next_probe_changes_;
  }
  if (!report.slowdown) return;
  double& mean = server.cell->mean_slowdown;
  mean += kMeanSlowdownWeight * (*report.slowdown - mean);
  if (*report.slowdown >= kSlowHostThreshold) RecordSlowStarts(server);
}

template <typename Update>
void Balancer::UpdateLimit(Server& server, Update update) {
  const std::optional<double> before = server.limit.Limit();
  update(server.limit);
  const std::optional<double> after = server.limit.Limit();
  if (after == before) return;
  saw_limits_ = true;
  ++limit_changes_seen_;
  limit_changes_.push_back({server.config.id, before, after});
}

void Balancer::SetSharesLimits(const CellId& id, bool shares, MonotonicTime now) {
  Cell& cell = FindOrCreateCell(id);
  if (shares && !cell.shares_limits) {
    for (Server* server : cell.servers) server->limit.Restart(now);
  }
  cell.shares_limits = shares;
}

void Balancer::OnLimitStatement(const LimitStatement& statement) {
  const auto it = servers_.find(statement.server);
  if (it == servers_.end()) return;
  const uint64_t seen = limit_changes_seen_;
  UpdateLimit(*it->second,
              [&](ServerLimit& limit) { limit.OnStatement(statement.limit, statement.stated_at); });
  limit_changes_seen_ = seen;
}

std::vector<LimitStatement> Balancer::LimitsOf(const CellId& id, MonotonicTime now) const {
  std::vector<LimitStatement> limits;
  const auto cell = cells_.find(id);
  if (cell == cells_.end()) return limits;
  for (const Server* server : cell->second->servers) {
    const std::optional<MonotonicTime> stated_at = server->limit.StatedAt();
    if (!stated_at) continue;
    const std::optional<double> limit = server->limit.Limit();
    if (!limit && now - *stated_at > kWithdrawnLimitTime) continue;
    limits.push_back({server->config.id, limit, *stated_at});
  }
  return limits;
}

size_t Balancer::LimitedServers() const {
  return static_cast<size_t>(std::count_if(servers_.begin(), servers_.end(), [](const auto& item) {
    return item.second->listed && item.second->limit.Limit();
  }));
}

// ---- Warm-ups -----------------------------------------------------------------------------------

void Balancer::SetWarmupRules(std::map<ServiceId, WarmupRule> rules, MonotonicTime now) {
  warmup_rules_ = std::move(rules);
  for (auto& [id, server] : servers_) UpdateWarmup(*server, now);
}

const WarmupRule* Balancer::WarmupRuleOf(const Server& server) const {
  const auto it = warmup_rules_.find(server.config.service);
  return it == warmup_rules_.end() ? nullptr : &it->second;
}

void Balancer::UpdateWarmup(Server& server, MonotonicTime now) {
  const WarmupRule* rule = WarmupRuleOf(server);
  server.limit.SetWarmup(rule ? rule->rate : 0, server.warmup.EndsAt(), now);
  if (!server.limit.InWarmup(now) || !in_warmup_.insert(server.config.id).second) return;
  ++warmups_begun_;
  warmup_changes_.push_back(
      {server.config.id, true, duration_cast<milliseconds>(server.warmup.EndsAt() - now)});
}

void Balancer::OnWarmupStatement(const WarmupStatement& statement, MonotonicTime now) {
  const auto it = servers_.find(statement.server);
  if (it == servers_.end()) return;
  it->second->warmup.OnStatement(statement.ends_at, statement.stated_at);
  UpdateWarmup(*it->second, now);
}

std::vector<WarmupStatement> Balancer::WarmupsOf(const CellId& id, MonotonicTime now) const {
  std::vector<WarmupStatement> warmups;
  const auto cell = cells_.find(id);
  if (in_warmup_.empty() || cell == cells_.end()) return warmups;
  for (const Server* server : cell->second->servers) {
    if (!server->limit.InWarmup(now)) continue;
    warmups.push_back({server->config.id, server->warmup.EndsAt(), server->warmup.StatedAt(),
                       !server->warmup.IsBeyondRow()});
  }
  return warmups;
}

std::vector<WarmupChange> Balancer::TakeWarmupChanges(MonotonicTime now) {
  for (auto it = in_warmup_.begin(); it != in_warmup_.end();) {
    const auto server = servers_.find(*it);
    const bool listed = server != servers_.end() && server->second->listed;
    if (listed && server->second->limit.InWarmup(now)) {
      ++it;
      continue;
    }
    if (listed) warmup_changes_.push_back({*it, false, milliseconds(0)});
    it = in_warmup_.erase(it);
  }
  return std::exchange(warmup_changes_, {});
}

bool Balancer::AllLimitedElsewhere(const CellId& id, MonotonicTime now) const {
  const auto it = cells_.find(id);
  if (in_warmup_.empty() || it == cells_.end()) return false;
  const Cell& cell = *it->second;
  return !cell.shares_limits && !cell.servers.empty() &&
         std::all_of(cell.servers.begin(), cell.servers.end(), [now](const Server* server) {
           return server->limit.LimitAt(now) || server->health.IsDown(now);
         });
}

// ---- Hosts and probes ---------------------------------------------------------------------------

// How fast a request runs depends on its host's speed when the request started. A request that was
// assigned after the host had turned slow, but before a report showed that, will therefore be late.
void Balancer::RecordSlowStarts(Server& server) {
  const std::optional<MonotonicTime> changed = server.load.LatestTimeOfLastChange();
  if (!changed) return;
  for (const AssignmentId id : server.open_requests) {
    Request& request = requests_.at(id);
    const bool assigned_unaware =
        request.assignment.slowdown < kSlowHostThreshold && request.assigned_at >= *changed;
    if (!assigned_unaware) continue;
    request.assignment.slowdown = kSlowHostThreshold;  // Each slow start is reported only once.
    request.host_speed_known = false;
    started_slow_.push_back(id);
  }
}

void Balancer::OnMissedProbe(const BackendServerId& id, MonotonicTime now) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) return;
  const bool was_down = it->second->health.IsDown(now);
  it->second->health.OnMissedProbe();
  if (!was_down && it->second->health.IsDown(now)) {
    health_changes_.push_back({id, HealthChange::Cause::kMissedProbes});
  }
}

MonotonicTime Balancer::NextProbe(const BackendServerId& id, MonotonicTime probed) const {
  const auto it = servers_.find(id);
  if (it == servers_.end()) return probed + kProbeInterval;
  const Server& server = *it->second;
  if (server.health.HasMissedProbe() || !server.load.HasReport()) return probed + kProbeInterval;
  const std::optional<MonotonicTime> step = server.load.NextStepProbe(host_interval_.Interval());
  if (step) return std::clamp(*step + kStepDelay, probed + kStepDelay, probed + kMaxProbeInterval);
  const bool quiet = probed - server.cell->last_speed_change > kQuietPeriod;
  return probed + (quiet ? kMaxProbeInterval : kProbeInterval);
}

}  // namespace cowsliphill
