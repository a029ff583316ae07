// One entry VM's part in the workspaces' limits: the buckets of its scheduler, the sums that it
// keeps as an owner, and the messages between them. Pure: messages and time are passed in.

#ifndef COWSLIPHILL_WORKSPACE_WORKSPACE_QUOTA_H_
#define COWSLIPHILL_WORKSPACE_WORKSPACE_QUOTA_H_

#include <chrono>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "src/manifest/manifest.h"
#include "src/members/peer.h"
#include "src/workspace/limit_owners.h"
#include "src/workspace/usage_ledger.h"
#include "src/workspace/workspace_limits.h"

namespace cowsliphill {

using UsageMessage = std::variant<UsageReport, UsageAnswer>;
struct OutgoingUsage {
  Endpoint to;
  UsageMessage message;
};

// Workspaces whose requests begin or cease to be refused, for log lines.
struct RefusalEvent {
  TenantId workspace;
  bool refusing = false;
  uint64_t refused = 0;  // At the end: number of requests refused since the begin.
};

class WorkspaceQuota {
 public:
  // Entry VMs that know fewer than half of those that they knew within this time are partitioned
  // from the others, and use only a part of each limit.
  static constexpr std::chrono::milliseconds kPartitionMemory{60000};

  // Interval at which the first owner of a workspace that uses up its limit tells all entry VMs.
  static constexpr std::chrono::milliseconds kUnaskedInterval{200};

  WorkspaceQuota(Endpoint self, uint64_t seed, MonotonicTime now);

  void SetBounds(const LimitBounds& bounds) { bounds_ = bounds; }
  void ApplyManifest(const Manifest& manifest, MonotonicTime now);
  // Replaces the list of live entry VMs, which includes this one unless it is leaving.
  void SetMembers(const std::vector<Member>& members, MonotonicTime now);
  bool Enabled() const { return !names_.empty(); }

  WorkspaceLimits& Limits() { return limits_; }
  const WorkspaceLimits& Limits() const { return limits_; }
  void OnReport(const Endpoint& from, const UsageReport& report, MonotonicTime now);
  void OnAnswer(const Endpoint& from, const UsageAnswer& answer, MonotonicTime now) {
    limits_.OnAnswer(from, answer, now);
  }
  void Tick(MonotonicTime now);
  std::optional<MonotonicTime> NextWake() const;
  std::vector<OutgoingUsage> TakeOutbox() { return std::exchange(outbox_, {}); }
  std::vector<RefusalEvent> TakeRefusalEvents(MonotonicTime now);
  // Messages to other entry VMs.
  uint64_t ReportsSent() const { return reports_sent_; }
  uint64_t AnswersSent() const { return answers_sent_; }

 private:
  void SendReports(MonotonicTime now);
  void SendUnasked(MonotonicTime now);
  void UpdateRateShare(MonotonicTime now);

  Endpoint self_;
  LimitBounds bounds_;
  LimitOwners owners_;
  WorkspaceLimits limits_;
  UsageLedger ledger_;
  std::unordered_map<WorkspaceHash, TenantId> names_;  // Workspaces with a limit.
  // Number of live entry VMs, and the largest number within kPartitionMemory.
  size_t live_ = 1;
  size_t most_live_ = 1;
  MonotonicTime most_live_at_{};
  MonotonicTime next_erase_{};
  MonotonicTime next_unasked_{};
  std::vector<Endpoint> entry_vms_;  // Live ones.
  std::vector<OutgoingUsage> outbox_;
  uint64_t reports_sent_ = 0;
  uint64_t answers_sent_ = 0;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_WORKSPACE_WORKSPACE_QUOTA_H_
