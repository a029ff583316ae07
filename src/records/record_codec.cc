#include "src/records/record_codec.h"

#include <array>
#include <cctype>
#include <cstdio>
#include <ctime>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/base/msgpack.h"

namespace cowsliphill {

namespace {

using nlohmann::json;

constexpr int kNotesVersion = 1;
constexpr int kReplyVersion = 1;
constexpr int kBatchVersion = 1;
constexpr size_t kMaxDetailLength = 200;

// Positions in a record's array.
enum RecordField {
  kRequest,
  kTenant,
  kService,
  kClass,
  kStarted,
  kDeadline,
  kOutcome,
  kCause,
  kEnded,
  kBackendServer,
  kDetail,
  kEntryVm,
};

// Assigns indexes to names in the order of their first use.
class NameWriter {
 public:
  size_t IndexOf(const std::string& name) {
    const auto [it, added] = numbers_.try_emplace(name, names_.size());
    if (added) names_.push_back(name);
    return it->second;
  }
  json Names() const { return names_; }

 private:
  std::map<std::string, size_t> numbers_;
  std::vector<std::string> names_;
};

class NameReader {
 public:
  explicit NameReader(const json& names) : names_(names.get<std::vector<std::string>>()) {}
  const std::string& NameOf(const json& number) const {
    const auto n = number.get<size_t>();
    if (n >= names_.size()) throw json::other_error::create(599, "unknown name index", &number);
    return names_[n];
  }

 private:
  std::vector<std::string> names_;
};

// Reads an enum value; `last` is the greatest valid one.
template <typename Enum>
Enum EnumFromJson(const json& item, Enum last) {
  const int n = item.get<int>();
  if (n < 0 || n > static_cast<int>(last)) {
    throw json::other_error::create(599, "enum value out of range", &item);
  }
  return static_cast<Enum>(n);
}

int64_t MillisecondsOf(WallTime time) { return time.time_since_epoch().count(); }

WallTime WallFromJson(const json& item) {
  return WallTime(std::chrono::milliseconds(item.get<int64_t>()));
}

// Times are encoded relative to `base`, which keeps them short.
json RecordToJson(const RequestRecord& record, WallTime base, NameWriter& names) {
  json item = json::array();
  item.push_back(record.request.Text());
  item.push_back(names.IndexOf(record.tenant.Text()));
  item.push_back(names.IndexOf(record.service.Text()));
  item.push_back(static_cast<int>(record.request_class));
  item.push_back(MillisecondsOf(record.started) - MillisecondsOf(base));
  item.push_back(record.deadline.count());
  if (!record.ended && record.cause == RecordCause::kOnTime) return item;
  item.push_back(static_cast<int>(record.outcome));
  item.push_back(static_cast<int>(record.cause));
  item.push_back(record.ended ? json(MillisecondsOf(*record.ended) - MillisecondsOf(base))
                              : json());
  item.push_back(names.IndexOf(record.backend_server.Text()));
  item.push_back(record.detail.substr(0, kMaxDetailLength));
  return item;
}

RequestRecord RecordFromJson(const json& item, WallTime base, const NameReader& names) {
  RequestRecord record;
  record.request = RequestId(item.at(kRequest).get<std::string>());
  record.tenant = TenantId(names.NameOf(item.at(kTenant)));
  record.service = ServiceId(names.NameOf(item.at(kService)));
  record.request_class = EnumFromJson(item.at(kClass), RequestClass::kBulk);
  record.started = base + std::chrono::milliseconds(item.at(kStarted).get<int64_t>());
  record.deadline = std::chrono::milliseconds(item.at(kDeadline).get<int64_t>());
  if (item.size() <= kOutcome) return record;
  record.outcome = EnumFromJson(item.at(kOutcome), Outcome::kUnknown);
  record.cause = EnumFromJson(item.at(kCause), RecordCause::kEntryVmLost);
  const json& ended = item.at(kEnded);
  if (!ended.is_null()) record.ended = base + std::chrono::milliseconds(ended.get<int64_t>());
  record.backend_server = BackendServerId(names.NameOf(item.at(kBackendServer)));
  record.detail = item.at(kDetail).get<std::string>();
  return record;
}

// Encodes ascending numbers as differences.
json NumbersToJson(const std::vector<RecordNumber>& numbers) {
  json item = json::array();
  RecordNumber last = 0;
  for (const RecordNumber it : numbers) {
    item.push_back(it - last);
    last = it;
  }
  return item;
}

std::vector<RecordNumber> NumbersFromJson(const json& item) {
  std::vector<RecordNumber> numbers;
  RecordNumber last = 0;
  for (const json& it : item) {
    last += it.get<RecordNumber>();
    numbers.push_back(last);
  }
  return numbers;
}

std::string ToMsgpack(const json& doc) {
  std::string bytes;
  json::to_msgpack(doc, bytes);
  return bytes;
}

NotesMessage NotesFromJson(const json& doc, const EntryVmId& from) {
  NotesMessage message;
  message.sequence = doc.at(1).get<uint64_t>();
  message.base_sequence = doc.at(2).get<uint64_t>();
  message.unnoted = doc.at(3).get<uint64_t>();
  message.closed = NumbersFromJson(doc.at(4));
  const NameReader names(doc.at(5));
  const WallTime base = WallFromJson(doc.at(6));
  RecordNumber number = 0;
  for (const json& it : doc.at(7)) {
    number += it.at(0).get<RecordNumber>();
    NumberedRecord note{number, RecordFromJson(it.at(1), base, names)};
    note.record.entry_vm = from;
    message.records.push_back(std::move(note));
  }
  return message;
}

json DroppedToJson(const std::vector<DroppedRecords>& dropped) {
  json items = json::array();
  for (const DroppedRecords& it : dropped) {
    items.push_back({it.tenant.Text(), it.service.Text(), static_cast<int>(it.cause), it.count});
  }
  return items;
}

DroppedRecords DroppedFromJson(const json& item) {
  DroppedRecords dropped;
  dropped.tenant = TenantId(item.at(0).get<std::string>());
  dropped.service = ServiceId(item.at(1).get<std::string>());
  dropped.cause = EnumFromJson(item.at(2), RecordCause::kEntryVmLost);
  dropped.count = item.at(3).get<uint64_t>();
  return dropped;
}

RecordBatch BatchFromJson(const json& doc) {
  RecordBatch batch;
  batch.writer = EntryVmId(doc.at("writer").get<std::string>());
  batch.sequence = doc.at("sequence").get<uint64_t>();
  const NameReader names(doc.at("names"));
  const WallTime base = WallFromJson(doc.at("base"));
  for (const json& it : doc.at("records")) {
    RequestRecord record = RecordFromJson(it, base, names);
    record.entry_vm = EntryVmId(names.NameOf(it.at(kEntryVm)));
    batch.records.push_back(std::move(record));
  }
  for (const json& it : doc.at("dropped")) batch.dropped.push_back(DroppedFromJson(it));
  return batch;
}

// Keeps letters, digits, dots and dashes, and writes any other byte as "_" and two hex digits. So
// different ids give different names, and names need no escaping in a URL.
std::string EscapeName(const std::string& id) {
  std::string safe;
  for (const char c : id) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '.' || c == '-') {
      safe += c;
      continue;
    }
    std::array<char, 4> buf{};
    std::snprintf(buf.data(), buf.size(), "_%02x", byte);
    safe += buf.data();
  }
  return safe;
}

}  // namespace

