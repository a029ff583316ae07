// Settings of one process: addresses, failure domain, platform, limits and logs. Read once at
// startup. docs/SETTINGS.md lists every key.

#ifndef COWSLIPHILL_SETTINGS_SETTINGS_H_
#define COWSLIPHILL_SETTINGS_SETTINGS_H_

#include <chrono>
#include <limits>
#include <string>
#include <vector>

#include "src/base/ids.h"
#include "src/base/result.h"
#include "src/base/toml_reader.h"

namespace cowsliphill {

enum class PlatformKind {
  kMemory,  // Inside the process; all data is lost when the process ends.
  kHttp,    // The platform's services over HTTP.
  kStore,   // Store with the manifest and the list of backend servers (see platform/).
};

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Connections of callers.
struct EdgeSettings {
  Endpoint listen{"127.0.0.1", 8080};  // Address on which callers' connections are accepted.
  Endpoint advertise;                  // Address that lookups return; default: `listen`.
  uint32_t max_connections = 4096;     // Limit on open connections.
  uint32_t max_header_bytes = 16384;   // Limit on the first line and headers of a message together.
  uint32_t buffer_bytes = 65536;       // Request bodies up to this size are buffered, so that they
                                       // can be sent again.
  // Limit on the wait for a request head and on each write to a caller.
  std::chrono::milliseconds idle_timeout{60000};
};

// Connections between entry VMs.
struct PeerSettings {
  Endpoint listen{"127.0.0.1", 8081};  // Address on which entry VMs' connections are accepted.
  Endpoint advertise;                  // Address reported to other entry VMs; default: `listen`.
  std::string key;              // Secret shared by all entry VMs; required unless `listen` is a
                                // loopback address.
  std::vector<Endpoint> seeds;  // Addresses of entry VMs that are contacted first; the platform's
                                // VM list adds further ones.
};

struct AdminToken {
  std::string token;                // Bearer token, at least 16 characters.
  TeamId team;                      // Team recorded as the author of changes made with the token.
  std::vector<ServiceId> services;  // Services that the token may change; empty: all.
};

struct AdminSettings {
  Endpoint listen{"127.0.0.1", 8082};  // Address of the administration API; must be loopback
                                       // if there are no tokens.
  std::vector<AdminToken> tokens;
};

struct PlatformSettings {
  PlatformKind kind = PlatformKind::kMemory;
  // Address of the platform's HTTP services or, with kind "store", of the store.
  Endpoint endpoint;
  std::chrono::milliseconds timeout{1000};  // Limit on each call.
  uint32_t connections = 4;     // Connections to the platform, each with one call at a time.
  uint32_t queue_limit = 1024;  // Limit on calls waiting for a connection; further calls fail.
  // Interval between reads of the manifest's head row.
  std::chrono::milliseconds poll_interval{500};
  // The settings below apply to kind "store" only.
  Endpoint lookup_listen;     // Address of the server for callers' lookups.
  Endpoint readiness_listen;  // Address of the readiness probe of this entry VM.
  Endpoint metrics_listen;    // Address that serves /metrics; port 0: not served.
  // At startup, how long an entry VM that is not a seed asks other entry VMs for the manifest and
  // the list of backend servers before it reads the store.
  std::chrono::milliseconds startup_peer_timeout{40};
  // The same while no other entry VM has given a sign of life: the seeds may be down or start
  // later.
  std::chrono::milliseconds startup_silent_timeout{40};
};

// Retry budget: limit on extra attempts (retries and hedges) by all entry VMs together.
struct RetrySettings {
  double ratio = 0.2;  // Extra attempts allowed per request, in any window.
  double slack = 10;   // Extra attempts allowed in addition to `ratio`, in any window.
  // Time over which requests and extra attempts are counted.
  std::chrono::milliseconds window{10000};
};

// Hedges: second, concurrent attempts of requests that may be repeated. The retry budget limits
// them too.
struct HedgingSettings {
  bool enabled = true;
  double max_share = 1.0;  // Hedges per request, of each service and in any RetrySettings::window.
  uint32_t rank_limit = std::numeric_limits<uint32_t>::max();  // Least urgent rank that is hedged.
  // A hedge starts when the first attempt has taken longer than this share of the service's answers
  // of the last seconds, relative to their expected latency. 0: at fixed multiples of the expected
  // latency, see RequestPlanner.
  double quantile = 0.0;
};

// Bounds on the requests of a workspace that all entry VMs together send in any window:
// (rate x window + burst) x (1 + overrun) + slack. The limits themselves are in the manifest.
struct WorkspaceLimitSettings {
  std::chrono::milliseconds window{5000};
  double overrun = 0.1;
  double slack = 20;  // Requests.
};

// Connections to backend servers.
struct BackendSettings {
  std::string source;  // IP address that connections are opened from; empty: the operating system
                       // chooses.
  std::chrono::milliseconds connect_timeout{250};  // Limit on establishing a connection.
  // An idle connection may carry non-idempotent work only if it last received data, or was opened,
  // within this time.
  std::chrono::milliseconds proven_alive{1000};
  std::chrono::milliseconds idle_timeout{30000};  // Idle connections are closed after this time.
  // Longest wait for further bytes of a started response.
  std::chrono::milliseconds silence_timeout{10000};
  uint32_t connections_per_class = 64;  // Limit per backend server and request class.
};

struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  uint32_t queue_entries = 8192;  // Limit on lines waiting for the writer; further lines are
                                  // dropped and counted.
};

struct Settings {
  FailureDomainId failure_domain;  // Failure domain of this VM; required.
  RegionId region;            // Region of that failure domain; default: the failure domain's name.
  double capacity = 1.0;      // Processor share of this VM, in cores. Duties for other entry VMs
                              // go to those that have most.
  std::string manifest_file;  // Path of the initial manifest; only with platform kind "memory".
  std::chrono::milliseconds stop_timeout{3600000};  // Limit on the duration of a graceful stop.
  EdgeSettings edge;
  PeerSettings peer;
  AdminSettings admin;
  PlatformSettings platform;
  BackendSettings backend;
  RetrySettings retries;
  HedgingSettings hedging;
  WorkspaceLimitSettings workspace_limits;
  LogSettings log;
};

using SettingsResult = Result<Settings, std::vector<Issue>>;

// Parses settings in TOML. `file` is the name used in issues.
SettingsResult ParseSettings(const std::string& text, const std::string& file);

// Reads and parses the file. Returns an Issue if the file can't be opened.
SettingsResult LoadSettings(const std::string& file);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SETTINGS_SETTINGS_H_
