// Fault matrix of the claim protocol: injects every fault at every step, in virtual time. Entry VMs
// "a", "b" and "c" share one table and one backend server. The fault hits "a", and the caller
// repeats its request through "b". After all events have settled, a last repeat goes through "c". A
// checker then compares the backend server's journal with the outcomes reported to the callers.
//
// COWSLIPHILL_MATRIX_SEEDS=N runs each combination with N seeds instead of the default 20.

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
  kDelayed,
  kConnectionCut,
  kNoReply,
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

// Returns why the combination can't occur, or nullptr if it can and is tested.
const char* WhyImpossible(Step step, Fault fault) {
  if (step == kSend && fault == kLostAnswer) return "sending does not wait for an answer";
  if (step == kSend && fault == kDownAfterEffect) return "the platform is not called here";
  if (step == kReceive && fault == kDownAfterEffect) return "the platform is not called here";
  return nullptr;
}

// Faults needed earlier to reach a step that a run without faults does not reach.
std::map<Step, Fault> FaultsLeadingTo(Step step) {
  if (step == kReadBack) return {{kClaimWrite, kLostAnswer}};
  if (step == kSecondWrite) return {{kClaimWrite, kNoReply}};
  if (step == kSettleWrite) return {{kClaimWrite, kConnectionCut}, {kReadBack, kNoReply}};
  return {};
}

constexpr Duration kTableTimeout = seconds(1);
constexpr Duration kDeadline = seconds(4);
constexpr Duration kPauseDuration = seconds(90);  // Longer than kDeadline plus running_grace.
constexpr Duration kOutageDuration = seconds(20);
constexpr Duration kSettleTime = seconds(400);

enum class Reported { kRan, kNotRun, kRepeat, kStillRunning, kUnknown, kOther };

struct CallerReport {
  std::string request;  // Request id of the attempt.
  Reported reported = Reported::kOther;
  std::string first;  // Id of the request that the answer names.
  std::string body;   // Body of the answer.
};

struct ServerJournal {
  std::vector<std::string> runs;  // Ids of the requests that the backend server executed, in order.
};

// Event queue in virtual time. Events of a paused process wait until the pause ends; events of a
// killed process are discarded.
class Schedule {
 public:
  using Task = std::function<void()>;
  void At(Duration delay, const std::string& process, Task task) {
    events_.emplace(std::pair(clock.Now() + delay, ++last_), std::pair(process, std::move(task)));
  }
  void Pause(const std::string& process) { paused_[process] = clock.Now() + kPauseDuration; }
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

struct FaultCase {
  Step step = kClaimWrite;
  Fault fault = kKill;
  uint64_t seed = 0;
  bool grouped = false;  // Writes of several claims share a commit.
};

std::string MainRowKey() { return ClaimRowKey(ServiceId("s"), TenantId("t"), "key"); }

// State shared by all processes; also injects the faults.
struct Shared {
  explicit Shared(const FaultCase& it)
      : fault_case(it), preceding_faults(FaultsLeadingTo(it.step)), random(it.seed) {}

  Duration RandomBetween(Duration min, Duration max) {
    return Duration(std::uniform_int_distribution<int64_t>(min.count(), max.count())(random));
  }
  Duration NetworkDelay() { return RandomBetween(microseconds(500), milliseconds(3)); }
  bool PlatformDown() const { return schedule.clock.Now() < down_until; }

  // Returns the fault to inject at this step of this process, if any. Process "a" gets each fault
  // of the fault case once, "b" those of SecondFault, and "c" none.
  std::optional<Fault> FaultAt(const std::string& process, std::optional<Step> at) {
    if (!at) return std::nullopt;
    const Step step = *at;
    if (process == "b") return SecondFault(step);
    if (process != "a") return std::nullopt;
    if (step == fault_case.step && !injected) {
      injected = true;
      InjectFault();
      return fault_case.fault;
    }
    const auto it = preceding_faults.find(step);
    if (it == preceding_faults.end()) return std::nullopt;
    const Fault fault = it->second;
    preceding_faults.erase(it);
    return fault;
  }

