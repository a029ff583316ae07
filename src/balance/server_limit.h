// The request rate that a backend server in need has named as its limit, for all entry VMs
// together.

#ifndef COWSLIPHILL_BALANCE_SERVER_LIMIT_H_
#define COWSLIPHILL_BALANCE_SERVER_LIMIT_H_

#include <algorithm>
#include <optional>

#include "src/base/clock.h"

namespace cowsliphill {

class ServerLimit {
 public:
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
    limit_ = limit;
  }

  std::optional<double> Limit() const { return limit_; }  // Requests per second.
  // Time of the server's newest statement; nullopt if it never named a limit.
  std::optional<MonotonicTime> StatedAt() const { return stated_at_; }

 private:
  std::optional<double> limit_;
  std::optional<MonotonicTime> stated_at_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_SERVER_LIMIT_H_
