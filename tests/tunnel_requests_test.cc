// Requests of callers whose entry VM reaches the backend servers only through another entry VM:
// bodies in both directions, requests behind one another, callers that leave, and the end of the
// entry VM in between.

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "tests/cut_link.h"
#include "tests/fleet_harness.h"
#include "tests/raw_caller.h"
#include "tests/upload_server.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;
using Mode = UploadServer::Mode;

constexpr milliseconds kDeadline{3000};
constexpr milliseconds kMaxTimeToCancel{500};  // From the moment at which a caller leaves.
constexpr milliseconds kLongWork{1000};
// Entry VMs write two lines a second for requests and tunnels that ended without a fault.
constexpr milliseconds kLogLineInterval{1000};
constexpr size_t kLargeBody = 2000000;      // More than the sockets on the way hold.
constexpr size_t kStreamedBytes = 100000;   // As the stand-in sends in mode "stream".
constexpr size_t kMaxMemoryKb = 160 << 10;  // The smallest entry VM has 160 MB.
constexpr size_t kUploads = 100;            // Concurrent ones.
constexpr size_t kCallers = 8;

// A server of which the first entry VM does not receive a packet.
class CutUploadServer {
 public:
  explicit CutUploadServer(Mode mode) : server_("read", mode), link_(server_.Address()) {}

  UploadServer& Server() { return server_; }
  // Makes it the only server of the fleet.
  void Register(Fleet& fleet) {
    fleet.AllowBodies(uint64_t{10} * kLargeBody);
    fleet.AddServer("read", link_.Address(), 2 * kUploads);
    std::this_thread::sleep_for(milliseconds(2000));  // Both are in force by then.
  }

 private:
  UploadServer server_;
  CutLink link_;
};

class TunnelRequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TunnelRequestsTest);
  CPPUNIT_TEST(Upload_WithALength_ArrivesUnchanged);
  CPPUNIT_TEST(Upload_InChunks_ArrivesUnchanged);
  CPPUNIT_TEST(Upload_CallerLeavesHalfway_NeverLooksComplete);
  CPPUNIT_TEST(Uploads_ServerStopsReading_MemoryIsBoundedAtBoth);
  CPPUNIT_TEST(LargeAnswer_ThroughATunnel_HasEveryByte);
  CPPUNIT_TEST(Requests_BehindOneAnother_AreAnsweredInOrder);
  CPPUNIT_TEST(Caller_Leaves_ItsRequestEndsAtBoth);
  CPPUNIT_TEST(Sigterm_OfTheEntryVmInBetween_WhatIsUnderWayIsAnswered);
  CPPUNIT_TEST(Kill_OfTheEntryVmInBetween_AnswersNeverLookWhole);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Upload_WithALength_ArrivesUnchanged() { AssertArrivesUnchanged(WithLength(kLargeBody)); }
  void Upload_InChunks_ArrivesUnchanged() {
    std::string request = Head("upload", "Transfer-Encoding: chunked");
    const std::string body = BodyOf(kLargeBody);
    for (size_t at = 0; at < body.size(); at += 10000) {
      request += "2710\r\n" + body.substr(at, 10000) + "\r\n";
    }
    AssertArrivesUnchanged(request + "0\r\n\r\n");
  }

  void Upload_CallerLeavesHalfway_NeverLooksComplete() {
    CutUploadServer server(Mode::kRead);
    Fleet fleet(2, {0, true});
    server.Register(fleet);
    RawCaller caller(fleet.Entry(0).edge);
    caller.Send(WithLength(kLargeBody).substr(0, kLargeBody / 2));
    CPPUNIT_ASSERT(WaitUntil([&] { return server.Server().Open() == 1; }));
    caller.Close();
    CPPUNIT_ASSERT(WaitUntil([&] { return server.Server().Open() == 0; }, kMaxTimeToCancel));
    CPPUNIT_ASSERT_EQUAL(std::string(), server.Server().BodyOf("upload"));
  }

  void Uploads_ServerStopsReading_MemoryIsBoundedAtBoth() {
    CutUploadServer server(Mode::kStopReading);
    Fleet fleet(2, {0, true});
    server.Register(fleet);
    const std::string request = WithLength(kLargeBody);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (size_t i = 0; i < kUploads; ++i) {
      callers.push_back(std::make_unique<RawCaller>(fleet.Entry(0).edge));
      callers.back()->Send(request, milliseconds(5));
    }
    CPPUNIT_ASSERT(WaitUntil([&] { return server.Server().Begun() > kUploads / 2; }));
    for (size_t entry = 0; entry < fleet.Entries(); ++entry) {
      const size_t peak = fleet.Entry(entry).process->PeakMemoryKb();
      CPPUNIT_ASSERT_MESSAGE(fmt::format("{}: {} KB", entry, peak), peak <= kMaxMemoryKb);
      CPPUNIT_ASSERT_EQUAL(200, Fleet::GetStatus(fleet.Entry(entry).readiness, "/-/readiness"));
    }
  }

  void LargeAnswer_ThroughATunnel_HasEveryByte() {
    Fleet fleet(2, {3, true});
    LoseLinks(fleet);
    SetServers(fleet, "stream", milliseconds(200));
    for (const char* path : {"/a/x", "/u/x"}) {
      const auto result = fleet.Send(0, path, "large");
      CPPUNIT_ASSERT(result);
      CPPUNIT_ASSERT_EQUAL(200, result->status);
      CPPUNIT_ASSERT(result->body == std::string(kStreamedBytes, 'x'));
    }
  }

  void Requests_BehindOneAnother_AreAnsweredInOrder() {
    Fleet fleet(2, {3, true});
    LoseLinks(fleet);
    RawCaller caller(fleet.Entry(0).edge);
    std::string requests;
    for (int n = 0; n < 20; ++n) {
      const std::string id = fmt::format("r{}", n);
      requests += n % 4 == 3 ? Post(id) : Get(id);
    }
    caller.Send(requests);
    const std::vector<RawAnswer> answers = caller.ReadAnswers(20);
    CPPUNIT_ASSERT_EQUAL(size_t{20}, answers.size());
    for (size_t n = 0; n < answers.size(); ++n) {
      const std::string id = fmt::format("r{}", n);
      CPPUNIT_ASSERT_EQUAL(id, answers[n].Id());
      CPPUNIT_ASSERT_EQUAL(200, answers[n].head.status);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, answers[n].body.find("body of " + id + " "));
    }
  }

  void Caller_Leaves_ItsRequestEndsAtBoth() {
    Fleet fleet(2, {3, true});
    LoseLinks(fleet);
    SetServers(fleet, "ok", milliseconds(20000));
    // The requests above may have used up the burst of log lines for requests without a fault.
    std::this_thread::sleep_for(kLogLineInterval);
    RawCaller caller(fleet.Entry(0).edge);
    caller.Send(Post("left"));
    CPPUNIT_ASSERT(WaitUntil([&] { return fleet.RunCount("left") == 1; }));
    caller.Close();
    CPPUNIT_ASSERT(WaitUntil([&] { return fleet.Metric(0, "cowsliphill_open_requests") == 0; },
                             kMaxTimeToCancel));
    // The tunnel's end is the only sign of the request at the other entry VM.
    CPPUNIT_ASSERT(WaitUntil([&] {
      const std::string log = fleet.Entry(1).process->Output();
      const size_t event = log.find("\"tunnel ended\",\"request\":\"left\"");
      return event != std::string::npos;
    }));
  }

  void Sigterm_OfTheEntryVmInBetween_WhatIsUnderWayIsAnswered() {
    Fleet fleet(3, {3, true});
    LoseLinks(fleet);
    SetServers(fleet, "ok", kLongWork);
    std::vector<std::unique_ptr<RawCaller>> callers = StartAll(fleet);
    fleet.Entry(1).process->Signal(SIGTERM);
    for (size_t i = 0; i < kCallers; ++i) {
      const std::vector<RawAnswer> answers = callers[i]->ReadAnswers(1);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, answers.size());
      CPPUNIT_ASSERT_EQUAL(200, answers[0].head.status);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.RunCount(IdOf(i)));
    }
    CPPUNIT_ASSERT_EQUAL(0, fleet.Entry(1).process->Wait(milliseconds(5000)));
    CPPUNIT_ASSERT_EQUAL(200, fleet.SendForStatus(0, "/a/x", "afterwards"));
  }

  void Kill_OfTheEntryVmInBetween_AnswersNeverLookWhole() {
    Fleet fleet(2, {3, true});
    LoseLinks(fleet);
    SetServers(fleet, "stream", kLongWork);
    std::vector<std::unique_ptr<RawCaller>> callers = StartAll(fleet);
    std::this_thread::sleep_for(kLongWork / 2);
    fleet.Entry(1).process->Signal(SIGKILL);
    for (size_t i = 0; i < kCallers; ++i) {
      for (const RawAnswer& it : callers[i]->ReadAnswers(1)) {
        CPPUNIT_ASSERT_EQUAL(IdOf(i), it.Id());
        // It has begun to run.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(it.head.status),
                               it.head.status == 502 || it.head.status == 504);
      }
      CPPUNIT_ASSERT_EQUAL(size_t{1}, fleet.RunCount(IdOf(i)));
    }
  }

 private:
  static std::string BodyOf(size_t bytes) {
    std::string body(bytes, ' ');
    for (size_t i = 0; i < bytes; ++i) body[i] = static_cast<char>('a' + (i * 7 + i / 1000) % 26);
    return body;
  }
  static std::string IdOf(size_t caller) { return fmt::format("caller-{}", caller); }
  static std::string Head(const std::string& id, const std::string& framing) {
    return fmt::format(
        "POST /u/x HTTP/1.1\r\nHost: fleet.example\r\nX-Request-Id: {}\r\nX-Deadline-Ms: "
        "{}\r\n{}\r\n\r\n",
        id, kDeadline.count(), framing);
  }
  static std::string WithLength(size_t bytes) {
    return Head("upload", fmt::format("Content-Length: {}", bytes)) + BodyOf(bytes);
  }
  static std::string Post(const std::string& id) { return Head(id, "Content-Length: 4") + "body"; }
  static std::string Get(const std::string& id) {
    return fmt::format(
        "GET /a/x HTTP/1.1\r\nHost: fleet.example\r\nX-Request-Id: {}\r\nX-Deadline-Ms: "
        "{}\r\n\r\n",
        id, kDeadline.count());
  }
  // The first entry VM loses its links. Returns once it knows.
  static void LoseLinks(Fleet& fleet) {
    fleet.SetLinks(0, "silent");
    size_t n = 0;
    CPPUNIT_ASSERT(WaitUntil([&] {
      fleet.SendForStatus(0, "/a/x", fmt::format("before-{}", ++n));
      return fleet.Metric(0, "cowsliphill_links_lost") > 0;
    }));
  }
  static void SetServers(Fleet& fleet, const std::string& mode, milliseconds work) {
    for (size_t i = 0; i < 3; ++i) {
      fleet.Control("PUT", fmt::format("/control/server?name=s-{}&mode={}&work_ms={}", i, mode,
                                       work.count()));
    }
  }
  // Sends one request each that may run only once to the first entry VM. Returns once all run.
  static std::vector<std::unique_ptr<RawCaller>> StartAll(Fleet& fleet) {
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (size_t i = 0; i < kCallers; ++i) {
      callers.push_back(std::make_unique<RawCaller>(fleet.Entry(0).edge));
      callers.back()->Send(Post(IdOf(i)));
    }
    for (size_t i = 0; i < kCallers; ++i) {
      CPPUNIT_ASSERT(WaitUntil([&] { return fleet.RunCount(IdOf(i)) == 1; }));
    }
    return callers;
  }
  static void AssertArrivesUnchanged(const std::string& request) {
    CutUploadServer server(Mode::kRead);
    Fleet fleet(2, {0, true});
    server.Register(fleet);
    RawCaller caller(fleet.Entry(0).edge);
    caller.Send(request);
    const std::vector<RawAnswer> answers = caller.ReadAnswers(1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, answers.size());
    CPPUNIT_ASSERT_EQUAL(200, answers[0].head.status);
    CPPUNIT_ASSERT(server.Server().BodyOf("upload") == BodyOf(kLargeBody));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, server.Server().Begun());
    CPPUNIT_ASSERT(fleet.Metric(0, "cowsliphill_tunnels_opened") > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TunnelRequestsTest);

}  // namespace
}  // namespace cowsliphill
