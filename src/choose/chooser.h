// Chooses the backend server for each request of this entry VM, and decides what waits, what is
// refused and what is tried again. Pure: no I/O; time and randomness are passed in.
//
// Life of a request:
//   Choose -> SendTo | Wait | Refuse.
//   After Wait: TakeReady returns its SendTo or Refuse when its turn or its end has come.
//   After SendTo: OnEnded exactly once for each SendTo, with how the attempt ended (kCancelled if
//   it was given up); then Retry, if the forwarder wants another.
//   HedgeDue names slow requests; Hedge may then give them a second, concurrent attempt.
//   Finish at any time ends the request; attempts still out are ended by OnEnded afterwards.
//
// After each event call TakeReady, and again no later than NextWake says.
//
// Time per decision does not depend on the number of backend servers. docs/CHOOSING.md has the
// policy and its figures.

#ifndef COWSLIPHILL_CHOOSE_CHOOSER_H_
#define COWSLIPHILL_CHOOSE_CHOOSER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/choose/candidates.h"
#include "src/choose/decision_ring.h"
#include "src/choose/leaving.h"
#include "src/manifest/manifest.h"
#include "src/measure/report.h"

namespace cowsliphill {

using Ticket = uint64_t;  // One request within this entry VM; chosen by the forwarder, not reused.

struct ChoiceRequest {
  Ticket ticket = 0;
  ServiceId service;
  RequestClass request_class = RequestClass::kRoutine;
  TenantId tenant;
  MonotonicTime deadline;   // The whole answer (bulk: its first byte) is wanted by then.
  bool repeatable = false;  // Idempotent: may be sent again after it may have run.
  uint32_t depth = 0;       // Calls above this one in the call tree, 0 for the first.
  // Of the request's route; unset where there is none.
  uint32_t rank = 0;                            // 0 is the most urgent.
  std::optional<MonotonicTime> target;          // Answers by then are worth most.
  std::chrono::milliseconds target_latency{0};  // The same as a time span; 0: none.
  std::optional<MonotonicTime> caller_until;    // The caller goes away then; unset: not told.
  uint32_t max_attempts = 0;                    // 0: bounded by the retry budget only.
  bool bulk = false;                            // Large answers.
};

enum class RefusalCause {
  kUnknownService,
  kNoBackendServer,  // None is usable.
  kOverload,         // It can't be answered in its time.
  kDeadline,         // Its deadline has passed.
  kRetryBudget,      // Another try is not affordable.
};

struct SendTo {
  Ticket ticket = 0;
  BackendServerId server;
  Endpoint endpoint;
  uint32_t attempt = 1;  // 1 for the first.
  std::string reason;    // What decided for it, for logs; may be empty.
};
struct Wait {};
struct Refuse {
  Ticket ticket = 0;
  RefusalCause cause = RefusalCause::kOverload;
  std::chrono::milliseconds retry_after{1000};
};
using Choice = std::variant<SendTo, Wait, Refuse>;
using Ready = std::variant<SendTo, Refuse>;

// How one attempt at one backend server ended.
enum class AttemptEnd {
  kAnswered,       // A whole answer, not a server error.
  kServerError,    // A 5xx answer that is neither of the two below.
  kShed,           // The server's own word that it is overloaded and did not start.
  kNotStarted,     // The server's own word that it did not start, for example as it drains.
  kConnectFailed,  // No connection: not a byte was sent.
  kTimedOut,       // No answer in time.
  kCut,            // The connection broke after bytes were sent.
  kCancelled,      // The caller went away.
};

// Whether a broken answer was taken further by its last attempt.
enum class ResumeProgress { kNone, kSome };

struct AttemptResult {
  AttemptEnd end = AttemptEnd::kAnswered;
  Duration latency{};            // From sending to the answer's first byte, or to the end.
  std::optional<Report> report;  // Carried on the answer.
};

// What this entry VM knows of one backend server, for status and explain.
struct ServerView {
  BackendServerId server;
  ServiceId service;
  std::optional<Report> last_report;
  Duration report_age{};        // Of last_report.
  uint32_t in_flight = 0;       // Our own requests there.
  bool leaving = false;         // Gets no new work.
  std::string circuit;          // "closed", "half-open" or "open".
  Duration latency_estimate{};  // Of an answer's first byte.
};

struct Decision {
  Ticket ticket = 0;
  std::string chosen;  // Backend server, "wait" or the cause of refusal.
  std::string reason;  // Candidates and scores in words.
};

class Chooser {
 public:
  Chooser(FailureDomainId failure_domain, uint64_t seed);
  ~Chooser();
  Chooser(const Chooser&) = delete;
  Chooser& operator=(const Chooser&) = delete;

  // Takes a manifest; state of backend servers that remain is kept.
  void Apply(const Manifest& manifest, MonotonicTime now);

