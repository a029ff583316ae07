#include "src/catalog/table_watch.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;
using Step = TableWatch::Step;

class TableWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TableWatchTest);
  CPPUNIT_TEST(Next_AtStart_ReadsTheWhole);
  CPPUNIT_TEST(Next_FirstInOrder_WatchesAllTheTime);
  CPPUNIT_TEST(Next_WithFreshNews_LeavesTheStoreAlone);
  CPPUNIT_TEST(Next_WithoutNewsForItsPatience_Checks);
  CPPUNIT_TEST(Next_LaterInOrder_IsMorePatient);
  CPPUNIT_TEST(Next_FarBackWhileLeadersTellOfFailures_LeavesTheTriesToAFew);
  CPPUNIT_TEST(Next_WhenOthersKnowMore_AsksAPeerThenTheStore);
  CPPUNIT_TEST(OnNews_FromBeforeUs_EndsOurReading);
  CPPUNIT_TEST(OutageWithin_OthersCutOff_IsNoOutage);
  CPPUNIT_TEST(OutageWithin_AfterALongSilence_HoldsForTheSpan);
  CPPUNIT_TEST(OnNews_FromALeaderThatCantReachTheStore_LeavesUsReading);
  CPPUNIT_TEST(OnAnswer_ToACallFromBeforeTheNews_DoesNotTakeOverAgain);
  CPPUNIT_TEST(OnHistoryGone_Always_ReadsTheWholeAgain);
  CPPUNIT_TEST(OnFailure_CutOffFromAll_TriesAgainSoon);
  CPPUNIT_TEST(OnFailure_WhileLeadersAreHeard_BacksOffLonger);
  CPPUNIT_TEST(OnNews_OfAChangeWhileBackedOff_AsksAtOnce);
  CPPUNIT_TEST(Next_AtStartWithPeers_AsksThemFirst);
  CPPUNIT_TEST(Next_AtStartOfAll_TurnsToTheStoreWhenThePatienceIsOver);
  CPPUNIT_TEST(Next_WithAPeersAnswer_LeavesTheStoreAlone);
  CPPUNIT_TEST(Next_BehindWithoutAStore_KeepsAskingPeers);
  CPPUNIT_TEST(OnNews_WholeFromOneThatIsBehindToo_AsksOn);
  CPPUNIT_TEST(OnNews_OfWhatOnlyTheStoreHas_AsksItAtOnce);
  CPPUNIT_TEST(OnFailure_FarBackInALongOutage_TriesTwiceInTenSeconds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    watch_ = TableWatch();
    now_ = MonotonicTime(std::chrono::hours(1));
  }

  void Next_AtStart_ReadsTheWhole() {
    CPPUNIT_ASSERT(watch_.Next(7, now_) == Step::kReadWhole);
    CPPUNIT_ASSERT(watch_.Next(7, now_) == Step::kNone);
  }

  void Next_FirstInOrder_WatchesAllTheTime() {
    ReadWhole(0);
    Pass(milliseconds(300));
    CPPUNIT_ASSERT(watch_.Next(0, now_) == Step::kWatch);
  }

  void Next_WithFreshNews_LeavesTheStoreAlone() {
    ReadWhole(3);
    for (int i = 0; i < 20; ++i) {
      Pass(milliseconds(500));
      watch_.OnNews({10, true, true, true, now_}, now_);
      CPPUNIT_ASSERT(watch_.Next(3, now_) == Step::kNone);
    }
  }

  void Next_WithoutNewsForItsPatience_Checks() {
    ReadWhole(1);
    watch_.OnNews({10, true, true, true, now_}, now_);
    Pass(milliseconds(1000));
    CPPUNIT_ASSERT(watch_.Next(1, now_) == Step::kNone);
    Pass(milliseconds(200));
    CPPUNIT_ASSERT(watch_.Next(1, now_) == Step::kCheck);
  }

  void Next_LaterInOrder_IsMorePatient() {
    ReadWhole(4);
    watch_.OnNews({10, true, true, true, now_}, now_);
    Pass(milliseconds(1200));
    CPPUNIT_ASSERT(watch_.Next(4, now_) == Step::kNone);
    // Whatever the place, the bound of two seconds leaves time for the call.
    Pass(milliseconds(400));
    CPPUNIT_ASSERT(watch_.Next(100, now_) == Step::kCheck);
  }

  // A hundred entry VMs that all asked a store that is down cost more than the outage.
  void Next_FarBackWhileLeadersTellOfFailures_LeavesTheTriesToAFew() {
    ReadWhole(8);
    const MonotonicTime confirmed = now_;
    for (int i = 0; i < 6; ++i) {
      Pass(milliseconds(500));
      watch_.OnNews({10, true, true, false, confirmed}, now_);
      CPPUNIT_ASSERT(watch_.Next(9, now_) == Step::kNone);
    }
    CPPUNIT_ASSERT(watch_.Next(8, now_) == Step::kCheck);
  }

  void Next_WhenOthersKnowMore_AsksAPeerThenTheStore() {
    ReadWhole(5);
    Pass(milliseconds(400));
    watch_.OnNews({11, false, true, true, now_}, now_);
    AssertAsksAPeerThenTheStore(5);
  }

  void OnNews_FromBeforeUs_EndsOurReading() {
    ReadWhole(2);
    TakeOver(2);
    CPPUNIT_ASSERT(watch_.IsReading());
    watch_.OnNews({10, true, true, true, now_}, now_);
    CPPUNIT_ASSERT(!watch_.IsReading());
  }

  // Found by the day scale-2 of a measured site: others that were cut off told of their failures,
  // and a backend server that had left the store was kept as if the store had been down.
  void OutageWithin_OthersCutOff_IsNoOutage() {
    ReadWhole(5);
    for (int i = 0; i < 10; ++i) {
      Pass(milliseconds(500));
      watch_.OnNews({10, true, true, true, now_}, now_);
      watch_.OnNews({10, true, true, false, now_ - std::chrono::seconds(5)}, now_);
      CPPUNIT_ASSERT(!watch_.OutageWithin(milliseconds(2200), now_));
    }
  }

  void OutageWithin_AfterALongSilence_HoldsForTheSpan() {
    ReadWhole(5);
    Pass(std::chrono::seconds(4));
    CPPUNIT_ASSERT(watch_.OutageWithin(milliseconds(2200), now_));
    watch_.OnNews({10, true, true, true, now_}, now_);
    for (int i = 0; i < 3; ++i) {
      Pass(milliseconds(700));
      watch_.OnNews({10, true, true, true, now_}, now_);
    }
    CPPUNIT_ASSERT(watch_.OutageWithin(milliseconds(2200), now_));
    Pass(milliseconds(200));
    CPPUNIT_ASSERT(!watch_.OutageWithin(milliseconds(2200), now_));
  }

  // Found by the day scale-2 of a measured site: a leader that was cut off from the store alone
  // told the reader's own news back, and the reader yielded to it.
  void OnNews_FromALeaderThatCantReachTheStore_LeavesUsReading() {
    ReadWhole(2);
    TakeOver(2);
    watch_.OnNews({10, true, true, false, now_}, now_);
    CPPUNIT_ASSERT(watch_.IsReading());
    Pass(milliseconds(300));
    CPPUNIT_ASSERT(watch_.Next(2, now_) == Step::kWatch);
  }

  // Found at a site of 129 entry VMs: all that had ever taken over went on reading.
  void OnAnswer_ToACallFromBeforeTheNews_DoesNotTakeOverAgain() {
    ReadWhole(2);
    TakeOver(2);
    Pass(milliseconds(300));
    CPPUNIT_ASSERT(watch_.Next(2, now_) == Step::kWatch);
    watch_.OnNews({10, true, true, true, now_}, now_);
    watch_.OnAnswer(10, now_);
    CPPUNIT_ASSERT(!watch_.IsReading());
    Pass(milliseconds(300));
    CPPUNIT_ASSERT(watch_.Next(2, now_) == Step::kNone);
  }

  void OnHistoryGone_Always_ReadsTheWholeAgain() {
    ReadWhole(0);
    Pass(milliseconds(300));
    CPPUNIT_ASSERT(watch_.Next(0, now_) == Step::kWatch);
    watch_.OnHistoryGone();
    Pass(milliseconds(300));
    CPPUNIT_ASSERT(watch_.Next(0, now_) == Step::kReadWhole);
  }

  // Found by the day scale-2 of a measured site: an entry VM that was cut off from the store and
  // from its peers asked again only three seconds after the cut had healed.
  void OnFailure_CutOffFromAll_TriesAgainSoon() {
    ReadWhole(6);
    watch_.OnNews({10, true, true, true, now_}, now_);
    Pass(std::chrono::seconds(5));
    FailFor(std::chrono::seconds(6), 6);
    Pass(TableWatchTimes().longest_retry);
    CPPUNIT_ASSERT(watch_.Next(6, now_) != Step::kNone);
  }

  void OnFailure_WhileLeadersAreHeard_BacksOffLonger() {
    ReadWhole(6);
    watch_.OnNews({10, true, true, true, now_}, now_);
    const MonotonicTime confirmed = now_;
    Pass(std::chrono::seconds(2));
    int calls = 0;
    for (int i = 0; i < 100; ++i) {
      Pass(milliseconds(100));
      watch_.OnNews({10, true, true, false, confirmed}, now_);
      if (watch_.Next(6, now_) == Step::kNone) continue;
      ++calls;
      watch_.OnFailure(now_);
    }
    CPPUNIT_ASSERT(calls <= 8);
  }

  // Found by the same day: news of a new manifest came while the entry VM was backed off.
  void OnNews_OfAChangeWhileBackedOff_AsksAtOnce() {
    ReadWhole(6);
    watch_.OnNews({10, true, true, true, now_}, now_);
    const MonotonicTime confirmed = now_;
    Pass(std::chrono::seconds(2));
    for (int i = 0; i < 100; ++i) {
      Pass(milliseconds(100));
      watch_.OnNews({10, true, true, false, confirmed}, now_);
      if (watch_.Next(6, now_) != Step::kNone) watch_.OnFailure(now_);
    }
    CPPUNIT_ASSERT(watch_.Next(6, now_) == Step::kNone);
    watch_.OnNews({11, false, true, true, now_}, now_);
    AssertAsksAPeerThenTheStore(6);
  }

  void Next_AtStartWithPeers_AsksThemFirst() {
    TableWatchTimes times;
    times.start_patience = milliseconds(900);
    watch_ = TableWatch(times);
    int asked = 0;
    for (int i = 0; i < 18; ++i) {
      const Step step = watch_.Next(3, now_);
      CPPUNIT_ASSERT(step == Step::kAskPeers || step == Step::kNone);
      asked += step == Step::kAskPeers ? 1 : 0;
      Pass(milliseconds(50));
    }
    CPPUNIT_ASSERT(asked >= 3);
    Pass(milliseconds(100));
    CPPUNIT_ASSERT(watch_.Next(3, now_) == Step::kReadWhole);
  }

  // After a power-off of all, no peer knows more.
  void Next_AtStartOfAll_TurnsToTheStoreWhenThePatienceIsOver() {
    TableWatchTimes times;
    times.start_patience = milliseconds(40);
    watch_ = TableWatch(times);
    CPPUNIT_ASSERT(watch_.Next(3, now_) == Step::kAskPeers);
    Pass(milliseconds(30));
    CPPUNIT_ASSERT(watch_.Next(3, now_) == Step::kNone);
    Pass(milliseconds(10));
    CPPUNIT_ASSERT(watch_.Next(3, now_) == Step::kReadWhole);
  }

  void Next_WithAPeersAnswer_LeavesTheStoreAlone() {
    ReadWhole(5);
    Pass(milliseconds(400));
    watch_.OnNews({11, false, true, true, now_}, now_);
    CPPUNIT_ASSERT(watch_.Next(5, now_) == Step::kAskPeers);
    watch_.OnNews({12, false, false, false, now_, true}, now_);
    Pass(milliseconds(500));
    CPPUNIT_ASSERT(watch_.Next(5, now_) == Step::kNone);
    CPPUNIT_ASSERT_EQUAL(uint64_t{12}, watch_.Version());
  }

  // Found at a site of 129 entry VMs: those that the store turned away asked it four times a
  // second and stayed behind.
  void Next_BehindWithoutAStore_KeepsAskingPeers() {
    ReadWhole(5);
    int calls = 0;
    int asked = 0;
    for (int i = 0; i < 100; ++i) {
      Pass(milliseconds(50));
      if (i % 5 == 0) watch_.OnNews({11, false, true, true, now_}, now_);
      const Step step = watch_.Next(5, now_);
      asked += step == Step::kAskPeers ? 1 : 0;
      if (step != Step::kCheck) continue;
      ++calls;
      watch_.OnFailure(now_);
    }
    CPPUNIT_ASSERT(asked >= 5);
    CPPUNIT_ASSERT(calls <= 10);  // Two a second.
  }

  // Found at a site of 103 entry VMs: the peer that was asked lacked the same change, and its
  // answer was taken for the newest; a manifest needed three seconds to reach all.
  void OnNews_WholeFromOneThatIsBehindToo_AsksOn() {
    ReadWhole(5);
    Pass(milliseconds(400));
    watch_.OnNews({11, false, true, true, now_}, now_);
    CPPUNIT_ASSERT(watch_.Next(5, now_) == Step::kAskPeers);
    watch_.OnNews({10, false, false, false, now_, true}, now_);
    Step step = Step::kNone;
    for (int i = 0; i < 10 && step != Step::kCheck; ++i) {
      Pass(milliseconds(50));
      step = watch_.Next(5, now_);
    }
    CPPUNIT_ASSERT(step == Step::kCheck);
    watch_.OnAnswer(11, now_);
    CPPUNIT_ASSERT(watch_.Next(5, now_) == Step::kNone);
  }

  void OnFailure_FarBackInALongOutage_TriesTwiceInTenSeconds() {
    ReadWhole(20);
    const MonotonicTime confirmed = now_;
    int calls = 0;
    for (int i = 0; i < 200; ++i) {
      Pass(milliseconds(50));
      if (i % 10 == 0) watch_.OnNews({10, true, true, false, confirmed}, now_);
      if (watch_.Next(20, now_) != Step::kCheck) continue;
      ++calls;
      watch_.OnFailure(now_);
    }
    CPPUNIT_ASSERT_EQUAL(2, calls);
  }

  void OnNews_OfWhatOnlyTheStoreHas_AsksItAtOnce() {
    ReadWhole(5);
    Pass(milliseconds(400));
    watch_.OnNews({11, false, true, true, now_, false, true}, now_);
    CPPUNIT_ASSERT(watch_.Next(5, now_) == Step::kCheck);
  }

 private:
  // Answers of peers are waited for no longer than a quarter of the bound.
  void AssertAsksAPeerThenTheStore(uint32_t rank) {
    CPPUNIT_ASSERT(watch_.Next(rank, now_) == Step::kAskPeers);
    Step step = Step::kNone;
    for (int i = 0; i < 10 && step != Step::kCheck; ++i) {
      Pass(milliseconds(50));
      step = watch_.Next(rank, now_);
    }
    CPPUNIT_ASSERT(step == Step::kCheck);
  }
  void Pass(Duration step) { now_ += step; }
  void ReadWhole(uint32_t rank) {
    CPPUNIT_ASSERT(watch_.Next(rank, now_) == Step::kReadWhole);
    watch_.OnAnswer(10, now_);
  }
  void TakeOver(uint32_t rank) {
    Pass(milliseconds(1600));
    CPPUNIT_ASSERT(watch_.Next(rank, now_) == Step::kCheck);
    watch_.OnAnswer(10, now_);
  }
  void FailFor(Duration span, uint32_t rank) {
    const MonotonicTime end = now_ + span;
    while (now_ < end) {
      if (watch_.Next(rank, now_) != Step::kNone) watch_.OnFailure(now_);
      Pass(milliseconds(50));
    }
  }

  TableWatch watch_;
  MonotonicTime now_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableWatchTest);

}  // namespace
}  // namespace cowsliphill
