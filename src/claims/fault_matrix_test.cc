// Fault matrix of the claim protocol: every fault at every step, on virtual time. Entry VMs "a",
// "b" and "c" share one table and one backend server. The fault hits "a"; the caller repeats
// through "b"; when all is quiet, a last repeat goes through "c". A checker then compares the
// backend server's journal with what the callers were told.
//
// COWSLIPHILL_MATRIX_SEEDS=N runs each cell with N seeds instead of the fixed few.

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdlib>
#include <map>
#include <queue>
#include <set>

#include "src/claims/claim_keeper.h"
#include "src/claims/grouped_table.h"
#include "src/storage/memory_platform.h"

namespace cowsliphill {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

enum Step {
  kClaimWrite,
  kReadBack,
  kSecondWrite,
  kReclaimWrite,
  kSend,
  kReceive,
  kFinishWrite,
  kSettleWrite,
  kStepCount
};
constexpr std::array<const char*, kStepCount> kStepNames = {
    "claim write",     "read back",        "second write", "write over a not-run row",
    "send to backend", "backend's answer", "finish write", "settle write"};

enum Fault {
  kKill,
  kPause,
  kLostAnswer,
  kSlow,
  kCut,
  kSilent,
  kPlatformDown,
  kDownAfterEffect,
  kDuplicateCaller,
  kRacingEntryVm,
  kFaultCount
};
constexpr std::array<const char*, kFaultCount> kFaultNames = {"kill",
                                                              "pause",
                                                              "lost answer",
                                                              "slow",
                                                              "cut",
                                                              "silent connection",
                                                              "platform down",
                                                              "platform answer lost after effect",
                                                              "duplicate caller",
                                                              "racing entry VM"};

// Why a cell can't happen; nothing for cells that are run.
const char* Impossible(Step step, Fault fault) {
  if (step == kSend && fault == kLostAnswer) return "nothing answers while bytes leave";
  if (step == kSend && fault == kDownAfterEffect) return "the platform is not called here";
  if (step == kReceive && fault == kDownAfterEffect) return "the platform is not called here";
  return nullptr;
}

// Faults that lead to a step which a run without faults does not reach.
std::map<Step, Fault> WayTo(Step step) {
  if (step == kReadBack) return {{kClaimWrite, kLostAnswer}};
  if (step == kSecondWrite) return {{kClaimWrite, kSilent}};
  if (step == kSettleWrite) return {{kClaimWrite, kCut}, {kReadBack, kSilent}};
  return {};
}

constexpr Duration kTableTimeout = seconds(1);
constexpr Duration kDeadline = seconds(4);
constexpr Duration kLongPause = seconds(90);  // Past the deadline and the grace.
constexpr Duration kOutage = seconds(20);
constexpr Duration kQuiet = seconds(400);

enum class Told { kRan, kNotRun, kRepeat, kStillRunning, kUnknown, kOther };

struct Word {
  std::string request;  // Of the try.
  Told told = Told::kOther;
  std::string first;  // Request that the answer names, and its body.
  std::string body;
};

struct Journal {
  std::vector<std::string> runs;  // Requests that truly ran, in order.
};

// Virtual time. Events of a paused process wait for its end; those of a killed one vanish.
class Schedule {
 public:
  using Task = std::function<void()>;
  void At(Duration delay, const std::string& process, Task task) {
    events_.emplace(std::pair(clock.Now() + delay, ++last_), std::pair(process, std::move(task)));
  }
  void Pause(const std::string& process) { paused_[process] = clock.Now() + kLongPause; }
  void Kill(const std::string& process) { killed_.insert(process); }
  bool Killed(const std::string& process) const { return killed_.count(process) != 0; }
  bool Runs(const std::string& process) const {
    const auto it = paused_.find(process);
    return !Killed(process) && (it == paused_.end() || it->second <= clock.Now());
  }
  std::optional<MonotonicTime> Next() const {
    if (events_.empty()) return std::nullopt;
    return events_.begin()->first.first;
  }
  void RunNext() {
    auto [process, task] = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    if (Killed(process)) return;
    if (!Runs(process)) return At(paused_[process] - clock.Now(), process, std::move(task));
    task();
  }

