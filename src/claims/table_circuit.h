// Circuit breaker before the table: after several failed calls in a row, claims are refused at once
// instead of each waiting for its own timeout. Pure.

#ifndef COWSLIPHILL_CLAIMS_TABLE_CIRCUIT_H_
#define COWSLIPHILL_CLAIMS_TABLE_CIRCUIT_H_

#include "src/claims/claim_protocol.h"

namespace cowsliphill {

class TableCircuit {
 public:
  explicit TableCircuit(const ClaimSettings& settings)
      : failures_to_open_(settings.failures_to_open), interval_(settings.circuit_interval) {}

  // While open, one claim an interval is let through to find out.
  bool Allow(MonotonicTime now) {
    if (!Open()) return true;
    if (now < next_try_) return false;
    next_try_ = now + interval_;
    return true;
  }

  bool Open() const { return failures_ >= failures_to_open_; }
  void OnAnswered() { failures_ = 0; }

  void OnFailed(MonotonicTime now) {
    ++failures_;
    next_try_ = now + interval_;
  }

 private:
  uint32_t failures_to_open_;
  Duration interval_;
  uint32_t failures_ = 0;   // In a row.
  MonotonicTime next_try_;  // While open.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLAIMS_TABLE_CIRCUIT_H_
