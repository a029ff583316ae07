#include "src/schedule/request_planner.h"

#include <fmt/format.h>

#include <algorithm>

namespace cowsliphill {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kMaxTargetLeft{0xffff};  // target_left has two bytes on the wire.

milliseconds TimeLeft(MonotonicTime until, MonotonicTime now) {
  return duration_cast<milliseconds>(std::max(until - now, Duration{}));
}

}  // namespace

RequestPlanner::RequestPlanner(FailureDomainId failure_domain, Endpoint self, uint64_t seed,
                               RetrySettings retry_settings, HedgingSettings hedging)
    : failure_domain_(std::move(failure_domain)),
      self_(std::move(self)),
      retry_settings_(retry_settings),
      hedge_policy_(hedging, retry_settings.window),
      next_request_id_(static_cast<ScheduleRequestId>(seed)) {}

void RequestPlanner::ApplyServices(const std::vector<Service>& services) {
  for (const Service& service : services) budgets_.try_emplace(service.id, retry_settings_);
}

void RequestPlanner::ApplyServers(const ServerChanges& changes) {
  cell_map_.Apply(changes);
  for (const BackendServer& config : changes.removed) {
    const auto server = servers_.find(config.id);
    if (server != servers_.end() && server->second.leaving) {
      if (left_.size() >= kMaxLeft) left_.clear();
      left_[config.id] = server->second.config.started;
    }
    servers_.erase(config.id);
    server_ids_by_hash_.erase(HashName(config.id.Text()));
  }
  for (const ServerChange& change : changes.changed) {
    const BackendServer& config = change.server;
    Server& server = servers_[config.id];
    const bool same_lifetime = server.config.started == config.started;
    const auto left = left_.find(config.id);
    const bool had_left = left != left_.end() && left->second == config.started;
    if (left != left_.end()) left_.erase(left);
    server.leaving =
        config.state == BackendState::kLeaving || had_left || (same_lifetime && server.leaving);
    if (!same_lifetime) {
      server.report.reset();
      pauses_.Erase(config.id);
    }
    server.config = config;
    server_ids_by_hash_[HashName(config.id.Text())] = config.id;
  }
  UpdateEvacuations();
}

void RequestPlanner::SetMembers(const std::vector<Member>& members) {
  order_.SetMembers(members);
  entry_vms_ = std::max<size_t>(members.size(), 1);
  members_domains_.clear();
  for (const Member& it : members) members_domains_.insert(it.failure_domain);
  UpdateEvacuations();
}

const BackendServer* RequestPlanner::FindServer(const BackendServerId& server) const {
  const auto it = servers_.find(server);
  return it == servers_.end() ? nullptr : &it->second.config;
}

const BackendServer* RequestPlanner::FindServerByHash(NameHash hash) const {
  const auto it = server_ids_by_hash_.find(hash);
  return it == server_ids_by_hash_.end() ? nullptr : FindServer(it->second);
}

bool RequestPlanner::MarkLeaving(const BackendServerId& server, uint64_t started) {
  const auto it = servers_.find(server);
  if (it == servers_.end() || it->second.config.started != started) return false;
  return !std::exchange(it->second.leaving, true);
}

void RequestPlanner::OnStatement(const ServerStatement& statement, MonotonicTime now) {
  const auto it = servers_.find(statement.server);
  if (it == servers_.end() || it->second.config.started != statement.started) return;
  ServerNotice notice;
  notice.server = HashName(statement.server.Text());
  notice.started = statement.started;
  notice.leaving = statement.leaving;
  if (statement.pause.count() > 0) {
    notice.pause = statement.pause;
    notice.of = self_;
    BeginPause(statement.server, statement.pause, now);
  }
  OnNotice(notice, now);
  // Sent for each such response, because datagrams may be lost. The entry VM that a response comes
  // through does not read it.
  if (statement.through.port != 0) {
    // To the server, it is that entry VM which has sent the request.
    ServerNotice to_carrier = notice;
    if (notice.pause.count() > 0) to_carrier.of = statement.through;
    outbox_.push_back({statement.through, to_carrier});
  }
  SendToSchedulers(it->second.config, notice);
}

