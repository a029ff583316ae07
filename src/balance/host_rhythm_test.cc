// Hosts that change at fixed intervals, with offsets of their own, and hosts that don't.

#include "src/balance/host_rhythm.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

class HostRhythmTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HostRhythmTest);
  CPPUNIT_TEST(Interval_OfGapsInWholeSteps_IsFound);
  CPPUNIT_TEST(Interval_OfOtherDeployments_IsFoundAsWell);
  CPPUNIT_TEST(Interval_OfChangesAtAnyTime_IsNone);
  CPPUNIT_TEST(Interval_OnceTheRhythmEnds_IsGivenUp);
  CPPUNIT_TEST(Interval_WithAFewOddGaps_Stays);
  CPPUNIT_TEST(Steps_SeenOftenEnough_AreKnownWithinMilliseconds);
  CPPUNIT_TEST(Steps_BetweenTwoSteps_MayNotCome);
  CPPUNIT_TEST(Steps_OfAHostThatMoves_FollowIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Interval_OfGapsInWholeSteps_IsFound() {
    const auto interval = Learn([this] { return WholeSteps(milliseconds(500)); });
    CPPUNIT_ASSERT(interval && Near(*interval, milliseconds(500)));
  }

  void Interval_OfOtherDeployments_IsFoundAsWell() {
    for (const int ms : {200, 330, 1000, 2500}) {
      const auto interval = Learn([this, ms] { return WholeSteps(milliseconds(ms)); });
      CPPUNIT_ASSERT(interval && Near(*interval, milliseconds(ms)));
    }
  }

  void Interval_OfChangesAtAnyTime_IsNone() {
    std::exponential_distribution<double> gap(1.0 / 700);
    const auto interval =
        Learn([this, &gap] { return Duration(milliseconds(static_cast<int>(gap(random_)))); });
    CPPUNIT_ASSERT(!interval);
  }

  void Interval_OnceTheRhythmEnds_IsGivenUp() {
    HostRhythm rhythm;
    for (int i = 0; i < 100; ++i) rhythm.OnGap(WholeSteps(milliseconds(500)));
    CPPUNIT_ASSERT(rhythm.Interval().has_value());
    std::uniform_int_distribution<int> gap(100, 3000);
    for (int i = 0; i < 100; ++i) rhythm.OnGap(milliseconds(gap(random_)));
    CPPUNIT_ASSERT(!rhythm.Interval());
  }

  // Servers start, crash and are slowed down at any time.
  void Interval_WithAFewOddGaps_Stays() {
    std::uniform_int_distribution<int> odd(100, 3000);
    int n = 0;
    const auto interval = Learn([&] {
      return ++n % 15 == 0 ? Duration(milliseconds(odd(random_))) : WholeSteps(milliseconds(500));
    });
    CPPUNIT_ASSERT(interval && Near(*interval, milliseconds(500)));
  }

  void Steps_SeenOftenEnough_AreKnownWithinMilliseconds() {
    HostSteps steps;
    const MonotonicTime first = MonotonicTime(std::chrono::hours(1)) + milliseconds(123);
    std::uniform_int_distribution<int> before(1, 50);
    MonotonicTime time = first;
    for (int i = 0; i < 40; ++i) {
      // A look every 50 ms, at another place in the interval each time.
      const milliseconds seen(before(random_));
      steps.OnChange(time - seen, time + milliseconds(50) - seen, milliseconds(500));
      time += milliseconds(500);
    }
    // Looks come in the middle of the span until it is narrow.
    const MonotonicTime look = steps.NextLook(time - milliseconds(400), milliseconds(500));
    CPPUNIT_ASSERT(look >= time - milliseconds(8) && look <= time + milliseconds(12));
  }

  void Steps_BetweenTwoSteps_MayNotCome() {
    HostSteps steps;
    const MonotonicTime step = MonotonicTime(std::chrono::hours(1));
    CPPUNIT_ASSERT(steps.MayStep(step, step + milliseconds(1), milliseconds(500)));
    steps.OnChange(step - milliseconds(2), step + milliseconds(2), milliseconds(500));
    CPPUNIT_ASSERT(
        !steps.MayStep(step + milliseconds(3), step + milliseconds(490), milliseconds(500)));
    CPPUNIT_ASSERT(
        steps.MayStep(step + milliseconds(3), step + milliseconds(499), milliseconds(500)));
    // The same many intervals later.
    const MonotonicTime later = step + 20 * milliseconds(500);
    CPPUNIT_ASSERT(
        !steps.MayStep(later + milliseconds(3), later + milliseconds(490), milliseconds(500)));
  }

  void Steps_OfAHostThatMoves_FollowIt() {
    HostSteps steps;
    const MonotonicTime step = MonotonicTime(std::chrono::hours(1));
    steps.OnChange(step - milliseconds(2), step + milliseconds(2), milliseconds(500));
    const MonotonicTime moved = step + milliseconds(1200);
    steps.OnChange(moved - milliseconds(2), moved + milliseconds(2), milliseconds(500));
    CPPUNIT_ASSERT(
        !steps.MayStep(moved + milliseconds(3), moved + milliseconds(490), milliseconds(500)));
  }

 private:
  template <typename Next>
  std::optional<Duration> Learn(Next next) {
    HostRhythm rhythm;
    for (int i = 0; i < 100; ++i) rhythm.OnGap(next());
    return rhythm.Interval();
  }
  // One to some intervals, each as likely as the next is not, seen within 20 ms.
  Duration WholeSteps(milliseconds interval) {
    std::geometric_distribution<int> more(0.5);
    std::uniform_int_distribution<int> error(-20, 20);
    return (1 + more(random_)) * interval + milliseconds(error(random_));
  }
  static bool Near(Duration a, Duration b) {
    return std::chrono::abs(a - b) <= std::chrono::duration_cast<Duration>(b * 0.02);
  }

  std::mt19937_64 random_{7};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostRhythmTest);

}  // namespace
}  // namespace cowsliphill
