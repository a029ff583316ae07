// Spreads the notice that a backend server is leaving: the entry VM that sees it first tells the
// other entry VMs, so that within about 2 s none of them sends the server new work.
//
// LeavingNotices does no I/O. It sends a new notice at once to a few random members, each of which
// forwards it to a few more. For some seconds all members then repeat the notice in rounds. In each
// round every member sends to the member at a given offset after itself in the order of ids; the
// offset is the same for all members and differs from round to round, so each member is sent one
// message per round. A notice expires after its lifetime: by then the backend server's own reports
// or the manifest say that it is leaving, or it serves again.
//
// In all calls, `members` must be the other members in order of id, as Members::Live() returns
// them.
//
// Wire format: MessagePack [version, [[service, backend server, age in ms], ...]].

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
  std::chrono::milliseconds lifetime{30000};       // Age at which a notice expires.
  std::chrono::milliseconds repeat_interval{200};  // Length of a round of repeats.
  // Notices are repeated until the newest one has this age.
  std::chrono::milliseconds repeat_duration{3000};
  uint32_t fanout = 3;                // Members that a new notice is sent to at once.
  uint32_t sends_per_second = 20;     // Limit on messages sent, repeats included.
  uint32_t notices_per_message = 32;  // Maximum per message; the newest are sent.
  uint32_t max_notices = 4096;        // Maximum kept; the oldest are dropped beyond this.
};

struct LeavingNotice {
  ServiceId service;
  BackendServerId server;
  // Time since the first entry VM saw the server leaving.
  std::chrono::milliseconds age{0};
};

// A request of kind kBackendLeaving to send. Its reply is empty, and its failure is ignored.
struct SendNotices {
  Endpoint to;
  std::string payload;
};

class LeavingNotices {
 public:
  LeavingNotices(LeavingNoticesConfig config, EntryVmId self, uint64_t seed)
      : config_(config), self_(std::move(self)), random_(seed) {}

  // Adds a notice. Call it when this entry VM itself sees that the backend server is leaving.
  void ReportLeaving(MonotonicTime now, const ServiceId& service, const BackendServerId& server,
                     const std::vector<Member>& members);
  // Processes a message from another entry VM and returns its notices that are new here. Malformed
  // messages are counted and ignored.
  std::vector<LeavingNotice> Receive(MonotonicTime now, const std::string& payload,
                                     const std::vector<Member>& members);
  // Repeats and expires notices. Must be called a few times per repeat_interval.
  void Tick(MonotonicTime now, const std::vector<Member>& members);

  std::vector<SendNotices> TakeSends() { return std::exchange(sends_, {}); }
  // Returns true if some entry VM saw the backend server leaving within the lifetime.
  bool IsLeaving(const ServiceId& service, const BackendServerId& server) const;
  size_t Size() const { return notices_.size(); }
  uint64_t BadMessages() const { return bad_messages_; }

 private:
  using Key = std::pair<ServiceId, BackendServerId>;

  bool Add(MonotonicTime seen, const Key& key);
  void SendToRandomMembers(MonotonicTime now, const std::vector<Member>& members);
  void SendRepeat(MonotonicTime now, size_t round, const std::vector<Member>& members);
  void SendTo(const Member& member, const std::string& payload);
  std::string Encode(MonotonicTime now) const;
  void RefillSendTokens(MonotonicTime now);

  LeavingNoticesConfig config_;
  EntryVmId self_;
  std::mt19937_64 random_;
  std::map<Key, MonotonicTime> notices_;  // When the first entry VM saw the server leaving.
  std::vector<SendNotices> sends_;
  MonotonicTime next_repeat_;
  MonotonicTime last_refill_;
  double send_tokens_ = 0;  // Token bucket: messages that may be sent now.
  uint64_t bad_messages_ = 0;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_LEAVING_NOTICES_H_
