// Which entry VMs schedule a cell: those of the cell's failure domain, in an order by rendezvous
// hashing that all entry VMs with the same members agree on. The first one does; the others are
// asked while it does not answer. A cell in a domain without entry VMs is scheduled by any.

#ifndef COWSLIPHILL_SCHEDULE_SCHEDULER_ORDER_H_
#define COWSLIPHILL_SCHEDULE_SCHEDULER_ORDER_H_

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/balance/assignment.h"
#include "src/members/peer.h"

namespace cowsliphill {

class SchedulerOrder {
 public:
  static constexpr size_t kMostNamed = 3;  // Beyond these an entry VM schedules for itself.

  // Entry VMs that are alive, this one included.
  void SetMembers(std::vector<Member> members) {
    members_ = std::move(members);
    orders_.clear();
  }

  // Peer addresses, the first choice first; at most kMostNamed.
  const std::vector<Endpoint>& For(const CellId& cell) {
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
    const bool has_near = std::any_of(members_.begin(), members_.end(), [&cell](const Member& it) {
      return it.failure_domain == cell.failure_domain;
    });
    std::vector<std::pair<uint64_t, Endpoint>> weighed;
    for (const Member& member : members_) {
      if (has_near && member.failure_domain != cell.failure_domain) continue;
      weighed.emplace_back(Weight(name, member), member.peer);
    }
    std::sort(weighed.begin(), weighed.end(), std::greater<>());
    std::vector<Endpoint> order;
    for (const auto& [weight, peer] : weighed) {
      if (order.size() == kMostNamed) break;
      order.push_back(peer);
    }
    return order;
  }

  std::vector<Member> members_;
  std::map<CellId, std::vector<Endpoint>> orders_;  // Since SetMembers.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SCHEDULE_SCHEDULER_ORDER_H_
