// Measures the cost of claims and records. Prints one line per measurement.
//
//   claims_bench
//
// A filing is a non-idempotent request that needs a claim. Filings run on virtual time against a
// simulated table, which processes commits one after another at a limited rate and adds 2 ms to
// each call. Processor time and memory are real.
//
// A claim is settling while its final write, which stores the outcome, is pending. A note is the
// replicated start or end event of an open request.

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "src/claims/claim_keeper.h"
#include "src/claims/grouped_table.h"
#include "src/records/record_keeper.h"
#include "src/storage/memory_platform.h"

namespace cowsliphill {
namespace {

using std::chrono::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntryVms = 18;
constexpr int kClaimCount = 100000;    // Claims per measurement of processor time and memory.
constexpr int kRecordSeconds = 20;     // Virtual time of a measurement of records.
constexpr int kWritesPerSecond = 300;  // Write rate of the simulated table.
constexpr int kReadsPerSecond = 2000;  // Read rate of the simulated table.

class EventQueue {
 public:
  void At(MonotonicTime time, std::function<void()> task) { tasks_.emplace(time, std::move(task)); }
  bool Done() const { return tasks_.empty(); }
  MonotonicTime Next() const { return tasks_.begin()->first; }
  void RunNext() {
    const auto it = tasks_.begin();
    const auto task = std::move(it->second);
    if (it->first > clock.Now()) clock.Advance(it->first - clock.Now());
    tasks_.erase(it);
    task();
  }
  ManualClock clock;

 private:
  std::multimap<MonotonicTime, std::function<void()>> tasks_;
};

// The simulated table has one queue for writes and one for reads, each with its own rate.
struct ModelStore {
  explicit ModelStore(EventQueue& it) : schedule(it) {}
  MonotonicTime CompletionTime(MonotonicTime& free_at, int rate, size_t units) {
    free_at = std::max(free_at, schedule.clock.Now()) + Duration(seconds(1)) / rate * units;
    return free_at + kCallTime;
  }
  static constexpr Duration kCallTime = milliseconds(2);
  EventQueue& schedule;
  MemoryPlatformState store;
  MonotonicTime writes_free_at{};
  MonotonicTime reads_free_at{};
  MonotonicTime down_until{};
  bool limit_by_rows = false;  // If true, a commit costs one write per row; else one write.
  uint64_t commits = 0;
  uint64_t rows = 0;
  uint64_t reads = 0;
};

class ModelTable {
 public:
  explicit ModelTable(ModelStore& store) : store_(store) {}
  void Get(std::string key, std::function<void(GetResult)> done) {
    ++store_.reads;
    if (Down()) return Fail<GetResult>(done);
    store_.schedule.At(store_.CompletionTime(store_.reads_free_at, kReadsPerSecond, 1),
                       [this, key, done] { done(store_.store.Get(key)); });
  }
  void Scan(std::string, std::string, size_t, std::function<void(ScanResult)> done) {
    Fail<ScanResult>(done);
  }
  void Commit(std::vector<ConditionalWrite> writes, std::function<void(CommitResult)> done) {
    ++store_.commits;
    store_.rows += writes.size();
    if (Down()) return Fail<CommitResult>(done);
    const size_t units = store_.limit_by_rows ? writes.size() : 1;
    store_.schedule.At(store_.CompletionTime(store_.writes_free_at, kWritesPerSecond, units),
                       [this, writes, done] {
                         auto outcome = store_.store.Commit(writes);
                         if (auto* conflict = std::get_if<Conflict>(&outcome)) {
                           return done(*conflict);
                         }
                         done(std::get<Committed>(outcome));
                       });
  }

