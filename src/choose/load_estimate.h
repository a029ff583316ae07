// Estimate of the open requests at one backend server: those of this entry VM, counted exactly,
// plus those of other entry VMs, known only from reports that are stale when they arrive.

#ifndef COWSLIPHILL_CHOOSE_LOAD_ESTIMATE_H_
#define COWSLIPHILL_CHOOSE_LOAD_ESTIMATE_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "src/base/clock.h"

namespace cowsliphill {

// Weight of a sample of the given age: 1 when new, half after `half_life`. Decays hyperbolically.
inline double DecayFactor(Duration age, Duration half_life) {
  if (half_life <= Duration{}) return age <= Duration{} ? 1.0 : 0.0;
  const auto half = static_cast<double>(half_life.count());
  return half / (half + static_cast<double>(std::max(Duration{}, age).count()));
}

// Trust in the reports of a service's backend servers, 0 to 1. It is learnt from whether requests
// sent to servers that reported more work were in fact slower: the regression slope of latency over
// reported excess load. Reports that are wrong, or older than several mean latencies, then hardly
// count; the counts of our own requests always do.
class ReportTrust {
 public:
  static constexpr double kWeight = 0.003;  // Weight of the newest answer in the moving averages.
  // Slope at which trust reaches 1: latency, in class means, per request of excess load.
  static constexpr double kFullTrustSlope = 0.08;

  // `excess` is the reported excess load when the request was sent, `ratio` the latency of the
  // request divided by the mean of its class.
  void OnAnswer(double excess, double ratio) {
    const double x = excess - mean_excess_;
    const double y = std::min(ratio, kMaxRatio) - mean_ratio_;
    mean_excess_ += kWeight * x;
    mean_ratio_ += kWeight * y;
    variance_ += kWeight * (x * x - variance_);
    covariance_ += kWeight * (x * y - covariance_);
  }

  double Value() const {
    if (variance_ < kMinVariance) return 1.0;
    return std::clamp(covariance_ / variance_ / kFullTrustSlope, 0.0, 1.0);
  }

 private:
  static constexpr double kMaxRatio = 4.0;
  static constexpr double kMinVariance = 0.001;

  double mean_excess_ = 0.0;
  double mean_ratio_ = 1.0;
  double variance_ = 1.0;  // Variance of the excess; reports are trusted at the start.
  double covariance_ = 2 * kFullTrustSlope;
};

class LoadEstimate {
 public:
  void OnSent(MonotonicTime now) { sent_times_.push_back(now); }

  // `sent` is the time that was passed to OnSent for this request.
  void OnEnded(MonotonicTime sent) {
    const auto it = std::find(sent_times_.begin(), sent_times_.end(), sent);
    if (it != sent_times_.end()) sent_times_.erase(it);
  }

  // `in_flight` is the number of requests that the server reports, ours included.
  void OnReport(uint32_t in_flight, MonotonicTime now) {
    other_requests_ = std::max(0.0, static_cast<double>(in_flight) - OwnRequests());
    report_time_ = now;
    has_report_ = true;
  }

  uint32_t OwnRequests() const { return static_cast<uint32_t>(sent_times_.size()); }

  // Returns by how many the requests of other entry VMs at this server, by its newest report,
  // exceed `mean_others`, their mean number at a server of this service. The excess decays with the
  // age of the report and counts half after `half_life`.
  double ReportedExcess(MonotonicTime now, double mean_others, Duration half_life) const {
    if (!has_report_) return 0.0;
    return DecayFactor(now - report_time_, half_life) * (other_requests_ - mean_others);
  }

  // Returns the expected number of open requests at the server. `trust` is ReportTrust::Value().
  double ExpectedRequests(MonotonicTime now, double mean_others, Duration half_life,
                          double trust) const {
    return OwnRequests() + mean_others + trust * ReportedExcess(now, mean_others, half_life);
  }

  double OtherRequests() const { return other_requests_; }

  // Returns the age of our oldest open request at the server, or zero if there is none.
  Duration OldestRequestAge(MonotonicTime now) const {
    return sent_times_.empty() ? Duration{} : now - sent_times_.front();
  }

 private:
  std::vector<MonotonicTime> sent_times_;  // Send times of our open requests, oldest first.
  double other_requests_ = 0.0;            // Requests of other entry VMs at the newest report.
  MonotonicTime report_time_;              // Time at which the newest report arrived.
  bool has_report_ = false;                // At least one report has arrived.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_LOAD_ESTIMATE_H_
