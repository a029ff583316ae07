#include "src/forward/caller_key.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cowsliphill {
namespace {

class CallerKeyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerKeyTest);
  CPPUNIT_TEST(Digest_OfAKey_IsTheHeadOfItsSha256);
  CPPUNIT_TEST(Find_AmongManyKeys_ReturnsTheOwnerOfEach);
  CPPUNIT_TEST(Find_DigestThatDiffersInOneBit_ReturnsNone);
  CPPUNIT_TEST(Find_KeyOfTwoWorkspaces_ReturnsNone);
  CPPUNIT_TEST(SetManifest_WithoutOneKey_ForgetsIt);
  CPPUNIT_TEST(Check_OfEachKindOfKey_RefusesUnlessTheRouteIsKeyless);
  CPPUNIT_TEST(Rank_OfHighPriorities_IsCapped);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Entry VMs of different builds exchange digests.
  void Digest_OfAKey_IsTheHeadOfItsSha256() {
    const KeyDigest abc = {0xba, 0x78, 0x16, 0xbf, 0x8f, 0x01, 0xcf, 0xea,
                           0x41, 0x41, 0x40, 0xde, 0x5d, 0xae, 0x22, 0x23};
    for (int i = 0; i < 2; ++i) CPPUNIT_ASSERT(DigestOfKey("abc") == abc);
  }

  void Find_AmongManyKeys_ReturnsTheOwnerOfEach() {
    CPPUNIT_ASSERT(!keys_.KeysRequired());
    CPPUNIT_ASSERT(keys_.Find(DigestOfKey("3-0")) == nullptr);
    keys_.SetManifest(MakeManifest());
    CPPUNIT_ASSERT(keys_.KeysRequired());
    for (int i = 0; i < kWorkspaces; ++i) {
      for (const char* n : {"-0", "-1"}) {
        const Workspace* found = keys_.Find(DigestOfKey(std::to_string(i) + n));
        CPPUNIT_ASSERT(found != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::to_string(i), found->id.Text());
      }
    }
  }

  // Guards against a comparison that skips a part of the digest.
  void Find_DigestThatDiffersInOneBit_ReturnsNone() {
    keys_.SetManifest(MakeManifest());
    for (size_t bit = 0; bit < 128; ++bit) {
      KeyDigest digest = DigestOfKey("5-1");
      digest[bit / 8] ^= static_cast<uint8_t>(1U << (bit % 8));
      CPPUNIT_ASSERT(keys_.Find(digest) == nullptr);
    }
  }

  // Guards against callers of one workspace that are taken for callers of another.
  void Find_KeyOfTwoWorkspaces_ReturnsNone() {
    auto manifest = MakeManifest();
    manifest->workspaces[2].keys.push_back(DigestOfKey("5-0"));
    manifest->workspaces[3].keys.push_back(DigestOfKey("3-1"));  // Twice in one workspace.
    keys_.SetManifest(manifest);
    CPPUNIT_ASSERT(keys_.Find(DigestOfKey("5-0")) == nullptr);
    CPPUNIT_ASSERT(keys_.Find(DigestOfKey("3-1")) == &manifest->workspaces[3]);
  }

  // Guards against keys that go on working after they were withdrawn.
  void SetManifest_WithoutOneKey_ForgetsIt() {
    auto manifest = MakeManifest();
    keys_.SetManifest(manifest);
    const uint64_t before = keys_.Generation();
    manifest = MakeManifest();
    manifest->workspaces[1].keys.pop_back();
    keys_.SetManifest(manifest);
    CPPUNIT_ASSERT(keys_.Generation() != before);
    CPPUNIT_ASSERT(keys_.Find(DigestOfKey("1-1")) == nullptr);
    CPPUNIT_ASSERT(keys_.Find(DigestOfKey("1-0")) != nullptr);
  }

  void Check_OfEachKindOfKey_RefusesUnlessTheRouteIsKeyless() {
    keys_.SetManifest(MakeManifest());
    const CallerKey good{DigestOfKey("1-0"), {}, {}};
    const CallerKey unknown{DigestOfKey("other"), {}, {}};
    const CallerKey malformed{{}, KeyFault::kMalformed, {}};
    CPPUNIT_ASSERT(CheckKey(unknown, false, keys_).fault == KeyFault::kUnknown);
    CPPUNIT_ASSERT(CheckKey(malformed, false, keys_).fault == KeyFault::kMalformed);
    CPPUNIT_ASSERT(CheckKey({}, false, keys_).fault == KeyFault::kMissing);
    for (const CallerKey& key : {unknown, malformed, CallerKey()}) {
      const KeyCheck check = CheckKey(key, true, keys_);
      CPPUNIT_ASSERT(!check.fault && check.workspace == nullptr);
    }
    for (const bool keyless : {false, true}) {
      const KeyCheck check = CheckKey(good, keyless, keys_);
      CPPUNIT_ASSERT(!check.fault && check.workspace != nullptr);
      CPPUNIT_ASSERT_EQUAL(std::string("1"), check.workspace->id.Text());
    }
  }

  // Messages between entry VMs have one byte for the rank.
  void Rank_OfHighPriorities_IsCapped() {
    CPPUNIT_ASSERT_EQUAL(uint32_t{0}, RankWithWorkspace(0, 0));
    CPPUNIT_ASSERT_EQUAL(uint32_t{2 * 16 + 3}, RankWithWorkspace(2, 3));
    CPPUNIT_ASSERT_EQUAL(uint32_t{2 * 16 + 15}, RankWithWorkspace(2, 4000000000));
    CPPUNIT_ASSERT_EQUAL(uint32_t{255}, RankWithWorkspace(16, 16));
  }

 private:
  static constexpr int kWorkspaces = 9;

  static std::shared_ptr<Manifest> MakeManifest() {
    auto manifest = std::make_shared<Manifest>();
    manifest->keys_required = true;
    for (int i = 0; i < kWorkspaces; ++i) {
      Workspace workspace;
      workspace.id = TenantId(std::to_string(i));
      for (const char* n : {"-0", "-1"}) {
        workspace.keys.push_back(DigestOfKey(workspace.id.Text() + n));
      }
      manifest->workspaces.push_back(workspace);
    }
    return manifest;
  }

  KeyIndex keys_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerKeyTest);

}  // namespace
}  // namespace cowsliphill
