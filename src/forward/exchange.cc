#include "src/forward/exchange.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <utility>

#include "src/forward/choice_request.h"
#include "src/forward/http_format.h"
#include "xxhash.h"

namespace cowsliphill {

namespace {

using std::chrono::milliseconds;

// Retry-After value for callers whose deadline passed.
constexpr milliseconds kRetryAfterDeadlinePassed{1000};
// Retry-After value for callers of an entry VM that does not know the manifest yet.
constexpr milliseconds kRetryAfterWhileStarting{150};
// Time between two checks whether a waiting request can be admitted.
constexpr milliseconds kReadyPollInterval{10};
// Time before the end of a graceful stop by which servers have to answer, so that an answer given
// at their time limit still reaches the caller.
constexpr milliseconds kFinalAnswerTime{100};
// Smallest share of its time that a request must have left before the end of a graceful stop. One
// that can't be repeated needs more, because its caller can do nothing when a server runs out of
// time.
constexpr double kMinStopShare = 0.5;
constexpr double kMinStopShareUnrepeatable = 0.75;
// A server that was assigned longer ago than this gets no request.
constexpr milliseconds kMaxAssignmentAge{1000};
// Limits on the parts of request bodies beyond EdgeSettings::buffer_bytes that are kept while they
// are sent: of one request, and of all together.
constexpr size_t kMaxKeptBodyBytes = 1 << 20;
constexpr size_t kMaxKeptBodiesBytes = 16 << 20;

// Returns the response to a request whose claim was not granted.
ErrorResponse ErrorForClaim(const ClaimAnswer& answer) {
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
    return {
        422,
        Outcome::kNotRun,
        {},
        "http_request_denied",
        "idempotency-key: found a key that was used for a different request; allowed: a new key"};
  }
  if (std::holds_alternative<KeyExpired>(answer)) {
    return {410,
            Outcome::kUnknown,
            {},
            "http_request_denied",
            "idempotency-key: found a key past its lifetime; whether its request ran is no longer "
            "known"};
  }
  ErrorResponse error_response{
      503, Outcome::kNotRun, milliseconds(1000), "destination_unavailable",
      "the platform could not tell whether a request with this key has run"};
  if (const auto* unavailable = std::get_if<ClaimUnavailable>(&answer)) {
    error_response.retry_after = unavailable->retry_after;
  }
  return error_response;
}

}  // namespace

// ---- 1. Start ----------------------------------------------------------------------------------

Exchange::Exchange(ForwardContext& context, Caller caller, HttpHead head)
    : context_(context),
      caller_(std::move(caller)),
      caller_stream_(caller_.stream),
      head_(std::move(head)),
      timer_(context.io),
      started_(context.clock.Now()) {
  ++context_.open_requests;
}

Exchange::~Exchange() {
  ReleaseBufferedBytes();
  SetKeptBytes(0);
  context_.exchanges.erase(ticket_);
  --context_.open_requests;
}

void Exchange::Start() {
  request_end_.started = context_.clock.WallNow();
  AwaitReady();
}

void Exchange::AwaitReady() {
  if (context_.ready()) return Admit();
  if (!context_.starting || !context_.starting()) {
    meta_.id = ReadRequestId(head_, context_.ids);
    return RespondWithError({503, Outcome::kNotRun, kRetryAfterWhileStarting,
                             "proxy_configuration_error",
                             "this entry VM does not know the manifest in force yet"});
  }
  timer_.expires_after(kReadyPollInterval);
  timer_.async_wait([self = shared_from_this()](std::error_code ec) {
    if (!ec) self->AwaitReady();
  });
}

