// Keeps this entry VM's catalog up to date: from the platform's store while this entry VM is the
// store reader, otherwise from the catalog updates that the reader sends. TableWatch decides which.
//
// The owner delivers updates of other entry VMs to OnUpdate and their requests to AnswerRequest. A
// manifest replaces the one in force only if its revision is higher.

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
#include "src/catalog/evacuation_set.h"
#include "src/catalog/server_list.h"
#include "src/catalog/table_watch.h"
#include "src/datagram/catalog_message.h"
#include "src/manifest/manifest_codec.h"

namespace cowsliphill {

struct CatalogListener {
  std::function<void(const std::shared_ptr<const Manifest>&)> on_manifest;
  std::function<void(const ServerChanges&)> on_servers;
  // Called when the set of evacuated failure domains has changed; may be empty.
  std::function<void(const EvacuatedDomains&)> on_evacuated = {};
  // Sends the update to all other entry VMs.
  std::function<void(const CatalogUpdate&)> send_update;
  // Sends the request to one other entry VM, a different one each time. The callee fills in
  // `reply_to`.
  std::function<void(const CatalogRequest&)> send_request;
  // Called when calls to the store for `table` begin to fail (`error` says why) or succeed again
  // (`error` is empty).
  std::function<void(const std::string& table, const std::string& error)> on_store_availability;
  // Called after each call to the store, so that the owner asks for NextTick again.
  std::function<void()> on_store_call_ended;
  // Called for each failed call to the store. `call` is "table" if it read a whole table and
  // "changes" if it read the changes since a version.
  std::function<void(const std::string& table, const std::string& call, const std::string& error)>
      on_store_call_failed;
};

template <CatalogStore Store>
class CatalogFollower {
 public:
  // Shortest interval between two requests to peers.
  static constexpr std::chrono::milliseconds kMinRequestInterval{50};
  // A starting entry VM takes a snapshot that was last confirmed longer ago than this only if it
  // gets no newer one for kStaleSnapshotDelay: its sender may have been paused or cut off, and what
  // has left since would be used again.
  static constexpr std::chrono::milliseconds kMaxSnapshotAge{1000};
  static constexpr std::chrono::milliseconds kStaleSnapshotDelay{300};
  // Interval at which servers that the store no longer lists are looked at during an outage.
  static constexpr std::chrono::milliseconds kUnlistedInterval{100};

  // `store` must outlive the follower and must not run callbacks after the follower's destruction.
  CatalogFollower(EntryVmId self, Store& store, const Clock& clock, CatalogListener listener,
                  TableWatchOptions options = {})
      : self_(std::move(self)),
        store_(store),
        clock_(clock),
        listener_(std::move(listener)),
        reads_store_at_start_(options.startup_peer_timeout.count() == 0),
        manifest_watch_(options),
        servers_watch_(options) {}

  // `rank`: position in the election order of the entry VMs that are alive; 0 is the store reader.
  void SetRank(uint32_t rank) { rank_ = rank; }

  void Tick() {
    const MonotonicTime now = clock_.Now();
    RunManifestStep(manifest_watch_.Next(ManifestRank(), now));
    RunServersStep(servers_watch_.Next(rank_, now));
    Report(servers_.RemoveUnlisted(RecentOutage(now)));
    if (stale_snapshot_ && now >= stale_snapshot_->use_at) UseStaleSnapshot();
  }

  // When Tick must be called next, unless a call to the store ends or an update arrives before.
  std::optional<MonotonicTime> NextTick() const {
    const MonotonicTime now = clock_.Now();
    std::optional<MonotonicTime> next;
    const auto by = [&next](std::optional<MonotonicTime> time) {
      if (time) next = next ? std::min(*next, *time) : *time;
    };
    by(manifest_watch_.NextWake(ManifestRank(), now));
    by(servers_watch_.NextWake(rank_, now));
    if (servers_.HasUnlisted()) by(now + kUnlistedInterval);
    if (stale_snapshot_) by(stale_snapshot_->use_at);
    return next;
  }

