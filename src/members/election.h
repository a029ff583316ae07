// The order of election among entry VMs: the same everywhere, and by chance over failure domains
// and starts.

#ifndef COWSLIPHILL_MEMBERS_ELECTION_H_
#define COWSLIPHILL_MEMBERS_ELECTION_H_

#include <xxhash.h>

#include <cstdint>

#include "src/base/ids.h"

namespace cowsliphill {

// The lowest comes first.
inline uint64_t ElectionOrder(const EntryVmId& id) {
  return XXH3_64bits(id.Text().data(), id.Text().size());
}

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_ELECTION_H_