 private:
  bool Down() const { return store_.schedule.clock.Now() < store_.down_until; }
  template <typename R>
  void Fail(std::function<void(R)> done) {
    store_.schedule.At(store_.schedule.clock.Now() + milliseconds(1), [done] {
      done(PlatformError{PlatformError::Kind::kUnavailable, "down"});
    });
  }
  ModelStore& store_;
};

struct FilingLoad {
  int filings_per_second = 100;
  Duration arrival_time_span = seconds(20);
  Duration outage{};                         // Length of the outage, which starts after 5 s.
  Duration service_time = milliseconds(20);  // Time that a filing takes at its backend server.
  bool limit_by_rows = false;
  size_t max_in_flight = 4;
};

struct FilingResult {
  std::vector<Duration> waits;  // Times from Begin to Proceed.
  uint64_t refused = 0;
  double commits_per_filing = 0;
  double rows_per_filing = 0;
  double reads_per_filing = 0;
  // Largest number of pending final writes at any time before the outage ends.
  size_t max_settling = 0;
  Duration first_claim_after_outage{};
  Duration all_settled_after_outage{};
};

class FilingRun {
 public:
  explicit FilingRun(const FilingLoad& load) : load_(load) {
    store_.limit_by_rows = load.limit_by_rows;
    for (int i = 0; i < kEntryVms; ++i) {
      vms_.push_back(std::make_unique<Vm>(store_, schedule_, i, load.max_in_flight));
    }
  }

  FilingResult Run() {
    start_ = schedule_.clock.Now();
    outage_end_ = start_ + seconds(5) + load_.outage;
    if (load_.outage > Duration::zero()) {
      schedule_.At(start_ + seconds(5), [this] { store_.down_until = outage_end_; });
    }
    OnArrival();
    while (!schedule_.Done()) {
      TickDueKeepers();
      schedule_.RunNext();
    }
    result_.max_settling = max_settling_;
    const double n = std::max<double>(1, static_cast<double>(result_.waits.size()));
    result_.commits_per_filing = static_cast<double>(store_.commits) / n;
    result_.rows_per_filing = static_cast<double>(store_.rows) / n;
    result_.reads_per_filing = static_cast<double>(store_.reads) / n;
    return result_;
  }

 private:
  struct Vm {
    Vm(ModelStore& store, EventQueue& schedule, int i, size_t max_in_flight)
        : table(store),
          grouped(table, GroupSettings{max_in_flight, 16}),
          keeper(grouped, schedule.clock, i, EntryVmId("vm-" + std::to_string(i))) {}
    ModelTable table;
    GroupedTable<ModelTable> grouped;
    ClaimKeeper<GroupedTable<ModelTable>> keeper;
  };

  void TickDueKeepers() {
    size_t settling = 0;
    for (const auto& it : vms_) {
      settling += it->keeper.Settling();
      const auto wake = it->keeper.NextWake();
      if (!wake || *wake > schedule_.Next()) continue;
      if (*wake > schedule_.clock.Now()) schedule_.clock.Advance(*wake - schedule_.clock.Now());
      it->keeper.Tick();
    }
    const MonotonicTime now = schedule_.clock.Now();
    if (now < outage_end_) {
      max_settling_ = std::max(max_settling_, settling);
    } else if (settling == 0 && result_.all_settled_after_outage == Duration::zero()) {
      result_.all_settled_after_outage = now - outage_end_;
    }
  }

  void OnArrival() {
    const MonotonicTime now = schedule_.clock.Now();
    if (now - start_ >= load_.arrival_time_span) return;
    SubmitFiling(*vms_[random_() % vms_.size()], now);
    std::exponential_distribution<double> gap(load_.filings_per_second);
    const auto step = std::chrono::duration_cast<Duration>(duration<double>(gap(random_)));
    schedule_.At(now + step, [this] { OnArrival(); });
  }

  void SubmitFiling(Vm& vm, MonotonicTime now) {
    const std::string key = "key-" + std::to_string(++filings_);
    const ClaimRequest request{ServiceId("filing-intake"),
                               TenantId("clerk"),
                               key,
                               "print",
                               RequestId(key),
                               now + seconds(5)};
    vm.keeper.Begin(request, [this, &vm, now](const ClaimAnswer& answer) {
      const auto* proceed = std::get_if<Proceed>(&answer);
      if (proceed == nullptr) {
        ++result_.refused;
        return;
      }
      const MonotonicTime claimed_at = schedule_.clock.Now();
      result_.waits.push_back(claimed_at - now);
      if (claimed_at > outage_end_ && result_.first_claim_after_outage == Duration::zero()) {
        result_.first_claim_after_outage = claimed_at - outage_end_;
      }
      const Claim claim = proceed->claim;
      schedule_.At(claimed_at + load_.service_time, [&vm, claim] {
        vm.keeper.Finish(claim, {Outcome::kRan, KeptAnswer{201, "", "ok", true}});
      });
    });
  }

