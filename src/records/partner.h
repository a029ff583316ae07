// Chooses the partner of an entry VM: the other entry VM that holds the notes of its requests. Does
// no I/O and reads no clock.

#ifndef COWSLIPHILL_RECORDS_PARTNER_H_
#define COWSLIPHILL_RECORDS_PARTNER_H_

#include <optional>
#include <vector>

#include "src/members/peer.h"

namespace cowsliphill {

// Keeps the current partner while it is alive and in another failure domain. Otherwise chooses an
// alive member by rendezvous hashing: in another failure domain of the same region if possible,
// else in another failure domain, else in this failure domain. Returns nothing if no other member
// is alive.
std::optional<Member> ChoosePartner(const EntryVmId& self, const FailureDomainId& failure_domain,
                                    const std::optional<Member>& current,
                                    const std::vector<Member>& members);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_RECORDS_PARTNER_H_
