// Places each request of this entry VM from fresh reports: every server is asked several times a
// second by one entry VM of the zone, which passes the answer on to the others. Pure: no I/O; time
// and randomness are passed in.
//
// Same life of a request as Chooser (src/choose/chooser.h). The policy, in short:
//   - expected time to the answer at each server, from its report; the shortest wins, near ties
//     at random so that entry VMs with the same reports don't meet at one server;
//   - what can be answered within its target goes out at once;
//   - what could be, were a slot free at a fast server, waits for one, in order of rank;
//   - what is late anyway takes a server that nobody wants, or is refused at once when none can
//     answer before its deadline.
//
// Linear in the servers of a service for each decision: some microseconds at a few hundred.

#ifndef COWSLIPHILL_BALANCE_BALANCER_H_
#define COWSLIPHILL_BALANCE_BALANCER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/balance/server_load.h"
#include "src/balance/shared_retry_budget.h"
#include "src/balance/work_estimate.h"
#include "src/choose/chooser.h"

namespace cowsliphill {

// What one entry VM has seen of a server's answers since it last told the others.
struct OutcomeCount {
  BackendServerId server;
  uint32_t answered = 0;
  uint32_t failed = 0;
};

class Balancer {
 public:
  static constexpr double kQueuePerSlot = 1.0;  // Requests queued at a server per slot, at most.
  static constexpr double kTie = 0.05;          // Expected times this near count as equal.
  static constexpr std::chrono::milliseconds kTieFloor{2};
  static constexpr double kNearlyFull = 0.8;  // Share of slots from which servers slow down.
  static constexpr double kNearlyFullCost = 1.5;
  static constexpr double kCrowdCost = 0.12;   // Of the time, per request there: reports are old
                                               // by some arrivals, so the emptier one is safer.
  static constexpr double kColdCost = 2.0;     // Times as long at a server that has just started.
  static constexpr double kRemoteCost = 0.25;  // Of the work: preference for the own place.
  static constexpr double kFailureCost = 3.0;  // Works lost by sending to a failing server.
  static constexpr double kDeadlineMargin = 0.9;  // Share of the time left that may be planned for.
  static constexpr double kHedgeAfter = 2.0;      // Times the expected time without an answer; or
  static constexpr double kHedgeSoonest = 1.4;    // sooner, while a second attempt that takes
  static constexpr double kHedgeWork = 1.3;       // so many times the work is still in time.
  static constexpr double kTurnedSlow = 2.5;      // Slowdown from which work there is sent again,
  static constexpr double kHedgeLatest = 0.7;     // unless so much of its time has passed.
  static constexpr std::chrono::milliseconds kHedgeFloor{20};
  static constexpr std::chrono::milliseconds kRetryAfterFloor{50};
  static constexpr std::chrono::milliseconds kQueuePoll{10};  // While requests wait.
  // Least time between two looks at a queue: each judges all servers for each request in it, and
  // reports come in hundreds a second.
  static constexpr std::chrono::milliseconds kQueueRest{5};
  static constexpr double kTypicalWeight = 0.02;  // Of one report in the mean over a service.
  static constexpr size_t kMostWaiting = 500;     // Requests per service.
  static constexpr double kSound = 0.02;          // Share of failures below which a server is.

  Balancer(PlaceId place, uint64_t seed, RetrySettings terms);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  // Takes services and servers; what is known of servers that stay is kept.
  void Apply(const std::vector<Service>& services, const std::vector<BackendServer>& servers,
             MonotonicTime now);
  // Entry VMs that share the retry budget.
  void SetEntryVms(size_t n) { entry_vms_ = n; }

  Choice Choose(const ChoiceRequest& request, MonotonicTime now);
  void OnEnded(Ticket ticket, const BackendServerId& server, const AttemptResult& result,
               MonotonicTime now);
  Choice Retry(Ticket ticket, MonotonicTime now);
  // Never: answers are gathered here, and the servers of this form don't know ranges.
  static Choice Resume(Ticket ticket, ResumeProgress, MonotonicTime) {
    return Refuse{ticket, RefusalCause::kRetryBudget, kRetryAfterFloor};
  }
  std::optional<SendTo> Hedge(Ticket ticket, MonotonicTime now);
  void Finish(Ticket ticket, MonotonicTime now);
  std::vector<Ready> TakeReady(MonotonicTime now);
  std::vector<Ticket> HedgeDue(MonotonicTime now);
  std::optional<MonotonicTime> NextWake() const;

  // A report that was true at `sampled`.
  void OnReport(const BackendServerId& server, const Report& report, MonotonicTime sampled);
  // Another entry VM has just sent a request there.
  void OnSentElsewhere(const BackendServerId& server, MonotonicTime now);
  void OnMissedProbe(const BackendServerId& server);
  // Another entry VM of the zone has seen these.
  void OnOutcomes(const OutcomeCount& outcomes);
  // Ours since the last call, of servers that fail at times.
  std::vector<OutcomeCount> TakeOutcomes();
  // Servers that requests went to since the last call, to be told to the others.
  std::vector<BackendServerId> TakeSent() { return std::exchange(sent_, {}); }

  size_t Waiting() const;
  // Whether the server takes no new work, by its own word.
  bool IsLeaving(const BackendServerId& server) const;

 private:
  struct Server;
  struct ServiceState;
  struct Attempt {
    Server* server = nullptr;
    MonotonicTime sent;
    Duration expected{};
    double slowdown = 1.0;
    bool had_free_slot = false;
    bool open = true;
  };
  struct Request {
    ChoiceRequest asked;
    ServiceState* service = nullptr;
    bool waiting = false;
    bool finished = false;  // Kept only until its open attempts end.
    std::vector<Attempt> attempts;
  };
  struct Candidate {
    Server* server = nullptr;
    Duration expected{};  // To the answer.
    double cost = 0;      // Expected time with preferences, in nanoseconds.
    double slowdown = 1.0;
    uint32_t in_flight = 0;
  };
  using HedgeTime = std::pair<MonotonicTime, Ticket>;

  std::optional<Candidate> Best(const Request& request, MonotonicTime now, uint32_t& usable);
  Candidate Judge(Server& server, const Request& request, Duration work, double typical,
                  MonotonicTime now) const;
  Choice Place(Ticket ticket, Request& request, MonotonicTime now);
  SendTo Send(Ticket ticket, Request& request, const Candidate& candidate, uint32_t usable,
              MonotonicTime now);
  MonotonicTime HedgeTimeOf(const Request& request, const Candidate& candidate, MonotonicTime now);
  void HedgeWorkAt(const Server& server, MonotonicTime now);
  static std::string Reason(const Candidate& candidate, uint32_t usable, MonotonicTime now);
  Refuse Refused(Ticket ticket, const Request& request, RefusalCause cause, MonotonicTime now);
  WorkEstimate& WorkOf(const Request& request);
  void Wait(Ticket ticket, Request& request);
  void LeaveQueue(Ticket ticket, Request& request);
  void ForgetIfOver(Ticket ticket);

  PlaceId place_;
  std::mt19937_64 random_;
  RetrySettings terms_;
  size_t entry_vms_ = 1;
  std::map<ServiceId, std::unique_ptr<ServiceState>> services_;
  std::unordered_map<BackendServerId, std::unique_ptr<Server>> servers_;
  std::unordered_map<Ticket, Request> requests_;
  std::priority_queue<HedgeTime, std::vector<HedgeTime>, std::greater<>> hedges_;
  std::vector<BackendServerId> sent_;  // Since TakeSent.
  MonotonicTime last_now_{};
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_BALANCER_H_
