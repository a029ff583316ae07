#include "standins/fleet_standin.h"

#include <openssl/evp.h>

#include <asio.hpp>
#include <deque>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "standins/http_server.h"
#include "standins/link.h"

namespace cowsliphill::standins {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr const char* kServersTable = "servers";
constexpr uint64_t kStreamedBytes = 100000;
constexpr size_t kMaxHistory = 20000;  // Number of changes kept for the feed.

std::string Base64(const std::string& bytes) {
  std::string out(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                reinterpret_cast<const unsigned char*>(bytes.data()),
                                static_cast<int>(bytes.size()));
  out.resize(static_cast<size_t>(n));
  return out;
}

uint64_t NumberOr(const std::string& text, uint64_t fallback) {
  return text.empty() ? fallback : std::stoull(text);
}

HttpAnswer JsonAnswer(int status, const Json& json) {
  return {status, {{"Content-Type", "application/json"}}, json.dump(), {}};
}

void RunAfter(asio::io_context& loop, milliseconds delay, std::function<void()> task) {
  const auto timer = std::make_shared<asio::steady_timer>(loop, delay);
  timer->async_wait([timer, task = std::move(task)](std::error_code) { task(); });
}

// The platform's store. Rows change only through control requests.
class RowStore {
 public:
  explicit RowStore(asio::io_context& loop) : loop_(loop) {}

  void Put(const std::string& table, const std::string& key, const std::string& value) {
    ApplyChange({table, key, Base64(value), ++version_, false});
  }
  void Erase(const std::string& table, const std::string& key) {
    ApplyChange({table, key, "", ++version_, true});
  }
  void Compact() {
    compacted_version_ = version_;
    history_.clear();
  }
  void Copy() { copy_ = {rows_, version_}; }
  void Restore() {
    rows_ = copy_.first;
    version_ = copy_.second;
    history_.clear();
    compacted_version_ = version_;
    ++era_;
    // The store was away for a moment, so calls that it held open get no answer.
    for (LongPoll& poll : long_polls_) {
      if (!std::exchange(poll.answered, true)) poll.exchange.Drop();
    }
  }
  // `delay` is the delay of answers in mode "slow".
  void SetMode(const std::string& mode, milliseconds delay, uint64_t bytes_per_second) {
    mode_ = mode;
    delay_ = delay;
    bytes_per_second_ = bytes_per_second;
  }
  uint64_t Reads() const { return reads_; }

  void OnRequest(const HttpExchange& exchange) {
    ++reads_;
    if (mode_ == "slow") return RunAfter(loop_, delay_, [this, exchange] { Respond(exchange); });
    Respond(exchange);
  }

 private:
  void Respond(const HttpExchange& exchange) {
    if (mode_ == "busy") return exchange.Answer(WithEra({503, {}, "", {}}));
    if (mode_ == "reset") return exchange.Drop();
    if (mode_ == "silent") return unanswered_.push_back(exchange);
    const HttpRequest& request = exchange.Request();
    if (request.path == "/-/rows-get") return exchange.Answer(WithEra(RowsFrom(request)));
    if (request.path != "/-/rows-feed") return exchange.Answer(WithEra({404, {}, "", {}}));
    const uint64_t after = NumberOr(request.Query("after"), 0);
    if (after < compacted_version_ || after > version_) {
      return exchange.Answer(WithEra({410, {}, "", {}}));
    }
    const std::string table = request.Query("table");
    if (HasChanges(table, after)) return exchange.Answer(WithEra(ChangesAfter(table, after)));
    long_polls_.push_back({exchange, table, after});
    const auto it = std::prev(long_polls_.end());
    RunAfter(loop_, milliseconds(NumberOr(request.Query("wait-ms"), 0)),
             [this, it] { EndLongPoll(it); });
  }

