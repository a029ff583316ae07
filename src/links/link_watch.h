// Which backend servers this entry VM reaches over its own links, and which way to take to a
// server. Pure: no I/O; times and randomness are passed in.
//
// A server that does not answer one entry VM may be down, or the path between the two may be
// broken. So no server is held to be down on the word of one entry VM: after a failure a second way
// is tried, a tunnel through another entry VM. If that reaches the server, its own link is broken
// and the server is bypassed: it is reached through tunnels until direct connections to it work
// again. Then some servers of each service are checked; if all of these have to be bypassed as
// well, and none has answered directly meanwhile, this entry VM has lost its links: all servers are
// reached through tunnels, until they answer directly for a while. An entry VM that has only lost
// the servers of one service or one failure domain keeps its other links.
//
// Links are checked by probes on direct connections; those of bypassed servers too, to find out
// when they are back.
//
//   switch (watch.PathTo(server, now)) ...        // before connecting
//   watch.OnContact(server, now);                 // a response on a direct connection
//   watch.OnFailure(server, now);                 // no direct connection, or no response on one
//   watch.OnTunnel(server, reached, now);         // what a tunnel showed
//   for (const BackendServerId& it : watch.TakeChecks(now)) ...

#ifndef COWSLIPHILL_LINKS_LINK_WATCH_H_
#define COWSLIPHILL_LINKS_LINK_WATCH_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "src/base/clock.h"
#include "src/base/ids.h"

namespace cowsliphill {

enum class ServerPath {
  kDirect,       // Directly; through a tunnel if that takes long or fails.
  kTunnelFirst,  // Through a tunnel; directly if that takes long or fails.
  kTunnel,       // Through a tunnel; directly only if there is none.
};

class LinkWatch {
 public:
  // Number of servers that must have failed, none having answered since, for this entry VM to reach
  // none; fewer if fewer servers are known.
  static constexpr size_t kMinFailedServers = 3;
  // Number of servers that are checked to find out whether all links are lost: at least one of each
  // service, up to the larger number.
  static constexpr size_t kMinSample = 3;
  static constexpr size_t kMaxSample = 8;
  // Shortest time between two such samples.
  static constexpr std::chrono::milliseconds kSampleInterval{1000};
  // A tunnel shows that the link is broken if it reaches the server within this time of the
  // failure.
  static constexpr std::chrono::milliseconds kProofTime{1000};
  // Time after a failure for which a tunnel is tried first.
  static constexpr std::chrono::milliseconds kDoubtTime{2000};
  // Shortest time between two checks, and bypassed servers in each.
  static constexpr std::chrono::milliseconds kCheckInterval{300};
  static constexpr size_t kServersPerCheck = 3;
  // Direct contacts, at least kCheckInterval / 2 apart, after which a server is no longer bypassed.
  static constexpr uint32_t kContactsUntilTrusted = 2;
  // Lost links are back when servers answer directly for this time, and none fails that a tunnel
  // has reached within kAliveTime.
  static constexpr std::chrono::milliseconds kStableTime{1000};
  static constexpr std::chrono::milliseconds kAliveTime{5000};
  // Age of the last contact with any server up to which the links are taken to work.
  static constexpr std::chrono::milliseconds kContactTime{1000};

  explicit LinkWatch(uint64_t seed) : random_(seed) {}

  struct Server {
    BackendServerId id;
    ServiceId service;
  };
  // Replaces the list of servers.
  void SetServers(std::vector<Server> servers);

  // The server has begun to respond on a direct connection. That it accepts one is not enough.
  void OnContact(const BackendServerId& server, MonotonicTime now);
  // The server refused a direct connection, did not accept it in time or did not respond on it.
  void OnFailure(const BackendServerId& server, MonotonicTime now);
  // A tunnel to the server was opened, or the other entry VM did not reach it either.
  void OnTunnel(const BackendServerId& server, bool reached, MonotonicTime now);

  ServerPath PathTo(const BackendServerId& server, MonotonicTime now) const;
  // Whether a direct connection that last received bytes at `last_active` may still work.
  bool MayReuse(const BackendServerId& server, MonotonicTime last_active) const;

  // Servers to probe directly now, to see whether they answer.
  std::vector<BackendServerId> TakeChecks(MonotonicTime now);
  // When to call TakeChecks next; nullopt while nothing is to be checked.
  std::optional<MonotonicTime> NextCheck() const;

  // Other entry VMs reach servers, but this one has lost its links.
  bool LinksLost() const { return lost_since_.has_value(); }
  std::optional<MonotonicTime> LostSince() const { return lost_since_; }
  size_t BypassedServers() const { return bypassed_; }
  // Number of servers that have failed since this entry VM last reached any directly.
  size_t FailedSinceContact() const { return failed_since_contact_.size(); }
  // Whether this entry VM reaches no server directly, although it has tried several: it has lost
  // its links, or the servers are down.
  bool ReachesNone() const {
    const size_t enough = std::min(kMinFailedServers, servers_.size());
    return FailedSinceContact() >= std::max<size_t>(enough, 1);
  }
  // Whether a server that has just failed is likely to be down, because another one has answered a
  // moment ago and no other has failed since.
  bool TrustsFailures(MonotonicTime now) const {
    return !LinksLost() && FailedSinceContact() <= 1 && now - last_contact_ <= kContactTime;
  }
  MonotonicTime LastContact() const { return last_contact_; }

 private:
  struct Link {
    MonotonicTime last_contact{};
    MonotonicTime last_failure{};
    MonotonicTime last_tunnel{};  // When a tunnel last reached the server.
    bool bypassed = false;
    uint32_t contacts = 0;            // While bypassed; see kContactsUntilTrusted.
    MonotonicTime counted_contact{};  // The last one that counted.
    MonotonicTime last_check{};
  };

  static bool Failed(const Link& link) { return link.last_failure > link.last_contact; }
  void Bypass(Link& link, MonotonicTime now);
  void Trust(Link& link);
  void UpdateLost(MonotonicTime now);
  bool IsBypassed(const BackendServerId& server) const;
  std::vector<BackendServerId> OldestBypassed() const;
  std::vector<BackendServerId> Sample();

  std::mt19937_64 random_;
  std::vector<Server> servers_;
  std::unordered_map<BackendServerId, Link> links_;
  MonotonicTime last_contact_{};  // With any server.
  std::unordered_set<BackendServerId> failed_since_contact_;
  size_t bypassed_ = 0;
  bool wants_sample_ = false;  // A server was bypassed: the others are to be checked.
  // The servers that are checked to find out whether all links are lost; empty once one of all has
  // answered.
  std::vector<BackendServerId> sample_;
  MonotonicTime next_sample_{};
  MonotonicTime next_check_{};
  std::optional<MonotonicTime> lost_since_;
  std::optional<MonotonicTime> steady_since_;  // While links are lost: first contact of those that
                                               // no failure has followed.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_LINKS_LINK_WATCH_H_
