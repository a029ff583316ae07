#include "src/forward/dispatcher.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>
#include <vector>

namespace cowsliphill {

Dispatcher::Dispatcher(asio::io_context& io, const Clock& clock, Policy policy)
    : io_(io), clock_(clock), policy_(policy), timer_(io) {}

void Dispatcher::Choose(const ChoiceRequest& request, ChoiceCallback done) {
  const MonotonicTime now = clock_.Now();
  Deliver(request.ticket, CallPolicy([&](auto& policy) { return policy.Choose(request, now); }),
          std::move(done));
}

void Dispatcher::Retry(Ticket ticket, ChoiceCallback done) {
  const MonotonicTime now = clock_.Now();
  Deliver(ticket, CallPolicy([&](auto& policy) { return policy.Retry(ticket, now); }),
          std::move(done));
}

void Dispatcher::Resume(Ticket ticket, ResumeProgress progress, ChoiceCallback done) {
  const MonotonicTime now = clock_.Now();
  Deliver(ticket, CallPolicy([&](auto& policy) { return policy.Resume(ticket, progress, now); }),
          std::move(done));
}

void Dispatcher::Deliver(Ticket ticket, const Choice& choice, ChoiceCallback done) {
  PollSoon();
  if (on_policy_called_) on_policy_called_();
  if (!std::holds_alternative<Wait>(choice)) return done(choice);
  waiting_[ticket] = std::move(done);
}

std::optional<SendTo> Dispatcher::Hedge(Ticket ticket) {
  return CallPolicy([&](auto& policy) { return policy.Hedge(ticket, clock_.Now()); });
}

void Dispatcher::OnEnded(Ticket ticket, const BackendServerId& server,
                         const AttemptResult& result) {
  CallPolicy([&](auto& policy) { policy.OnEnded(ticket, server, result, clock_.Now()); });
  PollSoon();
  if (on_policy_called_) on_policy_called_();
}

void Dispatcher::Finish(Ticket ticket) {
  waiting_.erase(ticket);
  CallPolicy([&](auto& policy) { policy.Finish(ticket, clock_.Now()); });
  PollSoon();
  if (on_policy_called_) on_policy_called_();
}

void Dispatcher::RefuseWaiting(std::chrono::milliseconds retry_after,
                               const std::function<bool(Ticket)>& applies) {
  // The callbacks call Finish, which changes waiting_.
  std::vector<std::pair<Ticket, ChoiceCallback>> refused;
  for (const auto& [ticket, done] : waiting_) {
    if (applies(ticket)) refused.emplace_back(ticket, done);
  }
  for (const auto& [ticket, done] : refused) waiting_.erase(ticket);
  for (const auto& [ticket, done] : refused) {
    done(Refuse{ticket, RefusalCause::kStopping, retry_after});
  }
}

void Dispatcher::PollSoon() {
  if (poll_pending_) return;
  poll_pending_ = true;
  asio::post(io_, [this] { Poll(); });
}

void Dispatcher::Poll() {
  poll_pending_ = false;
  for (const ReadyChoice& ready :
       CallPolicy([&](auto& policy) { return policy.TakeReady(clock_.Now()); })) {
    const Choice choice =
        std::visit([](const auto& decision) -> Choice { return decision; }, ready);
    const Ticket ticket = std::visit([](const auto& decision) { return decision.ticket; }, ready);
    const auto it = waiting_.find(ticket);
    if (it == waiting_.end()) {
      const auto* hedge = std::get_if<SendTo>(&ready);
      if (hedge != nullptr && on_hedge_) on_hedge_(*hedge);
      continue;
    }
    const ChoiceCallback done = std::move(it->second);
    waiting_.erase(it);
    done(choice);
  }
  for (const Ticket ticket :
       CallPolicy([&](auto& policy) { return policy.HedgeDue(clock_.Now()); })) {
    if (on_hedge_due_) on_hedge_due_(ticket);
  }
  if (on_policy_called_) on_policy_called_();
  ArmTimer();
}

void Dispatcher::ArmTimer() {
  const std::optional<MonotonicTime> wake =
      CallPolicy([](auto& policy) { return policy.NextWake(); });
  if (!wake) return;
  if (timer_expiry_ && *timer_expiry_ <= *wake) return;
  timer_expiry_ = wake;
  timer_.expires_after(std::max<Duration>(*wake - clock_.Now(), Duration{}));
  timer_.async_wait([this](std::error_code ec) {
    if (ec) return;
    timer_expiry_.reset();
    PollSoon();
  });
}

}  // namespace cowsliphill
