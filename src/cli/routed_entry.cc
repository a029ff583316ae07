#include "src/cli/routed_entry.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

#include "src/catalog/startup_patience.h"
#include "src/members/election.h"
#include "src/poison/poison_message.h"

namespace cowsliphill {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kMinCatalogInterval{5};  // Shortest time between two catalog steps.
// Time after the start until members have found each other.
constexpr milliseconds kUnstableTime{5000};
// For this long after the start, requests wait for the catalog instead of getting status 503. A
// store that answers needs 100 ms.
constexpr milliseconds kStartupHoldTime{400};
// During kUnstableTime an entry VM takes at least a pseudo-random rank from 1 to kUnstableRanks, so
// that it does not become the store reader because it knows few others yet.
constexpr uint32_t kUnstableRanks = 8;
// A longer time between two runs of this process is a pause: it runs every second.
constexpr milliseconds kPauseThreshold{2500};
// A snapshot is encoded once for all requests within this time.
constexpr milliseconds kSnapshotReuseTime{50};
constexpr milliseconds kSecond{1000};
constexpr milliseconds kDepartureTime{150};  // Time to send the last peer messages.
// Fraction of the stop timeout during which new connections are accepted.
constexpr double kAcceptFraction = 0.5;
// Fraction of the stop timeout after which requests that wait for a server are refused, so that
// their callers can try another entry VM.
constexpr double kWaitFraction = 0.8;
// Time before the end of the stop timeout at which the event loop stops, left for the process's
// end.
constexpr milliseconds kExitTime{100};
constexpr double kEventLinesPerSecond = 20;
constexpr double kSuccessLinesPerSecond = 2;  // A sample of the successful requests.
constexpr double kLogBurstSeconds = 5;        // A burst may have the lines of this many seconds.

// Key of the datagrams' checksums, which reject damaged datagrams and those of other systems.
std::string DatagramKey(const Settings& settings) { return settings.peer.key + " datagram"; }

// Time from the signal after which open requests are waited for no longer. They go on for
// kDepartureTime.
milliseconds StopWorkLimit(milliseconds stop_timeout) {
  const auto accept = duration_cast<milliseconds>(stop_timeout * kAcceptFraction);
  return std::max(accept, stop_timeout - kExitTime - kDepartureTime);
}

uint32_t MillicoresOf(const Settings& settings) {
  return static_cast<uint32_t>(settings.capacity * 1000);
}

}  // namespace

// ---- 1. Build and listen -----------------------------------------------------------------------

RoutedEntry::RoutedEntry(Settings settings, PlatformAdapter adapter, const Clock& clock,
                         uint64_t seed)
    : settings_(std::move(settings)),
      adapter_(std::move(adapter)),
      clock_(clock),
      id_(settings_.failure_domain.Text() + "-" + fmt::format("{:016x}", seed)),
      election_rank_(ElectionRank(id_, MillicoresOf(settings_))),
      log_(clock_, settings_.log),
      connector_(io_, clock_, settings_.backend, seed, MakeConnectorListener()),
      link_probes_(io_, clock_, settings_.backend, {}, MakeReportReader(),
                   [this](const ProbeTarget& target, const ProbeOutcome& outcome) {
                     EndLinkCheck(target.server, outcome.answered);
                   }),
      store_(adapter_.open_store(
          io_, clock_, settings_.platform.endpoint,
          [this](const std::string& key, const std::string& why) {
            metrics_.OnBadInput("row");
            if (!event_log_budget_.Allow(clock_.Now())) return;
            log_.Write(LogLevel::kWarning, "store row left out", {{"key", key}, {"detail", why}});
          })),
      follower_(id_, store_, clock_, MakeListener(), MakeWatchOptions(seed)),
      scheduling_(io_, clock_, settings_, seed, connector_.Hooks(), MakeReportReader(),
                  MakeScheduleListener()),
      poison_(io_, clock_, settings_.backend, seed, connector_.Hooks(), MakeReportReader(),
              MakePoisonListener()),
      dispatcher_(io_, clock_, scheduling_.Planner()),
      pool_(io_, clock_, settings_.backend, settings_.edge.max_header_bytes, kReadBufferBytes,
            connector_.Hooks()),
      manifest_(std::make_shared<Manifest>()),
      context_(MakeContext()),
      edge_(context_),
      lookup_server_(io_, [this](const PlainRequest& request) { return ServeLookup(request); }),
      readiness_server_(
          io_, [this](const PlainRequest& request) { return ServeReadiness(request.path); }),
      metrics_server_(io_, [this](const PlainRequest& request) { return ServeMetrics(request); }),
      peers_(io_, clock_, id_, settings_.peer),
      tunnels_(io_, clock_, settings_.backend, settings_.capacity, MakeTunnelListener()),
      datagrams_(
          io_, DatagramKey(settings_),
          [this](const Endpoint& from, const std::string& payload) { OnDatagram(from, payload); }),
      event_log_budget_(kEventLinesPerSecond, kEventLinesPerSecond * kLogBurstSeconds),
      failure_log_budget_(kEventLinesPerSecond, kEventLinesPerSecond * kLogBurstSeconds),
      success_log_budget_(kSuccessLinesPerSecond, kSuccessLinesPerSecond * kLogBurstSeconds),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      catalog_timer_(io_, clock_, [this] { RunCatalogStep(); }),
      second_timer_(io_),
      stop_(io_, clock_, kDepartureTime) {
  context_.ids.prefix = seed;
  broadcast_seed_ = static_cast<uint32_t>(seed);
  peers_.HandleTunnels(
      [this](const EntryVmId& from, const TunnelRequest& request,
             const PeerNode::TunnelAnswer& answer) { tunnels_.Open(from, request, answer); });
  next_catalog_request_peer_ = seed;
  scheduling_.Attach(dispatcher_);
  dispatcher_.SetHedgeDueCallback([this](Ticket ticket) {
    const auto it = context_.exchanges.find(ticket);
    if (it != context_.exchanges.end()) it->second->OnHedgeDue();
  });
  dispatcher_.SetHedgeAssignedCallback([this](const SendTo& target) {
    const auto it = context_.exchanges.find(target.ticket);
    if (it != context_.exchanges.end()) return it->second->OnHedgeAssigned(target);
    dispatcher_.OnEnded(target.ticket, target.server, {AttemptEnd::kCancelled, {}, {}});
  });
}

