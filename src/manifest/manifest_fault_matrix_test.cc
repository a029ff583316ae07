// Injects every fault at every step of submission, acceptance, distribution and startup, on virtual
// time. Each cell of the matrix either runs or is marked impossible with a reason. Variants with a
// faulty rule verify that the checker detects the violation that the real rule prevents.

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <iostream>

#include "src/manifest/manifest_world.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Step {
  kConsistentRead,           // Submission: read the head and submission rows.
  kStoreWhole,               // Submission: store the whole manifest.
  kTransaction,              // Acceptance: commit the transaction.
  kHeadPoll,                 // Distribution: read the head row.
  kReadChanges,              // Distribution: read the changes.
  kNotifyPeer,               // Distribution with the platform down: notify another entry VM.
  kFetchFromPeer,            // Distribution with the platform down: fetch from a peer.
  kStartHead,                // Startup: read the head through a transaction.
  kStartWhole,               // Startup: load the whole manifest.
  kStartChanges,             // Startup: load the changes since the whole manifest.
  kStartQueryFailureDomain,  // Startup with the platform down: query the failure domain's entry
                             // VMs.
  kStartFetchPeer,           // Startup with the platform down: fetch from a peer.
};
constexpr std::array kStepNames = {"look",           "store whole",        "transaction",
                                   "head poll",      "read changes",       "notify peer",
                                   "fetch peer",     "start: head",        "start: whole",
                                   "start: changes", "start: query peers", "start: fetch peer"};

enum class Fault {
  kKillBefore,
  kKillAfter,
  kPauseBefore,
  kPauseAfter,
  kLostRequest,
  kSlow,
  kPlatformDown,
  kLostAnswer,
  kLateEffect,
  kStaleRead,
  kRace,  // Another manifest is submitted while the step is delayed.
};
constexpr std::array kFaultNames = {"kill before", "kill after", "pause before",  "pause after",
                                    "cut",         "slow",       "platform down", "lost answer",
                                    "late effect", "stale read", "race"};

bool IsSubmit(Step step) { return step <= Step::kTransaction; }
bool IsStart(Step step) { return step >= Step::kStartHead; }
bool IsPeerStep(Step step) {
  return step == Step::kNotifyPeer || step == Step::kFetchFromPeer ||
         step == Step::kStartQueryFailureDomain || step == Step::kStartFetchPeer;
}

PlatformCall CallOf(Step step) {
  switch (step) {
    case Step::kStoreWhole:
      return PlatformCall::kPutObject;
    case Step::kTransaction:
      return PlatformCall::kCommit;
    case Step::kHeadPoll:
      return PlatformCall::kGet;
    case Step::kReadChanges:
    case Step::kStartChanges:
      return PlatformCall::kScan;
    case Step::kStartWhole:
      return PlatformCall::kGetObject;
    default:
      return PlatformCall::kConsistentRead;
  }
}

PlatformFault PlatformFaultOf(Fault fault) {
  switch (fault) {
    case Fault::kKillBefore:
      return PlatformFault::kKillBefore;
    case Fault::kKillAfter:
      return PlatformFault::kKillAfter;
    case Fault::kPauseBefore:
    case Fault::kRace:
      return PlatformFault::kPauseBefore;
    case Fault::kPauseAfter:
      return PlatformFault::kPauseAfter;
    case Fault::kLostRequest:
      return PlatformFault::kLostRequest;
    case Fault::kSlow:
      return PlatformFault::kSlow;
    case Fault::kPlatformDown:
      return PlatformFault::kDown;
    case Fault::kLostAnswer:
      return PlatformFault::kLostAnswer;
    case Fault::kLateEffect:
      return PlatformFault::kLateEffect;
    case Fault::kStaleRead:
      return PlatformFault::kStaleRead;
  }
  return PlatformFault::kNone;
}

