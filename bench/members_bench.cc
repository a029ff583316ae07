// Measures what the membership protocol costs each node as the cluster grows, and how fast it
// propagates changes.
//
//   build/members_bench virtual            3 to 120 nodes on virtual time: payload bytes, messages,
//                                          processor time, time until all nodes detect a killed
//                                          node ("gone"), and until all learn that a node is
//                                          leaving ("leave"). "missed" counts the trials in which
//                                          a node did not see the change within 30 s.
//   build/members_bench sockets N SECONDS [IDLE_MS]
//                                          N nodes in this process over loopback: bytes on sockets,
//                                          processor time, memory and open connections, all per
//                                          node; timeouts, and nodes whose member list has a wrong
//                                          size ("disagreeing"), over all nodes.
//
// IDLE_MS sets the time after which an unused connection closes (default: idle_timeout of
// PeerLimits). A node pings one member per second, each in turn, so that with more members than
// idle_timeout has seconds every ping opens a connection. A short IDLE_MS shows that case with
// fewer nodes.
//
// Bytes on sockets exclude TCP and IP headers.

#include <sys/resource.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/members/members.h"
#include "src/members/peer_transport.h"
#include "src/storage/memory_platform.h"
#include "tests/virtual_network.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kSizes[] = {3, 9, 19, 60, 120};
// Time until the updates of a simultaneous start have reached all nodes.
constexpr seconds kDisseminationTime{240};
constexpr seconds kMeasuredTime{120};
constexpr size_t kTrials = 9;
constexpr double kPageKibibytes = 4;

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds_of = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
  };
  return seconds_of(usage.ru_utime) + seconds_of(usage.ru_stime);
}

double ResidentKibibytes() {
  std::ifstream statm("/proc/self/statm");
  double size = 0;
  double resident = 0;
  statm >> size >> resident;
  return resident * kPageKibibytes;
}

// Returns the slope of the least squares line of y over x: the cost of one more member.
double Slope(const std::vector<double>& x, const std::vector<double>& y) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xy = 0;
  double sum_xx = 0;
  for (size_t i = 0; i < x.size(); ++i) {
    sum_x += x[i];
    sum_y += y[i];
    sum_xy += x[i] * y[i];
    sum_xx += x[i] * x[i];
  }
  const auto n = static_cast<double>(x.size());
  return (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
}

double Seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

// Returns the seconds from `since` until every other live node has seen a matching change of node
// `i`, or nullopt if one of them has not seen any.
std::optional<double> TimeUntilSeenByAll(VirtualNetwork& net, size_t i, MonotonicTime since,
                                         bool (*matches_change)(const MemberChange&)) {
  double slowest = 0;
  for (size_t j = 0; j < net.Size(); ++j) {
    if (j == i || !net.At(j).up) continue;
    std::optional<double> seen;
    for (const auto& [time, change] : net.At(j).changes) {
      const bool match =
          time >= since && change.member.id == net.At(i).self.id && matches_change(change);
      if (match && !seen) seen = Seconds(time - since);
    }
    if (!seen) return std::nullopt;
    slowest = std::max(slowest, *seen);
  }
  return slowest;
}

struct TrialSummary {
  double median = 0;
  double max = 0;
  size_t missed_trials = 0;
};

TrialSummary Summarize(std::vector<std::optional<double>> trials) {
  std::vector<double> seen;
  for (const auto& it : trials) {
    if (it) seen.push_back(*it);
  }
  std::sort(seen.begin(), seen.end());
  if (seen.empty()) return {0, 0, trials.size()};
  return {seen[seen.size() / 2], seen.back(), trials.size() - seen.size()};
}

std::unique_ptr<VirtualNetwork> ConvergedNetwork(size_t n, uint64_t seed) {
  auto net = std::make_unique<VirtualNetwork>(seed);
  net->AddMany(n, {}, 3, 1);
  net->Run(seconds(60));
  if (!net->MembershipConverged()) std::printf("NOT SETTLED: %zu nodes, seed %lu\n", n, seed);
  return net;
}

