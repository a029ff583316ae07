// The difference between two manifests, which is sent, stored in the history and shown to operators
// instead of the whole manifest. All functions here are pure; run them off the event loop for large
// manifests.
//
// Limits: a ManifestChange does not cover routes. They come from the platform's store only and have
// no key in TOML manifests.

#ifndef COWSLIPHILL_MANIFEST_MANIFEST_CHANGE_H_
#define COWSLIPHILL_MANIFEST_MANIFEST_CHANGE_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/base/toml_reader.h"
#include "src/manifest/manifest.h"

namespace cowsliphill {

template <typename Item>
struct ListChange {
  std::vector<Item> set;  // Items added or changed, each with all its members; sorted by id.
  std::vector<decltype(Item::id)> removed;  // Ids of items removed; sorted.

  bool Empty() const { return set.empty() && removed.empty(); }
  friend bool operator==(const ListChange& a, const ListChange& b) = default;
};

struct ManifestChange {
  ListChange<FailureDomain> failure_domains;
  ListChange<Team> teams;
  ListChange<Service> services;
  ListChange<BackendServer> backend_servers;
  std::optional<EntryRules> entry;  // New entry rules; nullopt if they are unchanged.

  bool Empty() const;
  friend bool operator==(const ManifestChange& a, const ManifestChange& b) = default;
};

ManifestChange Difference(const Manifest& base, const Manifest& next);

// Returns `base` with the change applied, under the revision of `base` and without routes. The
// function can't detect a change that was computed against another base: compare the DigestOf()
// (manifest_codec.h) of the result with the expected digest.
Manifest Apply(const Manifest& base, const ManifestChange& change);

// One line of a difference as shown to operators.
struct DifferenceLine {
  enum class Kind { kAdded, kRemoved, kChanged };
  Kind kind = Kind::kChanged;
  std::string table;   // "place", "team", "service", "backend_server" or "entry".
  std::string id;      // Empty for "entry".
  std::string key;     // Key that changed; empty if the whole item was added or removed.
  std::string before;  // Value of the key in TOML before the change.
  std::string after;   // Value of the key in TOML after the change.

  // "~ service tables queue_limit: 64 -> 32", "+ backend_server t1", "- place jelgava-dc".
  std::string ToString() const;
};

std::vector<DifferenceLine> DescribeDifference(const Manifest& base, const Manifest& next);

// The author of a submission, as identified by the token of the administration API.
struct Author {
  TeamId team;
  std::vector<ServiceId> services;  // Services that the token may change; empty: all.
};

// Checks a change against its base, for rules that the new manifest alone can't show: a service may
// be removed only if it has no active backend server in `base`. Otherwise a removal would bypass
// the rule that a service without active backend servers needs allow_empty.
std::vector<Issue> CheckChange(const Manifest& base, const ManifestChange& change);

// Checks whether the author may make the change. A token that names services may change only these
// services. A team listed in `base` may change only the services that it owns or that its [[team]]
// table names, and may add services that it owns. Neither may change failure domains, teams or
// entry rules.
std::vector<Issue> CheckAuthority(const Manifest& base, const ManifestChange& change,
                                  const Author& author);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_MANIFEST_CHANGE_H_
