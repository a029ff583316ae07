#include "src/manifest/revision_tracker.h"

#include <algorithm>
#include <utility>

namespace cowsliphill {

RevisionTracker::RevisionTracker(TrackerOptions options)
    : options_(std::move(options)), random_(options_.seed) {}

std::vector<TrackerAction> RevisionTracker::On(const TrackerEvent& event, MonotonicTime now) {
  now_ = now;
  if (!started_) started_ = now;
  actions_.clear();
  std::visit([this](const auto& it) { Handle(it); }, event);
  StartFetch();
  UpdateReady();
  return std::move(actions_);
}

void RevisionTracker::Handle(const HeadRead& event) {
  reading_head_ = false;
  platform_reachable_ = true;
  const uint64_t revision = event.head ? event.head->accepted.revision : 0;
  if (event.consistent) {
    consistent_read_done_ = true;
    if (revision < in_force_.accepted.revision) ++counters_.platform_behind;
  } else if (revision < highest_known_) {
    ++counters_.stale_reads;
  }
  RaiseHighestKnown(revision);
  const uint64_t best = platform_head_ ? platform_head_->accepted.revision : 0;
  if (revision > best) platform_head_ = event.head;
}

void RevisionTracker::Handle(const HeadFailed& /*event*/) {
  reading_head_ = false;
  platform_reachable_ = false;
}

void RevisionTracker::Handle(const PeerStatusReceived& event) {
  const RevisionStatus& status = event.status;
  RaiseHighestKnown(std::max(status.in_force.revision, status.highest_known));
  if (status.in_force.revision == in_force_.accepted.revision &&
      status.in_force.digest != in_force_.accepted.digest) {
    ++counters_.diverged;
  }
  const auto it = peers_.find(status.sender);
  if (it == peers_.end()) return;
  it->second.status = status;
  it->second.received_at = now_;
  it->second.query_pending = false;
  it->second.can_fetch_from = true;
}

void RevisionTracker::Handle(const PeerRequestFailed& event) {
  const auto it = peers_.find(event.id);
  if (it != peers_.end()) it->second.query_pending = false;
}

void RevisionTracker::Handle(const MembersUpdated& event) {
  std::map<EntryVmId, Peer> next;
  for (const Member& member : event.members) {
    if (member.id == options_.id) continue;
    const auto it = peers_.find(member.id);
    Peer peer = it == peers_.end() ? Peer() : std::move(it->second);
    if (it == peers_.end()) peer.first_listed = now_;
    peer.member = member;
    next.emplace(member.id, std::move(peer));
  }
  peers_ = std::move(next);
}

void RevisionTracker::Handle(const FetchDone& event) {
  fetching_ = false;
  fetch_whole_ = false;
  AdvanceTo(event.head);
}

void RevisionTracker::Handle(const FetchFailed& event) {
  fetching_ = false;
  next_fetch_ = now_ + options_.fetch_retry_delay;
  ++counters_.failed_fetches;
  if (event.corrupt) ++counters_.corrupt_fetches;
  fetch_whole_ = event.corrupt;
  if (fetching_from_platform_) {
    platform_reachable_ = false;
    return;
  }
  const auto it = peers_.find(fetching_from_);
  if (it != peers_.end()) it->second.can_fetch_from = false;
}

void RevisionTracker::Handle(const AcceptedHere& event) { AdvanceTo(event.head); }

void RevisionTracker::Handle(const TimerTick& /*event*/) {
  if (!reading_head_ && now_ >= next_read_) {
    reading_head_ = true;
    next_read_ = now_ + options_.head_poll_interval;
    actions_.emplace_back(ReadHead{!consistent_read_done_});
  }
  if (now_ < next_query_) return;
  next_query_ = now_ + (ready_ ? options_.query_interval : options_.startup_query_interval);
  if (ready_) {
    QueryRandomPeers(1);
  } else {
    QueryAtStartup();
  }
}

void RevisionTracker::RaiseHighestKnown(uint64_t revision) {
  highest_known_ = std::max(highest_known_, revision);
}

void RevisionTracker::AdvanceTo(const ManifestHead& head) {
  if (head.accepted.revision <= in_force_.accepted.revision) {
    ++counters_.ignored_not_newer;
    return;
  }
  in_force_ = head;
  in_force_since_ = now_;
  RaiseHighestKnown(head.accepted.revision);
  actions_.emplace_back(PutInForce{head});
  QueryRandomPeers(options_.query_fan_out);
}

void RevisionTracker::Query(Peer& peer) {
  if (peer.query_pending) return;
  peer.query_pending = true;
  peer.last_queried = now_;
  actions_.emplace_back(QueryPeer{peer.member.id, peer.member.peer});
}

void RevisionTracker::QueryAtStartup() {
  for (Peer* peer : ShuffledPeers(true)) Query(*peer);
  std::vector<Peer*> others = ShuffledPeers(false);
  others.resize(std::min(others.size(), options_.startup_fan_out));
  for (Peer* peer : others) Query(*peer);
}

// Queries random peers. Every second call puts a peer that is behind first, because the query tells
// it the new revision. Doing so on every call would let unresponsive peers keep the others from
// being queried.
void RevisionTracker::QueryRandomPeers(size_t max_queries) {
  std::vector<Peer*> selected = ShuffledPeers(true);
  const std::vector<Peer*> others = ShuffledPeers(false);
  selected.insert(selected.end(), others.begin(), others.end());
  std::shuffle(selected.begin(), selected.end(), random_);
  lagging_peer_first_ = !lagging_peer_first_;
  Peer* lagging_peer = lagging_peer_first_ ? LeastRecentlyQueriedLaggingPeer() : nullptr;
  if (lagging_peer != nullptr) selected.insert(selected.begin(), lagging_peer);
  for (size_t i = 0; i < std::min(max_queries, selected.size()); ++i) Query(*selected[i]);
}

RevisionTracker::Peer* RevisionTracker::LeastRecentlyQueriedLaggingPeer() {
  Peer* selected = nullptr;
  for (auto& [id, peer] : peers_) {
    if (!peer.status || peer.query_pending) continue;
    if (peer.status->in_force.revision >= in_force_.accepted.revision) continue;
    if (selected == nullptr || peer.last_queried < selected->last_queried) selected = &peer;
  }
  return selected;
}

void RevisionTracker::StartFetch() {
  if (fetching_ || now_ < next_fetch_) return;
  const uint64_t in_force = in_force_.accepted.revision;
  const uint64_t on_platform = platform_head_ ? platform_head_->accepted.revision : 0;
  Peer* peer = BestPeer();
  const uint64_t at_peer = peer == nullptr ? 0 : peer->status->in_force.revision;
  if (std::max(on_platform, at_peer) <= in_force) return;
  fetching_ = true;
  fetching_from_platform_ =
      on_platform > in_force &&
      (at_peer <= in_force || (platform_reachable_ && on_platform >= at_peer));
  if (fetching_from_platform_) {
    actions_.emplace_back(FetchFromPlatform{*platform_head_, fetch_whole_});
    return;
  }
  fetching_from_ = peer->member.id;
  actions_.emplace_back(FetchFromPeer{peer->member.id, peer->member.peer, fetch_whole_});
}

RevisionTracker::Peer* RevisionTracker::BestPeer() {
  Peer* best = nullptr;
  for (auto& [id, peer] : peers_) {
    if (!peer.status || !peer.can_fetch_from) continue;
    if (best == nullptr || peer.status->in_force.revision > best->status->in_force.revision) {
      best = &peer;
    }
  }
  return best;
}

void RevisionTracker::UpdateReady() {
  if (!ready_) ready_ = NotReadyReason(now_).empty();
}

std::string RevisionTracker::NotReadyReason(MonotonicTime now) const {
  if (!consistent_read_done_) {
    std::string missing_answers = MissingPeerAnswers(now);
    if (!missing_answers.empty()) return missing_answers;
  }
  if (highest_known_ == 0) return "no manifest has been accepted yet";
  if (in_force_.accepted.revision >= highest_known_) return "";
  return "revision " + std::to_string(highest_known_) + " is known but not fetched yet";
}

// Returns why the answers from this failure domain's entry VMs don't suffice for readiness; empty
// if they do.
std::string RevisionTracker::MissingPeerAnswers(MonotonicTime now) const {
  if (!started_ || now - *started_ < options_.member_list_settle_time) {
    return "the platform has not answered and the list of entry VMs may be incomplete yet";
  }
  bool any_peer_ready = false;
  for (const auto& [id, peer] : peers_) {
    if (peer.member.failure_domain != options_.failure_domain) continue;
    if (!peer.status || now - peer.received_at > options_.max_answer_age) {
      return "neither the platform nor entry VM " + id.Text() +
             " of this failure domain has answered";
    }
    any_peer_ready = any_peer_ready || peer.status->ready;
  }
  if (any_peer_ready) return "";
  return "the platform has not answered and no entry VM of this failure domain is ready";
}

std::vector<RevisionTracker::Peer*> RevisionTracker::ShuffledPeers(bool own_failure_domain) {
  std::vector<Peer*> selected;
  for (auto& [id, peer] : peers_) {
    if ((peer.member.failure_domain == options_.failure_domain) == own_failure_domain) {
      selected.push_back(&peer);
    }
  }
  std::shuffle(selected.begin(), selected.end(), random_);
  return selected;
}

RevisionStatus RevisionTracker::OwnStatus() const {
  return {options_.id, options_.failure_domain, in_force_.accepted, highest_known_, ready_};
}

TrackerView RevisionTracker::View(MonotonicTime now) const {
  TrackerView view{in_force_, highest_known_, ready_, ready_ ? "" : NotReadyReason(now), {},
                   {},        counters_};
  std::map<FailureDomainId, FailureDomainLag> failure_domains;
  for (const auto& [id, peer] : peers_) {
    PeerRevision revision{id, peer.member.failure_domain, 0, std::nullopt};
    if (peer.status) {
      revision.revision = peer.status->in_force.revision;
      revision.report_age = now - peer.received_at;
    }
    AddToFailureDomainLag(peer, now, failure_domains);
    view.peers.push_back(std::move(revision));
  }
  for (auto& [failure_domain, lag] : failure_domains) {
    lag.alarm = lag.alarm || lag.silent_for > options_.silence_alarm_delay;
    view.failure_domains.push_back(lag);
  }
  return view;
}

// Adds a peer to the lag of its failure domain. A lower revision raises the alarm only if it was
// received more than lag_alarm_delay after this entry VM's last switch, because an earlier report
// doesn't show whether the peer has followed since. lowest_revision counts every report.
void RevisionTracker::AddToFailureDomainLag(
    const Peer& peer, MonotonicTime now,
    std::map<FailureDomainId, FailureDomainLag>& failure_domains) const {
  const MonotonicTime last = peer.status ? peer.received_at : peer.first_listed;
  const auto [it, added] = failure_domains.emplace(
      peer.member.failure_domain,
      FailureDomainLag{peer.member.failure_domain, in_force_.accepted.revision, now - last, false});
  FailureDomainLag& lag = it->second;
  lag.silent_for = std::min(lag.silent_for, now - last);
  if (!peer.status) return;
  const uint64_t revision = peer.status->in_force.revision;
  lag.lowest_revision = std::min(lag.lowest_revision, revision);
  const bool followed = revision >= in_force_.accepted.revision;
  if (!followed && peer.received_at - in_force_since_ > options_.lag_alarm_delay) lag.alarm = true;
}

}  // namespace cowsliphill
