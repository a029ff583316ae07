// The backend servers of the catalog, as pages and news change them. Pure.
//
// Servers whose entry lapsed while the store was out of reach are not dropped at once: they may
// have been unable to renew it, and come back soon after the store does.

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
  // Entries that lapsed during an outage are back within two seconds of its end.
  static constexpr std::chrono::milliseconds kReturnTime{2200};

  // `outage`: the store was out of reach within kReturnTime before now.
  void Apply(const ServersPage& page, bool outage, MonotonicTime now) {
    std::set<BackendServerId> named;
    for (const BackendServer& server : page.changed) {
      named.insert(server.id);
      Put(server);
    }
    for (const BackendServerId& id : page.gone) Drop(id, outage, now);
    if (!page.whole) return;
    std::vector<BackendServerId> missing;
    for (const auto& [id, server] : servers_) {
      if (named.count(id) == 0) missing.push_back(id);
    }
    for (const BackendServerId& id : missing) Drop(id, outage, now);
  }

  // Drops those whose time to come back is over. True if there were any.
  bool DropLapsed(bool outage, MonotonicTime now) {
    if (outage) return false;
    const size_t before = servers_.size();
    for (const auto& [id, since] : lapsed_) servers_.erase(id);
    lapsed_.clear();
    return servers_.size() != before;
  }

  std::vector<BackendServer> All() const {
    std::vector<BackendServer> all;
    for (const auto& [id, server] : servers_) all.push_back(server);
    return all;
  }
  // Without those that are gone from the store and only kept for a while.
  std::vector<BackendServer> Present() const {
    std::vector<BackendServer> present;
    for (const auto& [id, server] : servers_) {
      if (lapsed_.count(id) == 0) present.push_back(server);
    }
    return present;
  }
  size_t Size() const { return servers_.size(); }

 private:
  void Put(const BackendServer& server) {
    lapsed_.erase(server.id);
    const auto it = servers_.find(server.id);
    if (it == servers_.end()) {
      servers_.emplace(server.id, server);
      return;
    }
    const bool same_lifetime = it->second.started == server.started;
    const bool left = it->second.state == BackendState::kLeaving;
    it->second = server;
    // Nobody comes back from leaving within a lifetime.
    if (same_lifetime && left) it->second.state = BackendState::kLeaving;
  }
  void Drop(const BackendServerId& id, bool outage, MonotonicTime now) {
    if (outage) {
      if (servers_.count(id) > 0) lapsed_.emplace(id, now);
    } else {
      servers_.erase(id);
      lapsed_.erase(id);
    }
  }

  std::map<BackendServerId, BackendServer> servers_;
  std::map<BackendServerId, MonotonicTime> lapsed_;  // Gone from the store, not yet from here.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CATALOG_SERVER_LIST_H_
