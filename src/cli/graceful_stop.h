// The sequence of a graceful stop: new connections are accepted for a while longer; then open work
// is waited for; then the departure is announced to the peers, and the event loop stops once there
// was time to send these messages. Open work goes on until the event loop stops. Everything runs on
// the event loop's thread.

#ifndef COWSLIPHILL_CLI_GRACEFUL_STOP_H_
#define COWSLIPHILL_CLI_GRACEFUL_STOP_H_

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <utility>

#include "src/base/clock.h"

namespace cowsliphill {

class GracefulStop {
 public:
  // Interval between calls of Steps::may_depart.
  static constexpr std::chrono::milliseconds kPollInterval{50};

  struct Limits {
    std::chrono::milliseconds accept;  // Time for which new connections are accepted.
    std::chrono::milliseconds work;    // Time after which open work is waited for no longer.
  };
  struct Steps {
    std::function<void()> stop_accepting;
    // Returns whether the process may depart now. `waited` is the time since Begin. Called
    // repeatedly until it returns true, once of them when Limits::work has passed.
    std::function<bool(Duration waited)> may_depart;
    std::function<void()> depart;  // Announces the departure to the peers.
  };

  // `departure_time`: time between Steps::depart and the end of the event loop, in which the last
  // peer messages are sent.
  GracefulStop(asio::io_context& io, const Clock& clock, std::chrono::milliseconds departure_time)
      : io_(io), clock_(clock), departure_time_(departure_time), timer_(io) {}

  // Must be called at most once.
  void Begin(const Limits& limits, Steps steps) {
    begun_ = true;
    started_ = clock_.Now();
    work_limit_ = limits.work;
    steps_ = std::move(steps);
    After(limits.accept, [this] {
      steps_.stop_accepting();
      DepartWhenIdle();
    });
  }
  bool Begun() const { return begun_; }

 private:
  void DepartWhenIdle() {
    const Duration waited = clock_.Now() - started_;
    if (!steps_.may_depart(waited)) {
      const Duration left = work_limit_ - waited;
      const Duration wait =
          left > Duration{} ? std::min<Duration>(kPollInterval, left) : kPollInterval;
      return After(wait, [this] { DepartWhenIdle(); });
    }
    steps_.depart();
    After(departure_time_, [this] { io_.stop(); });
  }
  void After(Duration delay, std::function<void()> next) {
    timer_.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(delay));
    timer_.async_wait([next = std::move(next)](std::error_code ec) {
      if (!ec) next();
    });
  }

  asio::io_context& io_;
  const Clock& clock_;
  std::chrono::milliseconds departure_time_;
  asio::steady_timer timer_;
  Steps steps_;
  bool begun_ = false;
  MonotonicTime started_{};
  Duration work_limit_{};
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLI_GRACEFUL_STOP_H_
