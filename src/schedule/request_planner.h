// Plans the attempts of each request of this entry VM: requests a backend server from the scheduler
// of the cell, turns to the next scheduler when the first does not respond, and starts further
// attempts after a failure (retry) or while an attempt takes too long (hedge). It has the interface
// of Chooser, for Dispatcher. Pure: no I/O; messages and time are passed in.
//
// The last scheduler in the order is this process's own, which always replies, so a request never
// depends on another entry VM. Schedulers only advise. RequestPlanner decides whether a request may
// be sent again, and sends no new work to a server that this entry VM knows to be leaving.

#ifndef COWSLIPHILL_SCHEDULE_REQUEST_PLANNER_H_
#define COWSLIPHILL_SCHEDULE_REQUEST_PLANNER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/balance/shared_retry_budget.h"
#include "src/choose/chooser.h"
#include "src/schedule/evacuation_watch.h"
#include "src/schedule/hedge_policy.h"
#include "src/schedule/pause_list.h"
#include "src/schedule/scheduler.h"

namespace cowsliphill {

// A backend server has asked this entry VM for a pause of this length.
struct PauseBegin {
  BackendServerId server;
  std::chrono::milliseconds pause{0};
};

class RequestPlanner {
 public:
  // Timeout for a scheduler's first reply. Within the failure domain a reply takes less than a
  // millisecond unless a datagram is lost or a large answer fills this entry VM's link for a while.
  static constexpr std::chrono::milliseconds kReplyTimeout{25};
  // Number of an attempt's unanswered assignment requests (Attempt::unanswered) after which its
  // scheduler counts as unresponsive.
  static constexpr uint32_t kMaxUnanswered = 2;
  // Interval after which the assignment request of a queued attempt is sent again, to find out
  // whether the scheduler still has it.
  static constexpr std::chrono::milliseconds kQueuedReplyTimeout{60};
  // An assignment that arrives later than this after it was requested is given back: the server may
  // have begun to leave. It is that late only if this process was paused, or the datagram delayed.
  static constexpr std::chrono::milliseconds kMaxReplyAge{1000};
  // Time for which an unresponsive scheduler is skipped.
  static constexpr std::chrono::milliseconds kUnresponsiveBackoff{1000};
  // Assignment requests that are sent for one attempt before it is refused.
  static constexpr uint32_t kMaxRequestsPerAttempt = 200;
  // A hedge starts this long after the assignment of the attempt that it runs beside:
  //   max(kMinHedgeDelay, clamp(time until target - kHedgeServiceTimeFactor * service time,
  //                             kHedgeEarliestFactor * expected latency,
  //                             kHedgeLatestFactor * expected latency))
  // The first argument of clamp is the latest start at which the hedge should still meet the
  // target. HedgingSettings::quantile replaces the clamp.
  static constexpr double kHedgeLatestFactor = 2.0;
  static constexpr double kHedgeEarliestFactor = 1.4;
  static constexpr double kHedgeServiceTimeFactor = 1.3;
  static constexpr std::chrono::milliseconds kMinHedgeDelay{20};
  // Interval after which a hedge that found no free server, or no retry budget, is tried again:
  // slots come free about as often. Trying again moves a request away from a server that hangs,
  // even if the request can't meet its target any more.
  static constexpr std::chrono::milliseconds kHedgeRetryInterval{100};
  // Time after a change of the evacuated failure domains in which schedulers may not know of it: a
  // refusal for lack of servers is not final, and the assignment is requested again.
  static constexpr std::chrono::milliseconds kEvacuationSpreadTime{2000};
  static constexpr std::chrono::milliseconds kEvacuationRetryInterval{20};
  // For this time a scheduler that has assigned a server of an evacuated failure domain is told to
  // assign it to this entry VM no more. It knows of the evacuation by then.
  static constexpr std::chrono::milliseconds kEvacuationPause{500};
  // Retry-after time of a refusal when no scheduler gave one. It is short because a server has
  // failed, and a caller that comes back soon gets another one.
  static constexpr std::chrono::milliseconds kDefaultRetryAfter{50};

  RequestPlanner(FailureDomainId failure_domain, Endpoint self, uint64_t seed,
                 RetrySettings retry_settings, HedgingSettings hedging = {});

  void ApplyServices(const std::vector<Service>& services);
  void ApplyServers(const ServerChanges& changes);
  // Replaces the list of live entry VMs, which includes this one unless it is leaving.
  void SetMembers(const std::vector<Member>& members);
  // Replaces the set of evacuated failure domains. Their servers get no new requests. If a service
  // has no other servers, its requests are refused at once.
  void SetEvacuated(const EvacuatedDomains& domains, MonotonicTime now);
  bool IsEvacuated(const BackendServerId& server) const;
  std::vector<EvacuationState> Evacuations(MonotonicTime now) const {
    return evacuations_.States(now);
  }
  std::vector<EvacuationEvent> TakeEvacuationEvents() { return evacuations_.TakeEvents(); }

