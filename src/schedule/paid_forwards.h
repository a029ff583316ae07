// Assignment requests that this scheduler has charged to a workspace's limit and then forwarded to
// the scheduler of another cell. While an entry VM waits there it repeats its request here
// (RequestPlanner::kQueuedReplyTimeout), and must not pay again.

#ifndef COWSLIPHILL_SCHEDULE_PAID_FORWARDS_H_
#define COWSLIPHILL_SCHEDULE_PAID_FORWARDS_H_

#include <chrono>
#include <deque>
#include <map>
#include <utility>

#include "src/base/clock.h"

namespace cowsliphill {

template <typename Key>
class PaidForwards {
 public:
  // Time since the last repetition after which a request is forgotten: many times the interval at
  // which it would be repeated.
  static constexpr std::chrono::milliseconds kMemory{1000};

  void Add(const Key& key, MonotonicTime now) {
    EraseOld(now);
    last_seen_[key] = now;
    expiries_.emplace_back(now + kMemory, key);
  }
  // Whether the request was forwarded before. If so, remembers it for another kMemory.
  bool Contains(const Key& key, MonotonicTime now) {
    if (last_seen_.empty()) return false;
    EraseOld(now);
    if (!last_seen_.contains(key)) return false;
    Add(key, now);
    return true;
  }
  size_t Size() const { return last_seen_.size(); }

 private:
  void EraseOld(MonotonicTime now) {
    while (!expiries_.empty() && expiries_.front().first <= now) {
      const auto it = last_seen_.find(expiries_.front().second);
      if (it != last_seen_.end() && it->second + kMemory <= now) last_seen_.erase(it);
      expiries_.pop_front();
    }
  }

  std::map<Key, MonotonicTime> last_seen_;
  std::deque<std::pair<MonotonicTime, Key>> expiries_;  // In order of time.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SCHEDULE_PAID_FORWARDS_H_
