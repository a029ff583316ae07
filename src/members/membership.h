// Failure detection and membership among the entry VMs: a SWIM-like gossip protocol as a state
// machine without I/O. Its inputs are events (ticks, messages, the outcomes of requests, the VM
// list), and its outputs are actions.
//
// In each period a member pings one other member, in shuffled rounds over all of them. If there is
// no answer, it asks a few others to ping the target too. If they get no answer either, the target
// becomes suspect, and it is declared dead unless it refutes in time by raising its incarnation.
// Changes are piggybacked on pings and answers; new changes are also pushed at once to a few
// members. A digest in every message reveals member lists that differ; they are reconciled page by
// page. The message rates per member and period don't grow with the number of members.
//
// Limits: a member that is partitioned from all others continues on its own. A member that shares
// no seed, VM list or known member with the others is not discovered.

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
  std::chrono::milliseconds probe_period{1000};       // One member is pinged per period.
  std::chrono::milliseconds direct_timeout{400};      // Indirect pings are requested after this.
  std::chrono::milliseconds suspicion_timeout{3000};  // Time for a suspect to refute.
  // One dead member, or the address of one that has left, is pinged per interval.
  std::chrono::milliseconds dead_retry_interval{2000};
  std::chrono::milliseconds seed_retry_interval{30000};  // One unknown seed is pinged per interval.
  // Interval at which seeds are pinged while no other member is live.
  std::chrono::milliseconds alone_retry_interval{100};
  // Interval at which suspects are looked at, while there are any.
  std::chrono::milliseconds suspect_check_interval{100};
  std::chrono::minutes dead_lifetime{30};       // Dead members are erased after this.
  std::chrono::milliseconds stall_limit{2000};  // A longer gap between ticks is a stall.
  uint32_t indirect_ping_count = 3;             // Members asked to ping an unresponsive target.
  uint32_t push_fanout = 3;                     // Members that a new change is pushed to.
  uint32_t pushes_per_period = 6;               // Maximum number of pushes per period.
  uint32_t changes_per_message = 6;  // Maximum number of changes piggybacked on a message.
  uint32_t page_records = 8;    // Maximum number of records in a page besides the sender's own.
  uint32_t max_members = 4096;  // Maximum number of records; more are refused and counted.
  std::vector<Endpoint> seeds;  // Peer addresses to ping to find the first members.
};

using GossipTag = uint64_t;

// A request of kind kMembership to send. Its outcome must be passed to OnReply or OnRequestFailed
// with the same tag.
struct SendGossip {
  GossipTag tag = 0;
  Endpoint to;
  std::string payload;
};

using MembershipAction = std::variant<SendGossip, MemberChange>;

struct MembershipStats {
  uint64_t pings = 0;            // Direct probes sent.
  uint64_t indirect_pings = 0;   // Pings requested from others or made for others.
  uint64_t discovery_pings = 0;  // Pings to dead members and to listed and seed addresses.
  uint64_t pushes = 0;           // Pushes of new changes.
  uint64_t pulls = 0;            // Pages requested.
  uint64_t suspected = 0;        // Members that became suspect through this member's own probes.
  uint64_t declared_dead = 0;    // Members declared dead by this member.
  uint64_t refutations = 0;      // Times this member raised its incarnation to refute a report.
  uint64_t stalls_detected = 0;  // Stalls of this process.
  uint64_t bad_messages = 0;     // Rejected payloads.
  uint64_t refused_records = 0;  // Records refused because the table was full.
};

class Membership {
 public:
  // `self.id` must be new at each process start. `seed` seeds the random choices.
  Membership(MembershipConfig config, const Member& self, uint64_t seed, MonotonicTime now);

  void Tick(MonotonicTime now);
  // When Tick must be called next; never after Depart. Any other call may make it earlier.
  std::optional<MonotonicTime> NextTick(MonotonicTime now) const;
  // Processes a message from another member and returns the reply. The reply is empty if the
  // message is rejected or this member has departed.
  std::string Receive(MonotonicTime now, const EntryVmId& from, const std::string& payload);
  void OnReply(MonotonicTime now, GossipTag tag, const std::string& payload);
  void OnRequestFailed(GossipTag tag);
  // Sets the peer addresses of the platform's VM list, which are used only to discover members that
  // are not known.
  void SetListedAddresses(std::vector<Endpoint> peers);
  // Marks this member as leaving, so that it gets no new callers, and tells the others at once.
  void SetLeaving();
  // Tells the others whether this member has lost its links to the backend servers.
  void SetLinksLost(bool lost);
  // Announces that this member stops now. Call it when the last request is done, and send the
  // resulting messages before the process exits.
  void Depart();

  // Returns the actions that result from the events since the last call, in order.
  std::vector<MembershipAction> TakeActions();

