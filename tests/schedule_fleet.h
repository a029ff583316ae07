// Runs the planners and schedulers of a few entry VMs on virtual time, with a network between them
// that may drop messages, and with schedulers that die or become unresponsive.

#ifndef COWSLIPHILL_TESTS_SCHEDULE_FLEET_H_
#define COWSLIPHILL_TESTS_SCHEDULE_FLEET_H_

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/schedule/request_planner.h"
#include "src/schedule/scheduler.h"
#include "tests/listed_servers.h"

namespace cowsliphill {

// Entry VMs in two failure domains, each domain with `servers` backend servers of one service.
class TestFleet {
 public:
  struct Vm {
    Member member;
    std::unique_ptr<RequestPlanner> planner;
    std::unique_ptr<Scheduler> scheduler;
    bool alive = true;
  };
  struct PendingMessage {
    MonotonicTime due;
    Endpoint from;
    Outgoing out;
  };

  TestFleet(size_t per_failure_domain, size_t servers, RetrySettings retry_settings) {
    for (const char* failure_domain : {"a", "b"}) {
      for (size_t i = 0; i < per_failure_domain; ++i) {
        Vm vm;
        vm.member.id = EntryVmId(std::string(failure_domain) + std::to_string(i));
        vm.member.failure_domain = FailureDomainId(failure_domain);
        vm.member.peer = {"10.0." + std::string(failure_domain == std::string("a") ? "1" : "2") +
                              "." + std::to_string(i),
                          7200};
        vm.planner = std::make_unique<RequestPlanner>(vm.member.failure_domain, vm.member.peer,
                                                      vms_.size() * 1000, retry_settings);
        vm.scheduler = std::make_unique<Scheduler>(vm.member.peer, vms_.size(), now_);
        vms_.push_back(std::move(vm));
      }
      for (size_t i = 0; i < servers; ++i) {
        BackendServer server;
        server.id = BackendServerId(std::string(failure_domain) + "-s" + std::to_string(i));
        server.service = ServiceId("service");
        server.failure_domain = FailureDomainId(failure_domain);
        server.endpoint = {"10.9.0.1", static_cast<uint16_t>(1000 + servers_.size())};
        server.slots = 3;
        servers_.push_back(server);
      }
    }
    ApplyServers();
    UpdateMembers();
    Advance(std::chrono::milliseconds(200));
    for (const BackendServer& server : servers_) SetLoad(server.id.Text(), 0, 1.0);
  }

  void ApplyServers() {
    Service service;
    service.id = ServiceId("service");
    const ServerChanges changes = listed_.ChangeTo(servers_);
    for (Vm& vm : vms_) {
      vm.planner->ApplyServices({service});
      vm.planner->ApplyServers(changes);
      vm.scheduler->ApplyServers(changes, now_);
    }
  }
  // Tells one entry VM, before the others know, that it has lost its links.
  void LoseLinks(Vm& lost) {
    lost.member.links_lost = true;
    std::vector<Member> alive;
    for (const Vm& vm : vms_) alive.push_back(vm.member);
    lost.planner->SetMembers(alive);
    lost.scheduler->SetMembers(alive, now_);
  }
  // A process with another id takes the place of the entry VM.
  void Restart(Vm& vm) {
    vm.member.id = EntryVmId(vm.member.id.Text() + "-restarted");
    RetrySettings retry_settings;
    vm.planner = std::make_unique<RequestPlanner>(vm.member.failure_domain, vm.member.peer, 99000,
                                                  retry_settings);
    vm.scheduler = std::make_unique<Scheduler>(vm.member.peer, 99, now_);
    Service service;
    service.id = ServiceId("service");
    ListedServers listed;
    const ServerChanges changes = listed.ChangeTo(servers_);
    vm.planner->ApplyServices({service});
    vm.planner->ApplyServers(changes);
    vm.scheduler->ApplyServers(changes, now_);
    UpdateMembers();
  }
  // Passes the entry VMs that are alive to all of them.
  void UpdateMembers() {
    std::vector<Member> alive;
    for (const Vm& vm : vms_) {
      if (vm.alive) alive.push_back(vm.member);
    }
    for (Vm& vm : vms_) {
      vm.planner->SetMembers(alive);
      vm.scheduler->SetMembers(alive, now_);
    }
  }
  // Delivers a report to every scheduler as if it had probed the server; later probes get the same
  // report without the in-flight count.
  void SetLoad(const std::string& server, uint32_t in_flight, double slowdown) {
    Report report;
    report.in_flight = in_flight;
    report.slowdown = slowdown;
    reports_[BackendServerId(server)] = report;
    for (Vm& vm : vms_) vm.scheduler->OnProbed(BackendServerId(server), report, now_);
  }

