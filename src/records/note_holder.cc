#include "src/records/note_holder.h"

#include <utility>

namespace cowsliphill {

NotesReply NoteHolder::Apply(const EntryVmId& from, const NotesMessage& message) {
  Origin& origin = origins_[from];
  if (message.sequence <= origin.sequence) return NotesReply{};
  if (message.base_sequence > origin.sequence) return NotesReply{true};
  if (message.base_sequence == 0) {
    held_count_ -= origin.records.size();
    origin = Origin{};
  }
  origin.sequence = message.sequence;
  origin.unnoted = message.unnoted;
  for (const NumberedRecord& it : message.records) Hold(origin, it);
  for (const RecordNumber it : message.closed) held_count_ -= origin.records.erase(it);
  return NotesReply{};
}

void NoteHolder::Hold(Origin& origin, const NumberedRecord& note) {
  const auto it = origin.records.find(note.number);
  if (it != origin.records.end()) {
    it->second = note.record;
  } else if (held_count_ < max_held_notes_) {
    origin.records.emplace(note.number, note.record);
    ++held_count_;
  } else {
    ++origin.refused;
  }
}

std::vector<RequestRecord> NoteHolder::TakeRecordsOfLost(const std::set<EntryVmId>& members) {
  std::vector<RequestRecord> lost;
  for (auto it = origins_.begin(); it != origins_.end();) {
    if (members.count(it->first) != 0) {
      ++it;
      continue;
    }
    AppendRecordsOfLost(it->first, it->second, lost);
    held_count_ -= it->second.records.size();
    it = origins_.erase(it);
  }
  return lost;
}

void NoteHolder::AppendRecordsOfLost(const EntryVmId& id, const Origin& origin,
                                     std::vector<RequestRecord>& lost) {
  for (const auto& [number, held] : origin.records) {
    RequestRecord record = held;
    record.entry_vm = id;
    if (!record.ended && record.cause == RecordCause::kOnTime) {
      record.outcome = Outcome::kUnknown;
      record.cause = RecordCause::kEntryVmLost;
      record.detail = "its entry VM vanished while the request was open";
    }
    lost.push_back(std::move(record));
  }
  const uint64_t missing = origin.unnoted + origin.refused;
  if (missing == 0) return;
  RequestRecord summary;
  summary.entry_vm = id;
  summary.cause = RecordCause::kEntryVmLost;
  summary.detail =
      "up to " + std::to_string(missing) + " further requests without a note of their own";
  lost.push_back(std::move(summary));
}

}  // namespace cowsliphill
