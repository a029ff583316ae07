// This entry VM's share of a service's retry budget, which all entry VMs keep without coordination.
//
// In any window the whole system may send extra attempts (retries and hedges) for `ratio` of a
// service's requests, plus `slack` more. Each entry VM counts its own requests and an equal share
// of the slack, and keeps a margin for requests that are counted at the window's edge.

#ifndef COWSLIPHILL_BALANCE_SHARED_RETRY_BUDGET_H_
#define COWSLIPHILL_BALANCE_SHARED_RETRY_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <deque>

#include "src/base/clock.h"
#include "src/settings/settings.h"

namespace cowsliphill {

class SharedRetryBudget {
 public:
  static constexpr double kUsableShare = 0.7;  // Share of the budget that may be spent.

  explicit SharedRetryBudget(RetrySettings settings) : settings_(settings) {}

  void OnRequest(MonotonicTime now) {
    // Also done here because Affordable is never called for a service whose requests never fail.
    RemoveOlder(requests_, now - settings_.window);
    requests_.push_back(now);
  }

  bool Affordable(size_t entry_vms, MonotonicTime now) {
    RemoveOlder(requests_, now - settings_.window);
    RemoveOlder(extra_attempts_, now - settings_.window);
    const double slack_share =
        settings_.slack / static_cast<double>(std::max<size_t>(entry_vms, 1));
    const double limit =
        kUsableShare * (settings_.ratio * static_cast<double>(requests_.size()) + slack_share);
    return static_cast<double>(extra_attempts_.size()) + 1.0 <= std::max(limit, 0.0);
  }
  void OnExtraAttempt(MonotonicTime now) { extra_attempts_.push_back(now); }

 private:
  static void RemoveOlder(std::deque<MonotonicTime>& times, MonotonicTime oldest) {
    while (!times.empty() && times.front() < oldest) times.pop_front();
  }

  RetrySettings settings_;
  std::deque<MonotonicTime> requests_;        // Times of the requests within the window.
  std::deque<MonotonicTime> extra_attempts_;  // Times of the retries and hedges within the window.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_SHARED_RETRY_BUDGET_H_
