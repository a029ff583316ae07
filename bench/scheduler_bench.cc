// Measures what scheduling costs one entry VM as the fleet's backend servers grow, on virtual time.
//
//   build/scheduler_bench      for each number of servers: probes and wake-ups a second, servers
//                              looked at in each wake-up, processor time of the wake-ups and of the
//                              probes' results as a share of one core, and processor time of a
//                              request, for the scheduler of a failure domain's cells and for an
//                              entry VM of the same domain that schedules none
//
// The servers belong to 3 services in 5 failure domains. A quarter of the hosts is 7 times as slow
// as the others; each changes every 500 ms. All cells are in use. Sending and receiving is not
// included.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "src/schedule/scheduler.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kServers[] = {75, 250, 1080, 2500, 5000};
constexpr size_t kServices = 3;
constexpr size_t kFailureDomains = 5;
constexpr uint32_t kSlots = 3;
constexpr seconds kWarmUp{20};
constexpr seconds kMeasured{10};
constexpr milliseconds kHostInterval{500};
constexpr milliseconds kRequestInterval{100};  // Between two requests of each cell.
constexpr double kSlowShare = 0.25;
constexpr double kSlowdown = 7.0;

Endpoint PeerOf(size_t failure_domain, bool large) {
  return {"10.1." + std::to_string(failure_domain) + (large ? ".1" : ".2"), 8382};
}

class Measurement {
 public:
  // `large`: this entry VM is the larger of the two in its failure domain, which schedules.
  Measurement(size_t servers, bool large) : self_(PeerOf(0, large)), scheduler_(self_, 1, now_) {
    ServerChanges changes;
    for (size_t i = 0; i < servers; ++i) {
      BackendServer server;
      server.id = BackendServerId("i-" + std::to_string(9876543210 + i * 7919));
      server.service = ServiceOf(i % kServices);
      server.failure_domain = DomainOf(i / kServices % kFailureDomains);
      server.endpoint = {"10.2.0.1", static_cast<uint16_t>(1 + i)};
      server.slots = kSlots;
      changes.changed.push_back({ServerChange::Kind::kAdded, server});
    }
    scheduler_.ApplyServers(changes, now_);
    std::vector<Member> members;
    for (size_t i = 0; i < kFailureDomains; ++i) {
      for (const bool is_large : {true, false}) {
        Member member;
        member.peer = PeerOf(i, is_large);
        member.id = EntryVmId(member.peer.ToString());
        member.failure_domain = DomainOf(i);
        member.millicores = is_large ? 500 : 100;
        members.push_back(member);
      }
    }
    scheduler_.SetMembers(members, now_);
  }

  void Print(size_t servers, const char* role) {
    RunUntil(now_ + kWarmUp);
    wakes_ = probes_ = requests_ = 0;
    in_wakes_ = in_requests_ = std::chrono::nanoseconds{0};
    const uint64_t checks = scheduler_.ProbeChecks();
    RunUntil(now_ + kMeasured);
    const double length = std::chrono::duration<double>(kMeasured).count();
    const auto share = [length](std::chrono::nanoseconds time) {
      return 100 * std::chrono::duration<double>(time).count() / length;
    };
    std::printf("%7zu  %-9s %9.0f %9.0f %12.1f %12.2f %12.2f\n", servers, role,
                static_cast<double>(probes_) / length, static_cast<double>(wakes_) / length,
                static_cast<double>(scheduler_.ProbeChecks() - checks) /
                    static_cast<double>(std::max<size_t>(wakes_, 1)),
                share(in_wakes_),
                std::chrono::duration<double, std::micro>(in_requests_).count() /
                    static_cast<double>(std::max<size_t>(requests_, 1)));
  }

 private:
  static ServiceId ServiceOf(size_t i) { return ServiceId("service-" + std::to_string(i)); }
  static FailureDomainId DomainOf(size_t i) {
    return FailureDomainId("failure-domain-" + std::to_string(i));
  }
  template <typename Task>
  static std::chrono::nanoseconds TimeOf(Task task) {
    const auto begin = std::chrono::steady_clock::now();
    task();
    return std::chrono::steady_clock::now() - begin;
  }

  // The host's slowdown: the same during each interval, which begins at an offset of its own.
  double SlowdownOf(const BackendServerId& server) const {
    const NameHash hash = HashName(server.Text());
    const auto offset = milliseconds(hash % static_cast<NameHash>(kHostInterval.count()));
    const auto interval = (now_.time_since_epoch() + offset) / kHostInterval;
    std::minstd_rand random(static_cast<uint32_t>(hash + static_cast<uint64_t>(interval) * 7919));
    random.discard(4);
    return std::uniform_real_distribution<double>()(random) < kSlowShare ? kSlowdown : 1.0;
  }

  void RunUntil(MonotonicTime end) {
    while (now_ < end) {
      std::vector<BackendServerId> due;
      std::optional<MonotonicTime> wake;
      in_wakes_ += TimeOf([&] {
        scheduler_.Tick(now_);
        due = scheduler_.TakeServersToProbe(now_);
        for (const BackendServerId& server : due) {
          Report report;
          report.in_flight = 0;
          report.slowdown = SlowdownOf(server);
          scheduler_.OnProbed(server, report, now_);
        }
        wake = scheduler_.NextWake(now_);
      });
      ++wakes_;
      probes_ += due.size();
      now_ = std::min(wake.value_or(now_ + seconds(1)), std::min(end, next_requests_));
      if (now_ >= next_requests_) SendRequests();
      scheduler_.TakeOutbox();
    }
  }

  void SendRequests() {
    next_requests_ = now_ + kRequestInterval;
    if (self_ != PeerOf(0, true)) return;
    for (size_t i = 0; i < kServices; ++i) {
      ScheduleRequest request;
      request.id = ++next_id_;
      request.service = HashName(ServiceOf(i).Text());
      request.failure_domain = HashName(DomainOf(0).Text());
      request.target_latency = request.target_left = milliseconds(1000);
      request.deadline_left = milliseconds(8000);
      in_requests_ += TimeOf([&] {
        scheduler_.OnScheduleRequest(self_, request, now_);
        scheduler_.OnEnd(self_, ScheduleEnd{request.id, AttemptEnd::kCancelled, {}, {}}, now_);
      });
      ++requests_;
    }
  }

  MonotonicTime now_{seconds(100)};
  Endpoint self_;
  Scheduler scheduler_;
  MonotonicTime next_requests_ = now_;
  ScheduleRequestId next_id_ = 0;
  size_t wakes_ = 0;
  size_t probes_ = 0;
  size_t requests_ = 0;
  std::chrono::nanoseconds in_wakes_{0};
  std::chrono::nanoseconds in_requests_{0};
};

}  // namespace
}  // namespace cowsliphill

int main() {
  std::printf("%7s  %-9s %9s %9s %12s %12s %12s\n", "servers", "role", "probes/s", "wakes/s",
              "looked at", "% of a core", "us/request");
  for (const size_t servers : cowsliphill::kServers) {
    for (const bool large : {true, false}) {
      cowsliphill::Measurement(servers, large).Print(servers, large ? "scheduler" : "other");
    }
  }
}
