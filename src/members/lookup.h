// Lookup answers: which entry VMs a caller should use next, in what order and for how long.
//
// Alive entry VMs of the caller's region come first, then the other alive ones, then suspect ones;
// leaving ones are omitted. Each of these groups lists one entry VM of each failure domain in turn,
// beginning with the caller's own. Within a failure domain the order is by rendezvous hashing of
// the caller and the entry VM's address, so a member that joins or leaves moves only the callers
// that it serves.
//
// If the query gives the caller's region, or a failure domain that has members, all entry VMs with
// the same members return the same order. Otherwise the region of the answering entry VM is used.

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
// Longest lifetime of an answer while the member list is changing.
inline constexpr std::chrono::milliseconds kUnstableLookupLifetime{1000};

struct LookupQuery {
  std::string caller;              // Token that the caller repeats, or its IP address.
  FailureDomainId failure_domain;  // The caller's failure domain; empty: unknown.
  RegionId region;                 // The caller's region; empty: that of `failure_domain`, or else
                                   // that of the answering entry VM.
};

struct LookupAnswer {
  std::vector<Endpoint> entries;          // Best first; at most kMaxLookupEntries.
  std::chrono::milliseconds lifetime{0};  // How long the caller may keep the answer.
};

// Returns the entries of a lookup answer, best first. `members` must include the answering entry
// VM. Leaving members are omitted, and suspect ones come last. `default_region` is used if the
// query names neither a region nor a failure domain of a member.
std::vector<Endpoint> RankEntries(const std::vector<Member>& members,
                                  const RegionId& default_region, const LookupQuery& query);

// NearEntries adds entry VMs that are farther away while it has fewer than this, so that callers
// have an alternative if one fails.
inline constexpr size_t kMinNearEntries = 2;
// Maximum number of entries that NearEntries returns. Callers pick one of them at random.
inline constexpr size_t kMaxNearEntries = 64;

// Returns the alive entry VMs of the caller's failure domain. If these are fewer than
// kMinNearEntries, those of its region are appended, and then all other alive ones if there are
// still too few. Suspect and leaving entry VMs are returned only if none is alive. Those that have
// lost their links to the backend servers are left out while they are at most half of the alive
// ones: they still serve requests, but through others.
//
// If more than kMaxNearEntries qualify, rendezvous hashing of the caller and the entry VM's address
// selects them: each entry VM gets an equal share of the callers, and a caller gets the same
// selection from every entry VM, so that its open connections stay in use. Callers behind one
// address share a selection.
std::vector<Endpoint> NearEntries(const std::vector<Member>& members, const LookupQuery& query);

// Returns the manifest's lifetime, reduced to at most kUnstableLookupLifetime while members are
// suspect or have recently changed, so that callers ask again soon after it is known which members
// are alive.
std::chrono::milliseconds LookupLifetime(std::chrono::milliseconds manifest_lifetime,
                                         bool unstable);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_LOOKUP_H_