  FilingLoad load_;
  EventQueue schedule_;
  ModelStore store_{schedule_};
  std::vector<std::unique_ptr<Vm>> vms_;
  std::mt19937_64 random_{7};
  FilingResult result_;
  MonotonicTime start_;
  MonotonicTime outage_end_;
  size_t max_settling_ = 0;  // Largest number of pending final writes before the outage ends.
  int filings_ = 0;
};

double Milliseconds(Duration it) { return duration<double, std::milli>(it).count(); }

Duration Percentile(std::vector<Duration> waits, double share) {
  if (waits.empty()) return {};
  std::sort(waits.begin(), waits.end());
  return waits[static_cast<size_t>(share * static_cast<double>(waits.size() - 1))];
}

void MeasureFilings() {
  for (const bool by_rows : {false, true}) {
    for (const size_t in_flight : {size_t{1000}, size_t{4}, size_t{2}, size_t{1}}) {
      for (const int rate : {50, 100, 140, 200, 400}) {
        FilingLoad load;
        load.filings_per_second = rate;
        load.limit_by_rows = by_rows;
        load.max_in_flight = in_flight;
        const FilingResult it = FilingRun(load).Run();
        std::printf(
            "filings/s %3d rate-by-%s in-flight %4zu: claim p50 %.1f ms p99 %.1f ms, refused %llu, "
            "commits %.2f rows %.2f reads %.2f a filing\n",
            rate, by_rows ? "rows   " : "commits", in_flight,
            Milliseconds(Percentile(it.waits, 0.5)), Milliseconds(Percentile(it.waits, 0.99)),
            static_cast<unsigned long long>(it.refused), it.commits_per_filing, it.rows_per_filing,
            it.reads_per_filing);
      }
    }
  }
}

void MeasureOutage() {
  FilingLoad load;
  load.filings_per_second = 50;
  load.outage = std::chrono::minutes(10);
  load.arrival_time_span = load.outage + seconds(120);
  load.service_time = seconds(2);
  const FilingResult it = FilingRun(load).Run();
  std::printf(
      "outage of 600 s at 50 filings/s: refused %llu, first claim %.0f ms after its end, "
      "%zu settling writes done %.0f ms after\n",
      static_cast<unsigned long long>(it.refused), Milliseconds(it.first_claim_after_outage),
      it.max_settling, Milliseconds(it.all_settled_after_outage));
}

// Measures real time and memory, with an in-process table.
void MeasureClaimCost() {
  std::deque<std::function<void()>> tasks;
  MemoryPlatform platform([&](std::function<void()> task) { tasks.push_back(std::move(task)); });
  const auto drain = [&] {
    while (!tasks.empty()) {
      const auto task = std::move(tasks.front());
      tasks.pop_front();
      task();
    }
  };
  SystemClock clock;
  ClaimKeeper<MemoryPlatform> keeper(platform, clock, 1, EntryVmId("10.0.0.1:8081-0123456789"));
  std::vector<Claim> claims;
  claims.reserve(kClaimCount);
  const auto from = std::chrono::steady_clock::now();
  for (int i = 0; i < kClaimCount; ++i) {
    const std::string key = "0193b1c0-7a5e-4000-8000-" + std::to_string(100000000000 + i);
    keeper.Begin({ServiceId("filing-intake"), TenantId("clerk"), key, "print", RequestId(key),
                  clock.Now() + seconds(60)},
                 [&](const ClaimAnswer& it) { claims.push_back(std::get<Proceed>(it).claim); });
    drain();
  }
  const auto middle = std::chrono::steady_clock::now();
  const size_t before = mallinfo2().uordblks;
  for (const Claim& it : claims) {
    keeper.Finish(it, {Outcome::kRan, KeptAnswer{201, "", "ok", true}});
  }
  drain();
  const auto to = std::chrono::steady_clock::now();
  const size_t after = mallinfo2().uordblks;
  const Row row = platform.Store().Scan(kClaimPrefix, "", 1).front();
  std::printf(
      "claim: Begin %.2f us, Finish %.2f us, %zu bytes freed by a Finish, %zu bytes a row\n",
      duration<double, std::micro>(middle - from).count() / kClaimCount,
      duration<double, std::micro>(to - middle).count() / kClaimCount,
      (before - after) / kClaimCount, row.key.size() + row.value.size());
}

struct NullTransport {
  void Handle(MessageKind, std::function<std::string(const EntryVmId&, const std::string&)>) {}
  void Request(const Endpoint&, MessageKind, std::string,
               std::function<void(Result<std::string, PeerError>)> done) {
    done(ToBytes(NotesReply{}));
  }
};

RequestRecord SampleRecord() {
  RequestRecord record;
  record.request = RequestId("0193b1c0-7a5e-7000-8000-000000000000");
  record.tenant = TenantId("clerk");
  record.service = ServiceId("table-service");
  record.deadline = milliseconds(250);
  return record;
}

void MeasureRecords(int calls_per_second, Duration open) {
  std::deque<std::function<void()>> tasks;
  MemoryPlatform platform([&](std::function<void()> task) { tasks.push_back(std::move(task)); });
  ManualClock clock;
  NullTransport transport;
  RecordKeeper keeper(transport, platform, clock, 1, EntryVmId("a"), FailureDomainId("p1"));
  keeper.OnMembers(
      {{EntryVmId("b"), {}, {}, FailureDomainId("p2"), RegionId("r"), MemberState::kAlive}});
  const RequestRecord record = SampleRecord();
  const auto open_requests =
      static_cast<RecordNumber>(duration<double>(open).count() * calls_per_second);
  const size_t before = mallinfo2().uordblks;
  size_t bytes_with_open_requests = 0;
  const auto from = std::chrono::steady_clock::now();
  const auto calls = static_cast<RecordNumber>(calls_per_second) * kRecordSeconds;
  for (RecordNumber n = 1; n <= calls; ++n) {
    clock.Advance(Duration(seconds(1)) / calls_per_second);
    keeper.Started(record);
    if (n > open_requests) keeper.Ended(n - open_requests, record);
    keeper.Tick();
    if (n == open_requests) bytes_with_open_requests = mallinfo2().uordblks;
  }
  const auto to = std::chrono::steady_clock::now();
  std::printf(
      "records at %d calls/s open for %.0f ms: %.2f us a call, %.0f note bytes/s, %zu bytes an "
      "open "
      "request\n",
      calls_per_second, Milliseconds(open),
      duration<double, std::micro>(to - from).count() / static_cast<double>(calls),
      static_cast<double>(keeper.Counters().note_bytes) / kRecordSeconds,
      open_requests == 0 ? 0 : (bytes_with_open_requests - before) / open_requests);
}

void MeasureRecordBytes() {
  RecordBatch batch;
  NotesMessage message;
  for (RecordNumber n = 1; n <= 1000; ++n) {
    RequestRecord record = SampleRecord();
    message.records.push_back({n, record});
    record.ended = record.started + milliseconds(300);
    record.cause = RecordCause::kLate;
    record.backend_server = BackendServerId("table-7");
    batch.records.push_back(record);
  }
  std::printf("records: %zu bytes an open note, %zu bytes a stored record\n",
              ToBytes(message).size() / 1000, ToBytes(batch).size() / 1000);
}

}  // namespace
}  // namespace cowsliphill

int main() {
  cowsliphill::MeasureClaimCost();
  cowsliphill::MeasureFilings();
  cowsliphill::MeasureOutage();
  cowsliphill::MeasureRecordBytes();
  cowsliphill::MeasureRecords(2000, std::chrono::milliseconds(50));
  cowsliphill::MeasureRecords(2000, std::chrono::milliseconds(1000));
  cowsliphill::MeasureRecords(30000, std::chrono::milliseconds(50));
  cowsliphill::MeasureRecords(30000, std::chrono::milliseconds(1000));
  return 0;
}
