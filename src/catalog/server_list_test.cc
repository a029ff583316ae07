#include "src/catalog/server_list.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cowsliphill {
namespace {

class ServerListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerListTest);
  CPPUNIT_TEST(Apply_Changes_AddsAndDrops);
  CPPUNIT_TEST(Apply_WholePage_DropsWhatItDoesNotName);
  CPPUNIT_TEST(Apply_DropsDuringAnOutage_AreHeldUntilItIsOver);
  CPPUNIT_TEST(Apply_ServerThatComesBackAfterAnOutage_Stays);
  CPPUNIT_TEST(Apply_ReadyAfterLeaving_StaysLeavingInTheSameLifetime);
  CPPUNIT_TEST(Apply_RebornUnderTheSameId_IsActive);
  CPPUNIT_TEST(Present_DuringAnOutage_LeavesOutWhatLapsed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    list_ = ServerList();
    list_.Apply({1, true, {Make("a"), Make("b")}, {}}, false, now_);
  }

  void Apply_Changes_AddsAndDrops() {
    list_.Apply({2, false, {Make("c")}, {BackendServerId("a")}}, false, now_);
    CPPUNIT_ASSERT_EQUAL(std::string("b c "), Names());
  }

  void Apply_WholePage_DropsWhatItDoesNotName() {
    list_.Apply({2, true, {Make("b")}, {}}, false, now_);
    CPPUNIT_ASSERT_EQUAL(std::string("b "), Names());
  }

  void Apply_DropsDuringAnOutage_AreHeldUntilItIsOver() {
    list_.Apply({2, false, {}, {BackendServerId("a")}}, true, now_);
    CPPUNIT_ASSERT(!list_.DropLapsed(true, now_));
    CPPUNIT_ASSERT_EQUAL(std::string("a b "), Names());
    CPPUNIT_ASSERT(list_.DropLapsed(false, now_));
    CPPUNIT_ASSERT_EQUAL(std::string("b "), Names());
  }

  void Apply_ServerThatComesBackAfterAnOutage_Stays() {
    list_.Apply({2, false, {}, {BackendServerId("a")}}, true, now_);
    list_.Apply({3, false, {Make("a")}, {}}, true, now_);
    list_.DropLapsed(false, now_);
    CPPUNIT_ASSERT_EQUAL(std::string("a b "), Names());
  }

  void Apply_ReadyAfterLeaving_StaysLeavingInTheSameLifetime() {
    BackendServer leaving = Make("a");
    leaving.state = BackendState::kLeaving;
    list_.Apply({2, false, {leaving}, {}}, false, now_);
    list_.Apply({3, false, {Make("a")}, {}}, false, now_);
    CPPUNIT_ASSERT(list_.All()[0].state == BackendState::kLeaving);
  }

  void Apply_RebornUnderTheSameId_IsActive() {
    BackendServer leaving = Make("a");
    leaving.state = BackendState::kLeaving;
    list_.Apply({2, false, {leaving}, {}}, false, now_);
    BackendServer reborn = Make("a");
    reborn.started = 99;
    list_.Apply({3, false, {reborn}, {}}, false, now_);
    CPPUNIT_ASSERT(list_.All()[0].state == BackendState::kActive);
  }

  void Present_DuringAnOutage_LeavesOutWhatLapsed() {
    list_.Apply({2, false, {}, {BackendServerId("a")}}, true, now_);
    CPPUNIT_ASSERT_EQUAL(std::string("a b "), Names());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, list_.Present().size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), list_.Present()[0].id.Text());
  }

 private:
  static BackendServer Make(const std::string& id) {
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
