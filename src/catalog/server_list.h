// The backend servers of the catalog, updated by answers of the store and by catalog updates. Does
// no I/O; the caller passes the time.
//
// A server whose entry expired while the store was unreachable is not removed at once: it may have
// been unable to renew the entry, and registers again soon after the store is back.
//
// A server that was leaving when it was removed is still leaving if its entry reappears, which
// happens when the store comes back from an older copy. Only a restart makes it usable.

#ifndef COWSLIPHILL_CATALOG_SERVER_LIST_H_
#define COWSLIPHILL_CATALOG_SERVER_LIST_H_

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "src/base/clock.h"
#include "src/catalog/catalog.h"
#include "src/manifest/server_changes.h"

namespace cowsliphill {

class ServerList {
 public:
  // Servers whose entries expired during an outage register again within 2 seconds of its end.
  static constexpr std::chrono::milliseconds kRejoinWindow{2200};
  static constexpr size_t kMaxDeparted = 10000;  // Removed servers that are remembered as leaving.

  // Returns what changed. `recent_outage`: the store is unreachable, or was so less than
  // kRejoinWindow ago.
  ServerChanges Apply(const ServersAnswer& answer, bool recent_outage, MonotonicTime now) {
    ServerChanges changes;
    std::set<BackendServerId> listed;
    for (const BackendServer& server : answer.changed) {
      if (answer.is_snapshot) listed.insert(server.id);
      Put(server, changes);
    }
    for (const BackendServerId& id : answer.removed) Remove(id, recent_outage, now, changes);
    if (!answer.is_snapshot) return changes;
    std::vector<BackendServerId> missing;
    for (const auto& [id, server] : servers_) {
      if (listed.count(id) == 0) missing.push_back(id);
    }
    for (const BackendServerId& id : missing) Remove(id, recent_outage, now, changes);
    return changes;
  }

  // Removes the servers that the store no longer lists, unless there was a recent outage.
  ServerChanges RemoveUnlisted(bool recent_outage) {
    ServerChanges changes;
    if (recent_outage) return changes;
    for (const auto& [id, since] : unlisted_) Erase(id, changes);
    unlisted_.clear();
    return changes;
  }

  std::vector<BackendServer> All() const {
    std::vector<BackendServer> all;
    for (const auto& [id, server] : servers_) all.push_back(server);
    return all;
  }
  // All servers except those that the store no longer lists.
  std::vector<BackendServer> Registered() const {
    std::vector<BackendServer> registered;
    for (const auto& [id, server] : servers_) {
      if (unlisted_.count(id) == 0) registered.push_back(server);
    }
    return registered;
  }
  size_t Size() const { return servers_.size(); }
  // Whether any servers are kept though the store no longer lists them.
  bool HasUnlisted() const { return !unlisted_.empty(); }

 private:
  void Put(const BackendServer& server, ServerChanges& changes) {
    unlisted_.erase(server.id);
    auto it = servers_.find(server.id);
    const bool moved = it != servers_.end() && (it->second.service != server.service ||
                                                it->second.failure_domain != server.failure_domain);
    if (moved) {
      ReportRemoval(it->second, changes);
      servers_.erase(it);
      it = servers_.end();
    }
    if (it == servers_.end()) {
      BackendServer& added = servers_.emplace(server.id, server).first->second;
      const auto departed = departed_.find(server.id);
      const bool has_left = departed != departed_.end() && departed->second == server.started;
      if (has_left) added.state = BackendState::kLeaving;
      changes.changed.push_back({ServerChange::Kind::kAdded, added});
      return;
    }
    const BackendServer before = it->second;
    const bool was_leaving = before.state == BackendState::kLeaving;
    it->second = server;
    // A server that is leaving becomes active again only by a restart.
    const bool reborn = before.started != server.started;
    if (!reborn && was_leaving) it->second.state = BackendState::kLeaving;
    if (it->second == before) return;
    const bool is_leaving = it->second.state == BackendState::kLeaving;
    changes.changed.push_back({reborn                       ? ServerChange::Kind::kReborn
                               : is_leaving && !was_leaving ? ServerChange::Kind::kLeaving
                                                            : ServerChange::Kind::kOther,
                               it->second});
  }
  void Remove(const BackendServerId& id, bool recent_outage, MonotonicTime now,
              ServerChanges& changes) {
    if (recent_outage) {
      if (servers_.count(id) > 0) unlisted_.emplace(id, now);
    } else {
      Erase(id, changes);
      unlisted_.erase(id);
    }
  }
  // The server may have been added or changed by the same answer.
  static void ReportRemoval(const BackendServer& server, ServerChanges& changes) {
    const auto is_same = [&server](const ServerChange& it) { return it.server.id == server.id; };
    const auto first = std::find_if(changes.changed.begin(), changes.changed.end(), is_same);
    const bool is_new = first != changes.changed.end() && first->kind == ServerChange::Kind::kAdded;
    std::erase_if(changes.changed, is_same);
    if (!is_new) changes.removed.push_back(server);
  }
  void Erase(const BackendServerId& id, ServerChanges& changes) {
    const auto it = servers_.find(id);
    if (it == servers_.end()) return;
    if (it->second.state == BackendState::kLeaving) {
      if (departed_.size() >= kMaxDeparted) departed_.clear();
      departed_[id] = it->second.started;
    }
    ReportRemoval(it->second, changes);
    servers_.erase(it);
  }

  std::map<BackendServerId, BackendServer> servers_;
  // Servers that were leaving when they were removed, with BackendServer::started.
  std::map<BackendServerId, uint64_t> departed_;
  // Servers in servers_ that the store no longer lists, with the time at which this was learned.
  std::map<BackendServerId, MonotonicTime> unlisted_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CATALOG_SERVER_LIST_H_
