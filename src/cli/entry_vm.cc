#include "src/cli/entry_vm.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio/post.hpp>
#include <csignal>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/forward/plain_server.h"

namespace cowsliphill {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSecond{1000};
constexpr milliseconds kShortTickInterval{20};
// Interval for the components that scan all members or backend servers on each tick.
constexpr milliseconds kLongTickInterval{100};
constexpr milliseconds kVmListInterval{2000};  // Interval between reads of the platform's VM list.
constexpr milliseconds kDepartureTime{300};    // Time to send the last peer messages.
// Time beyond the stop timeout to write records and claims, once all requests have ended.
constexpr milliseconds kFinalWriteTimeout{10000};
constexpr size_t kMaxDetailLength = 200;  // Most characters of a record's detail.

EntryVmId NewEntryVmId(const Settings& settings, uint64_t seed) {
  return EntryVmId(settings.failure_domain.Text() + "-" + fmt::format("{:016x}", seed));
}

RecordCause CauseOf(const RequestEnd& end) {
  if (end.caller_gone) return RecordCause::kCallerGone;
  if (end.outcome == Outcome::kNotRun) return RecordCause::kRefused;
  if (end.outcome == Outcome::kUnknown) return RecordCause::kUnknown;
  if (!end.whole) return RecordCause::kCutAnswer;
  return end.late ? RecordCause::kLate : RecordCause::kOnTime;
}

}  // namespace

// ---- 1. Build ----------------------------------------------------------------------------------

EntryVm::EntryVm(Settings settings, const Clock& clock, uint64_t seed)
    : settings_(std::move(settings)),
      clock_(clock),
      seed_(seed),
      worker_(1),
      on_loop_([this](std::function<void()> task) { asio::post(io_, std::move(task)); }),
      on_worker_([this](std::function<void()> task) { asio::post(worker_, std::move(task)); }),
      id_(NewEntryVmId(settings_, seed)),
      log_(clock_, settings_.log),
      platform_(clock_, settings_.platform, on_loop_),
      manifest_(std::make_shared<Manifest>()),
      chooser_(settings_.failure_domain, seed),
      dispatcher_(io_, clock_, &chooser_),
      pool_(io_, clock_, settings_.backend, settings_.edge.max_header_bytes, kReadBufferBytes),
      claims_(platform_, clock_, seed, id_),
      claim_sweeper_(platform_, clock_, seed),
      context_(MakeContext()),
      edge_(context_),
      admin_(settings_.admin, on_loop_),
      peers_(io_, clock_, id_, settings_.peer),
      record_reader_(platform_),
      probe_client_(
          io_, clock_, settings_.backend, {},
          [](const HttpHead& response, const ProbeTarget& target) {
            return ParseReport(target.format, [&response](const std::string& name) {
              return response.Find(name);
            });
          },
          [this](const ProbeTarget& target, const ProbeOutcome& outcome) {
            OnProbed(target, outcome.report);
          }),
      prober_(id_, platform_, clock_,
              [this](const ProbeTarget& target) { probe_client_.Send(target); }),
      signals_(io_, SIGTERM, SIGINT),
      second_timer_(io_),
      short_timer_(io_),
      stop_(io_, clock_, kDepartureTime) {
  context_.ids.prefix = seed;
  dispatcher_.SetHedgeDueCallback([this](Ticket ticket) {
    const auto it = context_.exchanges.find(ticket);
    if (it != context_.exchanges.end()) it->second->OnHedgeDue();
  });
}

EntryVm::~EntryVm() = default;

ForwardContext EntryVm::MakeContext() {
  ForwardContext context{io_, clock_, settings_, dispatcher_, pool_, &claims_};
  context.manifest = [this] { return manifest_; };
  context.ready = [this] { return follower_ && follower_->Ready(); };
  context.lookup = [this](const std::string& caller_ip, const std::string& query) {
    return LookupJson(caller_ip, query);
  };
  context.on_report = [this](const BackendServerId& server, const Report& report) {
    chooser_.OnReport(server, report, clock_.Now());
    dispatcher_.PollSoon();
  };
  context.observer = MakeObserver();
  return context;
}

RequestObserver EntryVm::MakeObserver() {
  RequestObserver observer;
  observer.on_started = [this](const RequestMeta& meta, WallTime started) {
    return OnRequestStarted(meta, started);
  };
  observer.on_ended = [this](const RequestEnd& end) { OnRequestEnded(end); };
  observer.on_bad_input = [this](const std::string& kind, const std::string& detail) {
    metrics_.OnBadInput(kind);
    log_.Write(LogLevel::kWarning, "bad input", {{"kind", kind}, {"detail", detail}});
  };
  return observer;
}

