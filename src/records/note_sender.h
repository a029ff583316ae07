// What an entry VM tells its partner about its open requests, within a byte rate. Pure.
//
// Only requests that are still open after `note_after` get a note, so most requests cost no byte.
// Ended requests that must be kept are noted as well, until their batch is in the object store.
// What exceeds the rate is sent as a bare count. One message at a time is in flight.

#ifndef COWSLIPHILL_RECORDS_NOTE_SENDER_H_
#define COWSLIPHILL_RECORDS_NOTE_SENDER_H_

#include <array>
#include <chrono>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "src/base/clock.h"
#include "src/records/record_codec.h"

namespace cowsliphill {

struct RecordSettings {
  std::chrono::milliseconds note_after{200};       // Requests open longer than this get a note.
  std::chrono::milliseconds note_interval{200};    // Between two messages to the partner.
  uint32_t note_bytes_per_second = 1500;           // To the partner; half of the control budget.
  std::chrono::milliseconds flush_interval{5000};  // Longest wait for a batch.
  size_t batch_records = 1000;                     // Most in one batch.
  size_t pending_limit_bytes = 8 << 20;            // Records waiting for the object store.
  size_t held_limit = 20000;                       // Notes held for other entry VMs.
  std::chrono::milliseconds lifetime{std::chrono::hours(24 * 30)};  // Of stored batches.
};

class NoteSender {
 public:
  explicit NoteSender(const RecordSettings& settings);

  void Opened(RecordNumber number, const RequestRecord& record, MonotonicTime now);
  // With `keep`, the record waits for the object store until Stored.
  void Ended(RecordNumber number, const RequestRecord& record, bool keep);
  void Stored(RecordNumber number);

  // The next message, if one is due. OnReply must follow.
  std::optional<NotesMessage> Collect(MonotonicTime now);
  // With false the message counts as lost; its content is sent again.
  void OnReply(bool applied);
  // Another partner, or the same one without memory: everything is sent again.
  void StartAnew();

  size_t Live() const { return live_.size(); }
  bool Idle() const { return live_.empty() && closed_.empty() && !in_flight_; }
  std::optional<MonotonicTime> NextWake() const;

 private:
  struct Entry {
    RequestRecord record;
    bool ended = false;
    bool noted = false;   // The partner has been told of it, in whatever state.
    bool queued = false;  // In one of the queues below.
  };

  void Refill(MonotonicTime now);
  void QueueAged(MonotonicTime now);
  void Queue(RecordNumber number);
  bool Current(const std::deque<RecordNumber>& queue, RecordNumber number) const;
  bool Afford(size_t bytes);
  void TakeClosed(NotesMessage& message);
  void TakeQueued(std::deque<RecordNumber>& queue, NotesMessage& message);
  void DropStale(std::deque<RecordNumber>& queue);

  RecordSettings settings_;
  std::unordered_map<RecordNumber, Entry> live_;              // Open, or ended and not yet stored.
  std::deque<std::pair<MonotonicTime, RecordNumber>> young_;  // Not yet open for long.
  std::array<std::deque<RecordNumber>, kRequestClassCount> open_queue_;  // To be noted, by class.
  std::deque<RecordNumber> ended_queue_;                                 // To be noted as ended.
  std::set<RecordNumber> closed_;                                        // To be noted as closed.
  std::optional<NotesMessage> in_flight_;
  uint64_t queued_ = 0;        // Entries that wait to be noted.
  uint64_t acknowledged_ = 0;  // Last message that the partner is known to have applied.
  uint64_t sequence_ = 0;      // Of the last message.
  uint64_t told_unnoted_ = 0;  // In the last message.
  double tokens_ = 0;          // Bytes that may be sent now.
  MonotonicTime refilled_;
  MonotonicTime next_;  // No message before this.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_RECORDS_NOTE_SENDER_H_
