// Records under every fault at every step, on virtual time: entry VM "a" handles requests, "b" in
// another failure domain is its partner. Afterwards the object store is read back and compared with
// what happened.

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

enum Step { kOpenNote, kEndedNote, kBatchPut, kStepCount };
enum Fault {
  kNone,
  kKill,
  kPause,
  kLostAnswer,
  kSlow,
  kCut,
  kSilent,
  kPlatformDown,
  kDownAfterEffect,
  kDuplicateCaller,
  kRacingEntryVm,
  kFaultCount
};

const char* Impossible(Step step, Fault fault) {
  if (fault == kDuplicateCaller || fault == kRacingEntryVm) {
    return "a second try is another request with a record of its own";
  }
  if (fault == kDownAfterEffect && step != kBatchPut) return "notes do not call the platform";
  return nullptr;
}

// Tasks on virtual time, advanced in steps of 10 ms. Those of a killed process vanish.
struct Schedule {
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

struct Shared {
  bool Hit(const std::string& process, Step step) {
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
  // Runs the task once the process is not paused; never if it is killed.
  void Deliver(Duration delay, const std::string& process, std::function<void()> task) {
    schedule.At(delay, [this, process, task] {
      if (Runs(process)) return task();
      if (a_alive) Deliver(milliseconds(10), process, task);
    });
  }

  Schedule schedule;
  Step fault_step = kOpenNote;
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
  FakeTransport(Shared& shared, std::string process, std::map<uint16_t, Handler>& handlers,
                uint16_t port)
      : shared_(shared), process_(std::move(process)), handlers_(handlers), port_(port) {}

  void Handle(MessageKind, Handler handler) { handlers_[port_] = std::move(handler); }

  void Request(const Endpoint& to, MessageKind, std::string payload,
               std::function<void(Result<std::string, PeerError>)> done) {
    const auto message = NotesFromBytes(payload, EntryVmId(process_));
    const bool ended = std::any_of(message->records.begin(), message->records.end(),
                                   [](const auto& it) { return it.record.ended.has_value(); });
    const bool hit = shared_.Hit(process_, ended ? kEndedNote : kOpenNote);
    const Fault fault = hit ? shared_.fault : kNone;
    const bool arrives = fault != kSilent && !(fault == kCut && shared_.seed % 2 == 0);
    const Duration there = fault == kSlow ? Duration(seconds(3)) : Duration(milliseconds(2));
    const bool answered = fault == kNone || fault == kPlatformDown || fault == kPause;
    shared_.schedule.At(there, [=, this] {
      if (!arrives) return;
      const std::string reply = handlers_[to.port](EntryVmId(process_), payload);
      if (answered) shared_.Deliver(milliseconds(2), process_, [done, reply] { done(reply); });
    });
    if (!answered) shared_.Deliver(seconds(1), process_, [done] { done(PeerError::kTimeout); });
  }

 private:
  Shared& shared_;
  std::string process_;
  std::map<uint16_t, Handler>& handlers_;
  uint16_t port_;
};

class FakeObjects {
 public:
  FakeObjects(Shared& shared, std::string process, PlatformStore& store)
      : shared_(shared), process_(std::move(process)), store_(store) {}

  void PutIfAbsent(const std::string& name, const std::string& bytes,
                   std::function<void(PutObjectResult)> done) {
    const bool hit = shared_.Hit(process_, kBatchPut);
    const Fault fault = hit ? shared_.fault : kNone;
    if (shared_.schedule.clock.Now() < shared_.down_until || fault == kSilent) {
      return Answer(PlatformError{PlatformError::Kind::kUnknown, ""}, done);
    }
    const bool applies = (fault != kCut && fault != kKill) || shared_.seed % 2 == 0;
    const auto put = [=, this] { return store_.PutIfAbsent(name, bytes); };
    if (fault == kDownAfterEffect) {
      shared_.down_until = shared_.schedule.clock.Now() + seconds(20);
    }
    if (fault == kNone || fault == kPause) return Answer(put(), done);
    if (applies) shared_.schedule.At(fault == kSlow ? seconds(3) : seconds(0), [put] { put(); });
    Answer(PlatformError{PlatformError::Kind::kUnknown, ""}, done);
  }
  void GetObject(const std::string& name, const std::function<void(ObjectResult)>& done) {
    done(store_.GetObject(name));
  }
  void ListObjects(const std::string& prefix, const std::string& after, size_t most,
                   const std::function<void(ListResult)>& done) {
    done(store_.ListObjects(prefix, after, most));
  }

