// Callers that send further requests on a connection before the first one is answered.

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>
#include <vector>

#include "tests/fleet_harness.h"
#include "tests/raw_caller.h"

namespace cowsliphill {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// From the moment at which a caller leaves to the end of its requests.
constexpr milliseconds kMaxTimeToCancel{500};
constexpr milliseconds kLongWork{1000};     // Execution time of a slow request.
constexpr milliseconds kArrivalTime{300};   // By then a request that is sent on has arrived.
constexpr size_t kMaxMemoryKb = 160 << 10;  // The smallest entry VM has 160 MB.

class PipelinedRequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PipelinedRequestsTest);
  CPPUNIT_TEST(Requests_BehindOneAnother_AreAnsweredInOrder);
  CPPUNIT_TEST(Requests_BehindASlowOne_RunMeanwhile);
  CPPUNIT_TEST(Requests_BehindOneThatHangs_AreAnsweredInOrderAfterIt);
  CPPUNIT_TEST(UnsafeRequest_BehindAnother_RunsAfterItsAnswer);
  CPPUNIT_TEST(Request_BehindAnUnsafeOne_IsAnsweredAfterIt);
  CPPUNIT_TEST(Requests_BehindOneThatClosesTheConnection_AreNotRun);
  CPPUNIT_TEST(MalformedRequest_BehindAnother_IsRefusedAfterItsAnswer);
  CPPUNIT_TEST(Request_WithABodyBehindAnother_IsAnsweredWhole);
  CPPUNIT_TEST(Caller_LeavesWithRequestsUnread_AllAreCancelled);
  CPPUNIT_TEST(Caller_LeavesWithMoreRequestsThanAreRead_AllAreCancelled);
  CPPUNIT_TEST(Caller_ResetsWithManyBytesUnread_AllAreCancelled);
  CPPUNIT_TEST(Sigterm_WithRequestsBehindOneAnother_AnswersThoseItHasRead);
  CPPUNIT_TEST(Requests_ManyUnread_MemoryIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Requests_BehindOneAnother_AreAnsweredInOrder() {
    Fleet fleet(1);
    RawCaller caller(fleet.Entry(0).edge);
    std::string requests;
    for (int n = 0; n < 30; ++n) requests += Get("r" + std::to_string(n));
    caller.Send(requests);
    const std::vector<RawAnswer> answers = caller.ReadAnswers(30);
    AssertAnswered(answers, 30);
  }

  // A slow request delays the answers behind it, but need not delay their execution.
  void Requests_BehindASlowOne_RunMeanwhile() {
    Fleet fleet(1);
    SetAllServers(fleet, "ok", kLongWork);
    RawCaller caller(fleet.Entry(0).edge);
    caller.Send(Get("r0") + Get("r1") + Get("r2"));
    AssertAnswered(caller.ReadAnswers(3), 3);
    CPPUNIT_ASSERT(ArrivalOf(fleet, "r1") - ArrivalOf(fleet, "r0") < kArrivalTime);
    CPPUNIT_ASSERT(ArrivalOf(fleet, "r2") - ArrivalOf(fleet, "r0") < kArrivalTime);
  }

  // The first request ends by its own deadline. An answer that is ready by then is still delivered
  // to its caller, though its own deadline is over too.
  void Requests_BehindOneThatHangs_AreAnsweredInOrderAfterIt() {
    Fleet fleet(1, 1);
    SetServer(fleet, 0, "hang", milliseconds(0));
    RawCaller caller(fleet.Entry(0).edge);
    caller.Send(Get("r0", milliseconds(800)));
    std::this_thread::sleep_for(kArrivalTime);
    SetServer(fleet, 0, "ok", milliseconds(5));
    caller.Send(Get("r1", milliseconds(300)));
    const std::vector<RawAnswer> answers = caller.ReadAnswers(2);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, answers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("r0"), answers[0].Id());
    CPPUNIT_ASSERT(answers[0].head.status >= 500);
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), answers[1].Id());
    CPPUNIT_ASSERT_EQUAL(200, answers[1].head.status);
  }

  // The caller sends a request again if it was behind an answer that closed the connection, so an
  // unsafe request must not run before all earlier ones have their answers.
  void UnsafeRequest_BehindAnother_RunsAfterItsAnswer() {
    Fleet fleet(1);
    SetAllServers(fleet, "ok", kLongWork);
    RawCaller caller(fleet.Entry(0).edge);
    caller.Send(Get("r0") + Post("r1") + Get("r2"));
    AssertAnswered(caller.ReadAnswers(3), 3);
    CPPUNIT_ASSERT(ArrivalOf(fleet, "r1") - ArrivalOf(fleet, "r0") >= kLongWork);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.RunCount("r1"));
  }

  void Request_BehindAnUnsafeOne_IsAnsweredAfterIt() {
    Fleet fleet(1);
    RawCaller caller(fleet.Entry(0).edge);
    caller.Send(Post("r0") + Get("r1") + Post("r2") + Get("r3"));
    AssertAnswered(caller.ReadAnswers(4), 4);
  }

  void Requests_BehindOneThatClosesTheConnection_AreNotRun() {
    Fleet fleet(1);
    RawCaller caller(fleet.Entry(0).edge);
    caller.Send(Get("r0", milliseconds(3000), "Connection: close\r\n") + Get("r1") + Post("r2"));
    const std::vector<RawAnswer> answers = caller.ReadAnswers(2);
    AssertAnswered(answers, 1);
    CPPUNIT_ASSERT(answers[0].Closes());
    std::this_thread::sleep_for(kArrivalTime);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.RunCount("r1"));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.RunCount("r2"));
  }

  void MalformedRequest_BehindAnother_IsRefusedAfterItsAnswer() {
    Fleet fleet(1);
    SetAllServers(fleet, "ok", kLongWork);
    RawCaller caller(fleet.Entry(0).edge);
    caller.Send(Get("r0") + "no request\r\n\r\n");
    const std::vector<RawAnswer> answers = caller.ReadAnswers(2);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, answers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("r0"), answers[0].Id());
    CPPUNIT_ASSERT_EQUAL(200, answers[0].head.status);
    CPPUNIT_ASSERT_EQUAL(400, answers[1].head.status);
    CPPUNIT_ASSERT(answers[1].Closes());
  }

  void Request_WithABodyBehindAnother_IsAnsweredWhole() {
    Fleet fleet(1);
    SetAllServers(fleet, "ok", milliseconds(200));
    RawCaller caller(fleet.Entry(0).edge);
    const std::string post = Post("r1");
    caller.Send(Get("r0") + post.substr(0, post.size() - 2));
    std::this_thread::sleep_for(milliseconds(400));
    caller.Send(post.substr(post.size() - 2) + Get("r2"));
    AssertAnswered(caller.ReadAnswers(3), 3);
  }

  // Regression: with further requests unread, the caller's close was not noticed.
  void Caller_LeavesWithRequestsUnread_AllAreCancelled() { AssertCancelled(3, 0); }
  void Caller_LeavesWithMoreRequestsThanAreRead_AllAreCancelled() { AssertCancelled(60, 0); }
  void Caller_ResetsWithManyBytesUnread_AllAreCancelled() { AssertCancelled(3, 200000); }

  void Sigterm_WithRequestsBehindOneAnother_AnswersThoseItHasRead() {
    Fleet fleet(2);
    SetAllServers(fleet, "ok", kLongWork);
    RawCaller caller(fleet.Entry(1).edge);
    caller.Send(Get("r0") + Get("r1") + Post("r2") + Get("r3"));
    std::this_thread::sleep_for(kArrivalTime);
    fleet.Entry(1).process->Signal(SIGTERM);
    const std::vector<RawAnswer> answers = caller.ReadAnswers(4);
    CPPUNIT_ASSERT(answers.size() >= 2);
    AssertAnswered(answers, answers.size());
    // What has run has an answer.
    for (size_t n = answers.size(); n < 4; ++n) {
      CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet.RunCount("r" + std::to_string(n)));
    }
    CPPUNIT_ASSERT(caller.AwaitClose(milliseconds(4000)));
    CPPUNIT_ASSERT_EQUAL(0, fleet.Entry(1).process->Wait(milliseconds(4000)));
  }

  void Requests_ManyUnread_MemoryIsBounded() {
    constexpr size_t callers = 200;
    constexpr size_t bytes_per_caller = size_t{4} << 20;
    Fleet fleet(1);
    SetAllServers(fleet, "hang", milliseconds(0));
    std::string requests;
    while (requests.size() < bytes_per_caller) requests += Get("r", milliseconds(2500));
    std::vector<std::unique_ptr<RawCaller>> connections;
    for (size_t i = 0; i < callers; ++i) {
      connections.push_back(std::make_unique<RawCaller>(fleet.Entry(0).edge));
      connections.back()->Send(requests, milliseconds(5));
    }
    const size_t peak = fleet.Entry(0).process->PeakMemoryKb();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(peak) + " KB", peak <= kMaxMemoryKb);
  }

 private:
  static std::string Get(const std::string& id, milliseconds deadline = milliseconds(3000),
                         const std::string& headers = "") {
    return "GET /a/x HTTP/1.1\r\nHost: fleet.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n" + headers + "\r\n";
  }
  static std::string Post(const std::string& id) {
    return "POST /u/x HTTP/1.1\r\nHost: fleet.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody";
  }
  static void SetServer(Fleet& fleet, size_t i, const std::string& mode, milliseconds work) {
    fleet.Control("PUT", "/control/server?name=s-" + std::to_string(i) + "&mode=" + mode +
                             "&work_ms=" + std::to_string(work.count()));
  }
  static void SetAllServers(Fleet& fleet, const std::string& mode, milliseconds work) {
    for (size_t i = 0; i < 3; ++i) SetServer(fleet, i, mode, work);
  }
  static milliseconds ArrivalOf(const Fleet& fleet, const std::string& id) {
    for (const json& it : fleet.Arrivals()) {
      if (it["request"] == id) return milliseconds(it["at_ms"].get<int64_t>());
    }
    CPPUNIT_FAIL(id + " did not arrive");
    return milliseconds(0);
  }
  // The answers are those to "r0", "r1", ..., each with its own body.
  static void AssertAnswered(const std::vector<RawAnswer>& answers, size_t n) {
    CPPUNIT_ASSERT_EQUAL(n, answers.size());
    for (size_t i = 0; i < n; ++i) {
      const std::string id = "r" + std::to_string(i);
      CPPUNIT_ASSERT_EQUAL(id, answers[i].Id());
      CPPUNIT_ASSERT_EQUAL(200, answers[i].head.status);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, answers[i].body.find("body of " + id + " "));
    }
  }
  static void AssertCancelled(size_t requests, size_t further_bytes) {
    Fleet fleet(1);
    SetAllServers(fleet, "ok", milliseconds(20000));
    RawCaller caller(fleet.Entry(0).edge);
    caller.Send(Get("r0"));
    std::this_thread::sleep_for(kArrivalTime);
    std::string bytes;
    for (size_t i = 1; i < requests; ++i) bytes += Get("r" + std::to_string(i));
    caller.Send(bytes + std::string(further_bytes, 'x'), kArrivalTime);
    std::this_thread::sleep_for(kArrivalTime);
    CPPUNIT_ASSERT(fleet.Metric(0, "cowsliphill_open_requests") > 0);
    further_bytes == 0 ? caller.Close() : caller.Reset();
    CPPUNIT_ASSERT(WaitUntil([&] { return fleet.Metric(0, "cowsliphill_open_requests") == 0; },
                             kMaxTimeToCancel));
    // None of the requests that were not sent on when the caller left reaches a server.
    const size_t arrived = fleet.Arrivals().size();
    std::this_thread::sleep_for(kArrivalTime);
    CPPUNIT_ASSERT_EQUAL(arrived, fleet.Arrivals().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PipelinedRequestsTest);

}  // namespace
}  // namespace cowsliphill
