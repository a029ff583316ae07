// Decides which revision comes into force at this entry VM, where it is fetched from, and when the
// entry VM is ready to serve. This is a pure state machine: events in, actions out;
// manifest_follower.h does the I/O.
//
// The rules:
//   1. The revision in force never decreases, whatever the platform or a peer reports.
//   2. A manifest comes into force only when it is complete and has the digest of its revision.
//   3. A new process starts without a revision. It is ready once the highest revision that it
//      knows of is in force, and a source that can't be stale has answered:
//        - the platform, read through a transaction (a plain read may be stale), or
//        - every listed entry VM of its own failure domain, with at least one of them ready.
//      Until then it isn't ready and keeps querying.
//   4. A ready process stays ready: while the platform is down it serves under the revision that it
//      has in force.

#ifndef COWSLIPHILL_MANIFEST_REVISION_TRACKER_H_
#define COWSLIPHILL_MANIFEST_REVISION_TRACKER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/manifest/manifest_codec.h"
#include "src/members/peer.h"

namespace cowsliphill {

struct TrackerOptions {
  EntryVmId id;                    // Id of this process.
  FailureDomainId failure_domain;  // Failure domain of this process.
  // Interval between reads of the platform's head row.
  std::chrono::milliseconds head_poll_interval{500};
  std::chrono::milliseconds query_interval{1000};  // Interval between queries to peers once ready.
  // Interval between queries to peers until ready.
  std::chrono::milliseconds startup_query_interval{250};
  std::chrono::milliseconds fetch_retry_delay{200};  // Delay after a failed fetch.
  // Time from start until the member list counts as complete.
  std::chrono::milliseconds member_list_settle_time{1000};
  // Older peer answers don't count towards readiness.
  std::chrono::milliseconds max_answer_age{3000};
  // A lower revision that a peer reports more than this time after this entry VM's last switch to a
  // new revision raises an alarm.
  std::chrono::milliseconds lag_alarm_delay{5000};
  // An alarm is raised if no entry VM of a failure domain has reported for longer than this.
  std::chrono::milliseconds silence_alarm_delay{60000};
  // Peers queried right after a switch; a query carries the new revision, so they learn of it.
  size_t query_fan_out = 4;
  size_t startup_fan_out = 8;  // Peers of other failure domains queried at a time until ready.
  uint64_t seed = 1;           // Seed of the random choice among peers.
};

// Events. Each ReadHead, QueryPeer, FetchFromPlatform and FetchFromPeer action is answered by
// exactly one of them.
struct HeadRead {
  std::optional<ManifestHead> head;  // nullopt if no manifest has been accepted yet.
  bool consistent = false;           // Read through a transaction, so it can't be stale.
};
struct HeadFailed {};
struct PeerStatusReceived {
  RevisionStatus status;
};
struct PeerRequestFailed {
  EntryVmId id;  // Peer that did not answer validly, or was replaced by another process.
};
struct MembersUpdated {
  std::vector<Member> members;  // May include this process.
};
struct FetchDone {
  ManifestHead head;  // Head of the fetched manifest, whose digest was verified.
};
struct FetchFailed {
  bool corrupt = false;  // Malformed or wrong digest; the next fetch requests the whole manifest.
};
struct AcceptedHere {
  ManifestHead head;  // Head of a manifest that this process accepted and holds in memory.
};
struct TimerTick {};
using TrackerEvent = std::variant<HeadRead, HeadFailed, PeerStatusReceived, PeerRequestFailed,
                                  MembersUpdated, FetchDone, FetchFailed, AcceptedHere, TimerTick>;

// Actions.
struct ReadHead {
  bool consistent = false;  // Read through a transaction instead of a plain read.
};
struct QueryPeer {
  EntryVmId id;
  Endpoint peer;
};
struct FetchFromPlatform {
  ManifestHead target;
  bool whole = false;  // Fetch from scratch instead of applying changes to the manifest in force.
};
struct FetchFromPeer {
  EntryVmId id;
  Endpoint peer;
  bool whole = false;  // Fetch from scratch instead of applying changes to the manifest in force.
};
struct PutInForce {
  ManifestHead head;  // Head from the FetchDone or AcceptedHere event that caused this action.
};
using TrackerAction =
    std::variant<ReadHead, QueryPeer, FetchFromPlatform, FetchFromPeer, PutInForce>;

struct TrackerCounters {
  uint64_t stale_reads = 0;  // Plain reads of the head row below `highest_known`.
  // Consistent reads below the revision in force: the platform lost data.
  uint64_t platform_behind = 0;
  uint64_t diverged = 0;  // Reports of the revision in force with a different digest.
  uint64_t failed_fetches = 0;
  uint64_t corrupt_fetches = 0;
  uint64_t ignored_not_newer = 0;  // Fetched or accepted revisions not above the one in force.
};

// Revision in force at another entry VM, as last reported by it.
struct PeerRevision {
  EntryVmId id;
  FailureDomainId failure_domain;
  uint64_t revision = 0;  // 0 if it has none or has not reported yet.
  // Age of its last report; nullopt if it has not reported yet.
  std::optional<Duration> report_age;
};

struct FailureDomainLag {
  FailureDomainId failure_domain;
  // Lowest last reported revision of its entry VMs, at most the local one.
  uint64_t lowest_revision = 0;
  Duration silent_for{};  // Time since the last report from any of its entry VMs.
  bool alarm = false;  // An entry VM reported a lower revision more than lag_alarm_delay after the
                       // local switch, or none reported for silence_alarm_delay.
};

struct TrackerView {
  ManifestHead in_force;
  uint64_t highest_known = 0;
  bool ready = false;
  std::string waiting_for;  // Reason why this process isn't ready; empty if it is.
  std::vector<PeerRevision> peers;
  std::vector<FailureDomainLag> failure_domains;
  TrackerCounters counters;
};

class RevisionTracker {
 public:
  explicit RevisionTracker(TrackerOptions options);

