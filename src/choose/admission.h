// Admission to the backend servers of one service by one entry VM: how many requests may be out
// at once (ConcurrencyWindow), which of the waiting ones goes next (AdmissionQueue), and how many
// retries and hedges are affordable (RetryBudget).

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

// Limit on our own open requests. Shrinks while the backend servers report long queues on
// average, else grows when it is used up: additive up, multiplicative down, so that entry VMs that
// share the servers without one view come to fair shares. It follows the mean over many reports,
// which stays right when each report is stale. Emergency requests pass over it.
class ConcurrencyWindow {
 public:
  static constexpr double kLeast = 1.0;
  static constexpr double kStep = 0.25;          // Growth per answer while the window limits us.
  static constexpr double kShrink = 0.01;        // Share taken away per answer and load too much.
  static constexpr double kTolerated = 3.0;      // Mean requests per slot at the servers.
  static constexpr double kLoadWeight = 0.05;    // Of the newest report in the mean.
  static constexpr double kOverloadShare = 0.1;  // Taken away by a shed or timed out request.

  explicit ConcurrencyWindow(double most) : size_(std::max(4.0, most / 8)), most_(most) {}

  void SetMost(double most) {
    most_ = std::max(kLeast, most);
    size_ = std::min(size_, most_);
  }

  bool Allows(uint32_t in_flight) const { return in_flight + 1.0 <= size_ + kRounding; }

  // `load`: reported requests per slot of one server.
  void OnReport(double load, uint32_t in_flight) {
    load_ += kLoadWeight * (std::min(load, kMostLoad) - load_);
    const double excess = load_ - kTolerated;
    if (excess > 0) {
      size_ *= 1.0 - kShrink * std::min(excess, 2.0);
    } else if (in_flight + 2.0 > size_) {
      size_ += kStep / size_;
    }
    size_ = std::clamp(size_, kLeast, std::max(kLeast, most_));
  }
  // An answer that says overload without a report: a time-out or a shed request.
  void OnOverload() { size_ = std::max(kLeast, size_ * (1.0 - kOverloadShare)); }

  double Size() const { return size_; }

 private:
  static constexpr double kRounding = 0.001;
  static constexpr double kMostLoad = 10.0;

  double size_;
  double most_;        // All slots of the service.
  double load_ = 0.0;  // Mean reported requests per slot.
};

// Waiting requests of one service: strict order of classes, first in first out within one.
class AdmissionQueue {
 public:
  using Ticket = uint64_t;
  struct Entry {
    Ticket ticket = 0;
    MonotonicTime latest;  // Sent later, it can't be answered in its time.
  };

  bool Push(RequestClass request_class, const Entry& entry, uint32_t limit) {
    auto& queue = queues_[static_cast<size_t>(request_class)];
    if (queue.size() >= limit) return false;
    queue.push_back(entry);
    earliest_ = std::min(earliest_, entry.latest);
    return true;
  }

  // First in order, or null.
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

  // Removes and returns those whose latest time has passed. Constant time while none has.
  std::vector<Ticket> TakeLate(MonotonicTime now) {
    std::vector<Ticket> late;
    if (now < earliest_) return late;
    earliest_ = MonotonicTime::max();
    for (auto& queue : queues_) {
      for (const Entry& entry : queue) {
        if (entry.latest <= now) {
          late.push_back(entry.ticket);
        } else {
          earliest_ = std::min(earliest_, entry.latest);
        }
      }
      std::erase_if(queue, [now](const Entry& entry) { return entry.latest <= now; });
    }
    return late;
  }

  std::vector<Ticket> TakeAll() {
    std::vector<Ticket> all;
    for (auto& queue : queues_) {
      for (const Entry& entry : queue) all.push_back(entry.ticket);
      queue.clear();
    }
    return all;
  }

  // Requests that go before a new one of `request_class`.
  size_t Ahead(RequestClass request_class) const {
    size_t n = 0;
    for (size_t i = 0; i <= static_cast<size_t>(request_class); ++i) n += queues_[i].size();
    return n;
  }

  bool Empty() const { return Front() == nullptr; }
  MonotonicTime Earliest() const { return earliest_; }  // May be earlier than any still waiting.

 private:
  std::array<std::deque<Entry>, kRequestClassCount> queues_;
  MonotonicTime earliest_ = MonotonicTime::max();
};

// Retries and hedges of one service, paid from a share of its first attempts.
//
// A call tree multiplies what each level adds, so the share is divided over the levels: with
// shares b*w(d) that sum to b, all levels together add at most e^b - 1, at any depth up to
// kDepth. The first level gets half, for it sees every failure that the others let through.
class RetryBudget {
 public:
  static constexpr uint32_t kDepth = 25;      // Levels below the first that get a share.
  static constexpr double kFirstShare = 0.5;  // Of level 0.
  static constexpr double kMost = 10.0;       // Attempts that can be saved up.

  void OnFirstAttempt(double share, uint32_t depth) {
    const double deposit = share * Weight(depth);
    saved_ = std::min(kMost, saved_ + deposit);
  }
  bool Take() {
    if (saved_ < 1.0) return false;
    saved_ -= 1.0;
    return true;
  }
  bool Affordable() const { return saved_ >= 1.0; }

  static constexpr double Weight(uint32_t depth) {
    if (depth == 0) return kFirstShare;
    return depth <= kDepth ? (1.0 - kFirstShare) / kDepth : 0.0;
  }

 private:
  double saved_ = 3.0;  // Attempts that are affordable now; a few at the start.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_ADMISSION_H_
