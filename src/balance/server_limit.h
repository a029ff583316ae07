// The request rate that a backend server in need names as its limit, for all entry VMs together,
// and the token bucket from which the entry VM that shares the limit out assigns requests. While
// the server is in warm-up, the bucket has the lower one of that rate and the rate of the warm-up.

#ifndef COWSLIPHILL_BALANCE_SERVER_LIMIT_H_
#define COWSLIPHILL_BALANCE_SERVER_LIMIT_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>

#include "src/base/clock.h"

namespace cowsliphill {

class ServerLimit {
 public:
  // Capacity of the bucket: the requests of kBurstTime, but at least kMinBurst.
  static constexpr std::chrono::milliseconds kBurstTime{250};
  static constexpr double kMinBurst = 2;
  // A warm-up becomes known this much later than it begins: the interval between two probes of a
  // server. Requests assigned within it are taken off the tokens of the warm-up.
  static constexpr std::chrono::milliseconds kDetectionTime{250};

  // Handles an answer to a request that was assigned at `assigned_at`. `limit` is the limit that
  // the answer names, in requests per second; nullopt: it names none.
  void OnAnswer(std::optional<double> limit, MonotonicTime assigned_at, MonotonicTime now) {
    // The server may have made this answer before it named its limit in another one.
    const bool may_predate_limit = limit_ && stated_at_ && assigned_at <= *stated_at_;
    if (!limit && may_predate_limit) return;
    OnStatement(limit, now);
  }
  // Handles a statement that the server made at `stated_at`. Older ones than the newest known are
  // ignored.
  void OnStatement(std::optional<double> limit, MonotonicTime stated_at) {
    if (stated_at_ && stated_at < *stated_at_) return;
    if (!limit && !stated_at_) return;  // Servers that never named a limit have no state.
    stated_at_ = stated_at;
    if (!limit_ && limit) Restart(stated_at);
    Refill(stated_at);
    limit_ = limit;
  }

  // The server is in warm-up until `end` and gets at most `rate` requests a second until then; a
  // rate of 0 is no limit. Replaces what was set before.
  void SetWarmup(double rate, MonotonicTime end, MonotonicTime now) {
    Refill(now);
    const bool begins = !InWarmup(now);
    warmup_rate_ = rate;
    warmup_end_ = end;
    if (!begins || !InWarmup(now)) return;
    Restart(now);
    tokens_ = -std::min(RecentlyAssigned(now), rate);
  }

  // Empties the bucket, because the requests that other entry VMs assigned lately are unknown.
  void Restart(MonotonicTime now) {
    tokens_ = std::min(tokens_, 0.0);
    refilled_at_ = now;
  }
  // Whether the limit, if there is one, allows another request now.
  bool Allows(MonotonicTime now) { return !LimitAt(now) || Tokens(now) >= 1; }
  // Number of requests that the limit allows at once; 0 without a limit.
  double Tokens(MonotonicTime now) {
    Refill(now);
    return tokens_;
  }
  void OnAssigned(MonotonicTime now) {
    if (LimitAt(now)) tokens_ = Tokens(now) - 1;
    if (warmup_rate_ <= 0) return;
    recently_assigned_ = RecentlyAssigned(now) + 1;
    assigned_at_ = now;
  }
  // The server has not got the request that was assigned at `assigned_at`.
  void OnUnused(MonotonicTime assigned_at, MonotonicTime now) {
    if (InWarmup(now) && InWarmup(assigned_at)) tokens_ = Tokens(now) + 1;
  }

  // Requests per second that the server names.
  std::optional<double> Limit() const { return limit_; }
  // Requests per second that the server may get now; nullopt: any number.
  std::optional<double> LimitAt(MonotonicTime now) const {
    if (!InWarmup(now)) return limit_;
    return std::min(limit_.value_or(warmup_rate_), warmup_rate_);
  }
  // Whether the server is in warm-up and therefore limited.
  bool InWarmup(MonotonicTime now) const { return warmup_rate_ > 0 && now < warmup_end_; }
  // Time of the server's newest statement; nullopt if it never named a limit.
  std::optional<MonotonicTime> StatedAt() const { return stated_at_; }

 private:
  void Refill(MonotonicTime now) {
    if (refilled_at_ < warmup_end_ && warmup_end_ < now) RefillAt(refilled_at_, warmup_end_);
    RefillAt(refilled_at_, now);
  }
  // Adds the tokens of the time up to `until` at the rate that holds at `time`.
  void RefillAt(MonotonicTime time, MonotonicTime until) {
    const std::optional<double> limit = LimitAt(time);
    if (!limit || until <= refilled_at_) return;
    const double capacity =
        std::max(kMinBurst, *limit * std::chrono::duration<double>(kBurstTime).count());
    const double elapsed = std::chrono::duration<double>(until - refilled_at_).count();
    tokens_ = std::min(capacity, tokens_ + *limit * elapsed);
    refilled_at_ = until;
  }
  // Number of requests assigned within about kDetectionTime.
  double RecentlyAssigned(MonotonicTime now) const {
    const std::chrono::duration<double> age = now - assigned_at_;
    return recently_assigned_ * std::exp(-age / std::chrono::duration<double>(kDetectionTime));
  }

  std::optional<double> limit_;
  std::optional<MonotonicTime> stated_at_;
  double warmup_rate_ = 0;  // 0: the warm-up is no limit.
  MonotonicTime warmup_end_{};
  double tokens_ = 0;
  MonotonicTime refilled_at_{};   // Time up to which tokens_ has been refilled.
  double recently_assigned_ = 0;  // Decayed number of assignments at assigned_at_.
  MonotonicTime assigned_at_{};
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_SERVER_LIMIT_H_
