// What is known of one backend server's load and health, and what that says about the next request
// there.

#ifndef COWSLIPHILL_BALANCE_SERVER_LOAD_H_
#define COWSLIPHILL_BALANCE_SERVER_LOAD_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "src/balance/host_rhythm.h"
#include "src/base/clock.h"
#include "src/measure/report.h"

namespace cowsliphill {

// Load of one server: its newest report, corrected by the assignments given out and ended since.
class ServerLoad {
 public:
  // How long a report is trusted fully while no rhythm is known; then its slowdown fades towards
  // the usual mean.
  static constexpr std::chrono::milliseconds kFresh{300};
  static constexpr std::chrono::milliseconds kStale{1500};  // Older reports say nothing.
  // From an assignment to the request's arrival: an assignment younger than this when the report
  // was true is not counted in it.
  static constexpr std::chrono::milliseconds kTransit{5};
  // Two slowdowns this many times apart are two states of the host, not one.
  static constexpr double kSameState = 1.6;

  // What a report showed of the server's host.
  struct HostChange {
    bool changed = false;
    std::optional<Duration> gap;  // Since the change before, if both are known well.
  };
  HostChange OnReport(const Report& report, MonotonicTime sampled,
                      std::optional<Duration> interval) {
    HostChange change;
    if (known_ && sampled < sampled_) return change;
    if (report.slowdown) {
      if (known_ && IsOtherState(*report.slowdown)) {
        change.changed = true;
        change.gap = steps_.OnChange(sampled_, sampled, interval);
        changed_by_ = steps_.LastSpanEnd();
      }
      slowdown_ = *report.slowdown;
      tells_slowdown_ = true;
    }
    if (report.in_flight) {
      reported_ = *report.in_flight;
      ended_since_ = 0;
    }
    sampled_ = sampled;
    known_ = true;
    return change;
  }
  void OnAssigned(MonotonicTime now) { open_.push_back(now); }
  void OnEnded(MonotonicTime assigned) {
    const auto it = std::find(open_.begin(), open_.end(), assigned);
    if (it != open_.end()) open_.erase(it);
    if (assigned + kTransit <= sampled_) ++ended_since_;
  }
  // The server refused for want of room: until the next report it counts as full.
  void OnFull(uint32_t requests) { reported_ = std::max(reported_, requests); }

  // Requests there, executing, queued and on their way.
  uint32_t InFlight(MonotonicTime now) const {
    const auto open = static_cast<uint32_t>(open_.size());
    if (!known_ || now - sampled_ > kStale) return open;
    const auto later = std::count_if(open_.begin(), open_.end(), [this](MonotonicTime assigned) {
      return assigned + kTransit > sampled_;
    });
    const uint32_t before = reported_ > ended_since_ ? reported_ - ended_since_ : 0;
    return before + static_cast<uint32_t>(later);
  }

  // Whether the report's slowdown holds now, as far as anyone can know.
  bool Certain(MonotonicTime now, std::optional<Duration> interval) const {
    if (!known_) return false;
    if (!tells_slowdown_) return true;  // Nothing better will come.
    if (!interval || !steps_.Known()) return now - sampled_ <= kFresh;
    return !steps_.MayStep(sampled_, now, *interval);
  }
  // Times as long as usual; `typical` is the mean of all servers.
  double Slowdown(double typical, MonotonicTime now, std::optional<Duration> interval) const {
    if (!known_) return typical;
    if (Certain(now, interval)) return slowdown_;
    if (interval && steps_.Known()) return std::max(typical, 1.0);
    const Duration age = now - sampled_;
    if (age >= kStale) return std::max(typical, 1.0);
    const double old = static_cast<double>((age - kFresh).count()) /
                       static_cast<double>(Duration(kStale - kFresh).count());
    return slowdown_ + old * (typical - slowdown_);
  }
  // When the host's last change was surely over; nullopt: none was seen.
  std::optional<MonotonicTime> ChangedBy() const { return changed_by_; }
  // When a report would tell of the host's next step; nullopt while that is not known.
  std::optional<MonotonicTime> NextStep(std::optional<Duration> interval) const {
    if (!known_ || !interval || !steps_.Known()) return std::nullopt;
    return steps_.NextLook(sampled_, *interval);
  }

  bool Known() const { return known_; }
  MonotonicTime Sampled() const { return sampled_; }

 private:
  bool IsOtherState(double slowdown) const {
    const auto [less, more] = std::minmax(std::max(slowdown, 0.01), std::max(slowdown_, 0.01));
    return more / less > kSameState;
  }

  bool known_ = false;           // There was a report.
  uint32_t reported_ = 0;        // Requests there, by the report.
  uint32_t ended_since_ = 0;     // Assignments counted by the report and over since.
  bool tells_slowdown_ = false;  // Reports say how its host works.
  double slowdown_ = 1.0;        // By the report.
  MonotonicTime sampled_{};      // When the report was true.
  HostSteps steps_;
  std::optional<MonotonicTime> changed_by_;
  std::vector<MonotonicTime> open_;  // When each open assignment was given out.
};

// Whether a server answers at all: outcomes of requests and missed probes.
class ServerHealth {
 public:
  static constexpr double kWeight = 0.2;                        // Of one request's outcome.
  static constexpr uint32_t kMissedProbes = 2;                  // In a row: it is down.
  static constexpr std::chrono::milliseconds kFirstPause{200};  // After a failed connect; doubles.
  static constexpr std::chrono::milliseconds kLongestPause{2000};

  void OnOutcome(bool failed) { failing_ += kWeight * ((failed ? 1.0 : 0.0) - failing_); }
  void OnUnreachable(MonotonicTime now) {
    pause_ = std::clamp<Duration>(pause_ * 2, kFirstPause, kLongestPause);
    paused_until_ = now + pause_;
  }
  void OnReached() {
    missed_probes_ = 0;
    pause_ = Duration{};
    paused_until_ = MonotonicTime{};
  }
  void OnMissedProbe() { ++missed_probes_; }

  bool IsDown(MonotonicTime now) const {
    return now < paused_until_ || missed_probes_ >= kMissedProbes;
  }
  bool MissedAProbe() const { return missed_probes_ > 0; }
  double Failing() const { return failing_; }  // Share of requests that fail there, 0 to 1.

 private:
  double failing_ = 0;
  uint32_t missed_probes_ = 0;
  Duration pause_{};
  MonotonicTime paused_until_{};
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_SERVER_LOAD_H_