  ManualClock clock;

 private:
  std::map<std::pair<MonotonicTime, uint64_t>, std::pair<std::string, Task>> events_;
  std::map<std::string, MonotonicTime> paused_;
  std::set<std::string> killed_;
  uint64_t last_ = 0;
};

struct Plan {
  Step step = kClaimWrite;
  Fault fault = kKill;
  uint64_t seed = 0;
  bool grouped = false;  // Commits are shared with other claims.
};

std::string MainRowKey() { return ClaimRowKey(ServiceId("s"), TenantId("t"), "key"); }

// What all processes share, and where the fault is injected.
struct Shared {
  explicit Shared(const Plan& it) : plan(it), way(WayTo(it.step)), random(it.seed) {}

  Duration Between(Duration least, Duration most) {
    return Duration(std::uniform_int_distribution<int64_t>(least.count(), most.count())(random));
  }
  Duration Hop() { return Between(microseconds(500), milliseconds(3)); }
  bool PlatformDown() const { return schedule.clock.Now() < down_until; }

  // The fault for this step, if it is one that is to happen here; each happens once.
  std::optional<Fault> FaultAt(const std::string& process, std::optional<Step> at) {
    if (!at) return std::nullopt;
    const Step step = *at;
    if (process == "b") return SecondFault(step);
    if (process != "a") return std::nullopt;
    if (step == plan.step && !fired) {
      fired = true;
      Happen();
      return plan.fault;
    }
    const auto it = way.find(step);
    if (it == way.end()) return std::nullopt;
    const Fault fault = it->second;
    way.erase(it);
    return fault;
  }

  // With odd seeds, some calls of "b" fail as well: faults come together or twice.
  std::optional<Fault> SecondFault(Step step) {
    if (plan.seed % 2 == 0 || step == kSend || random() % 3 != 0) return std::nullopt;
    return std::array{kLostAnswer, kSlow, kCut, kSilent}.at(random() % 4);
  }

  void Happen() {
    const auto strike = [this] {
      if (plan.fault == kPause) schedule.Pause("a");
      if (plan.fault == kKill) schedule.Kill("a");
    };
    schedule.At(Between({}, milliseconds(4)), "", strike);
    if (plan.fault == kPlatformDown) down_until = schedule.clock.Now() + kOutage;
    if (plan.fault == kDuplicateCaller) repeat("a", Between({}, milliseconds(6)));
    if (plan.fault == kRacingEntryVm) repeat("b", Between({}, milliseconds(6)));
  }

  Plan plan;
  std::map<Step, Fault> way;
  std::mt19937_64 random;
  Schedule schedule;
  PlatformStore store;
  Journal journal;
  MonotonicTime down_until{};
  bool fired = false;
  std::function<void(const std::string& process, Duration delay)> repeat;
};

// How the table is seen by the code under test. The sound policy changes nothing.
struct SoundTable {
  static CommitResult See(CommitResult result, WallTime) { return result; }
};

// Naive: a claim whose holder's deadline has passed counts as a lapsed lease and is taken over.
struct TakeOverTable {
  static CommitResult See(CommitResult result, WallTime wall) {
    auto* conflict = std::get_if<Conflict>(&result);
    if (conflict == nullptr || conflict->current.empty()) return result;
    auto row = ClaimRowFromBytes(conflict->current.front().value);
    if (!row || row->state != ClaimState::kRunning || row->run_until > wall) return result;
    row->state = ClaimState::kNotRun;
    conflict->current.front().value = ToBytes(*row);
    return result;
  }
};

// Naive: a write without an answer counts as one without effect.
struct LostIsRefusedTable {
  static CommitResult See(CommitResult result, WallTime) {
    if (auto* error = std::get_if<PlatformError>(&result)) {
      error->kind = PlatformError::Kind::kUnavailable;
    }
    return result;
  }
};

template <typename Policy>
class FaultyTable {
 public:
  FaultyTable(Shared& shared, std::string process) : shared_(shared), process_(process) {}

