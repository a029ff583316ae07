// Which other entry VM holds this one's notes. Pure.

#ifndef COWSLIPHILL_RECORDS_PARTNER_H_
#define COWSLIPHILL_RECORDS_PARTNER_H_

#include <optional>
#include <vector>

#include "src/members/peer.h"

namespace cowsliphill {

// The present partner while it is alive and in another failure domain; else, by rendezvous hashing,
// an alive member in another failure domain, in the same region if there is one. Only when every
// other member shares this failure domain, one of those. Nothing if there is no other member.
std::optional<Member> PartnerOf(const EntryVmId& self, const FailureDomainId& failure_domain,
                                const std::optional<Member>& present,
                                const std::vector<Member>& members);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_RECORDS_PARTNER_H_
