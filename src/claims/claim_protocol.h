// The claim protocol as state machines without I/O: they take the result of the last table call and
// return the next step.
//
// An attempt writes a kRunning row under its key, on the condition that the row is absent (or is
// the kNotRun row that was just read). The attempt whose write takes effect holds the claim
// permanently. A claim is never taken over, so a holder that resumes after a pause of any length
// can't cause a second run.
//
//   write -> Committed                    -> Proceed
//         -> Conflict, own nonce          -> Proceed (an earlier write of this attempt took effect)
//         -> Conflict, kNotRun            -> write again, on the condition of that version
//         -> Conflict, any other          -> Repeat, StillRunning, OutcomeUnknown, ...
//         -> effect unknown               -> read back -> as above; absent -> the same write again
//         -> certainly no effect          -> ClaimUnavailable
//
// An attempt that gives up while one of its writes may still take effect returns a Settlement. The
// settlement writes a kNotRun row on the same condition: either the late write then fails, or, if
// it took effect first, the settlement replaces its row.

#ifndef COWSLIPHILL_CLAIMS_CLAIM_PROTOCOL_H_
#define COWSLIPHILL_CLAIMS_CLAIM_PROTOCOL_H_

#include <chrono>
#include <optional>
#include <string>
#include <variant>

#include "src/base/clock.h"
#include "src/claims/claim.h"
#include "src/claims/claim_row.h"
#include "src/storage/platform.h"

namespace cowsliphill {

struct ClaimSettings {
  // Lifetime of a key: from its timestamp if it has one, and from the start of the attempt that
  // claimed it.
  std::chrono::milliseconds lifetime{std::chrono::hours(24)};
  // Largest difference assumed between any two clocks.
  std::chrono::milliseconds clock_skew{std::chrono::minutes(5)};
  // A kRunning row is reported as OutcomeUnknown this long after the holder's deadline.
  std::chrono::milliseconds running_grace{30000};
  std::chrono::milliseconds claim_timeout{2000};  // Longest wait for a claim.
  std::chrono::milliseconds retry_after{1000};    // Sent with StillRunning and ClaimUnavailable.
  bool dated_keys_only = false;  // Refuse keys without a timestamp (see docs/CLAIMS.md).
  // Maximum number of attempts that wait for the table; more are refused at once.
  size_t max_pending_attempts = 16;
  // Maximum estimated memory for queued settlements. Beyond it, a settlement is queued without the
  // body of its answer, or dropped if it still does not fit; both are counted.
  size_t settle_limit_bytes = 4 << 20;
  uint32_t settle_writes_per_second = 5;  // Rate limit of queued settlements.
  uint32_t failures_to_open = 3;          // Consecutive failed table calls that open the circuit.
  std::chrono::milliseconds circuit_probe_interval{500};  // Time between probes of an open circuit.
};

// A pending write of a claim's final row. It has no effect if another attempt's row has replaced
// the claim.
struct Settlement {
  std::string row_key;
  ClaimRow row;                   // In a final state, with the nonce of the attempt.
  uint64_t expected_version = 0;  // Condition of the write, as in ConditionalWrite.
};

enum class SettleProgress {
  kDone,        // The row is in a final state.
  kRetryNow,    // Write again at once, on the updated condition.
  kRetryLater,  // The platform did not answer; write again after a backoff.
  kSuperseded,  // The row is not this attempt's; nothing is left to do.
};

// Returns the write that carries out the settlement.
ConditionalWrite SettlementWrite(const Settlement& settlement);

// Handles the result of SettlementWrite. On kRetryNow, updates the settlement's expected version.
SettleProgress AdvanceSettlement(Settlement& settlement, const CommitResult& result);

struct ReadRow {
  std::string key;
};

// The next step of an attempt: a table call, or the answer that ends the attempt. Empty if the
// attempt had already ended.
struct ClaimStep {
  std::variant<std::monostate, ConditionalWrite, ReadRow> call;
  std::optional<ClaimAnswer> answer;
  std::optional<Settlement> settlement;  // Possible with ClaimUnavailable only.
  bool malformed_row = false;            // The row's value could not be decoded.
};

// Readings of the monotonic and the wall clock at the same moment.
struct ClockReadings {
  MonotonicTime now;
  WallTime wall;
};

// State machine of one attempt to claim a key.
class ClaimAttempt {
 public:
  ClaimAttempt(ClaimRequest request, std::string nonce, EntryVmId self, ClockReadings at,
               const ClaimSettings& settings);

  ClaimStep Start(ClockReadings at);
  ClaimStep OnCommit(const CommitResult& result, ClockReadings at);
  ClaimStep OnRead(const GetResult& result, ClockReadings at);
  // Ends the attempt at its claim deadline. Later results of table calls are ignored.
  ClaimStep OnTimeout();

  bool Ended() const { return ended_; }
  MonotonicTime ClaimDeadline() const { return claim_deadline_; }
  const ClaimRow& ClaimedRow() const { return row_; }  // Row that this attempt writes.

 private:
  bool KeyHasExpired(WallTime wall) const;
  ClaimStep Write();
  ClaimStep OnCurrentRow(const Row& seen, ClockReadings at);
  ClaimStep OnOtherClaim(const Row& seen, const ClaimRow& other, ClockReadings at);
  ClaimStep OnClaimHeld(uint64_t version, MonotonicTime now);
  ClaimStep Answer(ClaimAnswer answer);
  ClaimStep GiveUp();
  // Returns the settlement that writes kNotRun if the row still has this version.
  Settlement SettleNotRun(uint64_t version) const;

  ClaimRequest request_;
  ClaimSettings settings_;
  std::string row_key_;
  ClaimRow row_;                   // Row that this attempt writes.
  MonotonicTime claim_deadline_;   // When the attempt gives up.
  uint64_t expected_version_ = 0;  // Condition of the next write.
  bool write_in_flight_ = false;   // A write was sent and has no result yet.
  // A write with unknown result may still take effect while the row has `expected_version_`.
  bool write_may_take_effect_ = false;
  int writes_sent_ = 0;  // At most kMaxWrites.
  bool ended_ = false;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLAIMS_CLAIM_PROTOCOL_H_
