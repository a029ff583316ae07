#include "src/balance/balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cowsliphill {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr double kOverdue = 2.5;             // Times the expected time: a cancelled attempt counts
                                             // as a failure.
constexpr milliseconds kProbeInterval{50};   // A tenth of the shortest time for which hosts were
                                             // seen to stay slow, until their rhythm is known.
constexpr milliseconds kCountInterval{250};  // With a known rhythm: requests there are known from
                                             // the assignments, reports only correct them.
constexpr milliseconds kQuietTime{3000};     // Without a change at any host of the cell: probes
                                             // only show that servers live.
constexpr milliseconds kAfterStep{2};        // A host's step is looked at so long after it.

// The turns of one cell's queue, most urgent first, then by target.
using QueueKey = std::tuple<uint32_t, MonotonicTime, AssignmentId>;

QueueKey KeyOf(const AssignmentRequest& asked) { return {asked.kind.rank, asked.target, asked.id}; }

}  // namespace

struct Balancer::Server {
  BackendServer config;
  Cell* cell = nullptr;
  bool listed = true;    // False: gone; kept until its open requests end.
  bool leaving = false;  // By its own word or the platform's.
  MonotonicTime warm;    // From then on it works at full speed.
  ServerLoad load;
  ServerHealth health;
  std::vector<AssignmentId> open;
};

struct Balancer::Cell {
  std::vector<Server*> servers;  // That may take new work.
  std::map<RequestKind, WorkEstimate> work;
  std::set<QueueKey> waiting;
  std::map<uint32_t, size_t> waiting_by_rank;
  std::map<RequestKind, ReturnEstimate> returns;
  CrowdingEstimate crowding;
  double typical_slowdown = 1.0;  // Mean of the newest reports.
  MonotonicTime last_change{};    // Of any host.
};

Balancer::Balancer(uint64_t seed) : random_(seed) {}
Balancer::~Balancer() = default;

Balancer::Cell& Balancer::CellOf(const CellId& id) {
  auto& cell = cells_[id];
  if (!cell) cell = std::make_unique<Cell>();
  return *cell;
}

void Balancer::Apply(const std::vector<BackendServer>& servers, const CellMap& cells,
                     MonotonicTime now) {
  for (auto& [id, cell] : cells_) cell->servers.clear();
  for (auto& [id, server] : servers_) server->listed = false;
  for (const BackendServer& config : servers) {
    auto& server = servers_[config.id];
    const bool reborn = server && server->config.started != config.started;
    if (!server) server = std::make_unique<Server>();
    if (reborn) {
      // A new lifetime under the same id knows nothing of the old one.
      server->load = ServerLoad();
      server->health = ServerHealth();
      server->leaving = false;
    }
    const bool is_new = server->config.id.Empty() || reborn;
    server->config = config;
    server->listed = true;
    if (is_new) server->warm = now + config.warmup;
    if (config.state == BackendState::kLeaving) server->leaving = true;
    server->cell = &CellOf(cells.CellOf(config.service, config.failure_domain));
    if (!server->leaving) server->cell->servers.push_back(server.get());
  }
  std::erase_if(servers_,
                [](const auto& item) { return !item.second->listed && item.second->open.empty(); });
}

WorkEstimate& Balancer::WorkOf(Cell& cell, const AssignmentRequest& asked, MonotonicTime now) {
  const auto it = cell.work.find(asked.kind);
  if (it != cell.work.end()) return it->second;
  const bool told = asked.kind.target.count() > 0;
  const Duration target = told ? Duration(asked.kind.target) : asked.target - now;
  return cell.work.emplace(asked.kind, WorkEstimate(target)).first->second;
}

// ---- Choosing a server -------------------------------------------------------------------------

Balancer::Candidate Balancer::Judge(Server& server, MonotonicTime now) const {
  const Cell& cell = *server.cell;
  const std::optional<Duration> interval = rhythm_.Interval();
  Candidate candidate;
  candidate.server = &server;
  candidate.in_flight = server.load.InFlight(now);
  candidate.certain = server.load.Certain(now, interval);
  candidate.pace = server.load.Slowdown(cell.typical_slowdown, now, interval);
  if (!server.load.Known() && now < server.warm) candidate.pace *= kColdCost;
  if (CrowdingEstimate::Crowds(candidate.in_flight, server.config.slots)) {
    candidate.pace *= cell.crowding.Factor();
  }
  candidate.cost = candidate.pace *
                   (1 + kCrowdCost * candidate.in_flight + kFailureCost * server.health.Failing());
  return candidate;
}

