// Limits the rate of one kind of log lines by a token bucket. Suppressed lines are counted, so that
// their number can be logged.

#ifndef COWSLIPHILL_ADMIN_LOG_BUDGET_H_
#define COWSLIPHILL_ADMIN_LOG_BUDGET_H_

#include <algorithm>
#include <cstdint>

#include "src/base/clock.h"

namespace cowsliphill {

class LogBudget {
 public:
  // Allows `per_second` lines on average and up to `burst` lines at once.
  LogBudget(double per_second, double burst)
      : per_second_(per_second), burst_(burst), tokens_(burst) {}

  // Returns whether a line may be written now, and counts it as written or suppressed.
  bool Allow(MonotonicTime now) {
    const double passed = std::chrono::duration<double>(now - last_).count();
    tokens_ = std::min(burst_, tokens_ + std::max(passed, 0.0) * per_second_);
    last_ = now;
    if (tokens_ < 1.0) {
      ++suppressed_;
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }
  // Returns the number of lines suppressed since the last call.
  uint64_t TakeSuppressed() {
    const uint64_t n = suppressed_;
    suppressed_ = 0;
    return n;
  }

 private:
  double per_second_;
  double burst_;
  double tokens_;  // Number of lines that may be written now.
  uint64_t suppressed_ = 0;
  MonotonicTime last_{};
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_ADMIN_LOG_BUDGET_H_
