#include "src/schedule/scheduler.h"

#include <algorithm>

namespace cowsliphill {

namespace {

using std::chrono::milliseconds;

// Free slots that another cell must have reported before a request is forwarded to it: some more
// requests may have arrived there since that update.
constexpr int32_t kMinForwardSlots = 2;
constexpr milliseconds kExpiryInterval{500};  // Interval at which expired requests are erased.

milliseconds AsMillis(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(std::max(duration, Duration{}));
}

ScheduleReply ToReply(ScheduleRequestId id, const Assigned& assigned) {
  ScheduleReply reply;
  reply.id = id;
  reply.kind = ScheduleReply::Kind::kAssigned;
  reply.server = HashName(assigned.server.Text());
  reply.expected = AsMillis(assigned.expected);
  reply.service_time = AsMillis(assigned.service_time);
  reply.report_age = AsMillis(assigned.report_age);
  reply.in_flight = assigned.in_flight;
  reply.slowdown = assigned.slowdown;
  reply.usable_servers = assigned.usable_servers;
  return reply;
}

ScheduleReply ToReply(ScheduleRequestId id, const Declined& declined) {
  ScheduleReply reply;
  reply.id = id;
  reply.kind = ScheduleReply::Kind::kRefused;
  reply.cause = declined.cause;
  reply.retry_after = declined.retry_after;
  return reply;
}

ScheduleReply ToReply(ScheduleRequestId id, const Queued&) {
  ScheduleReply reply;
  reply.id = id;
  return reply;
}

}  // namespace

Scheduler::Scheduler(Endpoint self, uint64_t seed, MonotonicTime now)
    : self_(std::move(self)), started_(now), balancer_(seed), quota_(self_, seed, now) {}

// ---- Cells and members --------------------------------------------------------------------------

void Scheduler::ApplyServers(const ServerChanges& changes, MonotonicTime now) {
  const size_t cells_before = cells_.size();
  const bool regrouped = cell_map_.Apply(changes);
  balancer_.Apply(changes, cell_map_, now);
  for (const BackendServer& server : changes.removed) {
    servers_.erase(HashName(server.id.Text()));
    RemoveServer(server.id);
  }
  for (const ServerChange& change : changes.changed) AddServer(change.server, now);
  if (regrouped) {
    balancer_.Regroup(cell_map_);
    for (const BackendServer& server : balancer_.Servers()) AddServer(server, now);
  }
  if (regrouped || cells_.size() != cells_before) UpdatePrimaries(now);
  if (balancer_.HasWarmupRules()) UpdateLimits(now);
}

void Scheduler::ApplyManifest(const Manifest& manifest, MonotonicTime now) {
  quota_.ApplyManifest(manifest, now);
  workspaces_.clear();
  WorkspaceWeights weights;
  for (const Workspace& it : manifest.workspaces) {
    workspaces_[HashName(it.id.Text())] = it.id;
    weights.Add(it.id, it.rate);
  }
  balancer_.SetWorkspaceWeights(std::move(weights));
  std::map<ServiceId, WarmupRule> rules;
  for (const Service& it : manifest.services) {
    if (it.warmup_rate > 0) rules[it.id] = {it.warmup, it.warmup_rate};
  }
  balancer_.SetWarmupRules(std::move(rules), now);
  if (balancer_.HasWarmupRules()) UpdateLimits(now);
}

void Scheduler::AddServer(const BackendServer& server, MonotonicTime now) {
  services_[HashName(server.service.Text())] = server.service;
  failure_domains_[HashName(server.failure_domain.Text())] = server.failure_domain;
  servers_[HashName(server.id.Text())] = server.id;
  const bool leaving = server.state == BackendState::kLeaving || balancer_.IsLeaving(server.id);
  if (leaving || evacuated_.count(server.failure_domain) > 0) return RemoveServer(server.id);
  Cell& cell = cells_[cell_map_.CellOf(server.service, server.failure_domain)];
  const auto it = cells_by_server_.find(server.id);
  if (it != cells_by_server_.end() && it->second == &cell) {
    return ScheduleProbe(cell, server.id, now);
  }
  Probe probe;
  if (it != cells_by_server_.end()) probe = it->second->probes[server.id];
  RemoveServer(server.id);
  cell.probes[server.id] = probe;
  cells_by_server_[server.id] = &cell;
  ScheduleProbe(cell, server.id, now);
}

void Scheduler::RemoveServer(const BackendServerId& server) {
  const auto it = cells_by_server_.find(server);
  if (it == cells_by_server_.end()) return;
  it->second->probes.erase(server);
  it->second->probe_queue.Set(server, std::nullopt);
  cells_by_server_.erase(it);
}

void Scheduler::SetMembers(const std::vector<Member>& members, MonotonicTime now) {
  order_.SetMembers(members);
  quota_.SetMembers(members, now);
  alone_ = members.size() < 2;
  links_lost_ = std::any_of(members.begin(), members.end(),
                            [this](const Member& it) { return it.peer == self_ && it.links_lost; });
  entry_vms_.clear();
  for (const Member& member : members) entry_vms_.push_back(member.peer);
  lease_.OnMembers(members.size(), now);
  for (const Member& member : members) {
    failure_domains_[HashName(member.failure_domain.Text())] = member.failure_domain;
  }
  const std::map<Endpoint, EntryVmId> before = std::exchange(ids_by_peer_, {});
  for (const Member& member : members) ids_by_peer_[member.peer] = member.id;
  pauses_.EraseIf([&](const auto& key) {
    const auto earlier = before.find(key.first);
    const auto it = ids_by_peer_.find(key.first);
    const bool is_same =
        it != ids_by_peer_.end() && earlier != before.end() && it->second == earlier->second;
    return !is_same;
  });
  UpdatePrimaries(now);
}

void Scheduler::UpdatePrimaries(MonotonicTime now) {
  settled_ = settled_ || now >= SettledAt();
  for (auto& [id, cell] : cells_) {
    const std::vector<Endpoint>& order = order_.SchedulersFor(id);
    cell.is_primary = settled_ && !order.empty() && order.front() == self_;
    UpdateProbeMode(cell, now);
  }
  UpdateLimits(now);
}

size_t Scheduler::CellsScheduled() const {
  return static_cast<size_t>(std::count_if(
      cells_.begin(), cells_.end(), [](const auto& item) { return item.second.is_primary; }));
}

bool Scheduler::InUse(const Cell& cell, MonotonicTime now) {
  return cell.last_request && now - *cell.last_request < kCellInUseTime;
}

// ---- Assignment requests ------------------------------------------------------------------------

AssignmentRequest Scheduler::ToAssignmentRequest(const Endpoint& entry_vm,
                                                 const ScheduleRequest& message,
                                                 const ServiceId& service,
                                                 MonotonicTime now) const {
  const auto failure_domain = failure_domains_.find(message.failure_domain);
  AssignmentRequest request;
  request.home =
      failure_domain == failure_domains_.end() ? FailureDomainId() : failure_domain->second;
  request.cell = cell_map_.CellOf(service, request.home);
  request.kind = {message.rank, message.bulk, message.target_latency};
  request.hedge = message.hedge;
  const auto workspace = workspaces_.find(message.workspace);
  if (workspace != workspaces_.end()) request.workspace = workspace->second;
  request.target = now + message.target_left;
  request.deadline = now + message.deadline_left;
  request.caller_left = message.caller_left;
  for (const NameHash hash : message.tried) {
    const auto it = servers_.find(hash);
    if (it != servers_.end()) request.tried.push_back(it->second);
  }
  const auto cell = cells_.find(request.cell);
  if (pauses_.Empty() || cell == cells_.end()) return request;
  for (const auto& [server, probe] : cell->second.probes) {
    if (pauses_.End({entry_vm, server}, now)) request.tried.push_back(server);
  }
  return request;
}

void Scheduler::OnScheduleRequest(const Endpoint& from, const ScheduleRequest& message,
                                  MonotonicTime now) {
  OnMessageFrom(from, now);
  const Endpoint entry_vm = message.forwarded_for.value_or(from);
  const auto known = assignment_ids_.find({entry_vm, message.id});
  if (known != assignment_ids_.end()) {
    // A repeated request: the reply was lost, or the request is still queued.
    const OpenRequest& open = requests_.at(known->second);
    return Reply(entry_vm, open.assigned.value_or(ToReply(message.id, Queued{})));
  }
  const auto service = services_.find(message.service);
  if (service == services_.end()) {
    // This scheduler knows no server of the service; the requesting entry VM may know one.
    return Reply(entry_vm, ToReply(message.id,
                                   Declined{0, RefusalCause::kNoBackendServer, kMaxCellUpdateAge}));
  }
  AssignmentRequest request = ToAssignmentRequest(entry_vm, message, service->second, now);
  if (links_lost_ && !message.forwarded_for) {
    const std::vector<Endpoint>& order = order_.SchedulersFor(request.cell);
    const bool is_mine = std::find(order.begin(), order.end(), self_) != order.end();
    if (!order.empty() && !is_mine) return Forward(request.cell, entry_vm, message);
  }
  const std::optional<NameHash> reserved = Charge(entry_vm, message, now);
  if (!reserved) {
    return Reply(entry_vm,
                 ToReply(message.id, Declined{0, RefusalCause::kWorkspaceLimit,
                                              quota_.Limits().RetryAfter(message.workspace, now)}));
  }
  Cell& cell = cells_[request.cell];
  balancer_.AdjustTargetForRetry(request);
  cell.requests = InUse(cell, now) ? cell.requests + 1 : 1;
  cell.last_request = now;
  UpdateProbeMode(cell, now);
  const std::optional<MonotonicTime> pause_end = AllPauseUntil(cell, entry_vm, now);
  if (pause_end) {
    const auto other =
        message.forwarded_for ? std::nullopt : OtherCell(request.cell, entry_vm, now);
    if (other) return ForwardCharged(*other, entry_vm, message, *reserved, now);
    quota_.Limits().Release(*reserved, now);
    return Reply(entry_vm, ToReply(message.id, Declined{0, RefusalCause::kServerPause,
                                                        AsMillis(*pause_end - now)}));
  }
  if (!message.forwarded_for) {
    const Availability availability = balancer_.AvailabilityOf(request, now);
    // Large answers cross to another domain only if they would be late here.
    const bool may_forward = availability == Availability::kLate ||
                             (availability == Availability::kQueueOnTime && !request.kind.bulk);
    const std::optional<CellId> other =
        may_forward ? CellWithFreeSlots(request.cell, now) : std::optional<CellId>();
    if (other) return ForwardCharged(*other, entry_vm, message, *reserved, now);
    if (availability == Availability::kLate && balancer_.AllLimitedElsewhere(request.cell, now)) {
      MoveToOtherCell(request, now);
    }
  }
  request.id = next_id_++;
  assignment_ids_[{entry_vm, message.id}] = request.id;
  requests_[request.id] = {entry_vm,     message.id, request.deadline,
                           std::nullopt, *reserved,  std::nullopt};
  const Assignment decision = balancer_.Assign(request, now);
  if (std::holds_alternative<Queued>(decision)) {
    requests_[request.id].queued = {message, request.cell, now};
  }
  Reply(request.id, decision, now);
  SendDecisions(now);
}

// Returns when the first pause ends if all servers of the cell that could serve have asked the
// entry VM for one.
std::optional<MonotonicTime> Scheduler::AllPauseUntil(const Cell& cell, const Endpoint& entry_vm,
                                                      MonotonicTime now) const {
  if (pauses_.Empty()) return std::nullopt;
  std::optional<MonotonicTime> earliest;
  for (const auto& [server, probe] : cell.probes) {
    if (!balancer_.MayServe(server, now)) continue;
    const std::optional<MonotonicTime> end = pauses_.End({entry_vm, server}, now);
    if (!end) return std::nullopt;
    earliest = earliest ? std::min(*earliest, *end) : *end;
  }
  return earliest;
}

// Returns the other cell of the service with the most free slots by its last CellUpdate, even if
// they are none, in which a server could serve the entry VM as far as is known here.
std::optional<CellId> Scheduler::OtherCell(const CellId& home, const Endpoint& entry_vm,
                                           MonotonicTime now) const {
  std::optional<CellId> best;
  int32_t most_free = 0;
  for (const auto& [id, cell] : cells_) {
    if (id.service != home.service || id.failure_domain == home.failure_domain) continue;
    if (cell.probes.empty() || AllPauseUntil(cell, entry_vm, now)) continue;
    const auto it = remote_cells_.find(id);
    const int32_t free = it == remote_cells_.end() ? 0 : it->second.free_slots;
    if (best && free <= most_free) continue;
    most_free = free;
    best = id;
  }
  return best;
}

// Returns the other cell of the service that has the most free slots by its last CellUpdate, if
// these are at least kMinForwardSlots or the home cell has no servers.
std::optional<CellId> Scheduler::CellWithFreeSlots(const CellId& home, MonotonicTime now) {
  std::optional<CellId> best;
  int32_t most_free = kMinForwardSlots - 1;
  for (const auto& [id, cell] : cells_) {
    if (id.service != home.service || id.failure_domain == home.failure_domain) continue;
    const auto it = remote_cells_.find(id);
    if (it == remote_cells_.end() || now - it->second.received_at > kMaxCellUpdateAge) continue;
    if (IsEvacuated(id)) continue;  // Its scheduler may not know yet.
    if (it->second.free_slots <= most_free) continue;
    most_free = it->second.free_slots;
    best = id;
  }
  if (best) return best;
  // If the home cell has no servers, any cell that has some is better than none, even one that
  // has sent no recent CellUpdate or reported no free slots.
  const auto home_cell = cells_.find(home);
  if (home_cell != cells_.end() && !home_cell->second.probes.empty()) return std::nullopt;
  for (const auto& [id, cell] : cells_) {
    if (id.service != home.service || cell.probes.empty()) continue;
    const auto it = remote_cells_.find(id);
    const int32_t free = it == remote_cells_.end() ? 0 : it->second.free_slots;
    if (best && free <= most_free) continue;
    most_free = free;
    best = id;
  }
  return best;
}

void Scheduler::Forward(const CellId& to, const Endpoint& entry_vm, ScheduleRequest message) {
  const std::vector<Endpoint>& order = order_.SchedulersFor(to);
  if (order.empty()) return;
  message.failure_domain = HashName(to.failure_domain.Text());
  message.forwarded_for = entry_vm;
  const auto it = remote_cells_.find(to);
  if (it != remote_cells_.end()) --it->second.free_slots;
  outbox_.push_back({order.front(), message});
  // Makes the entry VM wait for the other scheduler's reply.
  Reply(entry_vm, ToReply(message.id, Queued{}));
}

void Scheduler::Reply(AssignmentId id, const Assignment& decision, MonotonicTime now) {
  OpenRequest& open = requests_.at(id);
  const ScheduleRequestId reply_id = open.id;
  const ScheduleReply reply =
      std::visit([reply_id](const auto& it) { return ToReply(reply_id, it); }, decision);
  Reply(open.entry_vm, reply);
  if (reply.kind == ScheduleReply::Kind::kRefused) return EraseRequest(id, now);
  if (reply.kind != ScheduleReply::Kind::kAssigned) return;
  open.assigned = reply;
  open.queued.reset();
  if (open.reserved != 0) quota_.Limits().Consume(std::exchange(open.reserved, 0), now);
}

void Scheduler::OnEnd(const Endpoint& from, const ScheduleEnd& end, MonotonicTime now) {
  OnMessageFrom(from, now);
  const auto it = assignment_ids_.find({from, end.id});
  if (it == assignment_ids_.end()) return;
  const AssignmentId id = it->second;
  balancer_.OnAttemptEnded(id, {end.end, end.latency, end.report, end.limit}, now);
  RecordHealthChanges(from);
  if (const std::optional<ScheduleReply>& assigned = requests_.at(id).assigned) {
    const auto server = servers_.find(assigned->server);
    if (server != servers_.end()) OnServerChanged(server->second, now);
  }
  EraseRequest(id, now);
  if (balancer_.LimitChangesSeen() != limit_changes_sent_) UpdateLimits(now);
  SendDecisions(now);
}

void Scheduler::RecordHealthChanges(const Endpoint& reported_by) {
  for (HealthChange& change : balancer_.TakeHealthChanges()) {
    health_reports_.push_back({std::move(change), reported_by});
  }
}

void Scheduler::EraseRequest(AssignmentId id, MonotonicTime now) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  if (it->second.reserved != 0) quota_.Limits().Release(it->second.reserved, now);
  assignment_ids_.erase({it->second.entry_vm, it->second.id});
  requests_.erase(it);
}

