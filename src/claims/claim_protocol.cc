#include "src/claims/claim_protocol.h"

#include <algorithm>
#include <utility>

namespace cowsliphill {

namespace {

// Table writes per attempt. An attempt that needs more, because of contention, gives up.
constexpr int kMaxWrites = 6;

WallTime WallDeadline(const ClaimRequest& request, ClockReadings at) {
  const Duration left = request.deadline - at.now;
  return at.wall + std::chrono::duration_cast<std::chrono::milliseconds>(left);
}

}  // namespace

ConditionalWrite SettlementWrite(const Settlement& settlement) {
  return ConditionalWrite{settlement.row_key, settlement.expected_version, ToBytes(settlement.row)};
}

SettleProgress AdvanceSettlement(Settlement& settlement, const CommitResult& result) {
  if (std::holds_alternative<Committed>(result)) return SettleProgress::kDone;
  const auto* conflict = std::get_if<Conflict>(&result);
  if (conflict == nullptr) return SettleProgress::kRetryLater;
  if (conflict->current.empty()) return SettleProgress::kSuperseded;
  const Row& seen = conflict->current.front();
  const std::optional<ClaimRow> row = ClaimRowFromBytes(seen.value);
  if (!row || row->nonce != settlement.row.nonce) return SettleProgress::kSuperseded;
  if (row->state != ClaimState::kRunning) return SettleProgress::kDone;
  settlement.expected_version = seen.version;
  return SettleProgress::kRetryNow;
}

ClaimAttempt::ClaimAttempt(ClaimRequest request, std::string nonce, EntryVmId self,
                           ClockReadings at, const ClaimSettings& settings)
    : request_(std::move(request)),
      settings_(settings),
      row_key_(ClaimRowKey(request_.service, request_.tenant, request_.key)),
      claim_deadline_(std::min(request_.deadline, at.now + settings.claim_timeout)) {
  row_.nonce = std::move(nonce);
  row_.holder = std::move(self);
  row_.request = request_.request;
  row_.fingerprint = request_.fingerprint;
  row_.created = at.wall;
  row_.run_until = WallDeadline(request_, at);
}

ClaimStep ClaimAttempt::Start(ClockReadings at) {
  if (KeyHasExpired(at.wall)) return Answer(KeyExpired{});
  if (at.now >= request_.deadline) return GiveUp();
  return Write();
}

// A key with a timestamp in the future is refused too: its row could be swept by age while the key
// is still within its lifetime, and the request could run again.
bool ClaimAttempt::KeyHasExpired(WallTime wall) const {
  const std::optional<WallTime> time = KeyTimestamp(request_.key);
  if (!time) return settings_.dated_keys_only;
  return *time + settings_.lifetime < wall || *time > wall + settings_.clock_skew;
}

ClaimStep ClaimAttempt::Write() {
  if (++writes_sent_ > kMaxWrites) return GiveUp();
  write_in_flight_ = true;
  ClaimStep step;
  step.call = ConditionalWrite{row_key_, expected_version_, ToBytes(row_)};
  return step;
}

ClaimStep ClaimAttempt::OnCommit(const CommitResult& result, ClockReadings at) {
  if (ended_) return {};
  write_in_flight_ = false;
  if (const auto* committed = std::get_if<Committed>(&result)) {
    return OnClaimHeld(committed->versions.empty() ? 0 : committed->versions.front(), at.now);
  }
  if (const auto* conflict = std::get_if<Conflict>(&result)) {
    return OnCurrentRow(conflict->current.empty() ? Row{} : conflict->current.front(), at);
  }
  const auto& error = std::get<PlatformError>(result);
  if (error.kind == PlatformError::Kind::kUnavailable) return GiveUp();
  write_may_take_effect_ = true;
  ClaimStep step;
  step.call = ReadRow{row_key_};
  return step;
}

ClaimStep ClaimAttempt::OnRead(const GetResult& result, ClockReadings at) {
  if (ended_) return {};
  if (!Ok(result)) return GiveUp();
  return OnCurrentRow(ValueOf(result).value_or(Row{}), at);
}

// Versions are never reused, so an earlier write with unknown result can still take effect only
// while the row has exactly the version that the write expects.
ClaimStep ClaimAttempt::OnCurrentRow(const Row& seen, ClockReadings at) {
  if (seen.version == expected_version_) return Write();
  std::optional<ClaimRow> row;
  if (seen.version != 0) {
    row = ClaimRowFromBytes(seen.value);
    if (row && row->nonce == row_.nonce) {
      if (row->state == ClaimState::kRunning) return OnClaimHeld(seen.version, at.now);
      write_may_take_effect_ = false;
      return GiveUp();
    }
  }
  write_may_take_effect_ = false;
  if (seen.version == 0) {
    expected_version_ = 0;
    return Write();
  }
  if (!row) {
    ClaimStep step = GiveUp();
    step.malformed_row = true;
    return step;
  }
  return OnOtherClaim(seen, *row, at);
}

ClaimStep ClaimAttempt::OnOtherClaim(const Row& seen, const ClaimRow& other, ClockReadings at) {
  if (other.fingerprint != request_.fingerprint) return Answer(KeyMismatch{});
  if (other.created + settings_.lifetime < at.wall) return Answer(KeyExpired{});
  switch (other.state) {
    case ClaimState::kRan:
      return Answer(Repeat{other.request, other.answer});
    case ClaimState::kUnknown:
      return Answer(OutcomeUnknown{other.request});
    case ClaimState::kRunning:
      if (at.wall > other.run_until + settings_.running_grace) {
        return Answer(OutcomeUnknown{other.request});
      }
      return Answer(StillRunning{other.request, settings_.retry_after});
    case ClaimState::kNotRun:
      break;
  }
  expected_version_ = seen.version;
  return Write();
}

ClaimStep ClaimAttempt::OnClaimHeld(uint64_t version, MonotonicTime now) {
  if (now < request_.deadline) {
    return Answer(Proceed{Claim{row_key_, row_.nonce, version, request_.request}});
  }
  ClaimStep step = Answer(ClaimUnavailable{settings_.retry_after});
  step.settlement = SettleNotRun(version);
  return step;
}

ClaimStep ClaimAttempt::OnTimeout() {
  if (ended_) return {};
  return GiveUp();
}

ClaimStep ClaimAttempt::Answer(ClaimAnswer answer) {
  ended_ = true;
  ClaimStep step;
  step.answer = std::move(answer);
  return step;
}

ClaimStep ClaimAttempt::GiveUp() {
  ClaimStep step = Answer(ClaimUnavailable{settings_.retry_after});
  if (write_may_take_effect_ || write_in_flight_) step.settlement = SettleNotRun(expected_version_);
  return step;
}

Settlement ClaimAttempt::SettleNotRun(uint64_t version) const {
  Settlement settlement{row_key_, row_, version};
  settlement.row.state = ClaimState::kNotRun;
  return settlement;
}

}  // namespace cowsliphill
