// Assigns a backend server to each attempt, on behalf of other entry VMs and of this one. It
// schedules the cells that this entry VM is the primary of (scheduler_order.h), and any other cell
// that it gets an assignment request for. It keeps the only queue of a cell and the exact count of
// the requests at its servers, and probes the servers for their load. Its state is lost with the
// process; the scheduler that takes over starts from the servers' reports.
//
// A cell without free slots forwards assignment requests to a cell of the same service that has
// some. Pure: no I/O; messages and time are passed in.

#ifndef COWSLIPHILL_SCHEDULE_SCHEDULER_H_
#define COWSLIPHILL_SCHEDULE_SCHEDULER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/balance/balancer.h"
#include "src/members/peer.h"
#include "src/schedule/explanation.h"
#include "src/schedule/pause_list.h"
#include "src/schedule/probe_queue.h"
#include "src/schedule/schedule_message.h"
#include "src/schedule/scheduler_order.h"

namespace cowsliphill {

struct Outgoing {
  Endpoint to;
  ScheduleMessage message;
};

// This scheduler holds a server to be down, or no longer.
struct ServerHealthReport {
  HealthChange change;
  Endpoint reported_by;  // Entry VM that saw it; that of the scheduler if its probes did.
};

class Scheduler {
 public:
  // A cell counts as in use for this long after an assignment request. The servers of a cell in use
  // are probed as often as Balancer needs.
  static constexpr std::chrono::milliseconds kCellInUseTime{3000};
  // Interval between probes of a server, in a cell that this entry VM is the primary of and that is
  // not in use.
  static constexpr std::chrono::milliseconds kIdleProbeInterval{500};
  // Interval between probes of a server in a cell that another entry VM is the primary of. Such a
  // cell is probed only after kBackupProbeMinRequests assignment requests while it is in use: so
  // many requests reach this entry VM only if the primary stays unresponsive.
  static constexpr std::chrono::milliseconds kBackupProbeInterval{250};
  static constexpr uint32_t kBackupProbeMinRequests = 8;
  // Time after a start in which the members discover each other; until then this entry VM is the
  // primary of no cell. It is longer while no other entry VM is known: a hundred entry VMs that
  // each consider themselves the primary of all cells would flood the servers with probes.
  static constexpr std::chrono::milliseconds kSettleTime{120};
  static constexpr std::chrono::milliseconds kSettleTimeAlone{2000};
  // Interval between updates to the schedulers of other cells, which ignore an update after
  // kMaxCellUpdateAge.
  static constexpr std::chrono::milliseconds kCellUpdateInterval{100};
  static constexpr std::chrono::milliseconds kMaxCellUpdateAge{400};
  // Interval between LimitUpdates of a scheduler that shares out the limits of a cell. Every
  // kLimitUpdatesPerBroadcast-th goes to all entry VMs, the others to the cell's schedulers.
  static constexpr std::chrono::milliseconds kLimitUpdateInterval{100};
  static constexpr uint32_t kLimitUpdatesPerBroadcast = 10;
  // A backup takes over the sharing of limits when it has received no LimitUpdate of a scheduler
  // before it for this time, times its position in the order.
  static constexpr std::chrono::milliseconds kLimitTakeoverTime{400};
  // An open request whose end message does not arrive is erased this long after its deadline.
  static constexpr std::chrono::milliseconds kLostEndGrace{1000};
  // A pending probe counts as lost after this time.
  static constexpr std::chrono::milliseconds kMaxProbeTime{1000};
  // Shortest time from now to NextWake, so that probes due within it are sent together: a wake-up
  // costs as much as a probe.
  static constexpr std::chrono::milliseconds kMinWakeDelay{4};

  Scheduler(Endpoint self, uint64_t seed, MonotonicTime now);

  void ApplyServers(const ServerChanges& changes, MonotonicTime now);
  // Takes over what the manifest says about services and workspaces.
  void ApplyManifest(const Manifest& manifest, MonotonicTime now);
  // What OnScheduleRequest would do now. Changes nothing.
  ScheduleExplanation Explain(const Endpoint& from, const ScheduleRequest& message,
                              MonotonicTime now) const;
  // Replaces the set of evacuated failure domains. Their servers are neither probed nor assigned
  // requests, and requests that wait for them are passed on to other cells.
  void SetEvacuated(const EvacuatedDomains& domains, MonotonicTime now);
  // Replaces the list of live entry VMs, which includes this one unless it is leaving. If it lists
  // this one with lost links, requests are passed on to the scheduler that takes over.
  void SetMembers(const std::vector<Member>& members, MonotonicTime now);

