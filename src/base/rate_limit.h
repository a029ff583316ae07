// Limits the rate of one kind of events, such as log lines, by a token bucket. Those that are
// suppressed are counted, so that their number can be logged.

#ifndef COWSLIPHILL_BASE_RATE_LIMIT_H_
#define COWSLIPHILL_BASE_RATE_LIMIT_H_

#include <algorithm>
#include <cstdint>

#include "src/base/clock.h"

namespace cowsliphill {

class RateLimit {
 public:
  // Allows `per_second` events on average and up to `burst` at once.
  RateLimit(double per_second, double burst)
      : per_second_(per_second), burst_(burst), tokens_(burst) {}

  // Returns whether the event may happen now, and counts it as allowed or suppressed.
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
  // Returns the number of events suppressed since the last call.
  uint64_t TakeSuppressed() {
    const uint64_t n = suppressed_;
    suppressed_ = 0;
    return n;
  }

 private:
  double per_second_;
  double burst_;
  double tokens_;  // Number of events that are allowed now.
  uint64_t suppressed_ = 0;
  MonotonicTime last_{};
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BASE_RATE_LIMIT_H_
