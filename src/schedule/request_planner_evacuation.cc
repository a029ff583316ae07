// Evacuated failure domains: the part of RequestPlanner that sends nothing to their servers.

#include <algorithm>

#include "src/schedule/request_planner.h"

namespace cowsliphill {

void RequestPlanner::SetEvacuated(const EvacuatedDomains& domains, MonotonicTime now) {
  evacuations_.SetDomains(domains, now);
  evacuations_changed_ = now;
  UpdateEvacuations();
  TakeBackUnsent(now);
  std::vector<ScheduleRequestId> awaiting;
  for (const auto& [ticket, request] : requests_) {
    if (services_without_servers_.count(request.params.service) == 0) continue;
    for (const Attempt& it : request.attempts) {
      if (it.AwaitsAssignment()) awaiting.push_back(it.request_id);
    }
  }
  for (const ScheduleRequestId id : awaiting) {
    Request* request = nullptr;
    Attempt* attempt = FindAttempt(id, &request);
    if (attempt == nullptr) continue;
    StopTimer(*attempt);
    outbox_.push_back({attempt->scheduler, ScheduleEnd{id, AttemptEnd::kCancelled, {}, {}}});
    GiveUp(*request, *attempt, {0, RefusalCause::kNoBackendServer, kDefaultRetryAfter}, now);
  }
}

// Takes back the assignments to evacuated servers that TakeReady has not returned yet.
void RequestPlanner::TakeBackUnsent(MonotonicTime now) {
  std::vector<SendTo> unsent;
  std::erase_if(ready_, [&](const ReadyChoice& it) {
    const auto* send = std::get_if<SendTo>(&it);
    if (send == nullptr || !IsEvacuated(send->server)) return false;
    unsent.push_back(*send);
    return true;
  });
  for (const SendTo& send : unsent) {
    const auto it = requests_.find(send.ticket);
    if (it == requests_.end()) continue;
    for (Attempt& attempt : it->second.attempts) {
      if (attempt.stage != Stage::kSent || attempt.server != send.server) continue;
      evacuations_.OnAttemptEnded(attempt.request_id, now);
      attempt.server = BackendServerId();
      WithdrawRequest(it->second, attempt);
      RequestAssignment(it->second, attempt, now);
      break;
    }
  }
}

// To be called after a change of the evacuated failure domains, the servers or the members.
void RequestPlanner::UpdateEvacuations() {
  services_without_servers_.clear();
  if (evacuations_.Empty()) return;
  std::set<ServiceId> with_servers;
  std::set<FailureDomainId> known = members_domains_;
  for (const auto& [id, server] : servers_) {
    const BackendServer& config = server.config;
    known.insert(config.failure_domain);
    if (evacuations_.IsEvacuated(config.failure_domain)) {
      services_without_servers_.insert(config.service);
    } else if (!server.leaving) {
      with_servers.insert(config.service);
    }
  }
  for (const ServiceId& service : with_servers) services_without_servers_.erase(service);
  // Until the servers are known, every name would count as unknown.
  if (servers_.empty() || !evacuations_.HasUnknown()) return;
  evacuations_.SetKnown(known, [this](const FailureDomainId& domain) { return RunningIn(domain); });
}

std::set<ScheduleRequestId> RequestPlanner::RunningIn(const FailureDomainId& domain) const {
  std::set<ScheduleRequestId> running;
  for (const auto& [ticket, request] : requests_) {
    for (const Attempt& it : request.attempts) {
      if (it.stage != Stage::kSent) continue;
      const BackendServer* server = FindServer(it.server);
      if (server != nullptr && server->failure_domain == domain) running.insert(it.request_id);
    }
  }
  return running;
}

bool RequestPlanner::IsEvacuated(const BackendServerId& server) const {
  if (evacuations_.Empty()) return false;
  const BackendServer* known = FindServer(server);
  return known != nullptr && evacuations_.IsEvacuated(known->failure_domain);
}

// Another scheduler may have passed the request on to a failure domain before it knew that this is
// evacuated. The attempt counts as queued, so that it is requested again after a short time.
bool RequestPlanner::AsksAgain(Request& request, Attempt& attempt, MonotonicTime now) {
  const bool may_be_outdated =
      evacuations_changed_ && now - *evacuations_changed_ < kEvacuationSpreadTime;
  if (!may_be_outdated || attempt.hedge || now >= request.params.deadline) return false;
  if (services_without_servers_.count(request.params.service) > 0) return false;
  if (attempt.requests_sent >= kMaxRequestsPerAttempt) return false;
  ChangeRequestId(request, attempt);
  attempt.stage = Stage::kQueued;
  SetTimer(attempt, now + kEvacuationRetryInterval);
  return true;
}

}  // namespace cowsliphill