uint32_t Balancer::SlotsOf(const Server& server) {
  return std::max<uint32_t>(server.config.slots, 1);
}

// Servers with a free slot.
Balancer::Candidates Balancer::Free(const Cell& cell, MonotonicTime now) const {
  Candidates free;
  free.reserve(cell.servers.size());
  for (Server* server : cell.servers) {
    if (server->leaving || server->health.IsDown(now)) continue;
    const Candidate candidate = Judge(*server, now);
    if (candidate.in_flight < SlotsOf(*server)) free.push_back(candidate);
  }
  return free;
}

// The place in `free` of the server to take; ties are broken at random.
std::optional<size_t> Balancer::Best(const Candidates& free, const Request& request, Duration work,
                                     MonotonicTime now) {
  const AssignmentRequest& asked = request.asked;
  const double unit = static_cast<double>(std::max<Duration::rep>(work.count(), 1));
  // Large answers stay in their failure domain as long as that is in time.
  const bool takes_any = asked.hedge || now - request.came >= kProbeWait;
  const double out_of_place =
      static_cast<double>(std::max<Duration>(asked.target - now, work).count()) / unit;
  std::vector<std::pair<double, size_t>> costs;
  costs.reserve(free.size());
  double least = std::numeric_limits<double>::max();
  for (size_t i = 0; i < free.size(); ++i) {
    const BackendServer& server = free[i].server->config;
    if (std::find(asked.tried.begin(), asked.tried.end(), server.id) != asked.tried.end()) continue;
    if (!free[i].certain && !takes_any) continue;
    const bool remote = server.failure_domain != asked.home;
    double cost = free[i].cost + (remote ? kRemoteCost : 0);
    const bool late = now + Times(work, free[i].pace) > asked.target;
    if (asked.kind.bulk && (remote || late)) cost += out_of_place;
    costs.emplace_back(cost, i);
    least = std::min(least, cost);
  }
  if (costs.empty()) return std::nullopt;
  const double tie =
      std::max(least * kTie, static_cast<double>(Duration(kTieFloor).count()) / unit);
  std::erase_if(costs, [=](const auto& it) { return it.first > least + tie; });
  std::uniform_int_distribution<size_t> any(0, costs.size() - 1);
  return costs[any(random_)].second;
}

