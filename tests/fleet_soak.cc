#include "tests/fleet_soak.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <mutex>
#include <random>
#include <thread>

#include "tests/fleet_harness.h"

namespace cowsliphill {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

constexpr milliseconds kDeadline{1500};          // Deadline of each request.
constexpr milliseconds kTolerance{1000};         // Extra time for an answer on a busy machine.
constexpr milliseconds kRecoveryTimeout{15000};  // Until all entry VMs serve after the last fault.
constexpr milliseconds kMaxFaultDuration{2500};
constexpr milliseconds kMinFaultDuration{300};
constexpr milliseconds kRestartTime{500};  // From the end of an entry VM's fault until it runs.
// Mean time between drawn faults. Faults on different targets overlap; a fault drawn for a target
// that still has one is dropped.
constexpr milliseconds kMeanFaultInterval{500};
constexpr milliseconds kCallerInterval{15};  // Between consecutive requests of one caller.
constexpr double kUnsafeShare = 0.4;

const std::vector<std::string> kEntryFaults = {"kill", "stop", "freeze"};
const std::vector<std::string> kStoreFaults = {"silent", "busy", "reset", "compact", "manifest"};
const std::vector<std::string> kServerFaults = {"shed",  "hang", "error", "cut",
                                                "stray", "slow", "crash", "limit"};
const std::vector<std::string> kRequestFaults = {"poison"};

constexpr milliseconds kLimitFaultDuration{9000};
constexpr double kLimit = 6;                // Requests a second that a limited server takes.
constexpr milliseconds kSettleTime{3000};   // Until limits and condemnations hold.
constexpr milliseconds kLimitWindow{4000};  // Any such time counts.
constexpr double kLimitFactor = 1.5;        // Allowed in a window: the limit times this,
constexpr double kLimitExcess = 5;          // and so many more.
constexpr size_t kCrashesUntilCondemned = 3;
constexpr size_t kMaxPoisonRetries = 3;
constexpr milliseconds kPoisonInterval{100};
constexpr size_t kPoisonRequests = 100;  // So that no request is drawn twice in a run, as a rule.

struct SentRequest {
  std::string id;
  bool unsafe = false;
  int status = 0;  // HTTP status; 0 without an answer.
  std::string echoed_id;
  std::string body;
  milliseconds latency{0};
};

// Statuses that guarantee the caller that its request did not run.
bool ReportsNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

class SoakRun {
 public:
  explicit SoakRun(const SoakOptions& options)
      : options_(options), fleet_(options.entries, options.servers) {}

  SoakReport Run() {
    SoakReport report;
    report.plan = PlanFaults(options_);
    std::vector<std::thread> callers;
    for (size_t i = 0; i < options_.callers; ++i) callers.emplace_back([this, i] { SendLoad(i); });
    InjectFaults(report.plan);
    CheckRecovery(report);
    done_ = true;
    for (std::thread& caller : callers) caller.join();
    for (std::thread& it : poisoners_) it.join();
    CheckRequests(report);
    CheckLimits(report);
    CheckPoison(report);
    return report;
  }

 private:
  struct FaultStep {
    milliseconds at{0};
    SoakFault fault;
    bool begin = true;
  };

  // ---- Faults ----

  void InjectFaults(const std::vector<SoakFault>& plan) {
    std::vector<FaultStep> steps;
    for (const SoakFault& fault : plan) {
      steps.push_back({fault.at, fault, true});
      steps.push_back({fault.at + fault.duration, fault, false});
    }
    std::stable_sort(steps.begin(), steps.end(),
                     [](const FaultStep& a, const FaultStep& b) { return a.at < b.at; });
    const auto start = SteadyClock::now();
    for (const FaultStep& step : steps) {
      std::this_thread::sleep_until(start + step.at);
      step.begin ? Begin(step.fault) : End(step.fault);
    }
  }

