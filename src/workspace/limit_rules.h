// A workspace's limit, and what follows from it for buckets that are shared by many schedulers.

#ifndef COWSLIPHILL_WORKSPACE_LIMIT_RULES_H_
#define COWSLIPHILL_WORKSPACE_LIMIT_RULES_H_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "src/base/clock.h"

namespace cowsliphill {

inline double InSeconds(Duration time) { return std::chrono::duration<double>(time).count(); }

// Bounds of the whole system: in any `window`, at most
//   (rate * window + burst) * (1 + overrun) + slack
// requests of a workspace are sent to servers.
struct LimitBounds {
  std::chrono::milliseconds window{5000};
  double overrun = 0.1;
  double slack = 20;
};

struct WorkspaceLimit {
  double rate = 0;   // Requests per second.
  double burst = 0;  // Requests in addition to `rate`, at once.

  friend bool operator==(const WorkspaceLimit& a, const WorkspaceLimit& b) = default;
};

struct LimitRules {
  // Share of the slack by which buckets are larger than the burst: requests that arrive at random
  // at six tenths of a limit of 1 per second with a burst of 1 would often find no token otherwise.
  static constexpr double kSlackInBucket = 0.4;
  // The same of the overrun, for requests that are known late because callers turn to other entry
  // VMs: with a small burst, a twentieth and more of those within the limit was refused.
  static constexpr double kOverrunInBucket = 0.25;
  // Tokens that a bucket starts with at most: all entry VMs may start at once.
  static constexpr double kStartTokens = 2;
  // Requests, in seconds at `rate`, by which the use may exceed the refill before all schedulers
  // know of it: demand of 4.4 times the rate, for 0.25 s.
  static constexpr double kUnseenSeconds = 0.85;

  LimitRules() = default;
  LimitRules(const WorkspaceLimit& from, const LimitBounds& bounds) : limit(from) {
    const double overrun = bounds.overrun * (limit.rate * InSeconds(bounds.window) + limit.burst);
    capacity = limit.burst + kSlackInBucket * bounds.slack + kOverrunInBucket * overrun;
    const double spare = (1 - kOverrunInBucket) * overrun + (1 - kSlackInBucket) * bounds.slack;
    guard = std::clamp(kUnseenSeconds * limit.rate - spare, 0.0, capacity);
    overdraft = guard > 0 ? spare / 2 : 0;
    use_time = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::clamp(10 / limit.rate, 0.3, 5.0)));
    demand_time = std::max<Duration>(use_time, std::chrono::milliseconds(500));
    min_level = -(limit.rate * InSeconds(bounds.window) / 2 + bounds.slack);
  }
  double StartLevel() const { return std::min(kStartTokens, capacity); }

  WorkspaceLimit limit;
  double capacity = 0;  // Of the bucket.
  // Below this level, each scheduler takes only its share of the tokens: the level that it knows
  // of is older than the time in which all schedulers together could use so many.
  double guard = 0;
  double overdraft = 0;     // Level, below zero, down to which a scheduler takes its share.
  double min_level = 0;     // Use beyond the limit is made up for only down to this level.
  Duration use_time{1};     // Time constant of the rate of use.
  Duration demand_time{1};  // Time constant of the rate of demand.
};

// Rate of events, as an exponentially weighted mean over a time constant.
class EventRate {
 public:
  void Add(double events, Duration time_constant, MonotonicTime now) {
    rate_ = At(time_constant, now) + events / InSeconds(time_constant);
    at_ = now;
  }
  // Events per second.
  double At(Duration time_constant, MonotonicTime now) const {
    if (rate_ == 0 || now <= at_) return rate_;
    return rate_ * std::exp(-InSeconds(now - at_) / InSeconds(time_constant));
  }

 private:
  double rate_ = 0;
  MonotonicTime at_{};
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_WORKSPACE_LIMIT_RULES_H_
