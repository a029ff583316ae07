// Simulates callers, entry VMs and the backend servers of one service on virtual time, to compare
// load balancing policies on the same seeded workload. The simulation does no I/O, and production
// code does not use it.
//
// Every entry VM has its own Policy, which sees only the requests of that entry VM and the reports
// on their answers. Backend servers process requests in arrival order and ignore request classes.

#ifndef COWSLIPHILL_BENCH_POLICY_MODEL_H_
#define COWSLIPHILL_BENCH_POLICY_MODEL_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

#include "src/choose/chooser.h"

namespace cowsliphill::bench {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct ModelOptions {
  uint64_t seed = 1;
  uint32_t entry_vms = 18;
  uint32_t servers = 20;
  uint32_t slots = 3;                    // Requests that a server runs at the same time.
  Duration one_way = microseconds(500);  // Network delay between an entry VM and a backend server.
  Duration warm_up = seconds(3);  // Requests that arrive during the warm-up are not measured.
  Duration length = seconds(10);  // Length of the measured time.
  double load = 0.85;  // Offered routine and bulk work as a share of the available capacity.
  // Offered emergency work as a share of all slots; not included in `load`.
  double emergency_load = 0.02;
  double bulk_share = 0.02;       // Share of bulk requests among all but the emergency requests.
  double repeatable_share = 0.8;  // Share of repeatable requests among the routine requests.
  Duration report_period{};   // Servers refresh the load that they report at most once per period.
  double tail_weight = 0.7;   // The service's setting; scales the rate of probes and of hedges.
  double probe_budget = 0.0;  // Probes per second and server; every entry VM receives the results.
  bool reports_on_answers = true;       // If false, only probes report a server's load.
  bool reserve_for_emergencies = true;  // Gives the service tenants with emergency requests.
  bool load_swings = false;             // Alternates the arrival rate by a factor of 2 every 50 ms.
  uint32_t stragglers = 0;              // Number of servers that are 10x slower, from 1 s on.
  bool noisy = false;  // Halves the speed of a third of the servers for 20 to 200 ms at a time.
  bool fast_failer = false;  // One server answers at once with an error, from 1 s on.
  bool drain = false;        // One server drains, from 5 s on.
  bool cold_start = false;   // One server is added at 5 s and is 5x slower for 3 s.
  bool emergency_only = false;
};

struct ClassResults {
  // Latencies of answered requests; a late request counts with its deadline.
  std::vector<Duration> latencies;
  uint64_t offered = 0;
  uint64_t refused = 0;
  uint64_t late = 0;
  uint64_t failed = 0;  // Requests that ended with a server's error.

  // Returns the latency in milliseconds below which the given share of `latencies` lies.
  double Percentile(double share) {
    if (latencies.empty()) return 0.0;
    const auto at = static_cast<ptrdiff_t>(share * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), latencies.begin() + at, latencies.end());
    return std::chrono::duration<double, std::milli>(latencies[static_cast<size_t>(at)]).count();
  }
};

struct ModelResults {
  std::array<ClassResults, kRequestClassCount> classes;
  // Work of requests answered by their deadline, as a share of the time of all slots.
  double goodput = 0.0;
  uint64_t attempts = 0;        // Attempts of requests that arrived during the measured time.
  uint64_t first_attempts = 0;  // First attempts of these requests.
  uint64_t probes = 0;          // Probes sent during the measured time.
  // Attempts that reach the draining server more than 1 s after its drain began.
  uint64_t sent_after_drain = 0;

  ClassResults& Of(RequestClass request_class) {
    return classes[static_cast<size_t>(request_class)];
  }
  double Amplification() const {
    return static_cast<double>(attempts) /
           static_cast<double>(std::max<uint64_t>(1, first_attempts));
  }
};

inline BackendServerId ModelServerId(uint32_t i) {
  return BackendServerId("b" + std::to_string(i));
}
inline uint32_t ModelServerIndex(const BackendServerId& id) {
  return static_cast<uint32_t>(std::stoul(id.Text().substr(1)));
}

