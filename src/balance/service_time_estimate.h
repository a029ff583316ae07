// Estimates of how long requests take at backend servers, learned from the answers.

#ifndef COWSLIPHILL_BALANCE_SERVICE_TIME_ESTIMATE_H_
#define COWSLIPHILL_BALANCE_SERVICE_TIME_ESTIMATE_H_

#include <algorithm>

#include "src/base/clock.h"

namespace cowsliphill {

// How long one kind of request takes at a server of usual speed: an exponentially weighted mean.
class ServiceTimeEstimate {
 public:
  // Weight of the newest answer in the mean, which settles after about ten answers.
  static constexpr double kWeight = 0.1;
  // Initial estimate, as a share of the target latency.
  static constexpr double kInitialShareOfTarget = 0.25;
  // A sample counts as at most this many times the mean: an answer from a host that had turned slow
  // unnoticed says nothing about the service time.
  static constexpr double kMaxSampleFactor = 2.5;
  static constexpr Duration kMinServiceTime = std::chrono::milliseconds(1);

  explicit ServiceTimeEstimate(Duration target)
      : mean_(std::max(kMinServiceTime, Times(target, kInitialShareOfTarget))) {}

  // `latency` is of an answer from a server that had a free slot and took `slowdown` times as long
  // as usual.
  void OnAnswer(Duration latency, double slowdown) {
    const Duration max_sample = Times(mean_, kMaxSampleFactor);
    const Duration service_time = Times(latency, 1 / std::max(slowdown, 1.0));
    mean_ += Times(std::min(service_time, max_sample) - mean_, kWeight);
    mean_ = std::max(mean_, kMinServiceTime);
  }

  Duration Mean() const { return mean_; }

 private:
  Duration mean_;
};

// The factor by which latency at a server that is nearly full exceeds the latency expected on the
// same host otherwise. It is learned because some servers slow down when nearly full and others
// don't.
class NearCapacityEstimate {
 public:
  // Share of used slots above which servers may slow down.
  static constexpr double kNearlyFull = 0.8;
  static constexpr double kWeight = 0.05;        // Weight of the newest answer in the factor.
  static constexpr double kInitialFactor = 1.5;  // Initial latency / expected latency.
  // Upper bound of the latency / expected latency of one answer.
  static constexpr double kMaxRatio = 4.0;

  // `expected_latency` is the expected latency on the same host if the server were not near
  // capacity.
  void OnAnswer(Duration latency, Duration expected_latency) {
    const double ratio = static_cast<double>(latency.count()) /
                         static_cast<double>(std::max<Duration::rep>(expected_latency.count(), 1));
    factor_ += kWeight * (std::clamp(ratio, 0.0, kMaxRatio) - factor_);
  }

  // Whether a server with `slots` slots and `in_flight` requests is nearly full with one more
  // request.
  static bool IsNearCapacity(uint32_t in_flight, uint32_t slots) {
    return in_flight + 1 > kNearlyFull * slots;
  }
  double Factor() const { return std::max(factor_, 1.0); }

 private:
  double factor_ = kInitialFactor;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_SERVICE_TIME_ESTIMATE_H_
