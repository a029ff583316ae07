#include "src/balance/caller_elapsed_estimate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

class CallerElapsedEstimateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerElapsedEstimateTest);
  CPPUNIT_TEST(OnRequest_NewCallersWithDifferentTimeouts_ReturnsZero);
  CPPUNIT_TEST(OnRequest_RetryAfter700Ms_IsDetected);
  CPPUNIT_TEST(OnRequest_MostRequestsAreRetries_AreDetected);
  CPPUNIT_TEST(OnRequest_TooFewRequests_ReturnsZero);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OnRequest_NewCallersWithDifferentTimeouts_ReturnsZero() {
    CallerElapsedEstimate estimate;
    for (int i = 0; i < 1000; ++i) CPPUNIT_ASSERT(estimate.OnRequest(FullWait()) == Duration{});
  }

  void OnRequest_RetryAfter700Ms_IsDetected() {
    CallerElapsedEstimate estimate;
    for (int i = 0; i < 300; ++i) estimate.OnRequest(FullWait());
    const Duration tried = estimate.OnRequest(FullWait() - milliseconds(700));
    CPPUNIT_ASSERT(tried >= milliseconds(300) && tried <= milliseconds(700));
  }

  // After an outage four of five requests are retries by callers that have tried for 0.3 to 1.5 s.
  void OnRequest_MostRequestsAreRetries_AreDetected() {
    CallerElapsedEstimate estimate;
    std::uniform_int_distribution<int> tried(300, 1500);
    int detected = 0;
    int false_positives = 0;
    for (int i = 0; i < 1000; ++i) {
      if (i % 5 == 0) {
        false_positives += estimate.OnRequest(FullWait()) > Duration{} ? 1 : 0;
      } else {
        detected +=
            estimate.OnRequest(FullWait() - milliseconds(tried(random_))) > Duration{} ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT(detected > 600);
    CPPUNIT_ASSERT_EQUAL(0, false_positives);
  }

  void OnRequest_TooFewRequests_ReturnsZero() {
    CallerElapsedEstimate estimate;
    estimate.OnRequest(FullWait());
    CPPUNIT_ASSERT(estimate.OnRequest(milliseconds(1)) == Duration{});
  }

 private:
  // Returns how much longer a new caller will wait: 1.68 to 1.96 s, because not all callers use the
  // same timeout.
  Duration FullWait() {
    std::uniform_int_distribution<int> left(1680, 1960);
    return milliseconds(left(random_));
  }

  std::mt19937_64 random_{3};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerElapsedEstimateTest);

}  // namespace
}  // namespace cowsliphill
