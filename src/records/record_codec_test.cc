#include "src/records/record_codec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cowsliphill {
namespace {

constexpr size_t kNestedBytes = 1 << 20;  // Each byte opens a nested array.

class RecordCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordCodecTest);
  CPPUNIT_TEST(Bytes_NestedAMillionDeep_AreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Bytes_NestedAMillionDeep_AreRefused() {
    const std::string nested(kNestedBytes, '\x91');
    CPPUNIT_ASSERT(!NotesFromBytes(nested, EntryVmId("a")));
    CPPUNIT_ASSERT(!ReplyFromBytes(nested));
    CPPUNIT_ASSERT(!BatchFromBytes(nested));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordCodecTest);

}  // namespace
}  // namespace cowsliphill