 private:
  void Answer(PutObjectResult result, const std::function<void(PutObjectResult)>& done) {
    shared_.Deliver(milliseconds(5), process_, [done, result] { done(result); });
  }

  Shared& shared_;
  std::string process_;
  PlatformStore& store_;
};

class World {
 public:
  World(Step step, Fault fault, uint64_t seed) {
    shared_.fault_step = step;
    shared_.fault = fault;
    shared_.seed = seed;
    a_.OnMembers({member_a_, member_b_});
    b_.OnMembers({member_a_, member_b_});
  }

  // Requests of every kind, then a long quiet. Gives causes by request as read back.
  void Run() {
    Request("on-time", {}, milliseconds(50), RecordCause::kOnTime);
    Request("long-on-time", {}, seconds(1), RecordCause::kOnTime);
    Request("refused", seconds(1), milliseconds(1), RecordCause::kRefused);
    Request("late", milliseconds(100), milliseconds(500), RecordCause::kLate);
    Request("long-unknown", milliseconds(100), seconds(20), RecordCause::kUnknown);
    bool told = false;
    for (int i = 0; i < 15000; ++i) {
      shared_.schedule.Step();
      const MonotonicTime now = shared_.schedule.clock.Now();
      if (shared_.Runs("a")) a_.Tick();
      b_.Tick();
      const bool lost = shared_.fired && !shared_.Runs("a") && i > 2500;
      if (lost != told && now > shared_.paused_until - seconds(30)) {
        told = lost;
        if (lost) b_.OnMembers({member_b_});
        if (!lost) b_.OnMembers({member_a_, member_b_});
      }
    }
    RecordReader<FakeObjects> reader(objects_b_);
    RecordQuery query;
    query.to = shared_.schedule.clock.WallNow();
    reader.Read(query, query.to, [this](const RecordReadResult& result) {
      answer = std::get<RecordAnswer>(result);
    });
  }

  // Nothing, or what is wrong.
  std::string Check() const {
    std::map<std::string, RecordCause> seen;
    for (const RequestRecord& it : answer.records) {
      if (!seen.emplace(it.request.Text(), it.cause).second) return "twice: " + it.request.Text();
    }
    if (shared_.fault != kNone && !shared_.fired) return "the fault was never reached";
    if (seen.count("on-time") != 0) return "a record of a request that was on time";
    if (!shared_.a_alive) return CheckKilled(seen);
    const std::map<std::string, RecordCause> wanted = {{"refused", RecordCause::kRefused},
                                                       {"late", RecordCause::kLate},
                                                       {"long-unknown", RecordCause::kUnknown}};
    for (const auto& [request, cause] : wanted) {
      if (seen.count(request) == 0) return "no record of " + request;
      if (seen.at(request) != cause) return "wrong cause of " + request;
    }
    if (shared_.fault != kPause && seen.size() != wanted.size()) return "a record too many";
    return a_.Live() == 0 && b_.HeldForOthers() == 0 ? "" : "notes were left behind";
  }

  RecordAnswer answer;

 private:
  // "a" died before the request ended: its partner's word is all there is.
  std::string CheckKilled(const std::map<std::string, RecordCause>& seen) const {
    if (shared_.fault_step == kOpenNote) return "";  // The first note itself may be the lost one.
    const auto it = seen.find("long-unknown");
    if (it == seen.end()) return "no record of an open request of the lost entry VM";
    if (it->second != RecordCause::kEntryVmLost) return "wrong cause of a lost request";
    if (shared_.fault_step == kBatchPut && seen.count("late") == 0) return "no record of late";
    return "";
  }

