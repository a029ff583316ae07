// Tests of the message that names leaving backend servers.

#include "src/choose/leaving_message.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cowsliphill {
namespace {

class LeavingMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeavingMessageTest);
  CPPUNIT_TEST(Message_EncodedAndDecoded_IsTheSame);
  CPPUNIT_TEST(Message_EveryTruncation_Refused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Message_EncodedAndDecoded_IsTheSame() {
    const auto decoded = DecodeLeaving(EncodeLeaving(message_));
    CPPUNIT_ASSERT(decoded && decoded->servers == message_.servers);
  }

  void Message_EveryTruncation_Refused() {
    const std::string bytes = EncodeLeaving(message_);
    for (size_t n = 0; n < bytes.size(); ++n) CPPUNIT_ASSERT(!DecodeLeaving(bytes.substr(0, n)));
    CPPUNIT_ASSERT(!DecodeLeaving("\xc0"));
  }

 private:
  LeavingMessage message_{{BackendServerId("a"), BackendServerId("b")}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingMessageTest);

}  // namespace
}  // namespace cowsliphill
