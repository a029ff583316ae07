#include "src/catalog/snapshot_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <map>
#include <random>

#include "src/catalog/startup_patience.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

class SnapshotQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SnapshotQueueTest);
  CPPUNIT_TEST(Requests_OfHundredsAtOnce_AreAnsweredAtTheRate);
  CPPUNIT_TEST(Request_WithoutItsVersions_WaitsForThem);
  CPPUNIT_TEST(Request_Old_IsDropped);
  CPPUNIT_TEST(Request_Repeated_IsAnsweredOnce);
  CPPUNIT_TEST(Requests_BeyondTheRate_AreForwardedToThoseAnswered);
  CPPUNIT_TEST(Request_OfAnAnsweredOneAgain_IsNotForwardedToItself);
  CPPUNIT_TEST(Request_ForwardedOften_WaitsForItsTurn);
  CPPUNIT_TEST(Fleet_StartsAtOnce_HasTheCatalogWithinTheHoldTime);
  CPPUNIT_TEST(Fleet_StartsAtOnceWithOneSeedLeft_HasTheCatalogWithinTwoRetries);
  CPPUNIT_TEST(Patience_OfAnyFleet_FewAreImpatientEarly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    queue_ = SnapshotQueue();
    now_ = MonotonicTime(std::chrono::hours(1));
  }

  void Requests_OfHundredsAtOnce_AreAnsweredAtTheRate() {
    for (uint16_t i = 0; i < 470; ++i) {
      CatalogRequest request = From(i);
      request.forwards = SnapshotQueue::kMaxForwards;  // It must be answered here.
      queue_.Add(request, now_);
    }
    size_t answered = 0;
    const MonotonicTime end = now_ + milliseconds(1000);
    while (now_ < end) {
      answered += TakeDue(true).answers.size();
      const auto wake = queue_.NextWake(now_);
      if (!wake) break;
      CPPUNIT_ASSERT(*wake > now_);
      now_ = *wake;
    }
    // The others have asked someone else meanwhile.
    const auto most =
        SnapshotQueue::kBurst + SnapshotQueue::kAnswersPerSecond *
                                    std::chrono::duration<double>(SnapshotQueue::kMaxAge).count();
    CPPUNIT_ASSERT(static_cast<double>(answered) <= most + 1);
    CPPUNIT_ASSERT(static_cast<double>(answered) >= most / 2);
  }

  void Request_WithoutItsVersions_WaitsForThem() {
    queue_.Add(From(1), now_);
    CPPUNIT_ASSERT(TakeDue(false).answers.empty());
    CPPUNIT_ASSERT(!queue_.NextWake(now_));
    now_ += milliseconds(100);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, TakeDue(true).answers.size());
    CPPUNIT_ASSERT(TakeDue(true).answers.empty());
  }

  void Request_Old_IsDropped() {
    queue_.Add(From(1), now_);
    now_ += SnapshotQueue::kMaxAge + milliseconds(1);
    CPPUNIT_ASSERT(TakeDue(true).answers.empty());
  }

  void Request_Repeated_IsAnsweredOnce() {
    queue_.Add(From(1), now_);
    queue_.Add(From(1), now_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, TakeDue(true).answers.size());
  }

  void Requests_BeyondTheRate_AreForwardedToThoseAnswered() {
    for (uint16_t i = 0; i < 100; ++i) queue_.Add(From(i), now_);
    const SnapshotQueue::Due due = TakeDue(true);
    CPPUNIT_ASSERT_EQUAL(static_cast<size_t>(SnapshotQueue::kBurst), due.answers.size());
    CPPUNIT_ASSERT_EQUAL(size_t{100}, due.answers.size() + due.forwards.size());
    std::map<Endpoint, size_t> forwarded;
    for (const auto& it : due.forwards) ++forwarded[it.to];
    CPPUNIT_ASSERT_EQUAL(due.answers.size(), forwarded.size());
    for (const auto& [to, n] : forwarded) CPPUNIT_ASSERT(n >= 11 && n <= 12);
    now_ += SnapshotQueue::kHelperTime + milliseconds(1);
    for (uint16_t i = 0; i < 100; ++i) queue_.Add(From(i), now_);
    CPPUNIT_ASSERT_EQUAL(due.answers.size(), TakeDue(true).answers.size());
  }

  void Request_OfAnAnsweredOneAgain_IsNotForwardedToItself() {
    for (uint16_t i = 0; i < 20; ++i) queue_.Add(From(i), now_);
    TakeDue(true);
    for (uint16_t i = 0; i < 20; ++i) queue_.Add(From(i), now_);
    for (const auto& it : TakeDue(true).forwards) CPPUNIT_ASSERT(it.to != it.request.reply_to);
  }

  void Request_ForwardedOften_WaitsForItsTurn() {
    for (uint16_t i = 0; i < 20; ++i) {
      CatalogRequest request = From(i);
      request.forwards = SnapshotQueue::kMaxForwards;
      queue_.Add(request, now_);
    }
    const SnapshotQueue::Due due = TakeDue(true);
    CPPUNIT_ASSERT_EQUAL(static_cast<size_t>(SnapshotQueue::kBurst), due.answers.size());
    CPPUNIT_ASSERT(due.forwards.empty());
    CPPUNIT_ASSERT(queue_.NextWake(now_).has_value());
  }

  // All entry VMs lose power and start again at once. Only the three seeds read the store, and no
  // entry VM knows any other yet.
  void Fleet_StartsAtOnce_HasTheCatalogWithinTheHoldTime() {
    StartingFleet fleet(473, 3);
    fleet.Run(milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(size_t{473}, fleet.Ready());
    // A small link carries it in that time.
    CPPUNIT_ASSERT(fleet.MostSentByOne() <= 40);
  }

  void Fleet_StartsAtOnceWithOneSeedLeft_HasTheCatalogWithinTwoRetries() {
    StartingFleet fleet(473, 1);
    fleet.Run(milliseconds(400) + 2 * StartingFleet::kRetryTime);
    CPPUNIT_ASSERT_EQUAL(size_t{471}, fleet.Ready());
    CPPUNIT_ASSERT(fleet.MostSentByOne() <= 60);
  }

  void Patience_OfAnyFleet_FewAreImpatientEarly() {
    constexpr milliseconds longest{500};
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> draw(0, 1);
    for (const size_t fleet : {17U, 100U, 473U, 1283U}) {
      std::vector<Duration> patience;
      for (size_t i = 0; i < fleet; ++i) patience.push_back(StartupPatience(longest, draw(random)));
      std::sort(patience.begin(), patience.end());
      CPPUNIT_ASSERT(patience.front() <= milliseconds(400));
      CPPUNIT_ASSERT(patience.back() <= longest);
      // Half a patience is time enough for the first to give the catalog to the others.
      const auto early = std::lower_bound(patience.begin(), patience.end(), longest / 2);
      CPPUNIT_ASSERT(static_cast<size_t>(early - patience.begin()) <= 5 + fleet / 15);
    }
  }

 private:
  static CatalogRequest From(uint16_t port) {
    CatalogRequest request;
    request.reply_to = {"10.0.0.1", port};
    return request;
  }

  // Entry VMs that start at the same time, in virtual time. Each has a link that sends a snapshot
  // in kSendTime.
  class StartingFleet {
   public:
    static constexpr size_t kSeeds = 3;
    static constexpr milliseconds kStoreReadTime{30};
    static constexpr milliseconds kSendTime{8};    // 20 KB at 20 Mbit/s.
    static constexpr milliseconds kApplyTime{30};  // Of a snapshot, on a small processor.
    static constexpr milliseconds kRetryTime{150};

    // The first kSeeds are the seeds; the first `live_seeds` of them are alive.
    StartingFleet(size_t n, size_t live_seeds) : vms_(n) {
      for (size_t i = 0; i < live_seeds; ++i) At(kStoreReadTime, [this, i] { BecomeReady(i); });
      for (size_t i = live_seeds; i < kSeeds; ++i) vms_[i].dead = true;
      for (size_t i = kSeeds; i < n; ++i) Ask(i, i % kSeeds);
    }
    void Run(Duration until) {
      while (!events_.empty() && events_.begin()->first <= kStart + until) {
        const auto event = events_.begin()->second;
        now_ = events_.begin()->first;
        events_.erase(events_.begin());
        event();
      }
    }
    size_t Ready() const {
      return static_cast<size_t>(
          std::count_if(vms_.begin(), vms_.end(), [](const Vm& it) { return it.ready; }));
    }
    size_t MostSentByOne() const {
      size_t most = 0;
      for (const Vm& it : vms_) most = std::max(most, it.sent);
      return most;
    }

   private:
    static constexpr MonotonicTime kStart{std::chrono::hours(1)};
    struct Vm {
      SnapshotQueue queue;
      bool ready = false;
      bool dead = false;
      size_t sent = 0;
      MonotonicTime link_free{};
    };

    void At(Duration delay, std::function<void()> event) {
      events_.emplace(now_ + delay, std::move(event));
    }
    // Asks one seed after another, as long as it has no catalog.
    void Ask(size_t i, size_t seed) {
      if (vms_[i].ready) return;
      Deliver(seed, From(static_cast<uint16_t>(i)));
      At(kRetryTime, [=, this] { Ask(i, (seed + 1) % kSeeds); });
    }
    void Deliver(size_t to, const CatalogRequest& request) {
      if (vms_[to].dead) return;
      vms_[to].queue.Add(request, now_);
      Answer(to);
    }
    void BecomeReady(size_t i) {
      if (vms_[i].ready) return;
      vms_[i].ready = true;
      Answer(i);
    }
    void Answer(size_t i) {
      Vm& vm = vms_[i];
      const auto due = vm.queue.TakeDue([&vm](const auto&) { return vm.ready; }, now_);
      for (const CatalogRequest& it : due.answers) {
        vm.link_free = std::max(vm.link_free, now_) + kSendTime;
        ++vm.sent;
        const size_t to = it.reply_to.port;
        At(vm.link_free + kApplyTime - now_, [this, to] { BecomeReady(to); });
      }
      for (const SnapshotQueue::Forward& it : due.forwards) {
        At(std::max(vm.link_free - now_, Duration{}),
           [this, it] { Deliver(it.to.port, it.request); });
      }
      if (const auto wake = vm.queue.NextWake(now_)) At(*wake - now_, [this, i] { Answer(i); });
    }

    std::vector<Vm> vms_;
    MonotonicTime now_ = kStart;
    std::multimap<MonotonicTime, std::function<void()>> events_;
  };

  SnapshotQueue::Due TakeDue(bool can_answer) {
    return queue_.TakeDue([can_answer](const CatalogRequest&) { return can_answer; }, now_);
  }

  SnapshotQueue queue_;
  MonotonicTime now_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotQueueTest);

}  // namespace
}  // namespace cowsliphill