void Exchange::Admit() {
  manifest_ = context_.manifest();
  auto result = context_.wire.read_request(head_, *manifest_, context_.ids);
  if (!Ok(result)) {
    const BadRequest bad = ErrorOf(result);
    meta_.id = ReadRequestId(head_, context_.ids);
    context_.observer.on_bad_input("request", bad.detail);
    return RespondWithError({bad.status, Outcome::kNotRun, {}, "http_request_error", bad.detail});
  }
  meta_ = std::move(ValueOf(result));
  // The caller repeats a request that is behind a response which closes the connection, so it may
  // run before the earlier ones are answered only if it may run twice. Its body is behind theirs.
  const bool has_body = head_.chunked || head_.content_length.value_or(0) > 0;
  if (!caller_.slot->IsFirst() && (has_body || !meta_.idempotent)) {
    return caller_.slot->WhenFirst([self = shared_from_this()] {
      if (!self->ended_) self->Admit();
    });
  }
  deadline_ = DeadlineOf(meta_, started_);
  if (!FitsIntoStop()) return OnRefused({0, RefusalCause::kStopping, kRetryAfterStop, {}});
  if (head_.content_length.value_or(0) > manifest_->entry.max_body_bytes) {
    return RespondWithError({413,
                             Outcome::kNotRun,
                             {},
                             "http_request_error",
                             "the request body exceeds the manifest's max_body"});
  }
  if (context_.open_requests > manifest_->entry.max_requests) {
    return RespondWithError({503, Outcome::kNotRun, milliseconds(1000), "connection_limit_reached",
                             "this entry VM has reached the manifest's max_requests"});
  }
  ticket_ = context_.next_ticket++;
  context_.exchanges[ticket_] = this;
  request_end_.record = context_.observer.on_started(meta_, request_end_.started);
  ArmTimer(TimerUse::kDeadline, deadline_ - context_.clock.Now());
  const bool wants_continue = head_.Find("expect").value_or("") == "100-continue";
  if (!wants_continue) return ReadBodyPrefix();
  caller_stream_->Write("HTTP/1.1 100 Continue\r\n\r\n", [self = shared_from_this()](bool ok) {
    if (self->ended_ || self->response_started_) return;
    if (!ok) return self->OnCallerGone();
    self->ReadBodyPrefix();
  });
}

void Exchange::ReadBodyPrefix() {
  caller_stream_->Read(
      [self = shared_from_this()](const HttpEvent& event) { self->OnBodyPrefixEvent(event); });
}

void Exchange::OnBodyPrefixEvent(const HttpEvent& event) {
  if (ended_ || response_started_) return;
  if (const auto* error = std::get_if<HttpError>(&event)) {
    if (error->kind == HttpErrorKind::kTruncated) return OnCallerGone();
    context_.observer.on_bad_input("body", error->detail);
    return RespondWithError({400, Outcome::kNotRun, {}, "http_request_error", error->detail});
  }
  if (std::holds_alternative<HttpEnd>(event)) {
    body_complete_ = true;
    return OnBodyPrefixRead();
  }
  body_.append(std::get<HttpBody>(event).bytes);
  if (body_.size() >= context_.settings.edge.buffer_bytes) return OnBodyPrefixRead();
  ReadBodyPrefix();
}

void Exchange::OnBodyPrefixRead() {
  if (body_complete_) {
    const bool has_body = head_.chunked || head_.content_length.has_value();
    head_.chunked = false;
    if (has_body) head_.content_length = body_.size();
    OnRequestRead();
    if (ended_) return;
  } else {
    WatchCaller();
  }
  request_end_.hash = HashOfRequest();
  if (RefuseIfCondemned()) return;
  const bool keyed = !meta_.idempotent && !meta_.key.empty();
  if (keyed && context_.claims != nullptr) return BeginClaim();
  Choose();
}

void Exchange::OnRequestRead() {
  request_read_ = true;
  caller_.on_request_read();
}

// ---- 2. Claim, choice and attempts -------------------------------------------------------------

void Exchange::BeginClaim() {
  ClaimRequest request;
  request.service = meta_.service->id;
  request.tenant = meta_.tenant;
  request.key = meta_.key;
  request.fingerprint = Fingerprint();
  request.request = LoggedId(meta_.id);
  request.deadline = deadline_;
  context_.claims->Begin(request, [self = shared_from_this()](const ClaimAnswer& answer) {
    self->OnClaimAnswer(answer);
  });
}

