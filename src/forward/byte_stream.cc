#include "src/forward/byte_stream.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <utility>

namespace cowsliphill {

asio::any_io_executor ByteStream::Executor() {
  if (auto* socket = std::get_if<Socket>(&transport_)) return socket->get_executor();
  return std::get<Tunnel>(transport_).executor;
}

bool ByteStream::HasInput() {
  std::error_code ignored;
  if (auto* socket = std::get_if<Socket>(&transport_)) return socket->available(ignored) > 0;
  return std::get<Tunnel>(transport_).tunnel->HasInput();
}

std::string ByteStream::RemoteIp() {
  auto* socket = std::get_if<Socket>(&transport_);
  if (socket == nullptr) return "";
  std::error_code ec;
  const auto remote = socket->remote_endpoint(ec);
  return ec ? "" : remote.address().to_string();
}

void ByteStream::AwaitReadable(Done done) {
  if (auto* socket = std::get_if<Socket>(&transport_)) {
    return socket->async_wait(Socket::wait_read, std::move(done));
  }
  std::get<Tunnel>(transport_).tunnel->AwaitReadable([done = std::move(done)] { done({}); });
}

void ByteStream::AwaitError(Done done) {
  if (auto* socket = std::get_if<Socket>(&transport_)) {
    socket->async_wait(Socket::wait_error, std::move(done));
  }
}

size_t ByteStream::ReadSome(char* buf, size_t size, std::error_code& ec) {
  if (auto* socket = std::get_if<Socket>(&transport_)) {
    const size_t n = socket->read_some(asio::buffer(buf, size), ec);
    if (ec == asio::error::eof && was_reset_) ec = asio::error::connection_reset;
    return n;
  }
  Http2Tunnel& tunnel = *std::get<Tunnel>(transport_).tunnel;
  const size_t n = tunnel.ReadSome(buf, size);
  ec.clear();
  if (n > 0) return n;
  if (tunnel.AtEnd()) {
    ec = asio::error::eof;
  } else {
    ec = tunnel.IsBroken() ? asio::error::connection_reset : asio::error::would_block;
  }
  return 0;
}

void ByteStream::Write(const std::string& bytes, Done done) {
  if (auto* socket = std::get_if<Socket>(&transport_)) {
    return WriteToSocket(*socket, bytes, std::move(done));
  }
  std::get<Tunnel>(transport_).tunnel->Write(bytes, [done = std::move(done)](bool ok) {
    done(ok ? std::error_code() : make_error_code(asio::error::connection_reset));
  });
}

// Not asio::async_write: it would deliver the error of a reset after reads that no longer see it.
void ByteStream::WriteToSocket(Socket& socket, std::string_view bytes, Done done) {
  std::error_code ec;
  while (!bytes.empty() && !ec) {
    bytes.remove_prefix(socket.write_some(asio::buffer(bytes), ec));
  }
  if (ec == asio::error::would_block || ec == asio::error::try_again) {
    return socket.async_wait(Socket::wait_write, [this, &socket, bytes, done = std::move(done)](
                                                     std::error_code failed) mutable {
      if (failed) return done(failed);
      WriteToSocket(socket, bytes, std::move(done));
    });
  }
  // If FIN came before the reset, the error is EPIPE and the end was orderly.
  if (ec && ec != asio::error::broken_pipe) was_reset_ = true;
  asio::post(socket.get_executor(), [done = std::move(done), ec] { done(ec); });
}

void ByteStream::FinishWriting() {
  std::error_code ignored;
  if (auto* socket = std::get_if<Socket>(&transport_)) {
    socket->shutdown(Socket::shutdown_send, ignored);
  } else {
    std::get<Tunnel>(transport_).tunnel->FinishWriting();
  }
}

void ByteStream::Close() {
  std::error_code ignored;
  if (auto* socket = std::get_if<Socket>(&transport_)) {
    socket->close(ignored);
  } else {
    std::get<Tunnel>(transport_).tunnel->Reset();
  }
}

}  // namespace cowsliphill
