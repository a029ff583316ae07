// Explains where a request would be sent now, without an effect on any request: the code that
// decides runs on copies of the planner and the scheduler.

#ifndef COWSLIPHILL_SCHEDULE_SCHEDULE_EXPLAIN_H_
#define COWSLIPHILL_SCHEDULE_SCHEDULE_EXPLAIN_H_

#include "src/schedule/explanation.h"
#include "src/schedule/request_planner.h"
#include "src/schedule/scheduler.h"

namespace cowsliphill {

// For a request of this entry VM, whose peer address is `self`. The request's ticket is ignored.
Explanation ExplainRequest(const RequestPlanner& own_planner, const Scheduler& scheduler,
                           const Endpoint& self, const ChoiceRequest& request, MonotonicTime now);

// What `scheduler` would decide for the entry VM with peer address `entry_vm` in that failure
// domain.
ScheduleExplanation ExplainFor(const RequestPlanner& own_planner, const Scheduler& scheduler,
                               const Endpoint& entry_vm, const FailureDomainId& failure_domain,
                               const ChoiceRequest& request, MonotonicTime now);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SCHEDULE_SCHEDULE_EXPLAIN_H_
