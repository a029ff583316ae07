// The limits of workspaces over many entry VMs, with delayed and lost messages.

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
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

 private:
  static constexpr WorkspaceLimit kLimits[] = {{1, 1}, {1, 3}, {20, 20}, {330, 330}};

  static QuotaLoad Load(const WorkspaceLimit& limit, double part, double busiest) {
    return {TenantId("w"), limit.rate * part, busiest};
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
