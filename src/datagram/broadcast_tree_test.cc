#include "src/datagram/broadcast_tree.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

namespace cowsliphill {
namespace {

class BroadcastTreeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BroadcastTreeTest);
  CPPUNIT_TEST(Broadcast_ToFleetsOfAnySize_ReachesEachOnceWithFewDatagramsEach);
  CPPUNIT_TEST(Broadcast_InASmallFleet_IsSentDirectly);
  CPPUNIT_TEST(Broadcasts_WithAThirdDead_ReachTheOthersWithinASecondOfUpdates);
  CPPUNIT_TEST(Broadcasts_WithHalfDead_ReachTheOthersWithinTwoSecondsOfUpdates);
  CPPUNIT_TEST(Broadcasts_WhileMembersDisagree_ReachAllThatMostKnow);
  CPPUNIT_TEST(Broadcast_WithAllLargestDead_TakesOtherWaysWithTheNextSeed);
  CPPUNIT_TEST(Broadcast_SuspectAndLeaving_GetItAndForwardNothing);
  CPPUNIT_TEST(Message_EncodedAndDecoded_IsUnchanged);
  CPPUNIT_TEST(Message_TooShort_IsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Broadcast_ToFleetsOfAnySize_ReachesEachOnceWithFewDatagramsEach() {
    for (const size_t n : {21U, 60U, 129U, 473U, 1283U, 2500U}) {
      const TestFleet fleet(n, kDomains);
      for (uint32_t seed = 1; seed <= 4; ++seed) {
        const Outcome outcome = fleet.Broadcast(0, seed);
        CPPUNIT_ASSERT_EQUAL(n - 1, outcome.reached.size());
        CPPUNIT_ASSERT(outcome.most_sent <= BroadcastTree::kFanOut + kDomains - 1);
        CPPUNIT_ASSERT(outcome.depth <= 4);
        // The sender and the relays may get a copy from below their children.
        CPPUNIT_ASSERT(outcome.datagrams <= n - 1 + kDomains);
      }
    }
  }

  void Broadcast_InASmallFleet_IsSentDirectly() {
    const TestFleet fleet(21, kDomains);
    const Outcome outcome = fleet.Broadcast(3, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{20}, outcome.reached.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, outcome.depth);
  }

  // The store reader sends four updates a second. An entry VM that gets none for a second or more
  // reads the store; that must be few.
  void Broadcasts_WithAThirdDead_ReachTheOthersWithinASecondOfUpdates() {
    CPPUNIT_ASSERT(ShareMissedAfter(4, 1.0 / 3) <= 0.1);
  }
  void Broadcasts_WithHalfDead_ReachTheOthersWithinTwoSecondsOfUpdates() {
    CPPUNIT_ASSERT(ShareMissedAfter(8, 0.5) <= 0.1);
  }

  void Broadcasts_WhileMembersDisagree_ReachAllThatMostKnow() {
    TestFleet fleet(473, kDomains);
    std::mt19937 random(7);
    fleet.ForgetSome(0.1, random);
    std::set<size_t> reached;
    for (uint32_t seed = 1; seed <= 4; ++seed) reached.merge(fleet.Broadcast(0, seed).reached);
    CPPUNIT_ASSERT(reached.size() >= 470);
  }

  void Broadcast_WithAllLargestDead_TakesOtherWaysWithTheNextSeed() {
    TestFleet fleet(473, kDomains);
    fleet.KillLarge();
    const size_t live = fleet.Live();
    CPPUNIT_ASSERT(fleet.Broadcast(fleet.FirstLive(), 2).reached.size() < live / 2);
    CPPUNIT_ASSERT(fleet.Broadcast(fleet.FirstLive(), 3).reached.size() > live * 3 / 4);
  }

  void Broadcast_SuspectAndLeaving_GetItAndForwardNothing() {
    TestFleet fleet(129, kDomains);
    fleet.SetStates(1, 60, MemberState::kSuspect);
    fleet.SetStates(60, 100, MemberState::kLeaving);
    for (uint32_t seed = 1; seed <= 4; ++seed) {
      const Outcome outcome = fleet.Broadcast(0, seed);
      CPPUNIT_ASSERT_EQUAL(size_t{128}, outcome.reached.size());
      for (const size_t it : outcome.forwarders) CPPUNIT_ASSERT(it == 0 || it >= 100);
    }
  }

  void Message_EncodedAndDecoded_IsUnchanged() {
    const auto message = DecodeBroadcast(EncodeBroadcast({7, 8, 0xfffffff0}, "payload"));
    CPPUNIT_ASSERT(message.has_value());
    CPPUNIT_ASSERT_EQUAL(uint32_t{7}, message->range.seed);
    CPPUNIT_ASSERT_EQUAL(uint32_t{8}, message->range.first);
    CPPUNIT_ASSERT_EQUAL(uint32_t{0xfffffff0}, message->range.last);
    CPPUNIT_ASSERT_EQUAL(std::string("payload"), message->payload);
    CPPUNIT_ASSERT(BroadcastRange{1}.IsWhole() && !message->range.IsWhole());
  }

  void Message_TooShort_IsRejected() {
    CPPUNIT_ASSERT(!DecodeBroadcast(""));
    CPPUNIT_ASSERT(DecodeBroadcast("B123456789012")->payload.empty());
    CPPUNIT_ASSERT(!DecodeBroadcast("B12345678901"));
    CPPUNIT_ASSERT(!DecodeBroadcast("R123456789012345"));
  }

 private:
  static constexpr size_t kDomains = 5;

  struct Outcome {
    std::set<size_t> reached;     // Besides the sender.
    std::set<size_t> forwarders;  // Those that sent datagrams.
    size_t most_sent = 0;         // By one entry VM.
    size_t datagrams = 0;
    size_t depth = 0;
  };

  class TestFleet {
   public:
    TestFleet(size_t n, size_t domains) : dead_(n), trees_(n) {
      for (size_t i = 0; i < n; ++i) {
        Member member;
        member.id = EntryVmId("vm-" + std::to_string(i));
        member.peer = {"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1), 8382};
        member.failure_domain = FailureDomainId("p" + std::to_string(i % domains));
        member.millicores = i % 32 < domains ? 500 : 100;
        by_peer_[member.peer] = i;
        members_.push_back(member);
      }
      Distribute();
    }
    void Kill(double share, std::mt19937& random) {
      std::bernoulli_distribution dies(share);
      for (size_t i = 1; i < dead_.size(); ++i) dead_[i] = dies(random);
    }
    void KillLarge() {
      for (size_t i = 0; i < dead_.size(); ++i) dead_[i] = members_[i].millicores > 100;
    }
    void SetStates(size_t begin, size_t end, MemberState state) {
      for (size_t i = begin; i < end; ++i) members_[i].state = state;
      Distribute();
    }
    // Each entry VM forgets a random share of the others.
    void ForgetSome(double share, std::mt19937& random) {
      std::bernoulli_distribution forgets(share);
      for (size_t i = 0; i < trees_.size(); ++i) {
        std::vector<Member> known = Others(i);
        std::erase_if(known, [&](const Member&) { return forgets(random); });
        trees_[i].SetMembers(members_[i].failure_domain, known);
      }
    }
    size_t Live() const {
      return static_cast<size_t>(std::count(dead_.begin(), dead_.end(), false));
    }
    size_t FirstLive() const {
      return static_cast<size_t>(std::find(dead_.begin(), dead_.end(), false) - dead_.begin());
    }

    Outcome Broadcast(size_t sender, uint32_t seed) const {
      struct Copy {
        size_t at = 0;
        size_t from = 0;
        std::optional<BroadcastRange> range;
        size_t depth = 0;
      };
      Outcome outcome;
      std::deque<Copy> copies;
      const auto send = [&](size_t from, const std::vector<BroadcastHop>& hops, size_t depth) {
        if (hops.empty()) return;
        outcome.most_sent = std::max(outcome.most_sent, hops.size());
        outcome.datagrams += hops.size();
        outcome.forwarders.insert(from);
        for (const BroadcastHop& it : hops) {
          copies.push_back({by_peer_.at(it.to), from, it.forward, depth});
        }
      };
      send(sender, trees_[sender].Start(seed), 1);
      while (!copies.empty()) {
        const Copy copy = copies.front();
        copies.pop_front();
        if (dead_[copy.at]) continue;
        outcome.depth = std::max(outcome.depth, copy.depth);
        if (copy.at != sender) outcome.reached.insert(copy.at);
        if (!copy.range) continue;
        send(copy.at, trees_[copy.at].Forward(*copy.range, members_[copy.from].peer),
             copy.depth + 1);
      }
      return outcome;
    }

   private:
    std::vector<Member> Others(size_t i) const {
      std::vector<Member> others = members_;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
      return others;
    }
    void Distribute() {
      for (size_t i = 0; i < trees_.size(); ++i) {
        trees_[i].SetMembers(members_[i].failure_domain, Others(i));
      }
    }

    std::vector<Member> members_;
    std::vector<bool> dead_;
    std::map<Endpoint, size_t> by_peer_;
    std::vector<BroadcastTree> trees_;
  };

  // Share of the live entry VMs that none of so many broadcasts reaches, while the members do not
  // know yet which ones are dead.
  static double ShareMissedAfter(uint32_t broadcasts, double dead_share) {
    std::mt19937 random(3);
    size_t missed = 0;
    size_t live = 0;
    TestFleet fleet(473, kDomains);
    for (uint32_t trial = 0; trial < 10; ++trial) {
      fleet.Kill(dead_share, random);
      std::set<size_t> reached;
      for (uint32_t i = 0; i < broadcasts; ++i) {
        reached.merge(fleet.Broadcast(0, trial * 100 + i).reached);
      }
      live += fleet.Live() - 1;
      missed += fleet.Live() - 1 - reached.size();
    }
    return static_cast<double>(missed) / static_cast<double>(live);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BroadcastTreeTest);

}  // namespace
}  // namespace cowsliphill