void Scheduler::SendDecisions(MonotonicTime now) {
  for (const QueueDecision& decision : balancer_.TakeQueueDecisions(now)) {
    const AssignmentId id = std::visit([](const auto& it) { return it.id; }, decision);
    Reply(id, std::visit([](const auto& it) -> Assignment { return it; }, decision), now);
  }
  for (const AssignmentId id : balancer_.TakeStartedSlow()) {
    const auto it = requests_.find(id);
    if (it != requests_.end()) outbox_.push_back({it->second.entry_vm, SlowHost{it->second.id}});
  }
  QueueServersToProbe(now);
}

void Scheduler::QueueServersToProbe(MonotonicTime now) {
  for (const BackendServerId& server : balancer_.TakeServersToProbe()) {
    const auto cell = cells_by_server_.find(server);
    if (cell == cells_by_server_.end()) continue;
    Probe& probe = cell->second->probes[server];
    if (probe.IsPending(now)) continue;
    probe.MarkSent(now);
    ScheduleProbe(*cell->second, server, now);
    servers_to_probe_.push_back(server);
  }
}

// ---- Probes -------------------------------------------------------------------------------------

Scheduler::ProbeMode Scheduler::ProbeModeOf(const Cell& cell, MonotonicTime now) const {
  const bool in_use =
      settled_ && InUse(cell, now) && (cell.is_primary || cell.requests >= kBackupProbeMinRequests);
  if (!in_use) return cell.is_primary ? ProbeMode::kIdle : ProbeMode::kNone;
  return cell.is_primary ? ProbeMode::kInUse : ProbeMode::kBackup;
}

