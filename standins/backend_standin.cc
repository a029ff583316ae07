#include "standins/backend_standin.h"

#include <algorithm>
#include <asio.hpp>
#include <list>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "src/base/numbers.h"
#include "standins/http_server.h"

namespace cowsliphill::standins {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

const char* const kArchivePath = "/archive/";
constexpr milliseconds kIdleCheckInterval{50};  // Between idle checks of a stopping server.

// Parses a Grpc-Timeout header: digits and a unit, one of H M S m u n.
std::optional<Duration> ParseTimeout(const std::string& text) {
  if (text.empty()) return std::nullopt;
  const std::optional<uint64_t> n = ParseUnsigned(text.substr(0, text.size() - 1));
  if (!n) return std::nullopt;
  const auto count = static_cast<int64_t>(*n);
  switch (text.back()) {
    case 'H':
      return std::chrono::hours(count);
    case 'M':
      return std::chrono::minutes(count);
    case 'S':
      return std::chrono::seconds(count);
    case 'm':
      return milliseconds(count);
    case 'u':
      return std::chrono::microseconds(count);
    case 'n':
      return std::chrono::nanoseconds(count);
    default:
      return std::nullopt;
  }
}

// Returns the urgency of a Priority header (RFC 9218): 0 is the most urgent, 3 the default.
int UrgencyOf(const std::string& priority) {
  const size_t at = priority.find("u=");
  if (at == std::string::npos || at + 2 >= priority.size()) return 3;
  return priority[at + 2] - '0';
}

struct ByteRange {
  uint64_t first = 0;
  uint64_t last = 0;
};

// Parses "bytes=FIRST-" or "bytes=FIRST-LAST". Other forms are ignored, as RFC 9110 allows.
std::optional<ByteRange> ParseRange(const std::string& text, uint64_t size) {
  const std::string unit = "bytes=";
  const size_t dash = text.find('-');
  if (text.rfind(unit, 0) != 0 || dash == std::string::npos) return std::nullopt;
  const std::optional<uint64_t> first = ParseUnsigned(text.substr(unit.size(), dash - unit.size()));
  if (!first || *first >= size) return std::nullopt;
  const std::optional<uint64_t> last = ParseUnsigned(text.substr(dash + 1));
  return ByteRange{*first, std::min(last.value_or(size - 1), size - 1)};
}

std::string ArchiveBytes(uint64_t at, size_t max_bytes) {
  std::string bytes(max_bytes, 0);
  for (size_t i = 0; i < max_bytes; ++i) bytes[i] = ArchiveByte(at + i);
  return bytes;
}

struct JournalEntry {
  std::string request;  // X-Request-Id header.
  std::string key;      // Idempotency-Key header.
  std::string method;
  std::string path;
  std::string tenant;
  WallTime started;
  std::optional<WallTime> ended;
  bool cancelled = false;  // After the start, by its deadline or by a closed connection.
};

int64_t Milliseconds(WallTime time) { return time.time_since_epoch().count(); }

struct Work {
  explicit Work(HttpExchange with, asio::io_context& loop) : exchange(with), timer(loop) {}

  HttpExchange exchange;
  // Fires at the deadline while queued, at the end of execution while running.
  asio::steady_timer timer;
  MonotonicTime deadline = MonotonicTime::max();
  int urgency = 3;
  size_t entry = 0;      // Index in the journal, valid once started.
  bool running = false;  // The request holds a slot.
};
using WorkPtr = std::shared_ptr<Work>;

}  // namespace

char ArchiveByte(uint64_t at) {
  return static_cast<char>('a' + (at * 2654435761U / 65536U + at / 251U) % 26U);
}

struct BackendStandin::State : std::enable_shared_from_this<BackendStandin::State> {
  State(asio::io_context& io, const Clock& time, BackendOptions opts)
      : loop(io), clock(time), options(std::move(opts)), stop_timer(io) {}

