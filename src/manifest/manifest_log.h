// The manifest in force and the latest changes up to it, kept to answer fetch requests of other
// entry VMs.

#ifndef COWSLIPHILL_MANIFEST_MANIFEST_LOG_H_
#define COWSLIPHILL_MANIFEST_MANIFEST_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "src/manifest/manifest_codec.h"
#include "src/manifest/manifest_loader.h"

namespace cowsliphill {

// Limit on the bytes of a manifest or of changes in one FetchReply.
inline constexpr size_t kMaxPartBytes = 32768;
inline constexpr size_t kMaxKeptChanges = 64;  // Changes kept in the log; older ones are dropped.
inline constexpr size_t kMaxManifestBytes = 16 << 20;  // Larger manifests from a peer are rejected.

class ManifestLog {
 public:
  // Records the manifest that comes into force and the changes that led to it.
  void Add(const LoadedManifest& loaded);

  // Returns the changes since the requester's revision if the log holds them all and they fit into
  // kMaxPartBytes, else a part of the whole manifest.
  FetchReply Answer(const FetchRequest& request) const;

 private:
  struct Change {
    uint64_t revision = 0;  // Revision that this change led to.
    std::string bytes;      // Encoded HistoryEntry.
  };

  bool AddChanges(const FetchRequest& request, FetchReply& reply) const;

  ManifestHead head_;
  std::shared_ptr<const std::string> encoded_;  // Encoded manifest of `head_`.
  std::deque<Change> changes_;                  // Consecutive revisions up to `head_`.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_MANIFEST_LOG_H_
