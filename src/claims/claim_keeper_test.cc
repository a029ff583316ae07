#include "src/claims/claim_keeper.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

#include "src/claims/claim_sweeper.h"
#include "src/claims/grouped_table.h"
#include "src/storage/memory_platform.h"

namespace cowsliphill {
namespace {

class ClaimKeeperTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimKeeperTest);
  CPPUNIT_TEST(Key_UsedTwice_RunsOnceAndRepeatsTheAnswer);
  CPPUNIT_TEST(Key_OfANotRunAttempt_MayBeClaimedAgain);
  CPPUNIT_TEST(Key_OfAnotherRequest_IsAMismatch);
  CPPUNIT_TEST(Key_RunningPastItsDeadline_IsUnknown);
  CPPUNIT_TEST(DatedKey_PastItsLifetimeAndSwept_IsExpired);
  CPPUNIT_TEST(Row_OfUnknownBytes_IsRefusedAndCounted);
  CPPUNIT_TEST(Circuit_AfterFailures_RefusesAtOnceAndRecovers);
  CPPUNIT_TEST(Queue_OverItsLimit_DropsBodiesFirst);
  CPPUNIT_TEST(Sweep_PastTheLifetime_DeletesOldRowsOnly);
  CPPUNIT_TEST(Group_WithOneConflict_CommitsTheOthers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Key_UsedTwice_RunsOnceAndRepeatsTheAnswer() {
    const auto first = std::get<Proceed>(Begin("k1"));
    CPPUNIT_ASSERT(std::holds_alternative<StillRunning>(Begin("k1")));
    keeper_.Finish(first.claim, {Outcome::kRan, KeptAnswer{201, "text/plain", "done", true}});
    Drain();
    const auto repeat = std::get<Repeat>(Begin("k1"));
    CPPUNIT_ASSERT_EQUAL(std::string("done"), repeat.answer.body);
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), repeat.first.Text());
  }

  void Key_OfANotRunAttempt_MayBeClaimedAgain() {
    keeper_.Finish(std::get<Proceed>(Begin("k1")).claim, {Outcome::kNotRun, {}});
    Drain();
    CPPUNIT_ASSERT(std::holds_alternative<Proceed>(Begin("k1")));
    CPPUNIT_ASSERT(std::holds_alternative<StillRunning>(Begin("k1")));
  }

  void Key_OfAnotherRequest_IsAMismatch() {
    Begin("k1");
    CPPUNIT_ASSERT(std::holds_alternative<KeyMismatch>(Begin("k1", "other")));
  }

  void Key_RunningPastItsDeadline_IsUnknown() {
    Begin("k1");
    clock_.Advance(std::chrono::minutes(5));
    CPPUNIT_ASSERT(std::holds_alternative<OutcomeUnknown>(Begin("k1")));
  }

  void DatedKey_PastItsLifetimeAndSwept_IsExpired() {
    const std::string key = "00000036-ee80-7000-8000-000000000001";  // 1 h after the epoch.
    CPPUNIT_ASSERT(std::holds_alternative<Proceed>(Begin(key)));
    platform_.Store().Commit({{ClaimRowKey(ServiceId("s"), TenantId("t"), key), 1, std::nullopt}});
    clock_.Advance(std::chrono::hours(25));
    CPPUNIT_ASSERT(std::holds_alternative<KeyExpired>(Begin(key)));
  }

  void Row_OfUnknownBytes_IsRefusedAndCounted() {
    const std::string row_key = ClaimRowKey(ServiceId("s"), TenantId("t"), "k1");
    platform_.Store().Commit({{row_key, 0, std::string("\xc1garbage")}});
    CPPUNIT_ASSERT(std::holds_alternative<ClaimUnavailable>(Begin("k1")));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, keeper_.Counters().malformed_rows);
  }

  void Circuit_AfterFailures_RefusesAtOnceAndRecovers() {
    TableCircuit circuit{ClaimSettings{}};
    for (int i = 0; i < 3; ++i) circuit.OnFailed(clock_.Now());
    CPPUNIT_ASSERT(!circuit.Allow(clock_.Now()));
    clock_.Advance(std::chrono::milliseconds(500));
    CPPUNIT_ASSERT(circuit.Allow(clock_.Now()));
    CPPUNIT_ASSERT(!circuit.Allow(clock_.Now()));
    circuit.OnAnswered();
    CPPUNIT_ASSERT(circuit.Allow(clock_.Now()));
  }

  void Queue_OverItsLimit_DropsBodiesFirst() {
    ClaimSettings settings;
    settings.settle_limit_bytes = 2000;
    SettleQueue queue(settings, 1);
    Settlement settlement;
    settlement.row.answer.body = std::string(kKeptBodyBytes, 'x');
    CPPUNIT_ASSERT(queue.Add(settlement));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, queue.BodiesDropped());
    while (queue.Add(settlement)) CPPUNIT_ASSERT(queue.Bytes() <= 2000);
    CPPUNIT_ASSERT(!queue.TakeDue(clock_.Now())->row.answer.body_kept);
  }

  void Sweep_PastTheLifetime_DeletesOldRowsOnly() {
    ClaimSweeper<MemoryPlatform> sweeper(platform_, clock_, 1);
    Begin("old");
    clock_.Advance(std::chrono::hours(25));
    Begin("young");
    for (int i = 0; i < 10; ++i) {
      clock_.Advance(std::chrono::minutes(2));
      sweeper.Tick();
      Drain();
    }
    const std::vector<Row> rows = platform_.Store().Scan(kClaimPrefix, "", 10);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, rows.size());
    CPPUNIT_ASSERT_EQUAL(std::string("r2"), ClaimRowFromBytes(rows[0].value)->request.Text());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, sweeper.Deleted());
  }

  void Group_WithOneConflict_CommitsTheOthers() {
    GroupedTable<MemoryPlatform> table(platform_, GroupSettings{1, 16});
    platform_.Store().Commit({{"k5", 0, "taken"}});
    int committed = 0;
    int conflicts = 0;
    for (int i = 0; i < 10; ++i) {
      table.Commit({{"k" + std::to_string(i), 0, "v"}}, [&](const CommitResult& result) {
        if (std::holds_alternative<Committed>(result)) ++committed;
        const auto* conflict = std::get_if<Conflict>(&result);
        if (conflict != nullptr && conflict->current[0].value == "taken") ++conflicts;
      });
    }
    Drain();
    CPPUNIT_ASSERT_EQUAL(9, committed);
    CPPUNIT_ASSERT_EQUAL(1, conflicts);
    CPPUNIT_ASSERT_EQUAL(uint64_t{10}, table.Commits());  // 1 alone, 1 of 9, 8 retries.
  }

 private:
  ClaimAnswer Begin(const std::string& key, const std::string& fingerprint = "f") {
    std::optional<ClaimAnswer> answer;
    const RequestId id("r" + std::to_string(++requests_));
    keeper_.Begin({ServiceId("s"), TenantId("t"), key, fingerprint, id,
                   clock_.Now() + std::chrono::seconds(1)},
                  [&](ClaimAnswer it) { answer = std::move(it); });
    Drain();
    CPPUNIT_ASSERT(answer.has_value());
    return *answer;
  }

  void Drain() {
    while (!tasks_.empty()) {
      const auto task = std::move(tasks_.front());
      tasks_.pop_front();
      task();
    }
  }

  std::deque<std::function<void()>> tasks_;
  MemoryPlatform platform_{[this](std::function<void()> task) { tasks_.push_back(task); }};
  ManualClock clock_;
  ClaimKeeper<MemoryPlatform> keeper_{platform_, clock_, 1, EntryVmId("vm-1")};
  int requests_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimKeeperTest);

}  // namespace
}  // namespace cowsliphill
