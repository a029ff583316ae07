#include "src/claims/settle_queue.h"

#include <algorithm>
#include <utility>

namespace cowsliphill {

namespace {

constexpr Duration kMinBackoff = std::chrono::milliseconds(200);
constexpr Duration kMaxBackoff = std::chrono::seconds(10);
constexpr size_t kSettlementOverheadBytes = sizeof(Settlement);

size_t BytesOf(const Settlement& settlement) {
  const ClaimRow& row = settlement.row;
  return kSettlementOverheadBytes + settlement.row_key.size() + row.nonce.size() +
         row.holder.Text().size() + row.request.Text().size() + row.fingerprint.size() +
         row.answer.content_type.size() + row.answer.body.size();
}

}  // namespace

SettleQueue::SettleQueue(const ClaimSettings& settings, uint64_t seed)
    : limit_bytes_(settings.settle_limit_bytes),
      spacing_(Duration(std::chrono::seconds(1)) / std::max(settings.settle_writes_per_second, 1U)),
      random_(seed) {}

bool SettleQueue::Add(Settlement settlement) {
  size_t n = BytesOf(settlement);
  if (bytes_ + n > limit_bytes_ && !settlement.row.answer.body.empty()) {
    n -= settlement.row.answer.body.size();
    settlement.row.answer.body.clear();
    settlement.row.answer.body_kept = false;
    ++bodies_dropped_;
  }
  if (bytes_ + n > limit_bytes_) return false;
  bytes_ += n;
  waiting_.push_back(std::move(settlement));
  return true;
}

std::optional<Settlement> SettleQueue::TakeDue(MonotonicTime now) {
  if (waiting_.empty() || now < next_write_) return std::nullopt;
  Settlement settlement = std::move(waiting_.front());
  waiting_.pop_front();
  bytes_ -= BytesOf(settlement);
  next_write_ = now + spacing_;
  return settlement;
}

std::optional<MonotonicTime> SettleQueue::NextWake() const {
  if (waiting_.empty()) return std::nullopt;
  return next_write_;
}

void SettleQueue::OnTableAnswered() { backoff_ = Duration::zero(); }

void SettleQueue::OnTableFailed(MonotonicTime now) {
  backoff_ = std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
  std::uniform_int_distribution<int64_t> jitter(0, backoff_.count() / 2);
  next_write_ = std::max(next_write_, now + backoff_ / 2 + Duration(jitter(random_)));
}

}  // namespace cowsliphill
