// Tests with hosts that change speed at a fixed interval, each with its own offset, and with hosts
// that change speed at any time.

#include "src/balance/host_steps.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

class HostIntervalEstimateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HostIntervalEstimateTest);
  CPPUNIT_TEST(Interval_GapsOfWholeIntervals_IsFound);
  CPPUNIT_TEST(Interval_OtherIntervalLengths_IsFound);
  CPPUNIT_TEST(Interval_ChangesAtAnyTime_IsNone);
  CPPUNIT_TEST(Interval_ChangesBecomeIrregular_IsDropped);
  CPPUNIT_TEST(Interval_FewIrregularGaps_IsKept);
  CPPUNIT_TEST(OnChange_ManyChanges_KnowsStepsWithinMilliseconds);
  CPPUNIT_TEST(MayStep_BetweenTwoSteps_IsFalse);
  CPPUNIT_TEST(OnChange_StepsShifted_FollowsThem);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Interval_GapsOfWholeIntervals_IsFound() {
    const auto interval = IntervalOf([this] { return WholeSteps(milliseconds(500)); });
    CPPUNIT_ASSERT(interval && Near(*interval, milliseconds(500)));
  }

  void Interval_OtherIntervalLengths_IsFound() {
    for (const int ms : {200, 330, 1000, 2500}) {
      const auto interval = IntervalOf([this, ms] { return WholeSteps(milliseconds(ms)); });
      CPPUNIT_ASSERT(interval && Near(*interval, milliseconds(ms)));
    }
  }

  void Interval_ChangesAtAnyTime_IsNone() {
    std::exponential_distribution<double> gap(1.0 / 700);
    const auto interval =
        IntervalOf([this, &gap] { return Duration(milliseconds(static_cast<int>(gap(random_)))); });
    CPPUNIT_ASSERT(!interval);
  }

  void Interval_ChangesBecomeIrregular_IsDropped() {
    HostIntervalEstimate estimate;
    for (int i = 0; i < 100; ++i) estimate.OnGapBetweenChanges(WholeSteps(milliseconds(500)));
    CPPUNIT_ASSERT(estimate.Interval().has_value());
    std::uniform_int_distribution<int> gap(100, 3000);
    for (int i = 0; i < 100; ++i) estimate.OnGapBetweenChanges(milliseconds(gap(random_)));
    CPPUNIT_ASSERT(!estimate.Interval());
  }

  // Some changes don't come at the interval: servers start, crash and are slowed down at any time.
  void Interval_FewIrregularGaps_IsKept() {
    std::uniform_int_distribution<int> irregular(100, 3000);
    int n = 0;
    const auto interval = IntervalOf([&] {
      return ++n % 15 == 0 ? Duration(milliseconds(irregular(random_)))
                           : WholeSteps(milliseconds(500));
    });
    CPPUNIT_ASSERT(interval && Near(*interval, milliseconds(500)));
  }

  void OnChange_ManyChanges_KnowsStepsWithinMilliseconds() {
    HostStepTimes steps;
    const MonotonicTime first = MonotonicTime(std::chrono::hours(1)) + milliseconds(123);
    std::uniform_int_distribution<int> before(1, 50);
    MonotonicTime time = first;
    for (int i = 0; i < 40; ++i) {
      // Probes come every 50 ms, at a different offset from the step each time.
      const milliseconds seen(before(random_));
      steps.OnChange(time - seen, time + milliseconds(50) - seen, milliseconds(500));
      time += milliseconds(500);
    }
    // Probes come in the middle of the span until it is narrow.
    const MonotonicTime probe = steps.NextProbeTime(time - milliseconds(400), milliseconds(500));
    CPPUNIT_ASSERT(probe >= time - milliseconds(8) && probe <= time + milliseconds(12));
  }

  void MayStep_BetweenTwoSteps_IsFalse() {
    HostStepTimes steps;
    const MonotonicTime step = MonotonicTime(std::chrono::hours(1));
    CPPUNIT_ASSERT(steps.MayStep(step, step + milliseconds(1), milliseconds(500)));
    steps.OnChange(step - milliseconds(2), step + milliseconds(2), milliseconds(500));
    CPPUNIT_ASSERT(
        !steps.MayStep(step + milliseconds(3), step + milliseconds(490), milliseconds(500)));
    CPPUNIT_ASSERT(
        steps.MayStep(step + milliseconds(3), step + milliseconds(499), milliseconds(500)));
    // The prediction holds many intervals later, too.
    const MonotonicTime later = step + 20 * milliseconds(500);
    CPPUNIT_ASSERT(
        !steps.MayStep(later + milliseconds(3), later + milliseconds(490), milliseconds(500)));
  }

  void OnChange_StepsShifted_FollowsThem() {
    HostStepTimes steps;
    const MonotonicTime step = MonotonicTime(std::chrono::hours(1));
    steps.OnChange(step - milliseconds(2), step + milliseconds(2), milliseconds(500));
    const MonotonicTime moved = step + milliseconds(1200);
    steps.OnChange(moved - milliseconds(2), moved + milliseconds(2), milliseconds(500));
    CPPUNIT_ASSERT(
        !steps.MayStep(moved + milliseconds(3), moved + milliseconds(490), milliseconds(500)));
  }

 private:
  template <typename Next>
  std::optional<Duration> IntervalOf(Next next) {
    HostIntervalEstimate estimate;
    for (int i = 0; i < 100; ++i) estimate.OnGapBetweenChanges(next());
    return estimate.Interval();
  }
  // Returns a gap of one or more intervals, each further one with probability 1/2, with an error of
  // up to 20 ms.
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

CPPUNIT_TEST_SUITE_REGISTRATION(HostIntervalEstimateTest);

}  // namespace
}  // namespace cowsliphill
