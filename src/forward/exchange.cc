#include "src/forward/exchange.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "src/measure/report.h"

namespace cowsliphill {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetryAfterDeadline{1000};  // Told to callers whose deadline passed.

std::string AsChunk(std::string_view bytes) {
  std::array<char, 20> size;
  const int n = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string chunk(size.data(), static_cast<size_t>(n));
  return chunk.append(bytes).append("\r\n");
}

constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::optional<Report> ReportOn(const HttpHead& answer, ReportFormat format) {
  return ParseReport(format, [&answer](const std::string& name) { return answer.Find(name); });
}

// Whether the answer is the server's own word that it refused without starting.
std::optional<AttemptEnd> RefusalOf(const HttpHead& answer, const std::optional<Report>& report) {
  if (!SaysNotStarted(answer)) return std::nullopt;
  const bool shed = report && report->shedding;
  return shed ? AttemptEnd::kShed : AttemptEnd::kNotStarted;
}

}  // namespace

// ---- 1. Start ----------------------------------------------------------------------------------

Exchange::Exchange(ForwardContext& context, std::shared_ptr<HttpStream> caller, HttpHead head,
                   Done done)
    : context_(context),
      caller_(std::move(caller)),
      head_(std::move(head)),
      done_(std::move(done)),
      manifest_(context.manifest()),
      timer_(context.io),
      started_(context.clock.Now()) {
  ++context_.open_requests;
}

Exchange::~Exchange() { --context_.open_requests; }

void Exchange::Start() {
  end_.started = context_.clock.WallNow();
  auto result = ReadRequestMeta(head_, *manifest_, context_.ids);
  if (!Ok(result)) {
    const BadRequest bad = ErrorOf(result);
    meta_.id = ReadRequestId(head_, context_.ids);
    context_.observer.on_bad_input("request", bad.detail);
    return AnswerVerdict({bad.status, Outcome::kNotRun, {}, "http_request_error", bad.detail});
  }
  meta_ = std::move(ValueOf(result));
  deadline_ = started_ + meta_.timeout;
  if (context_.open_requests > manifest_->entry.max_requests) {
    return AnswerVerdict({503, Outcome::kNotRun, milliseconds(1000), "connection_limit_reached",
                          "this entry VM has as many open requests as it may have"});
  }
  ticket_ = context_.next_ticket++;
  if (context_.observer.on_started) context_.observer.on_started(meta_.id, meta_);
  Arm(TimerUse::kDeadline, deadline_ - started_);
  const bool wants_continue = head_.Find("expect").value_or("") == "100-continue";
  if (!wants_continue) return ReadFirstPart();
  caller_->Write("HTTP/1.1 100 Continue\r\n\r\n", [self = shared_from_this()](bool ok) {
    if (!ok) return self->OnCallerGone();
    self->ReadFirstPart();
  });
}

void Exchange::ReadFirstPart() {
  caller_->Read(
      [self = shared_from_this()](const HttpEvent& event) { self->OnRequestBody(event); });
}

void Exchange::OnRequestBody(const HttpEvent& event) {
  if (ended_ || answering_) return;
  if (const auto* error = std::get_if<HttpError>(&event)) {
    if (error->kind == HttpErrorKind::kCut) return OnCallerGone();
    context_.observer.on_bad_input("body", error->detail);
    return AnswerVerdict({400, Outcome::kNotRun, {}, "http_request_error", error->detail});
  }
  if (std::holds_alternative<HttpEnd>(event)) {
    body_whole_ = true;
    return OnFirstPartRead();
  }
  body_.append(std::get<HttpBody>(event).bytes);
  if (body_.size() >= context_.settings.edge.buffer_bytes) return OnFirstPartRead();
  ReadFirstPart();
}

void Exchange::OnFirstPartRead() {
  if (body_whole_) {
    const bool has_body = head_.chunked || head_.content_length.has_value();
    head_.chunked = false;
    if (has_body) head_.content_length = body_.size();
    caller_->WatchClose([self = shared_from_this()] { self->OnCallerGone(); });
  }
  ChoiceRequest request;
  request.ticket = ticket_;
  request.service = meta_.service->id;
  request.request_class = meta_.request_class;
  request.tenant = meta_.tenant;
  request.deadline = deadline_;
  request.repeatable = meta_.idempotent && body_whole_;
  request.depth = meta_.depth;
  context_.dispatcher.Choose(request, [weak = weak_from_this()](const Choice& choice) {
    if (const auto self = weak.lock()) self->OnChoice(choice);
  });
}

