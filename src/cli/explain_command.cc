#include "src/cli/explain_command.h"

#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

#include "src/base/httplib_response.h"
#include "src/base/ids.h"
#include "src/base/toml_reader.h"
#include "src/cli/commands.h"

namespace cowsliphill {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds kTimeout{5};  // Longest wait for the answer of an entry VM.

std::string QueryOf(const cxxopts::ParseResult& options) {
  std::string query;
  for (const char* name : {"host", "path", "method", "workspace", "time-limit-ms", "id"}) {
    if (options.count(name) == 0) continue;
    std::string parameter = name;
    std::replace(parameter.begin(), parameter.end(), '-', '_');
    query += (query.empty() ? "?" : "&") + parameter + "=" +
             httplib::detail::encode_query_param(options[name].as<std::string>());
  }
  return query;
}

// Returns the answer, or nullopt with `error` set.
std::optional<json> Ask(const Endpoint& entry, const std::string& query, std::string& error) {
  httplib::Client client(entry.ip, entry.port);
  client.set_connection_timeout(kTimeout);
  client.set_read_timeout(kTimeout);
  const httplib::Result result = client.Get("/explain" + query);
  if (!result) {
    error = httplib::to_string(result.error());
    return std::nullopt;
  }
  const std::string fault = FaultOfResponse(*result);
  if (!fault.empty()) {
    error = "the answer is not an HTTP response, " + fault;
    return std::nullopt;
  }
  json answer = json::parse(result->body, nullptr, false);
  if (result->status == 200 && answer.is_object()) return answer;
  error = fmt::format("status {}: {}", result->status, result->body);
  return std::nullopt;
}

// Asks the scheduler that decides, if it is another entry VM whose metrics have the same port.
std::optional<json> AskScheduler(const Endpoint& entry, const std::string& query,
                                 const json& first) {
  const json scheduler = first.value("scheduler", json::object());
  if (scheduler.value("is_this_entry_vm", true)) return std::nullopt;
  const std::string peer = scheduler.value("peer", "");
  const std::optional<Endpoint> at = ParseEndpoint(peer);
  if (!at) return std::nullopt;
  std::string ignored;  // The first answer then says who decides.
  const std::optional<json> answer =
      Ask({at->ip, entry.port},
          query + (query.empty() ? "?" : "&") + "for_peer=" + first.value("peer", "") +
              "&for_failure_domain=" +
              httplib::detail::encode_query_param(first.value("failure_domain", "")),
          ignored);
  return answer && answer->value("peer", "") == peer ? answer : std::nullopt;
}

std::string DecisionText(const json& decision) {
  const std::string outcome = decision.value("outcome", "");
  if (outcome == "assigned") {
    return fmt::format("assigned to {} (expected {} ms, {} usable servers)",
                       decision.value("server", ""), decision.value("expected_ms", 0),
                       decision.value("usable_servers", 0));
  }
  if (outcome == "refused") return "refused: " + decision.value("cause", "");
  if (outcome == "waits") {
    return fmt::format("waits in the queue behind {} requests", decision.value("queued_before", 0));
  }
  if (outcome == "passed on") {
    return fmt::format("passed on to failure domain {} (scheduler {})",
                       decision.value("to_failure_domain", ""), decision.value("to_scheduler", ""));
  }
  return outcome + " " + decision.value("by_scheduler", "");
}

std::string ServerText(const json& server) {
  const json& age = server.at("report_age_ms");
  return fmt::format(
      "  {} {}{}: {}, {}/{} slots, slowdown {:.2f}, expected {:.0f} ms, {}\n",
      server.value("failure_domain", ""), server.value("server", ""),
      server.value("in_cell", false) ? "" : " (other cell)", server.value("state", ""),
      server.value("in_flight", 0), server.value("slots", 0), server.value("slowdown", 1.0),
      server.value("expected_ms", 0.0),
      age.is_null() ? "no report" : fmt::format("report {:.0f} ms old", age.get<double>()));
}

std::string ScheduleText(const json& answer) {
  std::string text;
  if (answer.contains("scheduler")) {
    const json& scheduler = answer["scheduler"];
    text += fmt::format("scheduler  {}{}\n", scheduler.value("peer", ""),
                        scheduler.value("is_this_entry_vm", false) ? " (this entry VM)" : "");
  }
  for (const json& server : answer.value("servers", json::array())) text += ServerText(server);
  if (answer.contains("decision")) {
    text += "decision   " + DecisionText(answer["decision"]) + "\n";
  }
  return text;
}

}  // namespace