  // Another entry VM has given a sign of life; a starting one then waits longer for its answer.
  void OnPeerAlive() {
    manifest_watch_.OnPeerAlive();
    servers_watch_.OnPeerAlive();
  }

  // `from_predecessor`: the sender precedes this entry VM in the election order.
  void OnUpdate(const CatalogUpdate& update, bool from_predecessor) {
    const MonotonicTime now = clock_.Now();
    if (update.is_snapshot && !Ready() &&
        std::max(update.manifest_age, update.servers_age) > kMaxSnapshotAge) {
      const MonotonicTime use_at =
          stale_snapshot_ ? stale_snapshot_->use_at : now + kStaleSnapshotDelay;
      stale_snapshot_ = StaleSnapshot{update, from_predecessor, now, use_at};
      return;
    }
    Receive(update, from_predecessor, now);
  }

  // Returns a snapshot of the catalog for the entry VM that sent the request, or nullopt if this
  // one does not have the versions named in it yet. The manifest is included only if the sender has
  // an older one and it is not too large.
  std::optional<CatalogUpdate> AnswerRequest(const CatalogRequest& request) {
    if (!CanAnswer(request)) return std::nullopt;
    CatalogUpdate update = MakeUpdate(clock_.Now());
    update.is_snapshot = true;
    update.changed = servers_.Registered();
    if (manifest_->revision > request.revision) AttachManifest(update);
    return update;
  }

  // Returns an update with versions and ages, but without servers and manifest.
  CatalogUpdate MakeUpdate(MonotonicTime now) const {
    const auto millis = [](Duration d) {
      return std::chrono::duration_cast<std::chrono::milliseconds>(d);
    };
    CatalogUpdate update;
    update.sender = self_;
    update.revision = manifest_ ? manifest_->revision : 0;
    update.manifest_too_large = manifest_bytes_.size() > kMaxManifestBytesInUpdate;
    update.manifest_version = manifest_watch_.Version();
    if (evacuated_.IsKnownAt(update.manifest_version)) update.evacuated = evacuated_.Domains();
    update.manifest_age = millis(now - manifest_watch_.Confirmed());
    update.servers_version = servers_watch_.Version();
    update.servers_age = millis(now - servers_watch_.Confirmed());
    return update;
  }

  // Whether this entry VM has the versions that the request names.
  bool CanAnswer(const CatalogRequest& request) const {
    return Ready() && manifest_watch_.Version() >= request.manifest_version &&
           servers_watch_.Version() >= request.servers_version;
  }

  // Whether a manifest and the servers are known, from the store or from another entry VM.
  bool Ready() const { return manifest_ != nullptr && servers_watch_.IsLoaded(); }
  const std::shared_ptr<const Manifest>& InForce() const { return manifest_; }
  bool IsStoreReader() const {
    return rank_ == 0 || servers_watch_.HasTakenOver() || manifest_watch_.HasTakenOver();
  }
  // Time since the table was last known to be the newest, from the store or by an update.
  Duration ManifestAge() const { return clock_.Now() - manifest_watch_.Confirmed(); }
  Duration ServersAge() const { return clock_.Now() - servers_watch_.Confirmed(); }
  size_t ServerCount() const { return servers_.Size(); }

 private:
  using Step = TableWatch::Step;
  // Until it has a manifest, an entry VM that reads the store at startup watches the store whatever
  // its rank: if all entry VMs start at once, those that don't read the store request the manifest
  // from it.
  uint32_t ManifestRank() const {
    return manifest_ == nullptr && reads_store_at_start_ ? 0 : rank_;
  }
  // Number of ranks, from 0, whose entry VMs send updates after failed calls too, so that the
  // others leave the retries to them.
  static constexpr uint32_t kRanksThatReportFailures = 2;
  // Number of updates that list a change of the servers, because datagrams may be lost. A change of
  // more than kLargeChange servers has kilobytes and is sent less often.
  static constexpr uint32_t kTransmissions = 4;
  static constexpr uint32_t kLargeTransmissions = 2;
  static constexpr size_t kLargeChange = 100;
  // Largest number of changed and removed servers in an update: some 45 KB of the 65 KB that a
  // datagram has. A larger change is left out, and the receivers request a snapshot.
  static constexpr size_t kMaxServersInUpdate = 2500;
  // Limits on what is retained besides the newest change. Most entry VMs never send it.
  static constexpr size_t kMaxRetainedChanges = 16;
  static constexpr size_t kMaxRetainedServers = 300;
  // Number of updates that carry a new manifest. An entry VM that misses all of them requests it.
  static constexpr size_t kManifestTransmissions = 2;
  // Every entry VM reads a manifest whose encoding is larger than this from the store, because a
  // store reader with a slow link would need too long to send it to all of them.
  static constexpr size_t kMaxManifestBytesInUpdate = 30000;

