// Acceptance of a submitted manifest, without I/O: the submission, the possible answers, and the
// decisions between the I/O steps of manifest_keeper.h.
//
// A manifest is accepted by one transaction on the platform's table. It writes three rows, each
// under a condition:
//   head        must still have the version that was read    one of two racing submissions wins
//   history/N   must be absent                               is never changed afterwards
//   submission  must be absent                               its row shows the outcome later
// Row versions never repeat, so sending the same transaction again is safe: it takes effect at most
// once, and if an earlier attempt took effect, the conflict returns the rows that show it.

#ifndef COWSLIPHILL_MANIFEST_ACCEPTANCE_H_
#define COWSLIPHILL_MANIFEST_ACCEPTANCE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/base/toml_reader.h"
#include "src/manifest/manifest_change.h"
#include "src/manifest/manifest_loader.h"

namespace cowsliphill {

struct Submission {
  std::string id;              // Chosen by the pipeline for each delivery; a repeat of the
                               // same delivery carries the same id.
  uint64_t base_revision = 0;  // Revision that the manifest was written against.
  std::string text;            // The manifest in TOML, unless `roll_back_to` is set.
  std::optional<uint64_t> roll_back_to;  // Submits the manifest of this earlier revision.
  Author author;
  std::string note;      // Comment of the author, at most kMaxNoteLength bytes.
  bool dry_run = false;  // Checks and compares, but doesn't accept.
};

struct Accepted {
  RevisionRef accepted;
  bool already_accepted = false;           // An earlier transaction with this id took effect.
  std::vector<DifferenceLine> difference;  // Empty if `already_accepted`.
};
struct Unchanged {
  uint64_t revision = 0;  // Latest accepted revision, which has this content already; nothing was
                          // written.
};
struct WouldBeAccepted {
  std::vector<DifferenceLine> difference;  // What the submission would change.
};
struct Refused {
  std::vector<Issue> issues;  // The submission wasn't accepted and repeating it won't help.
};
struct BaseConflict {
  // Latest accepted revision; higher than `base_revision`. The submission wasn't accepted, and
  // repeating it won't help.
  uint64_t revision = 0;
  TeamId author;
  WallTime time;
};
struct Undetermined {
  std::string detail;  // Why the outcome is unknown. Submit again with the same id to learn it.
};
using SubmissionAnswer =
    std::variant<Accepted, Unchanged, WouldBeAccepted, Refused, BaseConflict, Undetermined>;

// A whole manifest is stored at least once in this many revisions.
inline constexpr uint64_t kRevisionsPerSnapshot = 64;
// A larger change is stored as a whole manifest.
inline constexpr size_t kMaxInlineChangeBytes = 32768;
inline constexpr size_t kMaxNoteLength = 1000;

// Checks the id, the note and `roll_back_to` of a submission, but not the manifest in it.
std::vector<Issue> CheckSubmission(const Submission& submission);

// Returns a digest of the base revision and of the text or roll-back target. It distinguishes a
// repeated submission from a different one with the same id.
std::string ContentDigest(const Submission& submission);

// Returns the transaction that reads the present head and submission rows; a plain read may be
// stale. It writes nothing: its conditions fail on each row that exists, and the conflict returns
// these rows.
std::vector<ConditionalWrite> MakeReadTransaction(const std::string& submission_id);

struct CurrentHead {
  std::optional<ManifestHead> head;
  uint64_t head_version = 0;
};
// Evaluates the result of the transaction from MakeReadTransaction(): returns the head to continue
// from, or the final answer.
std::variant<CurrentHead, SubmissionAnswer> AfterRead(const Submission& submission,
                                                      const CommitResult& result,
                                                      uint64_t revision_in_force);

// Everything that the acceptance writes; prepared off the event loop.
struct PreparedAcceptance {
  LoadedManifest next;
  bool snapshot = false;                 // Store the encoded manifest before the transaction.
  std::vector<ConditionalWrite> writes;  // Writes of the acceptance transaction.
  std::vector<DifferenceLine> difference;
};
struct AcceptanceInput {
  Submission submission;
  CurrentHead current_head;
  ManifestPtr base;    // Manifest of `current_head.head`; empty for revision 0.
  Manifest submitted;  // The submitted manifest; its `revision` field is ignored.
  WallTime now;
};
std::variant<PreparedAcceptance, SubmissionAnswer> PrepareAcceptance(const AcceptanceInput& input);

// Derives the answer from the result of the acceptance transaction; nullopt if the transaction must
// be sent again to learn the outcome. A struct, so that tests can substitute faulty rules.
struct AcceptanceRules {
  static std::optional<SubmissionAnswer> AfterTransaction(const Submission& submission,
                                                          const PreparedAcceptance& prepared,
                                                          const CommitResult& result);
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_ACCEPTANCE_H_
