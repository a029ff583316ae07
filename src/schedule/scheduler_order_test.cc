#include "src/schedule/scheduler_order.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "src/members/election.h"

namespace cowsliphill {
namespace {

class SchedulerOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SchedulerOrderTest);
  CPPUNIT_TEST(Order_WithLargeAndSmallEntryVms_BeginsWithTheLarge);
  CPPUNIT_TEST(Order_WithFewLargeEntryVms_IsFilledUpWithSmallOnes);
  CPPUNIT_TEST(Order_OfManyCells_IsSpreadOverEqualEntryVms);
  CPPUNIT_TEST(ElectionRank_OfALargerEntryVm_IsLower);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Order_WithLargeAndSmallEntryVms_BeginsWithTheLarge() {
    SetMembers(90, 3);
    const std::set<uint16_t> first = Ports("service");
    CPPUNIT_ASSERT((std::set<uint16_t>{90, 91, 92}) == first);
  }

  void Order_WithFewLargeEntryVms_IsFilledUpWithSmallOnes() {
    SetMembers(90, 1);
    const auto& order = order_.SchedulersFor({ServiceId("service"), FailureDomainId("a")});
    CPPUNIT_ASSERT_EQUAL(SchedulerOrder::kMaxSchedulers, order.size());
    CPPUNIT_ASSERT_EQUAL(uint16_t{90}, order[0].port);
    CPPUNIT_ASSERT(order[1].port < 90);
  }

  void Order_OfManyCells_IsSpreadOverEqualEntryVms() {
    SetMembers(0, 5);
    std::map<uint16_t, int> primaries;
    for (int n = 0; n < 100; ++n) {
      const CellId cell{ServiceId("service-" + std::to_string(n)), FailureDomainId("a")};
      ++primaries[order_.SchedulersFor(cell).front().port];
    }
    CPPUNIT_ASSERT_EQUAL(size_t{5}, primaries.size());
    for (const auto& [port, n] : primaries) CPPUNIT_ASSERT(n <= 40);
  }

  void ElectionRank_OfALargerEntryVm_IsLower() {
    for (int n = 0; n < 50; ++n) {
      const EntryVmId a("a" + std::to_string(n));
      const EntryVmId b("b" + std::to_string(n));
      CPPUNIT_ASSERT(ElectionRank(a, 500) < ElectionRank(b, 100));
      CPPUNIT_ASSERT(ElectionRank(a, 100) != ElectionRank(b, 100));
    }
  }

 private:
  void SetMembers(uint16_t small, uint16_t large) {
    std::vector<Member> members;
    for (uint16_t i = 0; i < small + large; ++i) {
      Member member;
      member.id = EntryVmId("vm-" + std::to_string(i));
      member.peer = {"10.0.0.1", i};
      member.failure_domain = FailureDomainId("a");
      member.millicores = i < small ? 100 : 500;
      members.push_back(member);
    }
    order_.SetMembers(members);
  }
  std::set<uint16_t> Ports(const std::string& service) {
    std::set<uint16_t> ports;
    for (const Endpoint& it : order_.SchedulersFor({ServiceId(service), FailureDomainId("a")})) {
      ports.insert(it.port);
    }
    return ports;
  }

  SchedulerOrder order_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerOrderTest);

}  // namespace
}  // namespace cowsliphill