  // Changes of servers from one answer of the store or one update.
  struct RetainedChanges {
    uint64_t version = 0;  // Of the servers' table after them.
    std::vector<BackendServer> changed;
    std::vector<BackendServerId> removed;
    uint32_t transmissions_left = 0;

    size_t Size() const { return changed.size() + removed.size(); }
  };
  void RetainChanges(uint64_t version, const std::vector<BackendServer>& changed,
                     const std::vector<BackendServerId>& removed) {
    RetainedChanges changes{version, changed, removed, kTransmissions};
    if (changes.Size() == 0) return;
    if (changes.Size() > kMaxServersInUpdate) return ForgetChanges(version);
    if (changes.Size() > kLargeChange) changes.transmissions_left = kLargeTransmissions;
    recent_changes_.push_back(std::move(changes));
    size_t servers = 0;
    size_t kept = 0;
    for (auto it = recent_changes_.rbegin(); it != recent_changes_.rend(); ++it, ++kept) {
      servers += it->Size();
      const bool fits = kept < kMaxRetainedChanges && servers <= kMaxRetainedServers;
      if (kept > 0 && !fits) break;
    }
    DropChanges(recent_changes_.size() - kept);
  }
  void ForgetChanges(uint64_t version) {
    recent_changes_.clear();
    retained_since_ = version;
  }
  // Drops the oldest `n` changes.
  void DropChanges(size_t n) {
    for (; n > 0; --n) {
      retained_since_ = recent_changes_.front().version;
      recent_changes_.pop_front();
    }
  }

  bool RecentOutage(MonotonicTime now) const {
    return servers_watch_.OutageWithin(ServerList::kRejoinWindow, now);
  }

  // Return what an update reports about one table. The caller sets is_caught_up or is_snapshot.
  static TableWatch::TableUpdate ManifestTableUpdate(const CatalogUpdate& update,
                                                     bool from_predecessor, MonotonicTime now) {
    TableWatch::TableUpdate table_update;
    table_update.version = update.manifest_version;
    table_update.from_predecessor = from_predecessor;
    table_update.reaches_store = update.reaches_store;
    table_update.confirmed = now - update.manifest_age;
    table_update.only_in_store = update.manifest_too_large;
    return table_update;
  }
  static TableWatch::TableUpdate ServersTableUpdate(const CatalogUpdate& update,
                                                    bool from_predecessor, MonotonicTime now) {
    TableWatch::TableUpdate table_update;
    table_update.version = update.servers_version;
    table_update.from_predecessor = from_predecessor;
    table_update.reaches_store = update.reaches_store;
    table_update.confirmed = now - update.servers_age;
    return table_update;
  }

  void Receive(const CatalogUpdate& update, bool from_predecessor, MonotonicTime now) {
    ApplyReceivedManifest(update);
    if (update.evacuated) {
      Report(evacuated_.Replace(*update.evacuated, update.manifest_version));
    }
    if (update.is_snapshot) return OnSnapshot(update, from_predecessor, now);
    // The manifest's table has other rows too, so its version may grow without a new manifest.
    const bool same = manifest_ != nullptr && update.revision <= manifest_->revision;
    TableWatch::TableUpdate manifest = ManifestTableUpdate(update, from_predecessor, now);
    manifest.is_caught_up = same;
    manifest_watch_.OnTableUpdate(manifest, now);
    const uint64_t before = servers_watch_.Version();
    const bool is_caught_up = update.servers_base_version <= before;
    if (is_caught_up && update.servers_version > before) {
      // The receivers of the next update from here may lack these changes too.
      RetainChanges(update.servers_version, update.changed, update.removed);
      ApplyServers({update.servers_version, false, update.changed, update.removed}, now);
    }
    TableWatch::TableUpdate servers = ServersTableUpdate(update, from_predecessor, now);
    servers.is_caught_up = is_caught_up;
    servers_watch_.OnTableUpdate(servers, now);
    Tick();
  }

