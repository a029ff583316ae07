#include "src/forward/stop_window.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kGracePeriod{8000};

class StopWindowTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopWindowTest);
  CPPUNIT_TEST(LateRequest_LimitReachesBeyondTheStop_IsRefused);
  CPPUNIT_TEST(EarlyRequest_MostOfItsTimeFits_IsSent);
  CPPUNIT_TEST(NoStop_AnyRequest_IsSent);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Regression: it was sent if three quarters of its time were left, and cut off at the end.
  void LateRequest_LimitReachesBeyondTheStop_IsRefused() {
    CPPUNIT_ASSERT(!MaySend(milliseconds(4200), milliseconds(5000), false));
    CPPUNIT_ASSERT(!MaySend(milliseconds(3050), milliseconds(4900), true));
    CPPUNIT_ASSERT(MaySend(milliseconds(4200), milliseconds(3600), false));
  }
  // Guards against refusing more than the rule needs.
  void EarlyRequest_MostOfItsTimeFits_IsSent() {
    CPPUNIT_ASSERT(MaySend(milliseconds(2800), milliseconds(6600), false));
    CPPUNIT_ASSERT(MaySend(milliseconds(2800), milliseconds(10000), true));
    CPPUNIT_ASSERT(!MaySend(milliseconds(2800), milliseconds(6800), false));
    // It arrived early and waited for a server.
    CPPUNIT_ASSERT(Window().MaySend(At(milliseconds(-500)), At(milliseconds(8500)), false,
                                    At(milliseconds(4000))));
  }
  // Guards against the times of a stop that has not begun.
  void NoStop_AnyRequest_IsSent() {
    CPPUNIT_ASSERT(StopWindow().MaySend(At(milliseconds(0)), At(milliseconds(1 << 30)), false,
                                        At(milliseconds(0))));
  }

 private:
  // `t` is relative to the signal.
  static MonotonicTime At(milliseconds t) { return MonotonicTime{} + std::chrono::hours(1) + t; }
  static StopWindow Window() { return {At(milliseconds(0)), At(kGracePeriod - milliseconds(100))}; }
  static bool MaySend(milliseconds arrived, milliseconds limit, bool repeatable) {
    return Window().MaySend(At(arrived), At(arrived + limit), repeatable, At(arrived));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopWindowTest);

}  // namespace
}  // namespace cowsliphill
