// Ranks entry VMs for elections. Every entry VM computes the same order: those with the largest
// processor share first, and among equals by a hash of the id. An id is new at each process start,
// so the preferred entry VM is pseudo-random across failure domains and restarts.

#ifndef COWSLIPHILL_MEMBERS_ELECTION_H_
#define COWSLIPHILL_MEMBERS_ELECTION_H_

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

#include "src/base/ids.h"

namespace cowsliphill {

// The entry VM with the lowest rank is preferred.
inline uint64_t ElectionRank(const EntryVmId& id, uint32_t millicores) {
  constexpr uint64_t max_millicores = 0xffff;
  constexpr int hash_bits = 48;
  const uint64_t hash = XXH3_64bits(id.Text().data(), id.Text().size()) >> (64 - hash_bits);
  return (max_millicores - std::min<uint64_t>(millicores, max_millicores)) << hash_bits | hash;
}

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_ELECTION_H_
