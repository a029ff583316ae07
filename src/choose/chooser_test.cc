// Tests of Chooser, RetryBudget and ReportTrust on virtual time.

#include "src/choose/chooser.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ChooserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChooserTest);
  CPPUNIT_TEST(Choose_UnknownService_Refused);
  CPPUNIT_TEST(Choose_PastDeadline_RefusedAtOnce);
  CPPUNIT_TEST(Choose_QueueTooLongForDeadline_RefusedWithRetryAfter);
  CPPUNIT_TEST(Choose_RoutineSaturated_EmergencySentAtOnceToReservedServer);
  CPPUNIT_TEST(Choose_RoutineOnly_NeverUsesReservedServer);
  CPPUNIT_TEST(Choose_ReservedServerLeaving_NextServerReserved);
  CPPUNIT_TEST(OnReport_ReservedServerFull_MoreReserved);
  CPPUNIT_TEST(TakeReady_SlotFreed_SentInClassOrder);
  CPPUNIT_TEST(TakeReady_QueuedTooLong_RefusedBeforeDeadline);
  CPPUNIT_TEST(OnLeaving_AnySource_NoNewWorkAndMarkKept);
  CPPUNIT_TEST(OnReport_ServingLongAfterDraining_MarkCleared);
  CPPUNIT_TEST(OnEnded_ServerFailsFast_Ejected);
  CPPUNIT_TEST(OnEnded_AllFail_BoundedShareEjected);
  CPPUNIT_TEST(OnEnded_Straggler_EjectedThenClosedAfterTrials);
  CPPUNIT_TEST(OnEnded_Shed_PausedAndNotRetriedThere);
  CPPUNIT_TEST(Apply_ServerRemains_StateKept);
  CPPUNIT_TEST(Apply_ServerRemovedAndBack_EndedRequestNotCounted);
  CPPUNIT_TEST(Apply_ServerAdded_RampedUp);
  CPPUNIT_TEST(Retry_BudgetSpent_Refused);
  CPPUNIT_TEST(Retry_OtherUsable_NotTheSameServer);
  CPPUNIT_TEST(Resume_EachAttemptMakesProgress_Sent);
  CPPUNIT_TEST(Resume_NoAttemptMakesProgress_LimitedLikeRetry);
  CPPUNIT_TEST(Resume_PastDeadline_Sent);
  CPPUNIT_TEST(RetryBudget_TwentyFiveLevels_AmplificationBounded);
  CPPUNIT_TEST(ReportTrust_LatencyFollowsReports_TrustKept);
  CPPUNIT_TEST(ReportTrust_LatencyUnrelatedToReports_TrustLost);
  CPPUNIT_TEST(Hedge_SlowRepeatable_SentOnceToOtherServer);
  CPPUNIT_TEST(RecentDecisions_AfterChoice_ListsCandidates);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Build(20); }

  void Choose_UnknownService_Refused() {
    ChoiceRequest request = NewRequest(RequestClass::kRoutine);
    request.service = ServiceId("other");
    const Choice choice = chooser_->Choose(request, now_);
    CPPUNIT_ASSERT(std::get<Refuse>(choice).cause == RefusalCause::kUnknownService);
  }

  void Choose_PastDeadline_RefusedAtOnce() {
    ChoiceRequest request = NewRequest(RequestClass::kRoutine);
    request.deadline = now_;
    const Choice choice = chooser_->Choose(request, now_);
    CPPUNIT_ASSERT(std::get<Refuse>(choice).cause == RefusalCause::kDeadline);
  }

  void Choose_QueueTooLongForDeadline_RefusedWithRetryAfter() {
    RecordTypicalLatencies();
    Saturate();
    Choice choice = Wait{};
    int waiting = 0;
    while (std::holds_alternative<Wait>(choice) && ++waiting < 10) {
      choice = Choose(RequestClass::kRoutine, milliseconds(15));
    }
    CPPUNIT_ASSERT(std::holds_alternative<Refuse>(choice));
    CPPUNIT_ASSERT(waiting > 1);
    CPPUNIT_ASSERT(std::get<Refuse>(choice).cause == RefusalCause::kOverload);
    CPPUNIT_ASSERT(std::get<Refuse>(choice).retry_after >= milliseconds(50));
  }

  void Choose_RoutineSaturated_EmergencySentAtOnceToReservedServer() {
    const BackendServerId reserved = ReservedServer();
    RecordTypicalLatencies();
    Saturate();
    CPPUNIT_ASSERT(std::holds_alternative<Wait>(Choose(RequestClass::kRoutine)));
    const Choice choice = Choose(RequestClass::kEmergency);
    CPPUNIT_ASSERT(std::holds_alternative<SendTo>(choice));
    CPPUNIT_ASSERT(std::get<SendTo>(choice).server == reserved);
  }

  void Choose_RoutineOnly_NeverUsesReservedServer() {
    const BackendServerId reserved = ReservedServer();
    for (int i = 0; i < 2000; ++i) {
      const Choice choice = Choose(i % 4 == 0 ? RequestClass::kBulk : RequestClass::kRoutine);
      CPPUNIT_ASSERT(std::holds_alternative<SendTo>(choice));
      CPPUNIT_ASSERT(!(std::get<SendTo>(choice).server == reserved));
      End(std::get<SendTo>(choice), AttemptEnd::kAnswered);
    }
  }

  void Choose_ReservedServerLeaving_NextServerReserved() {
    const BackendServerId reserved = ReservedServer();
    chooser_->OnLeaving(reserved, LeavingSource::kVmList, now_);
    const BackendServerId next = ReservedServer();
    CPPUNIT_ASSERT(!(next == reserved));
    for (int i = 0; i < 500; ++i) {
      const auto sent = std::get<SendTo>(Choose(RequestClass::kRoutine));
      CPPUNIT_ASSERT(!(sent.server == next) && !(sent.server == reserved));
      End(sent, AttemptEnd::kAnswered);
    }
  }

  void OnReport_ReservedServerFull_MoreReserved() {
    const BackendServerId first = ReservedServer();
    Report full;
    full.in_flight = 6;
    for (int i = 0; i < 100; ++i) chooser_->OnReport(first, full, now_ += milliseconds(20));
    std::set<std::string> reserved;
    for (int i = 0; i < 100; ++i) {
      const auto sent = std::get<SendTo>(Choose(RequestClass::kEmergency));
      reserved.insert(sent.server.Text());
      End(sent, AttemptEnd::kAnswered);
    }
    for (int i = 0; i < 500; ++i) {
      const auto sent = std::get<SendTo>(Choose(RequestClass::kRoutine));
      reserved.erase(sent.server.Text());
      End(sent, AttemptEnd::kAnswered);
    }
    CPPUNIT_ASSERT(reserved.size() >= 2 && reserved.size() <= 5);
  }

  void TakeReady_SlotFreed_SentInClassOrder() {
    RecordTypicalLatencies();
    const std::vector<SendTo> sent = Saturate();
    const Ticket bulk = next_ticket_;
    CPPUNIT_ASSERT(std::holds_alternative<Wait>(Choose(RequestClass::kBulk)));
    const Ticket routine = next_ticket_;
    CPPUNIT_ASSERT(std::holds_alternative<Wait>(Choose(RequestClass::kRoutine)));
    for (size_t i = 0; i < sent.size(); ++i) {
      End(sent[i], AttemptEnd::kAnswered);
      const auto ready = chooser_->TakeReady(now_);
      if (ready.empty()) continue;
      CPPUNIT_ASSERT_EQUAL(routine, std::get<SendTo>(ready.front()).ticket);
      return;
    }
    CPPUNIT_FAIL("neither bulk request " + std::to_string(bulk) + " nor the routine one was sent");
  }

  void TakeReady_QueuedTooLong_RefusedBeforeDeadline() {
    RecordTypicalLatencies();
    Saturate();
    const Ticket ticket = next_ticket_;
    CPPUNIT_ASSERT(std::holds_alternative<Wait>(Choose(RequestClass::kRoutine, milliseconds(40))));
    CPPUNIT_ASSERT(chooser_->TakeReady(now_).empty());
    const MonotonicTime deadline = now_ + milliseconds(40);
    while (now_ < deadline) {
      const auto wake = chooser_->NextWake();
      CPPUNIT_ASSERT(wake.has_value());
      now_ = std::max(now_, *wake);
      chooser_->HedgeDue(now_);
      const auto ready = chooser_->TakeReady(now_);
      if (ready.empty()) continue;
      CPPUNIT_ASSERT_EQUAL(ticket, std::get<Refuse>(ready.front()).ticket);
      CPPUNIT_ASSERT(now_ < deadline);
      return;
    }
    CPPUNIT_FAIL("the waiting request was not refused before its deadline");
  }

  void OnLeaving_AnySource_NoNewWorkAndMarkKept() {
    const LeavingSource sources[] = {LeavingSource::kAnswer, LeavingSource::kProbe,
                                     LeavingSource::kVmList, LeavingSource::kManifest,
                                     LeavingSource::kPeer};
    uint32_t n = 0;
    for (const LeavingSource source : sources) chooser_->OnLeaving(Id(n++), source, now_);
    Report serving;
    for (uint32_t i = 0; i < n; ++i) chooser_->OnReport(Id(i), serving, now_ + seconds(5));
    for (int i = 0; i < 500; ++i) {
      const auto sent = std::get<SendTo>(Choose(RequestClass::kRoutine));
      for (uint32_t k = 0; k < n; ++k) CPPUNIT_ASSERT(!(sent.server == Id(k)));
      End(sent, AttemptEnd::kAnswered);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, chooser_->TakeNewlyLeaving().size());
  }

  void OnReport_ServingLongAfterDraining_MarkCleared() {
    Report report;
    report.draining = true;
    chooser_->OnReport(Id(3), report, now_);
    report.draining = false;
    now_ += seconds(31);
    chooser_->OnReport(Id(3), report, now_);
    CPPUNIT_ASSERT(ViewOf(Id(3)).leaving);
    chooser_->OnReport(Id(3), report, now_ + seconds(1));
    CPPUNIT_ASSERT(!ViewOf(Id(3)).leaving);
  }

  void OnEnded_ServerFailsFast_Ejected() {
    const BackendServerId faulty = UnreservedServer();
    int failed = 0;
    for (int i = 0; i < 1000; ++i) {
      const auto sent = std::get<SendTo>(Choose(RequestClass::kRoutine, seconds(2), false));
      const bool fails = sent.server == faulty;
      failed += fails ? 1 : 0;
      now_ += milliseconds(10);
      End(sent, fails ? AttemptEnd::kServerError : AttemptEnd::kAnswered,
          fails ? milliseconds(1) : milliseconds(10));
    }
    CPPUNIT_ASSERT(failed <= 5);
    CPPUNIT_ASSERT_EQUAL(std::string("open"), ViewOf(faulty).circuit);
  }

  void OnEnded_AllFail_BoundedShareEjected() {
    for (int i = 0; i < 2000; ++i) {
      const Choice choice = Choose(RequestClass::kRoutine, seconds(2), false);
      if (const auto* sent = std::get_if<SendTo>(&choice)) End(*sent, AttemptEnd::kServerError);
    }
    size_t open = 0;
    for (const ServerView& view : chooser_->View(now_)) open += view.circuit == "open" ? 1 : 0;
    CPPUNIT_ASSERT(open > 0 && open <= 7);
  }

  void OnEnded_Straggler_EjectedThenClosedAfterTrials() {
    const BackendServerId faulty = UnreservedServer();
    RecordTypicalLatencies();
    for (int i = 0; i < 500; ++i) {
      const auto sent = std::get<SendTo>(Choose(RequestClass::kRoutine));
      const bool slow = sent.server == faulty;
      now_ += milliseconds(20);
      End(sent, AttemptEnd::kAnswered, slow ? milliseconds(100) : milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("open"), ViewOf(faulty).circuit);
    now_ += seconds(5);
    for (int i = 0; i < 200; ++i) {
      End(std::get<SendTo>(Choose(RequestClass::kRoutine)), AttemptEnd::kAnswered);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("closed"), ViewOf(faulty).circuit);
  }

  void OnEnded_Shed_PausedAndNotRetriedThere() {
    Build(2);
    const auto first = std::get<SendTo>(Choose(RequestClass::kRoutine));
    EndAttempt(first, AttemptEnd::kShed);
    const auto second = std::get<SendTo>(chooser_->Retry(first.ticket, now_));
    CPPUNIT_ASSERT(!(second.server == first.server));
    EndAttempt(second, AttemptEnd::kShed);
    CPPUNIT_ASSERT(std::holds_alternative<Refuse>(chooser_->Retry(first.ticket, now_)));
  }

  void Apply_ServerRemains_StateKept() {
    const auto sent = std::get<SendTo>(Choose(RequestClass::kRoutine));
    chooser_->OnLeaving(Id(5), LeavingSource::kVmList, now_);
    ++manifest_.revision;
    manifest_.backend_servers.pop_back();
    chooser_->Apply(manifest_, now_);
    CPPUNIT_ASSERT(ViewOf(Id(5)).leaving);
    if (!(sent.server == Id(19))) CPPUNIT_ASSERT_EQUAL(1U, ViewOf(sent.server).in_flight);
  }

  void Apply_ServerRemovedAndBack_EndedRequestNotCounted() {
    const auto sent = std::get<SendTo>(Choose(RequestClass::kRoutine));
    const Manifest before = manifest_;
    manifest_.backend_servers.clear();
    chooser_->Apply(manifest_, now_);
    CPPUNIT_ASSERT(std::holds_alternative<Refuse>(Choose(RequestClass::kRoutine)));
    End(sent, AttemptEnd::kAnswered);
    chooser_->Apply(before, now_);
    CPPUNIT_ASSERT_EQUAL(0U, ViewOf(sent.server).in_flight);
  }

  void Apply_ServerAdded_RampedUp() {
    BackendServer added = manifest_.backend_servers.front();
    added.id = BackendServerId("new");
    manifest_.backend_servers.push_back(added);
    chooser_->Apply(manifest_, now_);
    const int sent_during_ramp = CountSentTo(added.id);
    now_ += seconds(11);
    const int sent_after_ramp = CountSentTo(added.id);
    CPPUNIT_ASSERT(sent_during_ramp * 3 < sent_after_ramp);
  }

  void Retry_BudgetSpent_Refused() {
    int retried = 0;
    for (int i = 0; i < 1000; ++i) {
      const auto sent = std::get<SendTo>(Choose(RequestClass::kRoutine));
      EndAttempt(sent, AttemptEnd::kConnectFailed);
      const Choice again = chooser_->Retry(sent.ticket, now_);
      if (const auto* second = std::get_if<SendTo>(&again)) {
        ++retried;
        EndAttempt(*second, AttemptEnd::kAnswered);
      }
      chooser_->Finish(sent.ticket, now_);
    }
    CPPUNIT_ASSERT(retried > 0);
    CPPUNIT_ASSERT(retried <= 103);  // 10% of the requests plus the tokens granted at the start.
  }

  void Retry_OtherUsable_NotTheSameServer() {
    Build(2);
    const auto first = std::get<SendTo>(Choose(RequestClass::kRoutine));
    EndAttempt(first, AttemptEnd::kConnectFailed);
    const auto second = std::get<SendTo>(chooser_->Retry(first.ticket, now_));
    CPPUNIT_ASSERT(!(second.server == first.server));
    CPPUNIT_ASSERT_EQUAL(2U, second.attempt);
  }

  // Returns how often an answer may be resumed whose transfer breaks off each time, up to 100.
  int CountResumed(ResumeProgress progress) {
    auto sent = std::get<SendTo>(Choose(RequestClass::kRoutine));
    for (int n = 0; n < 100; ++n) {
      EndAttempt(sent, AttemptEnd::kConnectionLost);
      const Choice again = chooser_->Resume(sent.ticket, progress, now_);
      if (!std::holds_alternative<SendTo>(again)) return n;
      sent = std::get<SendTo>(again);
    }
    return 100;
  }

  void Resume_EachAttemptMakesProgress_Sent() {
    CPPUNIT_ASSERT_EQUAL(64 + 2, CountResumed(ResumeProgress::kSome));
  }

  void Resume_NoAttemptMakesProgress_LimitedLikeRetry() {
    CPPUNIT_ASSERT_EQUAL(2, CountResumed(ResumeProgress::kNone));
  }

  void Resume_PastDeadline_Sent() {
    const auto sent = std::get<SendTo>(Choose(RequestClass::kRoutine));
    now_ += std::chrono::hours(1);
    EndAttempt(sent, AttemptEnd::kConnectionLost);
    const Choice again = chooser_->Resume(sent.ticket, ResumeProgress::kSome, now_);
    CPPUNIT_ASSERT(std::holds_alternative<SendTo>(again));
  }

  void RetryBudget_TwentyFiveLevels_AmplificationBounded() {
    const double share = 0.1;
    double amplification = 1.0;
    for (uint32_t depth = 0; depth <= 40; ++depth) {
      RetryBudget budget;
      int extra = 0;
      for (int i = 0; i < 100000; ++i) {
        budget.OnFirstAttempt(share, depth);
        extra += budget.TryConsume() ? 1 : 0;
      }
      amplification *= 1.0 + extra / 100000.0;
    }
    // At most e^share by the rule of RetryBudget, plus the tokens that are granted at the start.
    CPPUNIT_ASSERT(amplification < 1.11);
  }

  void ReportTrust_LatencyFollowsReports_TrustKept() {
    ReportTrust trust;
    for (int i = 0; i < 5000; ++i) trust.OnAnswer(i % 3, 1.0 + 0.2 * (i % 3) + 0.5 * (i % 2));
    CPPUNIT_ASSERT(trust.Value() > 0.9);
  }

  void ReportTrust_LatencyUnrelatedToReports_TrustLost() {
    ReportTrust trust;
    for (int i = 0; i < 5000; ++i) trust.OnAnswer(i % 3, 1.0 + 0.5 * (i % 2));
    CPPUNIT_ASSERT(trust.Value() < 0.2);
  }

  void Hedge_SlowRepeatable_SentOnceToOtherServer() {
    RecordTypicalLatencies();
    const auto sent = std::get<SendTo>(Choose(RequestClass::kRoutine));
    CPPUNIT_ASSERT(chooser_->HedgeDue(now_ + milliseconds(1)).empty());
    now_ = *chooser_->NextWake();
    std::vector<Ticket> due = chooser_->HedgeDue(now_);
    while (due.empty()) {
      now_ = *chooser_->NextWake();
      due = chooser_->HedgeDue(now_);
    }
    CPPUNIT_ASSERT_EQUAL(sent.ticket, due.front());
    const auto hedge = chooser_->Hedge(sent.ticket, now_);
    CPPUNIT_ASSERT(hedge && !(hedge->server == sent.server));
    CPPUNIT_ASSERT(!chooser_->Hedge(sent.ticket, now_));
    EndAttempt(*hedge, AttemptEnd::kAnswered);
    chooser_->Finish(sent.ticket, now_);
    EndAttempt(sent, AttemptEnd::kCancelled);
    CPPUNIT_ASSERT_EQUAL(0U, ViewOf(sent.server).in_flight);
  }

  void RecentDecisions_AfterChoice_ListsCandidates() {
    const auto sent = std::get<SendTo>(Choose(RequestClass::kRoutine));
    const auto recent = chooser_->RecentDecisions(service_id_);
    CPPUNIT_ASSERT_EQUAL(sent.server.Text(), recent.back().chosen);
    CPPUNIT_ASSERT(recent.back().reason.find(sent.server.Text()) != std::string::npos);
  }

 private:
  static BackendServerId Id(uint32_t i) { return BackendServerId("b" + std::to_string(i)); }

  void Build(uint32_t servers) {
    manifest_ = Manifest();
    manifest_.revision = 1;
    Service service;
    service.id = service_id_;
    service.emergency_tenants = {TenantId("crew")};
    manifest_.services.push_back(service);
    for (uint32_t i = 0; i < servers; ++i) {
      BackendServer server;
      server.id = Id(i);
      server.service = service_id_;
      server.endpoint = Endpoint{"127.0.0.1", static_cast<uint16_t>(9000 + i)};
      manifest_.backend_servers.push_back(server);
    }
    chooser_ = std::make_unique<Chooser>(FailureDomainId("p1"), 7);
    chooser_->Apply(manifest_, now_);
  }

  ChoiceRequest NewRequest(RequestClass request_class) {
    ChoiceRequest request;
    request.ticket = next_ticket_++;
    request.service = service_id_;
    request.request_class = request_class;
    request.deadline = now_ + seconds(2);
    request.repeatable = true;
    return request;
  }

  Choice Choose(RequestClass request_class, Duration deadline = seconds(2),
                bool repeatable = true) {
    ChoiceRequest request = NewRequest(request_class);
    request.deadline = now_ + deadline;
    request.repeatable = repeatable;
    return chooser_->Choose(request, now_);
  }

  // Ends the attempt but keeps the request.
  void EndAttempt(const SendTo& sent, AttemptEnd end, Duration latency = milliseconds(10)) {
    AttemptResult result;
    result.end = end;
    result.latency = latency;
    chooser_->OnEnded(sent.ticket, sent.server, result, now_);
  }
  // Ends the attempt and the request.
  void End(const SendTo& sent, AttemptEnd end, Duration latency = milliseconds(10)) {
    EndAttempt(sent, end, latency);
    chooser_->Finish(sent.ticket, now_);
  }

  // Completes requests with latencies of 10 ms, so that the mean latencies are known.
  void RecordTypicalLatencies() {
    for (int i = 0; i < 100; ++i) {
      const RequestClass request_class = i % 2 == 0 ? RequestClass::kRoutine : RequestClass::kBulk;
      End(std::get<SendTo>(Choose(request_class)), AttemptEnd::kAnswered);
    }
  }

  // Sends routine requests until one has to wait, and finishes that one.
  std::vector<SendTo> Saturate() {
    std::vector<SendTo> sent;
    while (true) {
      const Ticket ticket = next_ticket_;
      const Choice choice = Choose(RequestClass::kRoutine, seconds(2), false);
      if (!std::holds_alternative<SendTo>(choice)) {
        chooser_->Finish(ticket, now_);
        return sent;
      }
      sent.push_back(std::get<SendTo>(choice));
    }
  }

  // Returns the server that gets an emergency while all servers are idle.
  BackendServerId ReservedServer() {
    const auto sent = std::get<SendTo>(Choose(RequestClass::kEmergency));
    End(sent, AttemptEnd::kAnswered);
    return sent.server;
  }

  BackendServerId UnreservedServer() { return ReservedServer() == Id(0) ? Id(1) : Id(0); }

  ServerView ViewOf(const BackendServerId& id) {
    for (const ServerView& view : chooser_->View(now_)) {
      if (view.server == id) return view;
    }
    CPPUNIT_FAIL("the view lists no server " + id.Text());
    return {};
  }

  int CountSentTo(const BackendServerId& id) {
    int n = 0;
    for (int i = 0; i < 2000; ++i) {
      const auto sent = std::get<SendTo>(Choose(RequestClass::kRoutine));
      n += sent.server == id ? 1 : 0;
      End(sent, AttemptEnd::kAnswered);
    }
    return n;
  }

  const ServiceId service_id_{"register"};
  MonotonicTime now_ = MonotonicTime(std::chrono::hours(1));
  Manifest manifest_;
  std::unique_ptr<Chooser> chooser_;
  Ticket next_ticket_ = 1;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChooserTest);

}  // namespace
}  // namespace cowsliphill
