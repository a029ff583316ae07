// What every request of this entry VM works with. Built once in src/cli; all members outlive the
// edge server.

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
#include "src/forward/dispatcher.h"
#include "src/forward/request_headers.h"
#include "src/manifest/manifest.h"
#include "src/settings/settings.h"
#include "src/storage/any_platform.h"

namespace cowsliphill {

// How one request ended, for metrics, logs and records.
struct RequestEnd {
  RequestId id;
  uint64_t record = 0;  // As on_started gave it; 0 if it was refused before.
  ServiceId service;
  TenantId tenant;
  RequestClass request_class = RequestClass::kRoutine;
  BackendServerId server;  // Last one tried; empty if none.
  int status = 0;          // Told to the caller; 0 when nothing could be told.
  Outcome outcome = Outcome::kNotRun;
  bool whole = false;        // The caller got the whole answer.
  bool caller_gone = false;  // The caller closed first.
  bool late = false;         // The answer began after the deadline.
  uint32_t attempts = 0;
  Duration took{};        // From the request's head to the answer's end.
  Duration first_byte{};  // From the request's head to the answer's head; 0 without one.
  Duration waited{};      // Of that: until a backend server was chosen.
  std::chrono::milliseconds deadline{};  // As granted.
  WallTime started;
  std::string detail;     // Cause, for people.
  std::string placement;  // What decided for `server`, for people.
};

// Who is told about requests. All run on the loop's thread and return at once.
struct RequestObserver {
  // Gives the number that RequestEnd::record carries.
  std::function<uint64_t(const RequestMeta&, WallTime started)> on_started;
  std::function<void(const RequestEnd&)> on_ended;
  std::function<void(const std::string& kind, const std::string& detail)> on_bad_input;
};

class Exchange;
using EntryClaims = ClaimKeeper<AnyPlatform>;

struct ForwardContext {
  asio::io_context& io;
  const Clock& clock;
  const Settings& settings;
  Dispatcher& dispatcher;
  BackendPool& pool;
  EntryClaims* claims;  // Null: keys of requests are passed on and not looked at.
  std::function<std::shared_ptr<const Manifest>()> manifest = {};  // In force now.
  std::function<bool()> ready = {};     // Whether requests may be decided yet.
  std::function<bool()> starting = {};  // Not ready, but may be at any moment; unset: never.
  std::function<std::string(const std::string& caller_ip, const std::string& query)> lookup = {};
  std::function<void(const BackendServerId&, const Report&)> on_report = {};  // Seen on an answer.
  RequestObserver observer = {};
  WireFormat wire = OwnWireFormat();
  std::unordered_map<Ticket, Exchange*> exchanges = {};  // Open ones that the chooser knows.
  RequestIdSource ids = {};
  Ticket next_ticket = 1;
  bool leaving = false;      // Answers ask callers to close their connections.
  size_t open_requests = 0;  // In flight in this entry VM.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_FORWARD_CONTEXT_H_
