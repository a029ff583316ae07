#include "src/manifest/manifest_log.h"

namespace cowsliphill {

void ManifestLog::Add(const LoadedManifest& loaded) {
  const uint64_t first = loaded.head.accepted.revision - loaded.entries.size() + 1;
  const bool follows = !changes_.empty() && changes_.back().revision + 1 == first;
  if (!follows) changes_.clear();
  for (size_t i = 0; i < loaded.entries.size(); ++i) {
    changes_.push_back({first + i, loaded.entries[i]});
  }
  while (changes_.size() > kKeptChanges) changes_.pop_front();
  head_ = loaded.head;
  encoded_ = loaded.encoded;
}

FetchReply ManifestLog::Answer(const FetchRequest& request) const {
  FetchReply reply;
  reply.head = head_;
  if (!encoded_ || AddChanges(request, reply)) return reply;
  const bool goes_on = request.whole == head_.accepted && request.offset <= encoded_->size();
  const size_t offset = goes_on ? request.offset : 0;
  reply.manifest_bytes = encoded_->size();
  reply.part.data = encoded_->substr(offset, kPartBytes);
  return reply;
}

// Adds the changes after `since`; false if they are not all kept or too large for one answer.
bool ManifestLog::AddChanges(const FetchRequest& request, FetchReply& reply) const {
  if (request.since == 0 || changes_.empty()) return false;
  if (request.since + 1 < changes_.front().revision) return false;
  size_t bytes = 0;
  for (const Change& change : changes_) {
    if (change.revision <= request.since) continue;
    bytes += change.bytes.size();
    reply.entries.push_back({change.bytes});
  }
  if (!reply.entries.empty() && bytes <= kPartBytes) return true;
  reply.entries.clear();
  return false;
}

}  // namespace cowsliphill
