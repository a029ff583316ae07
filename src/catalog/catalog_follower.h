// Keeps this entry VM's catalog up to date: from the platform's store when it is its turn to ask,
// else from the news of the entry VM that asks. TableWatch decides which.
//
// `tell` sends news to all other entry VMs; give what comes from them to OnNews. A manifest with a
// lower revision than the one in force is never taken.

#ifndef COWSLIPHILL_CATALOG_CATALOG_FOLLOWER_H_
#define COWSLIPHILL_CATALOG_CATALOG_FOLLOWER_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "src/base/clock.h"
#include "src/catalog/catalog.h"
#include "src/catalog/server_list.h"
#include "src/catalog/table_watch.h"
#include "src/manifest/manifest_codec.h"
#include "src/zone/zone_message.h"

namespace cowsliphill {

struct CatalogListener {
  std::function<void(const std::shared_ptr<const Manifest>&)> on_manifest;
  std::function<void(const std::vector<BackendServer>&)> on_servers;
  std::function<void(const CatalogNews&)> tell;
  // Send this to another entry VM, not the same one each time; `reply_to` is not filled in.
  std::function<void(const CatalogQuestion&)> ask;
  // The store was lost (with the error) or regained (empty text).
  std::function<void(const std::string& table, const std::string& error)> on_store;
};

template <CatalogStore Store>
class CatalogFollower {
 public:
  static constexpr std::chrono::milliseconds kTick{50};  // Call Tick about this often.

  // `store` outlives the follower; its callbacks must not run after the follower is gone.
  CatalogFollower(EntryVmId self, Store& store, const Clock& clock, CatalogListener listener,
                  TableWatchTimes times = {})
      : self_(std::move(self)),
        store_(store),
        clock_(clock),
        listener_(std::move(listener)),
        is_asked_first_(times.start_patience.count() == 0),
        manifest_watch_(times),
        servers_watch_(times) {}

  // Place in the order of election among the entry VMs that are alive; 0 asks the store.
  void SetRank(uint32_t rank) { rank_ = rank; }

  void Tick() {
    const MonotonicTime now = clock_.Now();
    // Those that the others ask when all start wait for the first manifest themselves.
    const bool first_reader = manifest_ == nullptr && is_asked_first_;
    AskManifest(manifest_watch_.Next(first_reader ? 0 : rank_, now));
    AskServers(servers_watch_.Next(rank_, now));
    if (servers_.DropLapsed(Outage(now), now)) listener_.on_servers(servers_.All());
  }

  void OnNews(const CatalogNews& news, bool from_before_us) {
    const MonotonicTime now = clock_.Now();
    TakeToldManifest(news);
    if (news.whole) return OnWholeNews(news, from_before_us, now);
    // The table holds other rows too: a new version of it need not be a new manifest.
    const bool same = manifest_ != nullptr && news.revision <= manifest_->revision;
    TableWatch::News manifest = OfManifest(news, from_before_us, now);
    manifest.covered = same;
    manifest_watch_.OnNews(manifest, now);
    const uint64_t before = servers_watch_.Version();
    const bool covered = news.from <= before;
    if (covered && news.servers_version > before) {
      // Whoever we tell next may stand before these changes too.
      Remember({before, news.changed, news.gone});
      TakeServers({news.servers_version, false, news.changed, news.gone}, now);
    }
    TableWatch::News servers = OfServers(news, from_before_us, now);
    servers.covered = covered;
    servers_watch_.OnNews(servers, now);
    Tick();
  }

  // The whole catalog for an entry VM that asks; nullopt: we don't know yet what it lacks.
  std::optional<CatalogNews> AnswerQuestion(const CatalogQuestion& question) {
    if (!Ready() || manifest_watch_.Version() < question.manifest_version ||
        servers_watch_.Version() < question.servers_version) {
      return std::nullopt;
    }
    CatalogNews news = NewsNow(clock_.Now());
    news.whole = true;
    news.changed = servers_.Present();
    if (manifest_->revision > question.revision) AddManifest(news);
    return news;
  }

  // Whether both tables were read.
  bool Ready() const { return manifest_ != nullptr && servers_watch_.Known(); }
  const std::shared_ptr<const Manifest>& InForce() const { return manifest_; }
  bool IsReader() const {
    return rank_ == 0 || servers_watch_.IsReading() || manifest_watch_.IsReading();
  }
  Duration ManifestAge() const { return clock_.Now() - manifest_watch_.Confirmed(); }
  Duration ServersAge() const { return clock_.Now() - servers_watch_.Confirmed(); }
  size_t ServerCount() const { return servers_.Size(); }

 private:
  using Step = TableWatch::Step;
  static constexpr uint32_t kMostLeaders = 2;  // First in the order; they retry most often.
  static constexpr size_t kToldAgain = 4;      // Changes go out so many times: datagrams get lost.
  static constexpr size_t kMostToldServers = 100;  // More than fit into a datagram.
  static constexpr size_t kManifestTells = 2;      // Who misses both asks for it.
  // Bytes. A larger manifest is read by each from the store: a reader with a small link would need
  // too long to send it to all.
  static constexpr size_t kMostToldManifest = 30000;

