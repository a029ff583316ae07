// The members slice as the rest of the process uses it: runs the membership protocol over a peer
// transport, answers lookups, and tells other slices when members come and go.
//
//   Members members(loop, clock, peer_node, platform, membership_config, self, options);
//   members.Subscribe([](const MemberChange& change) { ... });
//   LookupAnswer answer = members.Lookup({.caller = ip}, manifest.entry.lookup_lifetime);
//
// A graceful stop: SetLeaving(), go on serving for LeaveDelay(lookup_lifetime) and until the last
// request is done, then Depart() and run the loop a little for the farewell to go out.
// Everything runs on the loop's thread.

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
#include "src/members/lookup.h"
#include "src/members/membership.h"
#include "src/members/peer.h"
#include "src/members/ticker.h"
#include "src/storage/platform.h"

namespace cowsliphill {

struct MembersOptions {
  std::chrono::milliseconds tick{100};               // Resolution of the protocol's timers.
  std::chrono::milliseconds vm_list_interval{5000};  // Between readings of the VM list.
  uint64_t seed = 1;                                 // Of the random choices; differs per process.
};

// Longest time until every entry VM has heard of a leaving one.
inline constexpr std::chrono::milliseconds kLeaveSpread{2000};

// How long a leaving entry VM must go on serving new connections: until no caller still holds a
// lookup answer that names it.
inline std::chrono::milliseconds LeaveDelay(std::chrono::milliseconds lookup_lifetime) {
  return kLeaveSpread + lookup_lifetime;
}

template <PeerTransport Transport, VmListClient VmList>
class Members {
 public:
  // `transport` and `vm_list` outlive this object and the callbacks of their pending calls.
  Members(asio::io_context& loop, const Clock& clock, Transport& transport, VmList& vm_list,
          MembershipConfig config, const Member& self, MembersOptions options)
      : clock_(clock),
        transport_(transport),
        vm_list_(vm_list),
        options_(options),
        membership_(std::move(config), self, options.seed, clock.Now()),
        ticker_(loop, options.tick, [this] { Tick(); }) {
    ranked_.push_back(self);
    transport_.Handle(MessageKind::kMembership,
                      [this, alive = Alive()](const EntryVmId& from, const std::string& payload) {
                        if (alive.expired()) return std::string();
                        std::string reply = membership_.Receive(clock_.Now(), from, payload);
                        Act();
                        return reply;
                      });
  }

  // Other members: alive, suspect and leaving ones.
  const std::vector<Member>& Live() const { return live_; }
  Member Self() const { return membership_.Self(); }

  // This entry VM takes no new callers; the others and new lookup answers leave it out at once.
  void SetLeaving() {
    membership_.SetLeaving();
    Refresh();
    Act();
  }
  // This entry VM ends now.
  void Depart() {
    membership_.Depart();
    Act();
  }

  LookupAnswer Lookup(const LookupQuery& query, std::chrono::milliseconds manifest_lifetime) const {
    const bool unsettled = membership_.Unsettled(clock_.Now());
    return {RankEntries(ranked_, membership_.Self().region, query),
            LookupLifetime(manifest_lifetime, unsettled)};
  }

  // `listener` runs on each change, after Live() shows it.
  void Subscribe(std::function<void(const MemberChange&)> listener) {
    listeners_.push_back(std::move(listener));
  }

  // All members and this entry VM.
  const std::vector<Member>& WithSelf() const { return ranked_; }

  const MembershipStats& Stats() const { return membership_.Stats(); }

 private:
  // Callbacks hold this and do nothing once the object is gone.
  std::weak_ptr<bool> Alive() const { return alive_; }

  void Tick() {
    const MonotonicTime now = clock_.Now();
    if (now >= next_vm_list_) {
      next_vm_list_ = now + options_.vm_list_interval;
      ReadVmList();
    }
    membership_.Tick(now);
    Act();
  }

  void ReadVmList() {
    if (reading_vm_list_) return;
    reading_vm_list_ = true;
    vm_list_.ListVms([this, alive = Alive()](const VmListResult& result) {
      if (alive.expired()) return;
      reading_vm_list_ = false;
      if (!Ok(result)) return;  // The last list still serves as a hint.
      std::vector<Endpoint> peers;
      for (const ListedVm& vm : ValueOf(result)) peers.push_back(vm.peer);
      membership_.Listed(std::move(peers));
    });
  }

  void Act() {
    for (MembershipAction& action : membership_.TakeActions()) {
      if (auto* send = std::get_if<SendGossip>(&action)) {
        SendRequest(std::move(*send));
      } else {
        Refresh();
        for (const auto& listener : listeners_) listener(std::get<MemberChange>(action));
      }
    }
  }

  void SendRequest(SendGossip send) {
    transport_.Request(
        send.to, MessageKind::kMembership, std::move(send.payload),
        [this, tag = send.tag, alive = Alive()](const Result<std::string, PeerError>& result) {
          if (alive.expired()) return;
          if (Ok(result)) {
            membership_.Replied(clock_.Now(), tag, ValueOf(result));
          } else {
            membership_.Failed(tag);
          }
          Act();
        });
  }

  void Refresh() {
    live_ = membership_.Live();
    ranked_ = live_;
    ranked_.push_back(membership_.Self());
  }

  const Clock& clock_;
  Transport& transport_;
  VmList& vm_list_;
  MembersOptions options_;
  Membership membership_;
  std::vector<Member> live_;    // As of the last change.
  std::vector<Member> ranked_;  // The same with this entry VM, for lookups.
  std::vector<std::function<void(const MemberChange&)>> listeners_;
  MonotonicTime next_vm_list_;  // Read at the first tick.
  bool reading_vm_list_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // Expires with this object.
  Ticker ticker_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_MEMBERS_H_