  void UseStaleSnapshot() {
    StaleSnapshot stale = std::move(*stale_snapshot_);
    stale_snapshot_.reset();
    if (Ready()) return;
    const auto passed =
        std::chrono::duration_cast<std::chrono::milliseconds>(clock_.Now() - stale.received_at);
    stale.update.manifest_age += passed;
    stale.update.servers_age += passed;
    Receive(stale.update, stale.from_predecessor, clock_.Now());
  }

  // Handles a snapshot, the answer to a request. Its sender may be cut off from the store.
  void OnSnapshot(const CatalogUpdate& update, bool from_predecessor, MonotonicTime now) {
    if (!manifest_ || update.revision < manifest_->revision) return;
    const uint64_t before = servers_watch_.Version();
    const bool newer = update.servers_version > before ||
                       (update.servers_version == before && !servers_watch_.IsLoaded());
    const bool same =
        update.revision == manifest_->revision;  // Otherwise the newer manifest was not included.
    TableWatch::TableUpdate manifest = ManifestTableUpdate(update, from_predecessor, now);
    manifest.is_snapshot = same;
    manifest_watch_.OnTableUpdate(manifest, now);
    servers_watch_.NoteVersion(update.servers_version, now);
    if (newer) {
      ForgetChanges(update.servers_version);
      ApplyServers({update.servers_version, true, update.changed, {}}, now);
    }
    TableWatch::TableUpdate servers = ServersTableUpdate(update, from_predecessor, now);
    servers.is_snapshot = true;
    servers_watch_.OnTableUpdate(servers, now);
    Tick();
  }

  // The watches of both tables may need a request at the same time; one answer serves both.
  void SendRequest() {
    const MonotonicTime now = clock_.Now();
    if (last_request_ && now - *last_request_ < kMinRequestInterval) return;
    last_request_ = now;
    listener_.send_request({{},
                            manifest_ ? manifest_->revision : 0,
                            manifest_watch_.NewestKnown(),
                            servers_watch_.NewestKnown()});
  }

  void RunManifestStep(Step step) {
    if (step == Step::kNone) return;
    if (step == Step::kRequestFromPeer) return SendRequest();
    // The changes contain every revision since the last answer, the table only the newest.
    // Updates of builds before evacuations bring versions without the set of evacuated domains.
    const bool reads_table = step == Step::kReadTable || manifest_watch_.MayLackChanges() ||
                             !evacuated_.IsKnownAt(manifest_watch_.Version());
    if (!reads_table) return ReadManifestChanges(LongPollTimeout(step));
    store_.ReadManifest([this, step](const Result<ManifestAnswer, CatalogError>& result) {
      // If the newest revision is unreadable, an earlier one may be among the changes.
      const bool is_unreadable = Ok(result) && !ValueOf(result).manifest;
      if (is_unreadable && step != Step::kReadTable) {
        Report(evacuated_.Apply(ValueOf(result), std::nullopt));
        return ReadManifestChanges(std::chrono::milliseconds(0));
      }
      OnManifestAnswer(std::nullopt, result);
    });
  }

  void ReadManifestChanges(std::chrono::milliseconds wait) {
    const uint64_t after = manifest_watch_.Version();
    store_.WatchManifest(after, wait,
                         [this, after](const Result<ManifestAnswer, CatalogError>& result) {
                           OnManifestAnswer(after, result);
                         });
  }

