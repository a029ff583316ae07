// Datagrams between entry VMs and schedulers. Each message is independent and may be lost: an
// assignment request without a reply is sent again or sent to another scheduler, and after a lost
// ScheduleEnd the server's next report corrects the count of its requests.

#ifndef COWSLIPHILL_SCHEDULE_SCHEDULE_MESSAGE_H_
#define COWSLIPHILL_SCHEDULE_SCHEDULE_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/balance/assignment.h"
#include "src/base/ids.h"
#include "src/measure/report.h"
#include "src/workspace/usage_message.h"

namespace cowsliphill {

// Hash that replaces a name in datagrams. A scheduler mixes up two names with the same hash (one
// pair in billions), so the entry VM checks each assignment against its own list of servers.
using NameHash = uint32_t;
NameHash HashName(const std::string& name);

// Unique within the entry VM that sends the request, for as long as an attempt lasts.
using ScheduleRequestId = uint32_t;

// Entry VM to scheduler: requests the assignment of a server to an attempt.
struct ScheduleRequest {
  ScheduleRequestId id = 0;
  NameHash service = 0;
  NameHash failure_domain = 0;  // That of the entry VM; if forwarded, that of the target cell.
  uint32_t rank = 0;
  bool bulk = false;
  bool hedge = false;
  std::chrono::milliseconds target_latency{0};  // Target latency for requests of this kind.
  std::chrono::milliseconds target_left{0};     // Time until the answer counts as late.
  std::chrono::milliseconds deadline_left{0};
  std::chrono::milliseconds caller_left{0};  // Time until the caller stops waiting; 0: unknown.
  std::vector<NameHash> tried;               // Servers not to be assigned again; at most kMaxTried.
  std::optional<Endpoint> forwarded_for;  // The requesting entry VM, if a scheduler forwarded this.
  NameHash workspace = 0;                 // Workspace of the request; 0: none.
  // An earlier assignment request of the same request has taken a token of the workspace's limit.
  bool charged = false;
};
inline constexpr size_t kMaxTried = 16;

// Scheduler to entry VM: the answer to an assignment request.
struct ScheduleReply {
  enum class Kind : uint8_t { kAssigned = 1, kQueued = 2, kRefused = 3 };
  ScheduleRequestId id = 0;
  Kind kind = Kind::kQueued;
  // Set if kind is kAssigned:
  NameHash server = 0;
  std::chrono::milliseconds expected{0};      // Expected latency of the answer.
  std::chrono::milliseconds service_time{0};  // Expected latency at a server of usual speed.
  // Age of the server's newest report; also 0 if it has sent none.
  std::chrono::milliseconds report_age{0};
  uint32_t in_flight = 0;       // Requests at the server before this one.
  double slowdown = 1.0;        // Slowdown of the server's host; 1 is usual speed.
  uint32_t usable_servers = 0;  // Number of servers that had a free slot.
  // Set if kind is kRefused:
  RefusalCause cause = RefusalCause::kOverload;
  std::chrono::milliseconds retry_after{0};
};

// Entry VM to the scheduler of an attempt: the attempt has ended, or it is no longer wanted or the
// assigned server is not used.
struct ScheduleEnd {
  ScheduleRequestId id = 0;
  AttemptEnd end = AttemptEnd::kCancelled;
  std::chrono::microseconds latency{0};  // Time to the answer's first byte, or to the failure.
  // Newest report of the server that was not passed on yet. With kNotStarted it may be made by the
  // entry VM, to say only whether it knows the server to be draining.
  std::optional<Report> report;
  // Limit that the server named in its answer, in requests per second; see AttemptResult::limit.
  std::optional<double> limit = {};
};

// Scheduler to entry VM: the server's host was already slow when the attempt started there.
struct SlowHost {
  ScheduleRequestId id = 0;
};

// Scheduler of one cell to the schedulers of the other cells of the same service.
struct CellUpdate {
  NameHash service = 0;
  NameHash failure_domain = 0;
  uint32_t free_slots = 0;  // Free slots at servers of usual speed, minus queued requests.
};

// What the sender knows about the limits that the servers of one cell name. A scheduler that shares
// them out sends it to the cell's other schedulers all the time, and now and then to all entry VMs,
// so that whichever takes over knows them.
struct LimitUpdate {
  struct Limit {
    NameHash server = 0;
    std::optional<double> per_second;  // nullopt: the server has withdrawn its limit.
    std::chrono::milliseconds age{0};  // Time since the server stated this.
  };
  NameHash service = 0;
  NameHash failure_domain = 0;
  bool shares = false;  // The sender shares out the limits of the cell.
  std::vector<Limit> limits;
};
inline constexpr size_t kMaxLimits = 1000;  // In one LimitUpdate or WarmupUpdate.

// What the sender knows about the servers of one cell that are in warm-up, and limited by it. The
// scheduler that shares out the cell's limits sends it like LimitUpdate. The cell's other
// schedulers reply with an empty one: a scheduler that hears from none of them may be cut off.
struct WarmupUpdate {
  struct Server {
    NameHash server = 0;
    std::chrono::milliseconds left{0};  // Remaining time of the warm-up.
    // Time since the server stated this in a response to a probe; nullopt: see
    // WarmupStatement::stated_at.
    std::optional<std::chrono::milliseconds> age;
  };
  NameHash service = 0;
  NameHash failure_domain = 0;
  bool shares = false;  // The sender shares out the limits of the cell.
  bool reply = false;   // The only purpose is to show that the sender is reached.
  std::vector<Server> servers;
};

// What a backend server has stated in a response to the sender, or to an entry VM that told it. The
// entry VM that got the response sends it to the schedulers of the server's cell, and to the entry
// VM that the response came through; a scheduler to which it is new sends it to all.
struct ServerNotice {
  NameHash server = 0;
  uint64_t started = 0;  // Lifetime of the server that this is about.
  bool leaving = false;  // The server gets no new requests in that lifetime.
  // The server wants no more requests for this time, from the entry VM `of`, which has sent it the
  // request.
  std::chrono::milliseconds pause{0};
  Endpoint of = {};  // Peer address; port 0 if `pause` is 0.
};

using ScheduleMessage =
    std::variant<ScheduleRequest, ScheduleReply, ScheduleEnd, SlowHost, CellUpdate, LimitUpdate,
                 ServerNotice, UsageReport, UsageAnswer, WarmupUpdate>;

// Whether the first byte, which no other kind of datagram starts with, is that of a schedule
// message.
bool IsScheduleMessage(const std::string& bytes);
std::string EncodeScheduleMessage(const ScheduleMessage& message);
// Returns nullopt if the message is malformed.
std::optional<ScheduleMessage> DecodeScheduleMessage(const std::string& bytes);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SCHEDULE_SCHEDULE_MESSAGE_H_