RoutedEntry::~RoutedEntry() = default;

ForwardContext RoutedEntry::MakeContext() {
  ForwardContext context{io_, clock_, settings_, dispatcher_, pool_, nullptr};
  context.manifest = [this] { return manifest_; };
  context.ready = [this] { return HasCatalog(); };
  context.starting = [this] {
    return clock_.Now() - std::max(started_, resumed_) < kStartupHoldTime;
  };
  context.on_report = [this](const BackendServerId& server, const Report& report) {
    scheduling_.OnAnswerReport(server, report);
  };
  context.on_statement = [this](const ServerStatement& it) { scheduling_.OnStatement(it); };
  context.on_bad_statement = [this](const std::string& detail) {
    LogBadInput("server statement", detail, event_log_budget_);
  };
  context.may_send = [this](const SendTo& target) {
    return scheduling_.Planner()->MaySend(target, clock_.Now());
  };
  context.poison.judge = [this](RequestHash hash) { return poison_.Judge(hash); };
  context.poison.review = [this](RequestHash hash) { return poison_.Review(hash); };
  context.poison.on_lost = [this](const LostAttempt& lost) { poison_.OnLost(lost); };
  context.poison.on_answered = [this](RequestHash hash) { poison_.OnAnswered(hash); };
  context.observer.on_started = [](const RequestMeta&, WallTime) { return uint64_t{0}; };
  context.observer.on_ended = [this](const RequestEnd& end) { OnRequestEnded(end); };
  context.observer.on_bad_input = [this](const std::string& kind, const std::string& detail) {
    LogBadInput(kind, detail, failure_log_budget_);
  };
  context.wire = adapter_.wire;
  return context;
}

// Seeds read the store themselves at the start. Other entry VMs first request the catalog from
// peers.
TableWatchOptions RoutedEntry::MakeWatchOptions(uint64_t seed) const {
  TableWatchOptions options;
  const auto& seeds = settings_.peer.seeds;
  const bool is_seed =
      std::find(seeds.begin(), seeds.end(), settings_.peer.advertise) != seeds.end();
  if (!seeds.empty() && !is_seed) {
    std::mt19937_64 random(seed);
    const double draw = std::uniform_real_distribution<double>(0, 1)(random);
    options.startup_peer_timeout =
        duration_cast<milliseconds>(StartupPatience(settings_.platform.startup_peer_timeout, draw));
    // Spread, so that the store gets the calls of hundreds of entry VMs one after the other.
    options.startup_silent_timeout = duration_cast<milliseconds>(
        Times(settings_.platform.startup_silent_timeout, (1 + draw) / 2));
  }
  return options;
}

