#include "src/records/partner.h"

#include <xxhash.h>

#include <cstdint>
#include <string>
#include <utility>

namespace cowsliphill {

namespace {

RegionId RegionOf(const EntryVmId& self, const std::vector<Member>& members) {
  for (const Member& it : members) {
    if (it.id == self) return it.region;
  }
  return RegionId();
}

uint64_t RendezvousWeight(const EntryVmId& self, const EntryVmId& other) {
  const std::string pair = self.Text() + "\n" + other.Text();
  return XXH3_64bits(pair.data(), pair.size());
}

}  // namespace

std::optional<Member> ChoosePartner(const EntryVmId& self, const FailureDomainId& failure_domain,
                                    const std::optional<Member>& current,
                                    const std::vector<Member>& members) {
  const RegionId region = RegionOf(self, members);
  std::optional<Member> best;
  std::pair<int, uint64_t> best_rank;
  for (const Member& it : members) {
    if (it.id == self || it.state != MemberState::kAlive) continue;
    const bool other_domain = it.failure_domain != failure_domain;
    if (other_domain && current && current->id == it.id) return it;
    const int preference = other_domain ? (it.region == region ? 2 : 1) : 0;
    const std::pair<int, uint64_t> rank(preference, RendezvousWeight(self, it.id));
    if (best && rank <= best_rank) continue;
    best = it;
    best_rank = rank;
  }
  return best;
}

}  // namespace cowsliphill
