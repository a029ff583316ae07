// Assigns requests to backend servers for all entry VMs that ask. One Balancer decides for a cell
// (cell_map.h), so it knows what each of its servers has to do.
// Pure: no I/O; time and randomness are passed in.
//
//   const Assignment given = balancer.Assign(request, now);  // Assigned, Queued or Declined
//   for (const Turn& turn : balancer.TakeTurns(now)) ...      // Queued ones whose turn has come
//   balancer.OnEnded(request.id, result, now);                // Its server has a slot free again
//
// The policy, and the load pattern that each part answers:
//   - the server with the shortest expected time to the answer, near ties at random: hosts that
//     work several times slower for half a second, servers that slow down when nearly full;
//   - at most as many requests at a server as it has slots; the others queue here, in order of rank
//     and target, and go where a slot comes free first: bursts;
//   - what can't be in time any more leaves the slots to those of its rank that can be, and takes
//     what is left over, such as slow hosts: overload;
//   - who was refused and came back counts from when it first asked (return_estimate.h): overload
//     that lasts, and the time after an outage;
//   - what can't be answered before its deadline is refused at once, with the time by which the
//     queue should be shorter.
//
// Costs a look at each server of the cell for each decision: some microseconds at a hundred.

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
#include "src/balance/cell_map.h"
#include "src/balance/host_rhythm.h"
#include "src/balance/return_estimate.h"
#include "src/balance/server_load.h"
#include "src/balance/work_estimate.h"
#include "src/manifest/manifest.h"

namespace cowsliphill {

class Balancer {
 public:
  static constexpr double kTie = 0.05;  // Expected times this near count as equal.
  static constexpr std::chrono::milliseconds kTieFloor{2};
  static constexpr double kColdCost = 2.0;     // Times as long at a server that has just started
                                               // and has not reported yet.
  static constexpr double kCrowdCost = 0.08;   // Of the time, per request there: the emptier of
                                               // two equal servers is safer.
  static constexpr double kRemoteCost = 0.25;  // Of the work: preference for the own failure
                                               // domain.
  static constexpr double kFailureCost = 3.0;  // Works lost by sending to a failing server.
  static constexpr double kHopeful = 1.3;      // Times the work that must be left before the target
                                               // to wait for a slot: work varies.
  static constexpr double kDeadlineMargin = 0.9;  // Share of the time left that may be planned for.
  static constexpr double kQueueSlack = 1.25;     // A queue that seems this many times too long may
                                                  // still be joined: its length is an estimate.
  static constexpr double kTurnedSlow = 2.5;      // Slowdown from which a host counts as slow.
  static constexpr std::chrono::milliseconds kRetryAfterFloor{50};
  static constexpr std::chrono::milliseconds kQueuePoll{10};  // While requests wait.
  static constexpr double kTypicalWeight = 0.02;  // Of one report in the mean over a cell.
  static constexpr size_t kMostWaiting = 2000;    // Requests per cell.
  // A request waits so long for a server whose host is known to be fast, rather than take one that
  // nothing is known of; a probe takes half of it.
  static constexpr std::chrono::milliseconds kProbeWait{15};
  static constexpr size_t kProbesWanted = 3;  // Servers asked at once on behalf of one request.

  explicit Balancer(uint64_t seed);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  // Takes all servers; what is known of servers that stay is kept.
  void Apply(const std::vector<BackendServer>& servers, const CellMap& cells, MonotonicTime now);

  // Moves the target of a request whose caller has come back to where it was at first. Once for
  // each attempt, before anything else is asked about it.
  void NoteReturn(AssignmentRequest& request);
  Assignment Assign(const AssignmentRequest& request, MonotonicTime now);
  // Queued requests that were assigned or refused since the last call.
  std::vector<Turn> TakeTurns(MonotonicTime now);
  // The attempt is over, or the assignment was not used.
  void OnEnded(AssignmentId id, const AttemptResult& result, MonotonicTime now);
  // The request no longer wants a server: leaves the queue or frees its slot.
  void Withdraw(AssignmentId id);
  // How soon a request of this kind would be served here.
  Outlook OutlookOf(const AssignmentRequest& request, MonotonicTime now);
  // Slots of a cell that are free at servers of usual speed, less requests that wait for one.
  int32_t FreeSlots(const CellId& cell, MonotonicTime now);