  struct Row {
    std::string table;
    std::string key;
    std::string value;
    uint64_t version = 0;
    bool deleted = false;
  };
  struct LongPoll {
    HttpExchange exchange;
    std::string table;
    uint64_t after = 0;
    bool answered = false;
  };

  static Json ToJson(const Row& row) {
    Json json = {{"table", row.table}, {"part", ""}, {"key", row.key}, {"ver", row.version}};
    if (row.deleted) {
      json["deleted"] = true;
    } else {
      json["value"] = row.value;
    }
    return json;
  }
  HttpAnswer WithEra(HttpAnswer answer) const {
    answer.headers.push_back({"Store-Era", std::to_string(era_)});
    return answer;
  }
  HttpAnswer RowsAnswer(Json rows) const {
    HttpAnswer answer = JsonAnswer(
        200, {{"rows", std::move(rows)}, {"has-more", false}, {"ver", version_}, {"now-ms", 1}});
    if (bytes_per_second_ == 0) return answer;
    const auto body = std::make_shared<const std::string>(std::move(answer.body));
    answer.generated.size = body->size();
    answer.generated.bytes_per_second = bytes_per_second_;
    answer.generated.bytes = [body](uint64_t at, size_t most) { return body->substr(at, most); };
    return answer;
  }
  void ApplyChange(const Row& row) {
    rows_[{row.table, row.key}] = row;
    history_.push_back(row);
    if (history_.size() > kMaxHistory) {
      compacted_version_ = history_.front().version;
      history_.pop_front();
    }
    for (LongPoll& poll : long_polls_) {
      if (poll.answered || poll.table != row.table) continue;
      poll.answered = true;
      if (mode_ != "silent") poll.exchange.Answer(WithEra(ChangesAfter(poll.table, poll.after)));
    }
  }
  void EndLongPoll(std::list<LongPoll>::iterator it) {
    if (!it->answered && mode_ != "silent") {
      it->exchange.Answer(WithEra(ChangesAfter(it->table, it->after)));
    }
    long_polls_.erase(it);
  }
  bool HasChanges(const std::string& table, uint64_t after) const {
    return std::any_of(history_.rbegin(), history_.rend(),
                       [&](const Row& row) { return row.table == table && row.version > after; });
  }
  HttpAnswer ChangesAfter(const std::string& table, uint64_t after) const {
    Json rows = Json::array();
    for (const Row& row : history_) {
      if (row.table == table && row.version > after) rows.push_back(ToJson(row));
    }
    return RowsAnswer(std::move(rows));
  }
  HttpAnswer RowsFrom(const HttpRequest& request) const {
    Json rows = Json::array();
    for (const auto& [key, row] : rows_) {
      if (row.table != request.Query("table") || row.deleted) continue;
      if (row.key >= request.Query("from")) rows.push_back(ToJson(row));
    }
    return RowsAnswer(std::move(rows));
  }

  asio::io_context& loop_;
  std::map<std::pair<std::string, std::string>, Row> rows_;
  std::pair<std::map<std::pair<std::string, std::string>, Row>, uint64_t> copy_;  // For Restore.
  uint64_t era_ = 1;
  std::deque<Row> history_;  // Changes after compacted_version_, oldest first.
  std::list<LongPoll> long_polls_;
  std::vector<HttpExchange> unanswered_;  // Requests of mode "silent": kept open, never answered.
  std::string mode_ = "ok";
  milliseconds delay_{0};
  uint64_t bytes_per_second_ = 0;  // Bandwidth of each answer; 0: unlimited.
  uint64_t version_ = 0;
  uint64_t compacted_version_ = 0;  // The feed answers 410 for changes up to this version.
  uint64_t reads_ = 0;
};

struct Arrival {
  std::string request;
  std::string server;
  milliseconds at{0};  // On the clock of the stand-in.
  bool leaving = false;
  milliseconds pause{0};
};

struct JournalEntry {
  std::string request;
  std::string server;
  bool ended = false;
};

// One backend server of the fleet.
class Server {
 public:
  // Called when the server is back after a crash, with its previous name.
  using OnRestart = std::function<void(const std::string& previous)>;

