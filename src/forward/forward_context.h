// The components and state that all requests of this entry VM share. Built once in src/cli; all
// members outlive the edge server.

#ifndef COWSLIPHILL_FORWARD_FORWARD_CONTEXT_H_
#define COWSLIPHILL_FORWARD_FORWARD_CONTEXT_H_

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "src/base/clock.h"
#include "src/base/request_class.h"
#include "src/claims/claim_keeper.h"
#include "src/forward/backend_pool.h"
#include "src/forward/caller_key.h"
#include "src/forward/dispatcher.h"
#include "src/forward/request_headers.h"
#include "src/forward/stop_window.h"
#include "src/manifest/manifest.h"
#include "src/poison/poison_list.h"
#include "src/settings/settings.h"
#include "src/storage/any_platform.h"

namespace cowsliphill {

// Retry-After value for callers of an entry VM that is stopping: another one may serve them at
// once.
constexpr std::chrono::milliseconds kRetryAfterStop{50};

// How one request ended, for metrics, logs and audit records.
struct RequestEnd {
  RequestId id;         // LoggedId of the request's id.
  uint64_t record = 0;  // Value that on_started returned; 0 if it was not called.
  ServiceId service;
  TenantId tenant;
  RequestClass request_class = RequestClass::kRoutine;
  BackendServerId server;  // Server of the last attempt; empty without one.
  Endpoint through;        // Attempt::Through of the last attempt.
  int status = 0;          // HTTP status sent to the caller; 0 if none was sent.
  Outcome outcome = Outcome::kNotRun;
  // The response was written completely to the caller's connection. If its body is chunked, the
  // write of the last chunk may still have failed.
  bool whole = false;
  bool caller_gone = false;  // The caller closed, stalled or sent a broken body.
  bool late = false;         // The response began after the deadline.
  uint32_t attempts = 0;
  Duration took{};        // Time from the request's head to the response's end.
  Duration first_byte{};  // Time from the request's head to the response's head; 0 without one.
  Duration waited{};      // Time from the request's head to the first choice of a backend server.
  std::chrono::milliseconds timeout{};  // RequestMeta::timeout; the route's limit is not included.
  WallTime started;
  std::string caller;    // IP address of the caller's end of the connection.
  RequestHash hash = 0;  // Equal for repeated requests; 0 if the request was not read whole.
  std::string detail;    // Readable cause of the end; may be empty.
  std::optional<KeyFault> key_fault;  // Set if the request was refused for its key.
  std::string placement;  // Readable reason for the choice of `server`, or for the refusal of one;
                          // may be empty.
};

// Callbacks for metrics, logs and audit records. They run on the event loop's thread and must not
// block.
struct RequestObserver {
  // Returns the record number that RequestEnd::record carries.
  std::function<uint64_t(const RequestMeta&, WallTime started)> on_started;
  std::function<void(const RequestEnd&)> on_ended;
  std::function<void(const std::string& kind, const std::string& detail)> on_bad_input;
};

// Keeps requests that crash backend servers from them; see src/poison. All unset: no request is
// checked.
struct PoisonHooks {
  std::function<Judgement(RequestHash)> judge;   // Called once for each request, before it is sent.
  std::function<Judgement(RequestHash)> review;  // Called before each attempt and each retry.
  std::function<void(const LostAttempt&)> on_lost;
  std::function<void(RequestHash)> on_answered;
};

class Exchange;
using EntryClaims = ClaimKeeper<AnyPlatform>;

struct ForwardContext {
  asio::io_context& io;
  const Clock& clock;
  const Settings& settings;
  Dispatcher& dispatcher;
  BackendPool& pool;
  EntryClaims* claims;  // Null: idempotency keys are forwarded and not checked here.
  std::function<std::shared_ptr<const Manifest>()> manifest = {};  // Returns the one in force.
  // Keys of the manifest in force. Null: requests need no keys. If set, so is WireFormat::take_key.
  const KeyIndex* keys = nullptr;
  std::function<bool()> ready = {};  // Whether requests can be admitted.
  // Whether requests wait until `ready` returns true, instead of getting status 503. Unset: they
  // never wait.
  std::function<bool()> starting = {};
  // Returns the JSON body of the response to a lookup. Unset: this port does not serve lookups.
  std::function<std::string(const std::string& caller_ip, const std::string& query)> lookup = {};
  // Called with the report in a response's head, before the response's end.
  std::function<void(const BackendServerId&, const Report&)> on_report = {};
  // Called with what a backend server states about itself, before its response is handled.
  std::function<void(const ServerStatement&)> on_statement = {};
  // Called with a description of those statements that can't be read.
  std::function<void(const std::string& detail)> on_bad_statement = {};
  // Whether the server still takes a request that was assigned to it. Unset: it does.
  std::function<bool(const SendTo&)> may_send = {};
  RequestObserver observer = {};
  PoisonHooks poison = {};
  WireFormat wire = OwnWireFormat();
  std::unordered_map<Ticket, Exchange*> exchanges = {};  // Admitted and not finished.
  RequestIdSource ids = {};
  Ticket next_ticket = 1;
  bool leaving = false;                // Shutting down: callers' connections close after responses.
  StopWindow stop = {};                // Set while leaving.
  size_t open_requests = 0;            // Requests in flight in this entry VM.
  size_t buffered_response_bytes = 0;  // Bodies of responses held by all exchanges.
  size_t kept_body_bytes = 0;          // Bodies of requests beyond EdgeSettings::buffer_bytes.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_FORWARD_CONTEXT_H_
