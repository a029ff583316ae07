// Decides whether and when a request gets a second, concurrent attempt (a hedge), within what the
// operators allow. Pure: times are passed in.
//
// Limit: each entry VM starts at most `max_share` hedges per request of its own, of each service
// and in any window, so the limit holds over all entry VMs, and for all services, without messages.
// The retry budget limits hedges as well.
//
// Delay: an entry VM knows its own answers only. It keeps, per service, the ratio of their latency
// to what the scheduler expected, which makes answers of different kinds and servers comparable.

#ifndef COWSLIPHILL_SCHEDULE_HEDGE_POLICY_H_
#define COWSLIPHILL_SCHEDULE_HEDGE_POLICY_H_

#include <prometheus/detail/ckms_quantiles.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/settings/settings.h"

namespace cowsliphill {

// Quantile of the latency ratios of the current kPeriod, or of the one before while there are few.
class LatencyRatioSketch {
 public:
  static constexpr std::chrono::milliseconds kPeriod{2500};
  static constexpr uint32_t kMinSamples = 50;  // Fewer say nothing about the slowest in twenty.
  // Upper limit in medians: while many servers are slow, the quantile is the latency of these, and
  // waiting for it would make the hedge useless.
  static constexpr double kMaxMedians = 2.0;

  explicit LatencyRatioSketch(double quantile)
      : quantile_(quantile), wanted_{{kMedian, kError}, {quantile, kError}}, sketch_(wanted_) {}
  LatencyRatioSketch(const LatencyRatioSketch&) = delete;
  LatencyRatioSketch& operator=(const LatencyRatioSketch&) = delete;

  void Add(double ratio, MonotonicTime now) {
    StartPeriod(now);
    sketch_.insert(ratio);
    // Reading a sketch is expensive, and a few more samples change it little.
    if (++count_ % kMinSamples == 0) {
      value_ = std::min(sketch_.get(quantile_), kMaxMedians * sketch_.get(kMedian));
    }
  }
  // Returns nullopt without enough samples.
  std::optional<double> Value(MonotonicTime now) {
    StartPeriod(now);
    return value_;
  }

 private:
  static constexpr double kMedian = 0.5;
  static constexpr double kError = 0.01;

  void StartPeriod(MonotonicTime now) {
    if (now - began_ < kPeriod) return;
    if (now - began_ >= 2 * kPeriod || count_ < kMinSamples) value_.reset();
    began_ = now;
    sketch_.reset();
    count_ = 0;
  }

  double quantile_;
  std::vector<prometheus::detail::CKMSQuantiles::Quantile> wanted_;
  prometheus::detail::CKMSQuantiles sketch_;  // Refers to wanted_.
  uint32_t count_ = 0;
  MonotonicTime began_{};
  std::optional<double> value_;
};

class HedgePolicy {
 public:
  HedgePolicy(HedgingSettings settings, std::chrono::milliseconds window)
      : settings_(settings), window_(window) {}

  void OnRequest(const ServiceId& service, MonotonicTime now) {
    if (!IsLimited()) return;
    Service& it = services_[service];
    RemoveOlder(it.requests, now - window_);
    it.requests.push_back(now);
  }
  bool Allows(uint32_t rank) const { return settings_.enabled && rank <= settings_.rank_limit; }
  // Counts a hedge that is about to be started, or returns false if the limit allows none now.
  bool Reserve(const ServiceId& service, MonotonicTime now) {
    if (!IsLimited()) return true;
    Service& it = services_[service];
    RemoveOlder(it.requests, now - window_);
    RemoveOlder(it.hedges, now - window_);
    const double limit =
        kUsableShare * settings_.max_share * static_cast<double>(it.requests.size());
    if (static_cast<double>(it.hedges.size()) + 1.0 > limit) return false;
    it.hedges.push_back(now);
    return true;
  }
  // The hedge that was counted last got no server.
  void Return(const ServiceId& service) {
    const auto it = services_.find(service);
    if (it != services_.end() && !it->second.hedges.empty()) it->second.hedges.pop_back();
  }

  // An attempt has answered, or was given up for a faster one: it would have taken longer.
  void OnLatency(const ServiceId& service, Duration latency, Duration expected, MonotonicTime now) {
    if (settings_.quantile <= 0.0 || expected <= Duration{}) return;
    std::unique_ptr<LatencyRatioSketch>& sketch = services_[service].ratios;
    if (!sketch) sketch = std::make_unique<LatencyRatioSketch>(settings_.quantile);
    sketch->Add(static_cast<double>(latency.count()) / static_cast<double>(expected.count()), now);
  }
  // Time from an assignment until its hedge. nullopt: too little is known, or no quantile is set.
  std::optional<Duration> Delay(const ServiceId& service, Duration expected, MonotonicTime now) {
    const auto it = services_.find(service);
    if (it == services_.end() || !it->second.ratios) return std::nullopt;
    const std::optional<double> ratio = it->second.ratios->Value(now);
    if (!ratio) return std::nullopt;
    return Times(expected, *ratio);
  }

 private:
  // The rest is for requests that have left the window when the hedge is counted.
  static constexpr double kUsableShare = 0.7;

  struct Service {
    std::deque<MonotonicTime> requests;  // Times within the window.
    std::deque<MonotonicTime> hedges;
    std::unique_ptr<LatencyRatioSketch> ratios;

    Service() = default;
    // A sketch can't be copied. Copies only explain choices of servers, which don't depend on it.
    Service(const Service& other) : requests(other.requests), hedges(other.hedges) {}
    Service& operator=(const Service&) = delete;
    ~Service() = default;
  };

  bool IsLimited() const { return settings_.max_share < 1.0; }
  static void RemoveOlder(std::deque<MonotonicTime>& times, MonotonicTime oldest) {
    while (!times.empty() && times.front() < oldest) times.pop_front();
  }

  HedgingSettings settings_;
  std::chrono::milliseconds window_;
  std::map<ServiceId, Service> services_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SCHEDULE_HEDGE_POLICY_H_
