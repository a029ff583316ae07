// Checks the whole path from caller to backend server with real processes and without faults.

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <set>

#include "tests/process_harness.h"

namespace cowsliphill {
namespace {

using standins::CallerResult;
using std::chrono::milliseconds;

class WholePathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WholePathTest);
  CPPUNIT_TEST(Request_ToEachEntryVm_IsAnsweredByABackendServer);
  CPPUNIT_TEST(Download_ThroughAnEntryVm_HasEveryByte);
  CPPUNIT_TEST(Request_CallerDisconnects_IsCancelledAtTheBackendServer);
  CPPUNIT_TEST(Lookup_AtAnEntryVm_ListsEntryVmsAndLifetime);
  CPPUNIT_TEST(Refusal_AllBackendServersShed_TellsNotRunAndNothingRan);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Request_ToEachEntryVm_IsAnsweredByABackendServer() {
    const TestCluster cluster({});
    std::set<std::string> ids;
    for (size_t i = 0; i < 3; ++i) {
      standins::Caller caller = cluster.CallerWithLookup(i);
      for (int n = 0; n < 10; ++n) {
        const CallerResult result = caller.Send(TestCluster::Get("/permits/7"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.error, 200, result.status);
        CPPUNIT_ASSERT_EQUAL(std::string("ran"), result.outcome);
        CPPUNIT_ASSERT(result.complete);
        ids.insert(result.request_id);
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{30}, ids.size());
    CPPUNIT_ASSERT_EQUAL(size_t{30}, cluster.AllJournals().size());
  }

  void Download_ThroughAnEntryVm_HasEveryByte() {
    const TestCluster cluster({});
    const CallerResult result =
        cluster.CallerWithLookup(0).Send(TestCluster::Get("/archive/20000000"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.error, 200, result.status);
    CPPUNIT_ASSERT_EQUAL(uint64_t{20000000}, result.bytes);
    CPPUNIT_ASSERT(result.complete);
  }

  void Request_CallerDisconnects_IsCancelledAtTheBackendServer() {
    const TestCluster cluster({});
    standins::CallerOptions options;
    options.entries = {cluster.EdgeAddress(0)};
    // With the default deadline of 10 s, the caller gives up after 300 ms.
    options.deadline_slack = milliseconds(-9700);
    const SystemClock clock;
    standins::Caller caller(clock, options);
    const CallerResult result = caller.Send(TestCluster::Get("/slow?work_ms=15000"));
    CPPUNIT_ASSERT_EQUAL(0, result.status);
    caller.Disconnect();
    CPPUNIT_ASSERT(WaitUntil([&cluster] {
      const std::vector<JournalLine> lines = cluster.AllJournals();
      return lines.size() == 1 && lines[0].cancelled;
    }));
  }

  void Lookup_AtAnEntryVm_ListsEntryVmsAndLifetime() {
    const TestCluster cluster({});
    const std::string answer = TestCluster::HttpGet(cluster.EdgeAddress(0), "/cowsliphill/entries");
    CPPUNIT_ASSERT_MESSAGE(answer,
                           answer.find(cluster.EdgeAddress(0).ToString()) != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(answer, answer.find("lifetime_ms") != std::string::npos);
  }

  void Refusal_AllBackendServersShed_TellsNotRunAndNothingRan() {
    TestCluster cluster({});
    for (size_t i = 0; i < cluster.BackendCount(); ++i) {
      TestCluster::Control(cluster.Backend(i).address, "/control", R"({"state": "shedding"})");
    }
    const CallerResult result =
        cluster.CallerWithLookup(0).Send(TestCluster::Post("/permits", "shed-1"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.error, std::string("not-run"), result.outcome);
    CPPUNIT_ASSERT_EQUAL(503, result.status);
    CPPUNIT_ASSERT(!result.retry_after.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, cluster.AllJournals().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WholePathTest);

}  // namespace
}  // namespace cowsliphill
