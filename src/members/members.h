// Entry VM membership as the rest of the process uses it: runs the membership protocol over a peer
// transport, answers lookups, and notifies listeners when members join, change or leave.
//
//   Members members(loop, clock, peer_node, platform, membership_config, self, options);
//   members.Subscribe([](const std::vector<MemberChange>& changes) { ... });
//   LookupAnswer answer = members.Lookup({.caller = ip}, manifest.entry.lookup_lifetime);
//
// For a graceful stop, call SetLeaving(), keep serving for LeaveDelay(lookup_lifetime) and until
// the last request is done, then call Depart() and run the loop briefly so that the departure
// messages are sent. Everything runs on the loop's thread.

#ifndef COWSLIPHILL_MEMBERS_MEMBERS_H_
#define COWSLIPHILL_MEMBERS_MEMBERS_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/base/wake_timer.h"
#include "src/members/lookup.h"
#include "src/members/membership.h"
#include "src/members/peer.h"
#include "src/storage/platform.h"

namespace cowsliphill {

struct MembersOptions {
  std::chrono::milliseconds vm_list_interval{5000};  // Interval between reads of the VM list.
  uint64_t seed = 1;  // Seeds the random choices; must differ per process.
};

// Shortest time between two updates of the list of members.
inline constexpr std::chrono::milliseconds kMinRefreshInterval{100};

// Upper bound on the time until every entry VM knows that another one is leaving.
inline constexpr std::chrono::milliseconds kLeavePropagationTime{2000};

// How long a leaving entry VM must keep serving new connections: after this time, no caller holds a
// lookup answer that contains it.
inline std::chrono::milliseconds LeaveDelay(std::chrono::milliseconds lookup_lifetime) {
  return kLeavePropagationTime + lookup_lifetime;
}

template <PeerTransport Transport, VmListClient VmListSource>
class Members {
 public:
  // `transport` and `vm_list_source` must outlive this object and the callbacks of their pending
  // calls.
  Members(asio::io_context& loop, const Clock& clock, Transport& transport,
          VmListSource& vm_list_source, MembershipConfig config, const Member& self,
          MembersOptions options)
      : clock_(clock),
        transport_(transport),
        vm_list_source_(vm_list_source),
        options_(options),
        membership_(std::move(config), self, options.seed, clock.Now()),
        timer_(loop, clock, [this] { Tick(); }),
        refresh_timer_(loop, clock, [this] { RefreshIfDue(); }) {
    live_and_self_.push_back(self);
    timer_.WakeBy(clock_.Now());
    transport_.Handle(
        MessageKind::kMembership,
        [this, alive = LifetimeToken()](const EntryVmId& from, const std::string& payload) {
          if (alive.expired()) return std::string();
          std::string reply = membership_.Receive(clock_.Now(), from, payload);
          RunActions();
          return reply;
        });
  }

  // The other live members (alive, suspect or leaving), in order of id.
  const std::vector<Member>& Live() const { return live_; }
  Member Self() const { return membership_.Self(); }

  // Marks this entry VM as leaving, so that it gets no new callers: tells the other members at
  // once, and new lookup answers omit it.
  void SetLeaving() {
    membership_.SetLeaving();
    Refresh();
    RunActions();
  }
  // Tells the other members whether this entry VM has lost its links to the backend servers.
  void SetLinksLost(bool lost) {
    membership_.SetLinksLost(lost);
    Refresh();
    RunActions();
  }
  // Announces that this entry VM stops now.
  void Depart() {
    membership_.Depart();
    RunActions();
  }

  LookupAnswer Lookup(const LookupQuery& query, std::chrono::milliseconds manifest_lifetime) const {
    const bool unstable = membership_.IsUnstable(clock_.Now());
    return {RankEntries(live_and_self_, membership_.Self().region, query),
            LookupLifetime(manifest_lifetime, unstable)};
  }

  // `listener` gets the changes since its last call, after Live() has been updated: at once, but at
  // most once in kMinRefreshInterval. Hundreds of entry VMs that start together would otherwise
  // cause as many updates of the whole list.
  void Subscribe(std::function<void(const std::vector<MemberChange>&)> listener) {
    listeners_.push_back(std::move(listener));
  }

  // The other live members and this entry VM.
  const std::vector<Member>& LiveAndSelf() const { return live_and_self_; }

  const MembershipStats& Stats() const { return membership_.Stats(); }

 private:
  // Callbacks hold this token and do nothing once it has expired with the object.
  std::weak_ptr<bool> LifetimeToken() const { return alive_; }

  void Tick() {
    const MonotonicTime now = clock_.Now();
    if (now >= next_vm_list_) {
      next_vm_list_ = now + options_.vm_list_interval;
      ReadVmList();
    }
    membership_.Tick(now);
    timer_.WakeBy(next_vm_list_);
    RunActions();
  }

  void ReadVmList() {
    if (reading_vm_list_) return;
    reading_vm_list_ = true;
    vm_list_source_.ListVms([this, alive = LifetimeToken()](const VmListResult& result) {
      if (alive.expired()) return;
      reading_vm_list_ = false;
      if (!Ok(result)) return;  // The previous list stays in use; it is only a hint.
      std::vector<Endpoint> peers;
      for (const ListedVm& vm : ValueOf(result)) peers.push_back(vm.peer);
      membership_.SetListedAddresses(std::move(peers));
    });
  }

  void RunActions() {
    for (MembershipAction& action : membership_.TakeActions()) {
      if (auto* send = std::get_if<SendGossip>(&action)) {
        SendRequest(std::move(*send));
      } else {
        changes_.push_back(std::get<MemberChange>(std::move(action)));
      }
    }
    RefreshIfDue();
    if (const auto next = membership_.NextTick(clock_.Now())) timer_.WakeBy(*next);
  }

  void SendRequest(SendGossip send) {
    transport_.Request(send.to, MessageKind::kMembership, std::move(send.payload),
                       [this, tag = send.tag,
                        alive = LifetimeToken()](const Result<std::string, PeerError>& result) {
                         if (alive.expired()) return;
                         if (Ok(result)) {
                           membership_.OnReply(clock_.Now(), tag, ValueOf(result));
                         } else {
                           membership_.OnRequestFailed(tag);
                         }
                         RunActions();
                       });
  }

  void RefreshIfDue() {
    if (changes_.empty()) return;
    const MonotonicTime now = clock_.Now();
    if (now < next_refresh_) return refresh_timer_.WakeBy(next_refresh_);
    next_refresh_ = now + kMinRefreshInterval;
    Refresh();
    const std::vector<MemberChange> changes = std::exchange(changes_, {});
    for (const auto& listener : listeners_) listener(changes);
  }

  void Refresh() {
    live_ = membership_.Live();
    live_and_self_ = live_;
    live_and_self_.push_back(membership_.Self());
  }

  const Clock& clock_;
  Transport& transport_;
  VmListSource& vm_list_source_;
  MembersOptions options_;
  Membership membership_;
  std::vector<Member> live_;           // Other live members as of the last change.
  std::vector<Member> live_and_self_;  // live_ and this entry VM, for lookups.
  std::vector<MemberChange> changes_;  // Since the listeners were last called.
  MonotonicTime next_refresh_{};       // Earliest time of the next call of the listeners.
  std::vector<std::function<void(const std::vector<MemberChange>&)>> listeners_;
  MonotonicTime next_vm_list_;  // When the VM list is read next; at once on the first tick.
  bool reading_vm_list_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // Expires with this object.
  WakeTimer timer_;
  WakeTimer refresh_timer_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_MEMBERS_H_
