// Builds the messages in which an entry VM sends notes of its open requests to its partner, within
// a byte rate. Pure: no I/O, and the caller passes the time.
//
// Only requests that are still open after `note_after` get a note, so most requests cost no bytes.
// Ended requests that need a record are noted too, until their batch is in the object store.
// Requests beyond the byte rate are reported as a count only. At most one message is in flight.

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
  std::chrono::milliseconds note_after{200};     // Requests open for longer than this get a note.
  std::chrono::milliseconds note_interval{200};  // Minimum time between messages to the partner.
  uint32_t note_bytes_per_second = 1500;  // Byte rate to the partner: half of the control budget.
  std::chrono::milliseconds flush_interval{5000};  // Longest time a record waits for a batch.
  size_t batch_records = 1000;                     // Most records in one batch.
  size_t pending_limit_bytes = 8 << 20;            // Most memory for records not yet in a batch.
  size_t held_limit = 20000;                       // Most notes held for other entry VMs.
  std::chrono::milliseconds lifetime{std::chrono::hours(24 * 30)};  // Lifetime of stored batches.
};

class NoteSender {
 public:
  explicit NoteSender(const RecordSettings& settings);

  void Opened(RecordNumber number, const RequestRecord& record, MonotonicTime now);
  // If `keep` is set, the record needs storing, and the request is tracked until Stored.
  void Ended(RecordNumber number, const RequestRecord& record, bool keep);
  void Stored(RecordNumber number);

  // Returns the next message if one is due; OnReply must follow.
  std::optional<NotesMessage> NextMessage(MonotonicTime now);
  // If not applied, the message counts as lost, and its content is sent again.
  void OnReply(bool applied);
  // Sends all notes again. Call it when the partner changed or has lost its notes.
  void ResendAll();

  size_t TrackedCount() const { return tracked_.size(); }
  bool Idle() const { return tracked_.empty() && closed_.empty() && !in_flight_; }
  std::optional<MonotonicTime> NextWake() const;

 private:
  struct Entry {
    RequestRecord record;
    bool ended = false;
    bool noted = false;   // A message with a note of it, open or ended, was built.
    bool queued = false;  // Its number is in one of the queues below.
  };

  void Refill(MonotonicTime now);
  void QueueLongOpen(MonotonicTime now);
  void Queue(RecordNumber number);
  bool IsQueued(const std::deque<RecordNumber>& queue, RecordNumber number) const;
  bool TakeTokens(size_t bytes);
  void AppendClosed(NotesMessage& message);
  void AppendQueued(std::deque<RecordNumber>& queue, NotesMessage& message);
  void CompactQueue(std::deque<RecordNumber>& queue);

  RecordSettings settings_;
  std::unordered_map<RecordNumber, Entry> tracked_;  // Requests open, or ended and not yet stored.
  // Requests opened less than note_after ago, with the time of opening.
  std::deque<std::pair<MonotonicTime, RecordNumber>> recently_opened_;
  // Open requests to be noted, by class.
  std::array<std::deque<RecordNumber>, kRequestClassCount> open_queue_;
  std::deque<RecordNumber> ended_queue_;  // Requests to be noted as ended.
  std::set<RecordNumber> closed_;         // Requests to be reported as closed.
  std::optional<NotesMessage> in_flight_;
  uint64_t queued_count_ = 0;           // Entries with `queued` set.
  uint64_t acknowledged_sequence_ = 0;  // Sequence of the last message known to be applied.
  uint64_t sequence_ = 0;               // Sequence of the last message.
  uint64_t acknowledged_unnoted_ = 0;   // `unnoted` of the last message applied.
  double tokens_ = 0;                   // Token bucket: bytes that may be sent now.
  MonotonicTime last_refill_;
  MonotonicTime next_message_;  // No message before this time.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_RECORDS_NOTE_SENDER_H_