Assigned Balancer::Give(Candidates& free, size_t i, Request& request, Duration work,
                        MonotonicTime now) {
  const Candidate taken = free[i];
  Server& server = *taken.server;
  request.server = &server;
  request.assigned = now;
  request.usual_start = taken.certain;
  Assigned& given = request.given;
  given.id = request.asked.id;
  given.server = server.config.id;
  given.expected = Times(work, taken.pace);
  given.work = work;
  given.in_flight = taken.in_flight;
  given.slowdown = server.load.Slowdown(request.cell->typical_slowdown, now, rhythm_.Interval());
  given.report_age = server.load.Known() ? now - server.load.Sampled() : Duration(-1);
  given.usable = static_cast<uint32_t>(free.size());
  server.load.OnAssigned(now);
  server.open.push_back(request.asked.id);
  const Candidate next = Judge(server, now);
  if (next.in_flight < SlotsOf(server)) {
    free[i] = next;
  } else {
    free.erase(free.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return given;
}

// ---- The queue ---------------------------------------------------------------------------------

bool Balancer::IsHopeful(const Request& request, Duration work, MonotonicTime now) const {
  return now + Times(work, kHopeful) <= request.asked.target;
}

// Slots that work at usual speed, counting slower ones in part; all hosts, or only the fast ones.
double Balancer::Throughput(Cell& cell, bool fast_only, MonotonicTime now) const {
  double sum = 0;
  for (const Server* server : cell.servers) {
    if (server->leaving || server->health.IsDown(now)) continue;
    const double pace = server->load.Slowdown(cell.typical_slowdown, now, rhythm_.Interval());
    if (fast_only && pace >= kTurnedSlow) continue;
    sum += SlotsOf(*server) / std::max(pace, 1.0);
  }
  return sum;
}

// Requests that wait and are as urgent as `rank` or more.
size_t Balancer::Ahead(const Cell& cell, uint32_t rank) {
  size_t n = 0;
  for (const auto& [other, waiting] : cell.waiting_by_rank) n += other <= rank ? waiting : 0;
  return n;
}

// Whether a place in the queue would come up in time, with those before it as many as they are.
bool Balancer::MayWait(Cell& cell, const Request& request, Duration work, MonotonicTime now) {
  if (!IsHopeful(request, work, now) || cell.waiting.size() >= kMostWaiting) return false;
  const size_t ahead = Ahead(cell, request.asked.kind.rank);
  const double throughput = Throughput(cell, true, now);
  if (ahead == 0) return true;
  if (throughput <= 0) return false;
  const Duration wait = Times(work, static_cast<double>(ahead) / throughput);
  return wait <= Times(request.asked.target - now - Times(work, kHopeful), kQueueSlack);
}

void Balancer::NoteReturn(AssignmentRequest& asked) {
  if (asked.caller_left <= Duration{} || asked.hedge) return;
  ReturnEstimate& returns = CellOf(asked.cell).returns[asked.kind];
  asked.target -= returns.OnRequest(asked.caller_left);
}

Assignment Balancer::Assign(const AssignmentRequest& asked, MonotonicTime now) {
  Request& request = requests_[asked.id];
  request.asked = asked;
  request.cell = &CellOf(asked.cell);
  request.came = now;
  Cell& cell = *request.cell;
  if (cell.servers.empty()) return Decline(request, RefusalCause::kNoBackendServer, now);
  if (asked.hedge) {
    Candidates free = Free(cell, now);
    const Duration work = WorkOf(cell, asked, now).Mean();
    const auto best = Best(free, request, work, now);
    if (best && cell.waiting.empty() && now + Times(work, free[*best].pace) <= asked.deadline) {
      return Give(free, *best, request, work, now);
    }
    return Decline(request, RefusalCause::kOverload, now);
  }
  const bool hopeless = !MayWait(cell, request, WorkOf(cell, asked, now).Mean(), now);
  request.waiting = true;
  request.late = hopeless;
  cell.waiting.insert(KeyOf(asked));
  ++cell.waiting_by_rank[asked.kind.rank];
  Serve(cell, now);
  // What Serve decided of this one goes back at once.
  const auto is_this = [&asked](const Turn& turn) {
    return std::visit([&asked](const auto& it) { return it.id == asked.id; }, turn);
  };
  const auto it = std::find_if(turns_.begin(), turns_.end(), is_this);
  if (it == turns_.end()) return Queued{};
  const Turn turn = *it;
  turns_.erase(it);
  return std::visit([](const auto& decided) -> Assignment { return decided; }, turn);
}

void Balancer::LeaveQueue(Request& request) {
  if (!request.waiting) return;
  request.waiting = false;
  Cell& cell = *request.cell;
  cell.waiting.erase(KeyOf(request.asked));
  const auto it = cell.waiting_by_rank.find(request.asked.kind.rank);
  if (--it->second == 0) cell.waiting_by_rank.erase(it);
}

// Gives free slots to those that wait, the most urgent first. Of those equally urgent, first come
// those that are in time there, in order, then those that are late anyway.
void Balancer::Serve(Cell& cell, MonotonicTime now) {
  if (cell.waiting.empty()) return;
  Candidates free = Free(cell, now);
  std::vector<AssignmentId> late;
  const std::vector<QueueKey> queue(cell.waiting.begin(), cell.waiting.end());
  for (auto it = queue.begin(); it != queue.end(); ++it) {
    const auto& [rank, target, id] = *it;
    Request& request = requests_.at(id);
    const Duration work = WorkOf(cell, request.asked, now).Mean();
    const auto best = Best(free, request, work, now);
    if (best && now + Times(work, free[*best].pace) <= target) {
      LeaveQueue(request);
      turns_.emplace_back(Give(free, *best, request, work, now));
    } else if (!WantReports(free, request, now) &&
               (request.late || !IsHopeful(request, work, now))) {
      late.push_back(id);
    }
    const bool last_of_rank = std::next(it) == queue.end() || std::get<0>(*std::next(it)) != rank;
    if (last_of_rank) ServeLate(cell, free, std::exchange(late, {}), now);
  }
}

// Whether the request waits for reports of servers that have a slot but of whose hosts nothing is
// known. A few of them are asked, once.
bool Balancer::WantReports(const Candidates& free, Request& request, MonotonicTime now) {
  if (now - request.came >= kProbeWait) return false;
  std::vector<const Server*> unknown;
  for (const Candidate& it : free) {
    if (!it.certain) unknown.push_back(it.server);
  }
  if (request.wants || unknown.empty()) return !unknown.empty();
  request.wants = true;
  std::shuffle(unknown.begin(), unknown.end(), random_);
  for (size_t i = 0; i < std::min(unknown.size(), kProbesWanted); ++i) {
    wanted_.push_back(unknown[i]->config.id);
  }
  return true;
}

void Balancer::ServeLate(Cell& cell, Candidates& free, const std::vector<AssignmentId>& late,
                         MonotonicTime now) {
  if (late.empty()) return;
  const double throughput = Throughput(cell, false, now);
  // Those that go on waiting: the others of these ranks, and then the late ones.
  size_t ahead = Ahead(cell, requests_.at(late.front()).asked.kind.rank) - late.size();
  for (const AssignmentId id : late) {
    Request& request = requests_.at(id);
    const Duration work = WorkOf(cell, request.asked, now).Mean();
    const Duration left = Times(request.asked.deadline - now, kDeadlineMargin);
    const auto best = Best(free, request, work, now);
    if (best && Times(work, free[*best].pace) <= left) {
      LeaveQueue(request);
      turns_.emplace_back(Give(free, *best, request, work, now));
      continue;
    }
    const double share = throughput > 0 ? static_cast<double>(ahead + 1) / throughput : 0;
    const Duration needed = Times(work, share + std::max(cell.typical_slowdown, 1.0));
    if (throughput > 0 && needed <= left) {
      request.late = true;
      ++ahead;
      continue;
    }
    const bool any = std::any_of(cell.servers.begin(), cell.servers.end(), [now](const Server* it) {
      return !it->leaving && !it->health.IsDown(now);
    });
    LeaveQueue(request);
    turns_.emplace_back(
        Decline(request, any ? RefusalCause::kOverload : RefusalCause::kNoBackendServer, now));
  }
}

// The request is gone after it.
Declined Balancer::Decline(const Request& request, RefusalCause cause, MonotonicTime now) {
  Declined refused;
  refused.id = request.asked.id;
  refused.cause = cause;
  Cell& cell = *request.cell;
  const Duration work = WorkOf(cell, request.asked, now).Mean();
  const double throughput = std::max(Throughput(cell, true, now), 1.0);
  const Duration queue = Times(work, static_cast<double>(cell.waiting.size()) / throughput);
  const Duration wait = std::max<Duration>({kRetryAfterFloor, work, queue});
  // Spread, so that those refused together don't come back together.
  std::uniform_real_distribution<double> spread(0.75, 1.75);
  refused.retry_after = duration_cast<milliseconds>(Times(wait, spread(random_)));
  requests_.erase(refused.id);
  return refused;
}

std::vector<Turn> Balancer::TakeTurns(MonotonicTime now) {
  for (auto& [id, cell] : cells_) Serve(*cell, now);
  return std::exchange(turns_, {});
}

Outlook Balancer::OutlookOf(const AssignmentRequest& asked, MonotonicTime now) {
  Request request;
  request.asked = asked;
  request.cell = &CellOf(asked.cell);
  request.came = now;
  Cell& cell = *request.cell;
  const Duration work = WorkOf(cell, asked, now).Mean();
  const Candidates free = Free(cell, now);
  const auto best = Best(free, request, work, now);
  if (best && now + Times(work, free[*best].pace) <= asked.target) return Outlook::kNow;
  if (cell.servers.empty()) return Outlook::kLate;
  return MayWait(cell, request, work, now) ? Outlook::kSoon : Outlook::kLate;
}

int32_t Balancer::FreeSlots(const CellId& id, MonotonicTime now) {
  Cell& cell = CellOf(id);
  int32_t free = -static_cast<int32_t>(cell.waiting.size());
  for (const Candidate& it : Free(cell, now)) {
    if (!it.certain || it.pace >= kTurnedSlow) continue;
    free += static_cast<int32_t>(SlotsOf(*it.server)) - static_cast<int32_t>(it.in_flight);
  }
  return free;
}

// ---- What is heard of servers ------------------------------------------------------------------

void Balancer::Withdraw(AssignmentId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  LeaveQueue(it->second);
  if (Server* server = it->second.server) {
    server->load.OnEnded(it->second.assigned);
    std::erase(server->open, id);
  }
  requests_.erase(it);
}

void Balancer::OnEnded(AssignmentId id, const AttemptResult& result, MonotonicTime now) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.server == nullptr) return Withdraw(id);
  const Request& request = it->second;
  Server& server = *request.server;
  const BackendServerId name = server.config.id;
  Cell& cell = *request.cell;
  switch (result.end) {
    case AttemptEnd::kAnswered:
      server.health.OnReached();
      server.health.OnOutcome(false);
      if (request.usual_start) {
        WorkEstimate& work = WorkOf(cell, request.asked, now);
        if (CrowdingEstimate::Crowds(request.given.in_flight, server.config.slots)) {
          cell.crowding.OnAnswer(result.latency, Times(work.Mean(), request.given.slowdown));
        } else {
          work.OnAnswer(result.latency, request.given.slowdown);
        }
      }
      break;
    case AttemptEnd::kShed:
    case AttemptEnd::kNotStarted:
      server.load.OnFull(SlotsOf(server));
      break;
    case AttemptEnd::kConnectFailed:
      server.health.OnUnreachable(now);
      break;
    case AttemptEnd::kServerError:
    case AttemptEnd::kTimedOut:
    case AttemptEnd::kConnectionLost:
      server.health.OnOutcome(true);
      break;
    case AttemptEnd::kCancelled:
      if (now - request.assigned > Times(request.given.expected, kOverdue)) {
        server.health.OnOutcome(true);
      }
      break;
  }
  Withdraw(id);
  if (result.report) OnReport(name, *result.report, now);
}

