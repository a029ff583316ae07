#include "src/poison/poison_watch.h"

#include <xxhash.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "src/poison/poison_message.h"

namespace cowsliphill {

namespace {

CrashId CrashIdOf(const BackendServer& server) {
  const std::string& id = server.id.Text();
  return static_cast<CrashId>(XXH3_64bits_withSeed(id.data(), id.size(), server.started));
}

}  // namespace

PoisonWatch::PoisonWatch(asio::io_context& io, const Clock& clock, const BackendSettings& settings,
                         uint64_t seed, LinkHooks links, ProbeClient::ReadReport read_report,
                         PoisonListener listener)
    : io_(io),
      clock_(clock),
      listener_(std::move(listener)),
      probes_(io, clock, settings, std::move(links), std::move(read_report),
              [this](const ProbeTarget& target, const ProbeOutcome& outcome) {
                OnProbed(target, outcome.report, outcome.refused);
              }),
      random_(seed),
      exchange_timer_(io, clock, [this] { Exchange(); }) {}

void PoisonWatch::SetMembers(const EntryVmId& self, const std::vector<Member>& members) {
  self_ = self;
  members_.clear();
  others_.clear();
  for (const Member& member : members) {
    members_.push_back(member.id);
    if (member.id != self) others_.push_back(member.peer);
  }
}

// ---- Requests -----------------------------------------------------------------------------------

// The entry VM that starts the trials of a request is the same at all entry VMs with the same
// members.
bool PoisonWatch::MayTry(RequestHash hash) const {
  const auto weight = [hash](const EntryVmId& id) {
    return XXH3_64bits_withSeed(id.Text().data(), id.Text().size(), hash);
  };
  return std::none_of(members_.begin(), members_.end(),
                      [&](const EntryVmId& it) { return weight(it) > weight(self_); });
}

Judgement PoisonWatch::Judge(RequestHash hash) {
  if (list_.Empty()) return {};
  const Judgement judgement = list_.Judge(hash, MayTry(hash), clock_.Now());
  if (judgement.verdict == Judgement::Verdict::kCondemned) ++refusals_;
  return judgement;
}

Judgement PoisonWatch::Review(RequestHash hash) {
  return list_.Empty() ? Judgement() : list_.Judge(hash, false, clock_.Now());
}

void PoisonWatch::OnAnswered(RequestHash hash) {
  if (list_.Empty()) return;
  list_.OnAnswered(hash, clock_.Now());
  Flush();
}

void PoisonWatch::OnLost(LostAttempt attempt) {
  const BackendServerId server = attempt.server;
  const auto running = verifications_.find(server);
  if (running != verifications_.end()) return running->second.lost.push_back(std::move(attempt));
  const BackendServer* config = listener_.find_server(server);
  const std::optional<ProbeTarget> target = listener_.probe_target(server);
  if (listener_.is_leaving(server) || config == nullptr || !target) {
    return listener_.on_verified(attempt, false, "the server is leaving");
  }
  Verification& verification = verifications_[server];
  verification.target = *target;
  verification.target.timeout = kProbeTimeout;
  verification.crash = CrashIdOf(*config);
  verification.lost.push_back(std::move(attempt));
  ProbeAnotherServer(server);
  SendProbe(server);
}

// ---- Probes -------------------------------------------------------------------------------------

void PoisonWatch::SendProbe(const BackendServerId& server) {
  const auto it = verifications_.find(server);
  if (it != verifications_.end()) probes_.Send(it->second.target);
}

// An entry VM that reaches no server at all has lost its own connections.
void PoisonWatch::ProbeAnotherServer(const BackendServerId& server) {
  std::vector<BackendServerId> others = listener_.server_ids();
  std::erase_if(others, [&](const BackendServerId& id) {
    return id == server || verifications_.count(id) > 0;
  });
  if (others.empty()) return;
  const auto target = listener_.probe_target(others[random_() % others.size()]);
  if (target) probes_.Send(*target);
}

void PoisonWatch::OnProbed(const ProbeTarget& target, const std::optional<Report>& report,
                           bool refused) {
  if (report) {
    for (auto& [id, verification] : verifications_) verification.reaches_hosts = true;
  }
  const auto it = verifications_.find(target.server);
  if (it == verifications_.end()) return;
  if (report) return Finish(target.server, false, "the server answers probes");
  Verification& verification = it->second;
  verification.reaches_hosts = verification.reaches_hosts || refused;
  if (++verification.failed_probes < kProbes) {
    if (!verification.reaches_hosts) ProbeAnotherServer(target.server);
    const auto timer = std::make_shared<asio::steady_timer>(io_, kProbeInterval);
    timer->async_wait([this, timer, server = target.server](std::error_code ec) {
      if (!ec) SendProbe(server);
    });
    return;
  }
  if (!verification.reaches_hosts) {
    return Finish(target.server, false, "no other server answers probes either");
  }
  Finish(target.server, true, "the server answers no probes");
}

void PoisonWatch::Finish(const BackendServerId& server, bool crashed, const std::string& detail) {
  const auto it = verifications_.find(server);
  const Verification verification = std::move(it->second);
  verifications_.erase(it);
  // The server may have begun to leave while it was probed.
  const bool counts = crashed && !listener_.is_leaving(server);
  if (counts) ++crashes_;
  for (const LostAttempt& lost : verification.lost) {
    listener_.on_verified(lost, counts, detail);
    if (counts) list_.OnCrash(lost.hash, verification.crash, clock_.Now());
  }
  Flush();
}

// ---- Other entry VMs ----------------------------------------------------------------------------

void PoisonWatch::OnDatagram(const std::vector<PoisonRecord>& records) {
  for (const PoisonRecord& record : records) list_.OnRecord(record, clock_.Now());
  Flush();
}

void PoisonWatch::Flush() {
  for (const PoisonEvent& event : list_.TakeEvents()) listener_.on_event(event);
  std::vector<PoisonRecord> changes = list_.TakeChanges(clock_.Now());
  while (!changes.empty() && !others_.empty()) {
    listener_.send(others_, EncodePoisonRecords(changes));
    changes.erase(changes.begin(), changes.begin() + static_cast<std::ptrdiff_t>(std::min(
                                                         changes.size(), kMaxPoisonRecords)));
  }
  if (!list_.Empty()) exchange_timer_.WakeBy(clock_.Now() + kExchangeInterval);
}

void PoisonWatch::Exchange() {
  const MonotonicTime now = clock_.Now();
  list_.Tick(now);
  Flush();
  const std::vector<PoisonRecord> records = list_.NextRecords(kMaxPoisonRecords, now);
  if (!records.empty() && !others_.empty()) {
    listener_.send({others_[random_() % others_.size()]}, EncodePoisonRecords(records));
  }
}

void PoisonWatch::Close() {
  exchange_timer_.Cancel();
  probes_.CloseAll();
}

}  // namespace cowsliphill
