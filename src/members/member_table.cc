#include "src/members/member_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cowsliphill {

namespace {

// A member that another member reports as dead has only the suspicion timeout divided by this to
// refute the report.
constexpr int kDeadReportTimeoutDivisor = 2;

}  // namespace

bool MemberTable::IsLive(const KnownMember& known) {
  return known.record.health == MemberHealth::kAlive ||
         known.record.health == MemberHealth::kSuspect;
}

Member MemberTable::ToMember(const MemberRecord& record) {
  MemberState state = MemberState::kAlive;
  if (record.health == MemberHealth::kSuspect) state = MemberState::kSuspect;
  if (record.leaving) state = MemberState::kLeaving;
  return {record.id,     record.edge, record.peer,       record.failure_domain,
          record.region, state,       record.millicores, record.links_lost};
}

uint64_t MemberTable::DigestOf(const MemberRecord& record) {
  const uint64_t version = record.incarnation * 2 + (record.leaving ? 1 : 0);
  return XXH64(record.id.Text().data(), record.id.Text().size(), version);
}

ApplyEffect MemberTable::Apply(MonotonicTime now, const MemberRecord& record) {
  KnownMember* known = Find(record.id);
  if (known == nullptr) return Add(now, record);
  if (known->record.health == MemberHealth::kGone) return ApplyEffect::kNone;
  if (record.health == MemberHealth::kGone) {
    SetHealth(now, *known, MemberHealth::kGone);
    return ApplyEffect::kChanged;
  }
  if (record.incarnation > known->record.incarnation) return ApplyNewer(now, *known, record);
  const bool reported_alive = record.health == MemberHealth::kAlive;
  if (reported_alive) {
    return known->record.health == MemberHealth::kDead ? ApplyEffect::kDisputed
                                                       : ApplyEffect::kNone;
  }
  if (record.incarnation < known->record.incarnation) return ApplyEffect::kNone;
  return ApplyFailureReport(now, *known, record.health);
}

ApplyEffect MemberTable::Add(MonotonicTime now, const MemberRecord& record) {
  if (record.health == MemberHealth::kDead) return ApplyEffect::kNone;
  if (members_.size() >= max_members_) EvictOldestNonLive();
  if (members_.size() >= max_members_) return ApplyEffect::kRefused;
  KnownMember& known = members_[record.id];
  known.record = record;
  known.health_changed = now;
  known.suspect_deadline = now + suspicion_timeout_;
  UpdateCounts(known, 1);
  if (IsLive(known)) RecordChange(known);
  return ApplyEffect::kChanged;
}

ApplyEffect MemberTable::ApplyNewer(MonotonicTime now, KnownMember& known,
                                    const MemberRecord& record) {
  const Member before = ToMember(known.record);
  const bool live_before = IsLive(known);
  UpdateCounts(known, -1);
  const MemberHealth health =
      record.health == MemberHealth::kDead && live_before ? MemberHealth::kSuspect : record.health;
  if (known.record.health != health) known.health_changed = now;
  known.record = record;
  known.record.health = health;
  known.suspect_deadline = now + suspicion_timeout_;
  UpdateCounts(known, 1);
  const Member after = ToMember(known.record);
  const bool differs = after.state != before.state || after.links_lost != before.links_lost;
  if (IsLive(known) && (!live_before || differs)) RecordChange(known);
  return ApplyEffect::kChanged;
}

ApplyEffect MemberTable::ApplyFailureReport(MonotonicTime now, KnownMember& known,
                                            MemberHealth health) {
  if (!IsLive(known)) return ApplyEffect::kNone;
  const bool was_alive = known.record.health == MemberHealth::kAlive;
  if (was_alive) SetHealth(now, known, MemberHealth::kSuspect);
  if (health == MemberHealth::kDead) {
    const MonotonicTime sooner = now + suspicion_timeout_ / kDeadReportTimeoutDivisor;
    known.suspect_deadline = std::min(known.suspect_deadline, sooner);
  }
  return was_alive ? ApplyEffect::kChanged : ApplyEffect::kNone;
}

void MemberTable::ConfirmAlive(MonotonicTime now, KnownMember& known) {
  if (known.record.health == MemberHealth::kSuspect) SetHealth(now, known, MemberHealth::kAlive);
}

void MemberTable::SetHealth(MonotonicTime now, KnownMember& known, MemberHealth health) {
  if (known.record.health == health) return;
  const bool live_before = IsLive(known);
  UpdateCounts(known, -1);
  known.record.health = health;
  known.health_changed = now;
  if (health == MemberHealth::kSuspect) known.suspect_deadline = now + suspicion_timeout_;
  UpdateCounts(known, 1);
  if (live_before || IsLive(known)) RecordChange(known);
}

void MemberTable::ExtendSuspicions(Duration extra) {
  for (auto& [id, known] : members_) known.suspect_deadline += extra;
}

void MemberTable::EraseNonLiveBefore(MonotonicTime limit) {
  std::erase_if(members_, [limit](const auto& it) {
    return !IsLive(it.second) && it.second.health_changed < limit;
  });
}

// Erases the member that has been dead or gone for longest.
void MemberTable::EvictOldestNonLive() {
  auto oldest = members_.end();
  for (auto it = members_.begin(); it != members_.end(); ++it) {
    if (IsLive(it->second)) continue;
    if (oldest == members_.end() || it->second.health_changed < oldest->second.health_changed) {
      oldest = it;
    }
  }
  if (oldest != members_.end()) members_.erase(oldest);
}

KnownMember* MemberTable::Find(const EntryVmId& id) {
  const auto it = members_.find(id);
  return it == members_.end() ? nullptr : &it->second;
}

const KnownMember* MemberTable::Find(const EntryVmId& id) const {
  const auto it = members_.find(id);
  return it == members_.end() ? nullptr : &it->second;
}

std::vector<KnownMember*> MemberTable::Live() {
  std::vector<KnownMember*> live;
  live.reserve(live_count_);
  for (auto& [id, known] : members_) {
    if (IsLive(known)) live.push_back(&known);
  }
  return live;
}

std::vector<MemberChange> MemberTable::TakeChanges() { return std::exchange(changes_, {}); }

void MemberTable::UpdateCounts(const KnownMember& known, int sign) {
  if (!IsLive(known)) return;
  live_count_ += sign;
  if (known.record.health == MemberHealth::kSuspect) suspect_count_ += sign;
  digest_ ^= DigestOf(known.record);
}

void MemberTable::RecordChange(const KnownMember& known) {
  changes_.push_back({ToMember(known.record), !IsLive(known)});
}

}  // namespace cowsliphill
