// Answers of an entry VM about itself, on the address of the metrics: its status, and where a
// request would be sent now.

#include <algorithm>
#include <nlohmann/json.hpp>

#include "src/base/numbers.h"
#include "src/cli/routed_entry.h"
#include "src/forward/choice_request.h"

namespace cowsliphill {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kHexBase = 16;

std::string PercentDecode(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    const bool encoded = text[i] == '%' && i + 2 < text.size() &&
                         std::isxdigit(static_cast<unsigned char>(text[i + 1])) != 0 &&
                         std::isxdigit(static_cast<unsigned char>(text[i + 2])) != 0;
    if (!encoded) {
      out += text[i] == '+' ? ' ' : text[i];
      continue;
    }
    out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, kHexBase));
    i += 2;
  }
  return out;
}

double MillisOf(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

std::string NameOfCause(RefusalCause cause) {
  switch (cause) {
    case RefusalCause::kUnknownService:
      return "the service is unknown";
    case RefusalCause::kNoBackendServer:
      return "the service has no usable backend server";
    case RefusalCause::kOverload:
      return "it can't be answered in time";
    case RefusalCause::kDeadline:
      return "its time is over";
    case RefusalCause::kRetryBudget:
      return "the retry budget is used up";
    case RefusalCause::kStopping:
      return "the entry VM is stopping";
    case RefusalCause::kServerLimit:
      return "the limits of the backend servers are used up";
    case RefusalCause::kServerPause:
      return "all usable backend servers have asked this entry VM for a pause";
    case RefusalCause::kWorkspaceLimit:
      return "the limit of the workspace is used up";
  }
  return "";
}

json ToJson(const ServerExplanation& it) {
  return {{"server", it.server.Text()},
          {"failure_domain", it.failure_domain.Text()},
          {"in_cell", it.in_cell},
          {"state", it.state},
          {"in_flight", it.in_flight},
          {"slots", it.slots},
          {"slowdown", it.slowdown},
          {"expected_ms", MillisOf(it.expected)},
          {"report_age_ms", it.report_age ? json(MillisOf(*it.report_age)) : json()},
          {"limit_per_s", it.limit ? json(*it.limit) : json()}};
}

json RouteJson(const Route& route, const std::string& host, const ServiceId& chosen) {
  json services = json::array();
  for (const WeightedService& it : route.services) {
    services.push_back({{"service", it.service.Text()}, {"weight", it.weight}});
  }
  return {{"route", route.id.Text()},
          {"reason", "longest prefix of host " + host + " that the path begins with"},
          {"prefix", route.prefix},
          {"priority", route.rank},
          {"idempotent", route.idempotent},
          {"max_attempts", route.max_attempts},
          {"services", std::move(services)},
          {"service", chosen.Text()},
          {"service_reason", "by weight and the hash of the request id"}};
}

json WorkspaceJson(const Manifest& manifest, const TenantId& name) {
  if (manifest.workspaces.empty()) return {{"reason", "the manifest defines no workspaces"}};
  if (name.Empty()) return {{"reason", "none was named"}};
  const auto it =
      std::find_if(manifest.workspaces.begin(), manifest.workspaces.end(),
                   [&name](const Workspace& workspace) { return workspace.id == name; });
  if (it == manifest.workspaces.end()) {
    return {{"workspace", name.Text()}, {"reason", "the manifest does not define it"}};
  }
  return {{"workspace", name.Text()},
          {"priority", it->priority},
          {"limit_per_s", it->rate > 0 ? json(it->rate) : json()},
          {"burst", it->rate > 0 ? json(it->burst) : json()}};
}

json RefusalJson(const std::string& cause, milliseconds retry_after) {
  return {{"outcome", "refused"}, {"cause", cause}, {"retry_after_ms", retry_after.count()}};
}

// What the scheduler's answer means for the request.
json DecisionJson(const ScheduleExplanation& it, const std::string& server) {
  using Kind = ScheduleReply::Kind;
  if (it.reply.kind == Kind::kRefused) {
    return RefusalJson(NameOfCause(it.reply.cause), it.reply.retry_after);
  }
  if (it.reply.kind == Kind::kAssigned) {
    return {{"outcome", "assigned"},
            {"server", server},
            {"expected_ms", it.reply.expected.count()},
            {"usable_servers", it.reply.usable_servers}};
  }
  if (it.passed_on_to) {
    return {{"outcome", "passed on"},
            {"to_scheduler", it.passed_on_to->ToString()},
            {"to_failure_domain", it.passed_on_domain}};
  }
  return {{"outcome", "waits"}, {"queued_before", it.queued}};
}

}  // namespace

