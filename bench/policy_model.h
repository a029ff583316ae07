// A model of callers, entry VMs and the backend servers of one service on virtual time, to measure
// policies of choosing on the same seeded work. No I/O; nothing of it runs in production.
//
// Every entry VM has its own Decider and sees only its own requests and the reports on their
// answers. Backend servers serve first come, first served and don't know of classes.

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
  uint32_t deciders = 18;
  uint32_t servers = 20;
  uint32_t slots = 3;                    // Per server.
  Duration one_way = microseconds(500);  // Entry VM to backend server.
  Duration warm_up = seconds(3);         // Not counted.
  Duration length = seconds(10);         // Counted.
  double load = 0.85;                    // Routine and bulk work, in shares of what is there.
  double emergency_load = 0.02;          // Emergency work, likewise; not part of `load`.
  double bulk_share = 0.02;              // Of the other requests.
  double repeatable_share = 0.8;         // Of the routine requests.
  Duration report_period{};              // Age that a report may have when it is sent.
  double tail_weight = 0.7;              // Of the service; scales probes and hedges.
  double probe_budget = 0.0;             // Probes per second and server; told to every entry VM.
  bool reports_on_answers = true;        // Else only probes tell.
  bool reserve = true;                   // The service has emergency tenants.
  bool swings = false;                   // The rate changes by 2x every 50 ms.
  uint32_t stragglers = 0;               // Servers that are 10x slower, from 1 s on.
  bool noisy = false;        // A third of the servers is halved for 20 to 200 ms at a time.
  bool fast_failer = false;  // One server fails at once, from 1 s on.
  bool drain = false;        // One server drains, from 5 s on.
  bool cold_start = false;   // One server is added at 5 s and is 5x slower for 3 s.
  bool emergency_only = false;
};

struct ClassFigures {
  std::vector<Duration> latencies;  // Of accepted requests; late ones count with their deadline.
  uint64_t offered = 0;
  uint64_t refused = 0;
  uint64_t late = 0;
  uint64_t failed = 0;  // Ended with a server's error.

  // In milliseconds.
  double Percentile(double share) {
    if (latencies.empty()) return 0.0;
    const auto at = static_cast<ptrdiff_t>(share * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), latencies.begin() + at, latencies.end());
    return std::chrono::duration<double, std::milli>(latencies[static_cast<size_t>(at)]).count();
  }
};

struct Figures {
  std::array<ClassFigures, kRequestClassCount> classes;
  double goodput = 0.0;   // Work of whole answers in time, in shares of all slots.
  uint64_t attempts = 0;  // Sent to backend servers.
  uint64_t first_attempts = 0;
  uint64_t probes = 0;            // Sent while counted.
  uint64_t sent_after_drain = 0;  // Attempts that reached the draining server, from 1 s after.

