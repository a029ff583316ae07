// Records on their way to the object store: bounded in memory, cut into batches, each stored
// exactly once. Pure.
//
//   Add ... -> TakeBatch -> (conditional put) -> OnPut
//
// A batch keeps its name and bytes until a put is answered, so that a repeated put whose first
// answer was lost finds itself "already there". What does not fit is dropped, newest first, and the
// next batch says how many of which kind.

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

  // False: there was no room, and the record was counted as dropped.
  bool Add(NumberedRecord record, MonotonicTime now);

  // The put that is due, if any. OnPut must follow before the next one.
  std::optional<BatchPut> TakeBatch(MonotonicTime now, WallTime wall);
  // Gives the numbers that are now stored; nothing after a failure.
  std::vector<RecordNumber> OnPut(bool stored, MonotonicTime now);

  // Makes whatever waits due at once, for a planned stop.
  void FlushNow() { flush_now_ = true; }
  bool Empty() const { return pending_.empty() && dropped_.empty() && !batch_; }

  std::optional<MonotonicTime> NextWake() const;
  size_t Pending() const { return pending_.size(); }
  size_t Bytes() const { return bytes_; }
  uint64_t Dropped() const { return dropped_total_; }
  uint64_t BatchesStored() const { return batches_stored_; }

 private:
  using DropKey = std::tuple<TenantId, ServiceId, RecordCause>;

  void Drop(const RequestRecord& record);
  MonotonicTime DueAt() const;
  void CutBatch(WallTime wall);

  EntryVmId writer_;
  RecordSettings settings_;
  std::mt19937_64 random_;              // For jitter.
  std::deque<NumberedRecord> pending_;  // Oldest first.
  size_t bytes_ = 0;                    // Of pending_.
  std::map<DropKey, uint64_t> dropped_;
  uint64_t dropped_total_ = 0;
  std::optional<BatchPut> batch_;            // Cut, and not known to be stored.
  std::vector<RecordNumber> batch_numbers_;  // Of batch_.
  bool in_flight_ = false;                   // A put of batch_ has no answer yet.
  uint64_t last_sequence_ = 0;               // Of batch_.
  uint64_t batches_stored_ = 0;
  MonotonicTime first_added_;  // Since then something waits.
  MonotonicTime retry_at_;     // After a failure: no put before this.
  Duration back_off_{};        // Last one; zero after success.
  bool flush_now_ = false;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_RECORDS_RECORD_BUFFER_H_
