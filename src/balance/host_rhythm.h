// When a backend server's host may next turn slow or fast.
//
// Servers share hosts with others whose load changes in steps. Where these steps come at a fixed
// interval, a report stays true until the host's next step, however old it is, and says nothing
// after it. HostRhythm learns the interval from the changes seen at all servers, HostSteps the
// moments of one host. Where no interval fits, both say so and reports count by their age alone.
//
// Pure; the load pattern: work takes several times as long on a host for one or more whole steps.

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

// The interval between steps, common to all hosts.
class HostRhythm {
 public:
  static constexpr size_t kFewestGaps = 12;    // Seen before an interval is named.
  static constexpr size_t kMostGaps = 96;      // The newest ones count.
  static constexpr double kShortest = 0.1;     // Quantile of the gaps that is one interval: most
                                               // gaps are one, two or three intervals long.
  static constexpr double kTolerance = 0.12;   // Of an interval, by which a gap may be off.
  static constexpr double kFitting = 0.85;     // Share of the gaps that must fit; by chance a
                                               // quarter of them does.
  static constexpr uint32_t kGapsPerLook = 4;  // New gaps between two calculations.
  static constexpr std::chrono::milliseconds kLeast{100};  // Faster changes can't be followed.

  // The time between two changes seen in a row at one host.
  void OnGap(Duration gap) {
    gaps_.push_back(gap);
    if (gaps_.size() > kMostGaps) gaps_.pop_front();
    if (gaps_.size() < kFewestGaps || ++since_look_ < kGapsPerLook) return;
    since_look_ = 0;
    Look();
  }
  std::optional<Duration> Interval() const { return interval_; }

 private:
  void Look() {
    std::vector<Duration> sorted(gaps_.begin(), gaps_.end());
    std::sort(sorted.begin(), sorted.end());
    Duration guess = sorted[static_cast<size_t>(kShortest * static_cast<double>(sorted.size()))];
    interval_.reset();
    if (guess < kLeast) return;
    // The first guess is short. Each pass weighs the longer gaps too, which name the interval more
    // exactly, and is stricter than the one before.
    size_t fitting = 0;
    for (const double tolerance : {2 * kTolerance, 1.5 * kTolerance, kTolerance, kTolerance}) {
      double sum = 0;
      double weight = 0;
      fitting = 0;
      for (const Duration gap : sorted) {
        const double n = std::round(Ratio(gap, guess));
        if (n < 1 || std::abs(Ratio(gap, guess) - n) > tolerance) continue;
        ++fitting;
        sum += n * static_cast<double>(gap.count());
        weight += n * n;
      }
      if (weight == 0) return;
      guess = Duration(static_cast<Duration::rep>(sum / weight));
    }
    if (static_cast<double>(fitting) >= kFitting * static_cast<double>(sorted.size())) {
      interval_ = guess;
    }
  }
  static double Ratio(Duration a, Duration b) {
    return static_cast<double>(a.count()) / static_cast<double>(b.count());
  }

  std::deque<Duration> gaps_;
  uint32_t since_look_ = 0;
  std::optional<Duration> interval_;
};

// The steps of one host, as a span of time that holds one of them; the others are whole intervals
// away. Each change that is seen narrows the span.
class HostSteps {
 public:
  static constexpr std::chrono::milliseconds kSharp{120};  // Wider spans don't give gaps.
  static constexpr std::chrono::milliseconds kNarrow{6};   // Narrower spans are good enough.
  static constexpr double kDrift = 0.001;                  // Error of the interval, as a share.

  // The host changed after `earliest` and not after `latest`. Returns the time since the change
  // before, if both are known well.
  std::optional<Duration> OnChange(MonotonicTime earliest, MonotonicTime latest,
                                   std::optional<Duration> interval) {
    const MonotonicTime middle = earliest + (latest - earliest) / 2;
    std::optional<Duration> gap;
    const bool sharp = latest - earliest <= kSharp;
    if (sharp && last_change_) gap = middle - *last_change_;
    last_change_ = sharp ? std::optional<MonotonicTime>(middle) : std::nullopt;
    Narrow(earliest, latest, interval);
    return gap;
  }

  // Whether a step may have come after `from` and by `to`.
  bool MayStep(MonotonicTime from, MonotonicTime to, Duration interval) const {
    return !known_ || NextAfter(from, interval) <= to;
  }
  // When to look at the host after `time`: at the end of the next span, and in its middle as long
  // as it is wide, so that a change seen then halves it.
  MonotonicTime NextLook(MonotonicTime time, Duration interval) const {
    const MonotonicTime begin = NextAfter(time, interval);
    const Duration width = latest_ - earliest_;
    const MonotonicTime middle = begin + width / 2;
    return width > kNarrow && time < middle ? middle : begin + width;
  }
  bool Known() const { return known_; }
  // The end of the span in which the last change was seen.
  MonotonicTime LastSpanEnd() const { return latest_; }

 private:
  // The beginning of the first span that ends after `time`.
  MonotonicTime NextAfter(MonotonicTime time, Duration interval) const {
    const Duration since = time - latest_;
    auto n = since / interval;
    if (latest_ + n * interval <= time) ++n;
    return earliest_ + n * interval;
  }

  void Narrow(MonotonicTime earliest, MonotonicTime latest, std::optional<Duration> interval) {
    if (known_ && interval) {
      const Duration apart = (earliest - earliest_) + (latest - latest_);
      const double n = std::round(static_cast<double>(apart.count()) / 2 /
                                  static_cast<double>(interval->count()));
      const auto whole =
          Duration(static_cast<Duration::rep>(n * static_cast<double>(interval->count())));
      const auto drift =
          Duration(static_cast<Duration::rep>(kDrift * static_cast<double>(whole.count())));
      const MonotonicTime from = std::max(earliest, earliest_ + whole - drift);
      const MonotonicTime to = std::min(latest, latest_ + whole + drift);
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
  MonotonicTime earliest_{};  // A step came after this
  MonotonicTime latest_{};    // and not after that.
  std::optional<MonotonicTime> last_change_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_HOST_RHYTHM_H_