void Scheduler::UpdateProbeMode(Cell& cell, MonotonicTime now) {
  const ProbeMode mode = ProbeModeOf(cell, now);
  if (mode == std::exchange(cell.probe_mode, mode)) return;
  ScheduleAllProbes(cell, now);
}

std::optional<MonotonicTime> Scheduler::ProbeDue(const Cell& cell, const BackendServerId& server,
                                                 const Probe& probe, MonotonicTime now) {
  if (cell.probe_mode == ProbeMode::kNone) return std::nullopt;
  ++probe_checks_;
  if (probe.IsPending(now)) return probe.sent_at + kMaxProbeTime + kMinWakeDelay;
  if (cell.probe_mode == ProbeMode::kIdle) return probe.sent_at + kIdleProbeInterval;
  if (cell.probe_mode == ProbeMode::kBackup) return probe.sent_at + kBackupProbeInterval;
  return balancer_.NextProbe(server, probe.sent_at);
}

void Scheduler::ScheduleProbe(Cell& cell, const BackendServerId& server, MonotonicTime now) {
  cell.probe_queue.Set(server, ProbeDue(cell, server, cell.probes[server], now));
}

void Scheduler::ScheduleAllProbes(Cell& cell, MonotonicTime now) {
  for (const auto& [server, probe] : cell.probes) {
    cell.probe_queue.Set(server, ProbeDue(cell, server, probe, now));
  }
}