void RequestPlanner::SendToSchedulers(const BackendServer& server, const ServerNotice& notice) {
  const CellId cell = cell_map_.CellOf(server.service, server.failure_domain);
  for (const Endpoint& to : order_.SchedulersFor(cell)) outbox_.push_back({to, notice});
}

void RequestPlanner::BeginPause(const BackendServerId& server, milliseconds pause,
                                MonotonicTime now) {
  if (!pauses_.Begin(server, pause, now)) return;
  new_pauses_.push_back({server, pause});
  ++pauses_begun_;
}

// Returns when the first pause ends if all servers of the service that this entry VM may send to
// are pausing.
std::optional<MonotonicTime> RequestPlanner::AllPauseUntil(const ServiceId& service,
                                                           MonotonicTime now) const {
  if (pauses_.Empty()) return std::nullopt;
  std::optional<MonotonicTime> earliest;
  for (const auto& [id, server] : servers_) {
    if (server.leaving || server.config.service != service) continue;
    const std::optional<MonotonicTime> end = pauses_.End(id, now);
    if (!end) return std::nullopt;
    earliest = earliest ? std::min(*earliest, *end) : *end;
  }
  return earliest;
}

void RequestPlanner::OnNotice(const ServerNotice& notice, MonotonicTime now) {
  const auto id = server_ids_by_hash_.find(notice.server);
  if (id == server_ids_by_hash_.end()) return;
  const BackendServer* server = FindServer(id->second);
  if (server == nullptr || server->started != notice.started) return;
  if (notice.pause.count() > 0 && notice.of == self_) {
    BeginPause(id->second, notice.pause, now);
  }
  if (!notice.leaving || !MarkLeaving(id->second, notice.started)) return;
  newly_leaving_.push_back(id->second);
  ++leaving_by_answer_;
}

bool RequestPlanner::MaySend(const SendTo& target, MonotonicTime now) const {
  const auto it = servers_.find(target.server);
  return it != servers_.end() && !it->second.leaving && !IsPausing(target.server, now) &&
         it->second.config.started == target.started && !IsEvacuated(target.server);
}

std::vector<BackendServerId> RequestPlanner::ServerIds() const {
  std::vector<BackendServerId> ids;
  for (const auto& [id, server] : servers_) {
    if (!evacuations_.IsEvacuated(server.config.failure_domain)) ids.push_back(id);
  }
  return ids;
}

bool RequestPlanner::IsLeavingOrUnknown(const BackendServerId& server) const {
  const auto it = servers_.find(server);
  return it == servers_.end() || it->second.leaving;
}

// ---- Assignment requests ------------------------------------------------------------------------

Choice RequestPlanner::Choose(const ChoiceRequest& params, MonotonicTime now) {
  const auto budget = budgets_.find(params.service);
  if (budget == budgets_.end()) {
    return Refuse{params.ticket, RefusalCause::kUnknownService, kDefaultRetryAfter};
  }
  budget->second.OnRequest(now);
  hedge_policy_.OnRequest(params.service, now);
  Request& request = requests_[params.ticket];
  request.params = params;
  StartAttempt(request, false, now);
  return Wait{};
}

void RequestPlanner::StartAttempt(Request& request, bool hedge, MonotonicTime now) {
  Attempt& attempt = request.attempts.emplace_back();
  attempt.request_id = next_request_id_++;
  attempt.hedge = hedge;
  tickets_by_request_id_[attempt.request_id] = request.params.ticket;
  RequestAssignment(request, attempt, now);
}