// ---- 2. Choice and attempts --------------------------------------------------------------------

void Exchange::OnChoice(const Choice& choice) {
  if (ended_) return;
  if (const auto* target = std::get_if<SendTo>(&choice)) return StartAttempt(*target);
  const Refuse& refusal = std::get<Refuse>(choice);
  if (answering_) return End(ConnectionFate::kAbort);
  if (end_.attempts > 0) return AnswerVerdict(FailureVerdict());
  AnswerVerdict(RefusalVerdict(refusal));
}

void Exchange::StartAttempt(const SendTo& target) {
  const MonotonicTime now = context_.clock.Now();
  if (end_.attempts == 0) end_.waited = now - started_;
  ++end_.attempts;
  end_.server = target.server;
  end_reported_ = false;
  attempt_ = std::make_shared<Attempt>(context_.pool, context_.clock, target, meta_.request_class);
  attempt_->SetRequestWhole(body_whole_);
  Attempt::Events events;
  events.on_answer = [self = shared_from_this()](const HttpEvent& event) { self->OnAnswer(event); };
  events.on_failed = [self = shared_from_this()](AttemptEnd end, const std::string& detail) {
    self->OnAttemptFailed(end, detail);
  };
  if (!body_whole_) {
    events.on_sent = [self = shared_from_this()] { self->PumpRequestBody(); };
  }
  attempt_->Start(FirstBytesFor(target), meta_.idempotent, head_.method == "HEAD",
                  std::move(events));
}

std::string Exchange::FirstBytesFor(const SendTo& target) const {
  const auto left = std::chrono::duration_cast<milliseconds>(deadline_ - context_.clock.Now());
  if (resuming_) {
    return FormatResumeRequest(head_, meta_, context_.settings.backend.silence_timeout,
                               target.endpoint, *resume_);
  }
  std::string bytes = FormatBackendRequest(head_, meta_, left, target.endpoint);
  if (body_.empty()) return bytes;
  return bytes += head_.chunked ? AsChunk(body_) : body_;
}

void Exchange::ReportEnd(AttemptEnd end, const std::optional<Report>& report) {
  if (end_reported_ || !attempt_) return;
  end_reported_ = true;
  AttemptResult result;
  result.end = end;
  result.latency = attempt_->HasAnswer() ? attempt_->FirstByteLatency() : Duration{};
  if (!attempt_->HasAnswer()) result.latency = attempt_->Age();
  result.report = report;
  context_.dispatcher.OnEnded(ticket_, attempt_->Target().server, result);
}

void Exchange::OnAttemptFailed(AttemptEnd end, const std::string& detail) {
  if (ended_) return;
  if (resuming_) return OnAnswerBroken(end, detail);
  if (attempt_->SentBytes()) may_have_run_ = true;
  failure_ = detail;
  ReportEnd(end, std::nullopt);
  attempt_->Close();
  if (!MayTryAgain(end)) return AnswerVerdict(FailureVerdict());
  TryAgain();
}

bool Exchange::MayTryAgain(AttemptEnd end) const {
  if (!body_whole_ && body_open_) return false;  // What was sent is not kept.
  const bool did_not_run = end == AttemptEnd::kConnectFailed || end == AttemptEnd::kNotStarted ||
                           end == AttemptEnd::kShed;
  return did_not_run || (meta_.idempotent && body_whole_);
}

void Exchange::TryAgain() {
  context_.dispatcher.Retry(ticket_, [weak = weak_from_this()](const Choice& choice) {
    if (const auto self = weak.lock()) self->OnChoice(choice);
  });
}

// ---- 3. The rest of the request's body ---------------------------------------------------------

void Exchange::PumpRequestBody() {
  if (ended_) return;
  body_open_ = true;
  caller_->Read(
      [self = shared_from_this()](const HttpEvent& event) { self->OnMoreRequestBody(event); });
}

void Exchange::OnMoreRequestBody(const HttpEvent& event) {
  if (ended_ || end_reported_) return;
  if (const auto* error = std::get_if<HttpError>(&event)) {
    context_.observer.on_bad_input("body", error->detail);
    return OnCallerGone();  // The backend server sees the cut and can't take it for a whole body.
  }
  if (std::holds_alternative<HttpEnd>(event)) {
    caller_->WatchClose([self = shared_from_this()] { self->OnCallerGone(); });
    if (!head_.chunked) return attempt_->SetRequestWhole(true);
    return attempt_->Send(std::string(kLastChunk), [self = shared_from_this()](bool ok) {
      if (ok && !self->ended_) self->attempt_->SetRequestWhole(true);
    });
  }
  const std::string_view bytes = std::get<HttpBody>(event).bytes;
  attempt_->Send(head_.chunked ? AsChunk(bytes) : std::string(bytes),
                 [self = shared_from_this()](bool ok) {
                   if (ok) self->PumpRequestBody();
                 });
}

