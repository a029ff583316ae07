// Deletes claims past their lifetime: runs ClaimSweep against the platform's table. Call Tick at
// NextWake, or every few seconds.

#ifndef COWSLIPHILL_CLAIMS_CLAIM_SWEEPER_H_
#define COWSLIPHILL_CLAIMS_CLAIM_SWEEPER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "src/claims/claim_sweep.h"
#include "src/storage/platform.h"

namespace cowsliphill {

template <TableClient Table>
class ClaimSweeper {
 public:
  ClaimSweeper(Table& table, const Clock& clock, uint64_t seed, const ClaimSettings& claims = {},
               const SweepSettings& settings = {})
      : table_(table), clock_(clock), sweep_(claims, settings, seed) {}
  ClaimSweeper(const ClaimSweeper&) = delete;
  ClaimSweeper& operator=(const ClaimSweeper&) = delete;

  void Tick() {
    if (call_in_flight_ || clock_.Now() < sweep_.NextPageAt()) return;
    call_in_flight_ = true;
    PageRequest page = sweep_.NextPage();
    table_.Scan(std::move(page.prefix), std::move(page.after), page.max_rows,
                [this, alive = Alive()](const ScanResult& result) {
                  if (!alive.expired()) OnPage(result);
                });
  }

  std::optional<MonotonicTime> NextWake() const {
    if (call_in_flight_) return std::nullopt;
    return sweep_.NextPageAt();
  }

  uint64_t Deleted() const { return deleted_; }
  uint64_t MalformedRows() const { return sweep_.MalformedRows(); }

 private:
  void OnPage(const ScanResult& result) {
    if (!Ok(result)) {
      sweep_.OnFailed(clock_.Now());
      call_in_flight_ = false;
      return;
    }
    const ClockReadings at{clock_.Now(), clock_.WallNow()};
    std::vector<ConditionalWrite> deletes = sweep_.OnPage(ValueOf(result), at);
    if (deletes.empty()) {
      call_in_flight_ = false;
      return;
    }
    const size_t n = deletes.size();
    table_.Commit(std::move(deletes), [this, n, alive = Alive()](const CommitResult& result) {
      if (alive.expired()) return;
      if (std::holds_alternative<Committed>(result)) deleted_ += n;
      // A conflict means that another sweeper deleted some of these rows. Nothing was deleted here;
      // the next pass finds the remaining rows.
      call_in_flight_ = false;
    });
  }

  std::weak_ptr<bool> Alive() const { return alive_; }

  Table& table_;
  const Clock& clock_;
  ClaimSweep sweep_;
  bool call_in_flight_ = false;  // A scan or commit waits for its result.
  uint64_t deleted_ = 0;
  // Expires with this object; callbacks check it before they use `this`.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLAIMS_CLAIM_SWEEPER_H_
