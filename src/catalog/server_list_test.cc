#include "src/catalog/server_list.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cowsliphill {
namespace {

class ServerListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerListTest);
  CPPUNIT_TEST(Apply_Changes_AddsAndRemoves);
  CPPUNIT_TEST(Apply_Snapshot_RemovesUnlistedServers);
  CPPUNIT_TEST(Apply_RemovalDuringOutage_TakesEffectAfterIt);
  CPPUNIT_TEST(Apply_ServerRegisteredAgainAfterOutage_Stays);
  CPPUNIT_TEST(Apply_ActiveAfterLeavingWithoutRestart_StaysLeaving);
  CPPUNIT_TEST(Apply_RestartedUnderTheSameId_IsActive);
  CPPUNIT_TEST(Apply_ReappearsAfterItHasLeft_IsStillLeaving);
  CPPUNIT_TEST(Registered_DuringOutage_OmitsUnlistedServers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    list_ = ServerList();
    list_.Apply({1, true, {MakeServer("a"), MakeServer("b")}, {}}, false, now_);
  }

  void Apply_Changes_AddsAndRemoves() {
    list_.Apply({2, false, {MakeServer("c")}, {BackendServerId("a")}}, false, now_);
    CPPUNIT_ASSERT_EQUAL(std::string("b c "), Names());
  }

  void Apply_Snapshot_RemovesUnlistedServers() {
    list_.Apply({2, true, {MakeServer("b")}, {}}, false, now_);
    CPPUNIT_ASSERT_EQUAL(std::string("b "), Names());
  }

  void Apply_RemovalDuringOutage_TakesEffectAfterIt() {
    list_.Apply({2, false, {}, {BackendServerId("a")}}, true, now_);
    CPPUNIT_ASSERT(!list_.RemoveUnlisted(true, now_));
    CPPUNIT_ASSERT_EQUAL(std::string("a b "), Names());
    CPPUNIT_ASSERT(list_.RemoveUnlisted(false, now_));
    CPPUNIT_ASSERT_EQUAL(std::string("b "), Names());
  }

  void Apply_ServerRegisteredAgainAfterOutage_Stays() {
    list_.Apply({2, false, {}, {BackendServerId("a")}}, true, now_);
    list_.Apply({3, false, {MakeServer("a")}, {}}, true, now_);
    list_.RemoveUnlisted(false, now_);
    CPPUNIT_ASSERT_EQUAL(std::string("a b "), Names());
  }

  void Apply_ActiveAfterLeavingWithoutRestart_StaysLeaving() {
    BackendServer leaving = MakeServer("a");
    leaving.state = BackendState::kLeaving;
    list_.Apply({2, false, {leaving}, {}}, false, now_);
    list_.Apply({3, false, {MakeServer("a")}, {}}, false, now_);
    CPPUNIT_ASSERT(list_.All()[0].state == BackendState::kLeaving);
  }

  void Apply_RestartedUnderTheSameId_IsActive() {
    BackendServer leaving = MakeServer("a");
    leaving.state = BackendState::kLeaving;
    list_.Apply({2, false, {leaving}, {}}, false, now_);
    BackendServer restarted = MakeServer("a");
    restarted.started = 99;
    list_.Apply({3, false, {restarted}, {}}, false, now_);
    CPPUNIT_ASSERT(list_.All()[0].state == BackendState::kActive);
  }

  // The store has come back from a copy that was made before the server left.
  void Apply_ReappearsAfterItHasLeft_IsStillLeaving() {
    BackendServer leaving = MakeServer("a");
    leaving.state = BackendState::kLeaving;
    list_.Apply({2, false, {leaving}, {}}, false, now_);
    list_.Apply({3, false, {}, {leaving.id}}, false, now_);
    CPPUNIT_ASSERT_EQUAL(std::string("b "), Names());
    list_.Apply({4, false, {MakeServer("a")}, {}}, false, now_);
    CPPUNIT_ASSERT(list_.All()[0].state == BackendState::kLeaving);
    BackendServer restarted = MakeServer("a");
    restarted.started = 99;
    list_.Apply({5, false, {restarted}, {}}, false, now_);
    CPPUNIT_ASSERT(list_.All()[0].state == BackendState::kActive);
  }

  void Registered_DuringOutage_OmitsUnlistedServers() {
    list_.Apply({2, false, {}, {BackendServerId("a")}}, true, now_);
    CPPUNIT_ASSERT_EQUAL(std::string("a b "), Names());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, list_.Registered().size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), list_.Registered()[0].id.Text());
  }

 private:
  static BackendServer MakeServer(const std::string& id) {
    BackendServer server;
    server.id = BackendServerId(id);
    server.started = 1;
    return server;
  }
  std::string Names() const {
    std::string names;
    for (const BackendServer& server : list_.All()) names += server.id.Text() + " ";
    return names;
  }

  ServerList list_;
  MonotonicTime now_{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerListTest);

}  // namespace
}  // namespace cowsliphill
