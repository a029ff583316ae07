// Tests on virtual time that many probers with one faulty table never exceed the probe budget of a
// backend server, measured where the probes arrive.

#include "src/measure/prober.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>
#include <unordered_map>

#include "src/storage/memory_platform.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Virtual time with a queue of scheduled events.
class Timeline {
 public:
  void ScheduleAt(Duration when, std::function<void()> action) {
    events_.emplace(when, std::move(action));
  }
  Duration Now() const { return now_; }
  void RunUntil(Duration end) {
    while (!events_.empty() && events_.begin()->first <= end) {
      const auto action = std::move(events_.begin()->second);
      now_ = std::max(now_, events_.begin()->first);
      events_.erase(events_.begin());
      action();
    }
    now_ = end;
  }

 private:
  Duration now_{};
  std::multimap<Duration, std::function<void()>> events_;
};

// Monotonic clock of one VM, which runs at a slightly wrong rate.
class VmClock : public Clock {
 public:
  VmClock(const Timeline& timeline, double speed) : timeline_(timeline), speed_(speed) {}
  MonotonicTime Now() const override {
    const auto elapsed = static_cast<double>(timeline_.Now().count());
    return MonotonicTime(std::chrono::hours(1)) + Duration(static_cast<int64_t>(elapsed * speed_));
  }
  WallTime WallNow() const override { return {}; }

 private:
  const Timeline& timeline_;
  double speed_;
};

struct TableFaults {
  double lost = 0.0;  // Share of calls whose answer does not arrive before the timeout.
  milliseconds max_one_way_delay{5};  // Limit for a call to the table, and for its answer.
  bool down = false;                  // Every call fails and has no effect.
};

// Table whose calls take time, and whose answers may be lost; a call with a lost answer may take
// effect after the caller has given up.
class FaultyTable {
 public:
  FaultyTable(Timeline& timeline, MemoryPlatformState& store, const TableFaults& faults,
              std::mt19937_64& random)
      : timeline_(timeline), store_(store), faults_(faults), random_(random) {}

  void Get(const std::string& key, std::function<void(GetResult)> done) {
    StartCall<GetResult>(done, [this, key] { return GetResult(store_.Get(key)); });
  }
  void Scan(const std::string&, const std::string&, size_t, std::function<void(ScanResult)>) {}
  void Commit(std::vector<ConditionalWrite> writes, std::function<void(CommitResult)> done) {
    StartCall<CommitResult>(done, [this, writes = std::move(writes)]() -> CommitResult {
      auto outcome = store_.Commit(writes);
      if (auto* committed = std::get_if<Committed>(&outcome)) return *committed;
      return std::get<Conflict>(outcome);
    });
  }

  bool paused = false;  // Answers are held back until the paused VM resumes.
  void Resume() {
    paused = false;
    for (auto& answer : std::exchange(held_answers_, {})) answer();
  }

 private:
  static constexpr milliseconds kTimeout{1000};

  template <typename ResultT>
  void StartCall(std::function<void(ResultT)> done, std::function<ResultT()> effect) {
    if (faults_.down) {
      DeliverAnswer(
          [done] {
            done(PlatformError{PlatformError::Kind::kUnavailable, "down"});
          },
          RandomDelay());
      return;
    }
    const bool lost = std::bernoulli_distribution(faults_.lost)(random_);
    if (lost) {
      // The call takes effect late, possibly long after the caller has given up.
      timeline_.ScheduleAt(timeline_.Now() + 40 * RandomDelay(), [effect] { effect(); });
      DeliverAnswer(
          [done] {
            done(PlatformError{PlatformError::Kind::kUnknown, "timeout"});
          },
          kTimeout);
      return;
    }
    timeline_.ScheduleAt(timeline_.Now() + RandomDelay(), [this, done, effect] {
      DeliverAnswer([done, result = effect()] { done(result); }, RandomDelay());
    });
  }

  void DeliverAnswer(std::function<void()> answer, Duration delay) {
    timeline_.ScheduleAt(timeline_.Now() + delay, [this, answer] {
      if (paused) {
        held_answers_.push_back(answer);
      } else {
        answer();
      }
    });
  }

  Duration RandomDelay() {
    return milliseconds(
        std::uniform_int_distribution<int64_t>(1, faults_.max_one_way_delay.count())(random_));
  }