inline Manifest ModelManifest(const ModelOptions& options, uint32_t servers) {
  Manifest manifest;
  manifest.revision = servers;
  Service service;
  service.id = ServiceId("register");
  if (options.reserve_for_emergencies) service.emergency_tenants = {TenantId("crew")};
  service.tail_weight = options.tail_weight;
  manifest.services.push_back(service);
  for (uint32_t i = 0; i < servers; ++i) {
    BackendServer server;
    server.id = ModelServerId(i);
    server.service = service.id;
    server.slots = options.slots;
    manifest.backend_servers.push_back(server);
  }
  return manifest;
}

// Policy must have the member functions of Chooser that a forwarder calls.
template <typename Policy>
class PolicyModel {
 public:
  using MakePolicy = std::function<std::unique_ptr<Policy>(uint64_t seed)>;

  PolicyModel(const ModelOptions& options, const MakePolicy& make)
      : options_(options), random_(options.seed), work_random_(options.seed + 1) {
    const uint32_t all = options_.servers;
    servers_.resize(all);
    const Manifest manifest = ModelManifest(options_, options_.cold_start ? all - 1 : all);
    for (uint32_t i = 0; i < options_.entry_vms; ++i) {
      entry_vms_.push_back(make(options_.seed * 1000 + i));
      entry_vms_.back()->Apply(manifest, Now());
      next_polls_.push_back(MonotonicTime::max());
    }
  }

  ModelResults Run() {
    ScheduleFaults();
    ScheduleProbes();
    ScheduleArrival(RequestClass::kEmergency);
    if (!options_.emergency_only) ScheduleArrival(RequestClass::kRoutine);
    const MonotonicTime end = start_ + options_.warm_up + options_.length;
    while (!events_.empty() && events_.top().when < end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.when;
      event.action();
    }
    const std::chrono::duration<double> length = options_.length;
    const double slot_time = length.count() * options_.servers * options_.slots;
    results_.goodput = timely_work_ / slot_time;
    return std::move(results_);
  }

