// Checks at-most-once execution, manifest changes and the probe budget with three entry VMs on one
// platform, while entry VMs die or stall and the platform fails.

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

#include "tests/background.h"
#include "tests/process_harness.h"

namespace cowsliphill {
namespace {

using standins::Caller;
using standins::CallerResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kProbeWindow{5};   // Time for which probes are counted.
constexpr uint64_t kProbeBurst = 1;  // Probes allowed above the rate in that time.

class SharedPlatformTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SharedPlatformTest);
  CPPUNIT_TEST(Filing_SentToAllEntryVmsAtOnce_RunsOnce);
  CPPUNIT_TEST(Filing_EntryVmKilledWhileItRuns_RepeatRunsItNoSecondTime);
  CPPUNIT_TEST(Filing_EntryVmPausedWhileItRuns_RepeatRunsItNoSecondTime);
  CPPUNIT_TEST(Filing_PlatformLosesAnswers_RunsAtMostOnce);
  CPPUNIT_TEST(Filing_PlatformDown_IsRefusedAndDidNotRun);
  CPPUNIT_TEST(Lookups_PlatformDown_AreAnswered);
  CPPUNIT_TEST(Manifest_TwoPipelinesAtOnce_OneWinsEverywhereForGood);
  CPPUNIT_TEST(Manifest_OldReadsAtANewEntryVm_IsNotTheEarlierOne);
  CPPUNIT_TEST(Probes_ThreeEntryVmsIdle_StayWithinTheBudget);
  CPPUNIT_TEST(Probes_PlatformDown_StayWithinTheBudget);
  CPPUNIT_TEST(Lookup_EntryVmStops_IsNoLongerListedByTheOthers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Filing_SentToAllEntryVmsAtOnce_RunsOnce() {
    const TestCluster cluster({});
    for (int n = 0; n < 10; ++n) {
      const std::string key = "same-" + std::to_string(n);
      std::vector<std::unique_ptr<BackgroundRequest>> attempts;
      for (size_t i = 0; i < 3; ++i) {
        attempts.push_back(std::make_unique<BackgroundRequest>(cluster.CallerPinnedTo(i),
                                                               TestCluster::Post("/f", key)));
      }
      size_t ran = 0;
      for (const auto& it : attempts) ran += it->Join().outcome == "ran" ? 1 : 0;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(key, size_t{1}, cluster.RunCount(key));
      CPPUNIT_ASSERT_MESSAGE(key, ran >= 1);
    }
  }

  void Filing_EntryVmKilledWhileItRuns_RepeatRunsItNoSecondTime() {
    TestCluster cluster({});
    BackgroundRequest first(cluster.CallerPinnedTo(0),
                            TestCluster::Post("/f?work_ms=600", "killed"));
    AwaitRun(cluster, "killed");
    cluster.Entry(0).process->Signal(SIGKILL);
    ExpectNoSecondRun(cluster, "killed");
    CPPUNIT_ASSERT_EQUAL(0, first.Join().status);
  }

  void Filing_EntryVmPausedWhileItRuns_RepeatRunsItNoSecondTime() {
    TestCluster cluster({});
    BackgroundRequest first(cluster.CallerPinnedTo(0),
                            TestCluster::Post("/f?work_ms=600", "paused"));
    AwaitRun(cluster, "paused");
    cluster.Entry(0).process->Signal(SIGSTOP);
    ExpectNoSecondRun(cluster, "paused");
    cluster.Entry(0).process->Signal(SIGCONT);
    first.Join();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, cluster.RunCount("paused"));
  }

  void Filing_PlatformLosesAnswers_RunsAtMostOnce() {
    TestCluster cluster({});
    TestCluster::Control(cluster.PlatformAddress(), "/faults",
                         R"({"lost_answers": true, "probability": 0.4, "seed": 7})");
    for (int n = 0; n < 30; ++n) {
      const std::string key = "lost-" + std::to_string(n);
      std::string outcome;
      for (size_t i = 0; i < 3 && outcome != "ran"; ++i) {
        outcome = cluster.CallerPinnedTo(i).Send(TestCluster::Post("/f", key)).outcome;
      }
      const size_t runs = cluster.RunCount(key);
      CPPUNIT_ASSERT_MESSAGE(key, runs <= 1);
      if (outcome == "ran") CPPUNIT_ASSERT_EQUAL_MESSAGE(key, size_t{1}, runs);
    }
    CPPUNIT_ASSERT(TestCluster::ReadCounter(cluster.PlatformAddress(), "lost_answers") > 0);
  }

