#include "src/datagram/catalog_message.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "src/manifest/manifest_codec.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

class CatalogMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CatalogMessageTest);
  CPPUNIT_TEST(Update_EncodedAndDecoded_IsUnchanged);
  CPPUNIT_TEST(Update_WithManyRoutes_ShrinksToAQuarter);
  CPPUNIT_TEST(Decode_WrongUncompressedSize_IsRejected);
  CPPUNIT_TEST(Request_EncodedAndDecoded_IsUnchanged);
  CPPUNIT_TEST(Update_WithoutEvacuations_LeavesThemUnknown);
  CPPUNIT_TEST(Pending_EncodedAndDecoded_IsRecognized);
  CPPUNIT_TEST(Decode_DamagedBytes_NeverThrows);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Update_EncodedAndDecoded_IsUnchanged() {
    CatalogUpdate update;
    update.sender = EntryVmId("me");
    update.manifest_version = 5;
    update.revision = 3;
    update.servers_base_version = 7;
    update.servers_version = 9;
    update.reaches_store = true;
    update.servers_age = milliseconds(40);
    update.is_snapshot = true;
    update.manifest_too_large = true;
    update.evacuated = EvacuatedDomains{FailureDomainId("d-1"), FailureDomainId("d-2")};
    update.manifest = std::string("\0\xff bytes", 8);
    BackendServer server;
    server.id = BackendServerId("a");
    server.service = ServiceId("s");
    server.endpoint = {"10.0.0.1", 80};
    server.state = BackendState::kLeaving;
    server.started = 77;
    update.changed.push_back(server);
    update.removed.emplace_back("b");
    const auto message = DecodeCatalogMessage(EncodeCatalogMessage(update));
    const auto& decoded = std::get<CatalogUpdate>(message.value());
    CPPUNIT_ASSERT_EQUAL(std::string("me"), decoded.sender.Text());
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, decoded.revision);
    CPPUNIT_ASSERT_EQUAL(uint64_t{9}, decoded.servers_version);
    CPPUNIT_ASSERT(decoded.changed == update.changed);
    CPPUNIT_ASSERT(decoded.removed == update.removed);
    CPPUNIT_ASSERT(decoded.reaches_store && decoded.is_snapshot && decoded.manifest_too_large);
    CPPUNIT_ASSERT(decoded.servers_age == milliseconds(40));
    CPPUNIT_ASSERT_EQUAL(update.manifest, decoded.manifest);
    CPPUNIT_ASSERT(decoded.evacuated == update.evacuated);
  }

  // Builds without evacuations send a shorter array.
  void Update_WithoutEvacuations_LeavesThemUnknown() {
    const std::string bytes = EncodeCatalogMessage(CatalogUpdate());
    CPPUNIT_ASSERT_EQUAL(0xc0, int{static_cast<unsigned char>(bytes.back())});  // Null.
    // An array of 16 items has its size in two bytes, one of 15 has it in the first byte.
    const std::string earlier = "\x9f" + bytes.substr(3, bytes.size() - 4);
    for (const std::string& it : {bytes, earlier}) {
      const auto message = DecodeCatalogMessage(it);
      CPPUNIT_ASSERT(message && !std::get<CatalogUpdate>(*message).evacuated);
    }
  }

  void Request_EncodedAndDecoded_IsUnchanged() {
    const auto message =
        DecodeCatalogMessage(EncodeCatalogMessage(CatalogRequest{{"10.0.0.7", 81}, 5, 6, 7, 2}));
    const auto& decoded = std::get<CatalogRequest>(message.value());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.7:81"), decoded.reply_to.ToString());
    CPPUNIT_ASSERT_EQUAL(uint64_t{5}, decoded.revision);
    CPPUNIT_ASSERT_EQUAL(uint64_t{6}, decoded.manifest_version);
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, decoded.servers_version);
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, decoded.forwards);
  }

  void Pending_EncodedAndDecoded_IsRecognized() {
    const auto message = DecodeCatalogMessage(EncodeCatalogMessage(CatalogRequestPending{}));
    CPPUNIT_ASSERT(message && std::holds_alternative<CatalogRequestPending>(*message));
  }

  // Regression: a manifest that had grown by 410 routes saturated slow links when it was sent in
  // full to each of 18 peers.
  void Update_WithManyRoutes_ShrinksToAQuarter() {
    CatalogUpdate update;
    Manifest manifest;
    for (int i = 0; i < 400; ++i) {
      Route route;
      route.id = RouteId("route-" + std::to_string(i * 7919));
      route.host = "host" + std::to_string(i % 5) + ".example";
      route.prefix = "/prefix" + std::to_string(i * 104729) + "/";
      route.services = {{ServiceId("service-a"), 1}};
      manifest.routes.push_back(route);
    }
    update.manifest = EncodeManifest(manifest);
    const std::string bytes = EncodeCatalogMessage(update);
    CPPUNIT_ASSERT(bytes.size() * 4 < update.manifest.size());
    const auto message = DecodeCatalogMessage(bytes);
    CPPUNIT_ASSERT_EQUAL(update.manifest, std::get<CatalogUpdate>(message.value()).manifest);
  }

  void Decode_WrongUncompressedSize_IsRejected() {
    CPPUNIT_ASSERT(!DecodeCatalogMessage(std::string("z\xff\xff\xff\xff some", 10)).has_value());
    CPPUNIT_ASSERT(!DecodeCatalogMessage(std::string("z\x08\0\0\0 some", 10)).has_value());
    CPPUNIT_ASSERT(!DecodeCatalogMessage("z").has_value());
  }

  void Decode_DamagedBytes_NeverThrows() {
    std::mt19937_64 random(1);
    CatalogUpdate update;
    update.changed.resize(3);
    const std::string encoded = EncodeCatalogMessage(update);
    for (int i = 0; i < 20000; ++i) {
      std::string bytes = encoded.substr(0, random() % (encoded.size() + 1));
      for (int n = 0; n < 3 && !bytes.empty(); ++n) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
      DecodeCatalogMessage(bytes);
    }
    CPPUNIT_ASSERT(!DecodeCatalogMessage(""));
    CPPUNIT_ASSERT(!DecodeCatalogMessage("hello"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatalogMessageTest);

}  // namespace
}  // namespace cowsliphill
