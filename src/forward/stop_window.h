// Decides which requests a stopping entry VM still sends to servers. Pure: times are passed in.
//
// Open requests are cut off at the end of the stop. A request that arrived later than kEarlyTime
// after the signal is sent only if all of its time fits into the stop. One that arrived before may
// lose a part of its time: it probably ends in time, and refusing it costs the caller a retry.

#ifndef COWSLIPHILL_FORWARD_STOP_WINDOW_H_
#define COWSLIPHILL_FORWARD_STOP_WINDOW_H_

#include <algorithm>
#include <chrono>

#include "src/base/clock.h"

namespace cowsliphill {

struct StopWindow {
  // Time before the end by which servers have to answer, so that an answer given at their time
  // limit still reaches the caller.
  static constexpr std::chrono::milliseconds kFinalAnswerTime{100};
  // Requests sent up to 3 s after the signal may be cut off. The difference is for a signal that
  // this process handles late.
  static constexpr std::chrono::milliseconds kEarlyTime{2900};
  // Smallest share of its time that an early request must have left before the end. One that can't
  // be repeated needs more, because its caller can do nothing when a server runs out of time.
  static constexpr double kMinShare = 0.5;
  static constexpr double kMinShareUnrepeatable = 0.75;

  MonotonicTime begin = MonotonicTime::max();  // Time of the signal.
  MonotonicTime end = MonotonicTime::max();    // What is open then is cut off.

  // Time by which servers have to answer a request with this deadline.
  MonotonicTime ServerDeadline(MonotonicTime deadline) const {
    return std::min(deadline, end - kFinalAnswerTime);
  }
  // Whether a request may be sent now. `deadline` is the earlier one of the caller's and the
  // route's.
  bool MaySend(MonotonicTime arrived, MonotonicTime deadline, bool repeatable,
               MonotonicTime now) const {
    const MonotonicTime server_deadline = ServerDeadline(deadline);
    if (server_deadline >= deadline) return true;
    if (arrived - begin > kEarlyTime) return false;
    const double min_share = repeatable ? kMinShare : kMinShareUnrepeatable;
    return server_deadline - now >= Times(deadline - now, min_share);
  }
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_STOP_WINDOW_H_
