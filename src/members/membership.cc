#include "src/members/membership.h"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

namespace cowsliphill {
namespace {

// A change is sent this many times log2 of the member count.
constexpr uint32_t kRetransmitFactor = 3;
constexpr uint32_t kMismatchesToPull = 3;  // Consecutive differing digests before a page is pulled.
constexpr size_t kMaxDeadRetryQueue = 64;  // Dead members queued to be pinged again.
constexpr size_t kMaxListedAddresses = 4096;  // Addresses kept from the VM list.
// Addresses pinged at once while no other member is live.
constexpr size_t kDiscoveryPingsWhenAlone = 3;

ReceiverHealth ReceiverHealthOf(const KnownMember* known) {
  if (known == nullptr) return ReceiverHealth::kUnknown;
  switch (known->record.health) {
    case MemberHealth::kAlive:
      return ReceiverHealth::kAlive;
    case MemberHealth::kSuspect:
      return ReceiverHealth::kSuspect;
    default:
      return ReceiverHealth::kDead;
  }
}

}  // namespace

Membership::Membership(MembershipConfig config, const Member& self, uint64_t seed,
                       MonotonicTime now)
    : config_(std::move(config)),
      table_(config_.max_members, config_.suspicion_timeout),
      random_(seed),
      last_tick_(now),
      next_period_(now),
      next_dead_retry_(now),
      next_seed_retry_(now),
      last_change_(now) {
  self_ = {self.id, self.edge, self.peer, self.failure_domain, self.region, self.millicores};
  self_.incarnation = 1;
}

// --- Periodic work ---

void Membership::Tick(MonotonicTime now) {
  if (departed_) return;
  DetectStall(now);
  if (probe_ && !probe_->indirect_pings_requested &&
      now - probe_->started >= config_.direct_timeout) {
    RequestIndirectPings();
  }
  if (now >= next_period_) BeginPeriod(now);
  PingSeedsWhenAlone(now);
  if (table_.SuspectCount() > 0) ExpireSuspects(now);
  PushChanges();
}

std::optional<MonotonicTime> Membership::NextTick(MonotonicTime now) const {
  if (departed_) return std::nullopt;
  MonotonicTime next = next_period_;
  if (probe_ && !probe_->indirect_pings_requested) {
    next = std::min(next, probe_->started + config_.direct_timeout);
  }
  if (table_.SuspectCount() > 0) next = std::min(next, now + config_.suspect_check_interval);
  if (table_.LiveCount() == 0) next = std::min(next, next_alone_retry_);
  return next;
}

// After a stall of this process, missing answers say nothing about the other members: drops the
// current probe and extends the deadlines of suspects by the length of the stall.
void Membership::DetectStall(MonotonicTime now) {
  const Duration gap = now - last_tick_;
  last_tick_ = now;
  if (gap < config_.stall_limit) return;
  ++stats_.stalls_detected;
  probe_.reset();
  table_.ExtendSuspicions(gap);
}

void Membership::BeginPeriod(MonotonicTime now) {
  next_period_ = now + config_.probe_period;
  push_tokens_ = config_.pushes_per_period;
  EndProbe(now);
  StartProbe(now);
  RetryDead(now);
  PingListedAddresses();
  PingSeeds(now);
  table_.EraseNonLiveBefore(now - config_.dead_lifetime);
}

void Membership::EndProbe(MonotonicTime now) {
  if (!probe_) return;
  KnownMember* known = table_.Find(probe_->target);
  probe_.reset();
  if (known == nullptr || known->record.health != MemberHealth::kAlive) return;
  ++stats_.suspected;
  table_.SetHealth(now, *known, MemberHealth::kSuspect);
  QueueChange(known->record.id);
}

void Membership::StartProbe(MonotonicTime now) {
  if (probe_round_.empty()) {
    for (const KnownMember* known : table_.Live()) probe_round_.push_back(known->record.id);
    std::shuffle(probe_round_.begin(), probe_round_.end(), random_);
  }
  while (!probe_round_.empty()) {
    const KnownMember* known = table_.Find(probe_round_.back());
    probe_round_.pop_back();
    if (known == nullptr || !MemberTable::IsLive(*known)) continue;
    probe_ = Probe{known->record.id, now};
    ++stats_.pings;
    SendPing(Purpose::kPing, *known, EntryVmId());
    return;
  }
}

void Membership::RequestIndirectPings() {
  probe_->indirect_pings_requested = true;
  const KnownMember* target = table_.Find(probe_->target);
  if (target == nullptr) return;
  for (const KnownMember* helper : RandomLive(config_.indirect_ping_count, probe_->target)) {
    GossipMessage message = Compose(GossipType::kIndirectPing, helper);
    message.target = target->record.id;
    message.target_peer = target->record.peer;
    ++stats_.indirect_pings;
    Send({Purpose::kIndirectRequest, helper->record.id, {}}, helper->record.peer, message);
  }
}

void Membership::ExpireSuspects(MonotonicTime now) {
  for (KnownMember* known : table_.Live()) {
    const bool expired =
        known->record.health == MemberHealth::kSuspect && now >= known->suspect_deadline;
    if (!expired) continue;
    ++stats_.declared_dead;
    table_.SetHealth(now, *known, MemberHealth::kDead);
    last_change_ = now;
    QueueChange(known->record.id);
  }
}

// Pings one dead member again: it may have been paused, or partitioned together with its region.
void Membership::RetryDead(MonotonicTime now) {
  if (now < next_dead_retry_) return;
  next_dead_retry_ = now + config_.dead_retry_interval;
  if (dead_retry_queue_.empty()) {
    std::set<Endpoint> in_use = {self_.peer};
    for (const auto& [id, known] : table_.All()) {
      if (known.record.health != MemberHealth::kGone) in_use.insert(known.record.peer);
    }
    for (const auto& [id, known] : table_.All()) {
      const bool left = known.record.health == MemberHealth::kGone;
      const bool retry =
          left ? in_use.count(known.record.peer) == 0 : known.record.health == MemberHealth::kDead;
      if (retry) dead_retry_queue_.push_back(id);
    }
    std::shuffle(dead_retry_queue_.begin(), dead_retry_queue_.end(), random_);
    if (dead_retry_queue_.size() > kMaxDeadRetryQueue) dead_retry_queue_.resize(kMaxDeadRetryQueue);
  }
  while (!dead_retry_queue_.empty()) {
    const KnownMember* known = table_.Find(dead_retry_queue_.back());
    dead_retry_queue_.pop_back();
    if (known == nullptr) continue;
    // A member that has left never comes back, but its address may have a new process.
    if (known->record.health == MemberHealth::kGone) return PingAddress(known->record.peer);
    if (known->record.health != MemberHealth::kDead) continue;
    ++stats_.discovery_pings;
    SendPing(Purpose::kDiscovery, *known, EntryVmId());
    return;
  }
}

void Membership::PingListedAddresses() {
  size_t discovery_pings = table_.LiveCount() == 0 ? kDiscoveryPingsWhenAlone : 1;
  for (size_t i = 0; i < listed_addresses_.size() && discovery_pings > 0; ++i) {
    const Endpoint& peer = listed_addresses_[next_listed_address_++ % listed_addresses_.size()];
    if (KnowsAddress(peer)) continue;
    PingAddress(peer);
    --discovery_pings;
  }
}

void Membership::PingSeeds(MonotonicTime now) {
  const bool alone = table_.LiveCount() == 0;
  if (!alone && now < next_seed_retry_) return;
  next_seed_retry_ = now + config_.seed_retry_interval;
  size_t discovery_pings = alone ? kDiscoveryPingsWhenAlone : 1;
  for (size_t i = 0; i < config_.seeds.size() && discovery_pings > 0; ++i) {
    const Endpoint& seed = config_.seeds[next_seed_++ % config_.seeds.size()];
    if (KnowsAddress(seed)) continue;
    PingAddress(seed);
    --discovery_pings;
  }
}

// Pings seeds at a short interval while no other member is live: the seeds may start later than
// this member, and until then it can't discover any other.
void Membership::PingSeedsWhenAlone(MonotonicTime now) {
  if (table_.LiveCount() > 0 || now < next_alone_retry_) return;
  next_alone_retry_ = now + config_.alone_retry_interval;
  const auto open =
      std::count_if(pending_requests_.begin(), pending_requests_.end(),
                    [](const auto& item) { return item.second.purpose == Purpose::kDiscovery; });
  if (open == 0) PingSeeds(now);
}

// --- Events ---

std::string Membership::Receive(MonotonicTime now, const EntryVmId& from,
                                const std::string& payload) {
  if (departed_) return {};
  const std::optional<GossipMessage> message = DecodeGossip(payload);
  const bool valid = message && message->sender == from && from != self_.id &&
                     message->type != GossipType::kAck && message->type != GossipType::kPage;
  if (!valid) {
    ++stats_.bad_messages;
    return {};
  }
  ProcessMessage(now, *message);
  CompareDigest(*message);
  if (message->type == GossipType::kIndirectPing) PingForRequester(from, *message);
  if (message->type == GossipType::kIndirectAck && probe_ && probe_->target == message->target) {
    KnownMember* known = table_.Find(message->target);
    if (known != nullptr) table_.ConfirmAlive(now, *known);
    probe_.reset();
  }
  const bool pull = message->type == GossipType::kPull;
  GossipMessage reply =
      Compose(pull ? GossipType::kPage : GossipType::kAck, table_.Find(message->sender));
  if (pull) AddPage(reply, message->cursor);
  if (message->request_record) reply.changes.push_back(self_);
  if (!pull) AddChanges(reply);
  PushChanges();
  return EncodeGossip(reply);
}

void Membership::OnReply(MonotonicTime now, GossipTag tag, const std::string& payload) {
  const auto it = pending_requests_.find(tag);
  if (it == pending_requests_.end()) return;
  const PendingRequest request = std::move(it->second);
  pending_requests_.erase(it);
  if (request.purpose == Purpose::kPull) pull_pending_ = false;
  if (departed_) return;
  const std::optional<GossipMessage> message = DecodeGossip(payload);
  const bool valid = message && message->sender != self_.id &&
                     (message->type == GossipType::kAck || message->type == GossipType::kPage);
  if (!valid) {
    if (!payload.empty()) ++stats_.bad_messages;
    return;
  }
  ProcessMessage(now, *message);
  if (message->type == GossipType::kPage) HandlePage(request, *message);
  if (message->type == GossipType::kAck) HandleAck(now, request, *message);
  PushChanges();
}

void Membership::OnRequestFailed(GossipTag tag) {
  const auto it = pending_requests_.find(tag);
  if (it == pending_requests_.end()) return;
  const PendingRequest request = std::move(it->second);
  pending_requests_.erase(it);
  if (request.purpose == Purpose::kPull) pull_pending_ = false;
  const bool own_probe =
      request.purpose == Purpose::kPing && probe_ && probe_->target == request.target;
  if (own_probe && !probe_->indirect_pings_requested) RequestIndirectPings();
}

void Membership::SetListedAddresses(std::vector<Endpoint> peers) {
  if (peers.size() > kMaxListedAddresses) peers.resize(kMaxListedAddresses);
  std::erase(peers, self_.peer);
  listed_addresses_ = std::move(peers);
}

void Membership::SetLeaving() {
  if (self_.leaving) return;
  self_.leaving = true;
  RaiseIncarnation(self_.incarnation);
  PushChanges();
}

void Membership::SetLinksLost(bool lost) {
  if (self_.links_lost == lost) return;
  self_.links_lost = lost;
  RaiseIncarnation(self_.incarnation);
  PushChanges();
}

void Membership::Depart() {
  self_.health = MemberHealth::kGone;
  QueueChange(self_.id);
  push_tokens_ = config_.pushes_per_period;
  PushChanges();
  departed_ = true;
}

std::vector<MembershipAction> Membership::TakeActions() {
  for (MemberChange& change : table_.TakeChanges()) actions_.emplace_back(std::move(change));
  return std::exchange(actions_, {});
}

std::vector<Member> Membership::Live() const {
  std::vector<Member> live;
  live.reserve(table_.LiveCount());
  for (const auto& [id, known] : table_.All()) {
    if (MemberTable::IsLive(known)) live.push_back(MemberTable::ToMember(known.record));
  }
  return live;
}

bool Membership::IsUnstable(MonotonicTime now) const {
  return table_.SuspectCount() > 0 || now - last_change_ < config_.suspicion_timeout;
}

// --- Messages ---

GossipMessage Membership::Compose(GossipType type, const KnownMember* receiver) {
  GossipMessage message;
  message.type = type;
  message.sender = self_.id;
  message.incarnation = self_.incarnation;
  message.digest = Digest();
  message.receiver_health = ReceiverHealthOf(receiver);
  if (receiver == nullptr) return message;
  message.receiver_incarnation = receiver->record.incarnation;
  if (!receiver->has_our_record) message.changes.push_back(self_);
  return message;
}

void Membership::Send(const PendingRequest& request, const Endpoint& to,
                      const GossipMessage& message) {
  const GossipTag tag = ++last_tag_;
  pending_requests_[tag] = request;
  actions_.emplace_back(SendGossip{tag, to, EncodeGossip(message)});
}

void Membership::SendPing(Purpose purpose, const KnownMember& target, const EntryVmId& requester) {
  GossipMessage message = Compose(GossipType::kPing, &target);
  message.target = target.record.id;
  message.request_record = target.record.health != MemberHealth::kAlive;
  AddChanges(message);
  Send({purpose, target.record.id, requester}, target.record.peer, message);
}

// Pings an address whose member is not known.
void Membership::PingAddress(const Endpoint& to) {
  ++stats_.discovery_pings;
  GossipMessage message = Compose(GossipType::kPing, nullptr);
  message.request_record = true;
  message.changes.push_back(self_);
  Send({Purpose::kDiscovery, {}, {}}, to, message);
}

void Membership::PushChanges() {
  if (!push_pending_) return;
  push_pending_ = false;
  const size_t max_count = std::min(push_tokens_, config_.push_fanout);
  for (const KnownMember* receiver : RandomLive(max_count, EntryVmId())) {
    GossipMessage message = Compose(GossipType::kPush, receiver);
    AddChanges(message);
    --push_tokens_;
    ++stats_.pushes;
    Send({Purpose::kPush, receiver->record.id, {}}, receiver->record.peer, message);
  }
}

void Membership::Pull(const KnownMember& from) {
  if (pull_pending_) return;
  pull_pending_ = true;
  ++stats_.pulls;
  GossipMessage message = Compose(GossipType::kPull, &from);
  message.cursor = pull_cursor_;
  Send({Purpose::kPull, from.record.id, {}}, from.record.peer, message);
}

// Adds the queued changes that were sent least often, and removes those that have reached the
// retransmit limit.
void Membership::AddChanges(GossipMessage& message) {
  std::vector<std::pair<uint32_t, EntryVmId>> order;
  for (const auto& [id, times] : queued_changes_) order.emplace_back(times, id);
  const size_t n = std::min<size_t>(order.size(), config_.changes_per_message);
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n), order.end());
  for (size_t i = 0; i < n; ++i) {
    const EntryVmId& id = order[i].second;
    const KnownMember* known = table_.Find(id);
    if (id == self_.id) {
      message.changes.push_back(self_);
    } else if (known != nullptr) {
      message.changes.push_back(known->record);
    }
    if (++queued_changes_[id] >= RetransmitLimit()) queued_changes_.erase(id);
  }
}

