#include "src/forward/attempt.h"

#include <utility>

namespace cowsliphill {

namespace {

// Limits on what is skipped before the response: interim responses and late responses to other
// requests.
constexpr uint32_t kMaxSkippedResponses = 100;
constexpr size_t kMaxSkippedBodyBytes = 1 << 20;

}  // namespace

Attempt::Attempt(BackendPool& pool, const Clock& clock, SendTo target, RequestClass request_class)
    : pool_(pool),
      clock_(clock),
      target_(std::move(target)),
      request_class_(request_class),
      start_time_(clock.Now()),
      send_time_(start_time_),
      response_head_time_(start_time_) {}

Attempt::~Attempt() { Close(); }

ConnectTarget Attempt::Address() const {
  ConnectTarget address;
  address.endpoint = target_.endpoint;
  address.server = target_.server;
  address.request = target_.request;
  address.time_left = target_.time_left;
  return address;
}

void Attempt::Start(MakeRequest make_request, ConnectionReuse reuse, bool head_request,
                    Events events) {
  events_ = std::move(events);
  head_request_ = head_request;
  pool_.Acquire(
      Address(), request_class_, reuse,
      [self = shared_from_this(), make_request = std::move(make_request)](
          std::variant<PooledConnection, ConnectError> result) {
        if (const auto* error = std::get_if<ConnectError>(&result)) {
          const bool leaving = *error == ConnectError::kLeaving;
          return self->Fail(
              leaving ? AttemptEnd::kNotStarted : AttemptEnd::kConnectFailed,
              leaving ? "another entry VM knows that the server is leaving" : "no connection");
        }
        self->OnConnected(std::get<PooledConnection>(std::move(result)), make_request);
      });
}

void Attempt::OnConnected(PooledConnection connection, const MakeRequest& make_request) {
  std::string bytes = closed_ ? "" : make_request();
  if (bytes.empty()) {
    pool_.ReturnUnused(Address(), request_class_, std::move(connection));
    return Fail(AttemptEnd::kCancelled,
                "it must not be sent any more, now that it has a connection");
  }
  connection_ = std::move(connection);
  through_ = connection_.through;
  if (through_.port != 0) send_time_ = clock_.Now();
  if (head_request_) connection_.stream->ExpectNoBody();
  write_started_ = true;
  connection_.stream->Write(std::move(bytes), [self = shared_from_this()](bool ok) {
    // A failed write may still have delivered bytes, so the pending read decides how the attempt
    // ends.
    const auto on_sent = self->events_.on_sent;
    if (ok && on_sent) on_sent();
  });
  ReadNext();
}

void Attempt::Send(std::string bytes, std::function<void(bool ok)> done) {
  if (closed_) return;
  connection_.stream->Write(std::move(bytes), std::move(done));
}

void Attempt::ReadNext() {
  if (closed_) return;
  connection_.stream->Read([weak = weak_from_this()](const HttpEvent& event) {
    if (const auto self = weak.lock()) self->OnEvent(event);
  });
}

void Attempt::OnEvent(const HttpEvent& event) {
  const auto self = shared_from_this();
  connection_.last_active = clock_.Now();
  if (const auto* head = std::get_if<HttpHead>(&event)) {
    if (events_.on_any_head) events_.on_any_head(*head);
    const bool is_interim = head->status < 200;  // Not forwarded.
    const ResponseMatch match =
        !is_interim && events_.match ? events_.match(*head) : ResponseMatch::kYes;
    const bool is_unmatched = match == ResponseMatch::kNo;
    saw_unmatched_response_ = saw_unmatched_response_ || match != ResponseMatch::kYes;
    if (is_unmatched && head_request_) {
      return Fail(AttemptEnd::kConnectionLost,
                  "a response to another request came before the response to HEAD, and whether it "
                  "has a body is unknown");
    }
    if (is_interim || is_unmatched) {
      if (++skipped_responses_ > kMaxSkippedResponses) {
        return Fail(AttemptEnd::kConnectionLost, "too many responses that are not the answer");
      }
      discarding_response_ = is_unmatched;
      return ReadNext();
    }
    pool_.OnResponse(Address(), connection_);
    has_response_ = true;
    response_unstated_ = match == ResponseMatch::kUnstated;
    keep_alive_ = head->keep_alive;
    response_head_time_ = clock_.Now();
  }
  if (discarding_response_ && !std::holds_alternative<HttpError>(event)) {
    if (const auto* body = std::get_if<HttpBody>(&event)) skipped_bytes_ += body->bytes.size();
    if (skipped_bytes_ > kMaxSkippedBodyBytes) {
      return Fail(AttemptEnd::kConnectionLost, "too long a response to another request");
    }
    discarding_response_ = !std::holds_alternative<HttpEnd>(event);
    return ReadNext();
  }
  if (std::holds_alternative<HttpEnd>(event)) {
    if (!has_response_) return ReadNext();  // This is the end of an interim response.
    response_complete_ = true;
  }
  const auto* error = std::get_if<HttpError>(&event);
  if (error != nullptr && !has_response_) {
    pool_.OnLost(Address(), connection_);
    return Fail(AttemptEnd::kConnectionLost, error->detail);
  }
  const auto on_response = events_.on_response;  // A copy: the call may clear events_ by Close.
  on_response(event);
}

void Attempt::Fail(AttemptEnd end, std::string detail) {
  if (closed_) return;
  const auto on_failed = std::move(events_.on_failed);
  Close();
  on_failed(end, std::move(detail));
}

bool Attempt::IsReusable() const {
  const HttpStream& stream = *connection_.stream;
  return response_complete_ && keep_alive_ && request_body_complete_ && !head_request_ &&
         !saw_unmatched_response_ && stream.BetweenMessages() && !stream.HasUnread() &&
         !stream.IsWriting();
}

void Attempt::Close() {
  if (closed_) return;
  closed_ = true;
  events_ = Events();
  if (!connection_.stream) return;
  if (IsReusable()) {
    pool_.Release(Address(), request_class_, std::move(connection_));
  } else {
    pool_.Discard(Address(), request_class_, connection_);
  }
  connection_ = PooledConnection();
}

}  // namespace cowsliphill
