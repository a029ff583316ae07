// Promises of the brief with three entry VMs on one platform: at most once, manifests, probe
// budget, while entry VMs die or stall and the platform fails.

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

#include "tests/background.h"
#include "tests/process_harness.h"

namespace cowsliphill {
namespace {

using standins::Caller;
using standins::CallerView;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kProbeWatch{5};    // Time over which probes are counted.
constexpr uint64_t kProbeBurst = 1;  // Probes that may come at once besides.

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
  CPPUNIT_TEST(Lookup_EntryVmStops_IsNotNamedByTheOthers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Filing_SentToAllEntryVmsAtOnce_RunsOnce() {
    const Stage stage({});
    for (int n = 0; n < 10; ++n) {
      const std::string key = "same-" + std::to_string(n);
      std::vector<std::unique_ptr<Background>> all;
      for (size_t i = 0; i < 3; ++i) {
        all.push_back(std::make_unique<Background>(stage.CallerOnlyOf(i), Stage::Post("/f", key)));
      }
      size_t ran = 0;
      for (const auto& it : all) ran += it->Join().outcome == "ran" ? 1 : 0;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(key, size_t{1}, stage.RunsOf(key));
      CPPUNIT_ASSERT_MESSAGE(key, ran >= 1);
    }
  }

  void Filing_EntryVmKilledWhileItRuns_RepeatRunsItNoSecondTime() {
    Stage stage({});
    Background first(stage.CallerOnlyOf(0), Stage::Post("/f?work_ms=600", "killed"));
    AwaitRun(stage, "killed");
    stage.Entry(0).process->Signal(SIGKILL);
    ExpectNoSecondRun(stage, "killed");
    CPPUNIT_ASSERT_EQUAL(0, first.Join().status);
  }

  void Filing_EntryVmPausedWhileItRuns_RepeatRunsItNoSecondTime() {
    Stage stage({});
    Background first(stage.CallerOnlyOf(0), Stage::Post("/f?work_ms=600", "paused"));
    AwaitRun(stage, "paused");
    stage.Entry(0).process->Signal(SIGSTOP);
    ExpectNoSecondRun(stage, "paused");
    stage.Entry(0).process->Signal(SIGCONT);
    first.Join();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, stage.RunsOf("paused"));
  }

  void Filing_PlatformLosesAnswers_RunsAtMostOnce() {
    Stage stage({});
    Stage::Control(stage.Platform(), "/faults",
                   R"({"lost_answers": true, "probability": 0.4, "seed": 7})");
    for (int n = 0; n < 30; ++n) {
      const std::string key = "lost-" + std::to_string(n);
      std::string outcome;
      for (size_t i = 0; i < 3 && outcome != "ran"; ++i) {
        outcome = stage.CallerOnlyOf(i).Send(Stage::Post("/f", key)).outcome;
      }
      const size_t runs = stage.RunsOf(key);
      CPPUNIT_ASSERT_MESSAGE(key, runs <= 1);
      if (outcome == "ran") CPPUNIT_ASSERT_EQUAL_MESSAGE(key, size_t{1}, runs);
    }
    CPPUNIT_ASSERT(Stage::Count(stage.Platform(), "lost_answers") > 0);
  }

