#include "src/cli/entry_vm.h"

#include <fmt/format.h>

#include <asio/post.hpp>
#include <csignal>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/manifest/manifest_format.h"

namespace cowsliphill {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kTick{1000};            // Between rounds of housekeeping.
constexpr milliseconds kShortTick{20};         // Between looks at the slices' timers.
constexpr milliseconds kStopPollInterval{50};  // Between looks whether the last request has ended.

double Millis(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

EntryVmId NewEntryVmId(const Settings& settings, uint64_t seed) {
  return EntryVmId(settings.place.Text() + "-" + fmt::format("{:016x}", seed));
}

json ServerJson(const ServerView& view) {
  json item = {{"backend_server", view.server.Text()},
               {"service", view.service.Text()},
               {"in_flight", view.in_flight},
               {"leaving", view.leaving},
               {"circuit", view.circuit},
               {"latency_estimate_ms", Millis(view.latency_estimate)}};
  if (!view.last_report) return item;
  item["report_age_ms"] = Millis(view.report_age);
  item["report"] = {{"draining", view.last_report->draining},
                    {"shedding", view.last_report->shedding}};
  if (view.last_report->in_flight) item["report"]["in_flight"] = *view.last_report->in_flight;
  if (view.last_report->slots) item["report"]["slots"] = *view.last_report->slots;
  return item;
}

}  // namespace

EntryVm::EntryVm(Settings settings, const Clock& clock, uint64_t seed)
    : settings_(std::move(settings)),
      clock_(clock),
      on_loop_([this](std::function<void()> task) { asio::post(io_, std::move(task)); }),
      id_(NewEntryVmId(settings_, seed)),
      log_(clock_, settings_.log),
      platform_(clock_, settings_.platform, on_loop_),
      manifest_(std::make_shared<Manifest>()),
      chooser_(settings_.place, seed),
      dispatcher_(io_, clock_, chooser_),
      pool_(io_, clock_, settings_.backend, settings_.edge.max_header_bytes,
            settings_.edge.buffer_bytes),
      claims_(platform_, clock_, seed, id_),
      context_(MakeContext()),
      edge_(context_),
      admin_(settings_.admin, on_loop_),
      signals_(io_, SIGTERM, SIGINT),
      tick_(io_),
      short_tick_(io_),
      stop_timer_(io_) {
  context_.ids.prefix = seed;
}

EntryVm::~EntryVm() = default;

ForwardContext EntryVm::MakeContext() {
  ForwardContext context{io_, clock_, settings_, dispatcher_, pool_, claims_};
  context.manifest = [this] { return manifest_; };
  context.lookup = [this](const std::string& caller_ip, const std::string& query) {
    return LookupJson(caller_ip, query);
  };
  context.on_report = [this](const BackendServerId& server, const Report& report) {
    chooser_.OnReport(server, report, clock_.Now());
    dispatcher_.Poll();
  };
  context.observer = MakeObserver();
  dispatcher_.OnSlow([this](Ticket ticket) {
    const auto it = context_.exchanges.find(ticket);
    if (it != context_.exchanges.end()) it->second->OnSlow();
  });
  return context;
}

RequestObserver EntryVm::MakeObserver() {
  RequestObserver observer;
  observer.on_ended = [this](const RequestEnd& end) { OnRequestEnded(end); };
  observer.on_bad_input = [this](const std::string& kind, const std::string& detail) {
    metrics_.OnBadInput(kind);
    log_.Write(LogLevel::kWarning, "bad input", {{"kind", kind}, {"detail", detail}});
  };
  return observer;
}

void EntryVm::OnRequestEnded(const RequestEnd& end) {
  metrics_.OnRequestEnded(end);
  const bool clean = end.whole && !end.late && end.outcome == Outcome::kRan;
  const LogLevel level = clean ? LogLevel::kDebug : LogLevel::kInfo;
  if (!log_.Writes(level)) return;
  log_.Write(level, "request ended",
             {{"request", end.id.Text()},
              {"service", end.service.Text()},
              {"tenant", end.tenant.Text()},
              {"class", std::string(NameOf(end.request_class))},
              {"backend_server", end.server.Text()},
              {"status", int64_t{end.status}},
              {"outcome", std::string(NameOf(end.outcome))},
              {"whole", end.whole},
              {"late", end.late},
              {"caller_gone", end.caller_gone},
              {"attempts", int64_t{end.attempts}},
              {"took_ms", Millis(end.took)},
              {"detail", end.detail}});
}

int EntryVm::Run() {
  if (settings_.platform.kind == PlatformKind::kMemory) {
    log_.Write(LogLevel::kWarning, "platform kind is memory",
               {{"detail", std::string("NOTHING OUTLIVES THIS PROCESS: manifest, claims and "
                                       "records are lost when it ends")}});
  }
  if (!LoadInitialManifest()) return 1;
  AddRoutes();
  std::string error = edge_.Listen(settings_.edge.listen);
  if (error.empty()) error = admin_.Start();
  if (!error.empty()) {
    log_.Write(LogLevel::kError, "can't listen", {{"detail", error}});
    return 1;
  }
  log_.Write(LogLevel::kInfo, "serving",
             {{"entry_vm", id_.Text()},
              {"edge", edge_.LocalEndpoint().ToString()},
              {"admin", Endpoint{settings_.admin.listen.ip, admin_.Port()}.ToString()}});
  AwaitSignal();
  EveryTick();
  EveryShortTick();
  io_.run();
  admin_.Stop();
  DrainLoop();
  log_.Write(LogLevel::kInfo, "stopped", {{"entry_vm", id_.Text()}});
  return exit_code_;
}

void EntryVm::DrainLoop() {
  // Handlers that are still queued hold connections that use the slices: run them out while the
  // slices are there.
  edge_.AbortAll();
  pool_.CloseAll();
  io_.restart();
  io_.poll();
}

bool EntryVm::LoadInitialManifest() {
  if (settings_.manifest_file.empty()) return true;
  std::ifstream in(settings_.manifest_file, std::ios::binary);
  const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  const ManifestResult result = ParseManifest(text, settings_.manifest_file);
  if (!Ok(result)) {
    for (const Issue& issue : ErrorOf(result)) {
      log_.Write(LogLevel::kError, "manifest refused", {{"detail", issue.ToString()}});
    }
    return false;
  }
  auto manifest = std::make_shared<Manifest>(ValueOf(result));
  manifest->revision = 1;
  PutInForce(std::move(manifest));
  return true;
}

void EntryVm::PutInForce(std::shared_ptr<const Manifest> manifest) {
  manifest_ = std::move(manifest);
  chooser_.Apply(*manifest_, clock_.Now());
  dispatcher_.Poll();
  log_.Write(LogLevel::kInfo, "manifest in force",
             {{"revision", static_cast<int64_t>(manifest_->revision)}});
}

void EntryVm::AddRoutes() {
  const auto reply_ok = [](const std::string& body) { return AdminAnswer{200, body}; };
  admin_.Add({"GET", "/healthz", false, [reply_ok](const AdminRequest&, const AdminReply& reply) {
                reply(reply_ok("{\"healthy\":true}\n"));
              }});
  admin_.Add({"GET", "/readyz", false, [this](const AdminRequest&, const AdminReply& reply) {
                const bool ready = manifest_->revision > 0 && !stopping_;
                reply({ready ? 200 : 503, ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n"});
              }});
  admin_.Add({"GET", "/metrics", false, [this](const AdminRequest&, const AdminReply& reply) {
                reply({200, metrics_.Serialize(), "text/plain; version=0.0.4"});
              }});
  admin_.Add(
      {"GET", "/v1/status", true, [this, reply_ok](const AdminRequest&, const AdminReply& reply) {
         reply(reply_ok(StatusJson()));
       }});
  admin_.Add(
      {"GET", "/v1/explain", true, [this](const AdminRequest& request, const AdminReply& reply) {
         reply(ExplainAnswer(request.Parameter("service")));
       }});
  admin_.Add(
      {"GET", "/v1/drain", true, [this](const AdminRequest& request, const AdminReply& reply) {
         reply(DrainAnswer(request.Parameter("backend_server")));
       }});
}

std::string EntryVm::LookupJson(const std::string& caller_ip, const std::string& query) const {
  const Endpoint self =
      settings_.edge.advertise.port != 0 ? settings_.edge.advertise : edge_.LocalEndpoint();
  json answer = {{"entries", json::array()},
                 {"lifetime_ms", manifest_->entry.lookup_lifetime.count()}};
  if (!stopping_) answer["entries"].push_back(self.ToString());
  return answer.dump() + "\n";
}

std::string EntryVm::StatusJson() const {
  json status = {{"entry_vm", id_.Text()},
                 {"place", settings_.place.Text()},
                 {"manifest_revision", manifest_->revision},
                 {"stopping", stopping_},
                 {"open_requests", context_.open_requests},
                 {"open_caller_connections", edge_.OpenConnections()},
                 {"backend_servers", json::array()}};
  for (const ServerView& view : chooser_.View(clock_.Now())) {
    status["backend_servers"].push_back(ServerJson(view));
  }
  return status.dump(2) + "\n";
}

AdminAnswer EntryVm::ExplainAnswer(const std::string& service) const {
  json answer = {{"service", service}, {"decisions", json::array()}};
  for (const Decision& decision : chooser_.Recent(ServiceId(service))) {
    answer["decisions"].push_back(
        {{"ticket", decision.ticket}, {"chosen", decision.chosen}, {"reason", decision.reason}});
  }
  return {200, answer.dump(2) + "\n"};
}

AdminAnswer EntryVm::DrainAnswer(const std::string& server) const {
  for (const ServerView& view : chooser_.View(clock_.Now())) {
    if (view.server.Text() != server) continue;
    const bool free = view.leaving && view.in_flight == 0;
    const json answer = {{"backend_server", server},
                         {"leaving", view.leaving},
                         {"in_flight", view.in_flight},
                         {"free", free}};
    return {200, answer.dump() + "\n"};
  }
  return AdminError(404, "backend_server: found \"" + server +
                             "\"; allowed: a backend server of the manifest in force");
}

void EntryVm::EveryShortTick() {
  claims_.Tick();
  short_tick_.expires_after(kShortTick);
  short_tick_.async_wait([this](std::error_code ec) {
    if (!ec) EveryShortTick();
  });
}

void EntryVm::EveryTick() {
  pool_.CloseIdle();
  metrics_.Set("cowsliphill_open_requests", "Requests in flight",
               static_cast<double>(context_.open_requests));
  metrics_.Set("cowsliphill_caller_connections", "Open connections of callers",
               static_cast<double>(edge_.OpenConnections()));
  metrics_.Set("cowsliphill_backend_connections", "Open connections to backend servers",
               static_cast<double>(pool_.OpenConnections()));
  metrics_.Set("cowsliphill_log_lines_dropped", "Log lines lost to a full queue",
               static_cast<double>(log_.Dropped()));
  metrics_.Set("cowsliphill_manifest_revision", "Revision in force",
               static_cast<double>(manifest_->revision));
  tick_.expires_after(kTick);
  tick_.async_wait([this](std::error_code ec) {
    if (!ec) EveryTick();
  });
}

void EntryVm::AwaitSignal() {
  signals_.async_wait([this](std::error_code ec, int signal) {
    if (ec) return;
    if (stopping_) {
      log_.Write(LogLevel::kWarning, "second signal, stopping at once", {});
      exit_code_ = 1;
      return io_.stop();
    }
    log_.Write(LogLevel::kInfo, "graceful stop", {{"signal", int64_t{signal}}});
    StartStopping();
    AwaitSignal();
  });
}

void EntryVm::StartStopping() {
  stopping_ = true;  // From now on no lookup answer names this entry VM.
  context_.leaving = true;
  stop_started_ = clock_.Now();
  // Callers may keep an answer for its lifetime, so new connections are taken until then.
  stop_timer_.expires_after(manifest_->entry.lookup_lifetime);
  stop_timer_.async_wait([this](std::error_code ec) {
    if (ec) return;
    edge_.StopAccepting();
    StopWhenIdle();
  });
}

void EntryVm::StopWhenIdle() {
  const bool late = clock_.Now() - stop_started_ > settings_.stop_timeout;
  if (context_.open_requests == 0 || late) {
    if (late) log_.Write(LogLevel::kError, "stop_timeout_ms passed with requests open", {});
    return io_.stop();
  }
  stop_timer_.expires_after(kStopPollInterval);
  stop_timer_.async_wait([this](std::error_code ec) {
    if (!ec) StopWhenIdle();
  });
}

}  // namespace cowsliphill
