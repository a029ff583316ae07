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

constexpr milliseconds kTimeLimit{1500};  // Of each request.
constexpr milliseconds kGrace{1000};      // An answer may come so much later, on a busy machine.
constexpr milliseconds kRecovery{15000};  // After the last fault all is served again.
constexpr milliseconds kLongestFault{2500};
constexpr milliseconds kShortestFault{300};
constexpr milliseconds kMeanGap{500};     // Between the starts of two faults: several overlap.
constexpr milliseconds kCallerPause{15};  // Between two requests of one caller.
constexpr double kUnsafeShare = 0.4;

const std::vector<std::string> kEntryFaults = {"kill", "stop", "freeze"};
const std::vector<std::string> kStoreFaults = {"silent", "busy", "reset", "compact", "manifest"};
const std::vector<std::string> kServerFaults = {"shed", "hang", "error", "cut", "stray", "slow"};

struct Sent {
  std::string id;
  bool unsafe = false;
  int status = 0;  // 0: no answer.
  std::string echoed_id;
  std::string body;
  milliseconds took{0};
};

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

class Soak {
 public:
  explicit Soak(const SoakOptions& options)
      : options_(options), fleet_(options.entries, options.servers) {}

  SoakReport Run() {
    SoakReport report;
    report.plan = PlanOf(options_);
    std::vector<std::thread> callers;
    for (size_t i = 0; i < options_.callers; ++i) callers.emplace_back([this, i] { Call(i); });
    PlayFaults(report.plan);
    CheckRecovery(report);
    done_ = true;
    for (std::thread& caller : callers) caller.join();
    CheckRequests(report);
    return report;
  }

 private:
  struct Step {
    milliseconds at{0};
    SoakFault fault;
    bool begin = true;
  };

  // ---- Faults ----

  void PlayFaults(const std::vector<SoakFault>& plan) {
    std::vector<Step> steps;
    for (const SoakFault& fault : plan) {
      steps.push_back({fault.at, fault, true});
      steps.push_back({fault.at + fault.length, fault, false});
    }
    std::stable_sort(steps.begin(), steps.end(),
                     [](const Step& a, const Step& b) { return a.at < b.at; });
    const auto start = SteadyClock::now();
    for (const Step& step : steps) {
      std::this_thread::sleep_until(start + step.at);
      step.begin ? Begin(step.fault) : End(step.fault);
    }
  }

  void Begin(const SoakFault& fault) {
    if (Is(kEntryFaults, fault.kind)) {
      const int signal = fault.kind == "kill" ? SIGKILL : fault.kind == "stop" ? SIGTERM : SIGSTOP;
      return fleet_.Entry(fault.on).process->Signal(signal);
    }
    if (fault.kind == "compact") return fleet_.Control("POST", "/control/compact");
    if (fault.kind == "manifest") return fleet_.PutManifest(++revision_, "/a/");
    if (Is(kStoreFaults, fault.kind)) return SetStore(fault.kind);
    SetServer(fault.on, fault.kind == "slow" ? "mode=ok&slowdown=700" : "mode=" + fault.kind);
  }

  void End(const SoakFault& fault) {
    if (fault.kind == "freeze") return fleet_.Entry(fault.on).process->Signal(SIGCONT);
    if (Is(kEntryFaults, fault.kind)) {
      // A stopped one may take its whole stop time.
      if (fleet_.Entry(fault.on).process->Wait() == -2) broken_.push_back("a stop did not end");
      return fleet_.Start(fault.on);
    }
    if (fault.kind == "compact" || fault.kind == "manifest") return;
    if (Is(kStoreFaults, fault.kind)) return SetStore("ok");
    SetServer(fault.on, "mode=ok&slowdown=100");
  }

  static bool Is(const std::vector<std::string>& kinds, const std::string& kind) {
    return std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
  }
  void SetStore(const std::string& mode) { fleet_.Control("PUT", "/control/store?mode=" + mode); }
  void SetServer(size_t i, const std::string& settings) {
    fleet_.Control("PUT", fmt::format("/control/server?name=s-{}&{}", i, settings));
  }

  // ---- Load ----

