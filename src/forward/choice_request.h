// What is decided about a request depends on these fields of it.

#ifndef COWSLIPHILL_FORWARD_CHOICE_REQUEST_H_
#define COWSLIPHILL_FORWARD_CHOICE_REQUEST_H_

#include <algorithm>

#include "src/choose/chooser.h"
#include "src/forward/request_headers.h"

namespace cowsliphill {

// `repeatable`: the request may be sent again although it may have run.
inline ChoiceRequest MakeChoiceRequest(const RequestMeta& meta, Ticket ticket,
                                       MonotonicTime started, MonotonicTime deadline,
                                       bool repeatable) {
  ChoiceRequest request;
  request.ticket = ticket;
  request.service = meta.service->id;
  request.request_class = meta.request_class;
  request.tenant = meta.tenant;
  request.deadline = deadline;
  request.repeatable = repeatable;
  request.depth = meta.depth;
  if (meta.route != nullptr) {
    request.rank = meta.route->rank;
    request.target = started + meta.route->target_latency;
    request.target_latency = meta.route->target_latency;
    if (meta.timeout.count() > 0) request.caller_deadline = started + meta.timeout;
    request.max_attempts = meta.route->max_attempts;
    request.bulk = meta.route->bulk;
  }
  return request;
}

// When the time of a request is over.
inline MonotonicTime DeadlineOf(const RequestMeta& meta, MonotonicTime started) {
  const bool has_limit = meta.route_timeout.count() > 0;
  return started + (has_limit ? std::min(meta.timeout, meta.route_timeout) : meta.timeout);
}

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_CHOICE_REQUEST_H_
