#include "src/manifest/manifest_format.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace cowsliphill {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinTimeout{1};
constexpr milliseconds kMaxTimeout{86400000};
constexpr milliseconds kMinLookupLifetime{100};
constexpr milliseconds kMaxLookupLifetime{3600000};
constexpr size_t kMaxIdLength = 64;
constexpr size_t kMaxPathLength = 256;
constexpr int64_t kMaxSlots = 100000;
constexpr int64_t kMaxRequests = 1000000;
constexpr double kMaxServiceProbeRate = 1000;  // Probes per second to each backend server.
constexpr double kMaxProbeRate = 1000000;      // Probes per second of all services.

const std::vector<std::string> kClassNames = {"emergency", "routine", "bulk"};
const std::vector<std::string> kReportFormatNames = {"none", "endpoint-load", "backend-headers"};
const std::vector<std::string> kStateNames = {"active", "leaving"};

bool IsIdCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_' || c == '.';
}

bool IsId(const std::string& text) {
  return !text.empty() && text.size() <= kMaxIdLength &&
         std::all_of(text.begin(), text.end(), IsIdCharacter);
}

bool IsMethod(const std::string& text) {
  return !text.empty() && text.size() <= kMaxIdLength &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool IsPath(const std::string& text) {
  return !text.empty() && text.size() <= kMaxPathLength && text.front() == '/' &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < 0x7f && c != '"' && c != '\\'; });
}

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

// An item and the reader of its table, which reports issues that later checks find.
template <typename Item>
struct Located {
  Item item;
  TomlReader reader;
};

template <typename Item>
using LocatedList = std::vector<Located<Item>>;

std::string ReadId(TomlReader& reader, const std::string& key) {
  std::string id = reader.RequiredText(key);
  if (!id.empty() && !IsId(id)) {
    reader.Reject(key, Quoted(id), "1 to 64 letters, digits, '-', '_' and '.'");
  }
  return id;
}

template <typename Id>
std::vector<Id> ReadIds(TomlReader& reader, const std::string& key) {
  std::vector<Id> ids;
  for (std::string& text : reader.Texts(key, {})) {
    if (!IsId(text)) {
      reader.Reject(key, Quoted(text), "1 to 64 letters, digits, '-', '_' and '.'");
    }
    ids.emplace_back(std::move(text));
  }
  std::sort(ids.begin(), ids.end());
  const auto dup = std::adjacent_find(ids.begin(), ids.end());
  if (dup != ids.end()) reader.Reject(key, Quoted(dup->Text()) + " twice", "each id once");
  return ids;
}

FailureDomain ReadFailureDomain(TomlReader& reader) {
  FailureDomain failure_domain;
  failure_domain.id = FailureDomainId(ReadId(reader, "id"));
  failure_domain.region =
      RegionId(reader.Has("region") ? ReadId(reader, "region") : failure_domain.id.Text());
  return failure_domain;
}

Team ReadTeam(TomlReader& reader) {
  Team team;
  team.id = TeamId(ReadId(reader, "id"));
  team.services = ReadIds<ServiceId>(reader, "services");
  return team;
}

void ReadMethods(TomlReader& reader, Service& service) {
  service.idempotent_methods = reader.Texts("idempotent_methods", service.idempotent_methods);
  for (const std::string& method : service.idempotent_methods) {
    if (!IsMethod(method)) {
      reader.Reject("idempotent_methods", Quoted(method), "HTTP methods in capital letters");
    }
  }
}

void ReadDeadlines(TomlReader& reader, Service& service) {
  service.default_deadline = reader.Milliseconds("default_deadline_ms", service.default_deadline,
                                                 kMinTimeout, kMaxTimeout);
  service.max_deadline =
      reader.Milliseconds("max_deadline_ms", service.max_deadline, kMinTimeout, kMaxTimeout);
  service.first_byte_timeout = reader.Milliseconds(
      "first_byte_timeout_ms", service.first_byte_timeout, kMinTimeout, kMaxTimeout);
  if (service.default_deadline > service.max_deadline) {
    reader.Reject("default_deadline_ms", std::to_string(service.default_deadline.count()),
                  "at most max_deadline_ms, " + std::to_string(service.max_deadline.count()));
  }
}

