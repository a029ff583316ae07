// The backend servers of the catalog, updated by answers of the store and by catalog updates. Does
// no I/O; the caller passes the time.
//
// A server whose entry expired while the store was unreachable is not removed at once: it may have
// been unable to renew the entry, and registers again soon after the store is back.

#ifndef COWSLIPHILL_CATALOG_SERVER_LIST_H_
#define COWSLIPHILL_CATALOG_SERVER_LIST_H_

#include <map>
#include <set>
#include <vector>

#include "src/base/clock.h"
#include "src/catalog/catalog.h"

namespace cowsliphill {

class ServerList {
 public:
  // Servers whose entries expired during an outage register again within 2 seconds of its end.
  static constexpr std::chrono::milliseconds kRejoinWindow{2200};

  // `recent_outage`: the store is unreachable, or was so less than kRejoinWindow ago.
  void Apply(const ServersAnswer& answer, bool recent_outage, MonotonicTime now) {
    std::set<BackendServerId> listed;
    for (const BackendServer& server : answer.changed) {
      listed.insert(server.id);
      Put(server);
    }
    for (const BackendServerId& id : answer.removed) Remove(id, recent_outage, now);
    if (!answer.is_snapshot) return;
    std::vector<BackendServerId> missing;
    for (const auto& [id, server] : servers_) {
      if (listed.count(id) == 0) missing.push_back(id);
    }
    for (const BackendServerId& id : missing) Remove(id, recent_outage, now);
  }

  // Removes the servers that the store no longer lists, unless there was a recent outage. Returns
  // whether any were removed.
  bool RemoveUnlisted(bool recent_outage, MonotonicTime now) {
    if (recent_outage) return false;
    const size_t before = servers_.size();
    for (const auto& [id, since] : unlisted_) servers_.erase(id);
    unlisted_.clear();
    return servers_.size() != before;
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

 private:
  void Put(const BackendServer& server) {
    unlisted_.erase(server.id);
    const auto it = servers_.find(server.id);
    if (it == servers_.end()) {
      servers_.emplace(server.id, server);
      return;
    }
    const bool same_lifetime = it->second.started == server.started;
    const bool was_leaving = it->second.state == BackendState::kLeaving;
    it->second = server;
    // A server that is leaving becomes active again only by a restart.
    if (same_lifetime && was_leaving) it->second.state = BackendState::kLeaving;
  }
  void Remove(const BackendServerId& id, bool recent_outage, MonotonicTime now) {
    if (recent_outage) {
      if (servers_.count(id) > 0) unlisted_.emplace(id, now);
    } else {
      servers_.erase(id);
      unlisted_.erase(id);
    }
  }

  std::map<BackendServerId, BackendServer> servers_;
  // Servers in servers_ that the store no longer lists, with the time at which this was learned.
  std::map<BackendServerId, MonotonicTime> unlisted_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CATALOG_SERVER_LIST_H_
