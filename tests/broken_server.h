// A server that answers the head of each request at once, without reading the request's body, and
// then ends the connection as told. Runs on a thread of its own.

#ifndef COWSLIPHILL_TESTS_BROKEN_SERVER_H_
#define COWSLIPHILL_TESTS_BROKEN_SERVER_H_

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "src/base/ids.h"
#include "tests/broken_answers.h"

namespace cowsliphill {

class BrokenServer {
 public:
  using Answer = std::function<WireAnswer(const std::string& request_id)>;

  // Time from an answer to the end of its connection, and from FIN to RST.
  static constexpr std::chrono::milliseconds kEndDelay{100};

  explicit BrokenServer(Answer answer)
      : answer_(std::move(answer)), acceptor_(io_, asio::ip::tcp::v4()) {
    // Accepted connections inherit the small buffer, so that uploads soon have to wait.
    acceptor_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    acceptor_.bind({asio::ip::make_address("127.0.0.1"), 0});
    acceptor_.listen();
    Accept();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~BrokenServer() {
    io_.stop();
    thread_.join();
  }
  BrokenServer(const BrokenServer&) = delete;
  BrokenServer& operator=(const BrokenServer&) = delete;

  Endpoint Address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

 private:
  static constexpr int kReceiveBufferBytes = 16384;
  // Time for which a connection stays open after FIN.
  static constexpr std::chrono::milliseconds kKeepTime{5000};

  struct Connection {
    explicit Connection(asio::ip::tcp::socket accepted)
        : socket(std::move(accepted)), timer(socket.get_executor()) {}
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    asio::streambuf input;
    WireAnswer answer;
  };

  void Accept() {
    acceptor_.async_accept([this](std::error_code ec, asio::ip::tcp::socket socket) {
      if (ec) return;
      ReadHead(std::make_shared<Connection>(std::move(socket)));
      Accept();
    });
  }
  void ReadHead(const std::shared_ptr<Connection>& it) {
    asio::async_read_until(
        it->socket, it->input, "\r\n\r\n", [this, it](std::error_code ec, size_t n) {
          if (ec) return;
          const auto data = it->input.data();
          const std::string head(asio::buffers_begin(data),
                                 asio::buffers_begin(data) + static_cast<std::ptrdiff_t>(n));
          it->input.consume(n);
          it->answer = answer_(RequestId(head));
          After(it->answer.delay, it, [this, it] { Write(it); });
        });
  }
  void Write(const std::shared_ptr<Connection>& it) {
    asio::async_write(it->socket, asio::buffer(it->answer.bytes),
                      [this, it](std::error_code failed, size_t) {
                        if (!failed) OnWritten(it);
                      });
  }
  void OnWritten(const std::shared_ptr<Connection>& it) {
    if (it->answer.end == AnswerEnd::kNone) return ReadHead(it);
    After(kEndDelay, it, [this, it] {
      if (it->answer.end == AnswerEnd::kReset) return Reset(*it);
      std::error_code ignored;
      it->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      if (it->answer.end == AnswerEnd::kFinish) return After(kKeepTime, it, [] {});
      After(kEndDelay, it, [it] { Reset(*it); });
    });
  }
  static void Reset(Connection& it) {
    std::error_code ignored;
    it.socket.set_option(asio::socket_base::linger(true, 0), ignored);
    it.socket.close(ignored);
  }
  static void After(std::chrono::milliseconds delay, const std::shared_ptr<Connection>& it,
                    std::function<void()> action) {
    it->timer.expires_after(delay);
    it->timer.async_wait([it, action = std::move(action)](std::error_code) { action(); });
  }
  // Returns "" for a request without an id, such as a status check.
  static std::string RequestId(const std::string& head) {
    constexpr std::string_view name = "\r\nX-Request-Id: ";
    const size_t at = head.find(name);
    if (at == std::string::npos) return "";
    const size_t begin = at + name.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }

  Answer answer_;
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_TESTS_BROKEN_SERVER_H_
