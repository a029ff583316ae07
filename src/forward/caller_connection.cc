#include "src/forward/caller_connection.h"

#include <utility>
#include <vector>

#include "src/forward/http_format.h"

namespace cowsliphill {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kLookupPath = "/cowsliphill/entries";
constexpr milliseconds kLingerTimeout{1000};  // Time for a caller to read the last response.

// Returns the query string of a lookup request, or nullopt if the request has another path.
std::optional<std::string> LookupQuery(const HttpHead& head) {
  const std::string_view target = head.target;
  const size_t mark = target.find('?');
  if (target.substr(0, mark) != kLookupPath) return std::nullopt;
  if (mark == std::string::npos) return "";
  return head.target.substr(mark + 1);
}

}  // namespace

CallerConnection::CallerConnection(ForwardContext& context, HttpStream::Socket socket,
                                   std::function<void(CallerConnection&)> on_closed)
    : context_(context), on_closed_(std::move(on_closed)), idle_timer_(context.io) {
  std::error_code ec;
  const auto remote = socket.remote_endpoint(ec);
  if (!ec) caller_ip_ = remote.address().to_string();
  socket.set_option(asio::ip::tcp::no_delay(true), ec);
  socket.non_blocking(true, ec);
  const EdgeSettings& edge = context.settings.edge;
  stream_ = std::make_shared<HttpStream>(std::move(socket), HttpMessageType::kRequests,
                                         edge.max_header_bytes, kReadBufferBytes);
}

void CallerConnection::Start() { ReadNextRequest(); }

// Reads the next request if it may be read now, and otherwise only watches whether the caller
// leaves.
void CallerConnection::ReadNextRequest() {
  if (finished_ || !last_request_read_) return;
  if (pipeline_.Empty()) {
    if (close_when_idle_ && IsIdle()) return Finish(ConnectionAction::kClose);
    StartIdleTimer();
  }
  const bool may_read =
      pipeline_.Empty() || (!no_more_requests_ && !pipeline_.Full() && !context_.leaving);
  if (reading_head_) return;
  may_read ? ReadHead() : WatchCaller();
}

void CallerConnection::ReadHead() {
  reading_head_ = true;
  stream_->Read([self = shared_from_this()](const HttpEvent& event) {
    self->reading_head_ = false;
    self->OnHead(event);
  });
}

void CallerConnection::StartIdleTimer() {
  idle_timer_.expires_after(context_.settings.edge.idle_timeout);
  idle_timer_.async_wait([weak = weak_from_this()](std::error_code ec) {
    if (ec) return;
    if (const auto self = weak.lock()) self->Finish(ConnectionAction::kClose);
  });
}

void CallerConnection::OnHead(const HttpEvent& event) {
  idle_timer_.cancel();
  if (const auto* error = std::get_if<HttpError>(&event)) return OnInputEnded(*error);
  const HttpHead& head = std::get<HttpHead>(event);
  last_request_read_ = false;
  no_more_requests_ = !head.keep_alive;
  if (context_.lookup && LookupQuery(head)) {
    pipeline_.Add()->WhenFirst([self = shared_from_this(), head] { self->ServeLookup(head); });
  } else {
    StartExchange(head);
  }
  // The request may have to wait before the rest of it is read.
  if (!finished_ && !reading_head_ && !stream_->IsReading()) WatchCaller();
}

void CallerConnection::OnInputEnded(const HttpError& error) {
  if (error.kind == HttpErrorKind::kClosed || error.kind == HttpErrorKind::kTruncated) {
    if (error.kind == HttpErrorKind::kTruncated) {
      context_.observer.on_bad_input("framing", error.detail);
    }
    return OnCallerGone();
  }
  no_more_requests_ = true;
  const std::shared_ptr<PipelineSlot> slot = pipeline_.Add();
  if (!slot->IsFirst()) WatchCaller();
  slot->WhenFirst([self = shared_from_this(), error] { self->RejectMalformed(error); });
}

