// Holds this entry VM's claims: the thin shell that joins the protocol to the table.
//
//   ClaimKeeper keeper(table, clock, seed, self, settings);
//   keeper.Begin(request, [&](const ClaimAnswer& answer) { ... });
//   ...                            // On Proceed: send, unless the deadline has passed by then.
//   keeper.Finish(claim, {Outcome::kRan, kept_answer});
//
// Begin's callback runs exactly once, possibly inside Begin. After Proceed, Finish must follow,
// once. Finish returns at once; its write is repeated in the background until it is settled.
// Call Tick at NextWake, or every few milliseconds. Everything runs on one thread.
//
// ClaimUnavailable and every other answer but Proceed mean that this try did not run. What earlier
// tries under the same key did is told only by the answers that name `first`.

#ifndef COWSLIPHILL_CLAIMS_CLAIM_KEEPER_H_
#define COWSLIPHILL_CLAIMS_CLAIM_KEEPER_H_

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "src/base/clock.h"
#include "src/claims/claim.h"
#include "src/claims/claim_protocol.h"
#include "src/claims/settle_queue.h"
#include "src/claims/table_circuit.h"
#include "src/storage/platform.h"

namespace cowsliphill {

struct ClaimCounters {
  uint64_t begun = 0;
  uint64_t proceeded = 0;
  uint64_t repeats = 0;  // Answered with the first one's answer.
  uint64_t still_running = 0;
  uint64_t unknown = 0;
  uint64_t mismatches = 0;      // Key used for another request.
  uint64_t expired = 0;         // Key past its lifetime.
  uint64_t unavailable = 0;     // Refused as not run.
  uint64_t settled = 0;         // Final rows written.
  uint64_t superseded = 0;      // Final rows not written, as another try's row stood there.
  uint64_t settle_dropped = 0;  // Final rows given up; repeats are told "unknown".
  uint64_t malformed_rows = 0;
  uint64_t commits = 0;  // Calls to the table.
  uint64_t reads = 0;
};

template <TableClient Table>
class ClaimKeeper {
 public:
  using Done = std::function<void(ClaimAnswer)>;

  // `seed` feeds nonces and jitter; it must differ between processes. `self` is never reused.
  ClaimKeeper(Table& table, const Clock& clock, uint64_t seed, EntryVmId self,
              ClaimSettings settings = {})
      : table_(table),
        clock_(clock),
        random_(seed),
        self_(std::move(self)),
        settings_(settings),
        circuit_(settings),
        queue_(settings, random_()) {}
  ClaimKeeper(const ClaimKeeper&) = delete;
  ClaimKeeper& operator=(const ClaimKeeper&) = delete;

  void Begin(ClaimRequest request, Done done) {
    ++counters_.begun;
    const ClaimTime at = Now();
    const bool room = open_.size() < settings_.open_limit;
    if (!room || !circuit_.Allow(at.now)) {
      ++counters_.unavailable;
      done(ClaimUnavailable{settings_.retry_after});
      return;
    }
    const uint64_t id = ++last_id_;
    Try& it =
        open_
            .emplace(id, Try{ClaimAttempt(std::move(request), NewNonce(id), self_, at, settings_),
                             std::move(done)})
            .first->second;
    ends_.emplace(it.attempt.AnswerBy(), id);
    Follow(id, it.attempt.Start(at));
  }

  void Finish(const Claim& claim, const ClaimOutcome& outcome) {
    const auto it = held_.find(claim.nonce);
    assert(it != held_.end() && "Finish a claim that Proceed gave to this keeper, exactly once.");
    if (it == held_.end()) return;
    Settlement settlement{claim.row_key, std::move(it->second), claim.version};
    held_.erase(it);
    settlement.row.state = StateOf(outcome.outcome);
    if (outcome.outcome == Outcome::kRan) settlement.row.answer = Trimmed(outcome.answer);
    if (circuit_.Open()) {
      Enqueue(std::move(settlement));
    } else {
      Settle(std::move(settlement));
    }
  }

  // Ends tries whose time is up and goes on with settling.
  void Tick() {
    const MonotonicTime now = clock_.Now();
    EndLateTries(now);
    while (settling_ < kMostSettling) {
      std::optional<Settlement> settlement = queue_.TakeDue(now);
      if (!settlement) break;
      Settle(std::move(*settlement));
    }
  }

  std::optional<MonotonicTime> NextWake() const {
    std::optional<MonotonicTime> wake;
    if (settling_ < kMostSettling) wake = queue_.NextWake();
    if (ends_.empty()) return wake;
    return wake ? std::min(*wake, ends_.begin()->first) : ends_.begin()->first;
  }

  const ClaimCounters& Counters() const { return counters_; }
  size_t Open() const { return open_.size(); }  // Tries waiting for the table.
  size_t Held() const { return held_.size(); }  // Claims that Finish must still end.
  size_t Settling() const { return queue_.Size() + settling_; }
  bool TableReachable() const { return !circuit_.Open(); }

 private:
  struct Try {
    ClaimAttempt attempt;
    Done done;
  };

  static constexpr size_t kMostSettling = 4;  // Background writes at the same time.

  static ClaimState StateOf(Outcome outcome) {
    switch (outcome) {
      case Outcome::kRan:
        return ClaimState::kRan;
      case Outcome::kNotRun:
        return ClaimState::kNotRun;
      case Outcome::kUnknown:
        return ClaimState::kUnknown;
    }
    return ClaimState::kUnknown;
  }

