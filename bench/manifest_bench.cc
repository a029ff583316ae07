// Measures the cost of a manifest: the time to parse, validate, compare, apply and activate it, the
// encoded size of a change and of the whole manifest, and the messages between entry VMs.
//
//   manifest_bench          everything
//   manifest_bench cost     time and bytes at 25, 250 and 2,500 backend servers
//   manifest_bench spread   propagation: time from acceptance until a manifest is in force on all
//                           entry VMs, and payload bytes, on virtual time
//
// "worker" and "loop" in the output name the thread on which an entry VM does the step: its worker
// thread or its event loop.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "src/manifest/manifest_world.h"

namespace cowsliphill {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRepetitions = 21;
constexpr size_t kServersPerService = 14;  // The ratio of 2,500 backend servers in 180 services.

struct Cost {
  double median_us = 0;
  double max_us = 0;
};

Cost Measure(const std::function<void()>& task) {
  std::vector<double> times;
  for (int i = 0; i < kRepetitions; ++i) {
    const auto start = std::chrono::steady_clock::now();
    task();
    const std::chrono::duration<double, std::micro> taken =
        std::chrono::steady_clock::now() - start;
    times.push_back(taken.count());
  }
  std::sort(times.begin(), times.end());
  return {times[times.size() / 2], times.back()};
}

void PrintCost(size_t servers, const char* name, const Cost& cost) {
  std::printf("%8zu  %-28s %10.0f %10.0f\n", servers, name, cost.median_us, cost.max_us);
}

// Makes the history entry that leads from `base` to `next`, and assembles the manifest from it. The
// time of a call therefore includes computing, digesting and encoding the change.
LoadResult AssembleNext(const ManifestPtr& base, const Manifest& next) {
  HistoryEntry entry;
  entry.head.accepted = {base->revision + 1, DigestOf(next)};
  entry.change = Difference(*base, next);
  ManifestParts parts;
  parts.target = entry.head;
  parts.base = base;
  parts.entries = {EncodeHistoryEntry(entry)};
  return Assemble(std::move(parts));
}

void MeasureCost(size_t servers) {
  const size_t services = std::max<size_t>(1, servers / kServersPerService);
  const auto base = std::make_shared<const Manifest>(SampleManifest(services, servers));
  Manifest next = *base;
  next.backend_servers[servers / 2].state = BackendState::kLeaving;
  const std::string text = FormatManifest(next);
  const ManifestChange change = Difference(*base, next);
  const std::string encoded = EncodeManifest(next);
  ManifestPtr in_force = base;
  const auto successor = std::make_shared<const Manifest>(next);

  PrintCost(servers, "parse and check (worker)", Measure([&] { ParseManifest(text, "m"); }));
  PrintCost(servers, "difference (worker)", Measure([&] { Difference(*base, next); }));
  PrintCost(servers, "encode (worker)", Measure([&] { EncodeManifest(next); }));
  PrintCost(servers, "digest of encoding (worker)", Measure([&] { DigestOfBytes(encoded); }));
  PrintCost(servers, "decode whole (worker)", Measure([&] { DecodeManifest(encoded); }));
  PrintCost(servers, "assemble a change (worker)", Measure([&] { AssembleNext(base, next); }));
  PrintCost(servers, "switch (loop)",
            Measure([&] { in_force = in_force == base ? successor : base; }));
  std::printf("%8zu  bytes: TOML %zu, whole %zu, one server's change %zu\n", servers, text.size(),
              encoded.size(), EncodeChange(change).size());
}

struct PropagationCost {
  // Times from acceptance until the last entry VM has the manifest in force.
  std::vector<double> times_ms;
  double payload_bytes_per_second = 0;  // Per entry VM, while no manifest changes.
  double payload_bytes_per_change = 0;  // Per entry VM, in addition to the idle traffic.
  double idle_us_per_second = 0;  // Processor time per entry VM, including the test's event loop.
};

size_t PayloadBytes(const ManifestWorld<>& world) {
  size_t bytes = 0;
  for (const auto& vm : world.vms) bytes += vm->peers.PayloadBytes();
  return bytes;
}

// Submits manifests one after another. With `platform_down`, the platform fails as soon as a
// manifest is accepted, and recovers once it is in force everywhere.
PropagationCost MeasurePropagation(size_t n_vms, bool platform_down, uint64_t n_changes) {
  ManifestWorld<> world;
  for (size_t i = 0; i < n_vms; ++i) world.Start("place" + std::to_string(i % 3));
  world.SubmitAndRun(*world.vms[0], "first", 0, 1000);
  PropagationCost propagation;
  const size_t idle_start = PayloadBytes(world);
  const auto started = std::chrono::steady_clock::now();
  world.loop.RunFor(seconds(100));
  const std::chrono::duration<double, std::micro> taken =
      std::chrono::steady_clock::now() - started;
  propagation.idle_us_per_second = taken.count() / 100 / static_cast<double>(n_vms);
  propagation.payload_bytes_per_second =
      static_cast<double>(PayloadBytes(world) - idle_start) / 100 / static_cast<double>(n_vms);
  const size_t change_start = PayloadBytes(world);
  Duration busy{};
  for (uint64_t i = 1; i <= n_changes; ++i) {
    const std::string id = "s" + std::to_string(i);
    world.Submit(*world.vms[i % n_vms],
                 world.MakeSubmission(id, i, static_cast<uint32_t>(1000 + i)));
    while (world.answers[id].empty()) world.loop.RunFor(microseconds(100));
    if (platform_down) {
      for (const auto& vm : world.vms) vm->platform.FailAll(PlatformFault::kDown);
    }
    const MonotonicTime accepted = world.loop.Time().Now();
    while (!world.AllHaveInForce(i + 1)) world.loop.RunFor(milliseconds(1));
    const Duration spent = world.loop.Time().Now() - accepted;
    propagation.times_ms.push_back(std::chrono::duration<double, std::milli>(spent).count());
    for (const auto& vm : world.vms) vm->platform.FailAll(PlatformFault::kNone);
    world.loop.RunFor(milliseconds(1730));
    busy += spent + milliseconds(1730);
  }
  const double idle =
      propagation.payload_bytes_per_second * std::chrono::duration<double>(busy).count();
  const double bytes =
      static_cast<double>(PayloadBytes(world) - change_start) / static_cast<double>(n_vms);
  propagation.payload_bytes_per_change = (bytes - idle) / static_cast<double>(n_changes);
  std::sort(propagation.times_ms.begin(), propagation.times_ms.end());
  return propagation;
}

void PrintPropagation(size_t n_vms, bool platform_down) {
  constexpr uint64_t n_changes = 50;
  const PropagationCost propagation = MeasurePropagation(n_vms, platform_down, n_changes);
  std::printf("%8zu  platform %-5s %8.1f %8.1f %12.0f %12.0f %10.0f\n", n_vms,
              platform_down ? "down" : "up", propagation.times_ms[propagation.times_ms.size() / 2],
              propagation.times_ms.back(), propagation.payload_bytes_per_second,
              propagation.payload_bytes_per_change, propagation.idle_us_per_second);
}

}  // namespace
}  // namespace cowsliphill

int main(int argc, char** argv) {
  using cowsliphill::MeasureCost;
  using cowsliphill::PrintPropagation;
  const std::string selected = argc > 1 ? argv[1] : "";
  if (selected.empty() || selected == "cost") {
    std::printf("%8s  %-28s %10s %10s\n", "servers", "step", "median us", "max us");
    for (const size_t servers : {25, 250, 2500}) MeasureCost(servers);
  }
  if (selected.empty() || selected == "spread") {
    std::printf("\nvirtual time: 1 ms to the platform, 2 ms between entry VMs, 50 changes\n");
    std::printf("%8s  %-14s %8s %8s %12s %12s %10s\n", "entry VMs", "", "med ms", "max ms",
                "bytes/s/VM", "bytes/change", "idle us/s");
    for (const size_t n_vms : {3, 9, 19, 60, 120}) {
      PrintPropagation(n_vms, false);
      PrintPropagation(n_vms, true);
    }
  }
  return 0;
}
