#include "src/members/leaving_notices.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("permits");
const BackendServerId kServer("permit-7");

class LeavingNoticesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeavingNoticesTest);
  CPPUNIT_TEST(Notice_SeenByOne_ReachesAllWithinTwoSeconds);
  CPPUNIT_TEST(Notice_WithHalfOfTheMessagesLost_ReachesAllWithinTwoSeconds);
  CPPUNIT_TEST(Notice_AfterItsLifetime_IsForgottenEverywhere);
  CPPUNIT_TEST(Notices_ManyAtOnce_StayWithinTheSendRate);
  CPPUNIT_TEST(Notices_BeyondTheBound_ForgetTheOldest);
  CPPUNIT_TEST(Receive_MalformedPayloads_AreCountedAndRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Start(0); }

  void Start(uint64_t seed) {
    members_.clear();
    nodes_.clear();
    random_.seed(seed);
    clock_ = ManualClock();
    for (size_t i = 0; i < 19; ++i) {
      Member member;
      member.id = EntryVmId("vm-" + std::to_string(100 + i));
      member.peer = {"10.0.0.1", static_cast<uint16_t>(i)};
      members_.push_back(member);
      nodes_.push_back(
          std::make_unique<LeavingNotices>(LeavingNoticesConfig(), member.id, seed + i));
    }
  }

  void Notice_SeenByOne_ReachesAllWithinTwoSeconds() {
    nodes_[0]->ReportLeaving(clock_.Now(), kService, kServer, Others(0));
    Run(seconds(2), 0);
    CPPUNIT_ASSERT_EQUAL(nodes_.size(), CountInformed());
  }

  void Notice_WithHalfOfTheMessagesLost_ReachesAllWithinTwoSeconds() {
    for (uint64_t seed = 0; seed < 2000; seed += 100) {
      Start(seed);
      nodes_[0]->ReportLeaving(clock_.Now(), kService, kServer, Others(0));
      Run(seconds(2), 0.5);
      CPPUNIT_ASSERT_EQUAL(nodes_.size(), CountInformed());
    }
  }

  void Notice_AfterItsLifetime_IsForgottenEverywhere() {
    nodes_[0]->ReportLeaving(clock_.Now(), kService, kServer, Others(0));
    Run(seconds(29), 0);
    CPPUNIT_ASSERT_EQUAL(nodes_.size(), CountInformed());
    Run(seconds(2), 0);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, CountInformed());
  }

  void Notices_ManyAtOnce_StayWithinTheSendRate() {
    for (int i = 0; i < 1000; ++i) {
      nodes_[0]->ReportLeaving(clock_.Now(), kService, BackendServerId(std::to_string(i)),
                               Others(0));
    }
    const LeavingNoticesConfig config;
    const auto sends = nodes_[0]->TakeSends();
    CPPUNIT_ASSERT_EQUAL(size_t{config.sends_per_second}, sends.size());
    for (const auto& send : sends) CPPUNIT_ASSERT(send.payload.size() < 1000);
  }

  void Notices_BeyondTheBound_ForgetTheOldest() {
    LeavingNoticesConfig config;
    config.max_notices = 2;
    LeavingNotices notices(config, members_[0].id, 1);
    for (const char* server : {"a", "b", "c"}) {
      notices.ReportLeaving(clock_.Now(), kService, BackendServerId(server), Others(0));
      clock_.Advance(milliseconds(1));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, notices.Size());
    CPPUNIT_ASSERT(!notices.IsLeaving(kService, BackendServerId("a")));
    CPPUNIT_ASSERT(notices.IsLeaving(kService, BackendServerId("c")));
  }

  void Receive_MalformedPayloads_AreCountedAndRefused() {
    nodes_[0]->ReportLeaving(clock_.Now(), kService, kServer, Others(0));
    const std::string valid = nodes_[0]->TakeSends().at(0).payload;
    for (size_t n = 0; n < valid.size(); ++n) {
      CPPUNIT_ASSERT(nodes_[1]->Receive(clock_.Now(), valid.substr(0, n), Others(1)).empty());
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{valid.size()}, nodes_[1]->BadMessages());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, nodes_[1]->Receive(clock_.Now(), valid, Others(1)).size());
  }

 private:
  // Ticks all nodes for `time` and delivers their messages, each lost with probability `loss`.
  void Run(Duration time, double loss) {
    for (const MonotonicTime end = clock_.Now() + time; clock_.Now() < end;) {
      for (auto& node : nodes_) {
        for (const SendNotices& send : node->TakeSends()) {
          const bool lost = std::uniform_real_distribution<double>(0, 1)(random_) < loss;
          const size_t to = send.to.port;
          if (!lost) nodes_[to]->Receive(clock_.Now(), send.payload, Others(to));
        }
      }
      for (size_t i = 0; i < nodes_.size(); ++i) {
        nodes_[i]->Tick(clock_.Now(), Others(i));
      }
      clock_.Advance(milliseconds(100));
    }
  }

  std::vector<Member> Others(size_t i) const {
    std::vector<Member> others = members_;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
    return others;
  }

  size_t CountInformed() const {
    size_t n = 0;
    for (const auto& node : nodes_) n += node->IsLeaving(kService, kServer) ? 1 : 0;
    return n;
  }

  ManualClock clock_;
  std::vector<Member> members_;
  std::vector<std::unique_ptr<LeavingNotices>> nodes_;
  std::mt19937_64 random_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingNoticesTest);

}  // namespace
}  // namespace cowsliphill