  // The same calls as in Chooser, except that Choose, Retry and Hedge never return a SendTo:
  // TakeReady returns it later. That of a hedge may come while an earlier attempt of the ticket is
  // open.
  Choice Choose(const ChoiceRequest& request, MonotonicTime now);
  Choice Retry(Ticket ticket, MonotonicTime now);
  // Always refuses: requests planned here have their whole answers buffered, and their backend
  // servers do not support range requests.
  static Choice Resume(Ticket ticket, ResumeProgress, MonotonicTime) {
    return Refuse{ticket, RefusalCause::kRetryBudget, kDefaultRetryAfter};
  }
  std::optional<SendTo> Hedge(Ticket ticket, MonotonicTime now);
  void OnEnded(Ticket ticket, const BackendServerId& server, const AttemptResult& result,
               MonotonicTime now);
  void Finish(Ticket ticket, MonotonicTime now);
  std::vector<ReadyChoice> TakeReady(MonotonicTime now);
  std::vector<Ticket> HedgeDue(MonotonicTime now);
  std::optional<MonotonicTime> NextWake() const;

  void OnReply(const Endpoint& from, const ScheduleReply& reply, MonotonicTime now);
  void OnSlowHost(const SlowHost& slow, MonotonicTime now);
  // Stores the report carried on an answer. It is passed to the scheduler when the attempt ends.
  void OnReport(const BackendServerId& server, const Report& report);
  bool HasReady() const { return !ready_.empty(); }
  std::vector<Outgoing> TakeOutbox() { return std::exchange(outbox_, {}); }

  const BackendServer* FindServer(const BackendServerId& server) const;
  const BackendServer* FindServerByHash(NameHash hash) const;
  // The server gets no new work from this entry VM in that lifetime. Returns whether this is new.
  bool MarkLeaving(const BackendServerId& server, uint64_t started);
  // Handles what a server has stated to this entry VM, and tells the entry VMs that send on or
  // assign requests to it.
  void OnStatement(const ServerStatement& statement, MonotonicTime now);
  // Handles what another entry VM was told by a server, or this one through its tunnel.
  void OnNotice(const ServerNotice& notice, MonotonicTime now);
  // Servers that this entry VM came to know to be leaving by their own word, since the last call.
  std::vector<BackendServerId> TakeNewlyLeaving() { return std::exchange(newly_leaving_, {}); }
  // Number of such servers, each counted once in a lifetime.
  uint64_t LeavingByAnswer() const { return leaving_by_answer_; }
  // Whether the assigned server still takes requests of this entry VM.
  bool MaySend(const SendTo& target, MonotonicTime now) const;
  // Whether the server has asked this entry VM for a pause that is not over.
  bool IsPausing(const BackendServerId& server, MonotonicTime now) const {
    return pauses_.End(server, now).has_value();
  }
  // Pauses that have begun since the last call.
  std::vector<PauseBegin> TakeNewPauses() { return std::exchange(new_pauses_, {}); }
  uint64_t PausesBegun() const { return pauses_begun_; }
  size_t PausingServers(MonotonicTime now) const { return pauses_.Count(now); }
  std::vector<BackendServerId> ServerIds() const;  // Servers that are not evacuated.
  // Whether this entry VM sends the server no new work: it is known to be leaving, or is unknown.
  bool IsLeavingOrUnknown(const BackendServerId& server) const;
  // How many times a scheduler was found to be unresponsive.
  uint64_t SchedulerTimeouts() const { return scheduler_timeouts_; }
  const Endpoint& LastUnresponsive() const { return last_unresponsive_; }

 private:
  // Lifetimes kept of servers that are not listed; far more than leave before the list tells.
  static constexpr size_t kMaxLeft = 4096;
  struct Server {
    BackendServer config;
    bool leaving = false;
    std::optional<Report> report;  // Newest report that was not passed to a scheduler yet.
  };
  enum class Stage {
    kRequested,  // An assignment was requested, and no reply has come yet.
    kQueued,     // The attempt is in a scheduler's queue.
    kSent,       // The attempt was sent to its backend server.
    kEnded,
  };
  struct Attempt {
    ScheduleRequestId request_id = 0;
    Stage stage = Stage::kRequested;
    bool hedge = false;
    uint32_t requests_sent = 0;
    // Assignment requests to other entry VMs that timed out without a reply. A kQueued reply sets
    // the count to 0, and so does this attempt when it finds a scheduler unresponsive. The count
    // continues if `scheduler` changes because another attempt found it unresponsive.
    uint32_t unanswered = 0;
    // Receiver of the last assignment request; from kSent on, the scheduler that assigned the
    // server.
    Endpoint scheduler;
    MonotonicTime requested_at;    // Time of the last assignment request.
    MonotonicTime reply_deadline;  // Time of the next OnTimeout while an assignment is awaited.
    BackendServerId server;
    uint64_t server_started = 0;  // Lifetime of the server.
    Duration expected{};          // Expected latency of the answer.
    bool AwaitsAssignment() const { return stage == Stage::kRequested || stage == Stage::kQueued; }
  };
  struct Request {
    ChoiceRequest params;
    std::vector<Attempt> attempts;
    std::vector<NameHash> rejected_servers;  // Assigned, but leaving or unknown here.
    // Attempts whose server was evacuated before the request was sent. They count as none.
    size_t moved_attempts = 0;
    bool must_move = false;  // The last attempt was one of these; the next one is not a retry.
    bool charged = false;    // A scheduler has assigned a server: the workspace's limit is charged.
    bool finished = false;   // The caller is done; kept until its open attempts end.
  };
  using Timer = std::pair<MonotonicTime, ScheduleRequestId>;
  using HedgeTime = std::pair<MonotonicTime, Ticket>;

