// Promises of the brief while backend servers leave, fail, stall or lose connections. Each entry VM
// runs on its own memory platform here: nothing in these tests needs a shared one.

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <set>

#include "tests/background.h"
#include "tests/process_harness.h"

namespace cowsliphill {
namespace {

using standins::Caller;
using standins::CallerRequest;
using standins::CallerView;
using std::chrono::milliseconds;
using std::chrono::seconds;

StageOptions OneEntry() {
  StageOptions options;
  options.entries = 1;
  options.own_platforms = true;
  return options;
}

StageOptions OneEntryWithProxies() {
  StageOptions options = OneEntry();
  options.proxies = true;
  return options;
}

class BackendFailureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendFailureTest);
  CPPUNIT_TEST(Backend_StartsToDrain_GetsNoNewWorkAfterSeconds);
  CPPUNIT_TEST(Backend_StopsDuringADownload_CutsNothing);
  CPPUNIT_TEST(EntryVm_SigtermDuringADownload_FinishesItAndExitsClean);
  CPPUNIT_TEST(Download_ConnectionsCutHalfway_ArrivesWhole);
  CPPUNIT_TEST(Download_ConnectionsCutAgainAndAgain_ArrivesWhole);
  CPPUNIT_TEST(Download_BackendKilledHalfway_ArrivesWhole);
  CPPUNIT_TEST(Download_AnswerCutForGood_IsNeverTakenForWhole);
  CPPUNIT_TEST(Lookups_OpenConnectionsGoSilent_AreAnsweredInTime);
  CPPUNIT_TEST(Filing_OpenConnectionsGoSilent_RunsAtMostOnce);
  CPPUNIT_TEST(Filing_BackendKilledWhileItRuns_IsNeverToldNotRun);
  CPPUNIT_TEST(Lookups_OneBackendPaused_AreAnsweredInTime);
  CPPUNIT_TEST(Refusals_UnderOverload_NeverRan);
  CPPUNIT_TEST(Emergency_BulkAndRoutineFillAllSlots_IsAnsweredBeforeThem);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Backend_StartsToDrain_GetsNoNewWorkAfterSeconds() {
    const Stage stage(OneEntry());
    Caller caller = stage.CallerOf(0);
    const Endpoint& leaving = stage.BackendAt(0);
    Stage::Control(leaving, "/control", R"({"state": "draining"})");
    const auto settled = std::chrono::steady_clock::now() + seconds(3);
    while (std::chrono::steady_clock::now() < settled) ExpectAnswered(caller);
    const uint64_t before = Stage::Count(leaving, "arrivals");
    for (int n = 0; n < 100; ++n) ExpectAnswered(caller);
    CPPUNIT_ASSERT_EQUAL(before, Stage::Count(leaving, "arrivals"));
  }