void ReadProbeRules(TomlReader& reader, Service& service) {
  service.probe_budget =
      reader.Number("probe_budget_per_second", service.probe_budget, 0, kMaxServiceProbeRate);
  service.probe_path = reader.Text("probe_path", service.probe_path);
  if (!IsPath(service.probe_path)) {
    reader.Reject("probe_path", Quoted(service.probe_path),
                  "a path that starts with '/', printable and without quotes or spaces");
  }
  service.report_format = static_cast<ReportFormat>(reader.ChoiceIndex(
      "report_format", static_cast<size_t>(service.report_format), kReportFormatNames));
}

Service ReadService(TomlReader& reader) {
  Service service;
  service.id = ServiceId(ReadId(reader, "id"));
  if (reader.Has("owner")) service.owner = TeamId(ReadId(reader, "owner"));
  service.default_class = static_cast<RequestClass>(
      reader.ChoiceIndex("default_class", static_cast<size_t>(service.default_class), kClassNames));
  service.emergency_tenants = ReadIds<TenantId>(reader, "emergency_tenants");
  ReadMethods(reader, service);
  service.require_key = reader.Boolean("require_key", service.require_key);
  ReadDeadlines(reader, service);
  ReadProbeRules(reader, service);
  service.tail_weight = reader.Number("tail_weight", service.tail_weight, 0, 1);
  service.retry_budget = reader.Number("retry_budget", service.retry_budget, 0, 1);
  service.queue_limit =
      static_cast<uint32_t>(reader.Integer("queue_limit", service.queue_limit, 0, kMaxRequests));
  service.allow_empty = reader.Boolean("allow_empty", service.allow_empty);
  return service;
}

BackendServer ReadBackendServer(TomlReader& reader) {
  BackendServer server;
  server.id = BackendServerId(ReadId(reader, "id"));
  server.service = ServiceId(ReadId(reader, "service"));
  server.failure_domain = FailureDomainId(ReadId(reader, "place"));
  const std::string address = reader.RequiredText("endpoint");
  const std::optional<Endpoint> endpoint = ParseEndpoint(address);
  if (endpoint) {
    server.endpoint = *endpoint;
  } else if (!address.empty()) {
    reader.Reject("endpoint", Quoted(address), "IP-NUMBER:PORT, for example 192.0.2.5:8080");
  }
  server.state = static_cast<BackendState>(reader.ChoiceIndex("state", 0, kStateNames));
  server.slots = static_cast<uint32_t>(reader.Integer("slots", server.slots, 1, kMaxSlots));
  return server;
}

EntryRules ReadEntryRules(TomlReader reader) {
  EntryRules rules;
  rules.max_requests =
      static_cast<uint32_t>(reader.Integer("max_requests", rules.max_requests, 1, kMaxRequests));
  rules.lookup_lifetime = reader.Milliseconds("lookup_lifetime_ms", rules.lookup_lifetime,
                                              kMinLookupLifetime, kMaxLookupLifetime);
  rules.max_probe_rate =
      reader.Number("max_probes_per_second", rules.max_probe_rate, 0, kMaxProbeRate);
  reader.RejectUnknownKeys();
  return rules;
}

// Reads each table under `key`, rejects duplicate ids and sorts the items by id.
template <typename Item>
LocatedList<Item> ReadList(TomlReader& root, const std::string& key,
                           Item (*read)(TomlReader& reader)) {
  LocatedList<Item> list;
  std::set<std::string> seen;
  for (TomlReader& reader : root.Tables(key)) {
    Item item = read(reader);
    reader.RejectUnknownKeys();
    const std::string& id = item.id.Text();
    if (!seen.insert(id).second) reader.Reject("id", Quoted(id) + " twice", "a unique id");
    list.push_back({std::move(item), reader});
  }
  std::stable_sort(list.begin(), list.end(), [](const Located<Item>& a, const Located<Item>& b) {
    return a.item.id < b.item.id;
  });
  return list;
}

template <typename Item>
auto IdsOf(const LocatedList<Item>& list) {
  std::set<decltype(Item::id)> ids;
  for (const Located<Item>& it : list) ids.insert(it.item.id);
  return ids;
}

template <typename Id>
void CheckReference(TomlReader& reader, const std::string& key, const Id& id,
                    const std::set<Id>& known) {
  if (known.count(id) == 0) {
    reader.Reject(key, Quoted(id.Text()), "the id of a [[" + key + "]] of this manifest");
  }
}

// The tables of one document before the checks that span several tables.
struct ParsedTables {
  LocatedList<FailureDomain> failure_domains;
  LocatedList<Team> teams;
  LocatedList<Service> services;
  LocatedList<BackendServer> servers;
  EntryRules entry;
};

