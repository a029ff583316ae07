// Whether a caller may send a request, by the key that the request carries. Pure: no I/O.

#ifndef COWSLIPHILL_FORWARD_CALLER_KEY_H_
#define COWSLIPHILL_FORWARD_CALLER_KEY_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/manifest/key_index.h"

namespace cowsliphill {

enum class KeyFault {
  kMissing,
  kUnknown,    // No workspace has the key.
  kMalformed,  // The header can't be read as a key.
  kWithdrawn,  // No workspace has the key any more, but one had it when the request arrived.
};

inline std::string_view NameOf(KeyFault fault) {
  switch (fault) {
    case KeyFault::kMissing:
      return "missing key";
    case KeyFault::kUnknown:
      return "unknown key";
    case KeyFault::kMalformed:
      return "malformed key";
    case KeyFault::kWithdrawn:
      return "key withdrawn";
  }
  return "";
}

// The key of a request. Holds the digest only: the key itself must not reach logs, answers or
// servers.
struct CallerKey {
  std::optional<KeyDigest> digest;      // Unset if the request carries no usable key.
  KeyFault fault = KeyFault::kMissing;  // Why `digest` is unset.
  std::string detail;                   // Names the header and the fault, never the value.
};

struct KeyCheck {
  const Workspace* workspace = nullptr;  // Null on routes that need no key, and with a fault.
  std::optional<KeyFault> fault;         // Set: the request is refused.
};

// `keyless`: the request's route needs no key. To be called only if `keys` requires keys.
inline KeyCheck CheckKey(const CallerKey& key, bool keyless, const KeyIndex& keys) {
  const Workspace* workspace = key.digest ? keys.Find(*key.digest) : nullptr;
  if (workspace != nullptr || keyless) return {workspace, {}};
  return {nullptr, key.digest ? KeyFault::kUnknown : key.fault};
}

inline constexpr uint32_t kMaxPriority = 15;  // Of a workspace or route; higher ones count as this.

// Rank of a request where the manifest defines workspaces: the priority of the workspace goes
// before that of the route.
inline uint32_t RankWithWorkspace(uint32_t workspace_priority, uint32_t route_priority) {
  return std::min(workspace_priority, kMaxPriority) * (kMaxPriority + 1) +
         std::min(route_priority, kMaxPriority);
}

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_CALLER_KEY_H_
