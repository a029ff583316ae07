#include "src/admin/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace cowsliphill {

namespace {

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

// Bucket bounds in seconds, from 0.5 ms to 30 s.
const prometheus::Histogram::BucketBoundaries& LatencyBounds() {
  static const prometheus::Histogram::BucketBoundaries bounds = {
      0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.02, 0.03, 0.05,
      0.075,  0.1,   0.2,   0.3,   0.5,   0.75,   1,    2,     5,    10,   30};
  return bounds;
}

}  // namespace

struct Metrics::Families {
  explicit Families(prometheus::Registry& registry)
      : first_byte(prometheus::BuildHistogram()
                       .Name("cowsliphill_first_byte_seconds")
                       .Help("From a request's head to its answer's head")
                       .Register(registry)),
        took(prometheus::BuildHistogram()
                 .Name("cowsliphill_request_seconds")
                 .Help("From a request's head to its answer's end")
                 .Register(registry)),
        ended(prometheus::BuildCounter()
                  .Name("cowsliphill_requests_total")
                  .Help("Requests by service, class, outcome and whether the answer was whole")
                  .Register(registry)),
        attempts(prometheus::BuildCounter()
                     .Name("cowsliphill_attempts_total")
                     .Help("Attempts at backend servers by service")
                     .Register(registry)),
        bad_input(prometheus::BuildCounter()
                      .Name("cowsliphill_bad_input_total")
                      .Help("Input that was refused, by kind")
                      .Register(registry)),
        refused_keys(prometheus::BuildCounter()
                         .Name("cowsliphill_requests_refused_by_key_total")
                         .Help("Requests refused for the caller's key, by cause")
                         .Register(registry)) {}
  prometheus::Family<prometheus::Histogram>& first_byte;
  prometheus::Family<prometheus::Histogram>& took;
  prometheus::Family<prometheus::Counter>& ended;
  prometheus::Family<prometheus::Counter>& attempts;
  prometheus::Family<prometheus::Counter>& bad_input;
  prometheus::Family<prometheus::Counter>& refused_keys;
};

Metrics::Metrics(bool by_tenant)
    : by_tenant_(by_tenant),
      registry_(std::make_shared<prometheus::Registry>()),
      families_(std::make_unique<Families>(*registry_)) {}

Metrics::~Metrics() = default;

std::string Metrics::TenantLabel(const TenantId& tenant) {
  if (!by_tenant_) return "";
  if (tenants_.count(tenant.Text()) > 0) return tenant.Text();
  if (tenants_.size() >= kMaxTenantLabels) return "other";
  tenants_.insert(tenant.Text());
  return tenant.Text();
}

void Metrics::OnRequestEnded(const RequestEnd& end) {
  if (end.key_fault) {
    families_->refused_keys.Add({{"cause", std::string(NameOf(*end.key_fault))}}).Increment();
  }
  const std::string service = end.service.Text();
  const std::string request_class(NameOf(end.request_class));
  const std::string tenant = TenantLabel(end.tenant);
  auto& [first_byte, took] = histograms_[{service, end.request_class, tenant}];
  if (first_byte == nullptr) {
    const prometheus::Labels labels = {
        {"service", service}, {"class", request_class}, {"tenant", tenant}};
    first_byte = &families_->first_byte.Add(labels, LatencyBounds());
    took = &families_->took.Add(labels, LatencyBounds());
  }
  if (end.first_byte.count() > 0) first_byte->Observe(Seconds(end.first_byte));
  took->Observe(Seconds(end.took));
  families_->ended
      .Add({{"service", service},
            {"class", request_class},
            {"outcome", std::string(NameOf(end.outcome))},
            {"whole", end.whole ? "true" : "false"},
            {"late", end.late ? "true" : "false"}})
      .Increment();
  if (end.attempts > 0) families_->attempts.Add({{"service", service}}).Increment(end.attempts);
}

void Metrics::OnBadInput(const std::string& kind) {
  families_->bad_input.Add({{"kind", kind}}).Increment();
}

void Metrics::Set(const std::string& name, const std::string& help, double value) {
  prometheus::Gauge*& gauge = gauges_[name];
  if (gauge == nullptr) {
    gauge = &prometheus::BuildGauge().Name(name).Help(help).Register(*registry_).Add({});
  }
  gauge->Set(value);
}

std::string Metrics::Serialize() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace cowsliphill
