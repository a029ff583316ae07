// Who lives, decided by the entry VMs among themselves: a SWIM-like protocol as a pure state
// machine. Events go in (a tick, a message, how a request ended, the VM list); actions come out.
//
// Each period a member pings one other, in shuffled rounds. Without an answer it asks a few others
// to ping it too; if they hear nothing either, the member is suspect, and dead when it doesn't
// refute in time by raising its incarnation. Changes ride on pings and answers; fresh ones are
// also pushed at once to a few members. A digest on every message shows lists that differ; they
// are mended page by page. All rates are per member and period, whatever the number of members.
//
// Limits: a member that is cut off from all others goes on with itself alone; who shares no seed,
// VM list or member with the others is not found.

#ifndef COWSLIPHILL_MEMBERS_MEMBERSHIP_H_
#define COWSLIPHILL_MEMBERS_MEMBERSHIP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/members/gossip_message.h"
#include "src/members/member_table.h"
#include "src/members/peer.h"

namespace cowsliphill {

struct MembershipConfig {
  std::chrono::milliseconds probe_period{1000};       // One ping per period.
  std::chrono::milliseconds direct_timeout{400};      // Then others are asked to ping too.
  std::chrono::milliseconds suspicion_timeout{3000};  // Time to refute.
  std::chrono::milliseconds dead_retry{2000};   // One dead member is tried again per interval.
  std::chrono::milliseconds seed_retry{30000};  // One unknown seed is tried per interval.
  std::chrono::milliseconds alone_retry{100};   // Seeds are tried so often while nobody is known.
  std::chrono::minutes dead_lifetime{30};       // Dead members are forgotten after this.
  std::chrono::milliseconds stall_limit{2000};  // A longer gap between ticks is our own pause.
  uint32_t helpers = 3;                         // Asked to ping on behalf.
  uint32_t push_fanout = 3;                     // Members that a fresh change is pushed to.
  uint32_t pushes_per_period = 6;               // Bound on pushes.
  uint32_t changes_per_message = 6;             // Changes that ride on one message.
  uint32_t page_records = 8;                    // Records in one page.
  uint32_t max_members = 1024;                  // Records kept; more are refused and counted.
  std::vector<Endpoint> seeds;                  // Asked first.
};

using GossipTag = uint64_t;

// Sends a request of kind kMembership; its end comes back as Replied or Failed with the same tag.
struct SendGossip {
  GossipTag tag = 0;
  Endpoint to;
  std::string payload;
};

using MembershipAction = std::variant<SendGossip, MemberChange>;

struct MembershipStats {
  uint64_t pings = 0;            // Direct pings sent.
  uint64_t helper_pings = 0;     // Pings asked of others, and made for others.
  uint64_t contacts = 0;         // Tries of dead, listed and seed addresses.
  uint64_t pushes = 0;           // Fresh changes sent at once.
  uint64_t pulls = 0;            // Pages asked for.
  uint64_t suspected = 0;        // Members found suspect by this member's own pings.
  uint64_t died = 0;             // Members declared dead here.
  uint64_t refuted = 0;          // Own incarnation raised against a false word.
  uint64_t stalls = 0;           // Own pauses noticed.
  uint64_t bad_messages = 0;     // Refused payloads.
  uint64_t refused_records = 0;  // Records beyond max_members.
};

class Membership {
 public:
  // `self.id` is new at each process start. `seed` starts the random choices.
  Membership(MembershipConfig config, const Member& self, uint64_t seed, MonotonicTime now);

  // To be called several times per direct_timeout.
  void Tick(MonotonicTime now);
  // A message from another member; gives the reply, empty for a refused message.
  std::string Receive(MonotonicTime now, const EntryVmId& from, const std::string& payload);
  void Replied(MonotonicTime now, GossipTag tag, const std::string& payload);
  void Failed(GossipTag tag);
  // Where the platform believes members to be. Used only to find members that are not known.
  void Listed(std::vector<Endpoint> peers);
  // This member takes no new callers; tells the others at once.
  void SetLeaving();
  // This member ends now. Call it when its last request is done, then let the messages go out.
  void Depart();

  // What the last events ask for, in order.
  std::vector<MembershipAction> TakeActions();

