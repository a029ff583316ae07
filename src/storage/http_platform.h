// Client for the platform's services over HTTP. Worker threads make the blocking calls, so the
// caller never blocks; callbacks run on the executor. docs/DESIGN.md describes the wire format.

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

// Numbers of calls since the client was created.
struct PlatformCounts {
  uint64_t reads = 0;        // Get, Scan, GetObject, ListObjects and ListVms.
  uint64_t writes = 0;       // Commit and PutIfAbsent.
  uint64_t unavailable = 0;  // Calls that failed and had no effect.
  uint64_t unknown = 0;      // Calls that failed and may have had an effect.
};

class HttpPlatform {
 public:
  HttpPlatform(const Clock& clock, PlatformSettings settings, Executor executor);
  ~HttpPlatform();
  HttpPlatform(const HttpPlatform&) = delete;
  HttpPlatform& operator=(const HttpPlatform&) = delete;

  void Get(std::string key, std::function<void(GetResult)> done);
  void Scan(std::string prefix, std::string after, size_t limit,
            std::function<void(ScanResult)> done);
  void Commit(std::vector<ConditionalWrite> writes, std::function<void(CommitResult)> done);
  void GetObject(std::string name, std::function<void(ObjectResult)> done);
  void PutIfAbsent(std::string name, std::string bytes, std::function<void(PutObjectResult)> done);
  void ListObjects(std::string prefix, std::string after, size_t limit,
                   std::function<void(ListResult)> done);
  void ListVms(std::function<void(VmListResult)> done);

  PlatformCounts Counts() const;

 private:
  struct Call {
    std::string method;
    std::string path;
    std::string body;
    MonotonicTime enqueued_at;
    std::function<void(int status, const std::string& body, const PlatformError& error)> done;
  };
  struct Worker;

  void Enqueue(Call call, bool is_write);
  void RunWorker();
  void Perform(Worker& worker, const Call& call);
  void Deliver(const Call& call, int status, std::string body, PlatformError error);

  const Clock& clock_;
  PlatformSettings settings_;
  Executor executor_;
  std::mutex mutex_;
  std::condition_variable call_available_;
  std::deque<Call> queue_;  // Calls waiting for a worker; at most settings_.queue_limit.
  bool stopping_ = false;
  std::atomic<uint64_t> reads_{0};
  std::atomic<uint64_t> writes_{0};
  std::atomic<uint64_t> unavailable_{0};
  std::atomic<uint64_t> unknown_{0};
  std::vector<std::thread> threads_;  // Declared last: the threads use the other members.
};

static_assert(PlatformClient<HttpPlatform>);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_STORAGE_HTTP_PLATFORM_H_
