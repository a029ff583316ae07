#include "src/manifest/manifest_keeper.h"

#include <cppunit/extensions/HelperMacros.h>

#include "src/manifest/faulty_platform.h"
#include "src/manifest/manifest_samples.h"

namespace cowsliphill {
namespace {

using std::chrono::seconds;

constexpr uint64_t kRevisions = 2 * kRevisionsPerSnapshot + 3;

// Holds the manifest in force, which only the local keeper updates.
struct InForceStub {
  ManifestPtr current;
  ManifestPtr Current() const { return current; }
  void Adopt(LoadedManifest loaded) { current = loaded.manifest; }
};

// Keeper of one entry VM on the shared store.
struct KeeperNode {
  KeeperNode(VirtualLoop& loop, MemoryPlatformState& store)
      : platform(loop, store),
        keeper(platform, platform, loop.Post(), loop.Post(), loop.Time(), in_force) {}
  FaultyPlatform platform;
  InForceStub in_force;
  ManifestKeeper<FaultyPlatform, FaultyPlatform, InForceStub> keeper;
};

class ManifestKeeperTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ManifestKeeperTest);
  CPPUNIT_TEST(Submission_OfAFirstManifest_IsAccepted);
  CPPUNIT_TEST(Submissions_OnOneBase_OneIsAcceptedAndTheOtherGetsItsAuthor);
  CPPUNIT_TEST(Submission_Repeated_NamesTheSameRevision);
  CPPUNIT_TEST(Submission_WithAReusedId_IsRefused);
  CPPUNIT_TEST(Submission_WithoutAChange_WritesNothing);
  CPPUNIT_TEST(Submission_AsDryRun_WritesNothingAndShowsTheDifference);
  CPPUNIT_TEST(Submission_OutsideTheTeam_IsRefused);
  CPPUNIT_TEST(Submission_WithPlatformBehindTheRevisionInForce_IsUndetermined);
  CPPUNIT_TEST(RollBack_ToAnEarlierRevision_IsANewRevision);
  CPPUNIT_TEST(Manifest_OfManyRevisions_IsReadFromSnapshotAndChanges);
  CPPUNIT_TEST(History_OfRevisions_NamesAuthorNoteAndTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    store_ = MemoryPlatformState();
    loop_ = std::make_unique<VirtualLoop>();
    first_ = std::make_unique<KeeperNode>(*loop_, store_);
    second_ = std::make_unique<KeeperNode>(*loop_, store_);
    manifest_ = SampleManifest(2, 6);
  }

