// Answers of another entry VM that break HTTP/2 or are cut off: none may be taken for a whole one,
// and none may open a tunnel.

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <asio.hpp>
#include <optional>
#include <string>
#include <vector>

#include "src/members/http2_connection.h"
#include "src/members/peer_transport.h"

namespace cowsliphill {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr milliseconds kMaxDelivery{1000};  // Of an event.

constexpr uint8_t kData = 0;
constexpr uint8_t kHeaders = 1;
constexpr uint8_t kResetStream = 3;
constexpr uint8_t kSettings = 4;
constexpr uint8_t kEndStream = 1;
constexpr uint8_t kEndHeaders = 4;

std::string Frame(uint8_t type, uint8_t flags, uint8_t stream, const std::string& payload) {
  const auto size = static_cast<uint16_t>(payload.size());
  const char head[] = {0,
                       static_cast<char>(size >> 8),
                       static_cast<char>(size & 0xff),
                       static_cast<char>(type),
                       static_cast<char>(flags),
                       0,
                       0,
                       0,
                       static_cast<char>(stream)};
  return std::string(head, sizeof(head)) + payload;
}

// One literal header field (RFC 7541 6.2.2).
std::string Field(const std::string& name, const std::string& value) {
  return std::string(1, '\0') + static_cast<char>(name.size()) + name +
         static_cast<char>(value.size()) + value;
}

std::string Head(const std::string& status, const std::string& fields, uint8_t flags = 0) {
  return Frame(kHeaders, kEndHeaders | flags, 1, Field(":status", status) + fields);
}

// Sends the same bytes to each client. Runs on the test's event loop.
class RawPeer {
 public:
  RawPeer(asio::io_context& loop, std::string answer, bool closes)
      : acceptor_(loop, {asio::ip::make_address("127.0.0.1"), 0}),
        answer_(Frame(kSettings, 0, 0, "") + std::move(answer)) {
    acceptor_.async_accept([this, closes](std::error_code ec, tcp::socket socket) {
      if (ec) return;
      socket_.emplace(std::move(socket));
      // Answers once the client's request has arrived.
      asio::async_read(*socket_, asio::buffer(request_), asio::transfer_at_least(kRequestBytes),
                       [this, closes](std::error_code failed, size_t) {
                         if (failed) return;
                         asio::write(*socket_, asio::buffer(answer_), failed);
                         if (closes) socket_->shutdown(tcp::socket::shutdown_send, failed);
                       });
    });
  }
  tcp::endpoint Address() const { return acceptor_.local_endpoint(); }

 private:
  // More than the connection preface and the settings of the client.
  static constexpr size_t kRequestBytes = 60;

