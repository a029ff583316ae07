// Which entry VMs schedule a cell: those of the cell's failure domain, the ones with the largest
// processor share first and among equals by rendezvous hashing, so that all entry VMs with the same
// members agree on the order. The first one, the primary, schedules the cell; the others are
// backups for the time in which it is unresponsive. A cell whose failure domain has no entry VMs is
// scheduled by entry VMs of any failure domain.

#ifndef COWSLIPHILL_SCHEDULE_SCHEDULER_ORDER_H_
#define COWSLIPHILL_SCHEDULE_SCHEDULER_ORDER_H_

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "src/balance/assignment.h"
#include "src/members/peer.h"

namespace cowsliphill {

class SchedulerOrder {
 public:
  // Schedulers per cell. If none of them responds, an entry VM schedules for itself.
  static constexpr size_t kMaxSchedulers = 3;

  // Replaces the list of live entry VMs, which includes this one unless it is leaving.
  void SetMembers(std::vector<Member> members) {
    members_ = std::move(members);
    orders_.clear();
  }

  // Peer addresses of the cell's schedulers, the primary first; at most kMaxSchedulers.
  const std::vector<Endpoint>& SchedulersFor(const CellId& cell) {
    const auto it = orders_.find(cell);
    if (it != orders_.end()) return it->second;
    return orders_.emplace(cell, Order(cell)).first->second;
  }

 private:
  static uint64_t Weight(const std::string& cell, const Member& member) {
    const uint64_t seed = XXH3_64bits(cell.data(), cell.size());
    return XXH3_64bits_withSeed(member.id.Text().data(), member.id.Text().size(), seed);
  }

  std::vector<Endpoint> Order(const CellId& cell) const {
    const std::string name = cell.service.Text() + "/" + cell.failure_domain.Text();
    const bool has_local = std::any_of(members_.begin(), members_.end(), [&cell](const Member& it) {
      return it.failure_domain == cell.failure_domain;
    });
    std::vector<std::tuple<uint32_t, uint64_t, Endpoint>> weighted;
    for (const Member& member : members_) {
      if (has_local && member.failure_domain != cell.failure_domain) continue;
      weighted.emplace_back(member.millicores, Weight(name, member), member.peer);
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<>());
    std::vector<Endpoint> order;
    for (const auto& [millicores, weight, peer] : weighted) {
      if (order.size() == kMaxSchedulers) break;
      order.push_back(peer);
    }
    return order;
  }

  std::vector<Member> members_;
  std::map<CellId, std::vector<Endpoint>> orders_;  // Orders computed since SetMembers.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SCHEDULE_SCHEDULER_ORDER_H_
