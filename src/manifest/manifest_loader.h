// Loads the manifest of a given revision from the platform: the latest whole manifest at or before
// the revision from the object store, and the later changes from the table. If an earlier manifest
// is already in memory, only the changes since then are read. The parts are assembled off the event
// loop, and the result is used only if its digest is the expected one, so an incomplete or mixed
// read is never returned.

#ifndef COWSLIPHILL_MANIFEST_MANIFEST_LOADER_H_
#define COWSLIPHILL_MANIFEST_MANIFEST_LOADER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/base/result.h"
#include "src/manifest/manifest_codec.h"
#include "src/storage/platform.h"

namespace cowsliphill {

using ManifestPtr = std::shared_ptr<const Manifest>;

// Keys of the manifest's rows, and names of its objects, on the platform.
inline constexpr char kManifestHeadKey[] = "manifest/head";
inline constexpr char kManifestHistoryPrefix[] = "manifest/history/";
std::string HistoryKey(uint64_t revision);         // Sorts by revision.
std::string SubmissionKey(const std::string& id);  // Key of the row of an accepted submission.
std::string WholeObjectName(const std::string& digest);  // Name of the object of a whole manifest.

struct LoadedManifest {
  ManifestPtr manifest;
  ManifestHead head;  // Head row of this revision.
  // Encoded HistoryEntry of each applied change, as sent to other entry VMs.
  std::vector<std::string> entries;
  // Encoded manifest, as sent to other entry VMs and stored as a snapshot on the platform.
  std::shared_ptr<const std::string> encoded;
};

enum class LoadError {
  kUnavailable,  // The platform or the peer did not answer.
  kIncomplete,   // A needed row, object or part is missing, for example after a stale read.
  kCorrupt,      // The data is malformed, or its digest differs from the expected one.
};
using LoadResult = Result<LoadedManifest, LoadError>;

// Input of Assemble.
struct ManifestParts {
  ManifestHead target;
  ManifestPtr base;             // Manifest to apply the entries to; null: use `whole`.
  std::string whole;            // Encoded manifest to apply the entries to, if `base` is null.
  uint64_t whole_revision = 0;  // Revision of `whole`.
  // Encoded HistoryEntry rows in order; those after `target` are ignored.
  std::vector<std::string> entries;
};
LoadResult Assemble(ManifestParts parts);

template <TableClient Table, ObjectClient Objects>
class ManifestLoader {
 public:
  using Done = std::function<void(LoadResult)>;

  // `worker` runs tasks off the event loop, `loop` on it. All arguments must outlive the loader,
  // and the loader must outlive its pending calls.
  ManifestLoader(Table& table, Objects& objects, Executor loop, Executor worker)
      : table_(table), objects_(objects), loop_(std::move(loop)), worker_(std::move(worker)) {}

  // Loads the revision of `target`. Starts from `base` if it isn't older than the latest whole
  // manifest on the platform, else from that whole manifest.
  void Load(const ManifestHead& target, ManifestPtr base, Done done) {
    auto parts = std::make_shared<ManifestParts>();
    parts->target = target;
    if (base && base->revision >= target.snapshot.revision) parts->base = std::move(base);
    if (parts->base) {
      ReadEntries(parts, parts->base->revision, std::move(done));
      return;
    }
    objects_.GetObject(WholeObjectName(target.snapshot.digest),
                       [this, parts, done = std::move(done)](ObjectResult result) {
                         OnWholeManifest(parts, std::move(result), done);
                       });
  }

 private:
  void OnWholeManifest(std::shared_ptr<ManifestParts> parts, ObjectResult result, Done done) {
    if (!Ok(result)) return done(LoadError::kUnavailable);
    if (!ValueOf(result)) return done(LoadError::kIncomplete);
    parts->whole = *std::move(ValueOf(result));
    parts->whole_revision = parts->target.snapshot.revision;
    ReadEntries(parts, parts->whole_revision, std::move(done));
  }

  void ReadEntries(std::shared_ptr<ManifestParts> parts, uint64_t since, Done done) {
    const uint64_t last = parts->target.accepted.revision;
    if (since >= last) return Finish(parts, std::move(done));
    table_.Scan(kManifestHistoryPrefix, HistoryKey(since), last - since,
                [this, parts, done = std::move(done)](ScanResult result) {
                  if (!Ok(result)) return done(LoadError::kUnavailable);
                  for (Row& row : ValueOf(result)) parts->entries.push_back(std::move(row.value));
                  Finish(parts, done);
                });
  }

  void Finish(std::shared_ptr<ManifestParts> parts, Done done) {
    worker_([loop = loop_, parts, done = std::move(done)] {
      loop([done, result = Assemble(std::move(*parts))] { done(result); });
    });
  }

  Table& table_;
  Objects& objects_;
  Executor loop_;
  Executor worker_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_MANIFEST_LOADER_H_