  void OnRequest(HttpExchange exchange) {
    const HttpRequest& request = exchange.Request();
    if (request.path == "/load") return Probe(exchange);
    if (request.path == "/health") return exchange.Answer({200, LoadHeaders(true), "ok\n", {}});
    if (request.path == "/control") return SetControl(exchange);
    if (request.path == "/journal") return exchange.Answer({200, {}, JournalText(), {}});
    if (request.path == "/stats") return exchange.Answer({200, {}, StatsText(), {}});
    Admit(exchange);
  }

  void Probe(const HttpExchange& exchange) {
    ++probes;
    auto timer = std::make_shared<asio::steady_timer>(loop, options.probe_cost);
    timer->async_wait([this, timer, exchange](std::error_code) {
      exchange.Answer({200, LoadHeaders(control.health_lies), "ok\n", {}});
    });
  }

  void SetControl(const HttpExchange& exchange) {
    try {
      const Json json = Json::parse(exchange.Request().body);
      control.state = json.value("state", control.state);
      control.slowdown = json.value("slowdown", control.slowdown);
      control.cold_slowdown = json.value("cold_slowdown", control.cold_slowdown);
      control.cold_requests = json.value("cold_requests", control.cold_requests);
      control.refuse_when_draining =
          json.value("refuse_when_draining", control.refuse_when_draining);
      control.fail_fast = json.value("fail_fast", control.fail_fast);
      control.health_lies = json.value("health_lies", control.health_lies);
      cold_left = control.cold_requests;
      exchange.Answer({200, {}, "ok\n", {}});
    } catch (const Json::exception& e) {
      exchange.Answer({400, {}, std::string(e.what()) + "\n", {}});
    }
  }

  void Admit(const HttpExchange& exchange) {
    ++arrivals;
    if (control.state == "draining") ++arrivals_while_draining;
    if (control.fail_fast) return FailFast(exchange);
    if (control.state == "shedding") return RefuseNotStarted(exchange, "shedding");
    if (control.state == "draining" && control.refuse_when_draining) {
      return RefuseNotStarted(exchange, "draining");
    }
    Enqueue(exchange);
  }

  // Adds the request's id to the answer.
  static void Respond(const HttpExchange& exchange, HttpAnswer answer,
                      std::function<void()> done = {}) {
    const std::string id = exchange.Request().Header("x-request-id");
    if (!id.empty()) answer.headers.push_back({"X-Request-Id", id});
    exchange.Answer(std::move(answer), std::move(done));
  }

  void FailFast(const HttpExchange& exchange) {
    ++failed_fast;
    Respond(exchange, {500, LoadHeaders(false), "internal error\n", {}});
  }

  void RefuseNotStarted(const HttpExchange& exchange, const std::string& reason) {
    ++refused;
    std::vector<HttpHeader> headers = LoadHeaders(false);
    headers.push_back({"X-Backend-Not-Started", "true"});
    Respond(exchange, {503, std::move(headers), reason + "\n", {}});
  }

  void Enqueue(const HttpExchange& exchange) {
    auto work = std::make_shared<Work>(exchange, loop);
    const HttpRequest& request = exchange.Request();
    if (const auto timeout = ParseTimeout(request.Header("grpc-timeout"))) {
      work->deadline = clock.Now() + *timeout;
    }
    if (options.by_priority) work->urgency = UrgencyOf(request.Header("priority"));
    exchange.OnDisconnect([this, weak = std::weak_ptr(work)] {
      if (const WorkPtr it = weak.lock()) Cancel(it);
    });
    const auto at = std::find_if(queue.begin(), queue.end(), [&work](const WorkPtr& it) {
      return it->urgency > work->urgency;
    });
    queue.insert(at, work);
    ArmQueuedDeadline(work);
    StartNext();
  }

  void ArmQueuedDeadline(const WorkPtr& work) {
    if (work->deadline == MonotonicTime::max()) return;
    work->timer.expires_at(work->deadline);
    work->timer.async_wait([this, work](std::error_code ec) {
      if (ec || work->running) return;
      queue.remove(work);
      work->exchange.OnDisconnect({});
      std::vector<HttpHeader> headers = LoadHeaders(false);
      headers.push_back({"X-Backend-Not-Started", "true"});
      Respond(work->exchange, {504, std::move(headers), "deadline exceeded while queued\n", {}});
    });
  }