PlainResponse RoutedEntry::ServeExplain(const std::string& query) {
  const auto answer = [](int status, const json& body) {
    return PlainResponse{status, "application/json", body.dump(2) + "\n"};
  };
  const auto parameter = [&query](const char* name) {
    return PercentDecode(QueryValue(query, name));
  };
  const auto time_limit = ParseUnsigned(parameter("time_limit_ms"));
  if (!time_limit && !parameter("time_limit_ms").empty()) {
    return answer(400, {{"error", "time_limit_ms: allowed: whole milliseconds"}});
  }
  HttpHead head;
  head.method = parameter("method").empty() ? "GET" : parameter("method");
  head.target = parameter("path").empty() ? "/" : parameter("path");
  head.headers.push_back({"Host", parameter("host")});
  json body = {{"entry_vm", id_.Text()},
               {"peer", settings_.peer.advertise.ToString()},
               {"failure_domain", settings_.failure_domain.Text()},
               {"ready", Ready()},
               {"revision", manifest_->revision}};
  json evacuated = json::array();
  for (const EvacuationState& it : scheduling_.Evacuations()) {
    evacuated.push_back(it.failure_domain.Text());
  }
  body["evacuated"] = std::move(evacuated);
  if (!HasCatalog()) {
    body["decision"] = RefusalJson("this entry VM has no manifest and no servers yet",
                                   RequestPlanner::kDefaultRetryAfter);
    return answer(200, body);
  }
  RequestIdSource ids = context_.ids;  // A copy: the next request gets the same id.
  const std::string id = parameter("id");
  if (!id.empty()) head.headers.push_back({"X-Request-Id", id});
  Result<RequestMeta, BadRequest> read = context_.wire.read_request(head, *manifest_, ids);
  if (!Ok(read)) {
    body["decision"] = {
        {"outcome", "refused"}, {"status", ErrorOf(read).status}, {"cause", ErrorOf(read).detail}};
    return answer(200, body);
  }
  RequestMeta meta = ValueOf(read);
  meta.tenant = TenantId(parameter("workspace"));
  if (time_limit) meta.timeout = std::min(milliseconds(*time_limit), kMaxExplainedTime);
  if (meta.route != nullptr) {
    body["route"] = RouteJson(*meta.route, HostWithoutPort(parameter("host")), meta.service->id);
  }
  body["workspace"] = WorkspaceJson(*manifest_, meta.tenant);
  const MonotonicTime now = clock_.Now();
  const MonotonicTime deadline = DeadlineOf(meta, now);
  body["time_limit_ms"] = MillisOf(deadline - now);
  const ChoiceRequest request = MakeChoiceRequest(meta, 0, now, deadline, meta.idempotent);
  body.update(
      parameter("for_peer").empty()
          ? ExplainOwnRequest(request)
          : ExplainAsScheduler(parameter("for_peer"), parameter("for_failure_domain"), request));
  return answer(200, body);
}

json RoutedEntry::ExplainOwnRequest(const ChoiceRequest& request) {
  const Explanation explanation = scheduling_.Explain(request);
  json body;
  if (explanation.decision) body.update(ScheduleJson(*explanation.decision));
  if (explanation.scheduler.port != 0) {
    body["scheduler"] = {{"peer", explanation.scheduler.ToString()},
                         {"is_this_entry_vm", explanation.decides_here}};
  }
  if (explanation.refused) {
    body["decision"] =
        RefusalJson(NameOfCause(explanation.refused->cause), explanation.refused->retry_after);
  } else if (explanation.scheduler.port != 0 && !explanation.decides_here) {
    body["decision"] = {{"outcome", "decided by another entry VM"},
                        {"by_scheduler", explanation.scheduler.ToString()}};
  }
  return body;
}

json RoutedEntry::ExplainAsScheduler(const std::string& peer, const std::string& failure_domain,
                                     const ChoiceRequest& request) {
  const std::optional<Endpoint> entry_vm = ParseEndpoint(peer);
  if (!entry_vm) return {{"error", "for_peer: allowed: IP-NUMBER:PORT"}};
  json body =
      ScheduleJson(scheduling_.ExplainFor(*entry_vm, FailureDomainId(failure_domain), request));
  body["scheduler"] = {{"peer", settings_.peer.advertise.ToString()}, {"is_this_entry_vm", true}};
  return body;
}

json RoutedEntry::ScheduleJson(const ScheduleExplanation& explanation) {
  json servers = json::array();
  for (const ServerExplanation& it : explanation.servers) servers.push_back(ToJson(it));
  const BackendServer* server = scheduling_.Planner()->FindServerByHash(explanation.reply.server);
  return {{"cell",
           {{"service", explanation.cell.service.Text()},
            {"failure_domain", explanation.cell.failure_domain.Text()},
            {"queued", explanation.queued}}},
          {"servers", std::move(servers)},
          {"decision", DecisionJson(explanation, server == nullptr ? "" : server->id.Text())}};
}

// For `cowsliphill status`.
std::string RoutedEntry::StatusJson() {
  json evacuated = json::array();
  for (const EvacuationState& it : scheduling_.Evacuations()) {
    evacuated.push_back({{"failure_domain", it.failure_domain.Text()},
                         {"running_attempts", it.running},
                         {"since_ms", MillisOf(it.since)}});
  }
  const json status = {{"entry_vm", id_.Text()},
                       {"failure_domain", settings_.failure_domain.Text()},
                       {"ready", Ready()},
                       {"revision", manifest_->revision},
                       {"manifest_age_ms", MillisOf(follower_.ManifestAge())},
                       {"servers_age_ms", MillisOf(follower_.ServersAge())},
                       {"backend_servers", follower_.ServerCount()},
                       {"members", members_->Live().size()},
                       {"evacuated", std::move(evacuated)}};
  return status.dump(2) + "\n";
}

}  // namespace cowsliphill
