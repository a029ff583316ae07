#include "src/manifest/manifest_log.h"

namespace cowsliphill {

void ManifestLog::Add(const LoadedManifest& loaded) {
  const uint64_t first = loaded.head.accepted.revision - loaded.entries.size() + 1;
  const bool follows = !changes_.empty() && changes_.back().revision + 1 == first;
  if (!follows) changes_.clear();
  for (size_t i = 0; i < loaded.entries.size(); ++i) {
    changes_.push_back({first + i, loaded.entries[i]});
  }
  while (changes_.size() > kMaxKeptChanges) changes_.pop_front();
  head_ = loaded.head;
  encoded_ = loaded.encoded;
}

FetchReply ManifestLog::Answer(const FetchRequest& request) const {
  FetchReply reply;
  reply.head = head_;
  if (!encoded_ || AddChanges(request, reply)) return reply;
  const bool continues = request.whole == head_.accepted && request.offset <= encoded_->size();
  const size_t offset = continues ? request.offset : 0;
  reply.manifest_bytes = encoded_->size();
  reply.part.data = encoded_->substr(offset, kMaxPartBytes);
  return reply;
}

// Adds the changes after `since` to the reply. Returns false if the log doesn't hold them all, or
// if they don't fit into one reply.
bool ManifestLog::AddChanges(const FetchRequest& request, FetchReply& reply) const {
  if (request.since == 0 || changes_.empty()) return false;
  if (request.since + 1 < changes_.front().revision) return false;
  size_t bytes = 0;
  for (const Change& change : changes_) {
    if (change.revision <= request.since) continue;
    bytes += change.bytes.size();
    reply.entries.push_back({change.bytes});
  }
  if (!reply.entries.empty() && bytes <= kMaxPartBytes) return true;
  reply.entries.clear();
  return false;
}

}  // namespace cowsliphill
