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
  // Times the mean that one answer counts at most: one that met a slow host unseen says nothing of
  // the work.
  static constexpr double kMostOfOne = 2.5;
  static constexpr Duration kLeast = std::chrono::milliseconds(1);

  explicit WorkEstimate(Duration target) : mean_(std::max(kLeast, Times(target, kFirstGuess))) {}

  // `latency` of an answer from a server that had a free slot and worked `pace` times as long as
  // usual.
  void OnAnswer(Duration latency, double pace) {
    const Duration most = Times(mean_, kMostOfOne);
    const Duration work = Times(latency, 1 / std::max(pace, 1.0));
    mean_ += Times(std::min(work, most) - mean_, kWeight);
    mean_ = std::max(mean_, kLeast);
  }

  Duration Mean() const { return mean_; }

 private:
  Duration mean_;
};

// How much longer work takes at a server that is nearly full, learned from answers: some slow down
// then, others don't.
class CrowdingEstimate {
 public:
  static constexpr double kNearlyFull = 0.8;  // Share of slots from which servers may slow down.
  static constexpr double kWeight = 0.05;     // Of the newest answer.
  static constexpr double kFirstGuess = 1.5;  // Until answers tell.
  static constexpr double kMost = 4.0;        // One answer counts at most so much.

  // `usual`: the time that it would have taken at an emptier server.
  void OnAnswer(Duration latency, Duration usual) {
    const double ratio = static_cast<double>(latency.count()) /
                         static_cast<double>(std::max<Duration::rep>(usual.count(), 1));
    factor_ += kWeight * (std::clamp(ratio, 0.0, kMost) - factor_);
  }

  // Whether a request beside `others` at a server with `slots` may work longer.
  static bool Crowds(uint32_t others, uint32_t slots) { return others + 1 > kNearlyFull * slots; }
  double Factor() const { return std::max(factor_, 1.0); }

 private:
  double factor_ = kFirstGuess;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_WORK_ESTIMATE_H_
