// The servers of a cell in the order in which their next probes are due, so that a wake-up of the
// scheduler looks only at those that are due. Pure: no I/O; the caller passes the time.

#ifndef COWSLIPHILL_SCHEDULE_PROBE_QUEUE_H_
#define COWSLIPHILL_SCHEDULE_PROBE_QUEUE_H_

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "src/base/clock.h"
#include "src/base/ids.h"

namespace cowsliphill {

class ProbeQueue {
 public:
  // Sets when the server's next probe is due; nullopt: it is not to be probed.
  void Set(const BackendServerId& server, std::optional<MonotonicTime> due) {
    const auto it = due_times_.find(server);
    if (it != due_times_.end()) {
      if (due == it->second) return;
      order_.erase({it->second, server});
      due_times_.erase(it);
    }
    if (!due) return;
    due_times_.emplace(server, *due);
    order_.emplace(*due, server);
  }
  // When the first probe is due; nullopt if none is.
  std::optional<MonotonicTime> Next() const {
    if (order_.empty()) return std::nullopt;
    return order_.begin()->first;
  }
  // Removes the server whose probe is due first and returns it, if it is due by now.
  std::optional<BackendServerId> TakeDue(MonotonicTime now) {
    if (order_.empty() || order_.begin()->first > now) return std::nullopt;
    BackendServerId server = order_.begin()->second;
    Set(server, std::nullopt);
    return server;
  }
  size_t Size() const { return order_.size(); }

 private:
  std::set<std::pair<MonotonicTime, BackendServerId>> order_;
  std::unordered_map<BackendServerId, MonotonicTime> due_times_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SCHEDULE_PROBE_QUEUE_H_
