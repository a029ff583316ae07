#include "src/members/members.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio.hpp>
#include <memory>

#include "src/members/gossip_message.h"

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

// Keeps the handler, so that the test can deliver messages; sends nothing.
struct FakeTransport {
  using Handler = std::function<std::string(const EntryVmId&, const std::string&)>;
  void Request(const Endpoint&, MessageKind, const std::string&,
               const std::function<void(Result<std::string, PeerError>)>&) {}
  void Handle(MessageKind, Handler it) { handler = std::move(it); }
  Handler handler;
};
struct NoVms {
  void ListVms(const std::function<void(VmListResult)>& done) { done(std::vector<ListedVm>()); }
};

class MembersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembersTest);
  CPPUNIT_TEST(Subscriber_HundredsJoinAtOnce_IsCalledAFewTimes);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Each call makes the subscriber work through the whole list.
  void Subscriber_HundredsJoinAtOnce_IsCalledAFewTimes() {
    size_t calls = 0;
    size_t changes = 0;
    members_->Subscribe([&](const std::vector<MemberChange>& batch) {
      ++calls;
      changes += batch.size();
    });
    for (int n = 0; n < 450; n += 5) Receive(n, 5);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, calls);  // The first change is not delayed.
    clock_.Advance(kMinRefreshInterval);
    io_.run_for(2 * kMinRefreshInterval);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, calls);
    CPPUNIT_ASSERT_EQUAL(size_t{450}, changes);
    CPPUNIT_ASSERT_EQUAL(size_t{450}, members_->Live().size());
  }

  void setUp() override {
    Member self;
    self.id = EntryVmId("self");
    self.peer = {"127.0.0.1", 1};
    members_ = std::make_unique<Members<FakeTransport, NoVms>>(
        io_, clock_, transport_, no_vms_, MembershipConfig(), self, MembersOptions());
  }
  void tearDown() override { members_.reset(); }

 private:
  // Delivers a message of member `first` that tells about `n` members from that one on.
  void Receive(int first, int n) {
    GossipMessage message;
    message.type = GossipType::kPush;
    for (int i = first; i < first + n; ++i) {
      MemberRecord record;
      record.id = EntryVmId("vm-" + std::to_string(i));
      record.peer = {"10.0.0.1", static_cast<uint16_t>(1000 + i)};
      record.edge = record.peer;
      record.incarnation = 1;
      message.changes.push_back(record);
    }
    message.sender = message.changes[0].id;
    message.incarnation = 1;
    transport_.handler(message.sender, EncodeGossip(message));
  }

  asio::io_context io_;
  ManualClock clock_;
  FakeTransport transport_;
  NoVms no_vms_;
  std::unique_ptr<Members<FakeTransport, NoVms>> members_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembersTest);

}  // namespace
}  // namespace cowsliphill
