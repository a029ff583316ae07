// Checks the limits that servers name: statements in any order, and the token bucket behind them.

#include "src/balance/server_limit.h"

#include <cppunit/extensions/HelperMacros.h>

#include "src/balance/balancer.h"
#include "tests/listed_servers.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

const CellId kCell{ServiceId("service"), FailureDomainId()};

class NamedLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NamedLimitTest);
  CPPUNIT_TEST(Bucket_OfALimit_AllowsItsRate);
  CPPUNIT_TEST(Bucket_LongUnused_AllowsASmallBurst);
  CPPUNIT_TEST(Answer_AssignedBeforeTheLimit_DoesNotWithdrawIt);
  CPPUNIT_TEST(Statement_OlderThanTheNewest_IsIgnored);
  CPPUNIT_TEST(Assign_AllServersLimited_AssignsTheSumOfTheLimits);
  CPPUNIT_TEST(Assign_NoTokenBeforeTheDeadline_IsDeclinedAtOnce);
  CPPUNIT_TEST(Assign_LimitsSharedOutElsewhere_UsesOnlyOtherServers);
  CPPUNIT_TEST(Apply_RestartedServer_HasNoLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    now_ = MonotonicTime(std::chrono::hours(1));
    next_id_ = 1;
    limit_ = ServerLimit();
    balancer_ = std::make_unique<Balancer>(1);
    servers_.clear();
    listed_ = ListedServers();
    for (const char* name : {"s0", "s1"}) {
      BackendServer server;
      server.id = BackendServerId(name);
      server.service = kCell.service;
      server.slots = 3;
      servers_.push_back(server);
    }
    listed_.Apply(servers_, *balancer_, now_);
    for (const BackendServer& server : servers_) SendReport(server.id, std::nullopt);
  }

  void Bucket_OfALimit_AllowsItsRate() {
    limit_.OnStatement(1.3, now_);
    CPPUNIT_ASSERT_EQUAL(0, TakeFor(milliseconds(700)));
    CPPUNIT_ASSERT_EQUAL(13, TakeFor(milliseconds(10000)));
    limit_.OnStatement(100, now_);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1000, TakeFor(milliseconds(10000)), 1);
  }

  void Bucket_LongUnused_AllowsASmallBurst() {
    limit_.OnStatement(1, now_);
    now_ += std::chrono::hours(1);
    CPPUNIT_ASSERT_EQUAL(2, TakeFor(milliseconds(5)));
  }

  void Answer_AssignedBeforeTheLimit_DoesNotWithdrawIt() {
    const MonotonicTime before = now_ - milliseconds(50);
    limit_.OnAnswer(4, before, now_);
    limit_.OnAnswer(std::nullopt, before, now_ + milliseconds(1));
    CPPUNIT_ASSERT(limit_.Limit().has_value());
    limit_.OnAnswer(std::nullopt, now_ + milliseconds(2), now_ + milliseconds(9));
    CPPUNIT_ASSERT(!limit_.Limit());
  }

  void Statement_OlderThanTheNewest_IsIgnored() {
    limit_.OnStatement(4, now_);
    limit_.OnStatement(9, now_ - milliseconds(1));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(4, limit_.Limit().value_or(0), 0);
    limit_.OnStatement(std::nullopt, now_ + milliseconds(1));
    limit_.OnStatement(4, now_);
    CPPUNIT_ASSERT(!limit_.Limit());
  }

  void Assign_AllServersLimited_AssignsTheSumOfTheLimits() {
    for (const BackendServer& server : servers_) SendReport(server.id, 5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, CountAssigned(milliseconds(10000)), 3);
    CPPUNIT_ASSERT(balancer_->DeclinedByLimits() > 100);
  }

  void Assign_NoTokenBeforeTheDeadline_IsDeclinedAtOnce() {
    for (const BackendServer& server : servers_) SendReport(server.id, 0.1);
    const Assignment assignment = balancer_->Assign(Request(), now_);
    CPPUNIT_ASSERT(std::holds_alternative<Declined>(assignment));
    CPPUNIT_ASSERT(std::get<Declined>(assignment).cause == RefusalCause::kServerLimit);
  }

  void Assign_LimitsSharedOutElsewhere_UsesOnlyOtherServers() {
    balancer_->SetSharesLimits(kCell, false, now_);
    SendReport(BackendServerId("s0"), 1000);
    now_ += milliseconds(1000);
    SendReport(BackendServerId("s1"), std::nullopt);
    for (int i = 0; i < 3; ++i) {
      const Assignment assignment = balancer_->Assign(Request(), now_);
      CPPUNIT_ASSERT(std::holds_alternative<Assigned>(assignment));
      CPPUNIT_ASSERT_EQUAL(std::string("s1"), std::get<Assigned>(assignment).server.Text());
    }
    // Taking over the sharing starts with an empty bucket.
    balancer_->SetSharesLimits(kCell, true, now_);
    CPPUNIT_ASSERT(!std::holds_alternative<Assigned>(balancer_->Assign(Request(), now_)));
  }

  void Apply_RestartedServer_HasNoLimit() {
    SendReport(BackendServerId("s0"), 1);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, balancer_->LimitsOf(kCell, now_).size());
    ++servers_[0].started;
    listed_.Apply(servers_, *balancer_, now_);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, balancer_->LimitedServers());
  }

 private:
  void SendReport(const BackendServerId& server, std::optional<double> limit) {
    Report report;
    report.in_flight = 0;
    report.slowdown = 1.0;
    report.limit = limit;
    balancer_->OnReport(server, report, now_);
  }
  AssignmentRequest Request() {
    AssignmentRequest request;
    request.id = next_id_++;
    request.cell = kCell;
    request.deadline = now_ + milliseconds(2000);
    request.target = now_ + milliseconds(400);
    request.kind.target_latency = milliseconds(400);
    return request;
  }
  // Number of tokens that can be taken within `time`, one a millisecond at the most.
  int TakeFor(milliseconds time) {
    int n = 0;
    for (const MonotonicTime end = now_ + time; now_ < end; now_ += milliseconds(1)) {
      if (!limit_.Allows(now_)) continue;
      limit_.OnAssigned(now_);
      ++n;
    }
    return n;
  }
  // Assigns a request every 20 ms, each of which takes no time, and counts those assigned.
  int CountAssigned(milliseconds time) {
    int n = 0;
    const auto end = [&](const Assigned& it) {
      ++n;
      balancer_->OnAttemptEnded(it.id, {AttemptEnd::kAnswered, milliseconds(1), {}, 5}, now_);
    };
    for (const MonotonicTime until = now_ + time; now_ < until; now_ += milliseconds(20)) {
      const Assignment assignment = balancer_->Assign(Request(), now_);
      if (const auto* it = std::get_if<Assigned>(&assignment)) end(*it);
      for (const QueueDecision& decision : balancer_->TakeQueueDecisions(now_)) {
        if (const auto* it = std::get_if<Assigned>(&decision)) end(*it);
      }
    }
    return n;
  }

  MonotonicTime now_;
  AssignmentId next_id_ = 1;
  ServerLimit limit_;
  std::unique_ptr<Balancer> balancer_;
  ListedServers listed_;
  std::vector<BackendServer> servers_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(NamedLimitTest);

}  // namespace
}  // namespace cowsliphill
