#include "src/settings/settings.h"

#include <fstream>
#include <iterator>
#include <limits>
#include <set>
#include <utility>

namespace cowsliphill {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinTimeout{1};
constexpr milliseconds kMaxTimeout{86400000};
constexpr size_t kMinTokenLength = 16;
constexpr int64_t kMaxCount = 1000000;
// Above it the sketch of latencies would be mostly noise.
constexpr double kMaxHedgingQuantile = 0.999;
constexpr double kMinCapacity = 0.001;  // In cores.
constexpr double kMaxCapacity = 60;

bool IsLoopback(const Endpoint& endpoint) {
  return endpoint.ip.rfind("127.", 0) == 0 || endpoint.ip == "::1";
}

Endpoint ReadEndpoint(TomlReader& reader, const std::string& key, const Endpoint& fallback) {
  if (!reader.Has(key)) {
    reader.Text(key, "");
    return fallback;
  }
  const std::string text = reader.Text(key, "");
  const PortZero port_zero = key == "listen" ? PortZero::kAllowed : PortZero::kRejected;
  const std::optional<Endpoint> endpoint = ParseEndpoint(text, port_zero);
  if (endpoint) return *endpoint;
  reader.Reject(key, "\"" + text + "\"", "IP-NUMBER:PORT, for example 10.0.0.5:8080");
  return fallback;
}

// The address with some port, as ParseEndpoint takes it.
std::string FormatWithPort(const std::string& ip) { return Endpoint{ip, 1}.ToString(); }

uint32_t ReadCount(TomlReader& reader, const std::string& key, uint32_t fallback) {
  return static_cast<uint32_t>(reader.Integer(key, fallback, 1, kMaxCount));
}

milliseconds ReadTimeout(TomlReader& reader, const std::string& key, milliseconds fallback) {
  return reader.Milliseconds(key, fallback, kMinTimeout, kMaxTimeout);
}

EdgeSettings ReadEdge(TomlReader reader) {
  EdgeSettings edge;
  edge.listen = ReadEndpoint(reader, "listen", edge.listen);
  edge.advertise = ReadEndpoint(reader, "advertise", edge.listen);
  edge.max_connections = ReadCount(reader, "max_connections", edge.max_connections);
  edge.max_header_bytes =
      static_cast<uint32_t>(reader.Integer("max_header_bytes", edge.max_header_bytes, 512, 65536));
  edge.buffer_bytes =
      static_cast<uint32_t>(reader.Integer("buffer_bytes", edge.buffer_bytes, 4096, 1 << 20));
  edge.idle_timeout = ReadTimeout(reader, "idle_timeout_ms", edge.idle_timeout);
  reader.RejectUnknownKeys();
  return edge;
}

PeerSettings ReadPeer(TomlReader reader) {
  PeerSettings peer;
  peer.listen = ReadEndpoint(reader, "listen", peer.listen);
  peer.advertise = ReadEndpoint(reader, "advertise", peer.listen);
  peer.key = reader.Text("key", "");
  for (const std::string& text : reader.Texts("seeds", {})) {
    const std::optional<Endpoint> seed = ParseEndpoint(text);
    if (seed) {
      peer.seeds.push_back(*seed);
    } else {
      reader.Reject("seeds", "\"" + text + "\"", "IP-NUMBER:PORT");
    }
  }
  if (!IsLoopback(peer.listen) && peer.key.size() < kMinTokenLength) {
    reader.Reject("key", std::to_string(peer.key.size()) + " characters",
                  "at least 16 characters unless peer.listen is a loopback address");
  }
  reader.RejectUnknownKeys();
  return peer;
}

AdminSettings ReadAdmin(TomlReader reader) {
  AdminSettings admin;
  admin.listen = ReadEndpoint(reader, "listen", admin.listen);
  std::set<std::string> seen;
  for (TomlReader& item : reader.Tables("tokens")) {
    AdminToken token;
    token.token = item.RequiredText("token");
    token.team = TeamId(item.RequiredText("team"));
    for (std::string& name : item.Texts("services", {})) {
      token.services.emplace_back(std::move(name));
    }
    if (!token.token.empty() && token.token.size() < kMinTokenLength) {
      item.Reject("token", std::to_string(token.token.size()) + " characters",
                  "at least 16 characters");
    }
    if (!seen.insert(token.token).second) {
      item.Reject("token", "a duplicate token", "a distinct token for each entry");
    }
    item.RejectUnknownKeys();
    admin.tokens.push_back(std::move(token));
  }
  if (!IsLoopback(admin.listen) && admin.tokens.empty()) {
    reader.Reject("listen", admin.listen.ToString(),
                  "a loopback address, or any address once [[admin.tokens]] has an entry");
  }
  reader.RejectUnknownKeys();
  return admin;
}

PlatformSettings ReadPlatform(TomlReader reader) {
  PlatformSettings platform;
  platform.kind =
      static_cast<PlatformKind>(reader.ChoiceIndex("kind", 0, {"memory", "http", "store"}));
  platform.endpoint = ReadEndpoint(reader, "endpoint", platform.endpoint);
  if (platform.kind != PlatformKind::kMemory && platform.endpoint.port == 0) {
    reader.Reject("endpoint", "nothing", "IP-NUMBER:PORT; required unless kind is \"memory\"");
  }
  platform.lookup_listen = ReadEndpoint(reader, "lookup_listen", platform.lookup_listen);
  platform.readiness_listen = ReadEndpoint(reader, "readiness_listen", platform.readiness_listen);
  platform.metrics_listen = ReadEndpoint(reader, "metrics_listen", platform.metrics_listen);
  const bool listens = platform.lookup_listen.port != 0 && platform.readiness_listen.port != 0;
  if (platform.kind == PlatformKind::kStore && !listens) {
    reader.Reject("lookup_listen", "nothing",
                  "IP-NUMBER:PORT; lookup_listen and readiness_listen are required with kind = "
                  "\"store\"");
  }
  platform.startup_peer_timeout =
      ReadTimeout(reader, "peer_patience_ms", platform.startup_peer_timeout);
  platform.startup_silent_timeout =
      ReadTimeout(reader, "silent_patience_ms", platform.startup_silent_timeout);
  platform.timeout = ReadTimeout(reader, "timeout_ms", platform.timeout);
  platform.connections =
      static_cast<uint32_t>(reader.Integer("connections", platform.connections, 1, 64));
  platform.queue_limit = ReadCount(reader, "queue_limit", platform.queue_limit);
  platform.poll_interval = ReadTimeout(reader, "poll_interval_ms", platform.poll_interval);
  reader.RejectUnknownKeys();
  return platform;
}

BackendSettings ReadBackend(TomlReader reader) {
  BackendSettings backend;
  backend.source = reader.Text("source", "");
  if (!backend.source.empty() && !ParseEndpoint(FormatWithPort(backend.source))) {
    reader.Reject("source", "\"" + backend.source + "\"", "IP-NUMBER, for example 10.0.0.5");
  }
  backend.connect_timeout = ReadTimeout(reader, "connect_timeout_ms", backend.connect_timeout);
  backend.proven_alive = ReadTimeout(reader, "proven_alive_ms", backend.proven_alive);
  backend.idle_timeout = ReadTimeout(reader, "idle_timeout_ms", backend.idle_timeout);
  backend.silence_timeout = ReadTimeout(reader, "silence_timeout_ms", backend.silence_timeout);
  backend.connections_per_class =
      ReadCount(reader, "connections_per_class", backend.connections_per_class);
  reader.RejectUnknownKeys();
  return backend;
}

RetrySettings ReadRetries(TomlReader reader) {
  RetrySettings retries;
  retries.ratio = reader.Number("ratio", retries.ratio, 0.0, 1.0);
  retries.slack = reader.Number("slack", retries.slack, 0.0, kMaxCount);
  retries.window = ReadTimeout(reader, "window_ms", retries.window);
  reader.RejectUnknownKeys();
  return retries;
}

HedgingSettings ReadHedging(TomlReader reader) {
  HedgingSettings hedging;
  hedging.enabled = reader.Boolean("enabled", hedging.enabled);
  hedging.max_share = reader.Number("max_share", hedging.max_share, 0.0, 1.0);
  hedging.rank_limit = static_cast<uint32_t>(
      reader.Number("rank_limit", hedging.rank_limit, 0.0, std::numeric_limits<uint32_t>::max()));
  hedging.quantile = reader.Number("quantile", hedging.quantile, 0.0, kMaxHedgingQuantile);
  reader.RejectUnknownKeys();
  return hedging;
}

WorkspaceLimitSettings ReadWorkspaceLimits(TomlReader reader) {
  WorkspaceLimitSettings limits;
  limits.window = ReadTimeout(reader, "window_ms", limits.window);
  limits.overrun = reader.Number("overrun", limits.overrun, 0.0, 10.0);
  limits.slack = reader.Number("slack", limits.slack, 0.0, kMaxCount);
  reader.RejectUnknownKeys();
  return limits;
}

LogSettings ReadLog(TomlReader reader) {
  LogSettings log;
  log.level =
      static_cast<LogLevel>(reader.ChoiceIndex("level", 1, {"debug", "info", "warning", "error"}));
  log.queue_entries = ReadCount(reader, "queue_entries", log.queue_entries);
  reader.RejectUnknownKeys();
  return log;
}

}  // namespace

