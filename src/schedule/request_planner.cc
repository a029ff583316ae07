#include "src/schedule/request_planner.h"

#include <fmt/format.h>

#include <algorithm>

namespace cowsliphill {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kMostTargetLeft{0xffff};  // What an ask can carry.

milliseconds Left(MonotonicTime until, MonotonicTime now) {
  return duration_cast<milliseconds>(std::max(until - now, Duration{}));
}

}  // namespace

RequestPlanner::RequestPlanner(FailureDomainId failure_domain, Endpoint self, uint64_t seed,
                               RetrySettings terms)
    : failure_domain_(std::move(failure_domain)),
      self_(std::move(self)),
      terms_(terms),
      next_ask_(static_cast<AskId>(seed)) {}

void RequestPlanner::ApplyServers(const std::vector<Service>& services,
                                  const std::vector<BackendServer>& servers) {
  for (const Service& service : services) budgets_.try_emplace(service.id, terms_);
  cell_map_ = CellMap(servers);
  auto before = std::exchange(servers_, {});
  by_tag_.clear();
  for (const BackendServer& config : servers) {
    Server server;
    server.config = config;
    server.leaving = config.state == BackendState::kLeaving;
    const auto it = before.find(config.id);
    const bool same_lifetime = it != before.end() && it->second.config.started == config.started;
    if (same_lifetime && it->second.leaving) server.leaving = true;
    servers_[config.id] = std::move(server);
    by_tag_[TagOf(config.id.Text())] = config.id;
  }
}

void RequestPlanner::SetMembers(const std::vector<Member>& members) {
  order_.SetMembers(members);
  entry_vms_ = std::max<size_t>(members.size(), 1);
}

bool RequestPlanner::IsLeaving(const BackendServerId& server) const {
  const auto it = servers_.find(server);
  return it == servers_.end() || it->second.leaving;
}

// ---- Asking ------------------------------------------------------------------------------------

Choice RequestPlanner::Choose(const ChoiceRequest& asked, MonotonicTime now) {
  const auto budget = budgets_.find(asked.service);
  if (budget == budgets_.end()) {
    return Refuse{asked.ticket, RefusalCause::kUnknownService, kRetryAfter};
  }
  budget->second.OnRequest(now);
  Request& request = requests_[asked.ticket];
  request.asked = asked;
  Begin(request, false, now);
  return Wait{};
}

void RequestPlanner::Begin(Request& request, bool hedge, MonotonicTime now) {
  Attempt& attempt = request.attempts.emplace_back();
  attempt.ask = next_ask_++;
  attempt.hedge = hedge;
  by_ask_[attempt.ask] = request.asked.ticket;
  Ask(request, attempt, now);
}

void RequestPlanner::Ask(Request& request, Attempt& attempt, MonotonicTime now) {
  ++attempt.asks;
  attempt.scheduler = SchedulerFor(request.asked.service, now);
  ScheduleAsk ask;
  ask.id = attempt.ask;
  ask.service = TagOf(request.asked.service.Text());
  ask.failure_domain = TagOf(failure_domain_.Text());
  ask.rank = request.asked.rank;
  ask.bulk = request.asked.bulk;
  ask.hedge = attempt.hedge;
  ask.target = request.asked.target_latency;
  ask.target_left =
      std::min(Left(request.asked.target.value_or(request.asked.deadline), now), kMostTargetLeft);
  ask.deadline_left = Left(request.asked.deadline, now);
  if (request.asked.caller_deadline && request.attempts.size() == 1) {
    ask.caller_left = Left(*request.asked.caller_deadline, now);
  }
  for (const Attempt& other : request.attempts) {
    if (!other.server.Empty()) ask.tried.push_back(TagOf(other.server.Text()));
  }
  ask.tried.insert(ask.tried.end(), request.avoided.begin(), request.avoided.end());
  // The newest ones matter most.
  if (ask.tried.size() > kMostTried) {
    ask.tried.erase(ask.tried.begin(), ask.tried.end() - kMostTried);
  }
  outbox_.push_back({attempt.scheduler, ask});
  SetTimer(attempt, now + (attempt.stage == Stage::kQueued ? kQueuePatience : kPatience));
}

