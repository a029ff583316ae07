// Queue of settlements that wait for the platform: bounded in bytes, rate-limited, with exponential
// backoff. Does no I/O; the caller writes what TakeDue returns, and calls Add again if the write
// has to be retried later.

#ifndef COWSLIPHILL_CLAIMS_SETTLE_QUEUE_H_
#define COWSLIPHILL_CLAIMS_SETTLE_QUEUE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>

#include "src/claims/claim_protocol.h"

namespace cowsliphill {

class SettleQueue {
 public:
  SettleQueue(const ClaimSettings& settings, uint64_t seed);

  // Returns false if the settlement was dropped because it does not fit even without the stored
  // body. Its row then stays as it is. If that is a kRunning row, repeats of its key get
  // StillRunning until running_grace after the deadline, and OutcomeUnknown from then on.
  bool Add(Settlement settlement);

  // Returns the next settlement to write, if the rate limit and the backoff allow one now.
  std::optional<Settlement> TakeDue(MonotonicTime now);
  std::optional<MonotonicTime> NextWake() const;

  // Report the result of any table call. A failure delays the whole queue, because all settlements
  // need the same platform.
  void OnTableAnswered();
  void OnTableFailed(MonotonicTime now);

  size_t Size() const { return waiting_.size(); }
  size_t Bytes() const { return bytes_; }
  uint64_t BodiesDropped() const { return bodies_dropped_; }

 private:
  size_t limit_bytes_;              // Limit on `bytes_`.
  Duration spacing_;                // Minimum time between two writes.
  std::mt19937_64 random_;          // For the jitter of the backoff.
  std::deque<Settlement> waiting_;  // Oldest first.
  size_t bytes_ = 0;                // Estimated memory of all waiting settlements.
  MonotonicTime next_write_;        // Earliest time of the next write.
  Duration backoff_{};              // Last backoff; zero after a successful call.
  uint64_t bodies_dropped_ = 0;     // Bodies dropped to stay within the limit.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLAIMS_SETTLE_QUEUE_H_
