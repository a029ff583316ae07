#include "src/measure/probe_grant.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "src/base/msgpack.h"

namespace cowsliphill {

namespace {

constexpr int kGrantVersion = 1;

}  // namespace

std::string GrantKey(const ServiceId& service) { return "probes/" + service.Text(); }

std::string EncodeGrant(const GrantRow& row) {
  const nlohmann::json json = {{"v", kGrantVersion},
                               {"holder", row.holder.Text()},
                               {"nonce", row.nonce},
                               {"window_ms", row.window.count()}};
  const auto bytes = nlohmann::json::to_msgpack(json);
  return {bytes.begin(), bytes.end()};
}

std::optional<GrantRow> DecodeGrant(const std::string& bytes) {
  if (!IsShallowMsgpack(bytes)) return std::nullopt;
  const auto json = nlohmann::json::from_msgpack(bytes, true, false);
  try {
    if (json.at("v").get<int>() != kGrantVersion) return std::nullopt;
    GrantRow row;
    row.holder = EntryVmId(json.at("holder").get<std::string>());
    row.nonce = json.at("nonce").get<uint64_t>();
    row.window = std::chrono::milliseconds(json.at("window_ms").get<int64_t>());
    if (row.window < std::chrono::milliseconds(0)) return std::nullopt;
    return row;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

ProbeSpacing ProbeSpacing::Of(double per_second, const BackendServerId& server) {
  ProbeSpacing spacing;
  spacing.interval = Duration(static_cast<int64_t>(1e9 / per_second));
  const std::string& id = server.Text();
  const double share = static_cast<double>(XXH3_64bits(id.data(), id.size()) >> 11) * 0x1p-53;
  spacing.phase = Times(spacing.interval, share);
  return spacing;
}

ProbeGrant::Step ProbeGrant::Poll(bool wanted, Duration interval, MonotonicTime now) {
  if (!wanted || now < next_call_) return Nothing{};
  switch (state_) {
    case State::kReading:
    case State::kWriting:
      return Nothing{};
    case State::kIdle:
      state_ = State::kReading;
      return Read{};
    case State::kObserving:
      if (now < observed_ + Times(observed_window_, kDrift)) return Nothing{};
      return StartWrite(interval, now);
    case State::kHolding:
      if (Holds(now)) return Nothing{};
      return StartWrite(interval, now);
  }
  return Nothing{};
}

ProbeGrant::Step ProbeGrant::StartWrite(Duration interval, MonotonicTime now) {
  state_ = State::kWriting;
  write_sent_ = now;
  const Duration wanted = std::max<Duration>(kWindow, 2 * interval);
  const auto window = std::chrono::ceil<std::chrono::milliseconds>(wanted);
  write_window_ = window;
  return Write{version_, GrantRow{self_, ++nonce_, window}};
}

void ProbeGrant::OnRead(const GetResult& result, MonotonicTime now) {
  state_ = State::kIdle;
  if (!Ok(result)) {
    next_call_ = now + kRetry;
    return;
  }
  Observe(ValueOf(result).value_or(Row{}), now);
}

// A row that can't be read was written by another version of the program: its window is taken to
// be the longest that this one would write.
void ProbeGrant::Observe(const Row& row, MonotonicTime now) {
  const auto grant = DecodeGrant(row.value);
  const bool ours = grant && grant->holder == self_ && grant->nonce == nonce_;
  if (ours) {  // The answer to our write was lost; the right runs since before it was sent.
    Hold(row.version);
    return;
  }
  state_ = State::kObserving;
  version_ = row.version;
  observed_ = now;
  observed_window_ = row.version == 0 ? Duration{} : Duration(kWindow);
  if (grant) observed_window_ = grant->window;
}

void ProbeGrant::Hold(uint64_t version) {
  state_ = State::kHolding;
  version_ = version;
}

void ProbeGrant::OnWritten(const CommitResult& result, MonotonicTime now) {
  if (const auto* committed = std::get_if<Committed>(&result)) {
    Hold(committed->versions.at(0));
    return;
  }
  const auto* conflict = std::get_if<Conflict>(&result);
  if (conflict != nullptr && !conflict->current.empty()) {
    Observe(conflict->current.front(), now);
    return;
  }
  state_ = State::kIdle;  // Perhaps written; a read will tell.
  next_call_ = now + kRetry;
}

bool ProbeGrant::Holds(MonotonicTime now) const {
  return state_ == State::kHolding && now < write_sent_ + write_window_;
}

bool ProbeGrant::MayProbe(const ProbeSpacing& spacing, std::optional<MonotonicTime> last,
                          MonotonicTime now) const {
  if (!Holds(now)) return false;
  if (last && now < *last + spacing.interval) return false;
  const MonotonicTime first = write_sent_ + spacing.phase;
  const MonotonicTime end = write_sent_ + write_window_ - (spacing.interval - spacing.phase);
  return now >= first && now <= end;
}

}  // namespace cowsliphill