  void Begin(const SoakFault& fault) {
    begun_.push_back({fault, Now()});
    if (fault.kind == "poison") {
      poisoners_.emplace_back([this, fault] { SendPoison(fault); });
      return;
    }
    if (fault.kind == "crash") {
      return fleet_.Control("PUT", fmt::format("/control/crash?name=s-{}", fault.target));
    }
    if (fault.kind == "limit") return SetServer(fault.target, fmt::format("limit={}", kLimit));
    if (Contains(kEntryFaults, fault.kind)) {
      const int signal = fault.kind == "kill" ? SIGKILL : fault.kind == "stop" ? SIGTERM : SIGSTOP;
      return fleet_.Entry(fault.target).process->Signal(signal);
    }
    if (fault.kind == "compact") return fleet_.Control("POST", "/control/compact");
    if (fault.kind == "manifest") return fleet_.PutManifest(++manifest_version_, "/a/");
    if (Contains(kStoreFaults, fault.kind)) return SetStore(fault.kind);
    SetServer(fault.target, fault.kind == "slow" ? "mode=ok&slowdown=700" : "mode=" + fault.kind);
  }

  void End(const SoakFault& fault) {
    if (fault.kind == "freeze") return fleet_.Entry(fault.target).process->Signal(SIGCONT);
    if (Contains(kEntryFaults, fault.kind)) {
      // Wait returns -2 if the process still runs after kWaitTimeout, which exceeds the stop
      // timeout that the process may use after SIGTERM.
      if (fleet_.Entry(fault.target).process->Wait() == -2) violations_.push_back("stop timed out");
      return fleet_.Start(fault.target);
    }
    const bool ends_itself = fault.kind == "compact" || fault.kind == "manifest" ||
                             fault.kind == "crash" || fault.kind == "poison";
    if (ends_itself) return;
    if (fault.kind == "limit") return SetServer(fault.target, "limit=0");
    if (Contains(kStoreFaults, fault.kind)) return SetStore("ok");
    SetServer(fault.target, "mode=ok&slowdown=100");
  }

  static bool Contains(const std::vector<std::string>& kinds, const std::string& kind) {
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
  }
  void SetStore(const std::string& mode) { fleet_.Control("PUT", "/control/store?mode=" + mode); }
  void SetServer(size_t i, const std::string& settings) {
    fleet_.Control("PUT", fmt::format("/control/server?name=s-{}&{}", i, settings));
  }

  // ---- Load ----

  void SendLoad(size_t caller) {
    std::mt19937_64 random(options_.seed * 1000 + caller);
    for (size_t n = 0; !done_; ++n) {
      SentRequest sent;
      sent.unsafe = std::bernoulli_distribution(kUnsafeShare)(random);
      const size_t entry = random() % options_.entries;
      sent.id = fmt::format("{}-{}-{}-{}", sent.unsafe ? "u" : "a", entry, caller, n);
      const auto start = SteadyClock::now();
      const auto result =
          fleet_.Send(entry, (sent.unsafe ? "/u/" : "/a/") + sent.id, sent.id, kDeadline);
      sent.latency = std::chrono::duration_cast<milliseconds>(SteadyClock::now() - start);
      if (result) {
        sent.status = result->status;
        sent.echoed_id = result->get_header_value("X-Request-Id");
        sent.body = result->body;
      }
      const std::lock_guard<std::mutex> lock(mutex_);
      sent_.push_back(sent);
      std::this_thread::sleep_for(kCallerInterval);
    }
  }

  void SendPoison(const SoakFault& fault) {
    const auto end = SteadyClock::now() + fault.duration + kSettleTime;
    for (size_t n = 0; SteadyClock::now() < end; ++n) {
      const size_t entry = n % options_.entries;
      fleet_.Send(entry, fmt::format("/a/poison-{}", fault.target),
                  fmt::format("p{}-{}-{}", fault.target, entry, n), kDeadline);
      std::this_thread::sleep_for(kPoisonInterval);
    }
  }

  // ---- Checks ----

