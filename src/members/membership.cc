#include "src/members/membership.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace cowsliphill {
namespace {

constexpr uint32_t kSpreadFactor = 3;      // Times log2 of the members: how often a change is sent.
constexpr uint32_t kMismatchesToPull = 3;  // Differing digests in a row before a page is asked for.
constexpr size_t kMaxDoubted = 64;         // Dead members that others call alive.
constexpr size_t kMaxListed = 4096;        // Addresses kept of the VM list.
constexpr size_t kContactsWhenAlone = 3;   // Addresses tried per period by a lone member.

Standing StandingOf(const KnownMember* known) {
  if (known == nullptr) return Standing::kUnknown;
  switch (known->record.health) {
    case MemberHealth::kAlive:
      return Standing::kFine;
    case MemberHealth::kSuspect:
      return Standing::kSuspect;
    default:
      return Standing::kDead;
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
  self_ = {self.id, self.edge, self.peer, self.failure_domain, self.region};
  self_.incarnation = 1;
}

// --- Periodic work ---

void Membership::Tick(MonotonicTime now) {
  if (departed_) return;
  NoticeStall(now);
  if (probe_ && !probe_->helpers_asked && now - probe_->started >= config_.direct_timeout) {
    AskHelpers();
  }
  if (now >= next_period_) BeginPeriod(now);
  ContactWhenAlone(now);
  if (table_.SuspectCount() > 0) ExpireSuspects(now);
  PushChanges();
}

// After a pause of our own nothing is known about the others: no timer of theirs has run out.
void Membership::NoticeStall(MonotonicTime now) {
  const Duration gap = now - last_tick_;
  last_tick_ = now;
  if (gap < config_.stall_limit) return;
  ++stats_.stalls;
  probe_.reset();
  table_.Postpone(gap);
}

void Membership::BeginPeriod(MonotonicTime now) {
  next_period_ = now + config_.probe_period;
  push_tokens_ = config_.pushes_per_period;
  EndProbe(now);
  StartProbe(now);
  RetryDead(now);
  ContactListed();
  ContactSeed(now);
  table_.Forget(now - config_.dead_lifetime);
}

void Membership::EndProbe(MonotonicTime now) {
  if (!probe_) return;
  KnownMember* known = table_.Find(probe_->target);
  probe_.reset();
  if (known == nullptr || known->record.health != MemberHealth::kAlive) return;
  ++stats_.suspected;
  table_.SetHealth(now, *known, MemberHealth::kSuspect);
  Spread(known->record.id);
}

void Membership::StartProbe(MonotonicTime now) {
  if (round_.empty()) {
    for (const KnownMember* known : table_.Live()) round_.push_back(known->record.id);
    std::shuffle(round_.begin(), round_.end(), random_);
  }
  while (!round_.empty()) {
    const KnownMember* known = table_.Find(round_.back());
    round_.pop_back();
    if (known == nullptr || !MemberTable::IsLive(*known)) continue;
    probe_ = Probe{known->record.id, now};
    ++stats_.pings;
    SendPing(Purpose::kPing, *known, EntryVmId());
    return;
  }
}

void Membership::AskHelpers() {
  probe_->helpers_asked = true;
  const KnownMember* target = table_.Find(probe_->target);
  if (target == nullptr) return;
  for (const KnownMember* helper : RandomLive(config_.helpers, probe_->target)) {
    GossipMessage message = Compose(GossipType::kPingOnBehalf, helper);
    message.target = target->record.id;
    message.target_peer = target->record.peer;
    ++stats_.helper_pings;
    Send({Purpose::kHelperRequest, helper->record.id, {}}, helper->record.peer, message);
  }
}

void Membership::ExpireSuspects(MonotonicTime now) {
  for (KnownMember* known : table_.Live()) {
    const bool expired =
        known->record.health == MemberHealth::kSuspect && now >= known->suspect_deadline;
    if (!expired) continue;
    ++stats_.died;
    table_.SetHealth(now, *known, MemberHealth::kDead);
    last_change_ = now;
    Spread(known->record.id);
  }
}

// Tries one dead member again: it may have been paused, or cut off together with its region.
void Membership::RetryDead(MonotonicTime now) {
  if (now < next_dead_retry_) return;
  next_dead_retry_ = now + config_.dead_retry;
  if (doubted_.empty()) {
    for (const auto& [id, known] : table_.All()) {
      if (known.record.health == MemberHealth::kDead) doubted_.push_back(id);
    }
    std::shuffle(doubted_.begin(), doubted_.end(), random_);
    if (doubted_.size() > kMaxDoubted) doubted_.resize(kMaxDoubted);
  }
  while (!doubted_.empty()) {
    const KnownMember* known = table_.Find(doubted_.back());
    doubted_.pop_back();
    if (known == nullptr || known->record.health != MemberHealth::kDead) continue;
    ++stats_.contacts;
    SendPing(Purpose::kContact, *known, EntryVmId());
    return;
  }
}

void Membership::ContactListed() {
  size_t contacts = table_.LiveCount() == 0 ? kContactsWhenAlone : 1;
  for (size_t i = 0; i < listed_.size() && contacts > 0; ++i) {
    const Endpoint& peer = listed_[next_listed_++ % listed_.size()];
    if (KnowsAddress(peer)) continue;
    Contact(peer);
    --contacts;
  }
}

void Membership::ContactSeed(MonotonicTime now) {
  const bool alone = table_.LiveCount() == 0;
  if (!alone && now < next_seed_retry_) return;
  next_seed_retry_ = now + config_.seed_retry;
  size_t contacts = alone ? kContactsWhenAlone : 1;
  for (size_t i = 0; i < config_.seeds.size() && contacts > 0; ++i) {
    const Endpoint& seed = config_.seeds[next_seed_++ % config_.seeds.size()];
    if (KnowsAddress(seed)) continue;
    Contact(seed);
    --contacts;
  }
}

// Seeds may be back later than we are; until then nobody can be found.
void Membership::ContactWhenAlone(MonotonicTime now) {
  if (table_.LiveCount() > 0 || now < next_alone_retry_) return;
  next_alone_retry_ = now + config_.alone_retry;
  const auto open = std::count_if(sent_.begin(), sent_.end(), [](const auto& item) {
    return item.second.purpose == Purpose::kContact;
  });
  if (open == 0) ContactSeed(now);
}

// --- Events ---

std::string Membership::Receive(MonotonicTime now, const EntryVmId& from,
                                const std::string& payload) {
  if (departed_) return {};
  const std::optional<GossipMessage> message = DecodeGossip(payload);
  const bool good = message && message->sender == from && from != self_.id &&
                    message->type != GossipType::kAck && message->type != GossipType::kPage;
  if (!good) {
    ++stats_.bad_messages;
    return {};
  }
  TakeIn(now, *message);
  CompareDigest(*message);
  if (message->type == GossipType::kPingOnBehalf) HelpPing(from, *message);
  if (message->type == GossipType::kOnBehalfAnswer && probe_ && probe_->target == message->target) {
    KnownMember* known = table_.Find(message->target);
    if (known != nullptr) table_.HeardFrom(now, *known);
    probe_.reset();
  }
  const bool pull = message->type == GossipType::kPull;
  GossipMessage reply =
      Compose(pull ? GossipType::kPage : GossipType::kAck, table_.Find(message->sender));
  if (pull) AddPage(reply, message->cursor);
  if (message->introduce) reply.changes.push_back(self_);
  if (!pull) AddChanges(reply);
  PushChanges();
  return EncodeGossip(reply);
}

void Membership::Replied(MonotonicTime now, GossipTag tag, const std::string& payload) {
  const auto it = sent_.find(tag);
  if (it == sent_.end()) return;
  const Sent sent = std::move(it->second);
  sent_.erase(it);
  if (sent.purpose == Purpose::kPull) pulling_ = false;
  if (departed_) return;
  const std::optional<GossipMessage> message = DecodeGossip(payload);
  const bool good = message && message->sender != self_.id &&
                    (message->type == GossipType::kAck || message->type == GossipType::kPage);
  if (!good) {
    if (!payload.empty()) ++stats_.bad_messages;
    return;
  }
  TakeIn(now, *message);
  if (message->type == GossipType::kPage) HandlePage(sent, *message);
  if (message->type == GossipType::kAck) HandleAck(now, sent, *message);
  PushChanges();
}

void Membership::Failed(GossipTag tag) {
  const auto it = sent_.find(tag);
  if (it == sent_.end()) return;
  const Sent sent = std::move(it->second);
  sent_.erase(it);
  if (sent.purpose == Purpose::kPull) pulling_ = false;
  const bool own_probe = sent.purpose == Purpose::kPing && probe_ && probe_->target == sent.target;
  if (own_probe && !probe_->helpers_asked) AskHelpers();
}

void Membership::Listed(std::vector<Endpoint> peers) {
  if (peers.size() > kMaxListed) peers.resize(kMaxListed);
  std::erase(peers, self_.peer);
  listed_ = std::move(peers);
}

void Membership::SetLeaving() {
  if (self_.leaving) return;
  self_.leaving = true;
  RaiseIncarnation(self_.incarnation);
  PushChanges();
}

void Membership::Depart() {
  self_.health = MemberHealth::kGone;
  Spread(self_.id);
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

bool Membership::Unsettled(MonotonicTime now) const {
  return table_.SuspectCount() > 0 || now - last_change_ < config_.suspicion_timeout;
}

// --- Messages ---

GossipMessage Membership::Compose(GossipType type, const KnownMember* receiver) {
  GossipMessage message;
  message.type = type;
  message.sender = self_.id;
  message.incarnation = self_.incarnation;
  message.digest = Digest();
  message.standing = StandingOf(receiver);
  if (receiver == nullptr) return message;
  message.standing_incarnation = receiver->record.incarnation;
  if (!receiver->introduced) message.changes.push_back(self_);
  return message;
}

void Membership::Send(const Sent& sent, const Endpoint& to, const GossipMessage& message) {
  const GossipTag tag = ++last_tag_;
  sent_[tag] = sent;
  actions_.emplace_back(SendGossip{tag, to, EncodeGossip(message)});
}

void Membership::SendPing(Purpose purpose, const KnownMember& target, const EntryVmId& requester) {
  GossipMessage message = Compose(GossipType::kPing, &target);
  message.target = target.record.id;
  message.introduce = target.record.health != MemberHealth::kAlive;
  AddChanges(message);
  Send({purpose, target.record.id, requester}, target.record.peer, message);
}

// Pings an address whose member is not known.
void Membership::Contact(const Endpoint& to) {
  ++stats_.contacts;
  GossipMessage message = Compose(GossipType::kPing, nullptr);
  message.introduce = true;
  message.changes.push_back(self_);
  Send({Purpose::kContact, {}, {}}, to, message);
}

void Membership::PushChanges() {
  if (!push_wanted_) return;
  push_wanted_ = false;
  const size_t most = std::min(push_tokens_, config_.push_fanout);
  for (const KnownMember* receiver : RandomLive(most, EntryVmId())) {
    GossipMessage message = Compose(GossipType::kPush, receiver);
    AddChanges(message);
    --push_tokens_;
    ++stats_.pushes;
    Send({Purpose::kPush, receiver->record.id, {}}, receiver->record.peer, message);
  }
}

void Membership::Pull(const KnownMember& from) {
  if (pulling_) return;
  pulling_ = true;
  ++stats_.pulls;
  GossipMessage message = Compose(GossipType::kPull, &from);
  message.cursor = pull_cursor_;
  Send({Purpose::kPull, from.record.id, {}}, from.record.peer, message);
}

// Adds the changes that were sent least often, and drops those sent often enough.
void Membership::AddChanges(GossipMessage& message) {
  std::vector<std::pair<uint32_t, EntryVmId>> order;
  for (const auto& [id, times] : spreading_) order.emplace_back(times, id);
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
    if (++spreading_[id] >= SpreadLimit()) spreading_.erase(id);
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

// What every message brings, whatever its type.
void Membership::TakeIn(MonotonicTime now, const GossipMessage& message) {
  // The first whole list is old news to the others.
  const bool spread = !joining_ || message.type != GossipType::kPage;
  for (const MemberRecord& record : message.changes) Apply(now, record, spread);
  const bool meant_for_other =
      message.type == GossipType::kPing && !message.target.Empty() && message.target != self_.id;
  const bool accused =
      message.standing == Standing::kSuspect || message.standing == Standing::kDead;
  if (accused && !meant_for_other && message.standing_incarnation >= self_.incarnation) {
    ++stats_.refuted;
    RaiseIncarnation(message.standing_incarnation);
  }
  KnownMember* sender = table_.Find(message.sender);
  if (sender == nullptr) return;
  sender->introduced = message.standing == Standing::kFine && !meant_for_other &&
                       message.standing_incarnation == self_.incarnation;
  table_.HeardFrom(now, *sender);
}

void Membership::HandleAck(MonotonicTime now, const Sent& sent, const GossipMessage& message) {
  const bool other_answered = !sent.target.Empty() && message.sender != sent.target;
  if (other_answered) Replaced(now, sent.target);
  CompareDigest(message);
  if (sent.purpose == Purpose::kPing && probe_ && probe_->target == sent.target) probe_.reset();
  if (sent.purpose == Purpose::kHelperPing && !other_answered) {
    const KnownMember* requester = table_.Find(sent.requester);
    if (requester == nullptr) return;
    GossipMessage answer = Compose(GossipType::kOnBehalfAnswer, requester);
    answer.target = sent.target;
    Send({Purpose::kHelperRequest, sent.requester, {}}, requester->record.peer, answer);
  }
  const KnownMember* sender = table_.Find(message.sender);
  const bool must_introduce = sender != nullptr && message.standing != Standing::kFine;
  if (must_introduce && push_tokens_ > 0) {
    --push_tokens_;
    Send({Purpose::kPush, message.sender, {}}, sender->record.peer,
         Compose(GossipType::kPush, sender));
  }
}

void Membership::HandlePage(const Sent& sent, const GossipMessage& message) {
  pull_cursor_ = message.cursor;
  if (!joining_) return;
  if (pull_cursor_.Empty()) {
    joining_ = false;
    return;
  }
  const KnownMember* from = table_.Find(sent.target);
  if (from != nullptr) Pull(*from);
}

void Membership::HelpPing(const EntryVmId& requester, const GossipMessage& message) {
  ++stats_.helper_pings;
  GossipMessage ping = Compose(GossipType::kPing, table_.Find(message.target));
  ping.target = message.target;
  AddChanges(ping);
  Send({Purpose::kHelperPing, message.target, requester}, message.target_peer, ping);
}

// Lists that stay different while nothing spreads are mended a page at a time.
void Membership::CompareDigest(const GossipMessage& message) {
  const KnownMember* sender = table_.Find(message.sender);
  if (sender == nullptr || !MemberTable::IsLive(*sender)) return;
  mismatches_ = message.digest == Digest() ? 0 : mismatches_ + 1;
  if (!joining_ && mismatches_ < kMismatchesToPull) return;
  mismatches_ = kMismatchesToPull - 1;
  Pull(*sender);
}

// --- Records ---

void Membership::Apply(MonotonicTime now, const MemberRecord& record, bool spread) {
  if (record.id == self_.id) {
    const bool accused = record.health != MemberHealth::kAlive;
    const bool newer = record.incarnation > self_.incarnation;
    if (newer || (accused && record.incarnation == self_.incarnation)) {
      ++stats_.refuted;
      RaiseIncarnation(record.incarnation);
    }
    return;
  }
  const ApplyEffect effect = table_.Apply(now, record);
  if (effect == ApplyEffect::kRefused) ++stats_.refused_records;
  if (effect == ApplyEffect::kDoubted && doubted_.size() < kMaxDoubted) {
    doubted_.push_back(record.id);
  }
  if (effect != ApplyEffect::kChanged) return;
  last_change_ = now;
  if (spread) Spread(record.id);
}

// Another process answers at the member's address: that process has ended.
void Membership::Replaced(MonotonicTime now, const EntryVmId& id) {
  KnownMember* known = table_.Find(id);
  if (known == nullptr || known->record.health == MemberHealth::kGone) return;
  table_.SetHealth(now, *known, MemberHealth::kGone);
  last_change_ = now;
  Spread(id);
}

void Membership::RaiseIncarnation(uint64_t at_least) {
  self_.incarnation = std::max(self_.incarnation, at_least) + 1;
  for (auto& [id, known] : table_.All()) known.introduced = false;
  Spread(self_.id);
}

void Membership::Spread(const EntryVmId& id) {
  spreading_[id] = 0;
  push_wanted_ = true;
}

uint32_t Membership::SpreadLimit() const {
  return kSpreadFactor * static_cast<uint32_t>(std::bit_width(table_.LiveCount() + 1));
}

std::vector<KnownMember*> Membership::RandomLive(size_t most, const EntryVmId& except) {
  std::vector<KnownMember*> live = table_.Live();
  std::erase_if(live, [&except](const KnownMember* it) { return it->record.id == except; });
  for (size_t i = 0; i < live.size() && i < most; ++i) {
    std::uniform_int_distribution<size_t> pick(i, live.size() - 1);
    std::swap(live[i], live[pick(random_)]);
  }
  if (live.size() > most) live.resize(most);
  return live;
}

bool Membership::KnowsAddress(const Endpoint& peer) const {
  if (peer == self_.peer) return true;
  return std::any_of(table_.All().begin(), table_.All().end(), [&peer](const auto& it) {
    return it.second.record.health != MemberHealth::kGone && it.second.record.peer == peer;
  });
}

}  // namespace cowsliphill
