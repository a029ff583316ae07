// Runs the soak test once with its default seed and duration; `scripts/soak` runs it many times
// with other seeds.

#include <cppunit/extensions/HelperMacros.h>

#include "tests/fleet_soak.h"

namespace cowsliphill {
namespace {

class SoakTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SoakTest);
  CPPUNIT_TEST(FaultPlan_SameSeed_IsIdentical);
  CPPUNIT_TEST(Fleet_UnderSeededFaults_KeepsItsPromises);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FaultPlan_SameSeed_IsIdentical() {
    SoakOptions options;
    options.seed = 7;
    const auto first = PlanFaults(options);
    const auto second = PlanFaults(options);
    CPPUNIT_ASSERT_EQUAL(first.size(), second.size());
    for (size_t i = 0; i < first.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(first[i].kind, second[i].kind);
      CPPUNIT_ASSERT(first[i].at == second[i].at);
    }
  }

  void Fleet_UnderSeededFaults_KeepsItsPromises() {
    const SoakReport report = RunSoak(SoakOptions());
    CPPUNIT_ASSERT_MESSAGE(Format(report), report.violations.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakTest);

}  // namespace
}  // namespace cowsliphill