// ---- 4. The answer -----------------------------------------------------------------------------

void Exchange::OnAnswer(const HttpEvent& event) {
  if (ended_) return;
  if (const auto* head = std::get_if<HttpHead>(&event)) return OnAnswerHead(*head);
  if (const auto* body = std::get_if<HttpBody>(&event)) return ForwardBody(body->bytes);
  if (std::holds_alternative<HttpEnd>(event)) return OnAnswerEnd();
  OnAnswerBroken(AttemptEnd::kCut, std::get<HttpError>(event).detail);
}

void Exchange::OnAnswerHead(const HttpHead& answer) {
  if (resuming_) return OnResumedHead(answer);
  const std::optional<Report> report = ReportOn(answer, meta_.service->report_format);
  if (const std::optional<AttemptEnd> refused = RefusalOf(answer, report)) {
    ReportEnd(*refused, report);
    failure_ = "the backend server did not start it";
    attempt_->Close();
    if (!MayTryAgain(*refused)) return AnswerVerdict(FailureVerdict());
    return TryAgain();
  }
  may_have_run_ = true;
  if (answer.ends_by_close) {
    ReportEnd(AttemptEnd::kServerError, report);
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
  ForwardHead(answer);
}

void Exchange::ForwardHead(const HttpHead& answer) {
  answering_ = true;
  answer_chunked_ = answer.chunked;
  answer_status_ = answer.status;
  end_.first_byte = context_.clock.Now() - started_;
  end_.late = context_.clock.Now() > deadline_;
  Arm(TimerUse::kCallerSilence, context_.settings.edge.idle_timeout);
  caller_->Write(FormatCallerAnswer(answer, meta_.id, FateAfterAnswer() == ConnectionFate::kKeep),
                 [self = shared_from_this()](bool ok) {
                   if (self->ended_) return;
                   if (!ok) return self->OnCallerGone();
                   self->Arm(TimerUse::kBackendSilence,
                             self->context_.settings.backend.silence_timeout);
                   self->attempt_->ReadNext();
                 });
}

void Exchange::ForwardBody(std::string_view bytes) {
  if (resume_) resume_->offset += bytes.size();
  Arm(TimerUse::kCallerSilence, context_.settings.edge.idle_timeout);
  caller_->Write(
      answer_chunked_ ? AsChunk(bytes) : std::string(bytes), [self = shared_from_this()](bool ok) {
        if (self->ended_) return;
        if (!ok) return self->OnCallerGone();
        self->Arm(TimerUse::kBackendSilence, self->context_.settings.backend.silence_timeout);
        self->attempt_->ReadNext();
      });
}

void Exchange::OnAnswerEnd() {
  const bool server_error = answer_status_ >= 500;
  ReportEnd(server_error ? AttemptEnd::kServerError : AttemptEnd::kAnswered, std::nullopt);
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
  ReportEnd(end, std::nullopt);
  attempt_->Close();
  failure_ = "the answer broke off: " + detail;
  if (!resume_ || !meta_.idempotent) return End(ConnectionFate::kAbort);
  resuming_ = true;
  Arm(TimerUse::kBackendSilence, context_.settings.backend.silence_timeout);
  TryAgain();
}

void Exchange::OnResumedHead(const HttpHead& answer) {
  if (!ContinuesAt(answer, *resume_)) {
    ReportEnd(AttemptEnd::kAnswered, ReportOn(answer, meta_.service->report_format));
    failure_ = "the answer broke off and no backend server has the same one";
    attempt_->Close();
    return End(ConnectionFate::kAbort);
  }
  resuming_ = false;
  Arm(TimerUse::kBackendSilence, context_.settings.backend.silence_timeout);
  attempt_->ReadNext();
}

// ---- 5. Ends -----------------------------------------------------------------------------------

void Exchange::Arm(TimerUse use, Duration duration) {
  timer_.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(duration));
  timer_.async_wait([weak = weak_from_this(), use](std::error_code ec) {
    if (ec) return;
    if (const auto self = weak.lock()) self->OnTimer(use);
  });
}

