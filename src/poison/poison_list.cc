#include "src/poison/poison_list.h"

#include <algorithm>

namespace cowsliphill {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

milliseconds AgeOf(MonotonicTime at, MonotonicTime now) {
  return duration_cast<milliseconds>(std::max(now - at, Duration{}));
}

}  // namespace

// ---- What is known ------------------------------------------------------------------------------

PoisonList::Entry& PoisonList::FindOrCreate(RequestHash hash) {
  if (entries_.size() >= kMaxRequests && entries_.count(hash) == 0) {
    const auto oldest =
        std::min_element(entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
          return std::make_pair(a.second.condemned_at.has_value(), LastCrash(a.second)) <
                 std::make_pair(b.second.condemned_at.has_value(), LastCrash(b.second));
        });
    std::erase_if(blamed_, [&](const auto& it) { return it.second == oldest->first; });
    entries_.erase(oldest);
  }
  return entries_[hash];
}

MonotonicTime PoisonList::LastCrash(const Entry& entry) {
  MonotonicTime last{};
  for (const auto& [id, at] : entry.crashes) last = std::max(last, at);
  return last;
}

std::vector<CrashId> PoisonList::Counted(RequestHash hash, const Entry& entry,
                                         MonotonicTime now) const {
  std::vector<CrashId> counted;
  for (const auto& [id, at] : entry.crashes) {
    if (entry.answered_at && at <= *entry.answered_at) continue;
    if (!entry.condemned_at && now - at > kSuspicionTime) continue;
    const auto blamed = blamed_.find(id);
    if (blamed == blamed_.end() || blamed->second == hash) counted.push_back(id);
  }
  return counted;
}

bool PoisonList::AddCrash(Entry& entry, CrashId crash, MonotonicTime at) {
  const auto it = entry.crashes.find(crash);
  if (it != entry.crashes.end()) {
    // Entry VMs that report the same crash agree on its time but for the delay of their reports.
    it->second = std::min(it->second, at);
    return false;
  }
  if (entry.crashes.size() >= kMaxCrashes) return false;
  entry.crashes[crash] = at;
  return true;
}

bool PoisonList::SetAnswered(RequestHash hash, Entry& entry, MonotonicTime at) {
  if (entry.answered_at && at <= *entry.answered_at) return false;
  entry.answered_at = at;
  if (entry.condemned_at && *entry.condemned_at <= at) {
    entry.condemned_at.reset();
    std::erase_if(blamed_, [hash](const auto& it) { return it.second == hash; });
  }
  return true;
}

// ---- Events -------------------------------------------------------------------------------------

void PoisonList::OnCrash(RequestHash hash, CrashId crash, MonotonicTime now) {
  Entry& entry = FindOrCreate(hash);
  if (!AddCrash(entry, crash, now)) return;
  changed_.push_back(hash);
  if (entry.condemned_at) return BlameCrashes(hash, entry);
  const size_t counted = Counted(hash, entry, now).size();
  if (counted > 0) events_.push_back({PoisonEvent::Kind::kSuspected, hash, counted});
}

void PoisonList::OnAnswered(RequestHash hash, MonotonicTime now) {
  const auto it = entries_.find(hash);
  if (it == entries_.end()) return;
  const size_t crashes = Counted(hash, it->second, now).size();
  ++it->second.answers;
  SetAnswered(hash, it->second, now);
  if (crashes == 0) return;
  changed_.push_back(hash);
  events_.push_back({PoisonEvent::Kind::kAcquitted, hash, crashes});
}

void PoisonList::OnRecord(const PoisonRecord& record, MonotonicTime now) {
  Entry& entry = FindOrCreate(record.hash);
  bool changed = false;
  for (const PoisonRecord::Crash& crash : record.crashes) {
    changed = AddCrash(entry, crash.id, now - crash.age) || changed;
  }
  if (record.answered_age) {
    const MonotonicTime at = now - *record.answered_age;
    const bool is_newer = !entry.answered_at || record.answers > entry.answers ||
                          at > *entry.answered_at + kAgeTolerance;
    entry.answers = std::max(entry.answers, record.answers);
    if (is_newer) changed = SetAnswered(record.hash, entry, at) || changed;
  }
  if (record.condemned_age && !entry.condemned_at) {
    const MonotonicTime at = now - *record.condemned_age;
    if (!entry.answered_at || at > *entry.answered_at) Condemn(record.hash, entry, at);
  }
  if (changed && entry.condemned_at) BlameCrashes(record.hash, entry);
}

// ---- Judgement ----------------------------------------------------------------------------------

// Whether another request, which is not condemned, shares all these crashes.
bool PoisonList::HasRival(RequestHash hash, const std::vector<CrashId>& crashes,
                          MonotonicTime now) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
    if (item.first == hash || item.second.condemned_at) return false;
    const std::vector<CrashId> others = Counted(item.first, item.second, now);
    return std::includes(others.begin(), others.end(), crashes.begin(), crashes.end());
  });
}

