// The claim protocol as pure state machines: result of the last table call in, next step out.
//
// A try writes a kRunning row under its key, on the condition that the row is absent (or is the
// kNotRun row that was just read). Whoever's write takes effect holds the claim, for good: it is
// never taken over, so a holder that was paused for any time can do no harm when it wakes up.
//
//   write -> Committed                    -> Proceed
//         -> Conflict, own nonce          -> Proceed (an earlier write of ours had taken effect)
//         -> Conflict, kNotRun            -> write again, on the condition of that version
//         -> Conflict, any other          -> Repeat, StillRunning, OutcomeUnknown, ...
//         -> no answer                    -> read back -> as above; absent -> the same write again
//         -> certainly no effect          -> ClaimUnavailable
//
// A try that gives up while a write of its own may still take effect hands out a Settlement. It
// writes a kNotRun row on the same condition, so that the late write fails, or replaces it.

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
  std::chrono::milliseconds lifetime{std::chrono::hours(24)};     // Of a key, from its first use.
  std::chrono::milliseconds clock_skew{std::chrono::minutes(5)};  // Most, between any two clocks.
  std::chrono::milliseconds running_grace{30000};  // After the holder's deadline; then "unknown".
  std::chrono::milliseconds claim_timeout{2000};   // Longest wait for a claim.
  std::chrono::milliseconds retry_after{1000};     // Told when the platform can't be asked.
  bool dated_keys_only = false;         // Refuse keys that carry no time (see docs/CLAIMS.md).
  size_t open_limit = 16;               // Tries waiting for the table; more are refused at once.
  size_t settle_limit_bytes = 4 << 20;  // Rows waiting to be settled; more are dropped, counted.
  uint32_t settle_rate = 5;             // Settling writes a second of this entry VM.
  uint32_t failures_to_open = 3;        // Failed table calls in a row that open the circuit.
  std::chrono::milliseconds circuit_interval{500};  // Between tries while the circuit is open.
};

// A final row that must be written, if the table still allows it.
struct Settlement {
  std::string row_key;
  ClaimRow row;                   // kRan, kNotRun or kUnknown, with the nonce of the try.
  uint64_t expected_version = 0;  // As in ConditionalWrite.
};

enum class SettleProgress {
  kDone,        // The row is final.
  kAgain,       // Write at once again, on the condition now known.
  kLater,       // The platform can't be asked; try again after a pause.
  kSuperseded,  // Another try's row stands there; nothing is left to do.
};

ConditionalWrite WriteOf(const Settlement& settlement);

// Takes the result of WriteOf and moves the condition on.
SettleProgress Advance(Settlement& settlement, const CommitResult& result);

struct ReadRow {
  std::string key;
};

// What a try does next. With an answer, the try has ended.
struct ClaimStep {
  std::variant<std::monostate, ConditionalWrite, ReadRow> call;
  std::optional<ClaimAnswer> answer;
  std::optional<Settlement> settlement;  // With an answer other than Proceed.
  bool malformed_row = false;            // The table holds bytes that are no claim.
};

// What both clocks say at one moment.
struct ClaimTime {
  MonotonicTime now;
  WallTime wall;
};

class ClaimAttempt {
 public:
  ClaimAttempt(ClaimRequest request, std::string nonce, EntryVmId self, ClaimTime at,
               const ClaimSettings& settings);

  ClaimStep Start(ClaimTime at);
  ClaimStep OnCommit(const CommitResult& result, ClaimTime at);
  ClaimStep OnRead(const GetResult& result, ClaimTime at);
  // Ends the try: its time is up. Results that come later are ignored.
  ClaimStep OnTimeout();

  bool Ended() const { return ended_; }
  MonotonicTime AnswerBy() const { return answer_by_; }
  const ClaimRow& Claimed() const { return row_; }  // As this try writes it.

 private:
  bool KeyHasExpired(WallTime wall) const;
  ClaimStep Write();
  ClaimStep OnSeen(const Row& seen, ClaimTime at);
  ClaimStep OnOtherClaim(const Row& seen, const ClaimRow& other, ClaimTime at);
  ClaimStep Won(uint64_t version, MonotonicTime now);
  ClaimStep Answer(ClaimAnswer answer);
  ClaimStep GiveUp();
  Settlement NotRunAt(uint64_t version) const;

  ClaimRequest request_;
  ClaimSettings settings_;
  std::string row_key_;
  ClaimRow row_;             // As this try writes it.
  MonotonicTime answer_by_;  // When waiting ends.
  uint64_t expected_ = 0;    // Condition of the write.
  bool writing_ = false;     // A write has no result yet.
  bool uncertain_ = false;   // A write on the condition `expected_` may yet take effect.
  int writes_ = 0;           // Sent so far.
  bool ended_ = false;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLAIMS_CLAIM_PROTOCOL_H_
