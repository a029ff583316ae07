// Compares Chooser with simple load balancing policies on the same seeded workload, and measures
// its time per decision.
//
//   policy_bench            every scenario
//   policy_bench NAME...    only those scenarios
//   policy_bench weights    only the sweep over the weight of tail latency (tail_weight)
//   policy_bench decisions  only the time per decision
//   SEED=N policy_bench     another seed (default 1)
//
// Policies: random, robin (round robin), least (fewest outstanding requests), two (the better of
// two random servers), cowslip (Chooser).
//
// Columns: latency percentiles in milliseconds of emergency (em), routine (ro) and bulk (bu)
// requests; refused, late and failed requests in percent of all requests; goodput, the work of
// requests answered by their deadline as a share of the time of all slots; ampl, attempts per first
// attempt.

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "bench/policy_model.h"

namespace cowsliphill::bench {
namespace {

constexpr int kDecisionRequests = 1000000;  // Requests per run of MeasureDecisions.

struct Scenario {
  std::string name;
  ModelOptions options;
};

template <typename Change>
Scenario Make(const std::string& name, uint64_t seed, Change change) {
  Scenario scenario{name, {}};
  scenario.options.seed = seed;
  change(scenario.options);
  return scenario;
}

std::vector<Scenario> Scenarios(uint64_t seed) {
  std::vector<Scenario> all;
  const auto add = [&](const std::string& name, auto change) {
    all.push_back(Make(name, seed, change));
  };
  add("emergency-only", [](ModelOptions& o) { o.emergency_only = true; });
  add("steady-40", [](ModelOptions& o) { o.load = 0.40; });
  add("steady-70", [](ModelOptions& o) { o.load = 0.70; });
  add("steady-85", [](ModelOptions& o) { o.load = 0.85; });
  add("steady-95", [](ModelOptions& o) { o.load = 0.95; });
  add("unreserved-95", [](ModelOptions& o) {
    o.load = 0.95;
    o.reserve_for_emergencies = false;
  });
  add("overload-3x", [](ModelOptions& o) { o.load = 3.0; });
  add("swings-85", [](ModelOptions& o) { o.load_swings = true; });
  add("stragglers-85", [](ModelOptions& o) { o.stragglers = 2; });
  add("stragglers-swings-85", [](ModelOptions& o) {
    o.stragglers = 2;
    o.load_swings = true;
  });
  // The load is 85% of all slots, including those of the stragglers, which is 93% of the available
  // capacity.
  add("stragglers-all-85", [](ModelOptions& o) {
    o.stragglers = 2;
    o.load_swings = true;
    o.load = 0.934;
  });
  add("emergency-5-only", [](ModelOptions& o) {
    o.emergency_only = true;
    o.emergency_load = 0.05;
  });
  add("emergency-5-85", [](ModelOptions& o) { o.emergency_load = 0.05; });
  add("noisy-70", [](ModelOptions& o) {
    o.noisy = true;
    o.load = 0.70;
  });
  add("fast-failer-70", [](ModelOptions& o) {
    o.fast_failer = true;
    o.load = 0.70;
  });
  add("drain-70", [](ModelOptions& o) {
    o.drain = true;
    o.load = 0.70;
  });
  add("cold-start-70", [](ModelOptions& o) {
    o.cold_start = true;
    o.load = 0.70;
  });
  for (const int age : {5, 50, 500}) {
    add("stale-" + std::to_string(age) + "ms-85",
        [age](ModelOptions& o) { o.report_period = milliseconds(age); });
  }
  return all;
}

void PrintHead() {
  std::printf("%-21s %-9s | %6s %6s %6s | %6s %6s %6s | %6s | %6s %6s %6s | %7s %6s\n", "scenario",
              "policy", "em p50", "p99", "p99.9", "ro p50", "p99", "p99.9", "bu p99", "refus%",
              "late%", "fail%", "goodput", "ampl");
}

double Share(uint64_t part, uint64_t whole) {
  return whole == 0 ? 0.0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

void Print(const Scenario& scenario, const char* policy, ModelResults results) {
  ClassResults& emergency = results.Of(RequestClass::kEmergency);
  ClassResults& routine = results.Of(RequestClass::kRoutine);
  ClassResults& bulk = results.Of(RequestClass::kBulk);
  const uint64_t offered = emergency.offered + routine.offered + bulk.offered;
  std::printf(
      "%-21s %-9s | %6.1f %6.1f %6.1f | %6.1f %6.1f %6.1f | %6.0f | %6.2f %6.2f %6.2f | %7.3f "
      "%6.3f",
      scenario.name.c_str(), policy, emergency.Percentile(0.5), emergency.Percentile(0.99),
      emergency.Percentile(0.999), routine.Percentile(0.5), routine.Percentile(0.99),
      routine.Percentile(0.999), bulk.Percentile(0.99),
      Share(emergency.refused + routine.refused + bulk.refused, offered),
      Share(emergency.late + routine.late + bulk.late, offered),
      Share(emergency.failed + routine.failed + bulk.failed, offered), results.goodput,
      results.Amplification());
  if (scenario.options.drain) std::printf("  after drain: %lu", results.sent_after_drain);
  if (emergency.refused > 0) std::printf("  emergencies refused: %lu", emergency.refused);
  std::printf("\n");
}

void RunBaseline(const Scenario& scenario, const char* name, BaselineKind kind) {
  PolicyModel<BaselinePolicy> model(scenario.options, [kind](uint64_t seed) {
    return std::make_unique<BaselinePolicy>(kind, seed);
  });
  Print(scenario, name, model.Run());
}

void RunChooser(const Scenario& scenario) {
  PolicyModel<Chooser> model(scenario.options, [](uint64_t seed) {
    return std::make_unique<Chooser>(FailureDomainId("place"), seed);
  });
  Print(scenario, "cowslip", model.Run());
}

void Run(const Scenario& scenario) {
  RunBaseline(scenario, "random", BaselineKind::kRandom);
  RunBaseline(scenario, "robin", BaselineKind::kRoundRobin);
  RunBaseline(scenario, "least", BaselineKind::kLeastInFlight);
  RunBaseline(scenario, "two", BaselineKind::kTwoChoices);
  RunChooser(scenario);
}

// Sweeps tail_weight from 0 (fewest probes and hedges) to 1 (shortest latency tail) and prints the
// probes, the attempts per first attempt and the latencies.
void MeasureWeights(uint64_t seed) {
  std::printf("\nweight  probes/s/server  reports from   ro p50    p99  p99.9  amplification\n");
  for (const bool on_answers : {true, false}) {
    for (const double weight : {0.0, 0.25, 0.5, 0.7, 1.0}) {
      ModelOptions options;
      options.seed = seed;
      options.stragglers = 2;
      options.load_swings = true;
      options.tail_weight = weight;
      options.probe_budget = 1.0;
      options.reports_on_answers = on_answers;
      PolicyModel<Chooser> model(options, [](uint64_t policy_seed) {
        return std::make_unique<Chooser>(FailureDomainId("place"), policy_seed);
      });
      ModelResults results = model.Run();
      ClassResults& routine = results.Of(RequestClass::kRoutine);
      const double length = std::chrono::duration<double>(options.length).count();
      const double probes = static_cast<double>(results.probes) / length / options.servers;
      std::printf("%6.2f %16.2f  %-13s %7.1f %6.1f %6.1f %14.3f\n", weight, probes,
                  on_answers ? "answers too" : "probes only", routine.Percentile(0.5),
                  routine.Percentile(0.99), routine.Percentile(0.999), results.Amplification());
    }
  }
}

// Measures real time per request and per decision, with `servers` backend servers in `services`
// services and up to `max_open` outstanding requests.
void MeasureDecisions(uint32_t services, uint32_t servers, size_t max_open) {
  Manifest manifest;
  for (uint32_t i = 0; i < services; ++i) {
    Service service;
    service.id = ServiceId("service-" + std::to_string(i));
    service.emergency_tenants = {TenantId("crew")};
    manifest.services.push_back(service);
  }
  for (uint32_t i = 0; i < servers; ++i) {
    BackendServer server;
    server.id = BackendServerId("backend-" + std::to_string(i));
    server.service = manifest.services[i % services].id;
    server.endpoint = Endpoint{"10.0.0.1", static_cast<uint16_t>(1024 + i)};
    manifest.backend_servers.push_back(server);
  }
  Chooser chooser(FailureDomainId("place"), 1);
  MonotonicTime now{std::chrono::hours(1)};
  chooser.Apply(manifest, now);

  std::deque<SendTo> open;
  Duration in_choose{};
  uint64_t refused = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (Ticket ticket = 1; ticket <= kDecisionRequests; ++ticket) {
    now += microseconds(20);
    ChoiceRequest request;
    request.ticket = ticket;
    request.service = manifest.services[ticket * 7919 % services].id;
    request.deadline = now + seconds(1);
    request.repeatable = true;
    const auto before = std::chrono::steady_clock::now();
    const Choice choice = chooser.Choose(request, now);
    in_choose += std::chrono::steady_clock::now() - before;
    if (const auto* send = std::get_if<SendTo>(&choice)) {
      open.push_back(*send);
    } else {
      ++refused;
      chooser.Finish(ticket, now);
    }
    chooser.HedgeDue(now);
    if (open.size() < max_open) continue;
    AttemptResult result;
    result.latency = milliseconds(10);
    result.report = Report{1, 3, false, false};
    chooser.OnEnded(open.front().ticket, open.front().server, result, now);
    chooser.Finish(open.front().ticket, now);
    open.pop_front();
  }
  const Duration whole = std::chrono::steady_clock::now() - begin;
  std::printf(
      "%u services, %u backend servers: %.0f ns in Choose, %.0f ns a request, %lu not sent\n",
      services, servers, static_cast<double>(in_choose.count()) / kDecisionRequests,
      static_cast<double>(whole.count()) / kDecisionRequests, refused);
}

void MeasureDecisionsAtSizes() {
  MeasureDecisions(1, 20, 4);
  MeasureDecisions(180, 2500, 64);
  MeasureDecisions(1, 2500, 64);
}

int Main(int argc, char** argv) {
  const char* seed_text = std::getenv("SEED");
  const uint64_t seed = seed_text == nullptr ? 1 : std::strtoull(seed_text, nullptr, 10);
  const std::vector<std::string> selected_names(argv + 1, argv + argc);
  const auto is_selected = [&](const std::string& name) {
    return selected_names.empty() ||
           std::find(selected_names.begin(), selected_names.end(), name) != selected_names.end();
  };
  PrintHead();
  for (const Scenario& scenario : Scenarios(seed)) {
    if (is_selected(scenario.name)) Run(scenario);
  }
  if (is_selected("weights")) MeasureWeights(seed);
  if (is_selected("decisions")) MeasureDecisionsAtSizes();
  return 0;
}

}  // namespace
}  // namespace cowsliphill::bench

int main(int argc, char** argv) { return cowsliphill::bench::Main(argc, argv); }