void CallerConnection::StartExchange(const HttpHead& head) {
  const std::shared_ptr<PipelineSlot> slot = pipeline_.Add();
  const std::weak_ptr<CallerConnection> weak = weak_from_this();
  Exchange::Caller caller;
  caller.stream = stream_;
  caller.slot = slot;
  caller.on_request_read = [weak] {
    const auto self = weak.lock();
    if (!self) return;
    self->last_request_read_ = true;
    self->ReadNextRequest();
  };
  caller.on_done = [weak, slot](ConnectionAction action) {
    if (const auto self = weak.lock()) self->OnExchangeDone(slot, action);
  };
  const auto exchange = std::make_shared<Exchange>(context_, std::move(caller), head);
  exchanges_.push_back(exchange);
  exchange->Start();
}

void CallerConnection::ServeLookup(const HttpHead& head) {
  const std::string body = context_.lookup(caller_ip_, *LookupQuery(head));
  const bool keep_alive = head.keep_alive && !context_.leaving;
  DiscardBody([self = shared_from_this(), body, keep_alive, is_head = head.method == "HEAD"] {
    self->last_request_read_ = true;
    std::string response = FormatJsonResponse(body, keep_alive);
    if (is_head) RemoveBody(response);
    self->stream_->Write(std::move(response), [self, keep_alive](bool ok) {
      self->OnAnswered(!ok          ? ConnectionAction::kAbort
                       : keep_alive ? ConnectionAction::kKeepAlive
                                    : ConnectionAction::kClose);
    });
  });
}

void CallerConnection::DiscardBody(std::function<void()> done) {
  stream_->Read([self = shared_from_this(), done = std::move(done)](const HttpEvent& event) {
    if (std::holds_alternative<HttpEnd>(event)) return done();
    if (std::holds_alternative<HttpError>(event)) return self->Finish(ConnectionAction::kAbort);
    self->DiscardBody(done);
  });
}

void CallerConnection::RejectMalformed(const HttpError& error) {
  context_.observer.on_bad_input("framing", error.detail);
  const bool large = error.kind == HttpErrorKind::kHeadersTooLarge;
  const ErrorResponse response{
      large ? 431 : 400, Outcome::kNotRun, {}, "http_request_error", error.detail};
  stream_->Write(context_.wire.error_response(response, RequestId(), false),
                 [self = shared_from_this()](bool) { self->Finish(ConnectionAction::kClose); });
}

void CallerConnection::WatchCaller() {
  stream_->WatchClose([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnCallerGone();
  });
}

void CallerConnection::OnCallerGone() {
  for (const auto& exchange : exchanges_) exchange->SetCallerGone();
  Finish(ConnectionAction::kAbort);
}

void CallerConnection::OnExchangeDone(const std::shared_ptr<PipelineSlot>& slot,
                                      ConnectionAction action) {
  if (finished_) return;
  if (slot->IsFirst()) {
    exchanges_.pop_front();
    return OnAnswered(action);
  }
  // It ended without an answer, so the connection breaks off once the earlier requests have theirs.
  no_more_requests_ = true;
  slot->WhenFirst([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Finish(ConnectionAction::kAbort);
  });
}

void CallerConnection::OnAnswered(ConnectionAction action) {
  if (finished_) return;
  if (action != ConnectionAction::kKeepAlive) return Finish(action);
  pipeline_.RemoveFirst();
  ReadNextRequest();
}

void CallerConnection::Finish(ConnectionAction action) {
  if (finished_) return;
  finished_ = true;
  const auto keep = shared_from_this();
  idle_timer_.cancel();
  pipeline_.Clear();
  for (const auto& exchange : std::exchange(exchanges_, {})) exchange->Abort();
  if (action == ConnectionAction::kAbort) {
    stream_->Close();
  } else {
    stream_->CloseGracefully(kLingerTimeout);
  }
  const auto on_closed = std::exchange(on_closed_, nullptr);
  if (on_closed) on_closed(*this);
}

void CallerConnection::Abort() { Finish(ConnectionAction::kAbort); }

void CallerConnection::CloseWhenIdle() {
  close_when_idle_ = true;
  if (pipeline_.Empty() && IsIdle()) Finish(ConnectionAction::kClose);
}

// Whether no part of a request has arrived.
bool CallerConnection::IsIdle() const {
  return stream_->BetweenMessages() && !stream_->HasUnread() && !stream_->Transport().HasInput();
}

}  // namespace cowsliphill
