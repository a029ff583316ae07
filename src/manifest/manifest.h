// The manifest: the configuration of the system, as submitted by operators or read from the
// platform's store. This file holds plain data only. Parsing and validation are in
// manifest_format.h, differences in manifest_change.h, acceptance of new revisions in
// manifest_keeper.h, and the revision in force at an entry VM in manifest_follower.h.

#ifndef COWSLIPHILL_MANIFEST_MANIFEST_H_
#define COWSLIPHILL_MANIFEST_MANIFEST_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "src/base/ids.h"
#include "src/base/request_class.h"
#include "src/manifest/route.h"
#include "src/manifest/workspace.h"

namespace cowsliphill {

struct FailureDomain {
  FailureDomainId id;
  RegionId region;  // Failure domains of the same region are close to each other.

  friend bool operator==(const FailureDomain& a, const FailureDomain& b) = default;
};

struct Team {
  TeamId id;
  std::vector<ServiceId> services;  // Services that it may change besides those it owns.

  friend bool operator==(const Team& a, const Team& b) = default;
};

// Header format in which a vendor's backend servers report their load, on ordinary responses and on
// responses to probes.
enum class ReportFormat {
  kNone,            // The servers report no load.
  kEndpointLoad,    // Header endpoint-load-metrics (ORCA), in text or JSON form.
  kBackendHeaders,  // Headers x-backend-in-flight, x-backend-slots, x-backend-state.
};

struct Service {
  ServiceId id;
  TeamId owner;  // Team that may change the service; for other authors see CheckAuthority().
  RequestClass default_class = RequestClass::kRoutine;  // Class of requests that name none.
  std::vector<TenantId> emergency_tenants;              // Tenants that may send emergency requests.
  // Requests with these methods may run more than once.
  std::vector<std::string> idempotent_methods = {"GET", "HEAD", "OPTIONS"};
  bool require_key = false;  // Non-idempotent requests must have an idempotency key.
  std::chrono::milliseconds default_deadline{2000};  // Deadline of requests that name none.
  std::chrono::milliseconds max_deadline{60000};     // Longer deadlines are cut to this one.
  // Validated, but not applied. Bulk responses are limited by the silence timeout of the settings
  // only.
  std::chrono::milliseconds first_byte_timeout{10000};
  double probe_budget = 1.0;         // Probes per second to each server, from all entry VMs.
  std::string probe_path = "/load";  // Path that probes request.
  // Share of probe_budget used for probes and of retry_budget available to hedges, 0 to 1. Higher
  // values cost more and shorten the tail latency.
  double tail_weight = 0.7;
  double retry_budget = 0.1;  // Retries and hedges allowed per request sent, 0 to 1.
  uint32_t queue_limit = 64;  // Queued requests of the service per entry VM and class.
  ReportFormat report_format = ReportFormat::kBackendHeaders;
  bool allow_empty = false;             // The service may have no active backend server.
  std::chrono::milliseconds warmup{0};  // Time for which a server is cold after its start.
  // Requests per second that a cold server accepts from all entry VMs together; 0: no limit.
  double warmup_rate = 0;

  friend bool operator==(const Service& a, const Service& b) = default;
};

enum class BackendState { kActive, kLeaving };

struct BackendServer {
  BackendServerId id;
  ServiceId service;
  FailureDomainId failure_domain;
  Endpoint endpoint;
  BackendState state = BackendState::kActive;  // kLeaving: no new requests; open ones complete.
  uint32_t slots = 3;                          // Requests that the server can execute concurrently.
  std::chrono::milliseconds warmup{0};  // Remaining time for which it is slow after its start.
  uint64_t started = 0;  // Wall time of its start in milliseconds; a new value means a restart.

  friend bool operator==(const BackendServer& a, const BackendServer& b) = default;
};

// Rules that apply to all entry VMs.
struct EntryRules {
  uint32_t max_requests = 4096;                     // Open requests per entry VM.
  std::chrono::milliseconds lookup_lifetime{5000};  // How long callers may use a lookup answer.
  uint64_t max_body_bytes = 1ULL << 30;             // Largest body of a request.
  double max_probe_rate = 5000;                     // Probes per second of all services and entry
                                                    // VMs together.

  friend bool operator==(const EntryRules& a, const EntryRules& b) = default;
};

// Every list except `routes` is sorted by id. No list contains an id twice.
struct Manifest {
  uint64_t revision = 0;  // Grows with each accepted manifest; 0: no manifest has been accepted.
  std::vector<FailureDomain> failure_domains;
  std::vector<Team> teams;
  std::vector<Service> services;
  std::vector<BackendServer> backend_servers;
  std::vector<Route> routes;  // Sorted by host, then by descending length of the prefix.
  EntryRules entry;
  // Requests need the key of a workspace, unless their route says otherwise.
  bool keys_required = false;
  std::vector<Workspace> workspaces;  // Empty unless keys_required is set.
};

// Returns null if the manifest has no such service.
inline const Service* FindService(const Manifest& manifest, const ServiceId& id) {
  const auto it = std::lower_bound(
      manifest.services.begin(), manifest.services.end(), id,
      [](const Service& service, const ServiceId& wanted) { return service.id < wanted; });
  return it == manifest.services.end() || it->id != id ? nullptr : &*it;
}

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_MANIFEST_H_