std::string Exchange::Fingerprint() const {
  std::string text = head_.method + "\n" + head_.target + "\n";
  text += body_complete_ ? body_ : std::to_string(head_.content_length.value_or(0));
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  std::array<char, 40> buf;
  const int n =
      std::snprintf(buf.data(), buf.size(), "%016" PRIx64 "%016" PRIx64, hash.high64, hash.low64);
  return std::string(buf.data(), static_cast<size_t>(n));
}

RequestHash Exchange::HashOfRequest() {
  request_end_.caller = caller_stream_->Transport().RemoteIp();
  const uint64_t body_size = body_complete_ ? body_.size() : head_.content_length.value_or(0);
  return HashRequest(meta_.tenant.Text(), head_.Find("host").value_or(""), head_.method,
                     head_.target, body_, body_size);
}

bool Exchange::RefuseIfCondemned() {
  if (!context_.poison.judge) return false;
  const Judgement judgement = context_.poison.judge(request_end_.hash);
  suspect_ = judgement.verdict != Judgement::Verdict::kClear;
  on_trial_ = judgement.verdict == Judgement::Verdict::kTrial;
  if (judgement.verdict != Judgement::Verdict::kCondemned) return false;
  RespondWithError(ErrorForCondemned(judgement));
  return true;
}

void Exchange::OnClaimAnswer(const ClaimAnswer& answer) {
  if (const auto* proceed = std::get_if<Proceed>(&answer)) {
    claim_ = proceed->claim;
    if (ended_ || response_started_) return FinishClaim();  // It ended meanwhile and did not run.
    return Choose();
  }
  if (ended_ || response_started_) return;
  if (const auto* repeat = std::get_if<Repeat>(&answer)) return ReplayStoredResponse(*repeat);
  RespondWithError(ErrorForClaim(answer));
}

void Exchange::FinishClaim() {
  if (!claim_) return;
  ClaimOutcome outcome{request_end_.outcome, std::move(stored_response_)};
  if (!ended_) outcome.outcome = Outcome::kNotRun;
  outcome.answer.status = sent_status_;
  context_.claims->Finish(*claim_, outcome);
  claim_.reset();
}

void Exchange::Choose() {
  const bool repeatable = meta_.idempotent && body_complete_ && !suspect_;
  context_.dispatcher.Choose(MakeChoiceRequest(meta_, ticket_, started_, deadline_, repeatable),
                             ChoiceHandler());
}

Dispatcher::ChoiceCallback Exchange::ChoiceHandler() {
  return [weak = weak_from_this()](const Choice& choice) {
    if (const auto self = weak.lock()) self->OnChoice(choice);
  };
}

void Exchange::OnChoice(const Choice& choice) {
  if (ended_) return;
  if (const auto* target = std::get_if<SendTo>(&choice)) {
    // After a pause of the process the deadline may have passed before its timer runs.
    if (!response_started_ && context_.clock.Now() >= deadline_) {
      context_.dispatcher.OnEnded(ticket_, target->server, {AttemptEnd::kCancelled, {}, {}});
      return OnTimer(TimerUse::kDeadline);
    }
    // It may have been condemned while it waited for a server.
    const Judgement judgement = context_.poison.review && !on_trial_
                                    ? context_.poison.review(request_end_.hash)
                                    : Judgement();
    if (!response_started_ && judgement.verdict == Judgement::Verdict::kCondemned) {
      context_.dispatcher.OnEnded(ticket_, target->server, {AttemptEnd::kCancelled, {}, {}});
      return RespondWithError(MayHaveRun() ? ErrorForFailure() : ErrorForCondemned(judgement));
    }
    if (!FitsIntoStop()) {
      context_.dispatcher.OnEnded(ticket_, target->server, {AttemptEnd::kCancelled, {}, {}});
      return OnRefused({ticket_, RefusalCause::kStopping, kRetryAfterStop, {}});
    }
    attempt_ = StartAttempt(*target);
    return;
  }
  OnRefused(std::get<Refuse>(choice));
}

