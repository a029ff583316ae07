// Stand-in for the platform: transactional table, object store and lagging VM list, with the wire
// forms of docs/DESIGN.md, the platform's rates, and faults set at run time.
//
//   POST /faults  JSON of faults.h (down, slow_ms, old_reads, lost_answers, lag_ms)
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
  double writes_per_second = 500;  // More are refused with X-Not-Applied.
  double reads_per_second = 2000;  // Likewise.
};

// What GET /stats shows.
struct PlatformStats {
  uint64_t reads = 0;
  uint64_t writes = 0;        // Commits and stored objects, conflicts included.
  uint64_t conflicts = 0;     // Commits whose condition failed.
  uint64_t over_rate = 0;     // Refused by the rate.
  uint64_t malformed = 0;     // Refused as unreadable.
  uint64_t lost_answers = 0;  // Took effect, answer withheld.
  uint64_t old_reads = 0;     // Answered as of an earlier moment.
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
