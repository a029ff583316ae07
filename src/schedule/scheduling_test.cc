// Planners and schedulers of a few entry VMs on virtual time, with a network between them that
// delays, loses and repeats, and schedulers that die or fall silent.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>

#include "src/schedule/request_planner.h"
#include "src/schedule/scheduler.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

// Entry VMs in two domains, each with `servers` backend servers of one service.
class SmallFleet {
 public:
  struct Vm {
    Member member;
    std::unique_ptr<RequestPlanner> planner;
    std::unique_ptr<Scheduler> scheduler;
    bool alive = true;
  };
  struct InFlight {
    MonotonicTime due;
    Endpoint from;
    Outgoing out;
  };

  SmallFleet(size_t per_failure_domain, size_t servers, RetrySettings terms) {
    for (const char* failure_domain : {"a", "b"}) {
      for (size_t i = 0; i < per_failure_domain; ++i) {
        Vm vm;
        vm.member.id = EntryVmId(std::string(failure_domain) + std::to_string(i));
        vm.member.failure_domain = FailureDomainId(failure_domain);
        vm.member.peer = {"10.0." + std::string(failure_domain == std::string("a") ? "1" : "2") +
                              "." + std::to_string(i),
                          7200};
        vm.planner = std::make_unique<RequestPlanner>(vm.member.failure_domain, vm.member.peer,
                                                      vms_.size() * 1000, terms);
        vm.scheduler = std::make_unique<Scheduler>(vm.member.peer, vms_.size(), now_);
        vms_.push_back(std::move(vm));
      }
      for (size_t i = 0; i < servers; ++i) {
        BackendServer server;
        server.id = BackendServerId(std::string(failure_domain) + "-s" + std::to_string(i));
        server.service = ServiceId("service");
        server.failure_domain = FailureDomainId(failure_domain);
        server.endpoint = {"10.9.0.1", static_cast<uint16_t>(1000 + servers_.size())};
        server.slots = 3;
        servers_.push_back(server);
      }
    }
    ApplyServers();
    Introduce();
    Advance(milliseconds(200));
    for (const BackendServer& server : servers_) Tell(server.id.Text(), 0, 1.0);
  }

  void ApplyServers() {
    Service service;
    service.id = ServiceId("service");
    for (Vm& vm : vms_) {
      vm.planner->ApplyServers({service}, servers_);
      vm.scheduler->ApplyServers(servers_, now_);
    }
  }
  // Everyone learns who is alive.
  void Introduce() {
    std::vector<Member> alive;
    for (const Vm& vm : vms_) {
      if (vm.alive) alive.push_back(vm.member);
    }
    for (Vm& vm : vms_) {
      vm.planner->SetMembers(alive);
      vm.scheduler->SetMembers(alive, now_);
    }
  }
  // A report to every scheduler, as if it had asked; probes are answered with it from now on.
  void Tell(const std::string& server, uint32_t in_flight, double slowdown) {
    Report report;
    report.in_flight = in_flight;
    report.slowdown = slowdown;
    reports_[BackendServerId(server)] = report;
    for (Vm& vm : vms_) vm.scheduler->OnProbed(BackendServerId(server), report, now_);
  }

  void Advance(Duration step) {
    const MonotonicTime end = now_ + step;
    while (now_ < end) {
      now_ += milliseconds(1);
      Pump();
    }
  }
  void Pump() {
    for (Vm& vm : vms_) {
      if (!vm.alive) continue;
      vm.scheduler->Tick(now_);
      if (answers_probes) AnswerProbes(vm);
      for (ReadyChoice& ready : vm.planner->TakeReady(now_)) ready_.push_back(std::move(ready));
      Collect(vm);
    }
    for (size_t n = queue_.size(); n > 0; --n) {
      const InFlight it = queue_.front();
      queue_.pop_front();
      if (it.due > now_) {
        queue_.push_back(it);
        continue;
      }
      Deliver(it);
    }
    for (Vm& vm : vms_) {
      for (ReadyChoice& ready : vm.planner->TakeReady(now_)) ready_.push_back(std::move(ready));
    }
  }

