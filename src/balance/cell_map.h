// Maps backend servers to cells. A cell holds the servers of one service in one failure domain, or
// all servers of a service that has only a few in each failure domain: a handful of servers is
// often slow all at once.

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
  // Mean number of servers per failure domain below which all servers of a service are one cell.
  static constexpr size_t kMinPerFailureDomain = 5;

  CellMap() = default;
  explicit CellMap(const std::vector<BackendServer>& servers) {
    std::map<ServiceId, std::set<FailureDomainId>> failure_domains;
    std::map<ServiceId, size_t> count;
    for (const BackendServer& server : servers) {
      failure_domains[server.service].insert(server.failure_domain);
      ++count[server.service];
    }
    for (const auto& [service, n] : count) {
      if (n < kMinPerFailureDomain * failure_domains[service].size()) single_cell_.insert(service);
    }
  }

  // Returns the cell of the service's servers in the failure domain. The CellId has an empty
  // failure domain if all servers of the service are one cell.
  CellId CellOf(const ServiceId& service, const FailureDomainId& failure_domain) const {
    return {service, single_cell_.count(service) > 0 ? FailureDomainId() : failure_domain};
  }

 private:
  std::set<ServiceId> single_cell_;  // Services whose servers form one cell.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_CELL_MAP_H_
