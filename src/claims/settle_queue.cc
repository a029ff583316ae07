#include "src/claims/settle_queue.h"

#include <algorithm>
#include <utility>

namespace cowsliphill {

namespace {

constexpr Duration kLeastBackOff = std::chrono::milliseconds(200);
constexpr Duration kMostBackOff = std::chrono::seconds(10);
constexpr size_t kFixedBytes = sizeof(Settlement);

size_t BytesOf(const Settlement& settlement) {
  const ClaimRow& row = settlement.row;
  return kFixedBytes + settlement.row_key.size() + row.nonce.size() + row.holder.Text().size() +
         row.request.Text().size() + row.fingerprint.size() + row.answer.content_type.size() +
         row.answer.body.size();
}

}  // namespace

SettleQueue::SettleQueue(const ClaimSettings& settings, uint64_t seed)
    : limit_bytes_(settings.settle_limit_bytes),
      spacing_(Duration(std::chrono::seconds(1)) / std::max(settings.settle_rate, 1U)),
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
  if (waiting_.empty() || now < next_) return std::nullopt;
  Settlement settlement = std::move(waiting_.front());
  waiting_.pop_front();
  bytes_ -= BytesOf(settlement);
  next_ = now + spacing_;
  return settlement;
}

std::optional<MonotonicTime> SettleQueue::NextWake() const {
  if (waiting_.empty()) return std::nullopt;
  return next_;
}

void SettleQueue::OnTableAnswered() { back_off_ = Duration::zero(); }

void SettleQueue::OnTableFailed(MonotonicTime now) {
  back_off_ = std::clamp(back_off_ * 2, kLeastBackOff, kMostBackOff);
  std::uniform_int_distribution<int64_t> jitter(0, back_off_.count() / 2);
  next_ = std::max(next_, now + back_off_ / 2 + Duration(jitter(random_)));
}

}  // namespace cowsliphill
