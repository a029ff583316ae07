// The messages about the catalog that entry VMs send each other as datagrams. Each message can be
// decoded alone. Updates repeat recent changes, so that the loss of a few does no harm; a receiver
// that has missed more requests a snapshot.

#ifndef COWSLIPHILL_DATAGRAM_CATALOG_MESSAGE_H_
#define COWSLIPHILL_DATAGRAM_CATALOG_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/base/ids.h"
#include "src/catalog/catalog.h"

namespace cowsliphill {

// What the sender knows about the store's two tables. `changed` and `removed` are the changes of
// servers after `servers_base_version` up to `servers_version`; a receiver that has an older
// version than `servers_base_version` has to get the servers by a CatalogRequest or from the store.
struct CatalogUpdate {
  EntryVmId sender;
  uint64_t sender_rank = 0;       // ElectionRank of the sender.
  bool reaches_store = false;     // The store has just answered the sender.
  uint64_t manifest_version = 0;  // Version of the manifest's table in the store.
  uint64_t revision = 0;          // Revision of the manifest in force at the sender.
  // Time since the sender last knew manifest_version to be the newest. servers_age is the same for
  // servers_version.
  std::chrono::milliseconds manifest_age{0};
  uint64_t servers_base_version = 0;
  uint64_t servers_version = 0;  // Version of the servers' table in the store.
  std::chrono::milliseconds servers_age{0};
  std::vector<BackendServer> changed;
  std::vector<BackendServerId> removed;
  std::string manifest;  // The manifest by EncodeManifest; empty if this update does not carry it.
  // The manifest is too large for updates; receivers read it from the store.
  bool manifest_too_large = false;
  // All evacuated failure domains as of manifest_version; unset if the sender does not know them.
  std::optional<EvacuatedDomains> evacuated;
  bool is_snapshot = false;  // `changed` lists all servers; servers_base_version has no meaning.
};

// Requests a snapshot of the catalog. An entry VM that has the versions named here answers with a
// CatalogUpdate; an entry VM that lacks them answers later, once it has them.
struct CatalogRequest {
  Endpoint reply_to;      // The sender's peer address.
  uint64_t revision = 0;  // Manifest revision of the sender; the answer carries only a newer one.
  // Newest versions of the tables that the sender knows to exist; 0 if it knows none.
  uint64_t manifest_version = 0;
  uint64_t servers_version = 0;
  uint32_t forwards = 0;  // Number of entry VMs that have forwarded the request.
};

// Tells the sender of a CatalogRequest that it was received, if the answer takes a while.
struct CatalogRequestPending {};

using CatalogMessage = std::variant<CatalogUpdate, CatalogRequest, CatalogRequestPending>;

std::string EncodeCatalogMessage(const CatalogMessage& message);
// Returns nullopt if the message is malformed.
std::optional<CatalogMessage> DecodeCatalogMessage(const std::string& bytes);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_DATAGRAM_CATALOG_MESSAGE_H_
