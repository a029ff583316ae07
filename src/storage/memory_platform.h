// In-process platform, for a single entry VM and for tests. Its data is lost when the process ends.

#ifndef COWSLIPHILL_STORAGE_MEMORY_PLATFORM_H_
#define COWSLIPHILL_STORAGE_MEMORY_PLATFORM_H_

#include <map>
#include <string>
#include <vector>

#include "src/storage/platform.h"

namespace cowsliphill {

// In-memory table, objects and VM list with the conditional semantics of platform.h. Synchronous;
// wrapped by MemoryPlatform and by the platform stand-in's server. Not thread-safe.
class MemoryPlatformState {
 public:
  std::optional<Row> Get(const std::string& key) const;
  std::vector<Row> Scan(const std::string& prefix, const std::string& after, size_t limit) const;
  std::variant<Committed, Conflict> Commit(const std::vector<ConditionalWrite>& writes);
  std::optional<std::string> GetObject(const std::string& name) const;
  PutObject PutIfAbsent(const std::string& name, std::string bytes);
  std::vector<std::string> ListObjects(const std::string& prefix, const std::string& after,
                                       size_t limit) const;
  void SetVms(std::vector<ListedVm> vms) { vms_ = std::move(vms); }
  const std::vector<ListedVm>& Vms() const { return vms_; }

 private:
  uint64_t VersionOf(const std::string& key) const;

  std::map<std::string, Row> rows_;             // Rows by key, without deleted ones.
  std::map<std::string, std::string> objects_;  // Contents by name.
  std::vector<ListedVm> vms_;
  uint64_t last_version_ = 0;  // Global counter, so that a version is never reused,
                               // even after a delete.
};

class MemoryPlatform {
 public:
  explicit MemoryPlatform(Executor executor) : executor_(std::move(executor)) {}

  void Get(std::string key, std::function<void(GetResult)> done);
  void Scan(std::string prefix, std::string after, size_t limit,
            std::function<void(ScanResult)> done);
  void Commit(std::vector<ConditionalWrite> writes, std::function<void(CommitResult)> done);
  void GetObject(std::string name, std::function<void(ObjectResult)> done);
  void PutIfAbsent(std::string name, std::string bytes, std::function<void(PutObjectResult)> done);
  void ListObjects(std::string prefix, std::string after, size_t limit,
                   std::function<void(ListResult)> done);
  void ListVms(std::function<void(VmListResult)> done);

  MemoryPlatformState& Store() { return store_; }

 private:
  Executor executor_;
  MemoryPlatformState store_;
};

static_assert(PlatformClient<MemoryPlatform>);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_STORAGE_MEMORY_PLATFORM_H_