Endpoint RequestPlanner::SchedulerFor(const ServiceId& service, MonotonicTime now) {
  for (const Endpoint& scheduler : order_.For(cell_map_.CellOf(service, failure_domain_))) {
    const auto it = silent_until_.find(scheduler);
    if (it == silent_until_.end()) return scheduler;
    if (now < it->second) continue;
    silent_until_.erase(it);
    return scheduler;
  }
  return self_;
}

void RequestPlanner::SetTimer(Attempt& attempt, MonotonicTime patience) {
  attempt.patience = patience;
  timers_.insert({patience, attempt.ask});
}

// No word of the scheduler came in time.
void RequestPlanner::AskAgain(AskId ask, MonotonicTime now) {
  Request* request = nullptr;
  Attempt* attempt = FindAttempt(ask, &request);
  if (attempt == nullptr) return;
  StopTimer(*attempt);
  if (attempt->asks >= kMostAsks || now >= request->asked.deadline) {
    return GiveUp(*request, *attempt, {0, RefusalCause::kOverload, kRetryAfter}, now);
  }
  const bool silent = attempt->stage == Stage::kAsking && attempt->scheduler != self_ &&
                      ++attempt->unanswered >= kUnanswered;
  if (silent) {
    silent_until_[attempt->scheduler] = now + kSilence;
    ++silences_;
    last_silent_ = attempt->scheduler;
    attempt->unanswered = 0;  // A late word of it is still welcome.
  }
  // Asked once more it tells again; if it has ended meanwhile, it is silent.
  attempt->stage = Stage::kAsking;
  Ask(*request, *attempt, now);
}

RequestPlanner::Attempt* RequestPlanner::FindAttempt(AskId ask, Request** request) {
  const auto ticket = by_ask_.find(ask);
  if (ticket == by_ask_.end()) return nullptr;
  *request = &requests_.at(ticket->second);
  for (Attempt& attempt : (*request)->attempts) {
    if (attempt.ask == ask) return &attempt;
  }
  return nullptr;
}

// ---- Replies -----------------------------------------------------------------------------------

void RequestPlanner::OnReply(const Endpoint& from, const ScheduleReply& reply, MonotonicTime now) {
  silent_until_.erase(from);
  Request* request = nullptr;
  Attempt* attempt = FindAttempt(reply.id, &request);
  if (attempt == nullptr || !attempt->Waits()) {
    // Another one assigned a server too, or the request is over: that slot is free.
    const bool same = attempt != nullptr && attempt->stage == Stage::kSent &&
                      attempt->scheduler == from && TagOf(attempt->server.Text()) == reply.server;
    if (reply.kind == ScheduleReply::Kind::kAssigned && !same) {
      outbox_.push_back({from, ScheduleEnd{reply.id, AttemptEnd::kCancelled, {}, {}}});
    }
    return;
  }
  StopTimer(*attempt);
  switch (reply.kind) {
    case ScheduleReply::Kind::kQueued:
      attempt->stage = Stage::kQueued;
      attempt->unanswered = 0;
      return SetTimer(*attempt, now + kQueuePatience);
    case ScheduleReply::Kind::kAssigned:
      return OnAssigned(from, *request, *attempt, reply, now);
    case ScheduleReply::Kind::kRefused:
      return GiveUp(*request, *attempt, {0, reply.cause, reply.retry_after}, now);
  }
}

