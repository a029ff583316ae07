// Tests records with each fault injected at each step, on virtual time. Entry VM "a" handles
// requests; "b", in another failure domain, is its partner. Then the stored records are read back
// and compared with the outcomes of the requests.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>

#include "src/records/record_keeper.h"
#include "src/records/record_reader.h"
#include "src/storage/memory_platform.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum Step { kSendOpenNote, kSendEndedNote, kPutBatch, kStepCount };
enum Fault {
  kNone,
  kKill,
  kPause,
  kLostAnswer,
  kDelayed,
  kConnectionCut,
  kNoReply,
  kPlatformDown,
  kDownAfterEffect,
  kDuplicateCaller,
  kRacingEntryVm,
  kFaultCount
};

const char* InapplicableReason(Step step, Fault fault) {
  if (fault == kDuplicateCaller || fault == kRacingEntryVm) {
    return "a retry is a separate request with its own record";
  }
  if (fault == kDownAfterEffect && step != kPutBatch) return "notes do not call the platform";
  return nullptr;
}

// Runs tasks on virtual time, which advances in steps of 10 ms.
struct VirtualScheduler {
  void At(Duration delay, std::function<void()> task) {
    tasks.emplace(clock.Now() + delay, std::move(task));
  }
  void Step() {
    clock.Advance(milliseconds(10));
    while (!tasks.empty() && tasks.begin()->first <= clock.Now()) {
      const auto task = std::move(tasks.begin()->second);
      tasks.erase(tasks.begin());
      task();
    }
  }
  ManualClock clock;
  std::multimap<MonotonicTime, std::function<void()>> tasks;
};

struct Simulation {
  bool TriggerFault(const std::string& process, Step step) {
    if (process != "a" || step != fault_step || fired) return false;
    fired = true;
    if (fault == kKill) schedule.At({}, [this] { a_alive = false; });
    if (fault == kPause) paused_until = schedule.clock.Now() + seconds(60);
    if (fault == kPlatformDown) down_until = schedule.clock.Now() + seconds(20);
    return true;
  }
  bool Runs(const std::string& process) const {
    return process != "a" || (a_alive && schedule.clock.Now() >= paused_until);
  }
  // Runs the task after `delay`, or later when the process is no longer paused; drops it if the
  // process was killed.
  void Deliver(Duration delay, const std::string& process, std::function<void()> task) {
    schedule.At(delay, [this, process, task] {
      if (Runs(process)) return task();
      if (a_alive) Deliver(milliseconds(10), process, task);
    });
  }

  VirtualScheduler schedule;
  Step fault_step = kSendOpenNote;
  Fault fault = kNone;
  uint64_t seed = 0;
  bool fired = false;
  bool a_alive = true;
  MonotonicTime paused_until{};
  MonotonicTime down_until{};
};

using Handler = std::function<std::string(const EntryVmId&, const std::string&)>;

class FakeTransport {
 public:
  FakeTransport(Simulation& simulation, std::string process, std::map<uint16_t, Handler>& handlers,
                uint16_t port)
      : sim_(simulation), process_(std::move(process)), handlers_(handlers), port_(port) {}

  void Handle(MessageKind, Handler handler) { handlers_[port_] = std::move(handler); }

  void Request(const Endpoint& to, MessageKind, std::string payload,
               std::function<void(Result<std::string, PeerError>)> done) {
    const auto message = NotesFromBytes(payload, EntryVmId(process_));
    const bool ended = std::any_of(message->records.begin(), message->records.end(),
                                   [](const auto& it) { return it.record.ended.has_value(); });
    const bool hit = sim_.TriggerFault(process_, ended ? kSendEndedNote : kSendOpenNote);
    const Fault fault = hit ? sim_.fault : kNone;
    const bool arrives = fault != kNoReply && !(fault == kConnectionCut && sim_.seed % 2 == 0);
    const Duration outbound_delay =
        fault == kDelayed ? Duration(seconds(3)) : Duration(milliseconds(2));
    const bool answered = fault == kNone || fault == kPlatformDown || fault == kPause;
    sim_.schedule.At(outbound_delay, [=, this] {
      if (!arrives) return;
      const std::string reply = handlers_[to.port](EntryVmId(process_), payload);
      if (answered) sim_.Deliver(milliseconds(2), process_, [done, reply] { done(reply); });
    });
    if (!answered) sim_.Deliver(seconds(1), process_, [done] { done(PeerError::kTimeout); });
  }

 private:
  Simulation& sim_;
  std::string process_;
  std::map<uint16_t, Handler>& handlers_;
  uint16_t port_;
};

class FakeObjects {
 public:
  FakeObjects(Simulation& simulation, std::string process, MemoryPlatformState& store)
      : sim_(simulation), process_(std::move(process)), store_(store) {}

