// Cost of claims and records. Prints one line a figure.
//
//   claims_bench
//
// Filings against a modelled table run on virtual time: commits are served one after another at a
// rated number a second, and each call takes 2 ms besides. Processor time and memory are real.

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
constexpr int kClaims = 100000;    // To measure processor time and memory.
constexpr int kSeconds = 20;       // Of records, on virtual time.
constexpr int kRatedWrites = 300;  // A second.
constexpr int kRatedReads = 2000;  // A second.

class Schedule {
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

// The table: one queue for writes, one for reads, each at its rate.
struct ModelStore {
  explicit ModelStore(Schedule& it) : schedule(it) {}
  MonotonicTime Serve(MonotonicTime& free_at, int rate, size_t units) {
    free_at = std::max(free_at, schedule.clock.Now()) + Duration(seconds(1)) / rate * units;
    return free_at + kCallTime;
  }
  static constexpr Duration kCallTime = milliseconds(2);
  Schedule& schedule;
  MemoryPlatformState store;
  MonotonicTime writes_free{};
  MonotonicTime reads_free{};
  MonotonicTime down_until{};
  bool rate_by_rows = false;  // A commit costs as much as its rows; else as one.
  uint64_t commits = 0;
  uint64_t rows = 0;
  uint64_t reads = 0;
};

class ModelTable {
 public:
  explicit ModelTable(ModelStore& store) : store_(store) {}
  void Get(std::string key, std::function<void(GetResult)> done) {
    ++store_.reads;
    if (Down()) return Refuse<GetResult>(done);
    store_.schedule.At(store_.Serve(store_.reads_free, kRatedReads, 1),
                       [this, key, done] { done(store_.store.Get(key)); });
  }
  void Scan(std::string, std::string, size_t, std::function<void(ScanResult)> done) {
    Refuse<ScanResult>(done);
  }
  void Commit(std::vector<ConditionalWrite> writes, std::function<void(CommitResult)> done) {
    ++store_.commits;
    store_.rows += writes.size();
    if (Down()) return Refuse<CommitResult>(done);
    const size_t units = store_.rate_by_rows ? writes.size() : 1;
    store_.schedule.At(store_.Serve(store_.writes_free, kRatedWrites, units), [this, writes, done] {
      auto outcome = store_.store.Commit(writes);
      if (auto* conflict = std::get_if<Conflict>(&outcome)) return done(*conflict);
      done(std::get<Committed>(outcome));
    });
  }

 private:
  bool Down() const { return store_.schedule.clock.Now() < store_.down_until; }
  template <typename R>
  void Refuse(std::function<void(R)> done) {
    store_.schedule.At(store_.schedule.clock.Now() + milliseconds(1), [done] {
      done(PlatformError{PlatformError::Kind::kUnavailable, "down"});
    });
  }
  ModelStore& store_;
};

struct FilingLoad {
  int filings_per_second = 100;
  Duration length = seconds(20);
  Duration outage{};                // From the fifth second on.
  Duration run = milliseconds(20);  // Of the filing at its backend server.
  bool rate_by_rows = false;
  size_t max_in_flight = 4;
};

struct FilingResult {
  std::vector<Duration> waits;  // Begin to Proceed.
  uint64_t refused = 0;
  double commits_per_filing = 0;
  double rows_per_filing = 0;
  double reads_per_filing = 0;
  size_t most_settling = 0;  // Claims held when the outage came, and their ends.
  Duration first_after_outage{};
  Duration settled_after_outage{};
};

class FilingRun {
 public:
  explicit FilingRun(const FilingLoad& load) : load_(load) {
    store_.rate_by_rows = load.rate_by_rows;
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
    Arrive();
    while (!schedule_.Done()) {
      TickDue();
      schedule_.RunNext();
    }
    result_.most_settling = most_settling_;
    const double n = std::max<double>(1, static_cast<double>(result_.waits.size()));
    result_.commits_per_filing = static_cast<double>(store_.commits) / n;
    result_.rows_per_filing = static_cast<double>(store_.rows) / n;
    result_.reads_per_filing = static_cast<double>(store_.reads) / n;
    return result_;
  }