void Exchange::OnRefused(const Refuse& refusal) {
  if (response_started_) return End(ConnectionAction::kAbort);
  if (DeliverBufferedResponse()) return;
  if (!refusal.reason.empty()) {
    if (!request_end_.placement.empty()) request_end_.placement += " ";
    request_end_.placement += refusal.reason;
  }
  if (request_end_.attempts == 0) return RespondWithError(ErrorForRefusal(refusal));
  ErrorResponse error_response = ErrorForFailure();
  error_response.retry_after = refusal.retry_after;
  RespondWithError(std::move(error_response));
}

std::shared_ptr<Attempt> Exchange::StartAttempt(const SendTo& target) {
  const MonotonicTime now = context_.clock.Now();
  if (request_end_.attempts == 0) request_end_.waited = now - started_;
  ++request_end_.attempts;
  request_end_.server = target.server;
  request_end_.placement = target.reason;
  SendTo to = target;
  to.request = LoggedId(meta_.id).Text();
  to.time_left = std::chrono::duration_cast<milliseconds>(deadline_ - now);
  auto attempt =
      std::make_shared<Attempt>(context_.pool, context_.clock, std::move(to), meta_.request_class);
  attempt->SetRequestBodyComplete(body_complete_);
  const std::weak_ptr<Attempt> weak = attempt;
  Attempt::Events events;
  events.on_response = [self = shared_from_this(), weak](const HttpEvent& event) {
    self->OnResponse(weak.lock(), event);
  };
  events.on_failed = [self = shared_from_this(), weak](AttemptEnd end, const std::string& detail) {
    self->OnAttemptFailed(weak.lock(), end, detail);
  };
  events.on_any_head = [self = shared_from_this(), weak](const HttpHead& response) {
    if (const auto attempt = weak.lock()) self->PassOnStatement(*attempt, response);
  };
  events.match = [this](const HttpHead& response) {
    return context_.wire.match_response(response, meta_.id);
  };
  attempt_takes_body_ = false;
  if (!body_complete_) {
    events.on_sent = [self = shared_from_this()] {
      self->attempt_takes_body_ = true;
      self->SendRequestBody();
    };
  }
  const auto make_request = [self = shared_from_this(), weak, target] {
    const auto attempt = weak.lock();
    return attempt && self->MaySend(*attempt) ? self->RequestBytesFor(target) : std::string();
  };
  attempt->Start(make_request, ReuseForAttempt(), head_.method == "HEAD", std::move(events));
  return attempt;
}

ConnectionReuse Exchange::ReuseForAttempt() const {
  if (request_end_.attempts > 1) return ConnectionReuse::kNever;
  return meta_.idempotent ? ConnectionReuse::kAllowed : ConnectionReuse::kIfRecentlyActive;
}

// A second attempt is of no use once a response has begun.
bool Exchange::MayHedge() const {
  const bool awaits_response =
      attempt_ && !hedge_ && !partial_response_ && !response_started_ && !ended_;
  return awaits_response && meta_.idempotent && body_complete_;
}

void Exchange::OnHedgeDue() {
  if (!MayHedge()) return;
  const std::optional<SendTo> target = context_.dispatcher.Hedge(ticket_);
  if (target) hedge_ = StartAttempt(*target);
}

void Exchange::OnLinksLost() {
  if (attempt_ && attempt_->HasSentBytes() && attempt_->Through().port == 0) OnHedgeDue();
}

void Exchange::OnHedgeAssigned(const SendTo& target) {
  if (MayHedge()) {
    hedge_ = StartAttempt(target);
  } else {
    context_.dispatcher.OnEnded(ticket_, target.server, {AttemptEnd::kCancelled, {}, {}});
  }
}

// A connection normally takes milliseconds. It is there late if this process was paused meanwhile:
// the request's time may be over. The server may have stated in the meantime that it is leaving, or
// that it wants a pause.
bool Exchange::MaySend(const Attempt& attempt) const {
  const bool in_time = response_started_ || context_.clock.Now() < deadline_;
  const bool wanted = !context_.may_send || context_.may_send(attempt.Target());
  return !ended_ && in_time && wanted && attempt.Age() < kMaxAssignmentAge;
}

