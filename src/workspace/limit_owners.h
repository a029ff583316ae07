// Chooses the two entry VMs that sum up the use of a workspace's limit. All entry VMs with the same
// list of members choose the same ones: the largest, and among equals by a hash. Workspaces are
// divided into groups, which have owners of their own if there are many entry VMs of equal size.

#ifndef COWSLIPHILL_WORKSPACE_LIMIT_OWNERS_H_
#define COWSLIPHILL_WORKSPACE_LIMIT_OWNERS_H_

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <vector>

#include "src/members/election.h"
#include "src/members/peer.h"
#include "src/workspace/usage_message.h"

namespace cowsliphill {

class LimitOwners {
 public:
  static constexpr size_t kGroups = 8;
  // There is one candidate for so many entry VMs, but at least two and at most kGroups. Each
  // scheduler sends its reports to all candidates that own a group it uses, so few of them keep
  // the number of datagrams low.
  static constexpr size_t kEntryVmsPerCandidate = 64;
  using Pair = std::vector<Endpoint>;  // The first owner and the second; fewer if there are fewer.

  static size_t GroupOf(WorkspaceHash workspace) { return workspace % kGroups; }

  void SetMembers(const std::vector<Member>& members) {
    std::vector<const Member*> order;
    order.reserve(members.size());
    for (const Member& it : members) order.push_back(&it);
    std::sort(order.begin(), order.end(), [](const Member* a, const Member* b) {
      return ElectionRank(a->id, a->millicores) < ElectionRank(b->id, b->millicores);
    });
    // The second candidate is of another failure domain, if there is one: both would end with it.
    const auto other = std::find_if(order.begin(), order.end(), [&order](const Member* it) {
      return it->failure_domain != order.front()->failure_domain;
    });
    if (other != order.end()) std::rotate(order.begin() + 1, other, other + 1);
    const size_t n = std::clamp(order.size() / kEntryVmsPerCandidate, size_t{2}, kGroups);
    order.resize(std::min(order.size(), n));
    for (size_t group = 0; group < kGroups; ++group) Choose(order, group);
  }
  const Pair& OfGroup(size_t group) const { return owners_[group]; }

 private:
  void Choose(std::vector<const Member*> candidates, size_t group) {
    const auto weight = [group](const Member* it) {
      return XXH3_64bits_withSeed(it->id.Text().data(), it->id.Text().size(), group);
    };
    std::sort(candidates.begin(), candidates.end(), [&weight](const Member* a, const Member* b) {
      if (a->millicores != b->millicores) return a->millicores > b->millicores;
      return weight(a) < weight(b);
    });
    Pair& pair = owners_[group];
    pair.clear();
    if (candidates.empty()) return;
    pair.push_back(candidates.front()->peer);
    if (candidates.size() == 1) return;
    const auto other =
        std::find_if(candidates.begin(), candidates.end(), [&candidates](const Member* it) {
          return it->failure_domain != candidates.front()->failure_domain;
        });
    pair.push_back(other == candidates.end() ? candidates[1]->peer : (*other)->peer);
  }

  std::array<Pair, kGroups> owners_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_WORKSPACE_LIMIT_OWNERS_H_
