// Reads a manifest of a given revision from the platform: the latest whole one at or before it
// from the object store and the changes since then from the table, or only the changes since one
// that is at hand. What was read is put together off the event loop and taken only if its digest
// is the expected one, so half a read or a mixture is never seen by anyone.

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

// Where the manifest's data stand on the platform.
inline constexpr char kManifestHeadKey[] = "manifest/head";
inline constexpr char kManifestHistoryPrefix[] = "manifest/history/";
std::string HistoryKey(uint64_t revision);               // In the order of revisions.
std::string SubmissionKey(const std::string& id);        // Row of an accepted submission.
std::string WholeObjectName(const std::string& digest);  // Object of a whole manifest.

struct LoadedManifest {
  ManifestPtr manifest;
  ManifestHead head;                           // Of this revision.
  std::vector<std::string> entries;            // HistoryEntry bytes that led to it, for handing on.
  std::shared_ptr<const std::string> encoded;  // EncodeManifest of it, for handing on.
};

enum class LoadError {
  kUnavailable,  // The platform or the peer did not answer.
  kIncomplete,   // Something that must be there was not: an old read, or more is needed.
  kCorrupt,      // It could not be read, or the digest is another one.
};
using LoadResult = Result<LoadedManifest, LoadError>;

// What Assemble puts together.
struct ManifestParts {
  ManifestHead target;
  ManifestPtr base;                  // To which the entries apply; null: the whole is used.
  std::string whole;                 // Encoded manifest, if `base` is null.
  uint64_t whole_revision = 0;       // Of `whole`.
  std::vector<std::string> entries;  // HistoryEntry bytes in order; those past the target are cut.
};
LoadResult Assemble(ManifestParts parts);

template <TableClient Table, ObjectClient Objects>
class ManifestLoader {
 public:
  using Done = std::function<void(LoadResult)>;

  // `worker` runs tasks off the event loop, `loop` on it. All outlive the loader, and the loader
  // outlives its calls.
  ManifestLoader(Table& table, Objects& objects, Executor loop, Executor worker)
      : table_(table), objects_(objects), loop_(std::move(loop)), worker_(std::move(worker)) {}

  // Loads the revision of `target`. `base` is used if the changes since it are still few.
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
                         OnWhole(parts, std::move(result), done);
                       });
  }

 private:
  void OnWhole(std::shared_ptr<ManifestParts> parts, ObjectResult result, Done done) {
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
