#include "src/forward/exchange.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <utility>

#include "src/forward/http_format.h"
#include "xxhash.h"

namespace cowsliphill {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetryAfterDeadline{1000};  // Told to callers whose deadline passed.
constexpr milliseconds kRetryAfterStart{150};      // Told to callers of an entry VM that does not
                                                   // know the manifest yet.
constexpr milliseconds kReadyPoll{10};             // While requests wait for it at a start.

// What a caller is told whose claim was not granted.
ErrorResponse VerdictOf(const ClaimAnswer& answer) {
  if (const auto* running = std::get_if<StillRunning>(&answer)) {
    return {409, Outcome::kUnknown, running->retry_after, "http_request_denied",
            "request " + running->first.Text() + " with this key is still running"};
  }
  if (const auto* unknown = std::get_if<OutcomeUnknown>(&answer)) {
    return {409,
            Outcome::kUnknown,
            {},
            "http_request_denied",
            "request " + unknown->first.Text() +
                " with this key may have run; it is not run again under this key"};
  }
  if (std::holds_alternative<KeyMismatch>(answer)) {
    return {422,
            Outcome::kNotRun,
            {},
            "http_request_denied",
            "idempotency-key: found one that was used for another request; allowed: a new one"};
  }
  if (std::holds_alternative<KeyExpired>(answer)) {
    return {410,
            Outcome::kUnknown,
            {},
            "http_request_denied",
            "idempotency-key: found one past its lifetime; whether it ran is no longer known"};
  }
  ErrorResponse verdict{503, Outcome::kNotRun, milliseconds(1000), "destination_unavailable",
                        "the platform can't be asked whether this key has run"};
  if (const auto* unavailable = std::get_if<ClaimUnavailable>(&answer)) {
    verdict.retry_after = unavailable->retry_after;
  }
  return verdict;
}

}  // namespace

// ---- 1. Start ----------------------------------------------------------------------------------

Exchange::Exchange(ForwardContext& context, std::shared_ptr<HttpStream> caller, HttpHead head,
                   Done done)
    : context_(context),
      caller_(std::move(caller)),
      head_(std::move(head)),
      done_(std::move(done)),
      timer_(context.io),
      started_(context.clock.Now()) {
  ++context_.open_requests;
}

Exchange::~Exchange() {
  context_.exchanges.erase(ticket_);
  --context_.open_requests;
}

void Exchange::Start() {
  end_.started = context_.clock.WallNow();
  AwaitCatalog();
}

void Exchange::AwaitCatalog() {
  if (context_.ready()) return Admit();
  if (!context_.starting || !context_.starting()) {
    meta_.id = ReadRequestId(head_, context_.ids);
    return AnswerVerdict({503, Outcome::kNotRun, kRetryAfterStart, "proxy_configuration_error",
                          "this entry VM does not know the manifest in force yet"});
  }
  timer_.expires_after(kReadyPoll);
  timer_.async_wait([self = shared_from_this()](std::error_code ec) {
    if (!ec) self->AwaitCatalog();
  });
}

