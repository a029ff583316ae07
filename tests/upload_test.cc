// Requests with large bodies that may run only once.

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/fleet_harness.h"
#include "tests/raw_caller.h"
#include "tests/upload_server.h"

namespace cowsliphill {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Mode = UploadServer::Mode;

constexpr milliseconds kDeadline{1500};     // Stated by each caller.
constexpr milliseconds kMaxDelay{500};      // From the deadline to the final answer.
constexpr size_t kLargeBody = 2000000;      // More than the sockets on the way hold.
constexpr size_t kMaxMemoryKb = 160 << 10;  // The smallest entry VM has 160 MB.
constexpr size_t kUploads = 200;            // Concurrent ones.

class UploadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UploadTest);
  CPPUNIT_TEST(Upload_WithALength_ArrivesUnchanged);
  CPPUNIT_TEST(Upload_InChunks_ArrivesUnchanged);
  CPPUNIT_TEST(Upload_AnsweredBeforeItsEnd_CallerGetsTheAnswer);
  CPPUNIT_TEST(Upload_RefusedBeforeItsEnd_IsGivenToAnotherServer);
  CPPUNIT_TEST(Upload_RefusedAfterPartOfItWasSent_IsGivenToAnotherServer);
  CPPUNIT_TEST(Upload_RefusedByAllServers_IsReportedNotRun);
  CPPUNIT_TEST(Upload_CutOffByItsServer_IsNotSentAgain);
  CPPUNIT_TEST(Upload_ServerStopsReading_EndsAtItsDeadline);
  CPPUNIT_TEST(Upload_CallerStopsSending_ServerIsFreed);
  CPPUNIT_TEST(Upload_CallerLeavesHalfway_NeverLooksComplete);
  CPPUNIT_TEST(Uploads_ServersStopReading_MemoryIsBounded);
  CPPUNIT_TEST(Sigterm_DuringAnUpload_FinishesIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Upload_WithALength_ArrivesUnchanged() { AssertArrivesUnchanged(WithLength(kLargeBody)); }
  void Upload_InChunks_ArrivesUnchanged() {
    std::string request = Head("Transfer-Encoding: chunked");
    const std::string body = BodyOf(kLargeBody);
    for (size_t at = 0; at < body.size(); at += 10000) {
      request += "2710\r\n" + body.substr(at, 10000) + "\r\n";
    }
    AssertArrivesUnchanged(request + "0\r\n\r\n");
  }

  void Upload_AnsweredBeforeItsEnd_CallerGetsTheAnswer() {
    const UploadServer server("early", Mode::kAnswerAtHead);
    Fleet fleet(1, 0);
    Register(fleet, server, "early");
    RawCaller caller(fleet.Entry(0).edge);
    const std::string request = WithLength(kLargeBody);
    caller.Send(request.substr(0, 300000));
    const std::vector<RawAnswer> answers = caller.ReadAnswers(1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, answers.size());
    CPPUNIT_ASSERT_EQUAL(200, answers[0].head.status);
    CPPUNIT_ASSERT(answers[0].Closes());
    // The next request does not use the connection on which the rest of the body is due.
    for (int n = 0; n < 5; ++n) fleet.SendForStatus(0, "/u/x", "r" + std::to_string(n));
    CPPUNIT_ASSERT(!server.GotGarbage());
  }

  // Regression: a request was sent only once if its body was larger than the buffer, though the
  // server had stated that it did not run it.
  void Upload_RefusedBeforeItsEnd_IsGivenToAnotherServer() {
    AssertGivenToAnotherServer(Mode::kRefuseAtHead);
  }
  void Upload_RefusedAfterPartOfItWasSent_IsGivenToAnotherServer() {
    AssertGivenToAnotherServer(Mode::kRefuseLate);
  }

  void Upload_RefusedByAllServers_IsReportedNotRun() {
    const UploadServer server("busy", Mode::kRefuseLate);
    Fleet fleet(1, 0);
    Register(fleet, server, "busy");
    RawCaller caller(fleet.Entry(0).edge);
    caller.Send(WithLength(kLargeBody));
    const std::vector<RawAnswer> answers = caller.ReadAnswers(1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, answers.size());
    CPPUNIT_ASSERT_EQUAL(503, answers[0].head.status);
  }

  void Upload_CutOffByItsServer_IsNotSentAgain() {
    const UploadServer first("cut-1", Mode::kCutLate);
    const UploadServer second("cut-2", Mode::kCutLate);
    Fleet fleet(1, 0);
    Register(fleet, first, "cut-1");
    Register(fleet, second, "cut-2");
    RawCaller caller(fleet.Entry(0).edge);
    caller.Send(WithLength(kLargeBody));
    const std::vector<RawAnswer> answers = caller.ReadAnswers(1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, answers.size());
    CPPUNIT_ASSERT_EQUAL(502, answers[0].head.status);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, first.Begun() + second.Begun());
  }

  void Upload_ServerStopsReading_EndsAtItsDeadline() {
    const UploadServer server("stuck", Mode::kStopReading);
    Fleet fleet(1, 0);
    Register(fleet, server, "stuck");
    RawCaller caller(fleet.Entry(0).edge);
    const auto sent = std::chrono::steady_clock::now();
    caller.Send(WithLength(5 * kLargeBody), milliseconds(300));
    const std::vector<RawAnswer> answers = caller.ReadAnswers(1);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - sent <= kDeadline + kMaxDelay);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, answers.size());
    CPPUNIT_ASSERT_EQUAL(504, answers[0].head.status);
  }

  void Upload_CallerStopsSending_ServerIsFreed() {
    const UploadServer server("read", Mode::kRead);
    Fleet fleet(1, 0);
    Register(fleet, server, "read");
    RawCaller caller(fleet.Entry(0).edge);
    caller.Send(WithLength(kLargeBody).substr(0, kLargeBody / 2));
    CPPUNIT_ASSERT(WaitUntil([&] { return server.Open() == 1; }, kMaxDelay));
    CPPUNIT_ASSERT(WaitUntil([&] { return server.Open() == 0; }, kDeadline + kMaxDelay));
    CPPUNIT_ASSERT_EQUAL(std::string(), server.BodyOf("upload"));
  }

  void Upload_CallerLeavesHalfway_NeverLooksComplete() {
    const UploadServer server("read", Mode::kRead);
    Fleet fleet(1, 0);
    Register(fleet, server, "read");
    RawCaller caller(fleet.Entry(0).edge);
    caller.Send(WithLength(kLargeBody).substr(0, kLargeBody / 2));
    CPPUNIT_ASSERT(WaitUntil([&] { return server.Open() == 1; }, kMaxDelay));
    caller.Close();
    CPPUNIT_ASSERT(WaitUntil([&] { return server.Open() == 0; }, kMaxDelay));
    CPPUNIT_ASSERT_EQUAL(std::string(), server.BodyOf("upload"));
  }

  void Uploads_ServersStopReading_MemoryIsBounded() {
    const UploadServer server("stuck", Mode::kStopReading);
    Fleet fleet(1, 0);
    Register(fleet, server, "stuck");
    const std::string request = WithLength(kLargeBody);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (size_t i = 0; i < kUploads; ++i) {
      callers.push_back(std::make_unique<RawCaller>(fleet.Entry(0).edge));
      callers.back()->Send(request, milliseconds(5));
    }
    const size_t peak = fleet.Entry(0).process->PeakMemoryKb();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(peak) + " KB", peak <= kMaxMemoryKb);
    CPPUNIT_ASSERT_EQUAL(200, Fleet::GetStatus(fleet.Entry(0).readiness, "/-/readiness"));
  }

  void Sigterm_DuringAnUpload_FinishesIt() {
    const UploadServer server("read", Mode::kRead);
    Fleet fleet(1, 0);
    Register(fleet, server, "read");
    RawCaller caller(fleet.Entry(0).edge);
    const std::string request = WithLength(kLargeBody);
    caller.Send(request.substr(0, kLargeBody / 2));
    fleet.Entry(0).process->Signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(300));
    caller.Send(request.substr(kLargeBody / 2));
    const std::vector<RawAnswer> answers = caller.ReadAnswers(1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, answers.size());
    CPPUNIT_ASSERT_EQUAL(200, answers[0].head.status);
    CPPUNIT_ASSERT(server.BodyOf("upload") == BodyOf(kLargeBody));
    CPPUNIT_ASSERT_EQUAL(0, fleet.Entry(0).process->Wait(milliseconds(5000)));
  }

 private:
  static std::string BodyOf(size_t bytes) {
    std::string body(bytes, ' ');
    for (size_t i = 0; i < bytes; ++i) body[i] = static_cast<char>('a' + (i * 7 + i / 1000) % 26);
    return body;
  }
  static std::string Head(const std::string& framing) {
    return "POST /u/x HTTP/1.1\r\nHost: fleet.example\r\nX-Request-Id: upload\r\nX-Deadline-Ms: " +
           std::to_string(kDeadline.count()) + "\r\n" + framing + "\r\n\r\n";
  }
  static std::string WithLength(size_t bytes) {
    return Head("Content-Length: " + std::to_string(bytes)) + BodyOf(bytes);
  }
  static void Register(Fleet& fleet, const UploadServer& server, const std::string& name) {
    fleet.AllowBodies(uint64_t{10} * kLargeBody);
    const json row = {{"service", "service-a"},
                      {"address", server.Address().ToString()},
                      {"zone", "place-a"},
                      {"version", "v1"},
                      {"slots", 40},
                      {"state", "ready"},
                      {"warmup-left-ms", 0},
                      {"seq-no", 1}};
    fleet.Control("PUT", "/control/row?table=servers&key=" + name, row.dump());
    std::this_thread::sleep_for(milliseconds(2000));  // Both are in force by then.
  }
  static void AssertArrivesUnchanged(const std::string& request) {
    const UploadServer server("read", Mode::kRead);
    Fleet fleet(1, 0);
    Register(fleet, server, "read");
    RawCaller caller(fleet.Entry(0).edge);
    caller.Send(request);
    const std::vector<RawAnswer> answers = caller.ReadAnswers(1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, answers.size());
    CPPUNIT_ASSERT_EQUAL(200, answers[0].head.status);
    CPPUNIT_ASSERT(server.BodyOf("upload") == BodyOf(kLargeBody));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, server.Begun());
  }
  // Of two servers one refuses; which one is asked first is up to chance.
  static void AssertGivenToAnotherServer(Mode refusal) {
    size_t refused = 0;
    for (int n = 0; n < 10 && refused == 0; ++n) {
      const UploadServer busy("busy", refusal);
      const UploadServer good("good", Mode::kRead);
      Fleet fleet(1, 0);
      Register(fleet, busy, "busy");
      Register(fleet, good, "good");
      RawCaller caller(fleet.Entry(0).edge);
      caller.Send(WithLength(600000));
      const std::vector<RawAnswer> answers = caller.ReadAnswers(1);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, answers.size());
      CPPUNIT_ASSERT_EQUAL(200, answers[0].head.status);
      CPPUNIT_ASSERT(good.BodyOf("upload") == BodyOf(600000));
      refused = busy.Begun();
    }
    CPPUNIT_ASSERT(refused > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UploadTest);

}  // namespace
}  // namespace cowsliphill
