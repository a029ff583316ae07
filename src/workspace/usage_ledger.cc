#include "src/workspace/usage_ledger.h"

#include <algorithm>
#include <utility>

namespace cowsliphill {

void UsageLedger::Bucket::Refill(MonotonicTime now) {
  if (now <= refilled_at) return;
  level = std::min(rules.capacity, level + rules.limit.rate * InSeconds(now - refilled_at));
  refilled_at = now;
}

void UsageLedger::Bucket::Restart(MonotonicTime now) {
  level = std::min(level, rules.StartLevel());
  refilled_at = now;
  since = now;
}

void UsageLedger::Apply(const std::unordered_map<WorkspaceHash, LimitRules>& limits,
                        MonotonicTime now) {
  std::erase_if(buckets_, [&limits](const auto& it) { return !limits.contains(it.first); });
  for (const auto& [workspace, rules] : limits) {
    const auto [it, is_new] = buckets_.try_emplace(workspace);
    Bucket& bucket = it->second;
    if (is_new) {
      bucket.level = rules.StartLevel();
      bucket.refilled_at = now;
      if (owned_[LimitOwners::GroupOf(workspace)]) bucket.since = now;
    } else {
      bucket.Refill(now);
    }
    bucket.rules = rules;
    bucket.level = std::clamp(bucket.level, rules.min_level, rules.capacity);
  }
  for (auto& [endpoint, reporter] : reporters_) {
    std::erase_if(reporter.shares,
                  [&limits](const auto& it) { return !limits.contains(it.first); });
  }
}

void UsageLedger::SetOwned(size_t group, bool owned, MonotonicTime now) {
  if (std::exchange(owned_[group], owned) || !owned) return;
  for (auto& [workspace, bucket] : buckets_) {
    if (LimitOwners::GroupOf(workspace) == group) bucket.Restart(now);
  }
}

void UsageLedger::Forget(Reporter& reporter) {
  for (const auto& [workspace, share] : reporter.shares) {
    const auto bucket = buckets_.find(workspace);
    if (bucket != buckets_.end()) bucket->second.reserved -= share.reserved;
  }
  reporter.shares.clear();
}

UsageAnswer::Entry UsageLedger::Count(Reporter& reporter, const UsageReport::Entry& entry,
                                      Bucket& bucket, MonotonicTime now) {
  const LimitRules& rules = bucket.rules;
  const auto [it, is_new] = reporter.shares.try_emplace(entry.workspace);
  Share& share = it->second;
  // The first report is the baseline. What was used since the report before it is new.
  const uint32_t used = is_new ? entry.recent : entry.used - share.used;
  const uint32_t demand = is_new ? entry.recent : entry.demand - share.demand;
  bucket.Refill(now);
  bucket.level = std::max(rules.min_level, bucket.level - used);
  bucket.reserved += entry.reserved - share.reserved;
  bucket.use.Add(used, rules.use_time, now);
  bucket.demand.Add(demand, rules.demand_time, now);
  share.use.Add(used, rules.use_time, now);
  share.demand_rate.Add(demand, rules.demand_time, now);
  share.used = entry.used;
  share.demand = entry.demand;
  share.reserved = entry.reserved;

  return EntryOf(entry.workspace, bucket, share, now);
}

UsageAnswer::Entry UsageLedger::EntryOf(WorkspaceHash workspace, const Bucket& bucket,
                                        const Share& share, MonotonicTime now) {
  const LimitRules& rules = bucket.rules;
  UsageAnswer::Entry entry;
  entry.workspace = workspace;
  entry.level = bucket.level - (bucket.reserved - share.reserved);
  entry.used = share.used;
  entry.others_use =
      std::max(0.0, bucket.use.At(rules.use_time, now) - share.use.At(rules.use_time, now));
  entry.others_demand = std::max(
      0.0, bucket.demand.At(rules.demand_time, now) - share.demand_rate.At(rules.demand_time, now));
  return entry;
}

std::vector<WorkspaceHash> UsageLedger::Exhausted(size_t group, MonotonicTime now) {
  std::vector<WorkspaceHash> exhausted;
  if (reporters_.empty()) return exhausted;
  for (auto& [workspace, bucket] : buckets_) {
    if (LimitOwners::GroupOf(workspace) != group) continue;
    const LimitRules& rules = bucket.rules;
    const double demand = bucket.demand.At(rules.demand_time, now);
    // Buckets of owners that have just started are low, too.
    const bool used = demand > rules.limit.rate / 10;
    bucket.Refill(now);
    if ((used && bucket.level < kLowLevel * rules.capacity) ||
        demand > kHighDemand * rules.limit.rate) {
      bucket.exhausted_at = now;
    }
    if (bucket.exhausted_at && now - *bucket.exhausted_at < kExhaustedTime) {
      exhausted.push_back(workspace);
    }
  }
  return exhausted;
}

UsageAnswer UsageLedger::Unasked(const Endpoint& to, const std::vector<WorkspaceHash>& workspaces,
                                 MonotonicTime now) {
  UsageAnswer answer;
  answer.lifetime = lifetime_;
  answer.unasked = true;
  answer.complete = true;
  const auto reporter = reporters_.find(to);
  for (const WorkspaceHash workspace : workspaces) {
    Bucket& bucket = buckets_.at(workspace);
    bucket.Refill(now);
    if (!bucket.since || now - *bucket.since < kCompleteTime) answer.complete = false;
    Share share;
    bool known = false;
    if (reporter != reporters_.end()) {
      const auto it = reporter->second.shares.find(workspace);
      known = it != reporter->second.shares.end();
      if (known) share = it->second;
    }
    answer.entries.push_back(EntryOf(workspace, bucket, share, now));
    answer.entries.back().known = known;
  }
  return answer;
}

std::optional<UsageAnswer> UsageLedger::OnReport(const Endpoint& from, const UsageReport& report,
                                                 MonotonicTime now) {
  NoteActive(now);
  const auto [it, is_new] = reporters_.try_emplace(from);
  Reporter& reporter = it->second;
  if (!is_new && reporter.lifetime != report.lifetime) Forget(reporter);
  const bool is_old = !is_new && reporter.lifetime == report.lifetime &&
                      static_cast<int32_t>(report.sent_at - reporter.sent_at) <= 0;
  if (is_old) return std::nullopt;
  reporter.lifetime = report.lifetime;
  reporter.sent_at = report.sent_at;
  reporter.received_at = now;
  UsageAnswer answer;
  answer.lifetime = lifetime_;
  answer.sent_at = report.sent_at;
  answer.complete = true;
  for (const UsageReport::Entry& entry : report.entries) {
    const auto bucket = buckets_.find(entry.workspace);
    if (bucket == buckets_.end()) continue;
    // The sender holds this entry VM to be an owner, other than the members known here.
    if (!bucket->second.since) bucket->second.Restart(now);
    if (now - *bucket->second.since < kCompleteTime) answer.complete = false;
    answer.entries.push_back(Count(reporter, entry, bucket->second, now));
  }
  if (answer.entries.empty()) return std::nullopt;
  return answer;
}

void UsageLedger::NoteActive(MonotonicTime now) {
  const bool was_paused = !reporters_.empty() && now - active_at_ > kMaxGap;
  active_at_ = now;
  if (!was_paused) return;
  for (auto& [workspace, bucket] : buckets_) {
    if (bucket.since) bucket.since = now;
  }
}

void UsageLedger::EraseSilent(MonotonicTime now) {
  for (auto it = reporters_.begin(); it != reporters_.end();) {
    if (now - it->second.received_at < kForgetTime) {
      ++it;
      continue;
    }
    Forget(it->second);
    it = reporters_.erase(it);
  }
  if (!reporters_.empty()) return;
  for (auto& [workspace, bucket] : buckets_) {
    if (!owned_[LimitOwners::GroupOf(workspace)]) bucket.since.reset();
  }
}

}  // namespace cowsliphill
