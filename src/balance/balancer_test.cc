// Each test replays one load pattern in small: hosts that turn slow, reports that are old, bursts,
// servers that fail.

#include "src/balance/balancer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

class BalancerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BalancerTest);
  CPPUNIT_TEST(Choose_WithSlowHosts_TakesAFastOne);
  CPPUNIT_TEST(Choose_WithServersInFlight_TakesAnEmptyOne);
  CPPUNIT_TEST(Choose_AfterNoticesOfOthers_AvoidsTheirServers);
  CPPUNIT_TEST(Choose_ManyAtOnce_SpreadsOverTheServers);
  CPPUNIT_TEST(Choose_AllFastServersFull_WaitsForASlot);
  CPPUNIT_TEST(Choose_WaitingMoreUrgent_GoesFirst);
  CPPUNIT_TEST(Choose_LateAnyway_TakesAnIdleSlowServer);
  CPPUNIT_TEST(Choose_CantBeServed_IsRefusedAtOnce);
  CPPUNIT_TEST(Choose_OnlyLeavingServers_IsRefused);
  CPPUNIT_TEST(Choose_Bulk_StaysInItsPlace);
  CPPUNIT_TEST(Choose_ServerThatMissesProbes_IsLeftOut);
  CPPUNIT_TEST(Choose_ServerThatFailsOften_IsTakenRarely);
  CPPUNIT_TEST(TakeOutcomes_OfSoundServers_AreNoNews);
  CPPUNIT_TEST(TakeOutcomes_OfAFailingServer_TellBothWays);
  CPPUNIT_TEST(Retry_BeyondTheRoutesAttempts_IsRefused);
  CPPUNIT_TEST(Retry_BeyondTheSharedBudget_IsRefused);
  CPPUNIT_TEST(Retry_Always_TakesAnotherServer);
  CPPUNIT_TEST(Hedge_UnsafeWork_IsNeverSentTwice);
  CPPUNIT_TEST(Hedge_OverdueWork_GoesToAFreeServer);
  CPPUNIT_TEST(Apply_RebornServer_ForgetsItsLeaving);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    now_ = MonotonicTime(std::chrono::hours(1));
    servers_.clear();
    next_ticket_ = 1;
    SetUpServers(6);
  }

  void Choose_WithSlowHosts_TakesAFastOne() {
    for (const char* slow : {"s0", "s1", "s2", "s3", "s4"}) Tell(slow, 0, 7.0);
    Tell("s5", 1, 1.0);
    for (int i = 0; i < 2; ++i) CPPUNIT_ASSERT_EQUAL(std::string("s5"), Sent(Choose()));
  }

  void Choose_WithServersInFlight_TakesAnEmptyOne() {
    for (const char* busy : {"s0", "s1", "s2", "s3", "s4"}) Tell(busy, 2, 1.0);
    CPPUNIT_ASSERT_EQUAL(std::string("s5"), Sent(Choose()));
  }

  // With one report in 50 ms, all entry VMs see the same empty servers.
  void Choose_AfterNoticesOfOthers_AvoidsTheirServers() {
    for (const char* server : {"s0", "s1", "s2", "s3", "s4"}) {
      balancer_->OnSentElsewhere(BackendServerId(server), now_);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("s5"), Sent(Choose()));
    // The next report counts those requests itself.
    now_ += milliseconds(50);
    for (const auto& server : servers_) Tell(server.id.Text(), 0, 1.0);
    balancer_->OnSentElsewhere(BackendServerId("s5"), now_ + milliseconds(1));
    CPPUNIT_ASSERT(Sent(Choose()) != "s5");
  }

  void Choose_ManyAtOnce_SpreadsOverTheServers() {
    std::map<std::string, int> counts;
    for (int i = 0; i < 12; ++i) ++counts[Sent(Choose())];
    CPPUNIT_ASSERT_EQUAL(size_t{6}, counts.size());
    for (const auto& [server, n] : counts) CPPUNIT_ASSERT_EQUAL(2, n);
  }

  void Choose_AllFastServersFull_WaitsForASlot() {
    for (const auto& server : servers_) Tell(server.id.Text(), 3, 7.0);
    CPPUNIT_ASSERT(std::holds_alternative<Wait>(Choose()));
    CPPUNIT_ASSERT(balancer_->TakeReady(now_).empty());
    now_ += milliseconds(20);
    Tell("s2", 0, 1.0);
    const std::vector<Ready> ready = balancer_->TakeReady(now_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ready.size());
    CPPUNIT_ASSERT_EQUAL(std::string("s2"), std::get<SendTo>(ready[0]).server.Text());
  }

  void Choose_WaitingMoreUrgent_GoesFirst() {
    for (const auto& server : servers_) Tell(server.id.Text(), 6, 7.0);
    ChoiceRequest routine = Request();
    routine.rank = 2;
    CPPUNIT_ASSERT(std::holds_alternative<Wait>(balancer_->Choose(routine, now_)));
    ChoiceRequest urgent = Request();
    urgent.rank = 1;
    CPPUNIT_ASSERT(std::holds_alternative<Wait>(balancer_->Choose(urgent, now_)));
    now_ += milliseconds(10);
    Tell("s0", 0, 1.0);
    const std::vector<Ready> ready = balancer_->TakeReady(now_);
    CPPUNIT_ASSERT(!ready.empty());
    CPPUNIT_ASSERT_EQUAL(urgent.ticket, std::get<SendTo>(ready[0]).ticket);
  }

  void Choose_LateAnyway_TakesAnIdleSlowServer() {
    for (const auto& server : servers_) Tell(server.id.Text(), 3, 1.0);
    Tell("s4", 0, 7.0);
    ChoiceRequest late = Request();
    late.target = now_;
    late.deadline = now_ + milliseconds(4000);
    const auto choice = balancer_->Choose(late, now_);
    CPPUNIT_ASSERT(std::holds_alternative<SendTo>(choice));
  }

  void Choose_CantBeServed_IsRefusedAtOnce() {
    Sent(Choose());  // From here on it is known how long such work takes.
    for (const auto& server : servers_) Tell(server.id.Text(), 6, 7.0);
    ChoiceRequest hopeless = Request();
    hopeless.target = now_ + milliseconds(10);
    hopeless.deadline = now_ + milliseconds(20);
    const auto choice = balancer_->Choose(hopeless, now_);
    CPPUNIT_ASSERT(std::holds_alternative<Refuse>(choice));
    CPPUNIT_ASSERT(std::get<Refuse>(choice).cause == RefusalCause::kOverload);
    CPPUNIT_ASSERT(std::get<Refuse>(choice).retry_after.count() > 0);
  }

  void Choose_OnlyLeavingServers_IsRefused() {
    for (BackendServer& server : servers_) server.state = BackendState::kLeaving;
    Apply();
    const auto choice = Choose();
    CPPUNIT_ASSERT(std::get<Refuse>(choice).cause == RefusalCause::kNoBackendServer);
  }

  void Choose_Bulk_StaysInItsPlace() {
    servers_[3].place = PlaceId("here");
    for (size_t i = 0; i < servers_.size(); ++i) {
      if (i != 3) servers_[i].place = PlaceId("there");
    }
    Apply();
    Tell("s3", 2, 1.0);
    ChoiceRequest bulk = Request();
    bulk.bulk = true;
    CPPUNIT_ASSERT_EQUAL(std::string("s3"), Sent(balancer_->Choose(bulk, now_)));
    // Elsewhere only when it would be late here.
    Tell("s3", 3, 7.0);
    bulk.ticket = next_ticket_++;
    CPPUNIT_ASSERT(Sent(balancer_->Choose(bulk, now_)) != "s3");
  }

  void Choose_ServerThatMissesProbes_IsLeftOut() {
    for (const char* dead : {"s0", "s1", "s2", "s3", "s4"}) {
      balancer_->OnMissedProbe(BackendServerId(dead));
      balancer_->OnMissedProbe(BackendServerId(dead));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("s5"), Sent(Choose()));
    Tell("s0", 0, 1.0);  // It answers again.
    std::set<std::string> seen;
    for (int i = 0; i < 4; ++i) seen.insert(Sent(Choose()));
    CPPUNIT_ASSERT(seen.count("s0") == 1);
  }

  void Choose_ServerThatFailsOften_IsTakenRarely() {
    balancer_->OnOutcomes({BackendServerId("s0"), 0, 5});
    for (int i = 0; i < 5; ++i) CPPUNIT_ASSERT(Sent(Choose()) != "s0");
  }

  void Retry_BeyondTheRoutesAttempts_IsRefused() {
    ChoiceRequest request = Request();
    request.max_attempts = 2;
    const std::string first = Sent(balancer_->Choose(request, now_));
    End(request.ticket, first, AttemptEnd::kCut);
    const std::string second = Sent(balancer_->Retry(request.ticket, now_));
    End(request.ticket, second, AttemptEnd::kCut);
    const auto third = balancer_->Retry(request.ticket, now_);
    CPPUNIT_ASSERT(std::get<Refuse>(third).cause == RefusalCause::kRetryBudget);
  }

  void Retry_BeyondTheSharedBudget_IsRefused() {
    RetrySettings terms;
    terms.ratio = 0.2;
    terms.slack = 60;
    SetUpServers(6, terms);
    balancer_->SetEntryVms(20);
    int retries = 0;
    const int n = 100;
    for (int i = 0; i < n; ++i) {
      ChoiceRequest request = Request();
      End(request.ticket, Sent(balancer_->Choose(request, now_)), AttemptEnd::kCut);
      const auto again = balancer_->Retry(request.ticket, now_);
      if (std::holds_alternative<SendTo>(again)) {
        ++retries;
        End(request.ticket, std::get<SendTo>(again).server.Text(), AttemptEnd::kAnswered);
      }
      balancer_->Finish(request.ticket, now_);
      now_ += milliseconds(50);
      for (const auto& server : servers_) Tell(server.id.Text(), 0, 1.0);
    }
    // Our part of the budget: a fifth of our requests and a twentieth of the slack.
    CPPUNIT_ASSERT(retries > 0);
    CPPUNIT_ASSERT(retries <= n / 5 + 3);
  }

  void Retry_Always_TakesAnotherServer() {
    ChoiceRequest request = Request();
    std::set<std::string> seen;
    seen.insert(Sent(balancer_->Choose(request, now_)));
    for (int i = 0; i < 3; ++i) {
      End(request.ticket, *seen.rbegin(), AttemptEnd::kShed);
      const std::string next = Sent(balancer_->Retry(request.ticket, now_));
      CPPUNIT_ASSERT(seen.insert(next).second);
    }
  }

  void Hedge_UnsafeWork_IsNeverSentTwice() {
    ChoiceRequest request = Request();
    request.repeatable = false;
    Sent(balancer_->Choose(request, now_));
    now_ += milliseconds(2000);
    CPPUNIT_ASSERT(balancer_->HedgeDue(now_).empty());
    CPPUNIT_ASSERT(!balancer_->Hedge(request.ticket, now_));
  }

  void Hedge_OverdueWork_GoesToAFreeServer() {
    ChoiceRequest request = Request();
    const std::string first = Sent(balancer_->Choose(request, now_));
    now_ += milliseconds(600);
    for (const auto& server : servers_) Tell(server.id.Text(), 0, 1.0);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, balancer_->HedgeDue(now_).size());
    const auto second = balancer_->Hedge(request.ticket, now_);
    CPPUNIT_ASSERT(second && second->server.Text() != first);
  }

  void Apply_RebornServer_ForgetsItsLeaving() {
    for (BackendServer& server : servers_) server.state = BackendState::kLeaving;
    Apply();
    CPPUNIT_ASSERT(balancer_->IsLeaving(BackendServerId("s0")));
    servers_[0].state = BackendState::kActive;
    servers_[0].started = 99;
    Apply();
    CPPUNIT_ASSERT(!balancer_->IsLeaving(BackendServerId("s0")));
    CPPUNIT_ASSERT_EQUAL(std::string("s0"), Sent(Choose()));
  }

  void TakeOutcomes_OfSoundServers_AreNoNews() {
    SetUpServers(1);
    const auto sent = std::get<SendTo>(Choose());
    End(sent.ticket, "s0", AttemptEnd::kAnswered);
    CPPUNIT_ASSERT(balancer_->TakeOutcomes().empty());
  }

  void TakeOutcomes_OfAFailingServer_TellBothWays() {
    SetUpServers(1);
    const auto failed = std::get<SendTo>(Choose());
    End(failed.ticket, "s0", AttemptEnd::kCut);
    const auto answered = std::get<SendTo>(Choose());
    End(answered.ticket, "s0", AttemptEnd::kAnswered);
    const auto outcomes = balancer_->TakeOutcomes();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, outcomes.size());
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, outcomes[0].failed);
    CPPUNIT_ASSERT_EQUAL(uint32_t{1}, outcomes[0].answered);
    CPPUNIT_ASSERT(balancer_->TakeOutcomes().empty());
  }

 private:
  static RetrySettings Plenty() {
    RetrySettings terms;
    terms.slack = 1000;
    return terms;
  }
  void SetUpServers(size_t n, RetrySettings terms = Plenty()) {
    balancer_ = std::make_unique<Balancer>(PlaceId("here"), 1, terms);
    servers_.clear();
    for (size_t i = 0; i < n; ++i) {
      BackendServer server;
      server.id = BackendServerId("s" + std::to_string(i));
      server.service = ServiceId("service");
      server.place = PlaceId("here");
      server.endpoint = {"10.0.0.1", static_cast<uint16_t>(1000 + i)};
      server.slots = 3;
      servers_.push_back(server);
    }
    Apply();
    for (const auto& server : servers_) Tell(server.id.Text(), 0, 1.0);
  }
  void Apply() {
    Service service;
    service.id = ServiceId("service");
    balancer_->Apply({service}, servers_, now_);
  }
  void Tell(const std::string& server, uint32_t in_flight, double slowdown) {
    Report report;
    report.in_flight = in_flight;
    report.slowdown = slowdown;
    balancer_->OnReport(BackendServerId(server), report, now_);
  }
  ChoiceRequest Request() {
    ChoiceRequest request;
    request.ticket = next_ticket_++;
    request.service = ServiceId("service");
    request.deadline = now_ + milliseconds(2000);
    request.target = now_ + milliseconds(400);
    request.repeatable = true;
    request.rank = 1;
    return request;
  }
  Choice Choose() { return balancer_->Choose(Request(), now_); }
  static std::string Sent(const Choice& choice) {
    CPPUNIT_ASSERT(std::holds_alternative<SendTo>(choice));
    return std::get<SendTo>(choice).server.Text();
  }
  void End(Ticket ticket, const std::string& server, AttemptEnd end) {
    balancer_->OnEnded(ticket, BackendServerId(server), {end, milliseconds(100), std::nullopt},
                       now_);
  }

  std::unique_ptr<Balancer> balancer_;
  std::vector<BackendServer> servers_;
  MonotonicTime now_;
  Ticket next_ticket_ = 1;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BalancerTest);

}  // namespace
}  // namespace cowsliphill
