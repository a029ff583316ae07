// The newest decisions of one service, kept compactly and put into words only when asked for.

#ifndef COWSLIPHILL_CHOOSE_DECISION_RING_H_
#define COWSLIPHILL_CHOOSE_DECISION_RING_H_

#include <array>
#include <cstddef>

#include "src/choose/candidates.h"

namespace cowsliphill {

enum class DecisionKind : uint8_t { kSend, kTrial, kRetry, kHedge, kWait, kRefuse };

struct DecisionEntry {
  uint64_t ticket = 0;
  DecisionKind kind = DecisionKind::kSend;
  uint8_t cause = 0;        // Of a refusal: RefusalCause.
  uint32_t open = 0;        // Our open requests at the service.
  float window = 0;         // Limit on them.
  uint32_t waiting = 0;     // In our queue, of this class and above.
  Handle chosen = 0;        // For those that send.
  uint32_t generation = 0;  // Of `chosen`.
  std::array<Considered, kMostConsidered> considered{};
  size_t considered_count = 0;
};

class DecisionRing {
 public:
  static constexpr size_t kKept = 64;

  void Add(const DecisionEntry& entry) { entries_[added_++ % kKept] = entry; }

  // Oldest first.
  template <typename Visit>
  void ForEach(Visit visit) const {
    const size_t first = added_ > kKept ? added_ - kKept : 0;
    for (size_t i = first; i < added_; ++i) visit(entries_[i % kKept]);
  }

 private:
  std::array<DecisionEntry, kKept> entries_{};
  size_t added_ = 0;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_DECISION_RING_H_
