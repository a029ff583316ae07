// How much work one backend server has: our own requests there, counted exactly, plus what the
// other entry VMs have there, known only from reports that are stale when they arrive.

#ifndef COWSLIPHILL_CHOOSE_LOAD_ESTIMATE_H_
#define COWSLIPHILL_CHOOSE_LOAD_ESTIMATE_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "src/base/clock.h"

namespace cowsliphill {

// Share of what was learnt `age` ago that still counts; half of it after `half_life`.
inline double Remaining(Duration age, Duration half_life) {
  if (half_life <= Duration{}) return age <= Duration{} ? 1.0 : 0.0;
  const auto half = static_cast<double>(half_life.count());
  return half / (half + static_cast<double>(std::max(Duration{}, age).count()));
}

// How far the reports of a service's servers tell the truth, learnt from whether requests sent to
// servers that reported more work were in fact slower: the slope of latency over reported excess.
// Reports that lag by many latencies, or mislead, lose their say; own counts remain.
class ReportTrust {
 public:
  static constexpr double kWeight = 0.003;    // Of the newest answer.
  static constexpr double kFullSlope = 0.08;  // Mean latencies per request, from which trust is 1.

  // `excess` as it was when the request was sent, `ratio` its latency in means of its class.
  void OnAnswer(double excess, double ratio) {
    const double x = excess - mean_excess_;
    const double y = std::min(ratio, kMostRatio) - mean_ratio_;
    mean_excess_ += kWeight * x;
    mean_ratio_ += kWeight * y;
    variance_ += kWeight * (x * x - variance_);
    covariance_ += kWeight * (x * y - covariance_);
  }

  double Value() const {
    if (variance_ < kLeastVariance) return 1.0;
    return std::clamp(covariance_ / variance_ / kFullSlope, 0.0, 1.0);
  }

 private:
  static constexpr double kMostRatio = 4.0;
  static constexpr double kLeastVariance = 0.001;

  double mean_excess_ = 0.0;
  double mean_ratio_ = 1.0;
  double variance_ = 1.0;  // Of the excess; starts in favour of reports.
  double covariance_ = 2 * kFullSlope;
};

class LoadEstimate {
 public:
  void OnSent(MonotonicTime now) { sent_.push_back(now); }

  // `sent` is the time that was given to OnSent.
  void OnEnded(MonotonicTime sent) {
    const auto it = std::find(sent_.begin(), sent_.end(), sent);
    if (it != sent_.end()) sent_.erase(it);
  }

  // `in_flight` is the server's own count, our requests included.
  void OnReport(uint32_t in_flight, MonotonicTime now) {
    others_ = std::max(0.0, static_cast<double>(in_flight) - Own());
    reported_ = now;
    known_ = true;
  }

  uint32_t Own() const { return static_cast<uint32_t>(sent_.size()); }

  // What the newest report says beyond `typical` (what others have at a server of this service on
  // average). It decays with its age and counts half after `half_life`.
  double ReportedExcess(MonotonicTime now, double typical, Duration half_life) const {
    if (!known_) return 0.0;
    return Remaining(now - reported_, half_life) * (others_ - typical);
  }

  // Requests expected at the server. `trust` says how far reports have told the truth, 0 to 1.
  double Expected(MonotonicTime now, double typical, Duration half_life, double trust) const {
    return Own() + typical + trust * ReportedExcess(now, typical, half_life);
  }

  double Others() const { return others_; }

  // Age of our oldest open request there; zero without one.
  Duration OldestAge(MonotonicTime now) const {
    return sent_.empty() ? Duration{} : now - sent_.front();
  }

 private:
  std::vector<MonotonicTime> sent_;  // Of our open requests, oldest first.
  double others_ = 0.0;              // Requests of other entry VMs at the time of the report.
  MonotonicTime reported_;           // When the report came.
  bool known_ = false;               // A report has come.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_LOAD_ESTIMATE_H_