  // With odd seeds, about a third of the table calls that "b" makes fail too, so that faults of "a"
  // and "b" coincide or follow each other.
  std::optional<Fault> SecondFault(Step step) {
    if (fault_case.seed % 2 == 0 || step == kSend || random() % 3 != 0) return std::nullopt;
    return std::array{kLostAnswer, kDelayed, kConnectionCut, kNoReply}.at(random() % 4);
  }

  void InjectFault() {
    const auto apply_fault = [this] {
      if (fault_case.fault == kPause) schedule.Pause("a");
      if (fault_case.fault == kKill) schedule.Kill("a");
    };
    schedule.At(RandomBetween({}, milliseconds(4)), "", apply_fault);
    if (fault_case.fault == kPlatformDown) down_until = schedule.clock.Now() + kOutageDuration;
    if (fault_case.fault == kDuplicateCaller) repeat("a", RandomBetween({}, milliseconds(6)));
    if (fault_case.fault == kRacingEntryVm) repeat("b", RandomBetween({}, milliseconds(6)));
  }

  FaultCase fault_case;
  std::map<Step, Fault> preceding_faults;
  std::mt19937_64 random;
  Schedule schedule;
  MemoryPlatformState store;
  ServerJournal journal;
  MonotonicTime down_until{};
  bool injected = false;
  std::function<void(const std::string& process, Duration delay)> repeat;
};

// Policies that change the table results before the code under test gets them, to emulate faulty
// protocols. This one changes nothing.
struct UnmodifiedTable {
  static CommitResult Observe(CommitResult result, WallTime) { return result; }
};

// Naive protocol: takes over a claim after its holder's deadline, as if it were an expired lease.
struct TakeOverTable {
  static CommitResult Observe(CommitResult result, WallTime wall) {
    auto* conflict = std::get_if<Conflict>(&result);
    if (conflict == nullptr || conflict->current.empty()) return result;
    auto row = ClaimRowFromBytes(conflict->current.front().value);
    if (!row || row->state != ClaimState::kRunning || row->run_until > wall) return result;
    row->state = ClaimState::kNotRun;
    conflict->current.front().value = ToBytes(*row);
    return result;
  }
};

// Naive protocol: assumes that a write without an answer had no effect.
struct LostMeansNoEffectTable {
  static CommitResult Observe(CommitResult result, WallTime) {
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
  void Scan(std::string prefix, std::string after, size_t max_rows,
            std::function<void(ScanResult)> done) {
    done(shared_.store.Scan(prefix, after, max_rows));
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
      done(Policy::Observe(std::move(result), shared_.schedule.clock.WallNow()));
    });
  }

 private:
  Step StepOf(const ConditionalWrite& write) {
    const ClaimState state = ClaimRowFromBytes(*write.value)->state;
    if (state == ClaimState::kNotRun) return kSettleWrite;
    if (state != ClaimState::kRunning) return kFinishWrite;
    if (write.expected_version != 0) return kReclaimWrite;
    return claim_writes_++ == 0 ? kClaimWrite : kSecondWrite;
  }

  template <typename R, typename Apply>
  void Call(std::optional<Step> step, Apply apply, std::function<void(R)> done) {
    const std::optional<Fault> fault = shared_.FaultAt(process_, step);
    Duration outbound_delay = shared_.NetworkDelay();
    Duration return_delay = shared_.NetworkDelay();
    using Kind = PlatformError::Kind;
    if (shared_.PlatformDown()) {
      return DeliverResult<R>(outbound_delay, PlatformError{Kind::kUnavailable, "down"}, done);
    }
    const PlatformError lost{Kind::kUnknown, "lost"};
    if (fault == kNoReply) return DeliverResult<R>(kTableTimeout, lost, done);
    if (fault == kLostAnswer) {
      shared_.schedule.At(outbound_delay, "", [apply] { apply(); });
      return DeliverResult<R>(kTableTimeout, lost, done);
    }
    if (fault == kConnectionCut || fault == kDelayed) {
      shared_.schedule.At(shared_.RandomBetween(outbound_delay, seconds(8)), "",
                          [apply] { apply(); });
      return DeliverResult<R>(fault == kConnectionCut ? outbound_delay : kTableTimeout, lost, done);
    }
    if (fault == kDownAfterEffect) {
      shared_.schedule.At(outbound_delay, "", [this, apply] {
        apply();
        shared_.down_until = shared_.schedule.clock.Now() + kOutageDuration;
      });
      return DeliverResult<R>(kTableTimeout, lost, done);
    }
    shared_.schedule.At(outbound_delay, "", [this, apply, return_delay, done] {
      DeliverResult<R>(return_delay, apply(), done);
    });
  }