TrialSummary MeasureDetection(size_t n) {
  std::vector<std::optional<double>> trials;
  for (uint64_t seed = 1; seed <= kTrials; ++seed) {
    const auto net = ConvergedNetwork(n, seed);
    const MonotonicTime killed = net->Now();
    net->Kill(1);
    net->Run(seconds(30));
    trials.push_back(TimeUntilSeenByAll(*net, 1, killed,
                                        [](const MemberChange& change) { return change.gone; }));
  }
  return Summarize(trials);
}

TrialSummary MeasureLeavePropagation(size_t n) {
  std::vector<std::optional<double>> trials;
  for (uint64_t seed = 1; seed <= kTrials; ++seed) {
    const auto net = ConvergedNetwork(n, seed);
    const MonotonicTime left = net->Now();
    net->At(1).membership->SetLeaving();
    net->ApplyActions(1);
    net->Run(seconds(30));
    trials.push_back(TimeUntilSeenByAll(*net, 1, left, [](const MemberChange& change) {
      return change.member.state == MemberState::kLeaving;
    }));
  }
  return Summarize(trials);
}

void RunVirtual() {
  std::printf(
      "nodes  payload sent B/s  messages/s  cpu %%core  gone s: median max missed"
      "  leave s: median max missed\n");
  std::vector<double> sizes;
  std::vector<double> bytes;
  std::vector<double> cpu;
  for (const size_t n : kSizes) {
    const auto net = ConvergedNetwork(n, 1);
    net->Run(kDisseminationTime);
    uint64_t bytes_before = 0;
    uint64_t messages_before = 0;
    for (size_t i = 0; i < n; ++i) {
      bytes_before += net->At(i).bytes_sent;
      messages_before += net->At(i).messages_sent;
    }
    const double cpu_before = CpuSeconds();
    net->Run(kMeasuredTime);
    const double node_seconds = Seconds(kMeasuredTime) * static_cast<double>(n);
    const double cpu_percent = (CpuSeconds() - cpu_before) / node_seconds * 100;
    uint64_t bytes_after = 0;
    uint64_t messages_after = 0;
    for (size_t i = 0; i < n; ++i) {
      bytes_after += net->At(i).bytes_sent;
      messages_after += net->At(i).messages_sent;
    }
    const double rate = static_cast<double>(bytes_after - bytes_before) / node_seconds;
    const double messages = static_cast<double>(messages_after - messages_before) / node_seconds;
    const TrialSummary gone = MeasureDetection(n);
    const TrialSummary leave = MeasureLeavePropagation(n);
    std::printf("%5zu  %16.1f  %10.2f  %9.4f  %14.2f %5.2f %zu  %14.3f %6.3f %zu\n", n, rate,
                messages, cpu_percent, gone.median, gone.max, gone.missed_trials, leave.median,
                leave.max, leave.missed_trials);
    std::fflush(stdout);
    sizes.push_back(static_cast<double>(n));
    bytes.push_back(rate);
    cpu.push_back(cpu_percent);
  }
  std::printf("slope per member: %.4f payload B/s sent, %.6f %% of a core\n", Slope(sizes, bytes),
              Slope(sizes, cpu));
}

// The membership part of an entry VM, without its other parts.
struct SocketNode {
  std::unique_ptr<PeerNode> peer;
  std::unique_ptr<Members<PeerNode, MemoryPlatform>> members;
};

class SocketBench {
 public:
  SocketBench(size_t n, const PeerLimits& limits)
      : limits_(limits),
        platform_([this](std::function<void()> task) { asio::post(loop_, std::move(task)); }) {
    for (size_t i = 0; i < n; ++i) Add(i);
  }

  void Run(seconds time) { loop_.run_for(time); }

  size_t DisagreeingNodeCount() const {
    return static_cast<size_t>(std::count_if(nodes_.begin(), nodes_.end(), [this](const auto& it) {
      return it.members->Live().size() + 1 != nodes_.size();
    }));
  }

