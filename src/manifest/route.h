// Routes: which requests go to which services, and what each may cost. A manifest without routes
// names its services in a request header instead.

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
  uint32_t weight = 1;  // Share of the route's requests, relative to the others.

  friend bool operator==(const WeightedService& a, const WeightedService& b) = default;
};

struct Route {
  RouteId id;
  std::string host;                      // As in the Host header, without a port.
  std::string prefix;                    // Of the path; begins and ends with a slash.
  bool repeatable = false;               // Idempotent: may run more than once.
  bool bulk = false;                     // Large answers.
  uint32_t rank = 0;                     // 0 is the most urgent.
  uint32_t max_attempts = 1;             // Backend servers that one request may be sent to.
  std::chrono::milliseconds timeout{0};  // Longest time to an answer; 0: none of its own.
  std::chrono::milliseconds target_latency{1000};  // Answers within it are worth most.
  std::vector<WeightedService> services;           // At least one.

  friend bool operator==(const Route& a, const Route& b) = default;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_ROUTE_H_