void Scheduler::OnServerChanged(const BackendServerId& server, MonotonicTime now) {
  const auto it = cells_by_server_.find(server);
  if (it != cells_by_server_.end()) ScheduleProbe(*it->second, server, now);
  if (next_probe_changes_ == balancer_.NextProbeChanges()) return;
  next_probe_changes_ = balancer_.NextProbeChanges();
  for (auto& [id, cell] : cells_) {
    if (cell.probe_mode == ProbeMode::kInUse) ScheduleAllProbes(cell, now);
  }
}

std::vector<BackendServerId> Scheduler::TakeServersToProbe(MonotonicTime now) {
  std::vector<BackendServerId> due = std::exchange(servers_to_probe_, {});
  for (auto& [id, cell] : cells_) {
    UpdateProbeMode(cell, now);
    while (const std::optional<BackendServerId> server = cell.probe_queue.TakeDue(now)) {
      cell.probes[*server].MarkSent(now);
      ScheduleProbe(cell, *server, now);
      due.push_back(*server);
    }
  }
  return due;
}

void Scheduler::OnProbed(const BackendServerId& server, const std::optional<Report>& report,
                         MonotonicTime now) {
  const auto it = cells_by_server_.find(server);
  if (it != cells_by_server_.end()) it->second->probes[server].pending = false;
  if (report) {
    balancer_.OnReport(server, *report, now);
    const BackendServer* config = balancer_.FindServer(server);
    if (report->draining && config != nullptr) {
      ServerNotice notice;
      notice.server = HashName(server.Text());
      notice.started = config->started;
      notice.leaving = true;
      outbox_.push_back({self_, notice});  // Tells this entry VM's planner, too.
    }
  } else {
    balancer_.OnMissedProbe(server, now);
  }
  if (balancer_.WarmupsBegun() != warmups_begun_) UpdateLimits(now, false);
  RecordHealthChanges(self_);
  OnServerChanged(server, now);
  SendDecisions(now);
}

