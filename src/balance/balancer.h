// Assigns requests to backend servers on behalf of all entry VMs that send it assignment requests.
// A Balancer decides for one or more whole cells (cell_map.h), so it knows the load of each of
// their servers. Pure: no I/O; time and randomness are passed in.
//
//   const Assignment assignment = balancer.Assign(request, now);  // Assigned, Queued or Declined
//   for (const QueueDecision& decision : balancer.TakeQueueDecisions(now)) ...
//   balancer.OnAttemptEnded(request.id, result, now);             // Frees the server's slot
//
// The policy, and the load pattern that each rule handles:
//   - A request goes to the server with the shortest expected time to the answer; near ties are
//     broken at random. This handles hosts that are several times slower for half a second, and
//     servers that slow down when nearly full.
//   - A server gets at most as many requests as it has slots. Other requests queue here, ordered
//     by rank and target, and take the first slot that comes free. This handles bursts.
//   - A request that can no longer meet its target leaves the slots to those of its rank that can,
//     and takes what is left over, such as slow hosts, if it has time to spare there. This handles
//     overload.
//   - The target of a request that its caller retries after a refusal is measured from the first
//     try (caller_elapsed_estimate.h). This handles lasting overload, and the time after an outage.
//   - A server that names a limit gets at most that many requests a second, out of a token bucket
//     (server_limit.h). Queued requests wait for its tokens as they wait for slots. This handles
//     servers in need.
//   - A request that can't be answered before its deadline is declined at once, with the time
//     after which the queue should be shorter.
//
// Each decision examines every server of the cell: some microseconds for a hundred servers.

#ifndef COWSLIPHILL_BALANCE_BALANCER_H_
#define COWSLIPHILL_BALANCE_BALANCER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "src/balance/assignment.h"
#include "src/balance/caller_elapsed_estimate.h"
#include "src/balance/cell_map.h"
#include "src/balance/host_steps.h"
#include "src/balance/server_limit.h"
#include "src/balance/server_load.h"
#include "src/balance/service_time_estimate.h"
#include "src/base/clone_ptr.h"
#include "src/manifest/evacuated_domains.h"
#include "src/manifest/manifest.h"

namespace cowsliphill {

class Balancer {
 public:
  // Servers whose cost exceeds the lowest cost by at most this share of it count as equal.
  static constexpr double kTieMargin = 0.05;
  // Cost difference, as a time, up to which servers always count as equal.
  static constexpr std::chrono::milliseconds kMinTieMargin{2};
  // Factor on the expected time at a server that is warming up and has not reported yet.
  static constexpr double kColdStartFactor = 2.0;
  // Cost of each request at a server, as a share of the expected time there: of two equally fast
  // servers the less loaded one is safer.
  static constexpr double kInFlightCost = 0.08;
  // Cost of a server outside the entry VM's failure domain, in service times.
  static constexpr double kRemoteCostServiceTimes = 0.25;
  // Cost of a server at which all requests fail, as a share of the expected time there; in
  // proportion at lower failure rates.
  static constexpr double kFailureCost = 3.0;
  // A request waits for a slot only while this many service times are left before its target:
  // service times vary.
  static constexpr double kOnTimeMargin = 1.3;
  // Share of the time to its deadline within which a late request must be expected to finish. With
  // more, it would often be cut off there, and hold a slot of a slow host after the host has turned
  // fast again.
  static constexpr double kUsableDeadlineShare = 0.45;
  // A request joins a queue whose expected wait is at most this many times the longest wait with
  // which it meets its target: the expected wait is only an estimate.
  static constexpr double kQueueSlack = 1.25;
  static constexpr double kSlowHostThreshold = 2.5;  // Slowdown from which a host counts as slow.
  static constexpr std::chrono::milliseconds kMinRetryAfter{50};
  // Interval at which the queues are processed while any request is queued.
  static constexpr std::chrono::milliseconds kQueuePollInterval{10};
  // Weight of one report in the exponentially weighted mean of a cell's slowdown.
  static constexpr double kMeanSlowdownWeight = 0.02;
  // Length of a cell's queue from which a new request counts as late.
  static constexpr size_t kQueueLimit = 2000;
  // A request waits at most this long for the reports of servers whose hosts' speed is unknown.
  // After that it may take such a server. A probe usually takes half as long.
  static constexpr std::chrono::milliseconds kMaxProbeWait{15};
  static constexpr size_t kProbesPerRequest = 3;  // Servers probed at once for one request.
  // Time for which LimitsOf lists a limit that was withdrawn.
  static constexpr std::chrono::milliseconds kWithdrawnLimitTime{5000};

  explicit Balancer(uint64_t seed);
  ~Balancer();
  Balancer& operator=(const Balancer&) = delete;

