#include "src/workspace/workspace_limits.h"

#include <algorithm>
#include <cmath>

namespace cowsliphill {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Mean age of the other schedulers' reports when the owner answers: half of the interval between
// them.
constexpr double kOthersAge = 0.05;
constexpr double kOneWay = 0.01;            // Time that an unasked answer takes, about.
constexpr milliseconds kMaxRoundTrip{500};  // An older answer has no value.

}  // namespace

uint32_t WorkspaceLimits::TimeStamp(MonotonicTime now) {
  return static_cast<uint32_t>(duration_cast<milliseconds>(now.time_since_epoch()).count());
}

void WorkspaceLimits::Apply(const std::unordered_map<WorkspaceHash, LimitRules>& limits,
                            MonotonicTime now) {
  std::erase_if(buckets_, [&limits](const auto& it) { return !limits.contains(it.first); });
  for (const auto& [workspace, rules] : limits) {
    const auto it = buckets_.find(workspace);
    if (it != buckets_.end()) {
      SetRules(workspace, it->second, rules, now);
      continue;
    }
    Bucket& bucket = buckets_[workspace];
    bucket.rules = rules;
    bucket.own.level = rules.StartLevel();
    bucket.own.refilled_at = now;
    bucket.allowance_at = now;
  }
}

void WorkspaceLimits::SetRules(WorkspaceHash workspace, Bucket& bucket, const LimitRules& rules,
                               MonotonicTime now) const {
  const auto update = [&](View& view) {
    const double level = LevelAt(workspace, bucket, view, now);
    view.level = std::clamp(level, rules.min_level, rules.capacity);
    view.refilled_at = now;
  };
  update(bucket.own);
  for (auto& view : bucket.views) {
    if (view) update(*view);
  }
  bucket.rules = rules;
}

bool WorkspaceLimits::IsIsolated(const Group& group, MonotonicTime now) {
  return !group.answered ||
         (group.unanswered_since && now - *group.unanswered_since > kIsolatedTime);
}

double WorkspaceLimits::RefillRate(WorkspaceHash workspace, const Bucket& bucket, const View& view,
                                   MonotonicTime now) const {
  const double rate = bucket.rules.limit.rate * rate_share_;
  if (IsIsolated(GroupOf(workspace), now)) return rate * kIsolatedShare;
  return rate - std::min(view.others_use, rate);
}

double WorkspaceLimits::LevelAt(WorkspaceHash workspace, const Bucket& bucket, const View& view,
                                MonotonicTime now) const {
  const bool isolated = IsIsolated(GroupOf(workspace), now);
  const double capacity = isolated ? bucket.rules.StartLevel() : bucket.rules.capacity;
  const double passed = std::max(0.0, InSeconds(now - view.refilled_at));
  return std::min(capacity, view.level + RefillRate(workspace, bucket, view, now) * passed);
}

// Whether no other owner's answer is preferable: much newer, or complete while this one is not.
bool WorkspaceLimits::Counts(const Bucket& bucket, const View& view) {
  return std::none_of(bucket.views.begin(), bucket.views.end(), [&view](const auto& other) {
    if (!other) return false;
    if (view.answered_at + kMaxAnswerLag < other->answered_at) return true;
    return other->complete && !view.complete &&
           other->answered_at + kMaxAnswerLag >= view.answered_at;
  });
}

// Returns the view with the lowest level at the time of its answer, of those that count.
const WorkspaceLimits::View& WorkspaceLimits::LowestView(const Bucket& bucket) {
  const View* lowest = nullptr;
  for (const auto& view : bucket.views) {
    if (!view || !Counts(bucket, *view)) continue;
    if (lowest == nullptr || view->level < lowest->level) lowest = &*view;
  }
  return lowest == nullptr ? bucket.own : *lowest;
}

double WorkspaceLimits::OthersDemand(const Bucket& bucket) {
  double demand = 0;
  for (const auto& view : bucket.views) {
    if (view && Counts(bucket, *view)) demand = std::max(demand, view->others_demand);
  }
  return demand;
}

// Returns the view of the owner, else one without an owner, else the oldest.
std::optional<WorkspaceLimits::View>& WorkspaceLimits::SlotFor(Bucket& bucket,
                                                               const Endpoint& owner) {
  for (auto& view : bucket.views) {
    if (view && view->owner == owner) return view;
  }
  return *std::min_element(bucket.views.begin(), bucket.views.end(),
                           [](const auto& a, const auto& b) {
                             return a && b ? a->answered_at < b->answered_at : !a && b;
                           });
}