// ---- Servers that state that they are leaving ---------------------------------------------------

void Scheduler::OnNotice(const ServerNotice& notice, MonotonicTime now) {
  const auto server = servers_.find(notice.server);
  if (server == servers_.end()) return;
  const BackendServer* known = balancer_.FindServer(server->second);
  if (known == nullptr || known->started != notice.started) return;
  if (notice.pause.count() > 0) pauses_.Begin({notice.of, server->second}, notice.pause, now);
  if (!notice.leaving) return;
  if (!balancer_.MarkLeaving(server->second, notice.started)) return;
  const BackendServer config = *balancer_.FindServer(server->second);
  RemoveServer(config.id);
  const auto& order = order_.SchedulersFor(cell_map_.CellOf(config.service, config.failure_domain));
  ServerNotice to_all = notice;
  to_all.pause = std::chrono::milliseconds(0);
  if (std::find(order.begin(), order.end(), self_) != order.end()) SendToAll(to_all);
  SendDecisions(now);
}

void Scheduler::SendToAll(const ServerNotice& notice) {
  for (const Endpoint& to : entry_vms_) {
    if (to != self_) outbox_.push_back({to, notice});
  }
}

// ---- Other cells --------------------------------------------------------------------------------

void Scheduler::OnCellUpdate(const CellUpdate& update, MonotonicTime now) {
  const auto service = services_.find(update.service);
  const auto failure_domain = failure_domains_.find(update.failure_domain);
  if (service == services_.end() || failure_domain == failure_domains_.end()) return;
  remote_cells_[{service->second, failure_domain->second}] = {
      static_cast<int32_t>(update.free_slots), now};
}