  // On the clock of the stand-in's arrivals.
  static milliseconds Now() {
    return std::chrono::duration_cast<milliseconds>(SteadyClock::now().time_since_epoch());
  }
  // Whether the entry VM ran undisturbed for the settle time before `at`.
  bool InTouch(size_t entry, milliseconds at) const {
    return std::none_of(begun_.begin(), begun_.end(), [&](const BegunFault& it) {
      return Contains(kEntryFaults, it.fault.kind) && it.fault.target == entry && at >= it.at &&
             at < it.at + it.fault.duration + kRestartTime + kSettleTime;
    });
  }
  // The entry VM to which a request was sent: its id is KIND-ENTRY-...
  static size_t EntryOf(const std::string& id) { return std::stoul(id.substr(id.find('-') + 1)); }
  // Times of the arrivals that `wanted` selects, of requests from entry VMs in touch.
  template <typename Wanted>
  std::vector<milliseconds> ArrivalsInTouch(Wanted wanted) const {
    std::vector<milliseconds> times;
    for (const json& it : fleet_.Arrivals()) {
      const std::string id = it["request"];
      const milliseconds at(it["at_ms"].get<int64_t>());
      if (wanted(id, it["server"].get<std::string>()) && InTouch(EntryOf(id), at)) {
        times.push_back(at);
      }
    }
    return times;
  }

  void CheckLimits(SoakReport& report) const {
    for (const BegunFault& begun : begun_) {
      if (begun.fault.kind != "limit") continue;
      // A server that restarts has another name and is told apart by it.
      std::map<std::string, std::vector<milliseconds>> times;
      const std::string name = fmt::format("s-{}", begun.fault.target);
      const milliseconds end = begun.at + begun.fault.duration;
      for (const json& it : fleet_.Arrivals()) {
        const std::string server = it["server"];
        const milliseconds at(it["at_ms"].get<int64_t>());
        const bool is_target = server == name || server.find(name + ".") == 0;
        if (is_target && at >= begun.at && at < end) times[server];
      }
      for (auto& [server, arrivals] : times) {
        arrivals = ArrivalsInTouch(
            [&server = server](const std::string&, const std::string& it) { return it == server; });
        std::erase_if(arrivals, [&](milliseconds at) { return at < begun.at || at >= end; });
        CheckWindows(report, server, arrivals);
      }
    }
  }
  static void CheckWindows(SoakReport& report, const std::string& server,
                           const std::vector<milliseconds>& arrivals) {
    const double allowed =
        kLimitFactor * kLimit * std::chrono::duration<double>(kLimitWindow).count() + kLimitExcess;
    for (auto it = arrivals.begin(); it != arrivals.end(); ++it) {
      if (*it < arrivals.front() + kSettleTime) continue;
      const auto end = std::lower_bound(it, arrivals.end(), *it + kLimitWindow);
      const auto n = static_cast<double>(std::distance(it, end));
      if (n <= allowed) continue;
      report.violations.push_back(
          fmt::format("{}: {} requests in a window, its limit allows {}", server, n, allowed));
      return;
    }
  }

  void CheckPoison(SoakReport& report) const {
    for (const BegunFault& begun : begun_) {
      if (begun.fault.kind != "poison") continue;
      const std::string prefix = fmt::format("p{}-", begun.fault.target);
      std::vector<milliseconds> all;
      for (const json& it : fleet_.Arrivals()) {
        if (it["request"].get<std::string>().find(prefix) == 0) {
          all.emplace_back(it["at_ms"].get<int64_t>());
        }
      }
      if (all.size() < kCrashesUntilCondemned) continue;
      const milliseconds settled = all[kCrashesUntilCondemned - 1] + kSettleTime;
      std::vector<milliseconds> late = ArrivalsInTouch(
          [&prefix](const std::string& id, const std::string&) { return id.find(prefix) == 0; });
      std::erase_if(late, [settled](milliseconds at) { return at <= settled; });
      if (late.size() <= kMaxPoisonRetries) continue;
      report.violations.push_back(fmt::format("poison request {}: {} of {} arrivals were too late",
                                              begun.fault.target, late.size(), all.size()));
    }
  }

  void CheckRecovery(SoakReport& report) {
    for (size_t i = 0; i < options_.entries; ++i) {
      int n = 0;
      const bool served = WaitUntil(
          [&] {
            return fleet_.SendForStatus(i, "/a/x", fmt::format("after-{}-{}", i, n++)) == 200;
          },
          kRecoveryTimeout);
      if (!served) report.violations.push_back(fmt::format("entry VM {} did not recover", i));
    }
  }

