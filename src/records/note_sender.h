// Builds the messages in which an entry VM sends notes of its open requests to its partner, within
// a byte rate. Does no I/O; the caller passes the time.
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
  // Limit on the bytes sent to the partner: half of the 3 KB/s that an entry VM may use for control
  // messages.
  uint32_t note_bytes_per_second = 1500;
  std::chrono::milliseconds flush_interval{5000};  // A batch that is not full is due after this.
  size_t batch_records = 1000;                     // Maximum number of records in a batch.
  size_t pending_limit_bytes = 8 << 20;            // Maximum memory for records not yet in a batch.
  size_t max_held_notes = 20000;  // Maximum number of notes held for other entry VMs.
  std::chrono::milliseconds lifetime{std::chrono::hours(24 * 30)};  // Lifetime of stored batches.
};

class NoteSender {
 public:
  explicit NoteSender(const RecordSettings& settings);

  void Opened(RecordNumber number, const RequestRecord& record, MonotonicTime now);
  // If `keep` is set, the record waits to be stored, and the request is tracked until Stored is
  // called. Otherwise the request is no longer tracked.
  void Ended(RecordNumber number, const RequestRecord& record, bool keep);
  void Stored(RecordNumber number);

  // Returns the next message if one is due; OnReply must follow.
  std::optional<NotesMessage> NextMessage(MonotonicTime now);
  // Ends the wait for the reply to the last message. If `applied` is false, the message counts as
  // lost, and its content is queued again.
  void OnReply(bool applied);
  // Queues all notes for the partner again. Call it when the partner changed or has lost its notes.
  void ResendAll();

  size_t TrackedCount() const { return tracked_.size(); }
  bool Idle() const { return tracked_.empty() && closed_.empty() && !in_flight_; }
  std::optional<MonotonicTime> NextWake() const;

 private:
  struct Entry {
    RequestRecord record;
    bool ended = false;
    // A message since the last ResendAll has a note of this request, so the partner may hold one.
    bool noted = false;
    // The request waits in open_queue_ or ended_queue_ for a note. Numbers of other requests that
    // are left in these queues are skipped.
    bool queued = false;
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
  // Requests that are open, or have ended and wait to be stored.
  std::unordered_map<RecordNumber, Entry> tracked_;
  // Requests opened less than note_after ago, with the time of opening.
  std::deque<std::pair<MonotonicTime, RecordNumber>> recently_opened_;
  // Open requests that wait for a note, by class.
  std::array<std::deque<RecordNumber>, kRequestClassCount> open_queue_;
  std::deque<RecordNumber> ended_queue_;  // Ended requests that wait for a note.
  // Requests whose notes the partner may drop; reported in NotesMessage::closed.
  std::set<RecordNumber> closed_;
  std::optional<NotesMessage> in_flight_;  // The message that waits for its reply, if any.
  uint64_t queued_count_ = 0;              // Entries with `queued` set.
  uint64_t acknowledged_sequence_ = 0;     // Sequence of the last message that the partner applied.
  uint64_t sequence_ = 0;                  // Sequence of the last message built.
  uint64_t acknowledged_unnoted_ = 0;  // `unnoted` of the last message that the partner applied.
  double tokens_ = 0;                  // Token bucket: bytes that may be sent now.
  MonotonicTime last_refill_;
  MonotonicTime next_message_;  // Earliest time of the next message.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_RECORDS_NOTE_SENDER_H_
