// The known load and health of one backend server, from which the expected time of the next request
// to it is derived.

#ifndef COWSLIPHILL_BALANCE_SERVER_LOAD_H_
#define COWSLIPHILL_BALANCE_SERVER_LOAD_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "src/balance/host_steps.h"
#include "src/base/clock.h"
#include "src/measure/report.h"

namespace cowsliphill {

// Load of one server: its newest report, corrected by the assignments made and ended since.
class ServerLoad {
 public:
  // Age up to which a report's slowdown counts in full while the host's steps (host_steps.h) are
  // unknown. At a greater age the assumed slowdown moves linearly to the mean of the cell, which it
  // reaches at kStaleAge.
  static constexpr std::chrono::milliseconds kFreshAge{300};
  // Age of a report above which its in-flight count is ignored.
  static constexpr std::chrono::milliseconds kStaleAge{1500};
  // Time from an assignment to the request's arrival at the server. The in-flight count of a report
  // is taken not to contain assignments that were younger than this when the report arrived.
  static constexpr std::chrono::milliseconds kTransitTime{5};
  // Two slowdowns whose ratio exceeds this mean that the host's speed has changed.
  static constexpr double kSameStateRatio = 1.6;

  // What a report showed about the speed of the server's host.
  struct HostChange {
    bool changed = false;
    // Time since the previous change, if the times of both are known precisely.
    std::optional<Duration> gap;
  };
  HostChange OnReport(const Report& report, MonotonicTime received_at,
                      std::optional<Duration> interval) {
    HostChange change;
    if (has_report_ && received_at < received_at_) return change;
    if (report.slowdown) {
      if (has_report_ && IsOtherState(*report.slowdown)) {
        change.changed = true;
        change.gap = steps_.OnChange(received_at_, received_at, interval);
        latest_time_of_last_change_ = steps_.LastSpanEnd();
      }
      slowdown_ = *report.slowdown;
      reports_slowdown_ = true;
    }
    if (report.in_flight) {
      reported_in_flight_ = *report.in_flight;
      ended_since_ = 0;
    }
    received_at_ = received_at;
    has_report_ = true;
    return change;
  }
  void OnAssigned(MonotonicTime now) { open_assignments_.push_back(now); }
  void OnAssignmentEnded(MonotonicTime assigned_at) {
    const auto it = std::find(open_assignments_.begin(), open_assignments_.end(), assigned_at);
    if (it != open_assignments_.end()) open_assignments_.erase(it);
    if (assigned_at + kTransitTime <= received_at_) ++ended_since_;
  }
  // Forgets what the server has reported, but not the assignments that are open.
  void ForgetReports() {
    std::vector<MonotonicTime> open = std::move(open_assignments_);
    *this = ServerLoad();
    open_assignments_ = std::move(open);
  }
  // The server refused a request because it was full: it counts as full until its next report.
  void OnFull(uint32_t requests) { reported_in_flight_ = std::max(reported_in_flight_, requests); }

  // Number of requests that the server executes or queues, or that are on their way to it.
  uint32_t InFlight(MonotonicTime now) const {
    const auto open = static_cast<uint32_t>(open_assignments_.size());
    if (!has_report_ || now - received_at_ > kStaleAge) return open;
    const auto uncounted = std::count_if(
        open_assignments_.begin(), open_assignments_.end(),
        [this](MonotonicTime assigned_at) { return assigned_at + kTransitTime > received_at_; });
    const uint32_t counted =
        reported_in_flight_ > ended_since_ ? reported_in_flight_ - ended_since_ : 0;
    return counted + static_cast<uint32_t>(uncounted);
  }

