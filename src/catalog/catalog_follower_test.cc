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
  CPPUNIT_TEST(OnManifest_WithALowerRevision_IsNotTaken);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    store_ = FakeStore();
    told_.clear();
    servers_.clear();
    revisions_.clear();
    CatalogListener listener;
    listener.on_manifest = [this](const auto& manifest) {
      revisions_.push_back(manifest->revision);
    };
    listener.on_servers = [this](const auto& servers) { servers_ = servers; };
    listener.tell = [this](const CatalogNews& news) { told_.push_back(news); };
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
    CatalogNews news;
    news.sender = EntryVmId("other");
    news.reaches_store = true;
    news.manifest_version = 12;
    news.revision = 1;
    news.from = 11;
    news.servers_version = 12;
    news.gone.emplace_back("a");
    follower_->OnNews(news, false);
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
    CatalogNews news;
    news.sender = EntryVmId("other");
    news.reaches_store = true;
    news.manifest_version = 20;
    news.revision = 1;
    news.from = 19;
    news.servers_version = 20;
    news.gone.emplace_back("a");
    follower_->OnNews(news, false);
    Pass();
    CPPUNIT_ASSERT_EQUAL(uint64_t{11}, store_.watched_after);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, servers_.size());
  }

  void OnManifest_WithALowerRevision_IsNotTaken() {
    Pass();
    AnswerManifest(11, 7);
    Pass();
    AnswerManifest(12, 6);
    CPPUNIT_ASSERT((revisions_ == std::vector<uint64_t>{1, 7}));
  }

 private:
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
  void AnswerServers(const ServersPage& page) {
    const auto done = std::exchange(store_.servers, nullptr);
    CPPUNIT_ASSERT(done);
    done(page);
  }

  ManualClock clock_;
  FakeStore store_;
  std::unique_ptr<CatalogFollower<FakeStore>> follower_;
  std::vector<CatalogNews> told_;
  std::vector<BackendServer> servers_;
  std::vector<uint64_t> revisions_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatalogFollowerTest);

}  // namespace
}  // namespace cowsliphill
