// Settings of one process: addresses, failure domain, platform, limits, logs. Read once at start.
// docs/SETTINGS.md lists every key.

#ifndef COWSLIPHILL_SETTINGS_SETTINGS_H_
#define COWSLIPHILL_SETTINGS_SETTINGS_H_

#include <chrono>
#include <string>
#include <vector>

#include "src/base/ids.h"
#include "src/base/result.h"
#include "src/base/toml_reader.h"

namespace cowsliphill {

enum class PlatformKind {
  kMemory,  // Inside the process; nothing outlives it.
  kHttp,    // The platform's services over HTTP.
  kStore,   // A store that holds the manifest and lists the backend servers (see platform/).
};

enum class LogLevel { kDebug, kInfo, kWarning, kError };

struct EdgeSettings {
  Endpoint listen{"127.0.0.1", 8080};  // Where callers connect.
  Endpoint advertise;                  // What lookups hand out; default: listen.
  uint32_t max_connections = 4096;     // Open caller connections.
  uint32_t max_header_bytes = 16384;   // Request line and headers together.
  uint32_t buffer_bytes = 65536;       // Bodies up to this size are kept and can be sent again.
  std::chrono::milliseconds idle_timeout{60000};  // Silence on a caller connection.
};

struct PeerSettings {
  Endpoint listen{"127.0.0.1", 8081};  // Where other entry VMs connect.
  Endpoint advertise;                  // What other entry VMs are told; default: listen.
  std::string key;                     // Shared secret between entry VMs; required beyond loopback.
  std::vector<Endpoint> seeds;         // Asked first; the platform's VM list adds to them.
};

struct AdminToken {
  std::string token;                // Bearer token, at least 16 characters.
  TeamId team;                      // Recorded as the author of changes.
  std::vector<ServiceId> services;  // Services that it may change; empty: all.
};

struct AdminSettings {
  Endpoint listen{"127.0.0.1", 8082};  // Administration API; beyond loopback only with tokens.
  std::vector<AdminToken> tokens;
};

struct PlatformSettings {
  PlatformKind kind = PlatformKind::kMemory;
  Endpoint endpoint;                             // Of the platform's HTTP services.
  std::chrono::milliseconds timeout{1000};       // Per call.
  uint32_t connections = 4;                      // Calls at the same time.
  uint32_t queue_limit = 1024;                   // Calls waiting; more are refused.
  std::chrono::milliseconds poll_interval{500};  // Of the manifest's head and the VM list.
  // With kind "store" only.
  Endpoint lookup_listen;                       // Answers callers' lookups.
  Endpoint readiness_listen;                    // Says whether this entry VM takes requests.
  Endpoint metrics_listen;                      // Serves /metrics; without one there are none.
  std::chrono::milliseconds peer_patience{40};  // At a start other entry VMs are asked for the
                                                // catalog so long before the store is.
};

// Bound on sending requests once more, over all entry VMs together.
struct RetrySettings {
  double ratio = 0.2;                       // Further attempts per request, in any window.
  double slack = 10;                        // More of them, in any window.
  std::chrono::milliseconds window{10000};  // Over which both are counted.
};

struct BackendSettings {
  std::chrono::milliseconds connect_timeout{250};    // Towards a backend server.
  std::chrono::milliseconds proven_alive{1000};      // Age up to which an idle connection may carry
                                                     // non-idempotent work.
  std::chrono::milliseconds idle_timeout{30000};     // Idle connections are closed after this.
  std::chrono::milliseconds silence_timeout{10000};  // Longest silence within a bulk answer.
  uint32_t connections_per_class = 64;               // Per backend server and class.
};

struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  uint32_t queue_entries = 8192;  // Lines waiting for the writer; more are dropped and counted.
};

struct Settings {
  FailureDomainId failure_domain;  // Failure domain of this VM; required.
  RegionId region;                 // Region of that failure domain; default: the failure
                                   // domain's name.
  std::string manifest_file;       // With platform kind "memory": manifest to start with.
  std::chrono::milliseconds stop_timeout{3600000};  // Longest graceful stop.
  EdgeSettings edge;
  PeerSettings peer;
  AdminSettings admin;
  PlatformSettings platform;
  BackendSettings backend;
  RetrySettings retries;
  LogSettings log;
};

using SettingsResult = Result<Settings, std::vector<Issue>>;

SettingsResult ParseSettings(const std::string& text, const std::string& file);

// Reads the file; an unreadable file is an Issue too.
SettingsResult LoadSettings(const std::string& file);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SETTINGS_SETTINGS_H_
