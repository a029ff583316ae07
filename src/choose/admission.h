// Admission control of one entry VM for one service: the limit on open requests
// (ConcurrencyWindow), the queue of requests beyond that limit (AdmissionQueue) and the limit on
// retries and hedges (RetryBudget).

#ifndef COWSLIPHILL_CHOOSE_ADMISSION_H_
#define COWSLIPHILL_CHOOSE_ADMISSION_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "src/base/clock.h"
#include "src/base/request_class.h"

namespace cowsliphill {

// Limit on the open requests of this entry VM. It shrinks while the backend servers report long
// queues on average, and otherwise grows when it is used up. Additive increase and multiplicative
// decrease let entry VMs that share the servers converge to fair shares without coordination. The
// limit follows the mean of many reports, which stays accurate although each report is stale.
// Emergency requests bypass the limit.
class ConcurrencyWindow {
 public:
  static constexpr double kMinSize = 1.0;
  // A report that does not shrink the window grows it by kGrowth / size if fewer than two more
  // requests fit into it.
  static constexpr double kGrowth = 0.25;
  // Relative decrease per report for each unit of mean load above kShrinkThreshold. At most 2 units
  // count.
  static constexpr double kShrinkPerExcess = 0.01;
  // Mean load, in reported requests per slot, above which the window shrinks.
  static constexpr double kShrinkThreshold = 3.0;
  static constexpr double kLoadWeight = 0.05;  // Weight of the newest report in the mean load.
  // Relative decrease per shed or timed out request.
  static constexpr double kOverloadShrink = 0.1;

  explicit ConcurrencyWindow(double max_size)
      : size_(std::max(4.0, max_size / 8)), max_size_(max_size) {}

  void SetMaxSize(double max_size) {
    max_size_ = std::max(kMinSize, max_size);
    size_ = std::min(size_, max_size_);
  }

  // Returns whether one more request may be sent while `in_flight` requests are open.
  bool AllowsAnother(uint32_t in_flight) const { return in_flight + 1.0 <= size_ + kRoundingSlack; }

  // `load` is the reported number of requests per slot of one server.
  void OnReport(double load, uint32_t in_flight) {
    mean_load_ += kLoadWeight * (std::min(load, kMaxLoadSample) - mean_load_);
    const double excess = mean_load_ - kShrinkThreshold;
    if (excess > 0) {
      size_ *= 1.0 - kShrinkPerExcess * std::min(excess, 2.0);
    } else if (in_flight + 2.0 > size_) {
      size_ += kGrowth / size_;
    }
    size_ = std::clamp(size_, kMinSize, std::max(kMinSize, max_size_));
  }
  // Handles a sign of overload that carries no load figure: a timed out or shed request.
  void OnOverload() { size_ = std::max(kMinSize, size_ * (1.0 - kOverloadShrink)); }

  double Size() const { return size_; }

 private:
  static constexpr double kRoundingSlack = 0.001;
  static constexpr double kMaxLoadSample = 10.0;

  double size_;
  double max_size_;         // Total slots of the service's backend servers.
  double mean_load_ = 0.0;  // Exponentially weighted mean of the reported requests per slot.
};

// Queue of the waiting requests of one service: strict priority between request classes, first in
// first out within a class.
class AdmissionQueue {
 public:
  using Ticket = uint64_t;
  struct Entry {
    Ticket ticket = 0;
    MonotonicTime latest_send;  // Latest time to send with an answer expected by the deadline.
  };

  bool Push(RequestClass request_class, const Entry& entry, uint32_t limit) {
    auto& queue = queues_[static_cast<size_t>(request_class)];
    if (queue.size() >= limit) return false;
    queue.push_back(entry);
    earliest_expiry_ = std::min(earliest_expiry_, entry.latest_send);
    return true;
  }

  // Returns the next request to send, or null if the queue is empty.
  const Entry* Front() const {
    for (const auto& queue : queues_) {
      if (!queue.empty()) return &queue.front();
    }
    return nullptr;
  }

  void PopFront() {
    for (auto& queue : queues_) {
      if (queue.empty()) continue;
      queue.pop_front();
      return;
    }
  }

  void Erase(Ticket ticket) {
    for (auto& queue : queues_) {
      std::erase_if(queue, [ticket](const Entry& entry) { return entry.ticket == ticket; });
    }
  }

  // Removes and returns the requests whose latest send time has passed. Takes constant time while
  // there are none.
  std::vector<Ticket> TakeExpired(MonotonicTime now) {
    std::vector<Ticket> expired;
    if (now < earliest_expiry_) return expired;
    earliest_expiry_ = MonotonicTime::max();
    for (auto& queue : queues_) {
      for (const Entry& entry : queue) {
        if (entry.latest_send <= now) {
          expired.push_back(entry.ticket);
        } else {
          earliest_expiry_ = std::min(earliest_expiry_, entry.latest_send);
        }
      }
      std::erase_if(queue, [now](const Entry& entry) { return entry.latest_send <= now; });
    }
    return expired;
  }

  std::vector<Ticket> TakeAll() {
    std::vector<Ticket> all;
    for (auto& queue : queues_) {
      for (const Entry& entry : queue) all.push_back(entry.ticket);
      queue.clear();
    }
    return all;
  }

  // Number of waiting requests that a new request of `request_class` would queue behind.
  size_t CountAhead(RequestClass request_class) const {
    size_t n = 0;
    for (size_t i = 0; i <= static_cast<size_t>(request_class); ++i) n += queues_[i].size();
    return n;
  }

  bool Empty() const { return Front() == nullptr; }
  // Lower bound on the latest send time of all waiting requests. May be too early after a removal.
  MonotonicTime EarliestExpiry() const { return earliest_expiry_; }

 private:
  std::array<std::deque<Entry>, kRequestClassCount> queues_;
  MonotonicTime earliest_expiry_ = MonotonicTime::max();
};

// Token bucket that limits the retries and hedges of one service to a share of its first attempts.
//
// The levels of a call tree multiply each other's retries, so the service's share b is divided over
// the levels: requests at depth d get the share b * DepthWeight(d). The weights of all depths sum
// to 1, so all levels together add at most a fraction e^b - 1 of attempts. Root calls (depth 0) get
// half of b because the root level sees every failure that the other levels let through.
class RetryBudget {
 public:
  // Largest depth in the call tree whose DepthWeight is above 0.
  static constexpr uint32_t kMaxDepth = 25;
  static constexpr double kRootShare = 0.5;  // Part of the share that root calls get.
  // Largest number of saved tokens; an attempt costs one.
  static constexpr double kMaxTokens = 10.0;

  void OnFirstAttempt(double share, uint32_t depth) {
    const double deposit = share * DepthWeight(depth);
    tokens_ = std::min(kMaxTokens, tokens_ + deposit);
  }
  // Takes one token; returns false if there is none.
  bool TryConsume() {
    if (tokens_ < 1.0) return false;
    tokens_ -= 1.0;
    return true;
  }
  bool Affordable() const { return tokens_ >= 1.0; }

  // Returns the part of the share that calls at `depth` of the call tree get.
  static constexpr double DepthWeight(uint32_t depth) {
    if (depth == 0) return kRootShare;
    return depth <= kMaxDepth ? (1.0 - kRootShare) / kMaxDepth : 0.0;
  }

 private:
  double tokens_ = 3.0;  // Saved tokens; a few are granted at the start.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_ADMISSION_H_
