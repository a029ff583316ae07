// State that the chooser keeps for one service. Private to chooser.cc and chooser_views.cc.

#ifndef COWSLIPHILL_CHOOSE_SERVICE_STATE_H_
#define COWSLIPHILL_CHOOSE_SERVICE_STATE_H_

#include <array>
#include <cstdint>
#include <vector>

#include "src/choose/admission.h"
#include "src/choose/chooser.h"
#include "src/choose/latency.h"

namespace cowsliphill {

// Largest number of servers in ServiceState::recently_free.
inline constexpr size_t kMaxRecentlyFree = 3;

struct Chooser::ServiceState {
  explicit ServiceState(double slots) : window(slots) {}

  Service config;
  bool listed = true;  // The current manifest contains the service.
  std::vector<ServerHandle> members;
  ServerLists lists;
  ConcurrencyWindow window;
  AdmissionQueue queue;
  RetryBudget budget;  // Limits retries and hedges together.
  // Limits hedges alone, to Service::tail_weight times the share that `budget` allows.
  RetryBudget hedge_budget;
  std::array<ClassLatency, kRequestClassCount> latency;
  std::array<uint32_t, kRequestClassCount> open_attempts{};  // Our open attempts by class.
  ReportTrust trust;
  // Servers that reported a free slot, newest last.
  std::array<ServerHandle, kMaxRecentlyFree> recently_free{};
  size_t recently_free_count = 0;
  // Mean number of requests that other entry VMs have at a server that is not reserved.
  double mean_other_requests = 0.0;
  // Mean number of requests that other entry VMs have at a reserved server.
  double mean_other_requests_reserved = 0.0;
  double reserved_load = 0.0;  // Mean reported requests per slot of the first reserved server.
  size_t extra_reserved = 0;   // Servers reserved beyond CandidatePicker::kReservedShare.
  MonotonicTime extra_reserved_changed;  // Time at which extra_reserved last changed.
  double shed_share = 0.0;               // Exponentially weighted share of attempts that were shed.
  DecisionRing recent;

  void OnFirstAttempt(uint32_t depth) {
    budget.OnFirstAttempt(config.retry_budget, depth);
    hedge_budget.OnFirstAttempt(config.retry_budget * config.tail_weight, depth);
  }
  bool HedgeAffordable() const { return budget.Affordable() && hedge_budget.Affordable(); }

  ClassLatency& Latency(RequestClass request_class) {
    return latency[static_cast<size_t>(request_class)];
  }
  uint32_t& Open(RequestClass request_class) {
    return open_attempts[static_cast<size_t>(request_class)];
  }
  uint32_t OpenOf(RequestClass request_class) const {
    return open_attempts[static_cast<size_t>(request_class)];
  }
  // Open attempts that count against the window; emergencies bypass it.
  uint32_t OpenInWindow() const {
    return OpenOf(RequestClass::kRoutine) + OpenOf(RequestClass::kBulk);
  }
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_SERVICE_STATE_H_