PeerFault PeerFaultOf(Fault fault) {
  switch (fault) {
    case Fault::kKillBefore:
      return PeerFault::kKillPeer;
    case Fault::kKillAfter:
      return PeerFault::kKillRequester;
    case Fault::kPauseBefore:
      return PeerFault::kPausePeer;
    case Fault::kPauseAfter:
    case Fault::kRace:
      return PeerFault::kPauseRequester;
    case Fault::kLostRequest:
      return PeerFault::kLostRequest;
    case Fault::kSlow:
      return PeerFault::kSlow;
    case Fault::kLostAnswer:
      return PeerFault::kLostAnswer;
    default:
      return PeerFault::kNone;
  }
}

// Returns why the cell can't occur; empty if it can.
std::string ImpossibleReason(Step step, Fault fault) {
  if (IsPeerStep(step) && fault == Fault::kPlatformDown) {
    return "this step doesn't call the platform, which is down throughout";
  }
  if (IsPeerStep(step) && fault == Fault::kStaleRead) {
    return "a peer answers from memory, where its revision never decreases";
  }
  if (IsPeerStep(step) && fault == Fault::kLateEffect) return "a peer request has no late effect";
  const bool write = step == Step::kStoreWhole || step == Step::kTransaction;
  if (!write && !IsPeerStep(step) && fault == Fault::kLateEffect) {
    return "a read has no late effect";
  }
  const bool transaction = write || step == Step::kConsistentRead || step == Step::kStartHead;
  if (transaction && fault == Fault::kStaleRead) return "a transaction checks the present state";
  return "";
}

// Runs one cell of the matrix.
template <typename Tracker, typename Rules>
class Cell {
 public:
  using World = ManifestWorld<Tracker, Rules>;
  using EntryVm = typename World::EntryVm;

  Cell(Step step, Fault fault) : step_(step), fault_(fault) {}

  // Returns the violated invariants.
  std::set<std::string> Run() {
    for (const char* failure_domain : {"riga-centrs", "jelgava-dc", "riga-centrs", "jelgava-dc"}) {
      world_.Start(failure_domain);
    }
    if (IsSubmit(step_)) {
      Prepare(0);
      RunSubmit();
    } else if (IsStart(step_)) {
      Prepare(2);
      RunStart();
    } else {
      Prepare(1);
      RunDistribution();
    }
    SettleAndCheck();
    return world_.violations;
  }

 private:
  // Has manifests accepted up to revision `revisions` while no fault is injected. Saves the store's
  // state before the last one, for stale reads.
  void Prepare(uint64_t revisions) {
    world_.loop.RunFor(seconds(1));
    for (uint64_t i = 0; i < revisions; ++i) {
      if (i + 1 == revisions) KeepStaleState();
      world_.SubmitAndRun(Vm(0), "p" + std::to_string(i), i, static_cast<uint32_t>(1000 + i));
    }
    base_ = revisions;
  }

  void KeepStaleState() {
    for (const auto& vm : world_.vms) vm->platform.KeepStaleState();
    stale_store_ = world_.store;
  }

  void RunSubmit() {
    Inject(Vm(0));
    world_.Submit(Vm(0), MainSubmission());
    world_.loop.RunFor(seconds(40));
  }

  // The first entry VM accepts a manifest. The fault hits the distribution to the last entry VM.
  void RunDistribution() {
    if (IsPeerStep(step_)) {
      for (const auto& vm : world_.vms) {
        if (vm != world_.vms[0]) vm->platform.FailAll(PlatformFault::kDown);
      }
    } else {
      Vm(3).peers.Isolate(true);
      Vm(3).platform.KeepStaleState();
    }
    world_.Submit(Vm(0), MainSubmission());
    Inject(step_ == Step::kNotifyPeer ? Vm(0) : Vm(3));
    world_.loop.RunFor(milliseconds(20));
    if (IsPeerStep(step_)) Vm(0).platform.FailAll(PlatformFault::kDown);
    world_.loop.RunFor(seconds(40));
  }

  // A new process starts in a failure domain that has the latest revision in force.
  void RunStart() {
    if (IsPeerStep(step_)) {
      for (const auto& vm : world_.vms) vm->platform.FailAll(PlatformFault::kDown);
    }
    EntryVm& vm = world_.Start("riga-centrs");
    vm.platform.KeepStaleState(stale_store_);
    vm.platform.FailAll(IsPeerStep(step_) ? PlatformFault::kDown : PlatformFault::kNone);
    vm.peers.Isolate(!IsPeerStep(step_));
    Inject(vm);
    world_.loop.RunFor(seconds(40));
  }