CatalogListener RoutedEntry::MakeListener() {
  CatalogListener listener;
  listener.on_manifest = [this](const std::shared_ptr<const Manifest>& manifest) {
    OnManifest(manifest);
  };
  listener.on_servers = [this](const ServerChanges& changes) { OnServers(changes); };
  listener.on_evacuated = [this](const EvacuatedDomains& domains) { OnEvacuated(domains); };
  listener.send_update = [this](const CatalogUpdate& update) { SendCatalogUpdate(update); };
  listener.send_request = [this](CatalogRequest request) {
    SendCatalogRequest(std::move(request));
  };
  listener.on_store_call_ended = [this] { AfterCatalogStep(); };
  listener.on_store_availability = [this](const std::string& table, const std::string& error) {
    log_.Write(error.empty() ? LogLevel::kInfo : LogLevel::kWarning,
               error.empty() ? "store regained" : "store lost",
               {{"table", table}, {"detail", error}});
  };
  listener.on_store_call_failed = [this](const std::string& table, const std::string& call,
                                         const std::string& error) {
    // TableWatchOptions limits the number of calls, so these lines need no log budget.
    log_.Write(LogLevel::kWarning, "store call failed",
               {{"table", table},
                {"call", call},
                {"manifest_age_ms", Millis(follower_.ManifestAge())},
                {"servers_age_ms", Millis(follower_.ServersAge())},
                {"detail", error}});
  };
  return listener;
}

std::string RoutedEntry::Listen() {
  std::string error = edge_.Listen(settings_.edge.listen);
  if (error.empty()) error = lookup_server_.Listen(settings_.platform.lookup_listen);
  if (error.empty()) error = readiness_server_.Listen(settings_.platform.readiness_listen);
  if (!error.empty()) return error;
  if (settings_.platform.metrics_listen.port != 0) {
    error = metrics_server_.Listen(settings_.platform.metrics_listen);
    if (!error.empty()) return error;
  }
  const auto peer = peers_.Listen();
  if (!Ok(peer)) {
    return "peer.listen: " + ErrorOf(peer).endpoint.ToString() + ": " + ErrorOf(peer).detail;
  }
  // The UDP port has the number of the peer's TCP port, so one address identifies an entry VM for
  // both.
  error = datagrams_.Listen({settings_.peer.listen.ip, ValueOf(peer).port});
  if (!error.empty()) return "datagrams: " + error;
  const Member self{id_,
                    settings_.edge.advertise,
                    settings_.peer.advertise,
                    settings_.failure_domain,
                    settings_.region,
                    MemberState::kAlive,
                    MillicoresOf(settings_)};
  MembershipConfig membership;
  membership.seeds = settings_.peer.seeds;
  MembersOptions options;
  options.seed = context_.ids.prefix;
  members_.emplace(io_, clock_, peers_, no_vm_list_, membership, self, options);
  members_->Subscribe([this](const std::vector<MemberChange>& changes) {
    for (const MemberChange& change : changes) LogMemberChange(change);
    OnMembers();
  });
  OnMembers();
  return "";
}

int RoutedEntry::Run() {
  started_ = clock_.Now();
  last_running_ = started_;
  const std::string error = Listen();
  if (!error.empty()) {
    log_.Write(LogLevel::kError, "can't listen", {{"detail", error}});
    return 1;
  }
  log_.Write(LogLevel::kInfo, "started",
             {{"entry_vm", id_.Text()}, {"edge", settings_.edge.listen.ToString()}});
  AwaitSignal();
  RunCatalogStep();
  EverySecond();
  scheduling_.Start();
  io_.run();
  DrainLoop();
  log_.Write(LogLevel::kInfo, "stopped", {{"entry_vm", id_.Text()}});
  return 0;
}

// ---- 2. Catalog and members --------------------------------------------------------------------

void RoutedEntry::OnManifest(const std::shared_ptr<const Manifest>& manifest) {
  manifest_ = manifest;
  scheduling_.ApplyManifest(*manifest_);
  dispatcher_.PollSoon();
  log_.Write(LogLevel::kInfo, "manifest in force",
             {{"revision", static_cast<int64_t>(manifest_->revision)},
              {"routes", static_cast<int64_t>(manifest_->routes.size())}});
}

void RoutedEntry::OnServers(const ServerChanges& changes) {
  // Before it, there was no list.
  if (follower_.Ready()) LogServerChanges(changes);
  scheduling_.ApplyServers(changes);
  connector_.SetServers(LinkedServers());
  dispatcher_.PollSoon();
}

void RoutedEntry::OnEvacuated(const EvacuatedDomains& domains) {
  scheduling_.ApplyEvacuated(domains);
  connector_.SetServers(LinkedServers());
  dispatcher_.PollSoon();
}

