// Obtains, holds and ends this entry VM's claims: runs the state machines of claim_protocol.h
// against the platform's table.
//
//   ClaimKeeper keeper(table, clock, seed, self, settings);
//   keeper.Begin(request, [&](const ClaimAnswer& answer) { ... });
//   ...                            // On Proceed: send the request before its deadline.
//   keeper.Finish(claim, {Outcome::kRan, kept_answer});
//
// Begin's callback runs exactly once, possibly inside Begin. After Proceed, Finish must be called
// exactly once, also when the request was not sent because its deadline had passed. Finish returns
// at once; its write is retried in the background until the claim's row is final. Call Tick at
// NextWake, or every few milliseconds. Everything runs on one thread.
//
// Every answer other than Proceed, ClaimUnavailable included, means that this attempt did not run.
// Only the answers with a `first` field say what an earlier attempt with the same key did.

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
  uint64_t repeats = 0;  // Answered with the stored answer of the earlier request.
  uint64_t still_running = 0;
  uint64_t unknown = 0;      // Answered with OutcomeUnknown.
  uint64_t mismatches = 0;   // Key was used for another request.
  uint64_t expired = 0;      // Key was past its lifetime.
  uint64_t unavailable = 0;  // Answered with ClaimUnavailable; the attempt did not run.
  uint64_t settled = 0;      // Final rows written.
  uint64_t superseded = 0;   // Final rows not written because the row was another attempt's.
  // Final rows given up for lack of memory; repeats get StillRunning and later OutcomeUnknown.
  uint64_t settle_dropped = 0;
  uint64_t malformed_rows = 0;
  uint64_t commits = 0;  // Commit calls to the table.
  uint64_t reads = 0;    // Get calls to the table.
};

template <TableClient Table>
class ClaimKeeper {
 public:
  using Done = std::function<void(ClaimAnswer)>;

