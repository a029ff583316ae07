// Backend servers that answer a long upload at once with a response that has no length, while the
// upload is still being written. One that resets the connection has not sent a whole response; one
// that ends it in an orderly way has.

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "tests/broken_server.h"
#include "tests/cut_link.h"
#include "tests/fleet_harness.h"
#include "tests/raw_caller.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

constexpr size_t kUploadBytes = 20000000;   // More than the sockets on the way hold.
constexpr size_t kBufferedBytes = 1000;     // A response of this size is buffered whole.
constexpr size_t kStreamedBytes = 1500000;  // One of this size is streamed.
constexpr milliseconds kUploadTime{500};    // Until the server has ended the connection.
// From the upload's head to the answer. By then the entry VM waits to write more of the upload.
constexpr milliseconds kDelay{100};
constexpr milliseconds kMaxListDelay{2000};  // Until a server and a manifest are in use.
constexpr int kRounds = 5;
constexpr const char* kServer = "early";

class CutUploadAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CutUploadAnswerTest);
  CPPUNIT_TEST(BufferedAnswer_ResetWhileTheUploadIsWritten_IsNotComplete);
  CPPUNIT_TEST(StreamedAnswer_ResetWhileTheUploadIsWritten_IsNotComplete);
  CPPUNIT_TEST(BufferedAnswer_ResetThroughATunnel_IsNotComplete);
  CPPUNIT_TEST(StreamedAnswer_ResetThroughATunnel_IsNotComplete);
  CPPUNIT_TEST(Answer_EndedInOrderWhileTheUploadIsWritten_ArrivesWhole);
  CPPUNIT_TEST(Answer_EndedInOrderThroughATunnel_ArrivesWhole);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override {
    fleet_.reset();
    link_.reset();
    server_.reset();
  }

  // Regression: the caller got the part as a complete response with status 200.
  void BufferedAnswer_ResetWhileTheUploadIsWritten_IsNotComplete() {
    Start(kBufferedBytes, AnswerEnd::kReset, false);
    ExpectBadGateway();
  }
  void StreamedAnswer_ResetWhileTheUploadIsWritten_IsNotComplete() {
    Start(kStreamedBytes, AnswerEnd::kReset, false);
    ExpectCutOff();
  }
  void BufferedAnswer_ResetThroughATunnel_IsNotComplete() {
    Start(kBufferedBytes, AnswerEnd::kReset, true);
    ExpectBadGateway();
  }
  void StreamedAnswer_ResetThroughATunnel_IsNotComplete() {
    Start(kStreamedBytes, AnswerEnd::kReset, true);
    ExpectCutOff();
  }
  void Answer_EndedInOrderWhileTheUploadIsWritten_ArrivesWhole() { ExpectWhole(false); }
  void Answer_EndedInOrderThroughATunnel_ArrivesWhole() { ExpectWhole(true); }

 private:
  static std::string HealthAnswer() {
    return AnswerParts(fmt::format("X-Instance-Id: {}\r\nX-Server-Load: 0,0,400,100\r\n", kServer),
                       "")
        .WithLine("");
  }
  // The first entry VM reaches the server directly, or only through the second one.
  void Start(size_t bytes, AnswerEnd end, bool through_tunnel) {
    tearDown();
    server_ =
        std::make_unique<BrokenServer>([this, bytes, end](const std::string& id) -> WireAnswer {
          if (id.empty()) return {"status check", HealthAnswer()};
          ++uploads_;
          const std::string fields = "X-Request-Id: " + id + "\r\nX-Response-Signature: signed\r\n";
          return {"early", AnswerParts(fields, std::string(bytes, 'x')).Framed(""), end, kDelay};
        });
    if (through_tunnel) link_ = std::make_unique<CutLink>(server_->Address());
    fleet_ = std::make_unique<Fleet>(through_tunnel ? 2 : 1, FleetOptions{0, through_tunnel});
    fleet_->AllowBodies(2 * kUploadBytes);
    fleet_->AddServer(kServer, through_tunnel ? link_->Address() : server_->Address(), 400);
    std::this_thread::sleep_for(kMaxListDelay);
  }

  // Sends an upload on a new connection, and again until the server has answered one.
  std::unique_ptr<RawCaller> Upload() {
    const size_t before = uploads_;
    std::unique_ptr<RawCaller> caller;
    CPPUNIT_ASSERT(WaitUntil([&] {
      caller = std::make_unique<RawCaller>(fleet_->Entry(0).edge);
      caller->Send(fmt::format("POST /u/x HTTP/1.1\r\nHost: fleet.example\r\nX-Request-Id: up-{}"
                               "\r\nX-Deadline-Ms: 2400\r\nContent-Length: {}\r\n\r\n",
                               ++sent_, kUploadBytes) +
                       std::string(kUploadBytes, 'u'),
                   kUploadTime);
      return uploads_ > before;
    }));
    return caller;
  }
  void ExpectBadGateway() {
    for (int n = 0; n < kRounds; ++n) {
      const std::vector<RawAnswer> answers = Upload()->ReadAnswers(1);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, answers.size());
      CPPUNIT_ASSERT_EQUAL(502, answers[0].head.status);
    }
  }
  void ExpectCutOff() {
    for (int n = 0; n < kRounds; ++n) {
      const std::unique_ptr<RawCaller> caller = Upload();
      CPPUNIT_ASSERT_EQUAL(size_t{0}, caller->ReadAnswers(1).size());
      CPPUNIT_ASSERT(caller->AwaitClose(milliseconds(1000)));
    }
  }
  void ExpectWhole(bool through_tunnel) {
    for (const size_t bytes : {kBufferedBytes, kStreamedBytes}) {
      for (const AnswerEnd end : {AnswerEnd::kFinish, AnswerEnd::kFinishThenReset}) {
        Start(bytes, end, through_tunnel);
        for (int n = 0; n < kRounds; ++n) {
          const std::vector<RawAnswer> answers = Upload()->ReadAnswers(1);
          CPPUNIT_ASSERT_EQUAL(size_t{1}, answers.size());
          CPPUNIT_ASSERT_EQUAL(200, answers[0].head.status);
          CPPUNIT_ASSERT_EQUAL(bytes, answers[0].body.size());
        }
      }
    }
  }

  std::unique_ptr<BrokenServer> server_;
  std::unique_ptr<CutLink> link_;
  std::unique_ptr<Fleet> fleet_;
  int sent_ = 0;
  std::atomic<size_t> uploads_{0};  // That the server has answered.
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutUploadAnswerTest);

}  // namespace
}  // namespace cowsliphill