  void Inject(EntryVm& vm) {
    EntryVm& rival = Vm(1);
    std::function<void()> task = [this, &rival] {
      if (fault_ == Fault::kRace) world_.Submit(rival, world_.MakeSubmission("rival", base_, 1700));
    };
    if (IsPeerStep(step_)) {
      const bool fetch = step_ == Step::kFetchFromPeer || step_ == Step::kStartFetchPeer;
      const MessageKind kind = fetch ? MessageKind::kManifestFetch : MessageKind::kManifestHead;
      vm.peers.FailNext(kind, PeerFaultOf(fault_));
      vm.peers.RunBeforeNext(kind, Reached(task));
    } else {
      vm.platform.FailNext(CallOf(step_), PlatformFaultOf(fault_));
      vm.platform.RunBeforeNext(CallOf(step_), Reached(task));
    }
  }

  std::function<void()> Reached(std::function<void()> task) {
    return [this, task = std::move(task)] {
      reached_ = true;
      task();
    };
  }

  // Ends all faults, repeats the submission with the same id and starts a new process; then checks
  // the invariants.
  void SettleAndCheck() {
    if (!reached_) world_.violations.insert("the run did not reach the step");
    for (const auto& vm : world_.vms) {
      vm->platform.FailAll(PlatformFault::kNone);
      vm->peers.Isolate(false);
    }
    world_.loop.RunFor(seconds(10));
    if (!IsStart(step_)) {
      world_.Submit(Vm(2), MainSubmission());
      world_.loop.RunFor(seconds(10));
      if (world_.answers["main"].empty() ||
          std::holds_alternative<Undetermined>(world_.answers["main"].back())) {
        world_.violations.insert("a repeat without faults left the outcome undetermined");
      }
    }
    EntryVm& fresh = world_.Start("riga-centrs");
    world_.loop.RunFor(seconds(5));
    if (!fresh.follower.Ready()) world_.violations.insert("a new process did not get ready");
    if (!world_.AllHaveInForce(world_.AcceptedRevision())) {
      world_.violations.insert("an entry VM does not have the accepted revision");
    }
    world_.CheckAnswers();
  }

  Submission MainSubmission() { return world_.MakeSubmission("main", base_, 1500); }
  EntryVm& Vm(size_t i) { return *world_.vms[i]; }

  Step step_;
  Fault fault_;
  World world_;
  uint64_t base_ = 0;
  MemoryPlatformState stale_store_;
  bool reached_ = false;
};

// Faulty variant: reads the head with plain reads only and is ready with the first manifest.
class TrustingTracker : public RevisionTracker {
 public:
  using RevisionTracker::RevisionTracker;

  std::vector<TrackerAction> On(const TrackerEvent& event, MonotonicTime now) {
    const auto* done = std::get_if<FetchDone>(&event);
    if (done != nullptr) has_manifest_ = true;
    std::vector<TrackerAction> actions = RevisionTracker::On(event, now);
    for (TrackerAction& action : actions) {
      if (std::holds_alternative<ReadHead>(action)) action = ReadHead{false};
    }
    return actions;
  }
  bool Ready() const { return has_manifest_; }

 private:
  bool has_manifest_ = false;
};

// Faulty variant: also switches to a head that is lower than the one in force.
class FollowingTracker : public TrustingTracker {
 public:
  using TrustingTracker::TrustingTracker;

  std::vector<TrackerAction> On(const TrackerEvent& event, MonotonicTime now) {
    const auto* read = std::get_if<HeadRead>(&event);
    const bool lower = read != nullptr && read->head &&
                       read->head->accepted.revision < InForce().accepted.revision;
    if (lower) return {FetchFromPlatform{*read->head, true}};
    const auto* done = std::get_if<FetchDone>(&event);
    if (done != nullptr && done->head.accepted.revision < InForce().accepted.revision) {
      return {PutInForce{done->head}};
    }
    return TrustingTracker::On(event, now);
  }
};

