#include "src/base/msgpack.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cowsliphill {
namespace {

class MsgpackTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MsgpackTest);
  CPPUNIT_TEST(Msgpack_OfNestedArrays_IsShallowUpToTheLimit);
  CPPUNIT_TEST(Msgpack_OfNestedMaps_IsShallowUpToTheLimit);
  CPPUNIT_TEST(Msgpack_OfAMillionLevels_IsRefusedWithoutRecursion);
  CPPUNIT_TEST(Msgpack_CutOff_IsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Msgpack_OfNestedArrays_IsShallowUpToTheLimit() {
    CPPUNIT_ASSERT(IsShallowMsgpack(Nested("\x91", kMostMsgpackNesting)));
    CPPUNIT_ASSERT(!IsShallowMsgpack(Nested("\x91", kMostMsgpackNesting + 1)));
  }

  void Msgpack_OfNestedMaps_IsShallowUpToTheLimit() {
    CPPUNIT_ASSERT(IsShallowMsgpack(Nested("\x81\xa1k", kMostMsgpackNesting)));
    CPPUNIT_ASSERT(!IsShallowMsgpack(Nested("\x81\xa1k", kMostMsgpackNesting + 1)));
  }

  void Msgpack_OfAMillionLevels_IsRefusedWithoutRecursion() {
    CPPUNIT_ASSERT(!IsShallowMsgpack(Nested("\x91", 1000000)));
  }

  void Msgpack_CutOff_IsRefused() {
    CPPUNIT_ASSERT(!IsShallowMsgpack(""));
    CPPUNIT_ASSERT(!IsShallowMsgpack("\x92\x01"));
  }

 private:
  // The number 1 within this many levels.
  static std::string Nested(const std::string& opening, size_t levels) {
    std::string bytes;
    for (size_t i = 0; i < levels; ++i) bytes += opening;
    return bytes + "\x01";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MsgpackTest);

}  // namespace
}  // namespace cowsliphill
