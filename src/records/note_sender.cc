#include "src/records/note_sender.h"

#include <algorithm>
#include <utility>

namespace cowsliphill {

namespace {

constexpr size_t kMessageBytes = 24;  // Of a message without notes, and of its frame.
constexpr size_t kClosedBytes = 5;    // Most for one closed number.
constexpr size_t kNoteBytes = 28;     // Of a note without its texts.
constexpr size_t kStaleLimit = 1024;  // Outdated numbers that a queue may hold.
constexpr double kBurstSeconds = 2;   // Of the byte rate that may be saved up.

size_t BytesOf(const RequestRecord& record) {
  return kNoteBytes + record.request.Text().size() + record.tenant.Text().size() +
         record.service.Text().size() + record.backend_server.Text().size() + record.detail.size();
}

}  // namespace

NoteSender::NoteSender(const RecordSettings& settings) : settings_(settings) {}

void NoteSender::Opened(RecordNumber number, const RequestRecord& record, MonotonicTime now) {
  live_.emplace(number, Entry{record});
  young_.emplace_back(now, number);
}

void NoteSender::Ended(RecordNumber number, const RequestRecord& record, bool keep) {
  const auto it = live_.find(number);
  if (it == live_.end()) return;
  if (!keep) return Stored(number);
  if (it->second.queued) --queued_;
  it->second = Entry{record, true, it->second.noted, false};
  Queue(number);
}

void NoteSender::Stored(RecordNumber number) {
  const auto it = live_.find(number);
  if (it == live_.end()) return;
  if (it->second.noted) closed_.insert(number);
  if (it->second.queued) --queued_;
  live_.erase(it);
}

std::optional<NotesMessage> NoteSender::Collect(MonotonicTime now) {
  if (in_flight_ || now < next_) return std::nullopt;
  next_ = now + settings_.note_interval;
  Refill(now);
  QueueAged(now);
  NotesMessage message;
  if (!Afford(kMessageBytes)) return std::nullopt;
  TakeClosed(message);
  for (auto& queue : open_queue_) TakeQueued(queue, message);
  TakeQueued(ended_queue_, message);
  message.unnoted = queued_;
  if (message.records.empty() && message.closed.empty() && message.unnoted == told_unnoted_) {
    tokens_ += kMessageBytes;
    return std::nullopt;
  }
  std::sort(message.records.begin(), message.records.end(),
            [](const auto& a, const auto& b) { return a.number < b.number; });
  message.sequence = ++sequence_;
  message.follows = acknowledged_;
  in_flight_ = message;
  return message;
}

void NoteSender::OnReply(bool applied) {
  if (!in_flight_) return;
  const NotesMessage message = std::move(*in_flight_);
  in_flight_.reset();
  if (applied) {
    told_unnoted_ = message.unnoted;
    acknowledged_ = message.sequence;
    return;
  }
  // The partner may have applied it all the same; the notes stay marked, so that they are closed.
  for (const NumberedRecord& it : message.records) Queue(it.number);
  closed_.insert(message.closed.begin(), message.closed.end());
}

void NoteSender::StartAnew() {
  in_flight_.reset();
  acknowledged_ = 0;
  told_unnoted_ = 0;
  closed_.clear();
  for (auto& [number, it] : live_) {
    if (!it.noted) continue;
    it.noted = false;
    Queue(number);
  }
}

void NoteSender::Refill(MonotonicTime now) {
  const double rate = settings_.note_bytes_per_second;
  const std::chrono::duration<double> passed = now - refilled_;
  tokens_ = std::min(rate * kBurstSeconds, tokens_ + rate * passed.count());
  refilled_ = now;
}

void NoteSender::QueueAged(MonotonicTime now) {
  while (!young_.empty() && young_.front().first + settings_.note_after <= now) {
    const RecordNumber number = young_.front().second;
    young_.pop_front();
    const auto it = live_.find(number);
    if (it != live_.end() && !it->second.ended) Queue(number);
  }
  for (auto& queue : open_queue_) DropStale(queue);
  DropStale(ended_queue_);
}

// Numbers whose requests ended or were stored stay in a queue until it is mostly made of them.
void NoteSender::DropStale(std::deque<RecordNumber>& queue) {
  if (queue.size() < kStaleLimit + 2 * queued_) return;
  std::erase_if(queue, [&](RecordNumber it) { return !Current(queue, it); });
}

bool NoteSender::Current(const std::deque<RecordNumber>& queue, RecordNumber number) const {
  const auto it = live_.find(number);
  if (it == live_.end() || !it->second.queued) return false;
  return it->second.ended == (&queue == &ended_queue_);
}

void NoteSender::Queue(RecordNumber number) {
  const auto it = live_.find(number);
  if (it == live_.end() || it->second.queued) return;
  it->second.queued = true;
  ++queued_;
  if (it->second.ended) {
    ended_queue_.push_back(number);
  } else {
    open_queue_.at(static_cast<size_t>(it->second.record.request_class)).push_back(number);
  }
}

bool NoteSender::Afford(size_t bytes) {
  if (tokens_ < static_cast<double>(bytes)) return false;
  tokens_ -= static_cast<double>(bytes);
  return true;
}

void NoteSender::TakeClosed(NotesMessage& message) {
  while (!closed_.empty() && Afford(kClosedBytes)) {
    message.closed.push_back(*closed_.begin());
    closed_.erase(closed_.begin());
  }
}

void NoteSender::TakeQueued(std::deque<RecordNumber>& queue, NotesMessage& message) {
  while (!queue.empty()) {
    const RecordNumber number = queue.front();
    if (Current(queue, number)) {
      Entry& it = live_.at(number);
      if (!Afford(BytesOf(it.record))) return;
      it.queued = false;
      it.noted = true;
      --queued_;
      message.records.push_back(NumberedRecord{number, it.record});
    }
    queue.pop_front();
  }
}

std::optional<MonotonicTime> NoteSender::NextWake() const {
  if (in_flight_) return std::nullopt;
  if (queued_ != 0 || !closed_.empty() || told_unnoted_ != 0) return next_;
  if (young_.empty()) return std::nullopt;
  return std::max(next_, young_.front().first + settings_.note_after);
}

}  // namespace cowsliphill
