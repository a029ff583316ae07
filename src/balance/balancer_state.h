// What a Balancer keeps for each server and cell. Only for the files that implement it.

#ifndef COWSLIPHILL_BALANCE_BALANCER_STATE_H_
#define COWSLIPHILL_BALANCE_BALANCER_STATE_H_

#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "src/balance/balancer.h"
#include "src/balance/server_warmup.h"

namespace cowsliphill {

// Position in a cell's queue: by level, the most urgent first, then by target.
using QueueKey = std::tuple<QueueLevel, MonotonicTime, AssignmentId>;

struct Balancer::Server {
  BackendServer config;
  Cell* cell = nullptr;
  bool listed = true;        // False: not in the last list; kept until its requests end.
  bool evacuated = false;    // Its failure domain is evacuated.
  bool leaving = false;      // The server or the platform reported that it accepts no new requests.
  MonotonicTime warmup_end;  // Time from which the server runs at full speed.
  ServerLoad load;
  ServerHealth health;
  ServerLimit limit;
  ServerWarmup warmup;
  std::vector<AssignmentId> open_requests;
};

struct Balancer::Cell {
  std::vector<Server*> servers;  // Servers that accept new requests and are not evacuated.
  std::map<RequestKind, ServiceTimeEstimate> service_times;
  std::set<QueueKey> queue;
  std::map<QueueLevel, size_t> queued_by_level;
  FairShare shares;
  std::map<RequestKind, CallerElapsedEstimate> caller_elapsed;
  NearCapacityEstimate near_capacity;
  bool shares_limits = true;          // See SetSharesLimits.
  double mean_slowdown = 1.0;         // Exponentially weighted mean of reported slowdowns.
  MonotonicTime last_speed_change{};  // Newest speed change of any host in the cell.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BALANCE_BALANCER_STATE_H_