void RequestPlanner::RequestAssignment(Request& request, Attempt& attempt, MonotonicTime now) {
  if (const auto pause_end = AllPauseUntil(request.params.service, now)) {
    return GiveUp(request, attempt, {0, RefusalCause::kServerPause, TimeLeft(*pause_end, now)},
                  now);
  }
  if (services_without_servers_.count(request.params.service) > 0) {
    return GiveUp(request, attempt, {0, RefusalCause::kNoBackendServer, kDefaultRetryAfter}, now);
  }
  ++attempt.requests_sent;
  attempt.scheduler = SchedulerFor(request.params.service, now);
  ScheduleRequest message;
  message.id = attempt.request_id;
  message.service = HashName(request.params.service.Text());
  message.failure_domain = HashName(failure_domain_.Text());
  message.rank = request.params.rank;
  message.bulk = request.params.bulk;
  message.hedge = attempt.hedge;
  const TenantId& workspace = request.params.tenant;
  if (!workspace.Empty()) message.workspace = HashName(workspace.Text());
  message.charged = request.charged;
  message.target_latency = request.params.target_latency;
  message.target_left = std::min(
      TimeLeft(request.params.target.value_or(request.params.deadline), now), kMaxTargetLeft);
  message.deadline_left = TimeLeft(request.params.deadline, now);
  if (request.params.caller_deadline && request.attempts.size() == 1) {
    message.caller_left = TimeLeft(*request.params.caller_deadline, now);
  }
  for (const Attempt& other : request.attempts) {
    if (!other.server.Empty()) message.tried.push_back(HashName(other.server.Text()));
  }
  message.tried.insert(message.tried.end(), request.rejected_servers.begin(),
                       request.rejected_servers.end());
  // If there are too many, keeps the servers that were added last: they matter most.
  if (message.tried.size() > kMaxTried) {
    message.tried.erase(message.tried.begin(), message.tried.end() - kMaxTried);
  }
  outbox_.push_back({attempt.scheduler, message});
  attempt.requested_at = now;
  SetTimer(attempt, now + (attempt.stage == Stage::kQueued ? kQueuedReplyTimeout : kReplyTimeout));
}

Endpoint RequestPlanner::SchedulerFor(const ServiceId& service, MonotonicTime now) {
  for (const Endpoint& scheduler :
       order_.SchedulersFor(cell_map_.CellOf(service, failure_domain_))) {
    const auto it = skipped_until_.find(scheduler);
    if (it == skipped_until_.end()) return scheduler;
    if (now < it->second) continue;
    skipped_until_.erase(it);
    return scheduler;
  }
  return self_;
}

void RequestPlanner::SetTimer(Attempt& attempt, MonotonicTime reply_deadline) {
  attempt.reply_deadline = reply_deadline;
  timers_.insert({reply_deadline, attempt.request_id});
}

// Handles an attempt whose reply deadline has passed. Sends the assignment request again, also for
// a queued attempt, whose scheduler must confirm that it still has the request; gives up after
// kMaxRequestsPerAttempt requests or at the request's deadline.
void RequestPlanner::OnTimeout(ScheduleRequestId request_id, MonotonicTime now) {
  Request* request = nullptr;
  Attempt* attempt = FindAttempt(request_id, &request);
  if (attempt == nullptr) return;
  StopTimer(*attempt);
  if (attempt->requests_sent >= kMaxRequestsPerAttempt || now >= request->params.deadline) {
    return GiveUp(*request, *attempt, {0, RefusalCause::kOverload, kDefaultRetryAfter}, now);
  }
  const bool unresponsive = attempt->stage == Stage::kRequested && attempt->scheduler != self_ &&
                            ++attempt->unanswered >= kMaxUnanswered;
  if (unresponsive) {
    skipped_until_[attempt->scheduler] = now + kUnresponsiveBackoff;
    ++scheduler_timeouts_;
    last_unresponsive_ = attempt->scheduler;
    // The next request goes to another scheduler, whose count starts at 0. A late reply from the
    // skipped one is still accepted.
    attempt->unanswered = 0;
  }
  // A scheduler that still has the request queued replies kQueued again. One that has died
  // meanwhile does not reply, so it is found unresponsive.
  attempt->stage = Stage::kRequested;
  const bool was_paused = now - attempt->requested_at > kMaxReplyAge;
  if (was_paused) WithdrawRequest(*request, *attempt);
  RequestAssignment(*request, *attempt, now);
}

RequestPlanner::Attempt* RequestPlanner::FindAttempt(ScheduleRequestId request_id,
                                                     Request** request) {
  const auto ticket = tickets_by_request_id_.find(request_id);
  if (ticket == tickets_by_request_id_.end()) return nullptr;
  *request = &requests_.at(ticket->second);
  for (Attempt& attempt : (*request)->attempts) {
    if (attempt.request_id == request_id) return &attempt;
  }
  return nullptr;
}

