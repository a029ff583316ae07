#include "src/workspace/workspace_quota.h"

#include <xxhash.h>

#include <algorithm>

namespace cowsliphill {

namespace {

uint32_t NewLifetime(const Endpoint& self, uint64_t seed, MonotonicTime now) {
  const std::string name = self.ToString() + "/" + std::to_string(seed) + "/" +
                           std::to_string(now.time_since_epoch().count());
  return static_cast<uint32_t>(XXH3_64bits(name.data(), name.size()));
}

WorkspaceHash HashOf(const TenantId& workspace) {
  return static_cast<WorkspaceHash>(XXH3_64bits(workspace.Text().data(), workspace.Text().size()));
}

}  // namespace

WorkspaceQuota::WorkspaceQuota(Endpoint self, uint64_t seed, MonotonicTime now)
    : self_(std::move(self)),
      limits_(NewLifetime(self_, seed, now)),
      ledger_(NewLifetime(self_, seed, now)) {}

void WorkspaceQuota::ApplyManifest(const Manifest& manifest, MonotonicTime now) {
  std::unordered_map<WorkspaceHash, LimitRules> limits;
  names_.clear();
  for (const Workspace& it : manifest.workspaces) {
    if (it.rate <= 0) continue;
    names_[HashOf(it.id)] = it.id;
    limits.emplace(HashOf(it.id), LimitRules({it.rate, it.burst}, bounds_));
  }
  limits_.Apply(limits, now);
  ledger_.Apply(limits, now);
}

void WorkspaceQuota::SetMembers(const std::vector<Member>& members, MonotonicTime now) {
  owners_.SetMembers(members);
  for (size_t group = 0; group < LimitOwners::kGroups; ++group) {
    const LimitOwners::Pair& pair = owners_.OfGroup(group);
    ledger_.SetOwned(group, std::find(pair.begin(), pair.end(), self_) != pair.end(), now);
  }
  entry_vms_.clear();
  for (const Member& it : members) entry_vms_.push_back(it.peer);
  live_ = std::max<size_t>(members.size(), 1);
  UpdateRateShare(now);
}

void WorkspaceQuota::UpdateRateShare(MonotonicTime now) {
  if (live_ >= most_live_ || now - most_live_at_ > kPartitionMemory) most_live_ = live_;
  if (live_ == most_live_) most_live_at_ = now;
  const double share = static_cast<double>(live_) / static_cast<double>(most_live_);
  limits_.SetRateShare(share < 0.5 ? share : 1);
}

void WorkspaceQuota::OnReport(const Endpoint& from, const UsageReport& report, MonotonicTime now) {
  std::optional<UsageAnswer> answer = ledger_.OnReport(from, report, now);
  if (!answer) return;
  if (from != self_) ++answers_sent_;
  outbox_.push_back({from, std::move(*answer)});
}

void WorkspaceQuota::Tick(MonotonicTime now) {
  if (!Enabled()) return;
  ledger_.NoteActive(now);
  SendReports(now);
  if (now >= next_unasked_) SendUnasked(now);
  if (now < next_erase_) return;
  next_erase_ = now + std::chrono::seconds(1);
  ledger_.EraseSilent(now);
  UpdateRateShare(now);
}

void WorkspaceQuota::SendReports(MonotonicTime now) {
  std::map<Endpoint, std::vector<UsageReport::Entry>> by_owner;
  for (const UsageReport::Entry& entry : limits_.TakeReport(now)) {
    for (const Endpoint& owner : owners_.OfGroup(LimitOwners::GroupOf(entry.workspace))) {
      by_owner[owner].push_back(entry);
    }
  }
  for (auto& [owner, entries] : by_owner) {
    UsageReport report;
    report.lifetime = limits_.Lifetime();
    report.sent_at = WorkspaceLimits::TimeStamp(now);
    report.entries = std::move(entries);
    if (owner != self_) ++reports_sent_;
    outbox_.push_back({owner, std::move(report)});
  }
}

void WorkspaceQuota::SendUnasked(MonotonicTime now) {
  next_unasked_ = now + kUnaskedInterval;
  std::vector<WorkspaceHash> exhausted;
  for (size_t group = 0; group < LimitOwners::kGroups; ++group) {
    const LimitOwners::Pair& pair = owners_.OfGroup(group);
    if (pair.empty() || pair.front() != self_) continue;
    for (const WorkspaceHash it : ledger_.Exhausted(group, now)) exhausted.push_back(it);
  }
  if (exhausted.empty()) return;
  exhausted.resize(std::min(exhausted.size(), kMaxUsageEntries));
  for (const Endpoint& to : entry_vms_) {
    UsageAnswer answer = ledger_.Unasked(to, exhausted, now);
    answer.sent_at = WorkspaceLimits::TimeStamp(now);
    if (to != self_) ++answers_sent_;
    outbox_.push_back({to, std::move(answer)});
  }
}

std::optional<MonotonicTime> WorkspaceQuota::NextWake() const {
  std::optional<MonotonicTime> wake = limits_.NextReport();
  if (!ledger_.Empty()) wake = wake ? std::min(*wake, next_unasked_) : next_unasked_;
  return wake;
}

std::vector<RefusalEvent> WorkspaceQuota::TakeRefusalEvents(MonotonicTime now) {
  std::vector<RefusalEvent> events;
  for (const RefusalChange& it : limits_.TakeRefusalChanges(now)) {
    const auto name = names_.find(it.workspace);
    if (name != names_.end()) events.push_back({name->second, it.refusing, it.refused});
  }
  return events;
}

}  // namespace cowsliphill
