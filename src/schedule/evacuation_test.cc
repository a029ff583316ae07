// Evacuated failure domains: what planners and schedulers make of them, also while only some of the
// entry VMs know.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "tests/schedule_fleet.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

class EvacuationTest : public ScheduleFixture {
  CPPUNIT_TEST_SUITE(EvacuationTest);
  CPPUNIT_TEST(Requests_OfAnEvacuatedDomain_GoToTheOtherOneUntilItsEnd);
  CPPUNIT_TEST(Requests_OfASingleCell_GoToItsServersElsewhere);
  CPPUNIT_TEST(Probes_OfAnEvacuatedDomain_EndAndComeBack);
  CPPUNIT_TEST(Request_Queued_GetsAServerElsewhereInTime);
  CPPUNIT_TEST(Request_AssignedButNotTaken_GoesElsewhereWithoutRetryBudget);
  CPPUNIT_TEST(Request_AssignedButNotSent_GoesElsewhereWithoutRetryBudget);
  CPPUNIT_TEST(Request_Running_CompletesThere);
  CPPUNIT_TEST(Hedge_OfARequestThatRunsThere_GoesElsewhere);
  CPPUNIT_TEST(Requests_WhileSchedulersDoNotKnow_GoElsewhere);
  CPPUNIT_TEST(Requests_WhileOnlyTheOtherDomainsSchedulersDoNotKnow_GoElsewhere);
  CPPUNIT_TEST(Requests_WithAllDomainsEvacuated_AreRefusedAtOnce);
  CPPUNIT_TEST(Servers_AfterTheEnd_AreNotJudgedByOldReports);
  CPPUNIT_TEST(Events_OfAnEvacuation_NameItsSteps);
  CPPUNIT_TEST(Events_OfAnUnknownName_AreOneUntilItIsKnown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Requests_OfAnEvacuatedDomain_GoToTheOtherOneUntilItsEnd() {
    EvacuateAtAll({"a"});
    for (size_t i = 0; i < 8; ++i) Choose(fleet_->At(i));
    fleet_->Advance(milliseconds(20));
    ExpectAllIn('b', 8);
    EvacuateAtAll({});
    fleet_->Advance(milliseconds(300));
    for (size_t i = 0; i < 3; ++i) Choose(fleet_->BackupIn("a"));
    fleet_->Advance(milliseconds(20));
    ExpectAllIn('a', 3);
  }

  // All servers of a service with few servers are one cell, which then is not empty.
  void Requests_OfASingleCell_GoToItsServersElsewhere() {
    SetUpFleet(4, 2);
    EvacuateAtAll({"a"});
    for (int i = 0; i < 6; ++i) Choose(fleet_->BackupIn("a"));
    fleet_->Advance(milliseconds(20));
    ExpectAllIn('b', 6);
  }

  void Probes_OfAnEvacuatedDomain_EndAndComeBack() {
    fleet_->answers_probes = false;
    EvacuateAtAll({"a"});
    CPPUNIT_ASSERT_EQUAL(size_t{0}, ProbesOf('a', milliseconds(2500)));
    CPPUNIT_ASSERT(ProbesOf('b', milliseconds(2500)) > 0);
    EvacuateAtAll({});
    CPPUNIT_ASSERT(ProbesOf('a', milliseconds(600)) > 0);
  }

  // Guards against requests that stay in the queue of an evacuated cell until it is too late.
  void Request_Queued_GetsAServerElsewhereInTime() {
    auto& vm = fleet_->BackupIn("a");
    const std::vector<SendTo> full = FillHomeCell(vm);
    Choose(vm);
    fleet_->Advance(milliseconds(10));
    CPPUNIT_ASSERT(Sent().empty());
    for (const SendTo& it : full) {
      if (it.server.Text()[0] == 'b') EndAttempt(vm, it, AttemptEnd::kAnswered);
    }
    fleet_->drop = [](const Outgoing& out) {
      return std::holds_alternative<CellUpdate>(out.message);
    };
    fleet_->Advance(milliseconds(5));
    EvacuateAtAll({"a"});
    fleet_->Advance(milliseconds(20));
    ExpectAllIn('b', 1);
  }

  // The assignment has arrived, but Dispatcher has not taken it yet.
  void Request_AssignedButNotTaken_GoesElsewhereWithoutRetryBudget() {
    SetUpFleet(4, 6, NoRetryBudget());
    auto& vm = fleet_->PrimaryOf("a");
    Choose(vm);
    DeliverOwnMessages(vm);
    CPPUNIT_ASSERT(vm.planner->HasReady());
    EvacuateAtAll({"a"});
    CPPUNIT_ASSERT(!vm.planner->HasReady());
    fleet_->Advance(milliseconds(20));
    ExpectAllIn('b', 1);
  }

  // The data path was opening a connection, and ends the attempt because of MaySend.
  void Request_AssignedButNotSent_GoesElsewhereWithoutRetryBudget() {
    SetUpFleet(4, 6, NoRetryBudget());
    auto& vm = fleet_->BackupIn("a");
    ChoiceRequest request = Request();
    request.max_attempts = 1;
    vm.planner->Choose(request, fleet_->Now());
    fleet_->Advance(milliseconds(5));
    const SendTo send = Sent().at(0);
    CPPUNIT_ASSERT(vm.planner->MaySend(send, fleet_->Now()));
    EvacuateAtAll({"a"});
    CPPUNIT_ASSERT(!vm.planner->MaySend(send, fleet_->Now()));
    EndAttempt(vm, send, AttemptEnd::kCancelled);
    CPPUNIT_ASSERT(std::holds_alternative<Wait>(vm.planner->Retry(request.ticket, fleet_->Now())));
    fleet_->Advance(milliseconds(20));
    const std::vector<SendTo> moved = Sent();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, moved.size());
    CPPUNIT_ASSERT_EQUAL('b', moved[0].server.Text()[0]);
    // That was its only attempt.
    EndAttempt(vm, moved[0], AttemptEnd::kConnectionLost);
    CPPUNIT_ASSERT(
        std::holds_alternative<Refuse>(vm.planner->Retry(request.ticket, fleet_->Now())));
  }

