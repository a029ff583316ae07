// Query for stored records, and the merging of batches into its answer. Does no I/O and reads no
// clock.

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
  // Time range. The batches that were written from the hour of `from` to the hour of `to`, both
  // included, are read whole.
  WallTime from;
  WallTime to;
  TenantId tenant;            // Empty: all tenants.
  ServiceId service;          // Empty: all services.
  RequestId request;          // Empty: all requests.
  size_t max_records = 1000;  // Maximum number of records returned; the others are only counted.
  std::chrono::milliseconds lifetime{std::chrono::hours(24 * 30)};  // Lifetime of stored batches.
};

struct RecordReadError {
  enum class Kind {
    kPastLifetime,  // The time range starts before the oldest records that are kept.
    kInvalidRange,  // `to` is earlier than `from`.
    kPlatform,      // The object store could not be read.
  };
  Kind kind = Kind::kPlatform;
  std::string detail;  // For human readers.
};

struct RecordAnswer {
  std::vector<RequestRecord> records;  // In order of `started`.
  std::vector<DroppedRecords> dropped;
  uint64_t left_out = 0;  // Matching records beyond `max_records`.
  // Further records of requests with more than one, usually because the entry VM and its partner
  // both wrote one.
  uint64_t duplicates = 0;
  uint64_t malformed_batches = 0;  // Batches that could not be decoded.
};

using RecordReadResult = std::variant<RecordAnswer, RecordReadError>;

std::optional<RecordReadError> CheckQuery(const RecordQuery& query, WallTime now);

class RecordMerge {
 public:
  explicit RecordMerge(RecordQuery query) : query_(std::move(query)) {}

  bool IncludesHour(WallTime hour) const;
  // Adds the records of an encoded batch.
  void Add(const std::string& bytes);
  RecordAnswer Take();

 private:
  struct Entry {
    RequestRecord record;
    bool self_written = false;  // Written by the entry VM that handled the request.
  };

  bool Matches(const RequestRecord& record) const;
  void AddRecord(RequestRecord record, const EntryVmId& writer);

  RecordQuery query_;
  std::map<std::pair<EntryVmId, RequestId>, Entry> entries_;
  RecordAnswer answer_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_RECORDS_RECORD_QUERY_H_
