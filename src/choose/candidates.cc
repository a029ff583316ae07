#include "src/choose/candidates.h"

#include <algorithm>
#include <cmath>

namespace cowsliphill {

namespace {

// Increase of the score when all slots of a server are in use, proportionally less when some are
// free, so that the less loaded of two servers with free slots is preferred.
constexpr double kIdlePreference = 0.2;
// Factor by which a general server must score better than a reserved one to get an emergency,
// because the known load of a general server is stale.
constexpr float kGeneralServerPenalty = 1.5F;
// Latency ratios up to this are treated as sampling noise.
constexpr double kMaxNoiseRatio = 1.5;
// Weight of the failure share in the score, so that a server that fails quickly does not attract
// work.
constexpr double kFailurePenalty = 5.0;
// Failure shares up to this are ignored, so that a server is tried again once its failure share has
// decayed.
constexpr double kMaxNoiseFailureShare = 0.1;

bool Contains(std::span<const ServerHandle> handles, ServerHandle handle) {
  return std::find(handles.begin(), handles.end(), handle) != handles.end();
}

bool ContainsCandidate(const PickResult& result, ServerHandle handle) {
  for (size_t i = 0; i < result.count; ++i) {
    if (result.candidates[i].server == handle) return true;
  }
  return false;
}

// Returns whether a candidate is healthy and is expected to have a free slot.
bool HasFreeSlot(const PickResult& result) {
  for (size_t i = 0; i < result.count; ++i) {
    if (result.candidates[i].score <= 1.0 + kIdlePreference) return true;
  }
  return false;
}

}  // namespace

ServerLists CandidatePicker::Split(std::span<const ServerHandle> members, bool reserve,
                                   size_t extra) const {
  ServerLists lists;
  size_t usable = 0;
  for (const ServerHandle handle : members) {
    const ServerState& server = servers_[handle];
    if (server.listed && !server.leaving.Leaving() && server.circuit.Closed()) ++usable;
  }
  size_t to_reserve = 0;
  if (reserve && usable >= kMinUsableServersForReserve) {
    const auto n = static_cast<double>(usable);
    const size_t least = std::max<size_t>(1, std::lround(kReservedShare * n));
    const auto most = static_cast<size_t>(kMaxReservedShare * n);
    to_reserve = std::min(least + extra, std::max(least, most));
  }
  for (const ServerHandle handle : members) {
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

size_t CandidatePicker::MaxEjected(size_t n) {
  if (n < 2) return 0;
  return std::max<size_t>(1, static_cast<size_t>(kMaxEjectedShare * static_cast<double>(n)));
}

double CandidatePicker::RampShare(const ServerState& server, MonotonicTime now) {
  if (server.ramp_start == MonotonicTime::min()) return 1.0;
  const double passed = std::chrono::duration<double>(now - server.ramp_start).count();
  const double whole = std::chrono::duration<double>(kRampDuration).count();
  return std::clamp(kInitialRampShare + (1.0 - kInitialRampShare) * passed / whole,
                    kInitialRampShare, 1.0);
}

double CandidatePicker::Score(const ServerState& server, const PickRequest& request,
                              MonotonicTime now) const {
  const double slots = std::max(1U, server.config.slots);
  const double load = server.load.ExpectedRequests(now, request.mean_other_requests,
                                                   request.mean_latency, request.report_trust);
  const double queued = std::max(0.0, load + 1.0 - slots) / slots;
  const double idle_part = kIdlePreference * std::min(load, slots) / slots;
  double slowness = std::max(1.0, server.ratio.Value(now) / kMaxNoiseRatio);
  if (request.mean_latency > Duration{}) {
    const double age = std::chrono::duration<double>(server.load.OldestRequestAge(now)).count();
    const double mean = std::chrono::duration<double>(request.mean_latency).count();
    slowness = std::max(slowness, age / mean / (2 * kMaxNoiseRatio));
  }
  const double failures = std::max(0.0, server.circuit.FailureShare(now) - kMaxNoiseFailureShare);
  return slowness * (1.0 + queued + idle_part) * (1.0 + kFailurePenalty * failures);
}

bool CandidatePicker::Usable(const ServerState& server, const PickRequest& request,
                             MonotonicTime now, Random& random) const {
  if (server.shed_pause.Active(now)) return false;
  if (request.request_class == RequestClass::kEmergency) return true;
  const uint32_t slots = std::max(1U, server.config.slots);
  const uint32_t kept = request.keep_emergency_slot && slots > 1 ? 1 : 0;
  if (server.load.OwnRequests() + kept >= slots) return false;
  const double share = RampShare(server, now);
  if (share >= 1.0) return true;
  return std::uniform_real_distribution<double>(0.0, 1.0)(random) < share;
}

void CandidatePicker::AddCandidate(ServerHandle handle, const PickRequest& request,
                                   MonotonicTime now, Random& random, PickResult& result) const {
  if (result.count == kMaxCandidates || ContainsCandidate(result, handle)) return;
  const ServerState& server = servers_[handle];
  if (Contains(request.tried, handle) || !Usable(server, request, now, random)) return;
  const auto score = static_cast<float>(Score(server, request, now));
  result.candidates[result.count++] = CandidateScore{handle, server.generation, score};
}

void CandidatePicker::AddSample(const std::vector<ServerHandle>& from, size_t wanted,
                                const PickRequest& request, MonotonicTime now, Random& random,
                                PickResult& result) const {
  const size_t n = from.size();
  if (n == 0) return;
  const size_t enough = std::min(kMaxCandidates, result.count + wanted);
  size_t at = random() % n;
  for (size_t i = 0; i < std::min(n, kMaxDraws) && result.count < enough; ++i) {
    AddCandidate(from[at], request, now, random, result);
    // Small lists are scanned in order from a random start, so that a usable server is found if
    // there is one.
    at = n > kMaxDraws ? random() % n : (at + 1) % n;
  }
}

PickResult CandidatePicker::Pick(const ServerLists& lists, const PickRequest& request,
                                 MonotonicTime now, Random& random) const {
  PickResult result;
  const bool emergency = request.request_class == RequestClass::kEmergency;
  if (emergency) AddSample(lists.reserved, 2, request, now, random, result);
  const size_t reserved = result.count;
  if (!emergency) {
    for (const ServerHandle handle : request.recently_free) {
      AddCandidate(handle, request, now, random, result);
    }
  }
  if (!emergency || !HasFreeSlot(result)) {
    AddSample(lists.general, emergency ? 2 : kSampleSize, request, now, random, result);
  }
  if (reserved > 0) {
    for (size_t i = reserved; i < result.count; ++i) {
      result.candidates[i].score *= kGeneralServerPenalty;
    }
  }
  if (result.count == 0 && lists.general.empty()) {
    AddSample(lists.reserved, kSampleSize, request, now, random, result);
  }
  const auto begin = result.candidates.begin();
  const auto best =
      std::min_element(begin, begin + static_cast<ptrdiff_t>(result.count),
                       [](const auto& a, const auto& b) { return a.score < b.score; });
  if (result.count > 0) result.server = best->server;
  return result;
}

}  // namespace cowsliphill
