#include "src/choose/chooser.h"

#include <utility>

namespace cowsliphill {

Chooser::Chooser(PlaceId place, uint64_t seed) : place_(std::move(place)), random_(seed) {}

void Chooser::Apply(const Manifest& manifest, MonotonicTime now) {
  services_.clear();
  for (const Service& service : manifest.services) services_[service.id];
  for (const BackendServer& config : manifest.backend_servers) {
    services_[config.service].push_back(config.id);
    Server& server = servers_[config.id];
    server.config = config;
    server.leaving = config.state == BackendState::kLeaving;
  }
}

Choice Chooser::Choose(const ChoiceRequest& request, MonotonicTime now) {
  Request& entry = requests_[request.ticket];
  entry.request = request;
  return Pick(entry);
}

Choice Chooser::Pick(Request& request) {
  const Ticket ticket = request.request.ticket;
  const auto service = services_.find(request.request.service);
  if (service == services_.end()) return Refuse{ticket, RefusalCause::kUnknownService};
  const Server* best = nullptr;
  const size_t n = service->second.size();
  const size_t first = n == 0 ? 0 : random_() % n;
  for (size_t i = 0; i < n; ++i) {
    const Server& server = servers_[service->second[(first + i) % n]];
    if (server.leaving) continue;
    if (best == nullptr || server.in_flight < best->in_flight) best = &server;
  }
  if (best == nullptr) return Refuse{ticket, RefusalCause::kNoBackendServer};
  ++servers_[best->config.id].in_flight;
  return SendTo{ticket, best->config.id, best->config.endpoint, ++request.attempts};
}

void Chooser::OnEnded(Ticket ticket, const BackendServerId& server, const AttemptResult& result,
                      MonotonicTime now) {
  const auto it = servers_.find(server);
  if (it == servers_.end()) return;
  --it->second.in_flight;
  if (result.report) OnReport(server, *result.report, now);
}

Choice Chooser::Retry(Ticket ticket, MonotonicTime now) {
  const auto it = requests_.find(ticket);
  if (it == requests_.end() || it->second.attempts > 2) {
    return Refuse{ticket, RefusalCause::kRetryBudget};
  }
  return Pick(it->second);
}

std::optional<SendTo> Chooser::Hedge(Ticket ticket, MonotonicTime now) { return std::nullopt; }

void Chooser::Finish(Ticket ticket, MonotonicTime now) { requests_.erase(ticket); }

void Chooser::OnReport(const BackendServerId& server, const Report& report, MonotonicTime now) {
  const auto it = servers_.find(server);
  if (it == servers_.end()) return;
  it->second.report = report;
  it->second.reported = now;
  if (report.draining) it->second.leaving = true;
}

void Chooser::OnLeaving(const BackendServerId& server, LeavingSource source, MonotonicTime now) {
  const auto it = servers_.find(server);
  if (it != servers_.end()) it->second.leaving = true;
}

std::vector<Ready> Chooser::TakeReady(MonotonicTime now) { return {}; }

std::optional<MonotonicTime> Chooser::NextWake() const { return std::nullopt; }

std::vector<ServerView> Chooser::View(MonotonicTime now) const {
  std::vector<ServerView> views;
  for (const auto& [id, server] : servers_) {
    ServerView view;
    view.server = id;
    view.service = server.config.service;
    view.last_report = server.report;
    view.report_age = server.report ? now - server.reported : Duration{};
    view.in_flight = server.in_flight;
    view.leaving = server.leaving;
    view.circuit = "closed";
    views.push_back(std::move(view));
  }
  return views;
}

std::vector<Decision> Chooser::Recent(const ServiceId& service) const { return {}; }

}  // namespace cowsliphill
