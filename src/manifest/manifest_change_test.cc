#include "src/manifest/manifest_change.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "src/manifest/manifest_codec.h"
#include "src/manifest/manifest_samples.h"

namespace cowsliphill {
namespace {

constexpr size_t kServices = 4;
constexpr size_t kServers = 24;
constexpr uint64_t kSeed = 6;

class ManifestChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ManifestChangeTest);
  CPPUNIT_TEST(Change_AppliedToBase_YieldsNextManifest);
  CPPUNIT_TEST(Change_ToOneServer_IsSmall);
  CPPUNIT_TEST(Change_EncodedAndDecoded_IsUnchanged);
  CPPUNIT_TEST(Manifest_FromCorruptBytes_IsRejectedOrHasAnotherDigest);
  CPPUNIT_TEST(Digest_RevisionsWithEqualContent_IsEqual);
  CPPUNIT_TEST(DescribeDifference_ChangedKey_ShowsKeyAndValues);
  CPPUNIT_TEST(CheckChange_RemovedServiceWithActiveServers_IsRejected);
  CPPUNIT_TEST(CheckAuthority_ListedTeam_MayChangeOnlyItsServices);
  CPPUNIT_TEST(CheckAuthority_TokenWithServices_MayChangeOnlyThese);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { base_ = SampleManifest(kServices, kServers); }

  void Change_AppliedToBase_YieldsNextManifest() {
    std::mt19937_64 random(kSeed);
    for (int i = 0; i < 200; ++i) {
      const Manifest next = Mutated(base_, random);
      const Manifest applied = Apply(base_, Difference(base_, next));
      CPPUNIT_ASSERT_EQUAL(DigestOf(next), DigestOf(applied));
      base_ = next;
    }
  }

  void Change_ToOneServer_IsSmall() {
    Manifest next = base_;
    next.backend_servers[3].state = BackendState::kLeaving;
    const ManifestChange change = Difference(base_, next);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, change.backend_servers.set.size());
    CPPUNIT_ASSERT(EncodeChange(change).size() < 200);
  }

  void Change_EncodedAndDecoded_IsUnchanged() {
    std::mt19937_64 random(kSeed);
    const ManifestChange change = Difference(base_, Mutated(base_, random));
    CPPUNIT_ASSERT(DecodeChange(EncodeChange(change)) == change);
    const auto manifest = DecodeManifest(EncodeManifest(base_));
    CPPUNIT_ASSERT(manifest);
    CPPUNIT_ASSERT_EQUAL(DigestOf(base_), DigestOf(*manifest));
  }

  void Manifest_FromCorruptBytes_IsRejectedOrHasAnotherDigest() {
    const std::string bytes = EncodeManifest(base_);
    CPPUNIT_ASSERT(!DecodeManifest(""));
    CPPUNIT_ASSERT(!DecodeManifest(bytes.substr(0, bytes.size() / 2)));
    CPPUNIT_ASSERT(!DecodeRevisionStatus(std::string(1 << 20, '\x91')));
    std::mt19937_64 random(kSeed);
    for (int i = 0; i < 500; ++i) {
      std::string bad = bytes;
      bad[random() % bad.size()] = static_cast<char>(random());
      const auto manifest = DecodeManifest(bad);
      CPPUNIT_ASSERT(!manifest || bad == bytes || DigestOfBytes(bad) != DigestOf(base_));
    }
  }

  void Digest_RevisionsWithEqualContent_IsEqual() {
    Manifest later = base_;
    later.revision = 9;
    CPPUNIT_ASSERT_EQUAL(DigestOf(base_), DigestOf(later));
    later.entry.max_requests = 7;
    CPPUNIT_ASSERT(DigestOf(base_) != DigestOf(later));
  }

  void DescribeDifference_ChangedKey_ShowsKeyAndValues() {
    Manifest next = base_;
    next.services[1].queue_limit = 32;
    next.backend_servers.pop_back();
    const auto lines = DescribeDifference(base_, next);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, lines.size());
    CPPUNIT_ASSERT_EQUAL(std::string("~ service service000001 queue_limit: 64 -> 32"),
                         lines[0].ToString());
    CPPUNIT_ASSERT_EQUAL(std::string("- backend_server server000023"), lines[1].ToString());
  }

  void CheckChange_RemovedServiceWithActiveServers_IsRejected() {
    Manifest next = base_;
    next.services.erase(next.services.begin());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CheckChange(base_, Difference(base_, next)).size());
    for (BackendServer& server : base_.backend_servers) server.state = BackendState::kLeaving;
    CPPUNIT_ASSERT(CheckChange(base_, Difference(base_, next)).empty());
  }

  void CheckAuthority_ListedTeam_MayChangeOnlyItsServices() {
    const Author author{TeamId("team000001"), {}};
    Manifest next = base_;
    next.backend_servers[1].slots = 9;
    CPPUNIT_ASSERT(CheckAuthority(base_, Difference(base_, next), author).empty());
    next.backend_servers[2].service = ServiceId("service000001");  // Moves another team's server.
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CheckAuthority(base_, Difference(base_, next), author).size());
    next = base_;
    next.entry.max_requests = 9;
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CheckAuthority(base_, Difference(base_, next), author).size());
    next = base_;
    next.services[2].owner = author.team;  // Claims another team's service.
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CheckAuthority(base_, Difference(base_, next), author).size());
  }

  void CheckAuthority_TokenWithServices_MayChangeOnlyThese() {
    const Author author{TeamId("operators"), {ServiceId("service000000")}};
    Manifest next = base_;
    next.services[0].queue_limit = 9;
    CPPUNIT_ASSERT(CheckAuthority(base_, Difference(base_, next), author).empty());
    next.services[1].queue_limit = 9;
    CPPUNIT_ASSERT_EQUAL(size_t{1}, CheckAuthority(base_, Difference(base_, next), author).size());
    CPPUNIT_ASSERT(
        CheckAuthority(base_, Difference(base_, next), {TeamId("operators"), {}}).empty());
  }

 private:
  static Manifest Mutated(Manifest manifest, std::mt19937_64& random) {
    std::vector<BackendServer>& servers = manifest.backend_servers;
    for (int i = 0; i < 3; ++i) {
      const size_t at = random() % servers.size();
      BackendServer added = servers[at];
      added.id = BackendServerId("server" + std::to_string(random() % 1000000));
      servers[random() % servers.size()].slots = static_cast<uint32_t>(1 + random() % 9);
      servers.erase(servers.begin() + static_cast<std::ptrdiff_t>(at));
      const auto position = std::lower_bound(
          servers.begin(), servers.end(), added,
          [](const BackendServer& a, const BackendServer& b) { return a.id < b.id; });
      if (position == servers.end() || !(position->id == added.id)) servers.insert(position, added);
    }
    manifest.services[random() % manifest.services.size()].retry_budget =
        static_cast<double>(random() % 10) / 10;
    if (random() % 5 == 0) manifest.entry.max_requests = static_cast<uint32_t>(random() % 5000);
    return manifest;
  }

  Manifest base_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManifestChangeTest);

}  // namespace
}  // namespace cowsliphill
