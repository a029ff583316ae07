// At most once: what the forwarder asks before a non-idempotent request with a key may be sent,
// and what it tells afterwards. The protocol is in claim_keeper.h.

#ifndef COWSLIPHILL_CLAIMS_CLAIM_H_
#define COWSLIPHILL_CLAIMS_CLAIM_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/base/request_class.h"

namespace cowsliphill {

struct ClaimRequest {
  ServiceId service;
  TenantId tenant;
  std::string key;          // Idempotency-Key as sent by the caller; scoped by service and tenant.
  std::string fingerprint;  // Of method, path and body length; a repeat must match it.
  RequestId request;        // Of this try.
  MonotonicTime deadline;
};

// One held claim; opaque to the forwarder.
struct Claim {
  std::string row_key;   // Of the table's row.
  std::string nonce;     // Of this holder.
  uint64_t version = 0;  // Of the row as this holder wrote it.
  RequestId request;
};

// The answer of a run that a repeat is given again. Large bodies are not kept.
struct KeptAnswer {
  int status = 0;  // HTTP status.
  std::string content_type;
  std::string body;       // Up to kKeptBodyBytes.
  bool body_kept = true;  // False: it was larger than that.
};

inline constexpr size_t kKeptBodyBytes = 4096;

struct Proceed {
  Claim claim;  // This request alone may send; Finish must follow.
};
struct Repeat {
  RequestId first;  // The request that ran.
  KeptAnswer answer;
};
struct StillRunning {
  RequestId first;
  std::chrono::milliseconds retry_after{1000};
};
struct OutcomeUnknown {
  RequestId first;  // It may or may not have run; it will not be run again under this key.
};
struct KeyMismatch {};  // The key was used for another request.
struct KeyExpired {};   // Past its stated lifetime: refused, not guessed.
struct ClaimUnavailable {
  std::chrono::milliseconds retry_after{1000};  // The platform can't tell; this try did not run.
};
using ClaimAnswer = std::variant<Proceed, Repeat, StillRunning, OutcomeUnknown, KeyMismatch,
                                 KeyExpired, ClaimUnavailable>;

struct ClaimOutcome {
  Outcome outcome = Outcome::kUnknown;
  KeptAnswer answer;  // With kRan.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLAIMS_CLAIM_H_
