// Decides when an entry VM reads one table of the platform's store itself and when it relies on the
// catalog updates of other entry VMs. Does no I/O; the caller passes the time.
//
// Every entry VM has a rank in an election order, 0 first. The store reader, normally rank 0, keeps
// a call to the store open all the time and sends the others an update after each answer, also if
// nothing has changed. An entry VM that receives no update for its staleness timeout calls the
// store itself; if the store answers, it takes over as reader and sends updates in turn. The
// timeout grows with the rank, so that the entry VMs don't all call at once.
//
// The predecessors of an entry VM are those with a lower rank; one is active if its last update
// arrived less than predecessor_timeout ago. Ranks above max_rank_steps are called high ranks.
//
// An entry VM that has missed a change, or that has no catalog yet and has a startup_peer_timeout,
// first requests the catalog from a peer: a hundred entry VMs that each read the table would load
// the store more than the change itself does.

#ifndef COWSLIPHILL_CATALOG_TABLE_WATCH_H_
#define COWSLIPHILL_CATALOG_TABLE_WATCH_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

#include "src/base/clock.h"
#include "src/catalog/catalog.h"

namespace cowsliphill {

struct TableWatchOptions {
  // How long the store may hold a watch call open while nothing changes.
  std::chrono::milliseconds long_poll_timeout{500};
  // The staleness of a table is the time since its version was last known to be the newest. Above
  // this staleness the entry VM of rank 0 would call the store itself.
  std::chrono::milliseconds staleness_timeout{1000};
  // Added to staleness_timeout for each rank up to max_rank_steps.
  std::chrono::milliseconds staleness_step{60};
  // Backoff after a failed call; it doubles up to the maximum.
  std::chrono::milliseconds initial_backoff{200};
  std::chrono::milliseconds max_backoff{600};
  // Maximum backoff while a predecessor is active: the predecessor retries too and sends an update
  // once it succeeds.
  std::chrono::milliseconds max_backoff_with_predecessor{8000};
  // A predecessor counts as active for this long after its last update.
  std::chrono::milliseconds predecessor_timeout{1500};
  // Staleness above which the store counts as unreachable. A failed store reader is replaced
  // sooner, so its failure does not count as an outage of the store.
  std::chrono::milliseconds outage_threshold{2000};
  // Highest rank that adds a staleness_step. Higher ranks use the staleness timeout of this rank.
  // While a predecessor is active they use high_rank_staleness_timeout and
  // high_rank_staleness_step instead.
  uint32_t max_rank_steps = 8;
  // Staleness timeout and shortest backoff of high ranks while a predecessor is active. The ranks
  // up to max_rank_steps have called the store by then.
  std::chrono::milliseconds high_rank_staleness_timeout{4000};
  // Added to high_rank_staleness_timeout for each rank above max_rank_steps, so that the first
  // entry VM whose call succeeds saves the others theirs.
  std::chrono::milliseconds high_rank_staleness_step{40};
  // Shortest time from the start of a call to the store to the next call or request to a peer. The
  // backoff replaces it if the call fails, and a report of a newer version may end it early.
  std::chrono::milliseconds min_call_interval{250};
  // How long to wait for a peer's answer to a request.
  std::chrono::milliseconds peer_timeout{150};
  // An entry VM that missed a change calls the store after this many requests to peers that did not
  // bring it up to date.
  uint32_t max_peer_requests = 3;
  // How long a starting entry VM sends requests to peers before it reads the store; 0: it reads the
  // store at once.
  std::chrono::milliseconds startup_peer_timeout{0};
  // The same while no peer has given a sign of life; 0: no difference. The seeds may start later.
  std::chrono::milliseconds startup_silent_timeout{0};
  // Replaces peer_timeout while no peer has given a sign of life.
  std::chrono::milliseconds silent_peer_timeout{50};
};

class TableWatch {
 public:
  // What to do next. kWatch reads the changes by a call that the store may hold open; kCheck reads
  // them by a call that the store answers at once.
  enum class Step { kNone, kRequestFromPeer, kReadTable, kWatch, kCheck };

  explicit TableWatch(TableWatchOptions options = {}) : options_(options) {}

