#include "src/catalog/table_watch.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;
using Step = TableWatch::Step;

class TableWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TableWatchTest);
  CPPUNIT_TEST(Next_AtStart_ReadsTheTable);
  CPPUNIT_TEST(Next_RankZero_WatchesTheStore);
  CPPUNIT_TEST(Next_WithRecentReports_DoesNotCallTheStore);
  CPPUNIT_TEST(Next_AfterStalenessTimeout_ChecksTheStore);
  CPPUNIT_TEST(Next_HigherRank_HasLongerStalenessTimeout);
  CPPUNIT_TEST(Next_HighRankWithFailingPredecessor_LeavesRetriesToLowerRanks);
  CPPUNIT_TEST(Next_WhenBehind_RequestsFromPeerThenCallsTheStore);
  CPPUNIT_TEST(OnTableUpdate_FromPredecessor_EndsTakeover);
  CPPUNIT_TEST(OutageWithin_OnlyOthersCutOffFromStore_IsFalse);
  CPPUNIT_TEST(OutageWithin_AfterOutage_IsTrueForTheSpan);
  CPPUNIT_TEST(OnTableUpdate_FromPredecessorCutOffFromStore_KeepsTakeover);
  CPPUNIT_TEST(OnAnswer_CallOpenAtPredecessorsReport_DoesNotTakeOverAgain);
  CPPUNIT_TEST(OnHistoryGone_Always_ReadsTheTableAgain);
  CPPUNIT_TEST(OnHistoryGone_Always_KeepsWhatIsLoaded);
  CPPUNIT_TEST(OnAnswer_OfALaterEra_CountsAsOutage);
  CPPUNIT_TEST(OnTooLarge_Always_ReadsTheTableAfterABackoff);
  CPPUNIT_TEST(OnFailure_CutOffFromStoreAndPeers_RetriesSoon);
  CPPUNIT_TEST(OnFailure_WhilePredecessorSendsUpdates_BacksOffLonger);
  CPPUNIT_TEST(OnTableUpdate_NewVersionDuringBackoff_RequestsAtOnce);
  CPPUNIT_TEST(Next_AtStartWithPeers_RequestsFromThemFirst);
  CPPUNIT_TEST(Next_AtStartWithoutAnswers_ReadsTableAfterStartupPeerTimeout);
  CPPUNIT_TEST(Next_AtStartWithSilentPeers_AsksThreeThenReadsTheTable);
  CPPUNIT_TEST(Next_AtStartWithALivePeer_WaitsForItsAnswer);
  CPPUNIT_TEST(Next_AfterPeersSnapshot_DoesNotCallTheStore);
  CPPUNIT_TEST(Next_BehindWithoutStore_KeepsRequestingFromPeers);
  CPPUNIT_TEST(OnTableUpdate_SnapshotFromPeerThatIsBehindToo_CallsTheStore);
  CPPUNIT_TEST(OnTableUpdate_OnlyInStore_CallsTheStoreAtOnce);
  CPPUNIT_TEST(OnFailure_HighRankInLongOutage_CallsTwiceInTenSeconds);
  CPPUNIT_TEST(NextWake_InRandomStates_IsTheTimeOfTheNextStep);
  CPPUNIT_TEST(NextWake_RelyingOnOthers_IsSeldom);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    watch_ = TableWatch();
    now_ = MonotonicTime(std::chrono::hours(1));
  }

  void Next_AtStart_ReadsTheTable() {
    CPPUNIT_ASSERT(watch_.Next(7, now_) == Step::kReadTable);
    CPPUNIT_ASSERT(watch_.Next(7, now_) == Step::kNone);
  }

  void Next_RankZero_WatchesTheStore() {
    ReadTable(0);
    Advance(milliseconds(300));
    CPPUNIT_ASSERT(watch_.Next(0, now_) == Step::kWatch);
  }

  void Next_WithRecentReports_DoesNotCallTheStore() {
    ReadTable(3);
    for (int i = 0; i < 20; ++i) {
      Advance(milliseconds(500));
      watch_.OnTableUpdate({10, true, true, true, now_}, now_);
      CPPUNIT_ASSERT(watch_.Next(3, now_) == Step::kNone);
    }
  }

  void Next_AfterStalenessTimeout_ChecksTheStore() {
    ReadTable(1);
    watch_.OnTableUpdate({10, true, true, true, now_}, now_);
    Advance(milliseconds(1000));
    CPPUNIT_ASSERT(watch_.Next(1, now_) == Step::kNone);
    Advance(milliseconds(200));
    CPPUNIT_ASSERT(watch_.Next(1, now_) == Step::kCheck);
  }

  void Next_HigherRank_HasLongerStalenessTimeout() {
    ReadTable(4);
    watch_.OnTableUpdate({10, true, true, true, now_}, now_);
    Advance(milliseconds(1200));
    CPPUNIT_ASSERT(watch_.Next(4, now_) == Step::kNone);
    // Whatever the rank, the call starts soon enough to end within the bound of 2 seconds.
    Advance(milliseconds(400));
    CPPUNIT_ASSERT(watch_.Next(100, now_) == Step::kCheck);
  }

  // High ranks must not call while a predecessor retries: calls of a hundred entry VMs to a store
  // that is down would cost more than the outage.
  void Next_HighRankWithFailingPredecessor_LeavesRetriesToLowerRanks() {
    ReadTable(8);
    const MonotonicTime confirmed = now_;
    for (int i = 0; i < 6; ++i) {
      Advance(milliseconds(500));
      watch_.OnTableUpdate({10, true, true, false, confirmed}, now_);
      CPPUNIT_ASSERT(watch_.Next(9, now_) == Step::kNone);
    }
    CPPUNIT_ASSERT(watch_.Next(8, now_) == Step::kCheck);
  }

  void Next_WhenBehind_RequestsFromPeerThenCallsTheStore() {
    ReadTable(5);
    Advance(milliseconds(400));
    watch_.OnTableUpdate({11, false, true, true, now_}, now_);
    AssertRequestsFromPeerThenCallsTheStore(5);
  }

  void OnTableUpdate_FromPredecessor_EndsTakeover() {
    ReadTable(2);
    TakeOver(2);
    CPPUNIT_ASSERT(watch_.HasTakenOver());
    watch_.OnTableUpdate({10, true, true, true, now_}, now_);
    CPPUNIT_ASSERT(!watch_.HasTakenOver());
  }

  // Regression: entry VMs that were cut off from the store sent updates after their failed calls.
  // Receivers took this for an outage of the store and kept a backend server that the store no
  // longer listed.
  void OutageWithin_OnlyOthersCutOffFromStore_IsFalse() {
    ReadTable(5);
    for (int i = 0; i < 10; ++i) {
      Advance(milliseconds(500));
      watch_.OnTableUpdate({10, true, true, true, now_}, now_);
      watch_.OnTableUpdate({10, true, true, false, now_ - std::chrono::seconds(5)}, now_);
      CPPUNIT_ASSERT(!watch_.OutageWithin(milliseconds(2200), now_));
    }
  }

  void OutageWithin_AfterOutage_IsTrueForTheSpan() {
    ReadTable(5);
    Advance(std::chrono::seconds(4));
    CPPUNIT_ASSERT(watch_.OutageWithin(milliseconds(2200), now_));
    watch_.OnTableUpdate({10, true, true, true, now_}, now_);
    for (int i = 0; i < 3; ++i) {
      Advance(milliseconds(700));
      watch_.OnTableUpdate({10, true, true, true, now_}, now_);
    }
    CPPUNIT_ASSERT(watch_.OutageWithin(milliseconds(2200), now_));
    Advance(milliseconds(200));
    CPPUNIT_ASSERT(!watch_.OutageWithin(milliseconds(2200), now_));
  }

  // Regression: a predecessor that was cut off from the store, but not from its peers, repeated
  // what the store reader had sent, and the store reader then stopped reading.
  void OnTableUpdate_FromPredecessorCutOffFromStore_KeepsTakeover() {
    ReadTable(2);
    TakeOver(2);
    watch_.OnTableUpdate({10, true, true, false, now_}, now_);
    CPPUNIT_ASSERT(watch_.HasTakenOver());
    Advance(milliseconds(300));
    CPPUNIT_ASSERT(watch_.Next(2, now_) == Step::kWatch);
  }

  // Regression: all entry VMs that had ever taken over went on reading the store, because the
  // answer to a call that was open when a predecessor's update arrived made them take over again.
  void OnAnswer_CallOpenAtPredecessorsReport_DoesNotTakeOverAgain() {
    ReadTable(2);
    TakeOver(2);
    Advance(milliseconds(300));
    CPPUNIT_ASSERT(watch_.Next(2, now_) == Step::kWatch);
    watch_.OnTableUpdate({10, true, true, true, now_}, now_);
    watch_.OnAnswer(10, now_);
    CPPUNIT_ASSERT(!watch_.HasTakenOver());
    Advance(milliseconds(300));
    CPPUNIT_ASSERT(watch_.Next(2, now_) == Step::kNone);
  }

  void OnHistoryGone_Always_ReadsTheTableAgain() {
    ReadTable(0);
    Advance(milliseconds(300));
    CPPUNIT_ASSERT(watch_.Next(0, now_) == Step::kWatch);
    watch_.OnHistoryGone();
    Advance(milliseconds(300));
    CPPUNIT_ASSERT(watch_.Next(0, now_) == Step::kReadTable);
  }

  void OnHistoryGone_Always_KeepsWhatIsLoaded() {
    ReadTable(0);
    Advance(milliseconds(300));
    watch_.Next(0, now_);
    watch_.OnHistoryGone();
    CPPUNIT_ASSERT(watch_.IsLoaded());
    CPPUNIT_ASSERT(watch_.Next(0, now_) == Step::kReadTable);
  }

  void OnAnswer_OfALaterEra_CountsAsOutage() {
    ReadTable(0);
    Advance(milliseconds(300));
    watch_.Next(0, now_);
    CPPUNIT_ASSERT(!watch_.OutageWithin(milliseconds(2000), now_));
    watch_.OnAnswer(MakeVersion(1, 1), now_);
    CPPUNIT_ASSERT_EQUAL(MakeVersion(1, 1), watch_.Version());
    CPPUNIT_ASSERT(watch_.OutageWithin(milliseconds(2000), now_));
    Advance(milliseconds(300));
    watch_.Next(0, now_);
    watch_.OnAnswer(MakeVersion(1, 2), now_);
    Advance(milliseconds(1900));
    CPPUNIT_ASSERT(!watch_.OutageWithin(milliseconds(2000), now_));
  }

  void OnTooLarge_Always_ReadsTheTableAfterABackoff() {
    ReadTable(0);
    Advance(milliseconds(300));
    CPPUNIT_ASSERT(watch_.Next(0, now_) == Step::kWatch);
    watch_.OnTooLarge(now_);
    CPPUNIT_ASSERT(watch_.Next(0, now_) == Step::kNone);
    Advance(TableWatchOptions().initial_backoff);
    CPPUNIT_ASSERT(watch_.Next(0, now_) == Step::kReadTable);
    watch_.OnAnswer(12, now_);
    Advance(milliseconds(300));
    CPPUNIT_ASSERT(watch_.Next(0, now_) == Step::kWatch);
  }

  // Regression: an entry VM that was cut off from the store and from its peers called the store
  // again only three seconds after the network had recovered.
  void OnFailure_CutOffFromStoreAndPeers_RetriesSoon() {
    ReadTable(6);
    watch_.OnTableUpdate({10, true, true, true, now_}, now_);
    Advance(std::chrono::seconds(5));
    FailFor(std::chrono::seconds(6), 6);
    Advance(TableWatchOptions().max_backoff);
    CPPUNIT_ASSERT(watch_.Next(6, now_) != Step::kNone);
  }

  void OnFailure_WhilePredecessorSendsUpdates_BacksOffLonger() {
    ReadTable(6);
    watch_.OnTableUpdate({10, true, true, true, now_}, now_);
    const MonotonicTime confirmed = now_;
    Advance(std::chrono::seconds(2));
    int calls = 0;
    for (int i = 0; i < 100; ++i) {
      Advance(milliseconds(100));
      watch_.OnTableUpdate({10, true, true, false, confirmed}, now_);
      if (watch_.Next(6, now_) == Step::kNone) continue;
      ++calls;
      watch_.OnFailure(now_);
    }
    CPPUNIT_ASSERT(calls <= 8);
  }

  // An update that reports a newer version ends the backoff after failed calls to the store.
  void OnTableUpdate_NewVersionDuringBackoff_RequestsAtOnce() {
    ReadTable(6);
    watch_.OnTableUpdate({10, true, true, true, now_}, now_);
    const MonotonicTime confirmed = now_;
    Advance(std::chrono::seconds(2));
    for (int i = 0; i < 100; ++i) {
      Advance(milliseconds(100));
      watch_.OnTableUpdate({10, true, true, false, confirmed}, now_);
      if (watch_.Next(6, now_) != Step::kNone) watch_.OnFailure(now_);
    }
    CPPUNIT_ASSERT(watch_.Next(6, now_) == Step::kNone);
    watch_.OnTableUpdate({11, false, true, true, now_}, now_);
    AssertRequestsFromPeerThenCallsTheStore(6);
  }

  void Next_AtStartWithPeers_RequestsFromThemFirst() {
    TableWatchOptions options;
    options.startup_peer_timeout = milliseconds(900);
    watch_ = TableWatch(options);
    int requests = 0;
    for (int i = 0; i < 18; ++i) {
      const Step step = watch_.Next(3, now_);
      CPPUNIT_ASSERT(step == Step::kRequestFromPeer || step == Step::kNone);
      requests += step == Step::kRequestFromPeer ? 1 : 0;
      Advance(milliseconds(50));
    }
    CPPUNIT_ASSERT(requests >= 3);
    Advance(milliseconds(100));
    CPPUNIT_ASSERT(watch_.Next(3, now_) == Step::kReadTable);
  }

  // When all entry VMs start at once, no peer can answer.
  void Next_AtStartWithoutAnswers_ReadsTableAfterStartupPeerTimeout() {
    TableWatchOptions options;
    options.startup_peer_timeout = milliseconds(40);
    watch_ = TableWatch(options);
    CPPUNIT_ASSERT(watch_.Next(3, now_) == Step::kRequestFromPeer);
    Advance(milliseconds(30));
    CPPUNIT_ASSERT(watch_.Next(3, now_) == Step::kNone);
    Advance(milliseconds(10));
    CPPUNIT_ASSERT(watch_.Next(3, now_) == Step::kReadTable);
  }

  // The seeds start after the others, or are down. Requests of callers are held for 400 ms only.
  void Next_AtStartWithSilentPeers_AsksThreeThenReadsTheTable() {
    watch_ = TableWatch(WithSilentTimeout());
    const MonotonicTime start = now_;
    int requests = 0;
    Step step = watch_.Next(3, now_);
    for (; step != Step::kReadTable; step = watch_.Next(3, now_)) {
      requests += step == Step::kRequestFromPeer ? 1 : 0;
      Advance(milliseconds(5));
    }
    CPPUNIT_ASSERT_EQUAL(3, requests);
    CPPUNIT_ASSERT(now_ - start <= milliseconds(125));
  }

  void Next_AtStartWithALivePeer_WaitsForItsAnswer() {
    watch_ = TableWatch(WithSilentTimeout());
    const MonotonicTime start = now_;
    CPPUNIT_ASSERT(watch_.Next(3, now_) == Step::kRequestFromPeer);
    Advance(milliseconds(5));
    watch_.OnPeerAlive();
    CPPUNIT_ASSERT(watch_.NextWake(3, now_) == start + TableWatchOptions().peer_timeout);
    Advance(milliseconds(395));
    CPPUNIT_ASSERT(watch_.Next(3, now_) == Step::kRequestFromPeer);
    Advance(milliseconds(101));
    CPPUNIT_ASSERT(watch_.Next(3, now_) == Step::kReadTable);
  }

  void Next_AfterPeersSnapshot_DoesNotCallTheStore() {
    ReadTable(5);
    Advance(milliseconds(400));
    watch_.OnTableUpdate({11, false, true, true, now_}, now_);
    CPPUNIT_ASSERT(watch_.Next(5, now_) == Step::kRequestFromPeer);
    watch_.OnTableUpdate({12, false, false, false, now_, true}, now_);
    Advance(milliseconds(500));
    CPPUNIT_ASSERT(watch_.Next(5, now_) == Step::kNone);
    CPPUNIT_ASSERT_EQUAL(uint64_t{12}, watch_.Version());
  }

  // Regression: entry VMs that had missed a change and that the store refused kept calling it, four
  // times a second, instead of requesting the change from their peers again.
  void Next_BehindWithoutStore_KeepsRequestingFromPeers() {
    ReadTable(5);
    int calls = 0;
    int requests = 0;
    for (int i = 0; i < 100; ++i) {
      Advance(milliseconds(50));
      if (i % 5 == 0) watch_.OnTableUpdate({11, false, true, true, now_}, now_);
      const Step step = watch_.Next(5, now_);
      requests += step == Step::kRequestFromPeer ? 1 : 0;
      if (step != Step::kCheck) continue;
      ++calls;
      watch_.OnFailure(now_);
    }
    CPPUNIT_ASSERT(requests >= 5);
    CPPUNIT_ASSERT(calls <= 10);  // At most 2 calls per second.
  }

  // Regression: a peer that lacked the same change answered a request, and its snapshot was taken
  // for the newest. A manifest then needed three seconds to reach all of 103 entry VMs.
  void OnTableUpdate_SnapshotFromPeerThatIsBehindToo_CallsTheStore() {
    ReadTable(5);
    Advance(milliseconds(400));
    watch_.OnTableUpdate({11, false, true, true, now_}, now_);
    CPPUNIT_ASSERT(watch_.Next(5, now_) == Step::kRequestFromPeer);
    watch_.OnTableUpdate({10, false, false, false, now_, true}, now_);
    Step step = Step::kNone;
    for (int i = 0; i < 10 && step != Step::kCheck; ++i) {
      Advance(milliseconds(50));
      step = watch_.Next(5, now_);
    }
    CPPUNIT_ASSERT(step == Step::kCheck);
    watch_.OnAnswer(11, now_);
    CPPUNIT_ASSERT(watch_.Next(5, now_) == Step::kNone);
  }

  void OnFailure_HighRankInLongOutage_CallsTwiceInTenSeconds() {
    ReadTable(20);
    const MonotonicTime confirmed = now_;
    int calls = 0;
    for (int i = 0; i < 200; ++i) {
      Advance(milliseconds(50));
      if (i % 10 == 0) watch_.OnTableUpdate({10, true, true, false, confirmed}, now_);
      if (watch_.Next(20, now_) != Step::kCheck) continue;
      ++calls;
      watch_.OnFailure(now_);
    }
    CPPUNIT_ASSERT_EQUAL(2, calls);
  }

  void OnTableUpdate_OnlyInStore_CallsTheStoreAtOnce() {
    ReadTable(5);
    Advance(milliseconds(400));
    watch_.OnTableUpdate({11, false, true, true, now_, false, true}, now_);
    CPPUNIT_ASSERT(watch_.Next(5, now_) == Step::kCheck);
  }

  // Compares NextWake with what Next returns in small steps of time, while nothing else happens.
  void NextWake_InRandomStates_IsTheTimeOfTheNextStep() {
    constexpr milliseconds resolution{5};
    std::mt19937_64 random(1);
    for (const uint32_t rank : {0U, 3U, 8U, 9U, 100U}) {
      TableWatchOptions options;
      options.startup_peer_timeout = milliseconds(rank % 2 == 0 ? 0 : 400);
      watch_ = TableWatch(options);
      for (int i = 0; i < 400; ++i) {
        TableWatch copy = watch_;
        const std::optional<MonotonicTime> wake = copy.NextWake(rank, now_);
        for (MonotonicTime at = now_; wake && at <= now_ + std::chrono::seconds(10);
             at += resolution) {
          const bool due = at >= *wake;
          // A wake-up may be too early if an update is awaited from a predecessor, never too late.
          const bool step = copy.Next(rank, at) != Step::kNone;
          CPPUNIT_ASSERT(due || !step);
          if (step) break;
          if (due) CPPUNIT_ASSERT(*copy.NextWake(rank, at) > at);
        }
        ApplyRandomEvent(random, rank);
      }
    }
  }

  void NextWake_RelyingOnOthers_IsSeldom() {
    ReadTable(20);
    size_t wakes = 0;
    MonotonicTime wake = *watch_.NextWake(20, now_);
    for (int i = 0; i < 2000; ++i) {  // 20 s, with two updates a second.
      Advance(milliseconds(10));
      if (i % 50 == 0) watch_.OnTableUpdate({10, true, true, true, now_}, now_);
      if (now_ < wake) continue;
      ++wakes;
      CPPUNIT_ASSERT(watch_.Next(20, now_) == Step::kNone);
      wake = *watch_.NextWake(20, now_);
    }
    CPPUNIT_ASSERT(wakes <= 20);
  }

 private:
  static TableWatchOptions WithSilentTimeout() {
    TableWatchOptions options;
    options.startup_peer_timeout = milliseconds(500);
    options.startup_silent_timeout = milliseconds(120);
    return options;
  }

  void ApplyRandomEvent(std::mt19937_64& random, uint32_t rank) {
    Advance(milliseconds(random() % 700));
    const Step step = watch_.Next(rank, now_);
    const bool calls = step == Step::kReadTable || step == Step::kWatch || step == Step::kCheck;
    if (calls && random() % 2 == 0) watch_.OnAnswer(watch_.Version() + random() % 2, now_);
    if (calls && random() % 2 == 0) watch_.OnFailure(now_);
    if (random() % 3 != 0) return;
    TableWatch::TableUpdate update;
    update.version = watch_.Version() + random() % 2;
    update.is_caught_up = random() % 2 == 0;
    update.from_predecessor = random() % 2 == 0;
    update.reaches_store = random() % 2 == 0;
    update.is_snapshot = random() % 4 == 0;
    update.confirmed = now_ - milliseconds(random() % 1000);
    watch_.OnTableUpdate(update, now_);
  }
  // Peers' answers are awaited for at most 500 ms, a quarter of the bound of 2 seconds.
  void AssertRequestsFromPeerThenCallsTheStore(uint32_t rank) {
    CPPUNIT_ASSERT(watch_.Next(rank, now_) == Step::kRequestFromPeer);
    Step step = Step::kNone;
    for (int i = 0; i < 10 && step != Step::kCheck; ++i) {
      Advance(milliseconds(50));
      step = watch_.Next(rank, now_);
    }
    CPPUNIT_ASSERT(step == Step::kCheck);
  }
  void Advance(Duration step) { now_ += step; }
  void ReadTable(uint32_t rank) {
    CPPUNIT_ASSERT(watch_.Next(rank, now_) == Step::kReadTable);
    watch_.OnAnswer(10, now_);
  }
  void TakeOver(uint32_t rank) {
    Advance(milliseconds(1600));
    CPPUNIT_ASSERT(watch_.Next(rank, now_) == Step::kCheck);
    watch_.OnAnswer(10, now_);
  }
  void FailFor(Duration span, uint32_t rank) {
    const MonotonicTime end = now_ + span;
    while (now_ < end) {
      if (watch_.Next(rank, now_) != Step::kNone) watch_.OnFailure(now_);
      Advance(milliseconds(50));
    }
  }

  TableWatch watch_;
  MonotonicTime now_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableWatchTest);

}  // namespace
}  // namespace cowsliphill
