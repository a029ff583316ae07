// Notices that a backend server is leaving, spread among the entry VMs: the one that saw it first
// tells the others, so that the server gets no new work from any of them within about 2 s.
//
// Pure. A notice goes at once to a few members, each of which passes a new notice on to a few
// more. In the seconds after, everyone repeats it in rounds; in each round the members tell each
// other around a ring of another width, so each of them is told once a round. A notice is forgotten
// after its lifetime: by then the backend server's own reports or the manifest say the same, or it
// serves again.
//
// One binary form: MessagePack [version, [[service, backend server, age in ms], ...]].

#ifndef COWSLIPHILL_MEMBERS_LEAVING_NOTICES_H_
#define COWSLIPHILL_MEMBERS_LEAVING_NOTICES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/members/peer.h"

namespace cowsliphill {

struct LeavingNoticesConfig {
  std::chrono::milliseconds lifetime{30000};       // From the first sight to forgetting.
  std::chrono::milliseconds repeat_interval{200};  // Between repeats, to one member each.
  std::chrono::milliseconds repeat_time{3000};     // How long a notice is repeated.
  uint32_t fanout = 3;                             // Members told at once of a new notice.
  uint32_t sends_per_second = 20;                  // Bound on messages sent, repeats included.
  uint32_t notices_per_message = 32;               // The freshest go first.
  uint32_t max_notices = 4096;                     // Kept; the oldest are forgotten beyond this.
};

struct LeavingNotice {
  ServiceId service;
  BackendServerId server;
  std::chrono::milliseconds age{0};  // Since an entry VM saw it itself.
};

// Sends a request of kind kBackendLeaving; its answer is empty and its failure of no matter.
struct SendNotices {
  Endpoint to;
  std::string payload;
};

class LeavingNotices {
 public:
  LeavingNotices(LeavingNoticesConfig config, EntryVmId self, uint64_t seed)
      : config_(config), self_(std::move(self)), random_(seed) {}

  // `members` are always the other members in order of id, as Members::Live() gives them.

  // This entry VM saw the backend server say that it is leaving.
  void Seen(MonotonicTime now, const ServiceId& service, const BackendServerId& server,
            const std::vector<Member>& members);
  // A message from another entry VM; gives the notices that are new here. Malformed ones are
  // counted and give nothing.
  std::vector<LeavingNotice> Receive(MonotonicTime now, const std::string& payload,
                                     const std::vector<Member>& members);
  // Repeats and forgets. To be called a few times per repeat_interval.
  void Tick(MonotonicTime now, const std::vector<Member>& members);

  std::vector<SendNotices> TakeSends() { return std::exchange(sends_, {}); }
  // The backend server was seen leaving by some entry VM within the lifetime.
  bool IsLeaving(const ServiceId& service, const BackendServerId& server) const;
  size_t Size() const { return notices_.size(); }
  uint64_t BadMessages() const { return bad_messages_; }

 private:
  using Key = std::pair<ServiceId, BackendServerId>;

  bool Add(MonotonicTime seen, const Key& key);
  void TellSome(MonotonicTime now, const std::vector<Member>& members);
  void TellNextOnRing(MonotonicTime now, size_t round, const std::vector<Member>& members);
  void Tell(const Member& member, const std::string& payload);
  std::string Encode(MonotonicTime now) const;
  void RefillBudget(MonotonicTime now);

  LeavingNoticesConfig config_;
  EntryVmId self_;
  std::mt19937_64 random_;
  std::map<Key, MonotonicTime> notices_;  // When first seen by any entry VM.
  std::vector<SendNotices> sends_;
  MonotonicTime next_repeat_;
  MonotonicTime last_refill_;
  double budget_ = 0;  // Messages that may be sent now.
  uint64_t bad_messages_ = 0;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_LEAVING_NOTICES_H_
