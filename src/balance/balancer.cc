#include "src/balance/balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "src/balance/balancer_state.h"

namespace cowsliphill {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Smallest number of effective slots by which the time to empty a queue is estimated: without
// limits the slots of slow hosts still serve some requests.
constexpr double kMinEffectiveSlots = 1.0;
constexpr double kMinLimitedSlots = 0.05;
}  // namespace

Balancer::Balancer(uint64_t seed) : random_(seed) {}
Balancer::~Balancer() = default;
Balancer::Balancer(const Balancer&) = default;

Balancer::Cell& Balancer::FindOrCreateCell(const CellId& id) {
  auto& cell = cells_[id];
  if (!cell) cell = std::make_unique<Cell>();
  return *cell;
}

ServiceTimeEstimate& Balancer::ServiceTimeOf(Cell& cell, const AssignmentRequest& spec,
                                             MonotonicTime now) {
  const auto it = cell.service_times.find(spec.kind);
  if (it != cell.service_times.end()) return it->second;
  const bool has_target = spec.kind.target_latency.count() > 0;
  const Duration target = has_target ? Duration(spec.kind.target_latency) : spec.target - now;
  return cell.service_times.emplace(spec.kind, ServiceTimeEstimate(target)).first->second;
}

// ---- Choosing a server -------------------------------------------------------------------------

Balancer::Candidate Balancer::Evaluate(Server& server, MonotonicTime now) const {
  const Cell& cell = *server.cell;
  const std::optional<Duration> interval = host_interval_.Interval();
  Candidate candidate;
  candidate.server = &server;
  candidate.in_flight = server.load.InFlight(now);
  candidate.host_speed_known = server.load.IsHostSpeedKnown(now, interval);
  candidate.expected_service_times = server.load.Slowdown(cell.mean_slowdown, now, interval);
  if (!server.load.HasReport() && now < server.warmup_end) {
    candidate.expected_service_times *= kColdStartFactor;
  }
  if (NearCapacityEstimate::IsNearCapacity(candidate.in_flight, server.config.slots)) {
    candidate.expected_service_times *= cell.near_capacity.Factor();
  }
  candidate.cost = candidate.expected_service_times * (1 + kInFlightCost * candidate.in_flight +
                                                       kFailureCost * server.health.FailureRate());
  return candidate;
}

uint32_t Balancer::SlotsOf(const Server& server) {
  return std::max<uint32_t>(server.config.slots, 1);
}

// Whether the server accepts requests, and its limit, if it has one, allows one more.
bool Balancer::MayAssign(const Cell& cell, Server& server, MonotonicTime now) {
  if (server.leaving || server.health.IsDown(now)) return false;
  if (!server.limit.LimitAt(now)) return true;
  return cell.shares_limits && server.limit.Allows(now);
}

// Returns the servers that accept requests and have a free slot.
Balancer::Candidates Balancer::FreeCandidates(const Cell& cell, MonotonicTime now) const {
  Candidates free;
  free.reserve(cell.servers.size());
  for (Server* server : cell.servers) {
    if (!MayAssign(cell, *server, now)) continue;
    const Candidate candidate = Evaluate(*server, now);
    if (candidate.in_flight < SlotsOf(*server)) free.push_back(candidate);
  }
  return free;
}

// Returns the index in `free` of the server to assign; ties are broken at random.
std::optional<size_t> Balancer::SelectBest(const Candidates& free, const Request& request,
                                           Duration service_time, MonotonicTime now) {
  const AssignmentRequest& spec = request.spec;
  const double unit = static_cast<double>(std::max<Duration::rep>(service_time.count(), 1));
  const bool allow_unknown = spec.hedge || now - request.received_at >= kMaxProbeWait;
  // Large answers stay in their failure domain as long as they are on time there.
  const double bulk_penalty =
      static_cast<double>(std::max<Duration>(spec.target - now, service_time).count()) / unit;
  std::vector<std::pair<double, size_t>> costs;
  costs.reserve(free.size());
  double min_cost = std::numeric_limits<double>::max();
  for (size_t i = 0; i < free.size(); ++i) {
    const BackendServer& server = free[i].server->config;
    if (std::find(spec.tried.begin(), spec.tried.end(), server.id) != spec.tried.end()) continue;
    if (!free[i].host_speed_known && !allow_unknown) continue;
    const bool remote = server.failure_domain != spec.home;
    double cost = free[i].cost + (remote ? kRemoteCostServiceTimes : 0);
    const bool late = now + Times(service_time, free[i].expected_service_times) > spec.target;
    if (spec.kind.bulk && (remote || late)) cost += bulk_penalty;
    costs.emplace_back(cost, i);
    min_cost = std::min(min_cost, cost);
  }
  if (costs.empty()) return std::nullopt;
  const double tie =
      std::max(min_cost * kTieMargin, static_cast<double>(Duration(kMinTieMargin).count()) / unit);
  std::erase_if(costs, [=](const auto& it) { return it.first > min_cost + tie; });
  std::uniform_int_distribution<size_t> distribution(0, costs.size() - 1);
  return costs[distribution(random_)].second;
}