  // Handle messages of other entry VMs and of this one; `from` is the sender's peer address.
  void OnScheduleRequest(const Endpoint& from, const ScheduleRequest& message, MonotonicTime now);
  void OnEnd(const Endpoint& from, const ScheduleEnd& end, MonotonicTime now);
  void OnCellUpdate(const CellUpdate& update, MonotonicTime now);
  void OnLimitUpdate(const Endpoint& from, const LimitUpdate& update, MonotonicTime now);
  void OnNotice(const ServerNotice& notice, MonotonicTime now);

  // Whether queued requests wait for reports of servers that TakeServersToProbe has not returned
  // yet.
  bool HasServersToProbe() const { return !servers_to_probe_.empty(); }
  // Servers to probe now: those that queued requests wait for, and those whose regular probe is
  // due. The probe of each is pending until OnProbed.
  std::vector<BackendServerId> TakeServersToProbe(MonotonicTime now);
  void OnProbed(const BackendServerId& server, const std::optional<Report>& report,
                MonotonicTime now);

  // Assigns queued requests, erases expired ones and sends cell updates that are due.
  void Tick(MonotonicTime now);
  // The time of the next call of Tick and TakeServersToProbe, unless a message or a report comes
  // before.
  std::optional<MonotonicTime> NextWake(MonotonicTime now) const;
  std::vector<Outgoing> TakeOutbox() { return std::exchange(outbox_, {}); }

  std::vector<LimitChange> TakeLimitChanges() { return balancer_.TakeLimitChanges(); }
  std::vector<ServerHealthReport> TakeHealthReports() { return std::exchange(health_reports_, {}); }
  size_t LimitedServers() const { return balancer_.LimitedServers(); }
  uint64_t AssignedWithinLimits() const { return balancer_.AssignedWithinLimits(); }
  uint64_t DeclinedByLimits() const { return balancer_.DeclinedByLimits(); }
  // Number of cells with limits that this scheduler shares out.
  size_t CellsWithSharedLimits() const;
  size_t Waiting() const { return balancer_.Waiting(); }
  bool HasRequests() const { return !requests_.empty(); }  // Queued or assigned ones.
  size_t CellsScheduled() const;
  // How many servers were looked at since the start to find out whether a probe is due.
  uint64_t ProbeChecks() const { return probe_checks_; }

 private:
  // For Copy(): pointers still refer to the original.
  Scheduler(const Scheduler&) = default;
  std::unique_ptr<Scheduler> Copy() const;
  struct Probe {
    MonotonicTime sent_at{};  // Time at which the last probe was sent.
    bool pending = false;     // The last probe has no result yet.

    void MarkSent(MonotonicTime now) {
      sent_at = now;
      pending = true;
    }
    // A probe without a result after kMaxProbeTime was lost by its client.
    bool IsPending(MonotonicTime now) const { return pending && now - sent_at <= kMaxProbeTime; }
  };
  enum class ProbeMode {
    kNone,    // This entry VM does not probe the cell.
    kIdle,    // At kIdleProbeInterval.
    kBackup,  // At kBackupProbeInterval.
    kInUse,   // As often as Balancer needs.
  };
  struct Cell {
    // This entry VM is the first of the cell's schedulers, and its settle time is over.
    bool is_primary = false;
    std::optional<MonotonicTime> last_request;
    uint32_t requests = 0;  // Assignment requests since the cell came into use.
    // The cell's schedulers when UpdateLimits last ran.
    std::vector<Endpoint> schedulers;
    bool has_limits = false;     // A server of the cell names a limit, or has just withdrawn it.
    bool shares_limits = false;  // This scheduler shares out the limits; they are as below.
    // Time of the last LimitUpdate from a scheduler before this one that shares out the limits, or
    // from which such updates are expected.
    MonotonicTime limits_shared_at{};
    MonotonicTime next_limit_update{};
    uint32_t limit_updates = 0;  // Number of LimitUpdates sent.
    // Probes of the servers that are neither leaving nor evacuated.
    std::map<BackendServerId, Probe> probes;
    ProbeMode probe_mode = ProbeMode::kNone;  // As of the last UpdateProbeMode.
    ProbeQueue probe_queue;                   // When the servers in `probes` are due.
  };
  // What is needed to pass on a queued request to another cell.
  struct QueuedMessage {
    ScheduleRequest message;
    CellId cell;
    MonotonicTime received_at;
  };
  // An assignment request that is queued or assigned.
  struct OpenRequest {
    Endpoint entry_vm;
    ScheduleRequestId id = 0;
    MonotonicTime deadline;
    std::optional<ScheduleReply> assigned;  // The kAssigned reply; unset while queued.
    std::optional<QueuedMessage> queued;    // Set while queued.
  };
  // Free slots that another cell last reported, less the requests forwarded to it since.
  struct RemoteCell {
    int32_t free_slots = 0;
    MonotonicTime received_at{};
  };
  using RequestKey = std::pair<Endpoint, ScheduleRequestId>;

