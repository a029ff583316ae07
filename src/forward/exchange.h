// One request of a caller, from its head to the end of its response.
//
// Sections of exchange.cc:
//   1. Start: headers, limits, the buffered part of the request's body
//   2. Claim, choice and attempts
//   3. The request's body beyond the buffered part
//   4. Ends: refusals, deadlines, callers that disconnect
// exchange_answer.cc: the response's head and body, resuming an interrupted response.
// exchange_keys.cc: the caller's key, at the start and again before each attempt.
//
// With WireFormat::buffer_responses a response is buffered completely before the caller gets any of
// it, so that an incomplete response or a server error can be replaced by the response of another
// attempt.
//
// A request is sent on as soon as EdgeSettings::buffer_bytes of its body have arrived. The rest is
// kept while it is sent, so that a server which did not run the request can be replaced.
//
// An entry VM that is stopping tells servers to answer before it ends, and refuses requests that
// would lose too much of their time by this (StopWindow).
//
// Limits: a request whose body is larger than what is kept (1 MiB, 16 MiB for all requests) is sent
// at most once. Requests with a body beyond EdgeSettings::buffer_bytes are not hedged, and are not
// sent again after an attempt that may have run.

#ifndef COWSLIPHILL_FORWARD_EXCHANGE_H_
#define COWSLIPHILL_FORWARD_EXCHANGE_H_

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/claims/claim.h"
#include "src/forward/attempt.h"
#include "src/forward/caller_key.h"
#include "src/forward/forward_context.h"
#include "src/forward/http_stream.h"
#include "src/forward/pipeline.h"

namespace cowsliphill {

// What happens to the caller's connection after an exchange.
enum class ConnectionAction {
  kKeepAlive,  // Wait for the next request.
  kClose,      // Close gracefully, so that written bytes still reach the caller.
  kAbort,      // Close at once, so that the caller notices that its response is incomplete.
};

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  // The caller's connection and the request's place among those sent on it.
  struct Caller {
    std::shared_ptr<HttpStream> stream;
    std::shared_ptr<PipelineSlot> slot;
    std::function<void()> on_request_read;          // Called once the body was read completely.
    std::function<void(ConnectionAction)> on_done;  // Called once, at the end.
  };

  Exchange(ForwardContext& context, Caller caller, HttpHead head);
  ~Exchange();

  void Start();
  // Ends the request without a response, for example when the entry VM stops at once.
  void Abort();
  // The caller has closed the connection. To be called before Abort.
  void SetCallerGone();
  // Called when the request has waited so long that a hedge may help. Starts a second, concurrent
  // attempt if the policy allows one.
  void OnHedgeDue();
  // Called when this entry VM has lost its links to the backend servers: what was sent directly
  // gets no answer. Starts a second attempt if the policy allows one.
  void OnLinksLost();
  // Called when a scheduler has assigned a server to the hedge that OnHedgeDue asked for.
  void OnHedgeAssigned(const SendTo& target);
  // To be called during a graceful stop. Refuses the requests that wait for a server and would not
  // be sent any more if one were free.
  static void RefuseWhatDoesNotFitIntoStop(ForwardContext& context);

 private:
  bool MayHedge() const;

  enum class TimerUse { kDeadline, kBackendSilence, kCallerSilence, kStreamDeadline };

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
  RequestHash HashOfRequest();
  // Judges the request and refuses it if it is condemned.
  bool RefuseIfCondemned();
  void ReportToPoisonHooks(const Attempt& attempt, AttemptEnd end);
  void Choose();
  void OnChoice(const Choice& choice);
  std::shared_ptr<Attempt> StartAttempt(const SendTo& target);
  bool MaySend(const Attempt& attempt);
  void PassOnStatement(const Attempt& attempt, const HttpHead& response) const;
  std::string RequestBytesFor(const SendTo& target);
  ConnectionReuse ReuseForAttempt() const;
  void OnAttemptFailed(const std::shared_ptr<Attempt>& attempt, AttemptEnd end,
                       const std::string& detail);
  void ReportAttemptEnd(const std::shared_ptr<Attempt>& attempt, AttemptEnd end,
                        const std::optional<Report>& report);
  void CloseAttempt(std::shared_ptr<Attempt>& attempt, AttemptEnd end);
  bool MayRetry(AttemptEnd end) const;
  void Retry();
  Dispatcher::ChoiceCallback ChoiceHandler();
  void OnRefused(const Refuse& refusal);
  // Time by which servers have to answer: the deadline, or earlier if this entry VM is stopping.
  MonotonicTime ServerDeadline() const;
  // Whether the request may still be sent to a server. False if this entry VM is stopping and can't
  // wait for the answer for long enough.
  bool FitsIntoStop() const;

  // 3. The request's body beyond the buffered part
  // Sends the attempt what it lacks of the body, and reads on once it has everything read so far.
  void SendRequestBody();
  std::function<void(bool ok)> BodySentHandler();
  void ReadRequestBody();
  void OnBodyEvent(const HttpEvent& event);
  void LimitKeptBody();
  void SetKeptBytes(size_t bytes);
  // Watches whether the caller leaves while nothing is read from it.
  void WatchCaller();