  // A report that was true at `sampled`.
  void OnReport(const BackendServerId& server, const Report& report, MonotonicTime sampled);
  void OnMissedProbe(const BackendServerId& server);
  // Servers whose reports a queued request waits for, since the last call.
  std::vector<BackendServerId> TakeWanted() { return std::exchange(wanted_, {}); }
  // Assignments that a report shows to have started on a slow host since the last call.
  std::vector<AssignmentId> TakeStartedSlow() { return std::exchange(started_slow_, {}); }

  // When this server should be asked for a report again, having been asked at `asked`.
  MonotonicTime NextProbe(const BackendServerId& server, MonotonicTime asked) const;

  size_t Waiting() const;
  std::optional<MonotonicTime> NextWake(MonotonicTime now) const;
  // The interval between steps of the hosts' speed, if there is one.
  std::optional<Duration> HostInterval() const { return rhythm_.Interval(); }

 private:
  struct Server;
  struct Cell;
  struct Request {
    AssignmentRequest asked;
    Cell* cell = nullptr;
    bool waiting = false;
    bool wants = false;        // It has asked for reports.
    bool late = false;         // Can't be in time any more; takes what others leave.
    Server* server = nullptr;  // Assigned; null while it waits.
    MonotonicTime came;
    MonotonicTime assigned;
    Assigned given;
    bool usual_start = false;  // The speed of its host was known.
  };
  struct Candidate {
    Server* server = nullptr;
    double pace = 1.0;  // Times as long as the work.
    double cost = 1.0;  // The same with what speaks against the server, whoever asks.
    uint32_t in_flight = 0;
    bool certain = false;
  };
  using Candidates = std::vector<Candidate>;
  Cell& CellOf(const CellId& id);
  Candidate Judge(Server& server, MonotonicTime now) const;
  Candidates Free(const Cell& cell, MonotonicTime now) const;
  static uint32_t SlotsOf(const Server& server);
  std::optional<size_t> Best(const Candidates& free, const Request& request, Duration work,
                             MonotonicTime now);
  Assigned Give(Candidates& free, size_t i, Request& request, Duration work, MonotonicTime now);
  void Serve(Cell& cell, MonotonicTime now);
  void ServeLate(Cell& cell, Candidates& free, const std::vector<AssignmentId>& late,
                 MonotonicTime now);
  static size_t Ahead(const Cell& cell, uint32_t rank);
  static void LeaveQueue(Request& request);
  bool WantReports(const Candidates& free, Request& request, MonotonicTime now);
  bool IsHopeful(const Request& request, Duration work, MonotonicTime now) const;
  bool MayWait(Cell& cell, const Request& request, Duration work, MonotonicTime now);
  double Throughput(Cell& cell, bool fast_only, MonotonicTime now) const;
  Declined Decline(const Request& request, RefusalCause cause, MonotonicTime now);
  WorkEstimate& WorkOf(Cell& cell, const AssignmentRequest& asked, MonotonicTime now);
  void NoteSlowStarts(Server& server);

  std::mt19937_64 random_;
  HostRhythm rhythm_;
  std::map<CellId, std::unique_ptr<Cell>> cells_;
  std::unordered_map<BackendServerId, std::unique_ptr<Server>> servers_;
  std::unordered_map<AssignmentId, Request> requests_;
  std::vector<Turn> turns_;  // Since TakeTurns.
  std::vector<AssignmentId> started_slow_;
  std::vector<BackendServerId> wanted_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_BALANCER_H_
