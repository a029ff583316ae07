// What the chooser keeps of one service. Only for chooser.cc and chooser_views.cc.

#ifndef COWSLIPHILL_CHOOSE_SERVICE_STATE_H_
#define COWSLIPHILL_CHOOSE_SERVICE_STATE_H_

#include <array>
#include <cstdint>
#include <vector>

#include "src/choose/admission.h"
#include "src/choose/chooser.h"
#include "src/choose/latency.h"

namespace cowsliphill {

// Servers remembered for having just reported a free slot.
inline constexpr size_t kHotServers = 3;

struct Chooser::ServiceState {
  explicit ServiceState(double slots) : window(slots) {}

  Service config;
  bool listed = true;  // The manifest in force has it.
  std::vector<Handle> members;
  ServerLists lists;
  ConcurrencyWindow window;
  AdmissionQueue queue;
  RetryBudget budget;        // Of retries and hedges together.
  RetryBudget hedge_budget;  // Of hedges: the part of it that the weight of tail latency gives.
  std::array<ClassLatency, kRequestClassCount> latency;
  std::array<uint32_t, kRequestClassCount> open{};  // Our open attempts.
  ReportTrust trust;
  std::array<Handle, kHotServers> hot{};  // That reported a free slot, newest last.
  size_t hot_count = 0;
  double typical_others = 0.0;    // Requests of other entry VMs at a server, on average.
  double typical_reserved = 0.0;  // The same for reserved servers.
  double reserved_load = 0.0;     // Reported requests per slot at the first reserved server.
  size_t more_reserved = 0;       // Servers reserved beyond the fixed share.
  MonotonicTime reserve_changed;  // When more_reserved changed.
  double shed_share = 0.0;        // Of the newest answers.
  DecisionRing recent;

  void OnFirstAttempt(uint32_t depth) {
    budget.OnFirstAttempt(config.retry_budget, depth);
    hedge_budget.OnFirstAttempt(config.retry_budget * config.tail_weight, depth);
  }
  bool HedgeAffordable() const { return budget.Affordable() && hedge_budget.Affordable(); }

  ClassLatency& Latency(RequestClass request_class) {
    return latency[static_cast<size_t>(request_class)];
  }
  uint32_t& Open(RequestClass request_class) { return open[static_cast<size_t>(request_class)]; }
  uint32_t OpenOf(RequestClass request_class) const {
    return open[static_cast<size_t>(request_class)];
  }
  // Emergencies pass over the window and are not counted against it.
  uint32_t OpenInWindow() const {
    return OpenOf(RequestClass::kRoutine) + OpenOf(RequestClass::kBulk);
  }
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_SERVICE_STATE_H_
