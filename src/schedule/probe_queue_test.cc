#include "src/schedule/probe_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "src/schedule/scheduler.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

class ProbeQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProbeQueueTest);
  CPPUNIT_TEST(TakeDue_ServersOfAllTimes_ComeInOrderAndOnlyWhenDue);
  CPPUNIT_TEST(Set_AgainEarlierLaterOrNever_CountsTheLastTime);
  CPPUNIT_TEST(WakeUps_OfASchedulerOfManyServers_LookAtFewOfThem);
  CPPUNIT_TEST(WakeUps_OfAnEntryVmThatSchedulesNone_LookAtNoServer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TakeDue_ServersOfAllTimes_ComeInOrderAndOnlyWhenDue() {
    ProbeQueue queue;
    queue.Set(BackendServerId("b"), At(20));
    queue.Set(BackendServerId("c"), At(30));
    queue.Set(BackendServerId("a"), At(10));
    CPPUNIT_ASSERT(queue.Next() == At(10));
    CPPUNIT_ASSERT(!queue.TakeDue(At(9)));
    CPPUNIT_ASSERT(queue.TakeDue(At(20)) == BackendServerId("a"));
    CPPUNIT_ASSERT(queue.TakeDue(At(20)) == BackendServerId("b"));
    CPPUNIT_ASSERT(!queue.TakeDue(At(20)));
    CPPUNIT_ASSERT(queue.Next() == At(30));
  }

  void Set_AgainEarlierLaterOrNever_CountsTheLastTime() {
    ProbeQueue queue;
    for (const char* name : {"earlier", "later", "never"}) {
      queue.Set(BackendServerId(name), At(20));
    }
    queue.Set(BackendServerId("earlier"), At(10));
    queue.Set(BackendServerId("later"), At(30));
    queue.Set(BackendServerId("never"), std::nullopt);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, queue.Size());
    CPPUNIT_ASSERT(queue.TakeDue(At(40)) == BackendServerId("earlier"));
    CPPUNIT_ASSERT(queue.TakeDue(At(40)) == BackendServerId("later"));
    CPPUNIT_ASSERT(!queue.Next());
  }

  // Regression: each wake-up looked at every server of the fleet, twice, so that the work of a
  // scheduler grew with the square of the servers.
  void WakeUps_OfASchedulerOfManyServers_LookAtFewOfThem() {
    const Work work = WorkOf("large");
    CPPUNIT_ASSERT(work.probes > kServers);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(work.checks) + " of " + std::to_string(work.probes),
                           work.checks <= 10 * work.probes);
  }

  void WakeUps_OfAnEntryVmThatSchedulesNone_LookAtNoServer() {
    const Work work = WorkOf("small");
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, work.probes);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, work.checks);
  }

 private:
  static constexpr uint64_t kServers = 2500;
  struct Work {
    uint64_t probes = 0;
    uint64_t checks = 0;
  };

  static MonotonicTime At(int64_t n) { return MonotonicTime(milliseconds(n)); }

  static Member MemberNamed(const std::string& name, uint32_t millicores) {
    Member member;
    member.id = EntryVmId(name);
    member.peer = {name, 1};
    member.failure_domain = FailureDomainId("a");
    member.millicores = millicores;
    return member;
  }

  // Lets the entry VM run for ten seconds. One in ten servers turns slow or fast each half second.
  static Work WorkOf(const std::string& self) {
    MonotonicTime now = At(1000);
    Scheduler scheduler({self, 1}, 1, now);
    ServerChanges changes;
    for (uint64_t i = 0; i < kServers; ++i) {
      BackendServer server;
      server.id = BackendServerId("s" + std::to_string(i));
      server.service = ServiceId("service");
      server.failure_domain = FailureDomainId("a");
      changes.changed.push_back({ServerChange::Kind::kAdded, server});
    }
    scheduler.ApplyServers(changes, now);
    scheduler.SetMembers({MemberNamed("large", 500), MemberNamed("small", 100)}, now);
    Work work;
    const MonotonicTime end = now + milliseconds(10000);
    while (now < end) {
      scheduler.Tick(now);
      for (const BackendServerId& server : scheduler.TakeServersToProbe(now)) {
        const auto half_second = static_cast<uint64_t>(now.time_since_epoch() / milliseconds(500));
        Report report;
        report.slowdown = (HashName(server.Text()) + half_second) % 10 == 0 ? 7.0 : 1.0;
        scheduler.OnProbed(server, report, now);
        ++work.probes;
      }
      scheduler.TakeOutbox();
      now = std::max(scheduler.NextWake(now).value_or(end), now + milliseconds(1));
    }
    work.checks = scheduler.ProbeChecks();
    return work;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProbeQueueTest);

}  // namespace
}  // namespace cowsliphill
