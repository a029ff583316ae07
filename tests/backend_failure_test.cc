// Checks the delivery guarantees while backend servers drain, fail, stall or lose connections. The
// entry VM uses an in-memory platform: these tests need no state shared between entry VMs.

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <set>

#include "tests/background.h"
#include "tests/process_harness.h"

namespace cowsliphill {
namespace {

using standins::Caller;
using standins::CallerRequest;
using standins::CallerResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

TestClusterOptions OneEntryOptions() {
  TestClusterOptions options;
  options.entries = 1;
  options.memory_platforms = true;
  return options;
}

TestClusterOptions OneEntryWithProxiesOptions() {
  TestClusterOptions options = OneEntryOptions();
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
    const TestCluster cluster(OneEntryOptions());
    Caller caller = cluster.CallerWithLookup(0);
    const Endpoint& leaving = cluster.BackendAddress(0);
    TestCluster::Control(leaving, "/control", R"({"state": "draining"})");
    const auto drain_grace_end = std::chrono::steady_clock::now() + seconds(3);
    while (std::chrono::steady_clock::now() < drain_grace_end) ExpectAnswered(caller);
    const uint64_t before = TestCluster::ReadCounter(leaving, "arrivals");
    for (int n = 0; n < 100; ++n) ExpectAnswered(caller);
    CPPUNIT_ASSERT_EQUAL(before, TestCluster::ReadCounter(leaving, "arrivals"));
  }

  void Backend_StopsDuringADownload_CutsNothing() {
    TestClusterOptions options = OneEntryOptions();
    options.backend_options = {"--drain-ms", "500"};
    TestCluster cluster(options);
    BackgroundRequest download(cluster.CallerWithLookup(0),
                               TestCluster::Get("/archive/6000000?rate=2000000"));
    RunningBackend& server = cluster.Backend(AwaitRunningServer(cluster));
    server.process->Signal(SIGTERM);
    const CallerResult& result = download.Join();
    CPPUNIT_ASSERT_MESSAGE(result.error, result.complete);
    CPPUNIT_ASSERT_EQUAL(uint64_t{6000000}, result.bytes);
    CPPUNIT_ASSERT_EQUAL(0, server.process->Wait());
    // No other server started the request.
    CPPUNIT_ASSERT_EQUAL(size_t{0}, cluster.AllJournals().size());
  }

  void EntryVm_SigtermDuringADownload_FinishesItAndExitsClean() {
    TestCluster cluster(OneEntryOptions());
    BackgroundRequest download(cluster.CallerWithLookup(0),
                               TestCluster::Get("/archive/8000000?rate=1000000"));
    AwaitRunningServer(cluster);
    cluster.Entry(0).process->Signal(SIGTERM);
    const CallerResult& result = download.Join();
    CPPUNIT_ASSERT_MESSAGE(result.error, result.complete);
    CPPUNIT_ASSERT_EQUAL(uint64_t{8000000}, result.bytes);
    CPPUNIT_ASSERT_EQUAL(0, cluster.Entry(0).process->Wait());
  }

  void Download_ConnectionsCutHalfway_ArrivesWhole() {
    TestCluster cluster(OneEntryWithProxiesOptions());
    SetFaultsOnAllProxies(cluster, R"({"cut_after": 3000000})");
    const CallerResult result =
        cluster.CallerWithLookup(0).Send(TestCluster::Get("/archive/5000000"));
    CPPUNIT_ASSERT_MESSAGE(result.error, result.complete);
    CPPUNIT_ASSERT_EQUAL(uint64_t{5000000}, result.bytes);
    // Not exactly 2: a reset may also discard bytes in flight.
    CPPUNIT_ASSERT(cluster.AllJournals().size() >= 2);
  }

  void Download_ConnectionsCutAgainAndAgain_ArrivesWhole() {
    TestCluster cluster(OneEntryWithProxiesOptions());
    SetFaultsOnAllProxies(cluster, R"({"cut_after": 700000})");
    const CallerResult result =
        cluster.CallerWithLookup(0).Send(TestCluster::Get("/archive/5000000"));
    CPPUNIT_ASSERT_MESSAGE(result.error, result.complete);
    CPPUNIT_ASSERT_EQUAL(uint64_t{5000000}, result.bytes);
  }

  void Download_BackendKilledHalfway_ArrivesWhole() {
    TestCluster cluster(OneEntryOptions());
    BackgroundRequest download(cluster.CallerWithLookup(0),
                               TestCluster::Get("/archive/4000000?rate=2000000"));
    cluster.Backend(AwaitRunningServer(cluster)).process->Signal(SIGKILL);
    const CallerResult& result = download.Join();
    CPPUNIT_ASSERT_MESSAGE(result.error, result.complete);
    CPPUNIT_ASSERT_EQUAL(uint64_t{4000000}, result.bytes);
  }

  void Download_AnswerCutForGood_IsNeverTakenForWhole() {
    TestCluster cluster(OneEntryWithProxiesOptions());
    SetFaultsOnAllProxies(cluster, R"({"cut_after": 100000})");
    const CallerResult result =
        cluster.CallerWithLookup(0).Send(TestCluster::Get("/archive/50000000"));
    CPPUNIT_ASSERT(!result.complete);
    CPPUNIT_ASSERT(result.bytes < 50000000);
  }

  void Lookups_OpenConnectionsGoSilent_AreAnsweredInTime() {
    TestCluster cluster(OneEntryWithProxiesOptions());
    Caller caller = cluster.CallerWithLookup(0);
    for (int n = 0; n < 30; ++n) ExpectAnswered(caller);
    SetFaultsOnAllProxies(cluster, R"({"silent": true})");
    for (int n = 0; n < 30; ++n) ExpectAnswered(caller);
  }

