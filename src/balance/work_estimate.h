// How long one kind of request works at a server of usual speed, learned from answers.

#ifndef COWSLIPHILL_BALANCE_WORK_ESTIMATE_H_
#define COWSLIPHILL_BALANCE_WORK_ESTIMATE_H_

#include <algorithm>

#include "src/base/clock.h"

namespace cowsliphill {

class WorkEstimate {
 public:
  static constexpr double kWeight = 0.1;       // Of the newest answer; some ten answers settle it.
  static constexpr double kFirstGuess = 0.25;  // Of the target latency, until answers tell.
  static constexpr Duration kLeast = std::chrono::milliseconds(1);

  explicit WorkEstimate(Duration target)
      : mean_(std::max(kLeast, std::chrono::duration_cast<Duration>(target * kFirstGuess))) {}

  // `latency` of an answer from a server that had a free slot and worked `slowdown` times as long
  // as usual.
  void OnAnswer(Duration latency, double slowdown) {
    const auto work = std::chrono::duration_cast<Duration>(latency / std::max(slowdown, 1.0));
    mean_ += std::chrono::duration_cast<Duration>((work - mean_) * kWeight);
    mean_ = std::max(mean_, kLeast);
  }

  Duration Mean() const { return mean_; }

 private:
  Duration mean_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_WORK_ESTIMATE_H_
