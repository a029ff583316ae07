// Clock interface. Code gets its clock passed in, so that tests can run on virtual time.

#ifndef COWSLIPHILL_BASE_CLOCK_H_
#define COWSLIPHILL_BASE_CLOCK_H_

#include <chrono>
#include <ctime>

namespace cowsliphill {

using Duration = std::chrono::nanoseconds;
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

inline Duration Times(Duration time, double factor) {
  return std::chrono::duration_cast<Duration>(time * factor);
}

// Monotonic time is for ordering and measuring within this process. Wall time is for timestamps.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual MonotonicTime Now() const = 0;  // Never decreases; not comparable between processes.
  virtual WallTime WallNow() const = 0;   // May jump forwards or backwards.
};

class SystemClock : public Clock {
 public:
  // Counts the time for which the machine is suspended, which std::chrono::steady_clock does not:
  // deadlines and ages go on meanwhile.
  MonotonicTime Now() const override {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return MonotonicTime(std::chrono::seconds(time.tv_sec) +
                         std::chrono::nanoseconds(time.tv_nsec));
  }
  WallTime WallNow() const override {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
  }
};

// Clock for tests and benchmarks on virtual time; it changes only by Advance().
class ManualClock : public Clock {
 public:
  MonotonicTime Now() const override { return MonotonicTime(elapsed_); }
  WallTime WallNow() const override {
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(elapsed_));
  }
  void Advance(Duration step) { elapsed_ += step; }

 private:
  Duration elapsed_ = std::chrono::hours(1);
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BASE_CLOCK_H_
