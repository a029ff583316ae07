#include "src/manifest/manifest_loader.h"

namespace cowsliphill {

namespace {

// Digits of the largest uint64_t: padded keys sort by number.
constexpr size_t kRevisionDigits = 20;

// Applies one entry to `manifest`. The entry must be of the next revision.
std::optional<LoadError> ApplyEntry(const HistoryEntry& entry, Manifest& manifest) {
  if (entry.head.accepted.revision != manifest.revision + 1) return LoadError::kIncomplete;
  if (!entry.change) return LoadError::kIncomplete;
  manifest = Apply(manifest, *entry.change);
  manifest.revision = entry.head.accepted.revision;
  return std::nullopt;
}

}  // namespace

std::string HistoryKey(uint64_t revision) {
  const std::string digits = std::to_string(revision);
  return kManifestHistoryPrefix + std::string(kRevisionDigits - digits.size(), '0') + digits;
}

std::string SubmissionKey(const std::string& id) { return "manifest/submission/" + id; }

std::string WholeObjectName(const std::string& digest) { return "manifest/whole/" + digest; }

LoadResult Assemble(ManifestParts parts) {
  Manifest manifest;
  if (parts.base) {
    manifest = *parts.base;
  } else {
    std::optional<Manifest> whole = DecodeManifest(parts.whole);
    if (!whole) return LoadError::kCorrupt;
    manifest = *std::move(whole);
    manifest.revision = parts.whole_revision;
  }
  LoadedManifest loaded;
  loaded.head = parts.target;
  for (std::string& bytes : parts.entries) {
    if (manifest.revision == parts.target.accepted.revision) break;
    const std::optional<HistoryEntry> entry = DecodeHistoryEntry(bytes);
    if (!entry) return LoadError::kCorrupt;
    const std::optional<LoadError> error = ApplyEntry(*entry, manifest);
    if (error) return *error;
    loaded.entries.push_back(std::move(bytes));
  }
  if (manifest.revision != parts.target.accepted.revision) return LoadError::kIncomplete;
  loaded.encoded = std::make_shared<const std::string>(EncodeManifest(manifest));
  if (DigestOfBytes(*loaded.encoded) != parts.target.accepted.digest) return LoadError::kCorrupt;
  loaded.manifest = std::make_shared<const Manifest>(std::move(manifest));
  return loaded;
}

}  // namespace cowsliphill
