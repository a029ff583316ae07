#include "src/forward/http_call.h"

#include <asio/steady_timer.hpp>
#include <utility>

#include "src/forward/attempt.h"

namespace cowsliphill {

struct HttpClient::OpenCall {
  explicit OpenCall(asio::io_context& io) : timer(io) {}
  asio::steady_timer timer;
  std::shared_ptr<Attempt> attempt;
  HttpCallResponse response;
  Done done;  // Null after it was called.
};

HttpClient::HttpClient(asio::io_context& io, const Clock& clock, const BackendSettings& settings,
                       size_t max_header_bytes, size_t buffer_bytes, size_t max_body_bytes)
    : io_(io),
      clock_(clock),
      pool_(io, clock, settings, max_header_bytes, buffer_bytes),
      max_body_bytes_(max_body_bytes) {}

void HttpClient::Call(const Endpoint& server, std::string request,
                      std::chrono::milliseconds timeout, Done done) {
  const auto call = std::make_shared<OpenCall>(io_);
  call->done = std::move(done);
  call->timer.expires_after(timeout);
  call->timer.async_wait([this, call](std::error_code ec) {
    if (!ec) Finish(call, HttpCallError::kNoResponse);
  });
  SendTo target;
  target.endpoint = server;
  call->attempt = std::make_shared<Attempt>(pool_, clock_, target, RequestClass::kRoutine);
  Attempt::Events events;
  events.on_failed = [this, call](AttemptEnd end, const std::string&) {
    const bool sent = end != AttemptEnd::kConnectFailed;
    Finish(call, sent ? HttpCallError::kNoResponse : HttpCallError::kNotSent);
  };
  events.on_response = [this, call](const HttpEvent& event) {
    if (const auto* head = std::get_if<HttpHead>(&event)) call->response.head = *head;
    if (const auto* body = std::get_if<HttpBody>(&event)) call->response.body.append(body->bytes);
    if (std::holds_alternative<HttpEnd>(event)) return Finish(call, std::move(call->response));
    const bool too_large = call->response.body.size() > max_body_bytes_;
    if (too_large || std::holds_alternative<HttpError>(event)) {
      return Finish(call, HttpCallError::kNoResponse);
    }
    call->attempt->ReadNext();
  };
  call->attempt->Start(std::move(request), ConnectionReuse::kAllowed, false, std::move(events));
}

void HttpClient::Finish(const std::shared_ptr<OpenCall>& call,
                        Result<HttpCallResponse, HttpCallError> result) {
  const Done done = std::exchange(call->done, nullptr);
  if (!done) return;
  call->timer.cancel();
  call->attempt->Close();
  done(result);
}

}  // namespace cowsliphill