  Vm& At(size_t i) { return vms_[i]; }
  // The entry VM that schedules for those of the failure domain.
  Vm& SchedulerOf(const std::string& failure_domain) {
    SchedulerOrder order;
    std::vector<Member> alive;
    for (const Vm& vm : vms_) {
      if (vm.alive) alive.push_back(vm.member);
    }
    order.SetMembers(alive);
    const CellId cell =
        CellMap(servers_).CellOf(ServiceId("service"), FailureDomainId(failure_domain));
    const Endpoint first = order.For(cell).front();
    return *std::find_if(vms_.begin(), vms_.end(),
                         [&first](const Vm& vm) { return vm.member.peer == first; });
  }
  // An entry VM of the failure domain that schedules nothing.
  Vm& OtherIn(const std::string& failure_domain) {
    const Endpoint scheduler = SchedulerOf(failure_domain).member.peer;
    return *std::find_if(vms_.begin(), vms_.end(), [&](const Vm& vm) {
      return vm.member.failure_domain.Text() == failure_domain && vm.member.peer != scheduler;
    });
  }

  std::vector<ReadyChoice> TakeReady() { return std::exchange(ready_, {}); }
  MonotonicTime Now() const { return now_; }
  std::vector<BackendServer>& Servers() { return servers_; }

  std::function<bool(const Outgoing&)> lose = [](const Outgoing&) { return false; };
  bool answers_probes = true;
  std::map<std::string, size_t> sent;  // Messages between different entry VMs, by kind.

 private:
  // Without counts: those of the test's own requests are known from their assignments.
  void AnswerProbes(Vm& vm) {
    for (const BackendServerId& server : vm.scheduler->TakeProbes(now_)) {
      const auto it = reports_.find(server);
      if (it == reports_.end()) continue;
      Report report = it->second;
      report.in_flight.reset();
      vm.scheduler->OnProbed(server, report, now_);
    }
  }
  void Collect(Vm& vm) {
    for (Outgoing& out : vm.planner->TakeOutbox()) Send(vm, std::move(out));
    for (Outgoing& out : vm.scheduler->TakeOutbox()) Send(vm, std::move(out));
  }
  void Send(const Vm& vm, Outgoing out) {
    if (out.to != vm.member.peer) {
      ++sent[std::to_string(out.message.index())];
      if (lose(out)) return;
    }
    queue_.push_back({now_, vm.member.peer, std::move(out)});
  }
  void Deliver(const InFlight& it) {
    for (Vm& vm : vms_) {
      if (vm.member.peer != it.out.to || !vm.alive) continue;
      const ScheduleMessage& message = it.out.message;
      if (const auto* ask = std::get_if<ScheduleAsk>(&message)) {
        vm.scheduler->OnAsk(it.from, *ask, now_);
      } else if (const auto* end = std::get_if<ScheduleEnd>(&message)) {
        vm.scheduler->OnEnd(it.from, *end, now_);
      } else if (const auto* news = std::get_if<CellNews>(&message)) {
        vm.scheduler->OnCellNews(*news, now_);
      } else if (const auto* reply = std::get_if<ScheduleReply>(&message)) {
        vm.planner->OnReply(it.from, *reply, now_);
      } else if (const auto* slow = std::get_if<ScheduleSlow>(&message)) {
        vm.planner->OnSlow(*slow, now_);
      }
    }
  }

  MonotonicTime now_{std::chrono::hours(1)};
  std::vector<Vm> vms_;
  std::vector<BackendServer> servers_;
  std::deque<InFlight> queue_;
  std::vector<ReadyChoice> ready_;
  std::map<BackendServerId, Report> reports_;
};

class SchedulingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SchedulingTest);
  CPPUNIT_TEST(Requests_OfAllEntryVms_FillTheServersEvenly);
  CPPUNIT_TEST(Requests_BeyondTheSlots_WaitAndGoAsSlotsComeFree);
  CPPUNIT_TEST(Request_WithADeadScheduler_IsAssignedAllTheSame);
  CPPUNIT_TEST(Request_WithAllSchedulersSilent_IsAssignedHere);
  CPPUNIT_TEST(Request_WithALostDatagram_KeepsItsScheduler);
  CPPUNIT_TEST(Request_WithARepeatedAsk_TakesOneSlot);
  CPPUNIT_TEST(Request_WhoseSchedulerDiesWhileItWaits_IsAssignedByAnother);
  CPPUNIT_TEST(Request_WithoutRoomAtHome_GoesToTheOtherCell);
  CPPUNIT_TEST(Request_Bulk_StaysWhileItIsInTime);
  CPPUNIT_TEST(Request_ToAServerKnownToLeave_IsAskedForAgain);
  CPPUNIT_TEST(Request_ThatIsOver_GivesItsSlotBack);
  CPPUNIT_TEST(Request_OfAnUnknownService_IsRefused);
  CPPUNIT_TEST(Retry_BeyondTheRoutesAttempts_IsRefused);
  CPPUNIT_TEST(Retry_BeyondTheSharedBudget_IsRefused);
  CPPUNIT_TEST(Retry_Always_TakesAnotherServer);
  CPPUNIT_TEST(Hedge_UnsafeWork_IsNeverSentTwice);
  CPPUNIT_TEST(Hedge_OverdueWork_GoesToAFreeServer);
  CPPUNIT_TEST(Hedge_WithoutAFreeServer_ChargesNothing);
  CPPUNIT_TEST(Hedge_WithoutAFreeServer_IsDueAgain);
  CPPUNIT_TEST(SlowStart_ToldByTheScheduler_IsHedgedAtOnce);
  CPPUNIT_TEST(Probes_OfOneCell_ComeFromOneEntryVm);
  CPPUNIT_TEST(Probes_WithoutRequests_AreFew);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { SetUpFleet(4, 6); }

  void Requests_OfAllEntryVms_FillTheServersEvenly() {
    for (int i = 0; i < 24; ++i) Choose(fleet_->At(static_cast<size_t>(i % 8)));
    fleet_->Advance(milliseconds(3));
    std::map<std::string, int> counts;
    for (const SendTo& send : Sent()) ++counts[send.server.Text()];
    CPPUNIT_ASSERT_EQUAL(size_t{12}, counts.size());
    for (const auto& [server, n] : counts) CPPUNIT_ASSERT_EQUAL(2, n);
  }

  void Requests_BeyondTheSlots_WaitAndGoAsSlotsComeFree() {
    auto& vm = fleet_->OtherIn("a");
    const std::vector<SendTo> sent = FillAllSlots(vm);
    const SendTo& home = *std::find_if(
        sent.begin(), sent.end(), [](const SendTo& send) { return send.server.Text()[0] == 'a'; });
    vm.planner->OnEnded(home.ticket, home.server, Answered(), fleet_->Now());
    fleet_->Advance(milliseconds(3));
    const std::vector<SendTo> next = Sent();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, next.size());
    CPPUNIT_ASSERT_EQUAL(home.server.Text(), next[0].server.Text());
  }

  void Request_WithADeadScheduler_IsAssignedAllTheSame() {
    auto& vm = fleet_->OtherIn("a");
    fleet_->SchedulerOf("a").alive = false;
    Choose(vm);
    fleet_->Advance(2 * RequestPlanner::kPatience + milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Sent().size());
    // The next one does not wait for the dead one again.
    Choose(vm);
    fleet_->Advance(milliseconds(4));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Sent().size());
  }

  void Request_WithAllSchedulersSilent_IsAssignedHere() {
    auto& vm = fleet_->OtherIn("a");
    fleet_->lose = [](const Outgoing&) { return true; };
    Choose(vm);
    fleet_->Advance(8 * RequestPlanner::kPatience);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Sent().size());
  }

  void Request_WithALostDatagram_KeepsItsScheduler() {
    auto& vm = fleet_->OtherIn("a");
    bool lost = false;
    fleet_->lose = [&lost](const Outgoing&) { return !std::exchange(lost, true); };
    Choose(vm);
    fleet_->Advance(RequestPlanner::kPatience + milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Sent().size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, vm.planner->SilentSchedulers());
  }

  // The reply was lost: the second ask is told of the same server.
  void Request_WithARepeatedAsk_TakesOneSlot() {
    SetUpFleet(4, 1);
    auto& vm = fleet_->OtherIn("a");
    int lost = 0;
    fleet_->lose = [&lost](const Outgoing& out) {
      return std::holds_alternative<ScheduleReply>(out.message) && lost++ == 0;
    };
    for (int i = 0; i < 6; ++i) Choose(vm);
    fleet_->Advance(RequestPlanner::kPatience + milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(size_t{6}, Sent().size());  // Two servers of three slots: none was lost.
  }

  void Request_WhoseSchedulerDiesWhileItWaits_IsAssignedByAnother() {
    auto& vm = fleet_->OtherIn("a");
    for (const BackendServer& server : fleet_->Servers()) fleet_->Tell(server.id.Text(), 3, 7.0);
    Choose(vm);
    fleet_->Advance(milliseconds(5));
    CPPUNIT_ASSERT(Sent().empty());
    fleet_->SchedulerOf("a").alive = false;
    for (const BackendServer& server : fleet_->Servers()) fleet_->Tell(server.id.Text(), 0, 1.0);
    fleet_->Advance(RequestPlanner::kQueuePatience + 3 * RequestPlanner::kPatience);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Sent().size());
  }

  void Request_WithoutRoomAtHome_GoesToTheOtherCell() {
    for (const BackendServer& server : fleet_->Servers()) {
      if (server.failure_domain.Text() == "a") fleet_->Tell(server.id.Text(), 3, 7.0);
    }
    fleet_->Advance(Scheduler::kNewsInterval + milliseconds(5));
    Choose(fleet_->OtherIn("a"));
    fleet_->Advance(milliseconds(4));
    const std::vector<SendTo> sent = Sent();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, sent.size());
    CPPUNIT_ASSERT_EQUAL('b', sent[0].server.Text()[0]);
  }

  void Request_Bulk_StaysWhileItIsInTime() {
    // A third request at each server of the domain is still in time.
    for (const BackendServer& server : fleet_->Servers()) {
      if (server.failure_domain.Text() == "a") fleet_->Tell(server.id.Text(), 2, 1.0);
    }
    fleet_->Advance(Scheduler::kNewsInterval + milliseconds(5));
    ChoiceRequest bulk = Request();
    bulk.bulk = true;
    fleet_->OtherIn("a").planner->Choose(bulk, fleet_->Now());
    fleet_->Advance(milliseconds(4));
    CPPUNIT_ASSERT_EQUAL('a', Sent().at(0).server.Text()[0]);
  }

  // What this entry VM has acknowledged binds it, also if its scheduler has not heard yet.
  void Request_ToAServerKnownToLeave_IsAskedForAgain() {
    auto& vm = fleet_->OtherIn("a");
    std::vector<BackendServer> servers = fleet_->Servers();
    for (BackendServer& server : servers) {
      if (server.id.Text() != "a-s3") server.state = BackendState::kLeaving;
    }
    Service service;
    service.id = ServiceId("service");
    vm.planner->ApplyServers({service}, servers);
    for (int i = 0; i < 3; ++i) Choose(vm);
    fleet_->Advance(milliseconds(30));
    const std::vector<SendTo> sent = Sent();
    CPPUNIT_ASSERT_EQUAL(size_t{3}, sent.size());
    for (const SendTo& send : sent) CPPUNIT_ASSERT_EQUAL(std::string("a-s3"), send.server.Text());
    CPPUNIT_ASSERT(vm.planner->IsLeaving(BackendServerId("a-s0")));
  }

  void Request_ThatIsOver_GivesItsSlotBack() {
    auto& vm = fleet_->OtherIn("a");
    const std::vector<SendTo> sent = FillAllSlots(vm);
    const SendTo& home = *std::find_if(
        sent.begin(), sent.end(), [](const SendTo& send) { return send.server.Text()[0] == 'a'; });
    // The caller of a request went away: its attempt is cancelled.
    vm.planner->OnEnded(home.ticket, home.server, {AttemptEnd::kCancelled, {}, {}}, fleet_->Now());
    vm.planner->Finish(home.ticket, fleet_->Now());
    fleet_->Advance(milliseconds(3));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Sent().size());
  }

  void Request_OfAnUnknownService_IsRefused() {
    ChoiceRequest request = Request();
    request.service = ServiceId("other");
    const Choice choice = fleet_->At(0).planner->Choose(request, fleet_->Now());
    CPPUNIT_ASSERT(std::get<Refuse>(choice).cause == RefusalCause::kUnknownService);
  }

  void Retry_BeyondTheRoutesAttempts_IsRefused() {
    auto& vm = fleet_->OtherIn("a");
    ChoiceRequest request = Request();
    request.max_attempts = 2;
    vm.planner->Choose(request, fleet_->Now());
    fleet_->Advance(milliseconds(3));
    Fail(vm, Sent().at(0), AttemptEnd::kConnectionLost);
    CPPUNIT_ASSERT(std::holds_alternative<Wait>(vm.planner->Retry(request.ticket, fleet_->Now())));
    fleet_->Advance(milliseconds(3));
    Fail(vm, Sent().at(0), AttemptEnd::kConnectionLost);
    const auto third = vm.planner->Retry(request.ticket, fleet_->Now());
    CPPUNIT_ASSERT(std::get<Refuse>(third).cause == RefusalCause::kRetryBudget);
  }

  void Retry_BeyondTheSharedBudget_IsRefused() {
    RetrySettings terms;
    terms.ratio = 0.2;
    terms.slack = 24;
    SetUpFleet(4, 6, terms);
    auto& vm = fleet_->OtherIn("a");
    int retries = 0;
    const int n = 100;
    for (int i = 0; i < n; ++i) {
      const ChoiceRequest request = Request();
      vm.planner->Choose(request, fleet_->Now());
      fleet_->Advance(milliseconds(3));
      Fail(vm, Sent().at(0), AttemptEnd::kConnectionLost);
      if (std::holds_alternative<Wait>(vm.planner->Retry(request.ticket, fleet_->Now()))) {
        ++retries;
        fleet_->Advance(milliseconds(3));
        const SendTo again = Sent().at(0);
        vm.planner->OnEnded(again.ticket, again.server, Answered(), fleet_->Now());
      }
      vm.planner->Finish(request.ticket, fleet_->Now());
      fleet_->Advance(milliseconds(3));
      Sent();
    }
    // Our part of the budget: a fifth of our requests and an eighth of the slack.
    CPPUNIT_ASSERT(retries > 0);
    CPPUNIT_ASSERT(retries <= n / 5 + 3);
  }

  void Retry_Always_TakesAnotherServer() {
    auto& vm = fleet_->OtherIn("a");
    const ChoiceRequest request = Request();
    vm.planner->Choose(request, fleet_->Now());
    std::set<std::string> seen;
    for (int i = 0; i < 4; ++i) {
      fleet_->Advance(milliseconds(3));
      const SendTo send = Sent().at(0);
      CPPUNIT_ASSERT(seen.insert(send.server.Text()).second);
      Fail(vm, send, AttemptEnd::kShed);
      vm.planner->Retry(request.ticket, fleet_->Now());
    }
  }

  void Hedge_UnsafeWork_IsNeverSentTwice() {
    auto& vm = fleet_->OtherIn("a");
    ChoiceRequest request = Request();
    request.repeatable = false;
    vm.planner->Choose(request, fleet_->Now());
    fleet_->Advance(milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Sent().size());
    CPPUNIT_ASSERT(vm.planner->HedgeDue(fleet_->Now()).empty());
    vm.planner->Hedge(request.ticket, fleet_->Now());
    fleet_->Advance(milliseconds(5));
    CPPUNIT_ASSERT(Sent().empty());
  }

  void Hedge_OverdueWork_GoesToAFreeServer() {
    auto& vm = fleet_->OtherIn("a");
    const ChoiceRequest request = Request();
    vm.planner->Choose(request, fleet_->Now());
    fleet_->Advance(milliseconds(3));
    const SendTo first = Sent().at(0);
    fleet_->Advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, vm.planner->HedgeDue(fleet_->Now()).size());
    vm.planner->Hedge(request.ticket, fleet_->Now());
    fleet_->Advance(milliseconds(3));
    const std::vector<SendTo> second = Sent();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, second.size());
    CPPUNIT_ASSERT(second[0].server != first.server);
    CPPUNIT_ASSERT_EQUAL(request.ticket, second[0].ticket);
  }

  void Hedge_WithoutAFreeServer_ChargesNothing() {
    RetrySettings terms;
    terms.ratio = 0;
    terms.slack = 12;  // One further attempt for each entry VM.
    SetUpFleet(4, 1, terms);
    auto& vm = fleet_->OtherIn("a");
    const ChoiceRequest request = Request();
    vm.planner->Choose(request, fleet_->Now());
    for (int i = 0; i < 5; ++i) Choose(vm);
    fleet_->Advance(milliseconds(3));
    std::vector<SendTo> sent = Sent();
    CPPUNIT_ASSERT_EQUAL(size_t{6}, sent.size());
    vm.planner->Hedge(request.ticket, fleet_->Now());
    fleet_->Advance(milliseconds(3));
    CPPUNIT_ASSERT(Sent().empty());
    // The one that is affordable is still there for the attempt that fails.
    const auto mine = std::find_if(sent.begin(), sent.end(), [&request](const SendTo& send) {
      return send.ticket == request.ticket;
    });
    Fail(vm, *mine, AttemptEnd::kConnectionLost);
    CPPUNIT_ASSERT(std::holds_alternative<Wait>(vm.planner->Retry(request.ticket, fleet_->Now())));
  }

  // A server hangs while all others are busy for a moment.
  void Hedge_WithoutAFreeServer_IsDueAgain() {
    SetUpFleet(4, 1);
    auto& vm = fleet_->OtherIn("a");
    const ChoiceRequest request = Request();
    vm.planner->Choose(request, fleet_->Now());
    fleet_->Advance(milliseconds(3));
    const SendTo hung = Sent().at(0);
    for (int i = 0; i < 5; ++i) Choose(vm);
    fleet_->Advance(milliseconds(3));
    const std::vector<SendTo> others = Sent();
    CPPUNIT_ASSERT_EQUAL(size_t{5}, others.size());
    fleet_->answers_probes = false;
    vm.planner->Hedge(request.ticket, fleet_->Now());
    fleet_->Advance(RequestPlanner::kHedgeAgain + milliseconds(5));
    CPPUNIT_ASSERT(Sent().empty());
    const std::vector<Ticket> due = vm.planner->HedgeDue(fleet_->Now());
    CPPUNIT_ASSERT(std::find(due.begin(), due.end(), request.ticket) != due.end());
    for (const SendTo& send : others) {
      if (send.server != hung.server) Fail(vm, send, AttemptEnd::kConnectionLost);
    }
    fleet_->Advance(milliseconds(3));
    vm.planner->Hedge(request.ticket, fleet_->Now());
    fleet_->Advance(milliseconds(3));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Sent().size());
  }

  void SlowStart_ToldByTheScheduler_IsHedgedAtOnce() {
    auto& vm = fleet_->OtherIn("a");
    fleet_->Advance(milliseconds(20));
    const ChoiceRequest request = Request();
    vm.planner->Choose(request, fleet_->Now());
    fleet_->Advance(milliseconds(3));
    const SendTo first = Sent().at(0);
    CPPUNIT_ASSERT(vm.planner->HedgeDue(fleet_->Now()).empty());
    // The report comes late: the host had turned slow before.
    Report slow;
    slow.in_flight = 1;
    slow.slowdown = 7.0;
    auto& scheduler = *fleet_->SchedulerOf("a").scheduler;
    scheduler.OnProbed(first.server, slow, fleet_->Now() - milliseconds(4));
    fleet_->Advance(milliseconds(3));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, vm.planner->HedgeDue(fleet_->Now()).size());
  }

  void Probes_OfOneCell_ComeFromOneEntryVm() {
    fleet_->answers_probes = false;
    for (int i = 0; i < 8; ++i) Choose(fleet_->At(static_cast<size_t>(i)));
    fleet_->Advance(milliseconds(600));
    std::map<std::string, size_t> probers;
    for (size_t i = 0; i < 8; ++i) {
      for (const BackendServerId& server : fleet_->At(i).scheduler->TakeProbes(fleet_->Now())) {
        ++probers[server.Text()];
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{12}, probers.size());
    for (const auto& [server, n] : probers) CPPUNIT_ASSERT_EQUAL(size_t{1}, n);
  }

  void Probes_WithoutRequests_AreFew() {
    fleet_->answers_probes = false;
    size_t probes = 0;
    for (int ms = 0; ms < 5000; ms += 5) {
      fleet_->Advance(milliseconds(5));
      for (size_t i = 0; i < 8; ++i) {
        Scheduler& scheduler = *fleet_->At(i).scheduler;
        for (const BackendServerId& server : scheduler.TakeProbes(fleet_->Now())) {
          ++probes;
          scheduler.OnProbed(server, Report(), fleet_->Now());
        }
      }
    }
    CPPUNIT_ASSERT(probes <= size_t{12} * 11);  // Two a second for each server.
  }

 private:
  static RetrySettings Plenty() {
    RetrySettings terms;
    terms.slack = 10000;
    return terms;
  }
  void SetUpFleet(size_t per_failure_domain, size_t servers, RetrySettings terms = Plenty()) {
    fleet_ = std::make_unique<SmallFleet>(per_failure_domain, servers, terms);
  }
  ChoiceRequest Request() {
    ChoiceRequest request;
    request.ticket = next_ticket_++;
    request.service = ServiceId("service");
    request.deadline = fleet_->Now() + milliseconds(2000);
    request.target = fleet_->Now() + milliseconds(400);
    request.target_latency = milliseconds(400);
    request.repeatable = true;
    request.rank = 1;
    return request;
  }
  void Choose(SmallFleet::Vm& vm) {
    CPPUNIT_ASSERT(std::holds_alternative<Wait>(vm.planner->Choose(Request(), fleet_->Now())));
  }
  // More requests than all slots of both domains, until no more of them go out.
  std::vector<SendTo> FillAllSlots(SmallFleet::Vm& vm) {
    fleet_->Advance(Scheduler::kNewsInterval + milliseconds(5));
    for (int i = 0; i < 40; ++i) Choose(vm);
    fleet_->Advance(milliseconds(8));
    std::vector<SendTo> sent = Sent();
    // 18 here, and the 18 there but for the last that the other cell had told of.
    CPPUNIT_ASSERT(sent.size() >= 34 && sent.size() <= 36);
    return sent;
  }
  std::vector<SendTo> Sent() {
    std::vector<SendTo> sent;
    for (const ReadyChoice& ready : fleet_->TakeReady()) {
      if (const auto* send = std::get_if<SendTo>(&ready)) sent.push_back(*send);
    }
    return sent;
  }
  static AttemptResult Answered() {
    return {AttemptEnd::kAnswered, milliseconds(100), std::nullopt};
  }
  void Fail(SmallFleet::Vm& vm, const SendTo& send, AttemptEnd end) {
    vm.planner->OnEnded(send.ticket, send.server, {end, milliseconds(10), std::nullopt},
                        fleet_->Now());
  }

  std::unique_ptr<SmallFleet> fleet_;
  Ticket next_ticket_ = 1;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulingTest);

}  // namespace
}  // namespace cowsliphill