  void Apply(const ServerChanges& changes, const CellMap& cells, MonotonicTime now);
  // Puts each server into its cell again, after CellMap::Apply has returned true.
  void Regroup(const CellMap& cells);
  // The servers that are in the list.
  std::vector<BackendServer> Servers() const;
  // Replaces the set of evacuated failure domains, whose servers are assigned no requests. What
  // they reported before they come back is forgotten.
  void SetEvacuated(const EvacuatedDomains& domains, const CellMap& cells);

  // Moves the target of a request that its caller retries back to the target of the first try. To
  // be called once for each attempt, before any other call for it.
  void AdjustTargetForRetry(AssignmentRequest& request);
  Assignment Assign(const AssignmentRequest& request, MonotonicTime now);
  // Decisions on queued requests since the last call.
  std::vector<QueueDecision> TakeQueueDecisions(MonotonicTime now);
  // The attempt has ended, or the assignment was not used.
  void OnAttemptEnded(AssignmentId id, const AttemptResult& result, MonotonicTime now);
  // The request no longer needs a server: it leaves the queue, or its slot becomes free.
  void Withdraw(AssignmentId id);
  // How soon the cell of the request could serve it.
  Availability AvailabilityOf(const AssignmentRequest& request, MonotonicTime now);
  // Free slots of a cell at servers of usual speed, minus queued requests; may be negative.
  int32_t FreeSlots(const CellId& cell, MonotonicTime now);
  // Queued requests of cells none of whose servers accepts requests.
  std::vector<AssignmentId> QueuedWithoutServers() const;

  // Handles a report from the server. Its values are taken to hold at `received_at`, the time at
  // which it arrived.
  void OnReport(const BackendServerId& server, const Report& report, MonotonicTime received_at);
  // The server accepts no new requests in that lifetime. Returns whether this is new.
  bool MarkLeaving(const BackendServerId& server, uint64_t started);
  bool IsLeaving(const BackendServerId& server) const;
  // Whether the server is neither leaving, nor held to be down, nor evacuated.
  bool MayServe(const BackendServerId& server, MonotonicTime now) const;
  const BackendServer* FindServer(const BackendServerId& server) const;  // Null if it is unknown.
  void OnMissedProbe(const BackendServerId& server, MonotonicTime now);
  // Servers that came to be held to be down, or no longer, since the last call.
  std::vector<HealthChange> TakeHealthChanges() { return std::exchange(health_changes_, {}); }
  // Servers to probe at once, because requests queued since the last call wait for their reports.
  std::vector<BackendServerId> TakeServersToProbe() { return std::exchange(servers_to_probe_, {}); }
  // Whether requests may be assigned to servers of the cell that name a limit. Only one of the
  // balancers that know the cell may share out its limits. True unless it is set to false.
  void SetSharesLimits(const CellId& cell, bool shares, MonotonicTime now);
  // Handles what another balancer knows about a server's limit.
  void OnLimitStatement(const LimitStatement& statement);
  // What the servers of the cell have stated about their limits; empty if they have none.
  std::vector<LimitStatement> LimitsOf(const CellId& cell, MonotonicTime now) const;
  // Number of requests assigned to servers that named a limit, and of requests declined while such
  // a server had a free slot but its limit was used up.
  uint64_t AssignedWithinLimits() const { return assigned_within_limits_; }
  uint64_t DeclinedByLimits() const { return declined_by_limits_; }
  // Changes of the limits that servers name, since the last call.
  std::vector<LimitChange> TakeLimitChanges() { return std::exchange(limit_changes_, {}); }
  size_t LimitedServers() const;  // Number of servers that name a limit.
  // Number of changes of limits that this balancer learned from answers and reports.
  uint64_t LimitChangesSeen() const { return limit_changes_seen_; }
  bool SawLimits() const { return saw_limits_; }  // Whether any server has ever named a limit.
  // Assignments whose host was already slow when they started, as reports received since the last
  // call show.
  std::vector<AssignmentId> TakeStartedSlow() { return std::exchange(started_slow_, {}); }

  // When to probe this server again; the last probe was sent at `probed`. A report changes it for
  // its server, and for all servers whenever NextProbeChanges grows.
  MonotonicTime NextProbe(const BackendServerId& server, MonotonicTime probed) const;
  uint64_t NextProbeChanges() const { return next_probe_changes_; }

  // What is known about the servers of the service, ordered by name. `request` is not assigned. As
  // for Assign, it may create the cell and refill buckets of tokens.
  std::vector<ServerExplanation> Describe(const AssignmentRequest& request, MonotonicTime now);
  size_t QueuedIn(const CellId& cell) const;  // Number of queued requests in the cell.

