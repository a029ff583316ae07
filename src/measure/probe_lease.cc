#include "src/measure/probe_lease.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "src/base/msgpack.h"

namespace cowsliphill {

namespace {

constexpr int kFormatVersion = 1;

}  // namespace

std::string ProbeLeaseKey(const ServiceId& service) { return "probes/" + service.Text(); }

std::string EncodeProbeLease(const ProbeLeaseRow& row) {
  const nlohmann::json json = {{"v", kFormatVersion},
                               {"holder", row.holder.Text()},
                               {"nonce", row.nonce},
                               {"window_ms", row.duration.count()}};
  const auto bytes = nlohmann::json::to_msgpack(json);
  return {bytes.begin(), bytes.end()};
}

std::optional<ProbeLeaseRow> DecodeProbeLease(const std::string& bytes) {
  if (!IsShallowMsgpack(bytes)) return std::nullopt;
  const auto json = nlohmann::json::from_msgpack(bytes, true, false);
  try {
    if (json.at("v").get<int>() != kFormatVersion) return std::nullopt;
    ProbeLeaseRow row;
    row.holder = EntryVmId(json.at("holder").get<std::string>());
    row.nonce = json.at("nonce").get<uint64_t>();
    row.duration = std::chrono::milliseconds(json.at("window_ms").get<int64_t>());
    if (row.duration < std::chrono::milliseconds(0)) return std::nullopt;
    return row;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

ProbeSpacing ProbeSpacing::ForServer(double per_second, const BackendServerId& server) {
  ProbeSpacing spacing;
  spacing.interval = Duration(static_cast<int64_t>(1e9 / per_second));
  const std::string& id = server.Text();
  const double share = static_cast<double>(XXH3_64bits(id.data(), id.size()) >> 11) * 0x1p-53;
  spacing.phase = Times(spacing.interval, share);
  return spacing;
}

ProbeLease::Action ProbeLease::Poll(bool wanted, Duration interval, MonotonicTime now) {
  if (!wanted || now < earliest_call_) return NoAction{};
  switch (state_) {
    case State::kReading:
    case State::kWriting:
      return NoAction{};
    case State::kIdle:
      state_ = State::kReading;
      return Read{};
    case State::kObserving:
      if (now < first_observed_ + Times(observed_duration_, kClockDriftFactor)) return NoAction{};
      return StartWrite(interval, now);
    case State::kHolding:
      if (IsHeld(now)) return NoAction{};
      return StartWrite(interval, now);
  }
  return NoAction{};
}

ProbeLease::Action ProbeLease::StartWrite(Duration interval, MonotonicTime now) {
  state_ = State::kWriting;
  write_sent_ = now;
  const Duration wanted = std::max<Duration>(kMinDuration, 2 * interval);
  const auto duration = std::chrono::ceil<std::chrono::milliseconds>(wanted);
  write_duration_ = duration;
  return Write{version_, ProbeLeaseRow{self_, ++nonce_, duration}};
}

void ProbeLease::OnRead(const GetResult& result, MonotonicTime now) {
  state_ = State::kIdle;
  if (!Ok(result)) {
    earliest_call_ = now + kRetryDelay;
    return;
  }
  Observe(ValueOf(result).value_or(Row{}), now);
}

// A row that can't be decoded was written by another version of the program; its lease is assumed
// to last kMinDuration.
void ProbeLease::Observe(const Row& row, MonotonicTime now) {
  const auto lease = DecodeProbeLease(row.value);
  const bool own_write = lease && lease->holder == self_ && lease->nonce == nonce_;
  if (own_write) {
    // The response to the write was lost, but the lease has run since the write was sent.
    MarkHeld(row.version);
    return;
  }
  state_ = State::kObserving;
  version_ = row.version;
  first_observed_ = now;
  observed_duration_ = row.version == 0 ? Duration{} : Duration(kMinDuration);
  if (lease) observed_duration_ = lease->duration;
}

void ProbeLease::MarkHeld(uint64_t version) {
  state_ = State::kHolding;
  version_ = version;
}

void ProbeLease::OnWritten(const CommitResult& result, MonotonicTime now) {
  if (const auto* committed = std::get_if<Committed>(&result)) {
    MarkHeld(committed->versions.at(0));
    return;
  }
  const auto* conflict = std::get_if<Conflict>(&result);
  if (conflict != nullptr && !conflict->current.empty()) {
    Observe(conflict->current.front(), now);
    return;
  }
  state_ = State::kIdle;  // Whether the write took effect is unknown until the next read.
  earliest_call_ = now + kRetryDelay;
}

bool ProbeLease::IsHeld(MonotonicTime now) const {
  return state_ == State::kHolding && now < write_sent_ + write_duration_;
}

bool ProbeLease::MayProbe(const ProbeSpacing& spacing, std::optional<MonotonicTime> last,
                          MonotonicTime now) const {
  if (!IsHeld(now)) return false;
  if (last && now < *last + spacing.interval) return false;
  const MonotonicTime first = write_sent_ + spacing.phase;
  const MonotonicTime end = write_sent_ + write_duration_ - (spacing.interval - spacing.phase);
  return now >= first && now <= end;
}

}  // namespace cowsliphill