  Server(asio::io_context& loop, const Clock& clock, std::string name, const FleetOptions& options,
         std::vector<JournalEntry>& journal, std::vector<Arrival>& arrivals, OnRestart on_restart)
      : loop_(loop),
        clock_(clock),
        name_(std::move(name)),
        slots_(options.slots),
        work_(options.work),
        journal_(journal),
        arrivals_(arrivals),
        base_name_(name_),
        down_time_(options.down),
        on_restart_(std::move(on_restart)),
        server_(std::make_unique<HttpServer>(loop, Endpoint{"127.0.0.1", 0}, Handler())),
        address_(server_->Address()),
        link_(options.links ? std::make_unique<Link>(loop, address_) : nullptr) {}

  // Where entry VMs connect.
  Endpoint Address() const { return link_ ? link_->Address() : address_; }
  Link* GetLink() { return link_.get(); }  // May be null.
  const std::string& Name() const { return name_; }
  void Crash() {
    if (down_) return;
    down_ = true;
    if (link_) link_->SetServerUp(false);
    server_->StopListening();
    server_.reset();
    for (const auto& [id, exchange] : std::exchange(open_, {})) exchange.Drop();
    running_ = 0;
    RunAfter(loop_, down_time_, [this] {
      const std::string previous = name_;
      name_ = base_name_ + "." + std::to_string(++generation_);
      leaving_ = false;
      server_ = std::make_unique<HttpServer>(loop_, address_, Handler());
      down_ = false;
      if (link_) link_->SetServerUp(true);
      on_restart_(previous);
    });
  }
  void ApplyControl(const HttpRequest& control) {
    mode_ = control.Query("mode").empty() ? mode_ : control.Query("mode");
    work_ = milliseconds(NumberOr(control.Query("work_ms"), static_cast<uint64_t>(work_.count())));
    slowdown_ = NumberOr(control.Query("slowdown"), slowdown_);
    if (!control.Query("limit").empty()) limit_ = control.Query("limit");
    if (!control.Query("leaving").empty()) leaving_ = control.Query("leaving") == "1";
    if (!control.Query("pause").empty()) pause_ = control.Query("pause");
  }

