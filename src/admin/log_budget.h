// Bounds how many lines of one kind are written. What is left out is counted, never dropped
// silently.

#ifndef COWSLIPHILL_ADMIN_LOG_BUDGET_H_
#define COWSLIPHILL_ADMIN_LOG_BUDGET_H_

#include <algorithm>
#include <cstdint>

#include "src/base/clock.h"

namespace cowsliphill {

class LogBudget {
 public:
  // `per_second` lines on average, `burst` at once.
  LogBudget(double per_second, double burst)
      : per_second_(per_second), burst_(burst), saved_(burst) {}

  bool Allow(MonotonicTime now) {
    const double passed = std::chrono::duration<double>(now - last_).count();
    saved_ = std::min(burst_, saved_ + std::max(passed, 0.0) * per_second_);
    last_ = now;
    if (saved_ < 1.0) {
      ++left_out_;
      return false;
    }
    saved_ -= 1.0;
    return true;
  }
  // Lines left out since the last call.
  uint64_t TakeLeftOut() {
    const uint64_t n = left_out_;
    left_out_ = 0;
    return n;
  }

 private:
  double per_second_;
  double burst_;
  double saved_;  // Lines that may be written now.
  uint64_t left_out_ = 0;
  MonotonicTime last_{};
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_ADMIN_LOG_BUDGET_H_