void Balancer::OnReport(const BackendServerId& id, const Report& report, MonotonicTime sampled) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) return;
  Server& server = *it->second;
  const ServerLoad::HostChange host = server.load.OnReport(report, sampled, rhythm_.Interval());
  server.health.OnReached();
  if (report.draining) server.leaving = true;
  if (host.changed) server.cell->last_change = sampled;
  if (host.gap) rhythm_.OnGap(*host.gap);
  if (!report.slowdown) return;
  double& typical = server.cell->typical_slowdown;
  typical += kTypicalWeight * (*report.slowdown - typical);
  if (*report.slowdown >= kTurnedSlow) NoteSlowStarts(server);
}

// Work keeps the speed at which it began: what was assigned after the host had turned slow, and
// before anyone could know, is late by itself.
void Balancer::NoteSlowStarts(Server& server) {
  const std::optional<MonotonicTime> changed = server.load.ChangedBy();
  if (!changed) return;
  for (const AssignmentId id : server.open) {
    Request& request = requests_.at(id);
    const bool unseen = request.given.slowdown < kTurnedSlow && request.assigned >= *changed;
    if (!unseen) continue;
    request.given.slowdown = kTurnedSlow;  // Told once.
    request.usual_start = false;
    started_slow_.push_back(id);
  }
}

void Balancer::OnMissedProbe(const BackendServerId& id) {
  const auto it = servers_.find(id);
  if (it != servers_.end()) it->second->health.OnMissedProbe();
}

MonotonicTime Balancer::NextProbe(const BackendServerId& id, MonotonicTime asked) const {
  const auto it = servers_.find(id);
  if (it == servers_.end()) return asked + kProbeInterval;
  const Server& server = *it->second;
  if (server.health.MissedAProbe() || !server.load.Known()) return asked + kProbeInterval;
  const std::optional<MonotonicTime> step = server.load.NextStep(rhythm_.Interval());
  if (step) return std::clamp(*step + kAfterStep, asked + kAfterStep, asked + kCountInterval);
  const bool quiet = asked - server.cell->last_change > kQuietTime;
  return asked + (quiet ? kCountInterval : kProbeInterval);
}

size_t Balancer::Waiting() const {
  size_t n = 0;
  for (const auto& [id, cell] : cells_) n += cell->waiting.size();
  return n;
}

std::optional<MonotonicTime> Balancer::NextWake(MonotonicTime now) const {
  if (Waiting() == 0) return std::nullopt;
  return now + kQueuePoll;
}

}  // namespace cowsliphill
