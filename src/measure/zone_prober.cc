#include "src/measure/zone_prober.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cowsliphill {

namespace {

uint64_t Weight(const BackendServerId& server, const EntryVmId& member) {
  const uint64_t seed = XXH3_64bits(server.Text().data(), server.Text().size());
  return XXH3_64bits_withSeed(member.Text().data(), member.Text().size(), seed);
}

}  // namespace

ZoneProber::ZoneProber(EntryVmId self) : self_(std::move(self)), members_{self_} {}

void ZoneProber::SetMembers(std::vector<EntryVmId> members) {
  members_ = std::move(members);
  Assign();
}

void ZoneProber::SetServers(const std::vector<BackendServer>& servers) {
  servers_.clear();
  for (const BackendServer& server : servers) servers_.push_back(server.id);
  Assign();
}

void ZoneProber::Assign() {
  std::map<BackendServerId, Probed> before = std::exchange(probed_, {});
  for (const BackendServerId& server : servers_) {
    const uint64_t ours = Weight(server, self_);
    const bool mine = std::all_of(members_.begin(), members_.end(), [&](const EntryVmId& member) {
      return member == self_ || Weight(server, member) < ours;
    });
    if (!mine) continue;
    const auto it = before.find(server);
    probed_[server] = it == before.end() ? Probed{} : it->second;
  }
}

std::vector<BackendServerId> ZoneProber::Due(MonotonicTime now) {
  std::vector<BackendServerId> due;
  for (auto& [server, probed] : probed_) {
    if (probed.open || now < probed.next) continue;
    probed.next = now + kInterval;
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