  void Request(const std::string& name, Duration start, Duration length, RecordCause cause) {
    shared_.Deliver(start, "a", [=, this] {
      RequestRecord record;
      record.request = RequestId(name);
      record.started = shared_.schedule.clock.WallNow();
      const RecordNumber number = a_.Started(record);
      shared_.Deliver(length, "a", [=, this]() mutable {
        record.ended = shared_.schedule.clock.WallNow();
        record.cause = cause;
        a_.Ended(number, record);
      });
    });
  }

  Shared shared_;
  PlatformStore store_;
  std::map<uint16_t, Handler> handlers_;
  FakeTransport transport_a_{shared_, "a", handlers_, 1};
  FakeTransport transport_b_{shared_, "b", handlers_, 2};
  FakeObjects objects_a_{shared_, "a", store_};
  FakeObjects objects_b_{shared_, "b", store_};
  Member member_a_{EntryVmId("a"), {}, {"127.0.0.1", 1}, FailureDomainId("p1"), RegionId("r")};
  Member member_b_{EntryVmId("b"), {}, {"127.0.0.1", 2}, FailureDomainId("p2"), RegionId("r")};
  RecordKeeper<FakeTransport, FakeObjects> a_{
      transport_a_, objects_a_, shared_.schedule.clock, 1, EntryVmId("a"), FailureDomainId("p1")};
  RecordKeeper<FakeTransport, FakeObjects> b_{
      transport_b_, objects_b_, shared_.schedule.clock, 2, EntryVmId("b"), FailureDomainId("p2")};
};

class RecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordsTest);
  CPPUNIT_TEST(Records_UnderEveryFaultAtEveryStep_AppearOnceWithTheirCause);
  CPPUNIT_TEST(Notes_AtAHighCallRate_StayWithinTheirBytes);
  CPPUNIT_TEST(Buffer_WithoutRoom_RecordsWhatItDropped);
  CPPUNIT_TEST(Messages_Malformed_AreRefused);
  CPPUNIT_TEST(Query_PastTheLifetime_IsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Records_UnderEveryFaultAtEveryStep_AppearOnceWithTheirCause() {
    for (int cell = 0; cell < kStepCount * static_cast<int>(kFaultCount); ++cell) {
      const auto step = static_cast<Step>(cell / static_cast<int>(kFaultCount));
      const auto fault = static_cast<Fault>(cell % static_cast<int>(kFaultCount));
      if (Impossible(step, fault) != nullptr) continue;
      for (uint64_t seed = 1; seed <= 2; ++seed) {
        World world(step, fault, seed);
        world.Run();
        const std::string problem = world.Check();
        const std::string where = "step " + std::to_string(step) + " fault " +
                                  std::to_string(fault) + " seed " + std::to_string(seed);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(where, std::string(), problem);
      }
    }
  }

  void Notes_AtAHighCallRate_StayWithinTheirBytes() {
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
      const auto message = sender.Collect(clock.Now());
      if (!message) continue;
      bytes += ToBytes(*message).size();
      sender.OnReply(true);
    }
    const size_t seconds = 10;
    const size_t burst = 2;
    CPPUNIT_ASSERT(bytes <= (seconds + burst) * settings.note_bytes_per_second);
    CPPUNIT_ASSERT(bytes > seconds * settings.note_bytes_per_second / 2);
  }

  void Buffer_WithoutRoom_RecordsWhatItDropped() {
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

  void Query_PastTheLifetime_IsRefused() {
    RecordQuery query;
    query.to = query.from + std::chrono::hours(1);
    const auto error = CheckQuery(query, query.from + std::chrono::hours(24 * 31));
    CPPUNIT_ASSERT(error && error->kind == RecordReadError::Kind::kPastLifetime);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordsTest);

}  // namespace
}  // namespace cowsliphill
