// Datagrams about the use of workspaces' limits, between the schedulers that charge requests and
// the owners that sum up the charges. Encoded in src/schedule/schedule_message.cc.

#ifndef COWSLIPHILL_WORKSPACE_USAGE_MESSAGE_H_
#define COWSLIPHILL_WORKSPACE_USAGE_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cowsliphill {

// Replaces a workspace's name in datagrams; the same as NameHash in src/schedule.
using WorkspaceHash = uint32_t;

// Most workspaces in one message: such an answer has 1,436 bytes.
inline constexpr size_t kMaxUsageEntries = 75;

// Scheduler to owner: what it has charged since its start. Counters wrap around at 2^32.
struct UsageReport {
  struct Entry {
    WorkspaceHash workspace = 0;
    uint32_t used = 0;      // Requests assigned.
    uint32_t demand = 0;    // Requests that arrived to be charged, also those refused.
    uint32_t reserved = 0;  // Requests that hold a token and wait for their assignment.
    uint32_t recent = 0;    // Part of `used` since the report before this one.
  };
  uint32_t lifetime = 0;  // Of the scheduler; another one after each start.
  uint32_t sent_at = 0;   // In milliseconds of the scheduler's clock; the answer repeats it.
  std::vector<Entry> entries;
};

// Owner to scheduler: answers a UsageReport, about the workspaces in it. While workspaces use up
// their limits, their first owner also sends it unasked to all entry VMs, about these: those that
// get few requests would else know only the level at their last request.
struct UsageAnswer {
  struct Entry {
    WorkspaceHash workspace = 0;
    bool known = true;      // The owner has had a report of the receiver about this workspace.
    double level = 0;       // Tokens left, less those that other schedulers have reserved.
    uint32_t used = 0;      // UsageReport::Entry::used of the receiver that `level` accounts for.
    double others_use = 0;  // Requests per second that all other schedulers assign.
    double others_demand = 0;  // Requests per second that arrive at them.
  };
  uint32_t lifetime = 0;  // Of the owner.
  bool unasked = false;
  uint32_t sent_at = 0;   // That of the report; if unasked, in milliseconds of the owner's clock.
  bool complete = false;  // The owner has had reports for long enough to know all schedulers.
  std::vector<Entry> entries;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_WORKSPACE_USAGE_MESSAGE_H_
