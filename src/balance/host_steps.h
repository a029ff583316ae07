// Predicts when a backend server's host may next turn slow or fast.
//
// Servers share hosts with other workloads whose load changes in steps: a step is a time at which a
// host's speed may change. Where steps come at a fixed interval, a report holds until the host's
// next step, however old it is, and says nothing after that step. HostIntervalEstimate learns the
// interval, which is the same for all hosts, from the changes observed at all servers.
// HostStepTimes learns when the steps of one host come. While no interval fits the observed
// changes, reports are judged by their age alone.
//
// Pure: no I/O. The load pattern that this handles: requests on a host take several times as long
// as usual for one or more whole intervals.

#ifndef COWSLIPHILL_BALANCE_HOST_STEPS_H_
#define COWSLIPHILL_BALANCE_HOST_STEPS_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "src/base/clock.h"

namespace cowsliphill {

// Estimates the interval at which hosts change speed, which is the same for all hosts. A gap is the
// time between two successive changes observed at one host.
class HostIntervalEstimate {
 public:
  static constexpr size_t kMinGaps = 12;  // Gaps needed before an interval is estimated.
  static constexpr size_t kMaxGaps = 96;  // Newest gaps that the estimate is based on.
  // Quantile of the gaps taken as the first estimate of the interval: most gaps are one to three
  // intervals.
  static constexpr double kFirstEstimateQuantile = 0.1;
  // A gap fits if it deviates from a multiple of the interval by at most this share of one
  // interval.
  static constexpr double kTolerance = 0.12;
  // The interval counts as known if at least this share of the gaps fits it. Of random gaps about a
  // quarter fits by chance.
  static constexpr double kMinFittingShare = 0.85;
  // Number of new gaps after which the interval is estimated again.
  static constexpr uint32_t kGapsPerUpdate = 4;
  // If the first estimate is shorter than this, no interval is reported: it can't be tracked.
  static constexpr std::chrono::milliseconds kMinInterval{100};

  // Adds the time between two successive changes observed at one host.
  void OnGapBetweenChanges(Duration gap) {
    gaps_.push_back(gap);
    if (gaps_.size() > kMaxGaps) gaps_.pop_front();
    if (gaps_.size() < kMinGaps || ++gaps_since_update_ < kGapsPerUpdate) return;
    gaps_since_update_ = 0;
    Update();
  }
  std::optional<Duration> Interval() const { return interval_; }

 private:
  void Update() {
    std::vector<Duration> sorted(gaps_.begin(), gaps_.end());
    std::sort(sorted.begin(), sorted.end());
    Duration estimate =
        sorted[static_cast<size_t>(kFirstEstimateQuantile * static_cast<double>(sorted.size()))];
    interval_.reset();
    if (estimate < kMinInterval) return;
    // The low quantile underestimates the interval. Each pass estimates it again from all gaps near
    // a multiple of the last estimate. Long gaps weigh more, because they determine the interval
    // more exactly, and the tolerance shrinks to kTolerance.
    size_t fitting = 0;
    for (const double tolerance : {2 * kTolerance, 1.5 * kTolerance, kTolerance, kTolerance}) {
      double sum = 0;
      double weight = 0;
      fitting = 0;
      for (const Duration gap : sorted) {
        const double n = std::round(Ratio(gap, estimate));
        if (n < 1 || std::abs(Ratio(gap, estimate) - n) > tolerance) continue;
        ++fitting;
        sum += n * static_cast<double>(gap.count());
        weight += n * n;
      }
      if (weight == 0) return;
      estimate = Duration(static_cast<Duration::rep>(sum / weight));
    }
    if (static_cast<double>(fitting) >= kMinFittingShare * static_cast<double>(sorted.size())) {
      interval_ = estimate;
    }
  }
  static double Ratio(Duration a, Duration b) {
    return static_cast<double>(a.count()) / static_cast<double>(b.count());
  }

