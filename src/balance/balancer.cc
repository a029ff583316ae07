#include "src/balance/balancer.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>

namespace cowsliphill {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

Duration Times(Duration duration, double factor) {
  return duration_cast<Duration>(duration * factor);
}

}  // namespace

struct Balancer::Server {
  BackendServer config;
  bool listed = true;    // False: gone; kept until its open requests end.
  bool leaving = false;  // By its own word or the platform's.
  MonotonicTime warm;    // From then on it works at full speed.
  ServerLoad load;
  ServerHealth health;
  OutcomeCount outcomes;  // Since the last TakeOutcomes.
};

struct Balancer::ServiceState {
  // Waiting requests in the order in which they go out: most urgent first, then by target.
  using Turn = std::tuple<uint32_t, MonotonicTime, Ticket>;

  std::vector<Server*> servers;                            // That may take new work.
  std::map<std::pair<uint32_t, bool>, WorkEstimate> work;  // By rank and bulk.
  std::set<Turn> waiting;
  MonotonicTime next_look{};  // At `waiting`, not before.
  SharedRetryBudget budget;
  double typical_slowdown = 1.0;  // Mean of the newest reports.
};

Balancer::Balancer(PlaceId place, uint64_t seed, RetrySettings terms)
    : place_(std::move(place)), random_(seed), terms_(terms) {}

Balancer::~Balancer() = default;

void Balancer::Apply(const std::vector<Service>& services,
                     const std::vector<BackendServer>& servers, MonotonicTime now) {
  last_now_ = now;
  for (const Service& service : services) {
    auto& state = services_[service.id];
    if (!state) state = std::make_unique<ServiceState>();
  }
  for (auto& [id, state] : services_) state->servers.clear();
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
    server->outcomes.server = config.id;
    server->listed = true;
    if (is_new) server->warm = now + config.warmup;
    if (config.state == BackendState::kLeaving) server->leaving = true;
    const auto it = services_.find(config.service);
    if (it != services_.end() && !server->leaving) it->second->servers.push_back(server.get());
  }
  std::erase_if(servers_, [](const auto& item) {
    return !item.second->listed && item.second->load.Open() == 0;
  });
}

WorkEstimate& Balancer::WorkOf(const Request& request) {
  const std::pair<uint32_t, bool> kind(request.asked.rank, request.asked.bulk);
  auto& work = request.service->work;
  const auto it = work.find(kind);
  if (it != work.end()) return it->second;
  const MonotonicTime target = request.asked.target.value_or(request.asked.deadline);
  return work.emplace(kind, WorkEstimate(target - last_now_)).first->second;
}

Balancer::Candidate Balancer::Judge(Server& server, const Request& request, Duration work,
                                    double typical, MonotonicTime now) const {
  Candidate candidate;
  candidate.server = &server;
  candidate.slowdown = server.load.Slowdown(typical, now);
  candidate.in_flight = server.load.InFlight(now);
  const double slots = std::max<uint32_t>(server.config.slots, 1);
  double pace = candidate.slowdown;
  if (now < server.warm) pace *= kColdCost;
  if (candidate.in_flight + 1 > kNearlyFull * slots) pace *= kNearlyFullCost;
  const Duration own = Times(work, pace);
  const double ahead = candidate.in_flight >= slots ? (candidate.in_flight - slots + 1) / slots : 0;
  candidate.expected = own + Times(own, ahead);
  const bool remote = server.config.place != place_;
  const double preference =
      (remote ? kRemoteCost * static_cast<double>(work.count()) : 0) +
      kFailureCost * server.health.Failing() * static_cast<double>(own.count());
  candidate.cost =
      static_cast<double>(candidate.expected.count()) * (1 + kCrowdCost * candidate.in_flight) +
      preference;
  // Large answers stay in their place as long as that is in time.
  const MonotonicTime target = request.asked.target.value_or(request.asked.deadline);
  const bool in_time = now + candidate.expected <= target;
  if (request.asked.bulk && (remote || !in_time)) {
    candidate.cost += static_cast<double>(std::max<Duration>(target - now, work).count());
  }
  return candidate;
}

