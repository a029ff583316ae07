// Which workspaces use more than their share of a cell, by the requests of the last seconds.
//
// The share of a workspace is in proportion to its weight, over the workspaces with requests
// lately. Requests beyond it wait behind those of others (balancer.h), but no workspace is served
// much less often than all: requests of one that is go on as if it were within its share.
//
// Counts decay in steps for all workspaces at once, so a request costs a look-up or two.

#ifndef COWSLIPHILL_BALANCE_FAIR_SHARE_H_
#define COWSLIPHILL_BALANCE_FAIR_SHARE_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <unordered_map>

#include "src/base/clock.h"
#include "src/base/ids.h"

namespace cowsliphill {

// Weights of workspaces: their rates.
class WorkspaceWeights {
 public:
  // `rate`: requests per second; 0: none, which counts as the mean of the others.
  void Add(const TenantId& workspace, double rate) {
    if (rate <= 0) return;
    rates_[workspace] = rate;
    sum_ += rate;
  }
  double Of(const TenantId& workspace) const {
    const auto it = rates_.find(workspace);
    if (it != rates_.end()) return it->second;
    return rates_.empty() ? 1 : sum_ / static_cast<double>(rates_.size());
  }

 private:
  std::unordered_map<TenantId, double> rates_;
  double sum_ = 0;
};

class FairShare {
 public:
  // A workspace counts while its last request is at most this old, and requests count for about
  // this long.
  static constexpr std::chrono::milliseconds kMemory{2000};
  static constexpr std::chrono::milliseconds kStep{50};
  // Decayed number of requests up to which a workspace is never over its share: at a few requests a
  // second, a cluster of them says nothing.
  static constexpr double kMinRequests = 24;
  // A workspace is over its share from this many times its share on, and that many standard
  // deviations of a random count.
  static constexpr double kMargin = 1.2;
  static constexpr double kDeviations = 3;
  // A workspace that is served this many times as often as all, or less, is not held back. At least
  // a quarter is required.
  static constexpr double kMinServed = 0.32;

  void OnRequest(const TenantId& workspace, MonotonicTime now) {
    Advance(now);
    Usage& usage = usages_[workspace];
    if (!IsActive(usage)) active_weight_ = -1;
    usage.last_request = now;
    ++usage.requests;
    ++requests_;
  }
  // A server was assigned to a request of the workspace.
  void OnServed(const TenantId& workspace) {
    const auto it = usages_.find(workspace);
    if (it == usages_.end()) return;
    ++it->second.served;
    ++served_;
  }

  // Whether further requests of the workspace wait behind those of others.
  bool IsOver(const TenantId& workspace, const WorkspaceWeights& weights, MonotonicTime now) {
    Advance(now);
    const auto it = usages_.find(workspace);
    if (it == usages_.end() || it->second.requests <= kMinRequests) return false;
    const Usage& usage = it->second;
    const double share = requests_ * weights.Of(workspace) / ActiveWeight(weights);
    if (usage.requests <= kMargin * share + kDeviations * std::sqrt(share)) return false;
    return usage.served * requests_ > kMinServed * served_ * usage.requests;
  }

  // The weights have changed.
  void Reweigh() { active_weight_ = -1; }

 private:
  struct Usage {
    double requests = 0;  // Decayed, as all counts.
    double served = 0;
    MonotonicTime last_request{};
  };

  bool IsActive(const Usage& usage) const { return advanced_to_ - usage.last_request <= kMemory; }
  double ActiveWeight(const WorkspaceWeights& weights) {
    if (active_weight_ >= 0) return active_weight_;
    active_weight_ = 0;
    for (const auto& [workspace, usage] : usages_) {
      if (IsActive(usage)) active_weight_ += weights.Of(workspace);
    }
    return active_weight_;
  }
  void Advance(MonotonicTime now) {
    const Duration elapsed = now - advanced_to_;
    if (elapsed < kStep) return;
    advanced_to_ = now;
    active_weight_ = -1;
    const double factor =
        std::exp(-std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(kMemory));
    requests_ = 0;
    served_ = 0;
    for (auto it = usages_.begin(); it != usages_.end();) {
      Usage& usage = it->second;
      if (!IsActive(usage)) {
        it = usages_.erase(it);
        continue;
      }
      usage.requests *= factor;
      usage.served *= factor;
      requests_ += usage.requests;
      served_ += usage.served;
      ++it;
    }
  }

  std::unordered_map<TenantId, Usage> usages_;
  double requests_ = 0;  // Of all workspaces.
  double served_ = 0;
  double active_weight_ = -1;  // Sum of the weights of active workspaces; negative: not known.
  MonotonicTime advanced_to_{};
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_FAIR_SHARE_H_
