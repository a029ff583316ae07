// The request rate that a backend server in need names as its limit, for all entry VMs together,
// and the token bucket from which the entry VM that shares the limit out assigns requests.

#ifndef COWSLIPHILL_BALANCE_SERVER_LIMIT_H_
#define COWSLIPHILL_BALANCE_SERVER_LIMIT_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "src/base/clock.h"

namespace cowsliphill {

class ServerLimit {
 public:
  // Capacity of the bucket: the requests of kBurstTime, but at least kMinBurst.
  static constexpr std::chrono::milliseconds kBurstTime{250};
  static constexpr double kMinBurst = 2;

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

  // Empties the bucket, because the requests that other entry VMs assigned lately are unknown.
  void Restart(MonotonicTime now) {
    tokens_ = 0;
    refilled_at_ = now;
  }
  // Whether the limit, if there is one, allows another request now.
  bool Allows(MonotonicTime now) { return !limit_ || Tokens(now) >= 1; }
  // Number of requests that the limit allows at once; 0 without a limit.
  double Tokens(MonotonicTime now) {
    Refill(now);
    return tokens_;
  }
  void OnAssigned(MonotonicTime now) {
    if (limit_) tokens_ = Tokens(now) - 1;
  }

  std::optional<double> Limit() const { return limit_; }  // Requests per second.
  // Time of the server's newest statement; nullopt if it never named a limit.
  std::optional<MonotonicTime> StatedAt() const { return stated_at_; }

 private:
  void Refill(MonotonicTime now) {
    if (!limit_ || now <= refilled_at_) return;
    const double capacity =
        std::max(kMinBurst, *limit_ * std::chrono::duration<double>(kBurstTime).count());
    const double elapsed = std::chrono::duration<double>(now - refilled_at_).count();
    tokens_ = std::min(capacity, tokens_ + *limit_ * elapsed);
    refilled_at_ = now;
  }

  std::optional<double> limit_;
  std::optional<MonotonicTime> stated_at_;
  double tokens_ = 0;
  MonotonicTime refilled_at_{};  // Time up to which tokens_ has been refilled.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_SERVER_LIMIT_H_
