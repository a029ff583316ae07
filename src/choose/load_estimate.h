// How much work one backend server has: our own requests there, counted exactly, plus what the
// other entry VMs have there, known only from reports that are stale when they arrive.

#ifndef COWSLIPHILL_CHOOSE_LOAD_ESTIMATE_H_
#define COWSLIPHILL_CHOOSE_LOAD_ESTIMATE_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "src/base/clock.h"

namespace cowsliphill {

class LoadEstimate {
 public:
  void OnSent(MonotonicTime now) { sent_.push_back(now); }

  // `sent` is the time that was given to OnSent.
  void OnEnded(MonotonicTime sent) {
    const auto it = std::find(sent_.begin(), sent_.end(), sent);
    if (it != sent_.end()) sent_.erase(it);
  }

  // `in_flight` is the server's own count, our requests included.
  void OnReport(uint32_t in_flight, MonotonicTime now) {
    others_ = std::max(0.0, static_cast<double>(in_flight) - Own());
    reported_ = now;
    known_ = true;
  }

  uint32_t Own() const { return static_cast<uint32_t>(sent_.size()); }

  // Requests expected at the server. The reported part decays towards `typical` (what others have
  // at a server of this service on average) and counts half after `half_life`.
  double Expected(MonotonicTime now, double typical, Duration half_life) const {
    if (!known_) return Own() + typical;
    const double age = std::chrono::duration<double>(now - reported_).count();
    const double half = std::chrono::duration<double>(half_life).count();
    const double trust = half / (half + std::max(0.0, age));
    return Own() + trust * others_ + (1.0 - trust) * typical;
  }

  double Others() const { return others_; }

  // Age of our oldest open request there; zero without one.
  Duration OldestAge(MonotonicTime now) const {
    return sent_.empty() ? Duration{} : now - sent_.front();
  }

 private:
  std::vector<MonotonicTime> sent_;  // Of our open requests, oldest first.
  double others_ = 0.0;              // Requests of other entry VMs at the time of the report.
  MonotonicTime reported_;           // When the report came.
  bool known_ = false;               // A report has come.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_LOAD_ESTIMATE_H_
