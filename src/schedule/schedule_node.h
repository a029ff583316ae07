// One entry VM's part in scheduling: its RequestPlanner, its Scheduler, the probes that feed it and
// the messages between both and those of other entry VMs.

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
#include "src/schedule/scheduler.h"
#include "src/settings/settings.h"

namespace cowsliphill {

struct ScheduleListener {
  std::function<void(const Endpoint& to, const std::string& payload)> send;
  // A change worth a log line: a scheduler that does not answer, cells that are ours or no longer.
  std::function<void(const std::string& event, const std::string& detail)> on_event;
};

class ScheduleNode {
 public:
  ScheduleNode(asio::io_context& io, const Clock& clock, const Settings& settings, uint64_t seed,
               ProbeClient::ReadReport read_report, ScheduleListener listener);

  // The policy for a dispatcher; Attach must follow before any request.
  RequestPlanner* Planner() { return &planner_; }
  void Attach(Dispatcher& dispatcher);

  void ApplyCatalog(const Manifest& manifest, const std::vector<BackendServer>& servers);
  // Entry VMs that are alive; this one included unless it leaves.
  void SetMembers(const std::vector<Member>& members);
  // False if it is none of our messages.
  bool OnDatagram(const Endpoint& from, const std::string& payload);
  void OnAnswerReport(const BackendServerId& server, const Report& report);

  void Start();
  void CloseIdle() { probe_client_.CloseIdle(); }
  void Close();

  size_t Waiting() const { return scheduler_.Waiting(); }
  size_t CellsScheduled() const { return scheduler_.CellsScheduled(); }
  uint64_t SilentSchedulers() const { return planner_.SilentSchedulers(); }
  const ProbeCounts& Probes() const { return probe_client_.Counts(); }

 private:
  void Deliver(const Endpoint& from, const ScheduleMessage& message);
  void Flush();
  void Run();
  void SendProbes();
  void Arm();
  void ReportEvents();

  const Clock& clock_;
  Endpoint self_;
  ScheduleListener listener_;
  RequestPlanner planner_;
  Scheduler scheduler_;
  ProbeClient probe_client_;
  std::map<BackendServerId, ProbeTarget> targets_;
  Dispatcher* dispatcher_ = nullptr;
  asio::steady_timer timer_;
  std::optional<MonotonicTime> armed_;  // When timer_ ends.
  bool flushing_ = false;
  size_t cells_ = 0;       // As last told.
  uint64_t silences_ = 0;  // As last told.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SCHEDULE_SCHEDULE_NODE_H_
