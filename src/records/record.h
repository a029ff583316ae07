// The audit log record of a request. It outlives the entry VM that handled the request.

#ifndef COWSLIPHILL_RECORDS_RECORD_H_
#define COWSLIPHILL_RECORDS_RECORD_H_

#include <optional>
#include <string>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/base/request_class.h"

namespace cowsliphill {

enum class RecordCause {
  kOnTime,       // Answered within its deadline; counted, but no record is stored.
  kLate,         // Answered after its deadline.
  kRefused,      // The request did not run; `detail` gives the reason.
  kUnknown,      // The request may have run, but no answer arrived.
  kCutAnswer,    // The caller received only a part of the answer.
  kCallerGone,   // The caller closed the connection before the answer.
  kEntryVmLost,  // The entry VM that handled it failed; its partner wrote the record.
};

struct RequestRecord {
  RequestId request;
  TenantId tenant;
  ServiceId service;
  RequestClass request_class = RequestClass::kRoutine;
  EntryVmId entry_vm;              // Entry VM that handled the request.
  BackendServerId backend_server;  // Last backend server that was tried; empty if none was.
  WallTime started;
  // Absent while the request is open, and if `cause` is kEntryVmLost.
  std::optional<WallTime> ended;
  std::chrono::milliseconds deadline{};  // Time allowed for the answer from `started` on.
  Outcome outcome = Outcome::kUnknown;
  RecordCause cause = RecordCause::kOnTime;
  std::string detail;  // Explanation for human readers; cut to 200 bytes when encoded.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_RECORDS_RECORD_H_
