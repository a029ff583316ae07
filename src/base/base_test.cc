#include <cppunit/extensions/HelperMacros.h>

#include "src/base/clock.h"
#include "src/base/ids.h"

namespace cowsliphill {
namespace {

class BaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BaseTest);
  CPPUNIT_TEST(Endpoint_WithIpv6_IsBracketed);
  CPPUNIT_TEST(ManualClock_WhenAdvanced_MovesByTheStep);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Endpoint_WithIpv6_IsBracketed() {
    CPPUNIT_ASSERT_EQUAL(std::string("[::1]:80"), (Endpoint{"::1", 80}.ToString()));
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:80"), (Endpoint{"127.0.0.1", 80}.ToString()));
  }

  void ManualClock_WhenAdvanced_MovesByTheStep() {
    ManualClock clock;
    const MonotonicTime before = clock.Now();
    clock.Advance(std::chrono::milliseconds(5));
    CPPUNIT_ASSERT(clock.Now() - before == std::chrono::milliseconds(5));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BaseTest);

}  // namespace
}  // namespace cowsliphill
