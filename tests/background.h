// Sends a request from a background thread, so that a test can inject faults while it is open.

#ifndef COWSLIPHILL_TESTS_BACKGROUND_H_
#define COWSLIPHILL_TESTS_BACKGROUND_H_

#include <thread>
#include <utility>

#include "standins/caller.h"

namespace cowsliphill {

// Sends one request on its own thread. Join waits for it and returns what the caller received.
class BackgroundRequest {
 public:
  BackgroundRequest(standins::Caller caller, const standins::CallerRequest& request)
      : caller_(std::move(caller)), thread_([this, request] { result_ = caller_.Send(request); }) {}
  ~BackgroundRequest() {
    if (thread_.joinable()) thread_.join();
  }
  BackgroundRequest(const BackgroundRequest&) = delete;
  BackgroundRequest& operator=(const BackgroundRequest&) = delete;

  const standins::CallerResult& Join() {
    thread_.join();
    return result_;
  }

 private:
  standins::Caller caller_;
  standins::CallerResult result_;
  std::thread thread_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_TESTS_BACKGROUND_H_
