// The buckets of a scheduler, one for each workspace with a limit: decides which requests are
// charged and which are refused. Pure: messages and time are passed in.
//
//   if (!limits.Admit(workspace, now)) Refuse(limits.RetryAfter(workspace, now));
//   limits.Consume(workspace, now);  // The request was assigned.
//   limits.Release(workspace, now);  // It was declined, withdrawn or has expired.
//
// A bucket is an estimate of the one bucket that all schedulers share. Its base is the level that
// an owner (usage_ledger.h) last answered. Since then, requests assigned here are subtracted at
// once, and those of the other schedulers at the rate that the answer states. Of the answers of two
// owners, the lower level counts. So a bucket lags by one report interval and two datagrams. While
// it is full enough, all requests are charged. Below LimitRules::guard the tokens would be used
// several times over within the lag, and each scheduler takes only a share of them: that of its
// demand in the demand at all schedulers.

#ifndef COWSLIPHILL_WORKSPACE_WORKSPACE_LIMITS_H_
#define COWSLIPHILL_WORKSPACE_WORKSPACE_LIMITS_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/base/ids.h"
#include "src/workspace/limit_owners.h"
#include "src/workspace/limit_rules.h"
#include "src/workspace/usage_message.h"

namespace cowsliphill {

// Requests of a workspace begin to be refused for its limit, or this has ended.
struct RefusalChange {
  WorkspaceHash workspace = 0;
  bool refusing = false;
  uint64_t refused = 0;  // Number of requests refused, at the end.
};

class WorkspaceLimits {
 public:
  static constexpr std::chrono::milliseconds kReportInterval{100};
  static constexpr std::chrono::milliseconds kRemainderDelay{50};
  // Share of each rate while no owner has ever answered, or none has for kIsolatedTime.
  static constexpr double kIsolatedShare = 0.02;
  static constexpr std::chrono::milliseconds kIsolatedTime{2000};
  // An answer is left out of account once the other owner's is newer by this.
  static constexpr std::chrono::milliseconds kMaxAnswerLag{300};
  // A change that no owner has confirmed is reported again for this long.
  static constexpr std::chrono::milliseconds kRepeatTime{2000};
  // Time in which a level above the target is handed out, while schedulers take their shares.
  static constexpr std::chrono::milliseconds kSpreadTime{500};
  // Part of the limit up to which a workspace's demand uses all tokens freely.
  static constexpr double kExcessShare = 0.9;
  static constexpr double kMinAllowance = 3;  // Tokens of its share that a scheduler may save up.
  // Refusals of a workspace have ended when there were none for this long.
  static constexpr std::chrono::milliseconds kRefusalEndTime{5000};
  static constexpr std::chrono::milliseconds kMinRetryAfter{50};
  static constexpr std::chrono::milliseconds kMaxRetryAfter{10000};

  explicit WorkspaceLimits(uint32_t lifetime) : lifetime_(lifetime) {}

  void Apply(const std::unordered_map<WorkspaceHash, LimitRules>& limits, MonotonicTime now);
  // Part of each rate that the entry VMs known to each other may use; below 1 if they are a small
  // part of those known before.
  void SetRateShare(double share) { rate_share_ = share; }
  bool HasLimit(WorkspaceHash workspace) const { return buckets_.contains(workspace); }

  // Reserves a token for a request that has arrived. Returns false if there is none; true for a
  // workspace without a limit.
  bool Admit(WorkspaceHash workspace, MonotonicTime now);
  // Whether Admit would find a token. Changes nothing.
  bool HasToken(WorkspaceHash workspace, MonotonicTime now) const;
  // Time until Admit is expected to find a token.
  std::chrono::milliseconds RetryAfter(WorkspaceHash workspace, MonotonicTime now) const;
  void Consume(WorkspaceHash workspace, MonotonicTime now);
  void Release(WorkspaceHash workspace, MonotonicTime now);

