// Tests of the vendors' header formats of load reports.

#include "src/measure/report.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace cowsliphill {
namespace {

class ReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportTest);
  CPPUNIT_TEST(BackendHeaders_Complete_AreParsed);
  CPPUNIT_TEST(BackendHeaders_Invalid_AreIgnored);
  CPPUNIT_TEST(EndpointLoad_TextForm_IsParsed);
  CPPUNIT_TEST(EndpointLoad_JsonForm_IsParsed);
  CPPUNIT_TEST(EndpointLoad_UtilizationAndSlots_YieldInFlight);
  CPPUNIT_TEST(EndpointLoad_Invalid_IsIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BackendHeaders_Complete_AreParsed() {
    const auto report = Parse(
        ReportFormat::kBackendHeaders,
        {{"x-backend-in-flight", "2"}, {"x-backend-slots", "3"}, {"x-backend-state", "draining"}});
    CPPUNIT_ASSERT(report);
    CPPUNIT_ASSERT_EQUAL(2U, *report->in_flight);
    CPPUNIT_ASSERT_EQUAL(3U, *report->slots);
    CPPUNIT_ASSERT(report->draining && !report->shedding);
  }

  void BackendHeaders_Invalid_AreIgnored() {
    const ReportFormat format = ReportFormat::kBackendHeaders;
    CPPUNIT_ASSERT(!Parse(format, {}));
    CPPUNIT_ASSERT(!Parse(format, {{"x-backend-in-flight", "-1"}}));
    CPPUNIT_ASSERT(!Parse(format, {{"x-backend-in-flight", "99999999999"}}));
    CPPUNIT_ASSERT(!Parse(format, {{"x-backend-in-flight", "nan"}}));
    CPPUNIT_ASSERT(!Parse(format, {{"x-backend-state", "fine"}}));
  }

  void EndpointLoad_TextForm_IsParsed() {
    const auto report = ParseLoad(
        "TEXT cpu_utilization=0.3, named_metrics.in_flight=4, named_metrics.slots=3, "
        "named_metrics.shedding=1");
    CPPUNIT_ASSERT(report);
    CPPUNIT_ASSERT_EQUAL(4U, *report->in_flight);
    CPPUNIT_ASSERT_EQUAL(3U, *report->slots);
    CPPUNIT_ASSERT(report->shedding && !report->draining);
  }

  void EndpointLoad_JsonForm_IsParsed() {
    const auto report = ParseLoad(
        R"(JSON {"cpu_utilization": 0.3, "named_metrics": {"in_flight": 1, "draining": 1}})");
    CPPUNIT_ASSERT(report);
    CPPUNIT_ASSERT_EQUAL(1U, *report->in_flight);
    CPPUNIT_ASSERT(report->draining);
  }

  void EndpointLoad_UtilizationAndSlots_YieldInFlight() {
    const auto report = ParseLoad("TEXT application_utilization=0.67,named_metrics.slots=3");
    CPPUNIT_ASSERT(report);
    CPPUNIT_ASSERT_EQUAL(2U, *report->in_flight);
  }

  void EndpointLoad_Invalid_IsIgnored() {
    CPPUNIT_ASSERT(!ParseLoad(""));
    CPPUNIT_ASSERT(!ParseLoad("TEXT "));
    CPPUNIT_ASSERT(!ParseLoad("TEXT ,,=,named_metrics.in_flight=x"));
    CPPUNIT_ASSERT(!ParseLoad("JSON {\"named_metrics\": "));
    CPPUNIT_ASSERT(!ParseLoad("JSON [1]"));
    CPPUNIT_ASSERT(!ParseLoad("JSON {\"named_metrics\": {\"in_flight\": -3}}"));
    CPPUNIT_ASSERT(!ParseLoad("TEXT " + std::string(10000, ' ') + "named_metrics.in_flight=1"));
  }

 private:
  static std::optional<Report> Parse(ReportFormat format,
                                     const std::map<std::string, std::string>& headers) {
    return ParseReport(format, [&](const std::string& name) -> std::optional<std::string> {
      const auto it = headers.find(name);
      if (it == headers.end()) return std::nullopt;
      return it->second;
    });
  }
  static std::optional<Report> ParseLoad(const std::string& value) {
    return Parse(ReportFormat::kEndpointLoad, {{"endpoint-load-metrics", value}});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportTest);

}  // namespace
}  // namespace cowsliphill
