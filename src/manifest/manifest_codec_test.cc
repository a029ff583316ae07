#include "src/manifest/manifest_codec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

class ManifestCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ManifestCodecTest);
  CPPUNIT_TEST(Manifest_WithRoutes_IsDecodedUnchanged);
  CPPUNIT_TEST(Manifest_WithEntryRules_IsDecodedUnchanged);
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

  // Members with default values are left out, so a new key doesn't change the digests of existing
  // manifests.
  void Manifest_WithDefaultValues_IsEncodedWithoutThem() {
    CPPUNIT_ASSERT_EQUAL(DigestOf(Manifest()), DigestOfBytes(EncodeManifest(Manifest())));
    CPPUNIT_ASSERT_EQUAL(std::string("\x81\xa1v\x01"), EncodeManifest(Manifest()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManifestCodecTest);

}  // namespace
}  // namespace cowsliphill
