// Simulates a network of Membership state machines on virtual time, for tests and benchmarks. It
// can lose messages, partition the network and pause or kill nodes.

#ifndef COWSLIPHILL_TESTS_VIRTUAL_NETWORK_H_
#define COWSLIPHILL_TESTS_VIRTUAL_NETWORK_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/base/clock.h"
#include "src/members/membership.h"

namespace cowsliphill {

class VirtualNetwork {
 public:
  struct Node {
    Member self;
    std::unique_ptr<Membership> membership;
    bool up = true;
    bool paused = false;
    int partition = 0;               // Partition that the node is in while the network is cut.
    uint64_t bytes_sent = 0;         // Payload bytes of requests and replies.
    uint64_t messages_sent = 0;      // Number of requests and replies.
    uint64_t max_payload_bytes = 0;  // Size of the largest payload sent.
    std::vector<std::pair<MonotonicTime, MemberChange>> changes;
  };

  explicit VirtualNetwork(uint64_t seed) : random_(seed) {}

  // Adds a running node and returns its index. The address is unique unless `address` is given.
  size_t Add(MembershipConfig config, int failure_domains = 3, int regions = 1, int address = -1) {
    const size_t index = nodes_.size();
    const size_t number = address < 0 ? index : static_cast<size_t>(address);
    auto node = std::make_unique<Node>();
    node->self.id = EntryVmId("vm-" + std::to_string(index) + "-0123456789");
    node->self.edge = {Ip(number), 8080};
    node->self.peer = {Ip(number), 8081};
    node->self.failure_domain =
        FailureDomainId("place-" + std::to_string(number % static_cast<size_t>(failure_domains)));
    node->self.region = RegionId("region-" + std::to_string(number % static_cast<size_t>(regions)));
    node->membership =
        std::make_unique<Membership>(std::move(config), node->self, random_(), clock_.Now());
    by_address_[node->self.peer] = index;
    nodes_.push_back(std::move(node));
    ScheduleTick(index, std::chrono::milliseconds(random_() % kTickInterval.count()));
    return index;
  }

  // Adds `n` nodes that use node 0 as their seed.
  void AddMany(size_t n, const MembershipConfig& config = {}, int failure_domains = 3,
               int regions = 1) {
    for (size_t i = 0; i < n; ++i) {
      MembershipConfig with_seed = config;
      with_seed.seeds = {{Ip(0), 8081}};
      Add(std::move(with_seed), failure_domains, regions);
    }
  }

  void Run(Duration time) {
    const MonotonicTime end = clock_.Now() + time;
    while (!events_.empty() && events_.begin()->first <= end) Step();
    clock_.Advance(end - clock_.Now());
  }

  // Runs until the condition holds. Returns false if it doesn't hold within `timeout`.
  bool RunUntil(const std::function<bool()>& condition, Duration timeout) {
    const MonotonicTime end = clock_.Now() + timeout;
    while (!condition()) {
      if (clock_.Now() >= end) return false;
      Run(kTickInterval);
    }
    return true;
  }

  void Kill(size_t i) { nodes_[i]->up = false; }
  void Pause(size_t i) { nodes_[i]->paused = true; }
  void Resume(size_t i) {
    nodes_[i]->paused = false;
    std::vector<std::function<void()>> events = std::exchange(deferred_[i], {});
    for (auto& event : events) After(Duration(0), std::move(event));
  }
  void SetPartition(size_t i, int partition) { nodes_[i]->partition = partition; }
  // Cuts the network between nodes in different partitions until Heal.
  void StartPartition() { partitioned_ = true; }
  void Heal() { partitioned_ = false; }
  void SetLoss(double loss) { loss_ = loss; }

  Node& At(size_t i) { return *nodes_[i]; }
  size_t Size() const { return nodes_.size(); }
  MonotonicTime Now() const { return clock_.Now(); }
  static std::string Ip(size_t i) {
    return "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1);
  }

