// Settlements that wait for the platform: bounded in bytes, paced, with exponential back-off. Pure.
//
//   Add -> TakeDue -> (the write) -> Done | Again | Later

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

  // False when the settlement was dropped: it does not fit even without the kept body. Its row then
  // stays as it is, and repeats of its key are told "unknown".
  bool Add(Settlement settlement);

  // The next settlement to write, if the pace and the back-off allow one now.
  std::optional<Settlement> TakeDue(MonotonicTime now);
  std::optional<MonotonicTime> NextWake() const;

  // What the table said. A failure puts off the whole queue, since all wait for the same platform.
  void OnTableAnswered();
  void OnTableFailed(MonotonicTime now);

  size_t Size() const { return waiting_.size(); }
  size_t Bytes() const { return bytes_; }
  uint64_t BodiesDropped() const { return bodies_dropped_; }

 private:
  size_t limit_bytes_;              // Of all that waits.
  Duration spacing_;                // Between two writes.
  std::mt19937_64 random_;          // For jitter.
  std::deque<Settlement> waiting_;  // Oldest first.
  size_t bytes_ = 0;                // Of all that waits.
  MonotonicTime next_;              // No write before this.
  Duration back_off_{};             // Last one; zero after an answer.
  uint64_t bodies_dropped_ = 0;     // Kept bodies given up for room.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLAIMS_SETTLE_QUEUE_H_