  void Request_Running_CompletesThere() {
    auto& vm = fleet_->BackupIn("a");
    Choose(vm);
    fleet_->Advance(milliseconds(5));
    const SendTo send = Sent().at(0);
    EvacuateAtAll({"a"});
    fleet_->Advance(milliseconds(100));
    CPPUNIT_ASSERT(Sent().empty());
    vm.planner->OnEnded(send.ticket, send.server, Answered(), fleet_->Now());
    vm.planner->Finish(send.ticket, fleet_->Now());
    CPPUNIT_ASSERT(vm.planner->FindServer(send.server) != nullptr);
  }

  void Hedge_OfARequestThatRunsThere_GoesElsewhere() {
    auto& vm = fleet_->BackupIn("a");
    Choose(vm);
    fleet_->Advance(milliseconds(5));
    const SendTo send = Sent().at(0);
    EvacuateAtAll({"a"});
    vm.planner->Hedge(send.ticket, fleet_->Now());
    fleet_->Advance(milliseconds(20));
    ExpectAllIn('b', 1);
  }

  // An entry VM whose schedulers got no update must not be assigned their servers again and again.
  void Requests_WhileSchedulersDoNotKnow_GoElsewhere() {
    auto& vm = fleet_->BackupIn("a");
    vm.planner->SetEvacuated({FailureDomainId("a")}, fleet_->Now());
    for (int i = 0; i < 5; ++i) Choose(vm);
    fleet_->Advance(milliseconds(100));
    ExpectAllIn('b', 5);
  }

