#include "src/members/peer_transport.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <optional>

#include "src/members/leaving_spread.h"
#include "src/members/members.h"
#include "src/members/peer_auth.h"
#include "src/members/peer_wire.h"
#include "src/storage/memory_platform.h"

namespace cowsliphill {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Outcome = std::optional<Result<std::string, PeerError>>;

constexpr MessageKind kKind = MessageKind::kManifestHead;

class PeerTransportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerTransportTest);
  CPPUNIT_TEST(Request_BetweenTwoNodes_IsAnswered);
  CPPUNIT_TEST(Request_WithLargePayload_ArrivesWhole);
  CPPUNIT_TEST(Requests_MoreThanStreams_AreAllAnswered);
  CPPUNIT_TEST(Requests_BeyondTheQueue_AreRefusedAtOnce);
  CPPUNIT_TEST(Request_WithWrongKey_IsRefusedAndCounted);
  CPPUNIT_TEST(Request_OfUnknownKind_IsRefusedAndCounted);
  CPPUNIT_TEST(Request_TooLargeForTheServer_IsRefusedAndTheNextWorks);
  CPPUNIT_TEST(Request_TooLargeForTheClient_IsNotSent);
  CPPUNIT_TEST(Request_ToUnusedPortOrInvalidAddress_IsUnreachable);
  CPPUNIT_TEST(Request_ToAListenerThatNeverResponds_IsUnreachable);
  CPPUNIT_TEST(Request_OnASilentConnection_TimesOutAndTheNextReconnects);
  CPPUNIT_TEST(Request_AfterTheServerRestarted_Reconnects);
  CPPUNIT_TEST(Reply_FromAServerWithoutTheKey_IsRefused);
  CPPUNIT_TEST(Server_GivenGarbage_ClosesAndServesOthers);
  CPPUNIT_TEST(Server_GivenAnotherVersion_RefusesAndCounts);
  CPPUNIT_TEST(Connection_Idle_IsClosed);
  CPPUNIT_TEST(Authenticator_WithAnyFieldChanged_Differs);
  CPPUNIT_TEST(Members_OverRealSockets_DiscoverEachOtherAndDetectFailure);
  CPPUNIT_TEST(LeavingNotice_OverRealSockets_ReachesTheOtherEntryVm);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Request_BetweenTwoNodes_IsAnswered() {
    auto server = Node("server");
    const Endpoint at = ListenAndEcho(*server);
    auto client = Node("client");
    CPPUNIT_ASSERT(SendAndWait(*client, at, "hello") == Outcome("client:hello"));
    CPPUNIT_ASSERT(SendAndWait(*client, at, "") == Outcome("client:"));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, client->Stats().connections_out);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, server->Stats().requests_in);
    CPPUNIT_ASSERT_EQUAL(client->Stats().bytes_out, server->Stats().bytes_in);
  }

  void Request_WithLargePayload_ArrivesWhole() {
    auto server = Node("server");
    const Endpoint at = ListenAndEcho(*server);
    auto client = Node("client");
    const std::string payload(500000, 'x');
    CPPUNIT_ASSERT(SendAndWait(*client, at, payload) == Outcome("client:" + payload));
  }

  void Requests_MoreThanStreams_AreAllAnswered() {
    PeerLimits limits;
    limits.max_streams = 2;
    auto server = Node("server", limits);
    const Endpoint at = ListenAndEcho(*server);
    auto client = Node("client", limits);
    size_t answered = 0;
    for (int i = 0; i < 20; ++i) {
      client->Request(at, kKind, "x", [&answered](const auto& result) {
        if (Ok(result)) ++answered;
      });
    }
    CPPUNIT_ASSERT(RunUntil([&answered] { return answered == 20; }));
  }

  void Requests_BeyondTheQueue_AreRefusedAtOnce() {
    PeerLimits limits;
    limits.max_queue = 3;
    auto server = Node("server");
    const Endpoint at = ListenAndEcho(*server);
    auto client = Node("client", limits);
    size_t answered = 0;
    size_t unreachable = 0;
    for (int i = 0; i < 5; ++i) {
      client->Request(at, kKind, "x",
                      [&](const auto& result) { ++(Ok(result) ? answered : unreachable); });
    }
    CPPUNIT_ASSERT(RunUntil([&] { return answered + unreachable == 5; }));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, unreachable);
  }

  void Request_WithWrongKey_IsRefusedAndCounted() {
    auto server = Node("server");
    const Endpoint at = ListenAndEcho(*server);
    auto client = Node("client", {}, "another key of some length");
    CPPUNIT_ASSERT(SendAndWait(*client, at, "hello") == Outcome(PeerError::kRefused));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, server->Stats().refused_authenticator);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, server->Stats().requests_in);
  }

  void Request_OfUnknownKind_IsRefusedAndCounted() {
    auto server = Node("server");
    const Endpoint at = ValueOf(server->Listen());
    auto client = Node("client");
    CPPUNIT_ASSERT(SendAndWait(*client, at, "hello") == Outcome(PeerError::kRefused));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, server->Stats().refused_kind);
  }

  void Request_TooLargeForTheServer_IsRefusedAndTheNextWorks() {
    PeerLimits small;
    small.max_payload_bytes = 1000;
    auto server = Node("server", small);
    const Endpoint at = ListenAndEcho(*server);
    auto client = Node("client");
    CPPUNIT_ASSERT(SendAndWait(*client, at, std::string(300000, 'x')) ==
                   Outcome(PeerError::kRefused));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, server->Stats().refused_size);
    CPPUNIT_ASSERT(SendAndWait(*client, at, "x") == Outcome("client:x"));
  }

  void Request_TooLargeForTheClient_IsNotSent() {
    PeerLimits small;
    small.max_payload_bytes = 10;
    auto client = Node("client", small);
    CPPUNIT_ASSERT(SendAndWait(*client, {"127.0.0.1", 1}, std::string(11, 'x')) ==
                   Outcome(PeerError::kRefused));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, client->Stats().requests_out);
  }

  void Request_ToUnusedPortOrInvalidAddress_IsUnreachable() {
    auto client = Node("client");
    CPPUNIT_ASSERT(SendAndWait(*client, UnusedEndpoint(), "x") == Outcome(PeerError::kUnreachable));
    CPPUNIT_ASSERT(SendAndWait(*client, {"not a number", 1}, "x") ==
                   Outcome(PeerError::kUnreachable));
  }

  void Request_ToAListenerThatNeverResponds_IsUnreachable() {
    tcp::acceptor acceptor(loop_, {asio::ip::make_address("127.0.0.1"), 0});
    auto client = Node("client");
    const Endpoint at{"127.0.0.1", acceptor.local_endpoint().port()};
    Outcome outcome;
    client->Request(at, kKind, "x", [&outcome](auto result) { outcome = std::move(result); });
    CPPUNIT_ASSERT(RunUntil([&] { return client->Stats().connections_out == 1; }));
    CPPUNIT_ASSERT(!outcome);
    clock_.Advance(seconds(2));
    CPPUNIT_ASSERT(RunUntil([&outcome] { return outcome.has_value(); }));
    CPPUNIT_ASSERT(outcome == Outcome(PeerError::kUnreachable));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, client->Stats().requests_out);
  }

  void Request_OnASilentConnection_TimesOutAndTheNextReconnects() {
    asio::io_context server_loop;
    PeerNode server(server_loop, clock_, EntryVmId("server"), Settings("a key that all share"));
    const Endpoint at = ListenAndEcho(server);
    auto client = Node("client");
    bool serving = true;
    const auto run_server = [&] {
      if (serving) server_loop.poll();
    };
    CPPUNIT_ASSERT(SendAndWait(*client, at, "1", run_server) == Outcome("client:1"));
    serving = false;
    Outcome outcome;
    client->Request(at, kKind, "2", [&outcome](auto result) { outcome = std::move(result); });
    clock_.Advance(seconds(2));
    CPPUNIT_ASSERT(RunUntil([&outcome] { return outcome.has_value(); }));
    CPPUNIT_ASSERT(outcome == Outcome(PeerError::kTimeout));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, client->Stats().silent_connections);
    serving = true;
    CPPUNIT_ASSERT(SendAndWait(*client, at, "3", run_server) == Outcome("client:3"));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, client->Stats().connections_out);
  }

  void Request_AfterTheServerRestarted_Reconnects() {
    auto server = Node("server");
    const Endpoint at = ListenAndEcho(*server);
    auto client = Node("client");
    CPPUNIT_ASSERT(SendAndWait(*client, at, "1") == Outcome("client:1"));
    server.reset();
    CPPUNIT_ASSERT(!Ok(*SendAndWait(*client, at, "2")));
    server = Node("server-2", {}, "a key that all share", at);
    ListenAndEcho(*server);
    Outcome outcome;
    const auto answered = [&] {
      clock_.Advance(milliseconds(100));
      outcome = SendAndWait(*client, at, "3");
      return Ok(*outcome);
    };
    CPPUNIT_ASSERT(RunUntil(answered));
  }

  void Reply_FromAServerWithoutTheKey_IsRefused() {
    tcp::acceptor acceptor(loop_, {asio::ip::make_address("127.0.0.1"), 0});
    TrafficStats traffic;
    std::shared_ptr<Http2Connection> impostor;
    acceptor.async_accept([&](std::error_code ec, tcp::socket socket) {
      impostor = std::make_shared<Http2Connection>(
          std::move(socket), Http2Connection::Role::kServer, Http2Limits(), traffic);
      Http2Connection::Events events;
      events.on_message = [&](int32_t stream, const Http2Message&) {
        Http2Message response;
        response.status = kStatusOk;
        response.sender = "impostor";
        response.nonce = std::string(kNonceLength, '0');
        response.authenticator = std::string(kNonceLength, '0');
        impostor->SendResponse(stream, response);
      };
      events.on_reset = [](int32_t) {};
      impostor->Start(std::move(events));
    });
    auto client = Node("client");
    const Endpoint at{"127.0.0.1", acceptor.local_endpoint().port()};
    CPPUNIT_ASSERT(SendAndWait(*client, at, "x") == Outcome(PeerError::kRefused));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, client->Stats().refused_authenticator);
    impostor->Close();
  }

  void Server_GivenGarbage_ClosesAndServesOthers() {
    auto server = Node("server");
    const Endpoint at = ListenAndEcho(*server);
    tcp::socket socket(loop_);
    socket.connect({asio::ip::make_address(at.ip), at.port});
    asio::write(socket, asio::buffer(std::string(1000, '\xff')));
    CPPUNIT_ASSERT(RunUntil([&] { return server->Stats().connections_in == 1; }));
    CPPUNIT_ASSERT(RunUntil([&] { return server->OpenConnections() == 0; }));
    auto client = Node("client");
    CPPUNIT_ASSERT(SendAndWait(*client, at, "x") == Outcome("client:x"));
  }

  void Server_GivenAnotherVersion_RefusesAndCounts() {
    auto server = Node("server");
    const Endpoint at = ListenAndEcho(*server);
    tcp::socket socket(loop_);
    socket.connect({asio::ip::make_address(at.ip), at.port});
    TrafficStats traffic;
    const auto connection = std::make_shared<Http2Connection>(
        std::move(socket), Http2Connection::Role::kClient, Http2Limits(), traffic);
    int status = 0;
    Http2Connection::Events events;
    events.on_message = [&status](int32_t, const Http2Message& response) {
      status = response.status;
    };
    events.on_reset = [](int32_t) {};
    connection->Start(std::move(events));
    Http2Message hello;
    hello.path = kHelloPath;
    hello.version = "2";
    hello.sender = "raw";
    hello.nonce = MakeNonce();
    connection->SendRequest(hello);
    CPPUNIT_ASSERT(RunUntil([&status] { return status != 0; }));
    CPPUNIT_ASSERT_EQUAL(kStatusWrongVersion, status);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, server->Stats().refused_version);
    connection->Close();
  }

  void Connection_Idle_IsClosed() {
    const PeerLimits limits;
    auto server = Node("server");
    const Endpoint at = ListenAndEcho(*server);
    auto client = Node("client");
    CPPUNIT_ASSERT(SendAndWait(*client, at, "x") == Outcome("client:x"));
    clock_.Advance(limits.idle_timeout + seconds(1));
    CPPUNIT_ASSERT(RunUntil([&] { return client->OpenConnections() == 0; }));
    CPPUNIT_ASSERT(RunUntil([&] { return server->OpenConnections() == 0; }));
    CPPUNIT_ASSERT(SendAndWait(*client, at, "x") == Outcome("client:x"));
  }

  void Authenticator_WithAnyFieldChanged_Differs() {
    const PeerAuthenticator authenticator("a key that all share");
    const PeerMessageIdentity identity{PeerDirection::kRequest, "11", "22",
                                       EntryVmId("vm"),         3,    "/peer/1"};
    const std::string signature = authenticator.Sign(identity, "payload");
    CPPUNIT_ASSERT(authenticator.Verify(identity, "payload", signature));
    CPPUNIT_ASSERT(!authenticator.Verify(identity, "payloae", signature));
    CPPUNIT_ASSERT(!authenticator.Verify(identity, "payload", signature.substr(1)));
    CPPUNIT_ASSERT(!authenticator.Verify(identity, "payload", ""));
    CPPUNIT_ASSERT(!PeerAuthenticator("").Verify(identity, "payload", signature));
    std::vector<PeerMessageIdentity> others(6, identity);
    others[0].direction = PeerDirection::kReply;
    others[1].client_nonce = "1";
    others[2].server_nonce = "222";
    others[3].sender = EntryVmId("vn");
    others[4].stream = 5;
    others[5].path = "/peer/2";
    for (const auto& it : others) CPPUNIT_ASSERT(!authenticator.Verify(it, "payload", signature));
  }

  void Members_OverRealSockets_DiscoverEachOtherAndDetectFailure() {
    MemoryPlatform platform([this](std::function<void()> task) { asio::post(loop_, task); });
    std::vector<std::unique_ptr<PeerNode>> nodes;
    std::vector<std::unique_ptr<Members<PeerNode, MemoryPlatform>>> members;
    MembershipConfig config;
    config.probe_period = milliseconds(100);
    config.direct_timeout = milliseconds(40);
    config.suspicion_timeout = milliseconds(300);
    for (int i = 0; i < 3; ++i) {
      Member self;
      self.id = EntryVmId("vm-" + std::to_string(i));
      self.edge = {"127.0.0.1", static_cast<uint16_t>(1000 + i)};
      nodes.push_back(std::make_unique<PeerNode>(loop_, system_clock_, self.id,
                                                 Settings("a key that all share")));
      self.peer = ValueOf(nodes.back()->Listen());
      if (i == 0) config.seeds = {self.peer};
      MembersOptions options;
      options.seed = static_cast<uint64_t>(i);
      members.push_back(std::make_unique<Members<PeerNode, MemoryPlatform>>(
          loop_, system_clock_, *nodes.back(), platform, config, self, options));
    }
    const auto all_have_live_peers = [&members](size_t n) {
      for (const auto& it : members) {
        if (it->Live().size() != n) return false;
      }
      return true;
    };
    CPPUNIT_ASSERT(RunUntil([&] { return all_have_live_peers(2); }));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, members[0]->Lookup({"c", {}, {}}, seconds(5)).entries.size());
    members.pop_back();
    nodes.pop_back();
    CPPUNIT_ASSERT(RunUntil([&] { return all_have_live_peers(1); }));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, members[0]->Lookup({"c", {}, {}}, seconds(5)).entries.size());
  }

  void LeavingNotice_OverRealSockets_ReachesTheOtherEntryVm() {
    auto server = Node("vm-1");
    auto client = Node("vm-0");
    const FixedMembers client_members{"vm-0",
                                      {{EntryVmId("vm-1"), {}, ValueOf(server->Listen()), {}, {}}}};
    const FixedMembers server_members{"vm-1", {}};
    std::vector<LeavingNotice> received;
    const auto on_notice = [&received](const LeavingNotice& notice) { received.push_back(notice); };
    LeavingSpread<PeerNode, FixedMembers> server_spread(loop_, clock_, *server, server_members, 1,
                                                        on_notice);
    LeavingSpread<PeerNode, FixedMembers> client_spread(loop_, clock_, *client, client_members, 2,
                                                        on_notice);
    client_spread.Report(ServiceId("permits"), BackendServerId("permit-7"));
    CPPUNIT_ASSERT(RunUntil([&received] { return !received.empty(); }));
    CPPUNIT_ASSERT(received[0].server == BackendServerId("permit-7"));
    CPPUNIT_ASSERT(
        server_spread.Notices().IsLeaving(ServiceId("permits"), BackendServerId("permit-7")));
  }

 private:
  static constexpr seconds kTestTimeout{20};

  struct FixedMembers {
    std::string self;
    std::vector<Member> live;

    Member Self() const { return {EntryVmId(self), {}, {}, {}, {}}; }
    const std::vector<Member>& Live() const { return live; }
  };

  static PeerSettings Settings(const std::string& key, Endpoint listen = {"127.0.0.1", 0}) {
    PeerSettings settings;
    settings.listen = listen;
    settings.key = key;
    return settings;
  }

  std::unique_ptr<PeerNode> Node(const std::string& id, PeerLimits limits = {},
                                 const std::string& key = "a key that all share",
                                 Endpoint listen = {"127.0.0.1", 0}) {
    return std::make_unique<PeerNode>(loop_, clock_, EntryVmId(id), Settings(key, listen), limits);
  }

  static Endpoint ListenAndEcho(PeerNode& node) {
    node.Handle(kKind, [](const EntryVmId& from, const std::string& payload) {
      return from.Text() + ":" + payload;
    });
    const auto at = node.Listen();
    CPPUNIT_ASSERT(Ok(at));
    return ValueOf(at);
  }

  // Endpoint of a port on which nothing listens: the acceptor that reserved it is closed on return.
  Endpoint UnusedEndpoint() {
    tcp::acceptor acceptor(loop_, {asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", acceptor.local_endpoint().port()};
  }

  Outcome SendAndWait(PeerNode& client, const Endpoint& to, const std::string& payload,
                      const std::function<void()>& meanwhile = nullptr) {
    Outcome outcome;
    client.Request(to, kKind, payload, [&outcome](auto result) { outcome = std::move(result); });
    const bool ended = RunUntil([&] {
      if (meanwhile) meanwhile();
      return outcome.has_value();
    });
    CPPUNIT_ASSERT(ended);
    return outcome;
  }

  bool RunUntil(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) return false;
      loop_.restart();
      loop_.run_one_for(milliseconds(5));
    }
    return true;
  }

  asio::io_context loop_;
  ManualClock clock_;  // Only Advance moves it, so timeouts don't depend on the machine's load.
  SystemClock system_clock_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTransportTest);

}  // namespace
}  // namespace cowsliphill
