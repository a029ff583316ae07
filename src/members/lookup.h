// Lookup answers: which entry VMs a caller should use next, in what order and for how long.
//
// The order is a function of the caller and the members alone, so every entry VM with the same
// members gives a caller the same answer: the caller's region first, and within a region one entry
// VM of each failure domain in turn. Within a failure domain the order is by rendezvous hashing of
// the caller and the entry VM's address, so a member that comes or goes moves only the callers that
// it served.

#ifndef COWSLIPHILL_MEMBERS_LOOKUP_H_
#define COWSLIPHILL_MEMBERS_LOOKUP_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "src/base/ids.h"
#include "src/members/peer.h"

namespace cowsliphill {

inline constexpr size_t kMaxLookupEntries = 8;
inline constexpr std::chrono::milliseconds kUnsettledLifetime{1000};

struct LookupQuery {
  std::string caller;              // Token that the caller repeats, or its IP number.
  FailureDomainId failure_domain;  // The caller's failure domain; empty: unknown.
  RegionId region;                 // The caller's region; empty: that of `failure_domain`, else
                                   // that of the answerer.
};

struct LookupAnswer {
  std::vector<Endpoint> entries;          // Best first; at most kMaxLookupEntries.
  std::chrono::milliseconds lifetime{0};  // How long the caller may keep the answer.
};

// `members` holds the answering entry VM itself too. Leaving members are left out, suspect ones
// come last. `home` is the region to assume when the query names neither failure domain nor region.
std::vector<Endpoint> RankEntries(const std::vector<Member>& members, const RegionId& home,
                                  const LookupQuery& query);

// The entry VMs of the caller's failure domain; those of its region, then all, when there are
// fewer than kLeastNear. Suspect and leaving ones only when there is no other.
inline constexpr size_t kLeastNear = 2;         // One alone may be the next to fail.
inline constexpr size_t kMostNearEntries = 64;  // Callers pick at random among so many.
std::vector<Endpoint> NearEntries(const std::vector<Member>& members,
                                  const FailureDomainId& failure_domain, const RegionId& region);

// The manifest's lifetime, cut to kUnsettledLifetime while members are suspect or have just
// changed, so that callers ask again once it is known who lives.
std::chrono::milliseconds LookupLifetime(std::chrono::milliseconds manifest_lifetime,
                                         bool unsettled);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_LOOKUP_H_