  tcp::acceptor acceptor_;
  std::optional<tcp::socket> socket_;
  std::string answer_;
  std::array<char, 4096> request_{};
};

struct BrokenPeerAnswer {
  std::string name;
  std::string bytes;
  bool closes = false;  // The connection ends behind it.
};

std::vector<BrokenPeerAnswer> BrokenHeads(const std::string& fields, uint8_t flags) {
  std::vector<BrokenPeerAnswer> answers;
  for (const char* status : {"000", "0200", "20", "2 0"}) {
    answers.push_back({std::string("status ") + status, Head(status, fields, flags)});
  }
  for (const char* name : {"x note", "x-note ", "x-\x01note", "X-Note"}) {
    answers.push_back({std::string("name ") + name, Head("200", fields + Field(name, "v"), flags)});
  }
  for (const char* value : {"\x01v", "v\nw", "v\x7f"}) {
    answers.push_back(
        {std::string("value ") + value, Head("200", fields + Field("x-note", value), flags)});
  }
  return answers;
}

class BrokenPeerAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BrokenPeerAnswerTest);
  CPPUNIT_TEST(Hello_WithABrokenHead_IsRefused);
  CPPUNIT_TEST(Message_CutOff_IsNotDelivered);
  CPPUNIT_TEST(Tunnel_WithABrokenHead_IsNotOpened);
  CPPUNIT_TEST(Tunnel_CutOff_IsBroken);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Hello_WithABrokenHead_IsRefused() {
    const std::string fields =
        Field("cowsliphill-sender", "peer") + Field("cowsliphill-nonce", std::string(32, 'a'));
    CPPUNIT_ASSERT(IsAccepted({"valid", Head("200", fields, kEndStream)}));
    for (const BrokenPeerAnswer& it : BrokenHeads(fields, kEndStream)) {
      CPPUNIT_ASSERT_MESSAGE(it.name, !IsAccepted(it));
    }
  }

  void Message_CutOff_IsNotDelivered() {
    const std::string part = Head("200", "") + Frame(kData, 0, 1, "part");
    for (const BrokenPeerAnswer& it : CutOff(part)) {
      const RawPeer peer(loop_, it.bytes, it.closes);
      const auto connection = Connect(peer);
      connection->SendRequest(Request());
      CPPUNIT_ASSERT_MESSAGE(it.name, RunUntil([this] { return resets_ + closes_ > 0; }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, 0, messages_);
      connection->Close();
    }
  }

  void Tunnel_WithABrokenHead_IsNotOpened() {
    CPPUNIT_ASSERT(IsOpened({"valid", Head("200", "")}));
    for (const BrokenPeerAnswer& it : BrokenHeads("", 0)) {
      CPPUNIT_ASSERT_MESSAGE(it.name, !IsOpened(it));
    }
  }

  void Tunnel_CutOff_IsBroken() {
    const std::string part = Head("200", "") + Frame(kData, 0, 1, "part");
    for (const BrokenPeerAnswer& it : CutOff(part)) {
      const RawPeer peer(loop_, it.bytes, it.closes);
      const auto connection = Connect(peer);
      const auto tunnel = connection->OpenTunnel(Request()).second;
      CPPUNIT_ASSERT_MESSAGE(it.name, RunUntil([&tunnel] { return tunnel->IsBroken(); }));
      std::array<char, 100> buf{};
      CPPUNIT_ASSERT(tunnel->ReadSome(buf.data(), buf.size()) >= 4);
      CPPUNIT_ASSERT_MESSAGE(it.name, !tunnel->AtEnd());
      connection->Close();
    }
  }

 private:
  static std::vector<BrokenPeerAnswer> CutOff(const std::string& part) {
    return {{"no error", part + Frame(kResetStream, 0, 1, std::string(4, '\0'))},
            {"cancelled", part + Frame(kResetStream, 0, 1, std::string("\0\0\0\x08", 4))},
            {"connection closed", part, true},
            {"half a frame", part + Frame(kData, kEndStream, 1, "more").substr(0, 11), true}};
  }
  // Whether a client sends requests to a peer that answers the hello like this.
  bool IsAccepted(const BrokenPeerAnswer& hello) {
    const RawPeer peer(loop_, hello.bytes, hello.closes);
    PeerSettings settings;
    settings.listen = {"127.0.0.1", 0};
    settings.key = "a key that all share";
    PeerNode client(loop_, clock_, EntryVmId("client"), settings);
    bool ended = false;
    client.Request({"127.0.0.1", peer.Address().port()}, MessageKind::kManifestHead, "x",
                   [&ended](const auto&) { ended = true; });
    RunUntil([&] { return ended || client.Stats().requests_out > 0; });
    return client.Stats().requests_out > 0;
  }
  bool IsOpened(const BrokenPeerAnswer& answer) {
    const RawPeer peer(loop_, answer.bytes, answer.closes);
    const auto connection = Connect(peer);
    connection->OpenTunnel(Request());
    RunUntil([this] { return tunnel_status_.has_value() || closes_ > 0; });
    connection->Close();
    return tunnel_status_ == 200;
  }
  static Http2Message Request() {
    Http2Message request;
    request.path = "/peer/1";
    request.version = "1";
    request.body = std::string(100, 'x');
    return request;
  }
  std::shared_ptr<Http2Connection> Connect(const RawPeer& peer) {
    messages_ = resets_ = closes_ = 0;
    tunnel_status_.reset();
    tcp::socket socket(loop_);
    socket.connect(peer.Address());
    auto connection = std::make_shared<Http2Connection>(
        std::move(socket), Http2Connection::Role::kClient, Http2Limits(), traffic_);
    Http2Connection::Events events;
    events.on_message = [this](int32_t, const Http2Message&) { ++messages_; };
    events.on_reset = [this](int32_t) { ++resets_; };
    events.on_tunnel_answer = [this](int32_t, int status) { tunnel_status_ = status; };
    events.on_closed = [this] { ++closes_; };
    connection->Start(std::move(events));
    return connection;
  }
  bool RunUntil(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + kMaxDelivery;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) return false;
      loop_.restart();
      loop_.run_one_for(milliseconds(5));
    }
    return true;
  }

  asio::io_context loop_;
  ManualClock clock_;  // It never moves, so that no timeout ends a request.
  TrafficStats traffic_;
  int messages_ = 0;
  int resets_ = 0;
  int closes_ = 0;
  std::optional<int> tunnel_status_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenPeerAnswerTest);

}  // namespace
}  // namespace cowsliphill
