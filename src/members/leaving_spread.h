// Runs LeavingNotices over a peer transport, as messages of kind kBackendLeaving.
//
//   LeavingSpread spread(loop, clock, peer_node, members, seed,
//                        [&](const LeavingNotice& notice) { chooser.OnLeaving(...); });
//   spread.Report(service, server);  // A response or a probe showed that the server is leaving.
//
// Everything runs on the loop's thread.

#ifndef COWSLIPHILL_MEMBERS_LEAVING_SPREAD_H_
#define COWSLIPHILL_MEMBERS_LEAVING_SPREAD_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/members/leaving_notices.h"
#include "src/members/peer.h"
#include "src/members/ticker.h"

namespace cowsliphill {

// `MemberList` must have Self() and Live(), as Members does.
template <PeerTransport Transport, typename MemberList>
class LeavingSpread {
 public:
  using Listener = std::function<void(const LeavingNotice& notice)>;

  // `transport` and `members` must outlive this object. `on_leaving` is called once for each notice
  // from another entry VM that is new here.
  LeavingSpread(asio::io_context& loop, const Clock& clock, Transport& transport,
                const MemberList& members, uint64_t seed, Listener on_leaving)
      : clock_(clock),
        transport_(transport),
        members_(members),
        on_leaving_(std::move(on_leaving)),
        notices_(LeavingNoticesConfig(), members.Self().id, seed),
        ticker_(loop, kTick, [this] {
          notices_.Tick(clock_.Now(), members_.Live());
          Send();
        }) {
    std::weak_ptr<bool> alive = alive_;
    transport_.Handle(MessageKind::kBackendLeaving,
                      [this, alive](const EntryVmId& from, const std::string& payload) {
                        if (!alive.expired()) Receive(payload);
                        return std::string();
                      });
  }

  void Report(const ServiceId& service, const BackendServerId& server) {
    notices_.ReportLeaving(clock_.Now(), service, server, members_.Live());
    Send();
  }

  const LeavingNotices& Notices() const { return notices_; }

 private:
  static constexpr std::chrono::milliseconds kTick{100};

  void Receive(const std::string& payload) {
    for (const LeavingNotice& notice : notices_.Receive(clock_.Now(), payload, members_.Live())) {
      on_leaving_(notice);
    }
    Send();
  }

  void Send() {
    for (SendNotices& send : notices_.TakeSends()) {
      transport_.Request(send.to, MessageKind::kBackendLeaving, std::move(send.payload),
                         [](const Result<std::string, PeerError>&) {});
    }
  }

  const Clock& clock_;
  Transport& transport_;
  const MemberList& members_;
  Listener on_leaving_;
  LeavingNotices notices_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // Expires with this object.
  Ticker ticker_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_LEAVING_SPREAD_H_
