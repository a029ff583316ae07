// Which entry VMs schedule a cell: those of the cell's failure domain, the ones with the largest
// processor share first and among equals by rendezvous hashing, so that all entry VMs with the same
// members agree on the order. The first one, the primary, schedules the cell; the others are
// backups for the time in which it is unresponsive. A cell whose failure domain has no entry VMs is
// scheduled by entry VMs of any failure domain. Those that have lost their links to the backend
// servers schedule nothing, unless all have.

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
  void SetMembers(const std::vector<Member>& members) {
    orders_.clear();
    candidates_.clear();
    std::vector<Candidate> all;
    const bool any_links = std::any_of(members.begin(), members.end(),
                                       [](const Member& it) { return !it.links_lost; });
    for (const Member& member : members) {
      if (member.links_lost && any_links) continue;
      const Candidate candidate{member.millicores, member.id, member.peer};
      candidates_[member.failure_domain].push_back(candidate);
      all.push_back(candidate);
    }
    candidates_[FailureDomainId()] = std::move(all);
    for (auto& [failure_domain, candidates] : candidates_) KeepLargest(candidates);
  }

  // Peer addresses of the cell's schedulers, the primary first; at most kMaxSchedulers.
  const std::vector<Endpoint>& SchedulersFor(const CellId& cell) {
    const auto it = orders_.find(cell);
    if (it != orders_.end()) return it->second;
    return orders_.emplace(cell, Order(cell)).first->second;
  }

 private:
  struct Candidate {
    uint32_t millicores = 0;
    EntryVmId id;
    Endpoint peer;
  };

  // Drops those that are smaller than kMaxSchedulers others.
  static void KeepLargest(std::vector<Candidate>& candidates) {
    if (candidates.size() <= kMaxSchedulers) return;
    const auto last = candidates.begin() + (kMaxSchedulers - 1);
    std::nth_element(
        candidates.begin(), last, candidates.end(),
        [](const Candidate& a, const Candidate& b) { return a.millicores > b.millicores; });
    const uint32_t smallest = last->millicores;
    std::erase_if(candidates, [smallest](const Candidate& it) { return it.millicores < smallest; });
  }

  std::vector<Endpoint> Order(const CellId& cell) const {
    const std::string name = cell.service.Text() + "/" + cell.failure_domain.Text();
    const uint64_t seed = XXH3_64bits(name.data(), name.size());
    auto local = candidates_.find(cell.failure_domain);
    if (local == candidates_.end()) local = candidates_.find(FailureDomainId());
    std::vector<std::tuple<uint32_t, uint64_t, Endpoint>> weighted;
    if (local == candidates_.end()) return {};
    for (const Candidate& it : local->second) {
      const std::string& id = it.id.Text();
      weighted.emplace_back(it.millicores, XXH3_64bits_withSeed(id.data(), id.size(), seed),
                            it.peer);
    }
    const size_t n = std::min(weighted.size(), kMaxSchedulers);
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(n),
                      weighted.end(), std::greater<>());
    std::vector<Endpoint> order;
    for (size_t i = 0; i < n; ++i) order.push_back(std::get<Endpoint>(weighted[i]));
    return order;
  }

  // Those that may schedule the cells of a failure domain; under an empty one, of any.
  std::map<FailureDomainId, std::vector<Candidate>> candidates_;
  std::map<CellId, std::vector<Endpoint>> orders_;  // Orders computed since SetMembers.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SCHEDULE_SCHEDULER_ORDER_H_
