// What happened to a request, kept past the death of the entry VM that held it.

#ifndef COWSLIPHILL_RECORDS_RECORD_H_
#define COWSLIPHILL_RECORDS_RECORD_H_

#include <optional>
#include <string>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/base/request_class.h"

namespace cowsliphill {

enum class RecordCause {
  kOnTime,       // Answered within its deadline; counted, not kept.
  kLate,         // Answered after its deadline.
  kRefused,      // Not run; `detail` says why.
  kUnknown,      // May have run; no answer.
  kCutAnswer,    // The caller got less than the whole answer.
  kCallerGone,   // The caller closed before the answer.
  kEntryVmLost,  // The entry VM that held it vanished; written by its partner.
};

struct RequestRecord {
  RequestId request;
  TenantId tenant;
  ServiceId service;
  RequestClass request_class = RequestClass::kRoutine;
  EntryVmId entry_vm;              // That held the request.
  BackendServerId backend_server;  // Last one tried; empty if none.
  WallTime started;
  std::optional<WallTime> ended;         // Absent while open and when lost.
  std::chrono::milliseconds deadline{};  // As granted at the start.
  Outcome outcome = Outcome::kUnknown;
  RecordCause cause = RecordCause::kOnTime;
  std::string detail;  // For people, up to 200 characters.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_RECORDS_RECORD_H_
