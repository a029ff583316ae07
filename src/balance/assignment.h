// Requests to a Balancer and its decisions.

#ifndef COWSLIPHILL_BALANCE_ASSIGNMENT_H_
#define COWSLIPHILL_BALANCE_ASSIGNMENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/choose/chooser.h"

namespace cowsliphill {

// Names a cell: backend servers that are scheduled together (cell_map.h).
struct CellId {
  ServiceId service;
  FailureDomainId failure_domain;

  friend bool operator==(const CellId& a, const CellId& b) = default;
  friend bool operator<(const CellId& a, const CellId& b) {
    return std::tie(a.service, a.failure_domain) < std::tie(b.service, b.failure_domain);
  }
};

// Requests of one kind take about equally long, and their callers wait about equally long.
struct RequestKind {
  uint32_t rank = 0;  // Priority; 0 is the most urgent.
  bool bulk = false;  // The answer is large.
  // Latency up to which an answer has its full value; 0: none.
  std::chrono::milliseconds target_latency{0};

  friend bool operator<(const RequestKind& a, const RequestKind& b) {
    return std::tie(a.rank, a.bulk, a.target_latency) < std::tie(b.rank, b.bulk, b.target_latency);
  }
};

// Names one attempt of a request; the requester chooses it and never reuses it.
using AssignmentId = uint64_t;

struct AssignmentRequest {
  AssignmentId id = 0;
  CellId cell;
  FailureDomainId home;  // Failure domain of the entry VM; servers there are preferred.
  RequestKind kind;
  bool hedge = false;      // The attempt runs beside another one: it is assigned at once if it can
                           // meet its deadline, else declined.
  MonotonicTime target;    // Time up to which an answer has its full value.
  MonotonicTime deadline;  // A later answer has no value.
  Duration caller_left{};  // Time until the caller stops waiting; 0: unknown.
  std::vector<BackendServerId> tried;  // Servers that must not be assigned again.
  TenantId workspace;                  // Empty: the request belongs to none.
};

struct Assigned {
  AssignmentId id = 0;
  BackendServerId server;
  // The estimates behind the decision, for hedges and logs.
  Duration expected{};          // Expected latency at this server.
  Duration service_time{};      // Expected latency at a server of usual speed.
  uint32_t in_flight = 0;       // Requests at the server before this one.
  double slowdown = 1.0;        // Slowdown of the server's host; 1.0 is usual speed.
  Duration report_age{};        // Age of the server's newest report; negative: there is none.
  uint32_t usable_servers = 0;  // Number of servers that had a free slot.
};
struct Queued {};
struct Declined {
  AssignmentId id = 0;
  RefusalCause cause = RefusalCause::kOverload;
  std::chrono::milliseconds retry_after{0};
};
using Assignment = std::variant<Assigned, Queued, Declined>;
using QueueDecision = std::variant<Assigned, Declined>;

// What a backend server last stated about its limit.
struct LimitStatement {
  BackendServerId server;
  std::optional<double> limit;  // Requests per second; nullopt: it has withdrawn its limit.
  MonotonicTime stated_at;
};

// A backend server has named another limit than before, in requests per second; nullopt: none.
struct LimitChange {
  BackendServerId server;
  std::optional<double> before;
  std::optional<double> after;
};

// A server is held to be down, or no longer.
struct HealthChange {
  enum class Cause { kMissedProbes, kConnectFailed, kReached };
  BackendServerId server;
  Cause cause = Cause::kReached;  // kReached: it answers again.
};

// What is known about a server, for an explanation of a decision.
struct ServerExplanation {
  BackendServerId server;
  FailureDomainId failure_domain;
  std::string state;     // "usable", or why it gets no request now.
  bool in_cell = false;  // It belongs to the cell of the request.
  uint32_t in_flight = 0;
  uint32_t slots = 0;
  double slowdown = 1.0;
  Duration expected{};                 // Expected time to the answer.
  std::optional<Duration> report_age;  // Unset: it has sent no report.
  std::optional<double> limit;         // Requests per second that it names; unset: none.
};

// How soon a cell can serve a request.
enum class Availability {
  kFreeSlot,     // A slot is free at which the request meets its target.
  kQueueOnTime,  // The request would be queued and should still meet its target.
  kLate,         // The request would be answered late or not at all.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_ASSIGNMENT_H_
