#include "src/catalog/catalog_follower.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

// Keeps the callbacks of open calls, so that the test can answer them.
struct FakeStore {
  void ReadManifest(AnswerCallback<ManifestAnswer> done) {
    reads_whole_manifest = true;
    manifest = std::move(done);
  }
  void WatchManifest(uint64_t, milliseconds, AnswerCallback<ManifestAnswer> done) {
    reads_whole_manifest = false;
    manifest = std::move(done);
  }
  void ReadServers(AnswerCallback<ServersAnswer> done) { servers = std::move(done); }
  void WatchServers(uint64_t after, milliseconds, AnswerCallback<ServersAnswer> done) {
    watched_after = after;
    servers = std::move(done);
  }
  AnswerCallback<ManifestAnswer> manifest;
  AnswerCallback<ServersAnswer> servers;
  uint64_t watched_after = 0;
  bool reads_whole_manifest = false;  // The last call about the manifest was ReadManifest.
};

class CatalogFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CatalogFollowerTest);
  CPPUNIT_TEST(SendUpdate_AfterUpdateOfAnotherReader_IncludesItsChanges);
  CPPUNIT_TEST(OnUpdate_WithVersionGap_CallsTheStore);
  CPPUNIT_TEST(SendUpdate_ServerRemovedThenAdded_ListsItAsChanged);
  CPPUNIT_TEST(SendUpdate_AfterManyAnswersWithoutChanges_ReachesBackToTheLastChange);
  CPPUNIT_TEST(SendUpdate_Change_IsListedAFewTimes);
  CPPUNIT_TEST(SendUpdate_LargeChange_IsListed);
  CPPUNIT_TEST(SendUpdate_ChangesOfAllSizes_LeadAnyReceiverToTheSameList);
  CPPUNIT_TEST(SendUpdate_NewManifest_IsIncludedAFewTimes);
  CPPUNIT_TEST(SendUpdate_AfterNewerManifestOfAnotherReader_IncludesThatManifest);
  CPPUNIT_TEST(OnUpdate_WithNewManifest_AppliesItWithoutTheStore);
  CPPUNIT_TEST(OnUpdate_NewRevisionWithoutManifest_CallsTheStore);
  CPPUNIT_TEST(SendUpdate_LargeManifest_MakesReceiversCallTheStore);
  CPPUNIT_TEST(OnUpdate_WithMalformedManifest_CallsTheStore);
  CPPUNIT_TEST(AnswerRequest_FromStartingEntryVm_MakesItReady);
  CPPUNIT_TEST(OnUpdate_StaleSnapshotAtTheStart_WaitsForANewerOne);
  CPPUNIT_TEST(OnUpdate_OnlyStaleSnapshotsAtTheStart_UsesOneAfterAWhile);
  CPPUNIT_TEST(AnswerRequest_BeforeCatalogIsKnown_ReturnsNullopt);
  CPPUNIT_TEST(AnswerRequest_VersionNotYetKnown_ReturnsNulloptUntilKnown);
  CPPUNIT_TEST(Tick_BeforeFirstManifest_WatchesForItAtTheStore);
  CPPUNIT_TEST(OnUpdate_Snapshot_ClosesVersionGap);
  CPPUNIT_TEST(OnUpdate_SnapshotWithoutItsManifest_CallsTheStoreForIt);
  CPPUNIT_TEST(OnUpdate_OlderSnapshot_ChangesNothing);
  CPPUNIT_TEST(OnAnswer_OlderThanUpdate_ChangesNothing);
  CPPUNIT_TEST(OnAnswer_ManifestWithLowerRevision_IsIgnored);
  CPPUNIT_TEST(StoreCall_AfterMissedRevisions_ReadsOnlyTheNewest);
  CPPUNIT_TEST(StoreCall_AfterFailedCall_ReadsOnlyTheNewest);
  CPPUNIT_TEST(StoreCall_NewestRevisionUnreadable_ReadsChanges);
  CPPUNIT_TEST(StoreCall_WithoutMissedRevisions_ReadsChanges);
  CPPUNIT_TEST(StoreCall_EachThatFails_IsReportedWithItsCause);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    store_ = FakeStore();
    sent_updates_.clear();
    peer_requests_ = 0;
    servers_.clear();
    revisions_.clear();
    failed_calls_.clear();
    CatalogListener listener;
    listener.on_manifest = [this](const auto& manifest) {
      revisions_.push_back(manifest->revision);
    };
    listener.on_servers = [this](const ServerChanges& changes) { Apply(changes); };
    listener.send_update = [this](const CatalogUpdate& update) { sent_updates_.push_back(update); };
    listener.send_request = [this](const CatalogRequest&) { ++peer_requests_; };
    listener.on_store_call_ended = [] {};
    listener.on_store_availability = [](const std::string&, const std::string&) {};
    listener.on_store_call_failed = [this](const std::string& table, const std::string& call,
                                           const std::string& error) {
      failed_calls_.push_back(table + ", " + call + ": " + error);
    };
    follower_ = std::make_unique<CatalogFollower<FakeStore>>(EntryVmId("me"), store_, clock_,
                                                             std::move(listener));
    follower_->SetRank(0);
    follower_->Tick();
    AnswerManifest(10, 1);
    store_.servers(
        ServersAnswer{10, true, {MakeServer("a"), MakeServer("b"), MakeServer("c")}, {}});
  }

  // Regression: a store reader that learned from another reader's update that a server was removed
  // left the removal out of its own updates. Entry VMs that received only its updates went on
  // sending requests to the server.
  void SendUpdate_AfterUpdateOfAnotherReader_IncludesItsChanges() {
    Advance();
    AnswerServers({11, false, {}, {}});
    follower_->OnUpdate(UpdateRemovingA(11, 12), false);
    Advance();
    AnswerServers({13, false, {}, {BackendServerId("b")}});
    const CatalogUpdate& last = sent_updates_.back();
    CPPUNIT_ASSERT_EQUAL(uint64_t{13}, last.servers_version);
    CPPUNIT_ASSERT(last.servers_base_version <= 11);
    for (const char* id : {"a", "b"}) {
      const auto it = std::find(last.removed.begin(), last.removed.end(), BackendServerId(id));
      CPPUNIT_ASSERT_MESSAGE(id, it != last.removed.end());
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, servers_.size());
  }

  void OnUpdate_WithVersionGap_CallsTheStore() {
    Advance();
    AnswerServers({11, false, {}, {}});
    store_.watched_after = 0;
    follower_->OnUpdate(UpdateRemovingA(19, 20), false);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, peer_requests_);
    for (int i = 0; i < 3; ++i) Advance();
    CPPUNIT_ASSERT_EQUAL(uint64_t{11}, store_.watched_after);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, servers_.size());
  }

  void SendUpdate_ServerRemovedThenAdded_ListsItAsChanged() {
    Advance();
    AnswerServers({11, false, {}, {BackendServerId("a")}});
    Advance();
    AnswerServers({12, false, {MakeServer("a")}, {}});
    CPPUNIT_ASSERT(sent_updates_.back().removed.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, sent_updates_.back().changed.size());
    Advance();
    AnswerServers({13, false, {}, {BackendServerId("a")}});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, sent_updates_.back().removed.size());
    CPPUNIT_ASSERT(sent_updates_.back().changed.empty());
  }

  // Regression: an update listed the last four answers. When these had no changes, an entry VM that
  // had missed a second of updates took itself for behind and asked for a snapshot.
  void SendUpdate_AfterManyAnswersWithoutChanges_ReachesBackToTheLastChange() {
    for (uint64_t version = 11; version < 40; ++version) {
      Advance();
      AnswerServers({version, false, {}, {}});
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{39}, sent_updates_.back().servers_version);
    CPPUNIT_ASSERT(sent_updates_.back().servers_base_version <= 10);
  }

  void SendUpdate_Change_IsListedAFewTimes() {
    Advance();
    AnswerServers({11, false, {MakeServer("c")}, {}});
    size_t listed = 0;
    for (uint64_t version = 12; version < 30; ++version) {
      listed += sent_updates_.back().changed.size();
      Advance();
      AnswerServers({version, false, {}, {}});
    }
    CPPUNIT_ASSERT(listed >= 3 && listed <= 5);
    CPPUNIT_ASSERT(sent_updates_.back().servers_base_version >= 11);
  }

  // Regression: a change of more than 100 servers was left out of the updates. All entry VMs were
  // behind at the same time, could not help each other, and read the store: at each start of a
  // thousand servers.
  void SendUpdate_LargeChange_IsListed() {
    Advance();
    AnswerServers({11, false, MakeServers(1080), {}});
    CPPUNIT_ASSERT_EQUAL(size_t{1080}, sent_updates_.back().changed.size());
    CPPUNIT_ASSERT(sent_updates_.back().servers_base_version <= 10);
    const std::string bytes = EncodeCatalogMessage(sent_updates_.back());
    CPPUNIT_ASSERT(bytes.size() < 65507);
    size_t listed = 0;
    for (uint64_t version = 12; version < 30; ++version) {
      listed += sent_updates_.back().changed.size();
      Advance();
      AnswerServers({version, false, {}, {}});
    }
    CPPUNIT_ASSERT(listed <= size_t{2} * 1080);
  }

  // Entry VMs that receive only some of the updates have the reader's list whenever they count as
  // caught up.
  void SendUpdate_ChangesOfAllSizes_LeadAnyReceiverToTheSameList() {
    std::mt19937_64 random(1);
    std::map<BackendServerId, BackendServer> sent;
    std::map<BackendServerId, BackendServer> received;
    uint64_t received_version = 10;
    for (const BackendServer& server : servers_) sent[server.id] = server;
    received = sent;
    size_t caught_up = 0;
    for (uint64_t version = 11; version < 600; ++version) {
      ServersAnswer answer{version, false, {}, {}};
      const size_t n = random() % 3 == 0 ? random() % (random() % 10 == 0 ? 400 : 8) : 0;
      for (size_t i = 0; i < n; ++i) {
        const BackendServer server = MakeServer("s" + std::to_string(random() % 500));
        if (random() % 3 == 0) {
          answer.removed.push_back(server.id);
        } else {
          answer.changed.push_back(server);
        }
      }
      Advance();
      AnswerServers(answer);
      sent.clear();
      for (const BackendServer& server : servers_) sent[server.id] = server;
      const CatalogUpdate& update = sent_updates_.back();
      if (random() % 2 == 0) continue;  // The datagram is lost.
      if (update.servers_base_version <= received_version) {
        for (const BackendServer& server : update.changed) received[server.id] = server;
        for (const BackendServerId& id : update.removed) received.erase(id);
        ++caught_up;
      } else {
        received = sent;  // A snapshot.
      }
      received_version = update.servers_version;
      CPPUNIT_ASSERT(received == sent);
    }
    CPPUNIT_ASSERT(caught_up > 200);
  }

  void SendUpdate_NewManifest_IsIncludedAFewTimes() {
    Advance();
    AnswerManifest(11, 2);
    const std::optional<Manifest> manifest_sent = DecodeManifest(sent_updates_.back().manifest);
    CPPUNIT_ASSERT(manifest_sent.has_value());
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, sent_updates_.back().revision);
    for (uint64_t version = 12; version < 20; ++version) {
      Advance();
      AnswerServers({version, false, {}, {}});
    }
    CPPUNIT_ASSERT(sent_updates_.back().manifest.empty());
  }

  // Regression: a store reader that had received revision 3 from another reader sent the contents
  // of revision 2 labelled as revision 3.
  void SendUpdate_AfterNewerManifestOfAnotherReader_IncludesThatManifest() {
    Advance();
    AnswerManifest(11, 2);
    ReceiveRevision3(EncodeManifest(WithOneRoute()));
    follower_->SetRank(0);
    Advance();
    AnswerServers({21, false, {}, {}});
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, sent_updates_.back().revision);
    const std::optional<Manifest> manifest_sent = DecodeManifest(sent_updates_.back().manifest);
    CPPUNIT_ASSERT(manifest_sent.has_value());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, manifest_sent->routes.size());
  }

  void OnUpdate_WithNewManifest_AppliesItWithoutTheStore() {
    Advance();
    AnswerManifest(11, 2);
    ReceiveRevision3(EncodeManifest(WithOneRoute()));
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, follower_->InForce()->revision);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, follower_->InForce()->routes.size());
    CPPUNIT_ASSERT(!store_.manifest);
  }

  void OnUpdate_NewRevisionWithoutManifest_CallsTheStore() {
    Advance();
    AnswerManifest(11, 2);
    ReceiveRevision3("");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, peer_requests_);
    for (int i = 0; i < 3; ++i) Advance();
    CPPUNIT_ASSERT(store_.manifest);
  }

  void SendUpdate_LargeManifest_MakesReceiversCallTheStore() {
    Advance();
    Manifest manifest = WithOneRoute();
    manifest.revision = 2;
    manifest.routes[0].id = RouteId(std::string(40000, 'r'));
    std::exchange(store_.manifest,
                  nullptr)(ManifestAnswer{11, std::make_shared<const Manifest>(manifest)});
    CPPUNIT_ASSERT(sent_updates_.back().manifest.empty());
    CatalogUpdate update = sent_updates_.back();
    follower_->SetRank(5);
    update.revision = 3;
    update.manifest_version = 12;
    Advance();
    store_.manifest = nullptr;
    follower_->OnUpdate(update, true);
    CPPUNIT_ASSERT(store_.manifest);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, peer_requests_);
  }

  void OnUpdate_WithMalformedManifest_CallsTheStore() {
    Advance();
    AnswerManifest(11, 2);
    ReceiveRevision3("\x81 no manifest");
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, follower_->InForce()->revision);
    for (int i = 0; i < 3; ++i) Advance();
    CPPUNIT_ASSERT(store_.manifest);
  }

  void AnswerRequest_FromStartingEntryVm_MakesItReady() {
    const std::optional<CatalogUpdate> answer = follower_->AnswerRequest({});
    CPPUNIT_ASSERT(answer.has_value());
    FakeStore store;
    CatalogFollower<FakeStore> starting(EntryVmId("new"), store, clock_, NoOpListener());
    starting.SetRank(5);
    starting.OnUpdate(*answer, true);
    CPPUNIT_ASSERT(starting.Ready());
    CPPUNIT_ASSERT_EQUAL(size_t{3}, starting.ServerCount());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, starting.InForce()->revision);
    CPPUNIT_ASSERT(!store.manifest && !store.servers);
  }

  // Regression: a restarted entry VM used servers that had left, because the entry VM that it asked
  // had been paused or cut off.
  void OnUpdate_StaleSnapshotAtTheStart_WaitsForANewerOne() {
    SetUpStarting();
    starting_->OnUpdate(Snapshot(5, "left", milliseconds(4000)), false);
    clock_.Advance(milliseconds(100));
    starting_->Tick();
    CPPUNIT_ASSERT(!starting_->Ready());
    starting_->OnUpdate(Snapshot(9, "stays", milliseconds(200)), false);
    CPPUNIT_ASSERT(starting_->Ready());
    clock_.Advance(milliseconds(500));
    starting_->Tick();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, servers_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("stays"), servers_[0].id.Text());
  }

  // The store may be away, so that no entry VM has anything newer.
  void OnUpdate_OnlyStaleSnapshotsAtTheStart_UsesOneAfterAWhile() {
    SetUpStarting();
    starting_->OnUpdate(Snapshot(5, "a", milliseconds(4000)), false);
    clock_.Advance(milliseconds(200));
    starting_->OnUpdate(Snapshot(5, "a", milliseconds(4200)), false);
    CPPUNIT_ASSERT(!starting_->Ready());
    clock_.Advance(milliseconds(100));
    starting_->Tick();
    CPPUNIT_ASSERT(starting_->Ready());
    CPPUNIT_ASSERT(starting_->ServersAge() >= milliseconds(4300));
  }

  void AnswerRequest_BeforeCatalogIsKnown_ReturnsNullopt() {
    FakeStore store;
    CatalogFollower<FakeStore> starting(EntryVmId("new"), store, clock_, NoOpListener());
    CPPUNIT_ASSERT(!starting.AnswerRequest({}).has_value());
  }

  void AnswerRequest_VersionNotYetKnown_ReturnsNulloptUntilKnown() {
    const CatalogRequest request{{}, 1, 0, 12};
    CPPUNIT_ASSERT(!follower_->AnswerRequest(request).has_value());
    Advance();
    AnswerServers({12, false, {}, {BackendServerId("a")}});
    CPPUNIT_ASSERT(follower_->AnswerRequest(request).has_value());
  }

  // Regression: all entry VMs started at once. The seed, which the others sent requests to, had
  // read a store without a manifest and did not watch it, so that in the end all of them read the
  // store.
  void Tick_BeforeFirstManifest_WatchesForItAtTheStore() {
    FakeStore store;
    CatalogFollower<FakeStore> seed(EntryVmId("seed"), store, clock_, NoOpListener());
    seed.SetRank(77);
    seed.Tick();
    std::exchange(store.servers, nullptr)(ServersAnswer{1, true, {}, {}});
    std::exchange(store.manifest, nullptr)(ManifestAnswer{1, nullptr});
    clock_.Advance(milliseconds(300));
    seed.Tick();
    CPPUNIT_ASSERT(store.manifest);
    CPPUNIT_ASSERT(!store.servers);
  }

  void OnUpdate_Snapshot_ClosesVersionGap() {
    follower_->OnUpdate(Snapshot(30, {MakeServer("b"), MakeServer("d")}), true);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, servers_.size());
    Advance();
    AnswerServers({31, false, {}, {BackendServerId("d")}});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, servers_.size());
  }

  // A snapshot leaves out a manifest that is too large for updates.
  void OnUpdate_SnapshotWithoutItsManifest_CallsTheStoreForIt() {
    follower_->SetRank(5);
    CatalogUpdate update = Snapshot(30, {MakeServer("b")});
    update.revision = 3;
    follower_->OnUpdate(update, true);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, servers_.size());
    store_.manifest = nullptr;
    for (int i = 0; i < 4; ++i) Advance();
    CPPUNIT_ASSERT(store_.manifest);
  }

  void OnUpdate_OlderSnapshot_ChangesNothing() {
    follower_->OnUpdate(Snapshot(9, {MakeServer("d")}), true);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, servers_.size());
  }

  // The answer to a call that was open when an update arrived may be older than the update.
  void OnAnswer_OlderThanUpdate_ChangesNothing() {
    Advance();
    follower_->OnUpdate(Snapshot(30, {MakeServer("b")}), true);
    AnswerServers({11, false, {MakeServer("a")}, {}});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, servers_.size());
  }

  void OnAnswer_ManifestWithLowerRevision_IsIgnored() {
    Advance();
    AnswerManifest(11, 7);
    Advance();
    AnswerManifest(12, 6);
    CPPUNIT_ASSERT((revisions_ == std::vector<uint64_t>{1, 7}));
  }

  // Regression: an entry VM that had missed several large revisions read all of them, one after the
  // other, and fell behind further with each one that was written meanwhile.
  void StoreCall_AfterMissedRevisions_ReadsOnlyTheNewest() {
    Advance();
    AnswerManifest(11, 2);
    CatalogUpdate update = Snapshot(10, {});
    update.is_snapshot = false;
    update.reaches_store = true;
    update.revision = 5;
    update.manifest_version = 14;
    update.manifest_too_large = true;
    follower_->SetRank(5);
    Advance();
    store_.manifest = nullptr;
    follower_->OnUpdate(update, true);
    CPPUNIT_ASSERT(store_.manifest);
    CPPUNIT_ASSERT(store_.reads_whole_manifest);
  }

  void StoreCall_AfterFailedCall_ReadsOnlyTheNewest() {
    Advance();
    CPPUNIT_ASSERT(!store_.reads_whole_manifest);
    std::exchange(store_.manifest, nullptr)(CatalogError{});
    Advance();
    CPPUNIT_ASSERT(store_.reads_whole_manifest);
    AnswerManifest(14, 5);
    Advance();
    CPPUNIT_ASSERT(store_.manifest && !store_.reads_whole_manifest);
  }

  void StoreCall_NewestRevisionUnreadable_ReadsChanges() {
    Advance();
    std::exchange(store_.manifest, nullptr)(CatalogError{});
    Advance();
    CPPUNIT_ASSERT(store_.reads_whole_manifest);
    std::exchange(store_.manifest, nullptr)(ManifestAnswer{14, nullptr});
    CPPUNIT_ASSERT(!store_.reads_whole_manifest);
    AnswerManifest(14, 5);
    CPPUNIT_ASSERT_EQUAL(uint64_t{5}, follower_->InForce()->revision);
  }

  void StoreCall_WithoutMissedRevisions_ReadsChanges() {
    Advance();
    CPPUNIT_ASSERT(store_.manifest && !store_.reads_whole_manifest);
    AnswerManifest(11, 2);
    follower_->SetRank(5);
    clock_.Advance(std::chrono::seconds(2));
    store_.reads_whole_manifest = true;
    follower_->Tick();
    CPPUNIT_ASSERT(store_.manifest && !store_.reads_whole_manifest);
  }

  void StoreCall_EachThatFails_IsReportedWithItsCause() {
    for (const char* cause : {"reset", "timed out"}) {
      clock_.Advance(std::chrono::seconds(1));
      follower_->Tick();
      const auto done = std::exchange(store_.manifest, nullptr);
      CPPUNIT_ASSERT(done);
      done(CatalogError{CatalogErrorKind::kUnavailable, cause});
    }
    CPPUNIT_ASSERT_EQUAL(std::string("manifest, changes: reset"), failed_calls_.at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("manifest, table: timed out"), failed_calls_.at(1));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, failed_calls_.size());
  }

 private:
  static CatalogListener NoOpListener() {
    CatalogListener listener;
    listener.on_manifest = [](const auto&) {};
    listener.on_servers = [](const auto&) {};
    listener.send_update = [](const CatalogUpdate&) {};
    listener.send_request = [](const CatalogRequest&) {};
    listener.on_store_call_ended = [] {};
    listener.on_store_availability = [](const std::string&, const std::string&) {};
    listener.on_store_call_failed = [](const std::string&, const std::string&, const std::string&) {
    };
    return listener;
  }
  static CatalogUpdate UpdateRemovingA(uint64_t base_version, uint64_t version) {
    CatalogUpdate update;
    update.sender = EntryVmId("other");
    update.reaches_store = true;
    update.manifest_version = version;
    update.revision = 1;
    update.servers_base_version = base_version;
    update.servers_version = version;
    update.removed.emplace_back("a");
    return update;
  }
  static CatalogUpdate Snapshot(uint64_t version, std::vector<BackendServer> servers) {
    CatalogUpdate update;
    update.sender = EntryVmId("other");
    update.is_snapshot = true;
    update.manifest_version = version;
    update.revision = 1;
    update.servers_version = version;
    update.changed = std::move(servers);
    return update;
  }
  // A follower that asks peers before it reads the store.
  void SetUpStarting() {
    TableWatchOptions options;
    options.startup_peer_timeout = milliseconds(10000);
    CatalogListener listener = NoOpListener();
    servers_.clear();
    listener.on_servers = [this](const ServerChanges& changes) { Apply(changes); };
    starting_ = std::make_unique<CatalogFollower<FakeStore>>(EntryVmId("starting"), store_, clock_,
                                                             listener, options);
    starting_->Tick();
  }
  static CatalogUpdate Snapshot(uint64_t version, const std::string& server, milliseconds age) {
    Manifest manifest = WithOneRoute();
    CatalogUpdate update;
    update.sender = EntryVmId("other");
    update.is_snapshot = true;
    update.manifest_version = version;
    update.revision = version;
    update.manifest = EncodeManifest(manifest);
    update.manifest_age = age;
    update.servers_version = version;
    update.servers_age = age;
    update.changed = {MakeServer(server)};
    return update;
  }
  static std::vector<BackendServer> MakeServers(size_t n) {
    std::vector<BackendServer> servers;
    for (size_t i = 0; i < n; ++i) {
      BackendServer server = MakeServer("i-" + std::to_string(9876543210 + i * 7919));
      server.service = ServiceId("service-" + std::to_string(i % 3));
      server.failure_domain = FailureDomainId("failure-domain-" + std::to_string(i % 5));
      server.endpoint = {"10.1.64." + std::to_string(i % 250), 8509};
      server.started = 1775600000000 + i * 31;
      servers.push_back(server);
    }
    return servers;
  }
  void Apply(const ServerChanges& changes) {
    const auto erase = [this](const BackendServerId& id) {
      std::erase_if(servers_, [&id](const BackendServer& it) { return it.id == id; });
    };
    for (const BackendServer& server : changes.removed) erase(server.id);
    for (const ServerChange& change : changes.changed) {
      erase(change.server.id);
      servers_.push_back(change.server);
    }
    std::sort(servers_.begin(), servers_.end(),
              [](const BackendServer& a, const BackendServer& b) { return a.id < b.id; });
  }
  static BackendServer MakeServer(const std::string& id) {
    BackendServer server;
    server.id = BackendServerId(id);
    return server;
  }
  void Advance() {
    clock_.Advance(milliseconds(300));
    follower_->Tick();
  }
  void AnswerManifest(uint64_t version, uint64_t revision) {
    Manifest manifest;
    manifest.revision = revision;
    const auto done = std::exchange(store_.manifest, nullptr);
    CPPUNIT_ASSERT(done);
    done(ManifestAnswer{version, std::make_shared<const Manifest>(manifest)});
  }
  static Manifest WithOneRoute() {
    Manifest manifest;
    Route route;
    route.id = RouteId("r");
    manifest.routes.push_back(route);
    return manifest;
  }
  // Delivers an update with revision 3 to the follower, which has revision 2 and a rank at which it
  // relies on the updates of other entry VMs.
  void ReceiveRevision3(const std::string& manifest) {
    follower_->SetRank(5);
    clock_.Advance(milliseconds(300));
    CatalogUpdate update;
    update.sender = EntryVmId("other");
    update.reaches_store = true;
    update.manifest_version = 20;
    update.revision = 3;
    update.manifest = manifest;
    update.servers_base_version = 10;
    update.servers_version = 10;
    follower_->OnUpdate(update, true);
  }
  void AnswerServers(const ServersAnswer& answer) {
    const auto done = std::exchange(store_.servers, nullptr);
    CPPUNIT_ASSERT(done);
    done(answer);
  }

  ManualClock clock_;
  FakeStore store_;
  std::unique_ptr<CatalogFollower<FakeStore>> follower_;
  std::unique_ptr<CatalogFollower<FakeStore>> starting_;
  std::vector<CatalogUpdate> sent_updates_;
  size_t peer_requests_ = 0;
  std::vector<BackendServer> servers_;
  std::vector<uint64_t> revisions_;
  std::vector<std::string> failed_calls_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatalogFollowerTest);

}  // namespace
}  // namespace cowsliphill
