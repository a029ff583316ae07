// Many Membership machines on virtual time, for tests and measurements: loss, cuts, pauses, kills.

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
    std::unique_ptr<Membership> machine;
    bool up = true;
    bool paused = false;
    int side = 0;                // Nodes of different sides can't reach each other when cut.
    uint64_t bytes_sent = 0;     // Payloads, requests and replies.
    uint64_t messages_sent = 0;  // Requests and replies.
    uint64_t most_payload = 0;   // Longest payload sent.
    std::vector<std::pair<MonotonicTime, MemberChange>> changes;
  };

  explicit VirtualNetwork(uint64_t seed) : random_(seed) {}

  // Adds a started node. Its address is unique unless `address` is given.
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
    node->machine =
        std::make_unique<Membership>(std::move(config), node->self, random_(), clock_.Now());
    by_address_[node->self.peer] = index;
    nodes_.push_back(std::move(node));
    ScheduleTick(index, std::chrono::milliseconds(random_() % kTick.count()));
    return index;
  }

  // Adds `n` nodes that know the first one as their seed.
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

  // Runs until the condition holds; false when it doesn't within `most`.
  bool RunUntil(const std::function<bool()>& condition, Duration most) {
    const MonotonicTime end = clock_.Now() + most;
    while (!condition()) {
      if (clock_.Now() >= end) return false;
      Run(kTick);
    }
    return true;
  }

  void Kill(size_t i) { nodes_[i]->up = false; }
  void Pause(size_t i) { nodes_[i]->paused = true; }
  void Resume(size_t i) {
    nodes_[i]->paused = false;
    std::vector<std::function<void()>> waiting = std::exchange(held_[i], {});
    for (auto& event : waiting) After(Duration(0), std::move(event));
  }
  void SetSide(size_t i, int side) { nodes_[i]->side = side; }
  void Cut() { cut_ = true; }
  void Heal() { cut_ = false; }
  void SetLoss(double loss) { loss_ = loss; }

  Node& At(size_t i) { return *nodes_[i]; }
  size_t Size() const { return nodes_.size(); }
  MonotonicTime Now() const { return clock_.Now(); }
  static std::string Ip(size_t i) {
    return "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1);
  }

  // Every running node that is neither paused nor cut sees exactly the others of its kind alive.
  bool Agreed() const {
    std::set<EntryVmId> running;
    for (const auto& node : nodes_) {
      if (node->up && !node->paused) running.insert(node->self.id);
    }
    return std::all_of(nodes_.begin(), nodes_.end(), [&running](const auto& node) {
      if (!node->up || node->paused) return true;
      std::set<EntryVmId> seen = {node->self.id};
      for (const Member& member : node->machine->Live()) {
        if (member.state != MemberState::kSuspect) seen.insert(member.id);
      }
      return seen == running;
    });
  }

  // Carries out what the machine of node `i` asks for.
  void Act(size_t i) {
    for (MembershipAction& action : nodes_[i]->machine->TakeActions()) {
      if (auto* send = std::get_if<SendGossip>(&action)) {
        Deliver(i, std::move(*send));
      } else {
        nodes_[i]->changes.emplace_back(clock_.Now(), std::get<MemberChange>(action));
      }
    }
  }

 private:
  static constexpr std::chrono::milliseconds kTick{100};
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

  // Runs it on node `i`: later when paused, never when killed.
  void On(size_t i, std::function<void()> event) {
    if (!nodes_[i]->up) return;
    if (nodes_[i]->paused) {
      held_[i].push_back(std::move(event));
      return;
    }
    event();
    Act(i);
  }

  void ScheduleTick(size_t i, Duration delay) {
    After(delay, [this, i] {
      On(i, [this, i] {
        nodes_[i]->machine->Tick(clock_.Now());
        ScheduleTick(i, kTick);
      });
    });
  }

  bool Lost() { return std::uniform_real_distribution<double>(0, 1)(random_) < loss_; }
  bool Reaches(size_t from, size_t to) const {
    return !cut_ || nodes_[from]->side == nodes_[to]->side;
  }

  void CountSent(size_t i, const std::string& payload) {
    nodes_[i]->bytes_sent += payload.size();
    nodes_[i]->messages_sent += 1;
    nodes_[i]->most_payload = std::max<uint64_t>(nodes_[i]->most_payload, payload.size());
  }

  void Deliver(size_t from, SendGossip send) {
    CountSent(from, send.payload);
    const GossipTag tag = send.tag;
    const auto address = by_address_.find(send.to);
    const bool nobody = address == by_address_.end() || !nodes_[address->second]->up;
    if (nobody) {
      After(kLatency, [this, from, tag] { Fail(from, tag); });
      return;
    }
    After(kRequestTimeout, [this, from, tag] { Fail(from, tag); });
    const size_t to = address->second;
    if (Lost() || !Reaches(from, to)) return;
    After(kLatency, [this, from, to, tag, payload = std::move(send.payload)] {
      On(to, [this, from, to, tag, payload] { Answer(from, to, tag, payload); });
    });
  }

  void Answer(size_t from, size_t to, GossipTag tag, const std::string& payload) {
    std::string reply = nodes_[to]->machine->Receive(clock_.Now(), nodes_[from]->self.id, payload);
    CountSent(to, reply);
    if (Lost() || !Reaches(from, to)) return;
    After(kLatency, [this, from, tag, reply = std::move(reply)] {
      On(from,
         [this, from, tag, reply] { nodes_[from]->machine->OnReply(clock_.Now(), tag, reply); });
    });
  }

  void Fail(size_t from, GossipTag tag) {
    On(from, [this, from, tag] { nodes_[from]->machine->OnRequestFailed(tag); });
  }

  ManualClock clock_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<Endpoint, size_t> by_address_;
  std::multimap<MonotonicTime, std::function<void()>> events_;
  std::map<size_t, std::vector<std::function<void()>>> held_;  // Events of paused nodes.
  bool cut_ = false;
  double loss_ = 0;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_TESTS_VIRTUAL_NETWORK_H_