void CheckTeams(ParsedTables& tables) {
  const std::set<ServiceId> services = IdsOf(tables.services);
  for (Located<Team>& it : tables.teams) {
    for (const ServiceId& service : it.item.services) {
      if (services.count(service) > 0) continue;
      it.reader.Reject("services", Quoted(service.Text()),
                       "ids of [[service]] tables of this manifest");
    }
  }
}

void CheckServers(ParsedTables& tables) {
  const std::set<ServiceId> services = IdsOf(tables.services);
  const std::set<FailureDomainId> failure_domains = IdsOf(tables.failure_domains);
  std::set<std::pair<ServiceId, Endpoint>> endpoints;
  for (Located<BackendServer>& it : tables.servers) {
    CheckReference(it.reader, "service", it.item.service, services);
    CheckReference(it.reader, "place", it.item.failure_domain, failure_domains);
    if (!endpoints.emplace(it.item.service, it.item.endpoint).second) {
      it.reader.Reject("endpoint", Quoted(it.item.endpoint.ToString()) + " twice in this service",
                       "each endpoint at most once in a service");
    }
  }
}

void CheckServices(ParsedTables& tables) {
  const std::set<TeamId> teams = IdsOf(tables.teams);
  std::map<ServiceId, size_t> active;
  for (const Located<BackendServer>& it : tables.servers) {
    if (it.item.state == BackendState::kActive) ++active[it.item.service];
  }
  for (Located<Service>& it : tables.services) {
    const Service& service = it.item;
    if (!service.owner.Empty() && teams.count(service.owner) == 0) {
      it.reader.Reject("owner", Quoted(service.owner.Text()),
                       "the id of a [[team]] of this manifest");
    }
    if (active[service.id] == 0 && !service.allow_empty) {
      it.reader.Reject("id", Quoted(service.id.Text()) + " without an active backend server",
                       "at least one active [[backend_server]], or allow_empty = true");
    }
    if (service.queue_limit > tables.entry.max_requests) {
      it.reader.Reject("queue_limit", std::to_string(service.queue_limit),
                       "at most entry.max_requests, " + std::to_string(tables.entry.max_requests));
    }
  }
}

std::string NumberText(double value) {
  std::array<char, 32> buf;
  const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), value);
  return {buf.data(), end};
}

void CheckProbeBudgets(ParsedTables& tables, TomlReader& root) {
  std::map<ServiceId, double> budgets;
  for (const Located<Service>& it : tables.services) budgets[it.item.id] = it.item.probe_budget;
  double total = 0;
  for (const Located<BackendServer>& it : tables.servers) total += budgets[it.item.service];
  if (total <= tables.entry.max_probe_rate) return;
  root.Reject("entry", "probe budgets that sum to " + NumberText(total) + " per second",
              "at most entry.max_probes_per_second, " + NumberText(tables.entry.max_probe_rate));
}

template <typename Item>
std::vector<Item> ItemsOf(LocatedList<Item>& list) {
  std::vector<Item> items;
  items.reserve(list.size());
  for (Located<Item>& it : list) items.push_back(std::move(it.item));
  return items;
}

// Writes one TOML table: a heading and lines of the form "key = value".
class TableWriter {
 public:
  explicit TableWriter(std::string& out) : out_(out) {}

  void Heading(std::string_view heading) {
    out_.append(out_.empty() ? "" : "\n").append(heading) += '\n';
  }
  void Text(std::string_view key, const std::string& text) { Line(key, Quoted(text)); }
  void Number(std::string_view key, double value) { Line(key, NumberText(value)); }
  void Integer(std::string_view key, int64_t value) { Line(key, std::to_string(value)); }
  void Time(std::string_view key, milliseconds time) { Integer(key, time.count()); }
  void Boolean(std::string_view key, bool value) { Line(key, value ? "true" : "false"); }
  void Texts(std::string_view key, const std::vector<std::string>& texts) {
    std::string joined;
    for (const std::string& text : texts) joined += (joined.empty() ? "" : ", ") + Quoted(text);
    Line(key, "[" + joined + "]");
  }
  template <typename Id>
  void Ids(std::string_view key, const std::vector<Id>& ids) {
    std::vector<std::string> texts;
    texts.reserve(ids.size());
    for (const Id& id : ids) texts.push_back(id.Text());
    Texts(key, texts);
  }

 private:
  void Line(std::string_view key, std::string_view value) {
    out_.append(key).append(" = ").append(value) += '\n';
  }

