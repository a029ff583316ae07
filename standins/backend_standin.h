// Stand-in for a backend server: a few slots with a queue behind them, reports on each answer,
// draining, shedding, cold start, stragglers, fast failures, deadlines and cancellation. Its
// journal says what truly ran.
//
//   any path           work of X-Work-Ms (or ?work_ms=, or the default) milliseconds
//   GET /archive/SIZE  SIZE bytes with ETag and Range; ?rate=BYTES_PER_SECOND
//   GET /load          a probe: the report, after probe_cost
//   POST /control      JSON of BackendControl
//   GET /journal       JSON lines; GET /stats: JSON counters

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
  std::string name = "backend";             // In each answer and journal line.
  uint32_t slots = 3;                       // Requests executing at the same time.
  std::chrono::milliseconds work{5};        // Of a request that names none.
  std::chrono::milliseconds probe_cost{5};  // Time that a probe takes.
  std::chrono::milliseconds drain{3000};    // After SIGTERM it stays at least this long.
  uint32_t max_connections = 250;           // More are closed at once.
  bool by_priority = false;                 // Queue by the Priority header; else by arrival.
};

// Set at run time; keys that are absent keep their value.
struct BackendControl {
  std::string state = "serving";  // "serving", "draining", "shedding" or "cold".
  double slowdown = 1;            // Factor on the work of each request.
  double cold_slowdown = 10;      // Factor while "cold"; it warms up after cold_requests.
  uint32_t cold_requests = 20;
  bool refuse_when_draining = false;  // Refuses new work instead of doing it.
  bool fail_fast = false;             // Answers 500 at once.
  bool health_lies = false;           // /load says idle and serving, whatever is true.
};

// Byte `at` of a generated archive; both ends compute it, so a body is checked without a copy.
char ArchiveByte(uint64_t at);

class BackendStandin {
 public:
  BackendStandin(asio::io_context& loop, const Clock& clock, const BackendOptions& options);
  ~BackendStandin();
  Endpoint Address() const;

  // Graceful shutdown: drains, finishes all work, then calls `stopped`.
  void Stop(std::function<void()> stopped);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace cowsliphill::standins

#endif  // COWSLIPHILL_STANDINS_BACKEND_STANDIN_H_
