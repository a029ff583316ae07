// One request of a caller, from its head to the end of its answer.
//
// Sections of exchange.cc:
//   1. Start: headers, limits, the buffered part of the request's body
//   2. Claim, choice and attempts
//   3. The request's body beyond the buffered part
//   4. Ends: refusals, deadlines, callers that disconnect
// exchange_answer.cc: the answer's head and body, resuming an interrupted answer.
//
// With WireFormat::buffer_responses an answer is buffered completely before the caller gets any of
// it, so that a broken answer or a server error can be replaced by the answer of another attempt.
//
// Limits: a request whose body exceeds EdgeSettings::buffer_bytes is sent at most once, because
// the part beyond the buffer is streamed and not kept.

#ifndef COWSLIPHILL_FORWARD_EXCHANGE_H_
#define COWSLIPHILL_FORWARD_EXCHANGE_H_

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/claims/claim.h"
#include "src/forward/attempt.h"
#include "src/forward/forward_context.h"
#include "src/forward/http_stream.h"

namespace cowsliphill {

// What happens to the caller's connection after an exchange.
enum class ConnectionAction {
  kKeepAlive,  // Wait for the next request.
  kClose,      // Close gracefully, so that written bytes still reach the caller.
  kAbort,      // Close at once, so that the caller notices that its answer is incomplete.
};

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  using Done = std::function<void(ConnectionAction)>;

  Exchange(ForwardContext& context, std::shared_ptr<HttpStream> caller, HttpHead head, Done done);
  ~Exchange();

  void Start();
  // Ends the request without an answer, for example when the entry VM stops at once.
  void Abort();
  // Called when the request has waited so long that a hedge may help. Starts a second, concurrent
  // attempt if the policy allows one.
  void OnHedgeDue();
  // Called when a scheduler has assigned a server to the hedge that OnHedgeDue asked for.
  void OnHedgeAssigned(const SendTo& target);

 private:
  bool MayHedge() const;

  enum class TimerUse { kDeadline, kBackendSilence, kCallerSilence };

  // 1. Start
  void AwaitReady();
  void Admit();
  void ReadBodyPrefix();
  void OnBodyPrefixEvent(const HttpEvent& event);
  void OnBodyPrefixRead();

  // 2. Claim, choice and attempts
  void BeginClaim();
  void OnClaimAnswer(const ClaimAnswer& answer);
  void FinishClaim();
  std::string Fingerprint() const;
  void Choose();
  void OnChoice(const Choice& choice);
  std::shared_ptr<Attempt> StartAttempt(const SendTo& target);
  std::string RequestBytesFor(const SendTo& target) const;
  ConnectionReuse ReuseForAttempt() const;
  void OnAttemptFailed(const std::shared_ptr<Attempt>& attempt, AttemptEnd end,
                       const std::string& detail);
  void ReportAttemptEnd(const std::shared_ptr<Attempt>& attempt, AttemptEnd end,
                        const std::optional<Report>& report);
  void CloseAttempt(std::shared_ptr<Attempt>& attempt, AttemptEnd end);
  bool MayRetry(AttemptEnd end) const;
  void Retry();
  Dispatcher::ChoiceCallback ChoiceHandler();

  // 3. The request's body beyond the buffered part
  void StreamRequestBody();
  void OnStreamedBodyEvent(const HttpEvent& event);

  // exchange_answer.cc
  void OnAnswer(const std::shared_ptr<Attempt>& attempt, const HttpEvent& event);
  void OnAnswerHead(const std::shared_ptr<Attempt>& attempt, const HttpHead& answer);
  void BufferAnswer(std::string_view bytes);
  void OnAnswerBuffered();
  bool DeliverHeldAnswer();
  // Sends the head and `first_bytes` of the body to the caller.
  void ForwardHead(const HttpHead& answer, const std::string& first_bytes);
  void ForwardBody(std::string_view bytes);
  void KeepAnswerBody(std::string_view bytes);
  void OnAnswerEnd();
  void OnAnswerBroken(AttemptEnd end, const std::string& detail);
  void OnResumedHead(const HttpHead& answer);

  // 4. Ends
  void ArmTimer(TimerUse use, Duration duration);
  void OnTimer(TimerUse use);
  void OnCallerGone();
  void AnswerVerdict(ErrorResponse verdict);
  void End(ConnectionAction action);
  void FinishTicket();
  void CloseAttempts(AttemptEnd end);
  void AnswerRepeat(const Repeat& repeat);
  void WriteFinalAnswer(std::string answer);
  ErrorResponse RefusalVerdict(const Refuse& refusal) const;
  ErrorResponse FailureVerdict() const;
  bool MayHaveRun() const { return may_have_run_; }
  ConnectionAction ActionAfterAnswer() const;

  ForwardContext& context_;
  std::shared_ptr<HttpStream> caller_stream_;
  HttpHead head_;                             // Head of the request.
  Done done_;                                 // Called once, at the end.
  std::shared_ptr<const Manifest> manifest_;  // In force at admission; used to the end.
  RequestMeta meta_;
  Ticket ticket_ = 0;
  asio::steady_timer timer_;  // Runs for one TimerUse at a time.
  MonotonicTime started_;
  MonotonicTime deadline_;                   // Earlier one of the caller's and the route's.
  std::string body_;                         // Buffered part of the request's body.
  bool body_complete_ = false;               // body_ holds the whole body.
  bool streaming_body_ = false;              // Streaming of the rest has begun; it is not kept.
  std::optional<Claim> claim_;               // Held until FinishClaim.
  KeptAnswer kept_answer_;                   // Stored with the claim and replayed to repeats.
  std::shared_ptr<Attempt> attempt_;         // Main attempt.
  std::shared_ptr<Attempt> hedge_;           // Second, concurrent attempt.
  bool may_have_run_ = false;                // A server may have started the request.
  std::string last_failure_;                 // Readable cause, for RequestEnd::detail.
  bool answer_started_ = false;              // An answer is being sent to the caller.
  bool answer_chunked_ = false;              // The caller gets the answer's body in chunks.
  int answer_status_ = 0;                    // HTTP status sent to the caller.
  std::optional<ResumePoint> resume_point_;  // Set if the answer can be resumed.
  bool resuming_ = false;    // A new attempt for an interrupted answer has no head yet.
  uint64_t resumed_at_ = 0;  // Byte offset of the last resumption; 0 before.
  // An answer that is read completely before the caller gets any of it.
  struct BufferedAnswer {
    HttpHead head;
    std::string body;
  };
  std::optional<BufferedAnswer> buffered_;  // Being read from attempt_.
  // A complete answer. A server error is held until no retry can replace it.
  std::optional<BufferedAnswer> held_answer_;
  bool ended_ = false;
  RequestEnd request_end_;  // Reported to the observer at the end.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_EXCHANGE_H_
