// What a platform adapter supplies to an entry VM whose catalog comes from the platform's store: a
// client of that store, and the message formats and paths that callers, backend servers and the
// platform use.

#ifndef COWSLIPHILL_CLI_PLATFORM_ADAPTER_H_
#define COWSLIPHILL_CLI_PLATFORM_ADAPTER_H_

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/catalog/catalog.h"
#include "src/forward/request_headers.h"

namespace cowsliphill {

// A type-erased store client, so that templates over CatalogStore are instantiated only once.
struct CatalogClient {
  std::function<void(AnswerCallback<ManifestAnswer>)> ReadManifest;
  std::function<void(uint64_t, std::chrono::milliseconds, AnswerCallback<ManifestAnswer>)>
      WatchManifest;
  std::function<void(AnswerCallback<ServersAnswer>)> ReadServers;
  std::function<void(uint64_t, std::chrono::milliseconds, AnswerCallback<ServersAnswer>)>
      WatchServers;
  // To be called with each manifest that comes into force: fields of a later one that can't be used
  // keep its values.
  std::function<void(const std::shared_ptr<const Manifest>&)> SetInForce;
  std::function<StoreCallCounts()> Counts;
  std::function<void()> Close;
};
static_assert(CatalogStore<CatalogClient>);

struct PlatformAdapter {
  WireFormat wire;
  // Returns a client. It calls the last argument with the key and the cause for each row that it
  // skips because the row is malformed.
  std::function<CatalogClient(asio::io_context&, const Clock&, const Endpoint& store,
                              std::function<void(const std::string&, const std::string&)>)>
      open_store;
  // Returns the report in the response to a probe, or nullopt if the probed server did not send it.
  std::function<std::optional<Report>(const HttpHead&, const BackendServerId&)> probe_report;
  std::string lookup_path;            // Path of the lookup requests.
  std::string lookup_failure_domain;  // Query parameter with the caller's failure domain.
  std::string lookup_region;          // Query parameter with the caller's region.
  // Returns the body of a lookup's answer in JSON.
  std::function<std::string(const std::vector<Endpoint>&, std::chrono::milliseconds lifetime)>
      format_lookup;
  std::string readiness_path;  // Path of the readiness checks.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLI_PLATFORM_ADAPTER_H_
