#include "src/base/msgpack.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cowsliphill {
namespace {

class MsgpackTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MsgpackTest);
  CPPUNIT_TEST(Msgpack_OfNestedArrays_IsAcceptedUpToTheLimit);
  CPPUNIT_TEST(Msgpack_OfNestedMaps_IsAcceptedUpToTheLimit);
  CPPUNIT_TEST(Msgpack_OfAMillionLevels_IsRejectedWithoutRecursion);
  CPPUNIT_TEST(Msgpack_Truncated_IsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Msgpack_OfNestedArrays_IsAcceptedUpToTheLimit() {
    CPPUNIT_ASSERT(IsShallowMsgpack(Nested("\x91", kMaxMsgpackNesting)));
    CPPUNIT_ASSERT(!IsShallowMsgpack(Nested("\x91", kMaxMsgpackNesting + 1)));
  }

  void Msgpack_OfNestedMaps_IsAcceptedUpToTheLimit() {
    CPPUNIT_ASSERT(IsShallowMsgpack(Nested("\x81\xa1k", kMaxMsgpackNesting)));
    CPPUNIT_ASSERT(!IsShallowMsgpack(Nested("\x81\xa1k", kMaxMsgpackNesting + 1)));
  }

  void Msgpack_OfAMillionLevels_IsRejectedWithoutRecursion() {
    CPPUNIT_ASSERT(!IsShallowMsgpack(Nested("\x91", 1000000)));
  }

  void Msgpack_Truncated_IsRejected() {
    CPPUNIT_ASSERT(!IsShallowMsgpack(""));
    CPPUNIT_ASSERT(!IsShallowMsgpack("\x92\x01"));
  }

 private:
  // Encodes the number 1 inside `levels` containers, each of which starts with `opening`.
  static std::string Nested(const std::string& opening, size_t levels) {
    std::string bytes;
    for (size_t i = 0; i < levels; ++i) bytes += opening;
    return bytes + "\x01";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MsgpackTest);

}  // namespace
}  // namespace cowsliphill