MonotonicTime Exchange::ServerDeadline() const {
  return std::min(deadline_, context_.work_end - kFinalAnswerTime);
}

bool Exchange::FitsIntoStop() const {
  const MonotonicTime server_deadline = ServerDeadline();
  if (response_started_ || server_deadline >= deadline_) return true;
  const MonotonicTime now = context_.clock.Now();
  const double min_share = meta_.idempotent ? kMinStopShare : kMinStopShareUnrepeatable;
  return server_deadline - now >= Times(deadline_ - now, min_share);
}

void Exchange::RefuseWhatDoesNotFitIntoStop(ForwardContext& context) {
  context.dispatcher.RefuseWaiting(kRetryAfterStop, [&context](Ticket ticket) {
    const auto it = context.exchanges.find(ticket);
    return it != context.exchanges.end() && !it->second->FitsIntoStop();
  });
}

void Exchange::PassOnStatement(const Attempt& attempt, const HttpHead& response) const {
  if (!context_.on_statement) return;
  const std::optional<Report> report = context_.wire.report(response, meta_.service->report_format);
  if (!report) return;
  if (!report->unreadable.empty() && context_.on_bad_statement) {
    context_.on_bad_statement(report->unreadable);
  }
  ServerStatement statement;
  statement.server = attempt.Target().server;
  statement.started = attempt.Target().started;
  statement.through = attempt.Through();
  statement.leaving = report->draining;
  statement.pause = report->pause.value_or(milliseconds(0));
  if (statement.leaving || statement.pause.count() > 0) context_.on_statement(statement);
}

std::string Exchange::RequestBytesFor(const SendTo& target) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(ServerDeadline() - context_.clock.Now());
  if (resuming_) {
    return FormatResumeRequest(head_, meta_, context_.settings.backend.silence_timeout,
                               target.endpoint, *resume_point_);
  }
  std::string bytes =
      context_.wire.backend_request(head_, meta_, left, {target.server, target.endpoint});
  body_sent_ = body_.size();
  if (body_.empty()) return bytes;
  return bytes += head_.chunked ? FormatChunk(body_) : body_;
}

void Exchange::ReportAttemptEnd(const std::shared_ptr<Attempt>& attempt, AttemptEnd end,
                                const std::optional<Report>& report) {
  if (!attempt || !attempt->MarkEndReported()) return;
  request_end_.through = attempt->Through();
  AttemptResult result;
  result.end = end;
  result.latency = attempt->HasResponse() ? attempt->FirstByteLatency() : attempt->Age();
  result.report = report;
  result.limit = attempt->NamedLimit();
  context_.dispatcher.OnEnded(ticket_, attempt->Target().server, result);
  ReportToPoisonHooks(*attempt, end);
}

void Exchange::ReportToPoisonHooks(const Attempt& attempt, AttemptEnd end) {
  const bool answered = end == AttemptEnd::kAnswered || end == AttemptEnd::kServerError;
  if (answered && context_.poison.on_answered) context_.poison.on_answered(request_end_.hash);
  const bool lost = end == AttemptEnd::kConnectionLost && attempt.HasSentBytes();
  if (lost && context_.poison.on_lost) {
    context_.poison.on_lost({request_end_.hash, LoggedId(meta_.id), request_end_.caller,
                             head_.target, attempt.Target().server});
  }
}

void Exchange::CloseAttempt(std::shared_ptr<Attempt>& attempt, AttemptEnd end) {
  if (!attempt) return;
  ReportAttemptEnd(attempt, end, std::nullopt);
  attempt->Close();
  attempt.reset();
}