void RequestPlanner::OnAssigned(const Endpoint& from, Request& request, Attempt& attempt,
                                const ScheduleReply& reply, MonotonicTime now) {
  const auto id = by_tag_.find(reply.server);
  const auto server = id == by_tag_.end() ? servers_.end() : servers_.find(id->second);
  const bool known = server != servers_.end();
  if (!known || server->second.leaving || server->second.config.service != request.asked.service) {
    // What this entry VM has acknowledged binds it, whatever the scheduler knows.
    Report report;
    report.draining = known && server->second.leaving;
    outbox_.push_back({from, ScheduleEnd{attempt.ask, AttemptEnd::kNotStarted, {}, report}});
    request.avoided.push_back(reply.server);
    by_ask_.erase(attempt.ask);
    attempt.ask = next_ask_++;
    by_ask_[attempt.ask] = request.asked.ticket;
    attempt.stage = Stage::kAsking;
    if (attempt.asks >= kMostAsks) {
      return GiveUp(request, attempt, {0, RefusalCause::kNoBackendServer, kRetryAfter}, now);
    }
    return Ask(request, attempt, now);
  }
  attempt.stage = Stage::kSent;
  attempt.scheduler = from;
  attempt.server = id->second;
  const bool first = request.attempts.size() == 1;
  if (!first) budgets_.at(request.asked.service).OnRepeat(now);
  if (request.asked.repeatable) {
    const MonotonicTime target = request.asked.target.value_or(request.asked.deadline);
    const Duration patience = std::clamp<Duration>(target - Times(reply.work, kHedgeWork) - now,
                                                   Times(reply.expected, kHedgeSoonest),
                                                   Times(reply.expected, kHedgeAfter));
    hedges_.emplace(now + std::max<Duration>(patience, kHedgeFloor), request.asked.ticket);
  }
  SendTo send;
  send.ticket = request.asked.ticket;
  send.server = attempt.server;
  send.endpoint = server->second.config.endpoint;
  send.attempt = static_cast<uint32_t>(request.attempts.size());
  send.reason = Reason(from, reply);
  ready_.emplace_back(std::move(send));
}

void RequestPlanner::GiveUp(Request& request, Attempt& attempt, const Refuse& refuse,
                            MonotonicTime now) {
  by_ask_.erase(attempt.ask);
  attempt.stage = Stage::kEnded;
  if (attempt.hedge) {
    // As if it had not been asked for: it is asked for again, and is none of the attempts.
    hedges_.emplace(now + kHedgeAgain, request.asked.ticket);
    const AskId ask = attempt.ask;
    std::erase_if(request.attempts, [ask](const Attempt& it) { return it.ask == ask; });
    return;
  }
  Refuse told = refuse;
  told.ticket = request.asked.ticket;
  ready_.emplace_back(told);
}

std::string RequestPlanner::Reason(const Endpoint& from, const ScheduleReply& reply) {
  return fmt::format(
      "expected_ms={} in_flight={} slowdown={:.2f} report_age_ms={} usable={} scheduler={}",
      reply.expected.count(), reply.in_flight, reply.slowdown, reply.report_age.count(),
      reply.usable, from.ToString());
}

void RequestPlanner::OnSlow(const ScheduleSlow& slow, MonotonicTime now) {
  Request* request = nullptr;
  const Attempt* attempt = FindAttempt(slow.id, &request);
  if (attempt == nullptr || attempt->stage != Stage::kSent || !request->asked.repeatable) return;
  hedges_.emplace(now, request->asked.ticket);
}

void RequestPlanner::OnReport(const BackendServerId& server, const Report& report) {
  const auto it = servers_.find(server);
  if (it != servers_.end()) it->second.report = report;
}

// ---- Attempts ----------------------------------------------------------------------------------

void RequestPlanner::OnEnded(Ticket ticket, const BackendServerId& server,
                             const AttemptResult& result, MonotonicTime) {
  const auto it = requests_.find(ticket);
  if (it == requests_.end()) return;
  for (Attempt& attempt : it->second.attempts) {
    if (attempt.stage != Stage::kSent || attempt.server != server) continue;
    End(attempt, result);
    break;
  }
  // The server's own word that it leaves binds at once.
  const auto known = servers_.find(server);
  if (result.report && result.report->draining && known != servers_.end()) {
    known->second.leaving = true;
  }
  ForgetIfOver(ticket);
}

