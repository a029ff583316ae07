#include "src/forward/request_headers.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <utility>

#include "src/forward/http_format.h"
#include "xxhash.h"

namespace cowsliphill {

namespace {

using std::chrono::milliseconds;

constexpr size_t kMaxKeyLength = 200;     // Limit on an idempotency key, in characters.
constexpr size_t kMaxTenantLength = 64;   // Limit on a tenant's name, in characters.
constexpr int kMaxUrgency = 7;            // Least urgent value of RFC 9218.
constexpr int kDefaultUrgency = 3;        // Default of RFC 9218.
constexpr int kLastEmergencyUrgency = 1;  // u=0 and u=1 are emergencies.
constexpr int kLastRoutineUrgency = 4;    // u=2 to u=4 are routine, u=5 to u=7 bulk.
constexpr uint32_t kMaxDepth = 25;        // Limit on the calls above a request in the call tree.
constexpr size_t kMaxTimeoutDigits = 8;   // Limit of the gRPC protocol.

constexpr std::array<std::string_view, 8> kRewrittenRequestHeaders = {
    "host",     "x-request-id",       "grpc-timeout",      "cowsliphill-service",
    "priority", "cowsliphill-tenant", "cowsliphill-depth", "idempotency-key"};
constexpr std::array<std::string_view, 3> kRewrittenResponseHeaders = {
    "x-request-id", "cowsliphill-outcome", "proxy-status"};

template <size_t N>
bool IsAnyOf(std::string_view name, const std::array<std::string_view, N>& names) {
  return std::any_of(names.begin(), names.end(),
                     [name](std::string_view candidate) { return HeaderNameIs(name, candidate); });
}

bool IsIdCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.' ||
         c == ':';
}

bool IsValidId(const std::string& text, size_t max_length) {
  return !text.empty() && text.size() <= max_length &&
         std::all_of(text.begin(), text.end(), IsIdCharacter);
}

RequestId NewRequestId(RequestIdSource& ids) {
  std::array<char, 40> buf;
  const int n =
      std::snprintf(buf.data(), buf.size(), "%016" PRIx64 "-%" PRIx64, ids.prefix, ids.next++);
  return RequestId(std::string(buf.data(), static_cast<size_t>(n)));
}

// Parses digits and a unit as in the gRPC protocol: "250m" is 250 milliseconds.
std::optional<milliseconds> ParseTimeout(const std::string& text) {
  if (text.size() < 2 || text.size() > kMaxTimeoutDigits + 1) return std::nullopt;
  uint64_t n = 0;
  const char* unit = text.data() + text.size() - 1;
  const auto [rest, ec] = std::from_chars(text.data(), unit, n);
  if (ec != std::errc() || rest != unit) return std::nullopt;
  using std::chrono::duration_cast;
  switch (*unit) {
    case 'H':
      return duration_cast<milliseconds>(std::chrono::hours(n));
    case 'M':
      return duration_cast<milliseconds>(std::chrono::minutes(n));
    case 'S':
      return duration_cast<milliseconds>(std::chrono::seconds(n));
    case 'm':
      return milliseconds(n);
    case 'u':
      return duration_cast<milliseconds>(std::chrono::microseconds(n));
    case 'n':
      return duration_cast<milliseconds>(std::chrono::nanoseconds(n));
    default:
      return std::nullopt;
  }
}

// Returns the urgency of an RFC 9218 Priority header ("u=1, i"). Ignores malformed parameters, as
// the RFC requires.
int UrgencyOf(const std::string& priority) {
  const size_t at = priority.find("u=");
  if (at == std::string::npos || at + 2 >= priority.size()) return kDefaultUrgency;
  const int urgency = priority[at + 2] - '0';
  return urgency >= 0 && urgency <= kMaxUrgency ? urgency : kDefaultUrgency;
}

RequestClass ClassOf(int urgency) {
  if (urgency <= kLastEmergencyUrgency) return RequestClass::kEmergency;
  return urgency <= kLastRoutineUrgency ? RequestClass::kRoutine : RequestClass::kBulk;
}

std::string_view PriorityOf(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kEmergency:
      return "u=0";
    case RequestClass::kRoutine:
      return "u=3";
    case RequestClass::kBulk:
      return "u=6";
  }
  return "u=3";
}

