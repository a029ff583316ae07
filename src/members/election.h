// Ranks entry VMs for elections. Every entry VM computes the same order. The rank is a hash of the
// id, which is new at each process start, so the preferred entry VM is pseudo-random across failure
// domains and restarts.

#ifndef COWSLIPHILL_MEMBERS_ELECTION_H_
#define COWSLIPHILL_MEMBERS_ELECTION_H_

#include <xxhash.h>

#include <cstdint>

#include "src/base/ids.h"

namespace cowsliphill {

// The entry VM with the lowest rank is preferred.
inline uint64_t ElectionRank(const EntryVmId& id) {
  return XXH3_64bits(id.Text().data(), id.Text().size());
}

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_ELECTION_H_
