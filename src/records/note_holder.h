// What this entry VM holds for those that chose it as their partner: their open requests and their
// records that are not yet stored. When one of them vanishes, it finishes their records. Pure.

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
  // Holds at most `limit` notes of all others together.
  explicit NoteHolder(size_t limit) : limit_(limit) {}

  NotesReply Apply(const EntryVmId& from, const NotesMessage& message);

  // Takes the members as they are now. Gives the records of those that are members no more: open
  // requests as kEntryVmLost, ended ones as they were noted, and one sum where notes are missing.
  std::vector<RequestRecord> TakeLost(const std::set<EntryVmId>& members);

  size_t Held() const { return held_; }

 private:
  struct Origin {
    uint64_t sequence = 0;  // Of the last message applied.
    uint64_t unnoted = 0;   // As told by the origin.
    uint64_t refused = 0;   // Notes beyond the limit.
    std::unordered_map<RecordNumber, RequestRecord> records;
  };

  void Hold(Origin& origin, const NumberedRecord& note);
  static void AppendLost(const EntryVmId& id, const Origin& origin,
                         std::vector<RequestRecord>& lost);

  size_t limit_;
  size_t held_ = 0;  // Notes of all origins.
  std::map<EntryVmId, Origin> origins_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_RECORDS_NOTE_HOLDER_H_
