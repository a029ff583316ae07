// The whole path as real processes, without faults: caller, entry VM, backend server, platform.

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <set>

#include "tests/process_harness.h"

namespace cowsliphill {
namespace {

using standins::CallerView;
using std::chrono::milliseconds;

class WholePathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WholePathTest);
  CPPUNIT_TEST(Request_ToEachEntryVm_IsAnsweredByABackendServer);
  CPPUNIT_TEST(Download_ThroughAnEntryVm_HasEveryByte);
  CPPUNIT_TEST(Request_CallerGoesAway_IsCancelledAtTheBackendServer);
  CPPUNIT_TEST(Lookup_AtAnEntryVm_NamesEntryVmsAndLifetime);
  CPPUNIT_TEST(Refusal_AllBackendServersShed_TellsNotRunAndNothingRan);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Request_ToEachEntryVm_IsAnsweredByABackendServer() {
    const Stage stage({});
    std::set<std::string> ids;
    for (size_t i = 0; i < 3; ++i) {
      standins::Caller caller = stage.CallerOf(i);
      for (int n = 0; n < 10; ++n) {
        const CallerView view = caller.Send(Stage::Get("/permits/7"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(view.error, 200, view.status);
        CPPUNIT_ASSERT_EQUAL(std::string("ran"), view.outcome);
        CPPUNIT_ASSERT(view.whole);
        ids.insert(view.request_id);
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{30}, ids.size());
    CPPUNIT_ASSERT_EQUAL(size_t{30}, stage.Journals().size());
  }

  void Download_ThroughAnEntryVm_HasEveryByte() {
    const Stage stage({});
    const CallerView view = stage.CallerOf(0).Send(Stage::Get("/archive/20000000"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(view.error, 200, view.status);
    CPPUNIT_ASSERT_EQUAL(uint64_t{20000000}, view.bytes);
    CPPUNIT_ASSERT(view.whole);
  }

  void Request_CallerGoesAway_IsCancelledAtTheBackendServer() {
    const Stage stage({});
    standins::CallerOptions options;
    options.entries = {stage.EdgeOf(0)};
    options.patience = milliseconds(-9700);  // Gives up 300 ms after sending.
    const SystemClock clock;
    standins::Caller caller(clock, options);
    const CallerView view = caller.Send(Stage::Get("/slow?work_ms=15000"));
    CPPUNIT_ASSERT_EQUAL(0, view.status);
    caller.Disconnect();
    CPPUNIT_ASSERT(WaitUntil([&stage] {
      const std::vector<JournalLine> lines = stage.Journals();
      return lines.size() == 1 && lines[0].cancelled;
    }));
  }

  void Lookup_AtAnEntryVm_NamesEntryVmsAndLifetime() {
    const Stage stage({});
    const std::string answer = Stage::HttpGet(stage.EdgeOf(0), "/cowsliphill/entries");
    CPPUNIT_ASSERT_MESSAGE(answer, answer.find(stage.EdgeOf(0).ToString()) != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(answer, answer.find("lifetime_ms") != std::string::npos);
  }

  void Refusal_AllBackendServersShed_TellsNotRunAndNothingRan() {
    Stage stage({});
    for (size_t i = 0; i < stage.Backends(); ++i) {
      Stage::Control(stage.Backend(i).address, "/control", R"({"state": "shedding"})");
    }
    const CallerView view = stage.CallerOf(0).Send(Stage::Post("/permits", "shed-1"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(view.error, std::string("not-run"), view.outcome);
    CPPUNIT_ASSERT_EQUAL(503, view.status);
    CPPUNIT_ASSERT(!view.retry_after.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, stage.Journals().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WholePathTest);

}  // namespace
}  // namespace cowsliphill
