#include "src/manifest/acceptance.h"

#include <algorithm>
#include <utility>

namespace cowsliphill {

namespace {

constexpr size_t kMostIdLength = 64;

bool IsSubmissionId(const std::string& id) {
  return !id.empty() && id.size() <= kMostIdLength && std::all_of(id.begin(), id.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  });
}

Issue SubmissionIssue(const std::string& key, const std::string& found,
                      const std::string& allowed) {
  return {"", 0, key, found, allowed};
}

const Row* FindRow(const std::vector<Row>& rows, const std::string& key) {
  const auto it = std::find_if(rows.begin(), rows.end(),
                               [&](const Row& row) { return row.key == key && row.version > 0; });
  return it == rows.end() ? nullptr : &*it;
}

// The answer that the row of an accepted submission gives to a repeat of it.
SubmissionAnswer AnswerOfRow(const Submission& submission, const Row& row) {
  const std::optional<SubmissionRow> kept = DecodeSubmissionRow(row.value);
  if (!kept) return NotSettled{"the platform's row of this submission can't be read"};
  if (kept->content == ContentDigest(submission)) return Accepted{kept->accepted, true, {}};
  return Refused{{SubmissionIssue("id",
                                  "the id of another submission, accepted as revision " +
                                      std::to_string(kept->accepted.revision),
                                  "an id of its own")}};
}

BaseConflict ConflictWith(const ManifestHead& head) {
  return {head.accepted.revision, head.author, head.time};
}

bool NeedsSnapshot(const ManifestHead& base, uint64_t revision, size_t change_bytes) {
  return base.accepted.revision == 0 || revision - base.snapshot.revision >= kSnapshotEvery ||
         change_bytes > kMostInlineChangeBytes;
}

}  // namespace

std::vector<Issue> CheckSubmission(const Submission& submission) {
  std::vector<Issue> issues;
  if (!IsSubmissionId(submission.id)) {
    issues.push_back(SubmissionIssue("id", "\"" + submission.id + "\"",
                                     "1 to 64 letters, digits, '-', '_' and '.'"));
  }
  if (submission.note.size() > kMostNoteLength) {
    issues.push_back(SubmissionIssue("note", std::to_string(submission.note.size()) + " characters",
                                     "at most " + std::to_string(kMostNoteLength)));
  }
  if (submission.roll_back_to && *submission.roll_back_to == 0) {
    issues.push_back(SubmissionIssue("roll_back_to", "0", "an accepted revision, 1 or later"));
  }
  return issues;
}

std::string ContentDigest(const Submission& submission) {
  const std::string source = submission.roll_back_to
                                 ? "revision " + std::to_string(*submission.roll_back_to)
                                 : "text " + submission.text;
  return DigestOfBytes(std::to_string(submission.base_revision) + " " + source);
}

std::vector<ConditionalWrite> LookTransaction(const std::string& submission_id) {
  // Each deletes a row on the condition that it is absent.
  return {{kManifestHeadKey, 0, std::nullopt}, {SubmissionKey(submission_id), 0, std::nullopt}};
}

std::variant<LookedUp, SubmissionAnswer> AfterLook(const Submission& submission,
                                                   const CommitResult& result,
                                                   uint64_t revision_in_force) {
  if (std::holds_alternative<PlatformError>(result)) {
    return NotSettled{"the platform did not answer"};
  }
  LookedUp looked_up;
  if (const auto* conflict = std::get_if<Conflict>(&result)) {
    const Row* row = FindRow(conflict->current, SubmissionKey(submission.id));
    if (row != nullptr) return AnswerOfRow(submission, *row);
    const Row* head = FindRow(conflict->current, kManifestHeadKey);
    if (head == nullptr) return NotSettled{"the platform's answer is incomplete"};
    looked_up.head = DecodeHead(head->value);
    if (!looked_up.head) return NotSettled{"the platform's head row can't be read"};
    looked_up.head_version = head->version;
  }
  const uint64_t accepted = looked_up.head ? looked_up.head->accepted.revision : 0;
  if (accepted < revision_in_force) {
    return NotSettled{"the platform holds revision " + std::to_string(accepted) +
                      ", behind revision " + std::to_string(revision_in_force) + " in force here"};
  }
  if (accepted > submission.base_revision) return ConflictWith(*looked_up.head);
  if (accepted < submission.base_revision) {
    return Refused{{SubmissionIssue("base_revision", std::to_string(submission.base_revision),
                                    "at most the accepted revision, " + std::to_string(accepted))}};
  }
  if (submission.roll_back_to.value_or(0) > accepted) {
    return Refused{{SubmissionIssue("roll_back_to", std::to_string(*submission.roll_back_to),
                                    "an accepted revision, at most " + std::to_string(accepted))}};
  }
  return looked_up;
}

