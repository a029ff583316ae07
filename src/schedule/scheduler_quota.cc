// The part of Scheduler that charges requests to the limits of their workspaces.
//
// A request is charged by the first scheduler that handles it, before it is queued or forwarded. A
// forwarded request has consumed its token already and says so (ScheduleRequest::charged), so the
// scheduler of the other cell neither charges nor refuses it for the limit.

#include "src/schedule/scheduler.h"

namespace cowsliphill {

std::optional<NameHash> Scheduler::Charge(const Endpoint& entry_vm, const ScheduleRequest& message,
                                          MonotonicTime now) {
  WorkspaceLimits& limits = quota_.Limits();
  if (message.workspace == 0 || !limits.HasLimit(message.workspace)) return NameHash{0};
  // A second attempt of a workspace at its limit would take a slot from others.
  if (message.hedge && !limits.HasToken(message.workspace, now)) return std::nullopt;
  if (message.charged || paid_forwards_.Contains({entry_vm, message.id}, now)) return NameHash{0};
  if (!limits.Admit(message.workspace, now)) return std::nullopt;
  return message.workspace;
}

void Scheduler::ForwardCharged(const CellId& to, const Endpoint& entry_vm, ScheduleRequest message,
                               NameHash reserved, MonotonicTime now) {
  if (reserved != 0) {
    quota_.Limits().Consume(reserved, now);
    paid_forwards_.Add({entry_vm, message.id}, now);
  }
  message.charged = true;
  Forward(to, entry_vm, std::move(message));
}

void Scheduler::OnUsageReport(const Endpoint& from, const UsageReport& report, MonotonicTime now) {
  quota_.OnReport(from, report, now);
  SendUsage();
}

void Scheduler::OnUsageAnswer(const Endpoint& from, const UsageAnswer& answer, MonotonicTime now) {
  quota_.OnAnswer(from, answer, now);
}

void Scheduler::SendUsage() {
  for (OutgoingUsage& it : quota_.TakeOutbox()) {
    std::visit([&](auto& message) { outbox_.push_back({it.to, std::move(message)}); }, it.message);
  }
}

}  // namespace cowsliphill