  void CheckRequests(SoakReport& report) {
    report.violations.insert(report.violations.end(), violations_.begin(), violations_.end());
    std::map<std::string, size_t> runs;
    for (const json& it : fleet_.Journal()) ++runs[it["request"].get<std::string>()];
    for (const SentRequest& sent : sent_) {
      ++report.answer_counts[fmt::format("{} {}", sent.unsafe ? "unsafe" : "safe", sent.status)];
      const size_t ran = runs.count(sent.id) > 0 ? runs.at(sent.id) : 0;
      const auto violated = [&](const std::string& what) {
        report.violations.push_back(
            fmt::format("{}: {} (status {}, runs {})", sent.id, what, sent.status, ran));
      };
      if (sent.unsafe && ran > 1) violated("ran more than once");
      if (sent.unsafe && ReportsNotRun(sent.status) && ran > 0) violated("not-run, but it ran");
      if (sent.status == 200 && ran == 0) violated("answered with 200, but it never ran");
      const bool body_matches = sent.body.find("body of " + sent.id + " by s-") == 0;
      if (sent.status == 200 && !body_matches) violated("unexpected body");
      if (sent.status == 200 && sent.echoed_id != sent.id) violated("wrong X-Request-Id");
      if (sent.latency > kDeadline + kTolerance + kMaxFaultDuration) violated("missed deadline");
    }
    if (report.answer_counts["safe 200"] == 0) report.violations.push_back("safe requests: no 200");
  }

  SoakOptions options_;
  Fleet fleet_;
  uint64_t manifest_version_ = 1;        // Version of the manifest written last.
  std::vector<std::string> violations_;  // Found while injecting faults.
  struct BegunFault {
    SoakFault fault;
    milliseconds at{0};  // On the clock of the stand-in's arrivals.
  };
  std::vector<BegunFault> begun_;
  std::vector<std::thread> poisoners_;
  std::atomic<bool> done_ = false;
  std::mutex mutex_;  // Guards sent_.
  std::vector<SentRequest> sent_;
};

}  // namespace

std::vector<SoakFault> PlanFaults(const SoakOptions& options) {
  std::mt19937_64 random(options.seed);
  const auto pick = [&random](const std::vector<std::string>& kinds) {
    return kinds[random() % kinds.size()];
  };
  std::vector<SoakFault> plan;
  // Time at which the last planned fault on a target ends, by target type ('e': entry VM, 's':
  // store, 'b': backend server, 'p': poison request) and index. Faults on one target do not
  // overlap.
  std::map<std::pair<char, size_t>, milliseconds> target_free_at;
  std::exponential_distribution<double> interval(1.0 /
                                                 static_cast<double>(kMeanFaultInterval.count()));
  for (milliseconds at(0); at < options.duration;
       at += milliseconds(1 + static_cast<int64_t>(interval(random)))) {
    SoakFault fault;
    fault.at = at;
    fault.duration = kMinFaultDuration +
                     milliseconds(random() % (kMaxFaultDuration - kMinFaultDuration).count());
    const uint64_t target_type = random() % 4;
    fault.kind = pick(target_type == 0   ? kEntryFaults
                      : target_type == 1 ? kStoreFaults
                      : target_type == 2 ? kServerFaults
                                         : kRequestFaults);
    if (target_type == 0) fault.target = random() % options.entries;
    if (target_type == 2) fault.target = random() % options.servers;
    if (target_type == 3) fault.target = random() % kPoisonRequests;
    if (fault.kind == "limit") fault.duration = kLimitFaultDuration;
    milliseconds& free = target_free_at[{"esbp"[target_type], fault.target}];
    if (at < free) continue;
    free = at + fault.duration;
    plan.push_back(fault);
  }
  return plan;
}

SoakReport RunSoak(const SoakOptions& options) { return SoakRun(options).Run(); }

std::string Format(const SoakReport& report) {
  std::string text;
  for (const SoakFault& fault : report.plan) {
    text += fmt::format("  {:>6} ms  {} on {} for {} ms\n", fault.at.count(), fault.kind,
                        fault.target, fault.duration.count());
  }
  for (const auto& [kind, n] : report.answer_counts) text += fmt::format("  {}: {}\n", kind, n);
  for (const std::string& violation : report.violations) text += "  VIOLATION " + violation + "\n";
  return text;
}

}  // namespace cowsliphill
