#include "src/claims/claim_row.h"

#include <openssl/sha.h>

#include <array>
#include <cctype>
#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "src/base/msgpack.h"

namespace cowsliphill {

namespace {

using nlohmann::json;

constexpr int kRowVersion = 1;
constexpr size_t kUuidLength = 36;
constexpr size_t kUuidVersionOffset = 14;

json AnswerToJson(const KeptAnswer& answer) {
  return json::array({answer.status, answer.content_type, answer.body, answer.body_kept});
}

KeptAnswer AnswerFromJson(const json& item) {
  KeptAnswer answer;
  item.at(0).get_to(answer.status);
  item.at(1).get_to(answer.content_type);
  item.at(2).get_to(answer.body);
  item.at(3).get_to(answer.body_kept);
  return answer;
}

WallTime WallFromJson(const json& item) {
  return WallTime(std::chrono::milliseconds(item.get<int64_t>()));
}

ClaimRow RowFromJson(const json& doc) {
  ClaimRow row;
  const int state = doc.at("state").get<int>();
  if (state < 1 || state > 4) throw json::other_error::create(599, "unknown claim state", &doc);
  row.state = static_cast<ClaimState>(state);
  row.nonce = doc.at("nonce").get<std::string>();
  row.holder = EntryVmId(doc.at("holder").get<std::string>());
  row.request = RequestId(doc.at("request").get<std::string>());
  row.fingerprint = doc.at("print").get<std::string>();
  row.created = WallFromJson(doc.at("created"));
  row.run_until = WallFromJson(doc.at("until"));
  if (row.state == ClaimState::kRan) row.answer = AnswerFromJson(doc.at("answer"));
  return row;
}

// Prefixes each part with its length, so that different (service, tenant, key) triples never give
// the same bytes.
void AppendPart(std::string& bytes, const std::string& part) {
  bytes += std::to_string(part.size());
  bytes += ':';
  bytes += part;
}

std::string HexSha256(const std::string& bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
  std::string hex;
  std::array<char, 3> buf{};
  for (const unsigned char it : digest) {
    std::snprintf(buf.data(), buf.size(), "%02x", it);
    hex += buf.data();
  }
  return hex;
}

bool IsUuidHyphen(size_t i) { return i == 8 || i == 13 || i == 18 || i == 23; }

bool IsUuidV7(const std::string& key) {
  if (key.size() != kUuidLength || key[kUuidVersionOffset] != '7') return false;
  for (size_t i = 0; i < key.size(); ++i) {
    if (IsUuidHyphen(i) ? key[i] != '-' : std::isxdigit(static_cast<unsigned char>(key[i])) == 0) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::string ToBytes(const ClaimRow& row) {
  json doc = {{"v", kRowVersion},
              {"state", static_cast<int>(row.state)},
              {"nonce", row.nonce},
              {"holder", row.holder.Text()},
              {"request", row.request.Text()},
              {"print", row.fingerprint},
              {"created", row.created.time_since_epoch().count()},
              {"until", row.run_until.time_since_epoch().count()}};
  if (row.state == ClaimState::kRan) doc["answer"] = AnswerToJson(row.answer);
  std::string bytes;
  json::to_msgpack(doc, bytes);
  return bytes;
}

std::optional<ClaimRow> ClaimRowFromBytes(const std::string& bytes) {
  if (!IsShallowMsgpack(bytes)) return std::nullopt;
  try {
    const json doc = json::from_msgpack(bytes);
    if (doc.at("v").get<int>() != kRowVersion) return std::nullopt;
    return RowFromJson(doc);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<WallTime> KeyTimestamp(const std::string& key) {
  if (!IsUuidV7(key)) return std::nullopt;
  const std::string hex = key.substr(0, 8) + key.substr(9, 4);
  return WallTime(std::chrono::milliseconds(std::stoll(hex, nullptr, 16)));
}

std::string ClaimRowKey(const ServiceId& service, const TenantId& tenant, const std::string& key) {
  std::string bytes;
  AppendPart(bytes, service.Text());
  AppendPart(bytes, tenant.Text());
  AppendPart(bytes, key);
  const std::optional<WallTime> time = KeyTimestamp(key);
  if (!time) return kUndatedClaimPrefix + HexSha256(bytes);
  const auto hour = std::chrono::duration_cast<std::chrono::hours>(time->time_since_epoch());
  std::array<char, 16> buf{};
  std::snprintf(buf.data(), buf.size(), "%08llx/", static_cast<unsigned long long>(hour.count()));
  return kDatedClaimPrefix + std::string(buf.data()) + HexSha256(bytes);
}

}  // namespace cowsliphill