  // Other members: alive, suspect and leaving ones.
  std::vector<Member> Live() const;
  Member Self() const { return MemberTable::ToMember(self_); }
  // Some member is suspect, or one came or went within the last suspicion timeout.
  bool Unsettled(MonotonicTime now) const;
  // Equal for members with equal lists.
  uint64_t Digest() const { return table_.Digest() ^ MemberTable::DigestOf(self_); }
  const MembershipStats& Stats() const { return stats_; }

 private:
  enum class Purpose {
    kPing,           // Our own probe of a member.
    kHelperRequest,  // Asks another to ping on our behalf.
    kHelperPing,     // A ping that we make for another.
    kPush,           // Fresh changes.
    kPull,           // A page of records.
    kContact,        // Tries an address whose member is dead or not known.
  };
  struct Sent {
    Purpose purpose = Purpose::kPing;
    EntryVmId target;     // Whom it was meant for; empty: whoever is there.
    EntryVmId requester;  // kHelperPing: who asked for it.
  };
  struct Probe {
    EntryVmId target;
    MonotonicTime started;
    bool helpers_asked = false;
  };

  // Periodic work.
  void NoticeStall(MonotonicTime now);
  void BeginPeriod(MonotonicTime now);
  void EndProbe(MonotonicTime now);
  void StartProbe(MonotonicTime now);
  void AskHelpers();
  void ExpireSuspects(MonotonicTime now);
  void RetryDead(MonotonicTime now);
  void ContactListed();
  void ContactSeed(MonotonicTime now);
  void ContactWhenAlone(MonotonicTime now);

  // Messages.
  GossipMessage Compose(GossipType type, const KnownMember* receiver);
  void Send(const Sent& sent, const Endpoint& to, const GossipMessage& message);
  void SendPing(Purpose purpose, const KnownMember& target, const EntryVmId& requester);
  void Contact(const Endpoint& to);
  void PushChanges();
  void Pull(const KnownMember& from);
  void AddChanges(GossipMessage& message);
  void AddPage(GossipMessage& reply, const EntryVmId& after) const;
  void TakeIn(MonotonicTime now, const GossipMessage& message);
  void HandleAck(MonotonicTime now, const Sent& sent, const GossipMessage& message);
  void HandlePage(const Sent& sent, const GossipMessage& message);
  void HelpPing(const EntryVmId& requester, const GossipMessage& message);
  void CompareDigest(const GossipMessage& message);

  // Records.
  void Apply(MonotonicTime now, const MemberRecord& record, bool spread);
  void Replaced(MonotonicTime now, const EntryVmId& id);
  void RaiseIncarnation(uint64_t at_least);
  void Spread(const EntryVmId& id);
  uint32_t SpreadLimit() const;
  std::vector<KnownMember*> RandomLive(size_t most, const EntryVmId& except);
  bool KnowsAddress(const Endpoint& peer) const;

  MembershipConfig config_;
  MemberRecord self_;
  MemberTable table_;
  std::mt19937_64 random_;
  std::map<EntryVmId, uint32_t> spreading_;   // Changes to spread, with how often each was sent.
  std::unordered_map<GossipTag, Sent> sent_;  // Requests without an end yet.
  std::vector<MembershipAction> actions_;
  std::vector<EntryVmId> round_;    // Members still to ping in this round.
  std::vector<EntryVmId> doubted_;  // Dead here, but alive to another member.
  std::vector<Endpoint> listed_;    // Of the VM list.
  std::optional<Probe> probe_;      // The one of this period.
  MonotonicTime last_tick_;         // To notice our own pauses.
  MonotonicTime next_period_;       // When the next ping is due.
  MonotonicTime next_dead_retry_;   // When the next dead member is tried again.
  MonotonicTime next_seed_retry_;   // When the next unknown seed is tried.
  MonotonicTime next_alone_retry_;  // The same while nobody is known.
  MonotonicTime last_change_;       // When a member came, went or changed state.
  EntryVmId pull_cursor_;           // Where the next page begins.
  bool joining_ = true;             // The first whole list has not been read yet.
  bool pulling_ = false;            // A page is under way.
  bool departed_ = false;           // Answers nothing any more.
  bool push_wanted_ = false;        // A fresh change waits to be pushed.
  uint32_t push_tokens_ = 0;        // Pushes left in this period.
  uint32_t mismatches_ = 0;         // Messages in a row with a differing digest.
  size_t next_listed_ = 0;          // Position in listed_.
  size_t next_seed_ = 0;            // Position in the seeds.
  GossipTag last_tag_ = 0;
  MembershipStats stats_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_MEMBERSHIP_H_