void Membership::AddPage(GossipMessage& reply, const EntryVmId& after) const {
  reply.changes = {self_};
  for (auto it = table_.All().upper_bound(after); it != table_.All().end(); ++it) {
    if (!MemberTable::IsLive(it->second)) continue;
    if (reply.changes.size() > config_.page_records) {
      reply.cursor = reply.changes.back().id;
      return;
    }
    reply.changes.push_back(it->second.record);
  }
}

// Processes the fields that all types of messages share.
void Membership::ProcessMessage(MonotonicTime now, const GossipMessage& message) {
  // The pages read while joining hold records that the other members already have.
  const bool propagate = !joining_ || message.type != GossipType::kPage;
  for (const MemberRecord& record : message.changes) Apply(now, record, propagate);
  const bool meant_for_other =
      message.type == GossipType::kPing && !message.target.Empty() && message.target != self_.id;
  const bool reported_failed = message.receiver_health == ReceiverHealth::kSuspect ||
                               message.receiver_health == ReceiverHealth::kDead;
  if (reported_failed && !meant_for_other && message.receiver_incarnation >= self_.incarnation) {
    ++stats_.refutations;
    RaiseIncarnation(message.receiver_incarnation);
  }
  KnownMember* sender = table_.Find(message.sender);
  if (sender == nullptr) return;
  sender->has_our_record = message.receiver_health == ReceiverHealth::kAlive && !meant_for_other &&
                           message.receiver_incarnation == self_.incarnation;
  table_.ConfirmAlive(now, *sender);
}

