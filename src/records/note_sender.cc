#include "src/records/note_sender.h"

#include <algorithm>
#include <utility>

namespace cowsliphill {

namespace {

// Size of a message without notes, including its frame.
constexpr size_t kMessageOverheadBytes = 24;
// Size of an entry of NotesMessage::closed that is below 2^32.
constexpr size_t kClosedNumberBytes = 5;
constexpr size_t kNoteOverheadBytes = 28;  // Size of a note without its strings.
// Skipped numbers that a queue may hold before it is compacted.
constexpr size_t kMaxStaleEntries = 1024;
constexpr double kBurstSeconds = 2;  // Capacity of the token bucket, in seconds of the byte rate.

size_t EncodedBytes(const RequestRecord& record) {
  return kNoteOverheadBytes + record.request.Text().size() + record.tenant.Text().size() +
         record.service.Text().size() + record.backend_server.Text().size() + record.detail.size();
}

}  // namespace

NoteSender::NoteSender(const RecordSettings& settings) : settings_(settings) {}

void NoteSender::Opened(RecordNumber number, const RequestRecord& record, MonotonicTime now) {
  tracked_.emplace(number, Entry{record});
  recently_opened_.emplace_back(now, number);
}

void NoteSender::Ended(RecordNumber number, const RequestRecord& record, bool keep) {
  const auto it = tracked_.find(number);
  if (it == tracked_.end()) return;
  if (!keep) return Stored(number);
  if (it->second.queued) --queued_count_;
  it->second = Entry{record, true, it->second.noted, false};
  Queue(number);
}

void NoteSender::Stored(RecordNumber number) {
  const auto it = tracked_.find(number);
  if (it == tracked_.end()) return;
  if (it->second.noted) closed_.insert(number);
  if (it->second.queued) --queued_count_;
  tracked_.erase(it);
}

std::optional<NotesMessage> NoteSender::NextMessage(MonotonicTime now) {
  if (in_flight_ || now < next_message_) return std::nullopt;
  next_message_ = now + settings_.note_interval;
  Refill(now);
  QueueLongOpen(now);
  NotesMessage message;
  if (!TakeTokens(kMessageOverheadBytes)) return std::nullopt;
  AppendClosed(message);
  for (auto& queue : open_queue_) AppendQueued(queue, message);
  AppendQueued(ended_queue_, message);
  message.unnoted = queued_count_;
  if (message.records.empty() && message.closed.empty() &&
      message.unnoted == acknowledged_unnoted_) {
    tokens_ += kMessageOverheadBytes;
    return std::nullopt;
  }
  std::sort(message.records.begin(), message.records.end(),
            [](const auto& a, const auto& b) { return a.number < b.number; });
  message.sequence = ++sequence_;
  message.base_sequence = acknowledged_sequence_;
  in_flight_ = message;
  return message;
}

void NoteSender::OnReply(bool applied) {
  if (!in_flight_) return;
  const NotesMessage message = std::move(*in_flight_);
  in_flight_.reset();
  if (applied) {
    acknowledged_unnoted_ = message.unnoted;
    acknowledged_sequence_ = message.sequence;
    return;
  }
  // The partner may have applied the message although its reply was lost. The entries stay marked
  // as noted, so that they are reported as closed later.
  for (const NumberedRecord& it : message.records) Queue(it.number);
  closed_.insert(message.closed.begin(), message.closed.end());
}

void NoteSender::ResendAll() {
  in_flight_.reset();
  acknowledged_sequence_ = 0;
  acknowledged_unnoted_ = 0;
  closed_.clear();
  for (auto& [number, it] : tracked_) {
    if (!it.noted) continue;
    it.noted = false;
    Queue(number);
  }
}

void NoteSender::Refill(MonotonicTime now) {
  const double rate = settings_.note_bytes_per_second;
  const std::chrono::duration<double> passed = now - last_refill_;
  tokens_ = std::min(rate * kBurstSeconds, tokens_ + rate * passed.count());
  last_refill_ = now;
}

void NoteSender::QueueLongOpen(MonotonicTime now) {
  while (!recently_opened_.empty() &&
         recently_opened_.front().first + settings_.note_after <= now) {
    const RecordNumber number = recently_opened_.front().second;
    recently_opened_.pop_front();
    const auto it = tracked_.find(number);
    if (it != tracked_.end() && !it->second.ended) Queue(number);
  }
  for (auto& queue : open_queue_) CompactQueue(queue);
  CompactQueue(ended_queue_);
}

// Removes the numbers of requests that no longer wait in this queue, because they have ended or
// been stored, once they make up more than half of the queue.
void NoteSender::CompactQueue(std::deque<RecordNumber>& queue) {
  if (queue.size() < kMaxStaleEntries + 2 * queued_count_) return;
  std::erase_if(queue, [&](RecordNumber it) { return !IsQueued(queue, it); });
}

bool NoteSender::IsQueued(const std::deque<RecordNumber>& queue, RecordNumber number) const {
  const auto it = tracked_.find(number);
  if (it == tracked_.end() || !it->second.queued) return false;
  return it->second.ended == (&queue == &ended_queue_);
}

void NoteSender::Queue(RecordNumber number) {
  const auto it = tracked_.find(number);
  if (it == tracked_.end() || it->second.queued) return;
  it->second.queued = true;
  ++queued_count_;
  if (it->second.ended) {
    ended_queue_.push_back(number);
  } else {
    open_queue_.at(static_cast<size_t>(it->second.record.request_class)).push_back(number);
  }
}

bool NoteSender::TakeTokens(size_t bytes) {
  if (tokens_ < static_cast<double>(bytes)) return false;
  tokens_ -= static_cast<double>(bytes);
  return true;
}

void NoteSender::AppendClosed(NotesMessage& message) {
  while (!closed_.empty() && TakeTokens(kClosedNumberBytes)) {
    message.closed.push_back(*closed_.begin());
    closed_.erase(closed_.begin());
  }
}

void NoteSender::AppendQueued(std::deque<RecordNumber>& queue, NotesMessage& message) {
  while (!queue.empty()) {
    const RecordNumber number = queue.front();
    if (IsQueued(queue, number)) {
      Entry& it = tracked_.at(number);
      if (!TakeTokens(EncodedBytes(it.record))) return;
      it.queued = false;
      it.noted = true;
      --queued_count_;
      message.records.push_back(NumberedRecord{number, it.record});
    }
    queue.pop_front();
  }
}

std::optional<MonotonicTime> NoteSender::NextWake() const {
  if (in_flight_) return std::nullopt;
  if (queued_count_ != 0 || !closed_.empty() || acknowledged_unnoted_ != 0) return next_message_;
  if (recently_opened_.empty()) return std::nullopt;
  return std::max(next_message_, recently_opened_.front().first + settings_.note_after);
}

}  // namespace cowsliphill