bool MaySendEmergencies(const Service& service, const TenantId& tenant) {
  const auto& allowed = service.emergency_tenants;
  return std::find(allowed.begin(), allowed.end(), tenant) != allowed.end();
}

std::optional<BadRequest> CheckNotRepeated(const HttpHead& head, std::string_view name) {
  if (head.Count(name) <= 1) return std::nullopt;
  return BadRequest{400, std::string(name) + ": found more than once; allowed: once"};
}

std::optional<BadRequest> ReadClass(const HttpHead& head, RequestMeta& meta) {
  const std::optional<std::string> priority = head.Find("priority");
  meta.request_class = meta.service->default_class;
  if (!priority) return std::nullopt;
  meta.request_class = ClassOf(UrgencyOf(*priority));
  const bool emergency = meta.request_class == RequestClass::kEmergency;
  const bool allowed = meta.service->default_class == RequestClass::kEmergency ||
                       MaySendEmergencies(*meta.service, meta.tenant);
  if (!emergency || allowed) return std::nullopt;
  return BadRequest{403, "priority: found " + *priority + " from tenant \"" + meta.tenant.Text() +
                             "\"; allowed: u=0 and u=1 only from the service's emergency_tenants"};
}

std::optional<BadRequest> ReadTimeout(const HttpHead& head, RequestMeta& meta) {
  const std::optional<std::string> text = head.Find("grpc-timeout");
  meta.timeout = meta.service->default_deadline;
  if (!text) return std::nullopt;
  const std::optional<milliseconds> timeout = ParseTimeout(*text);
  if (!timeout || timeout->count() == 0) {
    return BadRequest{400, "grpc-timeout: found \"" + *text +
                               "\"; allowed: up to 8 digits and one of H M S m u n, at least 1m"};
  }
  meta.timeout = std::min(*timeout, meta.service->max_deadline);
  return std::nullopt;
}

std::optional<BadRequest> ReadKey(const HttpHead& head, RequestMeta& meta) {
  const auto& methods = meta.service->idempotent_methods;
  meta.idempotent = std::find(methods.begin(), methods.end(), head.method) != methods.end();
  meta.key = head.Find("idempotency-key").value_or("");
  if (meta.key.size() > kMaxKeyLength) {
    return BadRequest{400, "idempotency-key: found " + std::to_string(meta.key.size()) +
                               " characters; allowed: 1 to 200"};
  }
  if (!meta.idempotent && meta.key.empty() && meta.service->require_key) {
    return BadRequest{400,
                      "idempotency-key: found none; allowed: 1 to 200 characters; this service "
                      "requires a key for " +
                          head.method};
  }
  return std::nullopt;
}

std::optional<BadRequest> ReadDepth(const HttpHead& head, RequestMeta& meta) {
  const std::optional<std::string> text = head.Find("cowsliphill-depth");
  if (!text) return std::nullopt;
  const char* end = text->data() + text->size();
  const auto [rest, ec] = std::from_chars(text->data(), end, meta.depth);
  if (ec == std::errc() && rest == end && meta.depth <= kMaxDepth) return std::nullopt;
  return BadRequest{400, "cowsliphill-depth: found \"" + *text + "\"; allowed: 0 to 25"};
}

std::string JsonEscaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '"' || c == '\\') out += '\\';
    out += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
  }
  return out;
}

// Formats the request line and the headers, without the empty line after them.
std::string StartBackendRequest(const HttpHead& head, const RequestMeta& meta,
                                milliseconds time_left, const Endpoint& server, bool with_range) {
  std::string out = head.method + " " + head.target + " HTTP/1.1\r\n";
  AppendHeader(out, "Host", server.ToString());
  const std::string connection_options = head.Find("connection").value_or("");
  for (const HttpHeader& header : head.headers) {
    if (IsHopByHopHeader(header.name) || IsAnyOf(header.name, kRewrittenRequestHeaders)) {
      continue;
    }
    if (IsListed(header.name, connection_options)) continue;
    const bool range = HeaderNameIs(header.name, "range") || HeaderNameIs(header.name, "if-range");
    if (range && !with_range) continue;
    AppendHeader(out, header.name, header.value);
  }
  AppendHeader(out, "X-Request-Id", meta.id.Text());
  AppendHeader(out, "Grpc-Timeout", std::to_string(std::max<int64_t>(time_left.count(), 1)) + "m");
  AppendHeader(out, "Priority", PriorityOf(meta.request_class));
  AppendHeader(out, "Cowsliphill-Depth", std::to_string(meta.depth + 1));
  if (!meta.tenant.Empty()) AppendHeader(out, "Cowsliphill-Tenant", meta.tenant.Text());
  if (!meta.key.empty()) AppendHeader(out, "Idempotency-Key", meta.key);
  return out;
}

}  // namespace

