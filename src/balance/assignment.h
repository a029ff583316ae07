// What is asked of a Balancer, and what it says.

#ifndef COWSLIPHILL_BALANCE_ASSIGNMENT_H_
#define COWSLIPHILL_BALANCE_ASSIGNMENT_H_

#include <chrono>
#include <cstdint>
#include <tuple>
#include <variant>
#include <vector>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/choose/chooser.h"

namespace cowsliphill {

// Servers that are scheduled together; see cell_map.h.
struct CellId {
  ServiceId service;
  FailureDomainId failure_domain;

  friend bool operator==(const CellId& a, const CellId& b) = default;
  friend bool operator<(const CellId& a, const CellId& b) {
    return std::tie(a.service, a.failure_domain) < std::tie(b.service, b.failure_domain);
  }
};

// Requests of one kind take about as long as each other, and their callers wait about as long.
struct RequestKind {
  uint32_t rank = 0;                    // 0 is the most urgent.
  bool bulk = false;                    // Large answers.
  std::chrono::milliseconds target{0};  // Latency within which answers are worth most.

  friend bool operator<(const RequestKind& a, const RequestKind& b) {
    return std::tie(a.rank, a.bulk, a.target) < std::tie(b.rank, b.bulk, b.target);
  }
};

using AssignmentId = uint64_t;  // One attempt of a request; chosen by who asks, not reused.

struct AssignmentRequest {
  AssignmentId id = 0;
  CellId cell;
  FailureDomainId home;  // Failure domain of the entry VM; servers there are nearer.
  RequestKind kind;
  bool hedge = false;                  // Beside another attempt: now and in time, or not at all.
  MonotonicTime target;                // Answers by then are worth most.
  MonotonicTime deadline;              // Later answers are worth nothing.
  Duration caller_left{};              // How long the caller will wait; 0: not told.
  std::vector<BackendServerId> tried;  // Not to be assigned again.
};

struct Assigned {
  AssignmentId id = 0;
  BackendServerId server;
  // What decided, for hedges and logs.
  Duration expected{};     // To the answer.
  Duration work{};         // The same at a server of usual speed.
  uint32_t in_flight = 0;  // Requests there before this one.
  double slowdown = 1.0;   // Of its host.
  Duration report_age{};   // Of what is known of the host.
  uint32_t usable = 0;     // Servers that had a slot free.
};
struct Queued {};
struct Declined {
  AssignmentId id = 0;
  RefusalCause cause = RefusalCause::kOverload;
  std::chrono::milliseconds retry_after{0};
};
using Assignment = std::variant<Assigned, Queued, Declined>;
using Turn = std::variant<Assigned, Declined>;

// What a request may expect of a cell.
enum class Outlook {
  kNow,   // A slot in which it is in time.
  kSoon,  // It waits and should still be in time.
  kLate,  // It is answered late, or not at all.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_ASSIGNMENT_H_