  void Filing_PlatformDown_IsRefusedAndDidNotRun() {
    Stage stage({});
    Stage::Control(stage.Platform(), "/faults", R"({"down": true})");
    const CallerView view = stage.CallerOnlyOf(0).Send(Stage::Post("/f", "down"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(view.body, std::string("not-run"), view.outcome);
    CPPUNIT_ASSERT(!view.retry_after.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, stage.RunsOf("down"));
  }

  void Lookups_PlatformDown_AreAnswered() {
    Stage stage({});
    Stage::Control(stage.Platform(), "/faults", R"({"down": true})");
    for (size_t i = 0; i < 3; ++i) {
      Caller caller = stage.CallerOnlyOf(i);
      for (int n = 0; n < 20; ++n) {
        const CallerView view = caller.Send(Stage::Get("/permits/7"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(view.error + view.body, 200, view.status);
      }
    }
  }

  void Manifest_TwoPipelinesAtOnce_OneWinsEverywhereForGood() {
    Stage stage({});
    const uint64_t base = stage.RevisionAt(0);
    std::string one = stage.Manifest();
    one += "[[place]]\nid = \"place-one\"\nregion = \"local\"\n";
    std::string two = stage.Manifest();
    two += "[[place]]\nid = \"place-extra\"\nregion = \"local\"\n";
    CommandResult other;
    std::thread rival([&] { other = stage.Submit(1, two, "two", base); });
    const CommandResult mine = stage.Submit(0, one, "one", base);
    rival.join();
    CPPUNIT_ASSERT_MESSAGE("exactly one wins: " + mine.output + other.output,
                           (mine.exit_code == 0) != (other.exit_code == 0));
    const uint64_t agreed = base + 1;
    const auto in_force = [&] { return stage.RevisionsAgree() && stage.RevisionAt(0) == agreed; };
    CPPUNIT_ASSERT(WaitUntil(in_force, seconds(7)));
    const auto end = std::chrono::steady_clock::now() + seconds(2);
    while (std::chrono::steady_clock::now() < end) {
      for (size_t i = 0; i < 3; ++i) CPPUNIT_ASSERT_EQUAL(agreed, stage.RevisionAt(i));
      std::this_thread::sleep_for(milliseconds(50));
    }
  }

  void Manifest_OldReadsAtANewEntryVm_IsNotTheEarlierOne() {
    Stage stage({});
    const uint64_t before = stage.RevisionAt(0);
    Stage::Control(stage.Platform(), "/faults", R"({"old_reads": true})");
    const std::string changed =
        stage.Manifest() + "[[place]]\nid = \"place-extra\"\nregion = \"local\"\n";
    const CommandResult change = stage.Submit(0, changed, "changed", before);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(change.output, 0, change.exit_code);
    const uint64_t accepted = before + 1;
    const auto in_force = [&] { return stage.RevisionsAgree() && stage.RevisionAt(0) == accepted; };
    CPPUNIT_ASSERT(WaitUntil(in_force, seconds(7)));
    stage.Entry(2).process->Signal(SIGKILL);
    stage.Entry(2).process->Wait();
    stage.RestartEntry(2);
    std::vector<uint64_t> highest(3, accepted);
    const auto end = std::chrono::steady_clock::now() + seconds(4);
    while (std::chrono::steady_clock::now() < end) {
      for (size_t i = 0; i < 3; ++i) {
        const uint64_t now = stage.RevisionAt(i);
        CPPUNIT_ASSERT_MESSAGE("went back at entry VM " + std::to_string(i), now >= highest[i]);
        highest[i] = now;
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
  }

  void Probes_ThreeEntryVmsIdle_StayWithinTheBudget() {
    const Stage stage({});
    ExpectProbesWithinBudget(stage);
  }

  void Probes_PlatformDown_StayWithinTheBudget() {
    const Stage stage({});
    Stage::Control(stage.Platform(), "/faults", R"({"down": true})");
    ExpectProbesWithinBudget(stage);
  }

  void Lookup_EntryVmStops_IsNotNamedByTheOthers() {
    Stage stage({});
    const std::string leaving = stage.EdgeOf(2).ToString();
    const auto named = [&](size_t i) {
      const std::string answer = Stage::HttpGet(stage.EdgeOf(i), "/cowsliphill/entries");
      return answer.find(leaving) != std::string::npos;
    };
    CPPUNIT_ASSERT(WaitUntil([&] { return named(0) && named(1); }));
    stage.Entry(2).process->Signal(SIGTERM);
    CPPUNIT_ASSERT(WaitUntil([&] { return !named(0) && !named(1); }, seconds(5)));
    CPPUNIT_ASSERT_EQUAL(0, stage.Entry(2).process->Wait());
  }

 private:
  static void AwaitRun(const Stage& stage, const std::string& key) {
    CPPUNIT_ASSERT(WaitUntil([&] { return stage.RunsOf(key) == 1; }));
  }

  // Sends the key again through the other entry VMs until well after the first run has ended.
  static void ExpectNoSecondRun(const Stage& stage, const std::string& key) {
    for (int n = 0; n < 6; ++n) {
      const CallerView view =
          stage.CallerOnlyOf(1 + n % 2).Send(Stage::Post("/f?work_ms=600", key));
      CPPUNIT_ASSERT_EQUAL(size_t{1}, stage.RunsOf(key));
      CPPUNIT_ASSERT_MESSAGE("it ran, so no repeat may say that it did not",
                             view.outcome != "not-run" || view.status == 409);
      std::this_thread::sleep_for(milliseconds(200));
    }
  }

  // The default budget is one probe a second and backend server over all entry VMs; one second's
  // worth may come at once.
  static void ExpectProbesWithinBudget(const Stage& stage) {
    std::vector<uint64_t> before;
    for (size_t i = 0; i < stage.Backends(); ++i) {
      before.push_back(Stage::Count(stage.BackendAt(i), "probes"));
    }
    std::this_thread::sleep_for(kProbeWatch);
    for (size_t i = 0; i < stage.Backends(); ++i) {
      const uint64_t probes = Stage::Count(stage.BackendAt(i), "probes") - before[i];
      CPPUNIT_ASSERT_MESSAGE(std::to_string(probes) + " probes",
                             probes <= kProbeWatch.count() + kProbeBurst);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedPlatformTest);

}  // namespace
}  // namespace cowsliphill