int EntryVm::Run() {
  if (settings_.platform.kind == PlatformKind::kMemory) {
    log_.Write(LogLevel::kWarning, "platform kind is memory",
               {{"detail", std::string("manifest, claims and records are kept only in memory "
                                       "and are lost when this process ends")}});
  }
  const std::string error = Listen();
  if (!error.empty()) {
    log_.Write(LogLevel::kError, "can't listen", {{"detail", error}});
    return 1;
  }
  SubmitInitialManifest();
  AwaitSignal();
  EveryShortTick();
  EverySecond();
  io_.run();
  admin_.Stop();
  DrainLoop();
  log_.Write(LogLevel::kInfo, "stopped", {{"entry_vm", id_.Text()}});
  return exit_code_;
}

std::string EntryVm::Listen() {
  std::string error = edge_.Listen(settings_.edge.listen);
  if (!error.empty()) return error;
  const auto peer = peers_.Listen();
  if (!Ok(peer)) {
    return "peer.listen: " + ErrorOf(peer).endpoint.ToString() + ": " + ErrorOf(peer).detail;
  }
  const auto advertised = [](const Endpoint& wanted, const Endpoint& bound) {
    return wanted.port != 0 ? wanted : bound;
  };
  edge_address_ = advertised(settings_.edge.advertise, edge_.LocalEndpoint());
  settings_.peer.advertise = advertised(settings_.peer.advertise, ValueOf(peer));
  BuildAfterListening();
  AddRoutes();
  error = admin_.Start();
  if (!error.empty()) return error;
  log_.Write(LogLevel::kInfo, "serving",
             {{"entry_vm", id_.Text()},
              {"edge", edge_.LocalEndpoint().ToString()},
              {"peer", ValueOf(peer).ToString()},
              {"admin", Endpoint{settings_.admin.listen.ip, admin_.Port()}.ToString()}});
  return "";
}

void EntryVm::BuildAfterListening() {
  const Member self{id_,
                    edge_address_,
                    settings_.peer.advertise,
                    settings_.failure_domain,
                    settings_.region,
                    MemberState::kAlive};
  MembershipConfig membership;
  membership.seeds = settings_.peer.seeds;
  MembersOptions members_options;
  members_options.seed = seed_;
  members_.emplace(io_, clock_, peers_, platform_, membership, self, members_options);
  leaving_spread_.emplace(io_, clock_, peers_, *members_, seed_,
                          [this](const LeavingNotice& notice) {
                            chooser_.OnLeaving(notice.server, LeavingSource::kPeer, clock_.Now());
                            dispatcher_.PollSoon();
                          });
  TrackerOptions tracker;
  tracker.id = id_;
  tracker.failure_domain = settings_.failure_domain;
  tracker.head_poll_interval = settings_.platform.poll_interval;
  tracker.seed = seed_;
  follower_.emplace(platform_, platform_, peers_, on_loop_, on_worker_, clock_, tracker,
                    [this] { return members_->Live(); });
  follower_->Subscribe([this](const ManifestPtr& manifest) { OnManifest(manifest); });
  keeper_.emplace(platform_, platform_, on_loop_, on_worker_, clock_, *follower_);
  records_.emplace(peers_, platform_, clock_, seed_, id_, settings_.failure_domain);
  members_->Subscribe([this](const std::vector<MemberChange>&) { OnMembers(); });
  OnMembers();
}

