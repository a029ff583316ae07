// Chooses the backend server for each request of this entry VM, and decides which requests wait,
// are refused or are retried. Does no I/O and reads no clock: the caller passes the time and a
// random seed.
//
// Life cycle of a request:
//   Choose returns SendTo, Wait or Refuse.
//   After Wait, TakeReady returns the SendTo or Refuse of the request once a slot is free or the
//   request has waited too long.
//   After each SendTo, OnEnded must be called exactly once with the result of the attempt
//   (kCancelled if the attempt was abandoned). Retry then requests another attempt.
//   HedgeDue returns slow requests; Hedge may give them a second, concurrent attempt.
//   Finish ends the request at any time; OnEnded must still follow for its open attempts.
//
// Call TakeReady after each event, and no later than NextWake.
//
// The time per decision does not depend on the number of backend servers. docs/CHOOSING.md
// describes the policy and its measured results.

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

// Identifies one request within this entry VM. Assigned by the forwarder and not reused.
using Ticket = uint64_t;

struct ChoiceRequest {
  Ticket ticket = 0;
  ServiceId service;
  RequestClass request_class = RequestClass::kRoutine;
  TenantId tenant;
  MonotonicTime deadline;   // The whole answer (bulk: its first byte) is due by then.
  bool repeatable = false;  // Idempotent: may be sent again although it may have run.
  uint32_t depth = 0;       // Depth in the call tree, 0 for the root call.
  // Taken from the route of the request; defaults if it has no route. RequestPlanner
  // (src/schedule) reads these fields; Chooser ignores them.
  uint32_t rank = 0;                    // Priority rank; 0 is the most urgent.
  std::optional<MonotonicTime> target;  // Time by which an answer is preferred.
  // Time from the request's start to `target`; 0 if there is no target.
  std::chrono::milliseconds target_latency{0};
  std::optional<MonotonicTime> caller_deadline;  // Time at which the caller gives up, if known.
  uint32_t max_attempts = 0;                     // Limit on attempts; 0 if the route sets none.
  bool bulk = false;                             // The answers of the route are large.
};

enum class RefusalCause {
  kUnknownService,
  kNoBackendServer,  // The service has no usable backend server.
  kOverload,         // The request is not expected to be answered by its deadline.
  kDeadline,         // The deadline has passed or is too near for an answer.
  kRetryBudget,      // The limit on retries does not allow another attempt.
  kStopping,         // This entry VM stops before a server can be found. Not sent to others.
  kServerLimit,      // The backend servers' own limits allow no further request in time.
  kServerPause,      // All usable backend servers have asked this entry VM for a pause.
  kWorkspaceLimit,   // The limit of the request's workspace is used up.
};

struct SendTo {
  Ticket ticket = 0;
  BackendServerId server;
  Endpoint endpoint;
  uint32_t attempt = 1;  // Number of the attempt, from 1.
  std::string reason;    // Why the server was chosen, for logs; empty from Chooser.
  // Set by the sender: the request's id, and the time until its answer is of no more use.
  std::string request = {};
  std::chrono::milliseconds time_left{0};
  uint64_t started = 0;  // Lifetime of the server; 0 from Chooser.
};
struct Wait {};  // The request is queued; TakeReady returns its choice.
struct Refuse {
  Ticket ticket = 0;
  RefusalCause cause = RefusalCause::kOverload;
  std::chrono::milliseconds retry_after{1000};
  std::string reason = {};  // Who refused, for logs; empty from Chooser.
};
using Choice = std::variant<SendTo, Wait, Refuse>;
// The choice for a request that waited.
using ReadyChoice = std::variant<SendTo, Refuse>;

// How one attempt at one backend server ended.
enum class AttemptEnd {
  kAnswered,        // The whole answer arrived and is not a server error.
  kServerError,     // A 5xx answer other than kShed or kNotStarted.
  kShed,            // The server reported that it is overloaded and did not start the request.
  kNotStarted,      // The server reported that it did not start the request, for example while
                    // draining.
  kConnectFailed,   // No connection was established; no bytes were sent.
  kTimedOut,        // The timeout passed before the answer was complete.
  kConnectionLost,  // The connection broke after bytes were sent.
  kCancelled,       // The attempt was abandoned: the caller disconnected or another attempt was
                    // answered.
};

