#include "src/schedule/schedule_node.h"

#include <algorithm>
#include <utility>

namespace cowsliphill {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kProbeTimeout{300};  // Servers answer probes at once.
// The longest time between two runs of the timer while there is work, and while there is none.
constexpr milliseconds kMaxTimerDelay{250};
constexpr milliseconds kMaxIdleTimerDelay{1000};

}  // namespace

ScheduleNode::ScheduleNode(asio::io_context& io, const Clock& clock, const Settings& settings,
                           uint64_t seed, LinkHooks links, ProbeClient::ReadReport read_report,
                           ScheduleListener listener)
    : clock_(clock),
      self_(settings.peer.advertise),
      listener_(std::move(listener)),
      planner_(settings.failure_domain, self_, seed, settings.retries, settings.hedging),
      scheduler_(self_, seed, clock.Now()),
      probe_client_(io, clock, settings.backend, std::move(links), std::move(read_report),
                    [this](const ProbeTarget& target, const ProbeOutcome& outcome) {
                      for (uint32_t i = 0; i < (outcome.report ? 1 : outcome.probes); ++i) {
                        scheduler_.OnProbed(target.server, outcome.report, clock_.Now());
                      }
                      Flush();
                    }),
      timer_(io) {
  const WorkspaceLimitSettings& limits = settings.workspace_limits;
  scheduler_.Quota().SetBounds({limits.window, limits.overrun, limits.slack});
}

void ScheduleNode::Attach(Dispatcher& dispatcher) {
  dispatcher_ = &dispatcher;
  dispatcher.SetPolicyCalledCallback([this] { Flush(); });
}

void ScheduleNode::ApplyManifest(const Manifest& manifest) {
  planner_.ApplyServices(manifest.services);
  scheduler_.ApplyManifest(manifest, clock_.Now());
  probe_paths_.clear();
  for (const Service& service : manifest.services) probe_paths_[service.id] = service.probe_path;
}

void ScheduleNode::ApplyServers(const ServerChanges& changes) {
  const MonotonicTime now = clock_.Now();
  planner_.ApplyServers(changes);
  scheduler_.ApplyServers(changes, now);
  Flush();
}

void ScheduleNode::ApplyEvacuated(const EvacuatedDomains& domains) {
  const MonotonicTime now = clock_.Now();
  // First, so that the replies about moved requests find the planner prepared.
  planner_.SetEvacuated(domains, now);
  scheduler_.SetEvacuated(domains, now);
  Flush();
}

Explanation ScheduleNode::Explain(const ChoiceRequest& request) const {
  return ExplainRequest(planner_, scheduler_, self_, request, clock_.Now());
}

ScheduleExplanation ScheduleNode::ExplainFor(const Endpoint& entry_vm,
                                             const FailureDomainId& failure_domain,
                                             const ChoiceRequest& request) const {
  return cowsliphill::ExplainFor(planner_, scheduler_, entry_vm, failure_domain, request,
                                 clock_.Now());
}

std::optional<ProbeTarget> ScheduleNode::ProbeTargetOf(const BackendServerId& id) const {
  const BackendServer* server = planner_.FindServer(id);
  if (server == nullptr || planner_.IsEvacuated(id)) return std::nullopt;
  ProbeTarget target;
  target.server = id;
  target.endpoint = server->endpoint;
  target.timeout = kProbeTimeout;
  const auto path = probe_paths_.find(server->service);
  if (path != probe_paths_.end()) target.path = path->second;
  return target;
}

void ScheduleNode::SetMembers(const std::vector<Member>& members) {
  const MonotonicTime now = clock_.Now();
  planner_.SetMembers(members);
  scheduler_.SetMembers(members, now);
  ReportEvents();
}

void ScheduleNode::OnAnswerReport(const BackendServerId& server, const Report& report) {
  planner_.OnReport(server, report);
}

void ScheduleNode::OnStatement(const ServerStatement& statement) {
  planner_.OnStatement(statement, clock_.Now());
  Flush();
}

bool ScheduleNode::OnDatagram(const Endpoint& from, const std::string& payload) {
  if (!IsScheduleMessage(payload)) return false;
  const std::optional<ScheduleMessage> message = DecodeScheduleMessage(payload);
  if (!message) return false;
  Deliver(from, *message);
  Flush();
  return true;
}

void ScheduleNode::Deliver(const Endpoint& from, const ScheduleMessage& message) {
  const MonotonicTime now = clock_.Now();
  if (const auto* request = std::get_if<ScheduleRequest>(&message)) {
    scheduler_.OnScheduleRequest(from, *request, now);
  } else if (const auto* end = std::get_if<ScheduleEnd>(&message)) {
    scheduler_.OnEnd(from, *end, now);
  } else if (const auto* reply = std::get_if<ScheduleReply>(&message)) {
    planner_.OnReply(from, *reply, now);
  } else if (const auto* slow = std::get_if<SlowHost>(&message)) {
    planner_.OnSlowHost(*slow, now);
  } else if (const auto* update = std::get_if<CellUpdate>(&message)) {
    scheduler_.OnCellUpdate(*update, now);
  } else if (const auto* limits = std::get_if<LimitUpdate>(&message)) {
    scheduler_.OnLimitUpdate(from, *limits, now);
  } else if (const auto* warmups = std::get_if<WarmupUpdate>(&message)) {
    scheduler_.OnWarmupUpdate(from, *warmups, now);
  } else if (const auto* notice = std::get_if<ServerNotice>(&message)) {
    planner_.OnNotice(*notice, now);
    scheduler_.OnNotice(*notice, now);
  } else if (const auto* usage = std::get_if<UsageReport>(&message)) {
    scheduler_.OnUsageReport(from, *usage, now);
  } else if (const auto* answer = std::get_if<UsageAnswer>(&message)) {
    scheduler_.OnUsageAnswer(from, *answer, now);
  }
}