  template <typename R>
  void DeliverResult(Duration delay, R result, std::function<void(R)> done) {
    shared_.schedule.At(delay, process_, [result, done] { done(result); });
  }

  Shared& shared_;
  std::string process_;
  int claim_writes_ = 0;  // Claim writes of this process on an absent row.
};

enum class TimeoutMeaning { kUnknown, kNotRun };  // kNotRun is the naive rule.

// An entry VM: a claim keeper and a minimal forwarder.
template <typename Policy>
class EntryVm {
 public:
  using Answered = std::function<void(const CallerReport&)>;

  EntryVm(Shared& shared, const std::string& name, TimeoutMeaning timeout_meaning)
      : shared_(shared),
        name_(name),
        timeout_meaning_(timeout_meaning),
        table_(shared, name),
        grouped_(table_, GroupSettings{shared.fault_case.grouped ? size_t{1} : size_t{1000}, 16}),
        keeper(grouped_, shared.schedule.clock, shared.random(), EntryVmId(name)) {}

  void HandleRequest(const std::string& request, Answered answered) {
    const MonotonicTime deadline = shared_.schedule.clock.Now() + kDeadline;
    const ClaimRequest claim{ServiceId("s"), TenantId("t"),      "key",
                             "print",        RequestId(request), deadline};
    keeper.Begin(claim, [=, this](const ClaimAnswer& answer) {
      if (const auto* proceed = std::get_if<Proceed>(&answer)) {
        Send(proceed->claim, deadline, answered);
      } else {
        answered(ReportOf(request, answer));
      }
    });
  }

 private:
  static CallerReport ReportOf(const std::string& request, const ClaimAnswer& answer) {
    CallerReport report{request, Reported::kOther, "", ""};
    if (const auto* it = std::get_if<Repeat>(&answer)) {
      report = {request, Reported::kRepeat, it->first.Text(), it->answer.body};
    } else if (const auto* it = std::get_if<StillRunning>(&answer)) {
      report = {request, Reported::kStillRunning, it->first.Text(), ""};
    } else if (const auto* it = std::get_if<OutcomeUnknown>(&answer)) {
      report = {request, Reported::kUnknown, it->first.Text(), ""};
    } else if (std::holds_alternative<ClaimUnavailable>(answer)) {
      report.reported = Reported::kNotRun;
    }
    return report;
  }

  // Sends the request to the backend server, under the claim that this entry VM holds. A pause may
  // begin before the bytes are sent.
  void Send(const Claim& claim, MonotonicTime deadline, const Answered& answered) {
    const auto ended = std::make_shared<bool>(false);
    const auto end = [=, this](const ClaimOutcome& outcome, Reported reported) {
      if (*ended) return;
      *ended = true;
      keeper.Finish(claim, outcome);
      answered(
          CallerReport{claim.request.Text(), reported, claim.request.Text(), outcome.answer.body});
    };
    const bool naive = timeout_meaning_ == TimeoutMeaning::kNotRun;
    shared_.schedule.At(deadline - shared_.schedule.clock.Now(), name_, [=] {
      end({naive ? Outcome::kNotRun : Outcome::kUnknown, {}},
          naive ? Reported::kNotRun : Reported::kUnknown);
    });
    const std::optional<Fault> fault = shared_.FaultAt(name_, kSend);
    if (fault == kNoReply) return;
    Duration outbound_delay = shared_.RandomBetween({}, milliseconds(6));
    if (fault == kDelayed) outbound_delay = kDeadline + seconds(1);
    const bool arrives = fault != kConnectionCut || shared_.random() % 2 == 0;
    shared_.schedule.At(outbound_delay, name_, [=, this] {
      if (arrives) Run(claim.request.Text(), fault == kConnectionCut, end);
      if (fault == kConnectionCut) end({Outcome::kUnknown, {}}, Reported::kUnknown);
    });
  }

