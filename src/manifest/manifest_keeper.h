// Processes submitted manifests and reads accepted ones. Any entry VM can do both. The decisions
// are in acceptance.h; this class performs the I/O on the platform.
//
//   ManifestKeeper keeper(table, objects, loop, worker, clock, follower);
//   keeper.Submit(submission, [](SubmissionAnswer answer) { ... });
//
// If the process is paused or killed between two steps, the manifest is either accepted completely
// or not at all. A whole manifest in the object store that no row refers to is harmless.

#ifndef COWSLIPHILL_MANIFEST_MANIFEST_KEEPER_H_
#define COWSLIPHILL_MANIFEST_MANIFEST_KEEPER_H_

#include <concepts>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/base/clock.h"
#include "src/manifest/acceptance.h"
#include "src/manifest/manifest_format.h"
#include "src/manifest/manifest_loader.h"

namespace cowsliphill {

// How often one Submit() call sends the acceptance transaction before it answers Undetermined.
inline constexpr int kMaxTransactionAttempts = 3;

enum class HistoryError {
  kUnavailable,  // The platform did not answer, or the manifest could not be loaded; try again.
  kNoSuchRevision,
};
using HistoryResult = Result<std::vector<HistoryEntry>, HistoryError>;
using DifferenceResult = Result<std::vector<DifferenceLine>, HistoryError>;
using RevisionResult = Result<ManifestPtr, HistoryError>;

// Access to the manifest in force: reads the current one, and adopts a newly accepted one.
template <typename T>
concept ManifestInForce = requires(T& in_force, LoadedManifest loaded) {
  { in_force.Current() } -> std::convertible_to<ManifestPtr>;
  in_force.Adopt(loaded);
};

template <TableClient Table, ObjectClient Objects, ManifestInForce InForce,
          typename Rules = AcceptanceRules>
class ManifestKeeper {
 public:
  using Done = std::function<void(SubmissionAnswer)>;

  // All arguments must outlive the keeper. They are used on the loop's thread only; `worker` runs
  // tasks off it.
  ManifestKeeper(Table& table, Objects& objects, Executor loop, Executor worker, const Clock& clock,
                 InForce& in_force)
      : table_(table),
        objects_(objects),
        loop_(loop),
        worker_(worker),
        clock_(clock),
        in_force_(in_force),
        loader_(table, objects, std::move(loop), std::move(worker)) {}

  // Calls `done` exactly once, within a few of the platform's timeouts.
  void Submit(Submission submission, Done done) {
    auto attempt = std::make_shared<Attempt>();
    attempt->done = std::move(done);
    attempt->input.submission = std::move(submission);
    std::vector<Issue> issues = CheckSubmission(attempt->input.submission);
    if (!issues.empty()) {
      loop_([attempt, issues = std::move(issues)] { attempt->done(Refused{issues}); });
      return;
    }
    if (attempt->input.submission.roll_back_to) return ReadRows(attempt);
    worker_([this, attempt] { ParseOnWorker(attempt); });
  }

  // Reads up to `max_entries` accepted revisions after `after`, oldest first.
  void History(uint64_t after, size_t max_entries, std::function<void(HistoryResult)> done) {
    table_.Scan(kManifestHistoryPrefix, HistoryKey(after), max_entries,
                [done = std::move(done)](ScanResult result) {
                  if (!Ok(result)) return done(HistoryError::kUnavailable);
                  std::vector<HistoryEntry> entries;
                  for (const Row& row : ValueOf(result)) {
                    std::optional<HistoryEntry> entry = DecodeHistoryEntry(row.value);
                    if (entry) entries.push_back(*std::move(entry));
                  }
                  done(std::move(entries));
                });
  }

  // Loads the manifest of an accepted revision.
  void At(uint64_t revision, std::function<void(RevisionResult)> done) {
    const ManifestPtr current = in_force_.Current();
    if (current && current->revision == revision) {
      loop_([current, done = std::move(done)] { done(current); });
      return;
    }
    table_.Get(HistoryKey(revision), [this, done = std::move(done)](GetResult result) {
      OnHistoryRow(std::move(result), done);
    });
  }

  // Lists the differences between two accepted revisions.
  void Compare(uint64_t from, uint64_t to, std::function<void(DifferenceResult)> done) {
    At(from, [this, to, done = std::move(done)](RevisionResult first) {
      if (!Ok(first)) return done(ErrorOf(first));
      At(to, [this, before = ValueOf(first), done](RevisionResult second) {
        if (!Ok(second)) return done(ErrorOf(second));
        worker_([loop = loop_, before, after = ValueOf(second), done] {
          loop([done, differences = DescribeDifference(*before, *after)] { done(differences); });
        });
      });
    });
  }

 private:
  // State of one Submit call.
  struct Attempt {
    AcceptanceInput input;
    PreparedAcceptance prepared;
    Done done;
    int transactions_sent = 0;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  void ParseOnWorker(AttemptPtr attempt) {
    ManifestResult result = ParseManifest(attempt->input.submission.text, "manifest");
    if (!Ok(result)) {
      loop_([attempt, issues = ErrorOf(result)] { attempt->done(Refused{issues}); });
      return;
    }
    attempt->input.submitted = std::move(ValueOf(result));
    loop_([this, attempt] { ReadRows(attempt); });
  }

