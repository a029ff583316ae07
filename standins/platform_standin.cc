#include "standins/platform_standin.h"

#include <algorithm>
#include <asio.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "src/base/toml_reader.h"
#include "src/storage/memory_platform.h"
#include "standins/faults.h"
#include "standins/http_server.h"

namespace cowsliphill::standins {

namespace {

using Json = nlohmann::json;

constexpr size_t kMaxRows = 1000;  // Per scan of rows or listing of objects.
const char* const kObjectsPath = "/objects/";

Json Binary(const std::string& bytes) {
  return Json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

std::string BytesOf(const Json& json) {
  if (json.is_string()) return json.get<std::string>();
  const Json::binary_t& bytes = json.get_binary();
  return {bytes.begin(), bytes.end()};
}

Json ToJson(const Row& row) {
  return {{"key", row.key}, {"value", Binary(row.value)}, {"version", row.version}};
}

Json ToJson(const std::vector<Row>& rows) {
  Json list = Json::array();
  for (const Row& row : rows) list.push_back(ToJson(row));
  return list;
}

HttpAnswer MsgpackAnswer(int status, const Json& json) {
  const std::vector<uint8_t> bytes = Json::to_msgpack(json);
  return {status, {{"Content-Type", "application/msgpack"}}, {bytes.begin(), bytes.end()}, {}};
}

HttpAnswer TextAnswer(int status, std::string body) { return {status, {}, std::move(body), {}}; }

HttpAnswer NotApplied() { return {503, {{"X-Not-Applied", "true"}}, "rate limit exceeded\n", {}}; }

std::vector<ConditionalWrite> WritesOf(const Json& json) {
  std::vector<ConditionalWrite> writes;
  for (const Json& it : json.at("writes")) {
    ConditionalWrite write;
    write.key = it.at("key").get<std::string>();
    write.expected_version = it.value("expect", uint64_t{0});
    const Json& value = it.at("value");
    if (!value.is_null()) write.value = BytesOf(value);
    writes.push_back(std::move(write));
  }
  return writes;
}

std::vector<ListedVm> VmsOf(const Json& json) {
  std::vector<ListedVm> vms;
  for (const Json& it : json.at("vms")) {
    ListedVm vm;
    vm.edge = ParseEndpoint(it.at("edge").get<std::string>()).value_or(Endpoint{});
    vm.peer = ParseEndpoint(it.at("peer").get<std::string>()).value_or(Endpoint{});
    vm.failure_domain = FailureDomainId(it.at("place").get<std::string>());
    vm.leaving = it.value("leaving", false);
    vms.push_back(std::move(vm));
  }
  return vms;
}

Json ToJson(const std::vector<ListedVm>& vms) {
  Json list = Json::array();
  for (const ListedVm& vm : vms) {
    list.push_back({{"edge", vm.edge.ToString()},
                    {"peer", vm.peer.ToString()},
                    {"place", vm.failure_domain.Text()},
                    {"leaving", vm.leaving}});
  }
  return {{"vms", list}};
}

// Token bucket that holds up to one second's worth of the rate.
class RateLimit {
 public:
  RateLimit(double per_second, MonotonicTime now)
      : per_second_(per_second), tokens_(per_second), updated_at_(now) {}

  bool TryAcquire(MonotonicTime now) {
    const double passed = std::chrono::duration<double>(now - updated_at_).count();
    updated_at_ = now;
    tokens_ = std::min(per_second_, tokens_ + passed * per_second_);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double per_second_;
  double tokens_;
  MonotonicTime updated_at_;
};

struct VmListVersion {
  MonotonicTime since;
  std::vector<ListedVm> vms;
};

}  // namespace

struct PlatformStandin::State : std::enable_shared_from_this<PlatformStandin::State> {
  State(asio::io_context& io, const Clock& time, const PlatformOptions& options)
      : loop(io),
        clock(time),
        read_limit(options.reads_per_second, time.Now()),
        write_limit(options.writes_per_second, time.Now()) {}

  void OnRequest(HttpExchange exchange) {
    try {
      if (Control(exchange)) return;
      if (faults.down && sampler.Hits(faults.probability)) return exchange.Drop();
      if (exchange.Request().method == "PUT" || exchange.Request().path == "/table/commit") {
        return Write(exchange);
      }
      Read(exchange);
    } catch (const Json::exception& e) {
      ++stats.malformed;
      exchange.Answer(TextAnswer(400, std::string(e.what()) + "\n"));
    }
  }

  // Handles control requests of a test, to which faults and rate limits don't apply. Returns false
  // for any other request.
  bool Control(const HttpExchange& exchange) {
    const HttpRequest& request = exchange.Request();
    if (request.path == "/faults") {
      SetFaults(exchange);
      return true;
    }
    if (request.path == "/stats") {
      exchange.Answer(TextAnswer(200, StatsText()));
      return true;
    }
    if (request.path == "/vms" && request.method == "PUT") {
      vm_lists.push_back({clock.Now(), VmsOf(Json::parse(request.body))});
      exchange.Answer(TextAnswer(200, "ok\n"));
      return true;
    }
    return false;
  }

  void SetFaults(const HttpExchange& exchange) {
    const std::optional<Faults> parsed = ParseFaults(exchange.Request().body);
    if (!parsed) return exchange.Answer(TextAnswer(400, "body is not valid faults JSON\n"));
    if (parsed->old_reads && !faults.old_reads) old_store = store;
    faults = *parsed;
    sampler = FaultSampler(faults.seed);
    exchange.Answer(TextAnswer(200, "ok\n"));
  }

  void Write(const HttpExchange& exchange) {
    if (!write_limit.TryAcquire(clock.Now())) {
      ++stats.over_rate;
      return AnswerWithDelay(exchange, NotApplied());
    }
    const HttpRequest& request = exchange.Request();
    HttpAnswer answer = request.path == "/table/commit" ? Commit(request) : StoreObject(request);
    if (faults.lost_answers && sampler.Hits(faults.probability)) {
      ++stats.lost_answers;
      return exchange.Drop();
    }
    AnswerWithDelay(exchange, std::move(answer));
  }

  HttpAnswer Commit(const HttpRequest& request) {
    const auto outcome = store.Commit(WritesOf(Json::from_msgpack(request.body)));
    ++stats.writes;
    if (const auto* committed = std::get_if<Committed>(&outcome)) {
      return MsgpackAnswer(200, {{"versions", committed->versions}});
    }
    ++stats.conflicts;
    return MsgpackAnswer(409, {{"current", ToJson(std::get<Conflict>(outcome).current)}});
  }

  HttpAnswer StoreObject(const HttpRequest& request) {
    if (request.path.rfind(kObjectsPath, 0) != 0) return TextAnswer(404, "no such path\n");
    ++stats.writes;
    const std::string name = request.path.substr(std::string(kObjectsPath).size());
    const bool stored = store.PutIfAbsent(name, request.body) == PutObject::kStored;
    return stored ? TextAnswer(201, "stored\n") : TextAnswer(412, "already there\n");
  }

  void Read(const HttpExchange& exchange) {
    if (!read_limit.TryAcquire(clock.Now())) {
      ++stats.over_rate;
      return AnswerWithDelay(exchange, NotApplied());
    }
    ++stats.reads;
    const bool from_old_state = faults.old_reads && sampler.Hits(faults.probability);
    if (from_old_state) ++stats.old_reads;
    AnswerWithDelay(exchange, ReadFrom(from_old_state ? old_store : store, exchange.Request()));
  }

  HttpAnswer ReadFrom(const MemoryPlatformState& from, const HttpRequest& request) {
    if (request.path == "/table/get") {
      const std::string key = Json::from_msgpack(request.body).at("key").get<std::string>();
      const std::optional<Row> row = from.Get(key);
      return MsgpackAnswer(200, {{"row", row ? ToJson(*row) : Json(nullptr)}});
    }
    if (request.path == "/table/scan") {
      const Json json = Json::from_msgpack(request.body);
      const size_t max_rows = std::min(json.value("most", kMaxRows), kMaxRows);
      return MsgpackAnswer(200, {{"rows", ToJson(from.Scan(json.value("prefix", ""),
                                                           json.value("after", ""), max_rows))}});
    }
    if (request.path == "/objects") return ListObjects(from, request);
    if (request.path.rfind(kObjectsPath, 0) == 0) {
      const std::string name = request.path.substr(std::string(kObjectsPath).size());
      const std::optional<std::string> object = from.GetObject(name);
      return object ? TextAnswer(200, *object) : TextAnswer(404, "absent\n");
    }
    if (request.path == "/vms") return MsgpackAnswer(200, ToJson(LaggedVms()));
    return TextAnswer(404, "no such path\n");
  }

  static HttpAnswer ListObjects(const MemoryPlatformState& from, const HttpRequest& request) {
    const std::string max_rows = request.Query("most");
    const size_t n = max_rows.empty() ? kMaxRows : std::min<size_t>(std::stoul(max_rows), kMaxRows);
    return MsgpackAnswer(
        200, {{"names", from.ListObjects(request.Query("prefix"), request.Query("after"), n)}});
  }

  // Returns the newest VM list that is at least as old as the lag.
  std::vector<ListedVm> LaggedVms() const {
    std::vector<ListedVm> vms;
    for (const VmListVersion& it : vm_lists) {
      if (clock.Now() - it.since >= faults.lag) vms = it.vms;
    }
    return vms;
  }

  void AnswerWithDelay(const HttpExchange& exchange, HttpAnswer answer) {
    const bool slow = faults.slow.count() > 0 && sampler.Hits(faults.probability);
    if (!slow) return exchange.Answer(std::move(answer));
    auto timer = std::make_shared<asio::steady_timer>(loop, faults.slow);
    timer->async_wait([timer, exchange, answer = std::move(answer)](std::error_code) {
      exchange.Answer(answer);
    });
  }

  std::string StatsText() const {
    const Json json = {{"reads", stats.reads},         {"writes", stats.writes},
                       {"conflicts", stats.conflicts}, {"over_rate", stats.over_rate},
                       {"malformed", stats.malformed}, {"lost_answers", stats.lost_answers},
                       {"old_reads", stats.old_reads}};
    return json.dump() + "\n";
  }

  asio::io_context& loop;
  const Clock& clock;
  MemoryPlatformState store;
  MemoryPlatformState old_store;  // Copy of `store` from when the fault old_reads was set.
  std::vector<VmListVersion> vm_lists;
  RateLimit read_limit;
  RateLimit write_limit;
  Faults faults;
  FaultSampler sampler{1};
  PlatformStats stats;
  std::unique_ptr<HttpServer> server;
};

PlatformStandin::PlatformStandin(asio::io_context& loop, const Clock& clock,
                                 const PlatformOptions& options)
    : state_(std::make_shared<State>(loop, clock, options)) {
  state_->server = std::make_unique<HttpServer>(
      loop, options.listen, [state = state_.get()](HttpExchange it) { state->OnRequest(it); },
      [state = state_.get()](size_t) { return true; });
}

PlatformStandin::~PlatformStandin() = default;

Endpoint PlatformStandin::Address() const { return state_->server->Address(); }

}  // namespace cowsliphill::standins