  Choice Choose(const ChoiceRequest& request, MonotonicTime now);
  void OnEnded(Ticket ticket, const BackendServerId& server, const AttemptResult& result,
               MonotonicTime now);
  // Another try for a request whose attempt has ended and that is known not to have run, or is
  // repeatable. Never picks a server that it was tried on while others are usable.
  Choice Retry(Ticket ticket, MonotonicTime now);
  // A server to take up an answer that broke off on its way. The deadline is for an answer's start
  // and no longer counts. An attempt that brought a part of the answer is not charged: what it did
  // is not repeated.
  Choice Resume(Ticket ticket, ResumeProgress progress, MonotonicTime now);
  // A second, concurrent attempt for a repeatable request that is slow, if affordable.
  std::optional<SendTo> Hedge(Ticket ticket, MonotonicTime now);
  // Forgets the request: it got its final answer or its caller went away.
  void Finish(Ticket ticket, MonotonicTime now);

  // A report of a probe, or one that another entry VM passed on.
  void OnReport(const BackendServerId& server, const Report& report, MonotonicTime now);
  void OnLeaving(const BackendServerId& server, LeavingSource source, MonotonicTime now);
  // Servers first seen leaving here, by their own word, since the last call: to be told to other
  // entry VMs.
  std::vector<BackendServerId> TakeNewlyLeaving();

  // Waiting requests whose turn has come or that are refused now.
  std::vector<Ready> TakeReady(MonotonicTime now);
  // Requests that have waited for an answer so long that a hedge may help; each is named once.
  std::vector<Ticket> HedgeDue(MonotonicTime now);
  // When TakeReady or HedgeDue may next have something without a further event.
  std::optional<MonotonicTime> NextWake() const;

  std::vector<ServerView> View(MonotonicTime now) const;
  std::vector<Decision> Recent(const ServiceId& service) const;

 private:
  struct Attempt {
    Handle server = 0;
    MonotonicTime sent;
    float reported_excess = 0;  // What reports then said of the server, beyond the average.
    bool open = true;           // Not ended yet.
    bool trial = false;         // Of a server whose circuit is half-open.
  };
  struct Request {
    uint32_t service = 0;  // Position in services_.
    RequestClass request_class = RequestClass::kRoutine;
    MonotonicTime deadline;
    bool repeatable = false;
    bool waiting = false;   // In the service's queue.
    bool finished = false;  // Kept only until its open attempts end.
    uint32_t depth = 0;
    std::vector<Attempt> attempts;  // In order of sending.
    size_t uncharged = 0;           // Of attempts: those that brought a part of the answer.
  };
  struct ServiceState;
  using Due = std::pair<MonotonicTime, Ticket>;

  void ApplyServices(const Manifest& manifest);
  void ApplyServer(const BackendServer& config, bool first_manifest, MonotonicTime now);
  Handle NewHandle();
  void Rebuild(ServiceState& service);
  void ReleaseIfUnused(Handle handle);

  Choice Admit(Ticket ticket, Request& request, ServiceState& service, MonotonicTime now);
  Choice Enqueue(Ticket ticket, Request& request, ServiceState& service, MonotonicTime now);
  std::optional<Refuse> RefuseHopeless(Ticket ticket, const Request& request, ServiceState& service,
                                       MonotonicTime now);
  bool MaySend(const ServiceState& service, RequestClass request_class) const;
  std::optional<SendTo> Send(Ticket ticket, Request& request, ServiceState& service,
                             DecisionKind kind, MonotonicTime now);
  std::optional<Handle> TrialServer(const Request& request, ServiceState& service,
                                    MonotonicTime now);
  PickResult Pick(const Request& request, const ServiceState& service, MonotonicTime now);
  SendTo Record(Ticket ticket, Request& request, ServiceState& service, DecisionKind kind,
                Handle handle, const PickResult& pick, MonotonicTime now);
  Refuse Refused(Ticket ticket, const Request& request, ServiceState& service, RefusalCause cause,
                 MonotonicTime now);
  void DrainQueue(ServiceState& service, MonotonicTime now, std::vector<Ready>& ready);

  void ApplyReport(Handle handle, const Report& report, LeavingSource source, MonotonicTime now);
  void AdaptReserve(ServiceState& service, Handle handle, double load, MonotonicTime now);
  void NoteHot(ServiceState& service, Handle handle, const Report& report);
  void MarkLeaving(Handle handle, LeavingSource source, MonotonicTime now);
  void Judge(const Attempt& attempt, const Request& request, const AttemptResult& result,
             MonotonicTime now);
  void JudgeAnswer(const Attempt& attempt, const Request& request, Duration latency,
                   MonotonicTime now);
  void JudgeFailure(Handle handle, MonotonicTime now);
  bool MayEject(const ServiceState& service) const;
  std::string Explain(const DecisionEntry& entry) const;

  FailureDomainId failure_domain_;
  Random random_;
  std::vector<ServerState> servers_;  // By handle.
  std::vector<Handle> free_handles_;
  CandidatePicker picker_;
  std::vector<std::unique_ptr<ServiceState>> services_;  // Never shrinks: one per name seen.
  std::unordered_map<ServiceId, uint32_t> service_index_;
  std::unordered_map<BackendServerId, Handle> server_index_;
  std::unordered_map<Ticket, Request> requests_;
  std::vector<uint32_t> waiting_services_;  // With a queue that is not empty.
  std::priority_queue<Due, std::vector<Due>, std::greater<>> hedges_;
  std::vector<BackendServerId> newly_leaving_;
  bool any_manifest_ = false;  // One has been applied.
  MonotonicTime last_now_;     // Of the newest event.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_CHOOSER_H_