  // `rank`: position in the election order, 0 first. For kReadTable, kWatch and kCheck the caller
  // starts the call and reports its end by OnAnswer, OnFailure, OnTooLarge or OnHistoryGone.
  Step Next(uint32_t rank, MonotonicTime now) {
    is_high_rank_ = rank > options_.max_rank_steps;
    if (call_open_ || now < not_before_) return Step::kNone;
    if (!is_loaded_) {
      if (!started_) started_ = now;
      const bool is_silent = !heard_peer_ && options_.startup_silent_timeout.count() > 0;
      const Duration limit =
          is_silent ? std::min(options_.startup_silent_timeout, options_.startup_peer_timeout)
                    : options_.startup_peer_timeout;
      const Duration remaining = limit - (now - *started_);
      const Duration wait = is_silent ? options_.silent_peer_timeout : options_.peer_timeout;
      if (remaining > Duration{}) return RequestFromPeer(std::min(remaining, wait), now);
      return BeginCall(Step::kReadTable, now);
    }
    if (behind_) {
      return peer_requests_ < options_.max_peer_requests
                 ? RequestFromPeer(options_.peer_timeout, now)
                 : BeginCall(Step::kCheck, now);
    }
    if (rank == 0 || has_taken_over_) return BeginCall(Step::kWatch, now);
    if (now - confirmed_ >= StalenessTimeout(rank, now)) {
      taking_over_ = true;
      return BeginCall(Step::kCheck, now);
    }
    return Step::kNone;
  }

  // When Next will return a step, if neither a call ends nor an update arrives before; nullopt
  // while a call is open.
  std::optional<MonotonicTime> NextWake(uint32_t rank, MonotonicTime now) const {
    if (call_open_) return std::nullopt;
    const bool relies_on_others = is_loaded_ && !behind_ && rank != 0 && !has_taken_over_;
    if (!relies_on_others) return not_before_;
    MonotonicTime stale = confirmed_ + OwnStalenessTimeout(rank);
    if (rank > options_.max_rank_steps && HasActivePredecessor(now)) {
      // The longer timeout applies until the predecessor falls silent.
      const MonotonicTime silent = last_predecessor_update_ + options_.predecessor_timeout;
      stale = std::max(stale, std::min(silent, confirmed_ + HighRankStalenessTimeout(rank)));
    }
    return std::max(not_before_, stale);
  }

  // Another entry VM is alive. One that has received a request answers it, or has it answered.
  void OnPeerAlive() {
    if (std::exchange(heard_peer_, true) || is_loaded_ || call_open_ || peer_requests_ == 0) return;
    not_before_ = requested_at_ + options_.peer_timeout;
  }

  // The store answered with everything up to `version`.
  void OnAnswer(uint64_t version, MonotonicTime now) {
    NoteVersion(version, now);
    call_open_ = false;
    backoff_ = Duration{};
    must_read_table_ = false;
    RecordOutageEnd(now);
    is_loaded_ = true;
    behind_ = false;
    peer_requests_ = 0;
    version_ = std::max(version_, version);
    newest_known_ = version_;
    confirmed_ = now;
    // taking_over_ is unset if a predecessor that reaches the store sent an update during the call.
    if (taking_over_) has_taken_over_ = true;
    taking_over_ = false;
  }
  void OnFailure(MonotonicTime now) {
    call_open_ = false;
    peer_requests_ = 0;
    const bool has_active_predecessor = HasActivePredecessor(now);
    const Duration max_backoff =
        has_active_predecessor ? options_.max_backoff_with_predecessor : options_.max_backoff;
    backoff_ = std::clamp<Duration>(backoff_ * 2,
                                    has_active_predecessor && is_high_rank_
                                        ? options_.high_rank_staleness_timeout
                                        : options_.initial_backoff,
                                    max_backoff);
    not_before_ = now + backoff_;
  }
  // The answer was too large to be received. The changes only grow, so the table is read instead.
  void OnTooLarge(MonotonicTime now) {
    OnFailure(now);
    must_read_table_ = true;
  }
  void OnHistoryGone() {
    call_open_ = false;
    must_read_table_ = true;
    not_before_ = MonotonicTime{};
  }
  // A store that has come back from an older copy has lost entries that will be written again, as
  // after an outage. To be called before the content of a version is applied.
  void NoteVersion(uint64_t version, MonotonicTime now) {
    if (is_loaded_ && EraOf(version) > EraOf(version_)) outage_end_ = now;
  }
  // What a catalog update of another entry VM says about this table.
  struct TableUpdate {
    uint64_t version = 0;
    bool is_caught_up = false;      // The changes in the update bring this entry VM to `version`.
    bool from_predecessor = false;  // The sender has a lower rank.
    bool reaches_store = true;      // The store has just answered the sender.
    MonotonicTime confirmed;        // When the sender last knew `version` to be the newest.
    bool is_snapshot = false;    // The update brings this entry VM to `version` from any version.
    bool only_in_store = false;  // Entry VMs don't send the change; it must be read from the store.
  };
  void OnTableUpdate(const TableUpdate& update, MonotonicTime now) {
    if (update.from_predecessor) {
      has_predecessor_update_ = true;
      last_predecessor_update_ = now;
      // A predecessor that reaches the store reads it for all, even if its version is a little
      // behind. A predecessor that does not reach it may only repeat what this entry VM has sent.
      if (update.reaches_store) {
        taking_over_ = false;
        has_taken_over_ = false;
      }
    }
    newest_known_ = std::max(newest_known_, update.version);
    if ((!is_loaded_ && !update.is_snapshot) || update.version < version_) return;
    if (update.version > version_ && !update.is_caught_up && !update.is_snapshot) {
      behind_ = true;
      // Others reach the store, so this entry VM may reach it too: its backoff ends.
      if (peer_requests_ == 0) not_before_ = std::min(not_before_, now);
      if (update.only_in_store) peer_requests_ = options_.max_peer_requests;
      return;
    }
    RecordOutageEnd(now);
    is_loaded_ = true;
    version_ = update.version;
    confirmed_ = std::max(confirmed_, update.confirmed);
    // The peer that sent a snapshot may itself have missed a newer change.
    behind_ = version_ < newest_known_;
    if (!behind_) peer_requests_ = 0;
  }

