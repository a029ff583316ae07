// Turns whole lists of backend servers into changes, for tests of what applies changes.

#ifndef COWSLIPHILL_TESTS_LISTED_SERVERS_H_
#define COWSLIPHILL_TESTS_LISTED_SERVERS_H_

#include <vector>

#include "src/balance/balancer.h"
#include "src/balance/cell_map.h"
#include "src/catalog/server_list.h"

namespace cowsliphill {

class ListedServers {
 public:
  // Returns what changes from the list of the last call to `servers`.
  ServerChanges ChangeTo(const std::vector<BackendServer>& servers) {
    return list_.Apply({0, true, servers, {}}, false, MonotonicTime{});
  }
  // Makes `servers` the list of the balancer.
  void Apply(const std::vector<BackendServer>& servers, Balancer& balancer, MonotonicTime now) {
    const ServerChanges changes = ChangeTo(servers);
    const bool regrouped = cells_.Apply(changes);
    balancer.Apply(changes, cells_, now);
    if (regrouped) balancer.Regroup(cells_);
  }

 private:
  ServerList list_;
  CellMap cells_;
};

inline CellMap CellsOf(const std::vector<BackendServer>& servers) {
  CellMap cells;
  cells.Apply(ListedServers().ChangeTo(servers));
  return cells;
}

}  // namespace cowsliphill

#endif  // COWSLIPHILL_TESTS_LISTED_SERVERS_H_