  void Get(std::string key, std::function<void(GetResult)> done) {
    auto call = [this, key]() -> GetResult { return shared_.store.Get(key); };
    std::optional<Step> step;
    if (key == MainRowKey()) step = kReadBack;
    Call<GetResult>(step, call, std::move(done));
  }
  void Scan(std::string prefix, std::string after, size_t most,
            std::function<void(ScanResult)> done) {
    done(shared_.store.Scan(prefix, after, most));
  }
  void Commit(std::vector<ConditionalWrite> writes, std::function<void(CommitResult)> done) {
    std::optional<Step> step;
    for (const ConditionalWrite& it : writes) {
      if (it.key == MainRowKey()) step = StepOf(it);
    }
    auto call = [this, writes]() -> CommitResult {
      auto outcome = shared_.store.Commit(writes);
      if (auto* conflict = std::get_if<Conflict>(&outcome)) return *conflict;
      return std::get<Committed>(outcome);
    };
    Call<CommitResult>(step, call, [this, done = std::move(done)](CommitResult result) {
      done(Policy::See(std::move(result), shared_.schedule.clock.WallNow()));
    });
  }

 private:
  Step StepOf(const ConditionalWrite& write) {
    const ClaimState state = ClaimRowFromBytes(*write.value)->state;
    if (state == ClaimState::kNotRun) return kSettleWrite;
    if (state != ClaimState::kRunning) return kFinishWrite;
    if (write.expected_version != 0) return kReclaimWrite;
    return written_++ == 0 ? kClaimWrite : kSecondWrite;
  }

  template <typename R, typename Apply>
  void Call(std::optional<Step> step, Apply apply, std::function<void(R)> done) {
    const std::optional<Fault> fault = shared_.FaultAt(process_, step);
    Duration there = shared_.Hop();
    Duration back = shared_.Hop();
    using Kind = PlatformError::Kind;
    if (shared_.PlatformDown()) {
      return Deliver<R>(there, PlatformError{Kind::kUnavailable, "down"}, done);
    }
    const PlatformError lost{Kind::kUnknown, "lost"};
    if (fault == kSilent) return Deliver<R>(kTableTimeout, lost, done);
    if (fault == kLostAnswer) {
      shared_.schedule.At(there, "", [apply] { apply(); });
      return Deliver<R>(kTableTimeout, lost, done);
    }
    if (fault == kCut || fault == kSlow) {
      shared_.schedule.At(shared_.Between(there, seconds(8)), "", [apply] { apply(); });
      return Deliver<R>(fault == kCut ? there : kTableTimeout, lost, done);
    }
    if (fault == kDownAfterEffect) {
      shared_.schedule.At(there, "", [this, apply] {
        apply();
        shared_.down_until = shared_.schedule.clock.Now() + kOutage;
      });
      return Deliver<R>(kTableTimeout, lost, done);
    }
    shared_.schedule.At(there, "", [this, apply, back, done] { Deliver<R>(back, apply(), done); });
  }

  template <typename R>
  void Deliver(Duration delay, R result, std::function<void(R)> done) {
    shared_.schedule.At(delay, process_, [result, done] { done(result); });
  }

  Shared& shared_;
  std::string process_;
  int written_ = 0;  // First writes of this process so far.
};

enum class TimeoutSays { kUnknown, kNotRun };  // kNotRun is the naive one.

// One entry VM: a claim keeper and the least of a forwarder.
template <typename Policy>
class EntryVm {
 public:
  using Answered = std::function<void(const Word&)>;

  EntryVm(Shared& shared, const std::string& name, TimeoutSays timeout_says)
      : shared_(shared),
        name_(name),
        timeout_says_(timeout_says),
        table_(shared, name),
        grouped_(table_, GroupSettings{shared.plan.grouped ? size_t{1} : size_t{1000}, 16}),
        keeper(grouped_, shared.schedule.clock, shared.random(), EntryVmId(name)) {}

  void Take(const std::string& request, Answered answered) {
    const MonotonicTime deadline = shared_.schedule.clock.Now() + kDeadline;
    const ClaimRequest claim{ServiceId("s"), TenantId("t"),      "key",
                             "print",        RequestId(request), deadline};
    keeper.Begin(claim, [=, this](const ClaimAnswer& answer) {
      if (const auto* proceed = std::get_if<Proceed>(&answer)) {
        Send(proceed->claim, deadline, answered);
      } else {
        answered(WordOf(request, answer));
      }
    });
  }

