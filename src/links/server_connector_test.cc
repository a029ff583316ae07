// A connector and the tunnel servers of two other entry VMs, over real sockets.

#include "src/links/server_connector.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>

#include <asio.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/forward/http_stream.h"
#include "src/links/tunnel_server.h"

namespace cowsliphill {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
constexpr size_t kUpload = 20000000;  // More than the sockets on the way hold.
constexpr const char* kUnframedAnswer = "HTTP/1.1 200 OK\r\n\r\nhalf";

// Accepts connections and does with each what the test wants.
class TestServer {
 public:
  explicit TestServer(asio::io_context& io)
      : acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
  }
  Endpoint Address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  void Stop() { acceptor_.close(); }
  void AnswerAll(const std::string& answer) {
    for (tcp::socket& it : connections) asio::write(it, asio::buffer(answer));
  }
  void CloseAll(bool by_reset) {
    for (tcp::socket& it : connections) {
      if (by_reset) it.set_option(asio::socket_base::linger(true, 0));
      it.close();
    }
  }
  void FinishAll() {
    std::error_code ignored;
    for (tcp::socket& it : connections) it.shutdown(tcp::socket::shutdown_send, ignored);
  }
  // Whether the other end of the newest connection has closed it.
  bool SeesClose() {
    tcp::socket& socket = connections.back();
    socket.non_blocking(true);
    std::array<char, 1> buf{};
    std::error_code ec;
    socket.read_some(asio::buffer(buf), ec);
    return ec && ec != asio::error::would_block;
  }

  std::vector<tcp::socket> connections;

 private:
  void Accept() {
    acceptor_.async_accept([this](std::error_code ec, tcp::socket socket) {
      if (ec) return;
      connections.push_back(std::move(socket));
      Accept();
    });
  }
  tcp::acceptor acceptor_;
};

class ServerConnectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerConnectorTest);
  CPPUNIT_TEST(Connect_DirectWorks_OpensNoTunnel);
  CPPUNIT_TEST(Connect_DirectRefused_LeadsThroughAnotherEntryVm);
  CPPUNIT_TEST(Connect_DirectHangs_LeadsThroughAnotherEntryVmSoon);
  CPPUNIT_TEST(Connect_NobodyReachesTheServer_Fails);
  CPPUNIT_TEST(Connect_NoOtherEntryVm_FailsAsTheDirectOne);
  CPPUNIT_TEST(Connect_FirstEntryVmHasNoLinksEither_AsksTheSecond);
  CPPUNIT_TEST(Connect_EntryVmsDoNotAnswer_FailsInTime);
  CPPUNIT_TEST(Connect_ServerIsLeavingElsewhere_IsNotUsed);
  CPPUNIT_TEST(Connect_LinksLost_GoesThroughATunnelAtOnce);
  CPPUNIT_TEST(Connect_LinksLostAndOneEntryVmDoesNotReachTheServer_AsksASecond);
  CPPUNIT_TEST(Connect_AfterAConnectionWasLost_TriesATunnelFirst);
  CPPUNIT_TEST(Links_OneIsBroken_OthersAreCheckedThroughBothWays);
  CPPUNIT_TEST(Links_WorkAgain_AreFoundByChecks);
  CPPUNIT_TEST(Answer_ThroughATunnel_IsWhole);
  CPPUNIT_TEST(Answer_ServerClosesInOrder_EndsWithTheConnection);
  CPPUNIT_TEST(Answer_ServerResets_NeverLooksWhole);
  CPPUNIT_TEST(Answer_ServerFinishesAndResetsDuringAnUpload_IsWhole);
  CPPUNIT_TEST(Answer_ServerResetsDuringAnUpload_NeverLooksWhole);
  CPPUNIT_TEST(Answer_EntryVmBetweenDies_NeverLooksWhole);
  CPPUNIT_TEST(Caller_Leaves_ServerSeesIt);
  CPPUNIT_TEST(Tunnels_BeyondTheRoom_AreRefused);
  CPPUNIT_TEST(Tunnels_EntryVmStops_NewOnesAreRefusedAndOpenOnesGoOn);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    server_ = std::make_unique<TestServer>(loop_);
    direct_ = UnusedEndpoint();
    for (int i = 0; i < 2; ++i) relays_.push_back(std::make_unique<Relay>(*this, i));
    MakeConnector();
  }
  void tearDown() override {
    connector_->Close();
    for (auto& it : relays_) it->tunnels.Close();
    relays_.clear();
    node_.reset();
    loop_.restart();
    loop_.poll();
    connector_.reset();
    server_.reset();
  }

  void Connect_DirectWorks_OpensNoTunnel() {
    direct_ = server_->Address();
    ConnectOrFail();
    CPPUNIT_ASSERT_EQUAL(uint16_t{0}, through_.port);
    loop_.run_for(ServerConnector::kSecondWayDelay + milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, connector_->Counts().opened);
  }
  void Connect_DirectRefused_LeadsThroughAnotherEntryVm() {
    ConnectOrFail();
    CPPUNIT_ASSERT(through_.port != 0);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, connector_->Links().BypassedServers());
  }
  void Connect_DirectHangs_LeadsThroughAnotherEntryVmSoon() {
    const HangingListener hanging(loop_);
    direct_ = hanging.Address();
    const auto began = std::chrono::steady_clock::now();
    ConnectOrFail();
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - began < BackendSettings().connect_timeout);
    // Once the direct connection has failed too, the server is known to be alive.
    CPPUNIT_ASSERT(RunUntil([this] { return connector_->Links().BypassedServers() == 1; }));
  }
  void Connect_NobodyReachesTheServer_Fails() {
    for (auto& it : relays_) it->endpoint = UnusedEndpoint();
    CPPUNIT_ASSERT(Connect() == ConnectError::kRefused);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, connector_->Links().BypassedServers());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, connector_->Counts().refused);
  }
  void Connect_NoOtherEntryVm_FailsAsTheDirectOne() {
    connector_->SetMembers(self_, {self_});
    CPPUNIT_ASSERT(Connect() == ConnectError::kRefused);
  }
  void Connect_FirstEntryVmHasNoLinksEither_AsksTheSecond() {
    for (int i = 0; i < 8; ++i) {
      relays_[0]->endpoint = UnusedEndpoint();
      relays_[0]->on_failure = TunnelError::kNoLink;
      ConnectOrFail();
      CPPUNIT_ASSERT(through_ == relays_[1]->peer);
    }
  }
  void Connect_EntryVmsDoNotAnswer_FailsInTime() {
    for (auto& it : relays_) it->node.HandleTunnels([](const auto&, const auto&, const auto&) {});
    const auto began = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT(Connect() == ConnectError::kRefused);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - began <
                   ServerConnector::kTunnelTimeout * 2 + milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, connector_->Counts().unanswered);
  }
  void Connect_ServerIsLeavingElsewhere_IsNotUsed() {
    for (auto& it : relays_) it->refusal = TunnelError::kServerLeaving;
    CPPUNIT_ASSERT(Connect() == ConnectError::kLeaving);
    CPPUNIT_ASSERT(leaving_ == std::vector{BackendServerId("s0")});
    CPPUNIT_ASSERT(server_->connections.empty());
  }
  void Connect_LinksLost_GoesThroughATunnelAtOnce() {
    LoseLinks();
    const HangingListener hanging(loop_);
    direct_ = hanging.Address();
    const auto began = std::chrono::steady_clock::now();
    ConnectOrFail("s9");
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - began < ServerConnector::kSecondWayDelay);
  }
  // The link of the one that is asked first may be broken as well.
  void Connect_LinksLostAndOneEntryVmDoesNotReachTheServer_AsksASecond() {
    LoseLinks();
    relays_[0]->endpoint = UnusedEndpoint();
    for (int i = 0; i < 8; ++i) ConnectOrFail("s9");
    CPPUNIT_ASSERT(relays_[0]->tunnels.Refused() > 0);
  }
  // A path may accept connections and then reset them.
  void Connect_AfterAConnectionWasLost_TriesATunnelFirst() {
    direct_ = server_->Address();
    ConnectOrFail();
    CPPUNIT_ASSERT_EQUAL(uint16_t{0}, through_.port);
    CPPUNIT_ASSERT(connector_->Hooks().on_failure(BackendServerId("s0")));
    ConnectOrFail();
    CPPUNIT_ASSERT(through_.port != 0);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, connector_->Links().BypassedServers());
  }
  void Links_OneIsBroken_OthersAreCheckedThroughBothWays() {
    ConnectOrFail();
    CPPUNIT_ASSERT(!connector_->Links().LinksLost());
    CPPUNIT_ASSERT(RunUntil([this] { return connector_->Links().LinksLost(); }));
    CPPUNIT_ASSERT(probes_ >= LinkWatch::kMinSample);
    CPPUNIT_ASSERT(probes_ <= LinkWatch::kMinSample + 1);
  }
  void Links_WorkAgain_AreFoundByChecks() {
    LoseLinks();
    direct_ = server_->Address();
    CPPUNIT_ASSERT(RunUntil([this] { return !connector_->Links().LinksLost(); }));
    ConnectOrFail();
    CPPUNIT_ASSERT_EQUAL(uint16_t{0}, through_.port);
  }

  void Answer_ThroughATunnel_IsWhole() {
    Ask();
    server_->AnswerAll(kAnswer);
    CPPUNIT_ASSERT_EQUAL(std::string("200 done end"), ReadAnswer());
  }
  void Answer_ServerClosesInOrder_EndsWithTheConnection() {
    Ask();
    server_->AnswerAll(kUnframedAnswer);
    server_->CloseAll(false);
    CPPUNIT_ASSERT_EQUAL(std::string("200 half end"), ReadAnswer());
  }
  void Answer_ServerResets_NeverLooksWhole() {
    Ask();
    server_->AnswerAll(kUnframedAnswer);
    loop_.run_for(milliseconds(50));
    server_->CloseAll(true);
    CPPUNIT_ASSERT_EQUAL(std::string("200 half error"), ReadAnswer());
  }
  // Regression: the failed write of the upload broke the tunnel before the answer had been read.
  void Answer_ServerFinishesAndResetsDuringAnUpload_IsWhole() {
    Ask();
    Upload();
    server_->AnswerAll(kUnframedAnswer);
    server_->FinishAll();
    server_->CloseAll(true);
    CPPUNIT_ASSERT_EQUAL(std::string("200 half end"), ReadAnswer());
    stream_->Close();
    CPPUNIT_ASSERT(RunUntil([this] {
      return relays_[0]->tunnels.OpenTunnels() + relays_[1]->tunnels.OpenTunnels() == 0;
    }));
  }
  void Answer_ServerResetsDuringAnUpload_NeverLooksWhole() {
    Ask();
    Upload();
    server_->AnswerAll(kUnframedAnswer);
    server_->CloseAll(true);
    const std::string answer = ReadAnswer();
    CPPUNIT_ASSERT_MESSAGE(answer, answer.ends_with("error"));
  }
  void Answer_EntryVmBetweenDies_NeverLooksWhole() {
    Ask();
    server_->AnswerAll(kUnframedAnswer);
    loop_.run_for(milliseconds(50));
    for (auto& it : relays_) it->tunnels.Close();
    relays_.clear();
    CPPUNIT_ASSERT_EQUAL(std::string("200 half error"), ReadAnswer());
  }
  void Caller_Leaves_ServerSeesIt() {
    Ask();
    CPPUNIT_ASSERT(!server_->SeesClose());
    stream_->Close();
    CPPUNIT_ASSERT(RunUntil([this] { return server_->SeesClose(); }));
    CPPUNIT_ASSERT(RunUntil([this] {
      return relays_[0]->tunnels.OpenTunnels() + relays_[1]->tunnels.OpenTunnels() == 0;
    }));
  }
  void Tunnels_BeyondTheRoom_AreRefused() {
    // Both have the least room.
    std::vector<std::shared_ptr<HttpStream>> open;
    for (size_t i = 0; i < 2 * TunnelServer::kMinTunnels; ++i) {
      ConnectOrFail();
      open.push_back(stream_);
    }
    CPPUNIT_ASSERT(Connect() == ConnectError::kRefused);
    open.front()->Close();
    CPPUNIT_ASSERT(RunUntil([this] {
      return relays_[0]->tunnels.OpenTunnels() + relays_[1]->tunnels.OpenTunnels() <
             2 * TunnelServer::kMinTunnels;
    }));
    ConnectOrFail();
    for (const auto& it : open) it->Close();
  }
  void Tunnels_EntryVmStops_NewOnesAreRefusedAndOpenOnesGoOn() {
    Ask();
    for (auto& it : relays_) it->tunnels.StopAccepting();
    const auto first = stream_;
    CPPUNIT_ASSERT(Connect() == ConnectError::kRefused);
    stream_ = first;
    server_->AnswerAll(kAnswer);
    CPPUNIT_ASSERT_EQUAL(std::string("200 done end"), ReadAnswer());
  }

 private:
  // Another entry VM.
  struct Relay {
    Relay(ServerConnectorTest& test, int i)
        : endpoint(test.server_->Address()),
          node(test.loop_, test.clock_, EntryVmId("relay-" + std::to_string(i)), Settings()),
          tunnels(test.loop_, test.clock_, BackendSettings(), 0.01, Listener()),
          peer(ValueOf(node.Listen())) {
      node.HandleTunnels(
          [this](const EntryVmId& from, const TunnelRequest& request,
                 const PeerNode::TunnelAnswer& answer) { tunnels.Open(from, request, answer); });
    }
    TunnelServerListener Listener() {
      TunnelServerListener listener;
      listener.find_server = [this](const TunnelRequest&) {
        using Found = std::variant<TunnelServerListener::Server, TunnelError>;
        if (refusal) return Found(*refusal);
        return Found(TunnelServerListener::Server{BackendServerId("s"), endpoint});
      };
      listener.on_connect = [this](const BackendServerId&, bool) { return on_failure; };
      listener.on_ended = [](const TunnelEnd&) {};
      return listener;
    }

    Endpoint endpoint;  // Where it finds every server.
    std::optional<TunnelError> refusal;
    TunnelError on_failure = TunnelError::kServerUnreachable;
    PeerNode node;
    TunnelServer tunnels;
    Endpoint peer;
  };

  // Does not answer the opening packets of connections, as a host that nothing reaches.
  class HangingListener {
   public:
    explicit HangingListener(asio::io_context& io) : acceptor_(io) {
      acceptor_.open(tcp::v4());
      acceptor_.bind({asio::ip::make_address("127.0.0.1"), 0});
      acceptor_.listen(0);
      for (int i = 0; i < 2; ++i) {  // They fill the queue.
        fillers_.emplace_back(io);
        fillers_.back().async_connect(acceptor_.local_endpoint(), [](std::error_code) {});
      }
      io.run_for(milliseconds(20));
    }
    Endpoint Address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

   private:
    tcp::acceptor acceptor_;
    std::vector<tcp::socket> fillers_;
  };

  static PeerSettings Settings() {
    PeerSettings settings;
    settings.listen = {"127.0.0.1", 0};
    settings.key = "a key that all share";
    return settings;
  }

  void MakeConnector() {
    node_ = std::make_unique<PeerNode>(loop_, clock_, EntryVmId("self"), Settings());
    ServerConnectorListener listener;
    listener.find_server = [this](const BackendServerId&) {
      return std::optional(ServerConnectorListener::Server{direct_, 1, 1});
    };
    listener.open_tunnel = [this](const Endpoint& peer, TunnelRequest request,
                                  PeerNode::TunnelDone done) {
      node_->OpenTunnel(peer, std::move(request), std::move(done));
    };
    listener.probe = [this](const BackendServerId&, std::function<void(bool)> done) {
      ++probes_;
      asio::post(loop_, [this, done = std::move(done)] { done(direct_ == server_->Address()); });
    };
    listener.on_leaving = [this](const BackendServerId& server) { leaving_.push_back(server); };
    listener.on_links_changed = [] {};
    connector_ = std::make_unique<ServerConnector>(loop_, clock_, BackendSettings(), 1, listener);
    std::vector<LinkWatch::Server> servers;
    servers.reserve(10);
    for (int i = 0; i < 10; ++i) {
      servers.push_back({BackendServerId("s" + std::to_string(i)), ServiceId("service")});
    }
    connector_->SetServers(servers);
    self_.id = EntryVmId("self");
    std::vector<Member> members = {self_};
    for (const auto& it : relays_) {
      Member member;
      member.id = EntryVmId(it->peer.ToString());
      member.peer = it->peer;
      members.push_back(member);
    }
    connector_->SetMembers(self_, members);
  }
  void LoseLinks() {
    ConnectOrFail("s1");
    stream_->Close();
    CPPUNIT_ASSERT(RunUntil([this] { return connector_->Links().LinksLost(); }));
  }

  // Returns the error; on success sets stream_ and through_.
  std::optional<ConnectError> Connect(const std::string& server = "s0") {
    std::optional<ConnectResult> result;
    ConnectTarget target;
    target.endpoint = direct_;
    target.server = BackendServerId(server);
    connector_->Hooks().connect(target,
                                [&result](ConnectResult it) { result.emplace(std::move(it)); });
    CPPUNIT_ASSERT(RunUntil([&result] { return result.has_value(); }));
    if (const auto* error = std::get_if<ConnectError>(&*result)) return *error;
    auto& connected = std::get<Connected>(*result);
    through_ = connected.through;
    stream_ = std::make_shared<HttpStream>(std::move(connected.stream), HttpMessageType::kResponses,
                                           16384, kReadBufferBytes);
    return std::nullopt;
  }
  void ConnectOrFail(const std::string& server = "s0") { CPPUNIT_ASSERT(!Connect(server)); }
  // Sends more bytes, of which the server reads nothing.
  void Upload() {
    stream_->Write(std::string(kUpload, 'u'), [](bool) {});
    loop_.run_for(milliseconds(200));
  }
  // Sends a request through a tunnel; it has arrived at the server afterwards.
  void Ask() {
    ConnectOrFail();
    CPPUNIT_ASSERT(through_.port != 0);
    stream_->Write("GET / HTTP/1.1\r\n\r\n", [](bool) {});
    CPPUNIT_ASSERT(RunUntil([this] {
      return !server_->connections.empty() && server_->connections.back().available() >= 18;
    }));
    asio::streambuf request;
    asio::read_until(server_->connections.back(), request, "\r\n\r\n");
  }
  // Returns the status, the body and "end" or "error".
  std::string ReadAnswer() {
    std::string text;
    bool ended = false;
    std::function<void()> read = [&] {
      stream_->Read([&](const HttpEvent& event) {
        if (const auto* head = std::get_if<HttpHead>(&event)) {
          text += std::to_string(head->status) + " ";
        } else if (const auto* body = std::get_if<HttpBody>(&event)) {
          text += body->bytes;
        } else {
          text += std::holds_alternative<HttpEnd>(event) ? " end" : " error";
          ended = true;
          return;
        }
        read();
      });
    };
    read();
    CPPUNIT_ASSERT(RunUntil([&ended] { return ended; }));
    stream_->Close();
    return text;
  }
  Endpoint UnusedEndpoint() {
    tcp::acceptor acceptor(loop_, {asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", acceptor.local_endpoint().port()};
  }
  bool RunUntil(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + seconds(20);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) return false;
      loop_.restart();
      loop_.run_one_for(milliseconds(5));
    }
    return true;
  }

  asio::io_context loop_;
  SystemClock clock_;
  std::unique_ptr<TestServer> server_;
  std::vector<std::unique_ptr<Relay>> relays_;
  Endpoint direct_;  // Where this entry VM finds every server.
  std::unique_ptr<PeerNode> node_;
  std::unique_ptr<ServerConnector> connector_;
  Member self_;
  std::vector<BackendServerId> leaving_;
  size_t probes_ = 0;  // Of checks.
  std::shared_ptr<HttpStream> stream_;
  Endpoint through_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerConnectorTest);

}  // namespace
}  // namespace cowsliphill
