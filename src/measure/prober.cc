#include "src/measure/prober.h"

#include <xxhash.h>

#include <algorithm>

namespace cowsliphill {

EntryVmId SelectProber(const ServiceId& service, const std::vector<EntryVmId>& members) {
  const std::string& name = service.Text();
  const uint64_t seed = XXH3_64bits(name.data(), name.size());
  EntryVmId best_member;
  uint64_t best_hash = 0;
  for (const EntryVmId& member : members) {
    const std::string& id = member.Text();
    const uint64_t hash = XXH3_64bits_withSeed(id.data(), id.size(), seed);
    if (!best_member.Empty() && hash <= best_hash) continue;
    best_member = member;
    best_hash = hash;
  }
  return best_member;
}

double ProbeRate(const Service& service) {
  return std::clamp(service.tail_weight, 0.0, 1.0) * std::max(0.0, service.probe_budget);
}

}  // namespace cowsliphill