void RequestPlanner::End(Attempt& attempt, const AttemptResult& result) {
  ScheduleEnd end;
  end.id = attempt.ask;
  end.end = result.end;
  end.latency = duration_cast<microseconds>(result.latency);
  end.report = result.report;
  const auto server = servers_.find(attempt.server);
  if (server != servers_.end() && server->second.report) {
    if (!end.report) end.report = server->second.report;
    server->second.report.reset();
  }
  outbox_.push_back({attempt.scheduler, end});
  if (attempt.stage != Stage::kSent) StopTimer(attempt);
  attempt.stage = Stage::kEnded;
  by_ask_.erase(attempt.ask);
}

Choice RequestPlanner::Retry(Ticket ticket, MonotonicTime now) {
  Request& request = requests_.at(ticket);
  const uint32_t most = request.asked.max_attempts;
  const bool may = most == 0 || request.attempts.size() < most;
  if (!may || !budgets_.at(request.asked.service).Affordable(entry_vms_, now)) {
    return Refuse{ticket, RefusalCause::kRetryBudget, kRetryAfter};
  }
  Begin(request, false, now);
  return Wait{};
}

std::optional<SendTo> RequestPlanner::Hedge(Ticket ticket, MonotonicTime now) {
  const auto it = requests_.find(ticket);
  if (it == requests_.end() || it->second.finished) return std::nullopt;
  Request& request = it->second;
  const uint32_t most = request.asked.max_attempts;
  const bool waits = std::any_of(request.attempts.begin(), request.attempts.end(),
                                 [](const Attempt& attempt) { return attempt.Waits(); });
  if (waits || !request.asked.repeatable || (most != 0 && request.attempts.size() >= most)) {
    return std::nullopt;
  }
  if (!budgets_.at(request.asked.service).Affordable(entry_vms_, now)) {
    hedges_.emplace(now + kHedgeAgain, ticket);
    return std::nullopt;
  }
  Begin(request, true, now);
  return std::nullopt;
}

void RequestPlanner::Finish(Ticket ticket, MonotonicTime) {
  const auto it = requests_.find(ticket);
  if (it == requests_.end()) return;
  it->second.finished = true;
  for (Attempt& attempt : it->second.attempts) {
    if (attempt.Waits()) End(attempt, {AttemptEnd::kCancelled, {}, {}});
  }
  ForgetIfOver(ticket);
}

void RequestPlanner::ForgetIfOver(Ticket ticket) {
  const auto it = requests_.find(ticket);
  if (it == requests_.end() || !it->second.finished) return;
  const auto& attempts = it->second.attempts;
  const bool any_open = std::any_of(attempts.begin(), attempts.end(), [](const Attempt& attempt) {
    return attempt.stage != Stage::kEnded;
  });
  if (!any_open) requests_.erase(it);
}

// ---- Time --------------------------------------------------------------------------------------

std::vector<ReadyChoice> RequestPlanner::TakeReady(MonotonicTime now) {
  while (!timers_.empty() && timers_.begin()->first <= now) AskAgain(timers_.begin()->second, now);
  return std::exchange(ready_, {});
}

std::vector<Ticket> RequestPlanner::HedgeDue(MonotonicTime now) {
  std::vector<Ticket> due;
  while (!hedges_.empty() && hedges_.top().first <= now) {
    const auto it = requests_.find(hedges_.top().second);
    if (it != requests_.end() && !it->second.finished) due.push_back(hedges_.top().second);
    hedges_.pop();
  }
  return due;
}

std::optional<MonotonicTime> RequestPlanner::NextWake() const {
  std::optional<MonotonicTime> wake;
  if (!hedges_.empty()) wake = hedges_.top().first;
  if (!timers_.empty()) {
    wake = wake ? std::min(*wake, timers_.begin()->first) : timers_.begin()->first;
  }
  return wake;
}

}  // namespace cowsliphill
