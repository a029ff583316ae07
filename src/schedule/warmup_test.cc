// Servers in warm-up: what they get from all entry VMs together, also while a scheduler is taken
// over, and where their requests go meanwhile.

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "src/balance/server_warmup.h"
#include "tests/schedule_fleet.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 10;
constexpr double kHighRate = 40;  // The double of it is above what a server may get.
constexpr milliseconds kServiceTime{30};

// The most requests that a server in warm-up may get in any second.
size_t MaxInASecond(double rate) { return static_cast<size_t>(rate * 1.5 + 8); }

class WarmupTest : public ScheduleFixture {
  CPPUNIT_TEST_SUITE(WarmupTest);
  CPPUNIT_TEST(Row_ReadAgain_DoesNotStartTheWarmupAnew);
  CPPUNIT_TEST(Row_OlderThanAStatement_DoesNotEndTheWarmup);
  CPPUNIT_TEST(Warmup_OfAWholeDomain_KeepsTheRateAndTakesUpLoad);
  CPPUNIT_TEST(Warmup_WithTheSchedulerPausedOrCutOff_KeepsTheRate);
  CPPUNIT_TEST(Warmup_StatedToAProbe_StopsEntryVmsThatScheduleForThemselves);
  CPPUNIT_TEST(Service_WithoutARate_SendsNothingAndLimitsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    ScheduleFixture::setUp();
    in_flight_.clear();
    times_.clear();
    refused_ = sent_ = 0;
    favoured_ = nullptr;
  }

  // Guards against a warm-up that lasts as long as its row is read again and again.
  void Row_ReadAgain_DoesNotStartTheWarmupAnew() {
    ServerWarmup warmup;
    const MonotonicTime start(seconds(100));
    warmup.OnRow(milliseconds(3000), false, {}, start);
    warmup.OnRow(milliseconds(3000), false, {}, start + milliseconds(2900));
    CPPUNIT_ASSERT(warmup.EndsAt() == start + milliseconds(3000));
    warmup.OnRow(milliseconds(500), false, {}, start + milliseconds(1000));
    CPPUNIT_ASSERT(warmup.EndsAt() == start + milliseconds(1500));
    warmup.OnRow(milliseconds(4000), false, {}, start + milliseconds(9000));
    CPPUNIT_ASSERT(warmup.IsActive(start + milliseconds(12900)));
    // A restart counts anew, even with a row that says nothing of a warm-up.
    warmup.OnRow(milliseconds(0), true, milliseconds(2000), start + milliseconds(20000));
    CPPUNIT_ASSERT(warmup.EndsAt() == start + milliseconds(22000));
  }
  // Guards against a server that enters warm-up again, while its older row is still on its way.
  void Row_OlderThanAStatement_DoesNotEndTheWarmup() {
    ServerWarmup warmup;
    const MonotonicTime start(seconds(100));
    warmup.OnRow(milliseconds(900), false, {}, start);
    warmup.OnStatement(start + milliseconds(6000), start + milliseconds(1000));
    warmup.OnRow(milliseconds(0), false, {}, start + milliseconds(1500));
    CPPUNIT_ASSERT(warmup.IsActive(start + milliseconds(5900)));
    warmup.OnStatement(start + milliseconds(2000), start + milliseconds(1900));
    CPPUNIT_ASSERT(!warmup.IsActive(start + milliseconds(2000)));
  }

