// Stand-in for a backend server. It executes requests in a few slots with a queue in front, reports
// its load in each answer, honours deadlines and cancellation, and simulates draining, load
// shedding, cold start, slow execution and fast failures. Its journal lists the requests that
// started.
//
//   GET /archive/SIZE  SIZE bytes with ETag and Range; ?rate=BYTES_PER_SECOND
//   GET /load          a probe: answers with the load headers after probe_cost
//   POST /control      JSON with the fields of BackendControl
//   GET /journal       JSON lines
//   GET /stats         JSON counters
//   any other path     executes for X-Work-Ms (or ?work_ms=, or the default) milliseconds

#ifndef COWSLIPHILL_STANDINS_BACKEND_STANDIN_H_
#define COWSLIPHILL_STANDINS_BACKEND_STANDIN_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/base/clock.h"
#include "src/base/ids.h"

namespace asio {
class io_context;
}

namespace cowsliphill::standins {

struct BackendOptions {
  Endpoint listen{"127.0.0.1", 0};
  std::string name = "backend";             // Sent in X-Backend-Name and in journal lines.
  uint32_t slots = 3;                       // Requests executing concurrently.
  std::chrono::milliseconds work{5};        // Execution time of a request that sets none.
  std::chrono::milliseconds probe_cost{5};  // Time until a probe is answered.
  std::chrono::milliseconds drain{3000};    // Shortest time from SIGTERM to the exit.
  uint32_t max_connections = 250;           // Further connections are closed at once.
  bool by_priority = false;  // Orders the queue by the Priority header, then by arrival.
};

// Set at run time by POST /control; fields absent from the JSON keep their value.
struct BackendControl {
  std::string state = "serving";  // "serving", "draining", "shedding" or "cold".
  double slowdown = 1;            // Factor on the execution time of each request.
  double cold_slowdown = 10;  // Further factor on the first cold_requests requests while "cold".
  uint32_t cold_requests = 20;
  bool refuse_when_draining = false;  // While draining, refuses new requests with 503.
  bool fail_fast = false;             // Answers each request with 500 at once.
  bool health_lies = false;           // /load always reports idle and serving.
};

// Returns byte `at` of a generated archive. Both ends compute it, so that a caller can verify a
// body without a copy.
char ArchiveByte(uint64_t at);

class BackendStandin {
 public:
  BackendStandin(asio::io_context& loop, const Clock& clock, const BackendOptions& options);
  ~BackendStandin();
  Endpoint Address() const;

  // Shuts down gracefully: reports draining, finishes all requests, then calls `stopped`.
  void Stop(std::function<void()> stopped);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace cowsliphill::standins

#endif  // COWSLIPHILL_STANDINS_BACKEND_STANDIN_H_
