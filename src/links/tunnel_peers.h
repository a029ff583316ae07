// Which entry VM a tunnel leads through. Pure: randomness is passed in.
//
// Only entry VMs that have their own links are asked. Each entry VM prefers a few of them, drawn by
// rendezvous hashing in proportion to their processor share. So the tunnels of many entry VMs
// spread over all that can carry them, and each needs only a few connections.
//
// One of the own failure domain is asked first, because it is near; then those of others, because
// what has broken the links of this entry VM may have broken those of its neighbours.

#ifndef COWSLIPHILL_LINKS_TUNNEL_PEERS_H_
#define COWSLIPHILL_LINKS_TUNNEL_PEERS_H_

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/members/peer.h"

namespace cowsliphill {

class TunnelPeers {
 public:
  // Number of entry VMs of a failure domain among which tunnels are spread at random.
  static constexpr size_t kPreferred = 3;
  // Time for which one is avoided that did not answer, or had no links or no room.
  static constexpr std::chrono::milliseconds kAvoidTime{1000};

  explicit TunnelPeers(uint64_t seed) : random_(seed) {}

  // Replaces the list of live entry VMs.
  void SetMembers(const Member& self, const std::vector<Member>& members) {
    near_.clear();
    far_.clear();
    std::vector<std::pair<double, Endpoint>> near;
    std::vector<std::pair<double, Endpoint>> far;
    for (const Member& it : members) {
      if (it.id == self.id || it.state != MemberState::kAlive || it.links_lost) continue;
      auto& group = it.failure_domain == self.failure_domain ? near : far;
      group.emplace_back(Score(self, it), it.peer);
    }
    near_ = InOrder(std::move(near));
    far_ = InOrder(std::move(far));
    std::erase_if(avoided_until_, [&](const auto& it) {
      const auto lists = [&it](const std::vector<Endpoint>& peers) {
        return std::find(peers.begin(), peers.end(), it.first) != peers.end();
      };
      return !lists(near_) && !lists(far_);
    });
  }

  // Whether there is any entry VM to ask.
  bool Empty() const { return near_.empty() && far_.empty(); }

  // Whether a failure that this entry VM and `peer` have both seen may have the same cause in their
  // failure domain, and an entry VM of another one can be asked.
  bool HasIndependentOf(const Endpoint& peer) const {
    return !far_.empty() && std::find(near_.begin(), near_.end(), peer) != near_.end();
  }

  // Returns an entry VM that is not in `tried`; nullopt if there is none. One that is to be avoided
  // is returned only if there is no other.
  std::optional<Endpoint> Pick(const std::vector<Endpoint>& tried, MonotonicTime now) {
    const std::vector<Endpoint>* first = tried.empty() ? &near_ : &far_;
    const std::vector<Endpoint>* second = tried.empty() ? &far_ : &near_;
    for (const bool avoid : {true, false}) {
      for (const std::vector<Endpoint>* group : {first, second}) {
        std::vector<Endpoint> candidates;
        for (const Endpoint& it : *group) {
          if (candidates.size() == kPreferred) break;
          const bool was_tried = std::find(tried.begin(), tried.end(), it) != tried.end();
          if (!was_tried && !(avoid && IsAvoided(it, now))) candidates.push_back(it);
        }
        if (!candidates.empty()) return candidates[random_() % candidates.size()];
      }
    }
    return std::nullopt;
  }

  void Avoid(const Endpoint& peer, MonotonicTime now) { avoided_until_[peer] = now + kAvoidTime; }
  void OnAnswer(const Endpoint& peer) { avoided_until_.erase(peer); }

 private:
  // Weighted rendezvous hashing: the higher, the more preferred.
  static double Score(const Member& self, const Member& member) {
    const std::string text = self.id.Text() + "/" + member.id.Text();
    const uint64_t hash = XXH3_64bits(text.data(), text.size());
    const double uniform = (static_cast<double>(hash >> 11) + 1) / 9007199254740994.0;  // (0, 1)
    return static_cast<double>(std::max<uint32_t>(member.millicores, 1)) / -std::log(uniform);
  }
  static std::vector<Endpoint> InOrder(std::vector<std::pair<double, Endpoint>> scored) {
    std::sort(scored.begin(), scored.end(), std::greater<>());
    std::vector<Endpoint> order;
    order.reserve(scored.size());
    for (auto& it : scored) order.push_back(std::move(it.second));
    return order;
  }
  bool IsAvoided(const Endpoint& peer, MonotonicTime now) const {
    const auto it = avoided_until_.find(peer);
    return it != avoided_until_.end() && now < it->second;
  }

  std::mt19937_64 random_;
  std::vector<Endpoint> near_;  // Those of the own failure domain, the most preferred first.
  std::vector<Endpoint> far_;
  std::map<Endpoint, MonotonicTime> avoided_until_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_LINKS_TUNNEL_PEERS_H_
