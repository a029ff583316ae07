// Acceptance of a submitted manifest, without I/O: what is asked for, what may be answered, and the
// decisions between the steps of manifest_keeper.h.
//
// One transaction of the platform's table is the acceptance. It writes three rows under conditions:
//   head        must still have the version that was read    one of two racing submissions wins
//   history/N   must be absent                               never changed afterwards
//   submission  must be absent                               settles a lost answer by its id
// Versions never repeat, so repeating the very same transaction is safe: it takes effect at most
// once, and its conflict carries the rows that say which it was.

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
  std::string id;                        // Chosen by the pipeline, one for each delivery; a repeat
                                         // of the same delivery carries the same one.
  uint64_t base_revision = 0;            // Revision that the manifest was written against.
  std::string text;                      // The manifest in TOML, unless `roll_back_to` is set.
  std::optional<uint64_t> roll_back_to;  // Take the manifest of this revision as the new one.
  Author author;
  std::string note;      // For people, up to 1000 characters.
  bool dry_run = false;  // Check and compare only.
};

struct Accepted {
  RevisionRef accepted;
  bool by_earlier_try = false;             // A transaction before the last one had taken effect.
  std::vector<DifferenceLine> difference;  // Empty with `by_earlier_try`.
};
struct Unchanged {
  uint64_t revision = 0;  // It is the accepted manifest already; nothing was written.
};
struct WouldBeAccepted {
  std::vector<DifferenceLine> difference;  // Dry run.
};
struct Refused {
  std::vector<Issue> issues;  // Not accepted, and won't be later by itself.
};
struct BaseConflict {
  uint64_t revision = 0;  // Accepted in the meantime; not accepted, and won't be later by itself.
  TeamId author;
  WallTime time;
};
struct NotSettled {
  std::string detail;  // May or may not be accepted: ask again with the same id.
};
using SubmissionAnswer =
    std::variant<Accepted, Unchanged, WouldBeAccepted, Refused, BaseConflict, NotSettled>;

inline constexpr uint64_t kSnapshotEvery = 64;           // Revisions between whole manifests.
inline constexpr size_t kMostInlineChangeBytes = 32768;  // Larger ones are kept as a whole.
inline constexpr size_t kMostNoteLength = 1000;

// What is wrong with the submission apart from the manifest in it.
std::vector<Issue> CheckSubmission(const Submission& submission);

// Digest of base, text and roll back, to tell a repeat from another use of the same id.
std::string ContentDigest(const Submission& submission);

// The head and submission rows as the table holds them now. A transaction that writes nothing and
// whose conditions fail on each row that exists returns them as they are; a plain read may be old.
std::vector<ConditionalWrite> LookTransaction(const std::string& submission_id);

struct LookedUp {
  std::optional<ManifestHead> head;
  uint64_t head_version = 0;
};
// Either the state against which to go on, or the final answer.
std::variant<LookedUp, SubmissionAnswer> AfterLook(const Submission& submission,
                                                   const CommitResult& result,
                                                   uint64_t revision_in_force);

// Everything that the acceptance will write, made off the event loop.
struct PreparedAcceptance {
  LoadedManifest next;
  bool snapshot = false;                 // The encoded manifest is to be stored first.
  std::vector<ConditionalWrite> writes;  // The transaction.
  std::vector<DifferenceLine> difference;
};
struct AcceptanceInput {
  Submission submission;
  LookedUp looked_up;
  ManifestPtr base;    // The manifest of `looked_up.head`; an empty one for revision 0.
  Manifest submitted;  // Its revision is of no matter.
  WallTime now;
};
std::variant<PreparedAcceptance, SubmissionAnswer> PrepareAcceptance(const AcceptanceInput& input);

// The answer after the transaction, or nullopt if it must be repeated to know. A struct, so that
// tests can show what other rules lead to.
struct AcceptanceRules {
  static std::optional<SubmissionAnswer> AfterTransaction(const Submission& submission,
                                                          const PreparedAcceptance& prepared,
                                                          const CommitResult& result);
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_ACCEPTANCE_H_