  // `after`: the version after which changes were read; nullopt: the table was read.
  void OnManifestAnswer(std::optional<uint64_t> after,
                        const Result<ManifestAnswer, CatalogError>& result) {
    const char* call = after ? "changes" : "table";
    const MonotonicTime now = clock_.Now();
    if (!Ok(result)) return OnStoreFailure("manifest", call, manifest_watch_, ErrorOf(result), now);
    const ManifestAnswer& answer = ValueOf(result);
    OnStoreReached("manifest", manifest_calls_fail_);
    manifest_watch_.OnAnswer(answer.version, now);
    Report(evacuated_.Apply(answer, after));
    if (answer.manifest && (!manifest_ || answer.manifest->revision > manifest_->revision)) {
      ApplyManifest(answer.manifest, "");
    }
    if (IsStoreReader()) SendUpdate(true, now);
    OnStoreCallEnded();
  }
  void OnStoreCallEnded() {
    Tick();
    listener_.on_store_call_ended();
  }

  // `bytes`: the encoded manifest, or empty if the caller does not have it.
  void ApplyManifest(const std::shared_ptr<const Manifest>& manifest, std::string bytes) {
    manifest_ = manifest;
    manifest_bytes_ = std::move(bytes);
    manifest_transmissions_left_ = kManifestTransmissions;
    listener_.on_manifest(manifest_);
  }

  // The manifest is encoded only here, because most entry VMs never send it.
  void AttachManifest(CatalogUpdate& update) {
    if (manifest_bytes_.empty()) manifest_bytes_ = EncodeManifest(*manifest_);
    update.manifest_too_large = manifest_bytes_.size() > kMaxManifestBytesInUpdate;
    if (!update.manifest_too_large) update.manifest = manifest_bytes_;
  }

  // Applies a new manifest that the update carries, so that not every entry VM reads the store.
  void ApplyReceivedManifest(const CatalogUpdate& update) {
    if (update.manifest.empty() || (!manifest_ && !update.is_snapshot)) return;
    if (manifest_ && update.revision <= manifest_->revision) return;
    std::optional<Manifest> received = DecodeManifest(update.manifest);
    if (!received) return;  // manifest_watch_ then requests it from peers or reads the store.
    received->revision = update.revision;
    ApplyManifest(std::make_shared<const Manifest>(std::move(*received)), update.manifest);
  }

  void RunServersStep(Step step) {
    if (step == Step::kNone) return;
    if (step == Step::kRequestFromPeer) return SendRequest();
    const bool reads_table = step == Step::kReadTable;
    const auto done = [this, reads_table](const Result<ServersAnswer, CatalogError>& result) {
      const MonotonicTime now = clock_.Now();
      if (!Ok(result)) {
        const char* call = reads_table ? "table" : "changes";
        return OnStoreFailure("servers", call, servers_watch_, ErrorOf(result), now);
      }
      const ServersAnswer& answer = ValueOf(result);
      OnStoreReached("servers", servers_calls_fail_);
      const uint64_t before = servers_watch_.Version();
      servers_watch_.OnAnswer(answer.version, now);
      // An update that came during the call may have brought a newer version than the answer.
      if (answer.version >= before) {
        ApplyServers(answer, now);
        if (answer.is_snapshot) {
          ForgetChanges(answer.version);
        } else {
          RetainChanges(answer.version, answer.changed, answer.removed);
        }
      }
      if (IsStoreReader()) SendUpdate(true, now);
      OnStoreCallEnded();
    };
    if (reads_table) return store_.ReadServers(done);
    store_.WatchServers(servers_watch_.Version(), LongPollTimeout(step), done);
  }

  std::chrono::milliseconds LongPollTimeout(Step step) const {
    return step == Step::kWatch ? servers_watch_.LongPollTimeout() : std::chrono::milliseconds(0);
  }

  void ApplyServers(const ServersAnswer& answer, MonotonicTime now) {
    const bool nothing = answer.changed.empty() && answer.removed.empty() && !answer.is_snapshot;
    if (nothing) return;
    Report(servers_.Apply(answer, RecentOutage(now), now));
  }
  void Report(bool evacuated_changed) const {
    if (evacuated_changed && listener_.on_evacuated) listener_.on_evacuated(evacuated_.Domains());
  }
  void Report(const ServerChanges& changes) const {
    if (!changes.Empty()) listener_.on_servers(changes);
  }