void AddExplainRouteOptions(cxxopts::Options& options) {
  options.add_options()("entry", "Metrics address of an entry VM, IP:PORT",
                        cxxopts::value<std::string>())("host", "Host of the request",
                                                       cxxopts::value<std::string>())(
      "path", "Path of the request", cxxopts::value<std::string>())("method", "Method; default GET",
                                                                    cxxopts::value<std::string>())(
      "workspace", "Name of the workspace, not its key", cxxopts::value<std::string>())(
      "time-limit-ms", "Time limit; default that of the route", cxxopts::value<std::string>())(
      "id", "Request id; default a new one", cxxopts::value<std::string>())(
      "json", "Print JSON instead of text");
}

std::string FormatExplanation(const json& answer) {
  std::string text =
      fmt::format("entry VM   {} in {}, manifest revision {}\n", answer.value("entry_vm", ""),
                  answer.value("failure_domain", ""), answer.value("revision", uint64_t{0}));
  for (const json& domain : answer.value("evacuated", json::array())) {
    text += "evacuated  " + domain.get<std::string>() + "\n";
  }
  if (answer.contains("route")) {
    const json& route = answer["route"];
    text += fmt::format("route      {} ({}: {})\n", route.value("route", ""),
                        route.value("reason", ""), route.value("prefix", ""));
    text += fmt::format("service    {} ({})\n", route.value("service", ""),
                        route.value("service_reason", ""));
    for (const json& it : route.at("services")) {
      text += fmt::format("  weight {} {}\n", it.value("weight", 0), it.value("service", ""));
    }
  }
  const json workspace = answer.value("workspace", json::object());
  if (workspace.contains("reason")) {
    text += "workspace  " + workspace.value("workspace", "none") + ": " +
            workspace.value("reason", "") + "\n";
  } else if (workspace.contains("workspace")) {
    const json& limit = workspace.at("limit_per_s");
    text += fmt::format("workspace  {}, priority {}, {}\n", workspace.value("workspace", ""),
                        workspace.value("priority", 0),
                        limit.is_null()
                            ? "no limit"
                            : fmt::format("limit {} a second, burst {}", limit.get<double>(),
                                          workspace.value("burst", 0.0)));
  }
  text += ScheduleText(answer);
  if (answer.contains("at_scheduler")) {
    text += "what that scheduler answers:\n" + ScheduleText(answer["at_scheduler"]);
  }
  return text;
}

int RunExplainRoute(const cxxopts::ParseResult& options) {
  const std::string entry_text =
      options.count("entry") > 0 ? options["entry"].as<std::string>() : "";
  const std::optional<Endpoint> entry = ParseEndpoint(entry_text);
  if (!entry) {
    std::cerr << "cowsliphill: --entry: found \"" << entry_text
              << "\"; allowed: IP-NUMBER:PORT\nTry: cowsliphill explain-route --help\n";
    return kExitUsage;
  }
  const std::string query = QueryOf(options);
  std::string error;
  std::optional<json> answer = Ask(*entry, query, error);
  if (!answer) {
    std::cerr << "cowsliphill: " << entry_text << ": " << error << "\n";
    return kExitFailure;
  }
  if (const auto scheduler = AskScheduler(*entry, query, *answer)) {
    (*answer)["at_scheduler"] = *scheduler;
  }
  std::cout << (options.count("json") > 0 ? answer->dump(2) + "\n" : FormatExplanation(*answer));
  return kExitSuccess;
}

}  // namespace cowsliphill