  // What is to be reported to the owners now; empty if nothing is. If that is more than fits into
  // one message, the workspaces that were reported last come after kRemainderDelay.
  std::vector<UsageReport::Entry> TakeReport(MonotonicTime now);
  // When TakeReport is to be called next; nullopt while nothing is used.
  std::optional<MonotonicTime> NextReport() const { return next_report_; }
  uint32_t Lifetime() const { return lifetime_; }
  static uint32_t TimeStamp(MonotonicTime now);
  void OnAnswer(const Endpoint& from, const UsageAnswer& answer, MonotonicTime now);

  // Refusals that have begun or ended since the last call.
  std::vector<RefusalChange> TakeRefusalChanges(MonotonicTime now);
  uint64_t Refused() const { return refused_; }
  std::optional<MonotonicTime> AnsweredAt() const { return answered_at_; }

 private:
  // The bucket by what one owner answered.
  struct View {
    Endpoint owner;
    uint32_t lifetime = 0;
    uint32_t sent_at = 0;     // UsageAnswer::sent_at of the last answer to a report.
    uint32_t unasked_at = 0;  // And of the last one that came unasked; 0: none.
    bool complete = false;
    MonotonicTime answered_at{};
    double level = 0;  // At `refilled_at`, without this scheduler's reservations.
    MonotonicTime refilled_at{};
    double others_use = 0;
    double others_demand = 0;
  };
  struct Bucket {
    LimitRules rules;
    std::array<std::optional<View>, 3> views;  // A third owner answers if members disagree.
    View own;                                  // Used while there is no answer.
    uint32_t used = 0;
    uint32_t demand = 0;
    uint32_t reserved = 0;
    uint32_t reported_used = 0;
    uint32_t reported_demand = 0;
    uint32_t reported_reserved = 0;
    uint32_t confirmed_used = 0;  // By the last answer.
    MonotonicTime reported_at{};
    MonotonicTime changed_at{};
    EventRate demand_rate;
    double allowance = kMinAllowance;  // Tokens of this scheduler's share.
    MonotonicTime allowance_at{};
    bool refusing = false;
    uint64_t refused = 0;  // Since `refusing` was set.
    MonotonicTime refused_at{};
  };
  struct Group {
    bool answered = false;
    std::optional<MonotonicTime> unanswered_since;
  };
  // What Admit decides by.
  struct Estimate {
    double level = 0;      // Unreserved tokens.
    double refill = 0;     // Tokens per second, less those that others use.
    double share = 1;      // This scheduler's part of the demand.
    double allowance = 0;  // Tokens of its share that it may use now.
    bool excess = false;   // The demand at all schedulers is near the limit or above it.
    bool isolated = false;
  };
  void SetRules(WorkspaceHash workspace, Bucket& bucket, const LimitRules& rules,
                MonotonicTime now) const;
  static bool IsIsolated(const Group& group, MonotonicTime now);
  const Group& GroupOf(WorkspaceHash workspace) const {
    return groups_[LimitOwners::GroupOf(workspace)];
  }
  double RefillRate(WorkspaceHash workspace, const Bucket& bucket, const View& view,
                    MonotonicTime now) const;
  double LevelAt(WorkspaceHash workspace, const Bucket& bucket, const View& view,
                 MonotonicTime now) const;
  static bool Counts(const Bucket& bucket, const View& view);
  static const View& LowestView(const Bucket& bucket);
  static double OthersDemand(const Bucket& bucket);
  static std::optional<View>& SlotFor(Bucket& bucket, const Endpoint& owner);
  Estimate EstimateOf(WorkspaceHash workspace, const Bucket& bucket, MonotonicTime now) const;
  static bool Allows(const LimitRules& rules, const Estimate& estimate);
  static bool MustReport(const Bucket& bucket, MonotonicTime now);
  void MarkChanged(Bucket& bucket, MonotonicTime now);

  uint32_t lifetime_;
  double rate_share_ = 1;
  std::unordered_map<WorkspaceHash, Bucket> buckets_;
  std::array<Group, LimitOwners::kGroups> groups_;
  std::optional<MonotonicTime> next_report_;
  std::optional<MonotonicTime> answered_at_;
  MonotonicTime last_report_{};
  uint64_t refused_ = 0;
  std::vector<RefusalChange> refusal_changes_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_WORKSPACE_WORKSPACE_LIMITS_H_
