#include "src/forward/attempt.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio.hpp>
#include <memory>
#include <string>
#include <vector>

namespace cowsliphill {
namespace {

using std::chrono::milliseconds;

// A server that sends each answer a second time, just before the answer to the next request on the
// same connection.
class RepeatingServer {
 public:
  // `names_request`: the answers carry the request's id.
  RepeatingServer(asio::io_context& io, bool names_request)
      : acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}), names_request_(names_request) {
    Accept();
  }
  Endpoint Address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  size_t Requests() const { return requests_; }
  size_t Connections() const { return connections_; }

 private:
  struct Connection {
    explicit Connection(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}
    asio::ip::tcp::socket socket;
    asio::streambuf input;
    std::string last_answer;
  };

  void Accept() {
    acceptor_.async_accept([this](std::error_code ec, asio::ip::tcp::socket socket) {
      if (ec) return;
      ++connections_;
      Read(std::make_shared<Connection>(std::move(socket)));
      Accept();
    });
  }
  void Read(const std::shared_ptr<Connection>& it) {
    asio::async_read_until(it->socket, it->input, "\r\n\r\n",
                           [this, it](std::error_code ec, size_t n) {
                             if (ec) return;
                             it->input.consume(n);
                             Answer(it);
                           });
  }
  void Answer(const std::shared_ptr<Connection>& it) {
    const std::string id = "r" + std::to_string(++requests_);
    const std::string answer =
        "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: 2\r\n" +
        (names_request_ ? "X-Request-Id: " + id + "\r\n" : "") + "\r\n" + id;
    asio::write(it->socket, asio::buffer(it->last_answer + answer));
    it->last_answer = answer;
    Read(it);
  }

  asio::ip::tcp::acceptor acceptor_;
  bool names_request_;
  size_t requests_ = 0;
  size_t connections_ = 0;
};

class AttemptTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttemptTest);
  CPPUNIT_TEST(Answer_AfterALateSecondCopyOfTheOneBefore_IsItsOwn);
  CPPUNIT_TEST(Answer_AfterALateSecondCopyThatNamesNoRequest_IsItsOwn);
  CPPUNIT_TEST(Request_ThatMustNotBeSentOnceConnected_IsNotSent);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Answer_AfterALateSecondCopyOfTheOneBefore_IsItsOwn() {
    RepeatingServer server(io_, true);
    AssertOwnAnswers(server);
    CPPUNIT_ASSERT(server.Connections() < server.Requests());  // The connection was used again.
  }
  // A copy can't be told from the next answer, so there must be no next request on the connection.
  void Answer_AfterALateSecondCopyThatNamesNoRequest_IsItsOwn() {
    RepeatingServer server(io_, false);
    AssertOwnAnswers(server);
  }
  // Regression: the request was formatted, with the time that it had left, before the connection
  // was made. A process that was paused in between sent it when its time was over.
  void Request_ThatMustNotBeSentOnceConnected_IsNotSent() {
    RepeatingServer server(io_, true);
    SendTo target;
    target.endpoint = server.Address();
    const auto attempt = std::make_shared<Attempt>(pool_, clock_, target, RequestClass::kRoutine);
    std::optional<AttemptEnd> end;
    Attempt::Events events;
    events.on_failed = [&end](AttemptEnd it, const std::string&) { end = it; };
    attempt->Start([] { return std::string(); }, ConnectionReuse::kAllowed, false,
                   std::move(events));
    while (!end) io_.run_one_for(milliseconds(1000));
    io_.run_for(milliseconds(20));
    CPPUNIT_ASSERT(*end == AttemptEnd::kCancelled);
    CPPUNIT_ASSERT(!attempt->HasSentBytes());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, server.Requests());
    // Its connection serves the next request.
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), BodyOfAnswer(server.Address(), "r1"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, server.Connections());
  }

 private:
  void AssertOwnAnswers(const RepeatingServer& server) {
    for (int n = 1; n <= 4; ++n) {
      const std::string id = "r" + std::to_string(n);
      CPPUNIT_ASSERT_EQUAL(id, BodyOfAnswer(server.Address(), id));
    }
  }

  // Sends a request in the project's own format and returns the body of the answer.
  std::string BodyOfAnswer(const Endpoint& server, const std::string& id) {
    SendTo target;
    target.endpoint = server;
    const auto attempt = std::make_shared<Attempt>(pool_, clock_, target, RequestClass::kRoutine);
    std::string body;
    bool ended = false;
    Attempt::Events events;
    events.match = [this, id](const HttpHead& head) {
      return wire_.match_response(head, RequestId(id));
    };
    events.on_failed = [&ended](AttemptEnd, const std::string&) { ended = true; };
    events.on_response = [&](const HttpEvent& event) {
      if (const auto* part = std::get_if<HttpBody>(&event)) body += part->bytes;
      ended = std::holds_alternative<HttpEnd>(event) || std::holds_alternative<HttpError>(event);
      ended ? attempt->Close() : attempt->ReadNext();
    };
    const auto make_request = [id] { return "GET / HTTP/1.1\r\nX-Request-Id: " + id + "\r\n\r\n"; };
    attempt->Start(make_request, ConnectionReuse::kAllowed, false, std::move(events));
    while (!ended) io_.run_one_for(milliseconds(1000));
    return body;
  }

  asio::io_context io_;
  SystemClock clock_;
  BackendPool pool_{io_, clock_, BackendSettings(), 16384, kReadBufferBytes};
  WireFormat wire_ = OwnWireFormat();
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptTest);

}  // namespace
}  // namespace cowsliphill
