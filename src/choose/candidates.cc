#include "src/choose/candidates.h"

#include <algorithm>
#include <cmath>

namespace cowsliphill {

namespace {

// Weight of load below the number of slots: prefers the emptier of two servers with a free slot.
constexpr double kIdlePreference = 0.2;
// For an emergency a server that others share must be better by this than a reserved one, as what
// is known of its queue is stale.
constexpr float kSharedPenalty = 1.5F;
// Ratios up to this are taken for noise of the samples.
constexpr double kRatioNoise = 1.5;
// A server that fails part of its requests must not attract work by being quick.
constexpr double kFailurePenalty = 5.0;
// Failure shares up to this don't count, so that a server is tried again once they have faded.
constexpr double kFailureNoise = 0.1;

bool Contains(std::span<const Handle> handles, Handle handle) {
  return std::find(handles.begin(), handles.end(), handle) != handles.end();
}

bool AlreadyConsidered(const PickResult& result, Handle handle) {
  for (size_t i = 0; i < result.count; ++i) {
    if (result.considered[i].server == handle) return true;
  }
  return false;
}

// Whether one of those considered is healthy and expected to have a free slot.
bool HasFreeSlot(const PickResult& result) {
  for (size_t i = 0; i < result.count; ++i) {
    if (result.considered[i].score <= 1.0 + kIdlePreference) return true;
  }
  return false;
}

}  // namespace

ServerLists CandidatePicker::Split(std::span<const Handle> members, bool reserve,
                                   size_t more) const {
  ServerLists lists;
  size_t usable = 0;
  for (const Handle handle : members) {
    const ServerState& server = servers_[handle];
    if (server.listed && !server.leaving.Leaving() && server.circuit.Closed()) ++usable;
  }
  size_t to_reserve = 0;
  if (reserve && usable >= kReserveFrom) {
    const auto n = static_cast<double>(usable);
    const size_t least = std::max<size_t>(1, std::lround(kReservedShare * n));
    const auto most = static_cast<size_t>(kMostReserved * n);
    to_reserve = std::min(least + more, std::max(least, most));
  }
  for (const Handle handle : members) {
    const ServerState& server = servers_[handle];
    if (!server.listed || server.leaving.Leaving()) continue;
    if (!server.circuit.Closed()) {
      lists.ejected.push_back(handle);
    } else if (lists.reserved.size() < to_reserve) {
      lists.reserved.push_back(handle);
    } else {
      lists.general.push_back(handle);
    }
  }
  return lists;
}

size_t CandidatePicker::MostEjected(size_t n) {
  if (n < 2) return 0;
  return std::max<size_t>(1, static_cast<size_t>(kEjectedShare * static_cast<double>(n)));
}

double CandidatePicker::RampShare(const ServerState& server, MonotonicTime now) {
  if (server.ramp_start == MonotonicTime::min()) return 1.0;
  const double passed = std::chrono::duration<double>(now - server.ramp_start).count();
  const double whole = std::chrono::duration<double>(kRamp).count();
  return std::clamp(kRampFloor + (1.0 - kRampFloor) * passed / whole, kRampFloor, 1.0);
}

double CandidatePicker::Score(const ServerState& server, const PickRequest& request,
                              MonotonicTime now) const {
  const double slots = std::max(1U, server.config.slots);
  const double load =
      server.load.Expected(now, request.typical_others, request.half_life, request.report_trust);
  const double queued = std::max(0.0, load + 1.0 - slots) / slots;
  const double idle_part = kIdlePreference * std::min(load, slots) / slots;
  double slowness = std::max(1.0, server.ratio.Value(now) / kRatioNoise);
  if (request.half_life > Duration{}) {
    const double age = std::chrono::duration<double>(server.load.OldestAge(now)).count();
    const double mean = std::chrono::duration<double>(request.half_life).count();
    slowness = std::max(slowness, age / mean / (2 * kRatioNoise));
  }
  const double failures = std::max(0.0, server.circuit.FailureShare(now) - kFailureNoise);
  return slowness * (1.0 + queued + idle_part) * (1.0 + kFailurePenalty * failures);
}

bool CandidatePicker::Usable(const ServerState& server, const PickRequest& request,
                             MonotonicTime now, Random& random) const {
  if (server.shed.Active(now)) return false;
  if (request.request_class == RequestClass::kEmergency) return true;
  const uint32_t slots = std::max(1U, server.config.slots);
  const uint32_t kept = request.one_slot_kept && slots > 1 ? 1 : 0;
  if (server.load.Own() + kept >= slots) return false;
  const double share = RampShare(server, now);
  if (share >= 1.0) return true;
  return std::uniform_real_distribution<double>(0.0, 1.0)(random) < share;
}

void CandidatePicker::Consider(Handle handle, const PickRequest& request, MonotonicTime now,
                               Random& random, PickResult& result) const {
  if (result.count == kMostConsidered || AlreadyConsidered(result, handle)) return;
  const ServerState& server = servers_[handle];
  if (Contains(request.tried, handle) || !Usable(server, request, now, random)) return;
  const auto score = static_cast<float>(Score(server, request, now));
  result.considered[result.count++] = Considered{handle, server.generation, score};
}

void CandidatePicker::Draw(const std::vector<Handle>& from, size_t wanted,
                           const PickRequest& request, MonotonicTime now, Random& random,
                           PickResult& result) const {
  const size_t n = from.size();
  if (n == 0) return;
  const size_t enough = std::min(kMostConsidered, result.count + wanted);
  size_t at = random() % n;
  for (size_t i = 0; i < std::min(n, kMostDraws) && result.count < enough; ++i) {
    Consider(from[at], request, now, random, result);
    // Random while there are many; then every one in turn, so that a usable one is found.
    at = n > kMostDraws ? random() % n : (at + 1) % n;
  }
}

PickResult CandidatePicker::Pick(const ServerLists& lists, const PickRequest& request,
                                 MonotonicTime now, Random& random) const {
  PickResult result;
  const bool emergency = request.request_class == RequestClass::kEmergency;
  if (emergency) Draw(lists.reserved, 2, request, now, random, result);
  const size_t reserved = result.count;
  if (!emergency) {
    for (const Handle handle : request.hot) Consider(handle, request, now, random, result);
  }
  if (!emergency || !HasFreeSlot(result)) {
    Draw(lists.general, emergency ? 2 : kDraws, request, now, random, result);
  }
  if (reserved > 0) {
    for (size_t i = reserved; i < result.count; ++i) result.considered[i].score *= kSharedPenalty;
  }
  if (result.count == 0 && lists.general.empty()) {
    Draw(lists.reserved, kDraws, request, now, random, result);
  }
  const auto begin = result.considered.begin();
  const auto best =
      std::min_element(begin, begin + static_cast<ptrdiff_t>(result.count),
                       [](const auto& a, const auto& b) { return a.score < b.score; });
  if (result.count > 0) result.server = best->server;
  return result;
}

}  // namespace cowsliphill
