// Replays uneven demand on virtual time: failure domains whose callers and servers are distributed
// differently, and whose demand rises and falls in waves. The schedulers of all cells run, with
// delayed messages between them.

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "src/schedule/scheduler.h"
#include "tests/listed_servers.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

struct DomainLoad {
  size_t servers = 0;
  double per_second = 0;  // Mean arrival rate of requests.
  double phase = 0;       // Of the wave, in periods.
  double swing = 0.55;    // Amplitude of the wave, as a share of the mean.
};

struct ReplayResult {
  size_t arrived = 0;
  size_t on_time = 0;
  size_t late = 0;
  size_t refused = 0;
  size_t crossed = 0;  // Requests that were assigned in another failure domain.

  std::string Text() const {
    return std::to_string(arrived) + " arrived, " + std::to_string(on_time) + " on time, " +
           std::to_string(late) + " late, " + std::to_string(refused) + " refused, " +
           std::to_string(crossed) + " crossed";
  }
};

// One scheduler for each failure domain; callers' entry VMs are stood in for by one address each.
class UnevenDemandReplay {
 public:
  UnevenDemandReplay(const std::vector<DomainLoad>& domains, double load) : load_(load) {
    for (size_t i = 0; i < domains.size(); ++i) {
      Domain domain;
      domain.load = domains[i];
      domain.id = FailureDomainId(std::string(1, static_cast<char>('a' + i)));
      domain.peer = {"10.0.0." + std::to_string(i + 1), 7200};
      Member member;
      member.id = EntryVmId("vm-" + domain.id.Text());
      member.failure_domain = domain.id;
      member.peer = domain.peer;
      members_.push_back(member);
      for (size_t n = 0; n < domain.load.servers; ++n) AddServer(domain);
      domain.scheduler = std::make_unique<Scheduler>(domain.peer, i + 1, now_);
      domains_.push_back(std::move(domain));
    }
    ListedServers listed;
    const ServerChanges changes = listed.ChangeTo(servers_);
    for (Domain& it : domains_) {
      it.scheduler->ApplyServers(changes, now_);
      it.scheduler->SetMembers(members_, now_);
    }
  }

  ReplayResult Run(milliseconds duration) {
    const MonotonicTime warm = now_ + milliseconds(500);
    const MonotonicTime end = warm + duration;
    start_ = warm;
    while (now_ < end) {
      now_ += milliseconds(1);
      StepHosts();
      EndRuns();
      if (now_ >= warm) Arrive();
      for (Domain& it : domains_) {
        it.scheduler->Tick(now_);
        Probe(it);
        Send(it);
      }
      Deliver();
    }
    return result_;
  }

 private:
  static constexpr uint32_t kSlots = 2;
  static constexpr milliseconds kMeanWork{80};
  static constexpr milliseconds kTarget{250};
  static constexpr milliseconds kDeadline{800};
  static constexpr milliseconds kHostInterval{500};
  static constexpr double kSlowShare = 0.3;
  static constexpr double kSlowdown = 7.0;
  static constexpr milliseconds kWavePeriod{17000};
  static constexpr milliseconds kMessageDelay{1};
  static constexpr milliseconds kProbeTime{2};

  struct Domain {
    DomainLoad load;
    FailureDomainId id;
    Endpoint peer;
    std::unique_ptr<Scheduler> scheduler;
    double owed = 0;  // Arrivals that are due, with a fraction.
  };
  struct Host {
    double slowdown = 1;
    uint32_t in_flight = 0;
    MonotonicTime next_step;
  };
  struct Request {
    size_t domain = 0;
    MonotonicTime arrival;
  };
  struct Execution {
    MonotonicTime end;
    ScheduleRequestId id = 0;
    size_t server = 0;
    Endpoint scheduler;
    MonotonicTime sent;
    bool operator>(const Execution& other) const { return end > other.end; }
  };
  struct Message {
    MonotonicTime due;
    Endpoint from;
    Outgoing out;
  };
  struct ProbeAnswer {
    MonotonicTime due;
    size_t domain = 0;
    size_t server = 0;
  };

