// Sends single HTTP requests and reads each response completely within its timeouts. Never retries.

#ifndef COWSLIPHILL_FORWARD_HTTP_CALL_H_
#define COWSLIPHILL_FORWARD_HTTP_CALL_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/forward/backend_pool.h"

namespace cowsliphill {

struct HttpCallResponse {
  HttpHead head;
  std::string body;
};

// Limits of one call. A transfer that makes progress may take up to `total`, so that the size of a
// response does not decide whether it arrives.
struct HttpCallTimeouts {
  std::chrono::milliseconds head;     // From the call to the head of the response.
  std::chrono::milliseconds silence;  // Between two parts of the body.
  std::chrono::milliseconds total;    // From the call to the end of the response.

  // Limits only the whole call.
  static HttpCallTimeouts Total(std::chrono::milliseconds total) { return {total, total, total}; }
};

// Why a call failed. Unless it was not sent, the request may have had an effect.
enum class HttpCallErrorKind {
  kNotSent,         // No connection was made, so the request certainly had no effect.
  kTimedOut,        // One of the timeouts passed before the response was complete.
  kConnectionLost,  // The connection ended, or delivered bytes that are not a response.
  kTooLarge,        // The response's body exceeds the limit.
};

struct HttpCallError {
  HttpCallErrorKind kind = HttpCallErrorKind::kNotSent;
  std::chrono::milliseconds took{0};  // From the call to its failure.
  size_t body_bytes = 0;              // Bytes of the response's body that had arrived.
  std::string detail = {};            // What was wrong with the response; may be empty.
};

// Returns one sentence for logs.
std::string Describe(const HttpCallError& error);

class HttpClient {
 public:
  using Done = std::function<void(const Result<HttpCallResponse, HttpCallError>&)>;

  HttpClient(asio::io_context& io, const Clock& clock, const BackendSettings& settings,
             size_t max_header_bytes, size_t buffer_bytes, size_t max_body_bytes,
             LinkHooks links = {});

  // `request` is the head and the body. `done` runs once, never inside the call.
  void Call(const ConnectTarget& to, std::string request, const HttpCallTimeouts& timeouts,
            Done done);
  void CloseIdle() { pool_.CloseIdle(); }
  void CloseAll() { pool_.CloseAll(); }

 private:
  struct OpenCall;
  void Finish(const std::shared_ptr<OpenCall>& call,
              Result<HttpCallResponse, HttpCallError> result);
  void Fail(const std::shared_ptr<OpenCall>& call, HttpCallErrorKind kind, std::string detail = {});
  // Fails the call after `duration`, or earlier if its total time is over before.
  void ArmTimer(const std::shared_ptr<OpenCall>& call, std::chrono::milliseconds duration);

  asio::io_context& io_;
  const Clock& clock_;
  BackendPool pool_;
  size_t max_body_bytes_;  // Limit of a response's body.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_HTTP_CALL_H_
