// A caller: asks any entry VM which ones to use, keeps the answer for its lifetime, connects to
// them in the order given and checks each answer to the last byte.

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
  std::vector<Endpoint> entries;             // Asked for the lookup, the first that answers counts.
  std::chrono::milliseconds patience{1000};  // Waited beyond the deadline before giving up.
  std::chrono::milliseconds silence{10000};  // Longest silence within an answer.
  bool ask_lookup = true;                    // False: `entries` are used as they are.
  uint32_t resumes = 0;                      // A cut download is continued this often by Range.
};

struct CallerRequest {
  std::string method = "GET";
  std::string path = "/";
  std::string service;
  std::string priority;                               // RFC 9218, empty: not sent.
  std::string tenant;                                 // Empty: not sent.
  std::string key;                                    // Idempotency-Key, empty: not sent.
  std::string range;                                  // Range, empty: not sent.
  std::optional<std::chrono::milliseconds> deadline;  // Sent as Grpc-Timeout.
  std::string body;
};

// What the caller saw of one request.
struct CallerView {
  int status = 0;            // 0: no answer.
  std::string outcome;       // Cowsliphill-Outcome.
  std::string retry_after;   // Retry-After.
  std::string request_id;    // X-Request-Id.
  std::string server;        // X-Backend-Name.
  std::string proxy_status;  // Proxy-Status.
  Endpoint entry;            // Entry VM that it was sent to last.
  bool sent = false;         // It may have reached an entry VM.
  bool whole = false;        // The answer is complete, and its bytes are right where known.
  uint64_t bytes = 0;        // Of the answer's body.
  bool ask_lookup = true;    // False: `entries` are used as they are.
  uint32_t resumes = 0;      // Times that the download was continued.
  std::string body;          // Except of archives.
  std::string error;         // Of the connection.
  std::chrono::milliseconds latency{0};
};

// Not thread safe; use one per thread.
class Caller {
 public:
  Caller(const Clock& clock, CallerOptions options);
  ~Caller();
  Caller(Caller&&) noexcept;

  CallerView Send(const CallerRequest& request);
  // Closes the connection that is kept open.
  void Disconnect();
  // Entry VMs of the last lookup answer, asked again once its lifetime has passed.
  std::vector<Endpoint> Entries();

 private:
  struct Connection;
  bool Lookup(const Endpoint& at);
  CallerView SendTo(const Endpoint& entry, const CallerRequest& request);
  void Resume(const CallerRequest& request, CallerView& view);

  const Clock& clock_;
  CallerOptions options_;
  std::vector<Endpoint> entries_;           // Of the last lookup answer.
  MonotonicTime valid_until_;               // Of that answer.
  std::unique_ptr<Connection> connection_;  // Kept open to the entry VM used last.
};

// One JSON object without a line break.
std::string ToJsonLine(const CallerRequest& request, const CallerView& view);

}  // namespace cowsliphill::standins

#endif  // COWSLIPHILL_STANDINS_CALLER_H_
