// Runs a task at the earliest of the times that were asked for, so that an idle process wakes up
// only when something is due. The task asks for the next time itself.
//
//   WakeTimer timer(io, clock, [this] { ... timer.WakeBy(next); });
//   timer.WakeBy(clock.Now() + delay);

#ifndef COWSLIPHILL_BASE_WAKE_TIMER_H_
#define COWSLIPHILL_BASE_WAKE_TIMER_H_

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <utility>

#include "src/base/clock.h"

namespace cowsliphill {

class WakeTimer {
 public:
  WakeTimer(asio::io_context& io, const Clock& clock, std::function<void()> task)
      : clock_(clock), timer_(io), task_(std::move(task)) {}
  WakeTimer(const WakeTimer&) = delete;
  WakeTimer& operator=(const WakeTimer&) = delete;

  // Runs the task at `time`, or earlier if it is due earlier. An earlier time that is no longer
  // needed is not taken back: that would cost more than a run of the task.
  void WakeBy(MonotonicTime time) {
    if (due_ && *due_ <= time) return;
    due_ = time;
    timer_.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(
        std::max(time - clock_.Now(), Duration{})));
    timer_.async_wait([this](std::error_code ec) {
      if (ec) return;
      due_.reset();
      task_();
    });
  }
  void Cancel() {
    due_.reset();
    timer_.cancel();
  }

 private:
  const Clock& clock_;
  asio::steady_timer timer_;
  std::function<void()> task_;
  std::optional<MonotonicTime> due_;  // When the task runs next.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BASE_WAKE_TIMER_H_
