#include "src/storage/memory_platform.h"

#include <utility>

namespace cowsliphill {

namespace {

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

uint64_t MemoryPlatformState::VersionOf(const std::string& key) const {
  const auto it = rows_.find(key);
  return it == rows_.end() ? 0 : it->second.version;
}

std::optional<Row> MemoryPlatformState::Get(const std::string& key) const {
  const auto it = rows_.find(key);
  if (it == rows_.end()) return std::nullopt;
  return it->second;
}

std::vector<Row> MemoryPlatformState::Scan(const std::string& prefix, const std::string& after,
                                           size_t limit) const {
  std::vector<Row> found;
  auto it = after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
  for (; it != rows_.end() && found.size() < limit && StartsWith(it->first, prefix); ++it) {
    found.push_back(it->second);
  }
  return found;
}

std::variant<Committed, Conflict> MemoryPlatformState::Commit(
    const std::vector<ConditionalWrite>& writes) {
  Conflict conflict;
  for (const ConditionalWrite& write : writes) {
    if (VersionOf(write.key) == write.expected_version) continue;
    conflict.current.push_back(Get(write.key).value_or(Row{write.key, "", 0}));
  }
  if (!conflict.current.empty()) return conflict;
  Committed committed;
  for (const ConditionalWrite& write : writes) {
    if (!write.value) {
      rows_.erase(write.key);
      committed.versions.push_back(0);
      continue;
    }
    rows_[write.key] = Row{write.key, *write.value, ++last_version_};
    committed.versions.push_back(last_version_);
  }
  return committed;
}

std::optional<std::string> MemoryPlatformState::GetObject(const std::string& name) const {
  const auto it = objects_.find(name);
  if (it == objects_.end()) return std::nullopt;
  return it->second;
}

PutObject MemoryPlatformState::PutIfAbsent(const std::string& name, std::string bytes) {
  const bool stored = objects_.try_emplace(name, std::move(bytes)).second;
  return stored ? PutObject::kStored : PutObject::kAlreadyExists;
}

std::vector<std::string> MemoryPlatformState::ListObjects(const std::string& prefix,
                                                          const std::string& after,
                                                          size_t limit) const {
  std::vector<std::string> names;
  auto it = after < prefix ? objects_.lower_bound(prefix) : objects_.upper_bound(after);
  for (; it != objects_.end() && names.size() < limit && StartsWith(it->first, prefix); ++it) {
    names.push_back(it->first);
  }
  return names;
}

void MemoryPlatform::Get(std::string key, std::function<void(GetResult)> done) {
  executor_([result = GetResult(store_.Get(key)), done = std::move(done)] { done(result); });
}

void MemoryPlatform::Scan(std::string prefix, std::string after, size_t limit,
                          std::function<void(ScanResult)> done) {
  executor_([result = ScanResult(store_.Scan(prefix, after, limit)), done = std::move(done)] {
    done(result);
  });
}

void MemoryPlatform::Commit(std::vector<ConditionalWrite> writes,
                            std::function<void(CommitResult)> done) {
  auto outcome = store_.Commit(writes);
  CommitResult result = Committed{};
  if (std::holds_alternative<Committed>(outcome)) {
    result = std::get<Committed>(std::move(outcome));
  } else {
    result = std::get<Conflict>(std::move(outcome));
  }
  executor_([result = std::move(result), done = std::move(done)] { done(result); });
}

void MemoryPlatform::GetObject(std::string name, std::function<void(ObjectResult)> done) {
  executor_(
      [result = ObjectResult(store_.GetObject(name)), done = std::move(done)] { done(result); });
}

void MemoryPlatform::PutIfAbsent(std::string name, std::string bytes,
                                 std::function<void(PutObjectResult)> done) {
  const PutObject stored = store_.PutIfAbsent(name, std::move(bytes));
  executor_([stored, done = std::move(done)] { done(stored); });
}

void MemoryPlatform::ListObjects(std::string prefix, std::string after, size_t limit,
                                 std::function<void(ListResult)> done) {
  executor_([result = ListResult(store_.ListObjects(prefix, after, limit)),
             done = std::move(done)] { done(result); });
}

void MemoryPlatform::ListVms(std::function<void(VmListResult)> done) {
  executor_([result = VmListResult(store_.Vms()), done = std::move(done)] { done(result); });
}

}  // namespace cowsliphill
