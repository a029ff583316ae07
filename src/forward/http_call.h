// Sends single HTTP requests and reads each response completely within a timeout. Never retries.

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

enum class HttpCallError {
  kNotSent,     // No connection was made, so the request certainly had no effect.
  kNoResponse,  // No complete response arrived; the request may have had an effect.
};

class HttpClient {
 public:
  using Done = std::function<void(const Result<HttpCallResponse, HttpCallError>&)>;

  HttpClient(asio::io_context& io, const Clock& clock, const BackendSettings& settings,
             size_t max_header_bytes, size_t buffer_bytes, size_t max_body_bytes);

  // `request` is the head and the body. `done` runs once, never inside the call.
  void Call(const Endpoint& server, std::string request, std::chrono::milliseconds timeout,
            Done done);
  void CloseIdle() { pool_.CloseIdle(); }
  void CloseAll() { pool_.CloseAll(); }

 private:
  struct OpenCall;
  void Finish(const std::shared_ptr<OpenCall>& call,
              Result<HttpCallResponse, HttpCallError> result);

  asio::io_context& io_;
  const Clock& clock_;
  BackendPool pool_;
  size_t max_body_bytes_;  // Limit of a response's body.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_HTTP_CALL_H_