SettingsResult ParseSettings(const std::string& text, const std::string& file) {
  TomlDocument document = TomlDocument::Parse(text, file);
  if (!document.Issues().empty()) return document.Issues();
  TomlReader root = document.Root();
  Settings settings;
  settings.failure_domain = FailureDomainId(root.RequiredText("place"));
  settings.region = RegionId(root.Text("region", settings.failure_domain.Text()));
  settings.capacity = root.Number("capacity", settings.capacity, kMinCapacity, kMaxCapacity);
  settings.manifest_file = root.Text("manifest_file", "");
  settings.stop_timeout = ReadTimeout(root, "stop_timeout_ms", settings.stop_timeout);
  settings.edge = ReadEdge(root.Table("edge"));
  settings.peer = ReadPeer(root.Table("peer"));
  settings.admin = ReadAdmin(root.Table("admin"));
  settings.platform = ReadPlatform(root.Table("platform"));
  settings.backend = ReadBackend(root.Table("backend"));
  settings.retries = ReadRetries(root.Table("retries"));
  settings.hedging = ReadHedging(root.Table("hedging"));
  settings.workspace_limits = ReadWorkspaceLimits(root.Table("workspace_limits"));
  settings.log = ReadLog(root.Table("log"));
  if (!settings.manifest_file.empty() && settings.platform.kind != PlatformKind::kMemory) {
    root.Reject("manifest_file", "\"" + settings.manifest_file + "\"",
                "only with platform kind \"memory\"; else use `cowsliphill manifest submit`");
  }
  root.RejectUnknownKeys();
  if (!document.Issues().empty()) return document.Issues();
  return settings;
}

SettingsResult LoadSettings(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    return std::vector<Issue>{
        {file, 0, "", "a file that can't be opened", "a readable settings file in TOML"}};
  }
  const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  return ParseSettings(text, file);
}

}  // namespace cowsliphill