  // Returns the other live members (alive, suspect or leaving), in order of id.
  std::vector<Member> Live() const;
  Member Self() const { return MemberTable::ToMember(self_); }
  // Returns true if a member is suspect, or if the member list changed within the last suspicion
  // timeout.
  bool IsUnstable(MonotonicTime now) const;
  // Equal on members with equal member lists.
  uint64_t Digest() const { return table_.Digest() ^ MemberTable::DigestOf(self_); }
  const MembershipStats& Stats() const { return stats_; }

 private:
  enum class Purpose {
    kPing,             // This member's own probe of another.
    kIndirectRequest,  // Asks for an indirect ping, or reports the answer to one.
    kIndirectPing,     // Ping made on behalf of another member.
    kPush,             // Carries new changes, or this member's own record.
    kPull,             // Requests a page of records.
    kDiscovery,        // Pings an address whose member is dead or unknown.
  };
  struct PendingRequest {
    Purpose purpose = Purpose::kPing;
    EntryVmId target;     // Intended receiver; empty: any member at the address.
    EntryVmId requester;  // kIndirectPing: member that requested the ping.
  };
  struct Probe {
    EntryVmId target;
    MonotonicTime started;
    bool indirect_pings_requested = false;
  };

  // Periodic work.
  void DetectStall(MonotonicTime now);
  void BeginPeriod(MonotonicTime now);
  void EndProbe(MonotonicTime now);
  void StartProbe(MonotonicTime now);
  void RequestIndirectPings();
  void ExpireSuspects(MonotonicTime now);
  void RetryDead(MonotonicTime now);
  void PingListedAddresses();
  void PingSeeds(MonotonicTime now);
  void PingSeedsWhenAlone(MonotonicTime now);

  // Messages.
  GossipMessage Compose(GossipType type, const KnownMember* receiver);
  void Send(const PendingRequest& request, const Endpoint& to, const GossipMessage& message);
  void SendPing(Purpose purpose, const KnownMember& target, const EntryVmId& requester);
  void PingAddress(const Endpoint& to);
  void PushChanges();
  void Pull(const KnownMember& from);
  void AddChanges(GossipMessage& message);
  void AddPage(GossipMessage& reply, const EntryVmId& after) const;
  void ProcessMessage(MonotonicTime now, const GossipMessage& message);
  void HandleAck(MonotonicTime now, const PendingRequest& request, const GossipMessage& message);
  void HandlePage(const PendingRequest& request, const GossipMessage& message);
  void PingForRequester(const EntryVmId& requester, const GossipMessage& message);
  void CompareDigest(const GossipMessage& message);

  // Records.
  void Apply(MonotonicTime now, const MemberRecord& record, bool propagate);
  void MarkReplaced(MonotonicTime now, const EntryVmId& id);
  void RaiseIncarnation(uint64_t at_least);
  void QueueChange(const EntryVmId& id);
  uint32_t RetransmitLimit() const;
  std::vector<KnownMember*> RandomLive(size_t max_count, const EntryVmId& except);
  bool KnowsAddress(const Endpoint& peer) const;

  MembershipConfig config_;
  MemberRecord self_;
  MemberTable table_;
  std::mt19937_64 random_;
  // Ids of the records to gossip, with the number of times that each was sent.
  std::map<EntryVmId, uint32_t> queued_changes_;
  // Requests without an outcome yet.
  std::unordered_map<GossipTag, PendingRequest> pending_requests_;
  std::vector<MembershipAction> actions_;
  std::vector<EntryVmId> probe_round_;       // Members still to be pinged in this round.
  std::vector<EntryVmId> dead_retry_queue_;  // Dead members to ping again.
  std::vector<Endpoint> listed_addresses_;   // Peer addresses from the VM list.
  std::optional<Probe> probe_;               // The unanswered probe of this period, if any.
  MonotonicTime last_tick_;                  // To detect stalls of this process.
  MonotonicTime next_period_;                // When the next probe period begins.
  MonotonicTime next_dead_retry_;            // When the next dead member is pinged.
  MonotonicTime next_seed_retry_;            // When the next unknown seed is pinged.
  MonotonicTime next_alone_retry_;  // When seeds are pinged again if no other member is live.
  MonotonicTime last_change_;       // When the member list last changed.
  EntryVmId pull_cursor_;           // Id after which the next page begins.
  bool joining_ = true;             // The first complete member list has not been read yet.
  bool pull_pending_ = false;       // A page has been requested and has not arrived.
  bool departed_ = false;           // Depart() was called; messages get no replies any more.
  bool push_pending_ = false;       // A new change is waiting to be pushed.
  uint32_t push_tokens_ = 0;        // Pushes left in this period.
  // Consecutive messages with a differing digest. A pull sets it to kMismatchesToPull - 1, so that
  // the next differing digest leads to another pull at once.
  uint32_t digest_mismatches_ = 0;
  size_t next_listed_address_ = 0;  // Position in listed_addresses_.
  size_t next_seed_ = 0;            // Position in config_.seeds.
  GossipTag last_tag_ = 0;
  MembershipStats stats_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_MEMBERSHIP_H_
