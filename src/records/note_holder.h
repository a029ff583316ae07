// Holds the notes of other entry VMs that chose this one as their partner: their open requests and
// their records that are not yet stored. When such an entry VM is lost, its records are completed
// from these notes. Does no I/O and reads no clock.

#ifndef COWSLIPHILL_RECORDS_NOTE_HOLDER_H_
#define COWSLIPHILL_RECORDS_NOTE_HOLDER_H_

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "src/records/record_codec.h"

namespace cowsliphill {

class NoteHolder {
 public:
  // Holds at most `max_held_notes` notes in total.
  explicit NoteHolder(size_t max_held_notes) : max_held_notes_(max_held_notes) {}

  NotesReply Apply(const EntryVmId& from, const NotesMessage& message);

  // Removes the notes of entry VMs that are not in `members`, and returns their records: open
  // requests as kEntryVmLost, ended ones as noted, and for each entry VM whose notes are incomplete
  // one summary record.
  std::vector<RequestRecord> TakeRecordsOfLost(const std::set<EntryVmId>& members);

  size_t HeldCount() const { return held_count_; }

 private:
  struct Origin {
    uint64_t sequence = 0;  // Sequence of the last message applied.
    uint64_t unnoted = 0;   // NotesMessage::unnoted of the last message applied.
    uint64_t refused = 0;   // Notes not held because max_held_notes was reached.
    std::unordered_map<RecordNumber, RequestRecord> records;
  };

  void Hold(Origin& origin, const NumberedRecord& note);
  static void AppendRecordsOfLost(const EntryVmId& id, const Origin& origin,
                                  std::vector<RequestRecord>& lost);

  size_t max_held_notes_;
  size_t held_count_ = 0;  // Total number of notes held.
  std::map<EntryVmId, Origin> origins_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_RECORDS_NOTE_HOLDER_H_