  // Guards against a rush to servers that return in warm-up or leave it, against requests that
  // wait for them or are refused while the other domain has room, and against an unused domain.
  void Warmup_OfAWholeDomain_KeepsTheRateAndTakesUpLoad() {
    SetRate(kRate);
    Run(seconds(1), milliseconds(8));
    BeginWarmup("a", milliseconds(4000));
    times_.clear();
    refused_ = sent_ = 0;
    Run(seconds(4), milliseconds(8));
    ExpectRate("a");
    size_t to_a = 0;
    for (const auto& [server, times] : times_) to_a += server[0] == 'a' ? times.size() : 0;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(to_a), to_a > 4 * 6 * kRate / 3);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, refused_);
    times_.clear();
    Run(seconds(1), milliseconds(8));
    to_a = 0;
    for (const auto& [server, times] : times_) to_a += server[0] == 'a' ? times.size() : 0;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(to_a), 3 * to_a > sent_ / 5);
  }

  // Guards against two schedulers that share out the same rate: the first one of the cell stops,
  // is taken for gone or not, and goes on.
  void Warmup_WithTheSchedulerPausedOrCutOff_KeepsTheRate() {
    for (const bool cut_off : {false, true}) {
      for (const milliseconds pause : {milliseconds(350), milliseconds(700), milliseconds(2500)}) {
        setUp();
        SetRate(kHighRate);
        BeginWarmup("a", milliseconds(9000));
        auto& primary = fleet_->PrimaryOf("a");
        favoured_ = &primary;
        Run(seconds(1), milliseconds(1));
        const Endpoint self = primary.member.peer;
        const auto begin = [&](bool stopped) {
          if (!cut_off) primary.alive = !stopped;
          cut_off_ = cut_off && stopped ? self : Endpoint();
        };
        fleet_->drop_between = [this](const Endpoint& from, const Endpoint& to) {
          return cut_off_.port != 0 && (from == cut_off_ || to == cut_off_);
        };
        begin(true);
        Run(pause, milliseconds(1));
        begin(false);
        Run(seconds(2), milliseconds(1));
        ExpectRate(std::string(cut_off ? "cut off " : "paused ") + std::to_string(pause.count()));
        size_t to_a = 0;
        for (const auto& [server, times] : times_) to_a += server[0] == 'a' ? times.size() : 0;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(to_a), to_a > 6 * kHighRate);
      }
    }
  }

  // Guards against an entry VM that takes itself for the only one: its servers' row tells nothing
  // of a warm-up that only a probe has shown.
  void Warmup_StatedToAProbe_StopsEntryVmsThatScheduleForThemselves() {
    SetRate(kRate);
    Report report;
    report.slowdown = 1.0;
    report.warmup = milliseconds(8000);
    for (size_t i = 0; i < 6; ++i) {
      fleet_->PrimaryOf("a").scheduler->OnProbed(BackendServerId("a-s" + std::to_string(i)), report,
                                                 fleet_->Now());
    }
    fleet_->Advance(milliseconds(150));
    auto& alone = fleet_->BackupIn("b");
    CPPUNIT_ASSERT_EQUAL(size_t{6}, alone.scheduler->ServersInWarmup());
    ScheduleRequest request;
    request.service = HashName("service");
    request.failure_domain = HashName("a");
    request.target_latency = request.target_left = milliseconds(400);
    request.deadline_left = milliseconds(2000);
    for (request.id = 1; request.id < 40; ++request.id) {
      alone.scheduler->OnScheduleRequest(alone.member.peer, request, fleet_->Now());
    }
    // They are served by the other domain instead.
    size_t assigned = 0;
    for (const Outgoing& out : alone.scheduler->TakeOutbox()) {
      const auto* reply = std::get_if<ScheduleReply>(&out.message);
      if (reply == nullptr || reply->kind != ScheduleReply::Kind::kAssigned) continue;
      ++assigned;
      for (size_t i = 0; i < 6; ++i) {
        CPPUNIT_ASSERT(reply->server != HashName("a-s" + std::to_string(i)));
      }
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(assigned), assigned > 0);
  }

  // Guards against work and messages where no service has a rate.
  void Service_WithoutARate_SendsNothingAndLimitsNothing() {
    SetRate(0);
    BeginWarmup("a", milliseconds(9000));
    Run(seconds(1), milliseconds(8));
    CPPUNIT_ASSERT_EQUAL(size_t{0},
                         fleet_->sent[std::to_string(ScheduleMessage(WarmupUpdate()).index())]);
    for (size_t i = 0; i < 8; ++i) {
      CPPUNIT_ASSERT_EQUAL(size_t{0}, fleet_->At(i).scheduler->ServersInWarmup());
    }
  }

 private:
  struct Open {
    MonotonicTime end;
    size_t vm = 0;
    SendTo send;
  };

  void SetRate(double rate) {
    rate_ = rate;
    Manifest manifest;
    Service& service = manifest.services.emplace_back();
    service.id = ServiceId("service");
    service.warmup_rate = rate;
    for (size_t i = 0; i < 8; ++i) fleet_->At(i).scheduler->ApplyManifest(manifest, fleet_->Now());
  }
  void BeginWarmup(const std::string& failure_domain, milliseconds left) {
    for (BackendServer& it : fleet_->Servers()) {
      if (it.failure_domain.Text() == failure_domain) it.warmup = left;
    }
    fleet_->ApplyServers();
  }
  // Sends a request every `interval` to one entry VM after the other.
  void Run(Duration time, Duration interval) {
    const MonotonicTime end = fleet_->Now() + time;
    MonotonicTime next = fleet_->Now();
    while (fleet_->Now() < end) {
      if (fleet_->Now() >= next) {
        next += interval;
        size_t vm = next_ticket_ / 2 % 8;
        while (favoured_ != nullptr && next_ticket_ % 2 == 0 && &fleet_->At(vm) != favoured_) {
          vm = (vm + 1) % 8;
        }
        vm_of_[next_ticket_] = vm;
        if (fleet_->At(vm).alive) Choose(fleet_->At(vm));
        if (!fleet_->At(vm).alive) ++next_ticket_;
      }
      fleet_->Advance(milliseconds(1));
      for (const ReadyChoice& ready : fleet_->TakeReady()) {
        if (const auto* send = std::get_if<SendTo>(&ready)) {
          ++sent_;
          times_[send->server.Text()].push_back(fleet_->Now());
          in_flight_.push_back({fleet_->Now() + kServiceTime, vm_of_.at(send->ticket), *send});
        } else {
          ++refused_;
        }
      }
      while (!in_flight_.empty() && in_flight_.front().end <= fleet_->Now()) {
        const Open open = in_flight_.front();
        in_flight_.pop_front();
        fleet_->At(open.vm).planner->OnEnded(open.send.ticket, open.send.server, Answered(),
                                             fleet_->Now());
        fleet_->At(open.vm).planner->Finish(open.send.ticket, fleet_->Now());
      }
    }
  }
  // No server of domain a got more in any second than it may.
  void ExpectRate(const std::string& when) {
    for (const auto& [server, times] : times_) {
      if (server[0] != 'a') continue;
      for (size_t i = 0, first = 0; i < times.size(); ++i) {
        while (times[i] - times[first] >= seconds(1)) ++first;
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{}, {}: {}", when, server, i - first + 1),
                               i - first + 1 <= MaxInASecond(rate_));
      }
    }
  }

  std::deque<Open> in_flight_;
  std::map<Ticket, size_t> vm_of_;
  std::map<std::string, std::vector<MonotonicTime>> times_;
  Endpoint cut_off_;
  double rate_ = 0;
  const TestFleet::Vm* favoured_ = nullptr;  // Gets every second request.
  size_t refused_ = 0;
  size_t sent_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WarmupTest);

}  // namespace
}  // namespace cowsliphill