  // What one answer of the store, or one piece of news, changed since version `from`.
  struct Told {
    uint64_t from = 0;
    std::vector<BackendServer> changed;
    std::vector<BackendServerId> gone;
  };
  void Remember(Told told) {
    told_.push_back(std::move(told));
    if (told_.size() > kToldAgain) told_.pop_front();
  }

  bool Outage(MonotonicTime now) const {
    return servers_watch_.OutageWithin(ServerList::kReturnTime, now);
  }

  // What news say of one table. Whether we then have all of it is for the caller to add.
  static TableWatch::News OfManifest(const CatalogNews& news, bool from_before_us,
                                     MonotonicTime now) {
    TableWatch::News heard;
    heard.version = news.manifest_version;
    heard.from_before_us = from_before_us;
    heard.reaches_store = news.reaches_store;
    heard.confirmed = now - news.manifest_age;
    heard.only_in_store = news.manifest_too_large;
    return heard;
  }
  static TableWatch::News OfServers(const CatalogNews& news, bool from_before_us,
                                    MonotonicTime now) {
    TableWatch::News heard;
    heard.version = news.servers_version;
    heard.from_before_us = from_before_us;
    heard.reaches_store = news.reaches_store;
    heard.confirmed = now - news.servers_age;
    return heard;
  }

  // An answer to our question. Whoever sent it need not reach the store.
  void OnWholeNews(const CatalogNews& news, bool from_before_us, MonotonicTime now) {
    if (!manifest_ || news.revision < manifest_->revision) return;
    const uint64_t before = servers_watch_.Version();
    const bool newer = news.servers_version > before ||
                       (news.servers_version == before && !servers_watch_.Known());
    const bool same =
        news.revision == manifest_->revision;  // Else its manifest did not come along.
    TableWatch::News manifest = OfManifest(news, from_before_us, now);
    manifest.whole = same;
    manifest_watch_.OnNews(manifest, now);
    if (newer) {
      told_.clear();
      TakeServers({news.servers_version, true, news.changed, {}}, now);
    }
    TableWatch::News servers = OfServers(news, from_before_us, now);
    servers.whole = true;
    servers_watch_.OnNews(servers, now);
    Tick();
  }

  // Both tables' watches may want to ask at once; one answer serves both.
  void AskPeers() {
    const MonotonicTime now = clock_.Now();
    if (asked_ && now - *asked_ < kTick) return;
    asked_ = now;
    listener_.ask({{},
                   manifest_ ? manifest_->revision : 0,
                   manifest_watch_.Newest(),
                   servers_watch_.Newest()});
  }

  void AskManifest(Step step) {
    if (step == Step::kNone) return;
    if (step == Step::kAskPeers) return AskPeers();
    const auto done = [this](const Result<ManifestPage, CatalogError>& result) {
      const MonotonicTime now = clock_.Now();
      if (!Ok(result)) return Failed("manifest", manifest_watch_, ErrorOf(result), now);
      const ManifestPage& page = ValueOf(result);
      Reached("manifest", manifest_lost_);
      manifest_watch_.OnAnswer(page.version, now);
      if (page.manifest && (!manifest_ || page.manifest->revision > manifest_->revision)) {
        TakeManifest(page.manifest, "");
      }
      if (IsReader()) Tell(true, now);
      Tick();
    };
    if (step == Step::kReadWhole) return store_.ReadManifest(done);
    store_.WatchManifest(manifest_watch_.Version(), HoldOf(step), done);
  }

  // `bytes`: encoded, if they are at hand.
  void TakeManifest(const std::shared_ptr<const Manifest>& manifest, std::string bytes) {
    manifest_ = manifest;
    manifest_bytes_ = std::move(bytes);
    manifest_tells_ = kManifestTells;
    listener_.on_manifest(manifest_);
  }

  // Most entry VMs never tell it.
  void AddManifest(CatalogNews& news) {
    if (manifest_bytes_.empty()) manifest_bytes_ = EncodeManifest(*manifest_);
    news.manifest_too_large = manifest_bytes_.size() > kMostToldManifest;
    if (!news.manifest_too_large) news.manifest = manifest_bytes_;
  }

  // A changed manifest reaches entry VMs with the news of it, so that not each reads the store.
  void TakeToldManifest(const CatalogNews& news) {
    if (news.manifest.empty() || (!manifest_ && !news.whole)) return;
    if (manifest_ && news.revision <= manifest_->revision) return;
    std::optional<Manifest> told = DecodeManifest(news.manifest);
    if (!told) return;  // The store has it; OnNews asks there.
    told->revision = news.revision;
    TakeManifest(std::make_shared<const Manifest>(std::move(*told)), news.manifest);
  }