  size_t Waiting() const;  // Number of queued requests in all cells.
  // When to call TakeQueueDecisions next; nullopt while no request is queued.
  std::optional<MonotonicTime> NextWake(MonotonicTime now) const;
  // Interval at which hosts change speed, if it is known.
  std::optional<Duration> HostInterval() const { return host_interval_.Interval(); }

 private:
  friend class Scheduler;  // Copies it, for explanations.
  struct Server;
  struct Cell;
  // The copy refers to the servers and cells of the original until Relink.
  Balancer(const Balancer&);
  void Relink(const Balancer& original);
  std::string StateOf(const Server& server, MonotonicTime now) const;
  struct Request {
    AssignmentRequest spec;
    Cell* cell = nullptr;
    bool queued = false;
    bool probes_requested = false;  // Servers were probed for this request.
    bool late = false;  // The request can't meet its target; it takes slots that others leave.
    Server* server = nullptr;  // Assigned server; null while queued.
    MonotonicTime received_at;
    MonotonicTime assigned_at;
    Assigned assignment;
    bool host_speed_known = false;  // The host's speed was known at the assignment.
  };
  struct Candidate {
    Server* server = nullptr;
    double expected_service_times = 1.0;  // Expected time to the answer, in service times.
    double cost = 1.0;  // Expected time plus penalties for load and failures, in service times.
    uint32_t in_flight = 0;
    bool host_speed_known = false;
  };
  using Candidates = std::vector<Candidate>;
  Cell& FindOrCreateCell(const CellId& id);
  void Put(const BackendServer& config, const CellMap& cells, MonotonicTime now);
  void AddToCell(Server& server, const CellMap& cells);
  static void RemoveFromCell(Server& server);
  Candidate Evaluate(Server& server, MonotonicTime now) const;
  Candidates FreeCandidates(const Cell& cell, MonotonicTime now) const;
  static uint32_t SlotsOf(const Server& server);
  std::optional<size_t> SelectBest(const Candidates& free, const Request& request,
                                   Duration service_time, MonotonicTime now);
  Assigned AssignServer(Candidates& free, size_t i, Request& request, Duration service_time,
                        MonotonicTime now);
  void ProcessQueue(Cell& cell, MonotonicTime now);
  void AssignOrDeclineLate(Cell& cell, Candidates& free, const std::vector<AssignmentId>& late,
                           MonotonicTime now);
  static size_t CountQueuedAhead(const Cell& cell, uint32_t rank);
  size_t CountOnTimeAhead(const Cell& cell, uint32_t rank) const;
  static void RemoveFromQueue(Request& request);
  bool ShouldAwaitReports(const Candidates& free, Request& request, MonotonicTime now);
  bool CanMeetTarget(const Request& request, Duration service_time, MonotonicTime now) const;
  bool MayQueue(Cell& cell, const Request& request, Duration service_time, MonotonicTime now);
  static bool MayAssign(const Cell& cell, Server& server, MonotonicTime now);
  bool HasLimits(const Cell& cell) const;
  bool IsShortOfTokens(const Cell& cell, double effective_slots) const;
  static bool IsHeldBackByLimits(const Cell& cell, MonotonicTime now);
  double EffectiveSlots(Cell& cell, bool fast_only, Duration service_time, MonotonicTime now) const;
  Declined Decline(const Request& request, RefusalCause cause, MonotonicTime now);
  ServiceTimeEstimate& ServiceTimeOf(Cell& cell, const AssignmentRequest& spec, MonotonicTime now);
  void RecordSlowStarts(Server& server);
  void MarkReached(Server& server, MonotonicTime now);
  // Calls `update` with the server's limit and records the change that this makes.
  template <typename Update>
  void UpdateLimit(Server& server, Update update);

  std::mt19937_64 random_;
  HostIntervalEstimate host_interval_;
  std::map<CellId, ClonePtr<Cell>> cells_;
  std::unordered_map<BackendServerId, ClonePtr<Server>> servers_;
  std::unordered_map<AssignmentId, Request> requests_;
  EvacuatedDomains evacuated_;
  std::vector<QueueDecision> decisions_;  // Decisions since the last TakeQueueDecisions.
  std::vector<AssignmentId> started_slow_;
  std::vector<LimitChange> limit_changes_;
  std::vector<HealthChange> health_changes_;
  bool saw_limits_ = false;
  uint64_t limit_changes_seen_ = 0;
  uint64_t assigned_within_limits_ = 0;
  uint64_t declined_by_limits_ = 0;
  std::vector<BackendServerId> servers_to_probe_;
  uint64_t next_probe_changes_ = 0;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_BALANCER_H_