  void Advance(Duration step) {
    const MonotonicTime end = now_ + step;
    while (now_ < end) {
      now_ += std::chrono::milliseconds(1);
      Step();
    }
  }
  void Step() {
    for (Vm& vm : vms_) {
      if (!vm.alive) continue;
      vm.scheduler->Tick(now_);
      if (answers_probes) AnswerProbes(vm);
      for (ReadyChoice& ready : vm.planner->TakeReady(now_)) ready_.push_back(std::move(ready));
      SendOutboxes(vm);
    }
    for (size_t n = queue_.size(); n > 0; --n) {
      const PendingMessage it = queue_.front();
      queue_.pop_front();
      if (it.due > now_) {
        queue_.push_back(it);
        continue;
      }
      Deliver(it);
    }
    for (Vm& vm : vms_) {
      for (ReadyChoice& ready : vm.planner->TakeReady(now_)) ready_.push_back(std::move(ready));
    }
  }

  Vm& At(size_t i) { return vms_[i]; }
  // The primary of the failure domain's cell.
  Vm& PrimaryOf(const std::string& failure_domain) {
    SchedulerOrder order;
    std::vector<Member> alive;
    for (const Vm& vm : vms_) {
      if (vm.alive) alive.push_back(vm.member);
    }
    order.SetMembers(alive);
    const CellId cell =
        CellsOf(servers_).CellOf(ServiceId("service"), FailureDomainId(failure_domain));
    const Endpoint first = order.SchedulersFor(cell).front();
    return *std::find_if(vms_.begin(), vms_.end(),
                         [&first](const Vm& vm) { return vm.member.peer == first; });
  }
  // An entry VM of the failure domain that is not the primary of its cell.
  Vm& BackupIn(const std::string& failure_domain) {
    const Endpoint scheduler = PrimaryOf(failure_domain).member.peer;
    return *std::find_if(vms_.begin(), vms_.end(), [&](const Vm& vm) {
      return vm.member.failure_domain.Text() == failure_domain && vm.member.peer != scheduler;
    });
  }

  std::vector<ReadyChoice> TakeReady() { return std::exchange(ready_, {}); }
  MonotonicTime Now() const { return now_; }
  std::vector<BackendServer>& Servers() { return servers_; }

  std::function<bool(const Outgoing&)> drop = [](const Outgoing&) { return false; };
  std::function<bool(const Endpoint& from, const Endpoint& to)> drop_between =
      [](const Endpoint&, const Endpoint&) { return false; };
  bool answers_probes = true;
  std::map<std::string, size_t> sent;  // Messages between different entry VMs, by type.