void RoutedEntry::LogServerChanges(const ServerChanges& changes) {
  const auto write = [this](const BackendServerId& id, const char* change) {
    if (!event_log_budget_.Allow(clock_.Now())) return;
    log_.Write(LogLevel::kInfo, "backend server",
               {{"backend_server", id.Text()},
                {"change", std::string(change)},
                {"servers_age_ms", Millis(follower_.ServersAge())}});
  };
  for (const ServerChange& change : changes.changed) {
    switch (change.kind) {
      case ServerChange::Kind::kAdded:
        write(change.server.id, "added");
        break;
      case ServerChange::Kind::kReborn:
        write(change.server.id, "reborn");
        break;
      case ServerChange::Kind::kLeaving:
        write(change.server.id, "leaving");
        break;
      case ServerChange::Kind::kOther:
        break;
    }
  }
  for (const BackendServer& server : changes.removed) write(server.id, "gone");
}

void RoutedEntry::PeerGroup::Add(const Member& member) {
  if (member.state != MemberState::kAlive) return;
  alive.push_back(member.peer);
  if (member.millicores < largest_millicores) return;
  if (member.millicores > largest_millicores) largest.clear();
  largest_millicores = member.millicores;
  largest.push_back(member.peer);
}

// Alternates between the largest entry VMs and all, because all of the largest may be gone before
// the members know.
std::optional<Endpoint> RoutedEntry::PeerGroup::Pick(size_t n) const {
  if (alive.empty()) return std::nullopt;
  const std::vector<Endpoint>& peers = n % 2 == 0 ? largest : alive;
  return peers[n / 2 % peers.size()];
}

void RoutedEntry::SendCatalogUpdate(CatalogUpdate update) {
  update.sender_rank = election_rank_;
  Broadcast(EncodeCatalogMessage(update));
}

// Sends the datagram to all other entry VMs.
void RoutedEntry::Broadcast(const std::string& payload) {
  SendHops(broadcasts_.Start(broadcast_seed_ + broadcasts_sent_++), payload);
}

void RoutedEntry::SendHops(const std::vector<BroadcastHop>& hops, const std::string& payload) {
  std::vector<Endpoint> leaves;
  for (const BroadcastHop& hop : hops) {
    if (hop.forward) {
      datagrams_.Send({hop.to}, EncodeBroadcast(*hop.forward, payload));
    } else {
      leaves.push_back(hop.to);
    }
  }
  datagrams_.Send(leaves, payload);
}

void RoutedEntry::SendCatalogRequest(CatalogRequest request) {
  // A different peer each time, because the requests of all entry VMs would saturate the link of
  // the store reader.
  const std::vector<Endpoint>& seeds = settings_.peer.seeds;
  const std::optional<Endpoint> peer = same_domain_peers_.Pick(next_catalog_request_peer_);
  if (!peer && seeds.empty()) return;
  request.reply_to = settings_.peer.advertise;
  if (relayed_update_sender_) {
    return datagrams_.Send({*relayed_update_sender_}, EncodeCatalogMessage(request));
  }
  const size_t n = next_catalog_request_peer_++;
  datagrams_.Send({peer ? *peer : seeds[n % seeds.size()]}, EncodeCatalogMessage(request));
}

void RoutedEntry::OnCatalogRequest(const CatalogRequest& request) {
  snapshot_requests_.Add(request, clock_.Now());
  const std::vector<CatalogRequest> answered = AnswerCatalogRequests();
  const bool is_pending = std::none_of(
      answered.begin(), answered.end(),
      [&request](const CatalogRequest& it) { return it.reply_to == request.reply_to; });
  if (is_pending && request.forwards == 0) {
    datagrams_.Send({request.reply_to}, EncodeCatalogMessage(CatalogRequestPending{}));
  }
  AfterCatalogStep();
}

// Returns the requests that were answered.
std::vector<CatalogRequest> RoutedEntry::AnswerCatalogRequests() {
  const auto can_answer = [this](const CatalogRequest& it) { return follower_.CanAnswer(it); };
  SnapshotQueue::Due due = snapshot_requests_.TakeDue(can_answer, clock_.Now());
  for (const CatalogRequest& request : due.answers) {
    datagrams_.Send({request.reply_to}, EncodedSnapshotFor(request));
  }
  for (const SnapshotQueue::Forward& forward : due.forwards) {
    datagrams_.Send({forward.to}, EncodeCatalogMessage(forward.request));
  }
  return std::move(due.answers);
}