 private:
  struct Event {
    MonotonicTime when;
    uint64_t number;  // Orders events that have the same time.
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return when != other.when ? when > other.when : number > other.number;
    }
  };
  struct Job {
    uint64_t number = 0;
    Ticket ticket = 0;
    uint32_t attempt = 0;  // Index into the request's attempts.
    double work = 0;       // Service time in seconds at full speed.
  };
  struct Server {
    std::vector<uint64_t> running;  // Numbers of the jobs that occupy a slot.
    std::deque<Job> queue;
    double slowdown = 1.0;
    double noise_slowdown = 1.0;
    bool failing = false;
    bool draining = false;
    uint32_t reported_in_flight = 0;  // Load that reports carry, as of `snapshot_time`.
    MonotonicTime snapshot_time;
  };
  struct Attempt {
    uint32_t server = 0;
    uint64_t job = 0;
    MonotonicTime sent;
    bool open = true;
  };
  struct Request {
    uint32_t entry_vm = 0;
    RequestClass request_class = RequestClass::kRoutine;
    MonotonicTime arrived;
    MonotonicTime deadline;
    bool repeatable = false;
    bool measured = false;
    double work = 0;
    std::vector<Attempt> attempts;
  };

  static constexpr milliseconds kProbeDelay{5};
  static constexpr double kRoutineWorkSeconds = 0.010;    // Mean of an exponential distribution.
  static constexpr double kEmergencyWorkSeconds = 0.010;  // Mean of a log-normal distribution.
  static constexpr double kBulkWorkSeconds = 0.040;       // Mean of an exponential distribution.

  MonotonicTime Now() const { return now_; }

  void At(MonotonicTime when, std::function<void()> action) {
    events_.push(Event{when, next_event_number_++, std::move(action)});
  }
  void After(Duration delay, std::function<void()> action) { At(now_ + delay, std::move(action)); }

  // --- Faults

  void ScheduleFaults() {
    After(seconds(1), [this] {
      for (uint32_t i = 0; i < options_.stragglers; ++i) servers_[3 + 5 * i].slowdown = 10.0;
      if (options_.fast_failer) servers_[7].failing = true;
    });
    if (options_.noisy) {
      for (uint32_t i = 0; i < options_.servers; i += 3) ToggleNoise(i);
    }
    if (options_.drain) After(seconds(5), [this] { servers_[9].draining = true; });
    if (options_.cold_start) After(seconds(5), [this] { AddColdServer(); });
  }

  void ToggleNoise(uint32_t i) {
    servers_[i].noise_slowdown = servers_[i].noise_slowdown > 1.0 ? 1.0 : 2.0;
    const milliseconds phase_length(std::uniform_int_distribution<int>(20, 200)(random_));
    After(phase_length, [this, i] { ToggleNoise(i); });
  }

  void AddColdServer() {
    servers_.back().slowdown = 5.0;
    After(seconds(3), [this] { servers_.back().slowdown = 1.0; });
    for (auto& entry_vm : entry_vms_) {
      entry_vm->Apply(ModelManifest(options_, options_.servers), now_);
    }
  }

  // A single prober sends the whole probe budget. The result of a probe reaches every entry VM
  // kProbeDelay after the probe was sent.
  void ScheduleProbes() {
    const double rate = options_.probe_budget * options_.tail_weight;
    if (rate <= 0.0) return;
    const Duration interval(static_cast<int64_t>(1e9 / rate));
    for (uint32_t i = 0; i < options_.servers; ++i) {
      After(interval * i / options_.servers, [this, i, interval] { Probe(i, interval); });
    }
  }

  void Probe(uint32_t i, Duration interval) {
    if (now_ >= start_ + options_.warm_up) ++results_.probes;
    const Report report = ReportOf(servers_[i]);
    After(kProbeDelay, [this, i, report] {
      for (auto& entry_vm : entry_vms_) entry_vm->OnReport(ModelServerId(i), report, now_);
    });
    After(interval, [this, i, interval] { Probe(i, interval); });
  }

  // --- Callers

  double Rate(RequestClass request_class) const {
    const double all = options_.servers * options_.slots;
    if (request_class == RequestClass::kEmergency) {
      return options_.emergency_load * all / kEmergencyWorkSeconds;
    }
    // A straggler provides a tenth of its slots' capacity.
    const double slots = all - 0.9 * options_.stragglers * options_.slots;
    const double mean =
        (1 - options_.bulk_share) * kRoutineWorkSeconds + options_.bulk_share * kBulkWorkSeconds;
    double rate = options_.load * slots / mean;
    const auto phase = (now_ - start_) / milliseconds(50);
    if (options_.load_swings) rate *= phase % 2 == 0 ? 4.0 / 3.0 : 2.0 / 3.0;
    return rate;
  }

  void ScheduleArrival(RequestClass request_class) {
    const double gap = std::exponential_distribution<double>(Rate(request_class))(work_random_);
    After(Duration(static_cast<int64_t>(gap * 1e9)), [this, request_class] {
      OnRequestArrival(request_class);
      ScheduleArrival(request_class);
    });
  }

  double DrawWork(RequestClass request_class) {
    switch (request_class) {
      case RequestClass::kEmergency: {
        const double sigma = 0.3;
        const double mu = std::log(kEmergencyWorkSeconds) - sigma * sigma / 2;
        return std::lognormal_distribution<double>(mu, sigma)(work_random_);
      }
      case RequestClass::kRoutine:
        return std::exponential_distribution<double>(1 / kRoutineWorkSeconds)(work_random_);
      case RequestClass::kBulk:
        break;
    }
    return std::exponential_distribution<double>(1 / kBulkWorkSeconds)(work_random_);
  }

  void OnRequestArrival(RequestClass request_class) {
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    const bool bulk = uniform(work_random_) < options_.bulk_share;
    const bool repeatable = uniform(work_random_) < options_.repeatable_share;
    const auto entry_vm = static_cast<uint32_t>(work_random_() % options_.entry_vms);
    if (request_class == RequestClass::kRoutine && bulk) request_class = RequestClass::kBulk;
    Duration deadline = milliseconds(300);
    if (request_class == RequestClass::kEmergency) deadline = milliseconds(200);
    if (request_class == RequestClass::kBulk) deadline = seconds(1);

    const Ticket ticket = next_ticket_++;
    Request& request = requests_[ticket];
    request.entry_vm = entry_vm;
    request.request_class = request_class;
    request.arrived = now_;
    request.deadline = now_ + deadline;
    request.repeatable = request_class == RequestClass::kEmergency ||
                         (request_class == RequestClass::kRoutine && repeatable);
    request.work = DrawWork(request_class);
    request.measured = now_ >= start_ + options_.warm_up;
    if (request.measured) ++ResultsOf(request).offered;
    At(request.deadline, [this, ticket] { OnDeadline(ticket); });

    ChoiceRequest choice_request;
    choice_request.ticket = ticket;
    choice_request.service = ServiceId("register");
    choice_request.request_class = request_class;
    choice_request.deadline = request.deadline;
    choice_request.repeatable = request.repeatable;
    HandleChoice(entry_vms_[entry_vm]->Choose(choice_request, now_), ticket);
    Poll(entry_vm);
  }

  ClassResults& ResultsOf(const Request& request) { return results_.Of(request.request_class); }

  // --- Entry VMs

  template <typename ChoiceT>
  void HandleChoice(const ChoiceT& choice, Ticket ticket) {
    if (const auto* send = std::get_if<SendTo>(&choice)) Send(*send);
    if (std::holds_alternative<Refuse>(choice)) {
      const auto it = requests_.find(ticket);
      if (it == requests_.end()) return;
      if (it->second.measured) ++ResultsOf(it->second).refused;
      EndRequest(ticket);
    }
  }

  void Poll(uint32_t entry_vm) {
    Policy& chooser = *entry_vms_[entry_vm];
    for (const ReadyChoice& ready : chooser.TakeReady(now_)) {
      std::visit([&](const auto& item) { HandleChoice(ready, item.ticket); }, ready);
    }
    for (const Ticket ticket : chooser.HedgeDue(now_)) {
      if (const auto send = chooser.Hedge(ticket, now_)) Send(*send);
    }
    const auto wake = chooser.NextWake();
    if (!wake) return;
    const MonotonicTime when = std::max<MonotonicTime>(*wake, now_ + microseconds(100));
    if (next_polls_[entry_vm] <= when && next_polls_[entry_vm] > now_) return;
    next_polls_[entry_vm] = when;
    At(when, [this, entry_vm, when] {
      if (next_polls_[entry_vm] != when) return;
      next_polls_[entry_vm] = MonotonicTime::max();
      Poll(entry_vm);
    });
  }

  void Send(const SendTo& send) {
    const auto it = requests_.find(send.ticket);
    if (it == requests_.end()) return;
    Request& request = it->second;
    const uint32_t server = ModelServerIndex(send.server);
    const auto position = static_cast<uint32_t>(request.attempts.size());
    const Job job{next_job_++, send.ticket, position, request.work};
    request.attempts.push_back(Attempt{server, job.number, now_, true});
    if (request.measured) ++results_.attempts;
    if (request.measured && position == 0) ++results_.first_attempts;
    After(options_.one_way, [this, server, job] { OnJobArrival(server, job); });
  }

  void OnAnswer(const Job& job, AttemptEnd end, const Report& report) {
    const auto it = requests_.find(job.ticket);
    if (it == requests_.end()) return;
    Request& request = it->second;
    Attempt& attempt = request.attempts[job.attempt];
    if (!attempt.open) return;
    attempt.open = false;
    AttemptResult result;
    result.end = end;
    result.latency = now_ - attempt.sent;
    if (options_.reports_on_answers || report.draining) result.report = report;
    const uint32_t entry_vm = request.entry_vm;
    entry_vms_[entry_vm]->OnEnded(job.ticket, ModelServerId(attempt.server), result, now_);
    if (end == AttemptEnd::kAnswered) {
      if (request.measured) {
        ResultsOf(request).latencies.push_back(now_ - request.arrived);
        timely_work_ += request.work;
      }
      EndRequest(job.ticket);
    } else if (request.repeatable || end == AttemptEnd::kNotStarted) {
      HandleChoice(entry_vms_[entry_vm]->Retry(job.ticket, now_), job.ticket);
    } else {
      if (request.measured) ++ResultsOf(request).failed;
      EndRequest(job.ticket);
    }
    Poll(entry_vm);
  }

  void OnDeadline(Ticket ticket) {
    const auto it = requests_.find(ticket);
    if (it == requests_.end()) return;
    const uint32_t entry_vm = it->second.entry_vm;
    if (it->second.measured) {
      ++ResultsOf(it->second).late;
      ResultsOf(it->second).latencies.push_back(it->second.deadline - it->second.arrived);
    }
    EndRequest(ticket, AttemptEnd::kTimedOut);
    Poll(entry_vm);
  }

  // Ends the request and aborts its attempts that are still open.
  void EndRequest(Ticket ticket, AttemptEnd open_end = AttemptEnd::kCancelled) {
    const auto it = requests_.find(ticket);
    if (it == requests_.end()) return;
    const Request request = std::move(it->second);
    requests_.erase(it);
    Policy& entry_vm = *entry_vms_[request.entry_vm];
    for (const Attempt& attempt : request.attempts) {
      if (!attempt.open) continue;
      AttemptResult result;
      result.end = open_end;
      result.latency = now_ - attempt.sent;
      entry_vm.OnEnded(ticket, ModelServerId(attempt.server), result, now_);
      After(options_.one_way, [this, attempt] { Abort(attempt.server, attempt.job); });
    }
    entry_vm.Finish(ticket, now_);
  }

  // --- Backend servers

  Report ReportOf(Server& server) {
    const auto current = static_cast<uint32_t>(server.running.size() + server.queue.size());
    if (now_ >= server.snapshot_time + options_.report_period) {
      server.snapshot_time = now_;
      server.reported_in_flight = current;
    }
    Report report;
    report.in_flight = server.reported_in_flight;
    report.slots = options_.slots;
    report.draining = server.draining;
    return report;
  }

  void SendAnswer(uint32_t i, const Job& job, AttemptEnd end, Duration after) {
    const Report report = ReportOf(servers_[i]);
    After(after, [this, job, end, report] { OnAnswer(job, end, report); });
  }

  void OnJobArrival(uint32_t i, const Job& job) {
    Server& server = servers_[i];
    if (server.draining) {
      if (now_ > start_ + seconds(6)) ++results_.sent_after_drain;
      SendAnswer(i, job, AttemptEnd::kNotStarted, options_.one_way);
    } else if (server.failing) {
      SendAnswer(i, job, AttemptEnd::kServerError, options_.one_way + microseconds(200));
    } else {
      server.queue.push_back(job);
      StartNext(i);
    }
  }

  void StartNext(uint32_t i) {
    Server& server = servers_[i];
    while (server.running.size() < options_.slots && !server.queue.empty()) {
      const Job job = server.queue.front();
      server.queue.pop_front();
      server.running.push_back(job.number);
      const double time = job.work * server.slowdown * server.noise_slowdown;
      After(Duration(static_cast<int64_t>(time * 1e9)), [this, i, job] { Complete(i, job); });
    }
  }

  void Complete(uint32_t i, const Job& job) {
    if (std::erase(servers_[i].running, job.number) == 0) return;  // The job was aborted before.
    SendAnswer(i, job, AttemptEnd::kAnswered, options_.one_way);
    StartNext(i);
  }

  void Abort(uint32_t i, uint64_t number) {
    Server& server = servers_[i];
    std::erase(server.running, number);
    std::erase_if(server.queue, [number](const Job& job) { return job.number == number; });
    StartNext(i);
  }

  ModelOptions options_;
  std::mt19937_64 random_;       // Draws faults.
  std::mt19937_64 work_random_;  // Draws arrivals and work, which are the same for every policy.
  MonotonicTime start_{std::chrono::hours(1)};
  MonotonicTime now_ = start_;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<Policy>> entry_vms_;
  // Time of the next poll per entry VM; max if none is scheduled.
  std::vector<MonotonicTime> next_polls_;
  std::vector<Server> servers_;
  std::unordered_map<Ticket, Request> requests_;
  ModelResults results_;
  double timely_work_ = 0.0;  // Work of measured requests answered by their deadline, in seconds.
  uint64_t next_event_number_ = 0;
  uint64_t next_job_ = 1;
  Ticket next_ticket_ = 1;  // Identifies the next request.
};