void Exchange::Admit() {
  manifest_ = context_.manifest();
  auto result = context_.wire.read_request(head_, *manifest_, context_.ids);
  if (!Ok(result)) {
    const BadRequest bad = ErrorOf(result);
    meta_.id = ReadRequestId(head_, context_.ids);
    context_.observer.on_bad_input("request", bad.detail);
    return AnswerVerdict({bad.status, Outcome::kNotRun, {}, "http_request_error", bad.detail});
  }
  meta_ = std::move(ValueOf(result));
  const bool has_limit = meta_.route_timeout.count() > 0;
  deadline_ = started_ + (has_limit ? std::min(meta_.timeout, meta_.route_timeout) : meta_.timeout);
  if (head_.content_length.value_or(0) > manifest_->entry.max_body_bytes) {
    return AnswerVerdict({413,
                          Outcome::kNotRun,
                          {},
                          "http_request_error",
                          "the body is larger than the manifest allows"});
  }
  if (context_.open_requests > manifest_->entry.max_requests) {
    return AnswerVerdict({503, Outcome::kNotRun, milliseconds(1000), "connection_limit_reached",
                          "this entry VM has as many open requests as it may have"});
  }
  ticket_ = context_.next_ticket++;
  context_.exchanges[ticket_] = this;
  end_.record = context_.observer.on_started(meta_, end_.started);
  Arm(TimerUse::kDeadline, deadline_ - context_.clock.Now());
  const bool wants_continue = head_.Find("expect").value_or("") == "100-continue";
  if (!wants_continue) return ReadFirstPart();
  caller_->Write("HTTP/1.1 100 Continue\r\n\r\n", [self = shared_from_this()](bool ok) {
    if (self->ended_ || self->answering_) return;
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
    if (error->kind == HttpErrorKind::kTruncated) return OnCallerGone();
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
  const bool keyed = !meta_.idempotent && !meta_.key.empty();
  if (keyed && context_.claims != nullptr) return BeginClaim();
  Choose();
}

// ---- 2. Claim, choice and attempts -------------------------------------------------------------

void Exchange::BeginClaim() {
  ClaimRequest request;
  request.service = meta_.service->id;
  request.tenant = meta_.tenant;
  request.key = meta_.key;
  request.fingerprint = Fingerprint();
  request.request = meta_.id;
  request.deadline = deadline_;
  context_.claims->Begin(
      request, [self = shared_from_this()](const ClaimAnswer& answer) { self->OnClaim(answer); });
}

std::string Exchange::Fingerprint() const {
  std::string text = head_.method + "\n" + head_.target + "\n";
  text += body_whole_ ? body_ : std::to_string(head_.content_length.value_or(0));
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  std::array<char, 40> buf;
  const int n =
      std::snprintf(buf.data(), buf.size(), "%016" PRIx64 "%016" PRIx64, hash.high64, hash.low64);
  return std::string(buf.data(), static_cast<size_t>(n));
}

void Exchange::OnClaim(const ClaimAnswer& answer) {
  if (const auto* proceed = std::get_if<Proceed>(&answer)) {
    claim_ = proceed->claim;
    if (ended_ || answering_) return FinishClaim();  // Given up meanwhile: it did not run.
    return Choose();
  }
  if (ended_ || answering_) return;
  if (const auto* repeat = std::get_if<Repeat>(&answer)) return AnswerRepeat(*repeat);
  AnswerVerdict(VerdictOf(answer));
}

void Exchange::FinishClaim() {
  if (!claim_) return;
  ClaimOutcome outcome{end_.outcome, std::move(kept_answer_)};
  if (!ended_) outcome.outcome = Outcome::kNotRun;
  outcome.answer.status = answer_status_;
  context_.claims->Finish(*claim_, outcome);
  claim_.reset();
}

void Exchange::Choose() {
  ChoiceRequest request;
  request.ticket = ticket_;
  request.service = meta_.service->id;
  request.request_class = meta_.request_class;
  request.tenant = meta_.tenant;
  request.deadline = deadline_;
  request.repeatable = meta_.idempotent && body_whole_;
  request.depth = meta_.depth;
  if (meta_.route != nullptr) {
    request.rank = meta_.route->rank;
    request.target = started_ + meta_.route->target_latency;
    request.target_latency = meta_.route->target_latency;
    if (meta_.timeout.count() > 0) request.caller_deadline = started_ + meta_.timeout;
    request.max_attempts = meta_.route->max_attempts;
    request.bulk = meta_.route->bulk;
  }
  context_.dispatcher.Choose(request, WhenChosen());
}

Dispatcher::ChoiceCallback Exchange::WhenChosen() {
  return [weak = weak_from_this()](const Choice& choice) {
    if (const auto self = weak.lock()) self->OnChoice(choice);
  };
}

void Exchange::OnChoice(const Choice& choice) {
  if (ended_) return;
  if (const auto* target = std::get_if<SendTo>(&choice)) {
    // A pause may have ended past the deadline before the timer could run.
    if (!answering_ && context_.clock.Now() >= deadline_) {
      context_.dispatcher.OnEnded(ticket_, target->server, {AttemptEnd::kCancelled, {}, {}});
      return OnTimer(TimerUse::kDeadline);
    }
    attempt_ = StartAttempt(*target);
    return;
  }
  if (answering_) return End(ConnectionFate::kAbort);
  if (DeliverSpare()) return;
  const auto& refusal = std::get<Refuse>(choice);
  if (end_.attempts == 0) return AnswerVerdict(RefusalVerdict(refusal));
  ErrorResponse verdict = FailureVerdict();
  verdict.retry_after = refusal.retry_after;
  AnswerVerdict(std::move(verdict));
}

std::shared_ptr<Attempt> Exchange::StartAttempt(const SendTo& target) {
  const MonotonicTime now = context_.clock.Now();
  if (end_.attempts == 0) end_.waited = now - started_;
  ++end_.attempts;
  end_.server = target.server;
  end_.placement = target.reason;
  auto attempt =
      std::make_shared<Attempt>(context_.pool, context_.clock, target, meta_.request_class);
  attempt->SetRequestWhole(body_whole_);
  const std::weak_ptr<Attempt> weak = attempt;
  Attempt::Events events;
  events.on_answer = [self = shared_from_this(), weak](const HttpEvent& event) {
    self->OnAnswer(weak.lock(), event);
  };
  events.on_failed = [self = shared_from_this(), weak](AttemptEnd end, const std::string& detail) {
    self->OnAttemptFailed(weak.lock(), end, detail);
  };
  events.is_ours = [this](const HttpHead& answer) {
    return context_.wire.is_response_to(answer, meta_.id);
  };
  if (!body_whole_) {
    events.on_sent = [self = shared_from_this()] { self->PumpRequestBody(); };
  }
  attempt->Start(FirstBytesFor(target), NeedOfAttempt(), head_.method == "HEAD", std::move(events));
  return attempt;
}

ConnectionNeed Exchange::NeedOfAttempt() const {
  if (end_.attempts > 1) return ConnectionNeed::kFresh;
  return meta_.idempotent ? ConnectionNeed::kAny : ConnectionNeed::kProven;
}

// Once an answer has begun, a second one is of no use.
bool Exchange::WantsHedge() const {
  const bool waits = attempt_ && !hedge_ && !gathered_ && !answering_ && !ended_;
  return waits && meta_.idempotent && body_whole_;
}

void Exchange::OnSlow() {
  if (!WantsHedge()) return;
  const std::optional<SendTo> target = context_.dispatcher.Hedge(ticket_);
  if (target) hedge_ = StartAttempt(*target);
}

void Exchange::OnHedge(const SendTo& target) {
  if (WantsHedge()) {
    hedge_ = StartAttempt(target);
  } else {
    context_.dispatcher.OnEnded(ticket_, target.server, {AttemptEnd::kCancelled, {}, {}});
  }
}

std::string Exchange::FirstBytesFor(const SendTo& target) const {
  const auto left = std::chrono::duration_cast<milliseconds>(deadline_ - context_.clock.Now());
  if (resuming_) {
    return FormatResumeRequest(head_, meta_, context_.settings.backend.silence_timeout,
                               target.endpoint, *resume_);
  }
  std::string bytes =
      context_.wire.backend_request(head_, meta_, left, {target.server, target.endpoint});
  if (body_.empty()) return bytes;
  return bytes += head_.chunked ? FormatChunk(body_) : body_;
}

void Exchange::ReportEnd(const std::shared_ptr<Attempt>& attempt, AttemptEnd end,
                         const std::optional<Report>& report) {
  if (!attempt || !attempt->TakeEndReport()) return;
  AttemptResult result;
  result.end = end;
  result.latency = attempt->HasAnswer() ? attempt->FirstByteLatency() : attempt->Age();
  result.report = report;
  context_.dispatcher.OnEnded(ticket_, attempt->Target().server, result);
}

void Exchange::Drop(std::shared_ptr<Attempt>& attempt, AttemptEnd end) {
  if (!attempt) return;
  ReportEnd(attempt, end, std::nullopt);
  attempt->Close();
  attempt.reset();
}

void Exchange::OnAttemptFailed(const std::shared_ptr<Attempt>& attempt, AttemptEnd end,
                               const std::string& detail) {
  if (ended_ || answering_) {
    if (resuming_) OnAnswerBroken(end, detail);
    return;
  }
  const bool did_not_run = end == AttemptEnd::kNotStarted || end == AttemptEnd::kShed;
  if (attempt->SentBytes() && !did_not_run) may_have_run_ = true;
  failure_ = detail;
  ReportEnd(attempt, end, std::nullopt);
  attempt->Close();
  if (attempt == attempt_) std::swap(attempt_, hedge_);
  hedge_.reset();
  if (attempt_) return;  // The other one goes on.
  if (MayTryAgain(end)) return TryAgain();
  if (!DeliverSpare()) AnswerVerdict(FailureVerdict());
}

bool Exchange::MayTryAgain(AttemptEnd end) const {
  if (!body_whole_ && body_open_) return false;  // What was sent is not kept.
  const bool did_not_run = end == AttemptEnd::kConnectFailed || end == AttemptEnd::kNotStarted ||
                           end == AttemptEnd::kShed;
  return did_not_run || (meta_.idempotent && body_whole_);
}

void Exchange::TryAgain() { context_.dispatcher.Retry(ticket_, WhenChosen()); }

// ---- 3. The rest of the request's body ---------------------------------------------------------

void Exchange::PumpRequestBody() {
  if (ended_) return;
  body_open_ = true;
  caller_->Read(
      [self = shared_from_this()](const HttpEvent& event) { self->OnMoreRequestBody(event); });
}

void Exchange::OnMoreRequestBody(const HttpEvent& event) {
  if (ended_ || answering_ || !attempt_) return;
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
  attempt_->Send(head_.chunked ? FormatChunk(bytes) : std::string(bytes),
                 [self = shared_from_this()](bool ok) {
                   if (ok) self->PumpRequestBody();
                 });
}

// ---- 4. Ends -----------------------------------------------------------------------------------

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
  gathered_.reset();
  DropAll(AttemptEnd::kTimedOut);
  if (DeliverSpare()) return;
  const bool promise = context_.wire.status_implies_outcome && !MayHaveRun();
  AnswerVerdict({promise ? 503 : 504, MayHaveRun() ? Outcome::kUnknown : Outcome::kNotRun,
                 kRetryAfterDeadline, "connection_timeout", "not answered within the deadline"});
}

void Exchange::OnCallerGone() {
  if (ended_) return;
  DropAll(AttemptEnd::kCancelled);
  end_.caller_gone = true;
  failure_ = "the caller closed its connection";
  End(ConnectionFate::kAbort);
}

ErrorResponse Exchange::RefusalVerdict(const Refuse& refusal) const {
  ErrorResponse verdict{503, Outcome::kNotRun, refusal.retry_after, "connection_limit_reached", ""};
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

ErrorResponse Exchange::FailureVerdict() const {
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

void Exchange::AnswerVerdict(ErrorResponse verdict) {
  if (ended_) return;
  answer_status_ = verdict.status;
  end_.detail = verdict.detail;
  end_.outcome = verdict.outcome;
  const bool keep_alive = FateAfterAnswer() == ConnectionFate::kKeep;
  WriteLast(context_.wire.error_response(verdict, meta_.id, keep_alive));
}

void Exchange::AnswerRepeat(const Repeat& repeat) {
  answer_status_ = repeat.answer.status;
  end_.detail = "a repeat of request " + repeat.first.Text();
  end_.outcome = Outcome::kRan;
  const bool keep_alive = FateAfterAnswer() == ConnectionFate::kKeep;
  WriteLast(FormatReplayedResponse(repeat, meta_.id, keep_alive));
}

void Exchange::WriteLast(std::string answer) {
  answering_ = true;
  end_.first_byte = context_.clock.Now() - started_;
  const ConnectionFate fate = FateAfterAnswer();
  FinishTicket();
  Arm(TimerUse::kCallerSilence, context_.settings.edge.idle_timeout);
  caller_->Write(std::move(answer), [self = shared_from_this(), fate](bool ok) {
    self->end_.whole = ok;
    self->End(ok ? fate : ConnectionFate::kAbort);
  });
}

void Exchange::FinishTicket() {
  if (ticket_ == 0) return;
  context_.dispatcher.Finish(ticket_);
  context_.exchanges.erase(ticket_);
  ticket_ = 0;
}

void Exchange::DropAll(AttemptEnd end) {
  for (const auto& attempt : {attempt_, hedge_}) {
    if (attempt && attempt->SentBytes() && attempt->IsOpen()) may_have_run_ = true;
  }
  Drop(attempt_, end);
  Drop(hedge_, end);
}

void Exchange::Abandon() {
  if (!ended_) End(ConnectionFate::kAbort);
}

void Exchange::End(ConnectionFate fate) {
  if (ended_) return;
  ended_ = true;
  timer_.cancel();
  DropAll(AttemptEnd::kCancelled);
  FinishTicket();
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
  FinishClaim();
  if (context_.observer.on_ended) context_.observer.on_ended(end_);
  const Done done = std::move(done_);
  done(fate);
}

}  // namespace cowsliphill