  void Submission_OfAFirstManifest_IsAccepted() {
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, AcceptedRevision(Submit(*first_, "a", 0)));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, first_->in_force.current->revision);
  }

  void Submissions_OnOneBase_OneIsAcceptedAndTheOtherGetsItsAuthor() {
    Submit(*first_, "a", 0);
    std::optional<SubmissionAnswer> first_answer;
    std::optional<SubmissionAnswer> second_answer;
    manifest_.entry.max_requests = 100;
    Start(*first_, MakeSubmission("b", 1, "north"), first_answer);
    manifest_.entry.max_requests = 200;
    Start(*second_, MakeSubmission("c", 1, "south"), second_answer);
    loop_->RunFor(seconds(5));
    const bool first_accepted = std::holds_alternative<Accepted>(*first_answer);
    const auto& conflict = std::get<BaseConflict>(first_accepted ? *second_answer : *first_answer);
    CPPUNIT_ASSERT(first_accepted != std::holds_alternative<Accepted>(*second_answer));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, conflict.revision);
    CPPUNIT_ASSERT_EQUAL(std::string(first_accepted ? "north" : "south"), conflict.author.Text());
    CPPUNIT_ASSERT(conflict.time.time_since_epoch().count() > 0);
  }

  void Submission_Repeated_NamesTheSameRevision() {
    Submit(*first_, "a", 0);
    const Submission again = MakeSubmission("a", 0, "ops");
    manifest_.entry.max_requests = 100;
    Submit(*first_, "b", 1);
    const auto accepted = std::get<Accepted>(Run(*second_, again));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, accepted.accepted.revision);
    CPPUNIT_ASSERT(accepted.already_accepted);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, Revisions().size());
  }

  void Submission_WithAReusedId_IsRefused() {
    Submit(*first_, "a", 0);
    manifest_.entry.max_requests = 100;
    CPPUNIT_ASSERT(std::holds_alternative<Refused>(Submit(*second_, "a", 0)));
  }

  void Submission_WithoutAChange_WritesNothing() {
    Submit(*first_, "a", 0);
    CPPUNIT_ASSERT(std::holds_alternative<Unchanged>(Submit(*second_, "b", 1)));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Revisions().size());
  }

  void Submission_AsDryRun_WritesNothingAndShowsTheDifference() {
    Submit(*first_, "a", 0);
    manifest_.entry.max_requests = 100;
    Submission submission = MakeSubmission("b", 1, "ops");
    submission.dry_run = true;
    const auto would = std::get<WouldBeAccepted>(Run(*second_, submission));
    CPPUNIT_ASSERT_EQUAL(std::string("~ entry max_requests: 4096 -> 100"),
                         would.difference.front().ToString());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Revisions().size());
  }

  void Submission_OutsideTheTeam_IsRefused() {
    Submit(*first_, "a", 0);
    manifest_.services[0].queue_limit = 9;
    const SubmissionAnswer answer = Run(*second_, MakeSubmission("b", 1, "team000001"));
    CPPUNIT_ASSERT_EQUAL(std::string("service service000000"),
                         std::get<Refused>(answer).issues.front().key);
  }

  void Submission_WithPlatformBehindTheRevisionInForce_IsUndetermined() {
    Submit(*first_, "a", 0);
    const MemoryPlatformState restored = store_;
    manifest_.entry.max_requests = 100;
    Submit(*first_, "b", 1);
    store_ = restored;
    manifest_.entry.max_requests = 200;
    CPPUNIT_ASSERT(std::holds_alternative<Undetermined>(Submit(*first_, "c", 1)));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Revisions().size());
  }

  void RollBack_ToAnEarlierRevision_IsANewRevision() {
    Submit(*first_, "a", 0);
    const std::string digest = DigestOf(manifest_);
    manifest_.entry.max_requests = 100;
    Submit(*first_, "b", 1);
    Submission submission = MakeSubmission("c", 2, "ops");
    submission.roll_back_to = 1;
    const auto accepted = std::get<Accepted>(Run(*second_, submission));
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, accepted.accepted.revision);
    CPPUNIT_ASSERT_EQUAL(digest, accepted.accepted.digest);
    submission.id = "d";
    submission.base_revision = 3;
    submission.roll_back_to = 9;
    CPPUNIT_ASSERT(std::holds_alternative<Refused>(Run(*second_, submission)));
  }

  void Manifest_OfManyRevisions_IsReadFromSnapshotAndChanges() {
    std::vector<std::string> digests;
    for (uint64_t i = 0; i < kRevisions; ++i) {
      manifest_.entry.max_requests = static_cast<uint32_t>(1000 + i);
      Submit(*first_, "s" + std::to_string(i), i);
      digests.push_back(DigestOf(manifest_));
    }
    for (const uint64_t revision :
         {uint64_t{1}, kRevisionsPerSnapshot, kRevisionsPerSnapshot + 1, kRevisions}) {
      std::optional<RevisionResult> result;
      second_->keeper.At(revision, [&](RevisionResult it) { result = it; });
      loop_->RunFor(seconds(1));
      CPPUNIT_ASSERT(result && Ok(*result));
      CPPUNIT_ASSERT_EQUAL(digests[revision - 1], DigestOf(*ValueOf(*result)));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, store_.ListObjects("manifest/", "", 100).size());
  }

  void History_OfRevisions_NamesAuthorNoteAndTime() {
    Submit(*first_, "a", 0);
    const std::vector<HistoryEntry> entries = Revisions();
    CPPUNIT_ASSERT_EQUAL(std::string("ops"), entries.front().head.author.Text());
    CPPUNIT_ASSERT_EQUAL(std::string("note of a"), entries.front().note);
    CPPUNIT_ASSERT(entries.front().head.time.time_since_epoch().count() > 0);
  }

 private:
  Submission MakeSubmission(const std::string& id, uint64_t base, const std::string& team) {
    Submission submission;
    submission.id = id;
    submission.base_revision = base;
    submission.text = FormatManifest(manifest_);
    submission.author.team = TeamId(team);
    submission.note = "note of " + id;
    return submission;
  }

  static void Start(KeeperNode& node, const Submission& submission,
                    std::optional<SubmissionAnswer>& answer) {
    node.keeper.Submit(submission, [&answer](SubmissionAnswer it) {
      CPPUNIT_ASSERT_MESSAGE("the submission was answered twice", !answer);
      answer = std::move(it);
    });
  }

  SubmissionAnswer Run(KeeperNode& node, const Submission& submission) {
    std::optional<SubmissionAnswer> answer;
    Start(node, submission, answer);
    loop_->RunFor(seconds(5));
    CPPUNIT_ASSERT_MESSAGE("the submission was not answered", answer.has_value());
    return *answer;
  }

  SubmissionAnswer Submit(KeeperNode& node, const std::string& id, uint64_t base) {
    return Run(node, MakeSubmission(id, base, "ops"));
  }

  static uint64_t AcceptedRevision(const SubmissionAnswer& answer) {
    return std::get<Accepted>(answer).accepted.revision;
  }

  std::vector<HistoryEntry> Revisions() {
    std::optional<HistoryResult> result;
    second_->keeper.History(0, 1000, [&](HistoryResult it) { result = it; });
    loop_->RunFor(seconds(1));
    return ValueOf(*result);
  }

  MemoryPlatformState store_;
  std::unique_ptr<VirtualLoop> loop_;
  std::unique_ptr<KeeperNode> first_;
  std::unique_ptr<KeeperNode> second_;
  Manifest manifest_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManifestKeeperTest);

}  // namespace
}  // namespace cowsliphill
