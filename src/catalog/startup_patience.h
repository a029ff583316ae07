// How long a starting entry VM asks others for the catalog before it reads the store.
//
// Hundreds of entry VMs may start at the same moment, and at first none has the catalog. If all
// read the store, they load it more than a day of changes does; if none does, all wait. Each entry
// VM draws its patience so that, however many there are, few become impatient early and give the
// catalog to the others: the density grows exponentially towards the longest patience.

#ifndef COWSLIPHILL_CATALOG_STARTUP_PATIENCE_H_
#define COWSLIPHILL_CATALOG_STARTUP_PATIENCE_H_

#include <algorithm>
#include <cmath>

#include "src/base/clock.h"

namespace cowsliphill {

// Number of entry VMs of which about one is impatient at once.
inline constexpr double kPatienceFleetSize = 1000;

// `draw` is a random number from 0 to 1.
inline Duration StartupPatience(Duration longest, double draw) {
  const double position =
      1 + std::log(std::max(draw, 1 / kPatienceFleetSize)) / std::log(kPatienceFleetSize);
  return Times(longest, std::clamp(position, 0.0, 1.0));
}

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CATALOG_STARTUP_PATIENCE_H_
