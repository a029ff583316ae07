// Encodes and decodes notes to the partner and batches in the object store. Both are MessagePack
// with a version; tenants, services and other repeated names are written once in a table and
// referenced by index.

#ifndef COWSLIPHILL_RECORDS_RECORD_CODEC_H_
#define COWSLIPHILL_RECORDS_RECORD_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/records/record.h"

namespace cowsliphill {

using RecordNumber = uint64_t;  // Number of a request at its entry VM; ascending, never reused.

struct NumberedRecord {
  RecordNumber number = 0;
  RequestRecord record;  // The request is open while `ended` is absent.
};

// Message with notes from an entry VM to its partner. Applying it twice has no further effect, and
// one that arrives after a later one is ignored.
struct NotesMessage {
  uint64_t sequence = 0;  // Increases with each message, also with resent ones.
  // Sequence of the last message that the sender knows the partner applied. If 0, this message
  // replaces all notes of the sender that the partner holds.
  uint64_t base_sequence = 0;
  std::vector<NumberedRecord> records;  // Open requests, and ended ones not yet stored; ascending.
  // Requests whose earlier notes the partner may drop, because their record is stored or none will
  // be; ascending.
  std::vector<RecordNumber> closed;
  // Number of requests whose note is due but did not fit into the byte rate.
  uint64_t unnoted = 0;
};

struct NotesReply {
  bool resync = false;  // The partner lacks earlier notes; the sender must send all of them again.
};

// Number of records of one tenant, service and cause that were dropped for lack of memory. Tenant
// and service are empty in the sum of those that were not counted separately.
struct DroppedRecords {
  TenantId tenant;
  ServiceId service;
  RecordCause cause = RecordCause::kOnTime;
  uint64_t count = 0;
};

struct RecordBatch {
  EntryVmId writer;
  uint64_t sequence = 0;  // Identifies the batch together with `writer`.
  std::vector<RequestRecord> records;
  std::vector<DroppedRecords> dropped;
};

std::string ToBytes(const NotesMessage& message);
std::string ToBytes(const NotesReply& reply);
std::string ToBytes(const RecordBatch& batch);

// These return nothing if the bytes are malformed or of an unknown version. `from` is the sender:
// the records of a message don't repeat it.
std::optional<NotesMessage> NotesFromBytes(const std::string& bytes, const EntryVmId& from);
std::optional<NotesReply> ReplyFromBytes(const std::string& bytes);
std::optional<RecordBatch> BatchFromBytes(const std::string& bytes);

inline constexpr char kRecordPrefix[] = "records/";

// "records/HOUR/WRITER-SEQUENCE", with the hour as "2026-12-03T21" (UTC), so that names sort by
// time.
std::string BatchName(WallTime written, const EntryVmId& writer, uint64_t sequence);
// Prefix of the names of all batches written in one hour.
std::string BatchPrefix(WallTime hour);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_RECORDS_RECORD_CODEC_H_
