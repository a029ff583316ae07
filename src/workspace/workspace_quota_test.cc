// The limits of workspaces over many entry VMs, with delayed and lost messages.

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "tests/quota_fleet.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The usual load is 1 / 1.6 of the limit; a workspace in excess sends seven times as much.
constexpr double kUsual = 0.625;
constexpr double kExcess = 7 * kUsual;

class WorkspaceQuotaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkspaceQuotaTest);
  CPPUNIT_TEST(Excess_AtManySchedulers_StaysWithinTheBound);
  CPPUNIT_TEST(Load_BelowTheLimit_IsAdmitted);
  CPPUNIT_TEST(FirstOwner_Killed_ChangesNothing);
  CPPUNIT_TEST(FirstOwner_PausedForTwoSeconds_ChangesNothing);
  CPPUNIT_TEST(Owners_ByMembersThatDisagree_HoldTheBound);
  CPPUNIT_TEST(Scheduler_NeverAnswered_GetsASmallPart);
  CPPUNIT_TEST(Limit_LoweredToATenth_HoldsAtOnce);
  CPPUNIT_TEST(EntryVms_StartedAtOnceUnderExcess_HoldTheBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against schedulers that each use the whole limit before they know of each other, also
  // when the load rises again, and against buckets that swing between all and nothing.
  void Excess_AtManySchedulers_StaysWithinTheBound() {
    for (const WorkspaceLimit limit : kLimits) {
      for (const size_t n : {9, 100}) {
        for (const uint32_t seed : {1, 2}) {
          QuotaFleet fleet(n, seed);
          fleet.SetLimit("w", limit.rate, limit.burst);
          for (const double busiest : {0.0, 0.9}) {
            fleet.Run(seconds(4), {Load(limit, kUsual, busiest)});
            fleet.Run(seconds(8), {Load(limit, kExcess, busiest)});
            fleet.Run(seconds(2), {Load(limit, kUsual, busiest)});
            fleet.Run(seconds(5), {Load(limit, kExcess, busiest)});
          }
          AssertWithinBound(fleet, limit, Name(limit, n, seed));
        }
      }
    }
  }

  // Guards against shares of the limit that do not follow the requests to other entry VMs.
  void Load_BelowTheLimit_IsAdmitted() {
    for (const WorkspaceLimit limit : kLimits) {
      for (const size_t n : {9, 100}) {
        for (const double busiest : {0.0, 0.5}) {
          QuotaFleet fleet(n, 3);
          fleet.SetLimit("w", limit.rate, limit.burst);
          fleet.Run(seconds(8), {Load(limit, 0.6, busiest)});
          const auto before = fleet.Of("w");
          fleet.Run(seconds(limit.rate < 10 ? 200 : 15), {Load(limit, 0.6, busiest)});
          const auto arrived = static_cast<double>(fleet.Of("w").arrived - before.arrived);
          const auto refused = static_cast<double>(fleet.Of("w").refused - before.refused);
          CPPUNIT_ASSERT_MESSAGE(Name(limit, n, 3) + " refused " + std::to_string(refused) +
                                     " of " + std::to_string(arrived),
                                 refused <= 0.01 * arrived);
        }
      }
    }
  }

  // Members notice only after a while that the owner is gone.
  void FirstOwner_Killed_ChangesNothing() {
    QuotaFleet fleet = Started(4);
    fleet.FirstOwnerOf("w").alive = false;
    fleet.Run(seconds(1), {Load(kLarge, kExcess, 0.3)});
    fleet.UpdateMembers();
    fleet.Run(seconds(7), {Load(kLarge, kExcess, 0.3)});
    AssertWithinBound(fleet, kLarge, "seed 4");
    fleet.Run(seconds(3), {Load(kLarge, kUsual, 0.3)});
    fleet.FirstOwnerOf("w").alive = false;
    const QuotaFleet::Count before = fleet.Of("w");
    fleet.Run(seconds(1), {Load(kLarge, 0.6, 0.3)});
    fleet.UpdateMembers();
    fleet.Run(seconds(5), {Load(kLarge, 0.6, 0.3)});
    AssertAdmitted(fleet, before, 0.99);
  }

  // When it goes on, it answers by what it knew before the pause.
  void FirstOwner_PausedForTwoSeconds_ChangesNothing() {
    for (const double part : {0.6, kExcess}) {
      QuotaFleet fleet = Started(5);
      fleet.Run(seconds(2), {Load(kLarge, part, 0.3)});
      const QuotaFleet::Count before = fleet.Of("w");
      fleet.FirstOwnerOf("w").paused_until = fleet.Now() + seconds(2);
      fleet.Run(seconds(9), {Load(kLarge, part, 0.3)});
      AssertWithinBound(fleet, kLarge, "seed 5");
      if (part < 1) AssertAdmitted(fleet, before, 0.99);
    }
  }

  // A third of the entry VMs hold the first owner to be dead, so each owner misses some reports.
  void Owners_ByMembersThatDisagree_HoldTheBound() {
    QuotaFleet fleet = Started(6);
    const Endpoint first = fleet.FirstOwnerOf("w").member.peer;
    std::vector<Member> without = fleet.LiveMembers();
    std::erase_if(without, [&first](const Member& it) { return it.peer == first; });
    for (size_t i = 0; i < fleet.Size(); i += 3) {
      fleet.At(i).quota->SetMembers(without, fleet.Now());
    }
    fleet.Run(seconds(10), {Load(kLarge, kExcess, 0.3)});
    AssertWithinBound(fleet, kLarge, "seed 6");
  }

  // Guards against an entry VM without contact that uses the whole limit for itself.
  void Scheduler_NeverAnswered_GetsASmallPart() {
    QuotaFleet fleet(9, 7);
    fleet.cut = [](const Endpoint&, const Endpoint&) { return true; };
    fleet.SetLimit("w", kLarge.rate, kLarge.burst);
    WorkspaceLimits& limits = fleet.At(8).quota->Limits();
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
      fleet.Run(milliseconds(50), {});
      for (int k = 0; k < 10; ++k) {
        if (!limits.Admit(HashName("w"), fleet.Now())) continue;
        limits.Consume(HashName("w"), fleet.Now());
        ++admitted;
      }
    }
    // Two at the start and 0.02 of the rate for 5 s.
    CPPUNIT_ASSERT(admitted >= 25 && admitted <= 2 + 33);
  }

  // The old burst must not be used up after the change.
  void Limit_LoweredToATenth_HoldsAtOnce() {
    const WorkspaceLimit lower{kLarge.rate / 10, kLarge.burst / 10};
    QuotaFleet fleet = Started(8);
    fleet.SetLimit("w", lower.rate, lower.burst);
    const MonotonicTime changed_at = fleet.Now() + fleet.max_wait;
    fleet.Run(seconds(12), {Load(kLarge, kUsual, 0.3)});
    const size_t most = fleet.MostInWindow("w", changed_at);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(most), static_cast<double>(most) <= Bound(lower));
  }

  void EntryVms_StartedAtOnceUnderExcess_HoldTheBound() {
    for (const WorkspaceLimit limit : kLimits) {
      for (const uint32_t seed : {9, 10}) {
        QuotaFleet fleet(100, seed);
        fleet.SetLimit("w", limit.rate, limit.burst);
        fleet.Run(seconds(8), {Load(limit, kExcess, 0.1)});
        AssertWithinBound(fleet, limit, Name(limit, 100, seed));
      }
    }
  }

 private:
  static constexpr WorkspaceLimit kLarge{330, 330};
  static constexpr WorkspaceLimit kLimits[] = {{1, 1}, {1, 3}, {20, 20}, {330, 330}};

  static QuotaLoad Load(const WorkspaceLimit& limit, double part, double busiest) {
    return {TenantId("w"), limit.rate * part, busiest};
  }
  // With the usual load for some time.
  static QuotaFleet Started(uint32_t seed) {
    QuotaFleet fleet(30, seed);
    fleet.SetLimit("w", kLarge.rate, kLarge.burst);
    fleet.Run(seconds(5), {Load(kLarge, kUsual, 0.3)});
    return fleet;
  }
  static void AssertAdmitted(QuotaFleet& fleet, const QuotaFleet::Count& before, double part) {
    const auto arrived = static_cast<double>(fleet.Of("w").arrived - before.arrived);
    const auto refused = static_cast<double>(fleet.Of("w").refused - before.refused);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(refused) + " of " + std::to_string(arrived),
                           refused <= (1 - part) * arrived);
  }
  static std::string Name(const WorkspaceLimit& limit, size_t n, uint32_t seed) {
    return "rate " + std::to_string(limit.rate) + " burst " + std::to_string(limit.burst) + " at " +
           std::to_string(n) + " entry VMs, seed " + std::to_string(seed);
  }
  static double Bound(const WorkspaceLimit& limit) {
    return (limit.rate * 5 + limit.burst) * 1.1 + 20;
  }
  static void AssertWithinBound(QuotaFleet& fleet, const WorkspaceLimit& limit,
                                const std::string& name) {
    const size_t most = fleet.MostInWindow("w");
    CPPUNIT_ASSERT_MESSAGE(name + ": " + std::to_string(most) + " in 5 s",
                           static_cast<double>(most) <= Bound(limit));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkspaceQuotaTest);

}  // namespace
}  // namespace cowsliphill
