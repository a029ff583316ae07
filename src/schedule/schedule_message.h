// What entry VMs and schedulers tell each other in datagrams. Each message stands alone and may be
// lost: an ask without a reply is repeated or asked of another scheduler, and an end that is lost
// is made up for by the server's next report.

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

namespace cowsliphill {

// Stands for a name in datagrams. Two names with one tag (one pair in billions) would be mixed up
// by a scheduler; the entry VM checks what it is told against its own list of servers.
using NameTag = uint32_t;
NameTag TagOf(const std::string& name);

using AskId = uint32_t;  // Unique at the asking entry VM for as long as an attempt lasts.

// Entry VM to scheduler: which server for this attempt?
struct ScheduleAsk {
  AskId id = 0;
  NameTag service = 0;
  NameTag failure_domain = 0;  // Of the entry VM.
  uint32_t rank = 0;
  bool bulk = false;
  bool hedge = false;
  std::chrono::milliseconds target{0};       // Latency that is wanted of its kind.
  std::chrono::milliseconds target_left{0};  // Until the answer is late.
  std::chrono::milliseconds deadline_left{0};
  std::chrono::milliseconds caller_left{0};  // How long the caller will wait; 0: not told.
  std::vector<NameTag> tried;         // Servers not to be assigned again; at most kMostTried.
  std::optional<Endpoint> forwarded;  // The entry VM, when another scheduler passes this on.
};
inline constexpr size_t kMostTried = 16;

// Scheduler to entry VM.
struct ScheduleReply {
  enum class Kind : uint8_t { kAssigned = 1, kQueued = 2, kRefused = 3 };
  AskId id = 0;
  Kind kind = Kind::kQueued;
  // Assigned:
  NameTag server = 0;
  std::chrono::milliseconds expected{0};    // To the answer.
  std::chrono::milliseconds work{0};        // The same at a server of usual speed.
  std::chrono::milliseconds report_age{0};  // Of what is known of the server's host.
  uint32_t in_flight = 0;                   // Requests at the server before this one.
  double slowdown = 1.0;                    // Of its host.
  uint32_t usable = 0;                      // Servers that had a slot free.
  // Refused:
  RefusalCause cause = RefusalCause::kOverload;
  std::chrono::milliseconds retry_after{0};
};

// Entry VM to the scheduler that assigned: the attempt is over, or no longer wanted.
struct ScheduleEnd {
  AskId id = 0;
  AttemptEnd end = AttemptEnd::kCancelled;
  std::chrono::microseconds latency{0};  // To the answer's first byte, or to the end.
  std::optional<Report> report;          // Carried on the answer.
};

// Scheduler to entry VM: the host had turned slow before the attempt began.
struct ScheduleSlow {
  AskId id = 0;
};

// Scheduler to the other schedulers of the same service.
struct CellNews {
  NameTag service = 0;
  NameTag failure_domain = 0;
  uint32_t free_slots = 0;  // At servers of usual speed.
};

using ScheduleMessage =
    std::variant<ScheduleAsk, ScheduleReply, ScheduleEnd, ScheduleSlow, CellNews>;

// First bytes of these messages; no other datagram begins with one of them.
bool IsScheduleMessage(const std::string& bytes);
std::string EncodeScheduleMessage(const ScheduleMessage& message);
// nullopt for anything malformed.
std::optional<ScheduleMessage> DecodeScheduleMessage(const std::string& bytes);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SCHEDULE_SCHEDULE_MESSAGE_H_
