// The part of an exchange that begins with a backend server's answer: gathering or forwarding it,
// and taking up one that broke off.

#include <utility>

#include "src/forward/exchange.h"
#include "src/forward/http_format.h"
#include "src/measure/report.h"

namespace cowsliphill {

namespace {

// Bytes; less than what a socket holds at its start, which is read also after a reset.
constexpr uint64_t kResumeProgress = 16384;

constexpr size_t kMostGathered = 1 << 20;  // Bytes of an answer; larger ones are streamed.

// Statuses that promise by themselves that the request did not run.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Whether the answer is the server's own word that it refused without starting.
AttemptEnd RefusalOf(const std::optional<Report>& report) {
  const bool shed = report && report->shedding;
  return shed ? AttemptEnd::kShed : AttemptEnd::kNotStarted;
}

}  // namespace

void Exchange::OnAnswer(const std::shared_ptr<Attempt>& attempt, const HttpEvent& event) {
  if (ended_ || !attempt) return;
  if (const auto* head = std::get_if<HttpHead>(&event)) return OnAnswerHead(attempt, *head);
  if (attempt != attempt_) return;
  if (const auto* body = std::get_if<HttpBody>(&event)) {
    return gathered_ ? Gather(body->bytes) : ForwardBody(body->bytes);
  }
  if (std::holds_alternative<HttpEnd>(event)) return gathered_ ? OnGathered() : OnAnswerEnd();
  if (gathered_) {
    gathered_.reset();
    return OnAttemptFailed(attempt, AttemptEnd::kConnectionLost, std::get<HttpError>(event).detail);
  }
  OnAnswerBroken(AttemptEnd::kConnectionLost, std::get<HttpError>(event).detail);
}

void Exchange::OnAnswerHead(const std::shared_ptr<Attempt>& attempt, const HttpHead& answer) {
  if (resuming_) return OnResumedHead(answer);
  if (answering_) {  // The caller gets one answer.
    std::shared_ptr<Attempt> late = attempt;
    return Drop(late, AttemptEnd::kCancelled);
  }
  const std::optional<Report> report = context_.wire.report(answer, meta_.service->report_format);
  if (context_.wire.says_not_started(answer)) {
    const AttemptEnd refused = RefusalOf(report);
    ReportEnd(attempt, refused, report);
    return OnAttemptFailed(attempt, refused, "the backend server did not start it");
  }
  if (attempt != attempt_) std::swap(attempt_, hedge_);
  Drop(hedge_, AttemptEnd::kCancelled);
  may_have_run_ = true;
  if (context_.wire.buffer_responses) {
    if (report) context_.on_report(attempt_->Target().server, *report);
    gathered_ = GatheredAnswer{answer, {}};
    return attempt_->ReadNext();
  }
  if (answer.close_delimited) {
    ReportEnd(attempt_, AttemptEnd::kServerError, report);
    attempt_->Close();
    return AnswerVerdict({502,
                          Outcome::kRan,
                          {},
                          "http_response_incomplete",
                          "the backend server's answer has neither length nor chunks, so its end "
                          "can't be proven"});
  }
  // Load is reported now; the request stays in flight until the answer's end.
  if (report) context_.on_report(attempt_->Target().server, *report);
  resume_ = ResumePointOf(head_, answer);
  ForwardHead(answer, "");
}

void Exchange::Gather(std::string_view bytes) {
  gathered_->body.append(bytes);
  if (gathered_->body.size() <= kMostGathered) return attempt_->ReadNext();
  // Too large to keep: from here on the caller sees a break as a break.
  GatheredAnswer answer = std::move(*gathered_);
  gathered_.reset();
  answer.head.chunked = !answer.head.content_length;
  ForwardHead(answer.head, answer.body);
}

void Exchange::OnGathered() {
  GatheredAnswer answer = std::move(*gathered_);
  gathered_.reset();
  const bool server_error = answer.head.status >= 500;
  ReportEnd(attempt_, server_error ? AttemptEnd::kServerError : AttemptEnd::kAnswered,
            std::nullopt);
  attempt_->Close();
  attempt_.reset();
  spare_ = std::move(answer);
  if (server_error && MayTryAgain(AttemptEnd::kServerError)) return TryAgain();
  DeliverSpare();
}

bool Exchange::DeliverSpare() {
  if (!spare_) return false;
  GatheredAnswer answer = std::move(*spare_);
  spare_.reset();
  const bool false_promise = context_.wire.status_implies_outcome && !meta_.idempotent &&
                             PromisesNotRun(answer.head.status);
  if (false_promise) {
    AnswerVerdict({502,
                   Outcome::kRan,
                   {},
                   "http_response_incomplete",
                   "the backend server failed after it had started"});
    return true;
  }
  answer.head.chunked = false;
  answer.head.content_length = answer.body.size();
  answer_status_ = answer.head.status;
  end_.outcome = Outcome::kRan;
  end_.late = context_.clock.Now() > deadline_;
  const bool keep_alive = FateAfterAnswer() == ConnectionFate::kKeep;
  WriteLast(context_.wire.caller_response(answer.head, meta_.id, keep_alive) + answer.body);
  return true;
}

void Exchange::ForwardHead(const HttpHead& answer, const std::string& first_bytes) {
  answering_ = true;
  kept_answer_.content_type = answer.Find("content-type").value_or("");
  answer_chunked_ = answer.chunked;
  answer_status_ = answer.status;
  end_.first_byte = context_.clock.Now() - started_;
  end_.late = context_.clock.Now() > deadline_;
  Arm(TimerUse::kCallerSilence, context_.settings.edge.idle_timeout);
  const bool keep_alive = FateAfterAnswer() == ConnectionFate::kKeep;
  std::string out = context_.wire.caller_response(answer, meta_.id, keep_alive);
  if (!first_bytes.empty()) out += answer_chunked_ ? FormatChunk(first_bytes) : first_bytes;
  caller_->Write(std::move(out), [self = shared_from_this()](bool ok) {
    if (self->ended_) return;
    if (!ok) return self->OnCallerGone();
    self->Arm(TimerUse::kBackendSilence, self->context_.settings.backend.silence_timeout);
    self->attempt_->ReadNext();
  });
}

void Exchange::ForwardBody(std::string_view bytes) {
  if (resume_) resume_->offset += bytes.size();
  if (claim_) KeepBody(bytes);
  Arm(TimerUse::kCallerSilence, context_.settings.edge.idle_timeout);
  caller_->Write(answer_chunked_ ? FormatChunk(bytes) : std::string(bytes),
                 [self = shared_from_this()](bool ok) {
                   if (self->ended_) return;
                   if (!ok) return self->OnCallerGone();
                   self->Arm(TimerUse::kBackendSilence,
                             self->context_.settings.backend.silence_timeout);
                   self->attempt_->ReadNext();
                 });
}

void Exchange::KeepBody(std::string_view bytes) {
  if (!kept_answer_.body_kept) return;
  kept_answer_.body.append(bytes);
  if (kept_answer_.body.size() <= kKeptBodyBytes) return;
  kept_answer_.body.clear();
  kept_answer_.body_kept = false;
}

void Exchange::OnAnswerEnd() {
  const bool server_error = answer_status_ >= 500;
  ReportEnd(attempt_, server_error ? AttemptEnd::kServerError : AttemptEnd::kAnswered,
            std::nullopt);
  attempt_->Close();
  end_.whole = true;
  if (!answer_chunked_) return End(FateAfterAnswer());
  caller_->Write(std::string(kLastChunk), [self = shared_from_this()](bool ok) {
    if (self->ended_) return;
    if (!ok) return self->OnCallerGone();
    self->End(self->FateAfterAnswer());
  });
}

void Exchange::OnAnswerBroken(AttemptEnd end, const std::string& detail) {
  Drop(attempt_, end);
  kept_answer_.body_kept = false;
  failure_ = "the answer broke off: " + detail;
  if (!resume_ || !meta_.idempotent) return End(ConnectionFate::kAbort);
  const bool further = resume_->offset >= taken_up_at_ + kResumeProgress;
  taken_up_at_ = resume_->offset;
  resuming_ = true;
  Arm(TimerUse::kBackendSilence, context_.settings.backend.silence_timeout);
  context_.dispatcher.Resume(ticket_, further ? ResumeProgress::kSome : ResumeProgress::kNone,
                             WhenChosen());
}

void Exchange::OnResumedHead(const HttpHead& answer) {
  if (!ContinuesAt(answer, *resume_)) {
    ReportEnd(attempt_, AttemptEnd::kAnswered,
              context_.wire.report(answer, meta_.service->report_format));
    failure_ = "the answer broke off and no backend server has the same one";
    attempt_->Close();
    return End(ConnectionFate::kAbort);
  }
  resuming_ = false;
  Arm(TimerUse::kBackendSilence, context_.settings.backend.silence_timeout);
  attempt_->ReadNext();
}

}  // namespace cowsliphill
