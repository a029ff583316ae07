// What entry VMs tell each other in datagrams: fresh reports on backend servers within a failure
// domain, and news of the catalog. Each message stands alone; a lost one is made up for by the
// next.

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
#include "src/measure/report.h"

namespace cowsliphill {

// Stands for a server's id in datagrams. Two ids with one tag (one in billions) would share their
// reports, which makes choices worse and breaks nothing.
using ServerTag = uint32_t;
ServerTag TagOf(const BackendServerId& server);

struct ServerReport {
  ServerTag server = 0;
  std::optional<Report> report;      // Of a probe or an answer; nullopt: none.
  bool missed = false;               // A probe got no answer.
  std::chrono::milliseconds age{0};  // Since the report was true.
  uint32_t answered = 0;             // Requests of the sender since it last told.
  uint32_t failed = 0;
};

struct ReportBatch {
  bool relay = false;  // From another failure domain: the receiver passes it on within its own.
  std::vector<ServerReport> reports;
};

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
  std::string manifest;  // EncodeManifest of it; empty: not told this time.
  bool whole = false;    // `changed` holds all servers there are; nothing needs to be known before.
  bool relay = false;    // As in ReportBatch.
};

// The sender has just sent a request to this server. Counts until the next report.
struct SentNotice {
  ServerTag server = 0;
};

// Asks for the whole catalog. An entry VM that has it answers with CatalogNews.
struct CatalogQuestion {
  Endpoint reply_to;      // The sender's peer address.
  uint64_t revision = 0;  // Of the manifest that the sender has; a newer one comes with the answer.
};

using ZoneMessage = std::variant<ReportBatch, CatalogNews, SentNotice, CatalogQuestion>;

std::string EncodeZoneMessage(const ZoneMessage& message);
// nullopt for anything malformed.
std::optional<ZoneMessage> DecodeZoneMessage(const std::string& bytes);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_ZONE_ZONE_MESSAGE_H_
