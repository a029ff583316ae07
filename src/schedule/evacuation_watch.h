// What this entry VM knows about evacuated failure domains, for its log lines and its status: since
// when they are evacuated, and which attempts still run there. Pure: no I/O; times are passed in.
//
// A name counts as an evacuation once a server or an entry VM of that failure domain is known, and
// from then on until the operators end it.

#ifndef COWSLIPHILL_SCHEDULE_EVACUATION_WATCH_H_
#define COWSLIPHILL_SCHEDULE_EVACUATION_WATCH_H_

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "src/base/clock.h"
#include "src/manifest/evacuated_domains.h"

namespace cowsliphill {

struct EvacuationEvent {
  enum class Kind {
    kBegun,
    kIdle,  // The last attempt of this entry VM in the failure domain has ended.
    kEnded,
    kUnknownDomain,  // No server or entry VM of a failure domain with this name is known.
  };
  Kind kind = Kind::kBegun;
  FailureDomainId failure_domain;
  size_t running = 0;  // Attempts of this entry VM that run there.
  Duration since{};    // Time since this entry VM learned of it.
};

// An evacuation that has begun and has not ended.
struct EvacuationState {
  FailureDomainId failure_domain;
  size_t running = 0;
  Duration since{};
};

class EvacuationWatch {
 public:
  using AttemptId = uint32_t;

  // Replaces the set of evacuated failure domains.
  void SetDomains(const EvacuatedDomains& domains, MonotonicTime now) {
    for (const auto& [name, it] : evacuations_) {
      if (domains.count(name) > 0 || !it.begun) continue;
      events_.push_back({EvacuationEvent::Kind::kEnded, name, it.running.size(), now - it.since});
    }
    std::erase_if(evacuations_, [&](const auto& it) { return domains.count(it.first) == 0; });
    for (const FailureDomainId& name : domains) {
      evacuations_.try_emplace(name, Evacuation{false, false, now, {}});
    }
    domains_ = domains;
  }

  // Whether an evacuated name is not known as a failure domain yet.
  bool HasUnknown() const {
    for (const auto& [name, it] : evacuations_) {
      if (!it.begun) return true;
    }
    return false;
  }

  // Begins the evacuations that are known now. `running_in` returns the attempts that run in a
  // failure domain.
  template <typename RunningIn>
  void SetKnown(const std::set<FailureDomainId>& known, RunningIn running_in) {
    for (auto& [name, it] : evacuations_) {
      if (it.begun) continue;
      if (known.count(name) == 0) {
        if (std::exchange(it.unknown_reported, true)) continue;
        events_.push_back({EvacuationEvent::Kind::kUnknownDomain, name, 0, {}});
        continue;
      }
      it.begun = true;
      it.running = running_in(name);
      events_.push_back({EvacuationEvent::Kind::kBegun, name, it.running.size(), {}});
      if (it.running.empty()) events_.push_back({EvacuationEvent::Kind::kIdle, name, 0, {}});
    }
  }

  void OnAttemptEnded(AttemptId id, MonotonicTime now) {
    for (auto& [name, it] : evacuations_) {
      if (it.running.erase(id) == 0 || !it.running.empty()) continue;
      events_.push_back({EvacuationEvent::Kind::kIdle, name, 0, now - it.since});
    }
  }

  bool IsEvacuated(const FailureDomainId& domain) const { return domains_.count(domain) > 0; }
  bool Empty() const { return domains_.empty(); }
  std::vector<EvacuationState> States(MonotonicTime now) const {
    std::vector<EvacuationState> states;
    for (const auto& [name, it] : evacuations_) {
      if (it.begun) states.push_back({name, it.running.size(), now - it.since});
    }
    return states;
  }
  std::vector<EvacuationEvent> TakeEvents() { return std::exchange(events_, {}); }

 private:
  struct Evacuation {
    bool begun = false;
    bool unknown_reported = false;
    MonotonicTime since{};  // When this entry VM learned of it.
    std::set<AttemptId> running;
  };

  EvacuatedDomains domains_;
  std::map<FailureDomainId, Evacuation> evacuations_;
  std::vector<EvacuationEvent> events_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_SCHEDULE_EVACUATION_WATCH_H_
