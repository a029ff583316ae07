// Estimates how long a caller has been trying already. Callers report how much longer they will
// wait; a caller that retries after a refusal or after losing its entry VM has less time left than
// others with requests of the same kind. Without this estimate a request that will be late anyway
// takes the slot of one that could be on time: after an outage, and during a lasting overload, half
// of all requests are such retries.

#ifndef COWSLIPHILL_BALANCE_CALLER_ELAPSED_ESTIMATE_H_
#define COWSLIPHILL_BALANCE_CALLER_ELAPSED_ESTIMATE_H_

#include <algorithm>
#include <array>
#include <cstddef>

#include "src/base/clock.h"

namespace cowsliphill {

class CallerElapsedEstimate {
 public:
  static constexpr size_t kWindowSize = 256;  // Newest requests that the estimate is based on.
  static constexpr size_t kMinSamples = 32;   // Requests needed before the first estimate.
  // Callers at or above this quantile of the times left are taken to be new. It is high because
  // most requests may be retries for a while.
  static constexpr double kNewCallerQuantile = 0.9;
  // New callers have at least this share of the quantile left: some have shorter timeouts than
  // others.
  static constexpr double kNewCallerShare = 0.82;
  // Number of requests after which the quantile is calculated again.
  static constexpr size_t kRequestsPerUpdate = 16;

  // `left` is how much longer this caller will wait. Returns the least time for which the caller
  // must have been trying already; 0 for a new caller.
  Duration OnRequest(Duration left) {
    samples_[next_] = left;
    next_ = (next_ + 1) % kWindowSize;
    count_ = std::min(count_ + 1, kWindowSize);
    if (count_ >= kMinSamples && ++since_update_ >= kRequestsPerUpdate) Update();
    return std::max(new_caller_left_ - left, Duration{});
  }

 private:
  void Update() {
    since_update_ = 0;
    std::array<Duration, kWindowSize> sorted = samples_;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(count_);
    const auto at = sorted.begin() + static_cast<std::ptrdiff_t>(kNewCallerQuantile *
                                                                 static_cast<double>(count_ - 1));
    std::nth_element(sorted.begin(), at, end);
    new_caller_left_ = Times(*at, kNewCallerShare);
  }

  std::array<Duration, kWindowSize> samples_{};
  size_t next_ = 0;
  size_t count_ = 0;
  size_t since_update_ = kRequestsPerUpdate;
  Duration new_caller_left_{};  // Least time that a new caller has left; 0 until it is known.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_CALLER_ELAPSED_ESTIMATE_H_
