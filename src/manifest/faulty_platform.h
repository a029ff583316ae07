// Test support: an event loop on virtual time, and a platform client that injects a chosen fault at
// a chosen call. Several clients share one MemoryPlatformState.

#ifndef COWSLIPHILL_MANIFEST_FAULTY_PLATFORM_H_
#define COWSLIPHILL_MANIFEST_FAULTY_PLATFORM_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "src/base/clock.h"
#include "src/storage/memory_platform.h"
#include "src/storage/platform.h"

namespace cowsliphill {

// Runs tasks in the order of their due times and advances the clock to each.
class VirtualLoop {
 public:
  void After(Duration delay, std::function<void()> task) {
    tasks_.emplace(clock_.Now() + delay, std::move(task));
  }
  Executor Post() {
    return [this](std::function<void()> task) { After(Duration(0), std::move(task)); };
  }
  void RunFor(Duration span) {
    const MonotonicTime end = clock_.Now() + span;
    while (!tasks_.empty() && tasks_.begin()->first <= end) {
      auto task = std::move(tasks_.begin()->second);
      clock_.Advance(tasks_.begin()->first - clock_.Now());
      tasks_.erase(tasks_.begin());
      task();
    }
    clock_.Advance(end - clock_.Now());
  }
  const Clock& Time() const { return clock_; }

 private:
  ManualClock clock_;
  std::multimap<MonotonicTime, std::function<void()>> tasks_;
};

enum class PlatformCall {
  kGet,
  kScan,
  kConsistentRead,  // A transaction that writes nothing and reads the present state.
  kCommit,          // Any other transaction.
  kGetObject,
  kPutObject,
  kListObjects,
};

enum class PlatformFault {
  kNone,
  kKillBefore,   // The process dies before the call is sent.
  kKillAfter,    // The process dies after the call took effect.
  kPauseBefore,  // The process pauses for kPause, then the call is sent.
  kPauseAfter,   // The process pauses for kPause and receives the answer afterwards.
  kLostRequest,  // The call never arrives and times out.
  kSlow,         // The answer arrives just before the timeout.
  kDown,         // The call is refused at once and has no effect.
  kLostAnswer,   // The call takes effect, but its answer is lost and it times out.
  kLateEffect,   // The call times out and takes effect after that.
  kStaleRead,    // A plain read returns the state saved by KeepStaleState.
};

class FaultyPlatform {
 public:
  static constexpr std::chrono::milliseconds kLatency{1};
  static constexpr std::chrono::milliseconds kTimeout{1000};
  static constexpr std::chrono::milliseconds kSlowLatency{900};
  static constexpr std::chrono::milliseconds kLateArrival{2500};
  static constexpr std::chrono::milliseconds kPause{30000};

  FaultyPlatform(VirtualLoop& loop, MemoryPlatformState& store) : loop_(loop), store_(store) {}

  // Injects the fault into every call from now on; kNone ends it.
  void FailAll(PlatformFault fault) { default_fault_ = fault; }
  // Injects the fault into the next call of this kind.
  void FailNext(PlatformCall call, PlatformFault fault) { faults_[call] = fault; }
  // Runs the task when the next call of this kind is made.
  void RunBeforeNext(PlatformCall call, std::function<void()> task) {
    tasks_[call] = std::move(task);
  }
  // Cancels all injected faults.
  void ClearFaults() {
    default_fault_ = PlatformFault::kNone;
    faults_.clear();
  }
  // Saves the present state of the store for kStaleRead.
  void KeepStaleState() { stale_state_ = store_; }
  void KeepStaleState(MemoryPlatformState old) { stale_state_ = std::move(old); }
  bool Dead() const { return *dead_; }
  void Kill() { *dead_ = true; }
  // Pauses the process for kPause; answers that arrive meanwhile are delivered afterwards.
  void Pause() { paused_until_ = loop_.Time().Now() + kPause; }
  bool Paused() const { return loop_.Time().Now() < paused_until_; }
  MonotonicTime PausedUntil() const { return paused_until_; }

