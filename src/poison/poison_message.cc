#include "src/poison/poison_message.h"

#include <algorithm>
#include <string_view>

#include "src/base/packed.h"

namespace cowsliphill {

namespace {

using std::chrono::milliseconds;

constexpr char kFirstByte = 'Q';
constexpr uint32_t kAnswered = 1;
constexpr uint32_t kCondemned = 2;
constexpr size_t kWordBits = 32;

void PutAge(PackedWriter& out, milliseconds age) {
  out.Number(static_cast<uint64_t>(std::max<int64_t>(age.count(), 0)), 4);
}

milliseconds ReadAge(PackedReader& in) { return milliseconds(in.Number(4)); }

}  // namespace

bool IsPoisonMessage(const std::string& bytes) { return !bytes.empty() && bytes[0] == kFirstByte; }

std::string EncodePoisonRecords(const std::vector<PoisonRecord>& records) {
  const size_t n = std::min(records.size(), kMaxPoisonRecords);
  PackedWriter out;
  out.Number(static_cast<unsigned char>(kFirstByte), 1).Number(n, 1);
  for (size_t i = 0; i < n; ++i) {
    const PoisonRecord& record = records[i];
    out.Number(record.hash >> kWordBits, 4).Number(static_cast<uint32_t>(record.hash), 4);
    out.Number((record.answered_age ? kAnswered : 0) | (record.condemned_age ? kCondemned : 0), 1);
    if (record.answered_age) {
      PutAge(out, *record.answered_age);
      out.Number(record.answers, 4);
    }
    if (record.condemned_age) PutAge(out, *record.condemned_age);
    const size_t crashes = std::min(record.crashes.size(), PoisonList::kMaxCrashes);
    out.Number(crashes, 1);
    for (size_t k = 0; k < crashes; ++k) {
      out.Number(record.crashes[k].id, 4);
      PutAge(out, record.crashes[k].age);
    }
  }
  return out.Take();
}

std::optional<std::vector<PoisonRecord>> DecodePoisonRecords(const std::string& bytes) {
  if (!IsPoisonMessage(bytes)) return std::nullopt;
  const std::string_view all(bytes);
  PackedReader in(all.substr(1));
  const size_t n = in.Number(1);
  if (n > kMaxPoisonRecords) return std::nullopt;
  std::vector<PoisonRecord> records(n);
  for (PoisonRecord& record : records) {
    record.hash = uint64_t{in.Number(4)} << kWordBits;
    record.hash |= in.Number(4);
    const uint32_t flags = in.Number(1);
    if ((flags & kAnswered) != 0) {
      record.answered_age = ReadAge(in);
      record.answers = in.Number(4);
    }
    if ((flags & kCondemned) != 0) record.condemned_age = ReadAge(in);
    const size_t crashes = in.Number(1);
    if (crashes > PoisonList::kMaxCrashes) return std::nullopt;
    for (size_t k = 0; k < crashes; ++k) {
      const CrashId id = in.Number(4);
      record.crashes.push_back({id, ReadAge(in)});
    }
  }
  if (!in.FullyConsumed()) return std::nullopt;
  return records;
}

}  // namespace cowsliphill
