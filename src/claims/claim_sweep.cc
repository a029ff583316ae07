#include "src/claims/claim_sweep.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace cowsliphill {

namespace {

constexpr size_t kHourDigits = 8;
constexpr int kSkewedClocks = 3;  // The clocks of the sweeper, the holder and the caller.

size_t HourOffset() { return std::char_traits<char>::length(kDatedClaimPrefix); }

WallTime HourOf(const std::string& row_key) {
  int64_t hours = 0;
  const char* text = row_key.data() + std::min(HourOffset(), row_key.size());
  std::from_chars(text, row_key.data() + row_key.size(), hours, 16);
  return WallTime(std::chrono::hours(hours));
}

}  // namespace

ClaimSweep::ClaimSweep(const ClaimSettings& claims, const SweepSettings& settings, uint64_t seed)
    : claims_(claims), settings_(settings), random_(seed) {
  undated_after_ = kUndatedClaimPrefix + RandomHash();
}

PageRequest ClaimSweep::NextPage() const {
  if (next_page_dated_) return PageRequest{kDatedClaimPrefix, dated_after_, settings_.page_rows};
  return PageRequest{kUndatedClaimPrefix, undated_after_, settings_.page_rows};
}

std::vector<ConditionalWrite> ClaimSweep::OnPage(const std::vector<Row>& rows, ClockReadings at) {
  std::vector<ConditionalWrite> deletes;
  size_t bytes = 0;
  for (const Row& it : rows) {
    bytes += it.key.size() + it.value.size();
    const std::optional<ClaimRow> row = ClaimRowFromBytes(it.value);
    if (!row) {
      ++malformed_rows_;
    } else if (row->created + claims_.lifetime + kSkewedClocks * claims_.clock_skew < at.wall) {
      deletes.push_back(ConditionalWrite{it.key, it.version, std::nullopt});
    }
  }
  next_page_at_ =
      at.now + std::chrono::seconds(1) * bytes / std::max(settings_.bytes_per_second, 1U);
  if (next_page_dated_) {
    AdvanceDatedCursor(rows, at);
  } else {
    AdvanceUndatedCursor(rows, at.now);
  }
  return deletes;
}

// Half of the passes start at a random row within the oldest hour, so that sweepers on different
// entry VMs seldom delete the same rows.
void ClaimSweep::AdvanceDatedCursor(const std::vector<Row>& rows, ClockReadings at) {
  if (dated_after_.empty() && !rows.empty()) {
    oldest_hour_ = rows.front().key.substr(0, HourOffset() + kHourDigits + 1);
  }
  const bool last =
      rows.size() < settings_.page_rows || HourOf(rows.back().key) + claims_.lifetime > at.wall;
  if (!last) {
    dated_after_ = rows.back().key;
    return;
  }
  next_page_dated_ = false;
  dated_after_.clear();
  if (!oldest_hour_.empty() && random_() % 2 == 0) dated_after_ = oldest_hour_ + RandomHash();
  next_dated_pass_ = at.now + JitteredInterval();
}

void ClaimSweep::AdvanceUndatedCursor(const std::vector<Row>& rows, MonotonicTime now) {
  if (rows.size() < settings_.page_rows) {
    undated_after_.clear();
    next_page_at_ = std::max(next_page_at_, now + JitteredInterval());
  } else {
    undated_after_ = rows.back().key;
  }
  next_page_dated_ = next_page_at_ >= next_dated_pass_;
}

void ClaimSweep::OnFailed(MonotonicTime now) { next_page_at_ = now + JitteredInterval(); }

Duration ClaimSweep::JitteredInterval() {
  std::uniform_int_distribution<int64_t> jitter(0, settings_.dated_pass_interval.count());
  return settings_.dated_pass_interval / 2 + std::chrono::milliseconds(jitter(random_));
}

std::string ClaimSweep::RandomHash() {
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(random_()));
  return buf.data();
}

}  // namespace cowsliphill