  template <typename End>
  void Run(const std::string& request, bool answer_lost, const End& end) {
    shared_.journal.runs.push_back(request);
    const std::optional<Fault> fault = shared_.FaultAt(name_, kReceive);
    if (answer_lost || fault == kLostAnswer || fault == kNoReply) return;
    const Duration return_delay = fault == kDelayed ? kDeadline + seconds(1) : milliseconds(5);
    shared_.schedule.At(return_delay, name_, [=] {
      if (fault == kConnectionCut) return end({Outcome::kUnknown, {}}, Reported::kUnknown);
      end({Outcome::kRan, KeptAnswer{200, "text/plain", "done " + request, true}}, Reported::kRan);
    });
  }

  Shared& shared_;
  std::string name_;
  TimeoutMeaning timeout_meaning_;
  FaultyTable<Policy> table_;
  GroupedTable<FaultyTable<Policy>> grouped_;

 public:
  ClaimKeeper<GroupedTable<FaultyTable<Policy>>> keeper;
};

// One run of one fault case.
template <typename Policy>
class Simulation {
 public:
  Simulation(const FaultCase& fault_case, TimeoutMeaning timeout_meaning) : shared_(fault_case) {
    for (const char* name : {"a", "b", "c"}) {
      vms_.emplace(std::piecewise_construct, std::forward_as_tuple(name),
                   std::forward_as_tuple(shared_, name, timeout_meaning));
    }
    if (fault_case.step == kReclaimWrite) PutNotRunRow();
    shared_.repeat = [this](const std::string& vm, Duration delay) { Call(vm, delay, 0); };
  }