std::string HostWithoutPort(const std::string& host) {
  const size_t colon = host.rfind(':');
  return colon == std::string::npos ? host : host.substr(0, colon);
}

RequestId ReadRequestId(const HttpHead& head, RequestIdSource& ids) {
  const std::string id = head.Find("x-request-id").value_or("");
  return id.empty() ? NewRequestId(ids) : RequestId(id);
}

RequestId LoggedId(const RequestId& id) {
  constexpr size_t hash_length = 17;  // With the character before it.
  const auto append = [](std::string& out, const char* format, auto value) {
    std::array<char, 20> buf;
    const int n = std::snprintf(buf.data(), buf.size(), format, value);
    out.append(buf.data(), static_cast<size_t>(n));
  };
  std::string text;
  for (const char c : id.Text()) {
    const auto byte = static_cast<unsigned char>(c);
    const bool plain = byte > 0x20 && byte < 0x7f && c != '"' && c != '\\';
    if (plain) {
      text += c;
    } else {
      append(text, "%%%02X", static_cast<unsigned int>(byte));
    }
  }
  if (text.size() > kMaxLoggedIdLength) {
    text.resize(kMaxLoggedIdLength - hash_length);
    const uint64_t hash = XXH3_64bits(id.Text().data(), id.Text().size());
    append(text, "~%016" PRIx64, hash);
  }
  return RequestId(text);
}

Result<RequestMeta, BadRequest> ReadRequestMeta(const HttpHead& head, const Manifest& manifest,
                                                RequestIdSource& ids) {
  for (const std::string_view name : kRewrittenRequestHeaders) {
    if (const auto bad = CheckNotRepeated(head, name)) return *bad;
  }
  RequestMeta meta;
  meta.id = ReadRequestId(head, ids);
  std::string name = head.Find("cowsliphill-service").value_or("");
  if (name.empty()) name = HostWithoutPort(head.Find("host").value_or(""));
  meta.service = FindService(manifest, ServiceId(name));
  if (meta.service == nullptr) {
    return BadRequest{404, "cowsliphill-service: found \"" + name +
                               "\"; allowed: a service of the manifest in force"};
  }
  const std::string tenant = head.Find("cowsliphill-tenant").value_or("");
  if (!tenant.empty() && !IsValidId(tenant, kMaxTenantLength)) {
    return BadRequest{400,
                      "cowsliphill-tenant: found an invalid character or more than 64 characters; "
                      "allowed: 1 to 64 letters, digits and -_.:"};
  }
  meta.tenant = TenantId(tenant);
  for (const auto read : {ReadClass, ReadTimeout, ReadKey, ReadDepth}) {
    if (const auto bad = read(head, meta)) return *bad;
  }
  return meta;
}

std::string FormatErrorResponse(const ErrorResponse& response, const RequestId& id,
                                bool keep_alive) {
  std::string out = StatusLine(response.status);
  AppendHeader(out, "X-Request-Id", id.Text());
  AppendHeader(out, "Cowsliphill-Outcome", NameOf(response.outcome));
  AppendHeader(out, "Proxy-Status", "cowsliphill; error=" + response.error);
  if (response.retry_after) {
    const int64_t seconds = std::max<int64_t>(
        1, std::chrono::ceil<std::chrono::seconds>(*response.retry_after).count());
    AppendHeader(out, "Retry-After", std::to_string(seconds));
  }
  std::string body = "{\"title\":\"";
  body.append(ReasonPhrase(response.status));
  body += "\",\"status\":" + std::to_string(response.status) + ",\"detail\":\"" +
          JsonEscaped(response.detail) + "\",\"outcome\":\"";
  body.append(NameOf(response.outcome))
      .append("\",\"request\":\"")
      .append(LoggedId(id).Text())
      .append("\"}\n");
  AppendBody(out, "application/problem+json", body, keep_alive);
  return out;
}

