// What a Scheduler does about limits of servers: those that they name, and those of warm-ups.

#include <algorithm>

#include "src/schedule/scheduler.h"

namespace cowsliphill {

namespace {

using std::chrono::milliseconds;

milliseconds AsMillis(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(std::max(duration, Duration{}));
}

}  // namespace

// ---- Limits of servers --------------------------------------------------------------------------

// One scheduler at a time shares out the limits of a cell. The others assign no requests to servers
// with a limit, whoever asks them.
bool Scheduler::SharesLimits(const Cell& cell, MonotonicTime now) const {
  const std::optional<MonotonicTime> takeover = LimitTakeover(cell);
  return takeover && settled_ && now >= *takeover;
}

// When this scheduler begins to share out the cell's limits, unless one before it does; nullopt if
// it is none of the cell's schedulers.
std::optional<MonotonicTime> Scheduler::LimitTakeover(const Cell& cell) const {
  const auto it = std::find(cell.schedulers.begin(), cell.schedulers.end(), self_);
  if (it == cell.schedulers.end()) return std::nullopt;
  const auto position = it - cell.schedulers.begin();
  if (position == 0) return cell.yields_until;
  return std::max(cell.limits_shared_at + kLimitTakeoverTime * position, cell.yields_until);
}

// Finds out which cells' limits this scheduler shares out, and sends the updates that are due.
// `all`: also for cells in which no server has had a limit so far.
void Scheduler::UpdateLimits(MonotonicTime now, bool all) {
  if (!balancer_.SawLimits() && !balancer_.HasWarmupRules()) return;
  const bool changed = limit_changes_sent_ != balancer_.LimitChangesSeen();
  limit_changes_sent_ = balancer_.LimitChangesSeen();
  const bool warmup_begun = warmups_begun_ != balancer_.WarmupsBegun();
  if (warmup_begun && !has_warmups_) lease_.Begin(now);
  warmups_begun_ = balancer_.WarmupsBegun();
  RecordWarmupChanges(now);
  has_warmups_ = balancer_.ServersInWarmup() > 0;
  for (auto& [id, cell] : cells_) {
    if (!all && !changed && !warmup_begun && !cell.has_limits) continue;
    const std::vector<LimitStatement> limits = balancer_.LimitsOf(id, now);
    const std::vector<WarmupStatement> warmups = balancer_.WarmupsOf(id, now);
    const bool is_new = (!limits.empty() || !warmups.empty()) && !cell.has_limits;
    const bool reordered = cell.schedulers != order_.SchedulersFor(id);
    cell.has_limits = !limits.empty() || !warmups.empty();
    cell.schedulers = order_.SchedulersFor(id);
    if (is_new || reordered) cell.limits_shared_at = now;
    cell.would_share = SharesLimits(cell, now);
    const bool may_share = warmups.empty() || lease_.Holds(cell.schedulers.size() > 1, now);
    cell.shares_limits = cell.would_share && may_share;
    balancer_.SetSharesLimits(id, cell.shares_limits, now);
    const bool due = cell.would_share && now >= cell.next_limit_update;
    if (!cell.has_limits || !(due || changed || reordered)) continue;
    const bool to_all =
        cell.would_share && (changed || cell.limit_updates % kLimitUpdatesPerBroadcast == 0);
    if (!limits.empty()) SendLimitUpdate(id, cell, limits, to_all, now);
    const bool grown = warmups.size() > std::exchange(cell.warmups, warmups.size());
    if (!warmups.empty()) SendWarmupUpdate(id, cell, warmups, to_all || grown, now);
    cell.next_limit_update = now + kLimitUpdateInterval;
    ++cell.limit_updates;
  }
}

void Scheduler::SendLimitUpdate(const CellId& id, const Cell& cell,
                                const std::vector<LimitStatement>& limits, bool to_all,
                                MonotonicTime now) {
  LimitUpdate update;
  update.service = HashName(id.service.Text());
  update.failure_domain = HashName(id.failure_domain.Text());
  update.shares = cell.shares_limits;
  for (const LimitStatement& it : limits) {
    update.limits.push_back({HashName(it.server.Text()), it.limit, AsMillis(now - it.stated_at)});
  }
  for (const Endpoint& to : to_all ? entry_vms_ : cell.schedulers) {
    if (to != self_) outbox_.push_back({to, update});
  }
}

void Scheduler::OnLimitUpdate(const Endpoint& from, const LimitUpdate& update, MonotonicTime now) {
  for (const LimitUpdate::Limit& limit : update.limits) {
    const auto server = servers_.find(limit.server);
    if (server == servers_.end()) continue;
    balancer_.OnLimitStatement({server->second, limit.per_second, now - limit.age});
  }
  OnLimitClaim(from, update.service, update.failure_domain, update.shares, now);
  UpdateLimits(now);
}

// Another scheduler says whether it shares out the limits of a cell.
Scheduler::Cell* Scheduler::OnLimitClaim(const Endpoint& from, NameHash service,
                                         NameHash failure_domain, bool shares, MonotonicTime now) {
  OnMessageFrom(from, now);
  const auto service_id = services_.find(service);
  if (service_id == services_.end()) return nullptr;
  CellId id{service_id->second, FailureDomainId()};
  const auto domain = failure_domains_.find(failure_domain);
  if (domain != failure_domains_.end()) id.failure_domain = domain->second;
  const auto it = cells_.find(id);
  if (it == cells_.end() || HashName(id.failure_domain.Text()) != failure_domain) return nullptr;
  Cell& cell = it->second;
  const std::vector<Endpoint>& order = order_.SchedulersFor(id);
  const auto sender = std::find(order.begin(), order.end(), from);
  const bool precedes_self = sender < std::find(order.begin(), order.end(), self_);
  if (shares && precedes_self) cell.limits_shared_at = now;
  // The members disagree. The other one may not hear of this one.
  if (shares && sender == order.end() && balancer_.HasWarmupRules()) {
    cell.yields_until = now + kLimitTakeoverTime;
  }
  return &cell;
}

size_t Scheduler::CellsWithSharedLimits() const {
  return static_cast<size_t>(std::count_if(cells_.begin(), cells_.end(), [](const auto& item) {
    return item.second.has_limits && item.second.shares_limits;
  }));
}

// ---- Servers in warm-up -------------------------------------------------------------------------

void Scheduler::NoteRun(MonotonicTime now) {
  if (has_warmups_ && lease_.OnRun(now)) UpdateLimits(now);
}

void Scheduler::OnMessageFrom(const Endpoint& from, MonotonicTime now) {
  NoteRun(now);
  if (from != self_) lease_.OnMessage(now);
}

// One scheduler reports a change: the first of the server's cell.
void Scheduler::RecordWarmupChanges(MonotonicTime now) {
  for (WarmupChange& change : balancer_.TakeWarmupChanges(now)) {
    const auto cell = cells_by_server_.find(change.server);
    if (cell == cells_by_server_.end() || !cell->second->is_primary) continue;
    warmup_changes_.push_back(std::move(change));
  }
}

void Scheduler::SendWarmupUpdate(const CellId& id, const Cell& cell,
                                 const std::vector<WarmupStatement>& warmups, bool to_all,
                                 MonotonicTime now) {
  WarmupUpdate update;
  bool in_catalog = true;
  update.service = HashName(id.service.Text());
  update.failure_domain = HashName(id.failure_domain.Text());
  update.shares = cell.shares_limits;
  for (const WarmupStatement& it : warmups) {
    WarmupUpdate::Server& server = update.servers.emplace_back();
    server.server = HashName(it.server.Text());
    server.left = AsMillis(it.ends_at - now);
    if (it.stated_at) server.age = AsMillis(now - *it.stated_at);
    in_catalog = in_catalog && it.in_catalog;
  }
  for (const Endpoint& to : to_all && !in_catalog ? entry_vms_ : cell.schedulers) {
    if (to != self_) outbox_.push_back({to, update});
  }
}

void Scheduler::OnWarmupUpdate(const Endpoint& from, const WarmupUpdate& update,
                               MonotonicTime now) {
  for (const WarmupUpdate::Server& it : update.servers) {
    const auto server = servers_.find(it.server);
    if (server == servers_.end()) continue;
    const auto stated_at =
        it.age ? std::optional<MonotonicTime>(now - *it.age) : std::optional<MonotonicTime>();
    balancer_.OnWarmupStatement({server->second, now + it.left, stated_at}, now);
  }
  const Cell* cell = OnLimitClaim(from, update.service, update.failure_domain, update.shares, now);
  UpdateLimits(now, balancer_.SawLimits());
  if (cell == nullptr || update.reply) return;
  if (std::find(cell->schedulers.begin(), cell->schedulers.end(), self_) ==
      cell->schedulers.end()) {
    return;
  }
  WarmupUpdate reply;
  reply.service = update.service;
  reply.failure_domain = update.failure_domain;
  reply.reply = true;
  outbox_.push_back({from, reply});
}

// The servers of the request's cell are all in warm-up, and another scheduler shares out their
// limits: moves the request to a cell in which this scheduler finds a server.
void Scheduler::MoveToOtherCell(AssignmentRequest& request, MonotonicTime now) {
  AssignmentRequest moved = request;
  for (const auto& [id, cell] : cells_) {
    if (id.service != request.cell.service || id == request.cell || cell.probes.empty()) continue;
    moved.cell = id;
    const Availability availability = balancer_.AvailabilityOf(moved, now);
    if (availability == Availability::kLate) continue;
    request.cell = id;
    if (availability == Availability::kFreeSlot) return;
  }
}

}  // namespace cowsliphill
