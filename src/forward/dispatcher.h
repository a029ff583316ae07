// Connects a pure policy, Chooser or RequestPlanner, to the event loop: delivers the choices of
// waiting requests and runs the policy's timer.

#ifndef COWSLIPHILL_FORWARD_DISPATCHER_H_
#define COWSLIPHILL_FORWARD_DISPATCHER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <unordered_map>
#include <variant>

#include "src/base/clock.h"
#include "src/choose/chooser.h"
#include "src/schedule/request_planner.h"

namespace cowsliphill {

class Dispatcher {
 public:
  using ChoiceCallback = std::function<void(const Choice&)>;  // Gets SendTo or Refuse, never Wait.

  using Policy = std::variant<Chooser*, RequestPlanner*>;

  // The policy outlives the dispatcher.
  Dispatcher(asio::io_context& io, const Clock& clock, Policy policy);

  // Chooses a backend server for a new request. `done` runs at most once: inside the call, or after
  // a wait, unless Finish comes first.
  void Choose(const ChoiceRequest& request, ChoiceCallback done);
  // Chooses a backend server for another attempt. Call it after OnEnded of the previous one.
  void Retry(Ticket ticket, ChoiceCallback done);
  // Chooses a backend server to resume an interrupted response. Call it after OnEnded of the
  // interrupted attempt.
  void Resume(Ticket ticket, ResumeProgress progress, ChoiceCallback done);
  // Chooses a backend server for a second, concurrent attempt if the policy allows one. A policy
  // that has to ask a scheduler first returns nullopt and later passes the server to the callback
  // of SetHedgeAssignedCallback.
  std::optional<SendTo> Hedge(Ticket ticket);
  void SetHedgeAssignedCallback(std::function<void(const SendTo&)> hedge) {
    on_hedge_ = std::move(hedge);
  }
  // Sets the callback for each request that has waited so long for a response that a hedge may
  // help.
  void SetHedgeDueCallback(std::function<void(Ticket)> hedge_due) {
    on_hedge_due_ = std::move(hedge_due);
  }
  // Sets the callback that runs after calls of the policy, so that messages which the policy has
  // queued for other entry VMs can be sent.
  void SetPolicyCalledCallback(std::function<void()> called) {
    on_policy_called_ = std::move(called);
  }
  void OnEnded(Ticket ticket, const BackendServerId& server, const AttemptResult& result);
  // Ends the request. If it is waiting, its callback is dropped.
  void Finish(Ticket ticket);
  // Refuses the requests that are waiting for a server and for which `applies` returns true, as
  // this entry VM is stopping.
  void RefuseWaiting(std::chrono::milliseconds retry_after,
                     const std::function<bool(Ticket)>& applies);
  // Call this after the policy has changed in another way (manifest, report, leaving server). The
  // poll is posted and never runs inside the call, because it may start or end attempts of the
  // request whose event is being handled.
  void PollSoon();

 private:
  template <typename Call>
  auto CallPolicy(Call call) const {
    return std::visit([&call](auto* policy) { return call(*policy); }, policy_);
  }
  void Deliver(Ticket ticket, const Choice& choice, ChoiceCallback done);
  void Poll();
  void ArmTimer();

  asio::io_context& io_;
  const Clock& clock_;
  Policy policy_;
  std::function<void(Ticket)> on_hedge_due_;
  std::function<void(const SendTo&)> on_hedge_;
  std::function<void()> on_policy_called_;
  asio::steady_timer timer_;                            // Runs until the policy's next wake time.
  std::unordered_map<Ticket, ChoiceCallback> waiting_;  // Callbacks of the waiting requests.
  std::optional<MonotonicTime> timer_expiry_;  // When timer_ expires; unset if it does not run.
  bool poll_pending_ = false;                  // Whether a Poll is posted.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_DISPATCHER_H_