  void Filing_PlatformDown_IsRefusedAndDidNotRun() {
    TestCluster cluster({});
    TestCluster::Control(cluster.PlatformAddress(), "/faults", R"({"down": true})");
    const CallerResult result = cluster.CallerPinnedTo(0).Send(TestCluster::Post("/f", "down"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.body, std::string("not-run"), result.outcome);
    CPPUNIT_ASSERT(!result.retry_after.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, cluster.RunCount("down"));
  }

  void Lookups_PlatformDown_AreAnswered() {
    TestCluster cluster({});
    TestCluster::Control(cluster.PlatformAddress(), "/faults", R"({"down": true})");
    for (size_t i = 0; i < 3; ++i) {
      Caller caller = cluster.CallerPinnedTo(i);
      for (int n = 0; n < 20; ++n) {
        const CallerResult result = caller.Send(TestCluster::Get("/permits/7"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.error + result.body, 200, result.status);
      }
    }
  }

  void Manifest_TwoPipelinesAtOnce_OneWinsEverywhereForGood() {
    TestCluster cluster({});
    const uint64_t base = cluster.ManifestRevision(0);
    std::string first_manifest = cluster.Manifest();
    first_manifest += "[[place]]\nid = \"place-one\"\nregion = \"local\"\n";
    std::string second_manifest = cluster.Manifest();
    second_manifest += "[[place]]\nid = \"place-extra\"\nregion = \"local\"\n";
    CommandResult other_result;
    std::thread other_submission(
        [&] { other_result = cluster.Submit(1, second_manifest, "two", base); });
    const CommandResult first_result = cluster.Submit(0, first_manifest, "one", base);
    other_submission.join();
    CPPUNIT_ASSERT_MESSAGE("not exactly one of two concurrent submissions was accepted: " +
                               first_result.output + other_result.output,
                           (first_result.exit_code == 0) != (other_result.exit_code == 0));
    const uint64_t accepted = base + 1;
    const auto in_force = [&] {
      return cluster.ManifestRevisionsAgree() && cluster.ManifestRevision(0) == accepted;
    };
    CPPUNIT_ASSERT(WaitUntil(in_force, seconds(7)));
    const auto end = std::chrono::steady_clock::now() + seconds(2);
    while (std::chrono::steady_clock::now() < end) {
      for (size_t i = 0; i < 3; ++i) CPPUNIT_ASSERT_EQUAL(accepted, cluster.ManifestRevision(i));
      std::this_thread::sleep_for(milliseconds(50));
    }
  }

  void Manifest_OldReadsAtANewEntryVm_IsNotTheEarlierOne() {
    TestCluster cluster({});
    const uint64_t before = cluster.ManifestRevision(0);
    TestCluster::Control(cluster.PlatformAddress(), "/faults", R"({"old_reads": true})");
    const std::string changed =
        cluster.Manifest() + "[[place]]\nid = \"place-extra\"\nregion = \"local\"\n";
    const CommandResult change = cluster.Submit(0, changed, "changed", before);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(change.output, 0, change.exit_code);
    const uint64_t accepted = before + 1;
    const auto in_force = [&] {
      return cluster.ManifestRevisionsAgree() && cluster.ManifestRevision(0) == accepted;
    };
    CPPUNIT_ASSERT(WaitUntil(in_force, seconds(7)));
    cluster.Entry(2).process->Signal(SIGKILL);
    cluster.Entry(2).process->Wait();
    cluster.RestartEntry(2);
    std::vector<uint64_t> highest_revision(3, accepted);
    const auto end = std::chrono::steady_clock::now() + seconds(4);
    while (std::chrono::steady_clock::now() < end) {
      for (size_t i = 0; i < 3; ++i) {
        const uint64_t now = cluster.ManifestRevision(i);
        CPPUNIT_ASSERT_MESSAGE("manifest revision decreased at entry VM " + std::to_string(i),
                               now >= highest_revision[i]);
        highest_revision[i] = now;
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
  }

  void Probes_ThreeEntryVmsIdle_StayWithinTheBudget() {
    const TestCluster cluster({});
    ExpectProbesWithinBudget(cluster);
  }

  void Probes_PlatformDown_StayWithinTheBudget() {
    const TestCluster cluster({});
    TestCluster::Control(cluster.PlatformAddress(), "/faults", R"({"down": true})");
    ExpectProbesWithinBudget(cluster);
  }

  void Lookup_EntryVmStops_IsNoLongerListedByTheOthers() {
    TestCluster cluster({});
    const std::string leaving = cluster.EdgeAddress(2).ToString();
    const auto lists_leaving = [&](size_t i) {
      const std::string answer =
          TestCluster::HttpGet(cluster.EdgeAddress(i), "/cowsliphill/entries");
      return answer.find(leaving) != std::string::npos;
    };
    CPPUNIT_ASSERT(WaitUntil([&] { return lists_leaving(0) && lists_leaving(1); }));
    cluster.Entry(2).process->Signal(SIGTERM);
    CPPUNIT_ASSERT(WaitUntil([&] { return !lists_leaving(0) && !lists_leaving(1); }, seconds(5)));
    CPPUNIT_ASSERT_EQUAL(0, cluster.Entry(2).process->Wait());
  }

 private:
  static void AwaitRun(const TestCluster& cluster, const std::string& key) {
    CPPUNIT_ASSERT(WaitUntil([&] { return cluster.RunCount(key) == 1; }));
  }

  // Retries the key through the other entry VMs until well after the first run has ended.
  static void ExpectNoSecondRun(const TestCluster& cluster, const std::string& key) {
    for (int n = 0; n < 6; ++n) {
      const CallerResult result =
          cluster.CallerPinnedTo(1 + n % 2).Send(TestCluster::Post("/f?work_ms=600", key));
      CPPUNIT_ASSERT_EQUAL(size_t{1}, cluster.RunCount(key));
      CPPUNIT_ASSERT_MESSAGE("a retry reported not-run although the request ran",
                             result.outcome != "not-run" || result.status == 409);
      std::this_thread::sleep_for(milliseconds(200));
    }
  }

  // The default budget is one probe per second and backend server, shared by all entry VMs, with a
  // burst of one second's worth.
  static void ExpectProbesWithinBudget(const TestCluster& cluster) {
    std::vector<uint64_t> before;
    for (size_t i = 0; i < cluster.BackendCount(); ++i) {
      before.push_back(TestCluster::ReadCounter(cluster.BackendAddress(i), "probes"));
    }
    std::this_thread::sleep_for(kProbeWindow);
    for (size_t i = 0; i < cluster.BackendCount(); ++i) {
      const uint64_t probes =
          TestCluster::ReadCounter(cluster.BackendAddress(i), "probes") - before[i];
      CPPUNIT_ASSERT_MESSAGE(std::to_string(probes) + " probes",
                             probes <= kProbeWindow.count() + kProbeBurst);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedPlatformTest);

}  // namespace
}  // namespace cowsliphill
