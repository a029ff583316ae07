// One HTTP/2 connection between two entry VMs: nghttp2's session over an Asio socket. Each message
// is one request or one answer, whole in memory and bounded. Used by peer_client and peer_server;
// knows nothing of kinds, keys or members.

#ifndef COWSLIPHILL_MEMBERS_HTTP2_CONNECTION_H_
#define COWSLIPHILL_MEMBERS_HTTP2_CONNECTION_H_

#include <nghttp2/nghttp2.h>

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cowsliphill {

// A request (path set) or an answer (status set). Other headers are not read.
struct Http2Message {
  std::string path;           // Of a request.
  int status = 0;             // Of an answer.
  std::string version;        // Of the protocol between entry VMs; requests only.
  std::string sender;         // Who speaks; in the first message of each end.
  std::string nonce;          // The same.
  std::string authenticator;  // Over everything else.
  std::string body;
  bool too_large = false;  // The body went beyond the bound and is not whole.
};

struct Http2Limits {
  size_t max_body_bytes = 1 << 20;      // Of one message.
  size_t max_buffered_bytes = 2 << 20;  // Of all unfinished incoming messages together.
  size_t max_header_bytes = 2048;       // Of one message.
  uint32_t max_streams = 32;            // Open at the same time.
};

struct TrafficStats {
  uint64_t bytes_in = 0;   // As read from sockets.
  uint64_t bytes_out = 0;  // As written to sockets.
};

class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
 public:
  enum class Role { kClient, kServer };
  struct Events {
    std::function<void(int32_t stream, const Http2Message& message)> on_message;
    std::function<void(int32_t stream)> on_reset;  // The stream ended without a message.
    std::function<void()> on_closed;               // Not after Close().
  };

  Http2Connection(asio::ip::tcp::socket socket, Role role, const Http2Limits& limits,
                  TrafficStats& traffic);
  ~Http2Connection();
  Http2Connection(const Http2Connection&) = delete;
  Http2Connection& operator=(const Http2Connection&) = delete;

  void Start(Events events);
  // Number of the stream that the next SendRequest will use.
  int32_t NextStream() const;
  // Gives the stream's number, or a negative number when none can be opened any more.
  int32_t SendRequest(const Http2Message& request);
  void SendAnswer(int32_t stream, const Http2Message& answer);
  void Close();
  bool Closed() const { return closed_; }

 private:
  struct Stream {
    Http2Message incoming;
    size_t header_bytes = 0;
    bool delivered = false;
    std::string outgoing;  // Body to send.
    size_t sent = 0;       // Bytes of it already taken by nghttp2.
  };
  struct Arrival {
    int32_t stream = 0;
    bool reset = false;
    Http2Message message;
  };

  void AwaitReadable();
  void Read();
  void Flush();
  void Dispatch();
  void Fail();
  void Arrived(int32_t id, Stream& stream);
  void TakeHeader(Stream& stream, const std::string& name, const std::string& value);
  size_t BufferedBytes() const;
  nghttp2_data_provider BodyOf(int32_t stream, const std::string& body);
  static nghttp2_session* MakeSession(Role role, Http2Connection* connection);

  // Called by nghttp2.
  static int OnBeginHeaders(nghttp2_session* session, const nghttp2_frame* frame, void* user);
  static int OnHeader(nghttp2_session* session, const nghttp2_frame* frame, const uint8_t* name,
                      size_t name_size, const uint8_t* value, size_t value_size, uint8_t flags,
                      void* user);
  static int OnData(nghttp2_session* session, uint8_t flags, int32_t id, const uint8_t* data,
                    size_t size, void* user);
  static int OnFrame(nghttp2_session* session, const nghttp2_frame* frame, void* user);
  static int OnFrameSent(nghttp2_session* session, const nghttp2_frame* frame, void* user);
  static int OnStreamClosed(nghttp2_session* session, int32_t id, uint32_t error, void* user);
  static ssize_t ReadBody(nghttp2_session* session, int32_t id, uint8_t* buf, size_t size,
                          uint32_t* flags, nghttp2_data_source* source, void* user);

  asio::ip::tcp::socket socket_;
  Role role_;
  Http2Limits limits_;
  TrafficStats& traffic_;
  nghttp2_session* session_;
  Events events_;
  std::map<int32_t, Stream> streams_;
  std::vector<Arrival> arrivals_;  // Handed on after nghttp2 has returned.
  std::string writing_;            // Bytes of the write under way.
  bool write_pending_ = false;
  bool dispatching_ = false;
  bool closed_ = false;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_HTTP2_CONNECTION_H_
