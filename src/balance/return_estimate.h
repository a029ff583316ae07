// How long a caller has been trying already. Callers say how much longer they will wait; one that
// was refused and came back, or lost its entry VM, has less time left than others of its kind.
// Without this a request that is late anyway takes the slot of one that could be in time: after an
// outage, and while an overload lasts, half of all requests have come back.

#ifndef COWSLIPHILL_BALANCE_RETURN_ESTIMATE_H_
#define COWSLIPHILL_BALANCE_RETURN_ESTIMATE_H_

#include <algorithm>
#include <array>
#include <cstddef>

#include "src/base/clock.h"

namespace cowsliphill {

class ReturnEstimate {
 public:
  static constexpr size_t kKept = 256;      // Newest requests that count.
  static constexpr size_t kFewest = 32;     // Of them, before anything is said.
  static constexpr double kQuantile = 0.9;  // Of the times left: one of a caller that is new, also
                                            // while most have come back.
  static constexpr double kVaries = 0.82;   // Callers that are new have at least this share of it
                                            // left, as some are less patient than others.
  static constexpr size_t kLook = 16;       // Requests between two calculations.

  // `left`: how much longer this caller waits. Returns how long it has been trying at least.
  Duration OnRequest(Duration left) {
    kept_[next_] = left;
    next_ = (next_ + 1) % kKept;
    count_ = std::min(count_ + 1, kKept);
    if (count_ >= kFewest && ++since_look_ >= kLook) Look();
    return std::max(usual_ - left, Duration{});
  }

 private:
  void Look() {
    since_look_ = 0;
    std::array<Duration, kKept> sorted = kept_;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(count_);
    const auto at =
        sorted.begin() + static_cast<std::ptrdiff_t>(kQuantile * static_cast<double>(count_ - 1));
    std::nth_element(sorted.begin(), at, end);
    usual_ = Times(*at, kVaries);
  }

  std::array<Duration, kKept> kept_{};
  size_t next_ = 0;
  size_t count_ = 0;
  size_t since_look_ = kLook;
  Duration usual_{};  // The least that a new caller has left; 0 until it is known.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_RETURN_ESTIMATE_H_
