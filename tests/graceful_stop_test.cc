// Requests that an entry VM receives during a graceful stop. Each must get a whole answer or a
// refusal that says that it did not run, whatever time it is allowed to take. Unless a test says
// otherwise, the server stops work at the time limit that it gets.

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "tests/fleet_harness.h"
#include "tests/raw_caller.h"
#include "tests/scripted_server.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStopTimeout{6000};
constexpr milliseconds kCallerLimit{8000};       // Of each request.
constexpr milliseconds kMaxManifestDelay{2000};  // Until a manifest is in force.
constexpr const char* kServer = "timely";

// Works for as long as the request's path says, but not beyond the time limit that it got.
std::vector<ScriptedStep> WorkUntilTheLimit(const ScriptedRequest& request) {
  if (request.path == "/health") return {};
  const milliseconds work(std::stol(request.path.substr(request.path.rfind('/') + 1)));
  const milliseconds limit(std::stol(request.Header("X-Deadline-Ms")));
  if (work <= limit) return {{ScriptedAnswer(request.id), work}};
  return {{"HTTP/1.1 504 Too Late\r\nX-Request-Id: " + request.id +
               "\r\nX-Response-Signature: signed." + request.id + "\r\nContent-Length: 0\r\n\r\n",
           limit}};
}

// Works for as long as the request's path says, whatever the time limit that it got.
std::vector<ScriptedStep> WorkRegardless(const ScriptedRequest& request) {
  if (request.path == "/health") return {};
  const milliseconds work(std::stol(request.path.substr(request.path.rfind('/') + 1)));
  return {{ScriptedAnswer(request.id), work}};
}

std::string Filing(const std::string& id, milliseconds work, const std::string& body = "body",
                   milliseconds limit = kCallerLimit) {
  return fmt::format(
      "POST /u/{} HTTP/1.1\r\nHost: fleet.example\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\n"
      "Content-Length: {}\r\n\r\n{}",
      work.count(), id, limit.count(), body.size(), body);
}

std::string Lookup(const std::string& id, milliseconds work) {
  return fmt::format(
      "GET /a/{} HTTP/1.1\r\nHost: fleet.example\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\n\r\n",
      work.count(), id, kCallerLimit.count());
}

class GracefulStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GracefulStopTest);
  CPPUNIT_TEST(Requests_SentAllAlongTheStop_AreAnsweredOrRefusedAsNotRun);
  CPPUNIT_TEST(Requests_WithMoreTimeThanTheStop_AreAnsweredOrRefusedAsNotRun);
  CPPUNIT_TEST(KeptConnection_RequestsSentAllAlongTheStop_AreAnsweredOrRefusedAsNotRun);
  CPPUNIT_TEST(Pipeline_SecondRequestStartsLateInTheStop_IsAnsweredOrRefusedAsNotRun);
  CPPUNIT_TEST(Upload_BodyArrivesLateInTheStop_IsAnsweredOrRefusedAsNotRun);
  CPPUNIT_TEST(Request_FitsIntoTheRestOfTheStop_IsAnswered);
  CPPUNIT_TEST(LateRequests_LimitsReachBeyondTheStop_AreRefusedAsNotRun);
  CPPUNIT_TEST(Refusal_OfALateRequest_ComesAtOnceAndNamesATimeToComeBack);
  CPPUNIT_TEST(EntryVms_TwoOfThreeStopAtOnce_RefusedCallersAreServedByTheThird);
  CPPUNIT_TEST_SUITE_END();

 public:
  // CppUnit destroys fixtures only after the last test.
  void tearDown() override {
    fleet_.reset();
    server_.reset();
  }

  // Regression: requests that came late in a long stop were sent to servers although they could
  // take longer than the rest of the stop, and were cut off without an answer at its end.
  void Requests_SentAllAlongTheStop_AreAnsweredOrRefusedAsNotRun() {
    SendAllAlongTheStop(milliseconds(4000), {milliseconds(300), milliseconds(2700),
                                             milliseconds(3300), milliseconds(3900)});
  }
  void Requests_WithMoreTimeThanTheStop_AreAnsweredOrRefusedAsNotRun() {
    SendAllAlongTheStop(milliseconds(8000),
                        {milliseconds(300), milliseconds(5000), milliseconds(7500)});
  }

  void KeptConnection_RequestsSentAllAlongTheStop_AreAnsweredOrRefusedAsNotRun() {
    Start(2, milliseconds(4000));
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (size_t i = 0; i < 14; ++i) {
      callers.push_back(std::make_unique<RawCaller>(fleet_->Entry(1).edge));
      callers.back()->Send(Lookup("first-" + std::to_string(i), milliseconds(1)));
      CPPUNIT_ASSERT_EQUAL(size_t{1}, callers.back()->ReadAnswers(1).size());
    }
    Stop(1);
    std::vector<std::thread> threads;
    for (size_t i = 0; i < callers.size(); ++i) {
      threads.emplace_back([&, i] {
        std::this_thread::sleep_for(i * milliseconds(200));
        callers[i]->Send(Filing("kept-" + std::to_string(i), milliseconds(3900)));
        Record("kept-" + std::to_string(i), callers[i]->ReadAnswers(1, kCallerLimit));
      });
    }
    for (std::thread& it : threads) it.join();
    ExpectAnsweredOrRefused();
    CPPUNIT_ASSERT_EQUAL(callers.size(), outcomes_.size());
  }

  void Pipeline_SecondRequestStartsLateInTheStop_IsAnsweredOrRefusedAsNotRun() {
    Start(2, milliseconds(4000));
    RawCaller caller(fleet_->Entry(1).edge);
    caller.Send(Filing("first", milliseconds(3000)) + Filing("second", milliseconds(3900)));
    std::this_thread::sleep_for(milliseconds(300));
    Stop(1);
    const std::vector<RawAnswer> answers = caller.ReadAnswers(2, kCallerLimit);
    CPPUNIT_ASSERT(!answers.empty());
    CPPUNIT_ASSERT_EQUAL(200, answers[0].head.status);
    // A request that is behind an answer which closes the connection is not read.
    if (answers.size() == 1) {
      CPPUNIT_ASSERT(answers[0].Closes());
      CPPUNIT_ASSERT_EQUAL(size_t{0}, server_->Count("second"));
      return;
    }
    Record("second", {answers[1]});
    ExpectAnsweredOrRefused();
  }

  void Upload_BodyArrivesLateInTheStop_IsAnsweredOrRefusedAsNotRun() {
    Start(2, milliseconds(6500));
    std::vector<std::thread> threads;
    for (size_t i = 0; i < 8; ++i) {
      threads.emplace_back([this, i] {
        const std::string id = "upload-" + std::to_string(i);
        RawCaller caller(fleet_->Entry(1).edge);
        const std::string bytes = Filing(id, milliseconds(2500));
        caller.Send(bytes.substr(0, bytes.size() - 2));
        std::this_thread::sleep_for(milliseconds(300) + i * milliseconds(500));
        caller.Send(bytes.substr(bytes.size() - 2));
        Record(id, caller.ReadAnswers(1, kCallerLimit));
      });
    }
    std::this_thread::sleep_for(milliseconds(300));
    Stop(1);
    for (std::thread& it : threads) it.join();
    ExpectAnsweredOrRefused();
    CPPUNIT_ASSERT_EQUAL(size_t{8}, outcomes_.size());
  }

  void Request_FitsIntoTheRestOfTheStop_IsAnswered() {
    Start(2, milliseconds(2500));
    Stop(1);
    std::this_thread::sleep_for(kStopTimeout / 2 - milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(200, SendOne(1, "late", milliseconds(2400)).status);
  }

  // Regression: of the requests sent later than 3 s after the signal, those that could lose up to a
  // quarter of their time were sent, and cut off by the end of the stop.
  void LateRequests_LimitsReachBeyondTheStop_AreRefusedAsNotRun() {
    const milliseconds stop_timeout(8000);
    Start(2, milliseconds(8000), stop_timeout, WorkRegardless);
    Stop(1);
    // Before 3 s: its limit reaches beyond the stop, but it ends in time.
    std::vector<std::thread> threads;
    threads.emplace_back([this] {
      std::this_thread::sleep_for(milliseconds(2500));
      SendOne(1, "early", milliseconds(1500), milliseconds(6000));
    });
    // After it: those whose limit fits are served, also if they need all of their time.
    for (milliseconds at(3100); at < milliseconds(3900); at += milliseconds(100)) {
      threads.emplace_back([this, at] {
        std::this_thread::sleep_for(at);
        SendOne(1, fmt::format("fits-{}", at.count()), milliseconds(3500), milliseconds(3700));
      });
      threads.emplace_back([this, at] {
        std::this_thread::sleep_for(at);
        SendOne(1, fmt::format("late-{}", at.count()), milliseconds(4850), milliseconds(5000));
      });
    }
    for (std::thread& it : threads) it.join();
    ExpectAnsweredOrRefused();
    CPPUNIT_ASSERT_EQUAL(threads.size(), outcomes_.size());
    for (const Outcome& it : outcomes_) {
      const bool late = it.id.rfind("late", 0) == 0;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.id, late ? 503 : 200, it.status);
    }
  }

  void Refusal_OfALateRequest_ComesAtOnceAndNamesATimeToComeBack() {
    Start(2, milliseconds(8000));
    Stop(1);
    std::this_thread::sleep_for(kStopTimeout / 2 - milliseconds(300));
    const Outcome outcome = SendOne(1, "late", milliseconds(7900));
    CPPUNIT_ASSERT_EQUAL(503, outcome.status);
    CPPUNIT_ASSERT(outcome.has_retry_after);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, server_->Count("late"));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(outcome.took.count()) + " ms",
                           outcome.took <= milliseconds(200));
  }

  void EntryVms_TwoOfThreeStopAtOnce_RefusedCallersAreServedByTheThird() {
    Start(3, milliseconds(8000));
    Stop(1);
    Stop(2);
    std::this_thread::sleep_for(kStopTimeout / 2 - milliseconds(300));
    for (size_t i = 1; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(503, SendOne(i, "moved-" + std::to_string(i), milliseconds(50)).status);
    }
    for (size_t i = 1; i < 3; ++i) {
      const std::string id = "moved-" + std::to_string(i);
      CPPUNIT_ASSERT_EQUAL(200, SendOne(0, id, milliseconds(50)).status);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, server_->Count(id));
    }
  }

 private:
  struct Outcome {
    std::string id;
    int status = 0;  // 0: no whole answer.
    bool from_server = false;
    bool has_retry_after = false;
    milliseconds took{0};
  };

  void Start(
      size_t entries, milliseconds route_timeout, milliseconds stop_timeout = kStopTimeout,
      std::function<std::vector<ScriptedStep>(const ScriptedRequest&)> script = WorkUntilTheLimit) {
    FleetOptions options;
    options.servers = 0;
    options.stop_timeout = stop_timeout;
    fleet_ = std::make_unique<Fleet>(entries, options);
    server_ = std::make_unique<ScriptedServer>(kServer, std::move(script));
    fleet_->AddServer(kServer, server_->Address(), 400);
    fleet_->PutManifest(2, "/a/", 0, route_timeout);
    std::this_thread::sleep_for(kMaxManifestDelay);
  }
  void Stop(size_t entry) { fleet_->Entry(entry).process->Signal(SIGTERM); }

  void SendAllAlongTheStop(milliseconds route_timeout, const std::vector<milliseconds>& works) {
    Start(2, route_timeout);
    Stop(1);
    std::vector<std::thread> threads;
    for (const milliseconds work : works) {
      for (milliseconds at(50); at < kStopTimeout / 2; at += milliseconds(150)) {
        threads.emplace_back([this, work, at] {
          std::this_thread::sleep_for(at);
          SendOne(1, fmt::format("r{}-{}", work.count(), at.count()), work);
        });
      }
    }
    for (std::thread& it : threads) it.join();
    ExpectAnsweredOrRefused();
    CPPUNIT_ASSERT_EQUAL(threads.size(), outcomes_.size());
  }

  Outcome SendOne(size_t entry, const std::string& id, milliseconds work,
                  milliseconds limit = kCallerLimit) {
    const auto sent = std::chrono::steady_clock::now();
    RawCaller caller(fleet_->Entry(entry).edge);
    caller.Send(Filing(id, work, "body", limit));
    Outcome outcome = Record(id, caller.ReadAnswers(1, kCallerLimit));
    outcome.took =
        std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - sent);
    return outcome;
  }
  Outcome Record(const std::string& id, const std::vector<RawAnswer>& answers) {
    Outcome outcome;
    outcome.id = id;
    if (!answers.empty()) {
      outcome.status = answers[0].head.status;
      outcome.from_server = answers[0].head.Count("X-Response-Signature") > 0;
      outcome.has_retry_after = answers[0].head.Count("Retry-After") > 0;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    outcomes_.push_back(outcome);
    return outcome;
  }
  void ExpectAnsweredOrRefused() const {
    for (const Outcome& it : outcomes_) {
      const size_t runs = server_->Count(it.id);
      const std::string text = fmt::format("{}: status {}, {} runs", it.id, it.status, runs);
      CPPUNIT_ASSERT_MESSAGE(text, it.from_server || it.status == 503);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, it.from_server ? size_t{1} : size_t{0}, runs);
      if (!it.from_server) CPPUNIT_ASSERT_MESSAGE(text, it.has_retry_after);
    }
  }

  std::unique_ptr<ScriptedServer> server_;
  std::unique_ptr<Fleet> fleet_;
  std::mutex mutex_;  // Guards outcomes_.
  std::vector<Outcome> outcomes_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GracefulStopTest);

}  // namespace
}  // namespace cowsliphill
