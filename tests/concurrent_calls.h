// Sends many requests at once, each on its own connection, and reads the answers on one thread, so
// that the measured times don't depend on how a busy machine schedules threads.

#ifndef COWSLIPHILL_TESTS_CONCURRENT_CALLS_H_
#define COWSLIPHILL_TESTS_CONCURRENT_CALLS_H_

#include <algorithm>
#include <asio.hpp>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/base/ids.h"

namespace cowsliphill {

struct ConcurrentCall {
  int status = 0;      // 0: no answer.
  bool ended = false;  // The connection was closed within the time limit.
  bool whole = false;  // Ended as a complete chunked body does, or has another framing.
  std::chrono::milliseconds took{0};
};

// `requests` must ask for the connection to be closed after the answer.
inline std::vector<ConcurrentCall> SendConcurrently(const Endpoint& to,
                                                    const std::vector<std::string>& requests,
                                                    std::chrono::milliseconds limit) {
  struct Caller {
    explicit Caller(asio::io_context& io) : socket(io), buffer(size_t{64} * 1024) {}
    asio::ip::tcp::socket socket;
    std::vector<char> buffer;
    std::string head;  // First bytes of the answer.
    std::string tail;  // Last bytes of the answer.
  };
  const std::string last_chunk = "0\r\n\r\n";
  asio::io_context io;
  std::vector<ConcurrentCall> calls(requests.size());
  std::vector<std::unique_ptr<Caller>> callers;
  const auto began = std::chrono::steady_clock::now();
  std::function<void(size_t)> read = [&](size_t i) {
    Caller& caller = *callers[i];
    caller.socket.async_read_some(
        asio::buffer(caller.buffer), [&, i](std::error_code ec, size_t n) {
          Caller& it = *callers[i];
          if (!ec) {
            const std::string bytes(it.buffer.data(), n);
            if (it.head.size() < it.buffer.size()) it.head += bytes;
            it.tail += bytes;
            it.tail.erase(0, it.tail.size() - std::min(it.tail.size(), last_chunk.size()));
            return read(i);
          }
          const bool chunked = it.head.find("Transfer-Encoding: chunked") != std::string::npos;
          calls[i].ended = true;
          calls[i].whole = !chunked || it.tail == last_chunk;
          const size_t at = it.head.find(' ');
          if (at != std::string::npos) calls[i].status = std::atoi(it.head.c_str() + at);
          calls[i].took = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::steady_clock::now() - began);
        });
  };
  for (size_t i = 0; i < requests.size(); ++i) {
    callers.push_back(std::make_unique<Caller>(io));
    callers[i]->socket.async_connect(
        {asio::ip::make_address(to.ip), to.port}, [&, i](std::error_code ec) {
          if (ec) return;
          asio::async_write(callers[i]->socket, asio::buffer(requests[i]),
                            [&, i](std::error_code, size_t) { read(i); });
        });
  }
  io.run_for(limit);
  return calls;
}

}  // namespace cowsliphill

#endif  // COWSLIPHILL_TESTS_CONCURRENT_CALLS_H_
