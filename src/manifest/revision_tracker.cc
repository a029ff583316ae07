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
  Fetch();
  UpdateReady();
  return std::move(actions_);
}

void RevisionTracker::Handle(const HeadRead& event) {
  reading_head_ = false;
  platform_answers_ = true;
  const uint64_t revision = event.head ? event.head->accepted.revision : 0;
  if (event.certain) {
    certain_ = true;
    if (revision < in_force_.accepted.revision) ++counters_.platform_behind;
  } else if (revision < highest_known_) {
    ++counters_.old_reads;
  }
  Learn(revision);
  const uint64_t best = platform_head_ ? platform_head_->accepted.revision : 0;
  if (revision > best) platform_head_ = event.head;
}

void RevisionTracker::Handle(const HeadFailed& /*event*/) {
  reading_head_ = false;
  platform_answers_ = false;
}

void RevisionTracker::Handle(const PeerHeadSeen& event) {
  const RevisionStatus& head = event.head;
  Learn(std::max(head.in_force.revision, head.highest_known));
  if (head.in_force.revision == in_force_.accepted.revision &&
      head.in_force.digest != in_force_.accepted.digest) {
    ++counters_.diverged;
  }
  const auto it = peers_.find(head.sender);
  if (it == peers_.end()) return;
  it->second.head = head;
  it->second.heard = now_;
  it->second.asked = false;
  it->second.may_fetch = true;
}

void RevisionTracker::Handle(const PeerSilent& event) {
  const auto it = peers_.find(event.id);
  if (it != peers_.end()) it->second.asked = false;
}

void RevisionTracker::Handle(const MembersSeen& event) {
  std::map<EntryVmId, Peer> next;
  for (const Member& member : event.members) {
    if (member.id == options_.id) continue;
    const auto it = peers_.find(member.id);
    Peer peer = it == peers_.end() ? Peer() : std::move(it->second);
    if (it == peers_.end()) peer.listed = now_;
    peer.member = member;
    next.emplace(member.id, std::move(peer));
  }
  peers_ = std::move(next);
}

void RevisionTracker::Handle(const FetchDone& event) {
  fetching_ = false;
  fetch_whole_ = false;
  Advance(event.head);
}

void RevisionTracker::Handle(const FetchFailed& event) {
  fetching_ = false;
  next_fetch_ = now_ + options_.fetch_retry;
  ++counters_.failed_fetches;
  if (event.corrupt) ++counters_.corrupt_fetches;
  fetch_whole_ = event.corrupt;
  if (fetching_from_platform_) {
    platform_answers_ = false;
    return;
  }
  const auto it = peers_.find(fetching_from_);
  if (it != peers_.end()) it->second.may_fetch = false;
}

void RevisionTracker::Handle(const AcceptedHere& event) { Advance(event.head); }

void RevisionTracker::Handle(const TimePassed& /*event*/) {
  if (!reading_head_ && now_ >= next_read_) {
    reading_head_ = true;
    next_read_ = now_ + options_.head_poll;
    actions_.emplace_back(ReadHead{!certain_});
  }
  if (now_ < next_ask_) return;
  next_ask_ = now_ + (ready_ ? options_.gossip : options_.start_poll);
  if (ready_) {
    AskSome(1);
  } else {
    AskAtStart();
  }
}

void RevisionTracker::Learn(uint64_t revision) {
  highest_known_ = std::max(highest_known_, revision);
}

void RevisionTracker::Advance(const ManifestHead& head) {
  if (head.accepted.revision <= in_force_.accepted.revision) {
    ++counters_.lower_ignored;
    return;
  }
  in_force_ = head;
  in_force_since_ = now_;
  Learn(head.accepted.revision);
  actions_.emplace_back(PutInForce{head});
  AskSome(options_.fan_out);
}

void RevisionTracker::Ask(Peer& peer) {
  if (peer.asked) return;
  peer.asked = true;
  peer.asked_at = now_;
  actions_.emplace_back(AskPeer{peer.member.id, peer.member.peer});
}

void RevisionTracker::AskAtStart() {
  for (Peer* peer : Shuffled(true)) Ask(*peer);
  std::vector<Peer*> others = Shuffled(false);
  others.resize(std::min(others.size(), options_.start_fan_out));
  for (Peer* peer : others) Ask(*peer);
}

// Asks entry VMs at random; every second time one that is behind comes first, because it learns of
// the revision by this. Not every time, or silent ones would keep the others from being asked.
void RevisionTracker::AskSome(size_t most) {
  std::vector<Peer*> chosen = Shuffled(true);
  const std::vector<Peer*> others = Shuffled(false);
  chosen.insert(chosen.end(), others.begin(), others.end());
  std::shuffle(chosen.begin(), chosen.end(), random_);
  ask_behind_ = !ask_behind_;
  Peer* behind = ask_behind_ ? LeastAskedBehind() : nullptr;
  if (behind != nullptr) chosen.insert(chosen.begin(), behind);
  for (size_t i = 0; i < std::min(most, chosen.size()); ++i) Ask(*chosen[i]);
}