void Exchange::OnTimer(TimerUse use) {
  if (ended_) return;
  if (use == TimerUse::kCallerSilence) return OnCallerGone();
  if (use == TimerUse::kBackendSilence) {
    if (resuming_) return End(ConnectionFate::kAbort);
    return OnAnswerBroken(AttemptEnd::kTimedOut, "the backend server fell silent");
  }
  if (answering_) return;
  if (attempt_ && attempt_->SentBytes() && !end_reported_) may_have_run_ = true;
  ReportEnd(AttemptEnd::kTimedOut, std::nullopt);
  if (attempt_) attempt_->Close();
  AnswerVerdict({504, MayHaveRun() ? Outcome::kUnknown : Outcome::kNotRun, kRetryAfterDeadline,
                 "connection_timeout", "not answered within the deadline"});
}

void Exchange::OnCallerGone() {
  if (ended_) return;
  if (attempt_ && attempt_->SentBytes() && !end_reported_) may_have_run_ = true;
  ReportEnd(AttemptEnd::kCancelled, std::nullopt);
  end_.caller_gone = true;
  failure_ = "the caller closed its connection";
  End(ConnectionFate::kAbort);
}

Verdict Exchange::RefusalVerdict(const Refuse& refusal) const {
  Verdict verdict{503, Outcome::kNotRun, refusal.retry_after, "connection_limit_reached", ""};
  switch (refusal.cause) {
    case RefusalCause::kUnknownService:
      return {404, Outcome::kNotRun, {}, "destination_not_found", "no such service"};
    case RefusalCause::kNoBackendServer:
      verdict.error = "destination_unavailable";
      verdict.detail = "no backend server takes work now";
      return verdict;
    case RefusalCause::kOverload:
      verdict.detail = "it can't be answered in its time";
      return verdict;
    case RefusalCause::kDeadline:
      verdict.status = 504;
      verdict.error = "connection_timeout";
      verdict.detail = "its deadline has passed";
      return verdict;
    case RefusalCause::kRetryBudget:
      verdict.detail = "another try is not affordable";
      return verdict;
  }
  return verdict;
}

Verdict Exchange::FailureVerdict() const {
  if (MayHaveRun()) {
    return {502, Outcome::kUnknown, milliseconds(1000), "connection_terminated", failure_};
  }
  return {503, Outcome::kNotRun, milliseconds(1000), "destination_unavailable", failure_};
}

ConnectionFate Exchange::FateAfterAnswer() const {
  const bool body_read = body_whole_ || caller_->BetweenMessages();
  return head_.keep_alive && body_read && !context_.leaving ? ConnectionFate::kKeep
                                                            : ConnectionFate::kClose;
}

void Exchange::AnswerVerdict(Verdict verdict) {
  if (ended_) return;
  answering_ = true;
  answer_status_ = verdict.status;
  end_.detail = verdict.detail;
  end_.outcome = verdict.outcome;
  end_.first_byte = context_.clock.Now() - started_;
  const ConnectionFate fate = FateAfterAnswer();
  if (ticket_ != 0) context_.dispatcher.Finish(ticket_);
  ticket_ = 0;
  Arm(TimerUse::kCallerSilence, context_.settings.edge.idle_timeout);
  caller_->Write(FormatOwnAnswer(verdict, meta_.id, fate == ConnectionFate::kKeep),
                 [self = shared_from_this(), fate](bool ok) {
                   self->end_.whole = ok;
                   self->End(ok ? fate : ConnectionFate::kAbort);
                 });
}

void Exchange::Abandon() {
  if (!ended_) End(ConnectionFate::kAbort);
}

void Exchange::End(ConnectionFate fate) {
  if (ended_) return;
  ended_ = true;
  timer_.cancel();
  ReportEnd(AttemptEnd::kCancelled, std::nullopt);
  if (attempt_) attempt_->Close();
  if (ticket_ != 0) context_.dispatcher.Finish(ticket_);
  const bool own_answer = !end_.detail.empty();
  end_.id = meta_.id;
  end_.service = meta_.service != nullptr ? meta_.service->id : ServiceId();
  end_.tenant = meta_.tenant;
  end_.request_class = meta_.request_class;
  end_.status = answer_status_;
  end_.deadline = meta_.timeout;
  end_.took = context_.clock.Now() - started_;
  if (!own_answer) {
    end_.detail = failure_;
    end_.outcome =
        answering_ ? Outcome::kRan : (MayHaveRun() ? Outcome::kUnknown : Outcome::kNotRun);
  }
  if (context_.observer.on_ended) context_.observer.on_ended(end_);
  const Done done = std::move(done_);
  done(fate);
}

}  // namespace cowsliphill
