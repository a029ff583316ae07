// Keeps the records of this entry VM's requests, and completes those of lost entry VMs whose notes
// it holds.
//
//   RecordKeeper keeper(transport, store, clock, seed, self, failure_domain, settings);
//   const RecordNumber number = keeper.Started(record);   // For each request, on arrival.
//   keeper.Ended(number, record);                         // Exactly once, with its cause.
//   keeper.OnMembers(members);                            // On each change of membership.
//
// No call blocks: Tick sends notes to the partner and batches to the object store. Call Tick at
// NextWake, or every few milliseconds. For a planned stop call Stop, then Tick until Drained. All
// calls and callbacks run on one thread.

#ifndef COWSLIPHILL_RECORDS_RECORD_KEEPER_H_
#define COWSLIPHILL_RECORDS_RECORD_KEEPER_H_

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/members/peer.h"
#include "src/records/note_holder.h"
#include "src/records/note_sender.h"
#include "src/records/partner.h"
#include "src/records/record_buffer.h"
#include "src/storage/platform.h"

namespace cowsliphill {

struct RecordCounters {
  uint64_t started = 0;
  uint64_t not_on_time = 0;       // Requests that ended with another cause than kOnTime.
  uint64_t records_for_lost = 0;  // Records written for lost entry VMs.
  uint64_t note_messages = 0;     // Note messages sent to the partner.
  uint64_t note_bytes = 0;        // Payload bytes sent to the partner.
  uint64_t note_failures = 0;     // Note messages sent that got no valid reply.
  uint64_t malformed = 0;         // Note messages received that could not be decoded.
  uint64_t put_failures = 0;      // Puts of batches that failed.
};

template <PeerTransport Transport, ObjectClient Store>
class RecordKeeper {
 public:
  RecordKeeper(Transport& transport, Store& store, const Clock& clock, uint64_t seed,
               EntryVmId self, FailureDomainId failure_domain, RecordSettings settings = {})
      : transport_(transport),
        store_(store),
        clock_(clock),
        self_(std::move(self)),
        failure_domain_(std::move(failure_domain)),
        sender_(settings),
        holder_(settings.max_held_notes),
        buffer_(self_, settings, seed) {
    transport_.Handle(MessageKind::kRecordNotes,
                      [this, alive = Alive()](const EntryVmId& from, const std::string& payload) {
                        return alive.expired() ? std::string() : OnNotes(from, payload);
                      });
  }
  RecordKeeper(const RecordKeeper&) = delete;
  RecordKeeper& operator=(const RecordKeeper&) = delete;

  RecordNumber Started(const RequestRecord& record) {
    ++counters_.started;
    const RecordNumber number = ++last_number_;
    sender_.Opened(number, record, clock_.Now());
    return number;
  }

  void Ended(RecordNumber number, RequestRecord record) {
    assert(number != 0 && number <= last_number_ && "`number` must be a return value of Started.");
    const bool keep = record.cause != RecordCause::kOnTime;
    record.entry_vm = self_;
    if (keep) {
      ++counters_.not_on_time;
      const bool fits = buffer_.Add(NumberedRecord{number, record}, clock_.Now());
      sender_.Ended(number, record, fits);
    } else {
      sender_.Ended(number, record, false);
    }
  }

  // Entry VMs that are not in `members` count as lost; suspect ones must be in it.
  void OnMembers(const std::vector<Member>& members) {
    std::set<EntryVmId> ids;
    for (const Member& it : members) ids.insert(it.id);
    for (RequestRecord& it : holder_.TakeRecordsOfLost(ids)) {
      ++counters_.records_for_lost;
      buffer_.Add(NumberedRecord{0, std::move(it)}, clock_.Now());
    }
    UpdatePartner(members);
  }

  void Tick() {
    SendNotes();
    PutBatch();
  }

  // Makes all waiting records due at once; new records are still accepted.
  void Stop() { buffer_.FlushNow(); }
  bool Drained() const { return buffer_.Empty() && (!partner_ || sender_.Idle()); }

  std::optional<MonotonicTime> NextWake() const {
    std::optional<MonotonicTime> wake = buffer_.NextWake();
    if (!partner_) return wake;
    const std::optional<MonotonicTime> notes = sender_.NextWake();
    if (!wake || (notes && *notes < *wake)) wake = notes;
    return wake;
  }

  const RecordCounters& Counters() const { return counters_; }
  const RecordBuffer& Buffer() const { return buffer_; }
  // Number of requests that are open, or ended and not yet stored.
  size_t TrackedCount() const { return sender_.TrackedCount(); }
  size_t HeldForOthers() const { return holder_.HeldCount(); }
  EntryVmId Partner() const { return partner_ ? partner_->id : EntryVmId(); }

 private:
  void UpdatePartner(const std::vector<Member>& members) {
    std::optional<Member> chosen = ChoosePartner(self_, failure_domain_, partner_, members);
    const bool same = chosen && partner_ && chosen->id == partner_->id;
    if (!same) {
      ++partner_changes_;
      sender_.ResendAll();
    }
    partner_ = std::move(chosen);
  }

  void SendNotes() {
    if (!partner_) return;
    const std::optional<NotesMessage> message = sender_.NextMessage(clock_.Now());
    if (!message) return;
    std::string payload = ToBytes(*message);
    ++counters_.note_messages;
    counters_.note_bytes += payload.size();
    transport_.Request(partner_->peer, MessageKind::kRecordNotes, std::move(payload),
                       [this, to = partner_changes_,
                        alive = Alive()](const Result<std::string, PeerError>& result) {
                         if (!alive.expired() && to == partner_changes_) OnReply(result);
                       });
  }

  void OnReply(const Result<std::string, PeerError>& result) {
    std::optional<NotesReply> reply;
    if (Ok(result)) reply = ReplyFromBytes(ValueOf(result));
    if (reply && reply->resync) return sender_.ResendAll();
    if (!reply) ++counters_.note_failures;
    sender_.OnReply(reply.has_value());
  }

  std::string OnNotes(const EntryVmId& from, const std::string& payload) {
    const std::optional<NotesMessage> message = NotesFromBytes(payload, from);
    if (!message) {
      ++counters_.malformed;
      return {};
    }
    return ToBytes(holder_.Apply(from, *message));
  }

  void PutBatch() {
    std::optional<BatchPut> put = buffer_.TakeBatch(clock_.Now(), clock_.WallNow());
    if (!put) return;
    store_.PutIfAbsent(std::move(put->name), std::move(put->bytes),
                       [this, alive = Alive()](const PutObjectResult& result) {
                         if (!alive.expired()) OnPut(Ok(result));
                       });
  }

  // An object that is already there counts as stored: only this entry VM writes under this name, so
  // an earlier put took effect.
  void OnPut(bool stored) {
    if (!stored) ++counters_.put_failures;
    for (const RecordNumber it : buffer_.OnPut(stored, clock_.Now())) {
      if (it != 0) sender_.Stored(it);
    }
  }

  std::weak_ptr<bool> Alive() const { return alive_; }

  Transport& transport_;
  Store& store_;
  const Clock& clock_;
  EntryVmId self_;
  FailureDomainId failure_domain_;
  NoteSender sender_;
  NoteHolder holder_;
  RecordBuffer buffer_;
  std::optional<Member> partner_;
  uint64_t partner_changes_ = 0;
  RecordNumber last_number_ = 0;
  RecordCounters counters_;
  // Expires with this object; pending callbacks check it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_RECORDS_RECORD_KEEPER_H_
