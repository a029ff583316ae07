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
constexpr milliseconds kDefaultDeadline{10000};  // Assumed when the request names none.
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

// Where the bytes of the answer start within the archive.
uint64_t FirstByte(const std::string& range) {
  const size_t equals = range.find('=');
  return equals == std::string::npos ? 0 : std::stoull(range.substr(equals + 1));
}

// Takes the answer's body as it comes: archives are checked, others kept.
class BodyReader {
 public:
  explicit BodyReader(const CallerRequest& request)
      : archive_(IsArchive(request)), at_(FirstByte(request.range)) {}

  bool Take(const char* data, size_t n, bool check) {
    bytes_ += n;
    if (!archive_ || !check) {
      body_.append(data, n);
      return true;
    }
    for (size_t i = 0; i < n; ++i) right_ = right_ && data[i] == ArchiveByte(at_ + i);
    at_ += n;
    return true;
  }

  uint64_t Bytes() const { return bytes_; }
  bool Right() const { return right_; }
  std::string Body() { return std::move(body_); }

 private:
  bool archive_;
  uint64_t at_;  // Next byte's place in the archive.
  uint64_t bytes_ = 0;
  bool right_ = true;
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
  if (!options_.ask_lookup) return options_.entries;
  if (!entries_.empty() && clock_.Now() < valid_until_) return entries_;
  std::vector<Endpoint> known = entries_;
  known.insert(known.end(), options_.entries.begin(), options_.entries.end());
  for (const Endpoint& it : known) {
    if (Lookup(it)) break;
  }
  return entries_;
}

CallerView Caller::Send(const CallerRequest& request) {
  const MonotonicTime start = clock_.Now();
  CallerView view;
  view.error = "no entry VM answered the lookup";
  for (const Endpoint& entry : Entries()) {
    view = SendTo(entry, request);
    if (view.sent) break;
  }
  if (options_.resumes > 0 && IsArchive(request)) Resume(request, view);
  view.latency = std::chrono::duration_cast<milliseconds>(clock_.Now() - start);
  return view;
}

CallerView Caller::SendTo(const Endpoint& entry, const CallerRequest& request) {
  if (!connection_ || connection_->entry != entry) {
    connection_ = std::make_unique<Connection>(entry);
  }
  const milliseconds wait = request.deadline.value_or(kDefaultDeadline) + options_.patience;
  connection_->client.set_read_timeout(IsArchive(request) ? options_.silence : wait);

  CallerView view;
  view.entry = entry;
  BodyReader reader(request);
  httplib::Request http;
  http.method = request.method;
  http.path = request.path;
  http.headers = HeadersOf(request);
  http.body = request.body;
  http.response_handler = [&view](const httplib::Response& response) {
    view.status = response.status;
    view.outcome = response.get_header_value("Cowsliphill-Outcome");
    view.retry_after = response.get_header_value("Retry-After");
    view.request_id = response.get_header_value("X-Request-Id");
    view.server = response.get_header_value("X-Backend-Name");
    view.proxy_status = response.get_header_value("Proxy-Status");
    return true;
  };
  http.content_receiver = [&reader, &view](const char* data, size_t n, uint64_t, uint64_t) {
    return reader.Take(data, n, view.status == 200 || view.status == 206);
  };
  const httplib::Result result = connection_->client.send(http);
  view.sent = result.error() != httplib::Error::Connection &&
              result.error() != httplib::Error::ConnectionTimeout;
  view.bytes = reader.Bytes();
  view.whole = result.error() == httplib::Error::Success && reader.Right();
  view.body = reader.Body();
  if (!result) view.error = httplib::to_string(result.error());
  if (!reader.Right()) view.error = "wrong bytes";
  return view;
}

void Caller::Resume(const CallerRequest& request, CallerView& view) {
  uint64_t got = view.status == 200 ? view.bytes : 0;
  for (uint32_t n = 1; n <= options_.resumes && !(view.whole && view.status < 300); ++n) {
    valid_until_ = MonotonicTime();  // The entry VM may have gone: look up afresh.
    CallerRequest rest = request;
    rest.range = "bytes=" + std::to_string(got) + "-";
    CallerView next;
    for (const Endpoint& entry : Entries()) {
      next = SendTo(entry, rest);
      if (next.sent) break;
    }
    if (next.status == 206) got += next.bytes;
    next.bytes = got;
    next.resumes = n;
    view = std::move(next);
  }
}

std::string ToJsonLine(const CallerRequest& request, const CallerView& view) {
  const nlohmann::json json = {{"method", request.method},
                               {"path", request.path},
                               {"service", request.service},
                               {"key", request.key},
                               {"status", view.status},
                               {"outcome", view.outcome},
                               {"retry_after", view.retry_after},
                               {"request", view.request_id},
                               {"server", view.server},
                               {"proxy_status", view.proxy_status},
                               {"entry", view.entry.ToString()},
                               {"sent", view.sent},
                               {"whole", view.whole},
                               {"bytes", view.bytes},
                               {"resumes", view.resumes},
                               {"error", view.error},
                               {"latency_ms", view.latency.count()}};
  return json.dump();
}

}  // namespace cowsliphill::standins
