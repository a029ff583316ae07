// A caller on one plain TCP connection. It can send requests before earlier ones were answered,
// stop in the middle of a request, and leave by a close or a reset.

#ifndef COWSLIPHILL_TESTS_RAW_CALLER_H_
#define COWSLIPHILL_TESTS_RAW_CALLER_H_

#include <asio.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "src/base/ids.h"
#include "src/forward/http_reader.h"

namespace cowsliphill {

struct RawAnswer {
  HttpHead head;
  std::string body;

  std::string Id() const { return head.Find("X-Request-Id").value_or(""); }
  bool Closes() const { return !head.keep_alive; }
};

class RawCaller {
 public:
  explicit RawCaller(const Endpoint& to) : socket_(io_), buffer_(size_t{64} * 1024) {
    socket_.connect({asio::ip::make_address(to.ip), to.port});
    socket_.non_blocking(true);
  }

  // Returns the number of bytes that were sent within `timeout`; reads answers meanwhile.
  size_t Send(const std::string& bytes, std::chrono::milliseconds timeout = kTimeout) {
    size_t sent = 0;
    RunUntil(
        [&] {
          std::error_code ec;
          sent += socket_.write_some(asio::buffer(bytes.data() + sent, bytes.size() - sent), ec);
          return sent == bytes.size() || (ec && ec != asio::error::would_block);
        },
        timeout);
    return sent;
  }
  // Reads until there are `n` complete answers, the connection ends or `timeout` has passed.
  // Returns the answers since the last call.
  std::vector<RawAnswer> ReadAnswers(size_t n, std::chrono::milliseconds timeout = kTimeout) {
    RunUntil([this, n] { return answers_.size() >= n; }, timeout);
    return std::exchange(answers_, {});
  }
  // Whether the other side closes the connection within `timeout`.
  bool AwaitClose(std::chrono::milliseconds timeout) {
    RunUntil([this] { return ended_; }, timeout);
    return ended_;
  }
  void Close() { socket_.close(); }
  void Reset() {
    socket_.set_option(asio::socket_base::linger(true, 0));
    socket_.close();
  }

 private:
  static constexpr std::chrono::milliseconds kTimeout{5000};
  static constexpr std::chrono::milliseconds kPollInterval{2};  // Of conditions.

  template <typename Condition>
  void RunUntil(Condition condition, std::chrono::milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    if (!reading_ && !ended_) Read();
    while (!ended_ && !condition() && std::chrono::steady_clock::now() < deadline) {
      io_.restart();
      io_.run_one_for(kPollInterval);
    }
  }
  void Read() {
    reading_ = true;
    socket_.async_read_some(asio::buffer(buffer_), [this](std::error_code ec, size_t n) {
      reading_ = false;
      if (ec) {
        ended_ = true;
        return;
      }
      Parse(std::string_view(buffer_.data(), n));
      Read();
    });
  }
  void Parse(std::string_view bytes) {
    while (!bytes.empty()) {
      const HttpReader::Step step = reader_.Read(bytes);
      bytes.remove_prefix(step.consumed);
      if (const auto* head = std::get_if<HttpHead>(&step.event)) current_.head = *head;
      if (const auto* body = std::get_if<HttpBody>(&step.event)) current_.body += body->bytes;
      if (std::holds_alternative<HttpEnd>(step.event)) {
        answers_.push_back(std::exchange(current_, {}));
      }
      if (std::holds_alternative<HttpError>(step.event)) ended_ = true;
      if (ended_) return;
    }
  }

  asio::io_context io_;
  asio::ip::tcp::socket socket_;
  std::vector<char> buffer_;
  HttpReader reader_{HttpMessageType::kResponses, 16384};
  RawAnswer current_;
  std::vector<RawAnswer> answers_;
  bool reading_ = false;
  bool ended_ = false;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_TESTS_RAW_CALLER_H_