void Membership::HandleAck(MonotonicTime now, const PendingRequest& request,
                           const GossipMessage& message) {
  const bool other_answered = !request.target.Empty() && message.sender != request.target;
  if (other_answered) MarkReplaced(now, request.target);
  CompareDigest(message);
  if (request.purpose == Purpose::kPing && probe_ && probe_->target == request.target) {
    probe_.reset();
  }
  if (request.purpose == Purpose::kIndirectPing && !other_answered) {
    const KnownMember* requester = table_.Find(request.requester);
    if (requester == nullptr) return;
    GossipMessage answer = Compose(GossipType::kIndirectAck, requester);
    answer.target = request.target;
    Send({Purpose::kIndirectRequest, request.requester, {}}, requester->record.peer, answer);
  }
  const KnownMember* sender = table_.Find(message.sender);
  const bool must_send_record =
      sender != nullptr && message.receiver_health != ReceiverHealth::kAlive;
  if (must_send_record && push_tokens_ > 0) {
    --push_tokens_;
    Send({Purpose::kPush, message.sender, {}}, sender->record.peer,
         Compose(GossipType::kPush, sender));
  }
}

void Membership::HandlePage(const PendingRequest& request, const GossipMessage& message) {
  pull_cursor_ = message.cursor;
  if (!joining_) return;
  if (pull_cursor_.Empty()) {
    joining_ = false;
    return;
  }
  const KnownMember* from = table_.Find(request.target);
  if (from != nullptr) Pull(*from);
}

