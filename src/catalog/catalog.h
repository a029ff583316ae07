// The catalog: the manifest that operators wrote and the backend servers that are there, as the
// platform's store keeps both. A store client gives pages; CatalogFollower keeps them up to date.

#ifndef COWSLIPHILL_CATALOG_CATALOG_H_
#define COWSLIPHILL_CATALOG_CATALOG_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/base/result.h"
#include "src/manifest/manifest.h"

namespace cowsliphill {

enum class CatalogErrorKind {
  kUnavailable,  // No answer, or the store turned the call away.
  kHistoryGone,  // Changes since that version are no longer kept: read the whole.
};

struct CatalogError {
  CatalogErrorKind kind = CatalogErrorKind::kUnavailable;
  std::string detail;
};

// One table's rows or changes. `version` is the store's, as of the answer.
struct ManifestPage {
  uint64_t version = 0;
  std::shared_ptr<const Manifest> manifest;  // Null: none, or unchanged.
};
struct ServersPage {
  uint64_t version = 0;
  bool whole = false;  // All servers; else changes only.
  std::vector<BackendServer> changed;
  std::vector<BackendServerId> gone;
};

template <typename Page>
using PageDone = std::function<void(const Result<Page, CatalogError>&)>;

// What a store client offers. `wait` is how long the store may hold a call that has nothing new.
template <typename T>
concept CatalogStore = requires(T& store, uint64_t after, std::chrono::milliseconds wait,
                                PageDone<ManifestPage> on_manifest,
                                PageDone<ServersPage> on_servers) {
  store.ReadManifest(on_manifest);
  store.WatchManifest(after, wait, on_manifest);
  store.ReadServers(on_servers);
  store.WatchServers(after, wait, on_servers);
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CATALOG_CATALOG_H_
