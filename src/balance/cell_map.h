// Which servers are scheduled together: those of one service in one failure domain, or all of a
// service that has only a few in each, as a handful of servers is soon all slow at once.

#ifndef COWSLIPHILL_BALANCE_CELL_MAP_H_
#define COWSLIPHILL_BALANCE_CELL_MAP_H_

#include <map>
#include <set>
#include <vector>

#include "src/balance/assignment.h"
#include "src/manifest/manifest.h"

namespace cowsliphill {

class CellMap {
 public:
  static constexpr size_t kFewPerFailureDomain = 5;  // Servers per domain below which all are one
                                                     // cell.

  CellMap() = default;
  explicit CellMap(const std::vector<BackendServer>& servers) {
    std::map<ServiceId, std::set<FailureDomainId>> failure_domains;
    std::map<ServiceId, size_t> count;
    for (const BackendServer& server : servers) {
      failure_domains[server.service].insert(server.failure_domain);
      ++count[server.service];
    }
    for (const auto& [service, n] : count) {
      if (n < kFewPerFailureDomain * failure_domains[service].size()) whole_.insert(service);
    }
  }

  // The failure domain of a cell that holds all of its service is empty.
  CellId CellOf(const ServiceId& service, const FailureDomainId& failure_domain) const {
    return {service, whole_.count(service) > 0 ? FailureDomainId() : failure_domain};
  }

 private:
  std::set<ServiceId> whole_;  // Services that are one cell.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_CELL_MAP_H_
