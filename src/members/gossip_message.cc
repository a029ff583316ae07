// Messages are MessagePack arrays rather than maps: every member sends a ping each second, and
// field names would make up half of its size.

#include "src/members/gossip_message.h"

#include <nlohmann/json.hpp>

namespace cowsliphill {
namespace {

using nlohmann::json;

constexpr int kGossipVersion = 2;
constexpr size_t kMaxStringLength = 128;
constexpr size_t kMessageFields = 13;
constexpr size_t kRecordFields = 11;
// With links_lost, which is left out while it is false: entry VMs of an earlier version reject
// longer records.
constexpr size_t kLongRecordFields = 12;

json ToJson(const MemberRecord& record) {
  json array = json::array({record.id.Text(), record.edge.ip, record.edge.port, record.peer.ip,
                            record.peer.port, record.failure_domain.Text(), record.region.Text(),
                            record.millicores, record.incarnation, record.leaving,
                            static_cast<int>(record.health)});
  if (record.links_lost) array.push_back(true);
  return array;
}

// Reads the fields of an array in order. Valid() is false if the array has another number of fields
// or if a field read so far has a wrong type or is out of range.
class FieldReader {
 public:
  FieldReader(const json& array, size_t fields) : array_(array) {
    valid_ = array.is_array() && array.size() == fields;
  }

  std::string Text() {
    const json* field = Next();
    if (field == nullptr || !field->is_string()) return Fail(std::string());
    const auto& text = field->get_ref<const std::string&>();
    return text.size() <= kMaxStringLength ? text : Fail(std::string());
  }

  uint64_t Number(uint64_t max_value) {
    const json* field = Next();
    if (field == nullptr || !field->is_number_unsigned()) return Fail(uint64_t{0});
    const auto number = field->get<uint64_t>();
    return number <= max_value ? number : Fail(uint64_t{0});
  }

  bool Boolean() {
    const json* field = Next();
    if (field == nullptr || !field->is_boolean()) return Fail(false);
    return field->get<bool>();
  }

  Endpoint ReadEndpoint() {
    Endpoint endpoint;
    endpoint.ip = Text();
    endpoint.port = static_cast<uint16_t>(Number(UINT16_MAX));
    return endpoint;
  }

  const json* Next() {
    if (!valid_ || next_ >= array_.size()) return nullptr;
    return &array_[next_++];
  }

  bool Valid() const { return valid_; }

 private:
  template <typename Value>
  Value Fail(Value value) {
    valid_ = false;
    return value;
  }

  const json& array_;
  size_t next_ = 0;
  bool valid_ = false;
};

std::optional<MemberRecord> RecordFromJson(const json& array) {
  const bool is_long = array.is_array() && array.size() == kLongRecordFields;
  FieldReader reader(array, is_long ? kLongRecordFields : kRecordFields);
  MemberRecord record;
  record.id = EntryVmId(reader.Text());
  record.edge = reader.ReadEndpoint();
  record.peer = reader.ReadEndpoint();
  record.failure_domain = FailureDomainId(reader.Text());
  record.region = RegionId(reader.Text());
  record.millicores = static_cast<uint32_t>(reader.Number(UINT32_MAX));
  record.incarnation = reader.Number(INT64_MAX);
  record.leaving = reader.Boolean();
  record.health =
      static_cast<MemberHealth>(reader.Number(static_cast<uint64_t>(MemberHealth::kGone)));
  if (is_long) record.links_lost = reader.Boolean();
  if (!reader.Valid() || record.id.Empty()) return std::nullopt;
  return record;
}

bool ReadChanges(const json* array, std::vector<MemberRecord>& changes) {
  if (array == nullptr || !array->is_array() || array->size() > kMaxGossipChanges) return false;
  for (const json& item : *array) {
    std::optional<MemberRecord> record = RecordFromJson(item);
    if (!record) return false;
    changes.push_back(std::move(*record));
  }
  return true;
}

}  // namespace

std::string EncodeGossip(const GossipMessage& message) {
  json changes = json::array();
  for (const MemberRecord& record : message.changes) changes.push_back(ToJson(record));
  const json array = json::array(
      {kGossipVersion, static_cast<int>(message.type), message.sender.Text(), message.incarnation,
       message.digest, static_cast<int>(message.receiver_health), message.receiver_incarnation,
       message.request_record, message.target.Text(), message.target_peer.ip,
       message.target_peer.port, message.cursor.Text(), std::move(changes)});
  std::string payload;
  json::to_msgpack(array, payload);
  return payload;
}

std::optional<GossipMessage> DecodeGossip(const std::string& payload) {
  if (payload.size() > kMaxGossipBytes) return std::nullopt;
  const json array = json::from_msgpack(payload, true, false);
  FieldReader reader(array, kMessageFields);
  GossipMessage message;
  if (reader.Number(UINT64_MAX) != kGossipVersion) return std::nullopt;
  message.type = static_cast<GossipType>(reader.Number(static_cast<uint64_t>(GossipType::kPage)));
  message.sender = EntryVmId(reader.Text());
  message.incarnation = reader.Number(INT64_MAX);
  message.digest = reader.Number(UINT64_MAX);
  message.receiver_health =
      static_cast<ReceiverHealth>(reader.Number(static_cast<uint64_t>(ReceiverHealth::kDead)));
  message.receiver_incarnation = reader.Number(INT64_MAX);
  message.request_record = reader.Boolean();
  message.target = EntryVmId(reader.Text());
  message.target_peer = reader.ReadEndpoint();
  message.cursor = EntryVmId(reader.Text());
  if (!ReadChanges(reader.Next(), message.changes) || !reader.Valid()) return std::nullopt;
  if (message.sender.Empty() || static_cast<int>(message.type) == 0) return std::nullopt;
  return message;
}

}  // namespace cowsliphill