  static bool InUse(const Cell& cell, MonotonicTime now);
  ProbeMode ProbeModeOf(const Cell& cell, MonotonicTime now) const;
  // Sets the cell's mode, and when its servers are due if that changes them.
  void UpdateProbeMode(Cell& cell, MonotonicTime now);
  void ScheduleProbe(Cell& cell, const BackendServerId& server, MonotonicTime now);
  // To be called after what may have changed when the server's next probe is due.
  void OnServerChanged(const BackendServerId& server, MonotonicTime now);
  void ScheduleAllProbes(Cell& cell, MonotonicTime now);
  // When the server is to be probed; nullopt if this entry VM does not probe the cell.
  std::optional<MonotonicTime> ProbeDue(const Cell& cell, const BackendServerId& server,
                                        const Probe& probe, MonotonicTime now);
  AssignmentRequest ToAssignmentRequest(const Endpoint& entry_vm, const ScheduleRequest& message,
                                        const ServiceId& service, MonotonicTime now) const;
  std::optional<MonotonicTime> AllPauseUntil(const Cell& cell, const Endpoint& entry_vm,
                                             MonotonicTime now) const;
  std::optional<CellId> OtherCell(const CellId& home, const Endpoint& entry_vm,
                                  MonotonicTime now) const;
  std::optional<CellId> CellWithFreeSlots(const CellId& home, MonotonicTime now);
  void Forward(const CellId& to, const Endpoint& entry_vm, ScheduleRequest message);
  void RecordHealthChanges(const Endpoint& reported_by);
  void SendToAll(const ServerNotice& notice);
  void Reply(AssignmentId id, const Assignment& decision);
  void Reply(const Endpoint& to, const ScheduleReply& reply) { outbox_.push_back({to, reply}); }
  void SendDecisions(MonotonicTime now);
  void QueueServersToProbe(MonotonicTime now);
  void SendCellUpdates(MonotonicTime now);
  void UpdateLimits(MonotonicTime now);
  bool SharesLimits(const Cell& cell, MonotonicTime now) const;
  std::optional<MonotonicTime> LimitTakeover(const Cell& cell) const;
  void SendLimitUpdate(const CellId& id, const Cell& cell,
                       const std::vector<LimitStatement>& limits, bool to_all, MonotonicTime now);
  void EraseExpired(MonotonicTime now);
  void EraseRequest(AssignmentId id);
  void AddServer(const BackendServer& server, MonotonicTime now);
  void RemoveServer(const BackendServerId& server);
  void UpdatePrimaries(MonotonicTime now);
  bool IsEvacuated(const CellId& cell) const { return evacuated_.count(cell.failure_domain) > 0; }
  void MoveQueued(MonotonicTime now);
  MonotonicTime SettledAt() const { return started_ + (alone_ ? kSettleTimeAlone : kSettleTime); }

  Endpoint self_;
  MonotonicTime started_;
  Balancer balancer_;
  SchedulerOrder order_;
  CellMap cell_map_;
  EvacuatedDomains evacuated_;
  std::map<CellId, Cell> cells_;
  std::unordered_map<NameHash, ServiceId> services_;
  std::unordered_map<NameHash, FailureDomainId> failure_domains_;
  std::unordered_map<NameHash, BackendServerId> servers_;
  std::unordered_map<NameHash, TenantId> workspaces_;  // Those of the manifest.
  std::unordered_map<BackendServerId, Cell*> cells_by_server_;
  std::map<RequestKey, AssignmentId> assignment_ids_;
  std::unordered_map<AssignmentId, OpenRequest> requests_;
  std::map<CellId, RemoteCell> remote_cells_;
  // Pauses that servers have asked live entry VMs for, by the entry VM's peer address. If one is
  // forgotten too soon, the entry VM gives the assignment back and tells of the pause again.
  PauseList<std::pair<Endpoint, BackendServerId>> pauses_;
  std::map<Endpoint, EntryVmId> ids_by_peer_;  // Live entry VMs. A restarted one has another id.
  std::vector<Endpoint> entry_vms_;            // Peer addresses of the live entry VMs.
  uint64_t limit_changes_sent_ = 0;  // Balancer::LimitChangesSeen() at the last LimitUpdate.
  AssignmentId next_id_ = 1;
  std::vector<BackendServerId> servers_to_probe_;  // Queued requests wait for their reports.
  MonotonicTime next_cell_update_{};
  MonotonicTime next_expiry_{};
  bool settled_ = false;             // The settle time after the start has passed.
  bool alone_ = true;                // No other entry VM is known.
  bool links_lost_ = false;          // This entry VM has lost its links to the servers.
  uint64_t next_probe_changes_ = 0;  // Balancer::NextProbeChanges() at the last ScheduleAllProbes.
  uint64_t probe_checks_ = 0;
  std::vector<ServerHealthReport> health_reports_;
  std::vector<Outgoing> outbox_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SCHEDULE_SCHEDULER_H_