  void Filing_OpenConnectionsGoSilent_RunsAtMostOnce() {
    TestCluster cluster(OneEntryWithProxiesOptions());
    Caller caller = cluster.CallerWithLookup(0);
    for (int n = 0; n < 30; ++n) ExpectAnswered(caller);
    SetFaultsOnAllProxies(cluster, R"({"silent": true})");
    for (int n = 0; n < 10; ++n) {
      const std::string key = "filing-" + std::to_string(n);
      CallerRequest request = TestCluster::Post("/filings", key);
      request.deadline = milliseconds(700);
      const CallerResult result = caller.Send(request);
      const size_t runs = cluster.RunCount(key);
      CPPUNIT_ASSERT_MESSAGE(key, runs <= 1);
      if (result.outcome == "not-run") CPPUNIT_ASSERT_EQUAL_MESSAGE(key, size_t{0}, runs);
      if (result.outcome == "ran") CPPUNIT_ASSERT_EQUAL_MESSAGE(key, size_t{1}, runs);
    }
  }

  void Filing_BackendKilledWhileItRuns_IsNeverToldNotRun() {
    TestCluster cluster(OneEntryOptions());
    BackgroundRequest filing(cluster.CallerWithLookup(0),
                             TestCluster::Post("/filings?work_ms=1500", "killed-1"));
    const std::string name = AwaitRunningServer(cluster);
    cluster.Backend(name).process->Signal(SIGKILL);
    const CallerResult& result = filing.Join();
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), result.outcome);
    // Only the journals of the surviving servers can be read.
    CPPUNIT_ASSERT_EQUAL(size_t{0}, cluster.RunCount("killed-1"));
  }

  void Lookups_OneBackendPaused_AreAnsweredInTime() {
    TestCluster cluster(OneEntryOptions());
    Caller caller = cluster.CallerWithLookup(0);
    for (int n = 0; n < 30; ++n) ExpectAnswered(caller);
    cluster.Backend(0).process->Signal(SIGSTOP);
    for (int n = 0; n < 30; ++n) ExpectAnswered(caller);
    cluster.Backend(0).process->Signal(SIGCONT);
  }

  void Refusals_UnderOverload_NeverRan() {
    TestClusterOptions options = OneEntryOptions();
    options.backends = 1;
    options.service_toml = "queue_limit = 8";
    const TestCluster cluster(options);
    std::vector<std::unique_ptr<BackgroundRequest>> filings;
    for (int n = 0; n < 40; ++n) {
      CallerRequest request =
          TestCluster::Post("/filings?work_ms=80", "overload-" + std::to_string(n));
      request.deadline = milliseconds(400);
      filings.push_back(std::make_unique<BackgroundRequest>(cluster.CallerWithLookup(0), request));
    }
    std::vector<CallerResult> results;
    results.reserve(filings.size());
    for (const auto& it : filings) results.push_back(it->Join());
    std::set<std::string> ran;
    for (const JournalLine& it : cluster.AllJournals()) ran.insert(it.request);
    size_t refused = 0;
    for (const CallerResult& result : results) {
      if (result.outcome != "not-run") continue;
      ++refused;
      CPPUNIT_ASSERT_MESSAGE(result.request_id, !ran.contains(result.request_id));
      CPPUNIT_ASSERT(!result.retry_after.empty());
    }
    CPPUNIT_ASSERT(refused > 0);
  }

  void Emergency_BulkAndRoutineFillAllSlots_IsAnsweredBeforeThem() {
    TestClusterOptions options = OneEntryOptions();
    options.service_toml = "emergency_tenants = [\"crew\"]";
    const TestCluster cluster(options);
    std::vector<std::unique_ptr<BackgroundRequest>> routine;
    for (int n = 0; n < 60; ++n) {
      CallerRequest request = TestCluster::Get("/permits/1?work_ms=300");
      request.deadline = milliseconds(9000);
      if (n % 3 == 0) request.priority = "u=6";
      routine.push_back(std::make_unique<BackgroundRequest>(cluster.CallerWithLookup(0), request));
    }
    CPPUNIT_ASSERT(WaitUntil([&cluster] { return cluster.AllJournals().size() >= 6; }));
    CallerRequest check = TestCluster::Get("/excavations/1");
    check.priority = "u=0";
    check.tenant = "crew";
    const CallerResult result = cluster.CallerWithLookup(0).Send(check);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.error, 200, result.status);
    // Waiting behind all 60 requests of 300 ms in 9 slots would take 2 s. The next free slot comes
    // after 300 ms at most.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(result.latency.count()),
                           result.latency < milliseconds(1000));
  }

 private:
  static void ExpectAnswered(Caller& caller) {
    const CallerResult result = caller.Send(TestCluster::Get("/permits/7"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.error + result.body, 200, result.status);
  }

  static void SetFaultsOnAllProxies(TestCluster& cluster, const std::string& faults) {
    for (size_t i = 0; i < cluster.BackendCount(); ++i) {
      TestCluster::Control(cluster.Backend(i).proxy_control, "/faults", faults);
    }
  }

  // Waits until a request runs and returns the name of its backend server.
  static std::string AwaitRunningServer(const TestCluster& cluster) {
    std::string server;
    const bool runs = WaitUntil([&] {
      const std::vector<JournalLine> lines = cluster.RunningRequests();
      if (!lines.empty()) server = lines.front().server;
      return !lines.empty();
    });
    CPPUNIT_ASSERT_MESSAGE("no request is running at any backend server", runs);
    return server;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendFailureTest);

}  // namespace
}  // namespace cowsliphill
