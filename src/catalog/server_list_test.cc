#include "src/catalog/server_list.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>

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
  CPPUNIT_TEST(Apply_WhatIsKnown_ChangesNothing);
  CPPUNIT_TEST(Apply_EachKindOfChange_IsReported);
  CPPUNIT_TEST(Apply_RandomAnswers_ChangesLeadFromListToList);
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
    CPPUNIT_ASSERT(list_.RemoveUnlisted(true).Empty());
    CPPUNIT_ASSERT_EQUAL(std::string("a b "), Names());
    CPPUNIT_ASSERT(!list_.RemoveUnlisted(false).Empty());
    CPPUNIT_ASSERT_EQUAL(std::string("b "), Names());
  }

  void Apply_ServerRegisteredAgainAfterOutage_Stays() {
    list_.Apply({2, false, {}, {BackendServerId("a")}}, true, now_);
    list_.Apply({3, false, {MakeServer("a")}, {}}, true, now_);
    list_.RemoveUnlisted(false);
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

  void Apply_WhatIsKnown_ChangesNothing() {
    CPPUNIT_ASSERT(
        list_.Apply({2, true, {MakeServer("a"), MakeServer("b")}, {}}, false, now_).Empty());
    CPPUNIT_ASSERT(list_.Apply({3, false, {MakeServer("a")}, {}}, false, now_).Empty());
    CPPUNIT_ASSERT(list_.Apply({4, false, {}, {BackendServerId("z")}}, false, now_).Empty());
  }

  void Apply_EachKindOfChange_IsReported() {
    BackendServer reborn = MakeServer("a");
    reborn.started = 2;
    BackendServer leaving = MakeServer("b");
    leaving.state = BackendState::kLeaving;
    ServerChanges changes =
        list_.Apply({2, false, {reborn, leaving, MakeServer("c")}, {}}, false, now_);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, changes.changed.size());
    CPPUNIT_ASSERT(changes.changed[0].kind == ServerChange::Kind::kReborn);
    CPPUNIT_ASSERT(changes.changed[1].kind == ServerChange::Kind::kLeaving);
    CPPUNIT_ASSERT(changes.changed[2].kind == ServerChange::Kind::kAdded);
    reborn.slots = 9;
    changes = list_.Apply({3, false, {reborn}, {BackendServerId("c")}}, false, now_);
    CPPUNIT_ASSERT(changes.changed[0].kind == ServerChange::Kind::kOther);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), changes.removed[0].id.Text());
  }

  // Whoever applies the changes has the same list as this one.
  void Apply_RandomAnswers_ChangesLeadFromListToList() {
    std::mt19937_64 random(1);
    std::map<BackendServerId, BackendServer> copy;
    for (const BackendServer& server : list_.All()) copy[server.id] = server;
    for (uint64_t version = 2; version < 2000; ++version) {
      ServersAnswer answer{version, random() % 10 == 0, {}, {}};
      for (size_t n = random() % 4; n > 0; --n) answer.changed.push_back(RandomServer(random));
      for (size_t n = random() % 3; n > 0; --n) {
        answer.removed.push_back(RandomServer(random).id);
      }
      const bool outage = random() % 3 == 0;
      Update(copy, list_.Apply(answer, outage, now_));
      if (random() % 4 == 0) Update(copy, list_.RemoveUnlisted(outage));
      std::vector<BackendServer> servers;
      servers.reserve(copy.size());
      for (const auto& [id, server] : copy) servers.push_back(server);
      CPPUNIT_ASSERT(servers == list_.All());
    }
  }

 private:
  static BackendServer RandomServer(std::mt19937_64& random) {
    BackendServer server = MakeServer(std::string(1, static_cast<char>('a' + random() % 6)));
    server.service = ServiceId(random() % 20 == 0 ? "moved" : "service");
    server.started = random() % 2;
    server.slots = 1 + random() % 2;
    if (random() % 3 == 0) server.state = BackendState::kLeaving;
    return server;
  }
  static void Update(std::map<BackendServerId, BackendServer>& copy, const ServerChanges& changes) {
    for (const BackendServer& server : changes.removed) {
      CPPUNIT_ASSERT_EQUAL(size_t{1}, copy.erase(server.id));
    }
    for (const ServerChange& change : changes.changed) {
      const bool is_new = copy.count(change.server.id) == 0;
      CPPUNIT_ASSERT_EQUAL(is_new, change.kind == ServerChange::Kind::kAdded);
      copy[change.server.id] = change.server;
    }
  }
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