const std::string& RoutedEntry::EncodedSnapshotFor(const CatalogRequest& request) {
  const MonotonicTime now = clock_.Now();
  CatalogUpdate update = follower_.MakeUpdate(now);
  const bool has_manifest = update.revision > request.revision;
  const bool is_current = now - snapshot_.made < kSnapshotReuseTime &&
                          snapshot_.has_manifest == has_manifest &&
                          snapshot_.manifest_version == update.manifest_version &&
                          snapshot_.servers_version == update.servers_version;
  if (is_current) return snapshot_.bytes;
  update = *follower_.AnswerRequest(request);
  update.sender_rank = election_rank_;
  // Its receivers must not take it for newer than it is.
  update.manifest_age += kSnapshotReuseTime;
  update.servers_age += kSnapshotReuseTime;
  snapshot_ = {update.manifest_version, update.servers_version, has_manifest, now,
               EncodeCatalogMessage(update)};
  return snapshot_.bytes;
}

void RoutedEntry::OnCatalogUpdate(const CatalogUpdate& update) {
  follower_.OnUpdate(update, update.sender_rank < election_rank_);
  AfterCatalogStep();
}

void RoutedEntry::LogMemberChange(const MemberChange& change) {
  if (!event_log_budget_.Allow(clock_.Now())) return;
  const bool suspect = change.member.state == MemberState::kSuspect;
  const bool leaving = change.member.state == MemberState::kLeaving;
  const char* state = change.gone ? "gone" : suspect ? "suspect" : leaving ? "leaving" : "alive";
  log_.Write(LogLevel::kInfo, "member",
             {{"entry_vm", change.member.id.Text()},
              {"state", std::string(state)},
              {"members", static_cast<int64_t>(members_->Live().size())}});
}

void RoutedEntry::LogStoreReaderChange() {
  if (follower_.IsStoreReader() == was_store_reader_) return;
  was_store_reader_ = !was_store_reader_;
  log_.Write(LogLevel::kInfo,
             was_store_reader_ ? "reads the store for all" : "relies on another reader",
             {{"rank", int64_t{rank_}}, {"servers_age_ms", Millis(follower_.ServersAge())}});
}

void RoutedEntry::OnMembers() {
  same_domain_peers_ = PeerGroup();
  std::vector<Member> schedulers;
  if (!stop_.Begun()) schedulers.push_back(members_->Self());
  uint32_t rank = 0;
  for (const Member& member : members_->Live()) {
    if (member.failure_domain == settings_.failure_domain) same_domain_peers_.Add(member);
    if (member.state != MemberState::kAlive) continue;
    if (ElectionRank(member.id, member.millicores) < election_rank_) ++rank;
    schedulers.push_back(member);
  }
  rank_ = rank;
  // Leaving and suspect ones still serve requests, so they get catalog updates too.
  broadcasts_.SetMembers(settings_.failure_domain, members_->Live());
  if (!members_->Live().empty()) follower_.OnPeerAlive();
  UpdateRank();
  AfterCatalogStep();
  connector_.SetMembers(members_->Self(), members_->Live());
  scheduling_.SetMembers(schedulers);
  poison_.SetMembers(id_, schedulers);
}

// An entry VM that has just started knows few others, so by those alone it could have rank 0 and
// act as the store reader.
void RoutedEntry::UpdateRank() {
  const bool stable = clock_.Now() - started_ > kUnstableTime;
  const auto unstable_rank = static_cast<uint32_t>(1 + election_rank_ % kUnstableRanks);
  follower_.SetRank(stable ? rank_ : std::max(rank_, unstable_rank));
}

// After a pause the catalog is out of date: servers may have left meanwhile. Requests wait until it
// is confirmed again, or for kStartupHoldTime if the store and the other entry VMs are silent.
bool RoutedEntry::HasCatalog() {
  NoteRunning();
  const Duration since_pause = clock_.Now() - resumed_;
  return follower_.Ready() &&
         (since_pause >= kStartupHoldTime || follower_.ServersAge() <= since_pause);
}

void RoutedEntry::NoteRunning() {
  const MonotonicTime now = clock_.Now();
  if (now - last_running_ > kPauseThreshold) resumed_ = now;
  last_running_ = now;
}

bool RoutedEntry::Ready() const { return follower_.Ready() && !stop_.Begun(); }

PlainResponse RoutedEntry::ServeLookup(const PlainRequest& request) {
  if (request.path != adapter_.lookup_path) return {404, "text/plain", "not found\n"};
  LookupQuery query;
  query.caller = request.caller;
  query.failure_domain = FailureDomainId(QueryValue(request.query, adapter_.lookup_failure_domain));
  query.region = RegionId(QueryValue(request.query, adapter_.lookup_region));
  const std::vector<Endpoint> entries = NearEntries(members_->LiveAndSelf(), query);
  return {200, "application/json",
          adapter_.format_lookup(entries, manifest_->entry.lookup_lifetime)};
}