// --- Baseline policies: they have no queue, no load shedding and no health checks, and retry a
// request once.

enum class BaselineKind { kRandom, kRoundRobin, kLeastInFlight, kTwoChoices };

class BaselinePolicy {
 public:
  BaselinePolicy(BaselineKind kind, uint64_t seed) : kind_(kind), random_(seed) {}

  void Apply(const Manifest& manifest, MonotonicTime) {
    in_flight_.resize(manifest.backend_servers.size());
    next_ = random_() % in_flight_.size();
  }
  Choice Choose(const ChoiceRequest& request, MonotonicTime) { return Send(request.ticket, 1); }
  Choice Retry(Ticket ticket, MonotonicTime) {
    if (!retried_.insert(ticket).second) return Refuse{ticket, RefusalCause::kRetryBudget};
    return Send(ticket, 2);
  }
  void OnEnded(Ticket, const BackendServerId& server, const AttemptResult&, MonotonicTime) {
    --in_flight_[ModelServerIndex(server)];
  }
  void OnReport(const BackendServerId&, const Report&, MonotonicTime) {}
  void Finish(Ticket ticket, MonotonicTime) { retried_.erase(ticket); }
  std::vector<ReadyChoice> TakeReady(MonotonicTime) { return {}; }
  std::vector<Ticket> HedgeDue(MonotonicTime) { return {}; }
  std::optional<SendTo> Hedge(Ticket, MonotonicTime) { return std::nullopt; }
  std::optional<MonotonicTime> NextWake() const { return std::nullopt; }

