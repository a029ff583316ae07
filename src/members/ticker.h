// Calls a function at a fixed interval on the loop's thread until the Ticker is destroyed.

#ifndef COWSLIPHILL_MEMBERS_TICKER_H_
#define COWSLIPHILL_MEMBERS_TICKER_H_

#include <chrono>
#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace cowsliphill {

class Ticker {
 public:
  Ticker(asio::io_context& loop, std::chrono::milliseconds interval, std::function<void()> task);
  ~Ticker();
  Ticker(const Ticker&) = delete;
  Ticker& operator=(const Ticker&) = delete;

 private:
  struct State;
  static void Schedule(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;  // Shared with the pending wait, which may outlive the Ticker.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_TICKER_H_
