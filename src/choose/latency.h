// Latency statistics of a service by request class: an outlier-resistant mean, and the quantile
// after which a hedge is sent. A single server is rated by its latency relative to the class mean.

#ifndef COWSLIPHILL_CHOOSE_LATENCY_H_
#define COWSLIPHILL_CHOOSE_LATENCY_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "src/base/clock.h"
#include "src/choose/load_estimate.h"

namespace cowsliphill {

// Latency of the answers of one class of one service.
class ClassLatency {
 public:
  static constexpr double kOutlierCap = 4.0;  // Samples are capped at this many times the mean.
  // The mean averages over at most this many answers.
  static constexpr double kMaxSampleCount = 128.0;
  static constexpr double kHedgedShare = 0.05;  // Share of answers slower than the hedge delay.
  // The hedge delay changes by at most this fraction per answer.
  static constexpr double kMaxHedgeStep = 0.05;

  void OnAnswer(Duration latency) {
    const double sample = static_cast<double>(std::max<int64_t>(1, latency.count()));
    count_ = std::min(kMaxSampleCount, count_ + 1.0);
    mean_ns_ += (Capped(sample) - mean_ns_) / count_;
    if (hedge_ns_ <= 0.0) hedge_ns_ = 3.0 * mean_ns_;
    const double step = sample > hedge_ns_ ? 1.0 - kHedgedShare : -kHedgedShare;
    hedge_ns_ = std::max(mean_ns_, hedge_ns_ * (1.0 + kMaxHedgeStep * step));
  }

  bool HasSamples() const { return count_ > 0.0; }
  Duration Mean() const { return Duration(static_cast<int64_t>(mean_ns_)); }
  Duration HedgeDelay() const { return Duration(static_cast<int64_t>(hedge_ns_)); }

  // Returns `latency` divided by the mean, or 1 without samples.
  double RatioOf(Duration latency) const {
    return HasSamples() ? static_cast<double>(latency.count()) / mean_ns_ : 1.0;
  }

 private:
  double Capped(double sample) const {
    return count_ > 8.0 ? std::min(sample, kOutlierCap * mean_ns_) : sample;
  }

  double count_ = 0.0;     // Number of answers seen, up to kMaxSampleCount.
  double mean_ns_ = 0.0;   // Mean latency in nanoseconds, with outliers capped.
  double hedge_ns_ = 0.0;  // Latency in nanoseconds that only kHedgedShare of the answers exceed.
};

// Moving average of one backend server's latency relative to the class mean; 1 is typical. The
// average decays toward 1, so that a server that gets no work because it was slow is tried again.
class LatencyRatio {
 public:
  static constexpr double kWeight = 0.2;     // Weight of the newest answer in the average.
  static constexpr double kMaxRatio = 20.0;  // The ratio of a single answer is capped at this.
  static constexpr std::chrono::seconds kHalfLife{2};

  void OnAnswer(double ratio, MonotonicTime now) {
    const double before = Value(now);
    value_ = before + kWeight * (std::min(ratio, kMaxRatio) - before);
    updated_ = now;
  }
  // Handles an attempt that ended without an answer: `ratio` is a lower bound on the ratio that its
  // answer would have had.
  void OnAbandoned(double ratio, MonotonicTime now) {
    if (ratio > Value(now)) OnAnswer(ratio, now);
  }
  void Reset() { value_ = 1.0; }
  double Value(MonotonicTime now) const {
    return 1.0 + (value_ - 1.0) * DecayFactor(now - updated_, kHalfLife);
  }

 private:
  double value_ = 1.0;     // Average at the time `updated_`, before decay.
  MonotonicTime updated_;  // Time of the newest sample.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_LATENCY_H_
