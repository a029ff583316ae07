// The part of an exchange that begins with a backend server's response: buffering or forwarding the
// response, and resuming an interrupted one.

#include <utility>

#include "src/forward/exchange.h"
#include "src/forward/http_format.h"
#include "src/measure/report.h"

namespace cowsliphill {

namespace {

// An attempt that delivered at least this many bytes of a response has made progress. The limit is
// less than a socket's initial buffer, because bytes in the buffer are still read after a reset: an
// attempt that delivered only these must count as progress.
constexpr uint64_t kResumeProgressBytes = 16384;

constexpr size_t kMaxBufferedResponseBytes = 1 << 20;  // Larger responses are streamed.
// Limit on the bodies buffered by all exchanges. Above it, responses are streamed whatever their
// size.
constexpr size_t kMaxBufferedResponsesBytes = 32 << 20;

// Whether the status by itself tells the caller that the request did not run.
bool StatusMeansNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// How an attempt ended whose server reported that it did not start the request.
AttemptEnd RefusalEnd(const std::optional<Report>& report) {
  const bool shed = report && report->shedding;
  return shed ? AttemptEnd::kShed : AttemptEnd::kNotStarted;
}

}  // namespace

void Exchange::OnResponse(const std::shared_ptr<Attempt>& attempt, const HttpEvent& event) {
  if (ended_ || !attempt) return;
  if (const auto* head = std::get_if<HttpHead>(&event)) return OnResponseHead(attempt, *head);
  if (attempt != attempt_) return;
  if (const auto* body = std::get_if<HttpBody>(&event)) {
    return partial_response_ ? BufferResponse(body->bytes) : ForwardBody(body->bytes);
  }
  if (std::holds_alternative<HttpEnd>(event)) {
    return partial_response_ ? OnResponseBuffered() : OnResponseEnd();
  }
  if (partial_response_) {
    partial_response_.reset();
    ReleaseBufferedBytes();
    return OnAttemptFailed(attempt, AttemptEnd::kConnectionLost, std::get<HttpError>(event).detail);
  }
  OnResponseInterrupted(AttemptEnd::kConnectionLost, std::get<HttpError>(event).detail);
}

void Exchange::OnResponseHead(const std::shared_ptr<Attempt>& attempt, const HttpHead& response) {
  if (resuming_) return OnResumedHead(response);
  if (response_started_) {  // Another response already goes to the caller.
    std::shared_ptr<Attempt> unused = attempt;
    return CloseAttempt(unused, AttemptEnd::kCancelled);
  }
  const std::optional<Report> report = context_.wire.report(response, meta_.service->report_format);
  attempt->SetNamedLimit(report ? report->limit : std::nullopt);
  const bool says_not_started = context_.wire.says_not_started(response);
  if (says_not_started && attempt->MayBeAnEarlierResponse()) {
    ReportAttemptEnd(attempt, AttemptEnd::kNotStarted, report);
    return OnAttemptFailed(attempt, AttemptEnd::kConnectionLost,
                           "the backend server sent a refusal that may belong to another request");
  }
  if (says_not_started) {
    const AttemptEnd refused = RefusalEnd(report);
    ReportAttemptEnd(attempt, refused, report);
    return OnAttemptFailed(attempt, refused,
                           "the backend server reported that it did not start the request");
  }
  if (attempt != attempt_) std::swap(attempt_, hedge_);
  CloseAttempt(hedge_, AttemptEnd::kCancelled);
  may_have_run_ = true;
  if (context_.wire.buffer_responses) {
    if (report) context_.on_report(attempt_->Target().server, *report);
    partial_response_ = BufferedResponse{response, {}};
    return attempt_->ReadNext();
  }
  if (response.close_delimited) {
    ReportAttemptEnd(attempt_, AttemptEnd::kServerError, report);
    attempt_->Close();
    return RespondWithError({502,
                             Outcome::kRan,
                             {},
                             "http_response_incomplete",
                             "the backend server's response has neither a length nor chunks, so a "
                             "truncated one would go unnoticed"});
  }
  // The server's report is passed on now; the request counts as in flight until the response's end.
  if (report) context_.on_report(attempt_->Target().server, *report);
  resume_point_ = ResumePointOf(head_, response);
  ForwardHead(response, "");
}

void Exchange::BufferResponse(std::string_view bytes) {
  partial_response_->body.append(bytes);
  buffered_bytes_ += bytes.size();
  context_.buffered_response_bytes += bytes.size();
  const bool fits = partial_response_->body.size() <= kMaxBufferedResponseBytes &&
                    context_.buffered_response_bytes <= kMaxBufferedResponsesBytes;
  return fits ? attempt_->ReadNext() : StreamBufferedResponse();
}

void Exchange::ReleaseBufferedBytes() {
  context_.buffered_response_bytes -= std::exchange(buffered_bytes_, 0);
}

// Sends what is buffered and streams the rest. The caller will see if it is interrupted.
void Exchange::StreamBufferedResponse() {
  BufferedResponse response = std::move(*partial_response_);
  partial_response_.reset();
  const int status = response.head.status;
  if (status >= 500 || StatusMeansNotRun(status)) {
    // Such a response may have to be replaced, which is impossible once its head was sent.
    ReleaseBufferedBytes();
    const std::shared_ptr<Attempt> attempt = attempt_;
    return OnAttemptFailed(attempt, AttemptEnd::kServerError,
                           "the backend server's error response is too long");
  }
  response.head.chunked = !response.head.content_length;
  ForwardHead(response.head, response.body);
}

void Exchange::OnResponseBuffered() {
  BufferedResponse response = std::move(*partial_response_);
  partial_response_.reset();
  const bool server_error = response.head.status >= 500;
  ReportAttemptEnd(attempt_, server_error ? AttemptEnd::kServerError : AttemptEnd::kAnswered,
                   std::nullopt);
  attempt_->Close();
  attempt_.reset();
  buffered_response_ = std::move(response);
  if (server_error && MayRetry(AttemptEnd::kServerError)) return Retry();
  DeliverBufferedResponse();
}

bool Exchange::DeliverBufferedResponse() {
  if (!buffered_response_) return false;
  BufferedResponse response = std::move(*buffered_response_);
  buffered_response_.reset();
  const bool status_denies_run = context_.wire.status_implies_outcome && !meta_.idempotent &&
                                 StatusMeansNotRun(response.head.status);
  if (status_denies_run) {
    RespondWithError({502,
                      Outcome::kRan,
                      {},
                      "http_response_incomplete",
                      "the backend server sent status 408, 421, 429 or 503 without stating that it "
                      "did not start the request"});
    return true;
  }
  response.head.chunked = false;
  if (!response.head.no_body) response.head.content_length = response.body.size();
  sent_status_ = response.head.status;
  request_end_.outcome = Outcome::kRan;
  request_end_.late = context_.clock.Now() > deadline_;
  WriteCompleteResponse([this, response = std::move(response)](bool keep_alive) {
    return context_.wire.caller_response(response.head, meta_.id, keep_alive) + response.body;
  });
  return true;
}

void Exchange::ForwardHead(const HttpHead& response, const std::string& first_bytes) {
  response_started_ = true;
  stored_response_.content_type = response.Find("content-type").value_or("");
  response_chunked_ = response.chunked;
  sent_status_ = response.status;
  if (caller_.slot->IsFirst()) return SendHead(response, first_bytes);
  // The answers to earlier requests come first. Nothing more is read from the server meanwhile.
  if (context_.wire.buffer_responses) {
    ArmTimer(TimerUse::kStreamDeadline, deadline_ - context_.clock.Now());
  }
  caller_.slot->WhenFirst([self = shared_from_this(), response, first_bytes] {
    if (!self->ended_ && self->attempt_) self->SendHead(response, first_bytes);
  });
}

void Exchange::SendHead(const HttpHead& response, const std::string& first_bytes) {
  request_end_.first_byte = context_.clock.Now() - started_;
  request_end_.late = context_.clock.Now() > deadline_;
  ArmStreamTimer(TimerUse::kCallerSilence, context_.settings.edge.idle_timeout);
  const bool keep_alive = ActionAfterResponse() == ConnectionAction::kKeepAlive;
  std::string out = context_.wire.caller_response(response, meta_.id, keep_alive);
  if (!first_bytes.empty()) out += response_chunked_ ? FormatChunk(first_bytes) : first_bytes;
  caller_stream_->Write(std::move(out), [self = shared_from_this()](bool ok) {
    if (self->ended_) return;
    if (!ok) return self->OnCallerGone();
    self->ReleaseBufferedBytes();
    self->ArmStreamTimer(TimerUse::kBackendSilence,
                         self->context_.settings.backend.silence_timeout);
    self->attempt_->ReadNext();
  });
}

void Exchange::ForwardBody(std::string_view bytes) {
  if (resume_point_) resume_point_->offset += bytes.size();
  if (claim_) StoreResponseBody(bytes);
  ArmStreamTimer(TimerUse::kCallerSilence, context_.settings.edge.idle_timeout);
  caller_stream_->Write(response_chunked_ ? FormatChunk(bytes) : std::string(bytes),
                        [self = shared_from_this()](bool ok) {
                          if (self->ended_) return;
                          if (!ok) return self->OnCallerGone();
                          self->ArmStreamTimer(TimerUse::kBackendSilence,
                                               self->context_.settings.backend.silence_timeout);
                          self->attempt_->ReadNext();
                        });
}

void Exchange::StoreResponseBody(std::string_view bytes) {
  if (!stored_response_.body_kept) return;
  stored_response_.body.append(bytes);
  if (stored_response_.body.size() <= kKeptBodyBytes) return;
  stored_response_.body.clear();
  stored_response_.body_kept = false;
}

void Exchange::OnResponseEnd() {
  const bool server_error = sent_status_ >= 500;
  ReportAttemptEnd(attempt_, server_error ? AttemptEnd::kServerError : AttemptEnd::kAnswered,
                   std::nullopt);
  attempt_->Close();
  request_end_.whole = true;
  if (!response_chunked_) return End(ActionAfterResponse());
  caller_stream_->Write(std::string(kLastChunk), [self = shared_from_this()](bool ok) {
    if (self->ended_) return;
    if (!ok) return self->OnCallerGone();
    self->End(self->ActionAfterResponse());
  });
}

void Exchange::OnResponseInterrupted(AttemptEnd end, const std::string& detail) {
  CloseAttempt(attempt_, end);
  stored_response_.body_kept = false;
  last_failure_ = "the response was interrupted: " + detail;
  if (!resume_point_ || !meta_.idempotent) return End(ConnectionAction::kAbort);
  const bool made_progress = resume_point_->offset >= resumed_at_ + kResumeProgressBytes;
  resumed_at_ = resume_point_->offset;
  resuming_ = true;
  ArmTimer(TimerUse::kBackendSilence, context_.settings.backend.silence_timeout);
  context_.dispatcher.Resume(ticket_, made_progress ? ResumeProgress::kSome : ResumeProgress::kNone,
                             ChoiceHandler());
}

void Exchange::OnResumedHead(const HttpHead& response) {
  if (!ContinuesAt(response, *resume_point_)) {
    ReportAttemptEnd(attempt_, AttemptEnd::kAnswered,
                     context_.wire.report(response, meta_.service->report_format));
    last_failure_ =
        "the response was interrupted and the next backend server could not continue it";
    attempt_->Close();
    return End(ConnectionAction::kAbort);
  }
  resuming_ = false;
  ArmTimer(TimerUse::kBackendSilence, context_.settings.backend.silence_timeout);
  attempt_->ReadNext();
}

}  // namespace cowsliphill