  void StartAttempt(Request& request, bool hedge, MonotonicTime now);
  void BeginPause(const BackendServerId& server, std::chrono::milliseconds pause,
                  MonotonicTime now);
  std::optional<MonotonicTime> AllPauseUntil(const ServiceId& service, MonotonicTime now) const;
  void SendToSchedulers(const BackendServer& server, const ServerNotice& notice);
  void RequestAssignment(Request& request, Attempt& attempt, MonotonicTime now);
  Endpoint SchedulerFor(const ServiceId& service, MonotonicTime now);
  void OnTimeout(ScheduleRequestId request_id, MonotonicTime now);
  void StopTimer(const Attempt& attempt) {
    timers_.erase({attempt.reply_deadline, attempt.request_id});
  }
  void SetTimer(Attempt& attempt, MonotonicTime reply_deadline);
  void OnAssigned(const Endpoint& from, Request& request, Attempt& attempt,
                  const ScheduleReply& reply, MonotonicTime now);
  void WithdrawRequest(Request& request, Attempt& attempt);
  void ChangeRequestId(Request& request, Attempt& attempt);
  Duration HedgeDelay(const ChoiceRequest& request, const ScheduleReply& reply, MonotonicTime now);
  void EndAttempt(Attempt& attempt, const AttemptResult& result, MonotonicTime now);
  void UpdateEvacuations();
  void TakeBackUnsent(MonotonicTime now);
  std::set<ScheduleRequestId> RunningIn(const FailureDomainId& domain) const;
  bool AsksAgain(Request& request, Attempt& attempt, MonotonicTime now);
  void GiveUp(Request& request, Attempt& attempt, const Refuse& refuse, MonotonicTime now);
  Attempt* FindAttempt(ScheduleRequestId request_id, Request** request);
  void EraseIfDone(Ticket ticket);
  static std::string Reason(const Endpoint& from, const ScheduleReply& reply);

  FailureDomainId failure_domain_;
  Endpoint self_;
  RetrySettings retry_settings_;
  size_t entry_vms_ = 1;
  SchedulerOrder order_;
  CellMap cell_map_;
  // Unresponsive schedulers, each with the time from which it is used again.
  std::map<Endpoint, MonotonicTime> skipped_until_;
  std::map<ServiceId, SharedRetryBudget> budgets_;  // Retry budgets of the known services.
  HedgePolicy hedge_policy_;
  std::unordered_map<BackendServerId, Server> servers_;
  std::unordered_map<NameHash, BackendServerId> server_ids_by_hash_;
  // Last lifetimes of servers that were known to be leaving when the list ceased to name them.
  std::unordered_map<BackendServerId, uint64_t> left_;
  std::vector<BackendServerId> newly_leaving_;
  uint64_t leaving_by_answer_ = 0;
  PauseList<BackendServerId> pauses_;
  std::vector<PauseBegin> new_pauses_;
  uint64_t pauses_begun_ = 0;
  EvacuationWatch evacuations_;
  std::optional<MonotonicTime> evacuations_changed_;  // When SetEvacuated was last called.
  // Services all of whose servers are evacuated or leaving.
  std::set<ServiceId> services_without_servers_;
  std::set<FailureDomainId> members_domains_;  // Failure domains of the live entry VMs.
  std::unordered_map<Ticket, Request> requests_;
  std::unordered_map<ScheduleRequestId, Ticket> tickets_by_request_id_;
  std::set<Timer> timers_;  // Reply deadlines of the attempts that await an assignment.
  std::priority_queue<HedgeTime, std::vector<HedgeTime>, std::greater<>> hedges_;
  std::vector<ReadyChoice> ready_;
  std::vector<Outgoing> outbox_;
  ScheduleRequestId next_request_id_;
  uint64_t scheduler_timeouts_ = 0;
  Endpoint last_unresponsive_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SCHEDULE_REQUEST_PLANNER_H_
