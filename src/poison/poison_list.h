// Which requests crash the backend servers that run them, judged by the crashes of all entry VMs.
// A request is condemned after kCrashesUntilCondemned crashes under it without an answer in
// between, and is then refused at every entry VM. Each entry VM keeps the whole list, so none is
// needed to decide. Pure: no I/O; messages and time are passed in.
//
//   list.OnCrash(hash, crash, now);           // A server has crashed while it ran the request.
//   list.OnAnswered(hash, now);               // A server has answered it: it is harmless.
//   Judgement it = list.Judge(hash, may_try, now);
//
// A crash takes all requests that the server runs with it. So a request that shares its crashes
// with one that has already been condemned is not blamed for them, and while two requests share all
// their crashes, neither is condemned.
//
// A condemned request is sent once more after kFirstTerm, by one entry VM (`may_try`). An answer
// clears it, a crash doubles the time, and after kMaxTrials crashes it is refused for good. Lists
// are lost with the processes: when all entry VMs have restarted, nothing is condemned.

#ifndef COWSLIPHILL_POISON_POISON_LIST_H_
#define COWSLIPHILL_POISON_POISON_LIST_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/poison/request_hash.h"

namespace cowsliphill {

// Hash of a server's id and start, so that one crash has the same id at all entry VMs.
using CrashId = uint32_t;

// One attempt that lost its connection after the request was sent.
struct LostAttempt {
  RequestHash hash = 0;
  RequestId request;
  std::string caller;
  std::string target;  // Path and query.
  BackendServerId server;
};

// What an entry VM knows about one request, as sent to others. Ages are counted from the sending.
struct PoisonRecord {
  struct Crash {
    CrashId id = 0;
    std::chrono::milliseconds age{0};
  };
  RequestHash hash = 0;
  std::vector<Crash> crashes;
  std::optional<std::chrono::milliseconds> answered_age;  // Since the last answer of a server.
  uint32_t answers = 0;  // Number of that answer; a later one has a larger number.
  std::optional<std::chrono::milliseconds> condemned_age;  // Set while the request is condemned.
};

struct Judgement {
  enum class Verdict {
    kClear,      // No crash is held against the request.
    kSuspect,    // Servers have crashed under it. It may be sent to one server, without retry.
    kTrial,      // As kSuspect, of a condemned request.
    kCondemned,  // It must be refused.
  };
  Verdict verdict = Verdict::kClear;
  size_t crashes = 0;
  std::chrono::milliseconds retry_after{0};  // Set if condemned: the rest of the term.
};

// A change of what is held against a request, for logs. Suspicions are reported only by the entry
// VM that saw the crash.
struct PoisonEvent {
  enum class Kind { kSuspected, kCondemned, kAcquitted };
  Kind kind = Kind::kSuspected;
  RequestHash hash = 0;
  size_t crashes = 0;
};

class PoisonList {
 public:
  static constexpr size_t kCrashesUntilCondemned = 3;
  // Time after the last crash until a request is condemned, so that the reports of other entry VMs
  // about the same crash have arrived. Until then it is refused too.
  static constexpr std::chrono::milliseconds kDecisionTime{500};
  // Crashes that are older don't count towards a condemnation.
  static constexpr std::chrono::minutes kSuspicionTime{60};
  // An answered request is forgotten after this time.
  static constexpr std::chrono::minutes kAnsweredTime{1};
  static constexpr std::chrono::minutes kFirstTerm{10};
  static constexpr size_t kMaxTrials = 2;
  // Crashes within this time after the condemnation come from attempts that were open then.
  static constexpr std::chrono::seconds kOpenAttemptTime{60};
  static constexpr std::chrono::seconds kTrialTime{10};  // Time until another trial may start.
  static constexpr size_t kMaxRequests = 4096;           // The oldest one makes room for a new one.
  static constexpr size_t kMaxCrashes = 32;              // Kept for one request.
  // An answer that another entry VM reports without a larger number must be newer by this time than
  // the one known here: its age includes the time on the way, so it may be the same answer.
  static constexpr std::chrono::seconds kAgeTolerance{1};

  void OnCrash(RequestHash hash, CrashId crash, MonotonicTime now);
  void OnAnswered(RequestHash hash, MonotonicTime now);
  // `may_try`: this entry VM is the one that may start a trial.
  Judgement Judge(RequestHash hash, bool may_try, MonotonicTime now);
  void OnRecord(const PoisonRecord& record, MonotonicTime now);

  // Records that changed here since the last call, to be sent to all other entry VMs.
  std::vector<PoisonRecord> TakeChanges(MonotonicTime now);
  // Up to `max` records of requests with more than one crash, from a different position each time.
  std::vector<PoisonRecord> NextRecords(size_t max, MonotonicTime now);
  std::vector<PoisonEvent> TakeEvents() { return std::exchange(events_, {}); }

  bool Empty() const { return entries_.empty(); }
  size_t Suspects() const { return entries_.size() - Condemned(); }
  size_t Condemned() const;
  // Condemns the requests whose decision is due, and erases what no longer counts. To be called
  // every few hundred milliseconds.
  void Tick(MonotonicTime now);

 private:
  struct Entry {
    std::map<CrashId, MonotonicTime> crashes;
    std::optional<MonotonicTime> answered_at;
    uint32_t answers = 0;  // Largest number of an answer, see PoisonRecord.
    std::optional<MonotonicTime> condemned_at;
    MonotonicTime trial_until{};
  };
  using Entries = std::map<RequestHash, Entry>;

  Entry& FindOrCreate(RequestHash hash);
  bool AddCrash(Entry& entry, CrashId crash, MonotonicTime at);
  bool SetAnswered(RequestHash hash, Entry& entry, MonotonicTime at);
  void Condemn(RequestHash hash, Entry& entry, MonotonicTime at);
  void BlameCrashes(RequestHash hash, const Entry& entry);
  void DecideIfDue(RequestHash hash, Entry& entry, MonotonicTime now);
  bool HasRival(RequestHash hash, const std::vector<CrashId>& crashes, MonotonicTime now) const;
  // Crashes that are held against the request.
  std::vector<CrashId> Counted(RequestHash hash, const Entry& entry, MonotonicTime now) const;
  static MonotonicTime LastCrash(const Entry& entry);
  PoisonRecord ToRecord(RequestHash hash, const Entry& entry, MonotonicTime now) const;

  Entries entries_;
  std::unordered_map<CrashId, RequestHash> blamed_;  // Crashes of condemned requests.
  std::vector<RequestHash> changed_;
  std::vector<PoisonEvent> events_;
  RequestHash next_record_ = 0;  // Position of NextRecords.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_POISON_POISON_LIST_H_