  // `seed` is for nonces and jitter, and must differ between processes. `self` must never be
  // reused, because it is part of the nonces.
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
    const ClockReadings at = Now();
    const bool has_capacity = attempts_.size() < settings_.max_pending_attempts;
    if (!has_capacity || !circuit_.Allow(at.now)) {
      ++counters_.unavailable;
      done(ClaimUnavailable{settings_.retry_after});
      return;
    }
    const uint64_t id = ++last_attempt_id_;
    PendingAttempt& it =
        attempts_
            .emplace(id, PendingAttempt{ClaimAttempt(std::move(request), NewNonce(id), self_, at,
                                                     settings_),
                                        std::move(done)})
            .first->second;
    attempt_deadlines_.emplace(it.attempt.ClaimDeadline(), id);
    ExecuteStep(id, it.attempt.Start(at));
  }

  void Finish(const Claim& claim, const ClaimOutcome& outcome) {
    const auto it = held_.find(claim.nonce);
    assert(it != held_.end() &&
           "Finish must be called exactly once for each claim that this keeper granted.");
    if (it == held_.end()) return;
    Settlement settlement{claim.row_key, std::move(it->second), claim.version};
    held_.erase(it);
    settlement.row.state = StateOf(outcome.outcome);
    if (outcome.outcome == Outcome::kRan) settlement.row.answer = WithoutLargeBody(outcome.answer);
    if (circuit_.Open()) {
      Enqueue(std::move(settlement));
    } else {
      Settle(std::move(settlement));
    }
  }

  // Ends attempts past their claim deadline and writes queued settlements that are due.
  void Tick() {
    const MonotonicTime now = clock_.Now();
    EndTimedOutAttempts(now);
    while (settlements_in_flight_ < kMaxConcurrentSettlements) {
      std::optional<Settlement> settlement = queue_.TakeDue(now);
      if (!settlement) break;
      Settle(std::move(*settlement));
    }
  }

  std::optional<MonotonicTime> NextWake() const {
    std::optional<MonotonicTime> wake;
    if (settlements_in_flight_ < kMaxConcurrentSettlements) wake = queue_.NextWake();
    if (attempt_deadlines_.empty()) return wake;
    return wake ? std::min(*wake, attempt_deadlines_.begin()->first)
                : attempt_deadlines_.begin()->first;
  }

  const ClaimCounters& Counters() const { return counters_; }
  size_t PendingAttempts() const { return attempts_.size(); }  // Attempts waiting for the table.
  size_t Held() const { return held_.size(); }                 // Claims without a Finish call yet.
  // Finished claims whose final row is not written yet.
  size_t Settling() const { return queue_.Size() + settlements_in_flight_; }
  bool TableReachable() const { return !circuit_.Open(); }

 private:
  struct PendingAttempt {
    ClaimAttempt attempt;
    Done done;
  };

  // Tick starts no settlement write while this many are in flight.
  static constexpr size_t kMaxConcurrentSettlements = 4;

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

  static KeptAnswer WithoutLargeBody(KeptAnswer answer) {
    if (answer.body.size() <= kKeptBodyBytes) return answer;
    answer.body.clear();
    answer.body_kept = false;
    return answer;
  }

  ClockReadings Now() const { return ClockReadings{clock_.Now(), clock_.WallNow()}; }

  std::string NewNonce(uint64_t id) {
    return self_.Text() + "/" + std::to_string(id) + "/" + std::to_string(random_());
  }

  void ExecuteStep(uint64_t id, ClaimStep step) {
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
      RecordTableResult(!std::holds_alternative<PlatformError>(result));
      const auto it = attempts_.find(id);
      if (it != attempts_.end()) ExecuteStep(id, it->second.attempt.OnCommit(result, Now()));
    });
  }

  void Read(uint64_t id, std::string key) {
    ++counters_.reads;
    table_.Get(std::move(key), [this, id, alive = Alive()](GetResult result) {
      if (alive.expired()) return;
      RecordTableResult(Ok(result));
      const auto it = attempts_.find(id);
      if (it != attempts_.end()) ExecuteStep(id, it->second.attempt.OnRead(result, Now()));
    });
  }

  void End(uint64_t id, ClaimAnswer answer) {
    const auto it = attempts_.find(id);
    if (const auto* proceed = std::get_if<Proceed>(&answer)) {
      held_.emplace(proceed->claim.nonce, it->second.attempt.ClaimedRow());
    }
    Count(answer);
    const Done done = std::move(it->second.done);
    attempt_deadlines_.erase({it->second.attempt.ClaimDeadline(), id});
    attempts_.erase(it);
    done(std::move(answer));
  }

  void EndTimedOutAttempts(MonotonicTime now) {
    while (!attempt_deadlines_.empty() && attempt_deadlines_.begin()->first <= now) {
      const uint64_t id = attempt_deadlines_.begin()->second;
      RecordTableResult(false);
      ExecuteStep(id, attempts_.at(id).attempt.OnTimeout());
    }
  }

  void Enqueue(Settlement settlement) {
    if (!queue_.Add(std::move(settlement))) ++counters_.settle_dropped;
  }

  void Settle(Settlement settlement) {
    ++settlements_in_flight_;
    ++counters_.commits;
    ConditionalWrite write = SettlementWrite(settlement);
    table_.Commit({std::move(write)}, [this, settlement = std::move(settlement),
                                       alive = Alive()](const CommitResult& result) mutable {
      if (alive.expired()) return;
      --settlements_in_flight_;
      RecordTableResult(!std::holds_alternative<PlatformError>(result));
      OnSettleResult(std::move(settlement), result);
    });
  }

  void OnSettleResult(Settlement settlement, const CommitResult& result) {
    switch (AdvanceSettlement(settlement, result)) {
      case SettleProgress::kDone:
        ++counters_.settled;
        break;
      case SettleProgress::kSuperseded:
        ++counters_.superseded;
        break;
      case SettleProgress::kRetryNow:
        Settle(std::move(settlement));
        break;
      case SettleProgress::kRetryLater:
        Enqueue(std::move(settlement));
        break;
    }
  }

  void RecordTableResult(bool answered) {
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
  uint64_t last_attempt_id_ = 0;
  size_t settlements_in_flight_ = 0;  // Settlement writes that wait for a result.
  std::unordered_map<uint64_t, PendingAttempt> attempts_;  // By attempt id; waiting for the table.
  std::set<std::pair<MonotonicTime, uint64_t>> attempt_deadlines_;  // Claim deadline, attempt id.
  std::unordered_map<std::string, ClaimRow> held_;  // Rows of held claims by nonce, until Finish.
  // Expires with this object; callbacks check it before they use `this`.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLAIMS_CLAIM_KEEPER_H_