  ClassFigures& Of(RequestClass request_class) {
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
  if (options.reserve) service.emergency_tenants = {TenantId("crew")};
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

// Decider must offer the calls of Chooser that a forwarder uses.
template <typename Decider>
class PolicyModel {
 public:
  using MakeDecider = std::function<std::unique_ptr<Decider>(uint64_t seed)>;

  PolicyModel(const ModelOptions& options, const MakeDecider& make)
      : options_(options), random_(options.seed), work_random_(options.seed + 1) {
    const uint32_t all = options_.servers;
    servers_.resize(all);
    const Manifest manifest = ModelManifest(options_, options_.cold_start ? all - 1 : all);
    for (uint32_t i = 0; i < options_.deciders; ++i) {
      deciders_.push_back(make(options_.seed * 1000 + i));
      deciders_.back()->Apply(manifest, Now());
      wakes_.push_back(MonotonicTime::max());
    }
  }

  Figures Run() {
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
    figures_.goodput = good_work_ / slot_time;
    return std::move(figures_);
  }

 private:
  struct Event {
    MonotonicTime when;
    uint64_t number;  // Order among events of one time.
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return when != other.when ? when > other.when : number > other.number;
    }
  };
  struct Job {
    uint64_t number = 0;
    Ticket ticket = 0;
    uint32_t attempt = 0;  // Position in the request's attempts.
    double work = 0;       // Seconds at full speed.
  };
  struct Server {
    std::vector<uint64_t> running;  // Job numbers.
    std::deque<Job> queue;
    double slowness = 1.0;
    double noise = 1.0;
    bool failing = false;
    bool draining = false;
    uint32_t reported = 0;  // Snapshot for reports.
    MonotonicTime snapshot;
  };
  struct Attempt {
    uint32_t server = 0;
    uint64_t job = 0;
    MonotonicTime sent;
    bool open = true;
  };
  struct Request {
    uint32_t decider = 0;
    RequestClass request_class = RequestClass::kRoutine;
    MonotonicTime arrived;
    MonotonicTime deadline;
    bool repeatable = false;
    bool counted = false;
    double work = 0;
    std::vector<Attempt> attempts;
  };

  static constexpr milliseconds kProbeTime{5};
  static constexpr double kMeanWork = 0.010;       // Seconds, routine: exponential.
  static constexpr double kEmergencyWork = 0.010;  // Seconds, log-normal.
  static constexpr double kBulkWork = 0.040;       // Seconds, exponential.

  MonotonicTime Now() const { return now_; }

  void At(MonotonicTime when, std::function<void()> action) {
    events_.push(Event{when, next_number_++, std::move(action)});
  }
  void After(Duration delay, std::function<void()> action) { At(now_ + delay, std::move(action)); }

  // --- Faults

  void ScheduleFaults() {
    After(seconds(1), [this] {
      for (uint32_t i = 0; i < options_.stragglers; ++i) servers_[3 + 5 * i].slowness = 10.0;
      if (options_.fast_failer) servers_[7].failing = true;
    });
    if (options_.noisy) {
      for (uint32_t i = 0; i < options_.servers; i += 3) ToggleNoise(i);
    }
    if (options_.drain) After(seconds(5), [this] { servers_[9].draining = true; });
    if (options_.cold_start) After(seconds(5), [this] { AddColdServer(); });
  }

  void ToggleNoise(uint32_t i) {
    servers_[i].noise = servers_[i].noise > 1.0 ? 1.0 : 2.0;
    const milliseconds spell(std::uniform_int_distribution<int>(20, 200)(random_));
    After(spell, [this, i] { ToggleNoise(i); });
  }

  void AddColdServer() {
    servers_.back().slowness = 5.0;
    After(seconds(3), [this] { servers_.back().slowness = 1.0; });
    for (auto& decider : deciders_) decider->Apply(ModelManifest(options_, options_.servers), now_);
  }

  // One prober keeps the budget; its results reach every entry VM kProbeTime after it was sent.
  void ScheduleProbes() {
    const double rate = options_.probe_budget * options_.tail_weight;
    if (rate <= 0.0) return;
    const Duration interval(static_cast<int64_t>(1e9 / rate));
    for (uint32_t i = 0; i < options_.servers; ++i) {
      After(interval * i / options_.servers, [this, i, interval] { Probe(i, interval); });
    }
  }

  void Probe(uint32_t i, Duration interval) {
    if (now_ >= start_ + options_.warm_up) ++figures_.probes;
    const Report report = ReportOf(servers_[i]);
    After(kProbeTime, [this, i, report] {
      for (auto& decider : deciders_) decider->OnReport(ModelServerId(i), report, now_);
    });
    After(interval, [this, i, interval] { Probe(i, interval); });
  }

  // --- Callers

  double Rate(RequestClass request_class) const {
    const double all = options_.servers * options_.slots;
    if (request_class == RequestClass::kEmergency) {
      return options_.emergency_load * all / kEmergencyWork;
    }
    // Stragglers give a tenth.
    const double slots = all - 0.9 * options_.stragglers * options_.slots;
    const double mean = (1 - options_.bulk_share) * kMeanWork + options_.bulk_share * kBulkWork;
    double rate = options_.load * slots / mean;
    const auto phase = (now_ - start_) / milliseconds(50);
    if (options_.swings) rate *= phase % 2 == 0 ? 4.0 / 3.0 : 2.0 / 3.0;
    return rate;
  }

  void ScheduleArrival(RequestClass request_class) {
    const double gap = std::exponential_distribution<double>(Rate(request_class))(work_random_);
    After(Duration(static_cast<int64_t>(gap * 1e9)), [this, request_class] {
      Arrive(request_class);
      ScheduleArrival(request_class);
    });
  }

  double DrawWork(RequestClass request_class) {
    switch (request_class) {
      case RequestClass::kEmergency: {
        const double sigma = 0.3;
        const double mu = std::log(kEmergencyWork) - sigma * sigma / 2;
        return std::lognormal_distribution<double>(mu, sigma)(work_random_);
      }
      case RequestClass::kRoutine:
        return std::exponential_distribution<double>(1 / kMeanWork)(work_random_);
      case RequestClass::kBulk:
        break;
    }
    return std::exponential_distribution<double>(1 / kBulkWork)(work_random_);
  }

  void Arrive(RequestClass request_class) {
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    const bool bulk = uniform(work_random_) < options_.bulk_share;
    const bool repeatable = uniform(work_random_) < options_.repeatable_share;
    const auto decider = static_cast<uint32_t>(work_random_() % options_.deciders);
    if (request_class == RequestClass::kRoutine && bulk) request_class = RequestClass::kBulk;
    Duration deadline = milliseconds(300);
    if (request_class == RequestClass::kEmergency) deadline = milliseconds(200);
    if (request_class == RequestClass::kBulk) deadline = seconds(1);

    const Ticket ticket = next_ticket_++;
    Request& request = requests_[ticket];
    request.decider = decider;
    request.request_class = request_class;
    request.arrived = now_;
    request.deadline = now_ + deadline;
    request.repeatable = request_class == RequestClass::kEmergency ||
                         (request_class == RequestClass::kRoutine && repeatable);
    request.work = DrawWork(request_class);
    request.counted = now_ >= start_ + options_.warm_up;
    if (request.counted) ++CountsOf(request).offered;
    At(request.deadline, [this, ticket] { GiveUp(ticket); });

    ChoiceRequest wanted;
    wanted.ticket = ticket;
    wanted.service = ServiceId("register");
    wanted.request_class = request_class;
    wanted.deadline = request.deadline;
    wanted.repeatable = request.repeatable;
    Take(deciders_[decider]->Choose(wanted, now_), ticket);
    Poll(decider);
  }

  ClassFigures& CountsOf(const Request& request) { return figures_.Of(request.request_class); }

  // --- Entry VMs

  template <typename ChoiceT>
  void Take(const ChoiceT& choice, Ticket ticket) {
    if (const auto* send = std::get_if<SendTo>(&choice)) Send(*send);
    if (std::holds_alternative<Refuse>(choice)) {
      const auto it = requests_.find(ticket);
      if (it == requests_.end()) return;
      if (it->second.counted) ++CountsOf(it->second).refused;
      End(ticket);
    }
  }

  void Poll(uint32_t decider) {
    Decider& chooser = *deciders_[decider];
    for (const ReadyChoice& ready : chooser.TakeReady(now_)) {
      std::visit([&](const auto& item) { Take(ready, item.ticket); }, ready);
    }
    for (const Ticket ticket : chooser.HedgeDue(now_)) {
      if (const auto send = chooser.Hedge(ticket, now_)) Send(*send);
    }
    const auto wake = chooser.NextWake();
    if (!wake) return;
    const MonotonicTime when = std::max<MonotonicTime>(*wake, now_ + microseconds(100));
    if (wakes_[decider] <= when && wakes_[decider] > now_) return;
    wakes_[decider] = when;
    At(when, [this, decider, when] {
      if (wakes_[decider] != when) return;
      wakes_[decider] = MonotonicTime::max();
      Poll(decider);
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
    if (request.counted) ++figures_.attempts;
    if (request.counted && position == 0) ++figures_.first_attempts;
    After(options_.one_way, [this, server, job] { Reach(server, job); });
  }

  void Answered(const Job& job, AttemptEnd end, const Report& report) {
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
    const uint32_t decider = request.decider;
    deciders_[decider]->OnEnded(job.ticket, ModelServerId(attempt.server), result, now_);
    if (end == AttemptEnd::kAnswered) {
      if (request.counted) {
        CountsOf(request).latencies.push_back(now_ - request.arrived);
        good_work_ += request.work;
      }
      End(job.ticket);
    } else if (request.repeatable || end == AttemptEnd::kNotStarted) {
      Take(deciders_[decider]->Retry(job.ticket, now_), job.ticket);
    } else {
      if (request.counted) ++CountsOf(request).failed;
      End(job.ticket);
    }
    Poll(decider);
  }

  void GiveUp(Ticket ticket) {
    const auto it = requests_.find(ticket);
    if (it == requests_.end()) return;
    const uint32_t decider = it->second.decider;
    if (it->second.counted) {
      ++CountsOf(it->second).late;
      CountsOf(it->second).latencies.push_back(it->second.deadline - it->second.arrived);
    }
    End(ticket, AttemptEnd::kTimedOut);
    Poll(decider);
  }

  // Ends the request and gives up what is still open.
  void End(Ticket ticket, AttemptEnd open_end = AttemptEnd::kCancelled) {
    const auto it = requests_.find(ticket);
    if (it == requests_.end()) return;
    const Request request = std::move(it->second);
    requests_.erase(it);
    Decider& decider = *deciders_[request.decider];
    for (const Attempt& attempt : request.attempts) {
      if (!attempt.open) continue;
      AttemptResult result;
      result.end = open_end;
      result.latency = now_ - attempt.sent;
      decider.OnEnded(ticket, ModelServerId(attempt.server), result, now_);
      After(options_.one_way, [this, attempt] { Abort(attempt.server, attempt.job); });
    }
    decider.Finish(ticket, now_);
  }

  // --- Backend servers

  Report ReportOf(Server& server) {
    const auto current = static_cast<uint32_t>(server.running.size() + server.queue.size());
    if (now_ >= server.snapshot + options_.report_period) {
      server.snapshot = now_;
      server.reported = current;
    }
    Report report;
    report.in_flight = server.reported;
    report.slots = options_.slots;
    report.draining = server.draining;
    return report;
  }

  void Answer(uint32_t i, const Job& job, AttemptEnd end, Duration after) {
    const Report report = ReportOf(servers_[i]);
    After(after, [this, job, end, report] { Answered(job, end, report); });
  }

  void Reach(uint32_t i, const Job& job) {
    Server& server = servers_[i];
    if (server.draining) {
      if (now_ > start_ + seconds(6)) ++figures_.sent_after_drain;
      Answer(i, job, AttemptEnd::kNotStarted, options_.one_way);
    } else if (server.failing) {
      Answer(i, job, AttemptEnd::kServerError, options_.one_way + microseconds(200));
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
      const double time = job.work * server.slowness * server.noise;
      After(Duration(static_cast<int64_t>(time * 1e9)), [this, i, job] { Complete(i, job); });
    }
  }

  void Complete(uint32_t i, const Job& job) {
    if (std::erase(servers_[i].running, job.number) == 0) return;  // Aborted before.
    Answer(i, job, AttemptEnd::kAnswered, options_.one_way);
    StartNext(i);
  }

  void Abort(uint32_t i, uint64_t number) {
    Server& server = servers_[i];
    std::erase(server.running, number);
    std::erase_if(server.queue, [number](const Job& job) { return job.number == number; });
    StartNext(i);
  }

  ModelOptions options_;
  std::mt19937_64 random_;       // Of faults.
  std::mt19937_64 work_random_;  // Of the work: the same for every policy.
  MonotonicTime start_{std::chrono::hours(1)};
  MonotonicTime now_ = start_;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<Decider>> deciders_;
  std::vector<MonotonicTime> wakes_;  // Next poll of each decider; max: none.
  std::vector<Server> servers_;
  std::unordered_map<Ticket, Request> requests_;
  Figures figures_;
  double good_work_ = 0.0;  // Seconds.
  uint64_t next_number_ = 0;
  uint64_t next_job_ = 1;
  Ticket next_ticket_ = 1;
};

// --- Baselines: no queue, no refusal, no health; one retry on another server.

enum class BaselineKind { kRandom, kRoundRobin, kLeastInFlight, kTwoChoices };

class BaselineDecider {
 public:
  BaselineDecider(BaselineKind kind, uint64_t seed) : kind_(kind), random_(seed) {}

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
        for (size_t i = 1; i < n; ++i) best = Less(best, (first + i) % n);
        return best;
      }
      case BaselineKind::kTwoChoices:
        break;
    }
    return Less(random_() % n, random_() % n);
  }
  size_t Less(size_t a, size_t b) const { return in_flight_[b] < in_flight_[a] ? b : a; }

  BaselineKind kind_;
  std::mt19937_64 random_;
  std::vector<uint32_t> in_flight_;  // Our own.
  std::unordered_set<Ticket> retried_;
  size_t next_ = 0;
};

}  // namespace cowsliphill::bench

#endif  // COWSLIPHILL_BENCH_POLICY_MODEL_H_
