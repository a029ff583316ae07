// Until when a backend server is in warm-up, as far as is known: from its row in the catalog, from
// a restart, and from what it states in responses to probes.
//
// Rows are older than responses to probes, and an unchanged row is read many times. So a remaining
// time counts from when the row was read for the first time with that value, and a row does not
// shorten what a response to a probe has said shortly before.

#ifndef COWSLIPHILL_BALANCE_SERVER_WARMUP_H_
#define COWSLIPHILL_BALANCE_SERVER_WARMUP_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "src/base/clock.h"

namespace cowsliphill {

class ServerWarmup {
 public:
  // Largest age of a row when it is read: the catalog is at most this old.
  static constexpr std::chrono::milliseconds kMaxRowAge{2000};

  // Times that are known from rows and from statements differ by less than this.
  static constexpr std::chrono::milliseconds kRowTolerance{300};

  // Handles the server's row. `restarted`: it is the first one of a new lifetime, which begins with
  // a warm-up of `usual` even if the row was written before that time began to count.
  void OnRow(std::chrono::milliseconds left, bool restarted, std::chrono::milliseconds usual,
             MonotonicTime now) {
    if (restarted) {
      *this = ServerWarmup();
      row_left_ = left;
      ends_at_ = now + std::max(left, usual);
      row_ends_at_ = ends_at_;
      return;
    }
    if (row_left_ == left) return;
    row_left_ = left;
    row_ends_at_ = now + left;
    const bool may_predate_statement = stated_at_ && now - *stated_at_ < kMaxRowAge;
    if (may_predate_statement && now + left < ends_at_) return;
    ends_at_ = now + left;
  }
  // Handles what the server stated at `stated_at`, in a response to a probe of this or another
  // entry VM. Older statements than the newest known are ignored. Without `stated_at`, it is what
  // another entry VM knows from the catalog, maybe before this one.
  void OnStatement(MonotonicTime ends_at, std::optional<MonotonicTime> stated_at) {
    if (!stated_at) {
      ends_at_ = stated_at_ ? ends_at_ : std::max(ends_at_, ends_at);
      return;
    }
    if (stated_at_ && *stated_at < *stated_at_) return;
    stated_at_ = stated_at;
    ends_at_ = ends_at;
  }

  bool IsActive(MonotonicTime now) const { return now < ends_at_; }
  MonotonicTime EndsAt() const { return ends_at_; }
  // Whether the catalog does not tell of the rest of the warm-up.
  bool IsBeyondRow() const { return ends_at_ > row_ends_at_ + kRowTolerance; }
  // Time of the newest statement; nullopt if only the row is known.
  std::optional<MonotonicTime> StatedAt() const { return stated_at_; }

 private:
  std::optional<std::chrono::milliseconds> row_left_;  // In the newest row.
  std::optional<MonotonicTime> stated_at_;
  MonotonicTime ends_at_{};
  MonotonicTime row_ends_at_{};  // By the newest row alone.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_SERVER_WARMUP_H_
