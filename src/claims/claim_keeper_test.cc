#include "src/claims/claim_keeper.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

#include "src/platform/memory_platform.h"

namespace cowsliphill {
namespace {

class ClaimKeeperTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimKeeperTest);
  CPPUNIT_TEST(Key_UsedTwice_RunsOnceAndRepeatsTheAnswer);
  CPPUNIT_TEST(Key_OfANotRunTry_MayBeClaimedAnew);
  CPPUNIT_TEST(Key_OfAnotherRequest_IsAMismatch);
  CPPUNIT_TEST(Key_RunningPastItsDeadline_IsUnknown);
  CPPUNIT_TEST(DatedKey_PastItsLifetimeAndSwept_IsExpired);
  CPPUNIT_TEST(Row_OfUnknownBytes_IsRefusedAndCounted);
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

  void Key_OfANotRunTry_MayBeClaimedAnew() {
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
    const std::string key = "00000036-ee80-7000-8000-000000000001";  // One hour after the epoch.
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
