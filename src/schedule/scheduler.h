// Decides for other entry VMs which backend server takes each attempt, for the cells that are this
// entry VM's to schedule (scheduler_order.h) and for any other that it is asked about. It keeps the
// one queue of a cell and the exact count of the requests at its servers, and asks the servers for
// their load. What it knows is lost with the process; another one starts from the servers' reports.
//
// A cell without room sends asks on to a cell of the same service that has some. Pure: messages go
// in and come out; time is passed in.

#ifndef COWSLIPHILL_SCHEDULE_SCHEDULER_H_
#define COWSLIPHILL_SCHEDULE_SCHEDULER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/balance/balancer.h"
#include "src/members/peer.h"
#include "src/schedule/schedule_message.h"
#include "src/schedule/scheduler_order.h"

namespace cowsliphill {

struct Outgoing {
  Endpoint to;
  ScheduleMessage message;
};

class Scheduler {
 public:
  // A cell is in use for so long after an ask; its servers are then probed as often as needed.
  static constexpr std::chrono::milliseconds kInUse{3000};
  // Between probes of a server of a cell of ours that is not in use.
  static constexpr std::chrono::milliseconds kIdleProbes{500};
  // The same for a cell that is another's to schedule, once it was asked about here so often while
  // in use: that one is silent, and not only for a moment.
  static constexpr std::chrono::milliseconds kForeignProbes{250};
  static constexpr uint32_t kForeignAsks = 8;
  // Until members have found each other after a start: nothing is ours before. Longer while nobody
  // else is known: a hundred that each took all cells for theirs would flood the servers.
  static constexpr std::chrono::milliseconds kSettle{120};
  static constexpr std::chrono::milliseconds kSettleAlone{2000};
  static constexpr std::chrono::milliseconds kNewsInterval{100};  // To the other cells.
  static constexpr std::chrono::milliseconds kNewsLifetime{400};  // Of what they said.
  // An assignment whose end was not heard is forgotten so long after its deadline.
  static constexpr std::chrono::milliseconds kEndGrace{1000};
  static constexpr std::chrono::milliseconds kOpenProbe{1000};  // Longest time for a probe.
  // Probes due this near to each other are sent together: each wake costs as much as a probe.
  static constexpr std::chrono::milliseconds kProbeBatch{4};

  Scheduler(Endpoint self, uint64_t seed, MonotonicTime now);

  void ApplyServers(const std::vector<BackendServer>& servers, MonotonicTime now);
  // Entry VMs that are alive, this one included.
  void SetMembers(const std::vector<Member>& members, MonotonicTime now);

  // Of ask, end or news; `from` is the sender's peer address.
  void OnAsk(const Endpoint& from, const ScheduleAsk& ask, MonotonicTime now);
  void OnEnd(const Endpoint& from, const ScheduleEnd& end, MonotonicTime now);
  void OnCellNews(const CellNews& news, MonotonicTime now);

  // Whether requests wait for reports that no probe is under way for.
  bool WantsProbes() const { return !wanted_.empty(); }
  // Servers to ask for a report now; each counts as being asked until OnProbed.
  std::vector<BackendServerId> TakeProbes(MonotonicTime now);
  void OnProbed(const BackendServerId& server, const std::optional<Report>& report,
                MonotonicTime now);

  // Serves the queues and sends what is due.
  void Tick(MonotonicTime now);
  // When Tick and TakeProbes have something to do, if nothing else happens before.
  std::optional<MonotonicTime> NextWake(MonotonicTime now) const;
  std::vector<Outgoing> TakeOutbox() { return std::exchange(outbox_, {}); }

  size_t Waiting() const { return balancer_.Waiting(); }
  size_t CellsScheduled() const;

 private:
  struct Probe {
    MonotonicTime asked{};  // The last time.
    bool open = false;      // Asked, without an end yet.

    void Ask(MonotonicTime now) {
      asked = now;
      open = true;
    }
    // One without an end for so long was lost by its client.
    bool UnderWay(MonotonicTime now) const { return open && now - asked <= kOpenProbe; }
  };
  struct Cell {
    bool ours = false;  // To schedule, as long as we live.
    std::optional<MonotonicTime> last_ask;
    uint32_t asks = 0;                        // Since it came into use.
    std::map<BackendServerId, Probe> probes;  // Of its servers.
  };
  // One ask that is queued or assigned.
  struct Open {
    Endpoint asker;
    AskId ask = 0;
    MonotonicTime deadline;
    std::optional<ScheduleReply> assigned;
  };
  struct Elsewhere {
    int32_t free_slots = 0;
    MonotonicTime heard{};
  };
  using AskKey = std::pair<Endpoint, AskId>;

  static bool InUse(const Cell& cell, MonotonicTime now);
  // When the server is to be probed; nullopt: it is not ours to ask, or is being asked.
  std::optional<MonotonicTime> ProbeDue(const Cell& cell, const BackendServerId& server,
                                        const Probe& probe, MonotonicTime now) const;
  AssignmentRequest RequestOf(const ScheduleAsk& ask, const ServiceId& service,
                              MonotonicTime now) const;
  std::optional<CellId> CellWithRoom(const CellId& home, MonotonicTime now);
  void Forward(const CellId& to, const Endpoint& asker, ScheduleAsk ask);
  void Reply(AssignmentId id, const Assignment& decided);
  void Reply(const Endpoint& to, const ScheduleReply& reply) { outbox_.push_back({to, reply}); }
  void SendTurns(MonotonicTime now);
  void NoteWanted(MonotonicTime now);
  void SendNews(MonotonicTime now);
  void ForgetOverdue(MonotonicTime now);
  void Forget(AssignmentId id);
  void Replan(MonotonicTime now);
  MonotonicTime SettledAt() const { return started_ + (alone_ ? kSettleAlone : kSettle); }

  Endpoint self_;
  MonotonicTime started_;
  Balancer balancer_;
  SchedulerOrder order_;
  CellMap cell_map_;
  std::map<CellId, Cell> cells_;
  std::unordered_map<NameTag, ServiceId> services_;
  std::unordered_map<NameTag, FailureDomainId> failure_domains_;
  std::unordered_map<NameTag, BackendServerId> servers_;
  std::unordered_map<BackendServerId, Cell*> cell_of_;
  std::map<AskKey, AssignmentId> by_ask_;
  std::unordered_map<AssignmentId, Open> open_;
  std::map<CellId, Elsewhere> elsewhere_;
  AssignmentId next_id_ = 1;
  std::vector<BackendServerId> wanted_;  // Reports that requests wait for.
  MonotonicTime next_news_{};
  MonotonicTime next_forget_{};
  bool settled_ = false;
  bool alone_ = true;  // No other entry VM is known.
  std::vector<Outgoing> outbox_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SCHEDULE_SCHEDULER_H_