std::optional<Balancer::Candidate> Balancer::Best(const Request& request, MonotonicTime now,
                                                  uint32_t& usable) {
  const Duration work = WorkOf(request).Mean();
  const double typical = request.service->typical_slowdown;
  std::vector<Candidate> candidates;
  candidates.reserve(request.service->servers.size());
  double least = std::numeric_limits<double>::max();
  for (Server* server : request.service->servers) {
    if (server->leaving || server->health.IsDown(now)) continue;
    const bool tried = std::any_of(request.attempts.begin(), request.attempts.end(),
                                   [server](const Attempt& a) { return a.server == server; });
    if (tried) continue;
    const Candidate candidate = Judge(*server, request, work, typical, now);
    const double most = server->config.slots * (1.0 + kQueuePerSlot);
    if (candidate.in_flight >= most) continue;
    candidates.push_back(candidate);
    least = std::min(least, candidate.cost);
  }
  usable = static_cast<uint32_t>(candidates.size());
  if (candidates.empty()) return std::nullopt;
  const double tie = std::max(least * kTie, static_cast<double>(Duration(kTieFloor).count()));
  std::erase_if(candidates, [=](const Candidate& c) { return c.cost > least + tie; });
  std::uniform_int_distribution<size_t> any(0, candidates.size() - 1);
  return candidates[any(random_)];
}

Choice Balancer::Choose(const ChoiceRequest& asked, MonotonicTime now) {
  last_now_ = now;
  const auto it = services_.find(asked.service);
  Request& request = requests_[asked.ticket];
  request.asked = asked;
  if (it == services_.end()) {
    return Refused(asked.ticket, request, RefusalCause::kUnknownService, now);
  }
  request.service = it->second.get();
  request.service->budget.OnRequest(now);
  return Place(asked.ticket, request, now);
}

Choice Balancer::Place(Ticket ticket, Request& request, MonotonicTime now) {
  if (request.service->servers.empty()) {
    return Refused(ticket, request, RefusalCause::kNoBackendServer, now);
  }
  uint32_t usable = 0;
  const std::optional<Candidate> best = Best(request, now, usable);
  const MonotonicTime target = request.asked.target.value_or(request.asked.deadline);
  if (best && now + best->expected <= target) return Send(ticket, request, *best, usable, now);
  // A free slot at a fast server would still be in time: wait for one.
  const bool hopeful = now + Times(WorkOf(request).Mean(), kNearlyFullCost) <= target;
  if (hopeful && request.service->waiting.size() < kMostWaiting) {
    Wait(ticket, request);
    return cowsliphill::Wait{};
  }
  const Duration left = request.asked.deadline - now;
  if (best && best->expected <= Times(left, kDeadlineMargin)) {
    return Send(ticket, request, *best, usable, now);
  }
  const bool any = std::any_of(request.service->servers.begin(), request.service->servers.end(),
                               [now](const Server* s) { return !s->health.IsDown(now); });
  return Refused(ticket, request, any ? RefusalCause::kOverload : RefusalCause::kNoBackendServer,
                 now);
}

SendTo Balancer::Send(Ticket ticket, Request& request, const Candidate& candidate, uint32_t usable,
                      MonotonicTime now) {
  Server& server = *candidate.server;
  Attempt attempt;
  attempt.server = &server;
  attempt.sent = now;
  attempt.expected = candidate.expected;
  attempt.slowdown = candidate.slowdown;
  attempt.had_free_slot = candidate.in_flight < server.config.slots;
  request.attempts.push_back(attempt);
  server.load.OnSent(now);
  sent_.push_back(server.config.id);
  if (request.asked.repeatable) hedges_.emplace(HedgeTimeOf(request, candidate, now), ticket);
  return {ticket, server.config.id, server.config.endpoint,
          static_cast<uint32_t>(request.attempts.size()), Reason(candidate, usable, now)};
}

MonotonicTime Balancer::HedgeTimeOf(const Request& request, const Candidate& candidate,
                                    MonotonicTime now) {
  const MonotonicTime target = request.asked.target.value_or(request.asked.deadline);
  const Duration work = Times(WorkOf(request).Mean(), kHedgeWork);
  const Duration patience =
      std::clamp(target - work - now, Times(candidate.expected, kHedgeSoonest),
                 Times(candidate.expected, kHedgeAfter));
  return now + std::max<Duration>(patience, Duration(kHedgeFloor));
}

std::string Balancer::Reason(const Candidate& candidate, uint32_t usable, MonotonicTime now) {
  const ServerLoad& load = candidate.server->load;
  const int64_t age = load.Known() ? duration_cast<milliseconds>(now - load.Sampled()).count() : -1;
  return fmt::format("expected_ms={} in_flight={} slowdown={:.2f} report_age_ms={} usable={}",
                     duration_cast<milliseconds>(candidate.expected).count(), candidate.in_flight,
                     candidate.slowdown, age, usable);
}