  void AskServers(Step step) {
    if (step == Step::kNone) return;
    if (step == Step::kAskPeers) return AskPeers();
    const auto done = [this](const Result<ServersPage, CatalogError>& result) {
      const MonotonicTime now = clock_.Now();
      if (!Ok(result)) return Failed("servers", servers_watch_, ErrorOf(result), now);
      const ServersPage& page = ValueOf(result);
      Reached("servers", servers_lost_);
      const uint64_t before = servers_watch_.Version();
      servers_watch_.OnAnswer(page.version, now);
      // News may have taken us past it while the call was open.
      if (page.version >= before) {
        TakeServers(page, now);
        if (page.whole) {
          told_.clear();
        } else {
          Remember({before, page.changed, page.gone});
        }
      }
      if (IsReader()) Tell(true, now);
      Tick();
    };
    if (step == Step::kReadWhole) return store_.ReadServers(done);
    store_.WatchServers(servers_watch_.Version(), HoldOf(step), done);
  }

  std::chrono::milliseconds HoldOf(Step step) const {
    return step == Step::kWatch ? servers_watch_.Hold() : std::chrono::milliseconds(0);
  }

  void TakeServers(const ServersPage& page, MonotonicTime now) {
    const bool nothing = page.changed.empty() && page.gone.empty() && !page.whole;
    if (nothing) return;
    servers_.Apply(page, Outage(now), now);
    listener_.on_servers(servers_.All());
  }

  void Failed(const char* table, TableWatch& watch, const CatalogError& error, MonotonicTime now) {
    if (error.kind == CatalogErrorKind::kHistoryGone) {
      watch.OnHistoryGone();
      return Tick();
    }
    watch.OnFailure(now);
    if (rank_ < kMostLeaders) Tell(false, now);  // Others then leave the retries to us.
    bool& lost = &watch == &manifest_watch_ ? manifest_lost_ : servers_lost_;
    if (!lost) listener_.on_store(table, error.detail);
    lost = true;
  }

  void Reached(const char* table, bool& lost) {
    if (lost) listener_.on_store(table, "");
    lost = false;
  }

  // Versions and ages, without contents.
  CatalogNews NewsNow(MonotonicTime now) const {
    const auto millis = [](Duration d) {
      return std::chrono::duration_cast<std::chrono::milliseconds>(d);
    };
    CatalogNews news;
    news.sender = self_;
    news.revision = manifest_ ? manifest_->revision : 0;
    news.manifest_too_large = manifest_bytes_.size() > kMostToldManifest;
    news.manifest_version = manifest_watch_.Version();
    news.manifest_age = millis(now - manifest_watch_.Confirmed());
    news.servers_version = servers_watch_.Version();
    news.servers_age = millis(now - servers_watch_.Confirmed());
    return news;
  }

  // Of several changes of one server the last one counts.
  static void Merge(const Told& told, CatalogNews& news) {
    for (const BackendServer& server : told.changed) {
      std::erase(news.gone, server.id);
      std::erase_if(news.changed, [&](const BackendServer& it) { return it.id == server.id; });
      news.changed.push_back(server);
    }
    for (const BackendServerId& id : told.gone) {
      std::erase_if(news.changed, [&](const BackendServer& it) { return it.id == id; });
      std::erase(news.gone, id);
      news.gone.push_back(id);
    }
  }

  // Tells what this entry VM knows; `reaches_store`: it has just heard from the store itself.
  void Tell(bool reaches_store, MonotonicTime now) {
    if (!manifest_watch_.Known() || !servers_watch_.Known()) return;
    CatalogNews news = NewsNow(now);
    news.reaches_store = reaches_store;
    news.from = told_.empty() ? news.servers_version : told_.front().from;
    for (const Told& told : told_) Merge(told, news);
    if (news.changed.size() + news.gone.size() > kMostToldServers) {
      news.changed.clear();
      news.gone.clear();
      news.from = news.servers_version;
    }
    if (manifest_tells_ > 0) {
      --manifest_tells_;
      AddManifest(news);
    }
    listener_.tell(news);
  }

  EntryVmId self_;
  Store& store_;
  const Clock& clock_;
  CatalogListener listener_;
  bool is_asked_first_;
  TableWatch manifest_watch_;
  TableWatch servers_watch_;
  ServerList servers_;
  std::shared_ptr<const Manifest> manifest_;  // In force; null until one was read.
  std::string manifest_bytes_;                // Of manifest_, encoded; empty: not yet.
  size_t manifest_tells_ = 0;                 // How often it still goes out with our news.
  std::optional<MonotonicTime> asked_;        // When we last asked a peer.
  std::deque<Told> told_;
  uint32_t rank_ = 0;
  bool manifest_lost_ = false;
  bool servers_lost_ = false;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CATALOG_CATALOG_FOLLOWER_H_
