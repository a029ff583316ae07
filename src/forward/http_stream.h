// One TCP connection that carries HTTP/1.1 messages, on the loop's thread. Used on both sides: for
// callers (reads requests) and towards backend servers (reads answers). Memory is bounded by one
// read buffer; backpressure comes from reading only on demand.

#ifndef COWSLIPHILL_FORWARD_HTTP_STREAM_H_
#define COWSLIPHILL_FORWARD_HTTP_STREAM_H_

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "src/forward/http_reader.h"

namespace cowsliphill {

inline constexpr size_t kReadBufferBytes = 16384;  // Of a busy connection.

class HttpStream : public std::enable_shared_from_this<HttpStream> {
 public:
  using Socket = asio::ip::tcp::socket;
  using EventCallback = std::function<void(const HttpEvent&)>;  // Never HttpNeedBytes.

  HttpStream(Socket socket, HttpSide side, size_t max_header_bytes, size_t buffer_bytes);

  // Delivers the next event. One Read at a time; not within a Read's own bytes' use: HttpBody's
  // view holds until the next Read.
  void Read(EventCallback done);
  // Sends all bytes. One Write at a time.
  void Write(std::string bytes, std::function<void(bool ok)> done);
  // Tells once when the other side closes while no Read is open; from a backend server also when it
  // sends something unasked. The next Read ends the watch.
  void WatchClose(std::function<void()> closed);
  // Cancels everything open; its callbacks are not run.
  void Close();
  // Closes so that what was written still reaches the other side: stops sending, then discards
  // what comes until the other side closes too or `most` has passed.
  void CloseInOrder(std::chrono::milliseconds most);

  bool IsOpen() const { return open_; }
  bool IsWriting() const { return writing_; }
  bool BetweenMessages() const { return reader_.BetweenMessages(); }
  bool HasUnread() const { return begin_ < end_; }  // Bytes after the last event.
  void ExpectNoBody() { reader_.ExpectNoBody(); }
  Socket& GetSocket() { return socket_; }

 private:
  void ReadSome();
  void DiscardSome();
  void NeedBuffer();
  void Deliver(const HttpEvent& event);

  Socket socket_;
  HttpReader reader_;
  HttpSide side_;                             // Which messages are read.
  size_t buffer_bytes_;                       // Size of the read buffer, in bytes.
  std::unique_ptr<char[]> buffer_;            // Null while idle, to keep idle connections small.
  size_t begin_ = 0;                          // First unread byte of buffer_.
  size_t end_ = 0;                            // One past the last.
  std::string outgoing_;                      // Being written.
  EventCallback on_event_;                    // Of the open Read.
  std::function<void()> on_close_;            // Of the open watch.
  std::optional<asio::steady_timer> linger_;  // Runs during CloseInOrder.
  bool watching_ = false;                     // A wait for readability is open.
  bool writing_ = false;                      // A Write is open.
  bool open_ = true;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_HTTP_STREAM_H_