std::string FormatReplayedResponse(const Repeat& repeat, const RequestId& id, bool keep_alive) {
  std::string out = StatusLine(repeat.answer.status);
  AppendHeader(out, "X-Request-Id", id.Text());
  AppendHeader(out, "Cowsliphill-Outcome", NameOf(Outcome::kRan));
  AppendHeader(out, "Idempotency-Replayed", "true");
  AppendHeader(out, "Cowsliphill-First-Request", repeat.first.Text());
  if (!repeat.answer.body_kept) AppendHeader(out, "Cowsliphill-Body-Kept", "false");
  const std::string& type = repeat.answer.content_type;
  AppendBody(out, type.empty() ? "application/octet-stream" : type, repeat.answer.body, keep_alive);
  return out;
}

std::string FormatJsonResponse(const std::string& body, bool keep_alive) {
  std::string out = StatusLine(200);
  AppendBody(out, "application/json", body, keep_alive);
  return out;
}

WireFormat OwnWireFormat() {
  WireFormat wire_format;
  wire_format.read_request = ReadRequestMeta;
  wire_format.backend_request = [](const HttpHead& head, const RequestMeta& meta,
                                   milliseconds time_left, const BackendTarget& target) {
    return FormatBackendRequest(head, meta, time_left, target.endpoint);
  };
  wire_format.error_response = FormatErrorResponse;
  wire_format.caller_response = FormatCallerResponse;
  wire_format.says_not_started = SaysNotStarted;
  wire_format.report = [](const HttpHead& response, ReportFormat format) {
    return ParseReport(format,
                       [&response](const std::string& name) { return response.Find(name); });
  };
  wire_format.match_response = [](const HttpHead& response, const RequestId& id) {
    const std::optional<std::string> named = response.Find("x-request-id");
    if (!named) return ResponseMatch::kUnstated;
    return *named == id.Text() ? ResponseMatch::kYes : ResponseMatch::kNo;
  };
  return wire_format;
}

std::string FormatBackendRequest(const HttpHead& head, const RequestMeta& meta,
                                 milliseconds time_left, const Endpoint& server) {
  std::string out = StartBackendRequest(head, meta, time_left, server, true);
  AppendFraming(out, head);
  return out.append("\r\n");
}

std::string FormatResumeRequest(const HttpHead& head, const RequestMeta& meta,
                                milliseconds time_left, const Endpoint& server,
                                const ResumePoint& resume) {
  std::string out = StartBackendRequest(head, meta, time_left, server, false);
  AppendHeader(out, "Range", "bytes=" + std::to_string(resume.offset) + "-");
  AppendHeader(out, "If-Range", resume.etag);
  return out.append("\r\n");
}

bool ContinuesAt(const HttpHead& response, const ResumePoint& resume) {
  const std::string wanted = "bytes " + std::to_string(resume.offset) + "-" +
                             std::to_string(resume.length - 1) + "/" +
                             std::to_string(resume.length);
  return response.status == 206 && response.Find("content-range") == wanted &&
         response.Find("etag") == resume.etag &&
         response.content_length == resume.length - resume.offset;
}

std::optional<ResumePoint> ResumePointOf(const HttpHead& request, const HttpHead& response) {
  if (request.method != "GET" || response.status != 200 || !response.content_length) {
    return std::nullopt;
  }
  const std::string etag = response.Find("etag").value_or("");
  const bool strong = etag.size() > 2 && etag.front() == '"' && etag.back() == '"';
  if (!strong || response.Find("accept-ranges") != "bytes") return std::nullopt;
  return ResumePoint{etag, 0, *response.content_length};
}

std::string FormatCallerResponse(const HttpHead& response, const RequestId& id, bool keep_alive) {
  std::string out = StatusLine(response.status);
  for (const HttpHeader& header : response.headers) {
    if (IsHopByHopHeader(header.name) || IsAnyOf(header.name, kRewrittenResponseHeaders)) {
      continue;
    }
    AppendHeader(out, header.name, header.value);
  }
  AppendHeader(out, "X-Request-Id", id.Text());
  AppendHeader(out, "Cowsliphill-Outcome", NameOf(Outcome::kRan));
  AppendFraming(out, response);
  if (!keep_alive) AppendHeader(out, "Connection", "close");
  return out.append("\r\n");
}

bool SaysNotStarted(const HttpHead& response) {
  return response.status == 503 && response.Find("x-backend-not-started") == "true";
}

}  // namespace cowsliphill