// Faulty variant: answers Refused when the outcome of the transaction is unknown.
struct LostAnswerIsRefusedRules {
  static std::optional<SubmissionAnswer> AfterTransaction(const Submission& submission,
                                                          const PreparedAcceptance& prepared,
                                                          const CommitResult& result) {
    if (std::holds_alternative<PlatformError>(result)) return Refused{};
    return AcceptanceRules::AfterTransaction(submission, prepared, result);
  }
};

class ManifestFaultMatrixTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ManifestFaultMatrixTest);
  CPPUNIT_TEST(Manifest_UnderEveryFaultAtEveryStep_KeepsItsInvariants);
  CPPUNIT_TEST(Checker_OfLostAnswersReportedAsRefused_ReportsTheViolation);
  CPPUNIT_TEST(Checker_OfAStartOnAPlainRead_ReportsTheViolation);
  CPPUNIT_TEST(Checker_OfFollowingALowerHead_ReportsTheViolation);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Manifest_UnderEveryFaultAtEveryStep_KeepsItsInvariants() {
    std::string found;
    size_t n_run = 0;
    size_t n_impossible = 0;
    for (size_t step = 0; step < kStepNames.size(); ++step) {
      for (size_t fault = 0; fault < kFaultNames.size(); ++fault) {
        if (!ImpossibleReason(static_cast<Step>(step), static_cast<Fault>(fault)).empty()) {
          ++n_impossible;
          continue;
        }
        ++n_run;
        found += Violations<RevisionTracker, AcceptanceRules>(step, fault);
      }
    }
    std::cout << " " << n_run << " cells run, " << n_impossible << " impossible" << std::flush;
    CPPUNIT_ASSERT_EQUAL(std::string(), found);
  }

  void Checker_OfLostAnswersReportedAsRefused_ReportsTheViolation() {
    CPPUNIT_ASSERT((Detects<RevisionTracker, LostAnswerIsRefusedRules>(
        Step::kTransaction, Fault::kLostAnswer, "a refused submission took effect")));
  }

  void Checker_OfAStartOnAPlainRead_ReportsTheViolation() {
    CPPUNIT_ASSERT((Detects<TrustingTracker, AcceptanceRules>(
        Step::kHeadPoll, Fault::kStaleRead, "ready at too low a revision", true)));
  }

  void Checker_OfFollowingALowerHead_ReportsTheViolation() {
    CPPUNIT_ASSERT((Detects<FollowingTracker, AcceptanceRules>(
        Step::kHeadPoll, Fault::kStaleRead, "an entry VM's revision decreased", true)));
  }

 private:
  template <typename Tracker, typename Rules>
  static std::string Violations(size_t step, size_t fault) {
    std::string found;
    Cell<Tracker, Rules> cell(static_cast<Step>(step), static_cast<Fault>(fault));
    for (const std::string& violation : cell.Run()) {
      found += std::string("\n") + kStepNames[step] + " / " + kFaultNames[fault] + ": " + violation;
    }
    return found;
  }

  // Whether the checker reports this violation for a variant. With `stale_reads`, all plain reads
  // are stale.
  template <typename Tracker, typename Rules>
  static bool Detects(Step step, Fault fault, const std::string& violation,
                      bool stale_reads = false) {
    if (!stale_reads) return Cell<Tracker, Rules>(step, fault).Run().count(violation) > 0;
    ManifestWorld<Tracker, Rules> world;
    world.Start("riga-centrs");
    world.SubmitAndRun(*world.vms[0], "a", 0, 1000);
    const MemoryPlatformState stale = world.store;
    world.SubmitAndRun(*world.vms[0], "b", 1, 1001);
    world.Start("riga-centrs");
    for (const auto& vm : world.vms) {
      vm->platform.KeepStaleState(stale);
      vm->platform.FailAll(PlatformFault::kStaleRead);
      vm->peers.Isolate(true);
    }
    world.loop.RunFor(seconds(10));
    return world.violations.count(violation) > 0;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManifestFaultMatrixTest);

}  // namespace
}  // namespace cowsliphill