// ---- Replies ------------------------------------------------------------------------------------

void RequestPlanner::OnReply(const Endpoint& from, const ScheduleReply& reply, MonotonicTime now) {
  skipped_until_.erase(from);
  Request* request = nullptr;
  Attempt* attempt = FindAttempt(reply.id, &request);
  if (attempt == nullptr || !attempt->AwaitsAssignment()) {
    // The attempt has ended or already has a server. If the reply assigns a slot other than the one
    // in use, the newly assigned slot is given back.
    const bool same_assignment = attempt != nullptr && attempt->stage == Stage::kSent &&
                                 attempt->scheduler == from &&
                                 HashName(attempt->server.Text()) == reply.server;
    if (reply.kind == ScheduleReply::Kind::kAssigned && !same_assignment) {
      outbox_.push_back({from, ScheduleEnd{reply.id, AttemptEnd::kCancelled, {}, {}}});
    }
    return;
  }
  StopTimer(*attempt);
  switch (reply.kind) {
    case ScheduleReply::Kind::kQueued:
      attempt->stage = Stage::kQueued;
      attempt->unanswered = 0;
      return SetTimer(*attempt, now + kQueuedReplyTimeout);
    case ScheduleReply::Kind::kAssigned:
      if (now - attempt->requested_at <= kMaxReplyAge) {
        return OnAssigned(from, *request, *attempt, reply, now);
      }
      WithdrawRequest(*request, *attempt);
      return RequestAssignment(*request, *attempt, now);
    case ScheduleReply::Kind::kRefused:
      if (reply.cause == RefusalCause::kNoBackendServer && AsksAgain(*request, *attempt, now)) {
        return;
      }
      return GiveUp(*request, *attempt,
                    {0, reply.cause, reply.retry_after, "refused_by=" + from.ToString()}, now);
  }
}

void RequestPlanner::OnAssigned(const Endpoint& from, Request& request, Attempt& attempt,
                                const ScheduleReply& reply, MonotonicTime now) {
  const auto id = server_ids_by_hash_.find(reply.server);
  const auto server = id == server_ids_by_hash_.end() ? servers_.end() : servers_.find(id->second);
  const bool known = server != servers_.end();
  std::optional<MonotonicTime> pause_end = pauses_.End(known ? id->second : BackendServerId(), now);
  // The scheduler does not know of the evacuation yet.
  if (known && IsEvacuated(id->second)) pause_end = now + kEvacuationPause;
  if (!known || server->second.leaving || pause_end ||
      server->second.config.service != request.params.service) {
    // This entry VM may have acknowledged that the server is leaving, so its own knowledge
    // overrides that of the scheduler.
    if (known && (server->second.leaving || pause_end)) {
      ServerNotice notice;
      notice.server = reply.server;
      notice.started = server->second.config.started;
      notice.leaving = server->second.leaving;
      if (pause_end) {
        notice.pause = TimeLeft(*pause_end, now);
        notice.of = self_;
      }
      outbox_.push_back({from, notice});
    }
    const AttemptEnd end = pause_end ? AttemptEnd::kCancelled : AttemptEnd::kNotStarted;
    outbox_.push_back({from, ScheduleEnd{attempt.request_id, end, {}, {}}});
    request.charged = true;
    request.rejected_servers.push_back(reply.server);
    ChangeRequestId(request, attempt);
    if (attempt.requests_sent >= kMaxRequestsPerAttempt) {
      return GiveUp(request, attempt, {0, RefusalCause::kNoBackendServer, kDefaultRetryAfter}, now);
    }
    return RequestAssignment(request, attempt, now);
  }
  request.charged = true;
  attempt.stage = Stage::kSent;
  attempt.scheduler = from;
  attempt.server = id->second;
  attempt.server_started = server->second.config.started;
  attempt.expected = reply.expected;
  const bool first = request.attempts.size() <= request.moved_attempts + 1;
  if (!first) budgets_.at(request.params.service).OnExtraAttempt(now);
  if (request.params.repeatable) {
    hedges_.emplace(now + HedgeDelay(request.params, reply, now), request.params.ticket);
  }
  SendTo send;
  send.ticket = request.params.ticket;
  send.server = attempt.server;
  send.endpoint = server->second.config.endpoint;
  send.attempt = static_cast<uint32_t>(request.attempts.size());
  send.started = attempt.server_started;
  send.reason = Reason(from, reply);
  ready_.emplace_back(std::move(send));
}