void PoisonList::Condemn(RequestHash hash, Entry& entry, MonotonicTime at) {
  entry.condemned_at = at;
  BlameCrashes(hash, entry);
  events_.push_back({PoisonEvent::Kind::kCondemned, hash, entry.crashes.size()});
}

void PoisonList::BlameCrashes(RequestHash hash, const Entry& entry) {
  for (const auto& [id, at] : entry.crashes) blamed_.emplace(id, hash);
}

void PoisonList::DecideIfDue(RequestHash hash, Entry& entry, MonotonicTime now) {
  if (entry.condemned_at || now - LastCrash(entry) < kDecisionTime) return;
  const std::vector<CrashId> counted = Counted(hash, entry, now);
  if (counted.size() < kCrashesUntilCondemned || HasRival(hash, counted, now)) return;
  Condemn(hash, entry, now);
}

Judgement PoisonList::Judge(RequestHash hash, bool may_try, MonotonicTime now) {
  Judgement judgement;
  const auto it = entries_.find(hash);
  if (it == entries_.end()) return judgement;
  Entry& entry = it->second;
  DecideIfDue(hash, entry, now);
  judgement.crashes = Counted(hash, entry, now).size();
  if (!entry.condemned_at) {
    const MonotonicTime decision = LastCrash(entry) + kDecisionTime;
    if (judgement.crashes > 0) judgement.verdict = Judgement::Verdict::kSuspect;
    if (judgement.crashes >= kCrashesUntilCondemned && now < decision) {
      judgement.verdict = Judgement::Verdict::kCondemned;
      judgement.retry_after = AgeOf(now, decision);
    }
    return judgement;
  }
  judgement.verdict = Judgement::Verdict::kCondemned;
  const MonotonicTime first_trial = *entry.condemned_at + kOpenAttemptTime;
  const auto trials = static_cast<size_t>(
      std::count_if(entry.crashes.begin(), entry.crashes.end(),
                    [first_trial](const auto& crash) { return crash.second > first_trial; }));
  if (trials >= kMaxTrials) {
    judgement.retry_after = kFirstTerm;
    return judgement;
  }
  const MonotonicTime term_end = LastCrash(entry) + kFirstTerm * (1 << trials);
  const MonotonicTime next_trial = std::max(term_end, entry.trial_until);
  if (now >= next_trial && may_try) {
    entry.trial_until = now + kTrialTime;
    judgement.verdict = Judgement::Verdict::kTrial;
    return judgement;
  }
  judgement.retry_after =
      now < next_trial ? AgeOf(now, next_trial) : duration_cast<milliseconds>(kTrialTime);
  return judgement;
}

size_t PoisonList::Condemned() const {
  return static_cast<size_t>(std::count_if(entries_.begin(), entries_.end(), [](const auto& it) {
    return it.second.condemned_at.has_value();
  }));
}

void PoisonList::Tick(MonotonicTime now) {
  for (auto& [hash, entry] : entries_) {
    if (entry.crashes.size() >= kCrashesUntilCondemned) DecideIfDue(hash, entry, now);
  }
  std::erase_if(entries_, [now](const auto& item) {
    const Entry& entry = item.second;
    if (entry.condemned_at) return false;
    const MonotonicTime last = LastCrash(entry);
    const bool is_answered = entry.answered_at && *entry.answered_at >= last;
    return is_answered ? now - *entry.answered_at > kAnsweredTime : now - last > kSuspicionTime;
  });
}

// ---- Records for other entry VMs ----------------------------------------------------------------

PoisonRecord PoisonList::ToRecord(RequestHash hash, const Entry& entry, MonotonicTime now) const {
  PoisonRecord record;
  record.hash = hash;
  for (const auto& [id, at] : entry.crashes) record.crashes.push_back({id, AgeOf(at, now)});
  if (entry.answered_at) record.answered_age = AgeOf(*entry.answered_at, now);
  record.answers = entry.answers;
  if (entry.condemned_at) record.condemned_age = AgeOf(*entry.condemned_at, now);
  return record;
}

std::vector<PoisonRecord> PoisonList::TakeChanges(MonotonicTime now) {
  std::vector<PoisonRecord> records;
  for (const RequestHash hash : std::exchange(changed_, {})) {
    const auto it = entries_.find(hash);
    if (it != entries_.end()) records.push_back(ToRecord(hash, it->second, now));
  }
  return records;
}

std::vector<PoisonRecord> PoisonList::NextRecords(size_t max, MonotonicTime now) {
  std::vector<PoisonRecord> records;
  auto it = entries_.lower_bound(next_record_);
  for (size_t n = 0; n < entries_.size() && records.size() < max; ++n, ++it) {
    if (it == entries_.end()) it = entries_.begin();
    if (it->second.crashes.size() > 1) records.push_back(ToRecord(it->first, it->second, now));
  }
  next_record_ = it == entries_.end() ? 0 : it->first;
  return records;
}

}  // namespace cowsliphill
