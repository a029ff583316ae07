// Metrics of this entry VM in Prometheus' form. Label sets are bounded: services and classes by the
// manifest, tenants by kMostTenants; further tenants are counted as "other".

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

inline constexpr size_t kMostTenants = 50;  // Tenants with label sets of their own.

class Metrics {
 public:
  Metrics();
  ~Metrics();

  void OnRequestEnded(const RequestEnd& end);
  void OnBadInput(const std::string& kind);
  // Sets a gauge without labels. The name is kept for the life of the process.
  void Set(const std::string& name, const std::string& help, double value);
  // Text exposition format. Any thread may call it.
  std::string Serialize() const;

 private:
  using Series = std::tuple<std::string, RequestClass, std::string>;  // Service, class, tenant.
  struct Families;

  std::string TenantLabel(const TenantId& tenant);

  std::shared_ptr<prometheus::Registry> registry_;
  std::unique_ptr<Families> families_;
  std::set<std::string> tenants_;  // With label sets of their own.
  std::map<Series, std::pair<prometheus::Histogram*, prometheus::Histogram*>> histograms_;
  std::map<std::string, prometheus::Gauge*> gauges_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_ADMIN_METRICS_H_