Refuse Balancer::Refused(Ticket ticket, const Request& request, RefusalCause cause,
                         MonotonicTime now) {
  Refuse refuse;
  refuse.ticket = ticket;
  refuse.cause = cause;
  Duration wait = Duration(kRetryAfterFloor);
  if (request.service != nullptr) {
    wait = std::max<Duration>(wait, request.service->work.empty() ? wait : WorkOf(request).Mean());
  }
  // Spread over twice the time, so that those refused together don't come back together.
  std::uniform_real_distribution<double> spread(0.75, 1.75);
  refuse.retry_after = duration_cast<milliseconds>(Times(wait, spread(random_)));
  return refuse;
}

void Balancer::Wait(Ticket ticket, Request& request) {
  if (request.waiting) return;
  request.waiting = true;
  const MonotonicTime target = request.asked.target.value_or(request.asked.deadline);
  request.service->waiting.emplace(request.asked.rank, target, ticket);
}

void Balancer::LeaveQueue(Ticket ticket, Request& request) {
  if (!request.waiting) return;
  request.waiting = false;
  const MonotonicTime target = request.asked.target.value_or(request.asked.deadline);
  request.service->waiting.erase({request.asked.rank, target, ticket});
}

std::vector<Ready> Balancer::TakeReady(MonotonicTime now) {
  last_now_ = now;
  std::vector<Ready> ready;
  for (auto& [id, service] : services_) {
    if (service->waiting.empty() || now < service->next_look) continue;
    service->next_look = now + kQueueRest;
    const std::vector<ServiceState::Turn> turns(service->waiting.begin(), service->waiting.end());
    for (const auto& [rank, target, ticket] : turns) {
      Request& request = requests_.at(ticket);
      const Choice choice = Place(ticket, request, now);
      if (std::holds_alternative<cowsliphill::Wait>(choice)) continue;
      LeaveQueue(ticket, request);
      if (const auto* send = std::get_if<SendTo>(&choice)) {
        ready.emplace_back(*send);
      } else {
        ready.emplace_back(std::get<Refuse>(choice));
      }
    }
  }
  return ready;
}

void Balancer::OnEnded(Ticket ticket, const BackendServerId& id, const AttemptResult& result,
                       MonotonicTime now) {
  last_now_ = now;
  const auto it = requests_.find(ticket);
  if (it == requests_.end()) return;
  Request& request = it->second;
  const auto attempt =
      std::find_if(request.attempts.begin(), request.attempts.end(),
                   [&id](const Attempt& a) { return a.open && a.server->config.id == id; });
  if (attempt == request.attempts.end()) return;
  attempt->open = false;
  Server& server = *attempt->server;
  server.load.OnEnded(attempt->sent);
  const bool overdue = now - attempt->sent > Times(attempt->expected, kHedgeAfter);
  switch (result.end) {
    case AttemptEnd::kAnswered:
      server.health.OnReached();
      server.health.OnOutcome(0, 1);
      ++server.outcomes.answered;
      if (attempt->had_free_slot) WorkOf(request).OnAnswer(result.latency, attempt->slowdown);
      break;
    case AttemptEnd::kShed:
    case AttemptEnd::kNotStarted:
      server.load.OnFull(static_cast<uint32_t>(server.config.slots * (1.0 + kQueuePerSlot)));
      if (result.report && result.report->draining) server.leaving = true;
      break;
    case AttemptEnd::kConnectFailed:
      server.health.OnUnreachable(now);
      break;
    case AttemptEnd::kServerError:
    case AttemptEnd::kTimedOut:
    case AttemptEnd::kCut:
      server.health.OnOutcome(1, 0);
      ++server.outcomes.failed;
      break;
    case AttemptEnd::kCancelled:
      if (overdue) server.health.OnOutcome(0.5, 0);
      break;
  }
  if (result.report) OnReport(id, *result.report, now);
  ForgetIfOver(ticket);
}

Choice Balancer::Retry(Ticket ticket, MonotonicTime now) {
  last_now_ = now;
  Request& request = requests_.at(ticket);
  const uint32_t most = request.asked.max_attempts;
  const bool may = most == 0 || request.attempts.size() < most;
  if (!may || !request.service->budget.Affordable(terms_, entry_vms_, now)) {
    return Refused(ticket, request, RefusalCause::kRetryBudget, now);
  }
  Choice choice = Place(ticket, request, now);
  if (!std::holds_alternative<Refuse>(choice)) request.service->budget.OnRepeat(now);
  return choice;
}

