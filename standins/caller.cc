#include "standins/caller.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "src/base/toml_reader.h"
#include "standins/backend_standin.h"

namespace cowsliphill::standins {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout{500};
constexpr milliseconds kLookupTimeout{2000};
// Time to wait for an answer to a request without a deadline; not sent to the entry VM.
constexpr milliseconds kDefaultWait{10000};
const char* const kArchivePath = "/archive/";

bool IsArchive(const CallerRequest& request) { return request.path.rfind(kArchivePath, 0) == 0; }

httplib::Headers HeadersOf(const CallerRequest& request) {
  httplib::Headers headers;
  const auto add = [&headers](const char* name, const std::string& value) {
    if (!value.empty()) headers.emplace(name, value);
  };
  add("Cowsliphill-Service", request.service);
  add("Priority", request.priority);
  add("Cowsliphill-Tenant", request.tenant);
  add("Idempotency-Key", request.key);
  add("Range", request.range);
  if (request.deadline) add("Grpc-Timeout", std::to_string(request.deadline->count()) + "m");
  return headers;
}

// Returns the first byte position of a Range header, or 0 without one.
uint64_t FirstByte(const std::string& range) {
  const size_t equals = range.find('=');
  return equals == std::string::npos ? 0 : std::stoull(range.substr(equals + 1));
}

// Consumes the body as it arrives: verifies archive bytes and stores any other body.
class BodyReader {
 public:
  explicit BodyReader(const CallerRequest& request)
      : archive_(IsArchive(request)), offset_(FirstByte(request.range)) {}

  bool Append(const char* data, size_t n, bool check) {
    bytes_ += n;
    if (!archive_ || !check) {
      body_.append(data, n);
      return true;
    }
    for (size_t i = 0; i < n; ++i) matches_ = matches_ && data[i] == ArchiveByte(offset_ + i);
    offset_ += n;
    return true;
  }

  uint64_t Bytes() const { return bytes_; }
  bool Matches() const { return matches_; }
  std::string Body() { return std::move(body_); }

 private:
  bool archive_;
  uint64_t offset_;  // Archive offset of the next byte.
  uint64_t bytes_ = 0;
  bool matches_ = true;
  std::string body_;
};

}  // namespace

struct Caller::Connection {
  explicit Connection(const Endpoint& to) : entry(to), client(to.ip, to.port) {
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(kConnectTimeout);
  }
  Endpoint entry;
  httplib::Client client;
};

Caller::Caller(const Clock& clock, CallerOptions options)
    : clock_(clock), options_(std::move(options)) {}

Caller::~Caller() = default;
Caller::Caller(Caller&&) noexcept = default;

void Caller::Disconnect() { connection_.reset(); }

bool Caller::Lookup(const Endpoint& at) {
  httplib::Client client(at.ip, at.port);
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(kLookupTimeout);
  const httplib::Result result = client.Get("/cowsliphill/entries");
  if (!result || result->status != 200) return false;
  const nlohmann::json json = nlohmann::json::parse(result->body, nullptr, false);
  if (!json.is_object() || !json.contains("entries")) return false;
  std::vector<Endpoint> entries;
  for (const nlohmann::json& it : json["entries"]) {
    if (const auto entry = ParseEndpoint(it.get<std::string>())) entries.push_back(*entry);
  }
  if (entries.empty()) return false;
  entries_ = std::move(entries);
  valid_until_ = clock_.Now() + milliseconds(json.value("lifetime_ms", int64_t{1000}));
  return true;
}

std::vector<Endpoint> Caller::Entries() {
  if (!options_.use_lookup) return options_.entries;
  if (!entries_.empty() && clock_.Now() < valid_until_) return entries_;
  std::vector<Endpoint> candidates = entries_;
  candidates.insert(candidates.end(), options_.entries.begin(), options_.entries.end());
  for (const Endpoint& it : candidates) {
    if (Lookup(it)) break;
  }
  return entries_;
}

