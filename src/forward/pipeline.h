// The order of the requests that a caller has sent on one connection without waiting for their
// answers. Several may be in progress at once; each is answered only when it is the first.
// Pure: no I/O.
//
//   const std::shared_ptr<PipelineSlot> slot = pipeline.Add();
//   slot->WhenFirst([] { ... });  // At once, or when all earlier requests are answered.
//   pipeline.RemoveFirst();       // The first request is answered.

#ifndef COWSLIPHILL_FORWARD_PIPELINE_H_
#define COWSLIPHILL_FORWARD_PIPELINE_H_

#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace cowsliphill {

// One request's place in the order.
class PipelineSlot {
 public:
  // Whether all earlier requests of the connection are answered.
  bool IsFirst() const { return first_; }
  // Whether no later request of the connection has been read.
  bool IsLast() const { return last_; }
  // Calls `task` once the request is the first: inside the call if it is already. Replaces an
  // earlier task that was not called yet.
  void WhenFirst(std::function<void()> task) {
    if (first_) return task();
    task_ = std::move(task);
  }

 private:
  friend class Pipeline;

  void BecomeFirst() {
    first_ = true;
    if (const auto task = std::exchange(task_, nullptr)) task();
  }

  bool first_ = false;
  bool last_ = true;
  std::function<void()> task_;
};

class Pipeline {
 public:
  // Requests of one connection that are in progress at once. Further ones stay unread.
  static constexpr size_t kMaxRequests = 8;

  std::shared_ptr<PipelineSlot> Add() {
    auto slot = std::make_shared<PipelineSlot>();
    slot->first_ = slots_.empty();
    if (!slots_.empty()) slots_.back()->last_ = false;
    slots_.push_back(slot);
    return slot;
  }
  // The next request becomes the first.
  void RemoveFirst() {
    slots_.pop_front();
    if (slots_.empty()) return;
    const std::shared_ptr<PipelineSlot> next = slots_.front();
    next->BecomeFirst();
  }
  // Drops all requests and their tasks.
  void Clear() {
    for (const auto& slot : std::exchange(slots_, {})) slot->task_ = nullptr;
  }

  bool Empty() const { return slots_.empty(); }
  bool Full() const { return slots_.size() >= kMaxRequests; }

 private:
  std::deque<std::shared_ptr<PipelineSlot>> slots_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_PIPELINE_H_
