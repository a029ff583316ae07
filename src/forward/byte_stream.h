// The transport below an HttpStream: a TCP connection, or a tunnel through another entry VM
// (src/members/http2_tunnel.h). Both deliver bytes in order, and tell an orderly end from a reset.

#ifndef COWSLIPHILL_FORWARD_BYTE_STREAM_H_
#define COWSLIPHILL_FORWARD_BYTE_STREAM_H_

#include <asio/any_io_executor.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>

#include "src/members/http2_tunnel.h"

namespace cowsliphill {

class ByteStream {
 public:
  using Socket = asio::ip::tcp::socket;
  using Done = std::function<void(std::error_code)>;

  // NOLINTNEXTLINE(google-explicit-constructor): a socket is the usual transport.
  ByteStream(Socket socket) : transport_(std::move(socket)) {}
  ByteStream(std::shared_ptr<Http2Tunnel> tunnel, asio::any_io_executor executor)
      : transport_(Tunnel{std::move(tunnel), std::move(executor)}) {}

  bool IsTunnel() const { return std::holds_alternative<Tunnel>(transport_); }
  asio::any_io_executor Executor();
  // Whether a TCP connection has input that was not read yet.
  bool HasInput();
  // IP address of the other end of a TCP connection; "" if it is unknown.
  std::string RemoteIp();

  // `done` runs once, never inside the call, when ReadSome has something to return.
  void AwaitReadable(Done done);
  // Waits for an error of a TCP connection; a tunnel reports none before it is read.
  void AwaitError(Done done);
  // Returns the number of bytes read. `ec` is would_block if there are none yet, eof after an
  // orderly end.
  size_t ReadSome(char* buf, size_t size, std::error_code& ec);
  // Sends all of `bytes`. They and this object must stay as they are until `done` runs, which is
  // never inside the call.
  void Write(const std::string& bytes, Done done);
  // Tells the other end that no more bytes follow.
  void FinishWriting();
  // Callbacks of a tunnel are not called afterwards; those of a TCP connection get an error.
  void Close();

 private:
  struct Tunnel {
    std::shared_ptr<Http2Tunnel> tunnel;
    asio::any_io_executor executor;
  };

  void WriteToSocket(Socket& socket, std::string_view bytes, Done done);

  std::variant<Socket, Tunnel> transport_;
  // A write has met the reset of a TCP connection. The socket reports an error only once, so that
  // later reads would find what looks like an orderly end.
  bool was_reset_ = false;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_BYTE_STREAM_H_