PlainResponse RoutedEntry::ServeReadiness(const std::string& path) {
  if (path != adapter_.readiness_path) return {404, "text/plain", "not found\n"};
  return Ready() ? PlainResponse{200, "text/plain", "ready\n"}
                 : PlainResponse{503, "text/plain", "not ready\n"};
}

PlainResponse RoutedEntry::ServeMetrics(const PlainRequest& request) {
  if (request.path == "/v1/status") return {200, "application/json", StatusJson()};
  if (request.path == "/explain") return ServeExplain(request.query);
  if (request.path != "/metrics") return {404, "text/plain", "not found\n"};
  SetGauges();
  return {200, "text/plain; version=0.0.4", metrics_.Serialize()};
}

void RoutedEntry::OnDatagram(const Endpoint& from, const std::string& payload) {
  const std::optional<BroadcastMessage> broadcast = DecodeBroadcast(payload);
  if (!broadcast) return OnMessage(from, payload);
  SendHops(broadcasts_.Forward(broadcast->range, from), broadcast->payload);
  // Changes that a relay missed are missing in its whole failure domain, so the relay sends its
  // catalog requests to the sender of the update instead of to a peer in the domain.
  if (broadcast->range.IsWhole()) relayed_update_sender_ = from;
  OnMessage(from, broadcast->payload);
  relayed_update_sender_.reset();
}

void RoutedEntry::OnMessage(const Endpoint& from, const std::string& payload) {
  if (scheduling_.OnDatagram(from, payload)) return;
  if (const auto records = DecodePoisonRecords(payload)) return poison_.OnDatagram(*records);
  const std::optional<CatalogMessage> message = DecodeCatalogMessage(payload);
  if (!message) return metrics_.OnBadInput("datagram");
  if (const auto* request = std::get_if<CatalogRequest>(&*message)) {
    return OnCatalogRequest(*request);
  }
  if (const auto* update = std::get_if<CatalogUpdate>(&*message)) OnCatalogUpdate(*update);
  follower_.OnPeerAlive();
}

// Section 3, backend servers, is in routed_entry_servers.cc.

// ---- 4. Requests -------------------------------------------------------------------------------

void RoutedEntry::LogBadInput(const std::string& kind, const std::string& detail,
                              RateLimit& budget) {
  metrics_.OnBadInput(kind);
  if (!budget.Allow(clock_.Now())) return;
  log_.Write(LogLevel::kWarning, "bad input", {{"kind", kind}, {"detail", detail}});
}

void RoutedEntry::OnRequestEnded(const RequestEnd& end) {
  metrics_.OnRequestEnded(end);
  const bool clean = end.whole && !end.late && end.outcome == Outcome::kRan && end.status < 500;
  RateLimit& budget = clean ? success_log_budget_ : failure_log_budget_;
  if (!log_.IsEnabled(LogLevel::kInfo) || !budget.Allow(clock_.Now())) return;
  log_.Write(LogLevel::kInfo, "request ended",
             {{"request", end.id.Text()},
              {"service", end.service.Text()},
              {"class", std::string(NameOf(end.request_class))},
              {"backend_server", end.server.Text()},
              {"through", end.through.port == 0 ? "" : end.through.ToString()},
              {"caller", end.caller},
              {"request_hash", ToText(end.hash)},
              {"status", int64_t{end.status}},
              {"outcome", std::string(NameOf(end.outcome))},
              {"whole", end.whole},
              {"late", end.late},
              {"caller_gone", end.caller_gone},
              {"attempts", int64_t{end.attempts}},
              {"waited_ms", Millis(end.waited)},
              {"took_ms", Millis(end.took)},
              {"time_limit_ms", int64_t{end.timeout.count()}},
              {"placement", end.placement},
              {"revision", static_cast<int64_t>(manifest_->revision)},
              {"detail", end.detail}});
}

// ---- 5. Timers ---------------------------------------------------------------------------------

void RoutedEntry::RunCatalogStep() {
  UpdateRank();
  follower_.Tick();
  AfterCatalogStep();
}

// To be called after whatever may have changed the catalog, or what the follower waits for.
void RoutedEntry::AfterCatalogStep() {
  LogStoreReaderChange();
  AnswerCatalogRequests();
  const MonotonicTime now = clock_.Now();
  const MonotonicTime stable = started_ + kUnstableTime;
  if (now < stable) catalog_timer_.WakeBy(stable);
  if (const auto next = snapshot_requests_.NextWake(now)) catalog_timer_.WakeBy(*next);
  if (const auto next = follower_.NextTick()) {
    catalog_timer_.WakeBy(std::max(*next, now + kMinCatalogInterval));
  }
}