  void Get(std::string key, std::function<void(GetResult)> done) {
    Call<GetResult>(
        PlatformCall::kGet, [key](MemoryPlatformState& store) { return GetResult(store.Get(key)); },
        done);
  }
  void Scan(std::string prefix, std::string after, size_t max_results,
            std::function<void(ScanResult)> done) {
    Call<ScanResult>(
        PlatformCall::kScan,
        [=](MemoryPlatformState& store) {
          return ScanResult(store.Scan(prefix, after, max_results));
        },
        done);
  }
  void Commit(std::vector<ConditionalWrite> writes, std::function<void(CommitResult)> done) {
    const bool writes_nothing = std::all_of(writes.begin(), writes.end(), [](const auto& it) {
      return it.expected_version == 0 && !it.value;
    });
    Call<CommitResult>(
        writes_nothing ? PlatformCall::kConsistentRead : PlatformCall::kCommit,
        [writes](MemoryPlatformState& store) {
          return std::visit([](auto outcome) { return CommitResult(std::move(outcome)); },
                            store.Commit(writes));
        },
        done);
  }
  void GetObject(std::string name, std::function<void(ObjectResult)> done) {
    Call<ObjectResult>(
        PlatformCall::kGetObject,
        [name](MemoryPlatformState& store) { return ObjectResult(store.GetObject(name)); }, done);
  }
  void PutIfAbsent(std::string name, std::string bytes, std::function<void(PutObjectResult)> done) {
    Call<PutObjectResult>(
        PlatformCall::kPutObject,
        [=](MemoryPlatformState& store) { return PutObjectResult(store.PutIfAbsent(name, bytes)); },
        done);
  }
  void ListObjects(std::string prefix, std::string after, size_t max_results,
                   std::function<void(ListResult)> done) {
    Call<ListResult>(
        PlatformCall::kListObjects,
        [=](MemoryPlatformState& store) {
          return ListResult(store.ListObjects(prefix, after, max_results));
        },
        done);
  }

 private:
  PlatformFault TakeFault(PlatformCall call) {
    const auto task = tasks_.extract(call);
    if (!task.empty()) task.mapped()();
    const auto fault = faults_.extract(call);
    return fault.empty() ? default_fault_ : fault.mapped();
  }

  template <typename Answer>
  void Reply(Duration delay, std::function<void(Answer)> done, Answer answer) {
    loop_.After(delay, [this, done, answer = std::move(answer)] {
      if (*dead_) return;
      if (!Paused()) return done(answer);
      Reply(paused_until_ - loop_.Time().Now(), done, answer);
    });
  }

  template <typename Answer>
  void Call(PlatformCall call, std::function<Answer(MemoryPlatformState&)> effect,
            std::function<void(Answer)> done) {
    using Kind = PlatformError::Kind;
    const bool read = call == PlatformCall::kGet || call == PlatformCall::kScan ||
                      call == PlatformCall::kGetObject;
    switch (TakeFault(call)) {
      case PlatformFault::kKillBefore:
        return Kill();
      case PlatformFault::kKillAfter:
        effect(store_);
        return Kill();
      case PlatformFault::kPauseBefore:
        Pause();
        return loop_.After(kPause, [this, effect, done] { Reply(kLatency, done, effect(store_)); });
      case PlatformFault::kPauseAfter:
        Pause();
        return Reply(kLatency, done, effect(store_));
      case PlatformFault::kLostRequest:
        return Reply(kTimeout, done, Answer(PlatformError{Kind::kUnknown, "cut"}));
      case PlatformFault::kSlow:
        return Reply(kSlowLatency, done, effect(store_));
      case PlatformFault::kDown:
        return Reply(kLatency, done, Answer(PlatformError{Kind::kUnavailable, "down"}));
      case PlatformFault::kLostAnswer:
        effect(store_);
        return Reply(kTimeout, done, Answer(PlatformError{Kind::kUnknown, "lost"}));
      case PlatformFault::kLateEffect:
        loop_.After(kLateArrival, [this, effect] { effect(store_); });
        return Reply(kTimeout, done, Answer(PlatformError{Kind::kUnknown, "late"}));
      case PlatformFault::kStaleRead:
        return Reply(kLatency, done, effect(stale_state_ && read ? *stale_state_ : store_));
      case PlatformFault::kNone:
        return Reply(kLatency, done, effect(store_));
    }
  }

  VirtualLoop& loop_;
  MemoryPlatformState& store_;
  std::optional<MemoryPlatformState> stale_state_;
  std::shared_ptr<bool> dead_ = std::make_shared<bool>(false);
  PlatformFault default_fault_ = PlatformFault::kNone;
  std::map<PlatformCall, PlatformFault> faults_;
  std::map<PlatformCall, std::function<void()>> tasks_;
  MonotonicTime paused_until_;
};

static_assert(TableClient<FaultyPlatform> && ObjectClient<FaultyPlatform>);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_FAULTY_PLATFORM_H_
