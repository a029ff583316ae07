#include "src/measure/zone_prober.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "src/members/election.h"

namespace cowsliphill {

namespace {

uint64_t Weight(const BackendServerId& server, const EntryVmId& member) {
  const uint64_t seed = XXH3_64bits(server.Text().data(), server.Text().size());
  return XXH3_64bits_withSeed(member.Text().data(), member.Text().size(), seed);
}

}  // namespace

ZoneProber::ZoneProber(EntryVmId self) : self_(std::move(self)), members_{{self_, PlaceId()}} {}

void ZoneProber::SetMembers(std::vector<Prober> members) {
  interval_ = members.size() > kManyMembers ? kLongInterval : kInterval;
  KeepFewPerPlace(members);
  const auto same = [](const Prober& a, const Prober& b) { return a.id == b.id; };
  if (std::equal(members.begin(), members.end(), members_.begin(), members_.end(), same)) return;
  members_ = std::move(members);
  Assign();
}

void ZoneProber::SetServers(const std::vector<BackendServer>& servers) {
  servers_.clear();
  for (const BackendServer& server : servers) servers_[server.id] = server.place;
  Assign();
}

void ZoneProber::KeepFewPerPlace(std::vector<Prober>& members) {
  const auto order = [](const Prober& a, const Prober& b) {
    return ElectionOrder(a.id) < ElectionOrder(b.id);
  };
  std::sort(members.begin(), members.end(), order);
  std::map<PlaceId, size_t> kept;
  std::erase_if(members, [&kept](const Prober& m) { return ++kept[m.place] > kProbersPerPlace; });
}

bool ZoneProber::IsOurs(const BackendServerId& server, const PlaceId& place) const {
  const bool has_near = std::any_of(members_.begin(), members_.end(),
                                    [&](const Prober& member) { return member.place == place; });
  const Prober* best = nullptr;
  uint64_t most = 0;
  for (const Prober& member : members_) {
    if (has_near && member.place != place) continue;
    const uint64_t weight = Weight(server, member.id);
    if (best != nullptr && weight <= most) continue;
    best = &member;
    most = weight;
  }
  return best != nullptr && best->id == self_;
}

void ZoneProber::Assign() {
  std::map<BackendServerId, Probed> before = std::exchange(probed_, {});
  for (const auto& [server, place] : servers_) {
    if (!IsOurs(server, place)) continue;
    const auto it = before.find(server);
    probed_[server] = it == before.end() ? Probed{} : it->second;
  }
}

std::vector<BackendServerId> ZoneProber::Due(MonotonicTime now) {
  std::vector<BackendServerId> due;
  for (auto& [server, probed] : probed_) {
    if (probed.open || now < probed.next) continue;
    probed.next = now + interval_;
    probed.open = true;
    due.push_back(server);
  }
  return due;
}

void ZoneProber::OnEnded(const BackendServerId& server) {
  const auto it = probed_.find(server);
  if (it != probed_.end()) it->second.open = false;
}

}  // namespace cowsliphill
