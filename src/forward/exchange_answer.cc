// The part of an exchange that begins with a backend server's answer: buffering or forwarding the
// answer, and resuming an interrupted one.

#include <utility>

#include "src/forward/exchange.h"
#include "src/forward/http_format.h"
#include "src/measure/report.h"

namespace cowsliphill {

namespace {

// An attempt that delivered at least this many bytes of an answer has made progress. Less than a
// socket's initial buffer, whose bytes are still read after a reset.
constexpr uint64_t kResumeProgress = 16384;

constexpr size_t kMaxBufferedAnswerBytes = 1 << 20;  // Larger answers are streamed.

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

void Exchange::OnAnswer(const std::shared_ptr<Attempt>& attempt, const HttpEvent& event) {
  if (ended_ || !attempt) return;
  if (const auto* head = std::get_if<HttpHead>(&event)) return OnAnswerHead(attempt, *head);
  if (attempt != attempt_) return;
  if (const auto* body = std::get_if<HttpBody>(&event)) {
    return buffered_ ? BufferAnswer(body->bytes) : ForwardBody(body->bytes);
  }
  if (std::holds_alternative<HttpEnd>(event)) return buffered_ ? OnAnswerBuffered() : OnAnswerEnd();
  if (buffered_) {
    buffered_.reset();
    return OnAttemptFailed(attempt, AttemptEnd::kConnectionLost, std::get<HttpError>(event).detail);
  }
  OnAnswerBroken(AttemptEnd::kConnectionLost, std::get<HttpError>(event).detail);
}

void Exchange::OnAnswerHead(const std::shared_ptr<Attempt>& attempt, const HttpHead& answer) {
  if (resuming_) return OnResumedHead(answer);
  if (answer_started_) {  // Another answer already goes to the caller.
    std::shared_ptr<Attempt> unused = attempt;
    return CloseAttempt(unused, AttemptEnd::kCancelled);
  }
  const std::optional<Report> report = context_.wire.report(answer, meta_.service->report_format);
  if (context_.wire.says_not_started(answer)) {
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
    buffered_ = BufferedAnswer{answer, {}};
    return attempt_->ReadNext();
  }
  if (answer.close_delimited) {
    ReportAttemptEnd(attempt_, AttemptEnd::kServerError, report);
    attempt_->Close();
    return AnswerVerdict({502,
                          Outcome::kRan,
                          {},
                          "http_response_incomplete",
                          "the backend server's answer has neither a length nor chunks, so a "
                          "truncated one would go unnoticed"});
  }
  // The server's report is passed on now; the request counts as in flight until the answer's end.
  if (report) context_.on_report(attempt_->Target().server, *report);
  resume_point_ = ResumePointOf(head_, answer);
  ForwardHead(answer, "");
}

void Exchange::BufferAnswer(std::string_view bytes) {
  buffered_->body.append(bytes);
  if (buffered_->body.size() <= kMaxBufferedAnswerBytes) return attempt_->ReadNext();
  // The answer is too large to buffer. It is streamed from here on, and the caller will see if it
  // is interrupted.
  BufferedAnswer answer = std::move(*buffered_);
  buffered_.reset();
  answer.head.chunked = !answer.head.content_length;
  ForwardHead(answer.head, answer.body);
}

void Exchange::OnAnswerBuffered() {
  BufferedAnswer answer = std::move(*buffered_);
  buffered_.reset();
  const bool server_error = answer.head.status >= 500;
  ReportAttemptEnd(attempt_, server_error ? AttemptEnd::kServerError : AttemptEnd::kAnswered,
                   std::nullopt);
  attempt_->Close();
  attempt_.reset();
  held_answer_ = std::move(answer);
  if (server_error && MayRetry(AttemptEnd::kServerError)) return Retry();
  DeliverHeldAnswer();
}

bool Exchange::DeliverHeldAnswer() {
  if (!held_answer_) return false;
  BufferedAnswer answer = std::move(*held_answer_);
  held_answer_.reset();
  const bool status_denies_run = context_.wire.status_implies_outcome && !meta_.idempotent &&
                                 StatusMeansNotRun(answer.head.status);
  if (status_denies_run) {
    AnswerVerdict({502,
                   Outcome::kRan,
                   {},
                   "http_response_incomplete",
                   "the backend server failed after it had started the request"});
    return true;
  }
  answer.head.chunked = false;
  answer.head.content_length = answer.body.size();
  answer_status_ = answer.head.status;
  request_end_.outcome = Outcome::kRan;
  request_end_.late = context_.clock.Now() > deadline_;
  const bool keep_alive = ActionAfterAnswer() == ConnectionAction::kKeepAlive;
  WriteFinalAnswer(context_.wire.caller_response(answer.head, meta_.id, keep_alive) + answer.body);
  return true;
}

void Exchange::ForwardHead(const HttpHead& answer, const std::string& first_bytes) {
  answer_started_ = true;
  kept_answer_.content_type = answer.Find("content-type").value_or("");
  answer_chunked_ = answer.chunked;
  answer_status_ = answer.status;
  request_end_.first_byte = context_.clock.Now() - started_;
  request_end_.late = context_.clock.Now() > deadline_;
  ArmTimer(TimerUse::kCallerSilence, context_.settings.edge.idle_timeout);
  const bool keep_alive = ActionAfterAnswer() == ConnectionAction::kKeepAlive;
  std::string out = context_.wire.caller_response(answer, meta_.id, keep_alive);
  if (!first_bytes.empty()) out += answer_chunked_ ? FormatChunk(first_bytes) : first_bytes;
  caller_stream_->Write(std::move(out), [self = shared_from_this()](bool ok) {
    if (self->ended_) return;
    if (!ok) return self->OnCallerGone();
    self->ArmTimer(TimerUse::kBackendSilence, self->context_.settings.backend.silence_timeout);
    self->attempt_->ReadNext();
  });
}

void Exchange::ForwardBody(std::string_view bytes) {
  if (resume_point_) resume_point_->offset += bytes.size();
  if (claim_) KeepAnswerBody(bytes);
  ArmTimer(TimerUse::kCallerSilence, context_.settings.edge.idle_timeout);
  caller_stream_->Write(answer_chunked_ ? FormatChunk(bytes) : std::string(bytes),
                        [self = shared_from_this()](bool ok) {
                          if (self->ended_) return;
                          if (!ok) return self->OnCallerGone();
                          self->ArmTimer(TimerUse::kBackendSilence,
                                         self->context_.settings.backend.silence_timeout);
                          self->attempt_->ReadNext();
                        });
}

void Exchange::KeepAnswerBody(std::string_view bytes) {
  if (!kept_answer_.body_kept) return;
  kept_answer_.body.append(bytes);
  if (kept_answer_.body.size() <= kKeptBodyBytes) return;
  kept_answer_.body.clear();
  kept_answer_.body_kept = false;
}

void Exchange::OnAnswerEnd() {
  const bool server_error = answer_status_ >= 500;
  ReportAttemptEnd(attempt_, server_error ? AttemptEnd::kServerError : AttemptEnd::kAnswered,
                   std::nullopt);
  attempt_->Close();
  request_end_.whole = true;
  if (!answer_chunked_) return End(ActionAfterAnswer());
  caller_stream_->Write(std::string(kLastChunk), [self = shared_from_this()](bool ok) {
    if (self->ended_) return;
    if (!ok) return self->OnCallerGone();
    self->End(self->ActionAfterAnswer());
  });
}

void Exchange::OnAnswerBroken(AttemptEnd end, const std::string& detail) {
  CloseAttempt(attempt_, end);
  kept_answer_.body_kept = false;
  last_failure_ = "the answer was interrupted: " + detail;
  if (!resume_point_ || !meta_.idempotent) return End(ConnectionAction::kAbort);
  const bool made_progress = resume_point_->offset >= resumed_at_ + kResumeProgress;
  resumed_at_ = resume_point_->offset;
  resuming_ = true;
  ArmTimer(TimerUse::kBackendSilence, context_.settings.backend.silence_timeout);
  context_.dispatcher.Resume(ticket_, made_progress ? ResumeProgress::kSome : ResumeProgress::kNone,
                             ChoiceHandler());
}

void Exchange::OnResumedHead(const HttpHead& answer) {
  if (!ContinuesAt(answer, *resume_point_)) {
    ReportAttemptEnd(attempt_, AttemptEnd::kAnswered,
                     context_.wire.report(answer, meta_.service->report_format));
    last_failure_ = "the answer was interrupted and the next backend server could not continue it";
    attempt_->Close();
    return End(ConnectionAction::kAbort);
  }
  resuming_ = false;
  ArmTimer(TimerUse::kBackendSilence, context_.settings.backend.silence_timeout);
  attempt_->ReadNext();
}

}  // namespace cowsliphill
