#include "src/catalog/catalog_follower.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

// Keeps the open calls; the test answers them.
struct FakeStore {
  void ReadManifest(PageDone<ManifestPage> done) { manifest = std::move(done); }
  void WatchManifest(uint64_t, milliseconds, PageDone<ManifestPage> done) {
    manifest = std::move(done);
  }
  void ReadServers(PageDone<ServersPage> done) { servers = std::move(done); }
  void WatchServers(uint64_t after, milliseconds, PageDone<ServersPage> done) {
    watched_after = after;
    servers = std::move(done);
  }
  PageDone<ManifestPage> manifest;
  PageDone<ServersPage> servers;
  uint64_t watched_after = 0;
};

class CatalogFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CatalogFollowerTest);
  CPPUNIT_TEST(Tell_AfterNewsOfAnother_CarriesTheirChangesToo);
  CPPUNIT_TEST(OnNews_WithAGap_AsksTheStore);
  CPPUNIT_TEST(Tell_OfAServerThatWentAndCameBack_TellsThatItIsThere);
  CPPUNIT_TEST(Tell_OfANewManifest_CarriesItAFewTimes);
  CPPUNIT_TEST(Tell_AfterAnotherToldANewerManifest_CarriesThatOne);
  CPPUNIT_TEST(OnNews_WithANewManifest_TakesItWithoutTheStore);
  CPPUNIT_TEST(OnNews_OfANewManifestWithoutIt_AsksTheStore);
  CPPUNIT_TEST(Tell_OfALargeManifest_SendsOthersToTheStore);
  CPPUNIT_TEST(OnNews_WithAManifestThatCantBeRead_AsksTheStore);
  CPPUNIT_TEST(AnswerQuestion_OfANewEntryVm_GivesItAllItNeeds);
  CPPUNIT_TEST(AnswerQuestion_BeforeTheCatalogIsKnown_IsNone);
  CPPUNIT_TEST(AnswerQuestion_OfWhatWeLackToo_WaitsForIt);
  CPPUNIT_TEST(Tick_StartedBeforeTheFirstManifest_WaitsForItAtTheStore);
  CPPUNIT_TEST(OnNews_OfTheWhole_FillsAGap);
  CPPUNIT_TEST(OnNews_OfTheWholeWithoutItsManifest_AsksTheStoreForThat);
  CPPUNIT_TEST(OnNews_WithAnOlderWhole_ChangesNothing);
  CPPUNIT_TEST(OnAnswer_OlderThanTheNews_ChangesNothing);
  CPPUNIT_TEST(OnManifest_WithALowerRevision_IsNotTaken);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    store_ = FakeStore();
    told_.clear();
    asked_ = 0;
    servers_.clear();
    revisions_.clear();
    CatalogListener listener;
    listener.on_manifest = [this](const auto& manifest) {
      revisions_.push_back(manifest->revision);
    };
    listener.on_servers = [this](const auto& servers) { servers_ = servers; };
    listener.tell = [this](const CatalogNews& news) { told_.push_back(news); };
    listener.ask = [this](const CatalogQuestion&) { ++asked_; };
    listener.on_store = [](const std::string&, const std::string&) {};
    follower_ = std::make_unique<CatalogFollower<FakeStore>>(EntryVmId("me"), store_, clock_,
                                                             std::move(listener));
    follower_->SetRank(0);
    follower_->Tick();
    AnswerManifest(10, 1);
    store_.servers(ServersPage{10, true, {Make("a"), Make("b"), Make("c")}, {}});
  }

  // Found by a hunted day: a reader that had heard of a server's end from another one left it out
  // of its own news, and who heard only that went on sending to the server.
  void Tell_AfterNewsOfAnother_CarriesTheirChangesToo() {
    Pass();
    AnswerServers({11, false, {}, {}});
    follower_->OnNews(NewsThatAIsGone(11, 12), false);
    Pass();
    AnswerServers({13, false, {}, {BackendServerId("b")}});
    const CatalogNews& last = told_.back();
    CPPUNIT_ASSERT_EQUAL(uint64_t{13}, last.servers_version);
    CPPUNIT_ASSERT(last.from <= 11);
    for (const char* id : {"a", "b"}) {
      const auto it = std::find(last.gone.begin(), last.gone.end(), BackendServerId(id));
      CPPUNIT_ASSERT_MESSAGE(id, it != last.gone.end());
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, servers_.size());
  }

  void OnNews_WithAGap_AsksTheStore() {
    Pass();
    AnswerServers({11, false, {}, {}});
    store_.watched_after = 0;
    follower_->OnNews(NewsThatAIsGone(19, 20), false);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, asked_);
    for (int i = 0; i < 3; ++i) Pass();
    CPPUNIT_ASSERT_EQUAL(uint64_t{11}, store_.watched_after);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, servers_.size());
  }

  void Tell_OfAServerThatWentAndCameBack_TellsThatItIsThere() {
    Pass();
    AnswerServers({11, false, {}, {BackendServerId("a")}});
    Pass();
    AnswerServers({12, false, {Make("a")}, {}});
    CPPUNIT_ASSERT(told_.back().gone.empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, told_.back().changed.size());
    Pass();
    AnswerServers({13, false, {}, {BackendServerId("a")}});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, told_.back().gone.size());
    CPPUNIT_ASSERT(told_.back().changed.empty());
  }

  void Tell_OfANewManifest_CarriesItAFewTimes() {
    Pass();
    AnswerManifest(11, 2);
    const std::optional<Manifest> told = DecodeManifest(told_.back().manifest);
    CPPUNIT_ASSERT(told.has_value());
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, told_.back().revision);
    for (uint64_t version = 12; version < 20; ++version) {
      Pass();
      AnswerServers({version, false, {}, {}});
    }
    CPPUNIT_ASSERT(told_.back().manifest.empty());
  }

  // Found by a measured day: a reader told the contents of one revision under the number of the
  // next, which it had heard from another reader.
  void Tell_AfterAnotherToldANewerManifest_CarriesThatOne() {
    Pass();
    AnswerManifest(11, 2);
    OnNewsOfRevision3(EncodeManifest(WithOneRoute()));
    follower_->SetRank(0);
    Pass();
    AnswerServers({21, false, {}, {}});
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, told_.back().revision);
    const std::optional<Manifest> told = DecodeManifest(told_.back().manifest);
    CPPUNIT_ASSERT(told.has_value());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, told->routes.size());
  }

  void OnNews_WithANewManifest_TakesItWithoutTheStore() {
    Pass();
    AnswerManifest(11, 2);
    OnNewsOfRevision3(EncodeManifest(WithOneRoute()));
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, follower_->InForce()->revision);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, follower_->InForce()->routes.size());
    CPPUNIT_ASSERT(!store_.manifest);
  }

  void OnNews_OfANewManifestWithoutIt_AsksTheStore() {
    Pass();
    AnswerManifest(11, 2);
    OnNewsOfRevision3("");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, asked_);
    for (int i = 0; i < 3; ++i) Pass();
    CPPUNIT_ASSERT(store_.manifest);
  }

  void Tell_OfALargeManifest_SendsOthersToTheStore() {
    Pass();
    Manifest manifest = WithOneRoute();
    manifest.revision = 2;
    manifest.routes[0].id = RouteId(std::string(40000, 'r'));
    std::exchange(store_.manifest,
                  nullptr)(ManifestPage{11, std::make_shared<const Manifest>(manifest)});
    CPPUNIT_ASSERT(told_.back().manifest.empty());
    CatalogNews news = told_.back();
    follower_->SetRank(5);
    news.revision = 3;
    news.manifest_version = 12;
    Pass();
    store_.manifest = nullptr;
    follower_->OnNews(news, true);
    CPPUNIT_ASSERT(store_.manifest);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, asked_);
  }

  void OnNews_WithAManifestThatCantBeRead_AsksTheStore() {
    Pass();
    AnswerManifest(11, 2);
    OnNewsOfRevision3("\x81 no manifest");
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, follower_->InForce()->revision);
    for (int i = 0; i < 3; ++i) Pass();
    CPPUNIT_ASSERT(store_.manifest);
  }

  void AnswerQuestion_OfANewEntryVm_GivesItAllItNeeds() {
    const std::optional<CatalogNews> answer = follower_->AnswerQuestion({});
    CPPUNIT_ASSERT(answer.has_value());
    FakeStore store;
    CatalogFollower<FakeStore> starting(EntryVmId("new"), store, clock_, SilentListener());
    starting.SetRank(5);
    starting.OnNews(*answer, true);
    CPPUNIT_ASSERT(starting.Ready());
    CPPUNIT_ASSERT_EQUAL(size_t{3}, starting.ServerCount());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, starting.InForce()->revision);
    CPPUNIT_ASSERT(!store.manifest && !store.servers);
  }

  void AnswerQuestion_BeforeTheCatalogIsKnown_IsNone() {
    FakeStore store;
    CatalogFollower<FakeStore> starting(EntryVmId("new"), store, clock_, SilentListener());
    CPPUNIT_ASSERT(!starting.AnswerQuestion({}).has_value());
  }

  void AnswerQuestion_OfWhatWeLackToo_WaitsForIt() {
    const CatalogQuestion question{{}, 1, 0, 12};
    CPPUNIT_ASSERT(!follower_->AnswerQuestion(question).has_value());
    Pass();
    AnswerServers({12, false, {}, {BackendServerId("a")}});
    CPPUNIT_ASSERT(follower_->AnswerQuestion(question).has_value());
  }

  // Whom the others ask at a start of all had read an empty store, and so all read it in the end.
  void Tick_StartedBeforeTheFirstManifest_WaitsForItAtTheStore() {
    FakeStore store;
    CatalogFollower<FakeStore> seed(EntryVmId("seed"), store, clock_, SilentListener());
    seed.SetRank(77);
    seed.Tick();
    std::exchange(store.servers, nullptr)(ServersPage{1, true, {}, {}});
    std::exchange(store.manifest, nullptr)(ManifestPage{1, nullptr});
    clock_.Advance(milliseconds(300));
    seed.Tick();
    CPPUNIT_ASSERT(store.manifest);
    CPPUNIT_ASSERT(!store.servers);
  }

  void OnNews_OfTheWhole_FillsAGap() {
    follower_->OnNews(Whole(30, {Make("b"), Make("d")}), true);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, servers_.size());
    Pass();
    AnswerServers({31, false, {}, {BackendServerId("d")}});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, servers_.size());
  }

  // A manifest that is too large for a datagram is left out of the answer.
  void OnNews_OfTheWholeWithoutItsManifest_AsksTheStoreForThat() {
    follower_->SetRank(5);
    CatalogNews news = Whole(30, {Make("b")});
    news.revision = 3;
    follower_->OnNews(news, true);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, servers_.size());
    store_.manifest = nullptr;
    for (int i = 0; i < 4; ++i) Pass();
    CPPUNIT_ASSERT(store_.manifest);
  }

  void OnNews_WithAnOlderWhole_ChangesNothing() {
    follower_->OnNews(Whole(9, {Make("d")}), true);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, servers_.size());
  }

  // A call that was open while news came may be answered with what was true before them.
  void OnAnswer_OlderThanTheNews_ChangesNothing() {
    Pass();
    follower_->OnNews(Whole(30, {Make("b")}), true);
    AnswerServers({11, false, {Make("a")}, {}});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, servers_.size());
  }

  void OnManifest_WithALowerRevision_IsNotTaken() {
    Pass();
    AnswerManifest(11, 7);
    Pass();
    AnswerManifest(12, 6);
    CPPUNIT_ASSERT((revisions_ == std::vector<uint64_t>{1, 7}));
  }

 private:
  static CatalogListener SilentListener() {
    CatalogListener listener;
    listener.on_manifest = [](const auto&) {};
    listener.on_servers = [](const auto&) {};
    listener.tell = [](const CatalogNews&) {};
    listener.ask = [](const CatalogQuestion&) {};
    listener.on_store = [](const std::string&, const std::string&) {};
    return listener;
  }
  static CatalogNews NewsThatAIsGone(uint64_t from, uint64_t version) {
    CatalogNews news;
    news.sender = EntryVmId("other");
    news.reaches_store = true;
    news.manifest_version = version;
    news.revision = 1;
    news.from = from;
    news.servers_version = version;
    news.gone.emplace_back("a");
    return news;
  }
  static CatalogNews Whole(uint64_t version, std::vector<BackendServer> servers) {
    CatalogNews news;
    news.sender = EntryVmId("other");
    news.whole = true;
    news.manifest_version = version;
    news.revision = 1;
    news.servers_version = version;
    news.changed = std::move(servers);
    return news;
  }
  static BackendServer Make(const std::string& id) {
    BackendServer server;
    server.id = BackendServerId(id);
    return server;
  }
  void Pass() {
    clock_.Advance(milliseconds(300));
    follower_->Tick();
  }
  void AnswerManifest(uint64_t version, uint64_t revision) {
    Manifest manifest;
    manifest.revision = revision;
    const auto done = std::exchange(store_.manifest, nullptr);
    CPPUNIT_ASSERT(done);
    done(ManifestPage{version, std::make_shared<const Manifest>(manifest)});
  }
  static Manifest WithOneRoute() {
    Manifest manifest;
    Route route;
    route.id = RouteId("r");
    manifest.routes.push_back(route);
    return manifest;
  }
  // Ours is revision 2 and we rely on others.
  void OnNewsOfRevision3(const std::string& manifest) {
    follower_->SetRank(5);
    clock_.Advance(milliseconds(300));
    CatalogNews news;
    news.sender = EntryVmId("other");
    news.reaches_store = true;
    news.manifest_version = 20;
    news.revision = 3;
    news.manifest = manifest;
    news.from = 10;
    news.servers_version = 10;
    follower_->OnNews(news, true);
  }
  void AnswerServers(const ServersPage& page) {
    const auto done = std::exchange(store_.servers, nullptr);
    CPPUNIT_ASSERT(done);
    done(page);
  }

  ManualClock clock_;
  FakeStore store_;
  std::unique_ptr<CatalogFollower<FakeStore>> follower_;
  std::vector<CatalogNews> told_;
  size_t asked_ = 0;  // Peers.
  std::vector<BackendServer> servers_;
  std::vector<uint64_t> revisions_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatalogFollowerTest);

}  // namespace
}  // namespace cowsliphill
