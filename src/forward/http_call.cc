#include "src/forward/http_call.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <utility>

#include "src/forward/attempt.h"

namespace cowsliphill {

namespace {

const char* NameOf(HttpCallErrorKind kind) {
  switch (kind) {
    case HttpCallErrorKind::kNotSent:
      return "no connection could be made";
    case HttpCallErrorKind::kTimedOut:
      return "the response was not complete in time";
    case HttpCallErrorKind::kConnectionLost:
      return "the connection ended or delivered bytes that are not a response";
    case HttpCallErrorKind::kTooLarge:
      return "the response's body exceeds the limit";
  }
  return "";
}

}  // namespace

std::string Describe(const HttpCallError& error) {
  return fmt::format("{}{}{}: after {} ms, {} bytes of the body received", NameOf(error.kind),
                     error.detail.empty() ? "" : ", ", error.detail, error.took.count(),
                     error.body_bytes);
}

struct HttpClient::OpenCall {
  OpenCall(asio::io_context& io, const HttpCallTimeouts& limits, MonotonicTime now)
      : timer(io), timeouts(limits), started(now) {}
  asio::steady_timer timer;
  HttpCallTimeouts timeouts;
  MonotonicTime started;
  std::shared_ptr<Attempt> attempt;
  HttpCallResponse response;
  Done done;  // Null after it was called.
};

HttpClient::HttpClient(asio::io_context& io, const Clock& clock, const BackendSettings& settings,
                       size_t max_header_bytes, size_t buffer_bytes, size_t max_body_bytes,
                       LinkHooks links)
    : io_(io),
      clock_(clock),
      pool_(io, clock, settings, max_header_bytes, buffer_bytes, std::move(links)),
      max_body_bytes_(max_body_bytes) {}

void HttpClient::ArmTimer(const std::shared_ptr<OpenCall>& call,
                          std::chrono::milliseconds duration) {
  const Duration left = call->timeouts.total - (clock_.Now() - call->started);
  call->timer.expires_after(std::clamp<Duration>(duration, Duration{}, std::max(left, Duration{})));
  call->timer.async_wait([this, call](std::error_code ec) {
    if (!ec) Fail(call, HttpCallErrorKind::kTimedOut);
  });
}

void HttpClient::Call(const ConnectTarget& to, std::string request,
                      const HttpCallTimeouts& timeouts, Done done) {
  const auto call = std::make_shared<OpenCall>(io_, timeouts, clock_.Now());
  call->done = std::move(done);
  ArmTimer(call, timeouts.head);
  SendTo target;
  target.endpoint = to.endpoint;
  target.server = to.server;
  target.request = to.request;
  target.time_left = to.time_left;
  call->attempt = std::make_shared<Attempt>(pool_, clock_, target, RequestClass::kRoutine);
  Attempt::Events events;
  events.on_failed = [this, call](AttemptEnd end, const std::string& detail) {
    const bool sent = end != AttemptEnd::kConnectFailed;
    Fail(call, sent ? HttpCallErrorKind::kConnectionLost : HttpCallErrorKind::kNotSent, detail);
  };
  events.on_response = [this, call](const HttpEvent& event) {
    if (const auto* head = std::get_if<HttpHead>(&event)) call->response.head = *head;
    if (const auto* body = std::get_if<HttpBody>(&event)) call->response.body.append(body->bytes);
    if (std::holds_alternative<HttpEnd>(event)) return Finish(call, std::move(call->response));
    if (const auto* error = std::get_if<HttpError>(&event)) {
      return Fail(call, HttpCallErrorKind::kConnectionLost, error->detail);
    }
    if (call->response.body.size() > max_body_bytes_) {
      return Fail(call, HttpCallErrorKind::kTooLarge);
    }
    ArmTimer(call, call->timeouts.silence);
    call->attempt->ReadNext();
  };
  call->attempt->Start([request = std::move(request)] { return request; },
                       ConnectionReuse::kAllowed, false, std::move(events));
}

void HttpClient::Finish(const std::shared_ptr<OpenCall>& call,
                        Result<HttpCallResponse, HttpCallError> result) {
  const Done done = std::exchange(call->done, nullptr);
  if (!done) return;
  call->timer.cancel();
  call->attempt->Close();
  done(result);
}

void HttpClient::Fail(const std::shared_ptr<OpenCall>& call, HttpCallErrorKind kind,
                      std::string detail) {
  const auto took =
      std::chrono::duration_cast<std::chrono::milliseconds>(clock_.Now() - call->started);
  Finish(call, HttpCallError{kind, took, call->response.body.size(), std::move(detail)});
}

}  // namespace cowsliphill
