// Table of the other members' records, with the rules by which one record replaces another. Does no
// I/O.

#ifndef COWSLIPHILL_MEMBERS_MEMBER_TABLE_H_
#define COWSLIPHILL_MEMBERS_MEMBER_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/members/gossip_message.h"
#include "src/members/peer.h"

namespace cowsliphill {

// A member that joined, changed state or left.
struct MemberChange {
  Member member;
  bool gone = false;  // No longer a member: declared dead, departed, or replaced.
};

struct KnownMember {
  MemberRecord record;
  MonotonicTime health_changed;    // When `record.health` last changed.
  MonotonicTime suspect_deadline;  // When the member is declared dead if it is still suspect.
  bool has_our_record = false;     // The member has the current record of this entry VM.
};

// Effect of a record received from another member.
enum class ApplyEffect {
  kNone,      // Nothing to pass on to other members.
  kChanged,   // The record is new here and should be passed on.
  kDisputed,  // The member is dead here but alive to the sender, and should be pinged.
  kRefused,   // The record was dropped because the table is full.
};

class MemberTable {
 public:
  MemberTable(uint32_t max_members, std::chrono::milliseconds suspicion_timeout)
      : max_members_(max_members), suspicion_timeout_(suspicion_timeout) {}

  // Applies a record that another member sent. A report that a live member is dead only makes it
  // suspect, with less time to refute, so that one mistaken member can't remove another.
  ApplyEffect Apply(MonotonicTime now, const MemberRecord& record);
  // Clears the suspicion of a member whose process has just answered or sent a message.
  void ConfirmAlive(MonotonicTime now, KnownMember& known);
  void SetHealth(MonotonicTime now, KnownMember& known, MemberHealth health);
  // Extends the deadline of every suspect by `extra`.
  void ExtendSuspicions(Duration extra);
  // Erases members that have been dead or gone since before `limit`.
  void EraseNonLiveBefore(MonotonicTime limit);

  KnownMember* Find(const EntryVmId& id);
  const KnownMember* Find(const EntryVmId& id) const;
  const std::map<EntryVmId, KnownMember>& All() const { return members_; }
  std::map<EntryVmId, KnownMember>& All() { return members_; }
  std::vector<KnownMember*> Live();
  size_t LiveCount() const { return live_count_; }
  size_t SuspectCount() const { return suspect_count_; }
  // Digest over the id, incarnation and leaving flag of the live records, equal for equal sets.
  uint64_t Digest() const { return digest_; }
  // Returns the changes since the last call, in order.
  std::vector<MemberChange> TakeChanges();

  static bool IsLive(const KnownMember& known);
  static Member ToMember(const MemberRecord& record);
  static uint64_t DigestOf(const MemberRecord& record);

 private:
  ApplyEffect Add(MonotonicTime now, const MemberRecord& record);
  ApplyEffect ApplyNewer(MonotonicTime now, KnownMember& known, const MemberRecord& record);
  ApplyEffect ApplyFailureReport(MonotonicTime now, KnownMember& known, MemberHealth health);
  void EvictOldestNonLive();
  void UpdateCounts(const KnownMember& known, int sign);
  void RecordChange(const KnownMember& known);

  uint32_t max_members_;
  std::chrono::milliseconds suspicion_timeout_;
  std::map<EntryVmId, KnownMember> members_;
  std::vector<MemberChange> changes_;
  size_t live_count_ = 0;
  size_t suspect_count_ = 0;
  uint64_t digest_ = 0;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_MEMBER_TABLE_H_