WorkspaceLimits::Estimate WorkspaceLimits::EstimateOf(WorkspaceHash workspace, const Bucket& bucket,
                                                      MonotonicTime now) const {
  const LimitRules& rules = bucket.rules;
  const View& view = LowestView(bucket);
  Estimate estimate;
  estimate.isolated = IsIsolated(GroupOf(workspace), now);
  estimate.level = LevelAt(workspace, bucket, view, now) - bucket.reserved;
  estimate.refill = RefillRate(workspace, bucket, view, now);
  if (rules.guard == 0) return estimate;
  // One request more than were seen, so that a scheduler that gets few has a share, too.
  const double demand =
      bucket.demand_rate.At(rules.demand_time, now) + 1 / InSeconds(rules.demand_time);
  const double others_demand = OthersDemand(bucket);
  estimate.share = demand / (demand + others_demand);
  estimate.excess = demand + others_demand > kExcessShare * rules.limit.rate * rate_share_;
  const double target = std::min(rules.guard, rules.capacity) / 2;
  const double handed_out =
      rules.limit.rate * rate_share_ + (estimate.level - target) / InSeconds(Duration(kSpreadTime));
  const double passed = InSeconds(now - bucket.allowance_at);
  estimate.allowance =
      std::min(std::max(kMinAllowance, estimate.share * rules.capacity),
               bucket.allowance + estimate.share * std::max(0.0, handed_out) * passed);
  return estimate;
}

bool WorkspaceLimits::Allows(const LimitRules& rules, const Estimate& estimate) {
  if (rules.guard == 0 || estimate.isolated) return estimate.level >= 1;
  if (estimate.level >= (estimate.excess ? 1 + rules.guard : 1 - rules.overdraft)) return true;
  return estimate.allowance >= 1 && estimate.level >= 1 - rules.overdraft;
}

void WorkspaceLimits::MarkChanged(Bucket& bucket, MonotonicTime now) {
  bucket.changed_at = now;
  if (!next_report_) next_report_ = std::max<MonotonicTime>(now, last_report_ + kReportInterval);
}

bool WorkspaceLimits::Admit(WorkspaceHash workspace, MonotonicTime now) {
  const auto it = buckets_.find(workspace);
  if (it == buckets_.end()) return true;
  Bucket& bucket = it->second;
  const Estimate estimate = EstimateOf(workspace, bucket, now);
  bucket.demand_rate.Add(1, bucket.rules.demand_time, now);
  ++bucket.demand;
  MarkChanged(bucket, now);
  bucket.allowance = estimate.allowance;
  bucket.allowance_at = now;
  if (Allows(bucket.rules, estimate)) {
    bucket.allowance = std::max(0.0, bucket.allowance - 1);
    ++bucket.reserved;
    return true;
  }
  ++refused_;
  ++bucket.refused;
  bucket.refused_at = now;
  if (!std::exchange(bucket.refusing, true)) refusal_changes_.push_back({workspace, true, 1});
  return false;
}

bool WorkspaceLimits::HasToken(WorkspaceHash workspace, MonotonicTime now) const {
  const auto it = buckets_.find(workspace);
  return it == buckets_.end() || Allows(it->second.rules, EstimateOf(workspace, it->second, now));
}

milliseconds WorkspaceLimits::RetryAfter(WorkspaceHash workspace, MonotonicTime now) const {
  const auto it = buckets_.find(workspace);
  if (it == buckets_.end()) return milliseconds(0);
  const Bucket& bucket = it->second;
  const Estimate estimate = EstimateOf(workspace, bucket, now);
  const double own_rate =
      std::max(estimate.share * bucket.rules.limit.rate * rate_share_, estimate.refill);
  const double missing = std::max(1 - estimate.level, 1 - estimate.allowance);
  const double rate = estimate.isolated ? estimate.refill : own_rate;
  const double limit = InSeconds(Duration(kMaxRetryAfter));
  const double seconds = rate <= 0 ? limit : std::min(limit, std::max(0.0, missing) / rate);
  return std::max(kMinRetryAfter, milliseconds(std::lround(seconds * 1000)));
}

void WorkspaceLimits::Consume(WorkspaceHash workspace, MonotonicTime now) {
  const auto it = buckets_.find(workspace);
  if (it == buckets_.end()) return;
  Bucket& bucket = it->second;
  if (bucket.reserved > 0) --bucket.reserved;
  ++bucket.used;
  const auto take = [&](View& view) {
    view.level = LevelAt(workspace, bucket, view, now) - 1;
    view.refilled_at = now;
  };
  take(bucket.own);
  for (auto& view : bucket.views) {
    if (view) take(*view);
  }
  MarkChanged(bucket, now);
}