  // They pass on requests to the evacuated domain by an earlier report of its free slots.
  void Requests_WhileOnlyTheOtherDomainsSchedulersDoNotKnow_GoElsewhere() {
    auto& vm = fleet_->BackupIn("b");
    FillHomeCell(vm);
    fleet_->Advance(milliseconds(150));
    fleet_->drop = [](const Outgoing& out) {
      return std::holds_alternative<CellUpdate>(out.message);
    };
    for (size_t i = 0; i < 4; ++i) {
      fleet_->At(i).planner->SetEvacuated({FailureDomainId("a")}, fleet_->Now());
      fleet_->At(i).scheduler->SetEvacuated({FailureDomainId("a")}, fleet_->Now());
    }
    vm.planner->SetEvacuated({FailureDomainId("a")}, fleet_->Now());
    Choose(vm);
    fleet_->Advance(milliseconds(200));
    for (const ReadyChoice& it : fleet_->TakeReady()) {
      CPPUNIT_ASSERT(std::holds_alternative<SendTo>(it));
      CPPUNIT_ASSERT_EQUAL('b', std::get<SendTo>(it).server.Text()[0]);
    }
  }

  void Requests_WithAllDomainsEvacuated_AreRefusedAtOnce() {
    auto& vm = fleet_->BackupIn("a");
    FillHomeCell(vm);
    Choose(vm);
    fleet_->Advance(milliseconds(10));
    CPPUNIT_ASSERT(fleet_->TakeReady().empty());
    // The one that waits in a queue, and a new one.
    EvacuateAtAll({"a", "b"});
    Choose(vm);
    fleet_->Advance(milliseconds(1));
    const std::vector<ReadyChoice> refused = fleet_->TakeReady();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, refused.size());
    for (const ReadyChoice& it : refused) {
      CPPUNIT_ASSERT(std::get<Refuse>(it).cause == RefusalCause::kNoBackendServer);
    }
    EvacuateAtAll({"a"});
    Choose(vm);
    fleet_->Advance(milliseconds(20));
    ExpectAllIn('b', 1);
  }

  // Reports from before say that the servers of the domain are full.
  void Servers_AfterTheEnd_AreNotJudgedByOldReports() {
    fleet_->answers_probes = false;
    // Without reports of the other cell's free slots, requests wait in this one.
    fleet_->drop = [](const Outgoing& out) {
      return std::holds_alternative<CellUpdate>(out.message);
    };
    fleet_->Advance(Scheduler::kMaxCellUpdateAge);
    for (int i = 0; i < 6; ++i) fleet_->SetLoad("a-s" + std::to_string(i), 3, 1.0);
    EvacuateAtAll({"a"});
    fleet_->Advance(milliseconds(50));
    EvacuateAtAll({});
    Choose(fleet_->BackupIn("a"));
    fleet_->Advance(Balancer::kMaxProbeWait + milliseconds(10));
    ExpectAllIn('a', 1);
  }

  void Events_OfAnEvacuation_NameItsSteps() {
    using Kind = EvacuationEvent::Kind;
    auto& vm = fleet_->BackupIn("a");
    Choose(vm);
    fleet_->Advance(milliseconds(5));
    const SendTo send = Sent().at(0);
    const EvacuatedDomains domains = {FailureDomainId("a")};
    vm.planner->SetEvacuated(domains, fleet_->Now());
    vm.planner->SetEvacuated(domains, fleet_->Now());
    const std::vector<EvacuationEvent> begun = vm.planner->TakeEvacuationEvents();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, begun.size());
    CPPUNIT_ASSERT(begun[0].kind == Kind::kBegun);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, begun[0].running);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, vm.planner->Evacuations(fleet_->Now()).at(0).running);
    fleet_->Advance(milliseconds(30));
    vm.planner->OnEnded(send.ticket, send.server, Answered(), fleet_->Now());
    const std::vector<EvacuationEvent> idle = vm.planner->TakeEvacuationEvents();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, idle.size());
    CPPUNIT_ASSERT(idle[0].kind == Kind::kIdle && idle[0].since == milliseconds(30));
    vm.planner->SetEvacuated({}, fleet_->Now());
    const std::vector<EvacuationEvent> ended = vm.planner->TakeEvacuationEvents();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ended.size());
    CPPUNIT_ASSERT(ended[0].kind == Kind::kEnded);
    CPPUNIT_ASSERT(vm.planner->Evacuations(fleet_->Now()).empty());
  }

  void Events_OfAnUnknownName_AreOneUntilItIsKnown() {
    using Kind = EvacuationEvent::Kind;
    auto& vm = fleet_->BackupIn("a");
    vm.planner->SetEvacuated({FailureDomainId("c")}, fleet_->Now());
    fleet_->UpdateMembers();
    Choose(vm);
    fleet_->Advance(milliseconds(5));
    ExpectAllIn('a', 1);
    const std::vector<EvacuationEvent> unknown = vm.planner->TakeEvacuationEvents();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, unknown.size());
    CPPUNIT_ASSERT(unknown[0].kind == Kind::kUnknownDomain);
    CPPUNIT_ASSERT(vm.planner->Evacuations(fleet_->Now()).empty());
    BackendServer server = fleet_->Servers()[0];
    server.id = BackendServerId("c-s0");
    server.failure_domain = FailureDomainId("c");
    fleet_->Servers().push_back(server);
    fleet_->ApplyServers();
    CPPUNIT_ASSERT(vm.planner->TakeEvacuationEvents().at(0).kind == Kind::kBegun);
    CPPUNIT_ASSERT(vm.planner->IsEvacuated(server.id));
  }

 private:
  static RetrySettings NoRetryBudget() {
    RetrySettings settings;
    settings.ratio = 0;
    settings.slack = 0;
    return settings;
  }
  void EvacuateAtAll(const std::vector<std::string>& names) {
    EvacuatedDomains domains;
    for (const std::string& it : names) domains.emplace(it);
    for (size_t i = 0; i < 8; ++i) {
      fleet_->At(i).planner->SetEvacuated(domains, fleet_->Now());
      fleet_->At(i).scheduler->SetEvacuated(domains, fleet_->Now());
    }
  }
  void ExpectAllIn(char domain, size_t n) {
    const std::vector<SendTo> sent = Sent();
    CPPUNIT_ASSERT_EQUAL(n, sent.size());
    for (const SendTo& it : sent) CPPUNIT_ASSERT_EQUAL(domain, it.server.Text()[0]);
  }
  // Returns what was sent to fill the slots of the home cell, and nearly all of the other one.
  std::vector<SendTo> FillHomeCell(TestFleet::Vm& vm) {
    fleet_->Advance(Scheduler::kCellUpdateInterval + milliseconds(5));
    std::vector<SendTo> all;
    for (int i = 0; i < 40; ++i) Choose(vm);
    fleet_->Advance(milliseconds(8));
    for (const ReadyChoice& it : fleet_->TakeReady()) {
      if (const auto* send = std::get_if<SendTo>(&it)) all.push_back(*send);
    }
    // Those that wait are not of interest here.
    for (Ticket ticket = 1; ticket < next_ticket_; ++ticket) {
      const bool sent = std::any_of(all.begin(), all.end(),
                                    [ticket](const SendTo& it) { return it.ticket == ticket; });
      if (!sent) vm.planner->Finish(ticket, fleet_->Now());
    }
    fleet_->Advance(milliseconds(5));
    fleet_->TakeReady();
    return all;
  }
  // Delivers what planner and scheduler of one entry VM send each other, without TakeReady.
  void DeliverOwnMessages(TestFleet::Vm& vm) {
    for (int i = 0; i < 3; ++i) {
      for (const Outgoing& out : vm.planner->TakeOutbox()) {
        if (const auto* it = std::get_if<ScheduleRequest>(&out.message)) {
          vm.scheduler->OnScheduleRequest(vm.member.peer, *it, fleet_->Now());
        }
      }
      for (const Outgoing& out : vm.scheduler->TakeOutbox()) {
        if (const auto* it = std::get_if<ScheduleReply>(&out.message)) {
          vm.planner->OnReply(vm.member.peer, *it, fleet_->Now());
        }
      }
    }
  }
  size_t ProbesOf(char domain, Duration time) {
    size_t n = 0;
    for (Duration passed{}; passed < time; passed += milliseconds(10)) {
      fleet_->Advance(milliseconds(10));
      for (size_t i = 0; i < 8; ++i) {
        const auto due = fleet_->At(i).scheduler->TakeServersToProbe(fleet_->Now());
        n += static_cast<size_t>(
            std::count_if(due.begin(), due.end(),
                          [domain](const BackendServerId& it) { return it.Text()[0] == domain; }));
      }
    }
    return n;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);

}  // namespace
}  // namespace cowsliphill
