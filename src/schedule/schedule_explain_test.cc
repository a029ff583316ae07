// Explanations of decisions: they are those that the next request gets, and they change nothing.

#include "src/schedule/schedule_explain.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <random>
#include <set>

#include "tests/schedule_fleet.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

class ScheduleExplainTest : public ScheduleFixture {
  CPPUNIT_TEST_SUITE(ScheduleExplainTest);
  CPPUNIT_TEST(Explanations_BetweenRequests_ChangeNoLaterDecision);
  CPPUNIT_TEST(Explanation_AtTheScheduler_IsTheNextChoice);
  CPPUNIT_TEST(Explanation_ElsewhereInTheDomain_NamesTheScheduler);
  CPPUNIT_TEST(Explanation_OfAFullCell_NamesTheOtherOne);
  CPPUNIT_TEST(Explanation_WithAllDomainsEvacuated_IsARefusal);
  CPPUNIT_TEST_SUITE_END();

 public:
  // State, tokens of limits, random numbers and retry budgets: a difference in any of them would
  // lead to other servers, refusals, hedges or messages later.
  void Explanations_BetweenRequests_ChangeNoLaterDecision() {
    const std::string without = RunRandomly(false);
    CPPUNIT_ASSERT(without.size() > 1000);
    CPPUNIT_ASSERT_EQUAL(without, RunRandomly(true));
  }

  void Explanation_AtTheScheduler_IsTheNextChoice() {
    auto& vm = fleet_->PrimaryOf("a");
    for (int i = 0; i < 12; ++i) {
      const ChoiceRequest request = Request();
      const Explanation explanation = Explain(vm, request);
      CPPUNIT_ASSERT(explanation.decides_here && explanation.chosen);
      CPPUNIT_ASSERT_EQUAL(size_t{12}, explanation.decision->servers.size());
      vm.planner->Choose(request, fleet_->Now());
      fleet_->Step();
      fleet_->Step();
      CPPUNIT_ASSERT_EQUAL(Sent().at(0).server.Text(), explanation.chosen->server.Text());
    }
  }

  void Explanation_ElsewhereInTheDomain_NamesTheScheduler() {
    auto& vm = fleet_->BackupIn("a");
    auto& primary = fleet_->PrimaryOf("a");
    const ChoiceRequest request = Request();
    const Explanation explanation = Explain(vm, request);
    CPPUNIT_ASSERT(!explanation.decides_here && !explanation.chosen);
    CPPUNIT_ASSERT(explanation.scheduler == primary.member.peer);
    const ScheduleExplanation there =
        ExplainFor(*primary.planner, *primary.scheduler, vm.member.peer, vm.member.failure_domain,
                   request, fleet_->Now());
    CPPUNIT_ASSERT(there.reply.kind == ScheduleReply::Kind::kAssigned);
    vm.planner->Choose(request, fleet_->Now());
    fleet_->Advance(milliseconds(4));
    CPPUNIT_ASSERT_EQUAL(there.reply.server, HashName(Sent().at(0).server.Text()));
  }

  void Explanation_OfAFullCell_NamesTheOtherOne() {
    auto& vm = fleet_->PrimaryOf("a");
    fleet_->Advance(Scheduler::kCellUpdateInterval + milliseconds(5));
    for (int i = 0; i < 18; ++i) Choose(vm);
    fleet_->Advance(milliseconds(5));
    const Explanation explanation = Explain(vm, Request());
    CPPUNIT_ASSERT(!explanation.chosen && explanation.decision->passed_on_to);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), explanation.decision->passed_on_domain);
    for (const ServerExplanation& it : explanation.decision->servers) {
      const bool full = it.failure_domain.Text() == "a";
      CPPUNIT_ASSERT_EQUAL(full, it.in_cell);
      if (full) CPPUNIT_ASSERT_EQUAL(std::string("no free slot"), it.state);
    }
  }

  void Explanation_WithAllDomainsEvacuated_IsARefusal() {
    auto& vm = fleet_->PrimaryOf("a");
    vm.planner->SetEvacuated({FailureDomainId("a"), FailureDomainId("b")}, fleet_->Now());
    const Explanation explanation = Explain(vm, Request());
    CPPUNIT_ASSERT(explanation.refused && !explanation.chosen);
    CPPUNIT_ASSERT(explanation.refused->cause == RefusalCause::kNoBackendServer);
    // The request was not refused in earnest.
    CPPUNIT_ASSERT(!vm.planner->HasReady());
  }

 private:
  Explanation Explain(TestFleet::Vm& vm, const ChoiceRequest& request) {
    return ExplainRequest(*vm.planner, *vm.scheduler, vm.member.peer, request, fleet_->Now());
  }
  // Runs the same requests each time, beyond capacity now and then, with limits of servers, retries
  // and hedges. Returns all that was decided.
  std::string RunRandomly(bool explain) {
    RetrySettings settings;
    settings.slack = 40;
    SetUpFleet(4, 6, settings);
    next_ticket_ = 1;
    std::mt19937 random(7);
    std::string log;
    std::vector<std::pair<size_t, SendTo>> open;
    std::map<Ticket, size_t> vm_of;
    std::set<Ticket> finished;
    for (int step = 0; step < 1500; ++step) {
      if (explain) {
        for (size_t i = 0; i < 8; ++i) Explain(fleet_->At(i), Request());
        next_ticket_ -= 8;
      }
      const size_t i = random() % 8;
      const ChoiceRequest request = Request();
      vm_of[request.ticket] = i;
      fleet_->At(i).planner->Choose(request, fleet_->Now());
      fleet_->Advance(milliseconds(random() % 4));
      for (const ReadyChoice& ready : fleet_->TakeReady()) {
        const auto* send = std::get_if<SendTo>(&ready);
        if (send == nullptr) {
          const Refuse& refuse = std::get<Refuse>(ready);
          log += fmt::format("{} refused {} {}\n", refuse.ticket, static_cast<int>(refuse.cause),
                             refuse.retry_after.count());
          continue;
        }
        log += fmt::format("{} {} {}\n", send->ticket, send->server.Text(), send->reason);
        open.emplace_back(vm_of.at(send->ticket), *send);
        if (random() % 9 == 0) {
          fleet_->At(open.back().first).planner->Hedge(send->ticket, fleet_->Now());
        }
      }
      while (open.size() > 30) {
        const size_t n = random() % open.size();
        const auto [vm, send] = open[n];
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(n));
        AttemptResult result = Answered();
        if (random() % 40 == 0) result.limit = 20;
        const bool lost = random() % 20 == 0 && finished.count(send.ticket) == 0;
        if (lost) result = {AttemptEnd::kConnectionLost, milliseconds(10), std::nullopt};
        RequestPlanner& planner = *fleet_->At(vm).planner;
        planner.OnEnded(send.ticket, send.server, result, fleet_->Now());
        if (!lost) {
          planner.Finish(send.ticket, fleet_->Now());
          finished.insert(send.ticket);
          continue;
        }
        const Choice retry = planner.Retry(send.ticket, fleet_->Now());
        log += fmt::format("{} retry {}\n", send.ticket, retry.index());
      }
    }
    for (const auto& [type, n] : fleet_->sent) log += fmt::format("messages {} {}\n", type, n);
    return log;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScheduleExplainTest);

}  // namespace
}  // namespace cowsliphill