std::string ToBytes(const NotesMessage& message) {
  NameWriter names;
  const WallTime base = message.records.empty() ? WallTime() : message.records[0].record.started;
  json records = json::array();
  RecordNumber last = 0;
  for (const NumberedRecord& it : message.records) {
    records.push_back({it.number - last, RecordToJson(it.record, base, names)});
    last = it.number;
  }
  return ToMsgpack(json::array({kNotesVersion, message.sequence, message.base_sequence,
                                message.unnoted, NumbersToJson(message.closed), names.Names(),
                                MillisecondsOf(base), std::move(records)}));
}

std::string ToBytes(const NotesReply& reply) {
  return ToMsgpack(json::array({kReplyVersion, reply.resync}));
}

std::string ToBytes(const RecordBatch& batch) {
  NameWriter names;
  const WallTime base = batch.records.empty() ? WallTime() : batch.records[0].started;
  json records = json::array();
  for (const RequestRecord& it : batch.records) {
    json item = RecordToJson(it, base, names);
    while (item.size() < kEntryVm) item.push_back(nullptr);
    item.push_back(names.IndexOf(it.entry_vm.Text()));
    records.push_back(std::move(item));
  }
  return ToMsgpack({{"v", kBatchVersion},
                    {"writer", batch.writer.Text()},
                    {"sequence", batch.sequence},
                    {"names", names.Names()},
                    {"base", MillisecondsOf(base)},
                    {"records", std::move(records)},
                    {"dropped", DroppedToJson(batch.dropped)}});
}

std::optional<NotesMessage> NotesFromBytes(const std::string& bytes, const EntryVmId& from) {
  if (!IsShallowMsgpack(bytes)) return std::nullopt;
  try {
    const json doc = json::from_msgpack(bytes);
    if (doc.at(0).get<int>() != kNotesVersion) return std::nullopt;
    return NotesFromJson(doc, from);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<NotesReply> ReplyFromBytes(const std::string& bytes) {
  if (!IsShallowMsgpack(bytes)) return std::nullopt;
  try {
    const json doc = json::from_msgpack(bytes);
    if (doc.at(0).get<int>() != kReplyVersion) return std::nullopt;
    return NotesReply{doc.at(1).get<bool>()};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<RecordBatch> BatchFromBytes(const std::string& bytes) {
  if (!IsShallowMsgpack(bytes)) return std::nullopt;
  try {
    const json doc = json::from_msgpack(bytes);
    if (doc.at("v").get<int>() != kBatchVersion) return std::nullopt;
    return BatchFromJson(doc);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string BatchPrefix(WallTime hour) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(hour);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> buf{};
  const size_t n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H/", &parts);
  return kRecordPrefix + std::string(buf.data(), n);
}

std::string BatchName(WallTime written, const EntryVmId& writer, uint64_t sequence) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "-%010llu", static_cast<unsigned long long>(sequence));
  return BatchPrefix(written) + EscapeName(writer.Text()) + buf.data();
}

}  // namespace cowsliphill
