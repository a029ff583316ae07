// Checks that the record of a request is written even if its entry VM dies, also when the platform
// is down at that time, and that the record of a refused request names the cause.

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <nlohmann/json.hpp>

#include "tests/background.h"
#include "tests/process_harness.h"

namespace cowsliphill {
namespace {

using standins::CallerResult;

// Covers detecting the dead entry VM, the batching delay and writing the batch.
constexpr std::chrono::seconds kRecordTimeout{40};

class RecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordsTest);
  CPPUNIT_TEST(Record_EntryVmKilledWithARequestOpen_IsWrittenByItsPartner);
  CPPUNIT_TEST(Record_EntryVmKilledDuringAnOutage_AppearsAfterIt);
  CPPUNIT_TEST(Record_RefusedRequest_NamesItsCause);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Record_EntryVmKilledWithARequestOpen_IsWrittenByItsPartner() {
    TestCluster cluster({});
    BackgroundRequest open_request(cluster.CallerPinnedTo(0),
                                   TestCluster::Post("/f?work_ms=3000", "lost"));
    AwaitReplicatedNote(cluster);
    cluster.Entry(0).process->Signal(SIGKILL);
    CPPUNIT_ASSERT(WaitUntil([&] { return HasRecord(cluster, "entry-vm-lost"); }, kRecordTimeout));
    open_request.Join();
  }

  void Record_EntryVmKilledDuringAnOutage_AppearsAfterIt() {
    TestCluster cluster({});
    BackgroundRequest open_request(cluster.CallerPinnedTo(0), TestCluster::Get("/f?work_ms=3000"));
    AwaitReplicatedNote(cluster);
    TestCluster::Control(cluster.PlatformAddress(), "/faults", R"({"down": true})");
    cluster.Entry(0).process->Signal(SIGKILL);
    CPPUNIT_ASSERT(WaitUntil([&] { return MemberCount(cluster, 1) < 2; }, kRecordTimeout));
    TestCluster::Control(cluster.PlatformAddress(), "/faults", R"({"down": false})");
    CPPUNIT_ASSERT(WaitUntil([&] { return HasRecord(cluster, "entry-vm-lost"); }, kRecordTimeout));
    open_request.Join();
  }

  void Record_RefusedRequest_NamesItsCause() {
    TestCluster cluster({});
    for (size_t i = 0; i < cluster.BackendCount(); ++i) {
      TestCluster::Control(cluster.Backend(i).address, "/control", R"({"state": "shedding"})");
    }
    const CallerResult result = cluster.CallerPinnedTo(0).Send(TestCluster::Get("/permits/7"));
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), result.outcome);
    CPPUNIT_ASSERT(WaitUntil([&] { return HasRecord(cluster, "refused"); }, kRecordTimeout));
  }

 private:
  // Waits until the request runs at a backend server and entry VM 0 has sent a note of it to its
  // partner.
  static void AwaitReplicatedNote(const TestCluster& cluster) {
    CPPUNIT_ASSERT(WaitUntil([&] { return !cluster.AllJournals().empty(); }));
    const auto note_sent = [&] {
      const std::string text = TestCluster::HttpGet(cluster.AdminAddress(0), "/metrics");
      return text.find("cowsliphill_record_notes_sent 0\n") == std::string::npos;
    };
    CPPUNIT_ASSERT(WaitUntil(note_sent));
  }

  static bool HasRecord(const TestCluster& cluster, const std::string& cause) {
    const std::string text =
        TestCluster::HttpGet(cluster.AdminAddress(1), "/v1/records?minutes=60");
    const auto answer = nlohmann::json::parse(text, nullptr, false);
    if (answer.is_discarded() || !answer.contains("records")) return false;
    for (const auto& record : answer["records"]) {
      if (record["cause"] == cause) return true;
    }
    return false;
  }

  static size_t MemberCount(const TestCluster& cluster, size_t entry) {
    const std::string text = TestCluster::HttpGet(cluster.AdminAddress(entry), "/v1/status");
    const auto answer = nlohmann::json::parse(text, nullptr, false);
    return answer.is_discarded() ? 99 : answer["members"].size();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordsTest);

}  // namespace
}  // namespace cowsliphill