  void PutIfAbsent(const std::string& name, const std::string& bytes,
                   std::function<void(PutObjectResult)> done) {
    const bool hit = sim_.TriggerFault(process_, kPutBatch);
    const Fault fault = hit ? sim_.fault : kNone;
    if (sim_.schedule.clock.Now() < sim_.down_until || fault == kNoReply) {
      return Answer(PlatformError{PlatformError::Kind::kUnknown, ""}, done);
    }
    const bool applies = (fault != kConnectionCut && fault != kKill) || sim_.seed % 2 == 0;
    const auto put = [=, this] { return store_.PutIfAbsent(name, bytes); };
    if (fault == kDownAfterEffect) {
      sim_.down_until = sim_.schedule.clock.Now() + seconds(20);
    }
    if (fault == kNone || fault == kPause) return Answer(put(), done);
    if (applies) sim_.schedule.At(fault == kDelayed ? seconds(3) : seconds(0), [put] { put(); });
    Answer(PlatformError{PlatformError::Kind::kUnknown, ""}, done);
  }
  void GetObject(const std::string& name, const std::function<void(ObjectResult)>& done) {
    done(store_.GetObject(name));
  }
  void ListObjects(const std::string& prefix, const std::string& after, size_t max_names,
                   const std::function<void(ListResult)>& done) {
    done(store_.ListObjects(prefix, after, max_names));
  }

 private:
  void Answer(PutObjectResult result, const std::function<void(PutObjectResult)>& done) {
    sim_.Deliver(milliseconds(5), process_, [done, result] { done(result); });
  }

  Simulation& sim_;
  std::string process_;
  MemoryPlatformState& store_;
};

class TwoVmScenario {
 public:
  TwoVmScenario(Step step, Fault fault, uint64_t seed) {
    sim_.fault_step = step;
    sim_.fault = fault;
    sim_.seed = seed;
    a_.OnMembers({member_a_, member_b_});
    b_.OnMembers({member_a_, member_b_});
  }

  // Runs one request of each kind, lets 150 s pass in total, and reads the stored records into
  // `answer`.
  void Run() {
    Request("on-time", {}, milliseconds(50), RecordCause::kOnTime);
    Request("long-on-time", {}, seconds(1), RecordCause::kOnTime);
    Request("refused", seconds(1), milliseconds(1), RecordCause::kRefused);
    Request("late", milliseconds(100), milliseconds(500), RecordCause::kLate);
    Request("long-unknown", milliseconds(100), seconds(20), RecordCause::kUnknown);
    bool reported_lost = false;
    for (int i = 0; i < 15000; ++i) {
      sim_.schedule.Step();
      const MonotonicTime now = sim_.schedule.clock.Now();
      if (sim_.Runs("a")) a_.Tick();
      b_.Tick();
      const bool lost = sim_.fired && !sim_.Runs("a") && i > 2500;
      if (lost != reported_lost && now > sim_.paused_until - seconds(30)) {
        reported_lost = lost;
        if (lost) b_.OnMembers({member_b_});
        if (!lost) b_.OnMembers({member_a_, member_b_});
      }
    }
    RecordReader<FakeObjects> reader(objects_b_);
    RecordQuery query;
    query.to = sim_.schedule.clock.WallNow();
    reader.Read(query, query.to, [this](const RecordReadResult& result) {
      answer = std::get<RecordAnswer>(result);
    });
  }

  // Returns an empty string, or a description of the problem.
  std::string Check() const {
    std::map<std::string, RecordCause> found;
    for (const RequestRecord& it : answer.records) {
      if (!found.emplace(it.request.Text(), it.cause).second) return "two of " + it.request.Text();
    }
    if (sim_.fault != kNone && !sim_.fired) return "the fault was not triggered";
    if (found.count("on-time") != 0) return "record of a request that was on time";
    if (!sim_.a_alive) return CheckKilled(found);
    const std::map<std::string, RecordCause> expected = {{"refused", RecordCause::kRefused},
                                                         {"late", RecordCause::kLate},
                                                         {"long-unknown", RecordCause::kUnknown}};
    for (const auto& [request, cause] : expected) {
      if (found.count(request) == 0) return "no record of " + request;
      if (found.at(request) != cause) return "wrong cause of " + request;
    }
    if (sim_.fault != kPause && found.size() != expected.size()) return "unexpected record";
    return a_.TrackedCount() == 0 && b_.HeldForOthers() == 0 ? "" : "notes or records left over";
  }

  RecordAnswer answer;

 private:
  // After "a" was killed, the partner's notes are the only source of records of its open requests.
  std::string CheckKilled(const std::map<std::string, RecordCause>& found) const {
    if (sim_.fault_step == kSendOpenNote) return "";  // The first note may itself be lost.
    const auto it = found.find("long-unknown");
    if (it == found.end()) return "no record of an open request of the lost entry VM";
    if (it->second != RecordCause::kEntryVmLost) return "wrong cause of a lost request";
    if (sim_.fault_step == kPutBatch && found.count("late") == 0) return "no record of late";
    return "";
  }

  void Request(const std::string& name, Duration start, Duration length, RecordCause cause) {
    sim_.Deliver(start, "a", [=, this] {
      RequestRecord record;
      record.request = RequestId(name);
      record.started = sim_.schedule.clock.WallNow();
      const RecordNumber number = a_.Started(record);
      sim_.Deliver(length, "a", [=, this]() mutable {
        record.ended = sim_.schedule.clock.WallNow();
        record.cause = cause;
        a_.Ended(number, record);
      });
    });
  }

