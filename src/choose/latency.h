// Latency of a service's answers by class: a mean that outliers can't drag along, and the quantile
// after which a hedge is sent. A single server is judged by its ratio to the mean of its class.

#ifndef COWSLIPHILL_CHOOSE_LATENCY_H_
#define COWSLIPHILL_CHOOSE_LATENCY_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "src/base/clock.h"
#include "src/choose/load_estimate.h"

namespace cowsliphill {

// Of one class of one service.
class ClassLatency {
 public:
  static constexpr double kClip = 4.0;         // Samples count as at most this many means.
  static constexpr double kSamples = 128.0;    // Memory of the mean, in answers.
  static constexpr double kHedgeShare = 0.05;  // Share of answers slower than the hedge delay.
  static constexpr double kHedgeStep = 0.05;   // Largest relative step of the hedge delay.

  void OnAnswer(Duration latency) {
    const double sample = static_cast<double>(std::max<int64_t>(1, latency.count()));
    count_ = std::min(kSamples, count_ + 1.0);
    mean_ns_ += (Clipped(sample) - mean_ns_) / count_;
    if (hedge_ns_ <= 0.0) hedge_ns_ = 3.0 * mean_ns_;
    const double push = sample > hedge_ns_ ? 1.0 - kHedgeShare : -kHedgeShare;
    hedge_ns_ = std::max(mean_ns_, hedge_ns_ * (1.0 + kHedgeStep * push));
  }

  bool Known() const { return count_ > 0.0; }
  Duration Mean() const { return Duration(static_cast<int64_t>(mean_ns_)); }
  Duration HedgeDelay() const { return Duration(static_cast<int64_t>(hedge_ns_)); }

  // How many means `latency` is.
  double RatioOf(Duration latency) const {
    return Known() ? static_cast<double>(latency.count()) / mean_ns_ : 1.0;
  }

 private:
  double Clipped(double sample) const {
    return count_ > 8.0 ? std::min(sample, kClip * mean_ns_) : sample;
  }

  double count_ = 0.0;     // Answers seen, up to kSamples.
  double mean_ns_ = 0.0;   // Mean latency.
  double hedge_ns_ = 0.0;  // Latency that all but kHedgeShare of the answers keep.
};

// Of one backend server, in means of its service: 1 is typical. What was learnt fades, so that a
// server that gets no work for its slowness is tried again.
class LatencyRatio {
 public:
  static constexpr double kWeight = 0.2;  // Of the newest answer.
  static constexpr double kMost = 20.0;   // A single answer counts as at most this.
  static constexpr std::chrono::seconds kHalfLife{2};

  void OnAnswer(double ratio, MonotonicTime now) {
    const double before = Value(now);
    value_ = before + kWeight * (std::min(ratio, kMost) - before);
    updated_ = now;
  }
  // For an attempt that was given up: its answer would have taken at least `ratio`.
  void OnGivenUp(double ratio, MonotonicTime now) {
    if (ratio > Value(now)) OnAnswer(ratio, now);
  }
  void Reset() { value_ = 1.0; }
  double Value(MonotonicTime now) const {
    return 1.0 + (value_ - 1.0) * Remaining(now - updated_, kHalfLife);
  }

 private:
  double value_ = 1.0;     // Moving average of ratios.
  MonotonicTime updated_;  // Time of the newest answer.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_LATENCY_H_
