// The life of each request of this entry VM towards backend servers: asks the scheduler of its cell
// for a server, asks another one when that is silent, asks again after a failed attempt, and beside
// an attempt that takes too long. Same calls as Chooser, for Dispatcher. Pure: messages go in and
// come out; time is passed in.
//
// The last scheduler to be asked is the one of this process, which always answers: a request never
// depends on another entry VM. Schedulers only advise. What a request may do is decided here:
// whether it may be sent once more, and that a server which this entry VM knows to be leaving gets
// no new work.

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
#include "src/schedule/scheduler.h"

namespace cowsliphill {

class RequestPlanner {
 public:
  // For the first word of a scheduler in our failure domain, which takes less than a millisecond
  // unless a datagram is lost or a large answer fills our own link for a while.
  static constexpr std::chrono::milliseconds kPatience{25};
  static constexpr uint32_t kUnanswered = 2;  // Asks in a row, before another one is asked.
  // While an ask is queued there; then it is asked again.
  static constexpr std::chrono::milliseconds kQueuePatience{60};
  static constexpr std::chrono::milliseconds kSilence{1000};  // A silent one is not asked for so
                                                              // long.
  static constexpr uint32_t kMostAsks = 200;  // For one attempt, before it is refused.
  // A second attempt begins after this many times the expected time without an answer, or sooner,
  // while one that takes kHedgeWork times the work would still be in time.
  static constexpr double kHedgeAfter = 2.0;
  static constexpr double kHedgeSoonest = 1.4;
  static constexpr double kHedgeWork = 1.3;
  static constexpr std::chrono::milliseconds kHedgeFloor{20};
  // One that was not to be had is asked for again after this: slots come free about as often. A
  // server that hangs is left in the end, also when the answer will be late.
  static constexpr std::chrono::milliseconds kHedgeAgain{100};
  // Told to callers when no scheduler told one: a server failed, and a caller that comes back soon
  // finds another.
  static constexpr std::chrono::milliseconds kRetryAfter{50};

  RequestPlanner(FailureDomainId failure_domain, Endpoint self, uint64_t seed, RetrySettings terms);

  void ApplyServers(const std::vector<Service>& services,
                    const std::vector<BackendServer>& servers);
  // Entry VMs that are alive, this one included.
  void SetMembers(const std::vector<Member>& members);

  // As in Chooser. Choices come later, by TakeReady; a hedge's too, as a SendTo whose ticket does
  // not wait.
  Choice Choose(const ChoiceRequest& request, MonotonicTime now);
  Choice Retry(Ticket ticket, MonotonicTime now);
  // Never: answers are gathered here, and the servers of this form don't know ranges.
  static Choice Resume(Ticket ticket, ResumeProgress, MonotonicTime) {
    return Refuse{ticket, RefusalCause::kRetryBudget, kRetryAfter};
  }
  std::optional<SendTo> Hedge(Ticket ticket, MonotonicTime now);
  void OnEnded(Ticket ticket, const BackendServerId& server, const AttemptResult& result,
               MonotonicTime now);
  void Finish(Ticket ticket, MonotonicTime now);
  std::vector<ReadyChoice> TakeReady(MonotonicTime now);
  std::vector<Ticket> HedgeDue(MonotonicTime now);
  std::optional<MonotonicTime> NextWake() const;

  void OnReply(const Endpoint& from, const ScheduleReply& reply, MonotonicTime now);
  void OnSlow(const ScheduleSlow& slow, MonotonicTime now);
  // Carried on an answer whose end follows.
  void OnReport(const BackendServerId& server, const Report& report);
  bool HasReady() const { return !ready_.empty(); }
  std::vector<Outgoing> TakeOutbox() { return std::exchange(outbox_, {}); }

  // Whether the server takes no new work, as far as this entry VM has heard.
  bool IsLeaving(const BackendServerId& server) const;
  uint64_t SilentSchedulers() const { return silences_; }  // Times that one did not answer.
  const Endpoint& LastSilent() const { return last_silent_; }

 private:
  struct Server {
    BackendServer config;
    bool leaving = false;
    std::optional<Report> report;  // Of an answer whose end has not been told yet.
  };
  enum class Stage {
    kAsking,  // No word yet.
    kQueued,  // A scheduler has it in its queue.
    kSent,    // At its server.
    kEnded,
  };
  struct Attempt {
    AskId ask = 0;
    Stage stage = Stage::kAsking;
    bool hedge = false;
    uint32_t asks = 0;
    uint32_t unanswered = 0;  // By `scheduler`, in a row.
    Endpoint scheduler;       // Last asked; of a sent attempt, the one that assigned.
    MonotonicTime patience;   // While asking or queued: until then.
    BackendServerId server;
    // For a scheduler's word.
    bool Waits() const { return stage == Stage::kAsking || stage == Stage::kQueued; }
  };
  struct Request {
    ChoiceRequest asked;
    std::vector<Attempt> attempts;
    std::vector<NameTag> avoided;  // Servers assigned, but leaving or unknown here.
    bool finished = false;         // Kept only until its open attempts end.
  };
  using Timer = std::pair<MonotonicTime, AskId>;
  using HedgeTime = std::pair<MonotonicTime, Ticket>;

  void Begin(Request& request, bool hedge, MonotonicTime now);
  void Ask(Request& request, Attempt& attempt, MonotonicTime now);
  Endpoint SchedulerFor(const ServiceId& service, MonotonicTime now);
  void AskAgain(AskId ask, MonotonicTime now);
  void StopTimer(const Attempt& attempt) { timers_.erase({attempt.patience, attempt.ask}); }
  void SetTimer(Attempt& attempt, MonotonicTime patience);
  void OnAssigned(const Endpoint& from, Request& request, Attempt& attempt,
                  const ScheduleReply& reply, MonotonicTime now);
  void End(Attempt& attempt, const AttemptResult& result);
  void GiveUp(Request& request, Attempt& attempt, const Refuse& refuse, MonotonicTime now);
  Attempt* FindAttempt(AskId ask, Request** request);
  void ForgetIfOver(Ticket ticket);
  static std::string Reason(const Endpoint& from, const ScheduleReply& reply);

  FailureDomainId failure_domain_;
  Endpoint self_;
  RetrySettings terms_;
  size_t entry_vms_ = 1;
  SchedulerOrder order_;
  CellMap cell_map_;
  std::map<Endpoint, MonotonicTime> silent_until_;
  std::map<ServiceId, SharedRetryBudget> budgets_;  // Of the services that are known.
  std::unordered_map<BackendServerId, Server> servers_;
  std::unordered_map<NameTag, BackendServerId> by_tag_;
  std::unordered_map<Ticket, Request> requests_;
  std::unordered_map<AskId, Ticket> by_ask_;
  std::set<Timer> timers_;  // Of attempts that wait for a scheduler's word.
  std::priority_queue<HedgeTime, std::vector<HedgeTime>, std::greater<>> hedges_;
  std::vector<ReadyChoice> ready_;
  std::vector<Outgoing> outbox_;
  AskId next_ask_;
  uint64_t silences_ = 0;
  Endpoint last_silent_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SCHEDULE_REQUEST_PLANNER_H_
