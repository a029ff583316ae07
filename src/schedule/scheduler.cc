#include "src/schedule/scheduler.h"

#include <algorithm>

namespace cowsliphill {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr int32_t kRoom = 2;  // Free slots that another cell must have to be sent an ask: what it
                              // said is old by some arrivals.
constexpr milliseconds kForgetInterval{500};

milliseconds AsMillis(Duration duration) {
  return duration_cast<milliseconds>(std::max(duration, Duration{}));
}

ScheduleReply ReplyOf(AskId id, const Assigned& assigned) {
  ScheduleReply reply;
  reply.id = id;
  reply.kind = ScheduleReply::Kind::kAssigned;
  reply.server = TagOf(assigned.server.Text());
  reply.expected = AsMillis(assigned.expected);
  reply.work = AsMillis(assigned.service_time);
  reply.report_age = AsMillis(assigned.report_age);
  reply.in_flight = assigned.in_flight;
  reply.slowdown = assigned.slowdown;
  reply.usable = assigned.usable;
  return reply;
}

ScheduleReply ReplyOf(AskId id, const Declined& refused) {
  ScheduleReply reply;
  reply.id = id;
  reply.kind = ScheduleReply::Kind::kRefused;
  reply.cause = refused.cause;
  reply.retry_after = refused.retry_after;
  return reply;
}

ScheduleReply ReplyOf(AskId id, const Queued&) {
  ScheduleReply reply;
  reply.id = id;
  return reply;
}

}  // namespace

Scheduler::Scheduler(Endpoint self, uint64_t seed, MonotonicTime now)
    : self_(std::move(self)), started_(now), balancer_(seed) {}

// ---- Cells and members -------------------------------------------------------------------------

void Scheduler::ApplyServers(const std::vector<BackendServer>& servers, MonotonicTime now) {
  cell_map_ = CellMap(servers);
  balancer_.Apply(servers, cell_map_, now);
  std::map<CellId, std::map<BackendServerId, Probe>> before;
  for (auto& [id, cell] : cells_) before[id] = std::exchange(cell.probes, {});
  servers_.clear();
  cell_of_.clear();
  for (const BackendServer& server : servers) {
    services_[TagOf(server.service.Text())] = server.service;
    failure_domains_[TagOf(server.failure_domain.Text())] = server.failure_domain;
    servers_[TagOf(server.id.Text())] = server.id;
    if (server.state == BackendState::kLeaving) continue;
    const CellId id = cell_map_.CellOf(server.service, server.failure_domain);
    Cell& cell = cells_[id];
    cell.probes[server.id] = before[id][server.id];
    cell_of_[server.id] = &cell;
  }
  Replan(now);
}

void Scheduler::SetMembers(const std::vector<Member>& members, MonotonicTime now) {
  order_.SetMembers(members);
  alone_ = members.size() < 2;
  for (const Member& member : members) {
    failure_domains_[TagOf(member.failure_domain.Text())] = member.failure_domain;
  }
  Replan(now);
}

void Scheduler::Replan(MonotonicTime now) {
  settled_ = settled_ || now >= SettledAt();
  for (auto& [id, cell] : cells_) {
    const std::vector<Endpoint>& order = order_.For(id);
    cell.ours = settled_ && !order.empty() && order.front() == self_;
  }
}

size_t Scheduler::CellsScheduled() const {
  return static_cast<size_t>(std::count_if(cells_.begin(), cells_.end(),
                                           [](const auto& item) { return item.second.ours; }));
}

bool Scheduler::InUse(const Cell& cell, MonotonicTime now) {
  return cell.last_ask && now - *cell.last_ask < kInUse;
}

// ---- Asks --------------------------------------------------------------------------------------

AssignmentRequest Scheduler::RequestOf(const ScheduleAsk& ask, const ServiceId& service,
                                       MonotonicTime now) const {
  const auto failure_domain = failure_domains_.find(ask.failure_domain);
  AssignmentRequest request;
  request.home =
      failure_domain == failure_domains_.end() ? FailureDomainId() : failure_domain->second;
  request.cell = cell_map_.CellOf(service, request.home);
  request.kind = {ask.rank, ask.bulk, ask.target};
  request.hedge = ask.hedge;
  request.target = now + ask.target_left;
  request.deadline = now + ask.deadline_left;
  request.caller_left = ask.caller_left;
  for (const NameTag tag : ask.tried) {
    const auto it = servers_.find(tag);
    if (it != servers_.end()) request.tried.push_back(it->second);
  }
  return request;
}

