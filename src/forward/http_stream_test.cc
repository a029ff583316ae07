#include "src/forward/http_stream.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <asio.hpp>
#include <optional>
#include <string>
#include <thread>

namespace cowsliphill {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr size_t kLongWrite = 8000000;  // More than a socket holds.
constexpr milliseconds kDelivery{20};   // Until bytes have passed the loopback interface.

class HttpStreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpStreamTest);
  CPPUNIT_TEST(Response_ResetBeforeAWrite_IsTruncated);
  CPPUNIT_TEST(Response_FinishedAndThenResetBeforeAWrite_IsComplete);
  CPPUNIT_TEST(Write_MoreThanTheSocketHolds_ArrivesWhole);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    tcp::acceptor acceptor(io_, {asio::ip::make_address("127.0.0.1"), 0});
    tcp::socket socket(io_);
    socket.connect(acceptor.local_endpoint());
    socket.non_blocking(true);
    peer_.emplace(acceptor.accept());
    stream_ = std::make_shared<HttpStream>(ByteStream(std::move(socket)),
                                           HttpMessageType::kResponses, 1000, kReadBufferBytes);
    ReadPartOfAResponse();
  }
  void tearDown() override {
    stream_->Close();
    Run();
    stream_.reset();
    peer_.reset();
  }

  // Regression: the write took the error from the socket, and the read took the end that it then
  // found for an orderly one.
  void Response_ResetBeforeAWrite_IsTruncated() {
    Reset();
    WriteFails();
    const HttpEvent event = Read();
    CPPUNIT_ASSERT(std::holds_alternative<HttpError>(event));
    CPPUNIT_ASSERT(std::get<HttpError>(event).kind == HttpErrorKind::kTruncated);
  }
  void Response_FinishedAndThenResetBeforeAWrite_IsComplete() {
    peer_->shutdown(tcp::socket::shutdown_send);
    Reset();
    for (int n = 0; n < 2; ++n) WriteFails();
    CPPUNIT_ASSERT(std::holds_alternative<HttpEnd>(Read()));
  }
  void Write_MoreThanTheSocketHolds_ArrivesWhole() {
    const std::string bytes(kLongWrite, 'x');
    bool written = false;
    stream_->Write(bytes, [&written](bool ok) { written = ok; });
    std::string received;
    peer_->non_blocking(true);
    while (received.size() < bytes.size()) {
      Run();
      std::array<char, 65536> buf;
      std::error_code ec;
      received.append(buf.data(), peer_->read_some(asio::buffer(buf), ec));
      CPPUNIT_ASSERT(!ec || ec == asio::error::would_block);
    }
    Run();
    CPPUNIT_ASSERT(written);
    CPPUNIT_ASSERT(received == bytes);
  }

 private:
  void ReadPartOfAResponse() {
    asio::write(*peer_, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\npart")));
    CPPUNIT_ASSERT(std::holds_alternative<HttpHead>(Read()));
    CPPUNIT_ASSERT(std::holds_alternative<HttpBody>(Read()));
  }
  void Reset() {
    peer_->set_option(asio::socket_base::linger(true, 0));
    peer_->close();
    std::this_thread::sleep_for(kDelivery);
  }
  void WriteFails() {
    bool failed = false;
    stream_->Write("upload", [&failed](bool ok) { failed = !ok; });
    Run();
    CPPUNIT_ASSERT(failed);
  }
  HttpEvent Read() {
    std::optional<HttpEvent> event;
    stream_->Read([&event](const HttpEvent& it) { event = it; });
    for (int n = 0; n < 100 && !event; ++n) Run();
    CPPUNIT_ASSERT(event.has_value());
    return *event;
  }
  void Run() {
    io_.restart();
    io_.run_for(milliseconds(5));
  }

  asio::io_context io_;
  std::optional<tcp::socket> peer_;
  std::shared_ptr<HttpStream> stream_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpStreamTest);

}  // namespace
}  // namespace cowsliphill
