// For tests of this slice: an event loop on virtual time, and a platform client that shares one
// PlatformStore with others and fails at a chosen call in a chosen way.

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

// Runs tasks in the order of their times and moves the clock along.
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
  kLook,    // A transaction that writes nothing, to read what can't be old.
  kCommit,  // Any other transaction.
  kGetObject,
  kPutObject,
  kListObjects,
};

enum class PlatformFault {
  kNone,
  kKillBefore,   // The process dies before the call is sent.
  kKillAfter,    // It dies after the call took effect.
  kPauseBefore,  // It stands still for kPause, then the call is sent.
  kPauseAfter,   // The answer is taken kPause late.
  kCut,          // The call never arrives; its time runs out.
  kSlow,         // Answered just within the time.
  kDown,         // Refused at once, certainly without effect.
  kLostAnswer,   // It took effect; its time runs out.
  kLateEffect,   // Its time runs out, and it takes effect after that.
  kOldRead,      // A plain read answers from the state that KeepOldState kept.
};

class FaultyPlatform {
 public:
  static constexpr std::chrono::milliseconds kLatency{1};
  static constexpr std::chrono::milliseconds kTimeout{1000};
  static constexpr std::chrono::milliseconds kSlowLatency{900};
  static constexpr std::chrono::milliseconds kLateArrival{2500};
  static constexpr std::chrono::milliseconds kPause{30000};

  FaultyPlatform(VirtualLoop& loop, PlatformStore& store) : loop_(loop), store_(store) {}

  // From now on every call fails like this; kNone ends it.
  void Always(PlatformFault fault) { always_ = fault; }
  // The next call of this kind fails like this, if there is one.
  void AtNext(PlatformCall call, PlatformFault fault) { faults_[call] = fault; }
  // Runs as the next call of this kind is made.
  void RunAtNext(PlatformCall call, std::function<void()> task) { tasks_[call] = std::move(task); }
  // Nothing fails any more.
  void Heal() {
    always_ = PlatformFault::kNone;
    faults_.clear();
  }
  // Old reads see the store as it is now.
  void KeepOldState() { old_ = store_; }
  void KeepOldState(PlatformStore old) { old_ = std::move(old); }
  bool Dead() const { return *dead_; }
  void Kill() { *dead_ = true; }
  // The process stands still for kPause; answers that come meanwhile are taken afterwards.
  void Pause() { paused_until_ = loop_.Time().Now() + kPause; }
  bool Paused() const { return loop_.Time().Now() < paused_until_; }
  MonotonicTime PausedUntil() const { return paused_until_; }

  void Get(std::string key, std::function<void(GetResult)> done) {
    Call<GetResult>(
        PlatformCall::kGet, [key](PlatformStore& store) { return GetResult(store.Get(key)); },
        done);
  }
  void Scan(std::string prefix, std::string after, size_t most,
            std::function<void(ScanResult)> done) {
    Call<ScanResult>(
        PlatformCall::kScan,
        [=](PlatformStore& store) { return ScanResult(store.Scan(prefix, after, most)); }, done);
  }
  void Commit(std::vector<ConditionalWrite> writes, std::function<void(CommitResult)> done) {
    const bool writes_nothing = std::all_of(writes.begin(), writes.end(), [](const auto& it) {
      return it.expected_version == 0 && !it.value;
    });
    Call<CommitResult>(
        writes_nothing ? PlatformCall::kLook : PlatformCall::kCommit,
        [writes](PlatformStore& store) {
          return std::visit([](auto outcome) { return CommitResult(std::move(outcome)); },
                            store.Commit(writes));
        },
        done);
  }
  void GetObject(std::string name, std::function<void(ObjectResult)> done) {
    Call<ObjectResult>(
        PlatformCall::kGetObject,
        [name](PlatformStore& store) { return ObjectResult(store.GetObject(name)); }, done);
  }
  void PutIfAbsent(std::string name, std::string bytes, std::function<void(PutObjectResult)> done) {
    Call<PutObjectResult>(
        PlatformCall::kPutObject,
        [=](PlatformStore& store) { return PutObjectResult(store.PutIfAbsent(name, bytes)); },
        done);
  }
  void ListObjects(std::string prefix, std::string after, size_t most,
                   std::function<void(ListResult)> done) {
    Call<ListResult>(
        PlatformCall::kListObjects,
        [=](PlatformStore& store) { return ListResult(store.ListObjects(prefix, after, most)); },
        done);
  }

 private:
  PlatformFault TakeFault(PlatformCall call) {
    const auto task = tasks_.extract(call);
    if (!task.empty()) task.mapped()();
    const auto fault = faults_.extract(call);
    return fault.empty() ? always_ : fault.mapped();
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
  void Call(PlatformCall call, std::function<Answer(PlatformStore&)> effect,
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
      case PlatformFault::kCut:
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
      case PlatformFault::kOldRead:
        return Reply(kLatency, done, effect(old_ && read ? *old_ : store_));
      case PlatformFault::kNone:
        return Reply(kLatency, done, effect(store_));
    }
  }

  VirtualLoop& loop_;
  PlatformStore& store_;
  std::optional<PlatformStore> old_;
  std::shared_ptr<bool> dead_ = std::make_shared<bool>(false);
  PlatformFault always_ = PlatformFault::kNone;
  std::map<PlatformCall, PlatformFault> faults_;
  std::map<PlatformCall, std::function<void()>> tasks_;
  MonotonicTime paused_until_;
};

static_assert(TableClient<FaultyPlatform> && ObjectClient<FaultyPlatform>);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_FAULTY_PLATFORM_H_
