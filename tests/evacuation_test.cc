// Evacuation of one of two failure domains, with real processes.

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <thread>

#include "tests/fleet_harness.h"
#include "tests/scripted_server.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr size_t kServersEach = 6;        // Enough for a cell in each failure domain.
constexpr milliseconds kEffective{2500};  // The target; the bound is 5 s.
constexpr milliseconds kWork{40};

class EvacuationProcessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationProcessTest);
  CPPUNIT_TEST(Evacuation_OfOneDomain_ServersThereGetNothingUntilItsEnd);
  CPPUNIT_TEST(Evacuation_OfAllDomains_RequestsAreRefusedAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Entry VM 0 is in place-a, entry VM 1 in place-b; both serve callers all the time.
  void Evacuation_OfOneDomain_ServersThereGetNothingUntilItsEnd() {
    SetUpFleet();
    CPPUNIT_ASSERT(SendFor(milliseconds(1000)) == 0);
    CPPUNIT_ASSERT(ArrivedSince('a', start_) > 0);
    fleet_->Control("PUT", "/control/row?table=op&key=evacuate/nowhere", "{}");
    fleet_->Control("PUT", "/control/row?table=op&key=evacuate/place-b", "oops");
    fleet_->Control("PUT", "/control/row?table=op&key=evacuate/place-a", "{}");
    CPPUNIT_ASSERT_EQUAL(size_t{0}, SendFor(kEffective));
    const auto effective = steady_clock::now();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, SendFor(milliseconds(1500)));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, ArrivedSince('a', effective));  // Probes included.
    CPPUNIT_ASSERT(ArrivedSince('b', effective) > 0);
    for (size_t entry = 0; entry < 2; ++entry) {
      CPPUNIT_ASSERT_EQUAL(1.0, fleet_->Metric(entry, "cowsliphill_evacuated_failure_domains"));
      CPPUNIT_ASSERT_EQUAL(0.0, fleet_->Metric(entry, "cowsliphill_requests_in_evacuated_domains"));
      const std::string log = fleet_->Entry(entry).process->Output();
      CPPUNIT_ASSERT_EQUAL(size_t{1}, Count(log, "\"begun\""));
      CPPUNIT_ASSERT_EQUAL(size_t{1}, Count(log, "\"no request left\""));
      CPPUNIT_ASSERT_EQUAL(size_t{1}, Count(log, "\"unknown failure domain\""));
      const auto status = HttpClientFor(fleet_->Entry(entry).metrics).Get("/v1/status");
      const auto evacuated = nlohmann::json::parse(status->body).at("evacuated");
      CPPUNIT_ASSERT_EQUAL(std::string("place-a"),
                           evacuated.at(0).at("failure_domain").get<std::string>());
    }
    fleet_->Control("DELETE", "/control/row?table=op&key=evacuate/place-a");
    CPPUNIT_ASSERT_EQUAL(size_t{0}, SendFor(kEffective));
    CPPUNIT_ASSERT(ArrivedSince('a', effective) > 0);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count(fleet_->Entry(0).process->Output(), "\"ended\""));
    CPPUNIT_ASSERT_EQUAL(0.0, fleet_->Metric(0, "cowsliphill_evacuated_failure_domains"));
  }

  void Evacuation_OfAllDomains_RequestsAreRefusedAtOnce() {
    SetUpFleet();
    CPPUNIT_ASSERT(SendFor(milliseconds(500)) == 0);
    fleet_->Control("PUT", "/control/row?table=op&key=evacuate/place-a", "{}");
    fleet_->Control("PUT", "/control/row?table=op&key=evacuate/place-b", "{}");
    std::this_thread::sleep_for(kEffective);
    const auto effective = steady_clock::now();
    for (size_t entry = 0; entry < 2; ++entry) {
      const auto begin = steady_clock::now();
      const auto result = fleet_->Send(entry, "/u/x", "refused-" + std::to_string(entry));
      CPPUNIT_ASSERT(result);
      CPPUNIT_ASSERT_EQUAL(503, result->status);
      CPPUNIT_ASSERT(result->has_header("Retry-After"));
      CPPUNIT_ASSERT(steady_clock::now() - begin < milliseconds(200));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, ArrivedSince('a', effective) + ArrivedSince('b', effective));
    fleet_->Control("DELETE", "/control/row?table=op&key=evacuate/place-b");
    std::this_thread::sleep_for(kEffective);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, SendFor(milliseconds(300)));
  }

 private:
  struct Arrival {
    char domain;
    steady_clock::time_point at;
  };

  void SetUpFleet() {
    FleetOptions options;
    options.servers = 0;
    options.entries_elsewhere = 1;
    servers_.clear();
    arrivals_.clear();
    fleet_ = std::make_unique<Fleet>(2, options);
    for (const char domain : {'a', 'b'}) {
      for (size_t i = 0; i < kServersEach; ++i) AddServer(domain, i);
    }
    start_ = steady_clock::now();
    for (size_t entry = 0; entry < 2; ++entry) {
      CPPUNIT_ASSERT(WaitUntil([&] { return fleet_->SendForStatus(entry, "/a/x", "use") == 200; }));
    }
  }
  void AddServer(char domain, size_t i) {
    const std::string name = std::string(1, domain) + "-" + std::to_string(i);
    servers_.push_back(std::make_unique<ScriptedServer>(
        name, [this, domain](const ScriptedRequest& it) -> std::vector<ScriptedStep> {
          {
            const std::lock_guard<std::mutex> lock(mutex_);
            arrivals_.push_back({domain, steady_clock::now()});
          }
          if (it.path == "/health") return {};
          return {{ScriptedAnswer(it.id), kWork}};
        }));
    fleet_->AddServer(name, servers_.back()->Address(), 3, 1600000000000,
                      std::string("place-") + domain);
  }
  // Sends requests to both entry VMs. Returns the number of those that were not served.
  size_t SendFor(milliseconds time) {
    size_t failed = 0;
    const auto end = steady_clock::now() + time;
    while (steady_clock::now() < end) {
      for (size_t entry = 0; entry < 2; ++entry) {
        const std::string id = "e-" + std::to_string(++sent_);
        const bool served =
            fleet_->SendForStatus(entry, sent_ % 4 < 2 ? "/a/x" : "/u/x", id) == 200;
        failed += served ? 0 : 1;
      }
    }
    return failed;
  }
  size_t ArrivedSince(char domain, steady_clock::time_point since) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<size_t>(
        std::count_if(arrivals_.begin(), arrivals_.end(),
                      [&](const Arrival& it) { return it.domain == domain && it.at >= since; }));
  }
  static size_t Count(const std::string& text, const std::string& part) {
    size_t n = 0;
    for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++n;
    return n;
  }

  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  std::vector<std::unique_ptr<ScriptedServer>> servers_;
  std::unique_ptr<Fleet> fleet_;
  steady_clock::time_point start_;
  size_t sent_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationProcessTest);

}  // namespace
}  // namespace cowsliphill