CallerResult Caller::Send(const CallerRequest& request) {
  const MonotonicTime start = clock_.Now();
  CallerResult caller_result;
  caller_result.error = "no entry VM answered the lookup";
  for (const Endpoint& entry : Entries()) {
    caller_result = SendTo(entry, request);
    if (caller_result.sent) break;
  }
  if (options_.max_resumes > 0 && IsArchive(request)) Resume(request, caller_result);
  caller_result.latency = std::chrono::duration_cast<milliseconds>(clock_.Now() - start);
  return caller_result;
}

CallerResult Caller::SendTo(const Endpoint& entry, const CallerRequest& request) {
  if (!connection_ || connection_->entry != entry) {
    connection_ = std::make_unique<Connection>(entry);
  }
  const milliseconds wait = request.deadline.value_or(kDefaultWait) + options_.deadline_slack;
  connection_->client.set_read_timeout(IsArchive(request) ? options_.archive_read_timeout : wait);

  CallerResult caller_result;
  caller_result.entry = entry;
  BodyReader reader(request);
  httplib::Request http;
  http.method = request.method;
  http.path = request.path;
  http.headers = HeadersOf(request);
  http.body = request.body;
  http.response_handler = [&caller_result](const httplib::Response& response) {
    caller_result.status = response.status;
    caller_result.outcome = response.get_header_value("Cowsliphill-Outcome");
    caller_result.retry_after = response.get_header_value("Retry-After");
    caller_result.request_id = response.get_header_value("X-Request-Id");
    caller_result.server = response.get_header_value("X-Backend-Name");
    caller_result.proxy_status = response.get_header_value("Proxy-Status");
    return true;
  };
  http.content_receiver = [&reader, &caller_result](const char* data, size_t n, uint64_t,
                                                    uint64_t) {
    return reader.Append(data, n, caller_result.status == 200 || caller_result.status == 206);
  };
  const httplib::Result result = connection_->client.send(http);
  caller_result.sent = result.error() != httplib::Error::Connection &&
                       result.error() != httplib::Error::ConnectionTimeout;
  caller_result.bytes = reader.Bytes();
  caller_result.complete = result.error() == httplib::Error::Success && reader.Matches();
  caller_result.body = reader.Body();
  if (!result) caller_result.error = httplib::to_string(result.error());
  if (!reader.Matches()) caller_result.error = "body bytes differ from the expected archive bytes";
  return caller_result;
}

void Caller::Resume(const CallerRequest& request, CallerResult& caller_result) {
  uint64_t received_bytes = caller_result.status == 200 ? caller_result.bytes : 0;
  for (uint32_t n = 1;
       n <= options_.max_resumes && !(caller_result.complete && caller_result.status < 300); ++n) {
    valid_until_ = MonotonicTime();  // Forces a lookup: the entry VM may be down.
    CallerRequest rest = request;
    rest.range = "bytes=" + std::to_string(received_bytes) + "-";
    CallerResult next;
    for (const Endpoint& entry : Entries()) {
      next = SendTo(entry, rest);
      if (next.sent) break;
    }
    if (next.status == 206) received_bytes += next.bytes;
    next.bytes = received_bytes;
    next.resumes = n;
    caller_result = std::move(next);
  }
}

std::string ToJsonLine(const CallerRequest& request, const CallerResult& caller_result) {
  const nlohmann::json json = {{"method", request.method},
                               {"path", request.path},
                               {"service", request.service},
                               {"key", request.key},
                               {"status", caller_result.status},
                               {"outcome", caller_result.outcome},
                               {"retry_after", caller_result.retry_after},
                               {"request", caller_result.request_id},
                               {"server", caller_result.server},
                               {"proxy_status", caller_result.proxy_status},
                               {"entry", caller_result.entry.ToString()},
                               {"sent", caller_result.sent},
                               {"whole", caller_result.complete},
                               {"bytes", caller_result.bytes},
                               {"resumes", caller_result.resumes},
                               {"error", caller_result.error},
                               {"latency_ms", caller_result.latency.count()}};
  return json.dump();
}

}  // namespace cowsliphill::standins