void Exchange::OnAttemptFailed(const std::shared_ptr<Attempt>& attempt, AttemptEnd end,
                               const std::string& detail) {
  if (ended_ || response_started_) {
    if (resuming_) OnResponseInterrupted(end, detail);
    return;
  }
  const bool did_not_run = end == AttemptEnd::kNotStarted || end == AttemptEnd::kShed;
  if (attempt->HasSentBytes() && !did_not_run) may_have_run_ = true;
  last_failure_ = detail;
  ReportAttemptEnd(attempt, end, std::nullopt);
  attempt->Close();
  if (attempt == attempt_) std::swap(attempt_, hedge_);
  hedge_.reset();
  if (attempt_) return;  // The other attempt goes on.
  if (!attempt->HasSentBytes() || MayRetry(end)) return Retry();
  if (!DeliverBufferedResponse()) RespondWithError(ErrorForFailure());
}

bool Exchange::MayRetry(AttemptEnd end) const {
  if (body_dropped_ > 0) return false;  // A part of the body can't be sent again.
  const bool did_not_run = end == AttemptEnd::kConnectFailed || end == AttemptEnd::kNotStarted ||
                           end == AttemptEnd::kShed;
  if (did_not_run) return true;
  const bool held_against =
      suspect_ || (context_.poison.review &&
                   context_.poison.review(request_end_.hash).verdict != Judgement::Verdict::kClear);
  return meta_.idempotent && body_complete_ && !held_against;
}

void Exchange::Retry() {
  if (!request_read_ && !reading_body_) WatchCaller();
  context_.dispatcher.Retry(ticket_, ChoiceHandler());
}

// ---- 3. The request's body beyond the buffered part --------------------------------------------

void Exchange::SendRequestBody() {
  if (ended_ || !attempt_ || !attempt_takes_body_) return;
  const size_t at = body_sent_ - body_dropped_;
  if (at < body_.size()) {
    std::string bytes = body_.substr(at);
    body_sent_ += bytes.size();
    LimitKeptBody();
    return attempt_->Send(head_.chunked ? FormatChunk(bytes) : std::move(bytes), BodySentHandler());
  }
  if (!request_read_) return ReadRequestBody();
  attempt_takes_body_ = false;
  if (!head_.chunked) return attempt_->SetRequestBodyComplete(true);
  attempt_->Send(std::string(kLastChunk), [attempt = attempt_](bool ok) {
    if (ok) attempt->SetRequestBodyComplete(true);
  });
}

std::function<void(bool ok)> Exchange::BodySentHandler() {
  return [self = shared_from_this(), attempt = attempt_](bool ok) {
    if (ok && attempt == self->attempt_) self->SendRequestBody();
  };
}

void Exchange::ReadRequestBody() {
  if (reading_body_) return;
  reading_body_ = true;
  caller_stream_->Read([self = shared_from_this()](const HttpEvent& event) {
    self->reading_body_ = false;
    self->OnBodyEvent(event);
  });
}

void Exchange::OnBodyEvent(const HttpEvent& event) {
  if (ended_ || response_started_) return;
  if (const auto* error = std::get_if<HttpError>(&event)) {
    context_.observer.on_bad_input("body", error->detail);
    return OnCallerGone();  // Closing the attempt shows the backend server that the body is cut.
  }
  if (std::holds_alternative<HttpEnd>(event)) {
    OnRequestRead();
  } else {
    body_.append(std::get<HttpBody>(event).bytes);
  }
  if (!attempt_ && !request_read_) WatchCaller();
  SendRequestBody();
}

// Keeps what was sent for another attempt, up to a limit for each request and one for all.
void Exchange::LimitKeptBody() {
  const size_t prefix = context_.settings.edge.buffer_bytes;
  const size_t kept = body_.size() > prefix ? body_.size() - prefix : 0;
  const size_t total = context_.kept_body_bytes - kept_bytes_ + kept;
  const bool drops = body_dropped_ > 0 || kept > kMaxKeptBodyBytes || total > kMaxKeptBodiesBytes;
  SetKeptBytes(drops ? 0 : kept);
  if (!drops) return;
  body_.clear();
  body_dropped_ = body_sent_;
}

void Exchange::SetKeptBytes(size_t bytes) {
  context_.kept_body_bytes -= kept_bytes_;
  kept_bytes_ = bytes;
  context_.kept_body_bytes += bytes;
}

void Exchange::WatchCaller() {
  caller_stream_->WatchClose([self = shared_from_this()] { self->OnCallerGone(); });
}

