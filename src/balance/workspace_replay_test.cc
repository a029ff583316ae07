// Replays a burst of one workspace against one cell on virtual time, beside the same burst without
// workspaces and the same load without the burst.

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "src/balance/balancer.h"
#include "tests/listed_servers.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kServers = 10;
constexpr uint32_t kSlots = 4;
constexpr milliseconds kServiceTime{90};
constexpr milliseconds kTarget{250};
constexpr milliseconds kDeadline{800};
constexpr size_t kSmall = 9;  // Number of workspaces beside the large one, which is number 0.
constexpr double kCapacity = kServers * kSlots / 0.09;  // Requests per second.
constexpr size_t kLarge = 0;

// What arrives: requests per second of each workspace, as a share of the cell's capacity.
struct Load {
  std::vector<double> usual;
  double large_factor = 1;  // The large workspace sends this many times its usual load ...
  double kind_factor = 1;   // ... and all send this many times the usual requests of one kind.
  bool named = true;        // Requests name their workspace.
};

struct Count {
  size_t sent = 0;
  size_t served = 0;
  double Share() const {
    return sent == 0 ? 1 : static_cast<double>(served) / static_cast<double>(sent);
  }
};

class Replay {
 public:
  explicit Replay(Load load) : load_(std::move(load)) {
    std::vector<BackendServer> servers;
    for (size_t i = 0; i < kServers; ++i) {
      BackendServer server;
      server.id = BackendServerId("s" + std::to_string(i));
      server.service = ServiceId("service");
      server.failure_domain = FailureDomainId("here");
      server.slots = kSlots;
      servers.push_back(server);
    }
    ListedServers().Apply(servers, balancer_, now_);
    Report report;
    report.slowdown = 1.0;
    for (const BackendServer& server : servers) balancer_.OnReport(server.id, report, now_);
    WorkspaceWeights weights;
    for (size_t i = 0; i < load_.usual.size(); ++i) {
      weights.Add(IdOf(i), 100 * load_.usual[i]);
    }
    balancer_.SetWorkspaceWeights(std::move(weights));
  }

  // Runs for 5 s of the usual load, then for 15 s of the burst, whose requests are counted.
  std::vector<Count> Run() {
    counts_.resize(load_.usual.size());
    const MonotonicTime burst = now_ + seconds(5);
    const MonotonicTime end = burst + seconds(15);
    MonotonicTime next_poll = now_;
    MonotonicTime next_arrival = now_;
    while (now_ < end) {
      now_ = std::min({next_arrival, next_poll, runs_.empty() ? end : runs_.top().first});
      while (!runs_.empty() && runs_.top().first <= now_) {
        const auto [at, id] = runs_.top();
        runs_.pop();
        balancer_.OnAttemptEnded(id, {AttemptEnd::kAnswered, kServiceTime, {}}, now_);
      }
      if (now_ == next_arrival) next_arrival += Arrive(now_ >= burst);
      if (now_ == next_poll) next_poll += Balancer::kQueuePollInterval;
      for (const QueueDecision& it : balancer_.TakeQueueDecisions(now_)) {
        if (const auto* assigned = std::get_if<Assigned>(&it)) Start(*assigned);
      }
    }
    return counts_;
  }

 private:
  static TenantId IdOf(size_t i) { return TenantId("w" + std::to_string(i)); }

  // One request of a random workspace; returns the time to the next one.
  Duration Arrive(bool in_burst) {
    std::vector<double> rates = load_.usual;
    if (in_burst) {
      for (double& it : rates) it *= (1 + load_.kind_factor) / 2;  // Half are of that kind.
      rates[kLarge] *= load_.large_factor;
    }
    std::discrete_distribution<size_t> pick(rates.begin(), rates.end());
    const size_t workspace = pick(random_);
    AssignmentRequest request;
    request.id = ++next_id_;
    request.cell = {ServiceId("service"), FailureDomainId("here")};
    request.home = FailureDomainId("here");
    request.target = now_ + kTarget;
    request.deadline = now_ + kDeadline;
    request.kind.target_latency = kTarget;
    if (load_.named) request.workspace = IdOf(workspace);
    owners_[request.id] = in_burst ? static_cast<int>(workspace) : -1;
    if (in_burst) ++counts_[workspace].sent;
    const Assignment assignment = balancer_.Assign(request, now_);
    if (const auto* assigned = std::get_if<Assigned>(&assignment)) Start(*assigned);
    double sum = 0;
    for (const double it : rates) sum += it * kCapacity;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::exponential_distribution<double>(sum)(random_)));
  }
  void Start(const Assigned& assigned) {
    const int owner = owners_.at(assigned.id);
    if (owner >= 0) ++counts_[static_cast<size_t>(owner)].served;
    std::lognormal_distribution<double> spread(-0.045, 0.3);
    runs_.push({now_ + Times(kServiceTime, spread(random_)), assigned.id});
  }

  Load load_;
  std::mt19937_64 random_{1};
  Balancer balancer_{1};
  MonotonicTime now_{seconds(100)};
  AssignmentId next_id_ = 0;
  std::map<AssignmentId, int> owners_;  // Workspace of a request; -1: not counted.
  std::vector<Count> counts_;
  using End = std::pair<MonotonicTime, AssignmentId>;
  std::priority_queue<End, std::vector<End>, std::greater<>> runs_;
};

class WorkspaceReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkspaceReplayTest);
  CPPUNIT_TEST(Burst_OfOneWorkspace_OthersAreServedAsBefore);
  CPPUNIT_TEST(Cluster_OfAFewRequestsASecond_IsNotOverTheShare);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against small workspaces that pay for the burst of a large one, against a large one that
  // gets nothing, and against slots that stay free because of the order.
  void Burst_OfOneWorkspace_OthersAreServedAsBefore() {
    for (const double usual : {0.5, 0.7, 0.9}) {
      Load calm = LoadOf(usual);
      calm.kind_factor = 2.4;
      Load burst = calm;
      burst.large_factor = 7;
      Load unnamed = burst;
      unnamed.named = false;
      const std::vector<Count> with = Replay(burst).Run();
      const std::vector<Count> before = Replay(calm).Run();
      const Count all = All(with, 0);
      std::string result = fmt::format("usual load {}:", usual);
      for (size_t i = 0; i < with.size(); ++i) {
        result += fmt::format(" {:.3f} ({:.3f})", with[i].Share(), before[i].Share());
      }
      // The smallest one has some hundred requests.
      CPPUNIT_ASSERT_MESSAGE(result, All(with, 1).Share() > All(before, 1).Share() - 0.01);
      for (size_t i = 0; i < with.size(); ++i) {
        if (i > 0) CPPUNIT_ASSERT_MESSAGE(result, with[i].Share() > before[i].Share() - 0.06);
        CPPUNIT_ASSERT_MESSAGE(result, 4 * with[i].Share() > all.Share());
      }
      const size_t plain = All(Replay(unnamed).Run(), 0).served;
      CPPUNIT_ASSERT_MESSAGE(result + fmt::format("; {} of {}", all.served, plain),
                             100 * all.served > 98 * plain);
    }
  }

  // Guards against a workspace with a few requests a second that is held back because some of them
  // came together, and against one that is never held back.
  void Cluster_OfAFewRequestsASecond_IsNotOverTheShare() {
    FairShare shares;
    WorkspaceWeights weights;
    weights.Add(TenantId("large"), 300);
    weights.Add(TenantId("small"), 3);
    bool large_over = false;
    const MonotonicTime start(seconds(100));
    for (milliseconds at{0}; at < seconds(20); at += milliseconds(4)) {
      shares.OnRequest(TenantId("large"), start + at);
      shares.OnRequest(TenantId("other"), start + at);
      shares.OnRequest(TenantId("other"), start + at);
      for (int i = 0; i < (at.count() % 4000 == 0 ? 10 : at.count() % 500 == 0 ? 1 : 0); ++i) {
        shares.OnRequest(TenantId("small"), start + at);
      }
      shares.OnServed(TenantId("other"));
      CPPUNIT_ASSERT(!shares.IsOver(TenantId("small"), weights, start + at));
      large_over = large_over || shares.IsOver(TenantId("other"), weights, start + at);
    }
    CPPUNIT_ASSERT(large_over);
  }

 private:
  static Load LoadOf(double usual) {
    Load load;
    load.usual.push_back(0.25 * usual);
    for (size_t i = 0; i < kSmall; ++i) {
      load.usual.push_back(1.5 * usual * static_cast<double>(i + 1) / (kSmall * (kSmall + 1)));
    }
    return load;
  }
  // The sum over the workspaces from `first` on.
  static Count All(const std::vector<Count>& counts, size_t first) {
    Count all;
    for (size_t i = first; i < counts.size(); ++i) {
      all.sent += counts[i].sent;
      all.served += counts[i].served;
    }
    return all;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkspaceReplayTest);

}  // namespace
}  // namespace cowsliphill
