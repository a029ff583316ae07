#include "src/records/record_query.h"

#include <algorithm>

namespace cowsliphill {

std::optional<RecordReadError> CheckQuery(const RecordQuery& query, WallTime now) {
  using Kind = RecordReadError::Kind;
  if (query.to < query.from) {
    return RecordReadError{Kind::kInvalidRange, "the time range ends before it starts"};
  }
  if (query.from + query.lifetime < now) {
    return RecordReadError{Kind::kPastLifetime,
                           "the time range starts before the oldest records that are kept"};
  }
  return std::nullopt;
}

bool RecordMerge::IncludesHour(WallTime hour) const {
  using std::chrono::hours;
  return std::chrono::floor<hours>(hour) <= std::chrono::floor<hours>(query_.to);
}

bool RecordMerge::Matches(const RequestRecord& record) const {
  if (!query_.tenant.Empty() && record.tenant != query_.tenant) return false;
  if (!query_.service.Empty() && record.service != query_.service) return false;
  return query_.request.Empty() || record.request == query_.request;
}

void RecordMerge::Add(const std::string& bytes) {
  std::optional<RecordBatch> batch = BatchFromBytes(bytes);
  if (!batch) {
    ++answer_.malformed_batches;
    return;
  }
  for (RequestRecord& it : batch->records) {
    if (Matches(it)) AddRecord(std::move(it), batch->writer);
  }
  answer_.dropped.insert(answer_.dropped.end(), batch->dropped.begin(), batch->dropped.end());
}

void RecordMerge::AddRecord(RequestRecord record, const EntryVmId& writer) {
  const bool self_written = record.entry_vm == writer;
  const std::pair key(record.entry_vm, record.request);
  const auto it = entries_.find(key);
  if (it == entries_.end()) {
    if (entries_.size() >= query_.max_records) {
      ++answer_.left_out;
      return;
    }
    entries_.emplace(key, Entry{std::move(record), self_written});
    return;
  }
  ++answer_.duplicates;
  if (self_written) it->second = Entry{std::move(record), self_written};
}

RecordAnswer RecordMerge::Take() {
  for (auto& [key, entry] : entries_) answer_.records.push_back(std::move(entry.record));
  std::stable_sort(answer_.records.begin(), answer_.records.end(),
                   [](const auto& a, const auto& b) { return a.started < b.started; });
  return std::move(answer_);
}

}  // namespace cowsliphill
