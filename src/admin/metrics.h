// Metrics of this entry VM for Prometheus. The number of label sets is bounded: services and
// classes by the manifest, tenants by kMaxTenantLabels. Further tenants share the label "other".

#ifndef COWSLIPHILL_ADMIN_METRICS_H_
#define COWSLIPHILL_ADMIN_METRICS_H_

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <tuple>

#include "src/forward/forward_context.h"

namespace prometheus {
class Registry;
class Histogram;
class Counter;
class Gauge;
template <typename T>
class Family;
}  // namespace prometheus

namespace cowsliphill {

inline constexpr size_t kMaxTenantLabels = 50;  // Tenants with their own label value.

class Metrics {
 public:
  // `by_tenant`: the duration histograms are kept for each tenant. Where a service has many tenants
  // these take much memory.
  explicit Metrics(bool by_tenant = true);
  ~Metrics();

  void OnRequestEnded(const RequestEnd& end);
  void OnBadInput(const std::string& kind);
  // Sets a gauge without labels. A gauge that was set once is reported until the process ends.
  void Set(const std::string& name, const std::string& help, double value);
  // Returns all metrics in the Prometheus text format. May be called from any thread.
  std::string Serialize() const;

 private:
  using Series = std::tuple<std::string, RequestClass, std::string>;  // Service, class and tenant.
  struct Families;

  // Returns the tenant's label value: its name, "other", or empty unless by_tenant_.
  std::string TenantLabel(const TenantId& tenant);

  bool by_tenant_;
  std::shared_ptr<prometheus::Registry> registry_;
  std::unique_ptr<Families> families_;
  std::set<std::string> tenants_;  // Tenants with their own label value.
  // The first_byte and took histograms of each series.
  std::map<Series, std::pair<prometheus::Histogram*, prometheus::Histogram*>> histograms_;
  std::map<std::string, prometheus::Gauge*> gauges_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_ADMIN_METRICS_H_
