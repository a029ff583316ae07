// Runs the workspace limits of many entry VMs on virtual time, with requests that arrive at random
// and a network that delays and loses messages. Keeps count of what is admitted.

#ifndef COWSLIPHILL_TESTS_QUOTA_FLEET_H_
#define COWSLIPHILL_TESTS_QUOTA_FLEET_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "src/schedule/schedule_message.h"
#include "src/workspace/workspace_quota.h"

namespace cowsliphill {

struct QuotaLoad {
  TenantId workspace;
  double rate = 0;  // Requests per second at all entry VMs.
  // Part of the requests that go to one entry VM, which changes every `shift`.
  double busiest = 0.5;
  std::chrono::milliseconds shift{3000};
};

class QuotaFleet {
 public:
  struct Vm {
    Member member;
    std::unique_ptr<WorkspaceQuota> quota;
    bool alive = true;
    MonotonicTime paused_until{};
    std::vector<std::pair<Endpoint, UsageMessage>> inbox;  // Arrived while it was paused.
  };
  struct Count {
    std::vector<MonotonicTime> assigned;
    uint64_t arrived = 0;
    uint64_t refused = 0;
  };

  QuotaFleet(size_t n, uint32_t seed) : random_(seed) {
    for (size_t i = 0; i < n; ++i) {
      Vm& vm = vms_.emplace_back();
      vm.member.id = EntryVmId("vm" + std::to_string(i) + "-" + std::to_string(seed));
      vm.member.peer = {"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250), 7200};
      vm.member.failure_domain = FailureDomainId("domain" + std::to_string(i % 5));
      vm.member.millicores = 2000;
      Start(vm);
    }
    UpdateMembers();
  }

  void Start(Vm& vm) {
    vm.quota = std::make_unique<WorkspaceQuota>(vm.member.peer, random_(), now_);
    vm.alive = true;
  }
  void SetLimit(const std::string& workspace, double rate, double burst) {
    Workspace it;
    it.id = TenantId(workspace);
    it.rate = rate;
    it.burst = burst;
    std::erase_if(manifest_.workspaces, [&it](const Workspace& old) { return old.id == it.id; });
    manifest_.workspaces.push_back(it);
    for (Vm& vm : vms_) vm.quota->ApplyManifest(manifest_, now_);
  }
  std::vector<Member> LiveMembers() const {
    std::vector<Member> members;
    for (const Vm& vm : vms_) {
      if (vm.alive) members.push_back(vm.member);
    }
    return members;
  }
  void UpdateMembers() {
    const std::vector<Member> members = LiveMembers();
    for (Vm& vm : vms_) vm.quota->SetMembers(members, now_);
  }
  Vm& FirstOwnerOf(const std::string& workspace) {
    LimitOwners owners;
    owners.SetMembers(LiveMembers());
    const Endpoint first = owners.OfGroup(LimitOwners::GroupOf(HashName(workspace))).front();
    return *std::find_if(vms_.begin(), vms_.end(),
                         [&first](const Vm& vm) { return vm.member.peer == first; });
  }

  // `loads` are the workspaces' requests during this time.
  void Run(Duration time, const std::vector<QuotaLoad>& loads) {
    const MonotonicTime end = now_ + time;
    while (now_ < end) {
      now_ += std::chrono::milliseconds(1);
      for (const QuotaLoad& load : loads) Arrive(load);
      while (!assignments_.empty() && assignments_.top().due <= now_) {
        const Assignment it = assignments_.top();
        assignments_.pop();
        Vm& vm = vms_[it.vm];
        if (!vm.alive) continue;
        vm.quota->Limits().Consume(it.workspace, now_);
        counts[it.workspace].assigned.push_back(now_);
      }
      while (!network_.empty() && network_.begin()->first <= now_) {
        const auto [from, out] = network_.begin()->second;
        network_.erase(network_.begin());
        Deliver(from, out);
      }
      for (Vm& vm : vms_) {
        if (!vm.alive || vm.paused_until > now_) continue;
        for (const auto& [from, message] : std::exchange(vm.inbox, {})) Handle(vm, from, message);
        vm.quota->Tick(now_);
        Send(vm);
      }
    }
  }

  Count& Of(const std::string& workspace) { return counts[HashName(workspace)]; }
  // The most requests assigned in any time span of 5 s that begins at `from` or later.
  size_t MostInWindow(const std::string& workspace, MonotonicTime from = {}) {
    const std::vector<MonotonicTime>& times = Of(workspace).assigned;
    size_t most = 0;
    size_t first = 0;
    for (size_t i = 0; i < times.size(); ++i) {
      while (times[first] < from || times[i] - times[first] >= std::chrono::seconds(5)) {
        if (++first > i) break;
      }
      most = std::max(most, i + 1 - first);
    }
    return most;
  }
  Vm& At(size_t i) { return vms_[i]; }
  size_t Size() const { return vms_.size(); }
  MonotonicTime Now() const { return now_; }

  std::map<WorkspaceHash, Count> counts;
  std::chrono::milliseconds min_delay{1};
  std::chrono::milliseconds max_delay{100};
  double loss = 0.05;
  std::chrono::milliseconds max_wait{50};  // Time until a server is assigned, at most.
  std::function<bool(const Endpoint& from, const Endpoint& to)> cut =
      [](const Endpoint&, const Endpoint&) { return false; };
  uint64_t messages = 0;  // Between different entry VMs.
  uint64_t bytes = 0;
  size_t largest = 0;

 private:
  struct Assignment {
    MonotonicTime due;
    size_t vm = 0;
    WorkspaceHash workspace = 0;
    bool operator<(const Assignment& other) const { return due > other.due; }
  };

  Duration Between(std::chrono::milliseconds a, std::chrono::milliseconds b) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<int64_t>(a.count(), b.count())(random_));
  }
  void Arrive(const QuotaLoad& load) {
    const WorkspaceHash workspace = HashName(load.workspace.Text());
    Count& count = counts[workspace];
    const int n = std::poisson_distribution<int>(load.rate / 1000)(random_);
    const size_t busiest =
        static_cast<size_t>(now_.time_since_epoch() / load.shift) * 7 % vms_.size();
    for (int i = 0; i < n; ++i) {
      const bool to_busiest = std::bernoulli_distribution(load.busiest)(random_);
      size_t at = to_busiest ? busiest : random_() % vms_.size();
      if (!vms_[at].alive || vms_[at].paused_until > now_) at = (at + 1) % vms_.size();
      Vm& vm = vms_[at];
      if (!vm.alive || vm.paused_until > now_) continue;
      ++count.arrived;
      if (vm.quota->Limits().Admit(workspace, now_)) {
        assignments_.push({now_ + Between(std::chrono::milliseconds(0), max_wait), at, workspace});
      } else {
        ++count.refused;
      }
    }
  }
  void Send(Vm& vm) {
    for (OutgoingUsage& out : vm.quota->TakeOutbox()) {
      if (out.to == vm.member.peer) {
        Handle(vm, out.to, out.message);
        continue;
      }
      const std::string bytes_sent = std::visit(
          [](const auto& it) { return EncodeScheduleMessage(ScheduleMessage(it)); }, out.message);
      ++messages;
      bytes += bytes_sent.size();
      largest = std::max(largest, bytes_sent.size());
      if (std::bernoulli_distribution(loss)(random_) || cut(vm.member.peer, out.to)) continue;
      const auto decoded = DecodeScheduleMessage(bytes_sent);
      OutgoingUsage copy;
      copy.to = out.to;
      if (const auto* report = std::get_if<UsageReport>(&*decoded)) copy.message = *report;
      if (const auto* answer = std::get_if<UsageAnswer>(&*decoded)) copy.message = *answer;
      network_.emplace(now_ + Between(min_delay, max_delay),
                       std::make_pair(vm.member.peer, std::move(copy)));
    }
  }
  void Deliver(const Endpoint& from, const OutgoingUsage& out) {
    for (Vm& vm : vms_) {
      if (vm.member.peer != out.to || !vm.alive) continue;
      if (vm.paused_until > now_) {
        vm.inbox.emplace_back(from, out.message);
      } else {
        Handle(vm, from, out.message);
        Send(vm);
      }
    }
  }
  void Handle(Vm& vm, const Endpoint& from, const UsageMessage& message) {
    if (const auto* report = std::get_if<UsageReport>(&message)) {
      vm.quota->OnReport(from, *report, now_);
    } else {
      vm.quota->OnAnswer(from, std::get<UsageAnswer>(message), now_);
    }
  }

  MonotonicTime now_{std::chrono::hours(1)};
  std::mt19937 random_;
  std::vector<Vm> vms_;
  Manifest manifest_;
  std::priority_queue<Assignment> assignments_;
  std::multimap<MonotonicTime, std::pair<Endpoint, OutgoingUsage>> network_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_TESTS_QUOTA_FLEET_H_
