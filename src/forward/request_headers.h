// Reads and formats the headers of requests and responses, towards callers and backend servers.
// Only this file knows the names of the project's own headers; other code works on RequestMeta and
// ErrorResponse.

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
#include "src/forward/caller_key.h"
#include "src/forward/http_reader.h"
#include "src/manifest/manifest.h"
#include "src/measure/report.h"

namespace cowsliphill {

// Metadata from a request's headers, checked against the rules of its service.
struct RequestMeta {
  RequestId id;                      // As the caller sent it, or a new one.
  const Service* service = nullptr;  // Points into the manifest that was used to read the request.
  TenantId tenant;
  RequestClass request_class = RequestClass::kRoutine;
  std::chrono::milliseconds timeout{};  // Time limit that the service's rules grant.
  std::string key;                      // Value of Idempotency-Key; empty if there is none.
  bool idempotent = false;
  uint32_t depth = 0;            // Number of calls above this one in the call tree.
  const Route* route = nullptr;  // Points into the same manifest; null if requests name a service.
  std::chrono::milliseconds route_timeout{};  // Additional limit of the route; 0: none.
};

// Rejection of an invalid request.
struct BadRequest {
  int status = 400;
  std::string detail;  // Names the header, the value found and the values allowed.
};

// Generates ids for requests that come without one.
struct RequestIdSource {
  uint64_t prefix = 0;  // Random number of this process.
  uint64_t next = 0;    // Counter, incremented for each id.
};

// Returns the caller's X-Request-Id, or a new id if there is none.
RequestId ReadRequestId(const HttpHead& head, RequestIdSource& ids);

// Returns the form of an id that names the request in logs, records and messages between entry VMs:
// at most kMaxLoggedIdLength printable characters of ASCII. Other characters are percent-encoded. A
// longer id is cut and ends with a hash of the whole. Returns the result itself unchanged.
RequestId LoggedId(const RequestId& id);
inline constexpr size_t kMaxLoggedIdLength = 64;

// Reads and checks the headers of a request. `ids` supplies the id if X-Request-Id is missing.
Result<RequestMeta, BadRequest> ReadRequestMeta(const HttpHead& head, const Manifest& manifest,
                                                RequestIdSource& ids);

// Response that the entry VM generates itself instead of forwarding a backend server's response.
struct ErrorResponse {
  int status = 500;
  Outcome outcome = Outcome::kNotRun;
  std::optional<std::chrono::milliseconds> retry_after;
  std::string error;   // Proxy-Status error type (RFC 9209).
  std::string detail;  // One human-readable line.
};

// Formats the complete response, with a problem details body (RFC 9457).
std::string FormatErrorResponse(const ErrorResponse& response, const RequestId& id,
                                bool keep_alive);

// Formats the stored response of an earlier request with the same idempotency key. Marks it with
// Idempotency-Replayed.
std::string FormatReplayedResponse(const Repeat& repeat, const RequestId& id, bool keep_alive);

// Formats a complete response with status 200 and a JSON body.
std::string FormatJsonResponse(const std::string& body, bool keep_alive);

// Formats the head of the request to a backend server.
std::string FormatBackendRequest(const HttpHead& head, const RequestMeta& meta,
                                 std::chrono::milliseconds time_left, const Endpoint& server);

// Position at which an interrupted response can be resumed with a range request.
struct ResumePoint {
  std::string etag;     // Strong validator (ETag) of the first response.
  uint64_t offset = 0;  // Number of body bytes already passed to the caller.
  uint64_t length = 0;  // Length of the complete body, in bytes.
};
// Formats the head of the range request for the rest of the response.
std::string FormatResumeRequest(const HttpHead& head, const RequestMeta& meta,
                                std::chrono::milliseconds time_left, const Endpoint& server,
                                const ResumePoint& resume);
// Returns whether the response continues exactly at `resume.offset` and has the same validator and
// length.
bool ContinuesAt(const HttpHead& response, const ResumePoint& resume);
// Returns a resume point at offset 0, or nullopt if the response can't be resumed: it must be the
// 200 response to a GET, with a length, a strong validator and support for byte ranges.
std::optional<ResumePoint> ResumePointOf(const HttpHead& request, const HttpHead& response);

// Formats the head of a backend server's response as sent to the caller.
std::string FormatCallerResponse(const HttpHead& response, const RequestId& id, bool keep_alive);

// Returns whether the backend server states that it did not start the request.
bool SaysNotStarted(const HttpHead& response);

struct BackendTarget {
  BackendServerId server;
  Endpoint endpoint;
};

// Whether a response belongs to a request.
enum class ResponseMatch {
  kNo,        // It names another request.
  kYes,       // It names the request.
  kUnstated,  // It names no request. It is taken for the response to the request, but a second copy
              // of it could not be told from the response to the next one.
};

// Functions that read and format HTTP messages, either with the project's own headers
// (OwnWireFormat) or with a platform's. Chosen once at startup.
struct WireFormat {
  std::function<Result<RequestMeta, BadRequest>(const HttpHead&, const Manifest&, RequestIdSource&)>
      read_request;
  // Reads the caller's key, and removes from the head the key and whatever else names a workspace.
  // Unset: requests have no keys.
  std::function<CallerKey(HttpHead&)> take_key;
  std::function<std::string(const HttpHead&, const RequestMeta&,
                            std::chrono::milliseconds time_left, const BackendTarget&)>
      backend_request;
  std::function<std::string(const ErrorResponse&, const RequestId&, bool keep_alive)>
      error_response;
  std::function<std::string(const HttpHead& response, const RequestId&, bool keep_alive)>
      caller_response;
  // Returns whether the backend server states that it did not start the request.
  std::function<bool(const HttpHead& response)> says_not_started;
  std::function<std::optional<Report>(const HttpHead& response, ReportFormat)> report;
  // Responses that don't belong to the request are read and discarded.
  std::function<ResponseMatch(const HttpHead& response, const RequestId&)> match_response;
  // Whether a response is buffered completely before the caller gets its head, so that an
  // incomplete one can be replaced by another attempt's. Responses larger than
  // kMaxBufferedResponseBytes (in exchange_answer.cc) are streamed nevertheless.
  bool buffer_responses = false;
  // Whether statuses 408, 421, 429 and 503 by themselves tell the caller that the request did not
  // run. Set if no header of the response tells this.
  bool status_implies_outcome = false;
};

WireFormat OwnWireFormat();

// Returns the value of a Host header without its port. Used to find the service or route of a
// request.
std::string HostWithoutPort(const std::string& host);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_REQUEST_HEADERS_H_
