// Buffers records for the object store: bounded in memory, grouped into batches that are stored
// exactly once each. Does no I/O; the caller passes the time.
//
//   Add ... -> TakeBatch -> (conditional put) -> OnPut
//
// A batch keeps its name and bytes until a put succeeds, so that a retry after a lost response
// finds the object already there. Records that don't fit into memory are dropped on arrival; the
// next batch contains their counts by tenant, service and cause.

#ifndef COWSLIPHILL_RECORDS_RECORD_BUFFER_H_
#define COWSLIPHILL_RECORDS_RECORD_BUFFER_H_

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "src/base/clock.h"
#include "src/records/note_sender.h"
#include "src/records/record_codec.h"

namespace cowsliphill {

struct BatchPut {
  std::string name;
  std::string bytes;
};

class RecordBuffer {
 public:
  RecordBuffer(EntryVmId writer, const RecordSettings& settings, uint64_t seed);

  // Returns false if the buffer was full and the record was counted as dropped.
  bool Add(NumberedRecord record, MonotonicTime now);

  // Returns the put that is due, if any. OnPut must follow before the next one.
  std::optional<BatchPut> TakeBatch(MonotonicTime now, WallTime wall);
  // Returns the numbers of the records that are now stored; none after a failure.
  std::vector<RecordNumber> OnPut(bool stored, MonotonicTime now);

  // Makes all waiting records due at once, for a planned stop.
  void FlushNow() { flush_now_ = true; }
  bool Empty() const { return pending_.empty() && dropped_.empty() && !batch_; }

  std::optional<MonotonicTime> NextWake() const;
  size_t Pending() const { return pending_.size(); }
  size_t Bytes() const { return bytes_; }
  uint64_t Dropped() const { return dropped_total_; }
  uint64_t BatchesStored() const { return batches_stored_; }

 private:
  using DropKey = std::tuple<TenantId, ServiceId, RecordCause>;

  void CountDropped(const RequestRecord& record);
  MonotonicTime DueAt() const;
  void BuildBatch(WallTime wall);

  EntryVmId writer_;
  RecordSettings settings_;
  std::mt19937_64 random_;               // Chooses the jitter of the backoff.
  std::deque<NumberedRecord> pending_;   // Oldest first.
  size_t bytes_ = 0;                     // Estimated memory of pending_.
  std::map<DropKey, uint64_t> dropped_;  // Records dropped since the last batch was built.
  uint64_t dropped_total_ = 0;
  std::optional<BatchPut> batch_;            // The batch being stored, if any.
  std::vector<RecordNumber> batch_numbers_;  // Numbers of the records in batch_.
  bool in_flight_ = false;                   // A put of batch_ is pending.
  uint64_t last_batch_sequence_ = 0;         // Sequence of the last batch built.
  uint64_t batches_stored_ = 0;
  // A batch that is not full is due flush_interval after this.
  MonotonicTime flush_interval_start_;
  MonotonicTime retry_at_;  // Earliest time of the next put after a failed one.
  Duration backoff_{};      // Backoff after the last failed put; zero after a successful one.
  bool flush_now_ = false;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_RECORDS_RECORD_BUFFER_H_
