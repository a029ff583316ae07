// The records of the other members and the rules by which one record replaces another. Pure.

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

// A member came, changed state or went.
struct MemberChange {
  Member member;
  bool gone = false;  // No longer a member: dead, said farewell, or replaced.
};

struct KnownMember {
  MemberRecord record;
  MonotonicTime changed;           // When its health changed last.
  MonotonicTime suspect_deadline;  // When suspect: dead from then on.
  bool introduced = false;         // It has our own current record.
};

// What a record from another member did.
enum class ApplyEffect {
  kNone,     // Nothing new.
  kChanged,  // New here; worth telling others.
  kDoubted,  // Dead here but alive to the sender: worth a ping.
  kRefused,  // The table is full.
};

class MemberTable {
 public:
  MemberTable(uint32_t max_members, std::chrono::milliseconds suspicion_timeout)
      : max_members_(max_members), suspicion_timeout_(suspicion_timeout) {}

  // Takes in a record that another member sent. A report of death only makes a live member
  // suspect, with less time to refute, so that one mistaken member can't remove another.
  ApplyEffect Apply(MonotonicTime now, const MemberRecord& record);
  // Direct proof of life of this process: it answered or asked.
  void HeardFrom(MonotonicTime now, KnownMember& known);
  void SetHealth(MonotonicTime now, KnownMember& known, MemberHealth health);
  // Gives every suspect this much more time.
  void Postpone(Duration extra);
  // Forgets members that have been dead or gone since before `limit`.
  void Forget(MonotonicTime limit);

  KnownMember* Find(const EntryVmId& id);
  const KnownMember* Find(const EntryVmId& id) const;
  const std::map<EntryVmId, KnownMember>& All() const { return members_; }
  std::map<EntryVmId, KnownMember>& All() { return members_; }
  std::vector<KnownMember*> Live();
  size_t LiveCount() const { return live_count_; }
  size_t SuspectCount() const { return suspect_count_; }
  // Equal for equal sets of live records.
  uint64_t Digest() const { return digest_; }
  // Changes since the last call, in order.
  std::vector<MemberChange> TakeChanges();

  static bool IsLive(const KnownMember& known);
  static Member ToMember(const MemberRecord& record);
  static uint64_t DigestOf(const MemberRecord& record);

 private:
  ApplyEffect Add(MonotonicTime now, const MemberRecord& record);
  ApplyEffect ApplyNewer(MonotonicTime now, KnownMember& known, const MemberRecord& record);
  ApplyEffect ApplyAccusation(MonotonicTime now, KnownMember& known, MemberHealth health);
  void MakeRoom();
  void Count(const KnownMember& known, int sign);
  void Report(const KnownMember& known);

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
