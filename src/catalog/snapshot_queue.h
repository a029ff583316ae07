// Requests of other entry VMs for a snapshot of the catalog: those that wait until this entry VM
// has the versions that they name, and those that wait for their turn. Answers are paced, because
// the requests of hundreds of entry VMs that start together would fill a small link for seconds.
// Requests beyond that are forwarded to entry VMs that have just been answered, so that those which
// have the catalog multiply in each step. Pure: no I/O; the caller passes the time.

#ifndef COWSLIPHILL_CATALOG_SNAPSHOT_QUEUE_H_
#define COWSLIPHILL_CATALOG_SNAPSHOT_QUEUE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "src/base/clock.h"
#include "src/base/rate_limit.h"
#include "src/datagram/catalog_message.h"

namespace cowsliphill {

class SnapshotQueue {
 public:
  static constexpr size_t kMaxPending = 256;
  // A sender asks another entry VM after TableWatchOptions::peer_timeout, so that a later answer
  // would be the second.
  static constexpr std::chrono::milliseconds kMaxAge{200};
  // A snapshot of a thousand servers has 20 KB: 100 a second take 16 Mbit/s.
  static constexpr double kAnswersPerSecond = 100;
  static constexpr double kBurst = 8;
  // Requests are forwarded to the entry VMs answered last, and only for this long after that.
  static constexpr size_t kMaxHelpers = 16;
  static constexpr std::chrono::milliseconds kHelperTime{1000};
  static constexpr uint32_t kMaxForwards = 4;  // Of one request.

  struct Forward {
    Endpoint to;
    CatalogRequest request;
  };
  struct Due {
    std::vector<CatalogRequest> answers;  // Requests to answer now, the oldest first.
    std::vector<Forward> forwards;
  };

  // Replaces an earlier request of the same sender.
  void Add(const CatalogRequest& request, MonotonicTime now) {
    std::erase_if(pending_, [&request](const Pending& it) {
      return it.request.reply_to == request.reply_to;
    });
    // Its answer was lost or is too old.
    std::erase_if(helpers_, [&request](const Helper& it) { return it.peer == request.reply_to; });
    if (pending_.size() >= kMaxPending) pending_.pop_front();
    pending_.push_back({request, now});
  }

  // `can_answer` tells whether this entry VM has the versions that a request names.
  template <typename Predicate>
  Due TakeDue(Predicate can_answer, MonotonicTime now) {
    std::erase_if(pending_, [now](const Pending& it) { return now - it.received > kMaxAge; });
    std::erase_if(helpers_, [now](const Helper& it) { return now - it.answered > kHelperTime; });
    Due due;
    is_held_back_ = false;
    for (auto it = pending_.begin(); it != pending_.end();) {
      const CatalogRequest& request = it->request;
      if (!can_answer(request)) {
        ++it;
        continue;
      }
      if (budget_.Allow(now)) {
        due.answers.push_back(request);
        helpers_.push_back({request.reply_to, now});
        if (helpers_.size() > kMaxHelpers) helpers_.pop_front();
      } else if (!helpers_.empty() && request.forwards < kMaxForwards) {
        due.forwards.push_back({helpers_[next_helper_++ % helpers_.size()].peer, request});
        ++due.forwards.back().request.forwards;
      } else {
        is_held_back_ = true;
        break;
      }
      it = pending_.erase(it);
    }
    return due;
  }

  // When TakeDue may return more, unless the catalog changes before.
  std::optional<MonotonicTime> NextWake(MonotonicTime now) const {
    if (!is_held_back_ || pending_.empty()) return std::nullopt;
    return now + std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(1.0 / kAnswersPerSecond));
  }

 private:
  struct Pending {
    CatalogRequest request;
    MonotonicTime received;
  };

  // An entry VM that was answered.
  struct Helper {
    Endpoint peer;
    MonotonicTime answered;
  };

  std::deque<Pending> pending_;
  std::deque<Helper> helpers_;
  size_t next_helper_ = 0;  // Position in helpers_, modulo its size.
  RateLimit budget_{kAnswersPerSecond, kBurst};
  bool is_held_back_ = false;  // A request that could be answered waits for its turn.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CATALOG_SNAPSHOT_QUEUE_H_
