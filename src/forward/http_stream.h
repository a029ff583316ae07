// Connection that carries HTTP/1.1 messages. Runs on the event loop's thread. Used for callers
// (reads requests) and for backend servers (reads responses). Input memory is bounded by one read
// buffer, and reading only on demand gives backpressure.

#ifndef COWSLIPHILL_FORWARD_HTTP_STREAM_H_
#define COWSLIPHILL_FORWARD_HTTP_STREAM_H_

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "src/forward/byte_stream.h"
#include "src/forward/http_reader.h"

namespace cowsliphill {

inline constexpr size_t kReadBufferBytes = 16384;  // Size of a connection's read buffer.

class HttpStream : public std::enable_shared_from_this<HttpStream> {
 public:
  using Socket = ByteStream::Socket;
  using EventCallback = std::function<void(const HttpEvent&)>;  // Never gets HttpNeedBytes.

  HttpStream(ByteStream transport, HttpMessageType type, size_t max_header_bytes,
             size_t buffer_bytes);

  // Delivers the next event. Only one Read may be pending. The view in HttpBody is valid until the
  // next Read, so call Read only after the bytes have been used.
  void Read(EventCallback done);
  // Sends all bytes. Only one Write may be pending.
  void Write(std::string bytes, std::function<void(bool ok)> done);
  // Calls `closed` once if the other side closes while no Read is pending; for a backend server
  // also if it sends unsolicited bytes. Bytes of a caller are kept for the next Read; while the
  // buffer is full of them, only a reset is noticed. The next Read ends the watch.
  void WatchClose(std::function<void()> closed);
  // Closes the connection. Callbacks of pending operations are not called.
  void Close();
  // Closes so that data already written still reaches the other side: shuts down the sending side,
  // then discards input until the other side closes too or `max_wait` has passed.
  void CloseGracefully(std::chrono::milliseconds max_wait);

  bool IsOpen() const { return open_; }
  bool IsWriting() const { return writing_; }
  bool IsReading() const { return on_event_ != nullptr; }  // A Read is pending.
  bool BetweenMessages() const { return reader_.BetweenMessages(); }
  bool HasUnread() const { return begin_ < end_; }  // Input is buffered after the last event.
  void ExpectNoBody() { reader_.ExpectNoBody(); }
  ByteStream& Transport() { return transport_; }

 private:
  void ReadSome();
  void Watch();
  void OnWatchedInput(std::error_code ec);
  void DiscardSome();
  void EnsureBuffer();
  void Deliver(const HttpEvent& event);

  ByteStream transport_;
  HttpReader reader_;
  HttpMessageType message_type_;  // Kind of messages that reader_ parses.
  size_t buffer_bytes_;           // Size of the read buffer, in bytes.
  // Released while waiting for the next message, so that idle connections use little memory.
  std::unique_ptr<char[]> buffer_;
  size_t begin_ = 0;                          // Index of the first unread byte in buffer_.
  size_t end_ = 0;                            // Index after the last unread byte in buffer_.
  std::string outgoing_;                      // Bytes of the pending Write.
  EventCallback on_event_;                    // Callback of the pending Read, or null.
  std::function<void()> on_close_;            // Callback of the active WatchClose, or null.
  std::optional<asio::steady_timer> linger_;  // Limits the wait in CloseGracefully.
  bool watching_ = false;                     // WatchClose waits for the socket.
  bool writing_ = false;                      // A Write is pending.
  bool open_ = true;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_HTTP_STREAM_H_