 private:
  static Word WordOf(const std::string& request, const ClaimAnswer& answer) {
    Word word{request, Told::kOther, "", ""};
    if (const auto* it = std::get_if<Repeat>(&answer)) {
      word = {request, Told::kRepeat, it->first.Text(), it->answer.body};
    } else if (const auto* it = std::get_if<StillRunning>(&answer)) {
      word = {request, Told::kStillRunning, it->first.Text(), ""};
    } else if (const auto* it = std::get_if<OutcomeUnknown>(&answer)) {
      word = {request, Told::kUnknown, it->first.Text(), ""};
    } else if (std::holds_alternative<ClaimUnavailable>(answer)) {
      word.told = Told::kNotRun;
    }
    return word;
  }

  // The claim is held. A pause may fall between here and the bytes' leaving.
  void Send(const Claim& claim, MonotonicTime deadline, const Answered& answered) {
    const auto ended = std::make_shared<bool>(false);
    const auto end = [=, this](const ClaimOutcome& outcome, Told told) {
      if (*ended) return;
      *ended = true;
      keeper.Finish(claim, outcome);
      answered(Word{claim.request.Text(), told, claim.request.Text(), outcome.answer.body});
    };
    const bool naive = timeout_says_ == TimeoutSays::kNotRun;
    shared_.schedule.At(deadline - shared_.schedule.clock.Now(), name_, [=] {
      end({naive ? Outcome::kNotRun : Outcome::kUnknown, {}},
          naive ? Told::kNotRun : Told::kUnknown);
    });
    const std::optional<Fault> fault = shared_.FaultAt(name_, kSend);
    if (fault == kSilent) return;
    Duration there = shared_.Between({}, milliseconds(6));
    if (fault == kSlow) there = kDeadline + seconds(1);
    const bool arrives = fault != kCut || shared_.random() % 2 == 0;
    shared_.schedule.At(there, name_, [=, this] {
      if (arrives) Run(claim.request.Text(), fault == kCut, end);
      if (fault == kCut) end({Outcome::kUnknown, {}}, Told::kUnknown);
    });
  }

  template <typename End>
  void Run(const std::string& request, bool answer_lost, const End& end) {
    shared_.journal.runs.push_back(request);
    const std::optional<Fault> fault = shared_.FaultAt(name_, kReceive);
    if (answer_lost || fault == kLostAnswer || fault == kSilent) return;
    const Duration back = fault == kSlow ? kDeadline + seconds(1) : milliseconds(5);
    shared_.schedule.At(back, name_, [=] {
      if (fault == kCut) return end({Outcome::kUnknown, {}}, Told::kUnknown);
      end({Outcome::kRan, KeptAnswer{200, "text/plain", "done " + request, true}}, Told::kRan);
    });
  }

  Shared& shared_;
  std::string name_;
  TimeoutSays timeout_says_;
  FaultyTable<Policy> table_;
  GroupedTable<FaultyTable<Policy>> grouped_;

 public:
  ClaimKeeper<GroupedTable<FaultyTable<Policy>>> keeper;
};

// One run of one cell.
template <typename Policy>
class World {
 public:
  World(const Plan& plan, TimeoutSays timeout_says) : shared_(plan) {
    for (const char* name : {"a", "b", "c"}) {
      vms_.emplace(std::piecewise_construct, std::forward_as_tuple(name),
                   std::forward_as_tuple(shared_, name, timeout_says));
    }
    if (plan.step == kReclaimWrite) PutNotRunRow();
    shared_.repeat = [this](const std::string& vm, Duration delay) { Call(vm, delay, 0); };
  }

  // Nothing, or what was violated.
  std::string Run() {
    if (shared_.plan.grouped) ClaimOtherKeys();
    Call("a", {}, 3);
    RunUntil(shared_.schedule.clock.Now() + kQuiet);
    if (!shared_.fired) return "the fault was never reached";
    Call("c", {}, 0);
    RunUntil(shared_.schedule.clock.Now() + seconds(10));
    return Check();
  }