  // exchange_answer.cc
  void OnResponse(const std::shared_ptr<Attempt>& attempt, const HttpEvent& event);
  void OnResponseHead(const std::shared_ptr<Attempt>& attempt, const HttpHead& response);
  void BufferResponse(std::string_view bytes);
  void StreamBufferedResponse();
  // Counts the bytes of this exchange no longer as buffered.
  void ReleaseBufferedBytes();
  void OnResponseBuffered();
  bool DeliverBufferedResponse();
  // Sends the head and `first_bytes` of the body to the caller.
  void ForwardHead(const HttpHead& response, const std::string& first_bytes);
  void SendHead(const HttpHead& response, const std::string& first_bytes);
  void ForwardBody(std::string_view bytes);
  void StoreResponseBody(std::string_view bytes);
  void OnResponseEnd();
  void OnResponseInterrupted(AttemptEnd end, const std::string& detail);
  void OnResumedHead(const HttpHead& response);

  // exchange_keys.cc
  // Whether the caller's key, or the lack of one, is accepted by the manifest in force. Sets
  // RequestMeta::tenant.
  bool KeyIsAccepted();
  // Refuses the request if its key is not accepted and it is not being answered.
  bool RefuseWithoutKey();
  void CheckCallerKey();
  bool RouteIsKeyless() const;
  uint32_t Rank() const;

  // 4. Ends
  void ArmTimer(TimerUse use, Duration duration);
  // Like ArmTimer, but not beyond the deadline if the response has to be complete by then.
  void ArmStreamTimer(TimerUse use, Duration duration);
  void OnTimer(TimerUse use);
  void OnCallerGone();
  void RespondWithError(ErrorResponse error_response);
  void End(ConnectionAction action);
  void FinishTicket();
  void CloseAttempts(AttemptEnd end);
  void ReplayStoredResponse(const Repeat& repeat);
  void OnRequestRead();
  // Sends the response once the request is the first on its connection. `format` returns the
  // response's bytes.
  void WriteCompleteResponse(std::function<std::string(bool keep_alive)> format);
  ErrorResponse ErrorForRefusal(const Refuse& refusal) const;
  ErrorResponse ErrorForFailure() const;
  static ErrorResponse ErrorForCondemned(const Judgement& judgement);
  bool MayHaveRun() const { return may_have_run_; }
  ConnectionAction ActionAfterResponse() const;

  ForwardContext& context_;
  Caller caller_;
  std::shared_ptr<HttpStream> caller_stream_;  // Same as caller_.stream.
  HttpHead head_;                              // Head of the request.
  std::shared_ptr<const Manifest> manifest_;   // In force at admission; used to the end.
  RequestMeta meta_;
  // Read, and removed from head_, at the first check against a manifest that requires keys.
  std::optional<CallerKey> caller_key_;
  uint64_t keys_generation_ = 0;       // KeyIndex::Generation() at the last check.
  std::optional<KeyFault> key_fault_;  // Result of the last check.
  uint32_t workspace_priority_ = 0;    // 0 without a workspace.
  Ticket ticket_ = 0;
  asio::steady_timer timer_;  // Runs for one TimerUse at a time.
  MonotonicTime started_;
  MonotonicTime deadline_;            // Earlier one of the caller's and the route's.
  std::string body_;                  // The request's body as far as it was read and is kept.
  bool body_complete_ = false;        // The whole body was read before the first attempt.
  bool request_read_ = false;         // The whole request was read from the connection.
  size_t body_dropped_ = 0;           // Bytes of the body before body_; they were sent.
  size_t body_sent_ = 0;              // Bytes of the body that attempt_ has got.
  bool attempt_takes_body_ = false;   // attempt_ has got what was read when it started.
  bool reading_body_ = false;         // A read of the rest of the body is pending.
  size_t kept_bytes_ = 0;             // Part of context_.kept_body_bytes.
  std::optional<Claim> claim_;        // Held until FinishClaim.
  KeptAnswer stored_response_;        // Stored with the claim and replayed to repeats.
  std::shared_ptr<Attempt> attempt_;  // Main attempt.
  std::shared_ptr<Attempt> hedge_;    // Second, concurrent attempt.
  // Servers have crashed under this request: it is sent to one server only.
  bool suspect_ = false;
  bool on_trial_ = false;                    // It is sent although it is condemned.
  bool may_have_run_ = false;                // A server may have started the request.
  std::string last_failure_;                 // Readable cause, for RequestEnd::detail.
  bool response_started_ = false;            // A response is being sent to the caller.
  bool response_chunked_ = false;            // The caller gets the response's body in chunks.
  int sent_status_ = 0;                      // HTTP status sent to the caller.
  std::optional<ResumePoint> resume_point_;  // Set if the response can be resumed.
  // The response was interrupted, and no other attempt has delivered the head of its continuation
  // yet.
  bool resuming_ = false;
  uint64_t resumed_at_ = 0;  // Byte offset of the last resumption; 0 before the first one.
  // A response that is read completely before the caller gets any of it.
  struct BufferedResponse {
    HttpHead head;
    std::string body;
  };
  std::optional<BufferedResponse> partial_response_;  // Being read from attempt_.
  size_t buffered_bytes_ = 0;                         // Part of context_.buffered_response_bytes.
  // A complete response. A server error is kept here until no retry can replace it.
  std::optional<BufferedResponse> buffered_response_;
  bool ended_ = false;
  RequestEnd request_end_;  // Reported to the observer at the end.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_EXCHANGE_H_