void Membership::PingForRequester(const EntryVmId& requester, const GossipMessage& message) {
  ++stats_.indirect_pings;
  GossipMessage ping = Compose(GossipType::kPing, table_.Find(message.target));
  ping.target = message.target;
  AddChanges(ping);
  Send({Purpose::kIndirectPing, message.target, requester}, message.target_peer, ping);
}

// Digests differ for a moment while a change propagates. After several differing digests in a row,
// or while joining, pulls a page of records to reconcile the lists.
void Membership::CompareDigest(const GossipMessage& message) {
  const KnownMember* sender = table_.Find(message.sender);
  if (sender == nullptr || !MemberTable::IsLive(*sender)) return;
  digest_mismatches_ = message.digest == Digest() ? 0 : digest_mismatches_ + 1;
  if (!joining_ && digest_mismatches_ < kMismatchesToPull) return;
  digest_mismatches_ = kMismatchesToPull - 1;
  Pull(*sender);
}

// --- Records ---

void Membership::Apply(MonotonicTime now, const MemberRecord& record, bool propagate) {
  if (record.id == self_.id) {
    const bool reported_failed = record.health != MemberHealth::kAlive;
    const bool newer = record.incarnation > self_.incarnation;
    if (newer || (reported_failed && record.incarnation == self_.incarnation)) {
      ++stats_.refutations;
      RaiseIncarnation(record.incarnation);
    }
    return;
  }
  const ApplyEffect effect = table_.Apply(now, record);
  if (effect == ApplyEffect::kRefused) ++stats_.refused_records;
  if (effect == ApplyEffect::kDisputed && dead_retry_queue_.size() < kMaxDeadRetryQueue) {
    dead_retry_queue_.push_back(record.id);
  }
  if (effect != ApplyEffect::kChanged) return;
  last_change_ = now;
  if (propagate) QueueChange(record.id);
}