void EntryVm::SubmitInitialManifest() {
  if (settings_.manifest_file.empty()) return;
  std::ifstream in(settings_.manifest_file, std::ios::binary);
  Submission submission;
  submission.id = "start";
  submission.text.assign(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
  submission.author.team = TeamId("settings");
  submission.note = "manifest_file of the settings";
  keeper_->Submit(submission, [this](const SubmissionAnswer& answer) {
    if (std::holds_alternative<Accepted>(answer)) return;
    std::string detail = "the submission was neither accepted nor refused";
    if (const auto* refused = std::get_if<Refused>(&answer)) {
      for (const Issue& issue : refused->issues) {
        log_.Write(LogLevel::kError, "manifest refused",
                   {{"file", settings_.manifest_file}, {"detail", issue.ToString()}});
      }
      detail = "refused";
    }
    log_.Write(LogLevel::kError, "manifest_file is not in force", {{"detail", detail}});
    exit_code_ = 1;
    io_.stop();
  });
}

// ---- 2. Events between components --------------------------------------------------------------

void EntryVm::OnManifest(const ManifestPtr& manifest) {
  manifest_ = manifest;
  chooser_.Apply(*manifest_, clock_.Now());
  prober_.Apply(*manifest_);
  dispatcher_.PollSoon();
  log_.Write(LogLevel::kInfo, "manifest in force",
             {{"revision", static_cast<int64_t>(manifest_->revision)}});
}

void EntryVm::OnMembers() {
  const std::vector<Member>& live = members_->Live();
  std::vector<Member> with_self = live;
  with_self.push_back(members_->Self());
  records_->OnMembers(with_self);
  std::vector<EntryVmId> ids = {id_};
  for (const Member& member : live) {
    if (member.state == MemberState::kAlive) ids.push_back(member.id);
  }
  prober_.SetMembers(std::move(ids));
}

void EntryVm::ReportLeavingServers() {
  for (const BackendServerId& id : chooser_.TakeNewlyLeaving()) {
    const auto& servers = manifest_->backend_servers;
    const auto it =
        std::lower_bound(servers.begin(), servers.end(), id,
                         [](const BackendServer& server, const BackendServerId& wanted) {
                           return server.id < wanted;
                         });
    if (it == servers.end() || it->id != id) continue;
    leaving_spread_->Report(it->service, id);
    log_.Write(LogLevel::kInfo, "backend server is leaving", {{"backend_server", id.Text()}});
  }
}

void EntryVm::ReadVmList() {
  next_vm_list_ = clock_.Now() + kVmListInterval;
  platform_.ListVms([this](const VmListResult& result) {
    if (!Ok(result)) return;
    for (const ListedVm& vm : ValueOf(result)) {
      if (!vm.leaving) continue;
      for (const BackendServer& server : manifest_->backend_servers) {
        if (server.endpoint != vm.edge) continue;
        chooser_.OnLeaving(server.id, LeavingSource::kVmList, clock_.Now());
      }
    }
    dispatcher_.PollSoon();
  });
}

uint64_t EntryVm::OnRequestStarted(const RequestMeta& meta, WallTime started) {
  RequestRecord record;
  record.request = LoggedId(meta.id);
  record.tenant = meta.tenant;
  record.service = meta.service->id;
  record.request_class = meta.request_class;
  record.entry_vm = id_;
  record.started = started;
  record.deadline = meta.timeout;
  return records_->Started(record);
}

void EntryVm::OnRequestEnded(const RequestEnd& end) {
  metrics_.OnRequestEnded(end);
  if (end.record != 0) {
    RequestRecord record;
    record.request = end.id;
    record.tenant = end.tenant;
    record.service = end.service;
    record.request_class = end.request_class;
    record.entry_vm = id_;
    record.backend_server = end.server;
    record.started = end.started;
    record.ended = clock_.WallNow();
    record.deadline = end.timeout;
    record.outcome = end.outcome;
    record.cause = CauseOf(end);
    record.detail = end.detail.substr(0, kMaxDetailLength);
    records_->Ended(end.record, std::move(record));
  }
  const bool clean = end.whole && !end.late && end.outcome == Outcome::kRan;
  const LogLevel level = clean ? LogLevel::kDebug : LogLevel::kInfo;
  if (!log_.IsEnabled(level)) return;
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
              {"took_ms", std::chrono::duration<double, std::milli>(end.took).count()},
              {"detail", end.detail}});
}

void EntryVm::OnProbed(const ProbeTarget& target, const std::optional<Report>& report) {
  if (!report) return;
  chooser_.OnReport(target.server, *report, clock_.Now());
  dispatcher_.PollSoon();
}

std::string EntryVm::LookupJson(const std::string& caller_ip, const std::string& query) const {
  LookupQuery lookup;
  lookup.caller = QueryValue(query, "caller");
  if (lookup.caller.empty()) lookup.caller = caller_ip;
  lookup.failure_domain = FailureDomainId(QueryValue(query, "place"));
  lookup.region = RegionId(QueryValue(query, "region"));
  const LookupAnswer answer = members_->Lookup(lookup, manifest_->entry.lookup_lifetime);
  nlohmann::json message = {{"entries", nlohmann::json::array()},
                            {"lifetime_ms", answer.lifetime.count()}};
  for (const Endpoint& entry : answer.entries) message["entries"].push_back(entry.ToString());
  return message.dump() + "\n";
}

// ---- 3. Timers ---------------------------------------------------------------------------------

void EntryVm::EveryShortTick() {
  claims_.Tick();
  records_->Tick();
  ReportLeavingServers();
  if (clock_.Now() >= next_long_tick_) LongTick();
  short_timer_.expires_after(kShortTickInterval);
  short_timer_.async_wait([this](std::error_code ec) {
    if (!ec) EveryShortTick();
  });
}

void EntryVm::LongTick() {
  next_long_tick_ = clock_.Now() + kLongTickInterval;
  claim_sweeper_.Tick();
  follower_->Tick();
  if (follower_->Ready() && !stop_.Begun()) prober_.Tick();
}

void EntryVm::EverySecond() {
  pool_.CloseIdle();
  if (clock_.Now() >= next_vm_list_) ReadVmList();
  SetGauges();
  second_timer_.expires_after(kSecond);
  second_timer_.async_wait([this](std::error_code ec) {
    if (!ec) EverySecond();
  });
}

