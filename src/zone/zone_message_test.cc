#include "src/zone/zone_message.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "src/manifest/manifest_codec.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

class ZoneMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneMessageTest);
  CPPUNIT_TEST(News_Encoded_ComeBackTheSame);
  CPPUNIT_TEST(News_WithManyRoutes_FitsIntoADatagram);
  CPPUNIT_TEST(Decode_OfAnAbsurdSize_IsRefused);
  CPPUNIT_TEST(Question_Encoded_ComesBackTheSame);
  CPPUNIT_TEST(Decode_DamagedBytes_NeverThrows);
  CPPUNIT_TEST_SUITE_END();

 public:
  void News_Encoded_ComeBackTheSame() {
    CatalogNews news;
    news.sender = EntryVmId("me");
    news.manifest_version = 5;
    news.revision = 3;
    news.from = 7;
    news.servers_version = 9;
    news.reaches_store = true;
    news.servers_age = milliseconds(40);
    news.whole = true;
    news.manifest_too_large = true;
    news.manifest = std::string("\0\xff bytes", 8);
    BackendServer server;
    server.id = BackendServerId("a");
    server.service = ServiceId("s");
    server.endpoint = {"10.0.0.1", 80};
    server.state = BackendState::kLeaving;
    server.started = 77;
    news.changed.push_back(server);
    news.gone.emplace_back("b");
    const auto message = DecodeZoneMessage(EncodeZoneMessage(news));
    const auto& back = std::get<CatalogNews>(message.value());
    CPPUNIT_ASSERT_EQUAL(std::string("me"), back.sender.Text());
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, back.revision);
    CPPUNIT_ASSERT_EQUAL(uint64_t{9}, back.servers_version);
    CPPUNIT_ASSERT(back.changed == news.changed);
    CPPUNIT_ASSERT(back.gone == news.gone);
    CPPUNIT_ASSERT(back.reaches_store && !back.relay && back.whole && back.manifest_too_large);
    CPPUNIT_ASSERT(back.servers_age == milliseconds(40));
    CPPUNIT_ASSERT_EQUAL(news.manifest, back.manifest);
  }

  void Question_Encoded_ComesBackTheSame() {
    const auto message =
        DecodeZoneMessage(EncodeZoneMessage(CatalogQuestion{{"10.0.0.7", 81}, 5, 6, 7}));
    const auto& back = std::get<CatalogQuestion>(message.value());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.7:81"), back.reply_to.ToString());
    CPPUNIT_ASSERT_EQUAL(uint64_t{5}, back.revision);
    CPPUNIT_ASSERT_EQUAL(uint64_t{6}, back.manifest_version);
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, back.servers_version);
  }

  // Found by a measured day: 410 routes more, sent whole to each of 18 peers, filled small links.
  void News_WithManyRoutes_FitsIntoADatagram() {
    CatalogNews news;
    Manifest manifest;
    for (int i = 0; i < 400; ++i) {
      Route route;
      route.id = RouteId("route-" + std::to_string(i * 7919));
      route.host = "host" + std::to_string(i % 5) + ".example";
      route.prefix = "/prefix" + std::to_string(i * 104729) + "/";
      route.services = {{ServiceId("service-a"), 1}};
      manifest.routes.push_back(route);
    }
    news.manifest = EncodeManifest(manifest);
    const std::string bytes = EncodeZoneMessage(news);
    CPPUNIT_ASSERT(bytes.size() * 4 < news.manifest.size());
    const auto message = DecodeZoneMessage(bytes);
    CPPUNIT_ASSERT_EQUAL(news.manifest, std::get<CatalogNews>(message.value()).manifest);
  }

  void Decode_OfAnAbsurdSize_IsRefused() {
    CPPUNIT_ASSERT(!DecodeZoneMessage(std::string("z\xff\xff\xff\xff some", 10)).has_value());
    CPPUNIT_ASSERT(!DecodeZoneMessage(std::string("z\x08\0\0\0 some", 10)).has_value());
    CPPUNIT_ASSERT(!DecodeZoneMessage("z").has_value());
  }

  void Decode_DamagedBytes_NeverThrows() {
    std::mt19937_64 random(1);
    CatalogNews news;
    news.changed.resize(3);
    const std::string whole = EncodeZoneMessage(news);
    for (int i = 0; i < 20000; ++i) {
      std::string bytes = whole.substr(0, random() % (whole.size() + 1));
      for (int n = 0; n < 3 && !bytes.empty(); ++n) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
      DecodeZoneMessage(bytes);
    }
    CPPUNIT_ASSERT(!DecodeZoneMessage(""));
    CPPUNIT_ASSERT(!DecodeZoneMessage("hello"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneMessageTest);

}  // namespace
}  // namespace cowsliphill