// ---- 4. Ends -----------------------------------------------------------------------------------

void Exchange::ArmTimer(TimerUse use, Duration duration) {
  timer_.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(duration));
  timer_.async_wait([weak = weak_from_this(), use](std::error_code ec) {
    if (ec) return;
    if (const auto self = weak.lock()) self->OnTimer(use);
  });
}

void Exchange::ArmStreamTimer(TimerUse use, Duration duration) {
  const Duration left = deadline_ - context_.clock.Now();
  if (!context_.wire.buffer_responses || duration < left) return ArmTimer(use, duration);
  ArmTimer(TimerUse::kStreamDeadline, left);
}

void Exchange::OnTimer(TimerUse use) {
  if (ended_) return;
  if (use == TimerUse::kStreamDeadline) {
    return OnResponseInterrupted(AttemptEnd::kTimedOut,
                                 "it was not complete by the request's deadline");
  }
  if (use == TimerUse::kCallerSilence) return OnCallerGone();
  if (use == TimerUse::kBackendSilence) {
    if (resuming_) return End(ConnectionAction::kAbort);
    return OnResponseInterrupted(AttemptEnd::kTimedOut,
                                 "the backend server sent nothing within the silence timeout");
  }
  if (response_started_) return;
  partial_response_.reset();
  ReleaseBufferedBytes();
  CloseAttempts(AttemptEnd::kTimedOut);
  if (DeliverBufferedResponse()) return;
  const bool status_denies_run = context_.wire.status_implies_outcome && !MayHaveRun();
  RespondWithError({status_denies_run ? 503 : 504,
                    MayHaveRun() ? Outcome::kUnknown : Outcome::kNotRun, kRetryAfterDeadlinePassed,
                    "connection_timeout", "the request was not answered within its deadline"});
}

void Exchange::SetCallerGone() {
  request_end_.caller_gone = true;
  last_failure_ = "the caller closed its connection, stalled or sent a broken body";
}

void Exchange::OnCallerGone() {
  if (ended_) return;
  CloseAttempts(AttemptEnd::kCancelled);
  SetCallerGone();
  End(ConnectionAction::kAbort);
}

ErrorResponse Exchange::ErrorForRefusal(const Refuse& refusal) const {
  ErrorResponse error_response{503, Outcome::kNotRun, refusal.retry_after,
                               "connection_limit_reached", ""};
  switch (refusal.cause) {
    case RefusalCause::kUnknownService:
      return {
          404, Outcome::kNotRun, {}, "destination_not_found", "the manifest has no such service"};
    case RefusalCause::kNoBackendServer:
      error_response.error = "destination_unavailable";
      error_response.detail = "the service has no usable backend server now";
      return error_response;
    case RefusalCause::kOverload:
      error_response.detail = "it can't be answered in its time";
      return error_response;
    case RefusalCause::kDeadline:
      error_response.status = 504;
      error_response.error = "connection_timeout";
      error_response.detail = "the request's deadline has passed";
      return error_response;
    case RefusalCause::kStopping:
      error_response.error = "destination_unavailable";
      error_response.detail = "this entry VM is stopping";
      return error_response;
    case RefusalCause::kServerPause:
      error_response.detail = "its backend servers have asked this entry VM for a pause";
      return error_response;
    case RefusalCause::kWorkspaceLimit:
      error_response.status = 429;
      error_response.error = "http_request_denied";
      error_response.detail = "the limit of the workspace is used up";
      return error_response;
    case RefusalCause::kServerLimit:
      error_response.detail = "the limits that its backend servers name are used up";
      return error_response;
    case RefusalCause::kRetryBudget:
      error_response.detail = "the retry budget allows no further attempt";
      return error_response;
  }
  return error_response;
}

ErrorResponse Exchange::ErrorForFailure() const {
  if (MayHaveRun()) {
    return {502, Outcome::kUnknown, milliseconds(1000), "connection_terminated", last_failure_};
  }
  return {503, Outcome::kNotRun, milliseconds(1000), "destination_unavailable", last_failure_};
}

