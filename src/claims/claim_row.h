// The table row of a claim: its states, its encoding and its key.

#ifndef COWSLIPHILL_CLAIMS_CLAIM_ROW_H_
#define COWSLIPHILL_CLAIMS_CLAIM_ROW_H_

#include <optional>
#include <string>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/claims/claim.h"

namespace cowsliphill {

// State of a claim. Only the holder changes it, from kRunning to one of the final states kRan,
// kNotRun and kUnknown. A key can be claimed again only in state kNotRun. The values are stored in
// rows; never reuse one.
enum class ClaimState {
  kRunning = 1,  // The holder may send the request, or has died; no other attempt ever sends it.
  kRan = 2,      // The request ran and ended with `answer`.
  kNotRun = 3,   // The request certainly did not start.
  kUnknown = 4,  // The holder can't tell whether the request ran.
};

struct ClaimRow {
  ClaimState state = ClaimState::kRunning;
  std::string nonce;        // Identifies the holder's attempt; no two attempts share one.
  EntryVmId holder;         // Entry VM that made the attempt; only for operators.
  RequestId request;        // Request id of the holder's attempt.
  std::string fingerprint;  // Fingerprint of the request; a repeat must match it.
  WallTime created;         // When the attempt began, by the holder's clock.
  WallTime run_until;       // Deadline of the holder's request, by the holder's clock.
  KeptAnswer answer;        // Set only in state kRan.
};

inline constexpr char kClaimPrefix[] = "claim/";
inline constexpr char kDatedClaimPrefix[] = "claim/d/";    // Keys with a timestamp.
inline constexpr char kUndatedClaimPrefix[] = "claim/u/";  // All other keys.

std::string ToBytes(const ClaimRow& row);

// Returns nullopt if the bytes are not a row of a known version.
std::optional<ClaimRow> ClaimRowFromBytes(const std::string& bytes);

// Returns the timestamp embedded in the key if the key is a UUIDv7 (RFC 9562). Such a key is called
// dated.
std::optional<WallTime> KeyTimestamp(const std::string& key);

// Returns the key of the claim's row, whose length does not depend on the caller's key. Rows of
// dated keys sort by the hour of the timestamp, so that a sweep finds the oldest ones first.
std::string ClaimRowKey(const ServiceId& service, const TenantId& tenant, const std::string& key);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLAIMS_CLAIM_ROW_H_
