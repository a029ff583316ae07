#include "src/balance/return_estimate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

class ReturnEstimateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReturnEstimateTest);
  CPPUNIT_TEST(NewCallers_OfVaryingPatience_CountAsNew);
  CPPUNIT_TEST(Returned_AfterMostOfTheTarget_IsSeen);
  CPPUNIT_TEST(Returned_InAStormOfReturns_IsSeen);
  CPPUNIT_TEST(OnRequest_FewSoFar_TellsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NewCallers_OfVaryingPatience_CountAsNew() {
    ReturnEstimate returns;
    for (int i = 0; i < 1000; ++i) CPPUNIT_ASSERT(returns.OnRequest(New()) == Duration{});
  }

  void Returned_AfterMostOfTheTarget_IsSeen() {
    ReturnEstimate returns;
    for (int i = 0; i < 300; ++i) returns.OnRequest(New());
    const Duration tried = returns.OnRequest(New() - milliseconds(700));
    CPPUNIT_ASSERT(tried >= milliseconds(300) && tried <= milliseconds(700));
  }

  // After an outage: four of five have come back, after up to two seconds.
  void Returned_InAStormOfReturns_IsSeen() {
    ReturnEstimate returns;
    std::uniform_int_distribution<int> tried(300, 1500);
    int seen = 0;
    int taken_for_returned = 0;
    for (int i = 0; i < 1000; ++i) {
      if (i % 5 == 0) {
        taken_for_returned += returns.OnRequest(New()) > Duration{} ? 1 : 0;
      } else {
        seen += returns.OnRequest(New() - milliseconds(tried(random_))) > Duration{} ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT(seen > 600);
    CPPUNIT_ASSERT_EQUAL(0, taken_for_returned);
  }

  void OnRequest_FewSoFar_TellsNothing() {
    ReturnEstimate returns;
    returns.OnRequest(New());
    CPPUNIT_ASSERT(returns.OnRequest(milliseconds(1)) == Duration{});
  }

 private:
  // A caller gives 2 s, less what it lacks in patience.
  Duration New() {
    std::uniform_int_distribution<int> left(1680, 1960);
    return milliseconds(left(random_));
  }

  std::mt19937_64 random_{3};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturnEstimateTest);

}  // namespace
}  // namespace cowsliphill
