// Predicts when a backend server's host may next turn slow or fast.
//
// Servers share hosts with other workloads whose load changes in steps. Where these steps come at a
// fixed interval, a report holds until the host's next step, however old it is, and says nothing
// after that step. HostIntervalEstimate learns the interval, which all hosts share, from the
// changes observed at all servers; HostStepTimes learns when the steps of one host come. While no
// interval fits, both say so and reports are judged by their age alone.
//
// Pure: no I/O. The load pattern is a host on which requests take several times as long for one or
// more whole intervals.

#ifndef COWSLIPHILL_BALANCE_HOST_RHYTHM_H_
#define COWSLIPHILL_BALANCE_HOST_RHYTHM_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "src/base/clock.h"

namespace cowsliphill {

// The interval between steps, common to all hosts. A gap is the time between two changes observed
// in a row at one host.
class HostIntervalEstimate {
 public:
  static constexpr size_t kMinGaps = 12;         // Gaps needed before an interval is estimated.
  static constexpr size_t kMaxGaps = 96;         // Newest gaps that the estimate is based on.
  static constexpr double kGuessQuantile = 0.1;  // Quantile of the gaps taken for one interval at
                                                 // first: most gaps are one to three intervals.
  static constexpr double kTolerance = 0.12;     // Deviation of a gap from whole intervals up to
                                                 // which it fits, as a share of one interval.
  static constexpr double kMinFittingShare = 0.85;  // Share of the gaps that must fit; of random
                                                    // gaps a quarter fits by chance.
  // New gaps between two calculations of the interval.
  static constexpr uint32_t kGapsPerUpdate = 4;
  // Shorter intervals can't be tracked.
  static constexpr std::chrono::milliseconds kMinInterval{100};

  // Adds the time between two changes observed in a row at one host.
  void OnGap(Duration gap) {
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
        sorted[static_cast<size_t>(kGuessQuantile * static_cast<double>(sorted.size()))];
    interval_.reset();
    if (estimate < kMinInterval) return;
    // The first estimate is too short. Each pass fits the longer gaps too, which determine the
    // interval more exactly, and the tolerance shrinks to kTolerance.
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

// The times of one host's steps, kept as a span of time that contains one step; the other steps are
// whole intervals away. Each observed change narrows the span.
class HostStepTimes {
 public:
  // Changes known less precisely give no gap.
  static constexpr std::chrono::milliseconds kMaxSpanForGap{120};
  // Spans up to this width are precise enough.
  static constexpr std::chrono::milliseconds kPreciseSpan{6};
  // Possible error of the interval, as a share of it.
  static constexpr double kMaxIntervalDrift = 0.001;

  // The host changed after `earliest` and not after `latest`. Returns the time since the previous
  // change if both are known within kMaxSpanForGap.
  std::optional<Duration> OnChange(MonotonicTime earliest, MonotonicTime latest,
                                   std::optional<Duration> interval) {
    const MonotonicTime middle = earliest + (latest - earliest) / 2;
    std::optional<Duration> gap;
    const bool precise = latest - earliest <= kMaxSpanForGap;
    if (precise && last_change_) gap = middle - *last_change_;
    last_change_ = precise ? std::optional<MonotonicTime>(middle) : std::nullopt;
    NarrowSpan(earliest, latest, interval);
    return gap;
  }

  // Whether the host may have had a step after `from` and not after `to`.
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

  void NarrowSpan(MonotonicTime earliest, MonotonicTime latest, std::optional<Duration> interval) {
    if (known_ && interval) {
      const Duration apart = (earliest - earliest_) + (latest - latest_);
      const double n = std::round(static_cast<double>(apart.count()) / 2 /
                                  static_cast<double>(interval->count()));
      const auto shift =
          Duration(static_cast<Duration::rep>(n * static_cast<double>(interval->count())));
      const auto tolerance = Duration(
          static_cast<Duration::rep>(kMaxIntervalDrift * static_cast<double>(shift.count())));
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

  bool known_ = false;
  MonotonicTime earliest_{};  // A step came after this time,
  MonotonicTime latest_{};    // and not after this one.
  std::optional<MonotonicTime> last_change_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_HOST_RHYTHM_H_