  // True if every running, unpaused node sees exactly the other running, unpaused nodes as alive.
  bool MembershipConverged() const {
    std::set<EntryVmId> running;
    for (const auto& node : nodes_) {
      if (node->up && !node->paused) running.insert(node->self.id);
    }
    return std::all_of(nodes_.begin(), nodes_.end(), [&running](const auto& node) {
      if (!node->up || node->paused) return true;
      std::set<EntryVmId> seen_alive = {node->self.id};
      for (const Member& member : node->membership->Live()) {
        if (member.state != MemberState::kSuspect) seen_alive.insert(member.id);
      }
      return seen_alive == running;
    });
  }

  // Carries out the pending actions of the membership of node `i`.
  void ApplyActions(size_t i) {
    for (MembershipAction& action : nodes_[i]->membership->TakeActions()) {
      if (auto* send = std::get_if<SendGossip>(&action)) {
        Deliver(i, std::move(*send));
      } else {
        nodes_[i]->changes.emplace_back(clock_.Now(), std::get<MemberChange>(action));
      }
    }
  }

 private:
  static constexpr std::chrono::milliseconds kTickInterval{100};
  static constexpr std::chrono::milliseconds kRequestTimeout{1000};
  static constexpr std::chrono::microseconds kLatency{1500};

  void After(Duration delay, std::function<void()> event) {
    events_.emplace(clock_.Now() + delay, std::move(event));
  }

  void Step() {
    auto event = events_.extract(events_.begin());
    clock_.Advance(event.key() - clock_.Now());
    event.mapped()();
  }

  // Runs an event on node `i`. Defers it while the node is paused; discards it if the node is
  // killed.
  void RunOn(size_t i, std::function<void()> event) {
    if (!nodes_[i]->up) return;
    if (nodes_[i]->paused) {
      deferred_[i].push_back(std::move(event));
      return;
    }
    event();
    ApplyActions(i);
  }

  void ScheduleTick(size_t i, Duration delay) {
    After(delay, [this, i] {
      RunOn(i, [this, i] {
        nodes_[i]->membership->Tick(clock_.Now());
        ScheduleTick(i, kTickInterval);
      });
    });
  }

  bool IsLost() { return std::uniform_real_distribution<double>(0, 1)(random_) < loss_; }
  bool CanReach(size_t from, size_t to) const {
    return !partitioned_ || nodes_[from]->partition == nodes_[to]->partition;
  }

  void CountSent(size_t i, const std::string& payload) {
    nodes_[i]->bytes_sent += payload.size();
    nodes_[i]->messages_sent += 1;
    nodes_[i]->max_payload_bytes = std::max<uint64_t>(nodes_[i]->max_payload_bytes, payload.size());
  }

  void Deliver(size_t from, SendGossip send) {
    CountSent(from, send.payload);
    const GossipTag tag = send.tag;
    const auto address = by_address_.find(send.to);
    const bool unreachable = address == by_address_.end() || !nodes_[address->second]->up;
    if (unreachable) {
      After(kLatency, [this, from, tag] { Fail(from, tag); });
      return;
    }
    After(kRequestTimeout, [this, from, tag] { Fail(from, tag); });
    const size_t to = address->second;
    if (IsLost() || !CanReach(from, to)) return;
    After(kLatency, [this, from, to, tag, payload = std::move(send.payload)] {
      RunOn(to, [this, from, to, tag, payload] { Answer(from, to, tag, payload); });
    });
  }

  void Answer(size_t from, size_t to, GossipTag tag, const std::string& payload) {
    std::string reply =
        nodes_[to]->membership->Receive(clock_.Now(), nodes_[from]->self.id, payload);
    CountSent(to, reply);
    if (IsLost() || !CanReach(from, to)) return;
    After(kLatency, [this, from, tag, reply = std::move(reply)] {
      RunOn(from, [this, from, tag, reply] {
        nodes_[from]->membership->OnReply(clock_.Now(), tag, reply);
      });
    });
  }

  void Fail(size_t from, GossipTag tag) {
    RunOn(from, [this, from, tag] { nodes_[from]->membership->OnRequestFailed(tag); });
  }

  ManualClock clock_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<Endpoint, size_t> by_address_;
  std::multimap<MonotonicTime, std::function<void()>> events_;
  // Events of paused nodes, run on Resume.
  std::map<size_t, std::vector<std::function<void()>>> deferred_;
  bool partitioned_ = false;
  double loss_ = 0;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_TESTS_VIRTUAL_NETWORK_H_
