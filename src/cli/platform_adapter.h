// What a platform adapter supplies to an entry VM whose catalog comes from the platform's store:
// a client of that store and the forms of what is spoken around the entry VM.

#ifndef COWSLIPHILL_CLI_PLATFORM_ADAPTER_H_
#define COWSLIPHILL_CLI_PLATFORM_ADAPTER_H_

#include <asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "src/catalog/catalog.h"
#include "src/forward/request_headers.h"

namespace cowsliphill {

// A store client behind one type, so that slices are instantiated once. Satisfies CatalogStore.
struct CatalogClient {
  std::function<void(PageDone<ManifestPage>)> ReadManifest;
  std::function<void(uint64_t, std::chrono::milliseconds, PageDone<ManifestPage>)> WatchManifest;
  std::function<void(PageDone<ServersPage>)> ReadServers;
  std::function<void(uint64_t, std::chrono::milliseconds, PageDone<ServersPage>)> WatchServers;
  std::function<uint64_t()> Calls;
  std::function<void()> Close;
};
static_assert(CatalogStore<CatalogClient>);

struct PlatformAdapter {
  WireFormat wire;
  // A client that calls `on_bad_row` with key and cause for each row that it leaves out.
  std::function<CatalogClient(asio::io_context&, const Clock&, const Endpoint& store,
                              std::function<void(const std::string&, const std::string&)>)>
      open_store;
  // The report on a probe's answer, if it comes from the server that was meant.
  std::function<std::optional<Report>(const HttpHead&, const BackendServerId&)> probe_report;
  std::string lookup_path;
  std::string lookup_failure_domain;  // Query parameter with the caller's failure domain.
  std::string lookup_region;          // Query parameter with the caller's region.
  std::function<std::string(const std::vector<Endpoint>&, std::chrono::milliseconds lifetime)>
      format_lookup;
  std::string readiness_path;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLI_PLATFORM_ADAPTER_H_