  // Whether the newest report's slowdown can be assumed to hold now.
  bool IsHostSpeedKnown(MonotonicTime now, std::optional<Duration> interval) const {
    if (!has_report_) return false;
    // This server reports no slowdown, so there is nothing newer to wait for.
    if (!reports_slowdown_) return true;
    if (!interval || !steps_.Known()) return now - received_at_ <= kFreshAge;
    return !steps_.MayStep(received_at_, now, *interval);
  }
  // Factor by which requests at this server now take longer than usual; `mean` is the mean of the
  // cell.
  double Slowdown(double mean, MonotonicTime now, std::optional<Duration> interval) const {
    if (!has_report_) return mean;
    if (IsHostSpeedKnown(now, interval)) return slowdown_;
    if (interval && steps_.Known()) return std::max(mean, 1.0);
    const Duration age = now - received_at_;
    if (age >= kStaleAge) return std::max(mean, 1.0);
    const double staleness = static_cast<double>((age - kFreshAge).count()) /
                             static_cast<double>(Duration(kStaleAge - kFreshAge).count());
    return slowdown_ + staleness * (mean - slowdown_);
  }
  // Time by which the host's last observed speed change had happened; nullopt: none was observed.
  std::optional<MonotonicTime> LatestTimeOfLastChange() const {
    return latest_time_of_last_change_;
  }
  // When to probe the server for the host's next possible speed change; nullopt while the times of
  // such changes are unknown.
  std::optional<MonotonicTime> NextStepProbe(std::optional<Duration> interval) const {
    if (!has_report_ || !interval || !steps_.Known()) return std::nullopt;
    return steps_.NextProbeTime(received_at_, *interval);
  }

  bool HasReport() const { return has_report_; }
  MonotonicTime ReceivedAt() const { return received_at_; }

 private:
  bool IsOtherState(double slowdown) const {
    const auto [lower, higher] = std::minmax(std::max(slowdown, 0.01), std::max(slowdown_, 0.01));
    return higher / lower > kSameStateRatio;
  }

  bool has_report_ = false;          // A report was received.
  uint32_t reported_in_flight_ = 0;  // Requests at the server, as last reported.
  uint32_t ended_since_ = 0;  // Assignments that reported_in_flight_ counts and that have ended.
  bool reports_slowdown_ = false;  // Reports contain the slowdown.
  double slowdown_ = 1.0;          // Slowdown in the newest report that has one.
  MonotonicTime received_at_{};    // Time at which the newest report arrived; its values are
                                   // taken to hold at that time.
  HostStepTimes steps_;
  // Time by which the host's last observed speed change had happened.
  std::optional<MonotonicTime> latest_time_of_last_change_;
  std::vector<MonotonicTime> open_assignments_;  // Times at which the open assignments were made.
};

// Whether a server answers at all, judged by the outcomes of requests and by missed probes.
class ServerHealth {
 public:
  static constexpr double kWeight = 0.2;  // Weight of one request's outcome in the failure rate.
  // Missed probes in a row from which a server counts as down.
  static constexpr uint32_t kMissedProbesUntilDown = 2;
  // Time without new requests after a failed connect; it doubles with each further failure, up to
  // kMaxPause.
  static constexpr std::chrono::milliseconds kMinPause{200};
  static constexpr std::chrono::milliseconds kMaxPause{2000};

  void OnOutcome(bool failed) { failure_rate_ += kWeight * ((failed ? 1.0 : 0.0) - failure_rate_); }
  void OnUnreachable(MonotonicTime now) {
    pause_ = std::clamp<Duration>(pause_ * 2, kMinPause, kMaxPause);
    paused_until_ = now + pause_;
  }
  void OnReached() {
    missed_probes_ = 0;
    pause_ = Duration{};
    paused_until_ = MonotonicTime{};
  }
  void OnMissedProbe() { ++missed_probes_; }

  bool IsDown(MonotonicTime now) const {
    return now < paused_until_ || missed_probes_ >= kMissedProbesUntilDown;
  }
  bool HasMissedProbe() const { return missed_probes_ > 0; }
  double FailureRate() const { return failure_rate_; }  // Share of requests that fail, 0 to 1.

 private:
  double failure_rate_ = 0;
  uint32_t missed_probes_ = 0;
  Duration pause_{};
  MonotonicTime paused_until_{};
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_SERVER_LOAD_H_
