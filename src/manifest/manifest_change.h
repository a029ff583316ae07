// What differs between two manifests: sent, kept in the history and shown to operators in place
// of the whole manifest. Pure functions; run them off the event loop for big manifests.

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
  std::vector<Item> set;                    // Added or changed, whole.
  std::vector<decltype(Item::id)> removed;  // Gone.

  bool Empty() const { return set.empty() && removed.empty(); }
  friend bool operator==(const ListChange& a, const ListChange& b) = default;
};

struct ManifestChange {
  ListChange<FailureDomain> failure_domains;
  ListChange<Team> teams;
  ListChange<Service> services;
  ListChange<BackendServer> backend_servers;
  std::optional<EntryRules> entry;  // Present if changed.

  bool Empty() const;
  friend bool operator==(const ManifestChange& a, const ManifestChange& b) = default;
};

ManifestChange Difference(const Manifest& base, const Manifest& next);

// `base` with the change made; it keeps the revision of `base`. A change that was made against
// another manifest gives nonsense: compare DigestOf (manifest_codec.h) with the expected digest.
Manifest Apply(const Manifest& base, const ManifestChange& change);

// One line of a difference as operators read it.
struct DifferenceLine {
  enum class Kind { kAdded, kRemoved, kChanged };
  Kind kind = Kind::kChanged;
  std::string table;  // "place", "team", "service", "backend_server" or "entry".
  std::string id;     // Empty for "entry".
  std::string key;    // Key that changed; empty when the whole item was added or removed.
  std::string before;
  std::string after;

  // "~ service tables queue_limit: 64 -> 32", "+ backend_server t1", "- place jelgava-dc".
  std::string ToString() const;
};

std::vector<DifferenceLine> DescribeDifference(const Manifest& base, const Manifest& next);

// Who submits, as known from the administration API's token.
struct Author {
  TeamId team;
  std::vector<ServiceId> services;  // Services that the token may change; empty: all.
};

// What a single manifest can't tell: a service may go only once it has no active backend server,
// so no change empties one without the word allow_empty.
std::vector<Issue> CheckChange(const Manifest& base, const ManifestChange& change);

// A token that names services may change only those. A team of `base` may change only the services
// that it owns or that its [[team]] table names, and add services that it owns. Neither may change
// failure domains, teams or entry rules.
std::vector<Issue> CheckAuthority(const Manifest& base, const ManifestChange& change,
                                  const Author& author);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_MANIFEST_CHANGE_H_