  PeerStats Total() const {
    PeerStats total;
    for (const SocketNode& node : nodes_) {
      const PeerStats stats = node.peer->Stats();
      total.bytes_in += stats.bytes_in;
      total.bytes_out += stats.bytes_out;
      total.requests_out += stats.requests_out;
      total.connections_out += stats.connections_out;
      total.timeouts += stats.timeouts;
    }
    return total;
  }

  size_t OpenConnectionCount() const {
    size_t total = 0;
    for (const SocketNode& node : nodes_) total += node.peer->OpenConnections();
    return total;
  }

 private:
  void Add(size_t i) {
    Member self;
    self.id = EntryVmId("vm-" + std::to_string(i) + "-0123456789");
    self.edge = {"127.0.0.1", static_cast<uint16_t>(10000 + i)};
    self.failure_domain = FailureDomainId("place-" + std::to_string(i % 3));
    self.region = RegionId("region");
    PeerSettings settings;
    settings.listen = {"127.0.0.1", 0};
    settings.key = "a key of the measurement";
    SocketNode node;
    node.peer = std::make_unique<PeerNode>(loop_, clock_, self.id, settings, limits_);
    const auto at = node.peer->Listen();
    if (!Ok(at)) {
      std::fprintf(stderr, "can't listen on a loopback port: %s\n", ErrorOf(at).detail.c_str());
      std::exit(1);
    }
    self.peer = ValueOf(at);
    if (i == 0) config_.seeds = {self.peer};
    MembersOptions options;
    options.seed = i + 1;
    node.members = std::make_unique<Members<PeerNode, MemoryPlatform>>(
        loop_, clock_, *node.peer, platform_, config_, self, options);
    nodes_.push_back(std::move(node));
  }

  PeerLimits limits_;
  asio::io_context loop_;
  SystemClock clock_;
  MemoryPlatform platform_;
  MembershipConfig config_;
  std::vector<SocketNode> nodes_;
};

void RunSockets(size_t n, seconds time, const PeerLimits& limits) {
  const double memory_before = ResidentKibibytes();
  SocketBench bench(n, limits);
  bench.Run(time);  // Lets the nodes join and open the connections that the measurement uses.
  const PeerStats before = bench.Total();
  const double cpu_before = CpuSeconds();
  bench.Run(time);
  const PeerStats after = bench.Total();
  const double node_seconds = static_cast<double>(n) * Seconds(time);
  const auto per_node = [node_seconds](uint64_t late, uint64_t early) {
    return static_cast<double>(late - early) / node_seconds;
  };
  std::printf(
      "nodes %zu  in B/s %.1f  out B/s %.1f  requests/s %.2f  connects/s %.3f  "
      "cpu %%core %.4f  memory KB %.1f  connections %.1f  timeouts %lu  disagreeing %zu\n",
      n, per_node(after.bytes_in, before.bytes_in), per_node(after.bytes_out, before.bytes_out),
      per_node(after.requests_out, before.requests_out),
      per_node(after.connections_out, before.connections_out),
      (CpuSeconds() - cpu_before) / node_seconds * 100,
      (ResidentKibibytes() - memory_before) / static_cast<double>(n),
      static_cast<double>(bench.OpenConnectionCount()) / static_cast<double>(n),
      after.timeouts - before.timeouts, bench.DisagreeingNodeCount());
}

}  // namespace
}  // namespace cowsliphill

int main(int argc, char** argv) {
  const std::string mode = argc > 1 ? argv[1] : "";
  if (mode == "virtual") {
    cowsliphill::RunVirtual();
    return 0;
  }
  if (mode == "sockets" && (argc == 4 || argc == 5)) {
    cowsliphill::PeerLimits limits;
    if (argc == 5) {
      limits.idle_timeout = std::chrono::milliseconds(std::strtoul(argv[4], nullptr, 10));
    }
    cowsliphill::RunSockets(std::strtoul(argv[2], nullptr, 10),
                            std::chrono::seconds(std::strtoul(argv[3], nullptr, 10)), limits);
    return 0;
  }
  std::fprintf(stderr,
               "usage: members_bench virtual | members_bench sockets N SECONDS [IDLE_MS]\n");
  return 2;
}