Duration RequestPlanner::HedgeDelay(const ChoiceRequest& request, const ScheduleReply& reply,
                                    MonotonicTime now) {
  const auto measured = hedge_policy_.Delay(request.service, reply.expected, now);
  if (measured) return std::max<Duration>(*measured, kMinHedgeDelay);
  const MonotonicTime target = request.target.value_or(request.deadline);
  const Duration delay = std::clamp<Duration>(
      target - Times(reply.service_time, kHedgeServiceTimeFactor) - now,
      Times(reply.expected, kHedgeEarliestFactor), Times(reply.expected, kHedgeLatestFactor));
  return std::max<Duration>(delay, kMinHedgeDelay);
}

// The scheduler forgets the attempt, and its late replies are ignored.
void RequestPlanner::WithdrawRequest(Request& request, Attempt& attempt) {
  outbox_.push_back(
      {attempt.scheduler, ScheduleEnd{attempt.request_id, AttemptEnd::kCancelled, {}, {}}});
  ChangeRequestId(request, attempt);
}

void RequestPlanner::ChangeRequestId(Request& request, Attempt& attempt) {
  tickets_by_request_id_.erase(attempt.request_id);
  attempt.request_id = next_request_id_++;
  tickets_by_request_id_[attempt.request_id] = request.params.ticket;
  attempt.stage = Stage::kRequested;
}

void RequestPlanner::GiveUp(Request& request, Attempt& attempt, const Refuse& refuse,
                            MonotonicTime now) {
  tickets_by_request_id_.erase(attempt.request_id);
  attempt.stage = Stage::kEnded;
  if (attempt.hedge) {
    // A refused hedge does not count as an attempt, and another one is started later.
    hedge_policy_.Return(request.params.service);
    hedges_.emplace(now + kHedgeRetryInterval, request.params.ticket);
    const ScheduleRequestId request_id = attempt.request_id;
    std::erase_if(request.attempts,
                  [request_id](const Attempt& it) { return it.request_id == request_id; });
    return;
  }
  Refuse refusal = refuse;
  refusal.ticket = request.params.ticket;
  ready_.emplace_back(refusal);
}

std::string RequestPlanner::Reason(const Endpoint& from, const ScheduleReply& reply) {
  return fmt::format(
      "expected_ms={} in_flight={} slowdown={:.2f} report_age_ms={} usable={} scheduler={}",
      reply.expected.count(), reply.in_flight, reply.slowdown, reply.report_age.count(),
      reply.usable_servers, from.ToString());
}

void RequestPlanner::OnSlowHost(const SlowHost& slow, MonotonicTime now) {
  Request* request = nullptr;
  const Attempt* attempt = FindAttempt(slow.id, &request);
  if (attempt == nullptr || attempt->stage != Stage::kSent || !request->params.repeatable) return;
  hedges_.emplace(now, request->params.ticket);
}

void RequestPlanner::OnReport(const BackendServerId& server, const Report& report) {
  const auto it = servers_.find(server);
  if (it != servers_.end()) it->second.report = report;
}

// ---- Attempts -----------------------------------------------------------------------------------

void RequestPlanner::OnEnded(Ticket ticket, const BackendServerId& server,
                             const AttemptResult& result, MonotonicTime now) {
  const auto it = requests_.find(ticket);
  if (it == requests_.end()) return;
  for (Attempt& attempt : it->second.attempts) {
    if (attempt.stage != Stage::kSent || attempt.server != server) continue;
    const bool outrun = result.end == AttemptEnd::kCancelled && it->second.attempts.size() > 1;
    if (result.end == AttemptEnd::kAnswered || outrun) {
      hedge_policy_.OnLatency(it->second.params.service, result.latency, attempt.expected, now);
    }
    it->second.must_move = result.end == AttemptEnd::kCancelled && IsEvacuated(server);
    if (it->second.must_move) ++it->second.moved_attempts;
    EndAttempt(attempt, result, now);
    break;
  }
  EraseIfDone(ticket);
}