void Scheduler::OnAsk(const Endpoint& from, const ScheduleAsk& ask, MonotonicTime now) {
  const Endpoint asker = ask.forwarded.value_or(from);
  const auto known = by_ask_.find({asker, ask.id});
  if (known != by_ask_.end()) {
    // Our reply was lost, or its turn has not come.
    const Open& open = open_.at(known->second);
    return Reply(asker, open.assigned.value_or(ReplyOf(ask.id, Queued{})));
  }
  const auto service = services_.find(ask.service);
  if (service == services_.end()) {
    // Not a server of it is known here; the asker may know more.
    return Reply(asker,
                 ReplyOf(ask.id, Declined{0, RefusalCause::kNoBackendServer, kNewsLifetime}));
  }
  AssignmentRequest request = RequestOf(ask, service->second, now);
  Cell& cell = cells_[request.cell];
  balancer_.AdjustTargetForRetry(request);
  cell.asks = InUse(cell, now) ? cell.asks + 1 : 1;
  cell.last_ask = now;
  if (!ask.forwarded) {
    const Availability outlook = balancer_.AvailabilityOf(request, now);
    // Large answers cross to another domain only if they would be late here.
    const bool looks_further = outlook == Availability::kLate ||
                               (outlook == Availability::kQueueOnTime && !request.kind.bulk);
    const std::optional<CellId> other =
        looks_further ? CellWithRoom(request.cell, now) : std::optional<CellId>();
    if (other) return Forward(*other, asker, ask);
  }
  request.id = next_id_++;
  by_ask_[{asker, ask.id}] = request.id;
  open_[request.id] = {asker, ask.id, request.deadline, std::nullopt};
  Reply(request.id, balancer_.Assign(request, now));
  SendTurns(now);
}

// Another cell of the service that has room; of several, the one with most.
std::optional<CellId> Scheduler::CellWithRoom(const CellId& home, MonotonicTime now) {
  std::optional<CellId> best;
  int32_t most = kRoom - 1;
  for (const auto& [id, cell] : cells_) {
    if (id.service != home.service || id.failure_domain == home.failure_domain) continue;
    const auto it = elsewhere_.find(id);
    if (it == elsewhere_.end() || now - it->second.heard > kNewsLifetime) continue;
    if (it->second.free_slots <= most) continue;
    most = it->second.free_slots;
    best = id;
  }
  if (best) return best;
  // With no servers at home, any cell is better than none, also one that was not heard of.
  const auto own = cells_.find(home);
  if (own != cells_.end() && !own->second.probes.empty()) return std::nullopt;
  for (const auto& [id, cell] : cells_) {
    if (id.service != home.service || cell.probes.empty()) continue;
    const auto it = elsewhere_.find(id);
    const int32_t free = it == elsewhere_.end() ? 0 : it->second.free_slots;
    if (best && free <= most) continue;
    most = free;
    best = id;
  }
  return best;
}

void Scheduler::Forward(const CellId& to, const Endpoint& asker, ScheduleAsk ask) {
  const std::vector<Endpoint>& order = order_.For(to);
  if (order.empty()) return;
  ask.failure_domain = TagOf(to.failure_domain.Text());
  ask.forwarded = asker;
  const auto it = elsewhere_.find(to);
  if (it != elsewhere_.end()) --it->second.free_slots;
  outbox_.push_back({order.front(), ask});
  Reply(asker, ReplyOf(ask.id, Queued{}));  // So that it waits for the other one's word.
}

void Scheduler::Reply(AssignmentId id, const Assignment& decided) {
  Open& open = open_.at(id);
  const AskId ask = open.ask;
  const ScheduleReply reply =
      std::visit([ask](const auto& it) { return ReplyOf(ask, it); }, decided);
  Reply(open.asker, reply);
  if (reply.kind == ScheduleReply::Kind::kAssigned) open.assigned = reply;
  if (reply.kind == ScheduleReply::Kind::kRefused) Forget(id);
}

void Scheduler::OnEnd(const Endpoint& from, const ScheduleEnd& end, MonotonicTime now) {
  const auto it = by_ask_.find({from, end.id});
  if (it == by_ask_.end()) return;
  const AssignmentId id = it->second;
  balancer_.OnEnded(id, {end.end, end.latency, end.report}, now);
  Forget(id);
  SendTurns(now);
}

void Scheduler::Forget(AssignmentId id) {
  const auto it = open_.find(id);
  if (it == open_.end()) return;
  by_ask_.erase({it->second.asker, it->second.ask});
  open_.erase(it);
}

void Scheduler::SendTurns(MonotonicTime now) {
  for (const QueueDecision& turn : balancer_.TakeQueueDecisions(now)) {
    const AssignmentId id = std::visit([](const auto& it) { return it.id; }, turn);
    Reply(id, std::visit([](const auto& it) -> Assignment { return it; }, turn));
  }
  for (const AssignmentId id : balancer_.TakeStartedSlow()) {
    const auto it = open_.find(id);
    if (it != open_.end()) outbox_.push_back({it->second.asker, ScheduleSlow{it->second.ask}});
  }
  NoteWanted(now);
}