// Whether the last attempt delivered another part of a broken answer.
enum class ResumeProgress { kNone, kSome };

struct AttemptResult {
  AttemptEnd end = AttemptEnd::kAnswered;
  Duration latency{};            // From sending to the answer's first byte, or to the failure.
  std::optional<Report> report;  // Report that came with the answer.
  // Limit that the server named in this answer, in requests per second. An answer without one (end
  // is kAnswered) states that the server has no limit.
  std::optional<double> limit = {};
};

// State of one backend server as seen by this entry VM, for the status and explain views.
struct ServerView {
  BackendServerId server;
  ServiceId service;
  std::optional<Report> last_report;
  Duration report_age{};        // Age of last_report.
  uint32_t in_flight = 0;       // Open requests of this entry VM at the server.
  bool leaving = false;         // The server is leaving and gets no new requests.
  std::string circuit;          // State of the circuit: "closed", "half-open" or "open".
  Duration latency_estimate{};  // Expected time to the first byte of a routine answer.
};

struct Decision {
  Ticket ticket = 0;
  std::string chosen;  // Chosen backend server, "wait" or the cause of a refusal.
  std::string reason;  // Queue state, candidates and their scores as text.
};

class Chooser {
 public:
  Chooser(FailureDomainId failure_domain, uint64_t seed);
  ~Chooser();
  Chooser(const Chooser&) = delete;
  Chooser& operator=(const Chooser&) = delete;

  // Applies a manifest. Backend servers that remain keep their state.
  void Apply(const Manifest& manifest, MonotonicTime now);

  Choice Choose(const ChoiceRequest& request, MonotonicTime now);
  void OnEnded(Ticket ticket, const BackendServerId& server, const AttemptResult& result,
               MonotonicTime now);
  // Chooses a server for another attempt after one has ended. The request must be known not to have
  // run, or be repeatable. Prefers servers on which the request has not been tried.
  Choice Retry(Ticket ticket, MonotonicTime now);
  // Chooses a server that resumes an answer whose transfer broke off. The deadline applies to the
  // start of an answer and is ignored from then on. An attempt that delivered a part of the answer
  // is not charged to the limits on attempts and retries, because that part is not repeated.
  Choice Resume(Ticket ticket, ResumeProgress progress, MonotonicTime now);
  // Starts a second, concurrent attempt for a slow repeatable request if the retry budget allows
  // it.
  std::optional<SendTo> Hedge(Ticket ticket, MonotonicTime now);
  // Ends the request: it has been answered or refused, or its caller has disconnected.
  void Finish(Ticket ticket, MonotonicTime now);

  // Handles a report from a probe or forwarded by another entry VM.
  void OnReport(const BackendServerId& server, const Report& report, MonotonicTime now);
  void OnLeaving(const BackendServerId& server, LeavingSource source, MonotonicTime now);
  // Returns the servers newly marked as leaving because of their own answers or probes since the
  // last call, so that other entry VMs can be notified.
  std::vector<BackendServerId> TakeNewlyLeaving();

  // Removes waiting requests that can be sent now or are refused, and returns their choices.
  std::vector<ReadyChoice> TakeReady(MonotonicTime now);
  // Returns requests whose answer is so late that a hedge may help; each is returned once.
  std::vector<Ticket> HedgeDue(MonotonicTime now);
  // Returns when TakeReady or HedgeDue must be called next if there is no earlier event.
  std::optional<MonotonicTime> NextWake() const;

  std::vector<ServerView> View(MonotonicTime now) const;
  std::vector<Decision> RecentDecisions(const ServiceId& service) const;