// Another process answers at the member's address, so the member's own process has ended.
void Membership::MarkReplaced(MonotonicTime now, const EntryVmId& id) {
  KnownMember* known = table_.Find(id);
  if (known == nullptr || known->record.health == MemberHealth::kGone) return;
  table_.SetHealth(now, *known, MemberHealth::kGone);
  last_change_ = now;
  QueueChange(id);
}

void Membership::RaiseIncarnation(uint64_t at_least) {
  self_.incarnation = std::max(self_.incarnation, at_least) + 1;
  for (auto& [id, known] : table_.All()) known.has_our_record = false;
  QueueChange(self_.id);
}

void Membership::QueueChange(const EntryVmId& id) {
  queued_changes_[id] = 0;
  push_pending_ = true;
}

uint32_t Membership::RetransmitLimit() const {
  return kRetransmitFactor * static_cast<uint32_t>(std::bit_width(table_.LiveCount() + 1));
}

std::vector<KnownMember*> Membership::RandomLive(size_t max_count, const EntryVmId& except) {
  std::vector<KnownMember*> live = table_.Live();
  std::erase_if(live, [&except](const KnownMember* it) { return it->record.id == except; });
  for (size_t i = 0; i < live.size() && i < max_count; ++i) {
    std::uniform_int_distribution<size_t> pick(i, live.size() - 1);
    std::swap(live[i], live[pick(random_)]);
  }
  if (live.size() > max_count) live.resize(max_count);
  return live;
}

bool Membership::KnowsAddress(const Endpoint& peer) const {
  if (peer == self_.peer) return true;
  return std::any_of(table_.All().begin(), table_.All().end(), [&peer](const auto& it) {
    return it.second.record.health != MemberHealth::kGone && it.second.record.peer == peer;
  });
}

}  // namespace cowsliphill
