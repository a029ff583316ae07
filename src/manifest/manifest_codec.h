// Bytes of manifests, changes, the platform's rows and the messages between entry VMs: MessagePack
// maps with a version. Values that stand at their default are left out, so a release that adds a
// key keeps the bytes and digests of manifests that don't use it. Bytes that can't be read decode
// to nullopt.

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

// A revision together with the digest of its manifest.
struct RevisionMark {
  uint64_t revision = 0;  // 0: none.
  std::string digest;

  friend bool operator==(const RevisionMark& a, const RevisionMark& b) = default;
};

// The platform's row that says which manifest is accepted. One conditional write of it is the
// acceptance.
struct ManifestHead {
  RevisionMark accepted;
  RevisionMark snapshot;   // Latest revision kept whole in the object store; at most `accepted`.
  std::string submission;  // Id of the submission that made it.
  TeamId author;
  WallTime time;  // Of acceptance, by the accepting entry VM's clock.

  friend bool operator==(const ManifestHead& a, const ManifestHead& b) = default;
};

// The platform's row of one revision, written together with the head. Never changed.
struct HistoryEntry {
  ManifestHead head;                     // As written by this acceptance.
  std::string note;                      // By the author, for people.
  std::optional<ManifestChange> change;  // From the revision before; absent when it was too large.
};

// The platform's row of one accepted submission, written together with the head.
struct SubmissionRow {
  RevisionMark accepted;
  std::string content;  // Digest of what was submitted, to tell a repeat from a reused id.
};

// Any bytes, as opposed to text.
struct Bytes {
  std::string data;

  friend bool operator==(const Bytes& a, const Bytes& b) = default;
};

// What entry VMs tell each other, both as question and as answer.
struct PeerHead {
  EntryVmId sender;
  FailureDomainId failure_domain;  // Of the sender.
  RevisionMark in_force;           // At the sender.
  uint64_t highest_known =
      0;               // Highest revision that it heard to be accepted or in force anywhere.
  bool ready = false;  // It serves callers under `in_force`.
};

// Asks another entry VM for its revision in force.
struct FetchRequest {
  uint64_t since = 0;   // Revision in force at the asker; 0 asks for the whole.
  RevisionMark whole;   // With `offset` above 0: the manifest of which more is wanted.
  uint64_t offset = 0;  // First byte of the whole that is wanted.
};

struct FetchReply {
  ManifestHead head;           // Of the revision that the reply leads to.
  std::vector<Bytes> entries;  // HistoryEntry bytes after `since`, in order; or:
  uint64_t whole_bytes = 0;    // Size of the whole encoded manifest.
  Bytes part;                  // Its bytes from `offset` on.
};

// Hexadecimal digest of everything in the manifest but its revision.
std::string DigestOf(const Manifest& manifest);
std::string DigestOfBytes(const std::string& encoded_manifest);

std::string EncodeManifest(const Manifest& manifest);  // Without its revision.
std::optional<Manifest> DecodeManifest(const std::string& bytes);
std::string EncodeChange(const ManifestChange& change);
std::optional<ManifestChange> DecodeChange(const std::string& bytes);
std::string EncodeHead(const ManifestHead& head);
std::optional<ManifestHead> DecodeHead(const std::string& bytes);
std::string EncodeHistoryEntry(const HistoryEntry& entry);
std::optional<HistoryEntry> DecodeHistoryEntry(const std::string& bytes);
std::string EncodeSubmissionRow(const SubmissionRow& row);
std::optional<SubmissionRow> DecodeSubmissionRow(const std::string& bytes);
std::string EncodePeerHead(const PeerHead& head);
std::optional<PeerHead> DecodePeerHead(const std::string& bytes);
std::string EncodeFetchRequest(const FetchRequest& request);
std::optional<FetchRequest> DecodeFetchRequest(const std::string& bytes);
std::string EncodeFetchReply(const FetchReply& reply);
std::optional<FetchReply> DecodeFetchReply(const std::string& bytes);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_MANIFEST_CODEC_H_