void Scheduler::NoteWanted(MonotonicTime now) {
  for (const BackendServerId& server : balancer_.TakeServersToProbe()) {
    const auto cell = cell_of_.find(server);
    if (cell == cell_of_.end()) continue;
    Probe& probe = cell->second->probes[server];
    if (probe.UnderWay(now)) continue;
    probe.Ask(now);
    wanted_.push_back(server);
  }
}

// ---- Reports -----------------------------------------------------------------------------------

std::optional<MonotonicTime> Scheduler::ProbeDue(const Cell& cell, const BackendServerId& server,
                                                 const Probe& probe, MonotonicTime now) const {
  const bool in_use = settled_ && InUse(cell, now) && (cell.ours || cell.asks >= kForeignAsks);
  if ((!cell.ours && !in_use) || probe.UnderWay(now)) return std::nullopt;
  if (!in_use) return probe.asked + kIdleProbes;
  if (!cell.ours) return probe.asked + kForeignProbes;
  return balancer_.NextProbe(server, probe.asked);
}

std::vector<BackendServerId> Scheduler::TakeProbes(MonotonicTime now) {
  std::vector<BackendServerId> due = std::exchange(wanted_, {});
  for (auto& [id, cell] : cells_) {
    for (auto& [server, probe] : cell.probes) {
      const std::optional<MonotonicTime> when = ProbeDue(cell, server, probe, now);
      if (!when || *when > now) continue;
      probe.Ask(now);
      due.push_back(server);
    }
  }
  return due;
}

void Scheduler::OnProbed(const BackendServerId& server, const std::optional<Report>& report,
                         MonotonicTime now) {
  const auto it = cell_of_.find(server);
  if (it != cell_of_.end()) it->second->probes[server].open = false;
  if (report) {
    balancer_.OnReport(server, *report, now);
  } else {
    balancer_.OnMissedProbe(server);
  }
  SendTurns(now);
}

// ---- Other cells -------------------------------------------------------------------------------

void Scheduler::OnCellNews(const CellNews& news, MonotonicTime now) {
  const auto service = services_.find(news.service);
  const auto failure_domain = failure_domains_.find(news.failure_domain);
  if (service == services_.end() || failure_domain == failure_domains_.end()) return;
  elsewhere_[{service->second, failure_domain->second}] = {static_cast<int32_t>(news.free_slots),
                                                           now};
}

void Scheduler::SendNews(MonotonicTime now) {
  next_news_ = now + kNewsInterval;
  for (const auto& [id, cell] : cells_) {
    if (!cell.ours) continue;
    CellNews news;
    news.service = TagOf(id.service.Text());
    news.failure_domain = TagOf(id.failure_domain.Text());
    news.free_slots = static_cast<uint32_t>(std::max(balancer_.FreeSlots(id, now), 0));
    for (const auto& [other, ignored] : cells_) {
      if (other.service != id.service || other.failure_domain == id.failure_domain) continue;
      const std::vector<Endpoint>& order = order_.For(other);
      if (!order.empty()) outbox_.push_back({order.front(), news});
    }
  }
}

// ---- Time --------------------------------------------------------------------------------------

void Scheduler::ForgetOverdue(MonotonicTime now) {
  next_forget_ = now + kForgetInterval;
  std::vector<AssignmentId> overdue;
  for (const auto& [id, open] : open_) {
    if (now > open.deadline + kEndGrace) overdue.push_back(id);
  }
  for (const AssignmentId id : overdue) {
    balancer_.Withdraw(id);
    Forget(id);
  }
}

void Scheduler::Tick(MonotonicTime now) {
  if (!settled_ && now >= SettledAt()) Replan(now);
  if (now >= next_forget_) ForgetOverdue(now);
  if (now >= next_news_) SendNews(now);
  SendTurns(now);
}

std::optional<MonotonicTime> Scheduler::NextWake(MonotonicTime now) const {
  std::optional<MonotonicTime> wake = balancer_.NextWake(now);
  const auto sooner = [&wake](MonotonicTime time) { wake = wake ? std::min(*wake, time) : time; };
  if (!settled_) sooner(SettledAt());
  bool any_ours = false;
  for (const auto& [id, cell] : cells_) {
    any_ours = any_ours || cell.ours;
    for (const auto& [server, probe] : cell.probes) {
      const std::optional<MonotonicTime> when = ProbeDue(cell, server, probe, now);
      if (when) sooner(*when);
    }
  }
  if (any_ours) sooner(next_news_);
  if (!open_.empty()) sooner(next_forget_);
  if (!wake) return std::nullopt;
  return std::max(*wake, now + kProbeBatch);
}

}  // namespace cowsliphill
