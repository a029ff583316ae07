// The catalog: the manifest written by the operators and the registered backend servers, as the
// platform's store keeps both in two tables. A store client reads the tables; CatalogFollower
// applies its answers.

#ifndef COWSLIPHILL_CATALOG_CATALOG_H_
#define COWSLIPHILL_CATALOG_CATALOG_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/base/result.h"
#include "src/manifest/evacuated_domains.h"
#include "src/manifest/manifest.h"

namespace cowsliphill {

enum class CatalogErrorKind {
  kUnavailable,  // The store did not answer, refused the call, or its answer was unreadable.
  kTooLarge,     // The answer was too large to be received within the limits of a call.
  kHistoryGone,  // The store does not have the changes since the requested version, or has come
                 // back from an older copy since: read the whole table.
};

struct CatalogError {
  CatalogErrorKind kind = CatalogErrorKind::kUnavailable;
  std::string detail;
};

// The store may come back from an older copy of itself and give out versions again; its era then
// rises by one. The versions of the catalog are therefore made of both, so that a version of a
// later era is always higher.
inline constexpr int kEraShift = 40;
inline constexpr uint64_t MakeVersion(uint64_t era, uint64_t version_in_era) {
  return (era << kEraShift) | version_in_era;
}
inline constexpr uint64_t EraOf(uint64_t version) { return version >> kEraShift; }
inline constexpr uint64_t VersionInEra(uint64_t version) {
  return version & ((uint64_t{1} << kEraShift) - 1);
}

// An answer holds the content of a table, or its changes since a version. `version` is the table's
// version in the store when it answered.
struct ManifestAnswer {
  uint64_t version = 0;
  std::shared_ptr<const Manifest> manifest;  // Null if the store has none or it did not change.
  // All evacuated failure domains after ReadManifest; those added and removed after WatchManifest.
  EvacuatedDomains evacuated = {};
  EvacuatedDomains evacuation_ended = {};
  // Those whose rows could not be read. They stay as they were before.
  EvacuatedDomains evacuation_unreadable = {};
};
struct ServersAnswer {
  uint64_t version = 0;
  bool is_snapshot = false;  // `changed` lists all servers; otherwise only those that changed.
  std::vector<BackendServer> changed;
  std::vector<BackendServerId> removed;
};

// Calls of a store client since its construction.
struct StoreCallCounts {
  uint64_t calls = 0;
  uint64_t failed = 0;      // Without a usable answer.
  uint64_t body_bytes = 0;  // Bodies received, of failed calls too.
};

template <typename Answer>
using AnswerCallback = std::function<void(const Result<Answer, CatalogError>&)>;

// The calls of a store client. `wait` is how long the store may hold a watch call open while there
// are no changes after version `after`.
template <typename T>
concept CatalogStore = requires(T& store, uint64_t after, std::chrono::milliseconds wait,
                                AnswerCallback<ManifestAnswer> on_manifest,
                                AnswerCallback<ServersAnswer> on_servers) {
  store.ReadManifest(on_manifest);
  store.WatchManifest(after, wait, on_manifest);
  store.ReadServers(on_servers);
  store.WatchServers(after, wait, on_servers);
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CATALOG_CATALOG_H_