  std::deque<Duration> gaps_;
  uint32_t gaps_since_update_ = 0;
  std::optional<Duration> interval_;
};

// When one host's speed may change (its steps), kept as a time span that contains one step; the
// other steps are multiples of the interval away. A change that fits the span narrows it, except
// that the span is first widened by the possible error of the interval. A change that doesn't fit,
// or that is observed while no interval is known, replaces the span.
class HostStepTimes {
 public:
  // A change whose time is known less precisely than this gives no gap.
  static constexpr std::chrono::milliseconds kMaxSpanForGap{120};
  // A span up to this width needs no probes in its middle to narrow it.
  static constexpr std::chrono::milliseconds kPreciseSpan{6};
  // Largest error of the estimated interval that is allowed for, as a share of the interval.
  static constexpr double kMaxIntervalError = 0.001;

  // The host changed speed after `earliest` and not after `latest`. Returns the time since the
  // previous change if the times of both are known within kMaxSpanForGap.
  std::optional<Duration> OnChange(MonotonicTime earliest, MonotonicTime latest,
                                   std::optional<Duration> interval) {
    const MonotonicTime middle = earliest + (latest - earliest) / 2;
    std::optional<Duration> gap;
    const bool precise = latest - earliest <= kMaxSpanForGap;
    if (precise && last_change_) gap = middle - *last_change_;
    last_change_ = precise ? std::optional<MonotonicTime>(middle) : std::nullopt;
    UpdateSpan(earliest, latest, interval);
    return gap;
  }

  // Whether the host's speed may have changed after `from` and not after `to`.
  bool MayStep(MonotonicTime from, MonotonicTime to, Duration interval) const {
    return !known_ || NextSpanStart(from, interval) <= to;
  }
  // When to probe the host after `time`: at the end of the next span, and first in its middle while
  // the span is wider than kPreciseSpan, so that a change observed there halves the span.
  MonotonicTime NextProbeTime(MonotonicTime time, Duration interval) const {
    const MonotonicTime begin = NextSpanStart(time, interval);
    const Duration width = latest_ - earliest_;
    const MonotonicTime middle = begin + width / 2;
    return width > kPreciseSpan && time < middle ? middle : begin + width;
  }
  bool Known() const { return known_; }
  // End of the span that contains the last observed change.
  MonotonicTime LastSpanEnd() const { return latest_; }

 private:
  // Start of the first span that ends after `time`.
  MonotonicTime NextSpanStart(MonotonicTime time, Duration interval) const {
    const Duration since = time - latest_;
    auto n = since / interval;
    if (latest_ + n * interval <= time) ++n;
    return earliest_ + n * interval;
  }

  void UpdateSpan(MonotonicTime earliest, MonotonicTime latest, std::optional<Duration> interval) {
    if (known_ && interval) {
      const Duration apart = (earliest - earliest_) + (latest - latest_);
      const double n = std::round(static_cast<double>(apart.count()) / 2 /
                                  static_cast<double>(interval->count()));
      const auto shift =
          Duration(static_cast<Duration::rep>(n * static_cast<double>(interval->count())));
      const auto tolerance = Duration(
          static_cast<Duration::rep>(kMaxIntervalError * static_cast<double>(shift.count())));
      const MonotonicTime from = std::max(earliest, earliest_ + shift - tolerance);
      const MonotonicTime to = std::min(latest, latest_ + shift + tolerance);
      if (from < to) {
        earliest_ = from;
        latest_ = to;
        return;
      }
    }
    earliest_ = earliest;
    latest_ = latest;
    known_ = true;
  }

  bool known_ = false;                        // A change has been observed.
  MonotonicTime earliest_{};                  // Start of the span that contains a step.
  MonotonicTime latest_{};                    // End of the span that contains a step.
  std::optional<MonotonicTime> last_change_;  // Unset if not known within kMaxSpanForGap.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_HOST_STEPS_H_