RevisionTracker::Peer* RevisionTracker::LeastAskedBehind() {
  Peer* chosen = nullptr;
  for (auto& [id, peer] : peers_) {
    if (!peer.head || peer.asked) continue;
    if (peer.head->in_force.revision >= in_force_.accepted.revision) continue;
    if (chosen == nullptr || peer.asked_at < chosen->asked_at) chosen = &peer;
  }
  return chosen;
}

void RevisionTracker::Fetch() {
  if (fetching_ || now_ < next_fetch_) return;
  const uint64_t in_force = in_force_.accepted.revision;
  const uint64_t on_platform = platform_head_ ? platform_head_->accepted.revision : 0;
  Peer* peer = BestPeer();
  const uint64_t at_peer = peer == nullptr ? 0 : peer->head->in_force.revision;
  if (std::max(on_platform, at_peer) <= in_force) return;
  fetching_ = true;
  fetching_from_platform_ = on_platform > in_force &&
                            (at_peer <= in_force || (platform_answers_ && on_platform >= at_peer));
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
    if (!peer.head || !peer.may_fetch) continue;
    if (best == nullptr || peer.head->in_force.revision > best->head->in_force.revision) {
      best = &peer;
    }
  }
  return best;
}

void RevisionTracker::UpdateReady() {
  if (!ready_) ready_ = WaitingFor(now_).empty();
}

std::string RevisionTracker::WaitingFor(MonotonicTime now) const {
  if (!certain_) {
    std::string silence = FailureDomainSilence(now);
    if (!silence.empty()) return silence;
  }
  if (highest_known_ == 0) return "no manifest has been accepted yet";
  if (in_force_.accepted.revision >= highest_known_) return "";
  return "revision " + std::to_string(highest_known_) + " is known but not fetched yet";
}

// Why the answers of this failure domain's entry VMs don't suffice, or empty.
std::string RevisionTracker::FailureDomainSilence(MonotonicTime now) const {
  if (!started_ || now - *started_ < options_.settle) {
    return "the platform has not answered and the list of entry VMs may be incomplete yet";
  }
  bool one_is_ready = false;
  for (const auto& [id, peer] : peers_) {
    if (peer.member.failure_domain != options_.failure_domain) continue;
    if (!peer.head || now - peer.heard > options_.answer_age) {
      return "neither the platform nor entry VM " + id.Text() + " of this place has answered";
    }
    one_is_ready = one_is_ready || peer.head->ready;
  }
  if (one_is_ready) return "";
  return "the platform has not answered and no entry VM of this place is ready";
}

std::vector<RevisionTracker::Peer*> RevisionTracker::Shuffled(bool own_failure_domain) {
  std::vector<Peer*> chosen;
  for (auto& [id, peer] : peers_) {
    if ((peer.member.failure_domain == options_.failure_domain) == own_failure_domain) {
      chosen.push_back(&peer);
    }
  }
  std::shuffle(chosen.begin(), chosen.end(), random_);
  return chosen;
}

RevisionStatus RevisionTracker::OwnHead() const {
  return {options_.id, options_.failure_domain, in_force_.accepted, highest_known_, ready_};
}

TrackerView RevisionTracker::View(MonotonicTime now) const {
  TrackerView view{in_force_, highest_known_, ready_, ready_ ? "" : WaitingFor(now), {},
                   {},        counters_};
  std::map<FailureDomainId, FailureDomainLag> failure_domains;
  for (const auto& [id, peer] : peers_) {
    PeerRevision revision{id, peer.member.failure_domain, 0, std::nullopt};
    if (peer.head) {
      revision.revision = peer.head->in_force.revision;
      revision.heard_ago = now - peer.heard;
    }
    AddToFailureDomain(peer, now, failure_domains);
    view.peers.push_back(std::move(revision));
  }
  for (auto& [failure_domain, lag] : failure_domains) {
    lag.alarm = lag.alarm || lag.silent_for > options_.silence_alarm;
    view.failure_domains.push_back(lag);
  }
  return view;
}

// What was heard of a peer before a switch here says nothing about whether it has followed, so only
// what it says lag_alarm after the switch counts as being behind.
void RevisionTracker::AddToFailureDomain(
    const Peer& peer, MonotonicTime now,
    std::map<FailureDomainId, FailureDomainLag>& failure_domains) const {
  const MonotonicTime last = peer.head ? peer.heard : peer.listed;
  const auto [it, added] = failure_domains.emplace(
      peer.member.failure_domain,
      FailureDomainLag{peer.member.failure_domain, in_force_.accepted.revision, now - last, false});
  FailureDomainLag& lag = it->second;
  lag.silent_for = std::min(lag.silent_for, now - last);
  if (!peer.head) return;
  const uint64_t revision = peer.head->in_force.revision;
  lag.lowest_revision = std::min(lag.lowest_revision, revision);
  const bool followed = revision >= in_force_.accepted.revision;
  if (!followed && peer.heard - in_force_since_ > options_.lag_alarm) lag.alarm = true;
}

}  // namespace cowsliphill