// Sends the messages of planner and scheduler. Messages to this entry VM need no datagram; they may
// cause further messages, so the loop runs until there are none.
void ScheduleNode::Flush() {
  if (flushing_) return;
  flushing_ = true;
  while (true) {
    std::vector<Outgoing> out = planner_.TakeOutbox();
    for (Outgoing& it : scheduler_.TakeOutbox()) out.push_back(std::move(it));
    if (out.empty()) break;
    for (const Outgoing& it : out) {
      if (it.to == self_) {
        Deliver(self_, it.message);
      } else {
        listener_.send(it.to, EncodeScheduleMessage(it.message));
      }
    }
  }
  flushing_ = false;
  for (const LimitChange& change : scheduler_.TakeLimitChanges()) listener_.on_limit(change);
  for (const WarmupChange& change : scheduler_.TakeWarmupChanges()) listener_.on_warmup(change);
  for (const BackendServerId& it : planner_.TakeNewlyLeaving()) listener_.on_leaving(it);
  for (const PauseBegin& it : planner_.TakeNewPauses()) listener_.on_pause(it);
  for (const ServerHealthReport& it : scheduler_.TakeHealthReports()) listener_.on_health(it);
  for (const EvacuationEvent& it : planner_.TakeEvacuationEvents()) listener_.on_evacuation(it);
  if (scheduler_.HasServersToProbe()) SendProbes();
  if (dispatcher_ != nullptr && planner_.HasReady()) dispatcher_->PollSoon();
  // The timer may be set to the next probe, but a queue that has just formed must be processed
  // earlier.
  const Duration max_delay = scheduler_.Waiting() > 0   ? Balancer::kQueuePollInterval
                             : scheduler_.HasRequests() ? kMaxTimerDelay
                                                        : kMaxIdleTimerDelay;
  const MonotonicTime now = clock_.Now();
  MonotonicTime latest = now + max_delay;
  if (const auto report = scheduler_.Quota().NextWake()) {
    latest = std::clamp<MonotonicTime>(*report, now + Scheduler::kMinWakeDelay, latest);
  }
  const bool rearm = !timer_deadline_ || *timer_deadline_ > latest;
  if (rearm) ArmTimer();
}

void ScheduleNode::Start() { Run(); }

void ScheduleNode::SendProbes() {
  for (const BackendServerId& server : scheduler_.TakeServersToProbe(clock_.Now())) {
    if (const auto target = ProbeTargetOf(server)) probe_client_.Send(*target);
  }
}

void ScheduleNode::Run() {
  const MonotonicTime now = clock_.Now();
  scheduler_.Tick(now);
  SendProbes();
  Flush();
  ReportEvents();
  ArmTimer();
}

void ScheduleNode::ArmTimer() {
  const MonotonicTime now = clock_.Now();
  const MonotonicTime latest =
      now + (scheduler_.HasRequests() ? kMaxTimerDelay : kMaxIdleTimerDelay);
  timer_deadline_ = std::min(scheduler_.NextWake(now).value_or(latest), latest);
  timer_.expires_after(std::max<Duration>(*timer_deadline_ - now, Duration{}));
  timer_.async_wait([this](std::error_code ec) {
    if (!ec) Run();
  });
}

void ScheduleNode::ReportEvents() {
  if (scheduler_.CellsScheduled() != reported_cells_) {
    reported_cells_ = scheduler_.CellsScheduled();
    listener_.on_event("schedules", std::to_string(reported_cells_) + " cells");
  }
  if (scheduler_.CellsWithSharedLimits() != reported_limit_cells_) {
    reported_limit_cells_ = scheduler_.CellsWithSharedLimits();
    listener_.on_event("shares out limits", std::to_string(reported_limit_cells_) + " cells");
  }
  for (const RefusalEvent& it : scheduler_.Quota().TakeRefusalEvents(clock_.Now())) {
    if (listener_.on_workspace_limit) listener_.on_workspace_limit(it);
  }
  if (planner_.SchedulerTimeouts() != reported_timeouts_) {
    const uint64_t new_timeouts = planner_.SchedulerTimeouts() - reported_timeouts_;
    reported_timeouts_ += new_timeouts;
    listener_.on_event("scheduler silent", planner_.LastUnresponsive().ToString() + ", " +
                                               std::to_string(new_timeouts) +
                                               " times since the last log line");
  }
}

void ScheduleNode::Close() {
  timer_.cancel();
  probe_client_.CloseAll();
}

}  // namespace cowsliphill
