#include "src/choose/chooser.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <cmath>

#include "src/choose/service_state.h"

namespace cowsliphill {

namespace {

// Limit on the charged attempts for one request, the first included.
constexpr size_t kMaxAttempts = 3;
// Limit on the attempts for one request that are not charged because they delivered a part of its
// answer. An answer whose transfer breaks off more often is not expected to complete.
constexpr size_t kMaxUnchargedAttempts = 64;
// Mean number of reported requests per slot of the first reserved server above which one more
// server is reserved (kReserveMoreLoad) and below which one fewer is (kReserveFewerLoad).
constexpr double kReserveMoreLoad = 0.8;
constexpr double kReserveFewerLoad = 0.15;
// Time since the number of reserved servers last changed after which one more, or one fewer, may be
// reserved.
constexpr std::chrono::milliseconds kReserveMoreInterval{1000};
constexpr std::chrono::seconds kReserveFewerInterval{10};
// Servers that recently reported a free slot are preferred if the trust in reports (ReportTrust) is
// at least this.
constexpr double kMinTrustForRecentlyFree = 0.5;
// Weights of the newest sample in the moving averages of a service.
constexpr double kOtherRequestsWeight = 0.05;
constexpr double kShedWeight = 0.05;
constexpr double kReservedLoadWeight = 0.02;
// Share of shed attempts above which there are no retries or hedges, as they would add to the
// overload.
constexpr double kMaxShedShare = 0.1;
// Remaining time, in mean latencies, below which a request is refused because an answer by the
// deadline is unlikely.
constexpr double kMinRemainingLatencies = 0.5;
// A request is queued only if its expected wait is below this share of its remaining time, because
// the actual wait may be twice the estimate.
constexpr double kMaxWaitShare = 0.5;
// A waiting request is refused when this many mean latencies are left before its deadline.
constexpr double kMinLatenciesToSend = 1.0;
// Largest share of the concurrency window for bulk requests, which hold their slots for a long
// time. One bulk request is always allowed within the window.
constexpr double kMaxBulkShare = 0.5;
// Interval at which waiting requests are reconsidered if there is no event.
constexpr std::chrono::milliseconds kQueuePollInterval{5};
// Minimum delay before a hedge; at lower latencies a second attempt costs more than it saves.
constexpr std::chrono::milliseconds kMinHedgeDelay{2};
constexpr std::chrono::milliseconds kMinRetryAfter{50};
constexpr std::chrono::milliseconds kMaxRetryAfter{10000};

uint64_t ReservationOrder(const BackendServer& config) {
  const std::string& id = config.id.Text();
  return XXH3_64bits_withSeed(id.data(), id.size(), 1);
}

}  // namespace

Chooser::Chooser(FailureDomainId failure_domain, uint64_t seed)
    : failure_domain_(std::move(failure_domain)), random_(seed), picker_(servers_) {}

Chooser::~Chooser() = default;

// --- Manifest

void Chooser::Apply(const Manifest& manifest, MonotonicTime now) {
  last_event_time_ = now;
  ApplyServices(manifest);
  for (ServerState& server : servers_) server.listed = false;
  for (const BackendServer& config : manifest.backend_servers) {
    ApplyServer(config, !has_manifest_, now);
  }
  has_manifest_ = true;
  for (ServerHandle handle = 0; handle < servers_.size(); ++handle) ReleaseIfUnused(handle);
  for (const auto& service : services_) {
    double slots = 0;
    for (const ServerHandle handle : service->members) slots += servers_[handle].config.slots;
    service->window.SetMaxSize(slots);
    RebuildLists(*service);
  }
}

void Chooser::ApplyServices(const Manifest& manifest) {
  for (const auto& service : services_) {
    service->listed = false;
    service->members.clear();
  }
  std::unordered_map<ServiceId, double> slots;
  for (const BackendServer& server : manifest.backend_servers) {
    slots[server.service] += server.slots;
  }
  for (const Service& config : manifest.services) {
    const auto next = static_cast<uint32_t>(services_.size());
    const auto [it, added] = service_index_.try_emplace(config.id, next);
    if (added) services_.push_back(std::make_unique<ServiceState>(slots[config.id]));
    services_[it->second]->config = config;
    services_[it->second]->listed = true;
  }
}

void Chooser::ApplyServer(const BackendServer& config, bool first_manifest, MonotonicTime now) {
  const auto service = service_index_.find(config.service);
  if (service == service_index_.end()) return;
  auto it = server_index_.find(config.id);
  const bool moved =
      it != server_index_.end() && (servers_[it->second].config.endpoint != config.endpoint ||
                                    servers_[it->second].service != service->second);
  if (moved) {
    // The name now belongs to another process. Requests that are open at the old process end under
    // its old handle.
    ReleaseIfUnused(it->second);
    it = server_index_.end();
  }
  const bool added = it == server_index_.end();
  if (added) it = server_index_.emplace(config.id, AllocateHandle()).first;
  ServerState& server = servers_[it->second];
  if (added && !first_manifest) server.ramp_start = now;
  server.config = config;
  server.service = service->second;
  server.reservation_order = ReservationOrder(config);
  server.listed = true;
  if (config.state == BackendState::kLeaving) {
    server.leaving.Set(LeavingSource::kManifest, now);
  } else if (server.leaving.ByManifest()) {
    server.leaving.ClearByManifest();
    server.ramp_start = now;
  }
  services_[service->second]->members.push_back(it->second);
}

ServerHandle Chooser::AllocateHandle() {
  if (free_handles_.empty()) {
    servers_.emplace_back();
    return static_cast<ServerHandle>(servers_.size() - 1);
  }
  const ServerHandle handle = free_handles_.back();
  free_handles_.pop_back();
  const uint32_t generation = servers_[handle].generation + 1;
  servers_[handle] = ServerState();
  servers_[handle].generation = generation;
  return handle;
}

// Removes the name of a server that the manifest no longer lists or that has moved, so that a later
// server of that name starts with fresh state, and frees its handle once it has no open requests.
void Chooser::ReleaseIfUnused(ServerHandle handle) {
  ServerState& server = servers_[handle];
  if (server.listed || server.config.id.Empty()) return;
  const auto it = server_index_.find(server.config.id);
  if (it != server_index_.end() && it->second == handle) server_index_.erase(it);
  if (server.load.OwnRequests() > 0) return;
  server.config = BackendServer();
  free_handles_.push_back(handle);
}

void Chooser::RebuildLists(ServiceState& service) {
  std::sort(service.members.begin(), service.members.end(), [this](ServerHandle a, ServerHandle b) {
    return servers_[a].reservation_order < servers_[b].reservation_order;
  });
  service.lists = picker_.Split(service.members, !service.config.emergency_tenants.empty(),
                                service.extra_reserved);
  service.recently_free_count = 0;
  for (const ServerHandle handle : service.members) servers_[handle].reserved = false;
  for (const ServerHandle handle : service.lists.reserved) servers_[handle].reserved = true;
}

// --- Requests

Choice Chooser::Choose(const ChoiceRequest& wanted, MonotonicTime now) {
  last_event_time_ = now;
  const auto it = service_index_.find(wanted.service);
  if (it == service_index_.end() || !services_[it->second]->listed) {
    return Refuse{wanted.ticket, RefusalCause::kUnknownService, kMaxRetryAfter};
  }
  ServiceState& service = *services_[it->second];
  Request& request = requests_[wanted.ticket];
  assert(request.attempts.empty() &&
         "The ticket passed to Choose is already in use by an open request.");
  request.service = it->second;
  request.request_class = wanted.request_class;
  request.deadline = wanted.deadline;
  request.repeatable = wanted.repeatable;
  request.depth = wanted.depth;
  Choice choice = Admit(wanted.ticket, request, service, now);
  if (std::holds_alternative<Refuse>(choice)) requests_.erase(wanted.ticket);
  return choice;
}

Choice Chooser::Admit(Ticket ticket, Request& request, ServiceState& service, MonotonicTime now) {
  if (auto refuse = RefuseIfUnservable(ticket, request, service, now)) return *refuse;
  const bool first = service.queue.CountAhead(request.request_class) == 0;
  if (first && MaySend(service, request.request_class)) {
    if (auto send = Send(ticket, request, service, DecisionKind::kSend, now)) {
      service.OnFirstAttempt(request.depth);
      return *send;
    }
  }
  return Enqueue(ticket, request, service, now);
}

std::optional<Refuse> Chooser::RefuseIfUnservable(Ticket ticket, const Request& request,
                                                  ServiceState& service, MonotonicTime now) {
  if (now >= request.deadline) {
    return MakeRefusal(ticket, request, service, RefusalCause::kDeadline, now);
  }
  const Duration mean = service.Latency(request.request_class).Mean();
  if (now + Times(mean, kMinRemainingLatencies) > request.deadline) {
    return MakeRefusal(ticket, request, service, RefusalCause::kDeadline, now);
  }
  const ServerLists& lists = service.lists;
  if (lists.general.empty() && lists.reserved.empty() && lists.ejected.empty()) {
    return MakeRefusal(ticket, request, service, RefusalCause::kNoBackendServer, now);
  }
  return std::nullopt;
}

bool Chooser::MaySend(const ServiceState& service, RequestClass request_class) const {
  if (request_class == RequestClass::kEmergency) return true;
  if (!service.window.AllowsAnother(service.OpenInWindow())) return false;
  if (request_class != RequestClass::kBulk) return true;
  const uint32_t bulk = service.OpenOf(RequestClass::kBulk);
  return bulk == 0 || bulk + 1 <= kMaxBulkShare * service.window.Size();
}

Choice Chooser::Enqueue(Ticket ticket, Request& request, ServiceState& service, MonotonicTime now) {
  const Duration mean = service.Latency(request.request_class).Mean();
  const auto ahead = static_cast<double>(service.queue.CountAhead(request.request_class));
  const Duration wait = Times(mean, (ahead + 1) / service.window.Size());
  const MonotonicTime latest = request.deadline - Times(mean, kMinLatenciesToSend);
  if (now + wait >= latest || wait >= Times(request.deadline - now, kMaxWaitShare)) {
    return MakeRefusal(ticket, request, service, RefusalCause::kOverload, now);
  }
  const bool was_empty = service.queue.Empty();
  const AdmissionQueue::Entry entry{ticket, latest};
  if (!service.queue.Push(request.request_class, entry, service.config.queue_limit)) {
    return MakeRefusal(ticket, request, service, RefusalCause::kOverload, now);
  }
  if (was_empty) waiting_services_.push_back(request.service);
  request.waiting = true;
  DecisionEntry decision{.ticket = ticket, .kind = DecisionKind::kWait};
  decision.open = service.OpenInWindow();
  decision.window = static_cast<float>(service.window.Size());
  decision.waiting = static_cast<uint32_t>(ahead) + 1;
  service.recent.Add(decision);
  return Wait{};
}

std::optional<SendTo> Chooser::Send(Ticket ticket, Request& request, ServiceState& service,
                                    DecisionKind kind, MonotonicTime now) {
  if (const auto trial = PickTrialServer(request, service, now)) {
    return StartAttempt(ticket, request, service, DecisionKind::kTrial, *trial, PickResult(), now);
  }
  const PickResult pick = Pick(request, service, now);
  if (!pick.server) return std::nullopt;
  return StartAttempt(ticket, request, service, kind, *pick.server, pick, now);
}

// Returns an ejected server that gets this request as a trial, if any. Only the first attempt of a
// repeatable routine request is used as a trial, unless all servers are ejected.
std::optional<ServerHandle> Chooser::PickTrialServer(const Request& request, ServiceState& service,
                                                     MonotonicTime now) {
  const std::vector<ServerHandle>& ejected = service.lists.ejected;
  if (ejected.empty()) return std::nullopt;
  const bool all_ejected = service.lists.general.empty() && service.lists.reserved.empty();
  const bool suited = request.repeatable && request.attempts.empty() &&
                      request.request_class == RequestClass::kRoutine;
  if (!suited && !all_ejected) return std::nullopt;
  const ServerHandle handle = ejected[random_() % ejected.size()];
  ServerState& server = servers_[handle];
  if (server.circuit.AllowsTrial(now) && !server.shed_pause.Active(now)) return handle;
  return std::nullopt;
}

PickResult Chooser::Pick(const Request& request, const ServiceState& service, MonotonicTime now) {
  std::array<ServerHandle, kMaxAttempts> tried{};
  size_t n = 0;
  for (auto it = request.attempts.rbegin(); it != request.attempts.rend(); ++it) {
    if (n < tried.size()) tried[n++] = it->server;
  }
  PickRequest pick;
  pick.request_class = request.request_class;
  pick.tried = std::span<const ServerHandle>(tried.data(), n);
  pick.mean_other_requests = service.mean_other_requests;
  pick.mean_latency = service.latency[static_cast<size_t>(request.request_class)].Mean();
  pick.mean_other_requests_reserved = service.mean_other_requests_reserved;
  pick.report_trust = service.trust.Value();
  if (pick.report_trust >= kMinTrustForRecentlyFree) {
    pick.recently_free =
        std::span<const ServerHandle>(service.recently_free.data(), service.recently_free_count);
  }
  pick.keep_emergency_slot =
      !service.config.emergency_tenants.empty() && service.lists.reserved.empty();
  PickResult result = picker_.Pick(service.lists, pick, now, random_);
  if (result.server || n == 0) return result;
  pick.tried = {};
  return picker_.Pick(service.lists, pick, now, random_);
}

SendTo Chooser::StartAttempt(Ticket ticket, Request& request, ServiceState& service,
                             DecisionKind kind, ServerHandle handle, const PickResult& pick,
                             MonotonicTime now) {
  ServerState& server = servers_[handle];
  server.load.OnSent(now);
  ++service.Open(request.request_class);
  const bool trial = kind == DecisionKind::kTrial;
  if (trial) server.circuit.OnTrialSent();
  const Duration mean_latency = service.Latency(request.request_class).Mean();
  const double mean_others =
      server.reserved ? service.mean_other_requests_reserved : service.mean_other_requests;
  const double excess = server.load.ReportedExcess(now, mean_others, mean_latency);
  request.attempts.push_back(Attempt{handle, now, static_cast<float>(excess), true, trial});
  const ClassLatency& latency = service.Latency(request.request_class);
  const bool hedgeable = request.repeatable && request.request_class != RequestClass::kBulk;
  if (hedgeable && request.attempts.size() == 1 && latency.HasSamples()) {
    const Duration delay = std::max<Duration>(latency.HedgeDelay(), kMinHedgeDelay);
    hedge_timers_.emplace(now + delay, ticket);
  }
  DecisionEntry decision{.ticket = ticket, .kind = kind};
  decision.open = service.OpenInWindow();
  decision.window = static_cast<float>(service.window.Size());
  decision.chosen = handle;
  decision.generation = server.generation;
  decision.candidates = pick.candidates;
  decision.candidate_count = pick.count;
  service.recent.Add(decision);
  const auto number = static_cast<uint32_t>(request.attempts.size());
  return SendTo{ticket, server.config.id, server.config.endpoint, number, ""};
}

Refuse Chooser::MakeRefusal(Ticket ticket, const Request& request, ServiceState& service,
                            RefusalCause cause, MonotonicTime now) {
  DecisionEntry decision{.ticket = ticket, .kind = DecisionKind::kRefuse};
  decision.cause = static_cast<uint8_t>(cause);
  decision.open = service.OpenInWindow();
  decision.window = static_cast<float>(service.window.Size());
  decision.waiting = static_cast<uint32_t>(service.queue.CountAhead(request.request_class));
  service.recent.Add(decision);
  // Time to serve the current queue, with a random factor so that callers don't retry in a burst.
  const Duration mean = service.Latency(request.request_class).Mean();
  const Duration queue = Times(mean, (decision.waiting + 1) / service.window.Size());
  const double spread = std::uniform_real_distribution<double>(1.0, 2.0)(random_);
  const auto after = std::chrono::ceil<std::chrono::milliseconds>(
      Times(std::max<Duration>(queue, kMinRetryAfter), spread));
  return Refuse{ticket, cause, std::min(after, kMaxRetryAfter)};
}

Choice Chooser::Retry(Ticket ticket, MonotonicTime now) {
  last_event_time_ = now;
  const auto it = requests_.find(ticket);
  if (it == requests_.end()) return Refuse{ticket, RefusalCause::kRetryBudget, kMinRetryAfter};
  Request& request = it->second;
  ServiceState& service = *services_[request.service];
  if (auto refuse = RefuseIfUnservable(ticket, request, service, now)) return *refuse;
  if (service.shed_share > kMaxShedShare) {
    return MakeRefusal(ticket, request, service, RefusalCause::kOverload, now);
  }
  const size_t charged = request.attempts.size() - request.uncharged_attempts;
  if (charged >= kMaxAttempts || !service.budget.Affordable()) {
    return MakeRefusal(ticket, request, service, RefusalCause::kRetryBudget, now);
  }
  auto send = Send(ticket, request, service, DecisionKind::kRetry, now);
  if (!send) return MakeRefusal(ticket, request, service, RefusalCause::kOverload, now);
  service.budget.TryConsume();
  return *send;
}

Choice Chooser::Resume(Ticket ticket, ResumeProgress progress, MonotonicTime now) {
  const auto it = requests_.find(ticket);
  if (it == requests_.end()) return Refuse{ticket, RefusalCause::kRetryBudget, kMinRetryAfter};
  Request& request = it->second;
  request.deadline = MonotonicTime::max();
  const bool charged =
      progress == ResumeProgress::kNone || request.uncharged_attempts >= kMaxUnchargedAttempts;
  if (charged) return Retry(ticket, now);
  last_event_time_ = now;
  ++request.uncharged_attempts;
  ServiceState& service = *services_[request.service];
  if (auto send = Send(ticket, request, service, DecisionKind::kRetry, now)) return *send;
  return MakeRefusal(ticket, request, service, RefusalCause::kOverload, now);
}

std::vector<Ticket> Chooser::HedgeDue(MonotonicTime now) {
  std::vector<Ticket> due;
  while (!hedge_timers_.empty() && hedge_timers_.top().first <= now) {
    const Ticket ticket = hedge_timers_.top().second;
    hedge_timers_.pop();
    const auto it = requests_.find(ticket);
    if (it == requests_.end() || it->second.finished) continue;
    if (it->second.attempts.size() == 1 && it->second.attempts.front().open) due.push_back(ticket);
  }
  return due;
}

std::optional<SendTo> Chooser::Hedge(Ticket ticket, MonotonicTime now) {
  last_event_time_ = now;
  const auto it = requests_.find(ticket);
  if (it == requests_.end()) return std::nullopt;
  Request& request = it->second;
  ServiceState& service = *services_[request.service];
  const bool spare = service.queue.Empty() && MaySend(service, request.request_class);
  const bool allowed = request.repeatable && !request.finished && request.attempts.size() == 1 &&
                       service.listed && service.shed_share <= kMaxShedShare && spare;
  if (!allowed || !service.HedgeAffordable()) return std::nullopt;
  if (RefuseIfUnservable(ticket, request, service, now)) return std::nullopt;
  const PickResult pick = Pick(request, service, now);
  if (!pick.server || *pick.server == request.attempts.front().server) return std::nullopt;
  service.budget.TryConsume();
  service.hedge_budget.TryConsume();
  return StartAttempt(ticket, request, service, DecisionKind::kHedge, *pick.server, pick, now);
}

void Chooser::Finish(Ticket ticket, MonotonicTime now) {
  last_event_time_ = now;
  const auto it = requests_.find(ticket);
  if (it == requests_.end()) return;
  Request& request = it->second;
  request.finished = true;
  if (request.waiting) services_[request.service]->queue.Erase(ticket);
  request.waiting = false;
  const bool any_open = std::any_of(request.attempts.begin(), request.attempts.end(),
                                    [](const Attempt& attempt) { return attempt.open; });
  if (!any_open) requests_.erase(it);
}

std::vector<ReadyChoice> Chooser::TakeReady(MonotonicTime now) {
  last_event_time_ = now;
  std::vector<ReadyChoice> ready;
  for (const uint32_t position : waiting_services_) DrainQueue(*services_[position], now, ready);
  std::erase_if(waiting_services_,
                [this](uint32_t position) { return services_[position]->queue.Empty(); });
  return ready;
}

void Chooser::DrainQueue(ServiceState& service, MonotonicTime now,
                         std::vector<ReadyChoice>& ready) {
  const bool gone = !service.listed;
  const auto ended = gone ? service.queue.TakeAll() : service.queue.TakeExpired(now);
  for (const Ticket ticket : ended) {
    const RefusalCause cause = gone ? RefusalCause::kUnknownService : RefusalCause::kOverload;
    ready.emplace_back(MakeRefusal(ticket, requests_[ticket], service, cause, now));
    requests_.erase(ticket);
  }
  while (const AdmissionQueue::Entry* front = service.queue.Front()) {
    const Ticket ticket = front->ticket;
    Request& request = requests_[ticket];
    if (!MaySend(service, request.request_class)) return;
    const auto send = Send(ticket, request, service, DecisionKind::kSend, now);
    if (!send) return;
    service.OnFirstAttempt(request.depth);
    request.waiting = false;
    service.queue.PopFront();
    ready.emplace_back(*send);
  }
}

std::optional<MonotonicTime> Chooser::NextWake() const {
  std::optional<MonotonicTime> wake;
  if (!hedge_timers_.empty()) wake = hedge_timers_.top().first;
  for (const uint32_t position : waiting_services_) {
    const MonotonicTime due = std::min<MonotonicTime>(services_[position]->queue.EarliestExpiry(),
                                                      last_event_time_ + kQueuePollInterval);
    if (!wake || due < *wake) wake = due;
  }
  return wake;
}

// --- Results and reports

void Chooser::OnEnded(Ticket ticket, const BackendServerId& server, const AttemptResult& result,
                      MonotonicTime now) {
  last_event_time_ = now;
  const auto it = requests_.find(ticket);
  if (it == requests_.end()) return;
  Request& request = it->second;
  const auto attempt =
      std::find_if(request.attempts.begin(), request.attempts.end(), [&](const Attempt& attempt) {
        return attempt.open && servers_[attempt.server].config.id == server;
      });
  assert(attempt != request.attempts.end() &&
         "OnEnded must be called exactly once per SendTo, with the server that it named.");
  if (attempt == request.attempts.end()) return;
  attempt->open = false;
  const ServerHandle handle = attempt->server;
  servers_[handle].load.OnEnded(attempt->sent);
  --services_[request.service]->Open(request.request_class);
  if (result.report) ApplyReport(handle, *result.report, LeavingSource::kAnswer, now);
  ApplyResult(*attempt, request, result, now);
  ReleaseIfUnused(handle);
  if (request.finished) Finish(ticket, now);
}

void Chooser::ApplyResult(const Attempt& attempt, const Request& request,
                          const AttemptResult& result, MonotonicTime now) {
  ServiceState& service = *services_[request.service];
  ServerState& server = servers_[attempt.server];
  const bool shed = result.end == AttemptEnd::kShed;
  service.shed_share += kShedWeight * ((shed ? 1.0 : 0.0) - service.shed_share);
  const Duration latency = result.latency > Duration{} ? result.latency : now - attempt.sent;
  const double ratio = service.Latency(request.request_class).RatioOf(latency);
  switch (result.end) {
    case AttemptEnd::kAnswered:
      ApplyAnswer(attempt, request, latency, now);
      return;
    case AttemptEnd::kShed:
      server.shed_pause.OnShed(now);
      service.window.OnOverload();
      if (attempt.trial) server.circuit.OnTrialInconclusive();
      return;
    case AttemptEnd::kNotStarted:
      if (server.leaving.Leaving()) return;
      ApplyFailure(attempt.server, now);
      return;
    case AttemptEnd::kTimedOut:
      server.ratio.OnAbandoned(ratio, now);
      service.window.OnOverload();
      ApplyFailure(attempt.server, now);
      return;
    case AttemptEnd::kCancelled:
      server.ratio.OnAbandoned(ratio, now);
      if (attempt.trial) server.circuit.OnTrialInconclusive();
      return;
    case AttemptEnd::kServerError:
    case AttemptEnd::kConnectFailed:
    case AttemptEnd::kConnectionLost:
      ApplyFailure(attempt.server, now);
      return;
  }
}

void Chooser::ApplyAnswer(const Attempt& attempt, const Request& request, Duration latency,
                          MonotonicTime now) {
  ServiceState& service = *services_[request.service];
  ServerState& server = servers_[attempt.server];
  ClassLatency& class_latency = service.Latency(request.request_class);
  const double ratio = class_latency.RatioOf(latency);
  class_latency.OnAnswer(latency);
  service.trust.OnAnswer(attempt.reported_excess, ratio);
  server.ratio.OnAnswer(ratio, now);
  const bool was_closed = server.circuit.Closed();
  if (!server.circuit.OnSuccess(ratio, server.ratio.Value(now), MayEject(service), now)) return;
  if (!was_closed && server.circuit.Closed()) {
    server.ramp_start = now;
    server.ratio.Reset();
  }
  RebuildLists(service);
}

void Chooser::ApplyFailure(ServerHandle handle, MonotonicTime now) {
  ServerState& server = servers_[handle];
  ServiceState& service = *services_[server.service];
  if (server.circuit.OnFailure(MayEject(service), now)) RebuildLists(service);
}

bool Chooser::MayEject(const ServiceState& service) const {
  const ServerLists& lists = service.lists;
  const size_t n = lists.general.size() + lists.reserved.size() + lists.ejected.size();
  return lists.ejected.size() < CandidatePicker::MaxEjected(n);
}

void Chooser::OnReport(const BackendServerId& server, const Report& report, MonotonicTime now) {
  last_event_time_ = now;
  const auto it = server_index_.find(server);
  if (it != server_index_.end()) ApplyReport(it->second, report, LeavingSource::kProbe, now);
}

void Chooser::ApplyReport(ServerHandle handle, const Report& report, LeavingSource source,
                          MonotonicTime now) {
  ServerState& server = servers_[handle];
  ServiceState& service = *services_[server.service];
  server.report = report;
  server.report_time = now;
  if (report.in_flight) {
    server.load.OnReport(*report.in_flight, now);
    const double slots = std::max(1U, report.slots.value_or(server.config.slots));
    const double load = *report.in_flight / slots;
    double& mean_others =
        server.reserved ? service.mean_other_requests_reserved : service.mean_other_requests;
    mean_others += kOtherRequestsWeight * (server.load.OtherRequests() - mean_others);
    if (!server.reserved) service.window.OnReport(load, service.OpenInWindow());
    AdaptReserve(service, handle, load, now);
  }
  if (source == LeavingSource::kAnswer) UpdateRecentlyFree(service, handle, report);
  if (report.shedding) server.shed_pause.OnShed(now);
  if (report.draining) {
    MarkLeaving(handle, source, now);
  } else if (server.leaving.OnServingReport(now)) {
    server.ramp_start = now;
    RebuildLists(service);
  }
}

// Reserves more servers while emergencies alone fill the first reserved server, and fewer when they
// no longer do. Only the first one is measured: it is reserved at every entry VM, so its load
// consists of emergencies alone, and all entry VMs arrive at about the same number of reserved
// servers without exchanging messages.
void Chooser::AdaptReserve(ServiceState& service, ServerHandle handle, double load,
                           MonotonicTime now) {
  const std::vector<ServerHandle>& reserved = service.lists.reserved;
  if (reserved.empty() || reserved.front() != handle) return;
  service.reserved_load += kReservedLoadWeight * (load - service.reserved_load);
  const bool more = service.reserved_load > kReserveMoreLoad &&
                    now - service.extra_reserved_changed > kReserveMoreInterval;
  const bool fewer = service.reserved_load < kReserveFewerLoad && service.extra_reserved > 0 &&
                     now - service.extra_reserved_changed > kReserveFewerInterval;
  if (!more && !fewer) return;
  const size_t before = reserved.size();
  service.extra_reserved += more ? 1 : -1;
  service.extra_reserved_changed = now;
  RebuildLists(service);
  // Undoes the increase if no more servers may be reserved.
  if (more && service.lists.reserved.size() == before) --service.extra_reserved;
}

// Remembers the servers that most recently reported a free slot, for the next picks. Only reports
// on our own answers are used, because they are the freshest.
void Chooser::UpdateRecentlyFree(ServiceState& service, ServerHandle handle, const Report& report) {
  const auto begin = service.recently_free.begin();
  auto end = begin + static_cast<ptrdiff_t>(service.recently_free_count);
  end = std::remove(begin, end, handle);
  service.recently_free_count = static_cast<size_t>(end - begin);
  const std::vector<ServerHandle>& general = service.lists.general;
  const ServerState& server = servers_[handle];
  const bool usable = server.listed && !server.leaving.Leaving() && server.circuit.Closed() &&
                      !server.reserved && !general.empty();
  if (!usable || !report.in_flight || *report.in_flight >= server.config.slots) return;
  if (service.recently_free_count == kMaxRecentlyFree) {
    std::rotate(begin, begin + 1, end);
    --service.recently_free_count;
  }
  service.recently_free[service.recently_free_count++] = handle;
}

void Chooser::OnLeaving(const BackendServerId& server, LeavingSource source, MonotonicTime now) {
  last_event_time_ = now;
  const auto it = server_index_.find(server);
  if (it != server_index_.end()) MarkLeaving(it->second, source, now);
}

void Chooser::MarkLeaving(ServerHandle handle, LeavingSource source, MonotonicTime now) {
  ServerState& server = servers_[handle];
  if (!server.leaving.Set(source, now)) return;
  const bool by_server = source == LeavingSource::kAnswer || source == LeavingSource::kProbe;
  if (by_server) newly_leaving_.push_back(server.config.id);
  if (server.listed) RebuildLists(*services_[server.service]);
}

std::vector<BackendServerId> Chooser::TakeNewlyLeaving() {
  return std::exchange(newly_leaving_, {});
}

}  // namespace cowsliphill
