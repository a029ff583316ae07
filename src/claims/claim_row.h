// The table's row of one claim: its states, its bytes and its key.

#ifndef COWSLIPHILL_CLAIMS_CLAIM_ROW_H_
#define COWSLIPHILL_CLAIMS_CLAIM_ROW_H_

#include <optional>
#include <string>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/claims/claim.h"

namespace cowsliphill {

// kRunning -> kRan | kNotRun | kUnknown, each written by the holder alone. Only kNotRun may be
// claimed anew. Values are part of the row's bytes; never reuse one.
enum class ClaimState {
  kRunning = 1,  // The holder may send, or has died; nobody else ever sends.
  kRan = 2,      // Ended with `answer`.
  kNotRun = 3,   // Certainly did not start.
  kUnknown = 4,  // The holder can't tell whether it ran.
};

struct ClaimRow {
  ClaimState state = ClaimState::kRunning;
  std::string nonce;        // Of the holder's try; no two tries share one.
  EntryVmId holder;         // For operators.
  RequestId request;        // Of the holder's try.
  std::string fingerprint;  // Of the request; a repeat must match it.
  WallTime created;         // By the holder's clock.
  WallTime run_until;       // The holder's deadline, by its clock.
  KeptAnswer answer;        // With kRan.
};

inline constexpr char kClaimPrefix[] = "claim/";
inline constexpr char kDatedClaimPrefix[] = "claim/d/";    // Rows of keys that carry a time.
inline constexpr char kUndatedClaimPrefix[] = "claim/u/";  // All others.

std::string ToBytes(const ClaimRow& row);

// Nothing if the bytes are not a row of a known version.
std::optional<ClaimRow> ClaimRowFromBytes(const std::string& bytes);

// The time that the key itself carries: keys in the form of a UUIDv7 (RFC 9562) have one.
std::optional<WallTime> TimeOfKey(const std::string& key);

// A fixed-length row key. Rows of dated keys sort by the hour of the key, so that a sweep finds the
// oldest first.
std::string ClaimRowKey(const ServiceId& service, const TenantId& tenant, const std::string& key);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLAIMS_CLAIM_ROW_H_