 private:
  // Leaves out the in-flight count: schedulers know the test's requests from their assignments.
  void AnswerProbes(Vm& vm) {
    for (const BackendServerId& server : vm.scheduler->TakeServersToProbe(now_)) {
      const auto it = reports_.find(server);
      if (it == reports_.end()) continue;
      Report report = it->second;
      report.in_flight.reset();
      vm.scheduler->OnProbed(server, report, now_);
    }
  }
  void SendOutboxes(Vm& vm) {
    for (Outgoing& out : vm.planner->TakeOutbox()) Send(vm, std::move(out));
    for (Outgoing& out : vm.scheduler->TakeOutbox()) Send(vm, std::move(out));
  }
  void Send(const Vm& vm, Outgoing out) {
    if (out.to != vm.member.peer) {
      ++sent[std::to_string(out.message.index())];
      if (drop(out) || drop_between(vm.member.peer, out.to)) return;
    }
    queue_.push_back({now_, vm.member.peer, std::move(out)});
  }
  void Deliver(const PendingMessage& it) {
    for (Vm& vm : vms_) {
      if (vm.member.peer != it.out.to || !vm.alive) continue;
      const ScheduleMessage& message = it.out.message;
      if (const auto* request = std::get_if<ScheduleRequest>(&message)) {
        vm.scheduler->OnScheduleRequest(it.from, *request, now_);
      } else if (const auto* end = std::get_if<ScheduleEnd>(&message)) {
        vm.scheduler->OnEnd(it.from, *end, now_);
      } else if (const auto* update = std::get_if<CellUpdate>(&message)) {
        vm.scheduler->OnCellUpdate(*update, now_);
      } else if (const auto* reply = std::get_if<ScheduleReply>(&message)) {
        vm.planner->OnReply(it.from, *reply, now_);
      } else if (const auto* slow = std::get_if<SlowHost>(&message)) {
        vm.planner->OnSlowHost(*slow, now_);
      } else if (const auto* limits = std::get_if<LimitUpdate>(&message)) {
        vm.scheduler->OnLimitUpdate(it.from, *limits, now_);
      } else if (const auto* warmups = std::get_if<WarmupUpdate>(&message)) {
        vm.scheduler->OnWarmupUpdate(it.from, *warmups, now_);
      } else if (const auto* notice = std::get_if<ServerNotice>(&message)) {
        vm.planner->OnNotice(*notice, now_);
        vm.scheduler->OnNotice(*notice, now_);
      }
    }
  }

  MonotonicTime now_{std::chrono::hours(1)};
  std::vector<Vm> vms_;
  std::vector<BackendServer> servers_;
  ListedServers listed_;
  std::deque<PendingMessage> queue_;
  std::vector<ReadyChoice> ready_;
  std::map<BackendServerId, Report> reports_;
};

// Four entry VMs and six servers in each failure domain, unless a test sets up others.
class ScheduleFixture : public CppUnit::TestFixture {
 public:
  void setUp() override { SetUpFleet(4, 6); }

 protected:
  static RetrySettings LargeRetryBudget() {
    RetrySettings retry_settings;
    retry_settings.slack = 10000;
    return retry_settings;
  }
  void SetUpFleet(size_t per_failure_domain, size_t servers,
                  RetrySettings retry_settings = LargeRetryBudget()) {
    fleet_ = std::make_unique<TestFleet>(per_failure_domain, servers, retry_settings);
  }
  ChoiceRequest Request() {
    ChoiceRequest request;
    request.ticket = next_ticket_++;
    request.service = ServiceId("service");
    request.deadline = fleet_->Now() + std::chrono::milliseconds(2000);
    request.target = fleet_->Now() + std::chrono::milliseconds(400);
    request.target_latency = std::chrono::milliseconds(400);
    request.repeatable = true;
    request.rank = 1;
    return request;
  }
  void Choose(TestFleet::Vm& vm) {
    CPPUNIT_ASSERT(std::holds_alternative<Wait>(vm.planner->Choose(Request(), fleet_->Now())));
  }
  std::vector<SendTo> Sent() {
    std::vector<SendTo> sent;
    for (const ReadyChoice& ready : fleet_->TakeReady()) {
      if (const auto* send = std::get_if<SendTo>(&ready)) sent.push_back(*send);
    }
    return sent;
  }
  static AttemptResult Answered() {
    return {AttemptEnd::kAnswered, std::chrono::milliseconds(100), std::nullopt};
  }
  void EndAttempt(TestFleet::Vm& vm, const SendTo& send, AttemptEnd end) {
    vm.planner->OnEnded(send.ticket, send.server,
                        {end, std::chrono::milliseconds(10), std::nullopt}, fleet_->Now());
  }

  std::unique_ptr<TestFleet> fleet_;
  Ticket next_ticket_ = 1;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_TESTS_SCHEDULE_FLEET_H_
