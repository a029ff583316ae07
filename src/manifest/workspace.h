// A workspace: the account of a customer, which callers' keys name. The manifest lists workspaces
// where requests need a key.

#ifndef COWSLIPHILL_MANIFEST_WORKSPACE_H_
#define COWSLIPHILL_MANIFEST_WORKSPACE_H_

#include <array>
#include <cstdint>
#include <vector>

#include "src/base/ids.h"

namespace cowsliphill {

// Truncated SHA-256 digest of a caller's key. The keys themselves are not kept.
using KeyDigest = std::array<uint8_t, 16>;

struct Workspace {
  TenantId id;
  std::vector<KeyDigest> keys;  // Any of them names the workspace.
  uint32_t priority = 0;        // 0 is the most urgent; goes before the priority of the route.
  // Limit on the requests over all entry VMs together, as a token bucket.
  double rate = 0;   // Requests per second; 0: no limit.
  double burst = 0;  // Requests in addition to `rate`, at once.

  friend bool operator==(const Workspace& a, const Workspace& b) = default;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_WORKSPACE_H_
