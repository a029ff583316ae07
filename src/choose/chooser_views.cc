// Introspection of the chooser: the state of each backend server and the reasons of recent
// decisions.

#include <cstdio>

#include "src/choose/chooser.h"
#include "src/choose/service_state.h"

namespace cowsliphill {

namespace {

std::string_view NameOf(RefusalCause cause) {
  switch (cause) {
    case RefusalCause::kUnknownService:
      return "unknown service";
    case RefusalCause::kNoBackendServer:
      return "no backend server";
    case RefusalCause::kOverload:
      return "overload";
    case RefusalCause::kDeadline:
      return "deadline";
    case RefusalCause::kStopping:
      return "stopping";
    case RefusalCause::kServerLimit:
      return "server limit";
    case RefusalCause::kServerPause:
      return "server pause";
    case RefusalCause::kWorkspaceLimit:
      return "workspace limit";
    case RefusalCause::kRetryBudget:
      return "retry budget";
  }
  return "overload";
}

std::string_view NameOf(DecisionKind kind) {
  switch (kind) {
    case DecisionKind::kSend:
      return "send";
    case DecisionKind::kTrial:
      return "trial";
    case DecisionKind::kRetry:
      return "retry";
    case DecisionKind::kHedge:
      return "hedge";
    case DecisionKind::kWait:
      return "wait";
    case DecisionKind::kRefuse:
      return "refuse";
  }
  return "send";
}

}  // namespace

std::vector<ServerView> Chooser::View(MonotonicTime now) const {
  std::vector<ServerView> views;
  for (const ServerState& server : servers_) {
    if (!server.listed) continue;
    const ServiceState& service = *services_[server.service];
    const ClassLatency& class_latency =
        service.latency[static_cast<size_t>(RequestClass::kRoutine)];
    ServerView view;
    view.server = server.config.id;
    view.service = server.config.service;
    view.last_report = server.report;
    view.report_age = server.report ? now - server.report_time : Duration{};
    view.in_flight = server.load.OwnRequests();
    view.leaving = server.leaving.Leaving();
    view.circuit = std::string(NameOf(server.circuit.State()));
    view.latency_estimate = Times(class_latency.Mean(), server.ratio.Value(now));
    views.push_back(std::move(view));
  }
  return views;
}

std::vector<Decision> Chooser::RecentDecisions(const ServiceId& service) const {
  std::vector<Decision> decisions;
  const auto it = service_index_.find(service);
  if (it == service_index_.end()) return decisions;
  services_[it->second]->recent.ForEach([&](const DecisionEntry& entry) {
    Decision decision;
    decision.ticket = entry.ticket;
    if (entry.kind == DecisionKind::kWait) {
      decision.chosen = "wait";
    } else if (entry.kind == DecisionKind::kRefuse) {
      decision.chosen = std::string(NameOf(static_cast<RefusalCause>(entry.cause)));
    } else {
      const ServerState& server = servers_[entry.chosen];
      decision.chosen =
          server.generation == entry.generation ? server.config.id.Text() : "removed server";
    }
    decision.reason = Explain(entry);
    decisions.push_back(std::move(decision));
  });
  return decisions;
}

std::string Chooser::Explain(const DecisionEntry& entry) const {
  char buf[96];
  std::snprintf(buf, sizeof(buf), ": %u open requests, limit %.1f, %u waiting", entry.open,
                static_cast<double>(entry.window), entry.waiting);
  std::string text = std::string(NameOf(entry.kind)) + buf;
  for (size_t i = 0; i < entry.candidate_count; ++i) {
    const CandidateScore& candidate = entry.candidates[i];
    const ServerState& server = servers_[candidate.server];
    const bool same = server.generation == candidate.generation;
    std::snprintf(buf, sizeof(buf), " %.2f", static_cast<double>(candidate.score));
    text += (i == 0 ? "; candidate scores (lower is better): " : ", ");
    text += (same ? server.config.id.Text() : "removed server") + buf;
  }
  return text;
}

}  // namespace cowsliphill
