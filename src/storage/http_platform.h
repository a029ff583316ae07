// The platform's services over HTTP. A few worker threads make the blocking calls; answers come
// back on the executor. Never blocks the caller. The wire forms are in docs/DESIGN.md.

#ifndef COWSLIPHILL_STORAGE_HTTP_PLATFORM_H_
#define COWSLIPHILL_STORAGE_HTTP_PLATFORM_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "src/base/clock.h"
#include "src/settings/settings.h"
#include "src/storage/platform.h"

namespace cowsliphill {

// Counts of calls since start.
struct PlatformCounts {
  uint64_t reads = 0;        // Get, Scan, GetObject, ListObjects and ListVms.
  uint64_t writes = 0;       // Commit and PutIfAbsent.
  uint64_t unavailable = 0;  // Ended without effect.
  uint64_t unknown = 0;      // Ended without a word on their effect.
};

class HttpPlatform {
 public:
  HttpPlatform(const Clock& clock, PlatformSettings settings, Executor executor);
  ~HttpPlatform();
  HttpPlatform(const HttpPlatform&) = delete;
  HttpPlatform& operator=(const HttpPlatform&) = delete;

  void Get(std::string key, std::function<void(GetResult)> done);
  void Scan(std::string prefix, std::string after, size_t most,
            std::function<void(ScanResult)> done);
  void Commit(std::vector<ConditionalWrite> writes, std::function<void(CommitResult)> done);
  void GetObject(std::string name, std::function<void(ObjectResult)> done);
  void PutIfAbsent(std::string name, std::string bytes, std::function<void(PutObjectResult)> done);
  void ListObjects(std::string prefix, std::string after, size_t most,
                   std::function<void(ListResult)> done);
  void ListVms(std::function<void(VmListResult)> done);

  PlatformCounts Counts() const;

 private:
  struct Call {
    std::string method;
    std::string path;
    std::string body;
    MonotonicTime queued;
    std::function<void(int status, const std::string& body, const PlatformError& error)> done;
  };
  struct Worker;

  void Enqueue(Call call, bool is_write);
  void Work();
  void Perform(Worker& worker, const Call& call);
  void Deliver(const Call& call, int status, std::string body, PlatformError error);

  const Clock& clock_;
  PlatformSettings settings_;
  Executor executor_;
  std::mutex mutex_;
  std::condition_variable available_;
  std::deque<Call> queue_;  // Up to settings_.queue_limit.
  bool stopping_ = false;
  std::atomic<uint64_t> reads_{0};
  std::atomic<uint64_t> writes_{0};
  std::atomic<uint64_t> unavailable_{0};
  std::atomic<uint64_t> unknown_{0};
  std::vector<std::thread> threads_;  // Last, so that they end before the rest goes.
};

static_assert(PlatformClient<HttpPlatform>);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_STORAGE_HTTP_PLATFORM_H_
