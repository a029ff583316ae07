#include "src/schedule/hedge_policy.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWindow{1000};

class HedgePolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HedgePolicyTest);
  CPPUNIT_TEST(Limit_AHundredEntryVms_HoldsInEveryWindow);
  CPPUNIT_TEST(Rank_LessUrgentThanTheLimit_IsNotHedged);
  CPPUNIT_TEST(Delay_SomeServersSevenTimesSlower_StaysBelowTheirLatency);
  CPPUNIT_TEST(Delay_TailOfTheWorkItself_IsTheQuantile);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a limit that each entry VM keeps by itself but all together exceed.
  void Limit_AHundredEntryVms_HoldsInEveryWindow() {
    HedgingSettings settings;
    settings.max_share = 0.05;
    std::vector<std::unique_ptr<HedgePolicy>> entries(100);
    for (auto& it : entries) it = std::make_unique<HedgePolicy>(settings, kWindow);
    std::deque<MonotonicTime> requests;
    std::deque<MonotonicTime> hedges;
    size_t total = 0;
    for (int ms = 1; ms < 5000; ++ms) {
      const MonotonicTime now = At(milliseconds(ms));
      for (int n = 0; n < 4; ++n) {
        HedgePolicy& entry = *entries[static_cast<size_t>((7 * ms + 13 * n) % 100)];
        entry.OnRequest(kService, now);
        requests.push_back(now);
        if (!entry.Reserve(kService, now)) continue;
        hedges.push_back(now);
        ++total;
      }
      while (requests.front() < now - kWindow) requests.pop_front();
      while (!hedges.empty() && hedges.front() < now - kWindow) hedges.pop_front();
      CPPUNIT_ASSERT(static_cast<double>(hedges.size()) <=
                     settings.max_share * static_cast<double>(requests.size()));
    }
    CPPUNIT_ASSERT(total > 0);
  }
  // Guards against extra work for requests that are not urgent.
  void Rank_LessUrgentThanTheLimit_IsNotHedged() {
    HedgingSettings settings;
    settings.rank_limit = 2;
    CPPUNIT_ASSERT(HedgePolicy(settings, kWindow).Allows(2));
    CPPUNIT_ASSERT(!HedgePolicy(settings, kWindow).Allows(3));
    settings.enabled = false;
    CPPUNIT_ASSERT(!HedgePolicy(settings, kWindow).Allows(0));
  }
  // Guards against waiting for as long as the slow servers take.
  void Delay_SomeServersSevenTimesSlower_StaysBelowTheirLatency() {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0, DelayInExpected([](int n) { return n % 4 == 0 ? 7.0 : 1.0; }),
                                 0.1);
  }
  // Guards against a fixed factor: one in ten takes longer, in a way that a hedge can't mend.
  void Delay_TailOfTheWorkItself_IsTheQuantile() {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        1.5, DelayInExpected([](int n) { return n % 10 == 0 ? 1.5 : 1.0; }), 0.1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, DelayInExpected([](int) { return 1.0; }), 0.1);
  }

 private:
  static MonotonicTime At(milliseconds t) { return MonotonicTime{} + std::chrono::hours(1) + t; }
  template <typename RatioOf>
  static double DelayInExpected(RatioOf ratio_of) {
    HedgingSettings settings;
    settings.quantile = 0.95;
    HedgePolicy policy(settings, kWindow);
    const Duration expected = milliseconds(100);
    CPPUNIT_ASSERT(!policy.Delay(kService, expected, At(milliseconds(0))));
    for (int n = 0; n < 200; ++n) {
      policy.OnLatency(kService, Times(expected, ratio_of(n)), expected, At(milliseconds(n)));
    }
    const auto delay = policy.Delay(kService, expected, At(milliseconds(200)));
    CPPUNIT_ASSERT(delay);
    return static_cast<double>(delay->count()) / static_cast<double>(expected.count());
  }

  inline static const ServiceId kService{"service-a"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HedgePolicyTest);

}  // namespace
}  // namespace cowsliphill
