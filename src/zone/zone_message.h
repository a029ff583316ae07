// What entry VMs tell each other of the catalog in datagrams. Each message stands alone; a lost one
// is made up for by the next.

#ifndef COWSLIPHILL_ZONE_ZONE_MESSAGE_H_
#define COWSLIPHILL_ZONE_ZONE_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/base/ids.h"
#include "src/catalog/catalog.h"

namespace cowsliphill {

// What the sender knows of the store's tables, as of `age` ago. `from` to `servers_version` is the
// span that `changed` and `gone` cover; who stands before `from` must ask the store.
struct CatalogNews {
  EntryVmId sender;
  bool reaches_store = false;     // It has just been answered by the store itself.
  uint64_t manifest_version = 0;  // Of the store's table.
  uint64_t revision = 0;          // Of the manifest in force at the sender.
  std::chrono::milliseconds manifest_age{0};
  uint64_t from = 0;
  uint64_t servers_version = 0;
  std::chrono::milliseconds servers_age{0};
  std::vector<BackendServer> changed;
  std::vector<BackendServerId> gone;
  std::string manifest;             // EncodeManifest of it; empty: not told this time.
  bool manifest_too_large = false;  // For a message: it is in the store only.
  bool whole = false;  // `changed` holds all servers there are; nothing needs to be known before.
  bool relay = false;  // From another failure domain: the receiver passes it on within its own.
};

// Asks for the whole catalog. An entry VM that has it answers with CatalogNews; one that lacks what
// the sender lacks answers once it has it.
struct CatalogQuestion {
  Endpoint reply_to;      // The sender's peer address.
  uint64_t revision = 0;  // Of the manifest that the sender has; a newer one comes with the answer.
  uint64_t manifest_version = 0;  // The newest ones that the sender has heard of; 0: none.
  uint64_t servers_version = 0;
};

using ZoneMessage = std::variant<CatalogNews, CatalogQuestion>;

std::string EncodeZoneMessage(const ZoneMessage& message);
// nullopt for anything malformed.
std::optional<ZoneMessage> DecodeZoneMessage(const std::string& bytes);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_ZONE_ZONE_MESSAGE_H_