 private:
  SendTo Send(Ticket ticket, uint32_t attempt) {
    const size_t server = Pick();
    ++in_flight_[server];
    return SendTo{ticket, ModelServerId(static_cast<uint32_t>(server)), {}, attempt, ""};
  }

  size_t Pick() {
    const size_t n = in_flight_.size();
    switch (kind_) {
      case BaselineKind::kRandom:
        return random_() % n;
      case BaselineKind::kRoundRobin:
        return next_++ % n;
      case BaselineKind::kLeastInFlight: {
        const size_t first = random_() % n;
        size_t best = first;
        for (size_t i = 1; i < n; ++i) best = LessLoaded(best, (first + i) % n);
        return best;
      }
      case BaselineKind::kTwoChoices:
        break;
    }
    return LessLoaded(random_() % n, random_() % n);
  }
  size_t LessLoaded(size_t a, size_t b) const { return in_flight_[b] < in_flight_[a] ? b : a; }

  BaselineKind kind_;
  std::mt19937_64 random_;
  std::vector<uint32_t> in_flight_;  // Outstanding attempts of this entry VM per server.
  std::unordered_set<Ticket> retried_;
  size_t next_ = 0;
};

}  // namespace cowsliphill::bench

#endif  // COWSLIPHILL_BENCH_POLICY_MODEL_H_