 private:
  void PutNotRunRow() {
    ClaimRow row;
    row.state = ClaimState::kNotRun;
    row.nonce = "earlier";
    row.fingerprint = "print";
    row.created = shared_.schedule.clock.WallNow();
    shared_.store.Commit({{ClaimRowKey(ServiceId("s"), TenantId("t"), "key"), 0, ToBytes(row)}});
  }

  // Other callers' claims, through "a" and "b" at the same time, so that groups form and conflict.
  void ClaimOtherKeys() {
    for (int i = 0; i < 8; ++i) {
      const std::string vm = i % 2 == 0 ? "a" : "b";
      const std::string key = "other" + std::to_string(i / 2);
      shared_.schedule.At(
          i == 0 ? Duration() : shared_.Between({}, milliseconds(6)), vm, [=, this] {
            auto& keeper = vms_.at(vm).keeper;
            const ClaimRequest claim{
                ServiceId("s"), TenantId("t"),  key,
                "print",        RequestId(key), shared_.schedule.clock.Now() + kDeadline};
            keeper.Begin(claim, [=, this, &keeper](const ClaimAnswer& answer) {
              const auto* proceed = std::get_if<Proceed>(&answer);
              if (proceed == nullptr) return;
              ++other_runs_[key];
              keeper.Finish(proceed->claim, {Outcome::kRan, {}});
            });
          });
    }
  }

  // The caller repeats through "b" until it is told an outcome, `more` times at most.
  void Call(const std::string& vm, Duration delay, int more) {
    const std::string request = "r" + std::to_string(++requests_);
    const auto answered = std::make_shared<bool>(false);
    shared_.schedule.At(delay, vm, [=, this] {
      vms_.at(vm).Take(request, [=, this](const Word& word) {
        words_.push_back(word);
        *answered = true;
        const bool again = word.told == Told::kNotRun || word.told == Told::kStillRunning;
        if (again && more > 0) Call("b", seconds(1), more - 1);
      });
    });
    shared_.schedule.At(delay + kDeadline + seconds(1), "", [=, this] {
      if (!*answered && more > 0) Call("b", {}, more - 1);
    });
  }

  void RunUntil(MonotonicTime end) {
    while (true) {
      MonotonicTime next = shared_.schedule.Next().value_or(end);
      std::string ticks;
      for (const auto& [name, vm] : vms_) {
        const std::optional<MonotonicTime> wake = vm.keeper.NextWake();
        if (!wake || !shared_.schedule.Runs(name) || *wake >= next) continue;
        next = *wake;
        ticks = name;
      }
      if (next >= end) break;
      if (next > shared_.schedule.clock.Now()) {
        shared_.schedule.clock.Advance(next - shared_.schedule.clock.Now());
      }
      if (ticks.empty()) {
        shared_.schedule.RunNext();
      } else {
        vms_.at(ticks).keeper.Tick();
      }
    }
    shared_.schedule.clock.Advance(end - shared_.schedule.clock.Now());
  }

  std::string Check() const {
    const std::vector<std::string>& runs = shared_.journal.runs;
    std::string problems;
    for (const auto& [key, count] : other_runs_) {
      if (count > 1) problems += key + " ran more than once; ";
    }
    if (runs.size() > 1) problems += "ran " + std::to_string(runs.size()) + " times; ";
    for (const Word& word : words_) {
      const std::string problem = CheckWord(word, std::set(runs.begin(), runs.end()));
      if (!problem.empty()) problems += word.request + ": " + problem + "; ";
    }
    if (!problems.empty()) return problems;
    if (words_.empty() || words_.back().request != "r" + std::to_string(requests_)) {
      return "the last repeat got no answer";
    }
    return CheckLast(words_.back());
  }

  static std::string CheckWord(const Word& word, const std::set<std::string>& runs) {
    switch (word.told) {
      case Told::kRan:
        return runs.count(word.request) != 0 ? "" : "told ran, but did not";
      case Told::kNotRun:
        return runs.count(word.request) == 0 ? "" : "told not run, but ran";
      case Told::kRepeat:
        if (runs.count(word.first) == 0) return "told of a run that was none";
        return word.body == "done " + word.first ? "" : "told another one's answer";
      case Told::kStillRunning:
      case Told::kUnknown:
        return "";
      case Told::kOther:
        return "told something that can't be";
    }
    return "";
  }

