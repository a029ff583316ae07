// Steps of a graceful stop, on the loop's thread: callers still come for a while, then open work is
// waited for, then the last peer messages go out and the loop ends.

#ifndef COWSLIPHILL_CLI_GRACEFUL_STOP_H_
#define COWSLIPHILL_CLI_GRACEFUL_STOP_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <utility>

#include "src/base/clock.h"

namespace cowsliphill {

class GracefulStop {
 public:
  // Between looks whether the last work has ended.
  static constexpr std::chrono::milliseconds kPollInterval{50};

  struct Steps {
    std::function<void()> stop_accepting;
    // Whether it may end now, so long after Begin; asked again until it may.
    std::function<bool(Duration waited)> may_depart;
    std::function<void()> depart;
  };

  // `farewell`: for the last peer messages to go out.
  GracefulStop(asio::io_context& io, const Clock& clock, std::chrono::milliseconds farewell)
      : io_(io), clock_(clock), farewell_(farewell), timer_(io) {}

  // Call once.
  void Begin(std::chrono::milliseconds accept_for, Steps steps) {
    begun_ = true;
    started_ = clock_.Now();
    steps_ = std::move(steps);
    After(accept_for, [this] {
      steps_.stop_accepting();
      DepartWhenIdle();
    });
  }
  bool Begun() const { return begun_; }

 private:
  void DepartWhenIdle() {
    if (!steps_.may_depart(clock_.Now() - started_)) {
      return After(kPollInterval, [this] { DepartWhenIdle(); });
    }
    steps_.depart();
    After(farewell_, [this] { io_.stop(); });
  }
  void After(std::chrono::milliseconds delay, std::function<void()> next) {
    timer_.expires_after(delay);
    timer_.async_wait([next = std::move(next)](std::error_code ec) {
      if (!ec) next();
    });
  }

  asio::io_context& io_;
  const Clock& clock_;
  std::chrono::milliseconds farewell_;
  asio::steady_timer timer_;
  Steps steps_;
  bool begun_ = false;
  MonotonicTime started_{};
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLI_GRACEFUL_STOP_H_
