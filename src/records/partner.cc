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

uint64_t WeightOf(const EntryVmId& self, const EntryVmId& other) {
  const std::string pair = self.Text() + "\n" + other.Text();
  return XXH3_64bits(pair.data(), pair.size());
}

}  // namespace

std::optional<Member> PartnerOf(const EntryVmId& self, const FailureDomainId& failure_domain,
                                const std::optional<Member>& present,
                                const std::vector<Member>& members) {
  const RegionId region = RegionOf(self, members);
  std::optional<Member> best;
  std::pair<int, uint64_t> best_rank;
  for (const Member& it : members) {
    if (it.id == self || it.state != MemberState::kAlive) continue;
    const bool elsewhere = it.failure_domain != failure_domain;
    if (elsewhere && present && present->id == it.id) return it;
    const int nearness = elsewhere ? (it.region == region ? 2 : 1) : 0;
    const std::pair<int, uint64_t> rank(nearness, WeightOf(self, it.id));
    if (best && rank <= best_rank) continue;
    best = it;
    best_rank = rank;
  }
  return best;
}

}  // namespace cowsliphill
