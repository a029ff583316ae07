#include "src/manifest/manifest_codec.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "src/base/msgpack.h"

namespace cowsliphill {

namespace {

using nlohmann::json;

constexpr int kFormatVersion = 1;
constexpr size_t kDigestBytes = 16;  // Digests are truncated SHA-256 hashes.

// ToJson() and FromJson() have one overload for each type of value in a message.

template <typename Tag>
json ToJson(const StringId<Tag>& id) {
  return id.Text();
}
json ToJson(const std::string& text) { return text; }
json ToJson(bool value) { return value; }
json ToJson(double value) { return value; }
json ToJson(uint32_t value) { return value; }
json ToJson(uint64_t value) { return value; }
json ToJson(std::chrono::milliseconds time) { return time.count(); }
json ToJson(WallTime time) { return time.time_since_epoch().count(); }
json ToJson(RequestClass value) { return static_cast<uint32_t>(value); }
json ToJson(ReportFormat value) { return static_cast<uint32_t>(value); }
json ToJson(BackendState value) { return static_cast<uint32_t>(value); }
json ToJson(const Endpoint& endpoint) { return json::array({endpoint.ip, endpoint.port}); }
json ToJson(const BinaryBlob& bytes) {
  return json::binary(std::vector<uint8_t>(bytes.data.begin(), bytes.data.end()));
}
json ToJson(const KeyDigest& digest) {
  return json::binary(std::vector<uint8_t>(digest.begin(), digest.end()));
}
json ToJson(const RevisionRef& ref) { return json::array({ref.revision, ref.digest}); }

// Structs are encoded as maps of their members; see VisitMembers().
json ToJson(const FailureDomain& it);
json ToJson(const Team& it);
json ToJson(const Service& it);
json ToJson(const BackendServer& it);
json ToJson(const EntryRules& it);
json ToJson(const WeightedService& it);
json ToJson(const Route& it);
json ToJson(const Workspace& it);
json ToJson(const ManifestChange& it);
json ToJson(const ManifestHead& it);
json ToJson(const HistoryEntry& it);
json ToJson(const RevisionStatus& it);
json ToJson(const FetchRequest& it);
json ToJson(const FetchReply& it);
json ToJson(const SubmissionRow& it);
json ToJson(const Manifest& it);

template <typename T>
json ToJson(const std::optional<T>& value) {
  return value ? ToJson(*value) : json();
}

template <typename Item>
json ToJson(const ListChange<Item>& change) {
  json out = json::object();
  json removed = json::array();
  json set = json::array();
  for (const auto& id : change.removed) removed.push_back(ToJson(id));
  for (const Item& item : change.set) set.push_back(ToJson(item));
  if (!removed.empty()) out["removed"] = std::move(removed);
  if (!set.empty()) out["set"] = std::move(set);
  return out;
}

template <typename Item>
json ToJson(const std::vector<Item>& items) {
  json list = json::array();
  for (const Item& item : items) list.push_back(ToJson(item));
  return list;
}

template <typename Tag>
void FromJson(const json& in, StringId<Tag>& id) {
  id = StringId<Tag>(in.get<std::string>());
}
void FromJson(const json& in, std::string& text) { text = in.get<std::string>(); }
void FromJson(const json& in, bool& value) { value = in.get<bool>(); }
void FromJson(const json& in, double& value) { value = in.get<double>(); }

template <typename Unsigned>
void ReadUnsigned(const json& in, Unsigned& value) {
  if (!in.is_number_unsigned() || in.get<uint64_t>() > std::numeric_limits<Unsigned>::max()) {
    throw std::out_of_range("the number is negative or out of range");
  }
  value = in.get<Unsigned>();
}
void FromJson(const json& in, uint16_t& value) { ReadUnsigned(in, value); }
void FromJson(const json& in, uint32_t& value) { ReadUnsigned(in, value); }
void FromJson(const json& in, uint64_t& value) { ReadUnsigned(in, value); }
void FromJson(const json& in, std::chrono::milliseconds& time) {
  time = std::chrono::milliseconds(in.get<int64_t>());
}
void FromJson(const json& in, WallTime& time) {
  time = WallTime(std::chrono::milliseconds(in.get<int64_t>()));
}

template <typename Enum>
void ReadEnum(const json& in, Enum last, Enum& value) {
  uint32_t number = 0;
  FromJson(in, number);
  if (number > static_cast<uint32_t>(last)) throw std::out_of_range("the enum value is unknown");
  value = static_cast<Enum>(number);
}
void FromJson(const json& in, RequestClass& value) { ReadEnum(in, RequestClass::kBulk, value); }
void FromJson(const json& in, ReportFormat& value) {
  ReadEnum(in, ReportFormat::kBackendHeaders, value);
}
void FromJson(const json& in, BackendState& value) { ReadEnum(in, BackendState::kLeaving, value); }
void FromJson(const json& in, Endpoint& endpoint) {
  FromJson(in.at(0), endpoint.ip);
  FromJson(in.at(1), endpoint.port);
}
void FromJson(const json& in, BinaryBlob& bytes) {
  const json::binary_t& binary = in.get_binary();
  bytes.data.assign(binary.begin(), binary.end());
}
void FromJson(const json& in, KeyDigest& digest) {
  const json::binary_t& binary = in.get_binary();
  if (binary.size() != digest.size()) throw std::out_of_range("the digest has another size");
  std::copy(binary.begin(), binary.end(), digest.begin());
}
void FromJson(const json& in, RevisionRef& ref) {
  FromJson(in.at(0), ref.revision);
  FromJson(in.at(1), ref.digest);
}

void FromJson(const json& in, FailureDomain& it);
void FromJson(const json& in, Team& it);
void FromJson(const json& in, Service& it);
void FromJson(const json& in, BackendServer& it);
void FromJson(const json& in, EntryRules& it);
void FromJson(const json& in, WeightedService& it);
void FromJson(const json& in, Route& it);
void FromJson(const json& in, Workspace& it);
void FromJson(const json& in, ManifestChange& it);
void FromJson(const json& in, ManifestHead& it);
void FromJson(const json& in, HistoryEntry& it);
void FromJson(const json& in, RevisionStatus& it);
void FromJson(const json& in, FetchRequest& it);
void FromJson(const json& in, FetchReply& it);
void FromJson(const json& in, SubmissionRow& it);
void FromJson(const json& in, Manifest& it);

template <typename Item>
void FromJson(const json& in, std::vector<Item>& items) {
  if (!in.is_array()) throw std::invalid_argument("the value is not an array");
  items.clear();
  items.reserve(in.size());
  for (const json& item : in) FromJson(item, items.emplace_back());
}

template <typename T>
void FromJson(const json& in, std::optional<T>& value) {
  FromJson(in, value.emplace());
}

template <typename Item>
void FromJson(const json& in, ListChange<Item>& change) {
  if (in.contains("removed")) FromJson(in.at("removed"), change.removed);
  if (in.contains("set")) FromJson(in.at("set"), change.set);
}

// Visitors for VisitMembers(). WriteMembers leaves out members that equal their default;
// ReadMembers doesn't change members whose key is missing.
struct WriteMembers {
  json& out;
  template <typename Value>
  void operator()(const char* key, const Value& value, const Value& fallback) {
    if (!(value == fallback)) out[key] = ToJson(value);
  }
};
struct ReadMembers {
  const json& in;
  template <typename Value>
  void operator()(const char* key, Value& value, const Value& fallback) {
    const auto it = in.find(key);
    if (it != in.end()) FromJson(*it, value);
  }
};

// Calls `visit` for each member of `it` with its key and its default from `d`. The keys are part of
// the format in which data is sent and stored: never reuse one.
template <typename Visit, typename T>
void VisitMembers(Visit visit, T& it, const FailureDomain& d) {
  visit("id", it.id, d.id);
  visit("region", it.region, d.region);
}

template <typename Visit, typename T>
void VisitMembers(Visit visit, T& it, const Team& d) {
  visit("id", it.id, d.id);
  visit("services", it.services, d.services);
}

template <typename Visit, typename T>
void VisitMembers(Visit visit, T& it, const Service& d) {
  visit("id", it.id, d.id);
  visit("owner", it.owner, d.owner);
  visit("class", it.default_class, d.default_class);
  visit("emergency", it.emergency_tenants, d.emergency_tenants);
  visit("idempotent", it.idempotent_methods, d.idempotent_methods);
  visit("require_key", it.require_key, d.require_key);
  visit("deadline", it.default_deadline, d.default_deadline);
  visit("max_deadline", it.max_deadline, d.max_deadline);
  visit("first_byte", it.first_byte_timeout, d.first_byte_timeout);
  visit("probe_budget", it.probe_budget, d.probe_budget);
  visit("probe_path", it.probe_path, d.probe_path);
  visit("tail_weight", it.tail_weight, d.tail_weight);
  visit("retry_budget", it.retry_budget, d.retry_budget);
  visit("queue_limit", it.queue_limit, d.queue_limit);
  visit("report", it.report_format, d.report_format);
  visit("allow_empty", it.allow_empty, d.allow_empty);
  visit("warmup", it.warmup, d.warmup);
  visit("warmup_rate", it.warmup_rate, d.warmup_rate);
}

template <typename Visit, typename T>
void VisitMembers(Visit visit, T& it, const BackendServer& d) {
  visit("id", it.id, d.id);
  visit("service", it.service, d.service);
  visit("place", it.failure_domain, d.failure_domain);
  visit("endpoint", it.endpoint, d.endpoint);
  visit("state", it.state, d.state);
  visit("slots", it.slots, d.slots);
  visit("warmup", it.warmup, d.warmup);
  visit("started", it.started, d.started);
}

template <typename Visit, typename T>
void VisitMembers(Visit visit, T& it, const WeightedService& d) {
  visit("service", it.service, d.service);
  visit("weight", it.weight, d.weight);
}

template <typename Visit, typename T>
void VisitMembers(Visit visit, T& it, const Route& d) {
  visit("id", it.id, d.id);
  visit("host", it.host, d.host);
  visit("prefix", it.prefix, d.prefix);
  visit("repeatable", it.idempotent, d.idempotent);
  visit("bulk", it.bulk, d.bulk);
  visit("rank", it.rank, d.rank);
  visit("attempts", it.max_attempts, d.max_attempts);
  visit("timeout", it.timeout, d.timeout);
  visit("target", it.target_latency, d.target_latency);
  visit("services", it.services, d.services);
  visit("keyless", it.keyless, d.keyless);
}

template <typename Visit, typename T>
void VisitMembers(Visit visit, T& it, const Workspace& d) {
  visit("id", it.id, d.id);
  visit("keys", it.keys, d.keys);
  visit("priority", it.priority, d.priority);
  visit("rate", it.rate, d.rate);
  visit("burst", it.burst, d.burst);
}

template <typename Visit, typename T>
void VisitMembers(Visit visit, T& it, const EntryRules& d) {
  visit("max_requests", it.max_requests, d.max_requests);
  visit("lookup_lifetime", it.lookup_lifetime, d.lookup_lifetime);
  visit("max_body", it.max_body_bytes, d.max_body_bytes);
  visit("max_probe_rate", it.max_probe_rate, d.max_probe_rate);
}

template <typename Visit, typename T>
void VisitMembers(Visit visit, T& it, const ManifestHead& d) {
  visit("accepted", it.accepted, d.accepted);
  visit("snapshot", it.snapshot, d.snapshot);
  visit("submission", it.submission, d.submission);
  visit("author", it.author, d.author);
  visit("time", it.time, d.time);
}

template <typename Visit, typename T>
void VisitMembers(Visit visit, T& it, const RevisionStatus& d) {
  visit("id", it.sender, d.sender);
  visit("place", it.failure_domain, d.failure_domain);
  visit("in_force", it.in_force, d.in_force);
  visit("highest", it.highest_known, d.highest_known);
  visit("ready", it.ready, d.ready);
}

template <typename Visit, typename T>
void VisitMembers(Visit visit, T& it, const FetchRequest& d) {
  visit("since", it.since, d.since);
  visit("whole", it.whole, d.whole);
  visit("offset", it.offset, d.offset);
}

template <typename Visit, typename T>
void VisitMembers(Visit visit, T& it, const FetchReply& d) {
  visit("head", it.head, d.head);
  visit("entries", it.entries, d.entries);
  visit("whole_bytes", it.manifest_bytes, d.manifest_bytes);
  visit("part", it.part, d.part);
}

template <typename Visit, typename T>
void VisitMembers(Visit visit, T& it, const ManifestChange& d) {
  visit("places", it.failure_domains, d.failure_domains);
  visit("teams", it.teams, d.teams);
  visit("services", it.services, d.services);
  visit("servers", it.backend_servers, d.backend_servers);
  visit("entry", it.entry, d.entry);
}

template <typename Visit, typename T>
void VisitMembers(Visit visit, T& it, const HistoryEntry& d) {
  visit("head", it.head, d.head);
  visit("note", it.note, d.note);
  visit("change", it.change, d.change);
}

template <typename Visit, typename T>
void VisitMembers(Visit visit, T& it, const SubmissionRow& d) {
  visit("accepted", it.accepted, d.accepted);
  visit("content", it.content, d.content);
}

// Leaves out the revision, so that the digest depends on the content only.
template <typename Visit, typename T>
void VisitMembers(Visit visit, T& it, const Manifest& d) {
  visit("places", it.failure_domains, d.failure_domains);
  visit("teams", it.teams, d.teams);
  visit("services", it.services, d.services);
  visit("servers", it.backend_servers, d.backend_servers);
  visit("routes", it.routes, d.routes);
  visit("entry", it.entry, d.entry);
  visit("keys_required", it.keys_required, d.keys_required);
  visit("workspaces", it.workspaces, d.workspaces);
}

template <typename T>
json MembersToJson(const T& it) {
  json out = json::object();
  VisitMembers(WriteMembers{out}, it, T());
  return out;
}

template <typename T>
void MembersFromJson(const json& in, T& it) {
  if (!in.is_object()) throw std::invalid_argument("the value is not a map");
  VisitMembers(ReadMembers{in}, it, T());
}

json ToJson(const FailureDomain& it) { return MembersToJson(it); }
json ToJson(const Team& it) { return MembersToJson(it); }
json ToJson(const Service& it) { return MembersToJson(it); }
json ToJson(const BackendServer& it) { return MembersToJson(it); }
json ToJson(const EntryRules& it) { return MembersToJson(it); }
json ToJson(const WeightedService& it) { return MembersToJson(it); }
json ToJson(const Route& it) { return MembersToJson(it); }
json ToJson(const Workspace& it) { return MembersToJson(it); }
json ToJson(const ManifestChange& it) { return MembersToJson(it); }
json ToJson(const ManifestHead& it) { return MembersToJson(it); }
json ToJson(const HistoryEntry& it) { return MembersToJson(it); }
json ToJson(const RevisionStatus& it) { return MembersToJson(it); }
json ToJson(const FetchRequest& it) { return MembersToJson(it); }
json ToJson(const FetchReply& it) { return MembersToJson(it); }
json ToJson(const SubmissionRow& it) { return MembersToJson(it); }
json ToJson(const Manifest& it) { return MembersToJson(it); }

void FromJson(const json& in, FailureDomain& it) { MembersFromJson(in, it); }
void FromJson(const json& in, Team& it) { MembersFromJson(in, it); }
void FromJson(const json& in, Service& it) { MembersFromJson(in, it); }
void FromJson(const json& in, BackendServer& it) { MembersFromJson(in, it); }
void FromJson(const json& in, EntryRules& it) { MembersFromJson(in, it); }
void FromJson(const json& in, WeightedService& it) { MembersFromJson(in, it); }
void FromJson(const json& in, Route& it) { MembersFromJson(in, it); }
void FromJson(const json& in, Workspace& it) { MembersFromJson(in, it); }
void FromJson(const json& in, ManifestChange& it) { MembersFromJson(in, it); }
void FromJson(const json& in, ManifestHead& it) { MembersFromJson(in, it); }
void FromJson(const json& in, HistoryEntry& it) { MembersFromJson(in, it); }
void FromJson(const json& in, RevisionStatus& it) { MembersFromJson(in, it); }
void FromJson(const json& in, FetchRequest& it) { MembersFromJson(in, it); }
void FromJson(const json& in, FetchReply& it) { MembersFromJson(in, it); }
void FromJson(const json& in, SubmissionRow& it) { MembersFromJson(in, it); }
void FromJson(const json& in, Manifest& it) { MembersFromJson(in, it); }

template <typename T>
std::string Encode(const T& value) {
  json out = ToJson(value);
  out["v"] = kFormatVersion;
  std::string bytes;
  json::to_msgpack(out, bytes);
  return bytes;
}

template <typename T>
std::optional<T> Decode(const std::string& bytes) {
  if (!IsShallowMsgpack(bytes)) return std::nullopt;
  try {
    const json in = json::from_msgpack(bytes);
    if (!in.is_object() || in.value("v", 0) != kFormatVersion) return std::nullopt;
    T value;
    FromJson(in, value);
    return value;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string DigestOfBytes(const std::string& encoded_manifest) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> hash;
  EVP_Digest(encoded_manifest.data(), encoded_manifest.size(), hash.data(), nullptr, EVP_sha256(),
             nullptr);
  constexpr std::string_view hex_digits = "0123456789abcdef";
  std::string digest;
  for (size_t i = 0; i < kDigestBytes; ++i) {
    digest += hex_digits[hash[i] >> 4];
    digest += hex_digits[hash[i] & 0xf];
  }
  return digest;
}

std::string DigestOf(const Manifest& manifest) { return DigestOfBytes(EncodeManifest(manifest)); }

std::string EncodeManifest(const Manifest& manifest) { return Encode(manifest); }
std::optional<Manifest> DecodeManifest(const std::string& bytes) { return Decode<Manifest>(bytes); }

std::string EncodeChange(const ManifestChange& change) { return Encode(change); }
std::optional<ManifestChange> DecodeChange(const std::string& bytes) {
  return Decode<ManifestChange>(bytes);
}

std::string EncodeHead(const ManifestHead& head) { return Encode(head); }
std::optional<ManifestHead> DecodeHead(const std::string& bytes) {
  return Decode<ManifestHead>(bytes);
}

std::string EncodeHistoryEntry(const HistoryEntry& entry) { return Encode(entry); }
std::optional<HistoryEntry> DecodeHistoryEntry(const std::string& bytes) {
  return Decode<HistoryEntry>(bytes);
}

std::string EncodeSubmissionRow(const SubmissionRow& row) { return Encode(row); }
std::optional<SubmissionRow> DecodeSubmissionRow(const std::string& bytes) {
  return Decode<SubmissionRow>(bytes);
}

std::string EncodeRevisionStatus(const RevisionStatus& status) { return Encode(status); }
std::optional<RevisionStatus> DecodeRevisionStatus(const std::string& bytes) {
  return Decode<RevisionStatus>(bytes);
}

std::string EncodeFetchRequest(const FetchRequest& request) { return Encode(request); }
std::optional<FetchRequest> DecodeFetchRequest(const std::string& bytes) {
  return Decode<FetchRequest>(bytes);
}

std::string EncodeFetchReply(const FetchReply& reply) { return Encode(reply); }
std::optional<FetchReply> DecodeFetchReply(const std::string& bytes) {
  return Decode<FetchReply>(bytes);
}

}  // namespace cowsliphill