  void AddServer(const Domain& domain) {
    BackendServer server;
    server.id = BackendServerId(domain.id.Text() + std::to_string(servers_.size()));
    server.service = ServiceId("service");
    server.failure_domain = domain.id;
    server.endpoint = {"10.9.0.1", static_cast<uint16_t>(1000 + servers_.size())};
    server.slots = kSlots;
    index_[HashName(server.id.Text())] = servers_.size();
    servers_.push_back(server);
    Host host;
    host.next_step = now_ + milliseconds(std::uniform_int_distribution<int>(0, 500)(random_));
    hosts_.push_back(host);
  }
  void StepHosts() {
    for (Host& it : hosts_) {
      if (now_ < it.next_step) continue;
      it.next_step += kHostInterval;
      it.slowdown =
          std::uniform_real_distribution<double>()(random_) < kSlowShare ? kSlowdown : 1.0;
    }
  }
  size_t DomainOf(const Endpoint& peer) const {
    for (size_t i = 0; i < domains_.size(); ++i) {
      if (domains_[i].peer == peer) return i;
    }
    return 0;
  }

  void Arrive() {
    for (size_t i = 0; i < domains_.size(); ++i) {
      Domain& domain = domains_[i];
      const double periods =
          std::chrono::duration<double>(now_ - start_) / std::chrono::duration<double>(kWavePeriod);
      const double rate =
          domain.load.per_second * load_ *
          (1 + domain.load.swing * std::sin(2 * M_PI * (periods + domain.load.phase)));
      std::poisson_distribution<int> arrivals(rate / 1000);
      for (int n = arrivals(random_); n > 0; --n) {
        const ScheduleRequestId id = next_id_++;
        requests_[id] = {i, now_};
        ++result_.arrived;
        ScheduleRequest message;
        message.id = id;
        message.service = HashName("service");
        message.failure_domain = HashName(domain.id.Text());
        message.target_latency = kTarget;
        message.target_left = kTarget;
        message.deadline_left = kDeadline;
        messages_.push_back({now_, domain.peer, {domain.peer, message}});
      }
    }
  }

  void Probe(Domain& domain) {
    for (const BackendServerId& id : domain.scheduler->TakeServersToProbe(now_)) {
      probes_.push_back({now_ + kProbeTime, DomainOf(domain.peer), index_.at(HashName(id.Text()))});
    }
  }
  void Send(Domain& domain) {
    for (Outgoing& out : domain.scheduler->TakeOutbox()) {
      messages_.push_back({now_ + kMessageDelay, domain.peer, std::move(out)});
    }
  }
  void Deliver() {
    while (!probes_.empty() && probes_.front().due <= now_) {
      const ProbeAnswer it = probes_.front();
      probes_.pop_front();
      Report report;
      report.in_flight = hosts_[it.server].in_flight;
      report.slowdown = hosts_[it.server].slowdown;
      domains_[it.domain].scheduler->OnProbed(servers_[it.server].id, report, now_);
    }
    for (size_t n = messages_.size(); n > 0; --n) {
      Message it = std::move(messages_.front());
      messages_.pop_front();
      if (it.due > now_) {
        messages_.push_back(std::move(it));
        continue;
      }
      Scheduler& scheduler = *domains_[DomainOf(it.out.to)].scheduler;
      if (const auto* request = std::get_if<ScheduleRequest>(&it.out.message)) {
        scheduler.OnScheduleRequest(it.from, *request, now_);
      } else if (const auto* update = std::get_if<CellUpdate>(&it.out.message)) {
        scheduler.OnCellUpdate(*update, now_);
      } else if (const auto* ended = std::get_if<ScheduleEnd>(&it.out.message)) {
        scheduler.OnEnd(it.from, *ended, now_);
      } else if (const auto* reply = std::get_if<ScheduleReply>(&it.out.message)) {
        OnReply(it.from, *reply);
      }
    }
  }
  void OnReply(const Endpoint& from, const ScheduleReply& reply) {
    const auto it = requests_.find(reply.id);
    if (it == requests_.end() || reply.kind == ScheduleReply::Kind::kQueued) return;
    if (reply.kind == ScheduleReply::Kind::kRefused) {
      ++result_.refused;
      requests_.erase(it);
      return;
    }
    const size_t server = index_.at(reply.server);
    Host& host = hosts_[server];
    ++host.in_flight;
    if (servers_[server].failure_domain != domains_[it->second.domain].id) ++result_.crossed;
    std::lognormal_distribution<double> spread(-0.045, 0.3);
    const double tail = std::uniform_real_distribution<double>()(random_) < 0.03 ? 7.0 : 1.0;
    const Duration work = Times(kMeanWork, spread(random_) * host.slowdown * tail / 1.18);
    runs_.push({now_ + work, reply.id, server, from, now_});
  }
  void EndRuns() {
    while (!runs_.empty() && runs_.top().end <= now_) {
      const Execution run = runs_.top();
      runs_.pop();
      --hosts_[run.server].in_flight;
      const Request request = requests_.at(run.id);
      requests_.erase(run.id);
      now_ - request.arrival <= kTarget ? ++result_.on_time : ++result_.late;
      ScheduleEnd end;
      end.id = run.id;
      end.end = AttemptEnd::kAnswered;
      end.latency = std::chrono::duration_cast<std::chrono::microseconds>(now_ - run.sent);
      messages_.push_back(
          {now_ + kMessageDelay, domains_[request.domain].peer, {run.scheduler, end}});
    }
  }

