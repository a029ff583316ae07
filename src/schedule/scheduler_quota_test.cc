// Which assignment requests a scheduler charges to the limit of their workspace.

#include <cppunit/extensions/HelperMacros.h>

#include "tests/schedule_fleet.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

// The scheduler has never been answered by an owner, so it has the two tokens of the start.
class SchedulerQuotaTest : public ScheduleFixture {
  CPPUNIT_TEST_SUITE(SchedulerQuotaTest);
  CPPUNIT_TEST(Request_WithoutAToken_IsRefusedWithRetryAfter);
  CPPUNIT_TEST(Request_RepeatedOrCharged_PaysOnce);
  CPPUNIT_TEST(Request_ForwardedAndRepeated_PaysOnceAndIsMarked);
  CPPUNIT_TEST(Request_EndedWhileQueued_ReturnsItsToken);
  CPPUNIT_TEST(Hedge_WithoutAToken_IsDeclined);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    ScheduleFixture::setUp();
    scheduler_ = fleet_->PrimaryOf("a").scheduler.get();
    Manifest manifest;
    Workspace workspace;
    workspace.id = TenantId("w");
    workspace.rate = 1;
    workspace.burst = 10;
    manifest.workspaces = {workspace};
    scheduler_->ApplyManifest(manifest, fleet_->Now());
    scheduler_->TakeOutbox();
  }

  // Guards against refusals that the caller can't tell from overload, or that take a slot.
  void Request_WithoutAToken_IsRefusedWithRetryAfter() {
    Ask(1);
    Ask(2);
    const std::optional<ScheduleReply> third = Ask(3);
    CPPUNIT_ASSERT(third->kind == ScheduleReply::Kind::kRefused);
    CPPUNIT_ASSERT(third->cause == RefusalCause::kWorkspaceLimit);
    CPPUNIT_ASSERT(third->retry_after >= milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, scheduler_->Quota().Limits().Refused());
  }

  // Guards against a second charge after a lost reply, and for further attempts.
  void Request_RepeatedOrCharged_PaysOnce() {
    Ask(1);
    for (int i = 0; i < 5; ++i) AssertKind(Ask(1), ScheduleReply::Kind::kAssigned);
    for (ScheduleRequestId id = 10; id < 15; ++id) {
      AssertKind(Ask(id, true), ScheduleReply::Kind::kAssigned);
    }
    AssertKind(Ask(2), ScheduleReply::Kind::kAssigned);
    AssertKind(Ask(3), ScheduleReply::Kind::kRefused);
  }

  // The scheduler of the other cell must neither charge nor refuse what was paid for here, and an
  // entry VM that waits there repeats its request here.
  void Request_ForwardedAndRepeated_PaysOnceAndIsMarked() {
    FillCellA();
    for (int i = 0; i < 4; ++i) {
      Ask(1);
      CPPUNIT_ASSERT(forwarded_ && forwarded_->charged && forwarded_->forwarded_for);
    }
    Ask(2);
    CPPUNIT_ASSERT(std::exchange(forwarded_, std::nullopt));
    AssertKind(Ask(3), ScheduleReply::Kind::kRefused);
    CPPUNIT_ASSERT(!forwarded_);
  }

  // Guards against tokens that are lost with requests that were never assigned.
  void Request_EndedWhileQueued_ReturnsItsToken() {
    for (const BackendServer& server : fleet_->Servers()) fleet_->SetLoad(server.id.Text(), 3, 7.0);
    scheduler_->TakeOutbox();
    for (ScheduleRequestId id = 1; id < 6; ++id) {
      AssertKind(Ask(id), ScheduleReply::Kind::kQueued);
      scheduler_->OnEnd(entry_vm_, {id, AttemptEnd::kCancelled, {}, {}}, fleet_->Now());
    }
  }

  // Guards against second attempts that take slots for a workspace over its limit.
  void Hedge_WithoutAToken_IsDeclined() {
    AssertKind(Ask(1), ScheduleReply::Kind::kAssigned);
    AssertKind(Ask(8, true, true), ScheduleReply::Kind::kAssigned);
    AssertKind(Ask(2), ScheduleReply::Kind::kAssigned);
    AssertKind(Ask(9, true, true), ScheduleReply::Kind::kRefused);
  }

 private:
  static void AssertKind(const std::optional<ScheduleReply>& reply, ScheduleReply::Kind kind) {
    CPPUNIT_ASSERT(reply);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kind), static_cast<int>(reply->kind));
  }
  void FillCellA() {
    for (const BackendServer& server : fleet_->Servers()) {
      if (server.failure_domain.Text() == "a") fleet_->SetLoad(server.id.Text(), 3, 7.0);
    }
    scheduler_->OnCellUpdate({HashName("service"), HashName("b"), 10}, fleet_->Now());
    scheduler_->TakeOutbox();
  }
  std::optional<ScheduleReply> Ask(ScheduleRequestId id, bool charged = false, bool hedge = false) {
    ScheduleRequest request;
    request.id = id;
    request.service = HashName("service");
    request.failure_domain = HashName("a");
    request.workspace = HashName("w");
    request.charged = charged;
    request.hedge = hedge;
    request.target_latency = request.target_left = milliseconds(400);
    request.deadline_left = milliseconds(2000);
    scheduler_->OnScheduleRequest(entry_vm_, request, fleet_->Now());
    std::optional<ScheduleReply> reply;
    for (const Outgoing& out : scheduler_->TakeOutbox()) {
      if (const auto* it = std::get_if<ScheduleReply>(&out.message)) reply = *it;
      if (const auto* it = std::get_if<ScheduleRequest>(&out.message)) forwarded_ = *it;
    }
    return reply;
  }

  Scheduler* scheduler_ = nullptr;
  Endpoint entry_vm_{"10.0.1.77", 7200};
  std::optional<ScheduleRequest> forwarded_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulerQuotaTest);

}  // namespace
}  // namespace cowsliphill