  // Returns the violations found, or an empty string.
  std::string Run() {
    if (shared_.fault_case.grouped) ClaimOtherKeys();
    Call("a", {}, 3);
    RunUntil(shared_.schedule.clock.Now() + kSettleTime);
    if (!shared_.injected) return "the fault was never injected";
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

  // Claims other keys through "a" and "b" at the same time, so that writes are grouped and
  // conflict.
  void ClaimOtherKeys() {
    for (int i = 0; i < 8; ++i) {
      const std::string vm = i % 2 == 0 ? "a" : "b";
      const std::string key = "other" + std::to_string(i / 2);
      shared_.schedule.At(
          i == 0 ? Duration() : shared_.RandomBetween({}, milliseconds(6)), vm, [=, this] {
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

  // The caller repeats through "b" until an outcome is reported, at most `retries_left` times.
  void Call(const std::string& vm, Duration delay, int retries_left) {
    const std::string request = "r" + std::to_string(++requests_);
    const auto answered = std::make_shared<bool>(false);
    shared_.schedule.At(delay, vm, [=, this] {
      vms_.at(vm).HandleRequest(request, [=, this](const CallerReport& report) {
        reports_.push_back(report);
        *answered = true;
        const bool again =
            report.reported == Reported::kNotRun || report.reported == Reported::kStillRunning;
        if (again && retries_left > 0) Call("b", seconds(1), retries_left - 1);
      });
    });
    shared_.schedule.At(delay + kDeadline + seconds(1), "", [=, this] {
      if (!*answered && retries_left > 0) Call("b", {}, retries_left - 1);
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
    for (const CallerReport& report : reports_) {
      const std::string problem = CheckReport(report, std::set(runs.begin(), runs.end()));
      if (!problem.empty()) problems += report.request + ": " + problem + "; ";
    }
    if (!problems.empty()) return problems;
    if (reports_.empty() || reports_.back().request != "r" + std::to_string(requests_)) {
      return "the last repeat got no answer";
    }
    return CheckLastReport(reports_.back());
  }

  static std::string CheckReport(const CallerReport& report, const std::set<std::string>& runs) {
    switch (report.reported) {
      case Reported::kRan:
        return runs.count(report.request) != 0 ? "" : "reported as run, but did not run";
      case Reported::kNotRun:
        return runs.count(report.request) == 0 ? "" : "reported as not run, but ran";
      case Reported::kRepeat:
        if (runs.count(report.first) == 0) return "repeat names a request that never ran";
        return report.body == "done " + report.first
                   ? ""
                   : "repeat returned the answer of another request";
      case Reported::kStillRunning:
      case Reported::kUnknown:
        return "";
      case Reported::kOther:
        return "got a claim answer that can't occur here";
    }
    return "";
  }

  // The last repeat may get kUnknown only if a process was killed or the outcome of the attempt
  // really could not be known.
  std::string CheckLastReport(const CallerReport& last) const {
    if (last.reported == Reported::kRan || last.reported == Reported::kRepeat) return "";
    if (last.reported != Reported::kUnknown) return "the last repeat got no outcome";
    if (shared_.schedule.Killed("a")) return "";
    for (const CallerReport& report : reports_) {
      if (report.request == last.first && report.reported == Reported::kNotRun) {
        return "reported as not run, but its key stayed claimed";
      }
    }
    return "";
  }

  Shared shared_;
  std::map<std::string, EntryVm<Policy>> vms_;
  std::vector<CallerReport> reports_;
  std::map<std::string, int> other_runs_;  // Runs by key.
  int requests_ = 0;
};

class FaultMatrixTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultMatrixTest);
  CPPUNIT_TEST(ClaimProtocol_UnderEveryFaultAtEveryStep_RunsAtMostOnceAndReportsCorrectOutcomes);
  CPPUNIT_TEST(GroupedClaims_UnderEveryFaultAtEveryStep_RunAtMostOnceAndReportCorrectOutcomes);
  CPPUNIT_TEST(TakingOverLapsedClaims_UnderFaults_IsCaught);
  CPPUNIT_TEST(TreatingALostAnswerAsRefused_UnderFaults_IsCaught);
  CPPUNIT_TEST(TreatingATimeoutAsNotRun_UnderFaults_IsCaught);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ClaimProtocol_UnderEveryFaultAtEveryStep_RunsAtMostOnceAndReportsCorrectOutcomes() {
    const std::vector<std::string> found = Violations<UnmodifiedTable>(TimeoutMeaning::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::string(), found.empty() ? "" : found.front());
  }

  void GroupedClaims_UnderEveryFaultAtEveryStep_RunAtMostOnceAndReportCorrectOutcomes() {
    const std::vector<std::string> found =
        Violations<UnmodifiedTable>(TimeoutMeaning::kUnknown, true);
    CPPUNIT_ASSERT_EQUAL(std::string(), found.empty() ? "" : found.front());
  }

  void TakingOverLapsedClaims_UnderFaults_IsCaught() {
    CPPUNIT_ASSERT(AnyContains(Violations<TakeOverTable>(TimeoutMeaning::kUnknown), "ran 2 times"));
  }

  void TreatingALostAnswerAsRefused_UnderFaults_IsCaught() {
    CPPUNIT_ASSERT(AnyContains(Violations<LostMeansNoEffectTable>(TimeoutMeaning::kUnknown),
                               "stayed claimed"));
  }

  void TreatingATimeoutAsNotRun_UnderFaults_IsCaught() {
    CPPUNIT_ASSERT(AnyContains(Violations<UnmodifiedTable>(TimeoutMeaning::kNotRun),
                               "reported as not run, but ran"));
  }

 private:
  static uint64_t Seeds() {
    const char* text = std::getenv("COWSLIPHILL_MATRIX_SEEDS");
    return text == nullptr ? 20 : std::strtoull(text, nullptr, 10);
  }

  template <typename Policy>
  static std::vector<std::string> Violations(TimeoutMeaning timeout_meaning, bool grouped = false) {
    std::vector<std::string> found;
    constexpr int faults = kFaultCount;
    for (int cell = 0; cell < kStepCount * faults; ++cell) {
      const auto step = static_cast<Step>(cell / faults);
      const auto fault = static_cast<Fault>(cell % faults);
      if (WhyImpossible(step, fault) != nullptr) continue;
      for (uint64_t seed = 1; seed <= Seeds(); ++seed) {
        const std::string problem =
            Simulation<Policy>(FaultCase{step, fault, seed, grouped}, timeout_meaning).Run();
        if (problem.empty()) continue;
        found.push_back(std::string(kStepNames[step]) + " x " + kFaultNames[fault] + ", seed " +
                        std::to_string(seed) + ": " + problem);
      }
    }
    return found;
  }

  static bool AnyContains(const std::vector<std::string>& found, const std::string& text) {
    for (const std::string& it : found) {
      if (it.find(text) != std::string::npos) return true;
    }
    return false;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultMatrixTest);

}  // namespace
}  // namespace cowsliphill
