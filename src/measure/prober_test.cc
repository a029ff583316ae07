// Proof of the probe budget on virtual time: many probers, one faulty table, counted at the
// backend servers.

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

// Virtual time and what is to happen at which time.
class Timeline {
 public:
  void At(Duration when, std::function<void()> action) { due_.emplace(when, std::move(action)); }
  Duration Now() const { return now_; }
  void RunUntil(Duration end) {
    while (!due_.empty() && due_.begin()->first <= end) {
      const auto action = std::move(due_.begin()->second);
      now_ = std::max(now_, due_.begin()->first);
      due_.erase(due_.begin());
      action();
    }
    now_ = end;
  }

 private:
  Duration now_{};
  std::multimap<Duration, std::function<void()>> due_;
};

// A VM's monotonic clock: its own zero and a speed that is slightly off.
class VmClock : public Clock {
 public:
  VmClock(const Timeline& timeline, double speed) : timeline_(timeline), speed_(speed) {}
  MonotonicTime Now() const override {
    const auto passed = static_cast<double>(timeline_.Now().count());
    return MonotonicTime(std::chrono::hours(1)) + Duration(static_cast<int64_t>(passed * speed_));
  }
  WallTime WallNow() const override { return {}; }

 private:
  const Timeline& timeline_;
  double speed_;
};

struct TableFaults {
  double lost = 0.0;            // Share of calls whose answer never comes in time.
  milliseconds longest_way{5};  // Of a call to the table and of its answer, one way.
  bool down = false;            // Every call fails without effect.
};

// Table whose calls take time, may take effect after the caller has given up, and may be lost.
class FaultyTable {
 public:
  FaultyTable(Timeline& timeline, PlatformStore& store, const TableFaults& faults,
              std::mt19937_64& random)
      : timeline_(timeline), store_(store), faults_(faults), random_(random) {}

  void Get(const std::string& key, std::function<void(GetResult)> done) {
    Call<GetResult>(done, [this, key] { return GetResult(store_.Get(key)); });
  }
  void Scan(const std::string&, const std::string&, size_t, std::function<void(ScanResult)>) {}
  void Commit(std::vector<ConditionalWrite> writes, std::function<void(CommitResult)> done) {
    Call<CommitResult>(done, [this, writes = std::move(writes)]() -> CommitResult {
      auto outcome = store_.Commit(writes);
      if (auto* committed = std::get_if<Committed>(&outcome)) return *committed;
      return std::get<Conflict>(outcome);
    });
  }

  bool paused = false;  // The VM stands still: answers are held until it runs again.
  void Resume() {
    paused = false;
    for (auto& answer : std::exchange(held_, {})) answer();
  }

 private:
  static constexpr milliseconds kTimeout{1000};

  template <typename ResultT>
  void Call(std::function<void(ResultT)> done, std::function<ResultT()> effect) {
    if (faults_.down) {
      Answer([done] { done(PlatformError{PlatformError::Kind::kUnavailable, "down"}); }, Way());
      return;
    }
    const bool lost = std::bernoulli_distribution(faults_.lost)(random_);
    if (lost) {
      // Takes effect late, perhaps long after the caller gave up.
      timeline_.At(timeline_.Now() + 40 * Way(), [effect] { effect(); });
      Answer([done] { done(PlatformError{PlatformError::Kind::kUnknown, "timeout"}); }, kTimeout);
      return;
    }
    timeline_.At(timeline_.Now() + Way(), [this, done, effect] {
      Answer([done, result = effect()] { done(result); }, Way());
    });
  }

  void Answer(std::function<void()> answer, Duration after) {
    timeline_.At(timeline_.Now() + after, [this, answer] {
      if (paused) {
        held_.push_back(answer);
      } else {
        answer();
      }
    });
  }

  Duration Way() {
    return milliseconds(
        std::uniform_int_distribution<int64_t>(1, faults_.longest_way.count())(random_));
  }

