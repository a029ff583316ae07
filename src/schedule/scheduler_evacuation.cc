// Evacuated failure domains: the part of Scheduler that assigns nothing to their servers.

#include <algorithm>

#include "src/schedule/scheduler.h"

namespace cowsliphill {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kRetryAfterEvacuation{50};  // As if no scheduler had given a time.

milliseconds LeftAfter(milliseconds left, Duration passed) {
  return std::max(left - duration_cast<milliseconds>(passed), milliseconds(0));
}

}  // namespace

void Scheduler::SetEvacuated(const EvacuatedDomains& domains, MonotonicTime now) {
  evacuated_ = domains;
  balancer_.SetEvacuated(domains, cell_map_);
  for (const BackendServer& server : balancer_.Servers()) AddServer(server, now);
  std::erase_if(servers_to_probe_, [this](const BackendServerId& server) {
    return cells_by_server_.count(server) == 0;
  });
  std::erase_if(remote_cells_, [this](const auto& it) { return IsEvacuated(it.first); });
  UpdatePrimaries(now);
  MoveQueued(now);
  // Tells the other cells at once, so that they pass on no more requests to an evacuated one.
  SendCellUpdates(now);
  SendDecisions(now);
}

// Passes on the requests that are queued in cells without servers, or refuses them if no other cell
// has any.
void Scheduler::MoveQueued(MonotonicTime now) {
  for (const AssignmentId id : balancer_.QueuedWithoutServers()) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || !it->second.queued) continue;
    const Endpoint entry_vm = it->second.entry_vm;
    const QueuedMessage queued = *it->second.queued;
    const Duration passed = now - queued.received_at;
    ScheduleRequest message = queued.message;
    message.target_left = LeftAfter(message.target_left, passed);
    message.deadline_left = LeftAfter(message.deadline_left, passed);
    // The scheduler of the other cell must not count the request as a new one of its caller.
    message.caller_left = milliseconds(0);
    balancer_.Withdraw(id);
    if (const std::optional<CellId> other = CellWithFreeSlots(queued.cell, now)) {
      const NameHash reserved = std::exchange(it->second.reserved, 0);
      EraseRequest(id, now);
      ForwardCharged(*other, entry_vm, message, reserved, now);
      continue;
    }
    EraseRequest(id, now);
    ScheduleReply refusal;
    refusal.id = message.id;
    refusal.kind = ScheduleReply::Kind::kRefused;
    refusal.cause = RefusalCause::kNoBackendServer;
    refusal.retry_after = kRetryAfterEvacuation;
    Reply(entry_vm, refusal);
  }
}

}  // namespace cowsliphill