  Simulation sim_;
  MemoryPlatformState store_;
  std::map<uint16_t, Handler> handlers_;
  FakeTransport transport_a_{sim_, "a", handlers_, 1};
  FakeTransport transport_b_{sim_, "b", handlers_, 2};
  FakeObjects objects_a_{sim_, "a", store_};
  FakeObjects objects_b_{sim_, "b", store_};
  Member member_a_{EntryVmId("a"), {}, {"127.0.0.1", 1}, FailureDomainId("p1"), RegionId("r")};
  Member member_b_{EntryVmId("b"), {}, {"127.0.0.1", 2}, FailureDomainId("p2"), RegionId("r")};
  RecordKeeper<FakeTransport, FakeObjects> a_{
      transport_a_, objects_a_, sim_.schedule.clock, 1, EntryVmId("a"), FailureDomainId("p1")};
  RecordKeeper<FakeTransport, FakeObjects> b_{
      transport_b_, objects_b_, sim_.schedule.clock, 2, EntryVmId("b"), FailureDomainId("p2")};
};

class RecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordsTest);
  CPPUNIT_TEST(Records_UnderEveryFaultAtEveryStep_AppearOnceWithTheirCause);
  CPPUNIT_TEST(Notes_AtAHighRequestRate_StayWithinTheByteRate);
  CPPUNIT_TEST(Buffer_WhenFull_CountsDroppedRecords);
  CPPUNIT_TEST(Messages_Malformed_AreRefused);
  CPPUNIT_TEST(Query_BeyondTheRecordLifetime_IsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Records_UnderEveryFaultAtEveryStep_AppearOnceWithTheirCause() {
    for (int combination = 0; combination < kStepCount * static_cast<int>(kFaultCount);
         ++combination) {
      const auto step = static_cast<Step>(combination / static_cast<int>(kFaultCount));
      const auto fault = static_cast<Fault>(combination % static_cast<int>(kFaultCount));
      if (InapplicableReason(step, fault) != nullptr) continue;
      for (uint64_t seed = 1; seed <= 2; ++seed) {
        TwoVmScenario scenario(step, fault, seed);
        scenario.Run();
        const std::string problem = scenario.Check();
        const std::string where = "step " + std::to_string(step) + " fault " +
                                  std::to_string(fault) + " seed " + std::to_string(seed);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(where, std::string(), problem);
      }
    }
  }

  void Notes_AtAHighRequestRate_StayWithinTheByteRate() {
    const RecordSettings settings;
    NoteSender sender(settings);
    ManualClock clock;
    size_t bytes = 0;
    RequestRecord record;
    record.request = RequestId("0193b1c0-7a5e-7000-8000-000000000000");
    for (RecordNumber n = 1; n <= 100000; ++n) {  // 10,000 a second, each open for 300 ms.
      clock.Advance(std::chrono::microseconds(100));
      sender.Opened(n, record, clock.Now());
      if (n > 3000) sender.Ended(n - 3000, record, false);
      const auto message = sender.NextMessage(clock.Now());
      if (!message) continue;
      bytes += ToBytes(*message).size();
      sender.OnReply(true);
    }
    const size_t seconds = 10;
    const size_t burst = 2;
    CPPUNIT_ASSERT(bytes <= (seconds + burst) * settings.note_bytes_per_second);
    CPPUNIT_ASSERT(bytes > seconds * settings.note_bytes_per_second / 2);
  }

  void Buffer_WhenFull_CountsDroppedRecords() {
    RecordSettings settings;
    settings.pending_limit_bytes = 10000;
    RecordBuffer buffer(EntryVmId("a"), settings, 1);
    ManualClock clock;
    RequestRecord record;
    record.cause = RecordCause::kRefused;
    for (RecordNumber n = 1; n <= 100; ++n) buffer.Add({n, record}, clock.Now());
    clock.Advance(seconds(6));
    const auto batch = BatchFromBytes(buffer.TakeBatch(clock.Now(), clock.WallNow())->bytes);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, batch->dropped.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{100}, batch->dropped[0].count + batch->records.size());
  }

  void Messages_Malformed_AreRefused() {
    NotesMessage message;
    message.sequence = 1;
    message.records.push_back(NumberedRecord{7, RequestRecord{}});
    const std::string bytes = ToBytes(message);
    for (size_t i = 0; i < bytes.size(); ++i) {
      CPPUNIT_ASSERT(!NotesFromBytes(bytes.substr(0, i), EntryVmId("a")));
    }
    CPPUNIT_ASSERT(NotesFromBytes(bytes, EntryVmId("a")).has_value());
    CPPUNIT_ASSERT(!BatchFromBytes("\xc1"));
  }

  void Query_BeyondTheRecordLifetime_IsRefused() {
    RecordQuery query;
    query.to = query.from + std::chrono::hours(1);
    const auto error = CheckQuery(query, query.from + std::chrono::hours(24 * 31));
    CPPUNIT_ASSERT(error && error->kind == RecordReadError::Kind::kPastLifetime);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordsTest);

}  // namespace
}  // namespace cowsliphill
