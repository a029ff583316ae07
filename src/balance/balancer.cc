#include "src/balance/balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>

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
// Smallest number of effective slots by which the time to empty a queue is estimated: without
// limits the slots of slow hosts still serve some requests.
constexpr double kMinEffectiveSlots = 1.0;
constexpr double kMinLimitedSlots = 0.05;
constexpr milliseconds kStepDelay{2};  // Delay of a probe after an expected speed change.

// Position in a cell's queue: by rank, the most urgent first, then by target.
using QueueKey = std::tuple<uint32_t, MonotonicTime, AssignmentId>;

QueueKey QueueKeyOf(const AssignmentRequest& spec) {
  return {spec.kind.rank, spec.target, spec.id};
}

}  // namespace

struct Balancer::Server {
  BackendServer config;
  Cell* cell = nullptr;
  bool listed = true;        // False: not in the last list; kept until its requests end.
  bool evacuated = false;    // Its failure domain is evacuated.
  bool leaving = false;      // The server or the platform reported that it accepts no new requests.
  MonotonicTime warmup_end;  // Time from which the server runs at full speed.
  ServerLoad load;
  ServerHealth health;
  ServerLimit limit;
  std::vector<AssignmentId> open_requests;
};

struct Balancer::Cell {
  std::vector<Server*> servers;  // Servers that accept new requests and are not evacuated.
  std::map<RequestKind, ServiceTimeEstimate> service_times;
  std::set<QueueKey> queue;
  std::map<uint32_t, size_t> queued_by_rank;
  std::map<RequestKind, CallerElapsedEstimate> caller_elapsed;
  NearCapacityEstimate near_capacity;
  bool shares_limits = true;          // See SetSharesLimits.
  double mean_slowdown = 1.0;         // Exponentially weighted mean of reported slowdowns.
  MonotonicTime last_speed_change{};  // Newest speed change of any host in the cell.
};

Balancer::Balancer(uint64_t seed) : random_(seed) {}
Balancer::~Balancer() = default;
Balancer::Balancer(const Balancer&) = default;

Balancer::Cell& Balancer::FindOrCreateCell(const CellId& id) {
  auto& cell = cells_[id];
  if (!cell) cell = std::make_unique<Cell>();
  return *cell;
}

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
  if (config.state == BackendState::kLeaving) server->leaving = true;
  AddToCell(*server, cells);
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

