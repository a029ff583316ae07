// Bytes of what records leave this process as: notes to a partner, and batches in the object store.
// Both are MessagePack with a version; a name that occurs often is written once and then by number.

#ifndef COWSLIPHILL_RECORDS_RECORD_CODEC_H_
#define COWSLIPHILL_RECORDS_RECORD_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/records/record.h"

namespace cowsliphill {

using RecordNumber = uint64_t;  // Of a request within one entry VM; grows, never reused.

struct NumberedRecord {
  RecordNumber number = 0;
  RequestRecord record;  // Without `ended`: the request is open.
};

// From an entry VM to its partner. Applying one twice changes nothing; one that arrives after a
// later one is passed over.
struct NotesMessage {
  uint64_t sequence = 0;                // Grows with each message, also with repeated ones.
  uint64_t follows = 0;                 // Last one known to be applied; 0: this one says it all.
  std::vector<NumberedRecord> records;  // Open requests, and ended ones that are not yet stored.
  std::vector<RecordNumber> closed;     // Noted before; need no record, or it is stored. Ascending.
  uint64_t unnoted = 0;  // Requests that should have been noted but exceed the byte rate.
};

struct NotesReply {
  bool resync = false;  // The partner misses earlier notes: send everything again.
};

// Records that did not fit into memory, as a sum.
struct DroppedRecords {
  TenantId tenant;
  ServiceId service;
  RecordCause cause = RecordCause::kOnTime;
  uint64_t count = 0;
};

struct RecordBatch {
  EntryVmId writer;
  uint64_t sequence = 0;  // With `writer` the batch's identity; written exactly once.
  std::vector<RequestRecord> records;
  std::vector<DroppedRecords> dropped;
};

std::string ToBytes(const NotesMessage& message);
std::string ToBytes(const NotesReply& reply);
std::string ToBytes(const RecordBatch& batch);

// Nothing if the bytes are malformed or of an unknown version. `from` is the sender, which the
// message leaves out of its records.
std::optional<NotesMessage> NotesFromBytes(const std::string& bytes, const EntryVmId& from);
std::optional<NotesReply> ReplyFromBytes(const std::string& bytes);
std::optional<RecordBatch> BatchFromBytes(const std::string& bytes);

inline constexpr char kRecordPrefix[] = "records/";

// "records/HOUR/WRITER-SEQUENCE", with the hour as "2026-12-03T21" (UTC), so that names sort by
// time.
std::string BatchName(WallTime written, const EntryVmId& writer, uint64_t sequence);
// The part of the name that all batches of one hour share.
std::string BatchPrefix(WallTime hour);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_RECORDS_RECORD_CODEC_H_
