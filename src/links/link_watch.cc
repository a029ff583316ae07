#include "src/links/link_watch.h"

#include <utility>

namespace cowsliphill {

void LinkWatch::SetServers(std::vector<Server> servers) {
  servers_ = std::move(servers);
  std::unordered_set<BackendServerId> listed;
  for (const Server& it : servers_) listed.insert(it.id);
  std::erase_if(sample_, [&](const auto& it) { return listed.count(it) == 0; });
  std::erase_if(links_, [&](const auto& it) { return listed.count(it.first) == 0; });
  std::erase_if(failed_since_contact_, [&](const auto& it) { return listed.count(it) == 0; });
  bypassed_ = static_cast<size_t>(std::count_if(links_.begin(), links_.end(),
                                                [](const auto& it) { return it.second.bypassed; }));
}

// ---- Evidence -----------------------------------------------------------------------------------

void LinkWatch::OnContact(const BackendServerId& server, MonotonicTime now) {
  Link& link = links_[server];
  link.last_contact = now;
  last_contact_ = now;
  failed_since_contact_.clear();
  sample_.clear();
  if (lost_since_) {
    if (!steady_since_) steady_since_ = now;
    if (now - *steady_since_ >= kStableTime) {
      lost_since_.reset();
      steady_since_.reset();
      for (auto& [id, it] : links_) Trust(it);
    }
  }
  if (!link.bypassed || now - link.counted_contact < kCheckInterval / 2) return;
  link.counted_contact = now;
  if (++link.contacts >= kContactsUntilTrusted && !lost_since_) Trust(link);
}

void LinkWatch::OnFailure(const BackendServerId& server, MonotonicTime now) {
  Link& link = links_[server];
  link.last_failure = now;
  link.contacts = 0;
  failed_since_contact_.insert(server);
  if (now - link.last_tunnel <= kAliveTime) steady_since_.reset();
  if (now - link.last_tunnel <= kProofTime) Bypass(link, now);
}

void LinkWatch::OnTunnel(const BackendServerId& server, bool reached, MonotonicTime now) {
  Link& link = links_[server];
  if (!reached) {
    std::erase(sample_, server);  // It is down, so it shows nothing about the links.
    return Trust(link);
  }
  link.last_tunnel = now;
  if (Failed(link) && now - link.last_failure <= kProofTime) Bypass(link, now);
}

void LinkWatch::Bypass(Link& link, MonotonicTime now) {
  if (!link.bypassed) {
    link.bypassed = true;
    link.contacts = 0;
    ++bypassed_;
    wants_sample_ = true;
  }
  UpdateLost(now);
}

void LinkWatch::Trust(Link& link) {
  if (!std::exchange(link.bypassed, false)) return;
  --bypassed_;
}

void LinkWatch::UpdateLost(MonotonicTime now) {
  if (lost_since_ || sample_.empty()) return;
  const bool all = std::all_of(sample_.begin(), sample_.end(),
                               [this](const BackendServerId& it) { return IsBypassed(it); });
  if (all) lost_since_ = now;
}

// ---- Decisions ----------------------------------------------------------------------------------

ServerPath LinkWatch::PathTo(const BackendServerId& server, MonotonicTime now) const {
  if (lost_since_) return ServerPath::kTunnel;
  const auto it = links_.find(server);
  if (it == links_.end()) return ServerPath::kDirect;
  if (it->second.bypassed) return ServerPath::kTunnel;
  const bool doubtful = Failed(it->second) && now - it->second.last_failure <= kDoubtTime;
  return doubtful ? ServerPath::kTunnelFirst : ServerPath::kDirect;
}

bool LinkWatch::MayReuse(const BackendServerId& server, MonotonicTime last_active) const {
  if (lost_since_ && last_active < *lost_since_) return false;
  const auto it = links_.find(server);
  return it == links_.end() || last_active >= it->second.last_failure;
}

// ---- Checks -------------------------------------------------------------------------------------

bool LinkWatch::IsBypassed(const BackendServerId& server) const {
  const auto it = links_.find(server);
  return it != links_.end() && it->second.bypassed;
}

// Returns the bypassed servers that were not checked for longest.
std::vector<BackendServerId> LinkWatch::OldestBypassed() const {
  std::vector<std::pair<MonotonicTime, BackendServerId>> candidates;
  for (const auto& [id, link] : links_) {
    if (link.bypassed) candidates.emplace_back(link.last_check, id);
  }
  std::sort(candidates.begin(), candidates.end());
  candidates.resize(std::min(candidates.size(), kServersPerCheck));
  std::vector<BackendServerId> servers;
  servers.reserve(candidates.size());
  for (auto& it : candidates) servers.push_back(std::move(it.second));
  return servers;
}

// Returns random servers, one of each service before a second one of any.
std::vector<BackendServerId> LinkWatch::Sample() {
  std::vector<Server> candidates = servers_;
  std::shuffle(candidates.begin(), candidates.end(), random_);
  std::unordered_set<ServiceId> services;
  std::stable_partition(candidates.begin(), candidates.end(), [&services](const Server& it) {
    return services.insert(it.service).second;
  });
  const size_t n = std::clamp(services.size(), kMinSample, kMaxSample);
  candidates.resize(std::min(candidates.size(), n));
  std::vector<BackendServerId> servers;
  servers.reserve(candidates.size());
  for (Server& it : candidates) servers.push_back(std::move(it.id));
  return servers;
}

std::vector<BackendServerId> LinkWatch::TakeChecks(MonotonicTime now) {
  if (!NextCheck() || now < next_check_) return {};
  next_check_ = now + kCheckInterval;
  std::vector<BackendServerId> checks = OldestBypassed();
  if (wants_sample_ && !lost_since_ && now >= next_sample_) {
    wants_sample_ = false;
    next_sample_ = now + kSampleInterval;
    sample_ = Sample();
    for (const BackendServerId& it : sample_) {
      if (std::find(checks.begin(), checks.end(), it) == checks.end()) checks.push_back(it);
    }
  }
  for (const BackendServerId& it : checks) links_[it].last_check = now;
  return checks;
}

std::optional<MonotonicTime> LinkWatch::NextCheck() const {
  if (bypassed_ == 0) return std::nullopt;
  return next_check_;
}

}  // namespace cowsliphill
