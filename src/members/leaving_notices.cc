#include "src/members/leaving_notices.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>
#include <optional>

namespace cowsliphill {
namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr int kNoticesVersion = 1;
constexpr size_t kMaxNoticesBytes = 8192;
constexpr size_t kMaxIdLength = 128;
constexpr size_t kMessageFields = 2;
constexpr size_t kNoticeFields = 3;

bool IsId(const json& field) {
  return field.is_string() && !field.get_ref<const std::string&>().empty() &&
         field.get_ref<const std::string&>().size() <= kMaxIdLength;
}

std::optional<LeavingNotice> NoticeFromJson(const json& item) {
  const bool valid = item.is_array() && item.size() == kNoticeFields && IsId(item[0]) &&
                     IsId(item[1]) && item[2].is_number_unsigned() &&
                     item[2].get<uint64_t>() <= UINT32_MAX;
  if (!valid) return std::nullopt;
  return LeavingNotice{ServiceId(item[0].get<std::string>()),
                       BackendServerId(item[1].get<std::string>()),
                       milliseconds(item[2].get<uint32_t>())};
}

std::optional<std::vector<LeavingNotice>> Decode(const std::string& payload, size_t max_count) {
  if (payload.size() > kMaxNoticesBytes) return std::nullopt;
  const json message = json::from_msgpack(payload, true, false);
  const bool valid = message.is_array() && message.size() == kMessageFields &&
                     message[0] == kNoticesVersion && message[1].is_array() &&
                     message[1].size() <= max_count;
  if (!valid) return std::nullopt;
  std::vector<LeavingNotice> notices;
  for (const json& item : message[1]) {
    const std::optional<LeavingNotice> notice = NoticeFromJson(item);
    if (!notice) return std::nullopt;
    notices.push_back(*notice);
  }
  return notices;
}

}  // namespace

void LeavingNotices::ReportLeaving(MonotonicTime now, const ServiceId& service,
                                   const BackendServerId& server,
                                   const std::vector<Member>& members) {
  if (!Add(now, {service, server})) return;
  SendToRandomMembers(now, members);
}

std::vector<LeavingNotice> LeavingNotices::Receive(MonotonicTime now, const std::string& payload,
                                                   const std::vector<Member>& members) {
  const auto notices = Decode(payload, config_.notices_per_message);
  if (!notices) {
    ++bad_messages_;
    return {};
  }
  std::vector<LeavingNotice> new_notices;
  for (const LeavingNotice& notice : *notices) {
    if (notice.age >= config_.lifetime) continue;
    if (Add(now - notice.age, {notice.service, notice.server})) new_notices.push_back(notice);
  }
  if (!new_notices.empty()) SendToRandomMembers(now, members);
  return new_notices;
}

void LeavingNotices::Tick(MonotonicTime now, const std::vector<Member>& members) {
  std::erase_if(notices_, [&](const auto& it) { return now - it.second >= config_.lifetime; });
  if (now < next_repeat_) return;
  next_repeat_ = now + config_.repeat_interval;
  if (notices_.empty()) return;
  const auto newest =
      std::max_element(notices_.begin(), notices_.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  const Duration age = now - newest->second;
  if (age >= config_.repeat_duration) return;
  SendRepeat(now, static_cast<size_t>(age / config_.repeat_interval), members);
}

bool LeavingNotices::IsLeaving(const ServiceId& service, const BackendServerId& server) const {
  return notices_.contains({service, server});
}

// Keeps the earliest time at which an entry VM saw the server leaving, so that a notice expires
// although members keep exchanging it.
bool LeavingNotices::Add(MonotonicTime seen, const Key& key) {
  const auto [it, added] = notices_.emplace(key, seen);
  if (!added) {
    it->second = std::min(it->second, seen);
    return false;
  }
  if (notices_.size() <= config_.max_notices) return true;
  const auto oldest =
      std::min_element(notices_.begin(), notices_.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  const bool kept = oldest->first != key;
  notices_.erase(oldest);
  return kept;
}

void LeavingNotices::SendToRandomMembers(MonotonicTime now, const std::vector<Member>& members) {
  RefillSendTokens(now);
  const std::string payload = Encode(now);
  std::vector<size_t> order(members.size());
  std::iota(order.begin(), order.end(), 0);
  for (size_t i = 0; i < order.size() && i < config_.fanout; ++i) {
    std::uniform_int_distribution<size_t> pick(i, order.size() - 1);
    std::swap(order[i], order[pick(random_)]);
    SendTo(members[order[i]], payload);
  }
}

// Sends to the member that is `round` places after the next one in the order of ids, which wraps
// around. The round is the age of the newest notice divided by repeat_interval, so members with the
// same notices are nearly always in the same round.
void LeavingNotices::SendRepeat(MonotonicTime now, size_t round,
                                const std::vector<Member>& members) {
  if (members.empty()) return;
  RefillSendTokens(now);
  const auto after_self = std::find_if(members.begin(), members.end(),
                                       [this](const Member& member) { return member.id > self_; });
  const auto position = static_cast<size_t>(after_self - members.begin());
  SendTo(members[(position + round) % members.size()], Encode(now));
}

void LeavingNotices::SendTo(const Member& member, const std::string& payload) {
  if (send_tokens_ < 1) return;
  send_tokens_ -= 1;
  sends_.push_back({member.peer, payload});
}

std::string LeavingNotices::Encode(MonotonicTime now) const {
  std::vector<std::pair<MonotonicTime, const Key*>> newest;
  for (const auto& [key, seen] : notices_) newest.emplace_back(seen, &key);
  const size_t n = std::min<size_t>(newest.size(), config_.notices_per_message);
  std::partial_sort(newest.begin(), newest.begin() + static_cast<std::ptrdiff_t>(n), newest.end(),
                    [](const auto& a, const auto& b) { return a.first > b.first; });
  json notices = json::array();
  for (size_t i = 0; i < n; ++i) {
    const auto age = duration_cast<milliseconds>(now - newest[i].first).count();
    notices.push_back(json::array({newest[i].second->first.Text(), newest[i].second->second.Text(),
                                   static_cast<uint32_t>(std::max<int64_t>(age, 0))}));
  }
  std::string payload;
  json::to_msgpack(json::array({kNoticesVersion, std::move(notices)}), payload);
  return payload;
}

void LeavingNotices::RefillSendTokens(MonotonicTime now) {
  const double elapsed = std::chrono::duration<double>(now - last_refill_).count();
  send_tokens_ =
      std::min<double>(config_.sends_per_second, send_tokens_ + elapsed * config_.sends_per_second);
  last_refill_ = now;
}

}  // namespace cowsliphill
