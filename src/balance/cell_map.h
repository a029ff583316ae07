// Maps backend servers to cells. A cell holds the servers of one service in one failure domain, or
// all servers of a service that has only a few in each failure domain: a handful of servers is
// often slow all at once.

#ifndef COWSLIPHILL_BALANCE_CELL_MAP_H_
#define COWSLIPHILL_BALANCE_CELL_MAP_H_

#include <map>
#include <set>

#include "src/balance/assignment.h"
#include "src/manifest/server_changes.h"

namespace cowsliphill {

class CellMap {
 public:
  // Mean number of servers per failure domain below which all servers of a service are one cell.
  static constexpr size_t kMinPerFailureDomain = 5;

  // Returns whether other servers than the changed ones are in another cell now.
  bool Apply(const ServerChanges& changes) {
    std::set<ServiceId> touched;
    for (const BackendServer& server : changes.removed) {
      auto& failure_domains = counts_[server.service];
      const auto it = failure_domains.find(server.failure_domain);
      if (it != failure_domains.end() && --it->second == 0) failure_domains.erase(it);
      touched.insert(server.service);
    }
    for (const ServerChange& change : changes.changed) {
      if (change.kind != ServerChange::Kind::kAdded) continue;
      ++counts_[change.server.service][change.server.failure_domain];
      touched.insert(change.server.service);
    }
    bool regrouped = false;
    for (const ServiceId& service : touched) {
      const bool was_single = single_cell_.count(service) > 0;
      const bool is_single = HasFewServers(service);
      if (is_single == was_single) continue;
      regrouped = true;
      is_single ? static_cast<void>(single_cell_.insert(service))
                : static_cast<void>(single_cell_.erase(service));
    }
    return regrouped;
  }

  // Returns the cell of the service's servers in the failure domain. The CellId has an empty
  // failure domain if all servers of the service are one cell.
  CellId CellOf(const ServiceId& service, const FailureDomainId& failure_domain) const {
    return {service, single_cell_.count(service) > 0 ? FailureDomainId() : failure_domain};
  }

 private:
  bool HasFewServers(const ServiceId& service) const {
    const auto it = counts_.find(service);
    if (it == counts_.end()) return false;
    size_t servers = 0;
    for (const auto& [failure_domain, n] : it->second) servers += n;
    return servers < kMinPerFailureDomain * it->second.size();
  }

  std::map<ServiceId, std::map<FailureDomainId, size_t>> counts_;  // Of servers.
  std::set<ServiceId> single_cell_;  // Services whose servers form one cell.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_CELL_MAP_H_
