// The owner's side of the workspaces' limits: sums up what all schedulers report, and keeps the
// bucket of each workspace for all of them. Its state is lost with the process; the second owner
// has the same. Pure: messages and time are passed in.
//
// A restarted owner, or one that takes over, starts with nearly empty buckets and takes the first
// report of each scheduler as a baseline. Its answers say for some time that they are incomplete.

#ifndef COWSLIPHILL_WORKSPACE_USAGE_LEDGER_H_
#define COWSLIPHILL_WORKSPACE_USAGE_LEDGER_H_

#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "src/base/ids.h"
#include "src/workspace/limit_owners.h"
#include "src/workspace/limit_rules.h"
#include "src/workspace/usage_message.h"

namespace cowsliphill {

class UsageLedger {
 public:
  // A scheduler's last report counts as its present state for this long.
  static constexpr std::chrono::milliseconds kForgetTime{5000};
  // Time after the first report to an owner from which its answers are complete.
  static constexpr std::chrono::milliseconds kCompleteTime{1000};
  static constexpr std::chrono::milliseconds kMaxGap{600};
  // A limit is being used up if its bucket is below this part of its capacity, or if the demand is
  // above this part of the rate; and for kExhaustedTime after that.
  static constexpr double kLowLevel = 0.5;
  static constexpr double kHighDemand = 0.9;
  static constexpr std::chrono::milliseconds kExhaustedTime{1000};

  explicit UsageLedger(uint32_t lifetime) : lifetime_(lifetime) {}

  // Replaces the limits. A bucket whose limit was lowered holds at most the new burst at once.
  void Apply(const std::unordered_map<WorkspaceHash, LimitRules>& limits, MonotonicTime now);
  // Whether this entry VM is an owner of the group. What a new owner knows about it may be old.
  void SetOwned(size_t group, bool owned, MonotonicTime now);
  // Returns the answer; nullopt if the report is outdated or names no workspace with a limit.
  std::optional<UsageAnswer> OnReport(const Endpoint& from, const UsageReport& report,
                                      MonotonicTime now);
  // Workspaces of the group that use up their limits, or did so lately.
  std::vector<WorkspaceHash> Exhausted(size_t group, MonotonicTime now);
  // What the entry VM is to know about these workspaces although it has not asked.
  UsageAnswer Unasked(const Endpoint& to, const std::vector<WorkspaceHash>& workspaces,
                      MonotonicTime now);
  // To be called at least every kMaxGap. After a longer pause the reports that have queued up look
  // like a peak, so the answers are incomplete for kCompleteTime.
  void NoteActive(MonotonicTime now);
  // Forgets schedulers that have sent nothing for kForgetTime.
  void EraseSilent(MonotonicTime now);
  bool Empty() const { return reporters_.empty(); }

 private:
  struct Bucket {
    LimitRules rules;
    double level = 0;
    MonotonicTime refilled_at{};
    uint32_t reserved = 0;  // By all schedulers.
    EventRate use;          // Of all schedulers.
    EventRate demand;
    std::optional<MonotonicTime> exhausted_at;
    std::optional<MonotonicTime> since;  // Time since which all reports come to this owner.

    void Refill(MonotonicTime now);
    void Restart(MonotonicTime now);
  };
  // What one scheduler last reported about one workspace.
  struct Share {
    uint32_t used = 0;
    uint32_t demand = 0;
    uint32_t reserved = 0;
    EventRate use;
    EventRate demand_rate;
  };
  struct Reporter {
    uint32_t lifetime = 0;
    uint32_t sent_at = 0;
    MonotonicTime received_at{};
    std::unordered_map<WorkspaceHash, Share> shares;
  };
  void Forget(Reporter& reporter);
  static UsageAnswer::Entry EntryOf(WorkspaceHash workspace, const Bucket& bucket,
                                    const Share& share, MonotonicTime now);
  UsageAnswer::Entry Count(Reporter& reporter, const UsageReport::Entry& entry, Bucket& bucket,
                           MonotonicTime now);

  uint32_t lifetime_;
  std::unordered_map<WorkspaceHash, Bucket> buckets_;
  std::map<Endpoint, Reporter> reporters_;
  std::array<bool, LimitOwners::kGroups> owned_{};
  MonotonicTime active_at_{};
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_WORKSPACE_USAGE_LEDGER_H_
