// A caller: asks any entry VM which entry VMs to use, caches the answer for its lifetime, connects
// to them in the given order and verifies that each answer is complete.

#ifndef COWSLIPHILL_STANDINS_CALLER_H_
#define COWSLIPHILL_STANDINS_CALLER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/ids.h"

namespace cowsliphill::standins {

struct CallerOptions {
  // Asked for the lookup in this order, after the entry VMs of the last lookup answer. If
  // `use_lookup` is false, requests go to these entry VMs.
  std::vector<Endpoint> entries;
  std::chrono::milliseconds deadline_slack{1000};  // Time to wait for an answer after the deadline.
  // Longest gap between bytes of a download.
  std::chrono::milliseconds archive_read_timeout{10000};
  bool use_lookup = true;    // If false, `entries` are used without a lookup.
  uint32_t max_resumes = 0;  // Limit on Range requests that resume an interrupted download.
};

struct CallerRequest {
  std::string method = "GET";
  std::string path = "/";
  std::string service;
  std::string priority;  // Priority header (RFC 9218); empty: not sent.
  std::string tenant;    // Cowsliphill-Tenant header; empty: not sent.
  std::string key;       // Idempotency-Key header; empty: not sent.
  std::string range;     // Range header; empty: not sent.
  std::optional<std::chrono::milliseconds> deadline;  // Sent as Grpc-Timeout.
  std::string body;
};

// What the caller received for one request.
struct CallerResult {
  int status = 0;            // HTTP status; 0 without an answer.
  std::string outcome;       // Cowsliphill-Outcome header.
  std::string retry_after;   // Retry-After header.
  std::string request_id;    // X-Request-Id header.
  std::string server;        // X-Backend-Name header.
  std::string proxy_status;  // Proxy-Status header.
  Endpoint entry;            // Entry VM that the request was last sent to.
  bool sent = false;         // The request may have reached an entry VM.
  bool complete = false;     // The answer is complete, and archive bytes are as expected.
  uint64_t bytes = 0;        // Body bytes received.
  bool use_lookup = true;    // Never read or set.
  uint32_t resumes = 0;      // How often the download was resumed.
  std::string body;          // Empty for archives, whose bytes are only verified.
  std::string error;         // Why the answer is missing or wrong.
  std::chrono::milliseconds latency{0};
};

// Not thread safe; use one per thread.
class Caller {
 public:
  Caller(const Clock& clock, CallerOptions options);
  ~Caller();
  Caller(Caller&&) noexcept;

  CallerResult Send(const CallerRequest& request);
  // Closes the keep-alive connection.
  void Disconnect();
  // Returns the entry VMs to send requests to, in this order. Looks them up first if there is no
  // lookup answer yet or its lifetime has passed.
  std::vector<Endpoint> Entries();

 private:
  struct Connection;
  bool Lookup(const Endpoint& at);
  CallerResult SendTo(const Endpoint& entry, const CallerRequest& request);
  void Resume(const CallerRequest& request, CallerResult& result);

  const Clock& clock_;
  CallerOptions options_;
  std::vector<Endpoint> entries_;           // From the last lookup answer.
  MonotonicTime valid_until_;               // End of the lifetime of that answer.
  std::unique_ptr<Connection> connection_;  // Keep-alive connection to the entry VM used last.
};

// Formats the request and its result as one line of JSON, without the line break.
std::string ToJsonLine(const CallerRequest& request, const CallerResult& result);

}  // namespace cowsliphill::standins

#endif  // COWSLIPHILL_STANDINS_CALLER_H_
