// Circuit breaker of one backend server, driven by the results of real requests; health endpoints
// are not trusted.
//
//   closed    -> open       the server fails (failure share, failures in a row) or is slow (latency
//                           ratio), and one more server of the service may be ejected
//   open      -> half-open  after a delay that doubles each time the circuit opens again
//   half-open -> closed     after kTrialsToClose good trials in a row; the server is then ramped up
//   half-open -> open       after one bad trial
//
// A server whose circuit is not closed is called ejected: it gets only trial requests. Load
// shedding does not open the circuit; the server gets a pause instead (ShedPause).

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
  // Weight of the newest attempt in the failure share.
  static constexpr double kFailureWeight = 0.2;
  static constexpr double kOpenFailureShare = 0.45;  // Failure share above which the circuit opens.
  // Failures in a row that open the circuit.
  static constexpr uint32_t kOpenConsecutiveFailures = 3;
  static constexpr std::chrono::seconds kFailureHalfLife{2};  // Half-life of the failure share.
  // Mean latency ratio above which the circuit opens.
  static constexpr double kOpenLatencyRatio = 3.0;
  // A trial is good below this latency ratio.
  static constexpr double kGoodTrialLatencyRatio = 2.0;
  static constexpr uint32_t kTrialsToClose = 3;  // Good trials in a row that close the circuit.
  // How long the circuit stays open the first time.
  static constexpr std::chrono::seconds kFirstOpenTime{1};
  // Longest time that the circuit stays open.
  static constexpr std::chrono::seconds kMaxOpenTime{30};

  // `ratio` is the latency ratio of this answer, `mean_ratio` that of the server. `may_open` says
  // that one more server of the service may be ejected. Returns whether the state changed.
  bool OnSuccess(double ratio, double mean_ratio, bool may_open, MonotonicTime now) {
    UpdateFailureShare(0.0, now);
    consecutive_failures_ = 0;
    if (state_ == CircuitState::kHalfOpen) return OnTrial(ratio < kGoodTrialLatencyRatio, now);
    if (state_ == CircuitState::kOpen) return false;
    return mean_ratio > kOpenLatencyRatio && may_open && Open(CircuitCause::kSlow, now);
  }

  // Returns whether the state changed.
  bool OnFailure(bool may_open, MonotonicTime now) {
    UpdateFailureShare(1.0, now);
    ++consecutive_failures_;
    if (state_ == CircuitState::kHalfOpen) return OnTrial(false, now);
    if (state_ == CircuitState::kOpen) return false;
    const bool failing =
        failure_share_ > kOpenFailureShare || consecutive_failures_ >= kOpenConsecutiveFailures;
    return failing && may_open && Open(CircuitCause::kFailing, now);
  }

  // Handles a trial that was neither good nor bad, for example because its caller disconnected.
  void OnTrialInconclusive() { trial_in_flight_ = false; }

  // Returns whether a trial request may be sent now. Moves an open circuit to half-open once its
  // delay has passed.
  bool AllowsTrial(MonotonicTime now) {
    if (state_ == CircuitState::kOpen && now >= open_until_) state_ = CircuitState::kHalfOpen;
    return state_ == CircuitState::kHalfOpen && !trial_in_flight_;
  }
  void OnTrialSent() { trial_in_flight_ = true; }

  CircuitState State() const { return state_; }
  CircuitCause Cause() const { return cause_; }
  bool Closed() const { return state_ == CircuitState::kClosed; }
  double FailureShare(MonotonicTime now) const {
    return failure_share_ * DecayFactor(now - updated_, kFailureHalfLife);
  }
  // Returns the end of the newest open state, which may have passed.
  MonotonicTime OpenStateEnd() const { return open_until_; }

 private:
  void UpdateFailureShare(double failed, MonotonicTime now) {
    const double before = FailureShare(now);
    failure_share_ = before + kFailureWeight * (failed - before);
    updated_ = now;
  }

  bool Open(CircuitCause cause, MonotonicTime now) {
    cause_ = cause;
    if (now - open_until_ > kMaxOpenTime) times_opened_ = 0;
    const auto delay =
        std::min<Duration>(kFirstOpenTime * (1 << std::min(times_opened_, 5U)), kMaxOpenTime);
    ++times_opened_;
    state_ = CircuitState::kOpen;
    open_until_ = now + delay;
    good_trials_ = 0;
    return true;
  }

  bool OnTrial(bool good, MonotonicTime now) {
    trial_in_flight_ = false;
    if (!good) return Open(cause_, now);
    if (++good_trials_ < kTrialsToClose) return false;
    state_ = CircuitState::kClosed;
    cause_ = CircuitCause::kNone;
    failure_share_ = 0.0;
    consecutive_failures_ = 0;
    return true;
  }

  CircuitState state_ = CircuitState::kClosed;
  CircuitCause cause_ = CircuitCause::kNone;
  double failure_share_ = 0.0;         // Exponentially weighted share of failed attempts, 0 to 1.
  MonotonicTime updated_;              // Time at which failure_share_ was last updated.
  uint32_t consecutive_failures_ = 0;  // Failures since the last success.
  // Times opened, each within kMaxOpenTime after the previous open state.
  uint32_t times_opened_ = 0;
  uint32_t good_trials_ = 0;      // Good trials in a row since the circuit opened.
  bool trial_in_flight_ = false;  // A trial request is waiting for its answer.
  MonotonicTime open_until_;      // End of the newest open state.
};

// Pause in sending to a server that sheds load. Doubles if the server sheds again within kMaxPause
// after the previous pause.
class ShedPause {
 public:
  static constexpr std::chrono::milliseconds kFirstPause{50};
  static constexpr std::chrono::milliseconds kMaxPause{2000};

  void OnShed(MonotonicTime now) {
    if (now < until_) return;
    const bool again = now - until_ < kMaxPause;
    length_ = again ? std::min<Duration>(length_ * 2, kMaxPause) : Duration(kFirstPause);
    until_ = now + length_;
  }
  bool Active(MonotonicTime now) const { return now < until_; }

 private:
  Duration length_ = kFirstPause;  // Length of the newest pause.
  MonotonicTime until_;            // End of the newest pause.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_CIRCUIT_H_
