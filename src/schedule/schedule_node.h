// The scheduling of one entry VM: connects its RequestPlanner and its Scheduler with each other,
// with those of other entry VMs by datagrams, and with the backend servers by probes.

#ifndef COWSLIPHILL_SCHEDULE_SCHEDULE_NODE_H_
#define COWSLIPHILL_SCHEDULE_SCHEDULE_NODE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/forward/dispatcher.h"
#include "src/forward/probe_client.h"
#include "src/schedule/request_planner.h"
#include "src/schedule/schedule_explain.h"
#include "src/schedule/scheduler.h"
#include "src/settings/settings.h"

namespace cowsliphill {

struct ScheduleListener {
  std::function<void(const Endpoint& to, const std::string& payload)> send;
  // Called for each change to be logged: an unresponsive scheduler, or a change of the number of
  // cells that this entry VM schedules.
  std::function<void(const std::string& event, const std::string& detail)> on_event;
  // Called for each change of the limit that a backend server names.
  std::function<void(const LimitChange&)> on_limit;
  // Called when this entry VM comes to know from a response, to itself or to another entry VM, that
  // a server is leaving.
  std::function<void(const BackendServerId&)> on_leaving;
  // Called when a server that was not pausing has asked this entry VM for a pause.
  std::function<void(const PauseBegin&)> on_pause;
  // Called when this entry VM's scheduler begins or ceases to hold a server to be down.
  std::function<void(const ServerHealthReport&)> on_health;
  // Called for each step of an evacuation, and for a name that is not a known failure domain.
  std::function<void(const EvacuationEvent&)> on_evacuation;
};

class ScheduleNode {
 public:
  ScheduleNode(asio::io_context& io, const Clock& clock, const Settings& settings, uint64_t seed,
               LinkHooks links, ProbeClient::ReadReport read_report, ScheduleListener listener);

  // The policy for a Dispatcher. The Dispatcher must be passed to Attach before any request.
  RequestPlanner* Planner() { return &planner_; }
  void Attach(Dispatcher& dispatcher);

  void ApplyManifest(const Manifest& manifest);
  void ApplyServers(const ServerChanges& changes);
  // Replaces the set of evacuated failure domains.
  void ApplyEvacuated(const EvacuatedDomains& domains);
  // Replaces the list of live entry VMs, which includes this one unless it is leaving.
  void SetMembers(const std::vector<Member>& members);
  // Returns false if the datagram is not a valid message of schedule_message.h.
  bool OnDatagram(const Endpoint& from, const std::string& payload);
  void OnAnswerReport(const BackendServerId& server, const Report& report);
  // A backend server has stated this in a response to this entry VM.
  void OnStatement(const ServerStatement& statement);

  void Start();
  void CloseIdle() { probe_client_.CloseIdle(); }
  void Close();

  size_t Waiting() const { return scheduler_.Waiting(); }
  size_t LimitedServers() const { return scheduler_.LimitedServers(); }
  uint64_t AssignedWithinLimits() const { return scheduler_.AssignedWithinLimits(); }
  uint64_t DeclinedByLimits() const { return scheduler_.DeclinedByLimits(); }
  uint64_t PausesBegun() const { return planner_.PausesBegun(); }
  size_t PausingServers() const { return planner_.PausingServers(clock_.Now()); }
  uint64_t LeavingByAnswer() const { return planner_.LeavingByAnswer(); }
  size_t CellsScheduled() const { return scheduler_.CellsScheduled(); }
  uint64_t SchedulerTimeouts() const { return planner_.SchedulerTimeouts(); }
  std::vector<EvacuationState> Evacuations() const { return planner_.Evacuations(clock_.Now()); }
  // Where the request would be sent now, and why. Changes nothing. The request's ticket is ignored.
  Explanation Explain(const ChoiceRequest& request) const;
  // What this entry VM's scheduler would decide for another entry VM, at the peer address
  // `entry_vm`, in that failure domain. Changes nothing.
  ScheduleExplanation ExplainFor(const Endpoint& entry_vm, const FailureDomainId& failure_domain,
                                 const ChoiceRequest& request) const;
  // Where to probe a server; nullopt if it is unknown or evacuated.
  std::optional<ProbeTarget> ProbeTargetOf(const BackendServerId& server) const;
  const ProbeCounts& Probes() const { return probe_client_.Counts(); }

 private:
  void Deliver(const Endpoint& from, const ScheduleMessage& message);
  void Flush();
  void Run();
  void SendProbes();
  void ArmTimer();
  void ReportEvents();

  const Clock& clock_;
  Endpoint self_;
  ScheduleListener listener_;
  RequestPlanner planner_;
  Scheduler scheduler_;
  ProbeClient probe_client_;
  std::map<ServiceId, std::string> probe_paths_;
  Dispatcher* dispatcher_ = nullptr;
  asio::steady_timer timer_;
  std::optional<MonotonicTime> timer_deadline_;  // When timer_ expires.
  bool flushing_ = false;
  size_t reported_cells_ = 0;        // CellsScheduled() when on_event last reported it.
  size_t reported_limit_cells_ = 0;  // CellsWithSharedLimits() at the last report.
  uint64_t reported_timeouts_ = 0;   // SchedulerTimeouts() when on_event last reported it.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SCHEDULE_SCHEDULE_NODE_H_
