// Checks that every answer is delivered to the request it belongs to.

#include <cppunit/extensions/HelperMacros.h>
#include <httplib.h>

#include "tests/process_harness.h"

namespace cowsliphill {
namespace {

constexpr int kRequests = 2000;  // Sent sequentially on one keep-alive connection.

class AnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswersTest);
  CPPUNIT_TEST(Answers_OnOneConnectionWithHedges_BelongToTheirRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Answers_OnOneConnectionWithHedges_BelongToTheirRequests() {
    TestClusterOptions options;
    options.entries = 1;
    options.memory_platforms = true;
    options.backend_options = {"--work-ms", "0"};
    const TestCluster cluster(options);
    httplib::Client client(cluster.EdgeAddress(0).ip, cluster.EdgeAddress(0).port);
    client.set_keep_alive(true);
    for (int i = 0; i < kRequests; ++i) {
      const std::string id = "request-" + std::to_string(i);
      const httplib::Headers headers = {{"Host", TestCluster::Get("/").service},
                                        {"X-Request-Id", id}};
      const httplib::Result result = client.Get("/permits/" + std::to_string(i), headers);
      CPPUNIT_ASSERT_MESSAGE(httplib::to_string(result.error()), static_cast<bool>(result));
      CPPUNIT_ASSERT_EQUAL(200, result->status);
      CPPUNIT_ASSERT_EQUAL(id, result->get_header_value("X-Request-Id"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswersTest);

}  // namespace
}  // namespace cowsliphill
