// Types for at-most-once execution: what the forwarder passes in before it may send a
// non-idempotent request with an idempotency key, the answers it gets, and the outcome it reports
// afterwards. The interface is in claim_keeper.h, the protocol in claim_protocol.h.

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
  std::string fingerprint;  // Covers method, path and body length; a repeat must match it.
  RequestId request;        // Request id of this attempt.
  MonotonicTime deadline;   // The request must not be sent after this.
};

// A claim that this entry VM holds; opaque to the forwarder.
struct Claim {
  std::string row_key;   // Key of the claim's row in the table.
  std::string nonce;     // Identifies the attempt that holds the claim.
  uint64_t version = 0;  // Version of the row as the holder wrote it.
  RequestId request;
};

// The backend server's answer, stored so that a repeat of the request gets it again. Large bodies
// are not stored.
struct KeptAnswer {
  int status = 0;  // HTTP status.
  std::string content_type;
  std::string body;       // At most kKeptBodyBytes long.
  bool body_kept = true;  // False if the body was not stored, for example because of its size.
};

inline constexpr size_t kKeptBodyBytes = 4096;

struct Proceed {
  Claim claim;  // Only this attempt may send the request; it must call Finish afterwards.
};
struct Repeat {
  RequestId first;  // The earlier request that ran.
  KeptAnswer answer;
};
struct StillRunning {
  RequestId first;  // The earlier request that holds the claim.
  std::chrono::milliseconds retry_after{1000};
};
struct OutcomeUnknown {
  RequestId first;  // The earlier request; it may have run, and is not run again under this key.
};
struct KeyMismatch {};  // The key was used before for a request with another fingerprint.
struct KeyExpired {};   // The key is past its lifetime; whether it ran is no longer known.
// The claim could not be obtained, usually because the platform did not answer; this attempt did
// not run.
struct ClaimUnavailable {
  std::chrono::milliseconds retry_after{1000};
};
using ClaimAnswer = std::variant<Proceed, Repeat, StillRunning, OutcomeUnknown, KeyMismatch,
                                 KeyExpired, ClaimUnavailable>;

struct ClaimOutcome {
  Outcome outcome = Outcome::kUnknown;
  KeptAnswer answer;  // Set only if `outcome` is kRan.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLAIMS_CLAIM_H_
