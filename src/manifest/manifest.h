// The manifest: what operators deliver and the system takes as its configuration.
// Plain data; parsing and checking are in manifest_format.h, differences in
// manifest_change.h, acceptance in manifest_keeper.h, the revision in force in manifest_follower.h.

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

namespace cowsliphill {

struct FailureDomain {
  FailureDomainId id;  // Failure domain.
  RegionId region;     // Failure domains of one region are near each other.

  friend bool operator==(const FailureDomain& a, const FailureDomain& b) = default;
};

struct Team {
  TeamId id;
  std::vector<ServiceId> services;  // Services that it may change besides those that it owns.

  friend bool operator==(const Team& a, const Team& b) = default;
};

// How a vendor's backend servers report their load on answers and probes.
enum class ReportFormat {
  kNone,            // They report nothing.
  kEndpointLoad,    // Header endpoint-load-metrics (ORCA), text or JSON form.
  kBackendHeaders,  // Headers x-backend-in-flight, x-backend-slots, x-backend-state.
};

struct Service {
  ServiceId id;
  TeamId owner;                                         // Team that may change it.
  RequestClass default_class = RequestClass::kRoutine;  // Class of a request that names none.
  std::vector<TenantId> emergency_tenants;              // Tenants allowed to send emergencies.
  std::vector<std::string> idempotent_methods = {"GET", "HEAD", "OPTIONS"};  // May be retried.
  bool require_key = false;                             // Non-idempotent requests must name a key.
  std::chrono::milliseconds default_deadline{2000};     // For requests that name none.
  std::chrono::milliseconds max_deadline{60000};        // Longer ones are cut to this.
  std::chrono::milliseconds first_byte_timeout{10000};  // Bulk answers are bound by silence only.
  double probe_budget = 1.0;         // Probes per second and backend server, over all entry VMs.
  std::string probe_path = "/load";  // What a probe asks for.
  double tail_weight = 0.7;          // 0: spend least on measuring; 1: shortest tail. Default 0.7.
  double retry_budget = 0.1;         // Retries and hedges per request sent, 0 to 1.
  uint32_t queue_limit = 64;         // Requests waiting per entry VM and class.
  ReportFormat report_format = ReportFormat::kBackendHeaders;
  bool allow_empty = false;  // It may stand without an active backend server.

  friend bool operator==(const Service& a, const Service& b) = default;
};

enum class BackendState { kActive, kLeaving };

struct BackendServer {
  BackendServerId id;
  ServiceId service;
  FailureDomainId failure_domain;
  Endpoint endpoint;
  BackendState state = BackendState::kActive;  // kLeaving: no new work, open work runs to its end.
  uint32_t slots = 3;                          // Requests that it executes at the same time.
  std::chrono::milliseconds warmup{0};         // How much longer it stays slow after its start.
  uint64_t started = 0;  // Milliseconds of wall time; tells lifetimes of one id apart.

  friend bool operator==(const BackendServer& a, const BackendServer& b) = default;
};

struct EntryRules {
  uint32_t max_requests = 4096;                     // Open requests per entry VM.
  std::chrono::milliseconds lookup_lifetime{5000};  // How long callers may keep a lookup answer.
  uint64_t max_body_bytes = 1ULL << 30;             // Of a request.
  double max_probe_rate = 5000;                     // Probes per second, all services and entry
                                                    // VMs together.

  friend bool operator==(const EntryRules& a, const EntryRules& b) = default;
};

// Each list is in the order of its ids and names no id twice.
struct Manifest {
  uint64_t revision = 0;  // 0: none accepted yet. Only ever grows.
  std::vector<FailureDomain> failure_domains;
  std::vector<Team> teams;
  std::vector<Service> services;
  std::vector<BackendServer> backend_servers;
  std::vector<Route> routes;  // In order of host, then the longest prefix first.
  EntryRules entry;
};

// Null when there is no such service.
inline const Service* FindService(const Manifest& manifest, const ServiceId& id) {
  const auto it = std::lower_bound(
      manifest.services.begin(), manifest.services.end(), id,
      [](const Service& service, const ServiceId& wanted) { return service.id < wanted; });
  return it == manifest.services.end() || it->id != id ? nullptr : &*it;
}

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_MANIFEST_H_