 private:
  struct Vm {
    Vm(ModelStore& store, Schedule& schedule, int i, size_t max_in_flight)
        : table(store),
          grouped(table, GroupSettings{max_in_flight, 16}),
          keeper(grouped, schedule.clock, i, EntryVmId("vm-" + std::to_string(i))) {}
    ModelTable table;
    GroupedTable<ModelTable> grouped;
    ClaimKeeper<GroupedTable<ModelTable>> keeper;
  };

  void TickDue() {
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
      most_settling_ = std::max(most_settling_, settling);
    } else if (settling == 0 && result_.settled_after_outage == Duration::zero()) {
      result_.settled_after_outage = now - outage_end_;
    }
  }

  void Arrive() {
    const MonotonicTime now = schedule_.clock.Now();
    if (now - start_ >= load_.length) return;
    File(*vms_[random_() % vms_.size()], now);
    std::exponential_distribution<double> gap(load_.filings_per_second);
    const auto step = std::chrono::duration_cast<Duration>(duration<double>(gap(random_)));
    schedule_.At(now + step, [this] { Arrive(); });
  }

  void File(Vm& vm, MonotonicTime now) {
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
      const MonotonicTime held = schedule_.clock.Now();
      result_.waits.push_back(held - now);
      if (held > outage_end_ && result_.first_after_outage == Duration::zero()) {
        result_.first_after_outage = held - outage_end_;
      }
      const Claim claim = proceed->claim;
      schedule_.At(held + load_.run, [&vm, claim] {
        vm.keeper.Finish(claim, {Outcome::kRan, KeptAnswer{201, "", "ok", true}});
      });
    });
  }

  FilingLoad load_;
  Schedule schedule_;
  ModelStore store_{schedule_};
  std::vector<std::unique_ptr<Vm>> vms_;
  std::mt19937_64 random_{7};
  FilingResult result_;
  MonotonicTime start_;
  MonotonicTime outage_end_;
  size_t most_settling_ = 0;  // At any moment of the outage.
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
        load.rate_by_rows = by_rows;
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
  load.length = load.outage + seconds(120);
  load.run = seconds(2);
  const FilingResult it = FilingRun(load).Run();
  std::printf(
      "outage of 600 s at 50 filings/s: refused %llu, first claim %.0f ms after its end, "
      "%zu settling writes done %.0f ms after\n",
      static_cast<unsigned long long>(it.refused), Milliseconds(it.first_after_outage),
      it.most_settling, Milliseconds(it.settled_after_outage));
}

// Real time and memory, with a table in the process.
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
  claims.reserve(kClaims);
  const auto from = std::chrono::steady_clock::now();
  for (int i = 0; i < kClaims; ++i) {
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
      duration<double, std::micro>(middle - from).count() / kClaims,
      duration<double, std::micro>(to - middle).count() / kClaims, (before - after) / kClaims,
      row.key.size() + row.value.size());
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
  const auto lag = static_cast<RecordNumber>(duration<double>(open).count() * calls_per_second);
  const size_t before = mallinfo2().uordblks;
  size_t at_most = 0;
  const auto from = std::chrono::steady_clock::now();
  const auto calls = static_cast<RecordNumber>(calls_per_second) * kSeconds;
  for (RecordNumber n = 1; n <= calls; ++n) {
    clock.Advance(Duration(seconds(1)) / calls_per_second);
    keeper.Started(record);
    if (n > lag) keeper.Ended(n - lag, record);
    keeper.Tick();
    if (n == lag) at_most = mallinfo2().uordblks;
  }
  const auto to = std::chrono::steady_clock::now();
  std::printf(
      "records at %d calls/s open for %.0f ms: %.2f us a call, %.0f note bytes/s, %zu bytes an "
      "open "
      "request\n",
      calls_per_second, Milliseconds(open),
      duration<double, std::micro>(to - from).count() / static_cast<double>(calls),
      static_cast<double>(keeper.Counters().note_bytes) / kSeconds,
      lag == 0 ? 0 : (at_most - before) / lag);
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