std::optional<SendTo> Balancer::Hedge(Ticket ticket, MonotonicTime now) {
  last_now_ = now;
  const auto it = requests_.find(ticket);
  if (it == requests_.end() || it->second.finished) return std::nullopt;
  Request& request = it->second;
  const uint32_t most = request.asked.max_attempts;
  if (!request.asked.repeatable || (most != 0 && request.attempts.size() >= most)) {
    return std::nullopt;
  }
  if (!request.service->budget.Affordable(terms_, entry_vms_, now)) return std::nullopt;
  uint32_t usable = 0;
  const std::optional<Candidate> best = Best(request, now, usable);
  const bool free = best && best->in_flight < best->server->config.slots;
  if (!free || now + best->expected > request.asked.deadline) return std::nullopt;
  request.service->budget.OnRepeat(now);
  return Send(ticket, request, *best, usable, now);
}

std::vector<Ticket> Balancer::HedgeDue(MonotonicTime now) {
  std::vector<Ticket> due;
  while (!hedges_.empty() && hedges_.top().first <= now) {
    const auto it = requests_.find(hedges_.top().second);
    if (it != requests_.end() && !it->second.finished && !it->second.waiting) {
      due.push_back(hedges_.top().second);
    }
    hedges_.pop();
  }
  return due;
}

void Balancer::Finish(Ticket ticket, MonotonicTime now) {
  last_now_ = now;
  const auto it = requests_.find(ticket);
  if (it == requests_.end()) return;
  LeaveQueue(ticket, it->second);
  it->second.finished = true;
  ForgetIfOver(ticket);
}

void Balancer::ForgetIfOver(Ticket ticket) {
  const auto it = requests_.find(ticket);
  if (it == requests_.end() || !it->second.finished) return;
  const auto& attempts = it->second.attempts;
  const bool any_open =
      std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.open; });
  if (any_open) return;
  requests_.erase(it);
}

std::optional<MonotonicTime> Balancer::NextWake() const {
  std::optional<MonotonicTime> wake;
  if (!hedges_.empty()) wake = hedges_.top().first;
  if (Waiting() > 0) {
    const MonotonicTime poll = last_now_ + kQueuePoll;
    wake = wake ? std::min(*wake, poll) : poll;
  }
  return wake;
}

void Balancer::OnReport(const BackendServerId& id, const Report& report, MonotonicTime sampled) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) return;
  Server& server = *it->second;
  server.load.OnReport(report, sampled);
  server.health.OnReached();
  if (report.draining) server.leaving = true;
  if (report.slowdown && *report.slowdown >= kTurnedSlow) HedgeWorkAt(server, sampled);
  const auto service = services_.find(server.config.service);
  if (service == services_.end() || !report.slowdown) return;
  service->second->typical_slowdown +=
      kTypicalWeight * (*report.slowdown - service->second->typical_slowdown);
}

void Balancer::HedgeWorkAt(const Server& server, MonotonicTime now) {
  for (const auto& [ticket, request] : requests_) {
    if (request.finished || !request.asked.repeatable || request.attempts.empty()) continue;
    const Attempt& newest = request.attempts.back();
    const bool was_fast = newest.server == &server && newest.open && newest.slowdown < kTurnedSlow;
    const bool worth_it = now - newest.sent < Times(newest.expected, kHedgeLatest);
    if (was_fast && worth_it && now > newest.sent) hedges_.emplace(now, ticket);
  }
}

void Balancer::OnSentElsewhere(const BackendServerId& id, MonotonicTime now) {
  const auto it = servers_.find(id);
  if (it != servers_.end()) it->second->load.OnSentElsewhere(now);
}

void Balancer::OnMissedProbe(const BackendServerId& id) {
  const auto it = servers_.find(id);
  if (it != servers_.end()) it->second->health.OnMissedProbe();
}

void Balancer::OnOutcomes(const OutcomeCount& outcomes) {
  const auto it = servers_.find(outcomes.server);
  if (it == servers_.end()) return;
  it->second->health.OnOutcome(outcomes.failed, outcomes.answered);
}

std::vector<OutcomeCount> Balancer::TakeOutcomes() {
  std::vector<OutcomeCount> all;
  for (auto& [id, server] : servers_) {
    OutcomeCount& outcomes = server->outcomes;
    // That a sound server goes on answering is no news.
    const bool news = outcomes.failed > 0 || server->health.Failing() > kSound;
    if (outcomes.answered + outcomes.failed > 0 && news) all.push_back(outcomes);
    outcomes.answered = 0;
    outcomes.failed = 0;
  }
  return all;
}

size_t Balancer::Waiting() const {
  size_t n = 0;
  for (const auto& [id, service] : services_) n += service->waiting.size();
  return n;
}

bool Balancer::IsLeaving(const BackendServerId& id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() || it->second->leaving || !it->second->listed;
}

}  // namespace cowsliphill