void WorkspaceLimits::Release(WorkspaceHash workspace, MonotonicTime now) {
  const auto it = buckets_.find(workspace);
  if (it == buckets_.end() || it->second.reserved == 0) return;
  --it->second.reserved;
  MarkChanged(it->second, now);
}

bool WorkspaceLimits::MustReport(const Bucket& bucket, MonotonicTime now) {
  const bool unconfirmed =
      bucket.used != bucket.confirmed_used && now - bucket.changed_at < kRepeatTime;
  return unconfirmed || bucket.used != bucket.reported_used ||
         bucket.demand != bucket.reported_demand || bucket.reserved != bucket.reported_reserved;
}

std::vector<UsageReport::Entry> WorkspaceLimits::TakeReport(MonotonicTime now) {
  std::vector<UsageReport::Entry> entries;
  if (!next_report_ || now < *next_report_) return entries;
  std::vector<std::pair<MonotonicTime, WorkspaceHash>> due;
  for (const auto& [workspace, bucket] : buckets_) {
    if (MustReport(bucket, now)) due.emplace_back(bucket.reported_at, workspace);
  }
  next_report_.reset();
  last_report_ = now;
  if (due.empty()) return entries;
  next_report_ = now + (due.size() > kMaxUsageEntries ? kRemainderDelay : kReportInterval);
  if (due.size() > kMaxUsageEntries) {
    std::sort(due.begin(), due.end());
    due.resize(kMaxUsageEntries);
  }
  for (const auto& [reported_at, workspace] : due) {
    Bucket& bucket = buckets_.at(workspace);
    entries.push_back({workspace, bucket.used, bucket.demand, bucket.reserved,
                       bucket.used - bucket.reported_used});
    bucket.reported_at = now;
    bucket.reported_used = bucket.used;
    bucket.reported_demand = bucket.demand;
    bucket.reported_reserved = bucket.reserved;
    Group& group = groups_[LimitOwners::GroupOf(workspace)];
    if (!group.unanswered_since) group.unanswered_since = now;
  }
  return entries;
}

void WorkspaceLimits::OnAnswer(const Endpoint& from, const UsageAnswer& answer, MonotonicTime now) {
  const milliseconds round_trip(TimeStamp(now) - answer.sent_at);
  if (!answer.unasked && round_trip > kMaxRoundTrip) return;
  const double passed = answer.unasked ? kOneWay : InSeconds(Duration(round_trip)) / 2;
  for (const UsageAnswer::Entry& entry : answer.entries) {
    const auto it = buckets_.find(entry.workspace);
    if (it == buckets_.end()) continue;
    Bucket& bucket = it->second;
    std::optional<View>& slot = SlotFor(bucket, from);
    const bool is_same = slot && slot->owner == from && slot->lifetime == answer.lifetime;
    const uint32_t last = !is_same ? 0 : answer.unasked ? slot->unasked_at : slot->sent_at;
    if (is_same && last != 0 && static_cast<int32_t>(answer.sent_at - last) <= 0) continue;
    const double rate = bucket.rules.limit.rate * rate_share_;
    const double others = std::min(entry.others_use, rate);
    View view;
    view.owner = from;
    view.lifetime = answer.lifetime;
    if (is_same) {
      view.sent_at = slot->sent_at;
      view.unasked_at = slot->unasked_at;
    }
    (answer.unasked ? view.unasked_at : view.sent_at) = answer.sent_at;
    view.complete = answer.complete;
    view.answered_at = now;
    view.level = std::min(bucket.rules.capacity,
                          entry.level + (rate - others) * passed - others * kOthersAge);
    // If the owner knows nothing of this scheduler, it has used nothing lately.
    const uint32_t counted = entry.known ? entry.used : bucket.reported_used;
    view.level -= static_cast<double>(bucket.used - counted);
    view.refilled_at = now;
    view.others_use = entry.others_use;
    view.others_demand = entry.others_demand;
    slot = view;
    if (!answer.unasked) bucket.confirmed_used = entry.used;
    Group& group = groups_[LimitOwners::GroupOf(entry.workspace)];
    group.answered = true;
    if (!answer.unasked) group.unanswered_since.reset();
    answered_at_ = now;
  }
}

std::vector<RefusalChange> WorkspaceLimits::TakeRefusalChanges(MonotonicTime now) {
  std::vector<RefusalChange> changes = std::exchange(refusal_changes_, {});
  if (refused_ == 0) return changes;
  for (auto& [workspace, bucket] : buckets_) {
    if (!bucket.refusing || now - bucket.refused_at < kRefusalEndTime) continue;
    bucket.refusing = false;
    changes.push_back({workspace, false, std::exchange(bucket.refused, 0)});
  }
  return changes;
}

}  // namespace cowsliphill