  void OnStoreFailure(const char* table, const char* call, TableWatch& watch,
                      const CatalogError& error, MonotonicTime now) {
    listener_.on_store_call_failed(table, call, error.detail);
    if (error.kind == CatalogErrorKind::kHistoryGone) {
      watch.OnHistoryGone();
      return OnStoreCallEnded();
    }
    if (error.kind == CatalogErrorKind::kTooLarge) {
      watch.OnTooLarge(now);
    } else {
      watch.OnFailure(now);
    }
    if (rank_ < kRanksThatReportFailures) SendUpdate(false, now);
    bool& calls_fail = &watch == &manifest_watch_ ? manifest_calls_fail_ : servers_calls_fail_;
    if (!calls_fail) listener_.on_store_availability(table, error.detail);
    calls_fail = true;
    listener_.on_store_call_ended();
  }

  void OnStoreReached(const char* table, bool& calls_fail) {
    if (calls_fail) listener_.on_store_availability(table, "");
    calls_fail = false;
  }

  // Adds the changes to the update. They replace earlier changes of the same servers in it.
  static void MergeChanges(const RetainedChanges& changes, CatalogUpdate& update) {
    for (const BackendServer& server : changes.changed) {
      std::erase(update.removed, server.id);
      std::erase_if(update.changed, [&](const BackendServer& it) { return it.id == server.id; });
      update.changed.push_back(server);
    }
    for (const BackendServerId& id : changes.removed) {
      std::erase_if(update.changed, [&](const BackendServer& it) { return it.id == id; });
      std::erase(update.removed, id);
      update.removed.push_back(id);
    }
  }

  // Adds the retained changes to the update, and drops those that were sent often enough.
  void AttachChanges(CatalogUpdate& update) {
    update.servers_base_version = retained_since_;
    size_t sent = 0;
    for (size_t i = 0; i < recent_changes_.size(); ++i) {
      MergeChanges(recent_changes_[i], update);
      if (--recent_changes_[i].transmissions_left == 0) sent = i + 1;
    }
    DropChanges(sent);
  }

  // Sends an update to all other entry VMs. `reaches_store`: the store has just answered this one.
  void SendUpdate(bool reaches_store, MonotonicTime now) {
    if (!manifest_watch_.IsLoaded() || !servers_watch_.IsLoaded()) return;
    CatalogUpdate update = MakeUpdate(now);
    update.reaches_store = reaches_store;
    AttachChanges(update);
    if (manifest_transmissions_left_ > 0) {
      --manifest_transmissions_left_;
      AttachManifest(update);
    }
    listener_.send_update(update);
  }

  struct StaleSnapshot {
    CatalogUpdate update;
    bool from_predecessor = false;
    MonotonicTime received_at;
    MonotonicTime use_at;
  };

  EntryVmId self_;
  Store& store_;
  const Clock& clock_;
  CatalogListener listener_;
  bool reads_store_at_start_;
  TableWatch manifest_watch_;
  TableWatch servers_watch_;
  ServerList servers_;
  EvacuationSet evacuated_;
  std::shared_ptr<const Manifest> manifest_;   // The manifest in force; null until there is one.
  std::string manifest_bytes_;                 // manifest_ encoded; empty until it is needed.
  size_t manifest_transmissions_left_ = 0;     // Number of updates that will still carry manifest_.
  std::optional<MonotonicTime> last_request_;  // When a request was last sent to a peer.
  // All changes of the servers after version retained_since_, oldest first.
  std::deque<RetainedChanges> recent_changes_;
  uint64_t retained_since_ = 0;
  std::optional<StaleSnapshot> stale_snapshot_;
  uint32_t rank_ = 0;
  bool manifest_calls_fail_ = false;
  bool servers_calls_fail_ = false;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CATALOG_CATALOG_FOLLOWER_H_