  static KeptAnswer Trimmed(KeptAnswer answer) {
    if (answer.body.size() <= kKeptBodyBytes) return answer;
    answer.body.clear();
    answer.body_kept = false;
    return answer;
  }

  ClaimTime Now() const { return ClaimTime{clock_.Now(), clock_.WallNow()}; }

  std::string NewNonce(uint64_t id) {
    return self_.Text() + "/" + std::to_string(id) + "/" + std::to_string(random_());
  }

  void Follow(uint64_t id, ClaimStep step) {
    if (step.malformed_row) ++counters_.malformed_rows;
    if (step.settlement) Enqueue(std::move(*step.settlement));
    if (step.answer) {
      End(id, std::move(*step.answer));
    } else if (auto* write = std::get_if<ConditionalWrite>(&step.call)) {
      Commit(id, std::move(*write));
    } else if (auto* read = std::get_if<ReadRow>(&step.call)) {
      Read(id, std::move(read->key));
    }
  }

  void Commit(uint64_t id, ConditionalWrite write) {
    ++counters_.commits;
    table_.Commit({std::move(write)}, [this, id, alive = Alive()](CommitResult result) {
      if (alive.expired()) return;
      NoteTable(!std::holds_alternative<PlatformError>(result));
      const auto it = open_.find(id);
      if (it != open_.end()) Follow(id, it->second.attempt.OnCommit(result, Now()));
    });
  }

  void Read(uint64_t id, std::string key) {
    ++counters_.reads;
    table_.Get(std::move(key), [this, id, alive = Alive()](GetResult result) {
      if (alive.expired()) return;
      NoteTable(Ok(result));
      const auto it = open_.find(id);
      if (it != open_.end()) Follow(id, it->second.attempt.OnRead(result, Now()));
    });
  }

  void End(uint64_t id, ClaimAnswer answer) {
    const auto it = open_.find(id);
    if (const auto* proceed = std::get_if<Proceed>(&answer)) {
      held_.emplace(proceed->claim.nonce, it->second.attempt.Claimed());
    }
    Count(answer);
    const Done done = std::move(it->second.done);
    ends_.erase({it->second.attempt.AnswerBy(), id});
    open_.erase(it);
    done(std::move(answer));
  }

  void EndLateTries(MonotonicTime now) {
    while (!ends_.empty() && ends_.begin()->first <= now) {
      const uint64_t id = ends_.begin()->second;
      NoteTable(false);
      Follow(id, open_.at(id).attempt.OnTimeout());
    }
  }

  void Enqueue(Settlement settlement) {
    if (!queue_.Add(std::move(settlement))) ++counters_.settle_dropped;
  }

  void Settle(Settlement settlement) {
    ++settling_;
    ++counters_.commits;
    ConditionalWrite write = WriteOf(settlement);
    table_.Commit({std::move(write)}, [this, settlement = std::move(settlement),
                                       alive = Alive()](const CommitResult& result) mutable {
      if (alive.expired()) return;
      --settling_;
      NoteTable(!std::holds_alternative<PlatformError>(result));
      OnSettleResult(std::move(settlement), result);
    });
  }

  void OnSettleResult(Settlement settlement, const CommitResult& result) {
    switch (Advance(settlement, result)) {
      case SettleProgress::kDone:
        ++counters_.settled;
        break;
      case SettleProgress::kSuperseded:
        ++counters_.superseded;
        break;
      case SettleProgress::kAgain:
        Settle(std::move(settlement));
        break;
      case SettleProgress::kLater:
        Enqueue(std::move(settlement));
        break;
    }
  }

  void NoteTable(bool answered) {
    if (answered) {
      circuit_.OnAnswered();
      queue_.OnTableAnswered();
    } else {
      circuit_.OnFailed(clock_.Now());
      queue_.OnTableFailed(clock_.Now());
    }
  }

  void Count(const ClaimAnswer& answer) {
    struct Counter {
      ClaimCounters& counters;
      void operator()(const Proceed&) const { ++counters.proceeded; }
      void operator()(const Repeat&) const { ++counters.repeats; }
      void operator()(const StillRunning&) const { ++counters.still_running; }
      void operator()(const OutcomeUnknown&) const { ++counters.unknown; }
      void operator()(const KeyMismatch&) const { ++counters.mismatches; }
      void operator()(const KeyExpired&) const { ++counters.expired; }
      void operator()(const ClaimUnavailable&) const { ++counters.unavailable; }
    };
    std::visit(Counter{counters_}, answer);
  }

  std::weak_ptr<bool> Alive() const { return alive_; }

  Table& table_;
  const Clock& clock_;
  std::mt19937_64 random_;
  EntryVmId self_;
  ClaimSettings settings_;
  TableCircuit circuit_;
  SettleQueue queue_;
  ClaimCounters counters_;
  uint64_t last_id_ = 0;
  size_t settling_ = 0;                                // Background writes without a result.
  std::unordered_map<uint64_t, Try> open_;             // Waiting for the table.
  std::set<std::pair<MonotonicTime, uint64_t>> ends_;  // When waiting ends, of each in open_.
  std::unordered_map<std::string, ClaimRow> held_;     // By nonce; until Finish.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // Expires with the keeper.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLAIMS_CLAIM_KEEPER_H_
