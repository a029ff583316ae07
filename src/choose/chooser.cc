#include "src/choose/chooser.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <cmath>

#include "src/choose/service_state.h"

namespace cowsliphill {

namespace {

// Attempts for one request, the first included.
constexpr size_t kMostAttempts = 3;
constexpr size_t kMostUncharged = 64;  // An answer that breaks more often won't come to its end.
// Mean load per slot of the first reserved server at which more are reserved, or fewer, and the
// least time since the last change.
constexpr double kReserveMoreAt = 0.8;
constexpr double kReserveFewerAt = 0.15;
constexpr std::chrono::milliseconds kReserveMoreAfter{1000};
constexpr std::chrono::seconds kReserveFewerAfter{10};
// Trust in reports from which they are preferred.
constexpr double kHotTrust = 0.5;
// Shares of the newest sample in the moving averages of a service.
constexpr double kOthersWeight = 0.05;
constexpr double kShedWeight = 0.05;
constexpr double kReserveWeight = 0.02;
// Share of shed answers above which retries make it worse.
constexpr double kShedTooMuch = 0.1;
// Remaining time, in mean latencies, below which an answer in time can't be expected.
constexpr double kHopeless = 0.5;
// A request waits here only if the expected wait is within this share of its remaining time: the
// estimate may be wrong by as much again.
constexpr double kWaitShare = 0.5;
// A waiting request is refused when this many mean latencies are left.
constexpr double kWorthSending = 1.0;
// Bulk requests may use this share of the window, for they hold their slots long.
constexpr double kBulkShare = 0.5;
// A waiting request is looked at again after this, should no event come.
constexpr std::chrono::milliseconds kQueueTick{5};
// No hedge sooner: at lower latencies a second attempt costs more than it saves.
constexpr std::chrono::milliseconds kLeastHedgeDelay{2};
constexpr std::chrono::milliseconds kLeastRetryAfter{50};
constexpr std::chrono::milliseconds kMostRetryAfter{10000};

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
  last_now_ = now;
  ApplyServices(manifest);
  for (ServerState& server : servers_) server.listed = false;
  for (const BackendServer& config : manifest.backend_servers) {
    ApplyServer(config, !any_manifest_, now);
  }
  any_manifest_ = true;
  for (Handle handle = 0; handle < servers_.size(); ++handle) ReleaseIfUnused(handle);
  for (const auto& service : services_) {
    double slots = 0;
    for (const Handle handle : service->members) slots += servers_[handle].config.slots;
    service->window.SetMost(slots);
    Rebuild(*service);
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
    // Another process under the same name; requests open at the old one end under its handle.
    ReleaseIfUnused(it->second);
    it = server_index_.end();
  }
  const bool added = it == server_index_.end();
  if (added) it = server_index_.emplace(config.id, NewHandle()).first;
  ServerState& server = servers_[it->second];
  if (added && !first_manifest) server.ramp_start = now;
  server.config = config;
  server.service = service->second;
  server.order = ReservationOrder(config);
  server.listed = true;
  if (config.state == BackendState::kLeaving) {
    server.leaving.Set(LeavingSource::kManifest, now);
  } else if (server.leaving.ByManifest()) {
    server.leaving.ClearByManifest();
    server.ramp_start = now;
  }
  services_[service->second]->members.push_back(it->second);
}

Handle Chooser::NewHandle() {
  if (free_handles_.empty()) {
    servers_.emplace_back();
    return static_cast<Handle>(servers_.size() - 1);
  }
  const Handle handle = free_handles_.back();
  free_handles_.pop_back();
  const uint32_t generation = servers_[handle].generation + 1;
  servers_[handle] = ServerState();
  servers_[handle].generation = generation;
  return handle;
}

// Forgets the name of a server that no manifest lists, so that a later one of that name starts
// anew, and frees its handle once no request is at it.
void Chooser::ReleaseIfUnused(Handle handle) {
  ServerState& server = servers_[handle];
  if (server.listed || server.config.id.Empty()) return;
  const auto it = server_index_.find(server.config.id);
  if (it != server_index_.end() && it->second == handle) server_index_.erase(it);
  if (server.load.Own() > 0) return;
  server.config = BackendServer();
  free_handles_.push_back(handle);
}

void Chooser::Rebuild(ServiceState& service) {
  std::sort(service.members.begin(), service.members.end(),
            [this](Handle a, Handle b) { return servers_[a].order < servers_[b].order; });
  service.lists = picker_.Split(service.members, !service.config.emergency_tenants.empty(),
                                service.more_reserved);
  service.hot_count = 0;
  for (const Handle handle : service.members) servers_[handle].reserved = false;
  for (const Handle handle : service.lists.reserved) servers_[handle].reserved = true;
}

// --- Requests

Choice Chooser::Choose(const ChoiceRequest& wanted, MonotonicTime now) {
  last_now_ = now;
  const auto it = service_index_.find(wanted.service);
  if (it == service_index_.end() || !services_[it->second]->listed) {
    return Refuse{wanted.ticket, RefusalCause::kUnknownService, kMostRetryAfter};
  }
  ServiceState& service = *services_[it->second];
  Request& request = requests_[wanted.ticket];
  assert(request.attempts.empty() && "Give each request a new ticket; this one is in use.");
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
  if (auto refuse = RefuseHopeless(ticket, request, service, now)) return *refuse;
  const bool first = service.queue.Ahead(request.request_class) == 0;
  if (first && MaySend(service, request.request_class)) {
    if (auto send = Send(ticket, request, service, DecisionKind::kSend, now)) {
      service.OnFirstAttempt(request.depth);
      return *send;
    }
  }
  return Enqueue(ticket, request, service, now);
}

std::optional<Refuse> Chooser::RefuseHopeless(Ticket ticket, const Request& request,
                                              ServiceState& service, MonotonicTime now) {
  if (now >= request.deadline) {
    return Refused(ticket, request, service, RefusalCause::kDeadline, now);
  }
  const Duration mean = service.Latency(request.request_class).Mean();
  if (now + Times(mean, kHopeless) > request.deadline) {
    return Refused(ticket, request, service, RefusalCause::kDeadline, now);
  }
  const ServerLists& lists = service.lists;
  if (lists.general.empty() && lists.reserved.empty() && lists.ejected.empty()) {
    return Refused(ticket, request, service, RefusalCause::kNoBackendServer, now);
  }
  return std::nullopt;
}

bool Chooser::MaySend(const ServiceState& service, RequestClass request_class) const {
  if (request_class == RequestClass::kEmergency) return true;
  if (!service.window.Allows(service.OpenInWindow())) return false;
  if (request_class != RequestClass::kBulk) return true;
  const uint32_t bulk = service.OpenOf(RequestClass::kBulk);
  return bulk == 0 || bulk + 1 <= kBulkShare * service.window.Size();
}

Choice Chooser::Enqueue(Ticket ticket, Request& request, ServiceState& service, MonotonicTime now) {
  const Duration mean = service.Latency(request.request_class).Mean();
  const auto ahead = static_cast<double>(service.queue.Ahead(request.request_class));
  const Duration wait = Times(mean, (ahead + 1) / service.window.Size());
  const MonotonicTime latest = request.deadline - Times(mean, kWorthSending);
  if (now + wait >= latest || wait >= Times(request.deadline - now, kWaitShare)) {
    return Refused(ticket, request, service, RefusalCause::kOverload, now);
  }
  const bool was_empty = service.queue.Empty();
  const AdmissionQueue::Entry entry{ticket, latest};
  if (!service.queue.Push(request.request_class, entry, service.config.queue_limit)) {
    return Refused(ticket, request, service, RefusalCause::kOverload, now);
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
  if (const auto trial = TrialServer(request, service, now)) {
    return Record(ticket, request, service, DecisionKind::kTrial, *trial, PickResult(), now);
  }
  const PickResult pick = Pick(request, service, now);
  if (!pick.server) return std::nullopt;
  return Record(ticket, request, service, kind, *pick.server, pick, now);
}

// A server whose circuit is half-open and that gets this request as its trial. Only a first
// attempt that may be repeated serves as one, and never an emergency.
std::optional<Handle> Chooser::TrialServer(const Request& request, ServiceState& service,
                                           MonotonicTime now) {
  const std::vector<Handle>& ejected = service.lists.ejected;
  if (ejected.empty()) return std::nullopt;
  const bool none_else = service.lists.general.empty() && service.lists.reserved.empty();
  const bool suited = request.repeatable && request.attempts.empty() &&
                      request.request_class == RequestClass::kRoutine;
  if (!suited && !none_else) return std::nullopt;
  const Handle handle = ejected[random_() % ejected.size()];
  ServerState& server = servers_[handle];
  if (server.circuit.WantsTrial(now) && !server.shed.Active(now)) return handle;
  return std::nullopt;
}

PickResult Chooser::Pick(const Request& request, const ServiceState& service, MonotonicTime now) {
  std::array<Handle, kMostAttempts> tried{};
  size_t n = 0;
  for (auto it = request.attempts.rbegin(); it != request.attempts.rend(); ++it) {
    if (n < tried.size()) tried[n++] = it->server;
  }
  PickRequest pick;
  pick.request_class = request.request_class;
  pick.tried = std::span<const Handle>(tried.data(), n);
  pick.typical_others = service.typical_others;
  pick.half_life = service.latency[static_cast<size_t>(request.request_class)].Mean();
  pick.typical_reserved = service.typical_reserved;
  pick.report_trust = service.trust.Value();
  if (pick.report_trust >= kHotTrust) {
    pick.hot = std::span<const Handle>(service.hot.data(), service.hot_count);
  }
  pick.one_slot_kept = !service.config.emergency_tenants.empty() && service.lists.reserved.empty();
  PickResult result = picker_.Pick(service.lists, pick, now, random_);
  if (result.server || n == 0) return result;
  pick.tried = {};
  return picker_.Pick(service.lists, pick, now, random_);
}

SendTo Chooser::Record(Ticket ticket, Request& request, ServiceState& service, DecisionKind kind,
                       Handle handle, const PickResult& pick, MonotonicTime now) {
  ServerState& server = servers_[handle];
  server.load.OnSent(now);
  ++service.Open(request.request_class);
  const bool trial = kind == DecisionKind::kTrial;
  if (trial) server.circuit.OnTrialSent();
  const Duration half_life = service.Latency(request.request_class).Mean();
  const double typical = server.reserved ? service.typical_reserved : service.typical_others;
  const double excess = server.load.ReportedExcess(now, typical, half_life);
  request.attempts.push_back(Attempt{handle, now, static_cast<float>(excess), true, trial});
  const ClassLatency& latency = service.Latency(request.request_class);
  const bool hedgeable = request.repeatable && request.request_class != RequestClass::kBulk;
  if (hedgeable && request.attempts.size() == 1 && latency.Known()) {
    const Duration delay = std::max<Duration>(latency.HedgeDelay(), kLeastHedgeDelay);
    hedges_.emplace(now + delay, ticket);
  }
  DecisionEntry decision{.ticket = ticket, .kind = kind};
  decision.open = service.OpenInWindow();
  decision.window = static_cast<float>(service.window.Size());
  decision.chosen = handle;
  decision.generation = server.generation;
  decision.considered = pick.considered;
  decision.considered_count = pick.count;
  service.recent.Add(decision);
  const auto number = static_cast<uint32_t>(request.attempts.size());
  return SendTo{ticket, server.config.id, server.config.endpoint, number, ""};
}

Refuse Chooser::Refused(Ticket ticket, const Request& request, ServiceState& service,
                        RefusalCause cause, MonotonicTime now) {
  DecisionEntry decision{.ticket = ticket, .kind = DecisionKind::kRefuse};
  decision.cause = static_cast<uint8_t>(cause);
  decision.open = service.OpenInWindow();
  decision.window = static_cast<float>(service.window.Size());
  decision.waiting = static_cast<uint32_t>(service.queue.Ahead(request.request_class));
  service.recent.Add(decision);
  // Time in which the queue of today is served, spread so that callers don't return together.
  const Duration mean = service.Latency(request.request_class).Mean();
  const Duration queue = Times(mean, (decision.waiting + 1) / service.window.Size());
  const double spread = std::uniform_real_distribution<double>(1.0, 2.0)(random_);
  const auto after = std::chrono::ceil<std::chrono::milliseconds>(
      Times(std::max<Duration>(queue, kLeastRetryAfter), spread));
  return Refuse{ticket, cause, std::min(after, kMostRetryAfter)};
}

Choice Chooser::Retry(Ticket ticket, MonotonicTime now) {
  last_now_ = now;
  const auto it = requests_.find(ticket);
  if (it == requests_.end()) return Refuse{ticket, RefusalCause::kRetryBudget, kLeastRetryAfter};
  Request& request = it->second;
  ServiceState& service = *services_[request.service];
  if (auto refuse = RefuseHopeless(ticket, request, service, now)) return *refuse;
  if (service.shed_share > kShedTooMuch) {
    return Refused(ticket, request, service, RefusalCause::kOverload, now);
  }
  const size_t charged = request.attempts.size() - request.uncharged;
  if (charged >= kMostAttempts || !service.budget.Affordable()) {
    return Refused(ticket, request, service, RefusalCause::kRetryBudget, now);
  }
  auto send = Send(ticket, request, service, DecisionKind::kRetry, now);
  if (!send) return Refused(ticket, request, service, RefusalCause::kOverload, now);
  service.budget.Take();
  return *send;
}

Choice Chooser::Resume(Ticket ticket, ResumeProgress progress, MonotonicTime now) {
  const auto it = requests_.find(ticket);
  if (it == requests_.end()) return Refuse{ticket, RefusalCause::kRetryBudget, kLeastRetryAfter};
  Request& request = it->second;
  request.deadline = MonotonicTime::max();
  const bool charged = progress == ResumeProgress::kNone || request.uncharged >= kMostUncharged;
  if (charged) return Retry(ticket, now);
  last_now_ = now;
  ++request.uncharged;
  ServiceState& service = *services_[request.service];
  if (auto send = Send(ticket, request, service, DecisionKind::kRetry, now)) return *send;
  return Refused(ticket, request, service, RefusalCause::kOverload, now);
}

std::vector<Ticket> Chooser::HedgeDue(MonotonicTime now) {
  std::vector<Ticket> due;
  while (!hedges_.empty() && hedges_.top().first <= now) {
    const Ticket ticket = hedges_.top().second;
    hedges_.pop();
    const auto it = requests_.find(ticket);
    if (it == requests_.end() || it->second.finished) continue;
    if (it->second.attempts.size() == 1 && it->second.attempts.front().open) due.push_back(ticket);
  }
  return due;
}

std::optional<SendTo> Chooser::Hedge(Ticket ticket, MonotonicTime now) {
  last_now_ = now;
  const auto it = requests_.find(ticket);
  if (it == requests_.end()) return std::nullopt;
  Request& request = it->second;
  ServiceState& service = *services_[request.service];
  const bool spare = service.queue.Empty() && MaySend(service, request.request_class);
  const bool allowed = request.repeatable && !request.finished && request.attempts.size() == 1 &&
                       service.listed && service.shed_share <= kShedTooMuch && spare;
  if (!allowed || !service.HedgeAffordable()) return std::nullopt;
  if (RefuseHopeless(ticket, request, service, now)) return std::nullopt;
  const PickResult pick = Pick(request, service, now);
  if (!pick.server || *pick.server == request.attempts.front().server) return std::nullopt;
  service.budget.Take();
  service.hedge_budget.Take();
  return Record(ticket, request, service, DecisionKind::kHedge, *pick.server, pick, now);
}

void Chooser::Finish(Ticket ticket, MonotonicTime now) {
  last_now_ = now;
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

std::vector<Ready> Chooser::TakeReady(MonotonicTime now) {
  last_now_ = now;
  std::vector<Ready> ready;
  for (const uint32_t position : waiting_services_) DrainQueue(*services_[position], now, ready);
  std::erase_if(waiting_services_,
                [this](uint32_t position) { return services_[position]->queue.Empty(); });
  return ready;
}

void Chooser::DrainQueue(ServiceState& service, MonotonicTime now, std::vector<Ready>& ready) {
  const bool gone = !service.listed;
  const auto ended = gone ? service.queue.TakeAll() : service.queue.TakeLate(now);
  for (const Ticket ticket : ended) {
    const RefusalCause cause = gone ? RefusalCause::kUnknownService : RefusalCause::kOverload;
    ready.emplace_back(Refused(ticket, requests_[ticket], service, cause, now));
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
  if (!hedges_.empty()) wake = hedges_.top().first;
  for (const uint32_t position : waiting_services_) {
    const MonotonicTime due =
        std::min<MonotonicTime>(services_[position]->queue.Earliest(), last_now_ + kQueueTick);
    if (!wake || due < *wake) wake = due;
  }
  return wake;
}

// --- What is learnt

void Chooser::OnEnded(Ticket ticket, const BackendServerId& server, const AttemptResult& result,
                      MonotonicTime now) {
  last_now_ = now;
  const auto it = requests_.find(ticket);
  if (it == requests_.end()) return;
  Request& request = it->second;
  const auto attempt =
      std::find_if(request.attempts.begin(), request.attempts.end(), [&](const Attempt& attempt) {
        return attempt.open && servers_[attempt.server].config.id == server;
      });
  assert(attempt != request.attempts.end() &&
         "Call OnEnded once for each SendTo, with the server that it named.");
  if (attempt == request.attempts.end()) return;
  attempt->open = false;
  const Handle handle = attempt->server;
  servers_[handle].load.OnEnded(attempt->sent);
  --services_[request.service]->Open(request.request_class);
  if (result.report) ApplyReport(handle, *result.report, LeavingSource::kAnswer, now);
  Judge(*attempt, request, result, now);
  ReleaseIfUnused(handle);
  if (request.finished) Finish(ticket, now);
}

void Chooser::Judge(const Attempt& attempt, const Request& request, const AttemptResult& result,
                    MonotonicTime now) {
  ServiceState& service = *services_[request.service];
  ServerState& server = servers_[attempt.server];
  const bool shed = result.end == AttemptEnd::kShed;
  service.shed_share += kShedWeight * ((shed ? 1.0 : 0.0) - service.shed_share);
  const Duration latency = result.latency > Duration{} ? result.latency : now - attempt.sent;
  const double ratio = service.Latency(request.request_class).RatioOf(latency);
  switch (result.end) {
    case AttemptEnd::kAnswered:
      JudgeAnswer(attempt, request, latency, now);
      return;
    case AttemptEnd::kShed:
      server.shed.OnShed(now);
      service.window.OnOverload();
      if (attempt.trial) server.circuit.OnTrialVoid();
      return;
    case AttemptEnd::kNotStarted:
      if (server.leaving.Leaving()) return;
      JudgeFailure(attempt.server, now);
      return;
    case AttemptEnd::kTimedOut:
      server.ratio.OnGivenUp(ratio, now);
      service.window.OnOverload();
      JudgeFailure(attempt.server, now);
      return;
    case AttemptEnd::kCancelled:
      server.ratio.OnGivenUp(ratio, now);
      if (attempt.trial) server.circuit.OnTrialVoid();
      return;
    case AttemptEnd::kServerError:
    case AttemptEnd::kConnectFailed:
    case AttemptEnd::kCut:
      JudgeFailure(attempt.server, now);
      return;
  }
}

void Chooser::JudgeAnswer(const Attempt& attempt, const Request& request, Duration latency,
                          MonotonicTime now) {
  ServiceState& service = *services_[request.service];
  ServerState& server = servers_[attempt.server];
  ClassLatency& typical = service.Latency(request.request_class);
  const double ratio = typical.RatioOf(latency);
  typical.OnAnswer(latency);
  service.trust.OnAnswer(attempt.reported_excess, ratio);
  server.ratio.OnAnswer(ratio, now);
  const bool was_closed = server.circuit.Closed();
  if (!server.circuit.OnSuccess(ratio, server.ratio.Value(now), MayEject(service), now)) return;
  if (!was_closed && server.circuit.Closed()) {
    server.ramp_start = now;
    server.ratio.Reset();
  }
  Rebuild(service);
}

void Chooser::JudgeFailure(Handle handle, MonotonicTime now) {
  ServerState& server = servers_[handle];
  ServiceState& service = *services_[server.service];
  if (server.circuit.OnFailure(MayEject(service), now)) Rebuild(service);
}

bool Chooser::MayEject(const ServiceState& service) const {
  const ServerLists& lists = service.lists;
  const size_t n = lists.general.size() + lists.reserved.size() + lists.ejected.size();
  return lists.ejected.size() < CandidatePicker::MostEjected(n);
}

void Chooser::OnReport(const BackendServerId& server, const Report& report, MonotonicTime now) {
  last_now_ = now;
  const auto it = server_index_.find(server);
  if (it != server_index_.end()) ApplyReport(it->second, report, LeavingSource::kProbe, now);
}

void Chooser::ApplyReport(Handle handle, const Report& report, LeavingSource source,
                          MonotonicTime now) {
  ServerState& server = servers_[handle];
  ServiceState& service = *services_[server.service];
  server.report = report;
  server.reported = now;
  if (report.in_flight) {
    server.load.OnReport(*report.in_flight, now);
    const double slots = std::max(1U, report.slots.value_or(server.config.slots));
    const double load = *report.in_flight / slots;
    double& typical = server.reserved ? service.typical_reserved : service.typical_others;
    typical += kOthersWeight * (server.load.Others() - typical);
    if (!server.reserved) service.window.OnReport(load, service.OpenInWindow());
    AdaptReserve(service, handle, load, now);
  }
  if (source == LeavingSource::kAnswer) NoteHot(service, handle, report);
  if (report.shedding) server.shed.OnShed(now);
  if (report.draining) {
    MarkLeaving(handle, source, now);
  } else if (server.leaving.OnServingReport(now)) {
    server.ramp_start = now;
    Rebuild(service);
  }
}

// Reserves more servers while emergencies alone fill the first reserved one, fewer once they don't.
// Only the first is looked at: it is reserved at every entry VM, so its load is emergencies alone,
// and all come to about the same number without a word between them.
void Chooser::AdaptReserve(ServiceState& service, Handle handle, double load, MonotonicTime now) {
  const std::vector<Handle>& reserved = service.lists.reserved;
  if (reserved.empty() || reserved.front() != handle) return;
  service.reserved_load += kReserveWeight * (load - service.reserved_load);
  const bool more =
      service.reserved_load > kReserveMoreAt && now - service.reserve_changed > kReserveMoreAfter;
  const bool fewer = service.reserved_load < kReserveFewerAt && service.more_reserved > 0 &&
                     now - service.reserve_changed > kReserveFewerAfter;
  if (!more && !fewer) return;
  const size_t before = reserved.size();
  service.more_reserved += more ? 1 : -1;
  service.reserve_changed = now;
  Rebuild(service);
  if (more && service.lists.reserved.size() == before) --service.more_reserved;  // No more to take.
}

// Keeps the newest servers that reported a free slot, for a pick soon after: the freshest report
// that there is comes on our own answers.
void Chooser::NoteHot(ServiceState& service, Handle handle, const Report& report) {
  const auto begin = service.hot.begin();
  auto end = begin + static_cast<ptrdiff_t>(service.hot_count);
  end = std::remove(begin, end, handle);
  service.hot_count = static_cast<size_t>(end - begin);
  const std::vector<Handle>& general = service.lists.general;
  const ServerState& server = servers_[handle];
  const bool usable = server.listed && !server.leaving.Leaving() && server.circuit.Closed() &&
                      !server.reserved && !general.empty();
  if (!usable || !report.in_flight || *report.in_flight >= server.config.slots) return;
  if (service.hot_count == kHotServers) {
    std::rotate(begin, begin + 1, end);
    --service.hot_count;
  }
  service.hot[service.hot_count++] = handle;
}

void Chooser::OnLeaving(const BackendServerId& server, LeavingSource source, MonotonicTime now) {
  last_now_ = now;
  const auto it = server_index_.find(server);
  if (it != server_index_.end()) MarkLeaving(it->second, source, now);
}

void Chooser::MarkLeaving(Handle handle, LeavingSource source, MonotonicTime now) {
  ServerState& server = servers_[handle];
  if (!server.leaving.Set(source, now)) return;
  const bool by_server = source == LeavingSource::kAnswer || source == LeavingSource::kProbe;
  if (by_server) newly_leaving_.push_back(server.config.id);
  if (server.listed) Rebuild(*services_[server.service]);
}

std::vector<BackendServerId> Chooser::TakeNewlyLeaving() {
  return std::exchange(newly_leaving_, {});
}

}  // namespace cowsliphill