 private:
  struct Attempt {
    ServerHandle server = 0;
    MonotonicTime sent;
    float reported_excess = 0;  // LoadEstimate::ReportedExcess when the attempt was sent.
    bool open = true;           // The attempt has not ended yet.
    bool trial = false;         // The attempt is a trial of a half-open circuit.
  };
  struct Request {
    uint32_t service = 0;  // Index of the service in services_.
    RequestClass request_class = RequestClass::kRoutine;
    MonotonicTime deadline;
    bool repeatable = false;
    bool waiting = false;   // The request is in the queue of its service.
    bool finished = false;  // Finished; kept only until its open attempts end.
    uint32_t depth = 0;
    std::vector<Attempt> attempts;  // All attempts in the order of sending.
    size_t uncharged_attempts = 0;  // Attempts that delivered a part of the answer, up to a limit.
  };
  struct ServiceState;
  using HedgeTimer = std::pair<MonotonicTime, Ticket>;

  void ApplyServices(const Manifest& manifest);
  void ApplyServer(const BackendServer& config, bool first_manifest, MonotonicTime now);
  ServerHandle AllocateHandle();
  void RebuildLists(ServiceState& service);
  void ReleaseIfUnused(ServerHandle handle);

  Choice Admit(Ticket ticket, Request& request, ServiceState& service, MonotonicTime now);
  Choice Enqueue(Ticket ticket, Request& request, ServiceState& service, MonotonicTime now);
  std::optional<Refuse> RefuseIfUnservable(Ticket ticket, const Request& request,
                                           ServiceState& service, MonotonicTime now);
  bool MaySend(const ServiceState& service, RequestClass request_class) const;
  std::optional<SendTo> Send(Ticket ticket, Request& request, ServiceState& service,
                             DecisionKind kind, MonotonicTime now);
  std::optional<ServerHandle> PickTrialServer(const Request& request, ServiceState& service,
                                              MonotonicTime now);
  PickResult Pick(const Request& request, const ServiceState& service, MonotonicTime now);
  SendTo StartAttempt(Ticket ticket, Request& request, ServiceState& service, DecisionKind kind,
                      ServerHandle handle, const PickResult& pick, MonotonicTime now);
  Refuse MakeRefusal(Ticket ticket, const Request& request, ServiceState& service,
                     RefusalCause cause, MonotonicTime now);
  void DrainQueue(ServiceState& service, MonotonicTime now, std::vector<ReadyChoice>& ready);

  void ApplyReport(ServerHandle handle, const Report& report, LeavingSource source,
                   MonotonicTime now);
  void AdaptReserve(ServiceState& service, ServerHandle handle, double load, MonotonicTime now);
  void UpdateRecentlyFree(ServiceState& service, ServerHandle handle, const Report& report);
  void MarkLeaving(ServerHandle handle, LeavingSource source, MonotonicTime now);
  void ApplyResult(const Attempt& attempt, const Request& request, const AttemptResult& result,
                   MonotonicTime now);
  void ApplyAnswer(const Attempt& attempt, const Request& request, Duration latency,
                   MonotonicTime now);
  void ApplyFailure(ServerHandle handle, MonotonicTime now);
  bool MayEject(const ServiceState& service) const;
  std::string Explain(const DecisionEntry& entry) const;

  FailureDomainId failure_domain_;
  Random random_;
  std::vector<ServerState> servers_;  // Indexed by handle.
  std::vector<ServerHandle> free_handles_;
  CandidatePicker picker_;
  // States of all services that a manifest has ever listed; none is removed.
  std::vector<std::unique_ptr<ServiceState>> services_;
  std::unordered_map<ServiceId, uint32_t> service_index_;
  std::unordered_map<BackendServerId, ServerHandle> server_index_;
  std::unordered_map<Ticket, Request> requests_;
  std::vector<uint32_t> waiting_services_;  // Indices of services with a non-empty queue.
  std::priority_queue<HedgeTimer, std::vector<HedgeTimer>, std::greater<>> hedge_timers_;
  std::vector<BackendServerId> newly_leaving_;
  bool has_manifest_ = false;      // At least one manifest has been applied.
  MonotonicTime last_event_time_;  // Time of the newest event.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_CHOOSER_H_