void RoutedEntry::EverySecond() {
  NoteRunning();
  pool_.CloseIdle();
  scheduling_.CloseIdle();
  poison_.CloseIdle();
  link_probes_.CloseIdle();
  const uint64_t suppressed =
      event_log_budget_.TakeSuppressed() + failure_log_budget_.TakeSuppressed();
  if (suppressed > 0) {
    log_.Write(LogLevel::kWarning, "log lines left out",
               {{"unusual", static_cast<int64_t>(suppressed)},
                {"usual", static_cast<int64_t>(success_log_budget_.TakeSuppressed())}});
  }
  second_timer_.expires_after(kSecond);
  second_timer_.async_wait([this](std::error_code ec) {
    if (!ec) EverySecond();
  });
}

void RoutedEntry::SetGauges() {
  const auto set = [this](const char* name, const char* help, auto value) {
    metrics_.Set(name, help, static_cast<double>(value));
  };
  const PeerStats peer = peers_.Stats();
  const ProbeCounts& probes = scheduling_.Probes();
  set("cowsliphill_open_requests", "Requests in flight", context_.open_requests);
  set("cowsliphill_waiting_requests", "Requests that wait for a backend server",
      scheduling_.Waiting());
  set("cowsliphill_caller_connections", "Open connections of callers", edge_.OpenConnections());
  set("cowsliphill_backend_connections", "Open connections to backend servers",
      pool_.OpenConnections());
  set("cowsliphill_log_lines_dropped", "Log lines lost to a full queue", log_.Dropped());
  set("cowsliphill_manifest_revision", "Revision in force", manifest_->revision);
  set("cowsliphill_manifest_age_seconds", "Since the manifest was known to be the newest",
      std::chrono::duration<double>(follower_.ManifestAge()).count());
  set("cowsliphill_servers_age_seconds", "Since the list of servers was known to be the newest",
      std::chrono::duration<double>(follower_.ServersAge()).count());
  set("cowsliphill_backend_servers", "Backend servers known", follower_.ServerCount());
  set("cowsliphill_limited_servers", "Backend servers that name a limit of requests per second",
      scheduling_.LimitedServers());
  set("cowsliphill_requests_within_limits",
      "Requests that this entry VM's scheduler assigned to servers with a limit",
      scheduling_.AssignedWithinLimits());
  set("cowsliphill_requests_refused_by_limits",
      "Requests that this entry VM's scheduler refused because limits of servers were used up",
      scheduling_.DeclinedByLimits());
  set("cowsliphill_leaving_by_answer",
      "Backend servers known from their responses to be leaving, before the list told",
      scheduling_.LeavingByAnswer());
  set("cowsliphill_pausing_servers",
      "Backend servers that have asked this entry VM for a pause that is not over",
      scheduling_.PausingServers());
  set("cowsliphill_server_pauses", "Pauses that backend servers have asked this entry VM for",
      scheduling_.PausesBegun());
  const std::vector<EvacuationState> evacuations = scheduling_.Evacuations();
  size_t running = 0;
  for (const EvacuationState& it : evacuations) running += it.running;
  set("cowsliphill_evacuated_failure_domains", "Failure domains to which nothing is sent",
      evacuations.size());
  set("cowsliphill_requests_in_evacuated_domains",
      "Attempts of this entry VM that began before and still run in evacuated failure domains",
      running);
  set("cowsliphill_server_crashes", "Backend servers that crashed under requests of this entry VM",
      poison_.Crashes());
  set("cowsliphill_suspect_requests", "Requests under which one or two servers have crashed",
      poison_.Suspects());
  set("cowsliphill_condemned_requests",
      "Requests that are refused because servers crash under them", poison_.Condemned());
  set("cowsliphill_requests_refused_as_condemned", "Refusals of condemned requests",
      poison_.Refusals());
  set("cowsliphill_unreached_servers",
      "Backend servers that failed since this entry VM last reached any",
      connector_.Links().FailedSinceContact());
  set("cowsliphill_links_lost", "1 while other entry VMs reach backend servers, but not this one",
      connector_.Links().LinksLost() ? 1 : 0);
  set("cowsliphill_bypassed_servers",
      "Backend servers that this entry VM reaches only through others",
      connector_.Links().BypassedServers());
  set("cowsliphill_tunnels_opened", "Connections made through other entry VMs",
      connector_.Counts().opened);
  set("cowsliphill_tunnels_unanswered", "Requests for tunnels that other entry VMs did not answer",
      connector_.Counts().unanswered);
  set("cowsliphill_tunnels_carried", "Connections made for other entry VMs", tunnels_.Opened());
  set("cowsliphill_tunnels_refused", "Requests of other entry VMs for tunnels that were refused",
      tunnels_.Refused());
  set("cowsliphill_tunnels_open", "Open connections for other entry VMs", tunnels_.OpenTunnels());
  set("cowsliphill_store_reader", "1 while this entry VM asks the store for all",
      follower_.IsStoreReader() ? 1 : 0);
  const StoreCallCounts store = store_.Counts();
  set("cowsliphill_store_calls", "Calls to the platform's store", store.calls);
  set("cowsliphill_store_calls_failed", "Calls to the platform's store without a usable answer",
      store.failed);
  set("cowsliphill_store_bytes_in", "Bytes received from the platform's store", store.body_bytes);
  set("cowsliphill_ready", "1 when it takes requests", Ready() ? 1 : 0);
  set("cowsliphill_members", "Other entry VMs known", members_->Live().size());
  set("cowsliphill_peer_bytes_in", "Bytes from other entry VMs", peer.bytes_in);
  set("cowsliphill_peer_bytes_out", "Bytes to other entry VMs", peer.bytes_out);
  set("cowsliphill_datagrams_sent", "Datagrams to other entry VMs", datagrams_.Counts().sent);
  set("cowsliphill_datagrams_refused", "Datagrams with a wrong checksum",
      datagrams_.Counts().refused);
  set("cowsliphill_cells_scheduled", "Cells of backend servers that this entry VM schedules",
      scheduling_.CellsScheduled());
  set("cowsliphill_silent_schedulers", "Times that a scheduler did not answer in time",
      scheduling_.SchedulerTimeouts());
  set("cowsliphill_probes_sent", "Probes paid for", probes.sent);
  set("cowsliphill_probes_failed", "Probes without a report", probes.failed);
}

