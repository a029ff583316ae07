// Whether a scheduler that is the one to share out the limits of servers in warm-up may do so. A
// paused or cut-off scheduler does not know that another one has taken over; if both went on, the
// servers would get twice their limit. So a scheduler stops before another one takes over:
//   - It must have heard from another entry VM lately, if another one would take over.
//   - After a pause of this process it waits for the messages of the one that has taken over.
//   - While it sees less than half of the entry VMs of the last seconds, it takes itself for the
//     part that is cut off.

#ifndef COWSLIPHILL_SCHEDULE_LIMIT_LEASE_H_
#define COWSLIPHILL_SCHEDULE_LIMIT_LEASE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "src/base/clock.h"

namespace cowsliphill {

class LimitLease {
 public:
  // Shorter than the time after which another scheduler takes over, which counts from its last
  // message: some 0.1 s earlier than the last message from there.
  static constexpr std::chrono::milliseconds kMaxSilence{300};
  // Time without a call of OnRun after which the process was paused: updates are sent three times
  // as often while there are limits.
  static constexpr std::chrono::milliseconds kMaxGap{300};
  // The one that has taken over sends updates at this interval or a shorter one.
  static constexpr std::chrono::milliseconds kWaitAfterGap{150};
  // For this long after entry VMs are gone, they may be cut off and go on.
  static constexpr std::chrono::milliseconds kMemberMemory{10000};

  // `live`: number of live entry VMs, with this one.
  void OnMembers(size_t live, MonotonicTime now) {
    if (live >= most_ || now - most_seen_at_ > kMemberMemory) most_ = live;
    if (live == most_) most_seen_at_ = now;
    if (live < live_ && live_ == most_) most_seen_at_ = now;
    live_ = live;
  }
  // A message of another entry VM has arrived.
  void OnMessage(MonotonicTime now) { heard_at_ = now; }
  // To be called at each event while there are limits. Returns whether there was a pause.
  bool OnRun(MonotonicTime now) {
    const bool paused = now - ran_at_ > kMaxGap;
    if (paused) resumes_at_ = now + kWaitAfterGap;
    ran_at_ = now;
    return paused;
  }
  // Limits begin now, so OnRun was not called before.
  void Begin(MonotonicTime now) { ran_at_ = now; }

  // `others`: another scheduler would take over.
  bool Holds(bool others, MonotonicTime now) const {
    if (now < resumes_at_) return false;
    if (2 * live_ < most_ && now - most_seen_at_ <= kMemberMemory) return false;
    return !others || now - heard_at_ <= kMaxSilence;
  }

 private:
  size_t live_ = 1;
  size_t most_ = 1;  // Most entry VMs seen within kMemberMemory, roughly.
  MonotonicTime most_seen_at_{};
  MonotonicTime heard_at_{};
  MonotonicTime ran_at_{};
  MonotonicTime resumes_at_{};
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SCHEDULE_LIMIT_LEASE_H_
