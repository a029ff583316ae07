// Ring buffer of the newest decisions for one service. Entries are compact; they are formatted as
// text only when they are read.

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
  uint8_t cause = 0;        // RefusalCause of a refusal.
  uint32_t open = 0;        // Open requests of this entry VM for the service, without emergencies.
  float window = 0;         // Limit on `open`.
  uint32_t waiting = 0;     // Requests queued here in this class and more urgent ones.
  ServerHandle chosen = 0;  // Backend server, for kinds that send the request.
  uint32_t generation = 0;  // Generation of `chosen`.
  std::array<CandidateScore, kMaxCandidates> candidates{};
  size_t candidate_count = 0;
};

class DecisionRing {
 public:
  static constexpr size_t kCapacity = 64;

  void Add(const DecisionEntry& entry) { entries_[added_++ % kCapacity] = entry; }

  // Visits the entries from the oldest to the newest.
  template <typename Visit>
  void ForEach(Visit visit) const {
    const size_t first = added_ > kCapacity ? added_ - kCapacity : 0;
    for (size_t i = first; i < added_; ++i) visit(entries_[i % kCapacity]);
  }

 private:
  std::array<DecisionEntry, kCapacity> entries_{};
  size_t added_ = 0;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_DECISION_RING_H_
