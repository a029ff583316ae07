// What an entry VM knows of one backend server, and what that says about the next request there.

#ifndef COWSLIPHILL_BALANCE_SERVER_LOAD_H_
#define COWSLIPHILL_BALANCE_SERVER_LOAD_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "src/base/clock.h"
#include "src/manifest/manifest.h"
#include "src/measure/report.h"

namespace cowsliphill {

// Load of one server: its newest report, corrected by what this entry VM has sent and seen end
// since. Answers the load pattern of hosts that turn slow and fast again within half a second.
class ServerLoad {
 public:
  // How long a report is trusted fully; then its slowdown fades towards the usual mean.
  static constexpr std::chrono::milliseconds kFresh{250};
  static constexpr std::chrono::milliseconds kStale{1500};  // Older reports say nothing.
  static constexpr size_t kMostElsewhere = 32;              // Notices kept between two reports.

  void OnReport(const Report& report, MonotonicTime sampled) {
    if (sampled < sampled_) return;
    sampled_ = sampled;
    known_ = true;
    ended_since_ = 0;
    std::erase_if(sent_elsewhere_, [sampled](MonotonicTime sent) { return sent <= sampled; });
    if (report.in_flight) reported_ = *report.in_flight;
    if (report.slowdown) slowdown_ = *report.slowdown;
  }
  void OnSent(MonotonicTime now) { sent_.push_back(now); }
  void OnEnded(MonotonicTime sent) {
    const auto it = std::find(sent_.begin(), sent_.end(), sent);
    if (it != sent_.end()) sent_.erase(it);
    if (sent <= sampled_) ++ended_since_;
  }
  // Another entry VM has sent a request there.
  void OnSentElsewhere(MonotonicTime now) {
    if (sent_elsewhere_.size() < kMostElsewhere) sent_elsewhere_.push_back(now);
  }
  // The server refused for want of room: until the next report it counts as full.
  void OnFull(uint32_t requests) { reported_ = std::max(reported_, requests); }

  // Requests there, executing and queued.
  uint32_t InFlight(MonotonicTime now) const {
    const uint32_t open = static_cast<uint32_t>(sent_.size());
    if (!known_ || now - sampled_ > kStale) return open;
    const auto newer = std::count_if(sent_.begin(), sent_.end(),
                                     [this](MonotonicTime sent) { return sent > sampled_; });
    const uint32_t before = reported_ > ended_since_ ? reported_ - ended_since_ : 0;
    const auto elsewhere = static_cast<uint32_t>(sent_elsewhere_.size());
    return std::max(open, before + static_cast<uint32_t>(newer)) + elsewhere;
  }

  // Times as long as usual; `typical` is the mean of all servers, for those without a report.
  double Slowdown(double typical, MonotonicTime now) const {
    if (!known_) return typical;
    const Duration age = now - sampled_;
    if (age <= kFresh) return slowdown_;
    if (age >= kStale) return std::max(typical, 1.0);
    const double old = static_cast<double>((age - kFresh).count()) /
                       static_cast<double>(Duration(kStale - kFresh).count());
    return slowdown_ + old * (typical - slowdown_);
  }

  uint32_t Open() const { return static_cast<uint32_t>(sent_.size()); }
  bool Known() const { return known_; }
  MonotonicTime Sampled() const { return sampled_; }

 private:
  bool known_ = false;                         // There was a report.
  uint32_t reported_ = 0;                      // Requests there, by the report.
  uint32_t ended_since_ = 0;                   // Ours, counted by the report and over since.
  double slowdown_ = 1.0;                      // By the report.
  MonotonicTime sampled_{};                    // When the report was true.
  std::vector<MonotonicTime> sent_;            // Our open requests.
  std::vector<MonotonicTime> sent_elsewhere_;  // Requests of others, newer than the report.
};

// Whether a server answers at all: failures of requests, ours and our zone's, and missed probes.
class ServerHealth {
 public:
  static constexpr double kWeight = 0.2;                        // Of one request's outcome.
  static constexpr uint32_t kMissedProbes = 2;                  // In a row: it is down.
  static constexpr std::chrono::milliseconds kFirstPause{200};  // After a failed connect; doubles.
  static constexpr std::chrono::milliseconds kLongestPause{2000};

  void OnOutcome(double failures, double successes) {
    for (; failures > 0; failures -= 1) {
      failing_ += std::min(failures, 1.0) * kWeight * (1 - failing_);
    }
    for (; successes > 0; successes -= 1) {
      failing_ -= std::min(successes, 1.0) * kWeight * failing_;
    }
  }
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
  double Failing() const { return failing_; }  // Share of requests that fail there, 0 to 1.

 private:
  double failing_ = 0;
  uint32_t missed_probes_ = 0;
  Duration pause_{};
  MonotonicTime paused_until_{};
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_SERVER_LOAD_H_
