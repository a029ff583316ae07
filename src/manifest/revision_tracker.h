// Decides which revision comes into force at this entry VM, where it is fetched from, and when the
// entry VM is ready. Pure: events in, actions out; manifest_follower.h does the I/O.
//
// The rules:
//   1. The revision in force only grows, whatever the platform or a peer says.
//   2. A manifest comes into force only whole and with the digest of its revision.
//   3. A new process knows nothing. It is ready once it has in force the highest revision that it
//      has heard of, and it has heard it from a source that can't be old:
//        - the platform, read through a transaction (a plain read may be old), or
//        - every listed entry VM of its own failure domain, at least one of them ready.
//      Otherwise it isn't ready and goes on asking; it never guesses.
//   4. Once ready it stays ready: with the platform down it serves under the revision it has.

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
  EntryVmId id;                                // Of this process.
  FailureDomainId failure_domain;              // Of this process.
  std::chrono::milliseconds head_poll{500};    // Between reads of the platform's head row.
  std::chrono::milliseconds gossip{1000};      // Between questions to another entry VM, once ready.
  std::chrono::milliseconds start_poll{250};   // Between questions to other entry VMs, until ready.
  std::chrono::milliseconds fetch_retry{200};  // After a failed fetch.
  std::chrono::milliseconds settle{1000};      // From start until the list of members is trusted.
  std::chrono::milliseconds answer_age{3000};  // Age up to which a peer's answer makes ready.
  std::chrono::milliseconds lag_alarm{5000};   // Time to follow a switch, then it is an alarm.
  std::chrono::milliseconds silence_alarm{60000};  // Of all entry VMs of a failure domain.
  size_t fan_out = 4;                              // Entry VMs told at once of a new revision.
  size_t start_fan_out = 8;  // Entry VMs of other failure domains asked until ready.
  uint64_t seed = 1;         // Of the random choice among entry VMs.
};

// Events. Each ReadHead, AskPeer and Fetch action is answered by exactly one of them.
struct HeadRead {
  std::optional<ManifestHead> head;  // nullopt: nothing was ever accepted.
  bool certain = false;              // Read through a transaction.
};
struct HeadFailed {};
struct PeerHeadSeen {
  RevisionStatus head;
};
struct PeerSilent {
  EntryVmId id;
};
struct MembersSeen {
  std::vector<Member> members;  // May contain this process itself.
};
struct FetchDone {
  ManifestHead head;  // Its manifest is at hand, with the right digest.
};
struct FetchFailed {
  bool corrupt = false;  // The digest differed: the next try takes the whole manifest.
};
struct AcceptedHere {
  ManifestHead head;  // Accepted by this process, which has its manifest at hand.
};
struct TimePassed {};
using TrackerEvent = std::variant<HeadRead, HeadFailed, PeerHeadSeen, PeerSilent, MembersSeen,
                                  FetchDone, FetchFailed, AcceptedHere, TimePassed>;

// Actions.
struct ReadHead {
  bool certain = false;  // Through a transaction.
};
struct AskPeer {
  EntryVmId id;
  Endpoint peer;
};
struct FetchFromPlatform {
  ManifestHead target;
  bool whole = false;  // Don't build on the manifest in force.
};
struct FetchFromPeer {
  EntryVmId id;
  Endpoint peer;
  bool whole = false;  // Don't build on the manifest in force.
};
struct PutInForce {
  ManifestHead head;  // Of the FetchDone or AcceptedHere that this answers.
};
using TrackerAction = std::variant<ReadHead, AskPeer, FetchFromPlatform, FetchFromPeer, PutInForce>;

struct TrackerCounters {
  uint64_t old_reads = 0;        // Heads of the platform below what was known already.
  uint64_t platform_behind = 0;  // Certain reads below the revision in force: data were lost.
  uint64_t diverged = 0;         // The same revision with another digest.
  uint64_t failed_fetches = 0;
  uint64_t corrupt_fetches = 0;
  uint64_t lower_ignored =
      0;  // Fetched or accepted revisions that were not above the one in force.
};

// What this process knows of another entry VM's manifest.
struct PeerRevision {
  EntryVmId id;
  FailureDomainId failure_domain;
  uint64_t revision = 0;              // 0: none, or not heard yet.
  std::optional<Duration> heard_ago;  // nullopt: not heard yet.
};

struct FailureDomainLag {
  FailureDomainId failure_domain;
  uint64_t lowest_revision = 0;  // Among its entry VMs, as last heard; at most ours.
  Duration silent_for{};         // Since any of its entry VMs was heard.
  bool alarm = false;            // One said that it is behind, lag_alarm after our switch or later,
                                 // or none was heard for silence_alarm.
};

struct TrackerView {
  ManifestHead in_force;
  uint64_t highest_known = 0;
  bool ready = false;
  std::string waiting_for;  // Why it isn't ready; empty when it is.
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
  RevisionStatus OwnHead() const;
  TrackerView View(MonotonicTime now) const;

 private:
  struct Peer {
    Member member;
    std::optional<RevisionStatus> head;
    MonotonicTime heard;     // Time of `head`.
    MonotonicTime listed;    // First seen among the members.
    bool asked = false;      // A question is open.
    MonotonicTime asked_at;  // Of the last question.
    bool may_fetch = true;   // False after a failed fetch, until it is heard again.
  };

  void Handle(const HeadRead& event);
  void Handle(const HeadFailed& event);
  void Handle(const PeerHeadSeen& event);
  void Handle(const PeerSilent& event);
  void Handle(const MembersSeen& event);
  void Handle(const FetchDone& event);
  void Handle(const FetchFailed& event);
  void Handle(const AcceptedHere& event);
  void Handle(const TimePassed& event);

  void Learn(uint64_t revision);
  void Advance(const ManifestHead& head);
  void Ask(Peer& peer);
  void AskAtStart();
  void AskSome(size_t most);
  Peer* LeastAskedBehind();
  void Fetch();
  Peer* BestPeer();
  void UpdateReady();
  std::string WaitingFor(MonotonicTime now) const;
  std::string FailureDomainSilence(MonotonicTime now) const;
  std::vector<Peer*> Shuffled(bool own_failure_domain);
  void AddToFailureDomain(const Peer& peer, MonotonicTime now,
                          std::map<FailureDomainId, FailureDomainLag>& failure_domains) const;

  TrackerOptions options_;
  std::mt19937_64 random_;
  std::map<EntryVmId, Peer> peers_;
  ManifestHead in_force_;
  MonotonicTime in_force_since_;
  std::optional<ManifestHead> platform_head_;  // Highest read from the platform.
  uint64_t highest_known_ = 0;
  bool certain_ = false;           // The platform's head was read through a transaction.
  bool platform_answers_ = false;  // Its last call was answered.
  bool ready_ = false;
  bool reading_head_ = false;
  bool fetching_ = false;
  bool fetching_from_platform_ = false;
  EntryVmId fetching_from_;  // When from a peer.
  bool fetch_whole_ = false;
  bool ask_behind_ = false;  // Whether the next question goes to one that is behind.
  MonotonicTime next_read_;
  MonotonicTime next_ask_;
  MonotonicTime next_fetch_;
  std::optional<MonotonicTime> started_;  // Time of the first event.
  MonotonicTime now_;                     // Of the event at hand.
  TrackerCounters counters_;
  std::vector<TrackerAction> actions_;  // For the event at hand.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_REVISION_TRACKER_H_
