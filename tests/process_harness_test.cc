#include "tests/process_harness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>

namespace cowsliphill {
namespace {

class ProcessHarnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessHarnessTest);
  CPPUNIT_TEST(FreeEndpoint_Port_IsOutsideTheEphemeralRange);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a test timeout: if an outgoing connection takes the port before the entry VM
  // listens on it, the entry VM exits at startup.
  void FreeEndpoint_Port_IsOutsideTheEphemeralRange() {
    std::ifstream range("/proc/sys/net/ipv4/ip_local_port_range");
    int first = 0;
    int last = 0;
    CPPUNIT_ASSERT(range >> first >> last);
    for (int n = 0; n < 20; ++n) {
      const int port = FreeEndpoint().port;
      CPPUNIT_ASSERT(port > 1024 && (port < first || port > last));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessHarnessTest);

}  // namespace
}  // namespace cowsliphill
