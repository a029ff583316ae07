#include "src/members/lookup.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace cowsliphill {
namespace {

// The members of one failure domain, in descending order of their score for the caller.
struct FailureDomainGroup {
  bool is_callers = false;        // True for the caller's own failure domain.
  uint64_t best_score = 0;        // Highest score in the group.
  std::vector<Endpoint> entries;  // Addresses of the members, where callers connect.
};

uint64_t RendezvousScore(const std::string& caller, const Endpoint& edge) {
  const std::string address = edge.ToString();
  const uint64_t seed = XXH64(caller.data(), caller.size(), 0);
  return XXH64(address.data(), address.size(), seed);
}

RegionId CallerRegion(const std::vector<Member>& members, const RegionId& default_region,
                      const LookupQuery& query) {
  if (!query.region.Empty()) return query.region;
  for (const Member& member : members) {
    if (!query.failure_domain.Empty() && member.failure_domain == query.failure_domain) {
      return member.region;
    }
  }
  return default_region;
}

std::vector<FailureDomainGroup> GroupByFailureDomain(const std::vector<const Member*>& members,
                                                     const LookupQuery& query) {
  struct Scored {
    uint64_t score;
    const Member* member;
  };
  std::map<FailureDomainId, std::vector<Scored>> failure_domains;
  for (const Member* member : members) {
    failure_domains[member->failure_domain].push_back(
        {RendezvousScore(query.caller, member->edge), member});
  }
  std::vector<FailureDomainGroup> groups;
  for (auto& [failure_domain, scored] : failure_domains) {
    std::sort(scored.begin(), scored.end(), [](const Scored& a, const Scored& b) {
      return a.score != b.score ? a.score > b.score : a.member->edge < b.member->edge;
    });
    FailureDomainGroup group;
    group.is_callers = failure_domain == query.failure_domain;
    group.best_score = scored.front().score;
    for (const Scored& it : scored) group.entries.push_back(it.member->edge);
    groups.push_back(std::move(group));
  }
  std::sort(groups.begin(), groups.end(),
            [](const FailureDomainGroup& a, const FailureDomainGroup& b) {
              return a.is_callers != b.is_callers ? a.is_callers : a.best_score > b.best_score;
            });
  return groups;
}

// Appends one entry of each failure domain in turn until the answer has kMaxLookupEntries entries.
void AppendRoundRobin(const std::vector<const Member*>& members, const LookupQuery& query,
                      std::vector<Endpoint>& answer) {
  const std::vector<FailureDomainGroup> groups = GroupByFailureDomain(members, query);
  for (size_t round = 0; round < members.size(); ++round) {
    for (const FailureDomainGroup& group : groups) {
      if (answer.size() >= kMaxLookupEntries) return;
      if (round < group.entries.size()) answer.push_back(group.entries[round]);
    }
  }
}

// Keeps the `n` entries with the highest scores for the caller.
void KeepForCaller(std::vector<Endpoint>& entries, size_t n, const std::string& caller) {
  if (entries.size() <= n) return;
  std::vector<std::pair<uint64_t, Endpoint>> scored;
  for (Endpoint& it : entries) {
    const uint64_t score = RendezvousScore(caller, it);
    scored.emplace_back(score, std::move(it));
  }
  const auto end = scored.begin() + static_cast<std::ptrdiff_t>(n);
  std::nth_element(scored.begin(), end, scored.end(), std::greater<>());
  entries.clear();
  for (auto it = scored.begin(); it != end; ++it) entries.push_back(std::move(it->second));
}

}  // namespace

std::vector<Endpoint> RankEntries(const std::vector<Member>& members,
                                  const RegionId& default_region, const LookupQuery& query) {
  const RegionId region = CallerRegion(members, default_region, query);
  std::vector<const Member*> near;
  std::vector<const Member*> far;
  std::vector<const Member*> suspect;
  for (const Member& member : members) {
    if (member.state == MemberState::kLeaving) continue;
    if (member.state == MemberState::kSuspect) {
      suspect.push_back(&member);
    } else if (member.region == region) {
      near.push_back(&member);
    } else {
      far.push_back(&member);
    }
  }
  std::vector<Endpoint> answer;
  AppendRoundRobin(near, query, answer);
  AppendRoundRobin(far, query, answer);
  AppendRoundRobin(suspect, query, answer);
  return answer;
}

std::vector<Endpoint> NearEntries(const std::vector<Member>& members, const LookupQuery& query) {
  // How far a member is from the caller; a farther one is listed only if the nearer ones are few.
  enum Distance { kFailureDomain, kRegion, kElsewhere, kNotAlive, kDistances };
  std::array<std::vector<Endpoint>, kDistances> groups;
  size_t alive = 0;
  size_t links_lost = 0;
  for (const Member& member : members) {
    if (member.state != MemberState::kAlive) continue;
    ++alive;
    links_lost += member.links_lost ? 1 : 0;
  }
  const bool omits_lost = links_lost * 2 <= alive;
  for (const Member& member : members) {
    if (member.links_lost && omits_lost) continue;
    const bool near = member.failure_domain == query.failure_domain;
    const Distance distance = member.state != MemberState::kAlive ? kNotAlive
                              : near                              ? kFailureDomain
                              : member.region == query.region     ? kRegion
                                                                  : kElsewhere;
    groups[distance].push_back(member.edge);
  }
  std::vector<Endpoint> entries;
  for (size_t distance = kFailureDomain; distance < kDistances; ++distance) {
    const bool enough =
        distance == kNotAlive ? !entries.empty() : entries.size() >= kMinNearEntries;
    if (enough) return entries;
    KeepForCaller(groups[distance], kMaxNearEntries - entries.size(), query.caller);
    entries.insert(entries.end(), groups[distance].begin(), groups[distance].end());
  }
  return entries;
}

std::chrono::milliseconds LookupLifetime(std::chrono::milliseconds manifest_lifetime,
                                         bool unstable) {
  return unstable ? std::min(manifest_lifetime, kUnstableLookupLifetime) : manifest_lifetime;
}

}  // namespace cowsliphill
