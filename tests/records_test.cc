// Records outlive the entry VM that held the request, also while the platform is down.

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <nlohmann/json.hpp>

#include "tests/background.h"
#include "tests/process_harness.h"

namespace cowsliphill {
namespace {

using standins::CallerView;

// Detection of a dead entry VM, the batch's wait and its write together.
constexpr std::chrono::seconds kRecordLimit{40};

class RecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordsTest);
  CPPUNIT_TEST(Record_EntryVmKilledWithARequestOpen_IsWrittenByItsPartner);
  CPPUNIT_TEST(Record_EntryVmKilledDuringAnOutage_AppearsAfterIt);
  CPPUNIT_TEST(Record_RefusedRequest_NamesItsCause);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Record_EntryVmKilledWithARequestOpen_IsWrittenByItsPartner() {
    Stage stage({});
    Background open(stage.CallerOnlyOf(0), Stage::Post("/f?work_ms=3000", "lost"));
    AwaitNoteOf(stage);
    stage.Entry(0).process->Signal(SIGKILL);
    CPPUNIT_ASSERT(WaitUntil([&] { return HasRecord(stage, "entry-vm-lost"); }, kRecordLimit));
    open.Join();
  }

  void Record_EntryVmKilledDuringAnOutage_AppearsAfterIt() {
    Stage stage({});
    Background open(stage.CallerOnlyOf(0), Stage::Get("/f?work_ms=3000"));
    AwaitNoteOf(stage);
    Stage::Control(stage.Platform(), "/faults", R"({"down": true})");
    stage.Entry(0).process->Signal(SIGKILL);
    CPPUNIT_ASSERT(WaitUntil([&] { return MembersOf(stage, 1) < 2; }, kRecordLimit));
    Stage::Control(stage.Platform(), "/faults", R"({"down": false})");
    CPPUNIT_ASSERT(WaitUntil([&] { return HasRecord(stage, "entry-vm-lost"); }, kRecordLimit));
    open.Join();
  }

  void Record_RefusedRequest_NamesItsCause() {
    Stage stage({});
    for (size_t i = 0; i < stage.Backends(); ++i) {
      Stage::Control(stage.Backend(i).address, "/control", R"({"state": "shedding"})");
    }
    const CallerView view = stage.CallerOnlyOf(0).Send(Stage::Get("/permits/7"));
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), view.outcome);
    CPPUNIT_ASSERT(WaitUntil([&] { return HasRecord(stage, "refused"); }, kRecordLimit));
  }

 private:
  // The request is open for longer than a note waits, and its partner has answered.
  static void AwaitNoteOf(const Stage& stage) {
    CPPUNIT_ASSERT(WaitUntil([&] { return !stage.Journals().empty(); }));
    const auto partner_told = [&] {
      const std::string text = Stage::HttpGet(stage.EntryAdmin(0), "/metrics");
      return text.find("cowsliphill_record_notes_sent 0\n") == std::string::npos;
    };
    CPPUNIT_ASSERT(WaitUntil(partner_told));
  }

  static bool HasRecord(const Stage& stage, const std::string& cause) {
    const std::string text = Stage::HttpGet(stage.EntryAdmin(1), "/v1/records?minutes=60");
    const auto answer = nlohmann::json::parse(text, nullptr, false);
    if (answer.is_discarded() || !answer.contains("records")) return false;
    for (const auto& record : answer["records"]) {
      if (record["cause"] == cause) return true;
    }
    return false;
  }

  static size_t MembersOf(const Stage& stage, size_t entry) {
    const std::string text = Stage::HttpGet(stage.EntryAdmin(entry), "/v1/status");
    const auto answer = nlohmann::json::parse(text, nullptr, false);
    return answer.is_discarded() ? 99 : answer["members"].size();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordsTest);

}  // namespace
}  // namespace cowsliphill
