#include "src/members/ticker.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <system_error>
#include <utility>

namespace cowsliphill {

struct Ticker::State {
  State(asio::io_context& loop, std::chrono::milliseconds interval, std::function<void()> task)
      : timer(loop), interval(interval), task(std::move(task)) {}

  asio::steady_timer timer;
  std::chrono::milliseconds interval;
  std::function<void()> task;
  bool stopped = false;
};

Ticker::Ticker(asio::io_context& loop, std::chrono::milliseconds interval,
               std::function<void()> task)
    : state_(std::make_shared<State>(loop, interval, std::move(task))) {
  Schedule(state_);
}

Ticker::~Ticker() {
  state_->stopped = true;
  state_->timer.cancel();
}

void Ticker::Schedule(const std::shared_ptr<State>& state) {
  state->timer.expires_after(state->interval);
  state->timer.async_wait([state](std::error_code ec) {
    if (ec || state->stopped) return;
    state->task();
    if (!state->stopped) Schedule(state);
  });
}

}  // namespace cowsliphill