  Timeline& timeline_;
  PlatformStore& store_;
  const TableFaults& faults_;
  std::mt19937_64& random_;
  std::vector<std::function<void()>> held_;
};
static_assert(TableClient<FaultyTable>);

class ProberTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProberTest);
  CPPUNIT_TEST(Prober_Alone_UsesMostOfTheBudget);
  CPPUNIT_TEST(Prober_MembersDisagree_BudgetKept);
  CPPUNIT_TEST(Prober_ReplacedWithOverlap_BudgetKept);
  CPPUNIT_TEST(Prober_Paused_BudgetKept);
  CPPUNIT_TEST(Prober_AnswersLostAfterEffect_BudgetKept);
  CPPUNIT_TEST(Prober_EverythingAtOnce_BudgetKept);
  CPPUNIT_TEST(Prober_PlatformDown_NoNewProbes);
  CPPUNIT_TEST(Prober_ManifestFlaps_BudgetKept);
  CPPUNIT_TEST(Grant_Garbage_NotDecoded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    timeline_ = std::make_unique<Timeline>();
    store_ = PlatformStore();
    faults_ = TableFaults();
    random_.seed(11);
    vms_.clear();
    probes_.clear();
    closest_ = Duration::max();
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

  void Prober_Alone_UsesMostOfTheBudget() {
    Start(18);
    Agree();
    timeline_->RunUntil(seconds(100));
    CheckBudget();
    for (const auto& [server, probes] : probes_) CPPUNIT_ASSERT(probes.size() > 160);
  }

  void Prober_MembersDisagree_BudgetKept() {
    Start(18);
    for (auto& vm : vms_) vm->prober->SetMembers({vm->id});  // Each takes itself for the prober.
    timeline_->RunUntil(seconds(300));
    CheckBudget();
  }

  void Prober_ReplacedWithOverlap_BudgetKept() {
    Start(18);
    for (int i = 0; i < 60; ++i) {
      Agree();
      timeline_->RunUntil(timeline_->Now() + seconds(5));
      Start(1);  // The new one runs before the old one stops.
      vms_.back()->prober->SetMembers({vms_.back()->id});
      timeline_->RunUntil(timeline_->Now() + seconds(2));
      vms_[static_cast<size_t>(i)]->stopped = true;
    }
    CheckBudget();
  }

  void Prober_Paused_BudgetKept() {
    Start(18);
    for (auto& vm : vms_) vm->prober->SetMembers({vm->id});
    for (int i = 0; i < 200; ++i) PauseOne();
    CheckBudget();
  }

  void Prober_AnswersLostAfterEffect_BudgetKept() {
    Start(18);
    for (auto& vm : vms_) vm->prober->SetMembers({vm->id});
    faults_.lost = 0.5;
    faults_.longest_way = milliseconds(900);
    timeline_->RunUntil(seconds(1000));
    CheckBudget();
  }

  void Prober_EverythingAtOnce_BudgetKept() {
    Start(18);
    for (auto& vm : vms_) vm->prober->SetMembers({vm->id});
    faults_.lost = 0.3;
    faults_.longest_way = milliseconds(600);
    for (int i = 0; i < 200; ++i) {
      PauseOne();
      faults_.down = i % 7 == 0;
      if (i % 10 != 0) continue;
      Start(1);
      vms_.back()->prober->SetMembers({vms_.back()->id});
      vms_[static_cast<size_t>(i) / 10]->stopped = true;
    }
    CheckBudget();
  }

  void Prober_PlatformDown_NoNewProbes() {
    Start(18);
    Agree();
    timeline_->RunUntil(seconds(25));
    faults_.down = true;
    timeline_->RunUntil(seconds(40));  // The last right ends.
    const size_t before = probes_.begin()->second.size();
    timeline_->RunUntil(seconds(100));
    CPPUNIT_ASSERT_EQUAL(before, probes_.begin()->second.size());
    faults_.down = false;
    timeline_->RunUntil(seconds(120));
    CPPUNIT_ASSERT(probes_.begin()->second.size() > before);
    CheckBudget();
  }

  void Prober_ManifestFlaps_BudgetKept() {
    Start(18);
    Agree();
    Manifest other = manifest_;
    other.backend_servers.clear();
    for (int i = 0; i < 300; ++i) {
      timeline_->RunUntil(timeline_->Now() + milliseconds(900));
      for (auto& vm : vms_) vm->prober->Apply(i % 2 == 0 ? other : manifest_);
    }
    CheckBudget();
  }

  void Grant_Garbage_NotDecoded() {
    CPPUNIT_ASSERT(!DecodeGrant(""));
    CPPUNIT_ASSERT(!DecodeGrant("\x81\xa1v"));
    CPPUNIT_ASSERT(!DecodeGrant("\xc0"));
    const GrantRow row{EntryVmId("e1"), 7, milliseconds(10000)};
    const auto decoded = DecodeGrant(EncodeGrant(row));
    CPPUNIT_ASSERT(decoded && decoded->holder == row.holder && decoded->nonce == row.nonce &&
                   decoded->window == row.window);
  }

 private:
  struct Vm {
    EntryVmId id;
    std::unique_ptr<VmClock> clock;
    std::unique_ptr<FaultyTable> table;
    std::unique_ptr<Prober<FaultyTable>> prober;
    bool stopped = false;
  };

  void Start(int n) {
    for (int i = 0; i < n; ++i) {
      auto vm = std::make_shared<Vm>();
      vm->id = EntryVmId("e" + std::to_string(vms_.size()));
      const double speed = std::uniform_real_distribution<double>(0.9975, 1.0025)(random_);
      vm->clock = std::make_unique<VmClock>(*timeline_, speed);
      vm->table = std::make_unique<FaultyTable>(*timeline_, store_, faults_, random_);
      vm->prober = std::make_unique<Prober<FaultyTable>>(
          vm->id, *vm->table, *vm->clock, [this](const ProbeTarget& target) { Count(target); });
      vm->prober->Apply(manifest_);
      vms_.push_back(vm);
      ScheduleTick(vm);
    }
  }

  void ScheduleTick(const std::shared_ptr<Vm>& vm) {
    if (vm->stopped) return;
    if (!vm->table->paused) vm->prober->Tick();
    timeline_->At(timeline_->Now() + milliseconds(20), [this, vm] { ScheduleTick(vm); });
  }

  // All know the same members, of which those that stopped are none.
  void Agree() {
    std::vector<EntryVmId> members;
    for (const auto& vm : vms_) {
      if (!vm->stopped) members.push_back(vm->id);
    }
    for (auto& vm : vms_) vm->prober->SetMembers(members);
  }

  void PauseOne() {
    const auto vm = vms_[random_() % vms_.size()];
    vm->table->paused = true;
    const seconds length(std::uniform_int_distribution<int>(1, 15)(random_));
    timeline_->At(timeline_->Now() + length, [vm] { vm->table->Resume(); });
    timeline_->RunUntil(timeline_->Now() + seconds(3));
  }

  void Count(const ProbeTarget& target) {
    auto& probes = probes_[target.server];
    if (!probes.empty()) closest_ = std::min(closest_, timeline_->Now() - probes.back());
    probes.push_back(timeline_->Now());
  }

  // No two probes of a server nearer than the budget says (clocks are up to 0.25% off), which
  // bounds their number in any span of time.
  void CheckBudget() {
    CPPUNIT_ASSERT(!probes_.empty());
    CPPUNIT_ASSERT(closest_ >= milliseconds(498));
  }

  std::unique_ptr<Timeline> timeline_;
  PlatformStore store_;
  TableFaults faults_;
  std::mt19937_64 random_;
  std::vector<std::shared_ptr<Vm>> vms_;
  Manifest manifest_;
  std::unordered_map<BackendServerId, std::vector<Duration>> probes_;
  Duration closest_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProberTest);

}  // namespace
}  // namespace cowsliphill
