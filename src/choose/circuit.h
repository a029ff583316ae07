// Health of one backend server as its own traffic shows it; health endpoints are not believed.
//
//   closed    -> open       failing (share of failures) or slow (latency ratio), if the service
//                           can spare it
//   open      -> half-open  after a delay that doubles with each time it opens again
//   half-open -> closed     after kTrials good trials in a row; the server is then ramped up
//   half-open -> open       after one bad trial
//
// A shedding server keeps its circuit: it gets a pause instead (ShedPause).

#ifndef COWSLIPHILL_CHOOSE_CIRCUIT_H_
#define COWSLIPHILL_CHOOSE_CIRCUIT_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string_view>

#include "src/base/clock.h"
#include "src/choose/latency.h"

namespace cowsliphill {

enum class CircuitState { kClosed, kOpen, kHalfOpen };
enum class CircuitCause { kNone, kFailing, kSlow };

inline std::string_view NameOf(CircuitState state) {
  switch (state) {
    case CircuitState::kClosed:
      return "closed";
    case CircuitState::kOpen:
      return "open";
    case CircuitState::kHalfOpen:
      return "half-open";
  }
  return "closed";
}

class Circuit {
 public:
  static constexpr double kFailureWeight = 0.2;            // Of the newest attempt.
  static constexpr double kFailingAt = 0.45;               // Failure share that opens.
  static constexpr uint32_t kFailuresInRow = 3;            // Failures in a row that open.
  static constexpr std::chrono::seconds kFadeHalfLife{2};  // Of the failure share.
  static constexpr double kSlowAt = 3.0;                   // Latency ratio that opens.
  static constexpr double kGoodBelow = 2.0;                // Latency ratio of a good trial.
  static constexpr uint32_t kTrials = 3;                   // Good trials that close.
  static constexpr std::chrono::seconds kDelay{1};         // First time open.
  static constexpr std::chrono::seconds kLongest{30};      // Longest time open.

  // `may_open`: the service can spare this server. Returns whether the state changed.
  bool OnSuccess(double ratio, double mean_ratio, bool may_open, MonotonicTime now) {
    Learn(0.0, now);
    in_row_ = 0;
    if (state_ == CircuitState::kHalfOpen) return OnTrial(ratio < kGoodBelow, now);
    if (state_ == CircuitState::kOpen) return false;
    return mean_ratio > kSlowAt && may_open && Open(CircuitCause::kSlow, now);
  }

  bool OnFailure(bool may_open, MonotonicTime now) {
    Learn(1.0, now);
    ++in_row_;
    if (state_ == CircuitState::kHalfOpen) return OnTrial(false, now);
    if (state_ == CircuitState::kOpen) return false;
    const bool failing = failures_ > kFailingAt || in_row_ >= kFailuresInRow;
    return failing && may_open && Open(CircuitCause::kFailing, now);
  }

  // A trial ended without telling anything, for example as its caller went away.
  void OnTrialVoid() { trial_open_ = false; }

  // Moves open to half-open in due time; whether a trial request may go now.
  bool WantsTrial(MonotonicTime now) {
    if (state_ == CircuitState::kOpen && now >= until_) state_ = CircuitState::kHalfOpen;
    return state_ == CircuitState::kHalfOpen && !trial_open_;
  }
  void OnTrialSent() { trial_open_ = true; }

  CircuitState State() const { return state_; }
  CircuitCause Cause() const { return cause_; }
  bool Closed() const { return state_ == CircuitState::kClosed; }
  double FailureShare(MonotonicTime now) const {
    return failures_ * Remaining(now - learnt_, kFadeHalfLife);
  }
  MonotonicTime Until() const { return until_; }

 private:
  void Learn(double failed, MonotonicTime now) {
    const double before = FailureShare(now);
    failures_ = before + kFailureWeight * (failed - before);
    learnt_ = now;
  }

  bool Open(CircuitCause cause, MonotonicTime now) {
    cause_ = cause;
    if (now - until_ > kLongest) opened_ = 0;
    const auto delay = std::min<Duration>(kDelay * (1 << std::min(opened_, 5U)), kLongest);
    ++opened_;
    state_ = CircuitState::kOpen;
    until_ = now + delay;
    good_trials_ = 0;
    return true;
  }

  bool OnTrial(bool good, MonotonicTime now) {
    trial_open_ = false;
    if (!good) return Open(cause_, now);
    if (++good_trials_ < kTrials) return false;
    state_ = CircuitState::kClosed;
    cause_ = CircuitCause::kNone;
    failures_ = 0.0;
    in_row_ = 0;
    return true;
  }

  CircuitState state_ = CircuitState::kClosed;
  CircuitCause cause_ = CircuitCause::kNone;
  double failures_ = 0.0;     // Moving share of failed attempts, 0 to 1.
  MonotonicTime learnt_;      // Time of the newest attempt.
  uint32_t in_row_ = 0;       // Failures since the last success.
  uint32_t opened_ = 0;       // Times opened without a long good spell between.
  uint32_t good_trials_ = 0;  // In a row.
  bool trial_open_ = false;   // A trial request is out.
  MonotonicTime until_;       // End of the open state.
};

// Pause in sending to a server that sheds load; doubles with each further shed answer.
class ShedPause {
 public:
  static constexpr std::chrono::milliseconds kFirst{50};
  static constexpr std::chrono::milliseconds kLongest{2000};

  void OnShed(MonotonicTime now) {
    if (now < until_) return;
    const bool again = now - until_ < kLongest;
    length_ = again ? std::min<Duration>(length_ * 2, kLongest) : Duration(kFirst);
    until_ = now + length_;
  }
  bool Active(MonotonicTime now) const { return now < until_; }

 private:
  Duration length_ = kFirst;  // Of the newest pause.
  MonotonicTime until_;       // Its end.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_CIRCUIT_H_
