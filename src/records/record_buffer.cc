#include "src/records/record_buffer.h"

#include <algorithm>
#include <utility>

namespace cowsliphill {

namespace {

constexpr Duration kMinBackoff = std::chrono::milliseconds(500);
constexpr Duration kMaxBackoff = std::chrono::seconds(30);
// Maximum number of keys whose drops are counted separately; those of others are summed per cause.
constexpr size_t kMaxDropKeys = 256;

size_t MemoryBytes(const RequestRecord& record) {
  return sizeof(NumberedRecord) + record.request.Text().size() + record.tenant.Text().size() +
         record.service.Text().size() + record.entry_vm.Text().size() +
         record.backend_server.Text().size() + record.detail.size();
}

}  // namespace

RecordBuffer::RecordBuffer(EntryVmId writer, const RecordSettings& settings, uint64_t seed)
    : writer_(std::move(writer)), settings_(settings), random_(seed) {}

bool RecordBuffer::Add(NumberedRecord record, MonotonicTime now) {
  if (pending_.empty() && dropped_.empty()) flush_interval_start_ = now;
  const size_t n = MemoryBytes(record.record);
  if (bytes_ + n > settings_.pending_limit_bytes) {
    CountDropped(record.record);
    return false;
  }
  bytes_ += n;
  pending_.push_back(std::move(record));
  return true;
}

void RecordBuffer::CountDropped(const RequestRecord& record) {
  ++dropped_total_;
  DropKey key(record.tenant, record.service, record.cause);
  const bool known = dropped_.count(key) != 0;
  if (!known && dropped_.size() >= kMaxDropKeys) key = DropKey({}, {}, record.cause);
  ++dropped_[key];
}

MonotonicTime RecordBuffer::DueAt() const {
  if (batch_) return retry_at_;
  const bool full = flush_now_ || pending_.size() >= settings_.batch_records;
  const MonotonicTime due =
      full ? flush_interval_start_ : flush_interval_start_ + settings_.flush_interval;
  return std::max(due, retry_at_);
}

std::optional<BatchPut> RecordBuffer::TakeBatch(MonotonicTime now, WallTime wall) {
  if (in_flight_ || Empty() || now < DueAt()) return std::nullopt;
  if (!batch_) BuildBatch(wall);
  in_flight_ = true;
  return batch_;
}

void RecordBuffer::BuildBatch(WallTime wall) {
  RecordBatch batch;
  batch.writer = writer_;
  batch.sequence = ++last_batch_sequence_;
  batch_numbers_.clear();
  while (!pending_.empty() && batch.records.size() < settings_.batch_records) {
    NumberedRecord it = std::move(pending_.front());
    pending_.pop_front();
    bytes_ -= MemoryBytes(it.record);
    batch_numbers_.push_back(it.number);
    batch.records.push_back(std::move(it.record));
  }
  for (const auto& [key, count] : dropped_) {
    const auto& [tenant, service, cause] = key;
    batch.dropped.push_back(DroppedRecords{tenant, service, cause, count});
  }
  dropped_.clear();
  batch_ = BatchPut{BatchName(wall, writer_, batch.sequence), ToBytes(batch)};
}

std::vector<RecordNumber> RecordBuffer::OnPut(bool stored, MonotonicTime now) {
  in_flight_ = false;
  if (!stored) {
    backoff_ = std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
    std::uniform_int_distribution<int64_t> jitter(0, backoff_.count() / 2);
    retry_at_ = now + backoff_ / 2 + Duration(jitter(random_));
    return {};
  }
  backoff_ = Duration::zero();
  batch_.reset();
  flush_interval_start_ = now;
  ++batches_stored_;
  return std::exchange(batch_numbers_, {});
}

std::optional<MonotonicTime> RecordBuffer::NextWake() const {
  if (in_flight_ || Empty()) return std::nullopt;
  return DueAt();
}

}  // namespace cowsliphill
