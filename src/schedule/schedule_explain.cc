// Explains where a request would be sent now, without an effect on any request.

#include "src/schedule/schedule_explain.h"

#include <limits>
#include <memory>

namespace cowsliphill {

namespace {

constexpr Ticket kExplainTicket = std::numeric_limits<Ticket>::max();  // No request has it.

template <typename Message>
std::optional<std::pair<Endpoint, Message>> Take(const std::vector<Outgoing>& outbox) {
  for (const Outgoing& out : outbox) {
    if (const auto* it = std::get_if<Message>(&out.message)) return std::pair(out.to, *it);
  }
  return std::nullopt;
}

void TakeDecision(RequestPlanner& planner, MonotonicTime now, Explanation& explanation) {
  for (const ReadyChoice& ready : planner.TakeReady(now)) {
    const auto* send = std::get_if<SendTo>(&ready);
    const auto* refuse = std::get_if<Refuse>(&ready);
    if (send != nullptr && send->ticket == kExplainTicket) explanation.chosen = *send;
    if (refuse != nullptr && refuse->ticket == kExplainTicket) explanation.refused = *refuse;
  }
}

}  // namespace

std::unique_ptr<Scheduler> Scheduler::Copy() const {
  std::unique_ptr<Scheduler> copy(new Scheduler(*this));
  copy->balancer_.Relink(balancer_);
  std::unordered_map<const Cell*, Cell*> copies;
  for (const auto& [id, cell] : cells_) copies[&cell] = &copy->cells_.at(id);
  for (auto& [server, cell] : copy->cells_by_server_) cell = copies.at(cell);
  return copy;
}

ScheduleExplanation Scheduler::Explain(const Endpoint& from, const ScheduleRequest& message,
                                       MonotonicTime now) const {
  const std::unique_ptr<Scheduler> copy = Copy();
  copy->TakeOutbox();
  ScheduleExplanation explanation;
  const auto service = services_.find(message.service);
  if (service != services_.end()) {
    const AssignmentRequest request = ToAssignmentRequest(from, message, service->second, now);
    explanation.cell = request.cell;
    explanation.servers = copy->balancer_.Describe(request, now);
    explanation.queued = copy->balancer_.QueuedIn(request.cell);
    for (ServerExplanation& it : explanation.servers) {
      if (pauses_.End({from, it.server}, now)) it.state = "asked this entry VM for a pause";
    }
  }
  copy->OnScheduleRequest(from, message, now);
  const std::vector<Outgoing> outbox = copy->TakeOutbox();
  for (const Outgoing& out : outbox) {
    const auto* reply = std::get_if<ScheduleReply>(&out.message);
    if (reply != nullptr && reply->id == message.id && out.to == from) explanation.reply = *reply;
    const auto* passed_on = std::get_if<ScheduleRequest>(&out.message);
    if (passed_on == nullptr || passed_on->id != message.id) continue;
    explanation.passed_on_to = out.to;
    const auto domain = failure_domains_.find(passed_on->failure_domain);
    if (domain != failure_domains_.end()) explanation.passed_on_domain = domain->second.Text();
  }
  return explanation;
}

ScheduleExplanation ExplainFor(const RequestPlanner& own_planner, const Scheduler& scheduler,
                               const Endpoint& entry_vm, const FailureDomainId& failure_domain,
                               const ChoiceRequest& request, MonotonicTime now) {
  RequestPlanner planner = own_planner;
  planner.TakeOutbox();
  ChoiceRequest params = request;
  params.ticket = kExplainTicket;
  planner.Choose(params, now);
  auto message = Take<ScheduleRequest>(planner.TakeOutbox());
  if (!message) {
    Explanation refusal;
    TakeDecision(planner, now, refusal);
    ScheduleExplanation explanation;
    explanation.reply.kind = ScheduleReply::Kind::kRefused;
    if (refusal.refused) explanation.reply.cause = refusal.refused->cause;
    if (refusal.refused) explanation.reply.retry_after = refusal.refused->retry_after;
    return explanation;
  }
  message->second.failure_domain = HashName(failure_domain.Text());
  return scheduler.Explain(entry_vm, message->second, now);
}

Explanation ExplainRequest(const RequestPlanner& own_planner, const Scheduler& scheduler,
                           const Endpoint& self, const ChoiceRequest& request, MonotonicTime now) {
  Explanation explanation;
  RequestPlanner planner = own_planner;
  planner.TakeOutbox();
  ChoiceRequest params = request;
  params.ticket = kExplainTicket;
  const Choice choice = planner.Choose(params, now);
  if (const auto* refuse = std::get_if<Refuse>(&choice)) explanation.refused = *refuse;
  const auto message = Take<ScheduleRequest>(planner.TakeOutbox());
  if (!message) {
    TakeDecision(planner, now, explanation);
    return explanation;
  }
  explanation.scheduler = message->first;
  explanation.decides_here = message->first == self;
  explanation.decision = scheduler.Explain(self, message->second, now);
  if (!explanation.decides_here) return explanation;
  planner.OnReply(self, explanation.decision->reply, now);
  TakeDecision(planner, now, explanation);
  return explanation;
}

}  // namespace cowsliphill