 private:
  std::vector<HttpHeader> Headers() const {
    std::vector<HttpHeader> headers = {
        {"X-Instance-Id", name_},
        {"X-Server-Load", std::to_string(running_) + ",0," + std::to_string(slots_) + "," +
                              std::to_string(slowdown_)}};
    if (limit_ != "0") headers.push_back({"Server-Limit", limit_});
    if (leaving_) headers.push_back({"Server-Leaving", "1"});
    return headers;
  }
  HttpServer::Handler Handler() {
    return [this](const HttpExchange& it) { OnRequest(it); };
  }
  void OnRequest(const HttpExchange& exchange) {
    if (down_) return exchange.Drop();  // On a connection from before the crash.
    const HttpRequest& request = exchange.Request();
    if (request.path == "/health") return exchange.Answer({200, Headers(), "", {}});
    arrivals_.push_back({request.Header("x-request-id"), name_, Now(), leaving_,
                         milliseconds(static_cast<int64_t>(std::stod(pause_) * 1000))});
    if (pause_ != "0") {
      std::vector<HttpHeader> headers = Headers();
      headers.push_back({"X-Not-Executed", "1"});
      headers.push_back({"Retry-After", pause_});
      return exchange.Answer({503, headers, "", {}});
    }
    if (request.Header("x-target-instance") != name_) {
      return exchange.Answer({421, Headers(), "", {}});
    }
    if (mode_ == "hang") return unanswered_.push_back(exchange);
    if (mode_ == "shed" || running_ >= slots_) {
      std::vector<HttpHeader> headers = Headers();
      headers.push_back({"X-Not-Executed", "1"});
      return exchange.Answer({503, headers, "", {}});
    }
    Run(exchange);
  }
  milliseconds Now() const {
    return std::chrono::duration_cast<milliseconds>(clock_.Now().time_since_epoch());
  }
  void Run(const HttpExchange& exchange) {
    ++running_;
    const size_t entry = journal_.size();
    journal_.push_back({exchange.Request().Header("x-request-id"), name_, false});
    if (mode_ == "stream") exchange.Answer(StreamedAnswerOf(exchange.Request()));
    open_.emplace(entry, exchange);
    RunAfter(loop_, work_ * slowdown_ / 100, [this, exchange, entry] {
      if (open_.erase(entry) == 0) return;  // The server has crashed.
      // Like the platform's servers, it counts the request in the load that its answer states.
      HttpAnswer answer = AnswerOf(exchange.Request());
      --running_;
      journal_[entry].ended = true;
      if (exchange.Request().path.find("poison") != std::string::npos) {
        exchange.Drop();
        return Crash();
      }
      if (mode_ == "stream") return;
      if (mode_ == "cut") return exchange.Drop();
      exchange.Answer(std::move(answer));
    });
  }
  HttpAnswer StreamedAnswerOf(const HttpRequest& request) const {
    HttpAnswer answer = AnswerOf(request);
    answer.body.clear();
    answer.generated.size = kStreamedBytes;
    const auto work = static_cast<uint64_t>(std::max<int64_t>(work_.count(), 1));
    answer.generated.bytes_per_second = kStreamedBytes * 1000 / work;
    answer.generated.bytes = [](uint64_t at, size_t most) {
      return std::string(std::min<uint64_t>(most, kStreamedBytes - at), 'x');
    };
    return answer;
  }
  HttpAnswer AnswerOf(const HttpRequest& request) const {
    HttpAnswer answer{mode_ == "error" ? 500 : 200, Headers(), "", {}};
    const std::string id = request.Header("x-request-id");
    answer.headers.push_back({"X-Request-Id", mode_ == "stray" ? id + "-other" : id});
    answer.headers.push_back({"X-Response-Signature", "signed." + name_ + "." + id});
    answer.body = "body of " + id + " by " + name_;
    return answer;
  }

  asio::io_context& loop_;
  const Clock& clock_;
  std::string name_;
  uint32_t slots_;
  milliseconds work_;
  uint64_t slowdown_ = 100;  // Execution time in percent of `work_`.
  uint32_t running_ = 0;
  std::string mode_ = "ok";
  std::string limit_ = "0";  // Requests per second, as sent; "0": none.
  std::string pause_ = "0";  // Seconds, as sent; "0": none.
  bool leaving_ = false;
  std::vector<JournalEntry>& journal_;
  std::vector<Arrival>& arrivals_;
  std::vector<HttpExchange> unanswered_;
  std::string base_name_;
  milliseconds down_time_;
  OnRestart on_restart_;
  bool down_ = false;
  size_t generation_ = 0;                // Number of restarts.
  std::map<size_t, HttpExchange> open_;  // Running requests by their index in the journal.
  std::unique_ptr<HttpServer> server_;   // Null while the server is down.
  Endpoint address_;
  std::unique_ptr<Link> link_;
};

}  // namespace

struct FleetStandin::State {
  State(asio::io_context& loop, const Clock& clock, const FleetOptions& options) : store(loop) {
    for (size_t i = 0; i < options.servers; ++i) {
      const std::string name = "s-" + std::to_string(i);
      servers[name] =
          std::make_unique<Server>(loop, clock, name, options, journal, arrivals,
                                   [this, name, &clock, options](const std::string& it) {
                                     store.Erase(kServersTable, it);
                                     Register(name, clock, options);
                                   });
      Register(name, clock, options);
    }
    http = std::make_unique<HttpServer>(loop, options.listen,
                                        [this](const HttpExchange& it) { OnRequest(it); });
  }

