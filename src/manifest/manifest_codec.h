// Binary encoding of manifests, changes, the rows stored on the platform and the messages between
// entry VMs: MessagePack maps with a format version. Values equal to their default are left out, so
// a release that adds a key changes neither the bytes nor the digests of manifests that don't use
// it. The decoders return nullopt for bytes that are malformed or of another format version.

#ifndef COWSLIPHILL_MANIFEST_MANIFEST_CODEC_H_
#define COWSLIPHILL_MANIFEST_MANIFEST_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/manifest/manifest.h"
#include "src/manifest/manifest_change.h"

namespace cowsliphill {

// Identifies an accepted manifest by its revision and its digest.
struct RevisionRef {
  uint64_t revision = 0;  // 0: no manifest.
  std::string digest;

  friend bool operator==(const RevisionRef& a, const RevisionRef& b) = default;
};

// The row on the platform that names the latest accepted manifest. The transaction that accepts a
// manifest writes this row together with a history row and a submission row (acceptance.h).
struct ManifestHead {
  RevisionRef accepted;
  RevisionRef snapshot;    // Latest revision stored whole in the object store; at most `accepted`.
  std::string submission;  // Id of the submission that created the accepted revision.
  TeamId author;
  WallTime time;  // Time of acceptance by the clock of the accepting entry VM.

  friend bool operator==(const ManifestHead& a, const ManifestHead& b) = default;
};

// The row on the platform for one revision. It is written in the same transaction as the head and
// never changed.
struct HistoryEntry {
  ManifestHead head;                     // The head row as written by the same transaction.
  std::string note;                      // Free text by the author.
  std::optional<ManifestChange> change;  // Change from the previous revision; nullopt if too large.
};

// The row on the platform for one accepted submission, written in the same transaction as the head.
struct SubmissionRow {
  RevisionRef accepted;
  std::string content;  // Digest of the submission; differs if its id is reused for another one.
};

// Bytes that are encoded as MessagePack binary; a std::string is encoded as a MessagePack string.
struct BinaryBlob {
  std::string data;

  friend bool operator==(const BinaryBlob& a, const BinaryBlob& b) = default;
};

// The manifest revision of an entry VM. Entry VMs exchange it as request and as reply.
struct RevisionStatus {
  EntryVmId sender;
  FailureDomainId failure_domain;  // Failure domain of the sender.
  RevisionRef in_force;            // Revision in force at the sender.
  uint64_t highest_known = 0;  // Highest revision reported to the sender as accepted or in force.
  bool ready = false;          // The sender serves callers under `in_force`.
};

// Requests the manifest in force from another entry VM, as changes or in parts of its encoding.
struct FetchRequest {
  uint64_t since = 0;   // Revision in force at the requester; 0 requests the whole manifest.
  RevisionRef whole;    // If `offset` is above 0: the manifest whose next part is requested.
  uint64_t offset = 0;  // First byte of the encoded manifest to send.
};

// Holds either `entries`, or `manifest_bytes` and `part`.
struct FetchReply {
  ManifestHead head;  // Head of the revision that the reply leads to.
  // Encoded HistoryEntry of each revision after `since`, in order.
  std::vector<BinaryBlob> entries;
  uint64_t manifest_bytes = 0;  // Size of the whole encoded manifest.
  BinaryBlob part;              // Part of the encoded manifest from `offset` on.
};

// Returns the hexadecimal digest of the manifest without its revision.
std::string DigestOf(const Manifest& manifest);
std::string DigestOfBytes(const std::string& encoded_manifest);

std::string EncodeManifest(const Manifest& manifest);  // The revision is not encoded.
std::optional<Manifest> DecodeManifest(const std::string& bytes);
std::string EncodeChange(const ManifestChange& change);
std::optional<ManifestChange> DecodeChange(const std::string& bytes);
std::string EncodeHead(const ManifestHead& head);
std::optional<ManifestHead> DecodeHead(const std::string& bytes);
std::string EncodeHistoryEntry(const HistoryEntry& entry);
std::optional<HistoryEntry> DecodeHistoryEntry(const std::string& bytes);
std::string EncodeSubmissionRow(const SubmissionRow& row);
std::optional<SubmissionRow> DecodeSubmissionRow(const std::string& bytes);
std::string EncodeRevisionStatus(const RevisionStatus& status);
std::optional<RevisionStatus> DecodeRevisionStatus(const std::string& bytes);
std::string EncodeFetchRequest(const FetchRequest& request);
std::optional<FetchRequest> DecodeFetchRequest(const std::string& bytes);
std::string EncodeFetchReply(const FetchReply& reply);
std::optional<FetchReply> DecodeFetchReply(const std::string& bytes);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_MANIFEST_CODEC_H_
