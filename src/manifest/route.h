// A route maps requests, by host and path prefix, to services and sets the limits that apply to
// them. Under a manifest without routes, requests name their service in a header instead.

#ifndef COWSLIPHILL_MANIFEST_ROUTE_H_
#define COWSLIPHILL_MANIFEST_ROUTE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "src/base/ids.h"

namespace cowsliphill {

using RouteId = StringId<struct RouteTag>;

struct WeightedService {
  ServiceId service;
  uint32_t weight = 1;  // Share of the route's requests, relative to the other weights.

  friend bool operator==(const WeightedService& a, const WeightedService& b) = default;
};

struct Route {
  RouteId id;
  std::string host;           // Value of the Host header, without the port.
  std::string prefix;         // Prefix of the path; begins and ends with a slash.
  bool idempotent = false;    // Requests may run more than once.
  bool bulk = false;          // Responses are large.
  uint32_t rank = 0;          // Priority of the requests; 0 is the most urgent.
  uint32_t max_attempts = 1;  // Limit on attempts per request, including the first.
  // Limit on the time until the response to the caller starts; 0: the route sets no limit.
  std::chrono::milliseconds timeout{0};
  std::chrono::milliseconds target_latency{1000};  // A response that takes longer is worth less.
  std::vector<WeightedService> services;           // Never empty.
  bool keyless = false;  // Requests need no key, even if the manifest requires keys.

  friend bool operator==(const Route& a, const Route& b) = default;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_ROUTE_H_
