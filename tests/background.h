// A caller that sends one request while the test goes on.

#ifndef COWSLIPHILL_TESTS_BACKGROUND_H_
#define COWSLIPHILL_TESTS_BACKGROUND_H_

#include <thread>
#include <utility>

#include "standins/caller.h"

namespace cowsliphill {

// Sends a request on its own thread; Join gives what the caller saw.
class Background {
 public:
  Background(standins::Caller caller, const standins::CallerRequest& request)
      : caller_(std::move(caller)), thread_([this, request] { view_ = caller_.Send(request); }) {}
  ~Background() {
    if (thread_.joinable()) thread_.join();
  }
  Background(const Background&) = delete;
  Background& operator=(const Background&) = delete;

  const standins::CallerView& Join() {
    thread_.join();
    return view_;
  }

 private:
  standins::Caller caller_;
  standins::CallerView view_;
  std::thread thread_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_TESTS_BACKGROUND_H_
