#include "src/manifest/manifest_codec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

class ManifestCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ManifestCodecTest);
  CPPUNIT_TEST(Manifest_WithRoutes_IsDecodedUnchanged);
  CPPUNIT_TEST(Manifest_WithEntryRules_IsDecodedUnchanged);
  CPPUNIT_TEST(Manifest_WithWorkspaces_IsDecodedUnchanged);
  CPPUNIT_TEST(Manifest_WithKeyDigestOfAnotherSize_IsRejected);
  CPPUNIT_TEST(Manifest_WithDefaultValues_IsEncodedWithoutThem);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Manifest_WithRoutes_IsDecodedUnchanged() {
    Manifest manifest;
    Route route;
    route.id = RouteId("lookup");
    route.host = "permits.example";
    route.prefix = "/status/";
    route.idempotent = true;
    route.bulk = true;
    route.rank = 2;
    route.max_attempts = 3;
    route.timeout = milliseconds(900);
    route.target_latency = milliseconds(250);
    route.services = {{ServiceId("register"), 7}, {ServiceId("desk"), 3}};
    manifest.routes.push_back(route);
    const auto back = DecodeManifest(EncodeManifest(manifest));
    CPPUNIT_ASSERT(back.has_value());
    CPPUNIT_ASSERT(back->routes == manifest.routes);
  }

  void Manifest_WithEntryRules_IsDecodedUnchanged() {
    Manifest manifest;
    manifest.entry.max_body_bytes = 4096;
    manifest.entry.lookup_lifetime = milliseconds(1500);
    const auto back = DecodeManifest(EncodeManifest(manifest));
    CPPUNIT_ASSERT(back.has_value());
    CPPUNIT_ASSERT(back->entry == manifest.entry);
  }

  void Manifest_WithWorkspaces_IsDecodedUnchanged() {
    const Manifest manifest = ManifestWithWorkspaces();
    const auto back = DecodeManifest(EncodeManifest(manifest));
    CPPUNIT_ASSERT(back.has_value());
    CPPUNIT_ASSERT(back->keys_required);
    CPPUNIT_ASSERT(back->workspaces == manifest.workspaces);
    CPPUNIT_ASSERT(back->services == manifest.services);
    CPPUNIT_ASSERT(back->routes == manifest.routes);
  }

  void Manifest_WithKeyDigestOfAnotherSize_IsRejected() {
    std::string bytes = EncodeManifest(ManifestWithWorkspaces());
    const std::string digest(16, 'k');
    const size_t at = bytes.find(digest);
    CPPUNIT_ASSERT(at != std::string::npos);
    bytes[at - 1] = 15;  // The length of the digest, which leaves its last byte over.
    bytes.erase(at, 1);
    CPPUNIT_ASSERT(!DecodeManifest(bytes).has_value());
  }

  // Members with default values are left out, so a new key doesn't change the digests of existing
  // manifests.
  void Manifest_WithDefaultValues_IsEncodedWithoutThem() {
    CPPUNIT_ASSERT_EQUAL(DigestOf(Manifest()), DigestOfBytes(EncodeManifest(Manifest())));
    CPPUNIT_ASSERT_EQUAL(std::string("\x81\xa1v\x01"), EncodeManifest(Manifest()));
  }

 private:
  static Manifest ManifestWithWorkspaces() {
    Manifest manifest;
    manifest.keys_required = true;
    Workspace workspace;
    workspace.id = TenantId("north");
    workspace.keys.emplace_back();
    workspace.keys.back().fill('k');
    workspace.priority = 1;
    workspace.rate = 12.5;
    workspace.burst = 30;
    manifest.workspaces.push_back(workspace);
    Service service;
    service.id = ServiceId("feeds");
    service.warmup = milliseconds(3000);
    service.warmup_rate = 7.3;
    manifest.services.push_back(service);
    Route route;
    route.id = RouteId("public");
    route.keyless = true;
    manifest.routes.push_back(route);
    return manifest;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManifestCodecTest);

}  // namespace
}  // namespace cowsliphill