  bool IsLoaded() const { return is_loaded_; }
  uint64_t Version() const { return version_; }
  // The newest version known to exist, whether this entry VM has it or another one reported it.
  uint64_t NewestKnown() const { return std::max(newest_known_, version_); }
  // When Version() was last known to be the newest.
  MonotonicTime Confirmed() const { return confirmed_; }
  bool HasTakenOver() const { return has_taken_over_; }
  // Whether there probably are changes after Version(): one was reported, or the last call failed.
  bool MayLackChanges() const { return behind_ || backoff_ > Duration{}; }
  std::chrono::milliseconds LongPollTimeout() const { return options_.long_poll_timeout; }
  // Whether the store is unreachable, or was so less than `span` ago.
  bool OutageWithin(Duration span, MonotonicTime now) const {
    return is_loaded_ && (now - confirmed_ > options_.outage_threshold || now - outage_end_ < span);
  }

 private:
  bool HasActivePredecessor(MonotonicTime now) const {
    return has_predecessor_update_ && now - last_predecessor_update_ < options_.predecessor_timeout;
  }

  Duration StalenessTimeout(uint32_t rank, MonotonicTime now) const {
    const bool leaves_calls_to_others = is_high_rank_ && HasActivePredecessor(now);
    return leaves_calls_to_others ? HighRankStalenessTimeout(rank) : OwnStalenessTimeout(rank);
  }
  Duration OwnStalenessTimeout(uint32_t rank) const {
    return options_.staleness_timeout +
           options_.staleness_step * std::min(rank, options_.max_rank_steps);
  }
  Duration HighRankStalenessTimeout(uint32_t rank) const {
    return options_.high_rank_staleness_timeout +
           options_.high_rank_staleness_step * (rank - options_.max_rank_steps);
  }

  Step RequestFromPeer(Duration wait, MonotonicTime now) {
    ++peer_requests_;
    requested_at_ = now;
    not_before_ = now + wait;
    return Step::kRequestFromPeer;
  }

  Step BeginCall(Step step, MonotonicTime now) {
    call_open_ = true;
    not_before_ = now + options_.min_call_interval;
    return must_read_table_ ? Step::kReadTable : step;
  }

  void RecordOutageEnd(MonotonicTime now) {
    if (is_loaded_ && now - confirmed_ > options_.outage_threshold) outage_end_ = now;
  }

  TableWatchOptions options_;
  bool is_loaded_ = false;        // This entry VM has the table as of version_.
  bool behind_ = false;           // Another entry VM reported a newer version.
  bool must_read_table_ = false;  // The changes since version_ are too large to be received.
  bool call_open_ = false;        // A call to the store has not ended yet.
  bool has_taken_over_ = false;   // This entry VM is the store reader in place of a predecessor.
  bool taking_over_ = false;      // If the open call succeeds, has_taken_over_ will be set.
  bool has_predecessor_update_ = false;  // An update of a predecessor has arrived.
  bool is_high_rank_ = false;            // The rank at the last Next was above max_rank_steps.
  bool heard_peer_ = false;              // Another entry VM has given a sign of life.
  MonotonicTime requested_at_{};         // When a peer was last sent a request.
  uint32_t peer_requests_ = 0;  // Requests to peers since a call last succeeded or failed, or
                                // since this entry VM was last up to date.
  uint64_t version_ = 0;
  uint64_t newest_known_ = 0;             // Newest version reported since the store's last answer.
  std::optional<MonotonicTime> started_;  // When Next was called first.
  Duration backoff_{};
  MonotonicTime confirmed_{};   // When version_ was last known to be the newest.
  MonotonicTime not_before_{};  // Earliest time of the next call to the store or request to a peer.
  MonotonicTime outage_end_{};  // When the last outage of the store ended.
  MonotonicTime last_predecessor_update_{};  // When the last update of a predecessor arrived.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CATALOG_TABLE_WATCH_H_
