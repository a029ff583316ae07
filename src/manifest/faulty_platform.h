// For tests of this slice: an event loop on virtual time, and a platform client that shares one
// PlatformStore with others and fails at a chosen call in a chosen way.

#ifndef COWSLIPHILL_MANIFEST_FAULTY_PLATFORM_H_
#define COWSLIPHILL_MANIFEST_FAULTY_PLATFORM_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "src/base/clock.h"
#include "src/platform/memory_platform.h"
#include "src/platform/platform.h"

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
  // The call with this number, counted from 1 since now, fails like this.
  void At(int call, PlatformFault fault) { faults_[calls_ + call] = fault; }
  // Runs before that call takes effect.
  void RunBefore(int call, std::function<void()> task) { before_[calls_ + call] = std::move(task); }
  // Old reads see the store as it is now.
  void KeepOldState() { old_ = store_; }
  int Calls() const { return calls_; }
  bool Dead() const { return *dead_; }
  void Kill() { *dead_ = true; }

  void Get(std::string key, std::function<void(GetResult)> done) {
    Call<GetResult>([key](PlatformStore& store) { return GetResult(store.Get(key)); }, done);
  }
  void Scan(std::string prefix, std::string after, size_t most,
            std::function<void(ScanResult)> done) {
    Call<ScanResult>(
        [=](PlatformStore& store) { return ScanResult(store.Scan(prefix, after, most)); }, done);
  }
  void Commit(std::vector<ConditionalWrite> writes, std::function<void(CommitResult)> done) {
    Call<CommitResult>(
        [writes](PlatformStore& store) {
          return std::visit([](auto outcome) { return CommitResult(std::move(outcome)); },
                            store.Commit(writes));
        },
        done, true);
  }
  void GetObject(std::string name, std::function<void(ObjectResult)> done) {
    Call<ObjectResult>([name](PlatformStore& store) { return ObjectResult(store.GetObject(name)); },
                       done);
  }
  void PutIfAbsent(std::string name, std::string bytes, std::function<void(PutObjectResult)> done) {
    Call<PutObjectResult>(
        [=](PlatformStore& store) { return PutObjectResult(store.PutIfAbsent(name, bytes)); }, done,
        true);
  }
  void ListObjects(std::string prefix, std::string after, size_t most,
                   std::function<void(ListResult)> done) {
    Call<ListResult>(
        [=](PlatformStore& store) { return ListResult(store.ListObjects(prefix, after, most)); },
        done);
  }

 private:
  PlatformFault TakeFault() {
    ++calls_;
    const auto before = before_.find(calls_);
    if (before != before_.end()) before->second();
    const auto it = faults_.find(calls_);
    return it == faults_.end() ? always_ : it->second;
  }

  template <typename Answer>
  void Reply(Duration delay, std::function<void(Answer)> done, Answer answer) {
    loop_.After(delay, [dead = dead_, done, answer = std::move(answer)] {
      if (!*dead) done(answer);
    });
  }

  template <typename Answer>
  void Call(std::function<Answer(PlatformStore&)> effect, std::function<void(Answer)> done,
            bool write = false) {
    using Kind = PlatformError::Kind;
    switch (TakeFault()) {
      case PlatformFault::kKillBefore:
        return Kill();
      case PlatformFault::kKillAfter:
        effect(store_);
        return Kill();
      case PlatformFault::kPauseBefore:
        return loop_.After(kPause, [this, effect, done] { Reply(kLatency, done, effect(store_)); });
      case PlatformFault::kPauseAfter:
        return Reply(kPause, done, effect(store_));
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
        return Reply(kLatency, done, effect(old_ && !write ? *old_ : store_));
      case PlatformFault::kNone:
        return Reply(kLatency, done, effect(store_));
    }
  }

  VirtualLoop& loop_;
  PlatformStore& store_;
  std::optional<PlatformStore> old_;
  std::shared_ptr<bool> dead_ = std::make_shared<bool>(false);
  PlatformFault always_ = PlatformFault::kNone;
  std::map<int, PlatformFault> faults_;
  std::map<int, std::function<void()>> before_;
  int calls_ = 0;
};

static_assert(TableClient<FaultyPlatform> && ObjectClient<FaultyPlatform>);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_FAULTY_PLATFORM_H_
