#include "src/manifest/manifest_follower.h"

#include <cppunit/extensions/HelperMacros.h>

#include "src/manifest/manifest_world.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using World = ManifestWorld<>;

class ManifestFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ManifestFollowerTest);
  CPPUNIT_TEST(Manifest_Accepted_IsInForceEverywhereWithinASecond);
  CPPUNIT_TEST(Manifest_AcceptedThenPlatformDown_StillReachesEveryVm);
  CPPUNIT_TEST(Follower_FarBehind_FetchesTheWholeManifestInParts);
  CPPUNIT_TEST(NewVm_WithPlatformDown_GetsTheHighestRevisionOfItsFailureDomain);
  CPPUNIT_TEST(NewVm_WithPlatformDownAndAMemberSilent_IsNotReady);
  CPPUNIT_TEST(NewVm_AloneInItsFailureDomainWithPlatformDown_IsNotReady);
  CPPUNIT_TEST(NewVm_ThatKnowsOfAnUnavailableRevision_IsNotReady);
  CPPUNIT_TEST(NewVm_BeforeAnyManifest_IsNotReady);
  CPPUNIT_TEST(Follower_WithStaleReads_KeepsItsRevisionAndCounts);
  CPPUNIT_TEST(Follower_WithBadMessages_CountsAndRefuses);
  CPPUNIT_TEST(Manifest_HeldDuringASwitch_StaysUnchanged);
  CPPUNIT_TEST(FailureDomain_ThatStaysBehind_RaisesAnAlarm);
  CPPUNIT_TEST(FailureDomain_ThatIsSilent_RaisesAnAlarm);
  CPPUNIT_TEST(FailureDomains_ThatFollowed_RaiseNoAlarm);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    world_ = std::make_unique<World>();
    for (int i = 0; i < 3; ++i) {
      world_->Start("riga-centrs");
      world_->Start("jelgava-dc");
    }
    world_->SubmitAndRun(Vm(0), "a", 0, 1000);
    CPPUNIT_ASSERT(world_->AllHaveInForce(1));
  }

  void tearDown() override {
    world_->CheckAnswers();
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         world_->violations.empty() ? "" : *world_->violations.begin());
  }

  void Manifest_Accepted_IsInForceEverywhereWithinASecond() {
    world_->Submit(Vm(0), world_->MakeSubmission("b", 1, 1001));
    world_->loop.RunFor(seconds(1));
    CPPUNIT_ASSERT(world_->AllHaveInForce(2));
    for (const auto& vm : world_->vms) CPPUNIT_ASSERT(vm->follower.Ready());
  }

  void Manifest_AcceptedThenPlatformDown_StillReachesEveryVm() {
    for (size_t i = 1; i < 6; ++i) Vm(i).platform.FailAll(PlatformFault::kDown);
    world_->Submit(Vm(0), world_->MakeSubmission("b", 1, 1001));
    world_->loop.RunFor(milliseconds(10));
    PlatformDown();
    world_->loop.RunFor(seconds(2));
    CPPUNIT_ASSERT(world_->AllHaveInForce(2));
  }

  void Follower_FarBehind_FetchesTheWholeManifestInParts() {
    Disconnect(Vm(5));
    for (uint64_t i = 1; i <= kMaxKeptChanges + 5; ++i) {
      const auto max_requests = static_cast<uint32_t>(2000 + i);
      world_->Submit(Vm(0), world_->MakeSubmission("s" + std::to_string(i), i, max_requests));
      world_->loop.RunFor(seconds(1));
    }
    Vm(5).peers.Isolate(false);
    PlatformDown();
    world_->loop.RunFor(seconds(3));
    CPPUNIT_ASSERT_EQUAL(kMaxKeptChanges + 6, Vm(5).Revision());
  }

  void NewVm_WithPlatformDown_GetsTheHighestRevisionOfItsFailureDomain() {
    PlatformDown();
    World::EntryVm& vm = StartWithoutPlatform("riga-centrs");
    world_->loop.RunFor(seconds(3));
    CPPUNIT_ASSERT(vm.follower.Ready());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, vm.Revision());
  }

  void NewVm_WithPlatformDownAndAMemberSilent_IsNotReady() {
    PlatformDown();
    Vm(2).peers.Isolate(true);  // The isolated entry VM may have a higher revision.
    World::EntryVm& vm = StartWithoutPlatform("riga-centrs");
    world_->loop.RunFor(seconds(20));
    CPPUNIT_ASSERT(!vm.follower.Ready());
    CPPUNIT_ASSERT(vm.follower.View().waiting_for.find("vm3") != std::string::npos);
    Vm(2).peers.Isolate(false);
    world_->loop.RunFor(seconds(3));
    CPPUNIT_ASSERT(vm.follower.Ready());
  }

  void NewVm_AloneInItsFailureDomainWithPlatformDown_IsNotReady() {
    PlatformDown();
    World::EntryVm& vm = StartWithoutPlatform("riga-ziemeli");
    world_->loop.RunFor(seconds(20));
    CPPUNIT_ASSERT(!vm.follower.Ready());
    vm.platform.FailAll(PlatformFault::kNone);
    world_->loop.RunFor(seconds(2));
    CPPUNIT_ASSERT(vm.follower.Ready());
  }

  void NewVm_ThatKnowsOfAnUnavailableRevision_IsNotReady() {
    for (size_t i = 2; i < 6; ++i) Disconnect(Vm(i));
    world_->Submit(Vm(0), world_->MakeSubmission("b", 1, 1001));
    world_->loop.RunFor(seconds(1));  // Only two entry VMs have revision 2.
    PlatformDown();
    Vm(2).peers.Isolate(false);
    // vm3 receives the revision number but can't fetch the manifest.
    Vm(2).peers.FailAll(PeerFault::kLostRequest);
    world_->loop.RunFor(seconds(20));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, Vm(2).Revision());
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, Vm(2).follower.View().highest_known);
    Vm(0).platform.Kill();
    Vm(1).platform.Kill();
    Vm(2).peers.FailAll(PeerFault::kNone);
    for (size_t i = 3; i < 6; ++i) Vm(i).peers.Isolate(false);
    World::EntryVm& vm = StartWithoutPlatform("riga-centrs");
    world_->loop.RunFor(seconds(20));
    CPPUNIT_ASSERT(!vm.follower.Ready());
    vm.platform.FailAll(PlatformFault::kNone);
    world_->loop.RunFor(seconds(2));
    CPPUNIT_ASSERT(vm.follower.Ready());
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, vm.Revision());
  }

  void NewVm_BeforeAnyManifest_IsNotReady() {
    World world;
    world.Start("riga-centrs");
    world.loop.RunFor(seconds(5));
    CPPUNIT_ASSERT(!world.vms[0]->follower.Ready());
    CPPUNIT_ASSERT_EQUAL(std::string("no manifest has been accepted yet"),
                         world.vms[0]->follower.View().waiting_for);
  }

  void Follower_WithStaleReads_KeepsItsRevisionAndCounts() {
    Vm(4).platform.KeepStaleState();
    world_->SubmitAndRun(Vm(0), "b", 1, 1001);
    Vm(4).platform.FailAll(PlatformFault::kStaleRead);
    world_->loop.RunFor(seconds(5));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, Vm(4).Revision());
    CPPUNIT_ASSERT(Vm(4).follower.View().counters.stale_reads > 0);
  }

  void Follower_WithBadMessages_CountsAndRefuses() {
    for (const MessageKind kind : {MessageKind::kManifestHead, MessageKind::kManifestFetch}) {
      Vm(1).peers.Request(Vm(0).self.peer, kind, "\xc1 bad", [](FaultyPeers::Reply) {});
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, Vm(0).follower.BadMessages());
  }

  void Manifest_HeldDuringASwitch_StaysUnchanged() {
    const ManifestPtr held = Vm(3).follower.Current();
    world_->SubmitAndRun(Vm(0), "b", 1, 1001);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, held->revision);
    CPPUNIT_ASSERT_EQUAL(uint32_t{1000}, held->entry.max_requests);
  }

  void FailureDomain_ThatStaysBehind_RaisesAnAlarm() {
    for (const size_t i : {1, 3, 5}) {  // These entry VMs answer queries but can't fetch.
      Vm(i).platform.FailAll(PlatformFault::kLostRequest);
      Vm(i).peers.FailAll(PeerFault::kLostRequest);
    }
    world_->Submit(Vm(0), world_->MakeSubmission("b", 1, 1001));
    world_->loop.RunFor(seconds(15));
    CPPUNIT_ASSERT(Alarm(Vm(0), "jelgava-dc"));
    CPPUNIT_ASSERT(!Alarm(Vm(0), "riga-centrs"));
  }

  void FailureDomain_ThatIsSilent_RaisesAnAlarm() {
    for (const size_t i : {1, 3, 5}) Disconnect(Vm(i));
    world_->loop.RunFor(seconds(50));
    CPPUNIT_ASSERT(!Alarm(Vm(0), "jelgava-dc"));
    world_->loop.RunFor(seconds(20));
    CPPUNIT_ASSERT(Alarm(Vm(0), "jelgava-dc"));
    CPPUNIT_ASSERT(!Alarm(Vm(0), "riga-centrs"));
  }

  void FailureDomains_ThatFollowed_RaiseNoAlarm() {
    for (int i = 0; i < 14; ++i) world_->Start(i % 2 == 0 ? "riga-centrs" : "jelgava-dc");
    world_->loop.RunFor(seconds(30));
    world_->Submit(Vm(0), world_->MakeSubmission("b", 1, 1001));
    for (int i = 0; i < 40; ++i) {
      world_->loop.RunFor(seconds(1));
      for (const auto& vm : world_->vms) {
        CPPUNIT_ASSERT(!Alarm(*vm, "jelgava-dc"));
        CPPUNIT_ASSERT(!Alarm(*vm, "riga-centrs"));
      }
    }
  }

 private:
  World::EntryVm& Vm(size_t i) { return *world_->vms[i]; }

  void PlatformDown() {
    for (const auto& vm : world_->vms) vm->platform.FailAll(PlatformFault::kDown);
  }

  static bool Alarm(const World::EntryVm& vm, const std::string& failure_domain) {
    for (const FailureDomainLag& lag : vm.follower.View().failure_domains) {
      if (lag.failure_domain.Text() == failure_domain) return lag.alarm;
    }
    return false;
  }

  static void Disconnect(World::EntryVm& vm) {
    vm.platform.FailAll(PlatformFault::kLostRequest);
    vm.peers.Isolate(true);
  }

  World::EntryVm& StartWithoutPlatform(const std::string& failure_domain) {
    World::EntryVm& vm = world_->Start(failure_domain);
    vm.platform.FailAll(PlatformFault::kDown);
    return vm;
  }

  std::unique_ptr<World> world_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManifestFollowerTest);

}  // namespace
}  // namespace cowsliphill
