// Finds claims past their lifetime and sets the pace at which the table is scanned for them. Does
// no I/O.
//
// Rows of dated keys sort by the hour of the key's timestamp, so a pass over them reads only the
// old ones; one pass is due every dated_pass_interval. Between these passes, a second cursor cycles
// through the rows of undated keys, which are not ordered by time. Every entry VM sweeps; deletes
// are conditional, so concurrent sweepers are safe.

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
  size_t page_rows = 16;                                 // Rows read per scan.
  uint32_t bytes_per_second = 1000;                      // Average rate of reading rows.
  std::chrono::milliseconds dated_pass_interval{60000};  // Mean time between dated passes.
};

struct PageRequest {
  std::string prefix;
  std::string after;
  size_t max_rows = 0;
};

class ClaimSweep {
 public:
  ClaimSweep(const ClaimSettings& claims, const SweepSettings& settings, uint64_t seed);

  PageRequest NextPage() const;
  // Returns the deletes to commit and moves on to the next page.
  std::vector<ConditionalWrite> OnPage(const std::vector<Row>& rows, ClockReadings at);
  void OnFailed(MonotonicTime now);

  MonotonicTime NextPageAt() const { return next_page_at_; }
  uint64_t MalformedRows() const { return malformed_rows_; }

 private:
  void AdvanceDatedCursor(const std::vector<Row>& rows, ClockReadings at);
  void AdvanceUndatedCursor(const std::vector<Row>& rows, MonotonicTime now);
  Duration JitteredInterval();
  std::string RandomHash();

  ClaimSettings claims_;
  SweepSettings settings_;
  std::mt19937_64 random_;
  bool next_page_dated_ = true;    // The next page belongs to the dated pass.
  std::string dated_after_;        // Last key read in the dated pass; empty: from the start.
  std::string oldest_hour_;        // Key prefix of the hour of the first dated row.
  std::string undated_after_;      // Last key read among the undated rows.
  MonotonicTime next_dated_pass_;  // When the next dated pass is due.
  MonotonicTime next_page_at_;     // Earliest time to read the next page.
  uint64_t malformed_rows_ = 0;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLAIMS_CLAIM_SWEEP_H_