  void Backend_StopsDuringADownload_CutsNothing() {
    StageOptions options = OneEntry();
    options.backend_options = {"--drain-ms", "500"};
    Stage stage(options);
    Background download(stage.CallerOf(0), Stage::Get("/archive/6000000?rate=2000000"));
    RunningBackend& server = stage.Backend(AwaitServerOf(stage));
    server.process->Signal(SIGTERM);
    const CallerView& view = download.Join();
    CPPUNIT_ASSERT_MESSAGE(view.error, view.whole);
    CPPUNIT_ASSERT_EQUAL(uint64_t{6000000}, view.bytes);
    CPPUNIT_ASSERT_EQUAL(0, server.process->Wait());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, stage.Journals().size());  // No other server took it over.
  }

  void EntryVm_SigtermDuringADownload_FinishesItAndExitsClean() {
    Stage stage(OneEntry());
    Background download(stage.CallerOf(0), Stage::Get("/archive/8000000?rate=1000000"));
    AwaitServerOf(stage);
    stage.Entry(0).process->Signal(SIGTERM);
    const CallerView& view = download.Join();
    CPPUNIT_ASSERT_MESSAGE(view.error, view.whole);
    CPPUNIT_ASSERT_EQUAL(uint64_t{8000000}, view.bytes);
    CPPUNIT_ASSERT_EQUAL(0, stage.Entry(0).process->Wait());
  }

  void Download_ConnectionsCutHalfway_ArrivesWhole() {
    Stage stage(OneEntryWithProxies());
    SetFaultsOfAll(stage, R"({"cut_after": 3000000})");
    const CallerView view = stage.CallerOf(0).Send(Stage::Get("/archive/5000000"));
    CPPUNIT_ASSERT_MESSAGE(view.error, view.whole);
    CPPUNIT_ASSERT_EQUAL(uint64_t{5000000}, view.bytes);
    CPPUNIT_ASSERT(stage.Journals().size() >= 2);  // A reset may lose bytes on their way as well.
  }

  void Download_ConnectionsCutAgainAndAgain_ArrivesWhole() {
    Stage stage(OneEntryWithProxies());
    SetFaultsOfAll(stage, R"({"cut_after": 700000})");
    const CallerView view = stage.CallerOf(0).Send(Stage::Get("/archive/5000000"));
    CPPUNIT_ASSERT_MESSAGE(view.error, view.whole);
    CPPUNIT_ASSERT_EQUAL(uint64_t{5000000}, view.bytes);
  }

  void Download_BackendKilledHalfway_ArrivesWhole() {
    Stage stage(OneEntry());
    Background download(stage.CallerOf(0), Stage::Get("/archive/4000000?rate=2000000"));
    stage.Backend(AwaitServerOf(stage)).process->Signal(SIGKILL);
    const CallerView& view = download.Join();
    CPPUNIT_ASSERT_MESSAGE(view.error, view.whole);
    CPPUNIT_ASSERT_EQUAL(uint64_t{4000000}, view.bytes);
  }

  void Download_AnswerCutForGood_IsNeverTakenForWhole() {
    Stage stage(OneEntryWithProxies());
    SetFaultsOfAll(stage, R"({"cut_after": 100000})");
    const CallerView view = stage.CallerOf(0).Send(Stage::Get("/archive/50000000"));
    CPPUNIT_ASSERT(!view.whole);
    CPPUNIT_ASSERT(view.bytes < 50000000);
  }

  void Lookups_OpenConnectionsGoSilent_AreAnsweredInTime() {
    Stage stage(OneEntryWithProxies());
    Caller caller = stage.CallerOf(0);
    for (int n = 0; n < 30; ++n) ExpectAnswered(caller);
    SetFaultsOfAll(stage, R"({"silent": true})");
    for (int n = 0; n < 30; ++n) ExpectAnswered(caller);
  }

  void Filing_OpenConnectionsGoSilent_RunsAtMostOnce() {
    Stage stage(OneEntryWithProxies());
    Caller caller = stage.CallerOf(0);
    for (int n = 0; n < 30; ++n) ExpectAnswered(caller);
    SetFaultsOfAll(stage, R"({"silent": true})");
    for (int n = 0; n < 10; ++n) {
      const std::string key = "filing-" + std::to_string(n);
      CallerRequest request = Stage::Post("/filings", key);
      request.deadline = milliseconds(700);
      const CallerView view = caller.Send(request);
      const size_t runs = stage.RunsOf(key);
      CPPUNIT_ASSERT_MESSAGE(key, runs <= 1);
      if (view.outcome == "not-run") CPPUNIT_ASSERT_EQUAL_MESSAGE(key, size_t{0}, runs);
      if (view.outcome == "ran") CPPUNIT_ASSERT_EQUAL_MESSAGE(key, size_t{1}, runs);
    }
  }

  void Filing_BackendKilledWhileItRuns_IsNeverToldNotRun() {
    Stage stage(OneEntry());
    Background filing(stage.CallerOf(0), Stage::Post("/filings?work_ms=1500", "killed-1"));
    const std::string name = AwaitServerOf(stage);
    stage.Backend(name).process->Signal(SIGKILL);
    const CallerView& view = filing.Join();
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), view.outcome);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, stage.RunsOf("killed-1"));  // On the servers that are left.
  }

  void Lookups_OneBackendPaused_AreAnsweredInTime() {
    Stage stage(OneEntry());
    Caller caller = stage.CallerOf(0);
    for (int n = 0; n < 30; ++n) ExpectAnswered(caller);
    stage.Backend(0).process->Signal(SIGSTOP);
    for (int n = 0; n < 30; ++n) ExpectAnswered(caller);
    stage.Backend(0).process->Signal(SIGCONT);
  }

  void Refusals_UnderOverload_NeverRan() {
    StageOptions options = OneEntry();
    options.backends = 1;
    options.service_rules = "queue_limit = 8";
    const Stage stage(options);
    std::vector<std::unique_ptr<Background>> filings;
    for (int n = 0; n < 40; ++n) {
      CallerRequest request = Stage::Post("/filings?work_ms=80", "overload-" + std::to_string(n));
      request.deadline = milliseconds(400);
      filings.push_back(std::make_unique<Background>(stage.CallerOf(0), request));
    }
    std::vector<CallerView> views;
    views.reserve(filings.size());
    for (const auto& it : filings) views.push_back(it->Join());
    std::set<std::string> ran;
    for (const JournalLine& it : stage.Journals()) ran.insert(it.request);
    size_t refused = 0;
    for (const CallerView& view : views) {
      if (view.outcome != "not-run") continue;
      ++refused;
      CPPUNIT_ASSERT_MESSAGE(view.request_id, !ran.contains(view.request_id));
      CPPUNIT_ASSERT(!view.retry_after.empty());
    }
    CPPUNIT_ASSERT(refused > 0);
  }

  void Emergency_BulkAndRoutineFillAllSlots_IsAnsweredBeforeThem() {
    StageOptions options = OneEntry();
    options.service_rules = "emergency_tenants = [\"crew\"]";
    const Stage stage(options);
    std::vector<std::unique_ptr<Background>> routine;
    for (int n = 0; n < 60; ++n) {
      CallerRequest request = Stage::Get("/permits/1?work_ms=300");
      request.deadline = milliseconds(9000);
      if (n % 3 == 0) request.priority = "u=6";
      routine.push_back(std::make_unique<Background>(stage.CallerOf(0), request));
    }
    CPPUNIT_ASSERT(WaitUntil([&stage] { return stage.Journals().size() >= 6; }));
    CallerRequest check = Stage::Get("/excavations/1");
    check.priority = "u=0";
    check.tenant = "crew";
    const CallerView view = stage.CallerOf(0).Send(check);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(view.error, 200, view.status);
    // 60 requests of 300 ms in 9 slots take 2 s; no slot is free sooner than 300 ms at the worst.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(view.latency.count()), view.latency < milliseconds(1000));
  }

 private:
  static void ExpectAnswered(Caller& caller) {
    const CallerView view = caller.Send(Stage::Get("/permits/7"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(view.error + view.body, 200, view.status);
  }

  static void SetFaultsOfAll(Stage& stage, const std::string& faults) {
    for (size_t i = 0; i < stage.Backends(); ++i) {
      Stage::Control(stage.Backend(i).proxy_control, "/faults", faults);
    }
  }

  // The backend server at which the one open request runs.
  static std::string AwaitServerOf(const Stage& stage) {
    std::string server;
    const bool runs = WaitUntil([&] {
      const std::vector<JournalLine> lines = stage.JournalsOfRunning();
      if (!lines.empty()) server = lines.front().server;
      return !lines.empty();
    });
    CPPUNIT_ASSERT_MESSAGE("no request runs", runs);
    return server;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendFailureTest);

}  // namespace
}  // namespace cowsliphill