ErrorResponse Exchange::ErrorForCondemned(const Judgement& judgement) {
  return {503, Outcome::kNotRun, judgement.retry_after, "http_request_denied",
          "this request is refused because " + std::to_string(judgement.crashes) +
              " backend servers have crashed while they ran it"};
}

// Requests behind this one that were read are answered too, also if this entry VM is stopping.
ConnectionAction Exchange::ActionAfterResponse() const {
  const bool stays_open = !context_.leaving || !caller_.slot->IsLast();
  return head_.keep_alive && request_read_ && stays_open ? ConnectionAction::kKeepAlive
                                                         : ConnectionAction::kClose;
}

void Exchange::RespondWithError(ErrorResponse error_response) {
  if (ended_) return;
  sent_status_ = error_response.status;
  request_end_.detail = error_response.detail;
  request_end_.outcome = error_response.outcome;
  WriteCompleteResponse([this, error_response = std::move(error_response)](bool keep_alive) {
    return context_.wire.error_response(error_response, meta_.id, keep_alive);
  });
}

void Exchange::ReplayStoredResponse(const Repeat& repeat) {
  sent_status_ = repeat.answer.status;
  request_end_.detail = "replayed the stored response of request " + repeat.first.Text();
  request_end_.outcome = Outcome::kRan;
  WriteCompleteResponse([this, repeat](bool keep_alive) {
    return FormatReplayedResponse(repeat, meta_.id, keep_alive);
  });
}

void Exchange::WriteCompleteResponse(std::function<std::string(bool keep_alive)> format) {
  response_started_ = true;
  FinishTicket();
  timer_.cancel();
  caller_.slot->WhenFirst([self = shared_from_this(), format = std::move(format)] {
    if (self->ended_) return;
    self->request_end_.first_byte = self->context_.clock.Now() - self->started_;
    const ConnectionAction action = self->ActionAfterResponse();
    self->ArmTimer(TimerUse::kCallerSilence, self->context_.settings.edge.idle_timeout);
    std::string response = format(action == ConnectionAction::kKeepAlive);
    if (self->head_.method == "HEAD") RemoveBody(response);
    self->caller_stream_->Write(std::move(response), [self, action](bool ok) {
      self->request_end_.whole = ok;
      self->End(ok ? action : ConnectionAction::kAbort);
    });
  });
}

void Exchange::FinishTicket() {
  if (ticket_ == 0) return;
  context_.dispatcher.Finish(ticket_);
  context_.exchanges.erase(ticket_);
  ticket_ = 0;
}

void Exchange::CloseAttempts(AttemptEnd end) {
  for (const auto& attempt : {attempt_, hedge_}) {
    if (attempt && attempt->HasSentBytes() && attempt->IsOpen()) may_have_run_ = true;
  }
  CloseAttempt(attempt_, end);
  CloseAttempt(hedge_, end);
}

void Exchange::Abort() {
  if (!ended_) End(ConnectionAction::kAbort);
}

void Exchange::End(ConnectionAction action) {
  if (ended_) return;
  ended_ = true;
  timer_.cancel();
  CloseAttempts(AttemptEnd::kCancelled);
  FinishTicket();
  const bool own_response = !request_end_.detail.empty();
  request_end_.id = LoggedId(meta_.id);
  request_end_.service = meta_.service != nullptr ? meta_.service->id : ServiceId();
  request_end_.tenant = meta_.tenant;
  request_end_.request_class = meta_.request_class;
  request_end_.status = sent_status_;
  request_end_.timeout = meta_.timeout;
  request_end_.took = context_.clock.Now() - started_;
  if (!own_response) {
    request_end_.detail = last_failure_;
    request_end_.outcome =
        response_started_ ? Outcome::kRan : (MayHaveRun() ? Outcome::kUnknown : Outcome::kNotRun);
  }
  FinishClaim();
  if (context_.observer.on_ended) context_.observer.on_ended(request_end_);
  const auto done = std::exchange(caller_.on_done, nullptr);
  done(action);
}

}  // namespace cowsliphill
