// Circuit breaker in front of the table: after several consecutive failed calls, claims are refused
// at once instead of each waiting for its own timeout. Does no I/O.

#ifndef COWSLIPHILL_CLAIMS_TABLE_CIRCUIT_H_
#define COWSLIPHILL_CLAIMS_TABLE_CIRCUIT_H_

#include "src/claims/claim_protocol.h"

namespace cowsliphill {

class TableCircuit {
 public:
  explicit TableCircuit(const ClaimSettings& settings)
      : failures_to_open_(settings.failures_to_open), interval_(settings.circuit_probe_interval) {}

  // While the circuit is open, lets one claim per interval through as a probe.
  bool Allow(MonotonicTime now) {
    if (!Open()) return true;
    if (now < next_probe_) return false;
    next_probe_ = now + interval_;
    return true;
  }

  bool Open() const { return consecutive_failures_ >= failures_to_open_; }
  void OnAnswered() { consecutive_failures_ = 0; }

  void OnFailed(MonotonicTime now) {
    ++consecutive_failures_;
    next_probe_ = now + interval_;
  }

 private:
  uint32_t failures_to_open_;
  Duration interval_;
  uint32_t consecutive_failures_ = 0;
  MonotonicTime next_probe_;  // Earliest time of the next probe while the circuit is open.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLAIMS_TABLE_CIRCUIT_H_
