// Which claims are past their lifetime, and the pace at which the table is searched for them. Pure.
//
// Rows of dated keys sort by the key's hour, so a lap over them reads only what is old; one is due
// every lap interval. In between, a cursor goes round all rows of undated keys, which have no
// order. Every entry VM sweeps; deletes are conditional, so sweepers that meet do no harm.

#ifndef COWSLIPHILL_CLAIMS_CLAIM_SWEEP_H_
#define COWSLIPHILL_CLAIMS_CLAIM_SWEEP_H_

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "src/claims/claim_protocol.h"

namespace cowsliphill {

struct SweepSettings {
  size_t page_rows = 16;                          // Read at once.
  uint32_t bytes_per_second = 1000;               // Of rows read.
  std::chrono::milliseconds lap_interval{60000};  // Between two dated laps.
};

struct PageRequest {
  std::string prefix;
  std::string after;
  size_t most = 0;
};

class ClaimSweep {
 public:
  ClaimSweep(const ClaimSettings& claims, const SweepSettings& settings, uint64_t seed);

  PageRequest Page() const;
  // The deletes to commit. Moves on to the next page.
  std::vector<ConditionalWrite> OnPage(const std::vector<Row>& rows, ClaimTime at);
  void OnFailed(MonotonicTime now);

  MonotonicTime NextAt() const { return next_at_; }
  uint64_t MalformedRows() const { return malformed_rows_; }

 private:
  void MoveDated(const std::vector<Row>& rows, ClaimTime at);
  void MoveUndated(const std::vector<Row>& rows, MonotonicTime now);
  Duration JitteredInterval();
  std::string RandomHash();

  ClaimSettings claims_;
  SweepSettings settings_;
  std::mt19937_64 random_;
  bool dated_ = true;          // The next page is one of the dated lap.
  std::string dated_after_;    // Last key read in the dated lap; empty: from the start.
  std::string oldest_hour_;    // Prefix of the first dated row seen.
  std::string undated_after_;  // Last key read by the cursor over undated rows.
  MonotonicTime next_dated_;   // When the next dated lap is due.
  MonotonicTime next_at_;      // No page before this.
  uint64_t malformed_rows_ = 0;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLAIMS_CLAIM_SWEEP_H_
