// Every fault at every step of submit, accept, spread and start, on virtual time. Each cell runs,
// or is marked impossible with its reason; a checker watches what must always hold. Variants with
// a naive rule show that the checker catches what the rules are there for.

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <iostream>

#include "src/manifest/manifest_world.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Step {
  kLook,                   // Submit: read head and submission row.
  kStoreWhole,             // Submit: store the whole manifest.
  kTransaction,            // Accept.
  kHeadPoll,               // Spread: read the head row.
  kReadChanges,            // Spread: read the changes.
  kTellPeer,               // Spread with the platform down: tell another entry VM.
  kFetchFromPeer,          // Spread with the platform down: fetch from another entry VM.
  kStartHead,              // Start: read the head through a transaction.
  kStartWhole,             // Start: load the whole manifest.
  kStartChanges,           // Start: load the changes since.
  kStartAskFailureDomain,  // Start with the platform down: ask the entry VMs of the failure domain.
  kStartFetchPeer,         // Start with the platform down: fetch from an entry VM.
};
constexpr std::array kStepNames = {"look",           "store whole",      "transaction",
                                   "head poll",      "read changes",     "tell peer",
                                   "fetch peer",     "start: head",      "start: whole",
                                   "start: changes", "start: ask place", "start: fetch peer"};

enum class Fault {
  kKillBefore,
  kKillAfter,
  kPauseBefore,
  kPauseAfter,
  kCut,
  kSlow,
  kPlatformDown,
  kLostAnswer,
  kLateEffect,
  kOldRead,
  kRace,  // Another manifest is submitted while the step is held up.
};
constexpr std::array kFaultNames = {"kill before", "kill after", "pause before",  "pause after",
                                    "cut",         "slow",       "platform down", "lost answer",
                                    "late effect", "old read",   "race"};

bool IsSubmit(Step step) { return step <= Step::kTransaction; }
bool IsStart(Step step) { return step >= Step::kStartHead; }
bool IsPeerStep(Step step) {
  return step == Step::kTellPeer || step == Step::kFetchFromPeer ||
         step == Step::kStartAskFailureDomain || step == Step::kStartFetchPeer;
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
      return PlatformCall::kLook;
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
    case Fault::kCut:
      return PlatformFault::kCut;
    case Fault::kSlow:
      return PlatformFault::kSlow;
    case Fault::kPlatformDown:
      return PlatformFault::kDown;
    case Fault::kLostAnswer:
      return PlatformFault::kLostAnswer;
    case Fault::kLateEffect:
      return PlatformFault::kLateEffect;
    case Fault::kOldRead:
      return PlatformFault::kOldRead;
  }
  return PlatformFault::kNone;
}

PeerFault PeerFaultOf(Fault fault) {
  switch (fault) {
    case Fault::kKillBefore:
      return PeerFault::kKillPeer;
    case Fault::kKillAfter:
      return PeerFault::kKillAsker;
    case Fault::kPauseBefore:
      return PeerFault::kPausePeer;
    case Fault::kPauseAfter:
    case Fault::kRace:
      return PeerFault::kPauseAsker;
    case Fault::kCut:
      return PeerFault::kCut;
    case Fault::kSlow:
      return PeerFault::kSlow;
    case Fault::kLostAnswer:
      return PeerFault::kLostAnswer;
    default:
      return PeerFault::kNone;
  }
}

// Why a cell can't happen, or empty.
std::string Impossible(Step step, Fault fault) {
  if (IsPeerStep(step) && fault == Fault::kPlatformDown) {
    return "the platform is not asked at this step; it is down during the whole row";
  }
  if (IsPeerStep(step) && fault == Fault::kOldRead) {
    return "a peer answers from its own memory, which only grows";
  }
  if (IsPeerStep(step) && fault == Fault::kLateEffect) return "a question has no effect to be late";
  const bool write = step == Step::kStoreWhole || step == Step::kTransaction;
  if (!write && !IsPeerStep(step) && fault == Fault::kLateEffect) {
    return "a read has no effect to be late";
  }
  const bool transaction = write || step == Step::kLook || step == Step::kStartHead;
  if (transaction && fault == Fault::kOldRead) return "a condition is judged on the present state";
  return "";
}

// One run of one cell.
template <typename Tracker, typename Rules>
class Cell {
 public:
  using World = ManifestWorld<Tracker, Rules>;
  using EntryVm = typename World::EntryVm;

