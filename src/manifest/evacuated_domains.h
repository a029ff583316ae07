// The failure domains that the operators have evacuated: nothing is sent to their servers.

#ifndef COWSLIPHILL_MANIFEST_EVACUATED_DOMAINS_H_
#define COWSLIPHILL_MANIFEST_EVACUATED_DOMAINS_H_

#include <set>

#include "src/base/ids.h"

namespace cowsliphill {

using EvacuatedDomains = std::set<FailureDomainId>;

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_EVACUATED_DOMAINS_H_
