// Replays overload against one cell on virtual time: hosts turn slow for a while, nearly full
// servers are slower, and more requests arrive than the fast hosts can answer in time.

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "src/balance/balancer.h"
#include "tests/listed_servers.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class OverloadReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadReplayTest);
  CPPUNIT_TEST(Requests_BeyondTheFastHosts_AreMostlyAnsweredInTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Regression: late requests took the slots of slow and nearly full servers if they were expected
  // to end just before their deadline. The slots stayed taken when the hosts turned fast again, so
  // that the requests after them were late too.
  void Requests_BeyondTheFastHosts_AreMostlyAnsweredInTime() {
    Replay();
    const std::string result = std::to_string(assigned_) + " assigned, " +
                               std::to_string(on_time_) + " on time, " + std::to_string(late_) +
                               " late, " + std::to_string(cut_) + " cut";
    CPPUNIT_ASSERT_MESSAGE(result, assigned_ > 5000);
    CPPUNIT_ASSERT_MESSAGE(result, 2 * on_time_ > assigned_);
    CPPUNIT_ASSERT_MESSAGE(result, 50 * cut_ < assigned_);
  }

 private:
  static constexpr size_t kServers = 20;
  static constexpr uint32_t kSlots = 6;
  static constexpr milliseconds kServiceTime{90};
  static constexpr milliseconds kTarget{250};
  static constexpr milliseconds kDeadline{800};
  static constexpr milliseconds kHostInterval{300};
  static constexpr double kSlowShare = 0.25;
  static constexpr double kSlowdown = 4.0;
  // A nearly full server takes this many times as long.
  static constexpr double kNearCapacityFactor = 1.7;
  static constexpr uint32_t kNearCapacity = 5;
  // Of what the fast hosts of the cell can answer.
  static constexpr double kLoad = 1.2;

  struct Run {
    MonotonicTime end;
    AssignmentId id = 0;
    MonotonicTime arrival;
    bool cut = false;
    bool operator>(const Run& other) const { return end > other.end; }
  };

  BackendServerId IdOf(size_t i) const { return BackendServerId("s" + std::to_string(i)); }

  // Each host steps at an offset of its own.
  MonotonicTime NextStepOf(size_t i, size_t step) const {
    return start_ + kHostInterval * step + kHostInterval * i / kServers;
  }
  void Step(size_t i) {
    slowdowns_[IdOf(i)] =
        std::uniform_real_distribution<double>()(random_) < kSlowShare ? kSlowdown : 1.0;
    Report report;
    report.slowdown = slowdowns_[IdOf(i)];
    balancer_.OnReport(IdOf(i), report, now_);
  }

  void Start(const Assigned& assigned) {
    const auto& [arrival, deadline] = requests_.at(assigned.id);
    ++assigned_;
    std::lognormal_distribution<double> spread(-0.045, 0.3);
    const MonotonicTime end =
        now_ + Times(kServiceTime,
                     spread(random_) * slowdowns_.at(assigned.server) *
                         (assigned.in_flight + 1 >= kNearCapacity ? kNearCapacityFactor : 1));
    runs_.push({std::min(end, deadline), assigned.id, arrival, end > deadline});
  }

  void End(const Run& run) {
    const Duration latency = now_ - run.arrival;
    run.cut ? ++cut_ : latency <= kTarget ? ++on_time_ : ++late_;
    AttemptResult result;
    result.end = run.cut ? AttemptEnd::kTimedOut : AttemptEnd::kAnswered;
    result.latency = latency;
    balancer_.OnAttemptEnded(run.id, result, now_);
  }

  void TakeDecisions() {
    for (const QueueDecision& decision : balancer_.TakeQueueDecisions(now_)) {
      if (const auto* assigned = std::get_if<Assigned>(&decision)) Start(*assigned);
    }
  }

  void Arrive() {
    AssignmentRequest request;
    request.id = ++next_id_;
    request.cell = {ServiceId("service"), FailureDomainId("here")};
    request.home = FailureDomainId("here");
    request.target = now_ + kTarget;
    request.deadline = now_ + kDeadline;
    request.kind.target_latency = kTarget;
    requests_[request.id] = {now_, request.deadline};
    const Assignment assignment = balancer_.Assign(request, now_);
    if (const auto* assigned = std::get_if<Assigned>(&assignment)) Start(*assigned);
  }

  void Replay() {
    std::vector<BackendServer> servers;
    for (size_t i = 0; i < kServers; ++i) {
      BackendServer server;
      server.id = IdOf(i);
      server.service = ServiceId("service");
      server.failure_domain = FailureDomainId("here");
      server.slots = kSlots;
      servers.push_back(server);
    }
    ListedServers().Apply(servers, balancer_, now_);
    const double per_second = kLoad * kServers * kSlots * (1 - kSlowShare) /
                              std::chrono::duration<double>(kServiceTime).count();
    std::exponential_distribution<double> gap(per_second);
    start_ = now_;
    for (size_t i = 0; i < kServers; ++i) Step(i);
    size_t steps = kServers;
    const MonotonicTime end = now_ + seconds(20);
    MonotonicTime next_arrival = now_;
    MonotonicTime next_poll = now_;
    while (now_ < end) {
      const MonotonicTime next_step = NextStepOf(steps % kServers, steps / kServers);
      now_ = std::min({next_arrival, next_step, next_poll, runs_.empty() ? end : runs_.top().end});
      if (now_ == next_step) Step(steps++ % kServers);
      while (!runs_.empty() && runs_.top().end <= now_) {
        const Run run = runs_.top();
        runs_.pop();
        End(run);
      }
      if (now_ == next_arrival) {
        next_arrival +=
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random_)));
        Arrive();
      }
      if (now_ == next_poll) next_poll += Balancer::kQueuePollInterval;
      TakeDecisions();
    }
  }

  std::mt19937_64 random_{1};
  Balancer balancer_{1};
  MonotonicTime now_{seconds(100)};
  MonotonicTime start_;
  AssignmentId next_id_ = 0;
  std::map<BackendServerId, double> slowdowns_;
  std::map<AssignmentId, std::pair<MonotonicTime, MonotonicTime>> requests_;
  std::priority_queue<Run, std::vector<Run>, std::greater<>> runs_;
  size_t assigned_ = 0;
  size_t on_time_ = 0;
  size_t late_ = 0;
  size_t cut_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadReplayTest);

}  // namespace
}  // namespace cowsliphill
