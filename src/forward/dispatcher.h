// Ties a pure policy, Chooser or RequestPlanner, to the loop: hands out the turns of waiting
// requests and keeps its timer.

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
  using ChoiceCallback = std::function<void(const Choice&)>;  // SendTo or Refuse, never Wait.

  using Policy = std::variant<Chooser*, RequestPlanner*>;

  // The policy outlives the dispatcher.
  Dispatcher(asio::io_context& io, const Clock& clock, Policy policy);

  // Chooses for a new request. `done` runs once, now or when its turn has come.
  void Choose(const ChoiceRequest& request, ChoiceCallback done);
  // Another try, after OnEnded.
  void Retry(Ticket ticket, ChoiceCallback done);
  // A server to take up an answer that broke off, after OnEnded.
  void Resume(Ticket ticket, ResumeProgress progress, ChoiceCallback done);
  // A second, concurrent attempt, if affordable. A policy that has to ask others first gives it
  // later, by OnHedge.
  std::optional<SendTo> Hedge(Ticket ticket);
  void OnHedge(std::function<void(const SendTo&)> hedge) { on_hedge_ = std::move(hedge); }
  // Told of each request that has waited so long for an answer that a hedge may help.
  void OnSlow(std::function<void(Ticket)> slow) { on_slow_ = std::move(slow); }
  // Told after each call of the policy, which may have messages for others.
  void OnDecided(std::function<void()> decided) { on_decided_ = std::move(decided); }
  void OnEnded(Ticket ticket, const BackendServerId& server, const AttemptResult& result);
  // The request is over; a wait of it is forgotten.
  void Finish(Ticket ticket);
  // Call after changing the policy by other ways (manifest, reports, leaving). Posted, never run
  // inside the call: a poll may start or end attempts of the request whose event is being handled.
  void PollSoon();

 private:
  template <typename Call>
  auto Ask(Call call) const {
    return std::visit([&call](auto* policy) { return call(*policy); }, policy_);
  }
  void Deliver(Ticket ticket, const Choice& choice, ChoiceCallback done);
  void Poll();
  void ArmTimer();

  asio::io_context& io_;
  const Clock& clock_;
  Policy policy_;
  std::function<void(Ticket)> on_slow_;
  std::function<void(const SendTo&)> on_hedge_;
  std::function<void()> on_decided_;
  asio::steady_timer timer_;                            // Until the policy's next wake.
  std::unordered_map<Ticket, ChoiceCallback> waiting_;  // Requests told to wait.
  std::optional<MonotonicTime> armed_;                  // When timer_ ends.
  bool poll_pending_ = false;                           // A Poll is posted.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_DISPATCHER_H_