std::variant<PreparedAcceptance, SubmissionAnswer> PrepareAcceptance(const AcceptanceInput& input) {
  const Submission& submission = input.submission;
  const ManifestChange change = Difference(*input.base, input.submitted);
  std::vector<Issue> issues = CheckChange(*input.base, change);
  for (Issue& issue : CheckAuthority(*input.base, change, submission.author)) {
    issues.push_back(std::move(issue));
  }
  if (!issues.empty()) return Refused{std::move(issues)};
  PreparedAcceptance prepared;
  prepared.difference = DescribeDifference(*input.base, input.submitted);
  if (submission.dry_run) return WouldBeAccepted{std::move(prepared.difference)};
  const ManifestHead base_head = input.looked_up.head.value_or(ManifestHead());
  if (change.Empty() && base_head.accepted.revision > 0) {
    return Unchanged{base_head.accepted.revision};
  }

  auto encoded = std::make_shared<const std::string>(EncodeManifest(input.submitted));
  HistoryEntry entry;
  entry.head.accepted = {base_head.accepted.revision + 1, DigestOfBytes(*encoded)};
  entry.head.snapshot = base_head.snapshot;
  entry.head.submission = submission.id;
  entry.head.author = submission.author.team;
  entry.head.time = input.now;
  entry.note = submission.note;
  const size_t change_bytes = EncodeChange(change).size();
  if (change_bytes <= kMostInlineChangeBytes) entry.change = change;
  if (NeedsSnapshot(base_head, entry.head.accepted.revision, change_bytes)) {
    entry.head.snapshot = entry.head.accepted;
    prepared.snapshot = true;
  }
  std::string entry_bytes = EncodeHistoryEntry(entry);
  prepared.writes = {
      {kManifestHeadKey, input.looked_up.head_version, EncodeHead(entry.head)},
      {HistoryKey(entry.head.accepted.revision), 0, entry_bytes},
      {SubmissionKey(submission.id), 0,
       EncodeSubmissionRow({entry.head.accepted, ContentDigest(submission)})},
  };
  auto next = std::make_shared<Manifest>(input.submitted);
  next->revision = entry.head.accepted.revision;
  prepared.next = {std::move(next), entry.head, {std::move(entry_bytes)}, std::move(encoded)};
  return prepared;
}

std::optional<SubmissionAnswer> AcceptanceRules::AfterTransaction(
    const Submission& submission, const PreparedAcceptance& prepared, const CommitResult& result) {
  if (std::holds_alternative<Committed>(result)) {
    return Accepted{prepared.next.head.accepted, false, prepared.difference};
  }
  if (std::holds_alternative<PlatformError>(result)) return std::nullopt;
  const std::vector<Row>& current = std::get<Conflict>(result).current;
  const Row* row = FindRow(current, SubmissionKey(submission.id));
  if (row != nullptr) return AnswerOfRow(submission, *row);
  const Row* head_row = FindRow(current, kManifestHeadKey);
  const std::optional<ManifestHead> head =
      head_row != nullptr ? DecodeHead(head_row->value) : std::nullopt;
  if (!head) return NotSettled{"the platform's head row can't be read"};
  return ConflictWith(*head);
}

}  // namespace cowsliphill