Assigned Balancer::AssignServer(Candidates& free, size_t i, Request& request, Duration service_time,
                                MonotonicTime now) {
  const Candidate candidate = free[i];
  Server& server = *candidate.server;
  request.server = &server;
  request.assigned_at = now;
  request.host_speed_known = candidate.host_speed_known;
  Assigned& assignment = request.assignment;
  assignment.id = request.spec.id;
  assignment.server = server.config.id;
  assignment.expected = Times(service_time, candidate.expected_service_times);
  assignment.service_time = service_time;
  assignment.in_flight = candidate.in_flight;
  assignment.slowdown =
      server.load.Slowdown(request.cell->mean_slowdown, now, host_interval_.Interval());
  assignment.report_age = server.load.HasReport() ? now - server.load.ReceivedAt() : Duration(-1);
  assignment.usable_servers = static_cast<uint32_t>(free.size());
  if (!request.spec.hedge && !request.spec.workspace.Text().empty()) {
    request.cell->shares.OnServed(request.spec.workspace);
  }
  server.load.OnAssigned(now);
  server.limit.OnAssigned(now);
  if (server.limit.Limit()) ++assigned_within_limits_;
  if (server.limit.InWarmup(now)) ++assigned_in_warmup_;
  server.open_requests.push_back(request.spec.id);
  const Candidate next = Evaluate(server, now);
  if (next.in_flight < SlotsOf(server) && MayAssign(*request.cell, server, now)) {
    free[i] = next;
  } else {
    free.erase(free.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return assignment;
}

// ---- Queue -------------------------------------------------------------------------------------

bool Balancer::CanMeetTarget(const Request& request, Duration service_time,
                             MonotonicTime now) const {
  return now + Times(service_time, kOnTimeMargin) <= request.spec.target;
}

bool Balancer::HasNamedLimits(const Cell& cell) const {
  if (!saw_limits_) return false;
  return std::any_of(cell.servers.begin(), cell.servers.end(),
                     [](const Server* it) { return it->limit.Limit().has_value(); });
}

// Whether any server of the cell has a limit now, by its own word or because of its warm-up.
bool Balancer::HasLimits(const Cell& cell, MonotonicTime now) const {
  if (!saw_limits_ && in_warmup_.empty()) return false;
  return std::any_of(cell.servers.begin(), cell.servers.end(),
                     [now](const Server* it) { return it->limit.LimitAt(now).has_value(); });
}

// Whether the limits of the cell's servers leave it less than one slot.
bool Balancer::IsShortOfTokens(const Cell& cell, double effective_slots, MonotonicTime now) const {
  return effective_slots < 1 && HasLimits(cell, now);
}

// Whether a server could take a request now but for its limit.
bool Balancer::IsHeldBackByLimits(const Cell& cell, MonotonicTime now) {
  return std::any_of(cell.servers.begin(), cell.servers.end(), [&](Server* it) {
    return it->limit.LimitAt(now) && !it->leaving && !it->health.IsDown(now) &&
           it->load.InFlight(now) < SlotsOf(*it) && !MayAssign(cell, *it, now);
  });
}

// Returns the number of the cell's slots, each weighted by the inverse of its host's slowdown. A
// server with a limit counts with at most the slots that its limit keeps busy. `fast_only` leaves
// out slow hosts.
double Balancer::EffectiveSlots(Cell& cell, bool fast_only, Duration service_time,
                                MonotonicTime now) const {
  double sum = 0;
  for (const Server* server : cell.servers) {
    if (server->leaving || server->health.IsDown(now)) continue;
    const double slowdown =
        server->load.Slowdown(cell.mean_slowdown, now, host_interval_.Interval());
    if (fast_only && slowdown >= kSlowHostThreshold) continue;
    double slots = SlotsOf(*server) / std::max(slowdown, 1.0);
    if (const std::optional<double> limit = server->limit.LimitAt(now)) {
      const double busy = *limit * std::chrono::duration<double>(service_time).count();
      slots = cell.shares_limits ? std::min(slots, busy) : 0;
    }
    sum += slots;
  }
  return sum;
}

// Returns the level at which a request that arrives now is queued.
QueueLevel Balancer::LevelOf(Cell& cell, const AssignmentRequest& spec, MonotonicTime now) const {
  const bool over =
      !spec.workspace.Text().empty() && cell.shares.IsOver(spec.workspace, workspace_weights_, now);
  return QueueLevel{spec.kind.rank} * 2 + (over ? 1 : 0);  // See IsOverShare.
}

void Balancer::SetWorkspaceWeights(WorkspaceWeights weights) {
  workspace_weights_ = std::move(weights);
  for (auto& [id, cell] : cells_) cell->shares.Reweigh();
}

// Counts the queued requests that precede one that arrives now at that level, or have its level.
size_t Balancer::CountQueuedAhead(const Cell& cell, QueueLevel level) {
  size_t n = 0;
  for (const auto& [other, count] : cell.queued_by_level) n += other <= level ? count : 0;
  return n;
}

// Counts the queued requests of all ranks; for a request that is within its share, without those
// that are over it.
size_t Balancer::CountQueuedBeside(const Cell& cell, QueueLevel level) {
  size_t n = 0;
  for (const auto& [other, count] : cell.queued_by_level) {
    n += IsOverShare(level) || !IsOverShare(other) ? count : 0;
  }
  return n;
}

// Counts those of CountQueuedAhead that should still meet their target.
size_t Balancer::CountOnTimeAhead(const Cell& cell, QueueLevel level) const {
  return static_cast<size_t>(
      std::count_if(cell.queue.begin(), cell.queue.end(), [this, level](const QueueKey& key) {
        return std::get<0>(key) <= level && !requests_.at(std::get<2>(key)).late;
      }));
}

// Whether the request, if queued now, should reach a slot in time to meet its target, given the
// number of requests ahead of it.
bool Balancer::MayQueue(Cell& cell, const Request& request, Duration service_time,
                        MonotonicTime now) {
  if (!CanMeetTarget(request, service_time, now)) return false;
  const size_t ahead = CountQueuedAhead(cell, request.level);
  if (CountQueuedBeside(cell, request.level) >= kQueueLimit) return false;
  if (ahead == 0 && !HasLimits(cell, now)) return true;
  const double effective_slots = EffectiveSlots(cell, true, service_time, now);
  const Duration max_wait = request.spec.target - now - Times(service_time, kOnTimeMargin);
  if (IsShortOfTokens(cell, effective_slots, now)) {
    // Even the first request in the queue waits for a token. The rate of tokens is known, so the
    // expected wait needs no slack, and late requests get none before those that are on time.
    const auto turn = static_cast<double>(CountOnTimeAhead(cell, request.level) + 1);
    return effective_slots > 0 && Times(service_time, turn / effective_slots) <= max_wait;
  }
  if (ahead == 0) return true;
  if (effective_slots <= 0) return false;
  const Duration wait = Times(service_time, static_cast<double>(ahead) / effective_slots);
  return wait <= Times(max_wait, kQueueSlack);
}

void Balancer::AdjustTargetForRetry(AssignmentRequest& spec) {
  if (spec.caller_left <= Duration{} || spec.hedge) return;
  CallerElapsedEstimate& caller_elapsed = FindOrCreateCell(spec.cell).caller_elapsed[spec.kind];
  spec.target -= caller_elapsed.OnRequest(spec.caller_left);
}

Assignment Balancer::Assign(const AssignmentRequest& spec, MonotonicTime now) {
  Request& request = requests_[spec.id];
  request.spec = spec;
  request.cell = &FindOrCreateCell(spec.cell);
  request.received_at = now;
  Cell& cell = *request.cell;
  if (cell.servers.empty()) return Decline(request, RefusalCause::kNoBackendServer, now);
  if (spec.hedge) {
    Candidates free = FreeCandidates(cell, now);
    const Duration service_time = ServiceTimeOf(cell, spec, now).Mean();
    const auto best = SelectBest(free, request, service_time, now);
    if (best && cell.queue.empty() &&
        now + Times(service_time, free[*best].expected_service_times) <= spec.deadline) {
      return AssignServer(free, *best, request, service_time, now);
    }
    return Decline(request, RefusalCause::kOverload, now);
  }
  if (!spec.workspace.Text().empty()) cell.shares.OnRequest(spec.workspace, now);
  request.level = LevelOf(cell, spec, now);
  if (IsOverShare(request.level)) ++requests_over_share_;
  const bool late = !MayQueue(cell, request, ServiceTimeOf(cell, spec, now).Mean(), now);
  request.queued = true;
  request.late = late;
  cell.queue.insert({request.level, spec.target, spec.id});
  ++cell.queued_by_level[request.level];
  ProcessQueue(cell, now);
  // A decision on this request is returned here, not by TakeQueueDecisions.
  const auto is_same_request = [&spec](const QueueDecision& decision) {
    return std::visit([&spec](const auto& it) { return it.id == spec.id; }, decision);
  };
  const auto it = std::find_if(decisions_.begin(), decisions_.end(), is_same_request);
  if (it == decisions_.end()) return Queued{};
  const QueueDecision decision = *it;
  decisions_.erase(it);
  return std::visit([](const auto& decided) -> Assignment { return decided; }, decision);
}

void Balancer::RemoveFromQueue(Request& request) {
  if (!request.queued) return;
  request.queued = false;
  Cell& cell = *request.cell;
  cell.queue.erase({request.level, request.spec.target, request.spec.id});
  const auto it = cell.queued_by_level.find(request.level);
  if (--it->second == 0) cell.queued_by_level.erase(it);
}

// Assigns free slots to queued requests, the most urgent level first. Within a level, requests that
// can meet their target get slots first, in queue order, and late ones take what is left.
void Balancer::ProcessQueue(Cell& cell, MonotonicTime now) {
  if (cell.queue.empty()) return;
  Candidates free = FreeCandidates(cell, now);
  std::vector<AssignmentId> late;
  const std::vector<QueueKey> queue(cell.queue.begin(), cell.queue.end());
  for (auto it = queue.begin(); it != queue.end(); ++it) {
    const auto& [level, target, id] = *it;
    Request& request = requests_.at(id);
    const Duration service_time = ServiceTimeOf(cell, request.spec, now).Mean();
    const auto best = SelectBest(free, request, service_time, now);
    if (best && now + Times(service_time, free[*best].expected_service_times) <= target) {
      RemoveFromQueue(request);
      decisions_.emplace_back(AssignServer(free, *best, request, service_time, now));
    } else if (!ShouldAwaitReports(free, request, now) &&
               (request.late || !CanMeetTarget(request, service_time, now))) {
      late.push_back(id);
    }
    const bool is_last_of_level =
        std::next(it) == queue.end() || std::get<0>(*std::next(it)) != level;
    if (is_last_of_level) AssignOrDeclineLate(cell, free, std::exchange(late, {}), now);
  }
}

// Whether the request should wait for reports of servers that have a free slot but whose hosts'
// speed is unknown. Requests probes of a few of these servers, once per request.
bool Balancer::ShouldAwaitReports(const Candidates& free, Request& request, MonotonicTime now) {
  if (now - request.received_at >= kMaxProbeWait) return false;
  std::vector<const Server*> unknown;
  for (const Candidate& it : free) {
    if (!it.host_speed_known) unknown.push_back(it.server);
  }
  if (request.probes_requested || unknown.empty()) return !unknown.empty();
  request.probes_requested = true;
  std::shuffle(unknown.begin(), unknown.end(), random_);
  for (size_t i = 0; i < std::min(unknown.size(), kProbesPerRequest); ++i) {
    servers_to_probe_.push_back(unknown[i]->config.id);
  }
  return true;
}

// For each request that can't meet its target: assigns a free server that is expected to answer it
// by its deadline; else leaves it queued if a slot should come free in time for that; else declines
// it.
void Balancer::AssignOrDeclineLate(Cell& cell, Candidates& free,
                                   const std::vector<AssignmentId>& late, MonotonicTime now) {
  if (late.empty()) return;
  const double effective_slots = EffectiveSlots(
      cell, false, ServiceTimeOf(cell, requests_.at(late.front()).spec, now).Mean(), now);
  // Queued requests of this or a more urgent level that are not in `late`, plus those in `late`
  // that stay queued below.
  size_t ahead = CountQueuedAhead(cell, requests_.at(late.front()).level) - late.size();
  // Requests that are on time take every token of the limits, so none is left for late ones.
  const bool no_tokens_left = ahead > 0 && IsShortOfTokens(cell, effective_slots, now);
  for (const AssignmentId id : late) {
    Request& request = requests_.at(id);
    const Duration service_time = ServiceTimeOf(cell, request.spec, now).Mean();
    const Duration left = Times(request.spec.deadline - now, kUsableDeadlineShare);
    const auto best = SelectBest(free, request, service_time, now);
    if (best && Times(service_time, free[*best].expected_service_times) <= left) {
      RemoveFromQueue(request);
      decisions_.emplace_back(AssignServer(free, *best, request, service_time, now));
      continue;
    }
    const double wait_service_times =
        effective_slots > 0 ? static_cast<double>(ahead + 1) / effective_slots : 0;
    const Duration needed =
        Times(service_time, wait_service_times + std::max(cell.mean_slowdown, 1.0));
    if (effective_slots > 0 && needed <= left && !no_tokens_left) {
      request.late = true;
      ++ahead;
      continue;
    }
    const bool any_available =
        std::any_of(cell.servers.begin(), cell.servers.end(),
                    [now](const Server* it) { return !it->leaving && !it->health.IsDown(now); });
    RemoveFromQueue(request);
    decisions_.emplace_back(Decline(
        request, any_available ? RefusalCause::kOverload : RefusalCause::kNoBackendServer, now));
  }
}

// Erases the request, so `request` is invalid afterwards.
Declined Balancer::Decline(const Request& request, RefusalCause cause, MonotonicTime now) {
  Declined declined;
  declined.id = request.spec.id;
  declined.cause = cause;
  Cell& cell = *request.cell;
  const Duration service_time = ServiceTimeOf(cell, request.spec, now).Mean();
  const double effective_slots =
      std::max(EffectiveSlots(cell, true, service_time, now),
               HasNamedLimits(cell) ? kMinLimitedSlots : kMinEffectiveSlots);
  if (cause == RefusalCause::kOverload && IsHeldBackByLimits(cell, now)) {
    declined.cause = RefusalCause::kServerLimit;
    ++declined_by_limits_;
  }
  const Duration time_to_empty_queue = Times(
      service_time, static_cast<double>(CountQueuedBeside(cell, request.level)) / effective_slots);
  const Duration wait = std::max<Duration>({kMinRetryAfter, service_time, time_to_empty_queue});
  // Jitter, so that callers declined together don't retry together.
  std::uniform_real_distribution<double> spread(0.75, 1.75);
  declined.retry_after = duration_cast<milliseconds>(Times(wait, spread(random_)));
  requests_.erase(declined.id);
  return declined;
}

std::vector<QueueDecision> Balancer::TakeQueueDecisions(MonotonicTime now) {
  for (auto& [id, cell] : cells_) ProcessQueue(*cell, now);
  return std::exchange(decisions_, {});
}

Availability Balancer::AvailabilityOf(const AssignmentRequest& spec, MonotonicTime now) {
  Request request;
  request.spec = spec;
  request.cell = &FindOrCreateCell(spec.cell);
  request.received_at = now;
  Cell& cell = *request.cell;
  request.level = LevelOf(cell, spec, now);
  const Duration mean = ServiceTimeOf(cell, spec, now).Mean();
  const Candidates free = FreeCandidates(cell, now);
  const auto best = SelectBest(free, request, mean, now);
  if (best && now + Times(mean, free[*best].expected_service_times) <= spec.target) {
    return Availability::kFreeSlot;
  }
  if (cell.servers.empty()) return Availability::kLate;
  return MayQueue(cell, request, mean, now) ? Availability::kQueueOnTime : Availability::kLate;
}

int32_t Balancer::FreeSlots(const CellId& id, MonotonicTime now) {
  Cell& cell = FindOrCreateCell(id);
  int32_t free = -static_cast<int32_t>(cell.queue.size());
  for (const Candidate& it : FreeCandidates(cell, now)) {
    if (!it.host_speed_known || it.expected_service_times >= kSlowHostThreshold) continue;
    int32_t slots = static_cast<int32_t>(SlotsOf(*it.server)) - static_cast<int32_t>(it.in_flight);
    if (it.server->limit.LimitAt(now)) {
      slots = std::min(slots, static_cast<int32_t>(it.server->limit.Tokens(now)));
    }
    free += slots;
  }
  return free;
}

size_t Balancer::Waiting() const {
  size_t n = 0;
  for (const auto& [id, cell] : cells_) n += cell->queue.size();
  return n;
}

std::optional<MonotonicTime> Balancer::NextWake(MonotonicTime now) const {
  if (Waiting() == 0) return std::nullopt;
  return now + kQueuePollInterval;
}

// ---- Explanations ------------------------------------------------------------------------------

void Balancer::Relink(const Balancer& original) {
  std::unordered_map<const Cell*, Cell*> copies;
  for (const auto& [id, cell] : original.cells_) copies[cell.get()] = cells_.at(id).get();
  for (auto& [id, cell] : cells_) {
    for (Server*& server : cell->servers) server = servers_.at(server->config.id).get();
  }
  for (auto& [id, server] : servers_) {
    if (server->cell != nullptr) server->cell = copies.at(server->cell);
  }
  for (auto& [id, request] : requests_) {
    if (request.cell != nullptr) request.cell = copies.at(request.cell);
    if (request.server != nullptr) request.server = servers_.at(request.server->config.id).get();
  }
}

std::string Balancer::StateOf(const Server& server, MonotonicTime now) const {
  if (server.leaving) return "leaving";
  if (server.evacuated) return "its failure domain is evacuated";
  if (server.health.IsDown(now)) return "down";
  if (server.load.InFlight(now) >= SlotsOf(server)) return "no free slot";
  ServerLimit limit = server.limit;  // Asking it refills the bucket.
  if (limit.Limit() && !server.cell->shares_limits) return "another scheduler shares out its limit";
  if (!limit.Allows(now)) return "its limit is used up";
  const bool known = server.load.IsHostSpeedKnown(now, host_interval_.Interval());
  return known ? "usable" : "the speed of its host is not known";
}

std::vector<ServerExplanation> Balancer::Describe(const AssignmentRequest& request,
                                                  MonotonicTime now) {
  std::vector<ServerExplanation> servers;
  const Duration service_time = ServiceTimeOf(FindOrCreateCell(request.cell), request, now).Mean();
  for (const auto& [id, server] : servers_) {
    if (!server->listed || server->config.service != request.cell.service) continue;
    const Candidate candidate = Evaluate(*server, now);
    ServerExplanation& it = servers.emplace_back();
    it.server = id;
    it.failure_domain = server->config.failure_domain;
    it.state = StateOf(*server, now);
    it.in_cell = server->cell == cells_.at(request.cell).get();
    it.in_flight = candidate.in_flight;
    it.slots = SlotsOf(*server);
    it.slowdown =
        server->load.Slowdown(server->cell->mean_slowdown, now, host_interval_.Interval());
    it.expected = Times(service_time, candidate.expected_service_times);
    if (server->load.HasReport()) it.report_age = now - server->load.ReceivedAt();
    it.limit = server->limit.Limit();
  }
  std::sort(servers.begin(), servers.end(),
            [](const auto& a, const auto& b) { return a.server < b.server; });
  return servers;
}

size_t Balancer::QueuedIn(const CellId& cell) const {
  const auto it = cells_.find(cell);
  return it == cells_.end() ? 0 : it->second->queue.size();
}

}  // namespace cowsliphill
