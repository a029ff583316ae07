// Pauses that backend servers have asked for: until when no request is to be sent. Key names the
// server, or the entry VM and the server.

#ifndef COWSLIPHILL_SCHEDULE_PAUSE_LIST_H_
#define COWSLIPHILL_SCHEDULE_PAUSE_LIST_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>

#include "src/base/clock.h"

namespace cowsliphill {

template <typename Key>
class PauseList {
 public:
  // Longer pauses end then: a faulty server must not stay without requests for a day.
  static constexpr std::chrono::minutes kMaxPause{10};

  // A shorter pause does not end a longer one. Returns whether the server was not pausing.
  bool Begin(const Key& key, std::chrono::milliseconds pause, MonotonicTime now) {
    std::erase_if(ends_, [now](const auto& it) { return it.second <= now; });
    if (pause.count() <= 0) return false;
    const MonotonicTime end = now + std::min<std::chrono::milliseconds>(pause, kMaxPause);
    const auto [it, is_new] = ends_.try_emplace(key, end);
    it->second = std::max(it->second, end);
    return is_new;
  }
  void Erase(const Key& key) { ends_.erase(key); }
  template <typename Predicate>
  void EraseIf(Predicate predicate) {
    std::erase_if(ends_, [&](const auto& it) { return predicate(it.first); });
  }
  // When the pause ends; nullopt if there is none.
  std::optional<MonotonicTime> End(const Key& key, MonotonicTime now) const {
    const auto it = ends_.find(key);
    if (it == ends_.end() || it->second <= now) return std::nullopt;
    return it->second;
  }
  bool Empty() const { return ends_.empty(); }
  size_t Count(MonotonicTime now) const {
    return static_cast<size_t>(std::count_if(ends_.begin(), ends_.end(),
                                             [now](const auto& it) { return it.second > now; }));
  }

 private:
  std::map<Key, MonotonicTime> ends_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SCHEDULE_PAUSE_LIST_H_
