// The manifest in force and the latest changes that led to it, as handed on to other entry VMs.

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

inline constexpr size_t kPartBytes = 32768;          // Of one answer to a FetchRequest.
inline constexpr size_t kKeptChanges = 64;           // Latest changes kept.
inline constexpr size_t kMostWholeBytes = 16 << 20;  // Larger manifests are refused.

class ManifestLog {
 public:
  // Takes the manifest that comes into force.
  void Add(const LoadedManifest& loaded);

  // The changes since the asker's revision if they are kept and small, else a part of the whole.
  FetchReply Answer(const FetchRequest& request) const;

 private:
  struct Change {
    uint64_t revision = 0;  // That it made.
    std::string bytes;      // HistoryEntry.
  };

  bool AddChanges(const FetchRequest& request, FetchReply& reply) const;

  ManifestHead head_;
  std::shared_ptr<const std::string> encoded_;  // The whole of `head_`.
  std::deque<Change> changes_;                  // Without gaps, up to `head_`.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_MANIFEST_LOG_H_