  void Register(const std::string& name, const Clock& clock, const FleetOptions& options) {
    const Server& server = *servers.at(name);
    const Json row = {{"service", options.service},
                      {"address", server.Address().ToString()},
                      {"zone", options.failure_domain},
                      {"version", "v1"},
                      {"slots", options.slots},
                      {"state", "ready"},
                      {"warmup-left-ms", 0},
                      {"seq-no", 1},
                      {"born", clock.WallNow().time_since_epoch().count()}};
    store.Put(kServersTable, server.Name(), row.dump());
  }

  void OnRequest(const HttpExchange& exchange) {
    const HttpRequest& request = exchange.Request();
    if (request.path.rfind("/control/", 0) == 0) return exchange.Answer(Control(request));
    store.OnRequest(exchange);
  }

  HttpAnswer Control(const HttpRequest& request) {
    const std::string& path = request.path;
    if (path == "/control/journal") return Journal();
    if (path == "/control/arrivals") return Arrivals();
    if (path == "/control/counts") return JsonAnswer(200, {{"reads", store.Reads()}});
    if (path == "/control/row" && request.method == "PUT") {
      store.Put(request.Query("table"), request.Query("key"), request.body);
    } else if (path == "/control/row") {
      store.Erase(request.Query("table"), request.Query("key"));
    } else if (path == "/control/store") {
      store.SetMode(request.Query("mode"), milliseconds(NumberOr(request.Query("slow_ms"), 100)),
                    NumberOr(request.Query("bytes_per_s"), 0));
    } else if (path == "/control/copy") {
      store.Copy();
    } else if (path == "/control/restore") {
      store.Restore();
    } else if (path == "/control/compact") {
      store.Compact();
    } else if (path == "/control/link" && SetLinks(request)) {
      return {200, {}, "ok\n", {}};
    } else if (path == "/control/crash" && servers.count(request.Query("name")) > 0) {
      servers.at(request.Query("name"))->Crash();
    } else if (path == "/control/server" && servers.count(request.Query("name")) > 0) {
      servers.at(request.Query("name"))->ApplyControl(request);
    } else {
      return {404, {}, "no such control path\n", {}};
    }
    return {200, {}, "ok\n", {}};
  }

  bool SetLinks(const HttpRequest& control) {
    const std::optional<LinkMode> mode = ParseLinkMode(control.Query("mode"));
    const std::string name = control.Query("name");
    if (!mode) return false;
    for (const auto& [server_name, server] : servers) {
      if (!name.empty() && name != server_name) continue;
      if (server->GetLink() == nullptr) return false;
      server->GetLink()->SetMode(control.Query("from"), *mode);
    }
    return true;
  }

  HttpAnswer Journal() const {
    Json list = Json::array();
    for (const JournalEntry& it : journal) {
      list.push_back({{"request", it.request}, {"server", it.server}, {"ended", it.ended}});
    }
    return JsonAnswer(200, list);
  }

  HttpAnswer Arrivals() const {
    Json list = Json::array();
    for (const Arrival& it : arrivals) {
      list.push_back({{"request", it.request},
                      {"server", it.server},
                      {"at_ms", it.at.count()},
                      {"leaving", it.leaving},
                      {"pause_ms", it.pause.count()}});
    }
    return JsonAnswer(200, list);
  }

  RowStore store;
  std::vector<JournalEntry> journal;
  std::vector<Arrival> arrivals;
  std::map<std::string, std::unique_ptr<Server>> servers;
  std::unique_ptr<HttpServer> http;
};

FleetStandin::FleetStandin(asio::io_context& loop, const Clock& clock, const FleetOptions& options)
    : state_(std::make_shared<State>(loop, clock, options)) {}

FleetStandin::~FleetStandin() = default;

Endpoint FleetStandin::StoreAddress() const { return state_->http->Address(); }

}  // namespace cowsliphill::standins
