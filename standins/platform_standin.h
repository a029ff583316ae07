// Stand-in for the platform of entry VMs with platform.kind = "http": a transactional table, an
// object store and a lagging VM list. It speaks the wire format of docs/DESIGN.md, enforces the
// platform's rate limits and injects faults. fleet_standin.h imitates the other kind of platform.
//
//   POST /faults  JSON, see faults.h (down, slow_ms, old_reads, lost_answers, lag_ms)
//   PUT /vms      JSON {"vms": [{"edge", "peer", "place", "leaving"}]}
//   GET /stats    JSON counters

#ifndef COWSLIPHILL_STANDINS_PLATFORM_STANDIN_H_
#define COWSLIPHILL_STANDINS_PLATFORM_STANDIN_H_

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

struct PlatformOptions {
  Endpoint listen{"127.0.0.1", 0};
  double writes_per_second = 500;  // Further writes are refused with X-Not-Applied.
  double reads_per_second = 2000;  // Further reads are refused with X-Not-Applied.
};

// Counters of GET /stats.
struct PlatformStats {
  uint64_t reads = 0;
  uint64_t writes = 0;        // Commits and object writes, including failed conditions.
  uint64_t conflicts = 0;     // Commits refused because a row version did not match.
  uint64_t over_rate = 0;     // Requests refused by a rate limit.
  uint64_t malformed = 0;     // Requests with a malformed body, answered with 400.
  uint64_t lost_answers = 0;  // Writes, including failed conditions, whose answer was dropped.
  uint64_t old_reads = 0;     // Reads answered from the old state.
};

class PlatformStandin {
 public:
  PlatformStandin(asio::io_context& loop, const Clock& clock, const PlatformOptions& options);
  ~PlatformStandin();
  Endpoint Address() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace cowsliphill::standins

#endif  // COWSLIPHILL_STANDINS_PLATFORM_STANDIN_H_