  Cell(Step step, Fault fault) : step_(step), fault_(fault) {}

  // What was broken; empty if all held.
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
      RunSpread();
    }
    Settle();
    return world_.broken;
  }

 private:
  // Accepts this many manifests without a fault.
  void Prepare(uint64_t revisions) {
    world_.loop.RunFor(seconds(1));
    for (uint64_t i = 0; i < revisions; ++i) {
      if (i + 1 == revisions) KeepOldState();
      world_.SubmitAndRun(Vm(0), "p" + std::to_string(i), i, static_cast<uint32_t>(1000 + i));
    }
    base_ = revisions;
  }

  void KeepOldState() {
    for (const auto& vm : world_.vms) vm->platform.KeepOldState();
    old_store_ = world_.store;
  }

  void RunSubmit() {
    Inject(Vm(0));
    world_.Submit(Vm(0), Main());
    world_.loop.RunFor(seconds(40));
  }

  // A manifest is accepted at the first entry VM and the fault hits the last one on its way to it.
  void RunSpread() {
    if (IsPeerStep(step_)) {
      for (const auto& vm : world_.vms) {
        if (vm != world_.vms[0]) vm->platform.Always(PlatformFault::kDown);
      }
    } else {
      Vm(3).peers.Isolate(true);
      Vm(3).platform.KeepOldState();
    }
    world_.Submit(Vm(0), Main());
    Inject(step_ == Step::kTellPeer ? Vm(0) : Vm(3));
    world_.loop.RunFor(milliseconds(20));
    if (IsPeerStep(step_)) Vm(0).platform.Always(PlatformFault::kDown);
    world_.loop.RunFor(seconds(40));
  }

  // A process without memory starts in a failure domain that has the latest revision.
  void RunStart() {
    if (IsPeerStep(step_)) {
      for (const auto& vm : world_.vms) vm->platform.Always(PlatformFault::kDown);
    }
    EntryVm& vm = world_.Start("riga-centrs");
    vm.platform.KeepOldState(old_store_);
    vm.platform.Always(IsPeerStep(step_) ? PlatformFault::kDown : PlatformFault::kNone);
    vm.peers.Isolate(!IsPeerStep(step_));
    Inject(vm);
    world_.loop.RunFor(seconds(40));
  }

  void Inject(EntryVm& vm) {
    EntryVm& rival = Vm(1);
    std::function<void()> task = [this, &rival] {
      if (fault_ == Fault::kRace) world_.Submit(rival, world_.Made("rival", base_, 1700));
    };
    if (IsPeerStep(step_)) {
      const bool fetch = step_ == Step::kFetchFromPeer || step_ == Step::kStartFetchPeer;
      const MessageKind kind = fetch ? MessageKind::kManifestFetch : MessageKind::kManifestHead;
      vm.peers.AtNext(kind, PeerFaultOf(fault_));
      vm.peers.RunAtNext(kind, Reached(task));
    } else {
      vm.platform.AtNext(CallOf(step_), PlatformFaultOf(fault_));
      vm.platform.RunAtNext(CallOf(step_), Reached(task));
    }
  }

  std::function<void()> Reached(std::function<void()> task) {
    return [this, task = std::move(task)] {
      reached_ = true;
      task();
    };
  }

  // The faults end, the pipeline asks again with the same id, and a new process starts.
  void Settle() {
    if (!reached_) world_.broken.insert("the step was not reached");
    for (const auto& vm : world_.vms) {
      vm->platform.Always(PlatformFault::kNone);
      vm->peers.Isolate(false);
    }
    world_.loop.RunFor(seconds(10));
    if (!IsStart(step_)) {
      world_.Submit(Vm(2), Main());
      world_.loop.RunFor(seconds(10));
      if (world_.answers["main"].empty() ||
          std::holds_alternative<NotSettled>(world_.answers["main"].back())) {
        world_.broken.insert("a repeat without a fault did not settle the submission");
      }
    }
    EntryVm& fresh = world_.Start("riga-centrs");
    world_.loop.RunFor(seconds(5));
    if (!fresh.follower.Ready()) world_.broken.insert("a new process without faults is not ready");
    if (!world_.AllHave(world_.AcceptedRevision())) {
      world_.broken.insert("an entry VM does not have the accepted revision");
    }
    world_.CheckAnswers();
  }

  Submission Main() { return world_.Made("main", base_, 1500); }
  EntryVm& Vm(size_t i) { return *world_.vms[i]; }

  Step step_;
  Fault fault_;
  World world_;
  uint64_t base_ = 0;
  PlatformStore old_store_;
  bool reached_ = false;
};