void RequestPlanner::EndAttempt(Attempt& attempt, const AttemptResult& result, MonotonicTime now) {
  ScheduleEnd end;
  end.id = attempt.request_id;
  end.end = result.end;
  end.latency = duration_cast<microseconds>(result.latency);
  end.report = result.report;
  end.limit = result.limit;
  const auto server = servers_.find(attempt.server);
  if (server != servers_.end() && server->second.report) {
    if (!end.report) end.report = server->second.report;
    server->second.report.reset();
  }
  outbox_.push_back({attempt.scheduler, end});
  if (attempt.stage != Stage::kSent) StopTimer(attempt);
  if (!evacuations_.Empty()) evacuations_.OnAttemptEnded(attempt.request_id, now);
  attempt.stage = Stage::kEnded;
  tickets_by_request_id_.erase(attempt.request_id);
}

Choice RequestPlanner::Retry(Ticket ticket, MonotonicTime now) {
  Request& request = requests_.at(ticket);
  const uint32_t max_attempts = request.params.max_attempts;
  const size_t attempts = request.attempts.size() - request.moved_attempts;
  const bool may_retry = max_attempts == 0 || attempts < max_attempts;
  const bool affordable = std::exchange(request.must_move, false) ||
                          budgets_.at(request.params.service).Affordable(entry_vms_, now);
  if (!may_retry || !affordable) {
    return Refuse{ticket, RefusalCause::kRetryBudget, kDefaultRetryAfter};
  }
  StartAttempt(request, false, now);
  return Wait{};
}

std::optional<SendTo> RequestPlanner::Hedge(Ticket ticket, MonotonicTime now) {
  const auto it = requests_.find(ticket);
  if (it == requests_.end() || it->second.finished) return std::nullopt;
  Request& request = it->second;
  const uint32_t max_attempts = request.params.max_attempts;
  const bool awaits_assignment =
      std::any_of(request.attempts.begin(), request.attempts.end(),
                  [](const Attempt& attempt) { return attempt.AwaitsAssignment(); });
  if (awaits_assignment || !request.params.repeatable ||
      !hedge_policy_.Allows(request.params.rank) ||
      (max_attempts != 0 && request.attempts.size() >= max_attempts)) {
    return std::nullopt;
  }
  if (!budgets_.at(request.params.service).Affordable(entry_vms_, now) ||
      !hedge_policy_.Reserve(request.params.service, now)) {
    hedges_.emplace(now + kHedgeRetryInterval, ticket);
    return std::nullopt;
  }
  StartAttempt(request, true, now);
  return std::nullopt;
}

void RequestPlanner::Finish(Ticket ticket, MonotonicTime now) {
  const auto it = requests_.find(ticket);
  if (it == requests_.end()) return;
  it->second.finished = true;
  for (Attempt& attempt : it->second.attempts) {
    if (attempt.AwaitsAssignment()) EndAttempt(attempt, {AttemptEnd::kCancelled, {}, {}}, now);
  }
  EraseIfDone(ticket);
}

void RequestPlanner::EraseIfDone(Ticket ticket) {
  const auto it = requests_.find(ticket);
  if (it == requests_.end() || !it->second.finished) return;
  const auto& attempts = it->second.attempts;
  const bool any_open = std::any_of(attempts.begin(), attempts.end(), [](const Attempt& attempt) {
    return attempt.stage != Stage::kEnded;
  });
  if (!any_open) requests_.erase(it);
}

// ---- Timers -------------------------------------------------------------------------------------

std::vector<ReadyChoice> RequestPlanner::TakeReady(MonotonicTime now) {
  while (!timers_.empty() && timers_.begin()->first <= now) OnTimeout(timers_.begin()->second, now);
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