  std::vector<TrackerAction> On(const TrackerEvent& event, MonotonicTime now);

  const ManifestHead& InForce() const { return in_force_; }
  bool Ready() const { return ready_; }
  RevisionStatus OwnStatus() const;
  TrackerView View(MonotonicTime now) const;

 private:
  struct Peer {
    Member member;
    std::optional<RevisionStatus> status;  // Last report of the peer.
    MonotonicTime received_at;             // Time at which `status` was received.
    MonotonicTime first_listed;            // Time at which it first appeared in the member list.
    bool query_pending = false;            // A query is outstanding.
    MonotonicTime last_queried;            // When this entry VM last queried the peer.
    bool can_fetch_from = true;            // False from a failed fetch until its next report.
  };

  void Handle(const HeadRead& event);
  void Handle(const HeadFailed& event);
  void Handle(const PeerStatusReceived& event);
  void Handle(const PeerRequestFailed& event);
  void Handle(const MembersUpdated& event);
  void Handle(const FetchDone& event);
  void Handle(const FetchFailed& event);
  void Handle(const AcceptedHere& event);
  void Handle(const TimerTick& event);

  void RaiseHighestKnown(uint64_t revision);
  void AdvanceTo(const ManifestHead& head);
  void Query(Peer& peer);
  void QueryAtStartup();
  void QueryRandomPeers(size_t max_queries);
  Peer* LeastRecentlyQueriedLaggingPeer();
  void StartFetch();
  Peer* BestPeer();
  void UpdateReady();
  std::string NotReadyReason(MonotonicTime now) const;
  std::string MissingPeerAnswers(MonotonicTime now) const;
  std::vector<Peer*> ShuffledPeers(bool own_failure_domain);
  void AddToFailureDomainLag(const Peer& peer, MonotonicTime now,
                             std::map<FailureDomainId, FailureDomainLag>& failure_domains) const;

  TrackerOptions options_;
  std::mt19937_64 random_;
  std::map<EntryVmId, Peer> peers_;
  ManifestHead in_force_;
  MonotonicTime in_force_since_;
  std::optional<ManifestHead> platform_head_;  // Highest head read from the platform.
  uint64_t highest_known_ = 0;
  // Whether the platform's head was read through a transaction.
  bool consistent_read_done_ = false;
  // False before the first read of the head row, and after a failed read or fetch until a read
  // succeeds.
  bool platform_reachable_ = false;
  bool ready_ = false;
  bool reading_head_ = false;
  bool fetching_ = false;
  bool fetching_from_platform_ = false;
  EntryVmId fetching_from_;  // Peer of the present fetch, unless it is from the platform.
  bool fetch_whole_ = false;
  // Whether the last call of QueryRandomPeers() put a lagging peer first; alternates.
  bool lagging_peer_first_ = false;
  MonotonicTime next_read_;
  MonotonicTime next_query_;
  MonotonicTime next_fetch_;
  std::optional<MonotonicTime> started_;  // Time of the first event.
  MonotonicTime now_;                     // Time of the event being processed.
  TrackerCounters counters_;
  std::vector<TrackerAction> actions_;  // Actions of the event being processed.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_REVISION_TRACKER_H_
