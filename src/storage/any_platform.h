// Platform client of the kind that the settings select. A single type for all kinds, so that the
// templates that use a platform client are instantiated only once.

#ifndef COWSLIPHILL_STORAGE_ANY_PLATFORM_H_
#define COWSLIPHILL_STORAGE_ANY_PLATFORM_H_

#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/storage/http_platform.h"
#include "src/storage/memory_platform.h"

namespace cowsliphill {

class AnyPlatform {
 public:
  AnyPlatform(const Clock& clock, const PlatformSettings& settings, Executor executor) {
    if (settings.kind == PlatformKind::kMemory) {
      client_ = std::make_unique<MemoryPlatform>(std::move(executor));
    } else {
      client_ = std::make_unique<HttpPlatform>(clock, settings, std::move(executor));
    }
  }

  void Get(std::string key, std::function<void(GetResult)> done) {
    std::visit([&](auto& client) { client->Get(std::move(key), std::move(done)); }, client_);
  }
  void Scan(std::string prefix, std::string after, size_t limit,
            std::function<void(ScanResult)> done) {
    std::visit(
        [&](auto& client) {
          client->Scan(std::move(prefix), std::move(after), limit, std::move(done));
        },
        client_);
  }
  void Commit(std::vector<ConditionalWrite> writes, std::function<void(CommitResult)> done) {
    std::visit([&](auto& client) { client->Commit(std::move(writes), std::move(done)); }, client_);
  }
  void GetObject(std::string name, std::function<void(ObjectResult)> done) {
    std::visit([&](auto& client) { client->GetObject(std::move(name), std::move(done)); }, client_);
  }
  void PutIfAbsent(std::string name, std::string bytes, std::function<void(PutObjectResult)> done) {
    std::visit(
        [&](auto& client) {
          client->PutIfAbsent(std::move(name), std::move(bytes), std::move(done));
        },
        client_);
  }
  void ListObjects(std::string prefix, std::string after, size_t limit,
                   std::function<void(ListResult)> done) {
    std::visit(
        [&](auto& client) {
          client->ListObjects(std::move(prefix), std::move(after), limit, std::move(done));
        },
        client_);
  }
  void ListVms(std::function<void(VmListResult)> done) {
    std::visit([&](auto& client) { client->ListVms(std::move(done)); }, client_);
  }
  PlatformCounts Counts() const {
    const auto* http = std::get_if<std::unique_ptr<HttpPlatform>>(&client_);
    return http != nullptr ? (*http)->Counts() : PlatformCounts{};
  }

 private:
  std::variant<std::unique_ptr<MemoryPlatform>, std::unique_ptr<HttpPlatform>> client_;
};

static_assert(PlatformClient<AnyPlatform>);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_STORAGE_ANY_PLATFORM_H_
