// When an entry VM asks the platform's store about one table, and when it relies on another's
// news. Pure.
//
// One entry VM, the first in the order of election, holds a call to the store all the time and
// tells the others what it hears, or that nothing has changed. Who hears nothing for its patience
// asks for itself and tells the others in turn, so the first of them takes over. Patience grows
// with the place in the order, so that they don't all ask at once.
//
// Who knows nothing yet, or has missed a change, asks another entry VM first: a hundred that each
// asked the store would cost more than the change.

#ifndef COWSLIPHILL_CATALOG_TABLE_WATCH_H_
#define COWSLIPHILL_CATALOG_TABLE_WATCH_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "src/base/clock.h"

namespace cowsliphill {

struct TableWatchTimes {
  std::chrono::milliseconds hold{500};          // The store may hold a call for so long.
  std::chrono::milliseconds patience{1000};     // Without news; then one asks for itself.
  std::chrono::milliseconds patience_step{60};  // More for each place in the order.
  std::chrono::milliseconds retry{200};         // After a failed call; doubles.
  std::chrono::milliseconds longest_retry{600};
  std::chrono::milliseconds led_retry{8000};     // Longest while those before us are heard: they
                                                 // try too and tell when they succeed.
  std::chrono::milliseconds heard{1500};         // After their last news they count as heard.
  std::chrono::milliseconds outage{2000};        // Longer without word from the store, by any way,
                                                 // is an outage: a dead reader is replaced sooner.
  uint32_t most_steps = 8;                       // Places beyond it are as patient as this one,
  std::chrono::milliseconds led_patience{4000};  // or, while those before them are heard, so
                                                 // patient: nine have tried by then. They retry no
                                                 // sooner either.
  std::chrono::milliseconds led_step{40};        // More of that for each place, so that the first
                                                 // who succeeds spares the rest the call.
  std::chrono::milliseconds spacing{250};        // Least time between the starts of two calls.
  std::chrono::milliseconds peer_patience{150};  // For another entry VM's answer.
  uint32_t most_asks = 3;                        // Without an answer; then the store.
  std::chrono::milliseconds start_patience{0};   // At the start peers are asked for so long first.
};

class TableWatch {
 public:
  // kCheck: a watch that isn't held.
  enum class Step { kNone, kAskPeers, kReadWhole, kWatch, kCheck };

  explicit TableWatch(TableWatchTimes times = {}) : times_(times) {}

  // `rank`: place in the order of election, 0 first.
  Step Next(uint32_t rank, MonotonicTime now) {
    far_back_ = rank > times_.most_steps;
    if (calling_ || now < not_before_) return Step::kNone;
    if (!known_) {
      if (!first_step_) first_step_ = now;
      const Duration left = times_.start_patience - (now - *first_step_);
      if (left > Duration{}) return AskPeers(std::min<Duration>(left, times_.peer_patience), now);
      return Begin(Step::kReadWhole, now);
    }
    if (behind_) {
      return asks_ < times_.most_asks ? AskPeers(times_.peer_patience, now)
                                      : Begin(Step::kCheck, now);
    }
    if (rank == 0 || reading_) return Begin(Step::kWatch, now);
    if (now - confirmed_ > PatienceOf(rank, now)) {
      taking_over_ = true;
      return Begin(Step::kCheck, now);
    }
    return Step::kNone;
  }

