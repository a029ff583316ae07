// Each test replays one load pattern in small: hosts that turn slow, reports that are old, bursts,
// overload, servers that fail.

#include "src/balance/balancer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

class BalancerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BalancerTest);
  CPPUNIT_TEST(Assign_WithSlowHosts_TakesAFastOne);
  CPPUNIT_TEST(Assign_WithServersInFlight_TakesAnEmptyOne);
  CPPUNIT_TEST(Assign_ManyAtOnce_SpreadsOverTheServers);
  CPPUNIT_TEST(Assign_BeyondTheSlots_QueuesHere);
  CPPUNIT_TEST(Assign_AllFastServersFull_WaitsForASlot);
  CPPUNIT_TEST(Assign_WaitingMoreUrgent_GoesFirst);
  CPPUNIT_TEST(Assign_NewRequest_DoesNotPassThoseThatWait);
  CPPUNIT_TEST(Assign_LateAnyway_TakesAnIdleSlowServer);
  CPPUNIT_TEST(Assign_LateAnyway_LeavesFastSlotsToThoseInTime);
  CPPUNIT_TEST(Assign_BehindALongQueue_IsNotKeptForNothing);
  CPPUNIT_TEST(Assign_CantBeServed_IsRefusedAtOnce);
  CPPUNIT_TEST(Assign_OnlyLeavingServers_IsRefused);
  CPPUNIT_TEST(Assign_Bulk_StaysInItsFailureDomain);
  CPPUNIT_TEST(Assign_NearAndFarAlike_TakesTheNear);
  CPPUNIT_TEST(Assign_Hedge_NeverWaits);
  CPPUNIT_TEST(Assign_TriedServers_AreLeftOut);
  CPPUNIT_TEST(Assign_ServerThatMissesProbes_IsLeftOut);
  CPPUNIT_TEST(Assign_ServerThatFailsOften_IsTakenRarely);
  CPPUNIT_TEST(Assign_PastAStepOfTheHost_TrustsNoOldReport);
  CPPUNIT_TEST(OnEnded_OfAnyRequest_FreesItsSlotAtOnce);
  CPPUNIT_TEST(OnReport_CountingLess_FreesSlotsWhoseEndWasLost);
  CPPUNIT_TEST(OnReport_HostTurnedSlowBefore_TellsOfTheLateStart);
  CPPUNIT_TEST(OnAnswers_FromANearlyFullServer_TeachWhatCrowdingCosts);
  CPPUNIT_TEST(Assign_MoreUrgentButLate_GoesBeforeLessUrgent);
  CPPUNIT_TEST(Assign_CallerThatCameBackLate_YieldsToANewOne);
  CPPUNIT_TEST(Apply_RebornServer_ForgetsItsLeaving);
  CPPUNIT_TEST(Assign_NothingKnownYet_WaitsForAFewReports);
  CPPUNIT_TEST(Apply_FewServers_AreOneCell);
  CPPUNIT_TEST(NextProbe_WithKnownSteps_ComesRightAfterOne);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    now_ = MonotonicTime(std::chrono::hours(1));
    next_id_ = 1;
    SetUpServers(6);
  }

  void Assign_WithSlowHosts_TakesAFastOne() {
    for (const char* slow : {"s0", "s1", "s2", "s3", "s4"}) Tell(slow, 0, 7.0);
    Tell("s5", 1, 1.0);
    for (int i = 0; i < 2; ++i) CPPUNIT_ASSERT_EQUAL(std::string("s5"), Sent(Assign()));
  }

  void Assign_WithServersInFlight_TakesAnEmptyOne() {
    for (const char* busy : {"s0", "s1", "s2", "s3", "s4"}) Tell(busy, 2, 1.0);
    CPPUNIT_ASSERT_EQUAL(std::string("s5"), Sent(Assign()));
  }

  // One count for all entry VMs: requests that come between two reports don't meet at one server.
  void Assign_ManyAtOnce_SpreadsOverTheServers() {
    std::map<std::string, int> counts;
    for (int i = 0; i < 12; ++i) ++counts[Sent(Assign())];
    CPPUNIT_ASSERT_EQUAL(size_t{6}, counts.size());
    for (const auto& [server, n] : counts) CPPUNIT_ASSERT_EQUAL(2, n);
  }

  void Assign_BeyondTheSlots_QueuesHere() {
    for (int i = 0; i < 18; ++i) Sent(Assign());
    CPPUNIT_ASSERT(std::holds_alternative<Queued>(Assign()));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, balancer_->Waiting());
  }

  void Assign_AllFastServersFull_WaitsForASlot() {
    for (const auto& server : servers_) Tell(server.id.Text(), 3, 7.0);
    CPPUNIT_ASSERT(std::holds_alternative<Queued>(Assign()));
    CPPUNIT_ASSERT(balancer_->TakeTurns(now_).empty());
    now_ += milliseconds(20);
    Tell("s2", 0, 1.0);
    const std::vector<Turn> turns = balancer_->TakeTurns(now_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, turns.size());
    CPPUNIT_ASSERT_EQUAL(std::string("s2"), std::get<Assigned>(turns[0]).server.Text());
  }

  void Assign_WaitingMoreUrgent_GoesFirst() {
    for (const auto& server : servers_) Tell(server.id.Text(), 6, 7.0);
    AssignmentRequest routine = Request();
    routine.kind.rank = 2;
    CPPUNIT_ASSERT(std::holds_alternative<Queued>(balancer_->Assign(routine, now_)));
    AssignmentRequest urgent = Request();
    urgent.kind.rank = 1;
    CPPUNIT_ASSERT(std::holds_alternative<Queued>(balancer_->Assign(urgent, now_)));
    now_ += milliseconds(10);
    Tell("s0", 2, 1.0);  // One slot.
    const std::vector<Turn> turns = balancer_->TakeTurns(now_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, turns.size());
    CPPUNIT_ASSERT_EQUAL(urgent.id, std::get<Assigned>(turns[0]).id);
  }

  void Assign_NewRequest_DoesNotPassThoseThatWait() {
    for (const auto& server : servers_) Tell(server.id.Text(), 3, 7.0);
    const AssignmentRequest first = Request();
    CPPUNIT_ASSERT(std::holds_alternative<Queued>(balancer_->Assign(first, now_)));
    now_ += milliseconds(20);
    Tell("s2", 2, 1.0);  // One slot.
    CPPUNIT_ASSERT(std::holds_alternative<Queued>(Assign()));
    const std::vector<Turn> turns = balancer_->TakeTurns(now_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, turns.size());
    CPPUNIT_ASSERT_EQUAL(first.id, std::get<Assigned>(turns[0]).id);
  }

  void Assign_LateAnyway_TakesAnIdleSlowServer() {
    for (const auto& server : servers_) Tell(server.id.Text(), 3, 1.0);
    Tell("s4", 0, 7.0);
    AssignmentRequest late = Request();
    late.target = now_;
    late.deadline = now_ + milliseconds(4000);
    CPPUNIT_ASSERT_EQUAL(std::string("s4"), Sent(balancer_->Assign(late, now_)));
  }

  // Overload: one fast slot, one request that can still be in time, one that can't.
  void Assign_LateAnyway_LeavesFastSlotsToThoseInTime() {
    for (const auto& server : servers_) Tell(server.id.Text(), 3, 7.0);
    AssignmentRequest late = Request();
    late.target = now_ + milliseconds(10);
    late.deadline = now_ + milliseconds(4000);
    CPPUNIT_ASSERT(std::holds_alternative<Queued>(balancer_->Assign(late, now_)));
    const AssignmentRequest in_time = Request();
    CPPUNIT_ASSERT(std::holds_alternative<Queued>(balancer_->Assign(in_time, now_)));
    now_ += milliseconds(10);
    Tell("s0", 2, 1.0);
    const std::vector<Turn> turns = balancer_->TakeTurns(now_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, turns.size());
    CPPUNIT_ASSERT_EQUAL(in_time.id, std::get<Assigned>(turns[0]).id);
  }

  // A burst fills the queue: who would be late by the time of its turn is told so at once, or takes
  // what is left, and does not wait for its turn first.
  void Assign_BehindALongQueue_IsNotKeptForNothing() {
    SetUpServers(1);
    size_t queued = 0;
    size_t refused = 0;
    for (int i = 0; i < 60; ++i) {
      AssignmentRequest request = Request();
      request.deadline = now_ + milliseconds(600);
      const Assignment given = balancer_->Assign(request, now_);
      queued += std::holds_alternative<Queued>(given) ? 1 : 0;
      refused += std::holds_alternative<Declined>(given) ? 1 : 0;
    }
    // Work of 100 ms on three slots, a target of 400 ms: some ten turns come up in time.
    CPPUNIT_ASSERT(queued >= 6 && queued <= 14);
    CPPUNIT_ASSERT(refused >= 40);
  }

  void Assign_CantBeServed_IsRefusedAtOnce() {
    Sent(Assign());  // From here on it is known how long such work takes.
    for (const auto& server : servers_) Tell(server.id.Text(), 6, 7.0);
    AssignmentRequest hopeless = Request();
    hopeless.target = now_ + milliseconds(10);
    hopeless.deadline = now_ + milliseconds(20);
    const auto choice = balancer_->Assign(hopeless, now_);
    CPPUNIT_ASSERT(std::holds_alternative<Declined>(choice));
    CPPUNIT_ASSERT(std::get<Declined>(choice).cause == RefusalCause::kOverload);
    CPPUNIT_ASSERT(std::get<Declined>(choice).retry_after.count() > 0);
  }

  void Assign_OnlyLeavingServers_IsRefused() {
    for (BackendServer& server : servers_) server.state = BackendState::kLeaving;
    Apply();
    const auto choice = Assign();
    CPPUNIT_ASSERT(std::get<Declined>(choice).cause == RefusalCause::kNoBackendServer);
  }

  void Assign_Bulk_StaysInItsFailureDomain() {
    for (size_t i = 0; i < servers_.size(); ++i) {
      servers_[i].failure_domain = FailureDomainId("there");
    }
    servers_[3].failure_domain = FailureDomainId("here");
    Apply();
    Tell("s3", 2, 1.0);
    AssignmentRequest bulk = Request();
    bulk.kind.bulk = true;
    CPPUNIT_ASSERT_EQUAL(std::string("s3"), Sent(balancer_->Assign(bulk, now_)));
    // Elsewhere only when it would be late here.
    Tell("s3", 2, 7.0);
    bulk.id = next_id_++;
    CPPUNIT_ASSERT(Sent(balancer_->Assign(bulk, now_)) != "s3");
  }

  void Assign_NearAndFarAlike_TakesTheNear() {
    for (size_t i = 0; i < servers_.size(); ++i) {
      servers_[i].failure_domain = FailureDomainId("there");
    }
    servers_[3].failure_domain = FailureDomainId("here");
    Apply();
    for (int i = 0; i < 2; ++i) CPPUNIT_ASSERT_EQUAL(std::string("s3"), Sent(Assign()));
    // Not when it is nearly full and others are empty.
    CPPUNIT_ASSERT(Sent(Assign()) != "s3");
  }

  void Assign_Hedge_NeverWaits() {
    for (const auto& server : servers_) Tell(server.id.Text(), 3, 1.0);
    AssignmentRequest hedge = Request();
    hedge.hedge = true;
    CPPUNIT_ASSERT(std::holds_alternative<Declined>(balancer_->Assign(hedge, now_)));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, balancer_->Waiting());
    Tell("s1", 0, 1.0);
    CPPUNIT_ASSERT_EQUAL(std::string("s1"), Sent(balancer_->Assign(hedge, now_)));
  }

  void Assign_TriedServers_AreLeftOut() {
    AssignmentRequest request = Request();
    request.tried = AllBut(5);
    CPPUNIT_ASSERT_EQUAL(std::string("s5"), Sent(balancer_->Assign(request, now_)));
  }

  void Assign_ServerThatMissesProbes_IsLeftOut() {
    for (const char* dead : {"s0", "s1", "s2", "s3", "s4"}) {
      balancer_->OnMissedProbe(BackendServerId(dead));
      balancer_->OnMissedProbe(BackendServerId(dead));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("s5"), Sent(Assign()));
    Tell("s0", 0, 1.0);  // It answers again.
    std::set<std::string> seen;
    for (int i = 0; i < 4; ++i) seen.insert(Sent(Assign()));
    CPPUNIT_ASSERT(seen.count("s0") == 1);
  }

  void Assign_ServerThatFailsOften_IsTakenRarely() {
    for (int i = 0; i < 5; ++i) {
      // Until it is known to fail, it comes up as any other.
      const Assigned given = std::get<Assigned>(Assign());
      End(given.id,
          given.server.Text() == "s0" ? AttemptEnd::kConnectionLost : AttemptEnd::kAnswered);
    }
    AssignmentRequest only = Request();
    only.tried = AllBut(0);
    for (int i = 0; i < 5; ++i) {
      only.id = next_id_++;
      Sent(balancer_->Assign(only, now_));
      End(only.id, AttemptEnd::kConnectionLost);
    }
    for (int i = 0; i < 5; ++i) CPPUNIT_ASSERT(Sent(Assign()) != "s0");
  }

  // Hosts change at whole half seconds here, so a report of the last half second says nothing.
  void Assign_PastAStepOfTheHost_TrustsNoOldReport() {
    LearnSteps();
    for (const auto& server : servers_) Tell(server.id.Text(), 0, 1.0);
    now_ += milliseconds(460);  // Past the next step of all but s5.
    CPPUNIT_ASSERT(balancer_->HostInterval().has_value());
    Tell("s5", 0, 1.0);
    CPPUNIT_ASSERT_EQUAL(std::string("s5"), Sent(Assign()));
  }

  void OnEnded_OfAnyRequest_FreesItsSlotAtOnce() {
    SetUpServers(1);
    std::vector<AssignmentId> ids(3);
    for (AssignmentId& id : ids) id = std::get<Assigned>(Assign()).id;
    CPPUNIT_ASSERT(std::holds_alternative<Queued>(Assign()));
    End(ids[1], AttemptEnd::kAnswered);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, balancer_->TakeTurns(now_).size());
  }

  // Datagrams get lost: the server itself knows best how many requests it has.
  void OnReport_CountingLess_FreesSlotsWhoseEndWasLost() {
    SetUpServers(1);
    for (int i = 0; i < 3; ++i) Sent(Assign());
    now_ += milliseconds(50);
    CPPUNIT_ASSERT(std::holds_alternative<Queued>(Assign()));
    Tell("s0", 2, 1.0);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, balancer_->TakeTurns(now_).size());
  }

  void OnReport_HostTurnedSlowBefore_TellsOfTheLateStart() {
    SetUpServers(1);
    Tell("s0", 0, 1.0);
    const AssignmentId before = std::get<Assigned>(Assign()).id;
    now_ += milliseconds(40);
    Tell("s0", 1, 7.0);  // Turned slow at some time after the first began.
    CPPUNIT_ASSERT(balancer_->TakeStartedSlow().empty());
    now_ += milliseconds(1);
    balancer_->Withdraw(before);
    // Its report came late: the host had turned slow when this one was assigned.
    Tell("s0", 0, 1.0);
    now_ += milliseconds(10);
    ServerLoad load;
    Report fast;
    fast.slowdown = 1.0;
    Report slow;
    slow.slowdown = 7.0;
    const AssignmentId after = std::get<Assigned>(Assign()).id;
    balancer_->OnReport(BackendServerId("s0"), slow, now_ - milliseconds(1));
    const auto told = balancer_->TakeStartedSlow();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, told.size());
    CPPUNIT_ASSERT_EQUAL(after, told[0]);
  }

  void OnAnswers_FromANearlyFullServer_TeachWhatCrowdingCosts() {
    SetUpServers(2);
    // Work of 100 ms that takes no longer on a third slot: a third request there is as good.
    for (int i = 0; i < 120; ++i) {
      std::vector<AssignmentId> ids(6);
      for (AssignmentId& id : ids) id = std::get<Assigned>(Assign()).id;
      for (const AssignmentId id : ids) End(id, AttemptEnd::kAnswered);
    }
    for (int n = 0; n < 4; ++n) Sent(Assign());
    const Assigned third = std::get<Assigned>(Assign());
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, third.in_flight);
    CPPUNIT_ASSERT(third.expected < milliseconds(110));
  }

  // An emergency that is late already is not left behind routine work that is still in time.
  void Assign_MoreUrgentButLate_GoesBeforeLessUrgent() {
    for (const auto& server : servers_) Tell(server.id.Text(), 3, 7.0);
    AssignmentRequest routine = Request();
    routine.kind.rank = 2;
    CPPUNIT_ASSERT(std::holds_alternative<Queued>(balancer_->Assign(routine, now_)));
    AssignmentRequest urgent = Request();
    urgent.kind.rank = 0;
    urgent.target = now_ + milliseconds(10);
    urgent.deadline = now_ + milliseconds(4000);
    CPPUNIT_ASSERT(std::holds_alternative<Queued>(balancer_->Assign(urgent, now_)));
    now_ += milliseconds(10);
    Tell("s0", 2, 1.0);
    const std::vector<Turn> turns = balancer_->TakeTurns(now_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, turns.size());
    CPPUNIT_ASSERT_EQUAL(urgent.id, std::get<Assigned>(turns[0]).id);
  }

  // Overload: one slot, for one that was refused half a second ago or for a new one.
  void Assign_CallerThatCameBackLate_YieldsToANewOne() {
    for (int i = 0; i < 100; ++i) {
      AssignmentRequest seen = Request();
      seen.caller_left = milliseconds(1800);
      balancer_->NoteReturn(seen);
      CPPUNIT_ASSERT(seen.target == now_ + milliseconds(400));
    }
    for (const auto& server : servers_) Tell(server.id.Text(), 3, 7.0);
    AssignmentRequest back = Request();
    back.caller_left = milliseconds(1000);
    balancer_->NoteReturn(back);
    CPPUNIT_ASSERT(back.target < now_ + milliseconds(100));
    CPPUNIT_ASSERT(std::holds_alternative<Queued>(balancer_->Assign(back, now_)));
    const AssignmentRequest fresh = Request();
    CPPUNIT_ASSERT(std::holds_alternative<Queued>(balancer_->Assign(fresh, now_)));
    now_ += milliseconds(10);
    Tell("s0", 2, 1.0);
    const std::vector<Turn> turns = balancer_->TakeTurns(now_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, turns.size());
    CPPUNIT_ASSERT_EQUAL(fresh.id, std::get<Assigned>(turns[0]).id);
  }

  void Apply_RebornServer_ForgetsItsLeaving() {
    for (BackendServer& server : servers_) server.state = BackendState::kLeaving;
    Apply();
    CPPUNIT_ASSERT(std::holds_alternative<Declined>(Assign()));
    servers_[0].state = BackendState::kActive;
    servers_[0].started = 99;
    Apply();
    Tell("s0", 0, 1.0);
    CPPUNIT_ASSERT_EQUAL(std::string("s0"), Sent(Assign()));
  }

  // A scheduler that has just taken over knows nothing: a probe takes less than a slow host costs.
  void Assign_NothingKnownYet_WaitsForAFewReports() {
    balancer_ = std::make_unique<Balancer>(1);
    Apply();
    CPPUNIT_ASSERT(std::holds_alternative<Queued>(Assign()));
    const auto wanted = balancer_->TakeWanted();
    CPPUNIT_ASSERT_EQUAL(Balancer::kProbesWanted, wanted.size());
    now_ += milliseconds(7);
    Tell(wanted[0].Text(), 0, 7.0);
    Tell(wanted[1].Text(), 0, 1.0);
    const std::vector<Turn> turns = balancer_->TakeTurns(now_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, turns.size());
    CPPUNIT_ASSERT_EQUAL(wanted[1].Text(), std::get<Assigned>(turns[0]).server.Text());
    // Without an answer it takes what there is.
    AssignmentRequest other = Request();
    other.tried = {wanted[1]};
    CPPUNIT_ASSERT(std::holds_alternative<Queued>(balancer_->Assign(other, now_)));
    now_ += Balancer::kProbeWait;
    CPPUNIT_ASSERT_EQUAL(size_t{1}, balancer_->TakeTurns(now_).size());
  }

  void Apply_FewServers_AreOneCell() {
    const auto servers = [](size_t n) {
      std::vector<BackendServer> all;
      for (size_t i = 0; i < n; ++i) {
        BackendServer server;
        server.service = ServiceId("service");
        server.failure_domain = FailureDomainId(i % 2 == 0 ? "here" : "there");
        all.push_back(server);
      }
      return all;
    };
    const size_t few = 2 * CellMap::kFewPerFailureDomain;
    CPPUNIT_ASSERT(CellMap(servers(few - 1))
                       .CellOf(ServiceId("service"), FailureDomainId("here"))
                       .failure_domain.Empty());
    CPPUNIT_ASSERT_EQUAL(std::string("here"),
                         CellMap(servers(few))
                             .CellOf(ServiceId("service"), FailureDomainId("here"))
                             .failure_domain.Text());
  }

  void NextProbe_WithKnownSteps_ComesRightAfterOne() {
    LearnSteps();
    const MonotonicTime due = balancer_->NextProbe(BackendServerId("s0"), now_);
    CPPUNIT_ASSERT(due > now_);
    // Never so late that the next step would be missed by more than a twentieth of an interval.
    const auto into = (due - step_) % Duration(milliseconds(500));
    CPPUNIT_ASSERT(due - now_ <= milliseconds(250));
    CPPUNIT_ASSERT(into <= milliseconds(25) || due - now_ == milliseconds(250));
  }

 private:
  void SetUpServers(size_t n) {
    balancer_ = std::make_unique<Balancer>(1);
    servers_.clear();
    for (size_t i = 0; i < n; ++i) {
      BackendServer server;
      server.id = BackendServerId("s" + std::to_string(i));
      server.service = ServiceId("service");
      server.failure_domain = FailureDomainId("here");
      server.endpoint = {"10.0.0.1", static_cast<uint16_t>(1000 + i)};
      server.slots = 3;
      servers_.push_back(server);
    }
    Apply();
    for (const auto& server : servers_) Tell(server.id.Text(), 0, 1.0);
  }
  // All servers are one cell, wherever they stand.
  void Apply() { balancer_->Apply(servers_, CellMap(servers_), now_); }
  void Tell(const std::string& server, uint32_t in_flight, double slowdown) {
    Report report;
    report.in_flight = in_flight;
    report.slowdown = slowdown;
    balancer_->OnReport(BackendServerId(server), report, now_);
  }
  // Every host turns slow or fast at each half second, seen within 10 ms; s5 some 100 ms later.
  void LearnSteps() {
    step_ = now_;
    for (int step = 0; step < 16; ++step) {
      const double slowdown = step % 2 == 0 ? 7.0 : 1.0;
      for (const auto& server : servers_) {
        const milliseconds late(server.id.Text() == "s5" ? 100 : 0);
        const MonotonicTime at = step_ + step * milliseconds(500) + late;
        Report report;
        report.in_flight = 0;
        report.slowdown = slowdown == 7.0 ? 1.0 : 7.0;
        balancer_->OnReport(server.id, report, at - milliseconds(5));
        report.slowdown = slowdown;
        balancer_->OnReport(server.id, report, at + milliseconds(5));
      }
    }
    now_ = step_ + 15 * milliseconds(500) + milliseconds(120);
  }
  std::vector<BackendServerId> AllBut(size_t one) const {
    std::vector<BackendServerId> ids(servers_.size());
    std::transform(servers_.begin(), servers_.end(), ids.begin(),
                   [](const BackendServer& server) { return server.id; });
    ids.erase(ids.begin() + static_cast<std::ptrdiff_t>(one));
    return ids;
  }
  AssignmentRequest Request() {
    AssignmentRequest request;
    request.id = next_id_++;
    request.cell = {ServiceId("service"),
                    servers_.size() < 5 ? FailureDomainId() : CellFailureDomain()};
    request.home = FailureDomainId("here");
    request.deadline = now_ + milliseconds(2000);
    request.target = now_ + milliseconds(400);
    request.kind.rank = 1;
    request.kind.target = milliseconds(400);
    return request;
  }
  FailureDomainId CellFailureDomain() const {
    return CellMap(servers_).CellOf(ServiceId("service"), FailureDomainId("here")).failure_domain;
  }
  Assignment Assign() { return balancer_->Assign(Request(), now_); }
  static std::string Sent(const Assignment& given) {
    CPPUNIT_ASSERT(std::holds_alternative<Assigned>(given));
    return std::get<Assigned>(given).server.Text();
  }
  void End(AssignmentId id, AttemptEnd end) {
    balancer_->OnEnded(id, {end, milliseconds(100), std::nullopt}, now_);
  }

  std::unique_ptr<Balancer> balancer_;
  std::vector<BackendServer> servers_;
  MonotonicTime now_;
  MonotonicTime step_;
  AssignmentId next_id_ = 1;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BalancerTest);

}  // namespace
}  // namespace cowsliphill