  void ReadRows(AttemptPtr attempt) {
    table_.Commit(MakeReadTransaction(attempt->input.submission.id),
                  [this, attempt](CommitResult result) { OnRowsRead(attempt, result); });
  }

  void OnRowsRead(AttemptPtr attempt, const CommitResult& result) {
    const ManifestPtr current = in_force_.Current();
    auto next = AfterRead(attempt->input.submission, result, current ? current->revision : 0);
    if (auto* answer = std::get_if<SubmissionAnswer>(&next)) {
      attempt->done(std::move(*answer));
      return;
    }
    attempt->input.current_head = std::get<CurrentHead>(std::move(next));
    LoadBase(attempt);
  }

  void LoadBase(AttemptPtr attempt) {
    const std::optional<ManifestHead>& head = attempt->input.current_head.head;
    if (!head) {
      attempt->input.base = std::make_shared<const Manifest>();
      return LoadRollBack(attempt);
    }
    const ManifestPtr current = in_force_.Current();
    if (current && current->revision == head->accepted.revision) {
      attempt->input.base = current;
      return LoadRollBack(attempt);
    }
    loader_.Load(*head, current, [this, attempt](LoadResult result) {
      if (!Ok(result)) return attempt->done(Undetermined{"the accepted manifest can't be loaded"});
      attempt->input.base = ValueOf(result).manifest;
      LoadRollBack(attempt);
    });
  }

  void LoadRollBack(AttemptPtr attempt) {
    const std::optional<uint64_t> revision = attempt->input.submission.roll_back_to;
    if (!revision) return Prepare(attempt);
    At(*revision, [this, attempt](RevisionResult result) {
      if (Ok(result)) {
        attempt->input.submitted = *ValueOf(result);
        return Prepare(attempt);
      }
      attempt->done(Undetermined{"the revision to roll back to can't be loaded"});
    });
  }

  void Prepare(AttemptPtr attempt) {
    attempt->input.now = clock_.WallNow();
    worker_([this, attempt] {
      auto next = std::make_shared<std::variant<PreparedAcceptance, SubmissionAnswer>>(
          PrepareAcceptance(attempt->input));
      loop_([this, attempt, next] {
        if (auto* answer = std::get_if<SubmissionAnswer>(next.get())) {
          return attempt->done(std::move(*answer));
        }
        attempt->prepared = std::get<PreparedAcceptance>(std::move(*next));
        StoreWholeManifest(attempt);
      });
    });
  }

  void StoreWholeManifest(AttemptPtr attempt) {
    if (!attempt->prepared.snapshot) return SendTransaction(attempt);
    const std::string& digest = attempt->prepared.next.head.accepted.digest;
    objects_.PutIfAbsent(WholeObjectName(digest), *attempt->prepared.next.encoded,
                         [this, attempt](PutObjectResult result) {
                           if (Ok(result)) return SendTransaction(attempt);
                           attempt->done(Undetermined{
                               "the object store did not confirm the write of the whole manifest"});
                         });
  }

  void SendTransaction(AttemptPtr attempt) {
    ++attempt->transactions_sent;
    table_.Commit(attempt->prepared.writes, [this, attempt](CommitResult result) {
      auto answer = Rules::AfterTransaction(attempt->input.submission, attempt->prepared, result);
      if (answer) return Answer(attempt, *std::move(answer));
      if (attempt->transactions_sent < kMaxTransactionAttempts) return SendTransaction(attempt);
      attempt->done(Undetermined{"the platform did not confirm the acceptance transaction"});
    });
  }

  void Answer(AttemptPtr attempt, SubmissionAnswer answer) {
    const auto* accepted = std::get_if<Accepted>(&answer);
    if (accepted != nullptr && accepted->accepted == attempt->prepared.next.head.accepted) {
      in_force_.Adopt(std::move(attempt->prepared.next));
    }
    attempt->done(std::move(answer));
  }

  void OnHistoryRow(GetResult result, std::function<void(RevisionResult)> done) {
    if (!Ok(result)) return done(HistoryError::kUnavailable);
    if (!ValueOf(result)) return done(HistoryError::kNoSuchRevision);
    const std::optional<HistoryEntry> entry = DecodeHistoryEntry(ValueOf(result)->value);
    if (!entry) return done(HistoryError::kNoSuchRevision);
    loader_.Load(entry->head, nullptr, [done = std::move(done)](LoadResult loaded) {
      if (!Ok(loaded)) return done(HistoryError::kUnavailable);
      done(ValueOf(loaded).manifest);
    });
  }

  Table& table_;
  Objects& objects_;
  Executor loop_;
  Executor worker_;
  const Clock& clock_;
  InForce& in_force_;
  ManifestLoader<Table, Objects> loader_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_MANIFEST_KEEPER_H_