  // The store answered with everything up to `version`.
  void OnAnswer(uint64_t version, MonotonicTime now) {
    calling_ = false;
    retry_ = Duration{};
    NoteOutage(now);
    known_ = true;
    behind_ = false;
    asks_ = 0;
    version_ = std::max(version_, version);
    newest_ = version_;
    confirmed_ = now;
    // An answer to a call that began before those in front were heard changes nothing.
    if (taking_over_) reading_ = true;
    taking_over_ = false;
  }
  void OnFailure(MonotonicTime now) {
    calling_ = false;
    asks_ = 0;
    const bool led = IsLed(now);
    const Duration longest = led ? times_.led_retry : times_.longest_retry;
    retry_ = std::clamp<Duration>(retry_ * 2, led && far_back_ ? times_.led_patience : times_.retry,
                                  longest);
    not_before_ = now + retry_;
  }
  void OnHistoryGone() {
    calling_ = false;
    known_ = false;
  }
  // News of another entry VM.
  struct News {
    uint64_t version = 0;
    bool covered = false;         // We now have all up to `version`.
    bool from_before_us = false;  // The sender is before us in the order.
    bool reaches_store = true;    // The sender has just been answered by the store itself.
    MonotonicTime confirmed;      // When the sender last knew `version` to be the newest.
    bool whole = false;           // We have all up to `version`, whatever we had before.
    bool only_in_store = false;   // No other entry VM can tell the change.
  };
  void OnNews(const News& news, MonotonicTime now) {
    if (news.from_before_us) {
      led_ = true;
      heard_ = now;
      // Whoever is before us and in touch with the store reads for all, even if a little behind.
      // One that can't reach it may have fresh news from us.
      if (news.reaches_store) {
        taking_over_ = false;
        reading_ = false;
      }
    }
    newest_ = std::max(newest_, news.version);
    if ((!known_ && !news.whole) || news.version < version_) return;
    if (news.version > version_ && !news.covered && !news.whole) {
      behind_ = true;
      // Others reach the store: so may we.
      if (asks_ == 0) not_before_ = std::min(not_before_, now);
      if (news.only_in_store) asks_ = times_.most_asks;
      return;
    }
    NoteOutage(now);
    known_ = true;
    version_ = news.version;
    confirmed_ = std::max(confirmed_, news.confirmed);
    // Whoever was asked may lack the same change.
    behind_ = version_ < newest_;
    if (!behind_) asks_ = 0;
  }

  bool Known() const { return known_; }
  uint64_t Version() const { return version_; }
  // The newest that was heard of, ours or not.
  uint64_t Newest() const { return std::max(newest_, version_); }
  MonotonicTime Confirmed() const { return confirmed_; }
  bool IsReading() const { return reading_; }
  std::chrono::milliseconds Hold() const { return times_.hold; }
  // Whether the store is out of reach, or was until less than `span` ago.
  bool OutageWithin(Duration span, MonotonicTime now) const {
    return known_ && (now - confirmed_ > times_.outage || now - outage_end_ < span);
  }

 private:
  bool IsLed(MonotonicTime now) const { return led_ && now - heard_ < times_.heard; }

  Duration PatienceOf(uint32_t rank, MonotonicTime now) const {
    if (far_back_ && IsLed(now)) {
      return times_.led_patience + times_.led_step * (rank - times_.most_steps);
    }
    return times_.patience + times_.patience_step * std::min(rank, times_.most_steps);
  }

  Step AskPeers(Duration wait, MonotonicTime now) {
    ++asks_;
    not_before_ = now + wait;
    return Step::kAskPeers;
  }

  Step Begin(Step step, MonotonicTime now) {
    calling_ = true;
    not_before_ = now + times_.spacing;
    return step;
  }

  void NoteOutage(MonotonicTime now) {
    if (known_ && now - confirmed_ > times_.outage) outage_end_ = now;
  }

  TableWatchTimes times_;
  bool known_ = false;        // The whole was read once.
  bool behind_ = false;       // Others know more.
  bool calling_ = false;      // A call is open.
  bool reading_ = false;      // Took over from those before us.
  bool taking_over_ = false;  // The open call is to take over.
  bool led_ = false;          // Somebody before us in the order was heard, at `heard_`.
  bool far_back_ = false;     // In the order, at the last Next.
  uint32_t asks_ = 0;         // Of peers, since we are behind or a call failed.
  uint64_t version_ = 0;
  uint64_t newest_ = 0;  // Version that anybody has told of, since the store's last answer.
  std::optional<MonotonicTime> first_step_;  // The first call of Next.
  Duration retry_{};
  MonotonicTime confirmed_{};   // When the version was last known to be the newest.
  MonotonicTime not_before_{};  // No call before this.
  MonotonicTime outage_end_{};  // When the last outage was over.
  MonotonicTime heard_{};
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CATALOG_TABLE_WATCH_H_
