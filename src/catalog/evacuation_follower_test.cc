// The set of evacuated failure domains at an entry VM: from the store, from updates of others, with
// updates lost, late or of earlier builds, and after the store came back from an older copy.

#include <cppunit/extensions/HelperMacros.h>

#include "src/catalog/catalog_follower.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

struct FakeStore {
  void ReadManifest(AnswerCallback<ManifestAnswer> done) {
    reads_table = true;
    manifest = std::move(done);
  }
  void WatchManifest(uint64_t, milliseconds, AnswerCallback<ManifestAnswer> done) {
    reads_table = false;
    manifest = std::move(done);
  }
  void ReadServers(AnswerCallback<ServersAnswer> done) { servers = std::move(done); }
  void WatchServers(uint64_t, milliseconds, AnswerCallback<ServersAnswer> done) {
    servers = std::move(done);
  }
  AnswerCallback<ManifestAnswer> manifest;
  AnswerCallback<ServersAnswer> servers;
  bool reads_table = false;
};

class EvacuationFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationFollowerTest);
  CPPUNIT_TEST(Answers_OfTheStore_AddAndRemove);
  CPPUNIT_TEST(Answer_WithAnUnreadableRow_LeavesThatDomainAsItWas);
  CPPUNIT_TEST(Update_OfAnotherEntryVm_CarriesTheSetToOneThatTheStoreRefuses);
  CPPUNIT_TEST(Update_AfterLostOnes_CarriesTheWholeSet);
  CPPUNIT_TEST(Update_OlderThanTheSet_ChangesNothing);
  CPPUNIT_TEST(Update_OfAnEarlierBuild_LeavesTheSetAndTheStoreIsReadAnew);
  CPPUNIT_TEST(Answer_OlderThanAnUpdateDuringTheCall_ChangesNothing);
  CPPUNIT_TEST(Store_BackFromAnOlderCopy_IsReadAnew);
  CPPUNIT_TEST(Snapshot_AtTheStart_CarriesTheSet);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    store_ = FakeStore();
    sent_.clear();
    evacuated_.clear();
    calls_ = 0;
    follower_ = MakeFollower({});
    follower_->Tick();
    AnswerManifest(10, {"a"});
    std::exchange(store_.servers, nullptr)(ServersAnswer{10, true, {}, {}});
  }

  void Answers_OfTheStore_AddAndRemove() {
    ExpectSet("a");
    Advance();
    CPPUNIT_ASSERT(!store_.reads_table);
    AnswerManifest(11, {"b"});
    ExpectSet("ab");
    Advance();
    AnswerManifest(12, {}, {"a"});
    ExpectSet("b");
    Advance();
    AnswerManifest(12, {});
    CPPUNIT_ASSERT_EQUAL(3, calls_);
    CPPUNIT_ASSERT((sent_.back().evacuated == EvacuatedDomains{FailureDomainId("b")}));
  }

  void Answer_WithAnUnreadableRow_LeavesThatDomainAsItWas() {
    Advance();
    ManifestAnswer answer;
    answer.version = 11;
    answer.evacuation_unreadable = Domains({"a", "b"});
    std::exchange(store_.manifest, nullptr)(answer);
    ExpectSet("a");
    Advance();
    std::exchange(store_.manifest, nullptr)(CatalogError{CatalogErrorKind::kHistoryGone, ""});
    Advance();
    CPPUNIT_ASSERT(store_.reads_table);
    answer.version = 12;
    std::exchange(store_.manifest, nullptr)(answer);
    ExpectSet("a");
  }

  void Update_OfAnotherEntryVm_CarriesTheSetToOneThatTheStoreRefuses() {
    Advance();
    std::exchange(store_.manifest, nullptr)(CatalogError{});
    follower_->SetRank(3);
    follower_->OnUpdate(Update(20, Domains({"b"})), true);
    ExpectSet("b");
    follower_->OnUpdate(Update(21, Domains({})), true);
    ExpectSet("");
    // The set is passed on with the next own update.
    CPPUNIT_ASSERT((follower_->MakeUpdate(clock_.Now()).evacuated == EvacuatedDomains()));
    CPPUNIT_ASSERT_EQUAL(uint64_t{21}, follower_->MakeUpdate(clock_.Now()).manifest_version);
  }

  void Update_AfterLostOnes_CarriesTheWholeSet() {
    follower_->SetRank(3);
    follower_->OnUpdate(Update(30, Domains({"b", "c"})), true);
    ExpectSet("bc");
  }

  void Update_OlderThanTheSet_ChangesNothing() {
    follower_->SetRank(3);
    follower_->OnUpdate(Update(20, Domains({"b"})), true);
    CatalogUpdate older = Update(19, Domains({"c"}));
    follower_->OnUpdate(older, true);
    older.is_snapshot = true;
    follower_->OnUpdate(older, true);
    ExpectSet("b");
    follower_->OnUpdate(Update(20, Domains({"d"})), true);
    ExpectSet("d");
  }

  // Changes since a version whose set is unknown would leave out an evacuation for good.
  void Update_OfAnEarlierBuild_LeavesTheSetAndTheStoreIsReadAnew() {
    follower_->SetRank(3);
    follower_->OnUpdate(Update(20, std::nullopt), true);
    ExpectSet("a");
    CPPUNIT_ASSERT(!follower_->MakeUpdate(clock_.Now()).evacuated);
    store_.manifest = nullptr;
    clock_.Advance(milliseconds(2000));
    follower_->Tick();
    CPPUNIT_ASSERT(store_.manifest && store_.reads_table);
    AnswerManifest(20, {"b"});
    ExpectSet("b");
  }

  void Answer_OlderThanAnUpdateDuringTheCall_ChangesNothing() {
    Advance();
    follower_->OnUpdate(Update(20, Domains({"b"})), true);
    AnswerManifest(15, {}, {"b"});
    ExpectSet("b");
  }

  void Store_BackFromAnOlderCopy_IsReadAnew() {
    Advance();
    std::exchange(store_.manifest, nullptr)(CatalogError{CatalogErrorKind::kHistoryGone, ""});
    Advance();
    CPPUNIT_ASSERT(store_.reads_table);
    AnswerManifest(MakeVersion(1, 4), {"c"});
    ExpectSet("c");
    follower_->OnUpdate(Update(500, Domains({"a"})), true);  // Of the era before.
    ExpectSet("c");
  }

  void Snapshot_AtTheStart_CarriesTheSet() {
    TableWatchOptions options;
    options.startup_peer_timeout = milliseconds(10000);
    FakeStore unused;
    const CatalogUpdate snapshot = follower_->AnswerRequest({}).value();
    EvacuatedDomains got;
    CatalogListener listener = Listener();
    listener.on_evacuated = [&got](const EvacuatedDomains& it) { got = it; };
    CatalogFollower<FakeStore> starting(EntryVmId("starting"), unused, clock_, listener, options);
    starting.Tick();
    starting.OnUpdate(snapshot, true);
    CPPUNIT_ASSERT(starting.Ready());
    CPPUNIT_ASSERT(got == Domains({"a"}));
  }

 private:
  using Names = std::vector<std::string>;
  static EvacuatedDomains Domains(const Names& names) {
    EvacuatedDomains domains;
    for (const std::string& it : names) domains.emplace(it);
    return domains;
  }
  CatalogListener Listener() {
    CatalogListener listener;
    listener.on_manifest = [](const auto&) {};
    listener.on_servers = [](const auto&) {};
    listener.on_evacuated = [this](const EvacuatedDomains& it) {
      evacuated_ = it;
      ++calls_;
    };
    listener.send_update = [this](const CatalogUpdate& it) { sent_.push_back(it); };
    listener.send_request = [](const CatalogRequest&) {};
    listener.on_store_call_ended = [] {};
    listener.on_store_availability = [](const std::string&, const std::string&) {};
    listener.on_store_call_failed = [](const std::string&, const std::string&, const std::string&) {
    };
    return listener;
  }
  std::unique_ptr<CatalogFollower<FakeStore>> MakeFollower(const TableWatchOptions& options) {
    return std::make_unique<CatalogFollower<FakeStore>>(EntryVmId("self"), store_, clock_,
                                                        Listener(), options);
  }
  static CatalogUpdate Update(uint64_t version, const std::optional<EvacuatedDomains>& evacuated) {
    CatalogUpdate update;
    update.sender = EntryVmId("other");
    update.reaches_store = true;
    update.manifest_version = version;
    update.revision = 1;
    update.servers_base_version = 10;
    update.servers_version = 10;
    update.evacuated = evacuated;
    return update;
  }
  void AnswerManifest(uint64_t version, const Names& begun, const Names& ended = {}) {
    Manifest manifest;
    manifest.revision = 1;
    ManifestAnswer answer;
    answer.version = version;
    answer.manifest = std::make_shared<const Manifest>(manifest);
    answer.evacuated = Domains(begun);
    answer.evacuation_ended = Domains(ended);
    std::exchange(store_.manifest, nullptr)(answer);
  }
  void Advance() {
    clock_.Advance(milliseconds(300));
    follower_->Tick();
    CPPUNIT_ASSERT(store_.manifest);
  }
  void ExpectSet(const std::string& names) const {
    std::string got;
    for (const FailureDomainId& it : evacuated_) got += it.Text();
    CPPUNIT_ASSERT_EQUAL(names, got);
  }

  ManualClock clock_;
  FakeStore store_;
  std::unique_ptr<CatalogFollower<FakeStore>> follower_;
  std::vector<CatalogUpdate> sent_;
  EvacuatedDomains evacuated_;
  int calls_ = 0;  // Of on_evacuated.
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationFollowerTest);

}  // namespace
}  // namespace cowsliphill