// Whether the server accepts requests, and a limit that it names allows one more.
bool Balancer::MayAssign(const Cell& cell, Server& server, MonotonicTime now) {
  if (server.leaving || server.health.IsDown(now)) return false;
  if (!server.limit.Limit()) return true;
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
  server.load.OnAssigned(now);
  server.limit.OnAssigned(now);
  if (server.limit.Limit()) ++assigned_within_limits_;
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

bool Balancer::HasLimits(const Cell& cell) const {
  if (!saw_limits_) return false;
  return std::any_of(cell.servers.begin(), cell.servers.end(),
                     [](const Server* it) { return it->limit.Limit().has_value(); });
}

// Whether the limits of the cell's servers leave it less than one slot.
bool Balancer::IsShortOfTokens(const Cell& cell, double effective_slots) const {
  return effective_slots < 1 && HasLimits(cell);
}

// Whether a server could take a request now but for its limit.
bool Balancer::IsHeldBackByLimits(const Cell& cell, MonotonicTime now) {
  return std::any_of(cell.servers.begin(), cell.servers.end(), [&](Server* it) {
    return it->limit.Limit() && !it->leaving && !it->health.IsDown(now) &&
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
    if (const std::optional<double> limit = server->limit.Limit()) {
      const double busy = *limit * std::chrono::duration<double>(service_time).count();
      slots = cell.shares_limits ? std::min(slots, busy) : 0;
    }
    sum += slots;
  }
  return sum;
}

// Counts the queued requests that are as urgent as `rank` or more urgent.
size_t Balancer::CountQueuedAhead(const Cell& cell, uint32_t rank) {
  size_t n = 0;
  for (const auto& [other, count] : cell.queued_by_rank) n += other <= rank ? count : 0;
  return n;
}

// Counts those of them that should still meet their target.
size_t Balancer::CountOnTimeAhead(const Cell& cell, uint32_t rank) const {
  return static_cast<size_t>(
      std::count_if(cell.queue.begin(), cell.queue.end(), [this, rank](const QueueKey& key) {
        return std::get<0>(key) <= rank && !requests_.at(std::get<2>(key)).late;
      }));
}

// Whether the request, if queued now, should reach a slot in time to meet its target, given the
// number of requests ahead of it.
bool Balancer::MayQueue(Cell& cell, const Request& request, Duration service_time,
                        MonotonicTime now) {
  if (!CanMeetTarget(request, service_time, now) || cell.queue.size() >= kQueueLimit) return false;
  const uint32_t rank = request.spec.kind.rank;
  const size_t ahead = CountQueuedAhead(cell, rank);
  if (ahead == 0 && !HasLimits(cell)) return true;
  const double effective_slots = EffectiveSlots(cell, true, service_time, now);
  const Duration max_wait = request.spec.target - now - Times(service_time, kOnTimeMargin);
  if (IsShortOfTokens(cell, effective_slots)) {
    // Even the first request in the queue waits for a token. The rate of tokens is known, so the
    // expected wait needs no slack, and late requests get none before those that are on time.
    const auto turn = static_cast<double>(CountOnTimeAhead(cell, rank) + 1);
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
  const bool late = !MayQueue(cell, request, ServiceTimeOf(cell, spec, now).Mean(), now);
  request.queued = true;
  request.late = late;
  cell.queue.insert(QueueKeyOf(spec));
  ++cell.queued_by_rank[spec.kind.rank];
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
  cell.queue.erase(QueueKeyOf(request.spec));
  const auto it = cell.queued_by_rank.find(request.spec.kind.rank);
  if (--it->second == 0) cell.queued_by_rank.erase(it);
}

// Assigns free slots to queued requests, the most urgent rank first. Within a rank, requests that
// can meet their target get slots first, in queue order, and late ones take what is left.
void Balancer::ProcessQueue(Cell& cell, MonotonicTime now) {
  if (cell.queue.empty()) return;
  Candidates free = FreeCandidates(cell, now);
  std::vector<AssignmentId> late;
  const std::vector<QueueKey> queue(cell.queue.begin(), cell.queue.end());
  for (auto it = queue.begin(); it != queue.end(); ++it) {
    const auto& [rank, target, id] = *it;
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
    const bool is_last_of_rank =
        std::next(it) == queue.end() || std::get<0>(*std::next(it)) != rank;
    if (is_last_of_rank) AssignOrDeclineLate(cell, free, std::exchange(late, {}), now);
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
  // Queued requests of this or a more urgent rank that are not in `late`, plus those in `late` that
  // stay queued below.
  size_t ahead = CountQueuedAhead(cell, requests_.at(late.front()).spec.kind.rank) - late.size();
  // Requests that are on time take every token of the limits, so none is left for late ones.
  const bool no_tokens_left = ahead > 0 && IsShortOfTokens(cell, effective_slots);
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
  const double effective_slots = std::max(EffectiveSlots(cell, true, service_time, now),
                                          HasLimits(cell) ? kMinLimitedSlots : kMinEffectiveSlots);
  if (cause == RefusalCause::kOverload && IsHeldBackByLimits(cell, now)) {
    declined.cause = RefusalCause::kServerLimit;
    ++declined_by_limits_;
  }
  const Duration time_to_empty_queue =
      Times(service_time, static_cast<double>(cell.queue.size()) / effective_slots);
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
    if (it.server->limit.Limit()) {
      slots = std::min(slots, static_cast<int32_t>(it.server->limit.Tokens(now)));
    }
    free += slots;
  }
  return free;
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