void EntryVm::SetGauges() {
  const auto set = [this](const char* name, const char* help, auto value) {
    metrics_.Set(name, help, static_cast<double>(value));
  };
  const PeerStats peer = peers_.Stats();
  const PlatformCounts platform = platform_.Counts();
  const ProbeCounts& probes = probe_client_.Counts();
  set("cowsliphill_open_requests", "Requests in flight", context_.open_requests);
  set("cowsliphill_caller_connections", "Open connections of callers", edge_.OpenConnections());
  set("cowsliphill_refused_connections", "Connections over the limit", edge_.RefusedConnections());
  set("cowsliphill_backend_connections", "Open connections to backend servers",
      pool_.OpenConnections());
  set("cowsliphill_log_lines_dropped", "Log lines lost to a full queue", log_.Dropped());
  set("cowsliphill_manifest_revision", "Revision in force", manifest_->revision);
  set("cowsliphill_ready", "1 when it takes requests", follower_->Ready() ? 1 : 0);
  set("cowsliphill_members", "Other entry VMs known", members_->Live().size());
  set("cowsliphill_peer_bytes_in", "Bytes from other entry VMs", peer.bytes_in);
  set("cowsliphill_peer_bytes_out", "Bytes to other entry VMs", peer.bytes_out);
  set("cowsliphill_platform_reads", "Reads of the platform", platform.reads);
  set("cowsliphill_platform_writes", "Writes to the platform", platform.writes);
  set("cowsliphill_platform_unavailable", "Calls without effect", platform.unavailable);
  set("cowsliphill_platform_unknown", "Calls of unknown effect", platform.unknown);
  set("cowsliphill_probes_sent", "Probes paid for", probes.sent);
  set("cowsliphill_probes_failed", "Probes without a report", probes.failed);
  set("cowsliphill_claims_held", "Claims of open requests", claims_.Held());
  set("cowsliphill_claims_settling", "Claims whose end is not yet written", claims_.Settling());
  set("cowsliphill_records_waiting", "Records not yet stored", records_->TrackedCount());
  set("cowsliphill_record_notes_sent", "Messages with notes to the partner",
      records_->Counters().note_messages);
  set("cowsliphill_records_dropped", "Records lost to a full buffer", records_->Buffer().Dropped());
  size_t lagging = 0;
  for (const FailureDomainLag& it : follower_->View().failure_domains) lagging += it.alarm ? 1 : 0;
  set("cowsliphill_places_lagging", "Places behind our manifest for too long", lagging);
}

// ---- 4. The graceful stop ----------------------------------------------------------------------

void EntryVm::AwaitSignal() {
  signals_.async_wait([this](std::error_code ec, int signal) {
    if (ec) return;
    if (stop_.Begun()) {
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
  members_->SetLeaving();  // New lookup answers omit this entry VM.
  context_.leaving = true;
  // Callers may use earlier lookup answers for their lifetime, so new connections are accepted
  // until then.
  const GracefulStop::Limits limits{
      std::min(LeaveDelay(manifest_->entry.lookup_lifetime), settings_.stop_timeout),
      settings_.stop_timeout};
  const MonotonicTime now = clock_.Now();
  context_.stop = {now, now + limits.work};
  stop_.Begin(limits, {[this] { edge_.StopAccepting(); },
                       [this](Duration waited) { return MayDepart(waited); },
                       [this] { members_->Depart(); }});
  Exchange::RefuseWhatDoesNotFitIntoStop(context_);
}

bool EntryVm::HasWorkLeft() const {
  if (context_.open_requests > 0) return true;
  return claims_.Held() > 0 || claims_.Settling() > 0 || !records_->Drained();
}

bool EntryVm::MayDepart(Duration waited) {
  Exchange::RefuseWhatDoesNotFitIntoStop(context_);
  const bool requests_open = context_.open_requests > 0;
  const Duration limit = settings_.stop_timeout + (requests_open ? Duration{} : kFinalWriteTimeout);
  if (!requests_open) records_->Stop();
  if (!HasWorkLeft()) return true;
  if (waited <= limit) return false;
  log_.Write(LogLevel::kError, "stopping with work left",
             {{"open_requests", static_cast<int64_t>(context_.open_requests)},
              {"claims", static_cast<int64_t>(claims_.Settling())},
              {"records", static_cast<int64_t>(records_->TrackedCount())}});
  return true;
}

void EntryVm::DrainLoop() {
  // Queued handlers hold connections that use the members of this object, so they are run before
  // its destruction.
  edge_.AbortAll();
  pool_.CloseAll();
  probe_client_.CloseAll();
  worker_.join();
  io_.restart();
  io_.poll();
}

}  // namespace cowsliphill
