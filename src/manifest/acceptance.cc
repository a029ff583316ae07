#include "src/manifest/acceptance.h"

#include <algorithm>
#include <utility>

namespace cowsliphill {

namespace {

constexpr size_t kMaxIdLength = 64;

bool IsSubmissionId(const std::string& id) {
  return !id.empty() && id.size() <= kMaxIdLength && std::all_of(id.begin(), id.end(), [](char c) {
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

// Derives the answer to a repeated submission from the row that its acceptance wrote.
SubmissionAnswer AnswerFromRow(const Submission& submission, const Row& row) {
  const std::optional<SubmissionRow> kept = DecodeSubmissionRow(row.value);
  if (!kept) return Undetermined{"the platform's row of this submission can't be decoded"};
  if (kept->content == ContentDigest(submission)) return Accepted{kept->accepted, true, {}};
  return Refused{{SubmissionIssue("id",
                                  "the id of another submission, accepted as revision " +
                                      std::to_string(kept->accepted.revision),
                                  "an id that no other submission has used")}};
}

BaseConflict ConflictWith(const ManifestHead& head) {
  return {head.accepted.revision, head.author, head.time};
}

bool NeedsSnapshot(const ManifestHead& base, uint64_t revision, size_t change_bytes) {
  return base.accepted.revision == 0 ||
         revision - base.snapshot.revision >= kRevisionsPerSnapshot ||
         change_bytes > kMaxInlineChangeBytes;
}

}  // namespace

std::vector<Issue> CheckSubmission(const Submission& submission) {
  std::vector<Issue> issues;
  if (!IsSubmissionId(submission.id)) {
    issues.push_back(SubmissionIssue("id", "\"" + submission.id + "\"",
                                     "1 to 64 letters, digits, '-', '_' and '.'"));
  }
  if (submission.note.size() > kMaxNoteLength) {
    issues.push_back(
        SubmissionIssue("note", std::to_string(submission.note.size()) + " bytes",
                        "a length in bytes of at most " + std::to_string(kMaxNoteLength)));
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

std::vector<ConditionalWrite> MakeReadTransaction(const std::string& submission_id) {
  // Each write deletes a row on the condition that it is absent, so it never changes anything.
  return {{kManifestHeadKey, 0, std::nullopt}, {SubmissionKey(submission_id), 0, std::nullopt}};
}

std::variant<CurrentHead, SubmissionAnswer> AfterRead(const Submission& submission,
                                                      const CommitResult& result,
                                                      uint64_t revision_in_force) {
  if (std::holds_alternative<PlatformError>(result)) {
    return Undetermined{"the platform did not answer the read of the head and submission rows"};
  }
  CurrentHead current_head;
  if (const auto* conflict = std::get_if<Conflict>(&result)) {
    const Row* row = FindRow(conflict->current, SubmissionKey(submission.id));
    if (row != nullptr) return AnswerFromRow(submission, *row);
    const Row* head = FindRow(conflict->current, kManifestHeadKey);
    if (head == nullptr) return Undetermined{"the platform's conflict lacks the head row"};
    current_head.head = DecodeHead(head->value);
    if (!current_head.head) return Undetermined{"the platform's head row can't be decoded"};
    current_head.head_version = head->version;
  }
  const uint64_t accepted = current_head.head ? current_head.head->accepted.revision : 0;
  if (accepted < revision_in_force) {
    return Undetermined{"the platform holds revision " + std::to_string(accepted) +
                        ", behind revision " + std::to_string(revision_in_force) +
                        " in force here"};
  }
  if (accepted > submission.base_revision) return ConflictWith(*current_head.head);
  if (accepted < submission.base_revision) {
    return Refused{{SubmissionIssue("base_revision", std::to_string(submission.base_revision),
                                    "at most the accepted revision, " + std::to_string(accepted))}};
  }
  if (submission.roll_back_to.value_or(0) > accepted) {
    return Refused{{SubmissionIssue("roll_back_to", std::to_string(*submission.roll_back_to),
                                    "an accepted revision, at most " + std::to_string(accepted))}};
  }
  return current_head;
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
  const ManifestHead base_head = input.current_head.head.value_or(ManifestHead());
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
  if (change_bytes <= kMaxInlineChangeBytes) entry.change = change;
  if (NeedsSnapshot(base_head, entry.head.accepted.revision, change_bytes)) {
    entry.head.snapshot = entry.head.accepted;
    prepared.snapshot = true;
  }
  std::string entry_bytes = EncodeHistoryEntry(entry);
  prepared.writes = {
      {kManifestHeadKey, input.current_head.head_version, EncodeHead(entry.head)},
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
  if (row != nullptr) return AnswerFromRow(submission, *row);
  const Row* head_row = FindRow(current, kManifestHeadKey);
  const std::optional<ManifestHead> head =
      head_row != nullptr ? DecodeHead(head_row->value) : std::nullopt;
  if (!head) return Undetermined{"the platform's head row can't be decoded"};
  return ConflictWith(*head);
}

}  // namespace cowsliphill
