// Where a request would be sent now, and why. Made by the code that decides about requests, run on
// copies of the planner and the scheduler, so it changes nothing.

#ifndef COWSLIPHILL_SCHEDULE_EXPLANATION_H_
#define COWSLIPHILL_SCHEDULE_EXPLANATION_H_

#include <optional>
#include <string>
#include <vector>

#include "src/balance/assignment.h"
#include "src/schedule/schedule_message.h"

namespace cowsliphill {

// What a scheduler makes of an assignment request.
struct ScheduleExplanation {
  CellId cell;  // An empty failure domain: all servers of the service are one cell.
  std::vector<ServerExplanation> servers;  // Those of the service, also in other cells.
  size_t queued = 0;                       // Requests that wait in the cell.
  ScheduleReply reply;
  // The scheduler to which the request would be passed on, and the failure domain of its cell. The
  // reply is kQueued then.
  std::optional<Endpoint> passed_on_to;
  std::string passed_on_domain;
};

struct Explanation {
  // The scheduler that decides, by its peer address; port 0: none is asked.
  Endpoint scheduler;
  // What the scheduler of this entry VM makes of it. If `scheduler` is another one, that one may
  // decide otherwise, because it knows more about the servers.
  std::optional<ScheduleExplanation> decision;
  bool decides_here = false;
  std::optional<SendTo> chosen;
  std::optional<Refuse> refused;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SCHEDULE_EXPLANATION_H_