// Takes what the platform says at its word: ready at the first manifest, and follows a lower head.
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

// Switches to whatever head was read last, higher or lower.
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

// Says refused when the answer of the transaction is lost.
struct LostIsRefusedRules {
  static std::optional<SubmissionAnswer> AfterTransaction(const Submission& submission,
                                                          const PreparedAcceptance& prepared,
                                                          const CommitResult& result) {
    if (std::holds_alternative<PlatformError>(result)) return Refused{};
    return AcceptanceRules::AfterTransaction(submission, prepared, result);
  }
};

class ManifestFaultMatrixTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ManifestFaultMatrixTest);
  CPPUNIT_TEST(Manifest_UnderEveryFaultAtEveryStep_KeepsWhatMustHold);
  CPPUNIT_TEST(Checker_OfLostAnswersToldAsRefused_FindsIt);
  CPPUNIT_TEST(Checker_OfAStartOnAPlainRead_FindsIt);
  CPPUNIT_TEST(Checker_OfFollowingALowerHead_FindsIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Manifest_UnderEveryFaultAtEveryStep_KeepsWhatMustHold() {
    std::string found;
    size_t n_run = 0;
    size_t n_impossible = 0;
    for (size_t step = 0; step < kStepNames.size(); ++step) {
      for (size_t fault = 0; fault < kFaultNames.size(); ++fault) {
        if (!Impossible(static_cast<Step>(step), static_cast<Fault>(fault)).empty()) {
          ++n_impossible;
          continue;
        }
        ++n_run;
        found += Broken<RevisionTracker, AcceptanceRules>(step, fault);
      }
    }
    std::cout << " " << n_run << " cells run, " << n_impossible << " impossible" << std::flush;
    CPPUNIT_ASSERT_EQUAL(std::string(), found);
  }

  void Checker_OfLostAnswersToldAsRefused_FindsIt() {
    CPPUNIT_ASSERT((Finds<RevisionTracker, LostIsRefusedRules>(
        Step::kTransaction, Fault::kLostAnswer, "refused was said of one that took effect")));
  }

  void Checker_OfAStartOnAPlainRead_FindsIt() {
    CPPUNIT_ASSERT((Finds<TrustingTracker, AcceptanceRules>(
        Step::kHeadPoll, Fault::kOldRead, "ready with less than its place had", true)));
  }

  void Checker_OfFollowingALowerHead_FindsIt() {
    CPPUNIT_ASSERT((Finds<FollowingTracker, AcceptanceRules>(
        Step::kHeadPoll, Fault::kOldRead, "an entry VM went back to an earlier revision", true)));
  }

 private:
  template <typename Tracker, typename Rules>
  static std::string Broken(size_t step, size_t fault) {
    std::string found;
    Cell<Tracker, Rules> cell(static_cast<Step>(step), static_cast<Fault>(fault));
    for (const std::string& what : cell.Run()) {
      found += std::string("\n") + kStepNames[step] + " / " + kFaultNames[fault] + ": " + what;
    }
    return found;
  }

  // Whether a variant breaks this; with `old_reads`, all plain reads of a new process are old.
  template <typename Tracker, typename Rules>
  static bool Finds(Step step, Fault fault, const std::string& what, bool old_reads = false) {
    if (!old_reads) return Cell<Tracker, Rules>(step, fault).Run().count(what) > 0;
    ManifestWorld<Tracker, Rules> world;
    world.Start("riga-centrs");
    world.SubmitAndRun(*world.vms[0], "a", 0, 1000);
    const PlatformStore old = world.store;
    world.SubmitAndRun(*world.vms[0], "b", 1, 1001);
    world.Start("riga-centrs");
    for (const auto& vm : world.vms) {
      vm->platform.KeepOldState(old);
      vm->platform.Always(PlatformFault::kOldRead);
      vm->peers.Isolate(true);
    }
    world.loop.RunFor(seconds(10));
    return world.broken.count(what) > 0;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManifestFaultMatrixTest);

}  // namespace
}  // namespace cowsliphill
