// Which records are asked for, and the merging of batches into one answer. Pure.

#ifndef COWSLIPHILL_RECORDS_RECORD_QUERY_H_
#define COWSLIPHILL_RECORDS_RECORD_QUERY_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/records/record_codec.h"

namespace cowsliphill {

struct RecordQuery {
  WallTime from;       // Batches written from the hour of this time on ...
  WallTime to;         // ... to the hour of this one.
  TenantId tenant;     // Empty: all.
  ServiceId service;   // Empty: all.
  RequestId request;   // Empty: all.
  size_t most = 1000;  // Records given; the rest is only counted.
  std::chrono::milliseconds lifetime{std::chrono::hours(24 * 30)};  // Of stored batches.
};

struct RecordReadError {
  enum class Kind {
    kPastLifetime,  // The query reaches back further than records are kept.
    kEmptySpan,     // `to` lies before `from`.
    kPlatform,      // The object store could not be read.
  };
  Kind kind = Kind::kPlatform;
  std::string detail;  // For people.
};

struct RecordAnswer {
  std::vector<RequestRecord> records;  // By time of their start.
  std::vector<DroppedRecords> dropped;
  uint64_t left_out = 0;           // Matching records beyond `most`.
  uint64_t duplicates = 0;         // Written by two entry VMs.
  uint64_t malformed_batches = 0;  // Not readable.
};

using RecordReadResult = std::variant<RecordAnswer, RecordReadError>;

std::optional<RecordReadError> CheckQuery(const RecordQuery& query, WallTime now);

class RecordMerge {
 public:
  explicit RecordMerge(RecordQuery query) : query_(std::move(query)) {}

  bool Wants(WallTime hour) const;
  // Bytes of one batch.
  void Add(const std::string& bytes);
  RecordAnswer Take();

 private:
  struct Entry {
    RequestRecord record;
    bool own = false;  // Written by the entry VM that held the request.
  };

  bool Matches(const RequestRecord& record) const;
  void AddRecord(RequestRecord record, const EntryVmId& writer);

  RecordQuery query_;
  std::map<std::pair<EntryVmId, RequestId>, Entry> entries_;
  RecordAnswer answer_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_RECORDS_RECORD_QUERY_H_