// ---- 6. Signals and the graceful stop ----------------------------------------------------------

void RoutedEntry::AwaitSignal() {
  signals_.async_wait([this](std::error_code ec, int signal) {
    if (ec) return;
    AwaitSignal();
    if (signal == SIGHUP) {
      // The addresses cannot change while the process runs, and the manifest comes from the store.
      log_.Write(
          LogLevel::kInfo, "reload",
          {{"detail", std::string("SIGHUP has no effect: settings are read only at the start")}});
      return;
    }
    if (stop_.Begun()) return;
    log_.Write(LogLevel::kInfo, "graceful stop", {{"signal", int64_t{signal}}});
    StartStopping();
  });
}

void RoutedEntry::StartStopping() {
  members_->SetLeaving();  // New lookup answers omit this entry VM.
  context_.leaving = true;
  tunnels_.StopAccepting();
  // Callers may still use an earlier lookup answer, so new connections are accepted for part of the
  // stop timeout.
  const GracefulStop::Limits limits{
      duration_cast<milliseconds>(settings_.stop_timeout * kAcceptFraction),
      StopWorkLimit(settings_.stop_timeout)};
  context_.work_end = clock_.Now() + limits.work + kDepartureTime;
  stop_.Begin(limits, {[this] { edge_.StopAccepting(); },
                       [this](Duration waited) { return MayDepart(waited); },
                       [this] { members_->Depart(); }});
  Exchange::RefuseWhatDoesNotFitIntoStop(context_);
}

bool RoutedEntry::MayDepart(Duration waited) {
  const bool is_idle = context_.open_requests == 0 && edge_.OpenConnections() == 0;
  if (is_idle && tunnels_.OpenTunnels() == 0) return true;
  if (waited > Times(settings_.stop_timeout, kWaitFraction)) {
    dispatcher_.RefuseWaiting(kRetryAfterStop, [](Ticket) { return true; });
  } else {
    Exchange::RefuseWhatDoesNotFitIntoStop(context_);
  }
  if (waited < StopWorkLimit(settings_.stop_timeout)) return false;
  if (context_.open_requests > 0 || tunnels_.OpenTunnels() > 0) {
    log_.Write(LogLevel::kError, "stopping with work left",
               {{"open_requests", static_cast<int64_t>(context_.open_requests)},
                {"tunnels", static_cast<int64_t>(tunnels_.OpenTunnels())}});
  }
  return true;
}

void RoutedEntry::DrainLoop() {
  // Queued handlers hold connections that use the members of this object, so they are run before
  // its destruction.
  catalog_timer_.Cancel();
  edge_.AbortAll();
  tunnels_.Close();
  connector_.Close();
  link_probes_.CloseAll();
  pool_.CloseAll();
  scheduling_.Close();
  poison_.Close();
  store_.Close();
  lookup_server_.Close();
  readiness_server_.Close();
  metrics_server_.Close();
  datagrams_.Close();
  io_.restart();
  io_.poll();
}

}  // namespace cowsliphill