void Scheduler::SendCellUpdates(MonotonicTime now) {
  next_cell_update_ = now + kCellUpdateInterval;
  for (const auto& [id, cell] : cells_) {
    if (!cell.is_primary) continue;
    CellUpdate update;
    update.service = HashName(id.service.Text());
    update.failure_domain = HashName(id.failure_domain.Text());
    update.free_slots = static_cast<uint32_t>(std::max(balancer_.FreeSlots(id, now), 0));
    for (const auto& [other, ignored] : cells_) {
      if (other.service != id.service || other.failure_domain == id.failure_domain) continue;
      const std::vector<Endpoint>& order = order_.SchedulersFor(other);
      if (!order.empty()) outbox_.push_back({order.front(), update});
    }
  }
}

// ---- Timers -------------------------------------------------------------------------------------

void Scheduler::EraseExpired(MonotonicTime now) {
  next_expiry_ = now + kExpiryInterval;
  std::vector<AssignmentId> expired;
  for (const auto& [id, open] : requests_) {
    if (now > open.deadline + kLostEndGrace) expired.push_back(id);
  }
  for (const AssignmentId id : expired) {
    balancer_.Withdraw(id);
    EraseRequest(id, now);
  }
}

void Scheduler::Tick(MonotonicTime now) {
  NoteRun(now);
  if (!settled_ && now >= SettledAt()) UpdatePrimaries(now);
  if (now >= next_expiry_) EraseExpired(now);
  if (now >= next_cell_update_) SendCellUpdates(now);
  if (balancer_.SawLimits() || has_warmups_) UpdateLimits(now, balancer_.SawLimits());
  SendDecisions(now);
  quota_.Tick(now);
  SendUsage();
}

std::optional<MonotonicTime> Scheduler::NextWake(MonotonicTime now) const {
  std::optional<MonotonicTime> wake = balancer_.NextWake(now);
  const auto wake_by = [&wake](MonotonicTime time) { wake = wake ? std::min(*wake, time) : time; };
  if (!settled_) wake_by(SettledAt());
  if (const std::optional<MonotonicTime> due = quota_.NextWake()) wake_by(*due);
  bool any_primary = false;
  for (const auto& [id, cell] : cells_) {
    any_primary = any_primary || cell.is_primary;
    if (cell.has_limits && (cell.shares_limits || cell.would_share)) {
      wake_by(cell.next_limit_update);
    }
    const auto takeover = cell.has_limits ? LimitTakeover(cell) : std::nullopt;
    if (takeover && settled_ && !cell.shares_limits && !cell.would_share) wake_by(*takeover);
    // So that a pause of this process is noticed; see LimitLease.
    if (takeover && has_warmups_) wake_by(now + kLimitUpdateInterval);
    if (const std::optional<MonotonicTime> due = cell.probe_queue.Next()) wake_by(*due);
  }
  if (any_primary) wake_by(next_cell_update_);
  if (!requests_.empty()) wake_by(next_expiry_);
  if (!wake) return std::nullopt;
  return std::max(*wake, now + kMinWakeDelay);
}

}  // namespace cowsliphill
