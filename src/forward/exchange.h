// One request of a caller, from its head to the end of its answer.
//
// Sections of exchange.cc:
//   1. Start: headers, limits, the first part of the body
//   2. Claim, choice and attempts
//   3. The request's body beyond the first part
//   4. Ends: refusals, deadlines, callers that leave
// exchange_answer.cc: the answer's head and body, taking up a broken download.
//
// Where the wire form gathers answers, the caller gets nothing of an answer until all of it is
// here, so a broken answer or a server error may still be replaced by another attempt's.
//
// Limits: a request whose body exceeds EdgeSettings::buffer_bytes is sent at most once, because
// what was sent is not kept.

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

// How the caller's connection goes on after an exchange.
enum class ConnectionFate {
  kKeep,   // Ready for the next request.
  kClose,  // Close in order: what was written reaches the caller.
  kAbort,  // Close at once: the caller must see that its answer is not whole.
};

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  using Done = std::function<void(ConnectionFate)>;

  Exchange(ForwardContext& context, std::shared_ptr<HttpStream> caller, HttpHead head, Done done);
  ~Exchange();

  void Start();
  // The entry VM stops at once: ends without an answer.
  void Abandon();
  // The chooser finds it slow: tries a second backend server at the same time, if affordable.
  void OnSlow();
  // The second attempt that OnSlow asked for has a server.
  void OnHedge(const SendTo& target);

 private:
  bool WantsHedge() const;

  enum class TimerUse { kDeadline, kBackendSilence, kCallerSilence };

  // 1. Start
  void AwaitCatalog();
  void Admit();
  void ReadFirstPart();
  void OnRequestBody(const HttpEvent& event);
  void OnFirstPartRead();

  // 2. Claim, choice and attempts
  void BeginClaim();
  void OnClaim(const ClaimAnswer& answer);
  void FinishClaim();
  std::string Fingerprint() const;
  void Choose();
  void OnChoice(const Choice& choice);
  std::shared_ptr<Attempt> StartAttempt(const SendTo& target);
  std::string FirstBytesFor(const SendTo& target) const;
  ConnectionNeed NeedOfAttempt() const;
  void OnAttemptFailed(const std::shared_ptr<Attempt>& attempt, AttemptEnd end,
                       const std::string& detail);
  void ReportEnd(const std::shared_ptr<Attempt>& attempt, AttemptEnd end,
                 const std::optional<Report>& report);
  void Drop(std::shared_ptr<Attempt>& attempt, AttemptEnd end);
  bool MayTryAgain(AttemptEnd end) const;
  void TryAgain();
  Dispatcher::ChoiceCallback WhenChosen();

  // 3. The rest of the request's body
  void PumpRequestBody();
  void OnMoreRequestBody(const HttpEvent& event);

  // exchange_answer.cc
  void OnAnswer(const std::shared_ptr<Attempt>& attempt, const HttpEvent& event);
  void OnAnswerHead(const std::shared_ptr<Attempt>& attempt, const HttpHead& answer);
  void Gather(std::string_view bytes);
  void OnGathered();
  bool DeliverSpare();
  // `first_bytes` of the body go out with the head.
  void ForwardHead(const HttpHead& answer, const std::string& first_bytes);
  void ForwardBody(std::string_view bytes);
  void KeepBody(std::string_view bytes);
  void OnAnswerEnd();
  void OnAnswerBroken(AttemptEnd end, const std::string& detail);
  void OnResumedHead(const HttpHead& answer);

  // 4. Ends
  void Arm(TimerUse use, Duration duration);
  void OnTimer(TimerUse use);
  void OnCallerGone();
  void AnswerVerdict(ErrorResponse verdict);
  void End(ConnectionFate fate);
  void FinishTicket();
  void DropAll(AttemptEnd end);
  void AnswerRepeat(const Repeat& repeat);
  void WriteLast(std::string answer);
  ErrorResponse RefusalVerdict(const Refuse& refusal) const;
  ErrorResponse FailureVerdict() const;
  bool MayHaveRun() const { return may_have_run_; }
  ConnectionFate FateAfterAnswer() const;

  ForwardContext& context_;
  std::shared_ptr<HttpStream> caller_;
  HttpHead head_;                             // Of the request.
  Done done_;                                 // Called once, at the end.
  std::shared_ptr<const Manifest> manifest_;  // It is decided and ends under this one.
  RequestMeta meta_;
  Ticket ticket_ = 0;
  asio::steady_timer timer_;  // One limit at a time, see TimerUse.
  MonotonicTime started_;
  MonotonicTime deadline_;             // The caller's, or the route's shorter limit.
  std::string body_;                   // First part of the body, up to buffer_bytes.
  bool body_whole_ = false;            // body_ is the whole body.
  bool body_open_ = false;             // The rest of the body is being passed on.
  std::optional<Claim> claim_;         // Held: FinishClaim must follow.
  KeptAnswer kept_answer_;             // For repeats of a request that holds a claim.
  std::shared_ptr<Attempt> attempt_;   // The one in progress.
  std::shared_ptr<Attempt> hedge_;     // A second one at the same time.
  bool may_have_run_ = false;          // An attempt sent bytes and no word denies a start.
  std::string failure_;                // How the last attempt failed.
  bool answering_ = false;             // The answer's head went to the caller.
  bool answer_chunked_ = false;        // How the answer's body is framed.
  int answer_status_ = 0;              // As told to the caller.
  std::optional<ResumePoint> resume_;  // Where the answer could be taken up again.
  bool resuming_ = false;              // attempt_ takes up a broken answer.
  uint64_t taken_up_at_ = 0;           // Offset from which attempt_ answers, in bytes.
  // An answer that is read whole before the caller gets any of it.
  struct GatheredAnswer {
    HttpHead head;
    std::string body;
  };
  std::optional<GatheredAnswer> gathered_;  // Being read from attempt_.
  std::optional<GatheredAnswer> spare_;     // A whole server error, told if no other try succeeds.
  bool ended_ = false;
  RequestEnd end_;  // What the observer is told.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_EXCHANGE_H_
