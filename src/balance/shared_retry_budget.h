// This entry VM's part of a retry budget that all entry VMs share without talking about it.
//
// The whole system may send `ratio` of a service's requests once more, and `slack` more, in any
// window. Each entry VM spends from its own requests and from its part of the slack, and keeps a
// margin for requests that are counted at the window's edge.

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
  static constexpr double kMargin = 0.7;  // Share of the budget that is used.

  explicit SharedRetryBudget(RetrySettings terms) : terms_(terms) {}

  void OnRequest(MonotonicTime now) {
    // Here too: a service whose requests never fail is never asked whether it can afford more.
    Forget(requests_, now - terms_.window);
    requests_.push_back(now);
  }

  bool Affordable(size_t entry_vms, MonotonicTime now) {
    Forget(requests_, now - terms_.window);
    Forget(repeats_, now - terms_.window);
    const double part = terms_.slack / static_cast<double>(std::max<size_t>(entry_vms, 1));
    const double most = kMargin * (terms_.ratio * static_cast<double>(requests_.size()) + part);
    return static_cast<double>(repeats_.size()) + 1.0 <= std::max(most, 0.0);
  }
  void OnRepeat(MonotonicTime now) { repeats_.push_back(now); }

 private:
  static void Forget(std::deque<MonotonicTime>& times, MonotonicTime oldest) {
    while (!times.empty() && times.front() < oldest) times.pop_front();
  }

  RetrySettings terms_;
  std::deque<MonotonicTime> requests_;  // First attempts within the window.
  std::deque<MonotonicTime> repeats_;   // Further attempts within the window.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_SHARED_RETRY_BUDGET_H_