  std::string& out_;
};

void Write(TableWriter& writer, const EntryRules& rules) {
  writer.Heading("[entry]");
  writer.Integer("max_requests", rules.max_requests);
  writer.Time("lookup_lifetime_ms", rules.lookup_lifetime);
  writer.Number("max_probes_per_second", rules.max_probe_rate);
}

void Write(TableWriter& writer, const FailureDomain& failure_domain) {
  writer.Heading("[[place]]");
  writer.Text("id", failure_domain.id.Text());
  writer.Text("region", failure_domain.region.Text());
}

void Write(TableWriter& writer, const Team& team) {
  writer.Heading("[[team]]");
  writer.Text("id", team.id.Text());
  writer.Ids("services", team.services);
}

void Write(TableWriter& writer, const Service& service) {
  writer.Heading("[[service]]");
  writer.Text("id", service.id.Text());
  if (!service.owner.Empty()) writer.Text("owner", service.owner.Text());
  writer.Text("default_class", kClassNames[static_cast<size_t>(service.default_class)]);
  writer.Ids("emergency_tenants", service.emergency_tenants);
  writer.Texts("idempotent_methods", service.idempotent_methods);
  writer.Boolean("require_key", service.require_key);
  writer.Time("default_deadline_ms", service.default_deadline);
  writer.Time("max_deadline_ms", service.max_deadline);
  writer.Time("first_byte_timeout_ms", service.first_byte_timeout);
  writer.Number("probe_budget_per_second", service.probe_budget);
  writer.Text("probe_path", service.probe_path);
  writer.Text("report_format", kReportFormatNames[static_cast<size_t>(service.report_format)]);
  writer.Number("tail_weight", service.tail_weight);
  writer.Number("retry_budget", service.retry_budget);
  writer.Integer("queue_limit", service.queue_limit);
  writer.Boolean("allow_empty", service.allow_empty);
}

void Write(TableWriter& writer, const BackendServer& server) {
  writer.Heading("[[backend_server]]");
  writer.Text("id", server.id.Text());
  writer.Text("service", server.service.Text());
  writer.Text("place", server.failure_domain.Text());
  writer.Text("endpoint", server.endpoint.ToString());
  writer.Text("state", kStateNames[static_cast<size_t>(server.state)]);
  writer.Integer("slots", server.slots);
}

}  // namespace

ManifestResult ParseManifest(const std::string& text, const std::string& file) {
  TomlDocument document = TomlDocument::Parse(text, file);
  if (!document.Issues().empty()) return document.Issues();
  TomlReader root = document.Root();
  ParsedTables tables;
  tables.failure_domains = ReadList<FailureDomain>(root, "place", ReadFailureDomain);
  tables.teams = ReadList<Team>(root, "team", ReadTeam);
  tables.services = ReadList<Service>(root, "service", ReadService);
  tables.servers = ReadList<BackendServer>(root, "backend_server", ReadBackendServer);
  tables.entry = ReadEntryRules(root.Table("entry"));
  root.RejectUnknownKeys();
  CheckTeams(tables);
  CheckServers(tables);
  CheckServices(tables);
  CheckProbeBudgets(tables, root);
  if (!document.Issues().empty()) return document.Issues();
  Manifest manifest;
  manifest.failure_domains = ItemsOf(tables.failure_domains);
  manifest.teams = ItemsOf(tables.teams);
  manifest.services = ItemsOf(tables.services);
  manifest.backend_servers = ItemsOf(tables.servers);
  manifest.entry = tables.entry;
  return manifest;
}

template <typename Item>
std::string FormatItem(const Item& item) {
  std::string out;
  TableWriter writer(out);
  Write(writer, item);
  return out;
}

template std::string FormatItem(const FailureDomain& item);
template std::string FormatItem(const Team& item);
template std::string FormatItem(const Service& item);
template std::string FormatItem(const BackendServer& item);
template std::string FormatItem(const EntryRules& item);

std::string FormatManifest(const Manifest& manifest) {
  std::string out;
  TableWriter writer(out);
  Write(writer, manifest.entry);
  for (const FailureDomain& domain : manifest.failure_domains) Write(writer, domain);
  for (const Team& team : manifest.teams) Write(writer, team);
  for (const Service& service : manifest.services) Write(writer, service);
  for (const BackendServer& server : manifest.backend_servers) Write(writer, server);
  return out;
}

}  // namespace cowsliphill