  void StartNext() {
    while (running < options.slots && !queue.empty()) {
      const WorkPtr work = queue.front();
      queue.pop_front();
      Start(work);
    }
  }

  void Start(const WorkPtr& work) {
    const HttpRequest& request = work->exchange.Request();
    work->running = true;
    ++running;
    work->entry = journal.size();
    journal.push_back({request.Header("x-request-id"), request.Header("idempotency-key"),
                       request.method, request.path, request.Header("cowsliphill-tenant"),
                       clock.WallNow(), std::nullopt, false});
    const MonotonicTime end = clock.Now() + ExecutionTime(request);
    const bool exceeds_deadline = end > work->deadline;
    work->timer.expires_at(std::min(end, work->deadline));
    work->timer.async_wait([this, work, exceeds_deadline](std::error_code ec) {
      if (ec || !work->running) return;
      if (exceeds_deadline) return FailOnDeadline(work);
      Complete(work);
    });
  }

  Duration ExecutionTime(const HttpRequest& request) {
    const auto from_header = ParseUnsigned(request.Header("x-work-ms"));
    const auto from_query = ParseUnsigned(request.Query("work_ms"));
    const uint64_t fallback = static_cast<uint64_t>(options.work.count());
    const uint64_t ms = from_header.value_or(from_query.value_or(fallback));
    double factor = control.slowdown;
    if (control.state == "cold" && cold_left > 0) {
      --cold_left;
      factor *= control.cold_slowdown;
    }
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(static_cast<double>(ms) * factor));
  }

  // Releases the slot and writes the end of the request into the journal.
  void ReleaseSlot(const WorkPtr& work, bool cancelled) {
    work->running = false;
    --running;
    journal[work->entry].ended = clock.WallNow();
    journal[work->entry].cancelled = cancelled;
    StartNext();
  }

  void FailOnDeadline(const WorkPtr& work) {
    work->exchange.OnDisconnect({});
    ReleaseSlot(work, true);
    Respond(work->exchange, {504, LoadHeaders(false), "deadline exceeded while executing\n", {}});
  }

  void Complete(const WorkPtr& work) {
    if (work->exchange.Request().path.rfind(kArchivePath, 0) == 0) return SendArchive(work);
    work->exchange.OnDisconnect({});
    ReleaseSlot(work, false);
    const Json body = {{"server", options.name},
                       {"request", work->exchange.Request().Header("x-request-id")},
                       {"path", work->exchange.Request().path},
                       {"received_bytes", work->exchange.Request().body.size()}};
    std::vector<HttpHeader> headers = LoadHeaders(false);
    headers.push_back({"Content-Type", "application/json"});
    Respond(work->exchange, {200, std::move(headers), body.dump() + "\n", {}});
  }

  // Sends an archive and holds the slot until the last byte is written.
  void SendArchive(const WorkPtr& work) {
    const HttpRequest& request = work->exchange.Request();
    const uint64_t size =
        ParseUnsigned(request.path.substr(std::string(kArchivePath).size())).value_or(0);
    const std::string etag = "\"archive-" + std::to_string(size) + "\"";
    HttpAnswer answer{200, LoadHeaders(false), "", {}};
    answer.headers.push_back({"ETag", etag});
    answer.headers.push_back({"Accept-Ranges", "bytes"});
    ByteRange range{0, size == 0 ? 0 : size - 1};
    const std::string if_range = request.Header("if-range");
    const auto requested = ParseRange(request.Header("range"), size);
    if (requested && (if_range.empty() || if_range == etag)) {
      range = *requested;
      answer.status = 206;
      answer.headers.push_back({"Content-Range", "bytes " + std::to_string(range.first) + "-" +
                                                     std::to_string(range.last) + "/" +
                                                     std::to_string(size)});
    }
    answer.generated.size = size == 0 ? 0 : range.last - range.first + 1;
    answer.generated.bytes_per_second = ParseUnsigned(request.Query("rate")).value_or(0);
    answer.generated.bytes = [first = range.first](uint64_t at, size_t max_bytes) {
      return ArchiveBytes(first + at, max_bytes);
    };
    Respond(work->exchange, std::move(answer), [this, work] { ReleaseSlot(work, false); });
  }

  void Cancel(const WorkPtr& work) {
    ++cancelled;
    work->timer.cancel();
    if (work->running) return ReleaseSlot(work, true);
    queue.remove(work);
  }

  std::vector<HttpHeader> LoadHeaders(bool report_idle) const {
    const size_t in_flight = report_idle ? 0 : running + queue.size();
    const bool reports_state =
        !report_idle && (control.state == "draining" || control.state == "shedding");
    return {{"X-Backend-In-Flight", std::to_string(in_flight)},
            {"X-Backend-Slots", std::to_string(options.slots)},
            {"X-Backend-State", reports_state ? control.state : "serving"},
            {"X-Backend-Name", options.name}};
  }

  std::string JournalText() const {
    std::string text;
    for (const JournalEntry& it : journal) {
      const Json json = {{"server", options.name},
                         {"request", it.request},
                         {"key", it.key},
                         {"method", it.method},
                         {"path", it.path},
                         {"tenant", it.tenant},
                         {"started_ms", Milliseconds(it.started)},
                         {"ended_ms", it.ended ? Json(Milliseconds(*it.ended)) : Json(nullptr)},
                         {"cancelled", it.cancelled}};
      text += json.dump() + "\n";
    }
    return text;
  }

  std::string StatsText() const {
    const Json json = {{"server", options.name},
                       {"arrivals", arrivals},
                       {"arrivals_while_draining", arrivals_while_draining},
                       {"probes", probes},
                       {"refused", refused},
                       {"failed_fast", failed_fast},
                       {"cancelled", cancelled},
                       {"running", running},
                       {"queued", queue.size()},
                       {"ran", journal.size()}};
    return json.dump() + "\n";
  }

  void StopWhenIdle() {
    const bool idle = running == 0 && queue.empty();
    if (idle && clock.Now() >= stop_earliest) {
      server->StopListening();
      return stopped();
    }
    stop_timer.expires_after(kIdleCheckInterval);
    stop_timer.async_wait([this](std::error_code ec) {
      if (!ec) StopWhenIdle();
    });
  }

  asio::io_context& loop;
  const Clock& clock;
  BackendOptions options;
  BackendControl control;
  uint32_t cold_left = 0;  // Requests that still run with the cold_slowdown.
  std::list<WorkPtr> queue;
  std::vector<JournalEntry> journal;
  uint32_t running = 0;  // Slots in use.
  uint64_t arrivals = 0;
  uint64_t arrivals_while_draining = 0;
  uint64_t probes = 0;
  uint64_t refused = 0;
  uint64_t failed_fast = 0;
  uint64_t cancelled = 0;
  asio::steady_timer stop_timer;
  MonotonicTime stop_earliest;
  std::function<void()> stopped;
  std::unique_ptr<HttpServer> server;
};

BackendStandin::BackendStandin(asio::io_context& loop, const Clock& clock,
                               const BackendOptions& options)
    : state_(std::make_shared<State>(loop, clock, options)) {
  state_->server = std::make_unique<HttpServer>(
      loop, options.listen, [state = state_.get()](HttpExchange it) { state->OnRequest(it); },
      [most = options.max_connections](size_t open) { return open < most; });
}

BackendStandin::~BackendStandin() = default;

Endpoint BackendStandin::Address() const { return state_->server->Address(); }

void BackendStandin::Stop(std::function<void()> stopped) {
  state_->control.state = "draining";
  state_->stopped = std::move(stopped);
  state_->stop_earliest = state_->clock.Now() + state_->options.drain;
  state_->StopWhenIdle();
}

}  // namespace cowsliphill::standins
