// The wire form of what callers and backend servers tell us in headers, and of what we tell them.
// The only file that knows header names; the rest works on RequestMeta and Verdict.

#ifndef COWSLIPHILL_FORWARD_REQUEST_HEADERS_H_
#define COWSLIPHILL_FORWARD_REQUEST_HEADERS_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/base/ids.h"
#include "src/base/request_class.h"
#include "src/base/result.h"
#include "src/claims/claim.h"
#include "src/forward/http_reader.h"
#include "src/manifest/manifest.h"
#include "src/measure/report.h"

namespace cowsliphill {

// What a request says about itself, checked against its service's rules.
struct RequestMeta {
  RequestId id;
  const Service* service = nullptr;  // Of the manifest that the request was decided under.
  TenantId tenant;
  RequestClass request_class = RequestClass::kRoutine;
  std::chrono::milliseconds timeout{};  // Granted by the service's rules.
  std::string key;                      // Idempotency-Key; empty if none.
  bool idempotent = false;
  uint32_t depth = 0;            // Calls above this one in the call tree.
  const Route* route = nullptr;  // Of the same manifest; null where requests name a service.
  std::chrono::milliseconds answer_within{};  // Shorter limit of the route; 0: `timeout` alone.
};

// A request that can't be taken as it is.
struct BadRequest {
  int status = 400;
  std::string detail;  // Names the header, what was found and what is allowed.
};

struct RequestIdSource {
  uint64_t prefix = 0;  // Random, of this process.
  uint64_t next = 0;    // Counts up.
};

// The caller's X-Request-Id if it is a clean one, else a new id.
RequestId ReadRequestId(const HttpHead& head, RequestIdSource& ids);

// Reads the headers. `ids` names requests that come without X-Request-Id.
Result<RequestMeta, BadRequest> ReadRequestMeta(const HttpHead& head, const Manifest& manifest,
                                                RequestIdSource& ids);

// What is told to the caller besides the backend server's own answer.
struct Verdict {
  int status = 500;
  Outcome outcome = Outcome::kNotRun;
  std::optional<std::chrono::milliseconds> retry_after;
  std::string error;   // Proxy-Status error type (RFC 9209).
  std::string detail;  // One line for people.
};

// A whole answer of our own, in problem details form (RFC 9457).
std::string FormatOwnAnswer(const Verdict& verdict, const RequestId& id, bool keep_alive);

// The answer of an earlier run, given again. Says so in Idempotency-Replayed.
std::string FormatRepeatAnswer(const Repeat& repeat, const RequestId& id, bool keep_alive);

// A short answer of our own with a JSON body and status 200.
std::string FormatJsonAnswer(const std::string& body, bool keep_alive);

// Head of the request as sent to a backend server.
std::string FormatBackendRequest(const HttpHead& head, const RequestMeta& meta,
                                 std::chrono::milliseconds time_left, const Endpoint& server);

// Where an answer is taken up again after its connection broke.
struct ResumePoint {
  std::string etag;     // Strong validator of the first answer.
  uint64_t offset = 0;  // Bytes that the caller already has.
  uint64_t length = 0;  // Bytes of the whole answer.
};
std::string FormatResumeRequest(const HttpHead& head, const RequestMeta& meta,
                                std::chrono::milliseconds time_left, const Endpoint& server,
                                const ResumePoint& resume);
// Whether the answer continues exactly at the point, of exactly the same thing.
bool ContinuesAt(const HttpHead& answer, const ResumePoint& resume);
// Where the answer could be taken up again, or nullopt when nothing proves it the same.
std::optional<ResumePoint> ResumePointOf(const HttpHead& request, const HttpHead& answer);

// Head of the backend server's answer as sent to the caller.
std::string FormatCallerAnswer(const HttpHead& answer, const RequestId& id, bool keep_alive);

// The backend server's own word that it did not start the request.
bool SaysNotStarted(const HttpHead& answer);

struct BackendTarget {
  BackendServerId server;
  Endpoint endpoint;
};

// What callers and backend servers speak: the project's own headers (OwnWireForm), or a
// platform's. Chosen once at start.
struct WireForm {
  std::function<Result<RequestMeta, BadRequest>(const HttpHead&, const Manifest&, RequestIdSource&)>
      read_request;
  std::function<std::string(const HttpHead&, const RequestMeta&,
                            std::chrono::milliseconds time_left, const BackendTarget&)>
      backend_request;
  std::function<std::string(const Verdict&, const RequestId&, bool keep_alive)> own_answer;
  std::function<std::string(const HttpHead& answer, const RequestId&, bool keep_alive)>
      caller_answer;
  // The backend server's own word that it did not start the request.
  std::function<bool(const HttpHead& answer)> says_not_started;
  std::function<std::optional<Report>(const HttpHead& answer, ReportFormat)> report;
  // Whether an answer belongs to the request; others are read and dropped.
  std::function<bool(const HttpHead& answer, const RequestId&)> is_answer_to;
  // Answers are gathered whole before the caller gets their head, so that a broken one can be
  // replaced. Larger ones than kMaxBufferedAnswerBytes are streamed.
  bool gather_answers = false;
  // Statuses 408, 421, 429 and 503 promise that the request did not run, as no header says so.
  bool status_tells_outcome = false;
};

WireForm OwnWireForm();

// A header's value as an IP-number-only host, for requests without Cowsliphill-Service.
std::string HostWithoutPort(const std::string& host);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_REQUEST_HEADERS_H_