  Timeline& timeline_;
  MemoryPlatformState& store_;
  const TableFaults& faults_;
  std::mt19937_64& random_;
  std::vector<std::function<void()>> held_answers_;
};
static_assert(TableClient<FaultyTable>);

class ProberTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProberTest);
  CPPUNIT_TEST(Prober_MembersAgree_UsesMostOfTheBudget);
  CPPUNIT_TEST(Prober_MembersDisagree_BudgetKept);
  CPPUNIT_TEST(Prober_ReplacedWithOverlap_BudgetKept);
  CPPUNIT_TEST(Prober_Paused_BudgetKept);
  CPPUNIT_TEST(Prober_AnswersLostAfterEffect_BudgetKept);
  CPPUNIT_TEST(Prober_CombinedFaults_BudgetKept);
  CPPUNIT_TEST(Prober_PlatformDown_NoNewProbes);
  CPPUNIT_TEST(Prober_ManifestFlaps_BudgetKept);
  CPPUNIT_TEST(ProbeLease_MalformedRow_NotDecoded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    timeline_ = std::make_unique<Timeline>();
    store_ = MemoryPlatformState();
    faults_ = TableFaults();
    random_.seed(11);
    vms_.clear();
    probes_.clear();
    min_spacing_ = Duration::max();
    manifest_ = Manifest();
    Service service;
    service.id = ServiceId("register");
    service.probe_budget = 2.0;
    service.tail_weight = 1.0;
    manifest_.services.push_back(service);
    for (int i = 0; i < 5; ++i) {
      BackendServer server;
      server.id = BackendServerId("b" + std::to_string(i));
      server.service = service.id;
      manifest_.backend_servers.push_back(server);
    }
  }

  void Prober_MembersAgree_UsesMostOfTheBudget() {
    StartVms(18);
    AgreeOnMembers();
    timeline_->RunUntil(seconds(100));
    CheckBudget();
    for (const auto& [server, probes] : probes_) CPPUNIT_ASSERT(probes.size() > 160);
  }

  void Prober_MembersDisagree_BudgetKept() {
    StartVms(18);
    for (auto& vm : vms_) vm->prober->SetMembers({vm->id});  // Each VM selects itself as prober.
    timeline_->RunUntil(seconds(300));
    CheckBudget();
  }

  void Prober_ReplacedWithOverlap_BudgetKept() {
    StartVms(18);
    for (int i = 0; i < 60; ++i) {
      AgreeOnMembers();
      timeline_->RunUntil(timeline_->Now() + seconds(5));
      StartVms(1);  // The new VM starts before the old one stops.
      vms_.back()->prober->SetMembers({vms_.back()->id});
      timeline_->RunUntil(timeline_->Now() + seconds(2));
      vms_[static_cast<size_t>(i)]->stopped = true;
    }
    CheckBudget();
  }

  void Prober_Paused_BudgetKept() {
    StartVms(18);
    for (auto& vm : vms_) vm->prober->SetMembers({vm->id});
    for (int i = 0; i < 200; ++i) PauseRandomVm();
    CheckBudget();
  }

  void Prober_AnswersLostAfterEffect_BudgetKept() {
    StartVms(18);
    for (auto& vm : vms_) vm->prober->SetMembers({vm->id});
    faults_.lost = 0.5;
    faults_.max_one_way_delay = milliseconds(900);
    timeline_->RunUntil(seconds(1000));
    CheckBudget();
  }

  void Prober_CombinedFaults_BudgetKept() {
    StartVms(18);
    for (auto& vm : vms_) vm->prober->SetMembers({vm->id});
    faults_.lost = 0.3;
    faults_.max_one_way_delay = milliseconds(600);
    for (int i = 0; i < 200; ++i) {
      PauseRandomVm();
      faults_.down = i % 7 == 0;
      if (i % 10 != 0) continue;
      StartVms(1);
      vms_.back()->prober->SetMembers({vms_.back()->id});
      vms_[static_cast<size_t>(i) / 10]->stopped = true;
    }
    CheckBudget();
  }

  void Prober_PlatformDown_NoNewProbes() {
    StartVms(18);
    AgreeOnMembers();
    timeline_->RunUntil(seconds(25));
    faults_.down = true;
    timeline_->RunUntil(seconds(40));  // The last lease has expired by then.
    const size_t before = probes_.begin()->second.size();
    timeline_->RunUntil(seconds(100));
    CPPUNIT_ASSERT_EQUAL(before, probes_.begin()->second.size());
    faults_.down = false;
    timeline_->RunUntil(seconds(120));
    CPPUNIT_ASSERT(probes_.begin()->second.size() > before);
    CheckBudget();
  }

  void Prober_ManifestFlaps_BudgetKept() {
    StartVms(18);
    AgreeOnMembers();
    Manifest other = manifest_;
    other.backend_servers.clear();
    for (int i = 0; i < 300; ++i) {
      timeline_->RunUntil(timeline_->Now() + milliseconds(900));
      for (auto& vm : vms_) vm->prober->Apply(i % 2 == 0 ? other : manifest_);
    }
    CheckBudget();
  }

  void ProbeLease_MalformedRow_NotDecoded() {
    CPPUNIT_ASSERT(!DecodeProbeLease(""));
    CPPUNIT_ASSERT(!DecodeProbeLease("\x81\xa1v"));
    CPPUNIT_ASSERT(!DecodeProbeLease("\xc0"));
    const ProbeLeaseRow row{EntryVmId("e1"), 7, milliseconds(10000)};
    const auto decoded = DecodeProbeLease(EncodeProbeLease(row));
    CPPUNIT_ASSERT(decoded && decoded->holder == row.holder && decoded->nonce == row.nonce &&
                   decoded->duration == row.duration);
  }

 private:
  struct Vm {
    EntryVmId id;
    std::unique_ptr<VmClock> clock;
    std::unique_ptr<FaultyTable> table;
    std::unique_ptr<Prober<FaultyTable>> prober;
    bool stopped = false;
  };

  void StartVms(int n) {
    for (int i = 0; i < n; ++i) {
      auto vm = std::make_shared<Vm>();
      vm->id = EntryVmId("e" + std::to_string(vms_.size()));
      const double speed = std::uniform_real_distribution<double>(0.9975, 1.0025)(random_);
      vm->clock = std::make_unique<VmClock>(*timeline_, speed);
      vm->table = std::make_unique<FaultyTable>(*timeline_, store_, faults_, random_);
      vm->prober = std::make_unique<Prober<FaultyTable>>(
          vm->id, *vm->table, *vm->clock,
          [this](const ProbeTarget& target) { RecordProbe(target); });
      vm->prober->Apply(manifest_);
      vms_.push_back(vm);
      ScheduleTick(vm);
    }
  }

  void ScheduleTick(const std::shared_ptr<Vm>& vm) {
    if (vm->stopped) return;
    if (!vm->table->paused) vm->prober->Tick();
    timeline_->ScheduleAt(timeline_->Now() + milliseconds(20), [this, vm] { ScheduleTick(vm); });
  }

  // Gives all VMs the same list of members, without the VMs that have stopped.
  void AgreeOnMembers() {
    std::vector<EntryVmId> members;
    for (const auto& vm : vms_) {
      if (!vm->stopped) members.push_back(vm->id);
    }
    for (auto& vm : vms_) vm->prober->SetMembers(members);
  }

  void PauseRandomVm() {
    const auto vm = vms_[random_() % vms_.size()];
    vm->table->paused = true;
    const seconds pause(std::uniform_int_distribution<int>(1, 15)(random_));
    timeline_->ScheduleAt(timeline_->Now() + pause, [vm] { vm->table->Resume(); });
    timeline_->RunUntil(timeline_->Now() + seconds(3));
  }

  void RecordProbe(const ProbeTarget& target) {
    auto& probes = probes_[target.server];
    if (!probes.empty()) min_spacing_ = std::min(min_spacing_, timeline_->Now() - probes.back());
    probes.push_back(timeline_->Now());
  }

  // Any two probes of a server are at least as far apart as the budget requires, which bounds their
  // number in any period. The limit is 498 ms and not 500 ms, as clock rates are off by up to
  // 0.25%.
  void CheckBudget() {
    CPPUNIT_ASSERT(!probes_.empty());
    CPPUNIT_ASSERT(min_spacing_ >= milliseconds(498));
  }

  std::unique_ptr<Timeline> timeline_;
  MemoryPlatformState store_;
  TableFaults faults_;
  std::mt19937_64 random_;
  std::vector<std::shared_ptr<Vm>> vms_;
  Manifest manifest_;
  std::unordered_map<BackendServerId, std::vector<Duration>> probes_;
  Duration min_spacing_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProberTest);

}  // namespace
}  // namespace cowsliphill
