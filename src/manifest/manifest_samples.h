// Generates manifests of any size for tests and benchmarks.

#ifndef COWSLIPHILL_MANIFEST_MANIFEST_SAMPLES_H_
#define COWSLIPHILL_MANIFEST_MANIFEST_SAMPLES_H_

#include <algorithm>
#include <cstddef>
#include <string>

#include "src/manifest/manifest.h"

namespace cowsliphill {

// Returns a manifest with `servers` backend servers spread evenly over `services` services and
// three failure domains. Each service is owned by its own team.
inline Manifest SampleManifest(size_t services, size_t servers) {
  const auto name = [](const char* stem, size_t i) {
    const std::string digits = std::to_string(i);
    return stem + std::string(digits.size() < 6 ? 6 - digits.size() : 0, '0') + digits;
  };
  Manifest manifest;
  manifest.revision = 1;
  for (size_t i = 0; i < 3; ++i) {
    manifest.failure_domains.push_back({FailureDomainId(name("p", i)), RegionId("r")});
  }
  for (size_t i = 0; i < services; ++i) {
    manifest.teams.push_back({TeamId(name("team", i)), {}});
    Service service;
    service.id = ServiceId(name("service", i));
    service.owner = TeamId(name("team", i));
    manifest.services.push_back(service);
  }
  for (size_t i = 0; i < servers; ++i) {
    BackendServer server;
    server.id = BackendServerId(name("server", i));
    server.service = manifest.services[i % services].id;
    server.failure_domain = manifest.failure_domains[i % 3].id;
    server.endpoint = {"198.51." + std::to_string(i / 250) + "." + std::to_string(i % 250), 8080};
    manifest.backend_servers.push_back(server);
  }
  return manifest;
}

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_MANIFEST_SAMPLES_H_