  double load_ = 1;
  std::mt19937_64 random_{7};
  MonotonicTime now_{std::chrono::hours(1)};
  MonotonicTime start_;
  std::vector<Domain> domains_;
  std::vector<Member> members_;
  std::vector<BackendServer> servers_;
  std::vector<Host> hosts_;
  std::map<NameHash, size_t> index_;
  std::map<ScheduleRequestId, Request> requests_;
  std::priority_queue<Execution, std::vector<Execution>, std::greater<>> runs_;
  std::deque<Message> messages_;
  std::deque<ProbeAnswer> probes_;
  ScheduleRequestId next_id_ = 1;
  ReplayResult result_;
};

class UnevenDemandReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnevenDemandReplayTest);
  CPPUNIT_TEST(Demand_LargestWhereServersAreFewest_IsServedAsByOneCell);
  CPPUNIT_TEST(Demand_InOppositeWaves_IsServedAsByOneCell);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that are refused in one failure domain while others have room. All
  // domains have their crest at nearly the same time.
  void Demand_LargestWhereServersAreFewest_IsServedAsByOneCell() {
    AssertServedAsByOneCell({{21, 155, 0.1}, {23, 123, 0.18}, {20, 172, 0.26}, {28, 113, 0.34}},
                            {92, 563, 0.22});
  }

  // Guards against load that is passed to and fro between failure domains: while one half has more
  // than it can answer, the other half is nearly idle.
  void Demand_InOppositeWaves_IsServedAsByOneCell() {
    AssertServedAsByOneCell({{23, 141, 0}, {23, 141, 0}, {23, 141, 0.5}, {23, 141, 0.5}},
                            {92, 564, 0, 0});
  }

 private:
  // Beyond it, the slots of all fast hosts together are too few at the crest.
  static constexpr double kLoad = 1.8;
  // Share of the requests by which the result may be worse than that of one cell.
  static constexpr double kTolerance = 0.02;

  static void AssertServedAsByOneCell(const std::vector<DomainLoad>& uneven,
                                      const DomainLoad& pooled) {
    const ReplayResult result = UnevenDemandReplay(uneven, kLoad).Run(milliseconds(17000));
    const ReplayResult reference = UnevenDemandReplay({pooled}, kLoad).Run(milliseconds(17000));
    const std::string text = result.Text() + "; one cell: " + reference.Text();
    const auto share = [](size_t n, const ReplayResult& of) {
      return static_cast<double>(n) / static_cast<double>(of.arrived);
    };
    CPPUNIT_ASSERT_MESSAGE(
        text, share(result.on_time, result) >= share(reference.on_time, reference) - kTolerance);
    CPPUNIT_ASSERT_MESSAGE(
        text, share(result.refused, result) <= share(reference.refused, reference) + kTolerance);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnevenDemandReplayTest);

}  // namespace
}  // namespace cowsliphill