  // In the end the last repeat may only stay in the dark where a process died or a try's outcome
  // truly could not be known.
  std::string CheckLast(const Word& last) const {
    if (last.told == Told::kRan || last.told == Told::kRepeat) return "";
    if (last.told != Told::kUnknown) return "the last repeat was not told an outcome";
    if (shared_.schedule.Killed("a")) return "";
    for (const Word& word : words_) {
      if (word.request == last.first && word.told == Told::kNotRun) {
        return "told not run, but its key stayed taken";
      }
    }
    return "";
  }

  Shared shared_;
  std::map<std::string, EntryVm<Policy>> vms_;
  std::vector<Word> words_;
  std::map<std::string, int> other_runs_;  // By key.
  int requests_ = 0;
};

class FaultMatrixTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultMatrixTest);
  CPPUNIT_TEST(ClaimProtocol_UnderEveryFaultAtEveryStep_RunsAtMostOnceAndTellsTheTruth);
  CPPUNIT_TEST(GroupedClaims_UnderEveryFaultAtEveryStep_RunAtMostOnceAndTellTheTruth);
  CPPUNIT_TEST(TakingOverLapsedClaims_UnderFaults_IsCaught);
  CPPUNIT_TEST(CallingALostAnswerRefused_UnderFaults_IsCaught);
  CPPUNIT_TEST(CallingATimeoutNotRun_UnderFaults_IsCaught);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ClaimProtocol_UnderEveryFaultAtEveryStep_RunsAtMostOnceAndTellsTheTruth() {
    const std::vector<std::string> found = Violations<SoundTable>(TimeoutSays::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::string(), found.empty() ? "" : found.front());
  }

  void GroupedClaims_UnderEveryFaultAtEveryStep_RunAtMostOnceAndTellTheTruth() {
    const std::vector<std::string> found = Violations<SoundTable>(TimeoutSays::kUnknown, true);
    CPPUNIT_ASSERT_EQUAL(std::string(), found.empty() ? "" : found.front());
  }

  void TakingOverLapsedClaims_UnderFaults_IsCaught() {
    CPPUNIT_ASSERT(Mention(Violations<TakeOverTable>(TimeoutSays::kUnknown), "ran 2 times"));
  }

  void CallingALostAnswerRefused_UnderFaults_IsCaught() {
    CPPUNIT_ASSERT(Mention(Violations<LostIsRefusedTable>(TimeoutSays::kUnknown), "stayed taken"));
  }

  void CallingATimeoutNotRun_UnderFaults_IsCaught() {
    CPPUNIT_ASSERT(Mention(Violations<SoundTable>(TimeoutSays::kNotRun), "told not run, but ran"));
  }

 private:
  static uint64_t Seeds() {
    const char* text = std::getenv("COWSLIPHILL_MATRIX_SEEDS");
    return text == nullptr ? 20 : std::strtoull(text, nullptr, 10);
  }

  template <typename Policy>
  static std::vector<std::string> Violations(TimeoutSays timeout_says, bool grouped = false) {
    std::vector<std::string> found;
    constexpr int faults = kFaultCount;
    for (int cell = 0; cell < kStepCount * faults; ++cell) {
      const auto step = static_cast<Step>(cell / faults);
      const auto fault = static_cast<Fault>(cell % faults);
      if (Impossible(step, fault) != nullptr) continue;
      for (uint64_t seed = 1; seed <= Seeds(); ++seed) {
        const std::string problem =
            World<Policy>(Plan{step, fault, seed, grouped}, timeout_says).Run();
        if (problem.empty()) continue;
        found.push_back(std::string(kStepNames[step]) + " x " + kFaultNames[fault] + ", seed " +
                        std::to_string(seed) + ": " + problem);
      }
    }
    return found;
  }

  static bool Mention(const std::vector<std::string>& found, const std::string& text) {
    for (const std::string& it : found) {
      if (it.find(text) != std::string::npos) return true;
    }
    return false;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultMatrixTest);

}  // namespace
}  // namespace cowsliphill