  void Call(size_t caller) {
    std::mt19937_64 random(options_.seed * 1000 + caller);
    for (size_t n = 0; !done_; ++n) {
      Sent sent;
      sent.unsafe = std::bernoulli_distribution(kUnsafeShare)(random);
      sent.id = fmt::format("{}-{}-{}", sent.unsafe ? "u" : "a", caller, n);
      const size_t entry = random() % options_.entries;
      const auto start = SteadyClock::now();
      const auto result =
          fleet_.Send(entry, (sent.unsafe ? "/u/" : "/a/") + sent.id, sent.id, kTimeLimit);
      sent.took = std::chrono::duration_cast<milliseconds>(SteadyClock::now() - start);
      if (result) {
        sent.status = result->status;
        sent.echoed_id = result->get_header_value("X-Request-Id");
        sent.body = result->body;
      }
      const std::lock_guard<std::mutex> lock(mutex_);
      sent_.push_back(sent);
      std::this_thread::sleep_for(kCallerPause);
    }
  }

  // ---- Checks ----

  void CheckRecovery(SoakReport& report) {
    for (size_t i = 0; i < options_.entries; ++i) {
      int n = 0;
      const bool served = WaitUntil(
          [&] { return fleet_.StatusOfSend(i, "/a/x", fmt::format("after-{}-{}", i, n++)) == 200; },
          kRecovery);
      if (!served) report.broken.push_back(fmt::format("entry VM {} serves nothing", i));
    }
  }

  void CheckRequests(SoakReport& report) {
    report.broken.insert(report.broken.end(), broken_.begin(), broken_.end());
    std::map<std::string, size_t> runs;
    for (const json& it : fleet_.Journal()) ++runs[it["request"].get<std::string>()];
    for (const Sent& sent : sent_) {
      ++report.answers[fmt::format("{} {}", sent.unsafe ? "unsafe" : "safe", sent.status)];
      const size_t ran = runs.count(sent.id) > 0 ? runs.at(sent.id) : 0;
      const auto breaks = [&](const std::string& what) {
        report.broken.push_back(
            fmt::format("{}: {} (status {}, runs {})", sent.id, what, sent.status, ran));
      };
      if (sent.unsafe && ran > 1) breaks("ran more than once");
      if (sent.unsafe && PromisesNotRun(sent.status) && ran > 0) breaks("told not run, but it ran");
      if (sent.status == 200 && ran == 0) breaks("answered without a run");
      const bool whole = sent.body.find("body of " + sent.id + " by s-") == 0;
      if (sent.status == 200 && !whole) breaks("another body");
      if (sent.status == 200 && sent.echoed_id != sent.id) breaks("the answer of another request");
      if (sent.took > kTimeLimit + kGrace + kLongestFault) breaks("no end in its time");
    }
    if (report.answers["safe 200"] == 0) report.broken.push_back("nothing was served at all");
  }

  SoakOptions options_;
  Fleet fleet_;
  uint64_t revision_ = 1;            // Of the manifest, as last written.
  std::vector<std::string> broken_;  // Found while faults were played.
  std::atomic<bool> done_ = false;
  std::mutex mutex_;  // Of sent_.
  std::vector<Sent> sent_;
};

}  // namespace

std::vector<SoakFault> PlanOf(const SoakOptions& options) {
  std::mt19937_64 random(options.seed);
  const auto any = [&random](const std::vector<std::string>& kinds) {
    return kinds[random() % kinds.size()];
  };
  std::vector<SoakFault> plan;
  std::map<std::pair<char, size_t>, milliseconds> free_from;  // One fault at a time on each thing.
  std::exponential_distribution<double> gap(1.0 / static_cast<double>(kMeanGap.count()));
  for (milliseconds at(0); at < options.duration;
       at += milliseconds(1 + static_cast<int64_t>(gap(random)))) {
    SoakFault fault;
    fault.at = at;
    fault.length =
        kShortestFault + milliseconds(random() % (kLongestFault - kShortestFault).count());
    const uint64_t dice = random() % 3;
    fault.kind = any(dice == 0 ? kEntryFaults : dice == 1 ? kStoreFaults : kServerFaults);
    if (dice == 0) fault.on = random() % options.entries;
    if (dice == 2) fault.on = random() % options.servers;
    milliseconds& free = free_from[{"esb"[dice], fault.on}];
    if (at < free) continue;
    free = at + fault.length;
    plan.push_back(fault);
  }
  return plan;
}

SoakReport RunSoak(const SoakOptions& options) { return Soak(options).Run(); }

std::string Format(const SoakReport& report) {
  std::string text;
  for (const SoakFault& fault : report.plan) {
    text += fmt::format("  {:>6} ms  {} on {} for {} ms\n", fault.at.count(), fault.kind, fault.on,
                        fault.length.count());
  }
  for (const auto& [kind, n] : report.answers) text += fmt::format("  {}: {}\n", kind, n);
  for (const std::string& broken : report.broken) text += "  BROKEN " + broken + "\n";
  return text;
}

}  // namespace cowsliphill
