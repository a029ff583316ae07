// An HTTP/2 connection between two entry VMs: an nghttp2 session over an Asio socket. Each message
// is one request or one response, held whole in memory and bounded in size. A request with method
// CONNECT opens a tunnel (http2_tunnel.h), whose bytes are not messages. peer_client and
// peer_server use it and interpret the messages; this layer knows no message kinds, keys or
// members.

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

#include "src/members/http2_tunnel.h"

namespace cowsliphill {

// A request (path set) or a response (status set). Headers other than these fields are ignored.
struct Http2Message {
  std::string path;           // Requests only; empty for CONNECT.
  int status = 0;             // Responses only.
  std::string version;        // Peer protocol version; requests only.
  std::string sender;         // Id of the sending entry VM; only in the hello and its response.
  std::string nonce;          // Only in the hello and its response.
  std::string authenticator;  // See peer_auth.h; absent in the hello, its response and refusals.
  std::string tunnel_to;      // CONNECT only: where the tunnel leads to; see peer_wire.h.
  std::string request;        // CONNECT only: id of the request that the tunnel is for, for logs.
  std::string body;
  bool too_large = false;  // The body exceeded a limit and is incomplete.
};

struct Http2Limits {
  size_t max_body_bytes = 1 << 20;      // Maximum size of a message body.
  size_t max_buffered_bytes = 2 << 20;  // Maximum for all incomplete incoming messages together.
  size_t max_header_bytes = 2048;       // Maximum size of a message's headers.
  uint32_t max_streams = 32;            // Maximum number of concurrently open streams.
};

struct TrafficStats {
  uint64_t bytes_in = 0;   // Bytes read from sockets.
  uint64_t bytes_out = 0;  // Bytes written to sockets.
};

class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
 public:
  enum class Role { kClient, kServer };
  struct Events {
    std::function<void(int32_t stream, const Http2Message& message)> on_message;
    // Server: a request to open a tunnel. It must be answered by AcceptTunnel or SendResponse.
    std::function<void(int32_t stream, const Http2Message& request)> on_tunnel_request;
    // Client: the answer to OpenTunnel. Only status 200 opens the tunnel.
    // Status 0: the stream was closed instead.
    std::function<void(int32_t stream, int status)> on_tunnel_answer;
    std::function<void(int32_t stream)> on_reset;  // The stream closed without a whole message.
    std::function<void()> on_closed;               // The connection ended other than by Close().
  };

  Http2Connection(asio::ip::tcp::socket socket, Role role, const Http2Limits& limits,
                  TrafficStats& traffic);
  ~Http2Connection();
  Http2Connection(const Http2Connection&) = delete;
  Http2Connection& operator=(const Http2Connection&) = delete;

  void Start(Events events);
  // Number of the stream that the next SendRequest will use.
  int32_t NextStream() const;
  // Returns the stream number, or a negative number if no further stream can be opened.
  int32_t SendRequest(const Http2Message& request);
  void SendResponse(int32_t stream, const Http2Message& response);
  // Client: asks for a tunnel. Returns it with the number of its stream, or null if no further
  // stream can be opened. Bytes may be written before the answer.
  std::pair<int32_t, std::shared_ptr<Http2Tunnel>> OpenTunnel(const Http2Message& request);
  // Server: opens the tunnel that was asked for. Returns null if the stream is gone. A tunnel is
  // refused by SendResponse with a status other than 200.
  std::shared_ptr<Http2Tunnel> AcceptTunnel(int32_t stream);
  size_t OpenTunnels() const { return tunnels_.size(); }  // Including those without an answer.
  void Close();
  bool Closed() const { return closed_; }

 private:
  friend class Http2Tunnel;

  struct Stream {
    Http2Message incoming;
    size_t header_bytes = 0;
    bool delivered = false;
    bool is_connect = false;  // A request to open a tunnel.
    std::string outgoing;     // Body to send.
    size_t sent = 0;          // Bytes of `outgoing` that nghttp2 has taken.
  };
  struct StreamEvent {
    enum class Kind { kMessage, kReset, kTunnelRequest, kTunnelAnswer };
    int32_t stream = 0;
    Kind kind = Kind::kMessage;
    Http2Message message;
  };

  void AwaitReadable();
  void Read();
  void Flush();
  void Dispatch();
  void Fail();
  void QueueMessage(int32_t id, Stream& stream);
  void SetMessageField(Stream& stream, const std::string& name, const std::string& value);
  size_t BufferedBytes() const;
  // Calls of Http2Tunnel.
  void OnTunnelRead(int32_t stream, size_t bytes);
  void ResumeTunnel(int32_t stream);
  void ResetTunnel(int32_t stream);
  std::shared_ptr<Http2Tunnel> AddTunnel(int32_t stream);
  void BreakTunnels();
  nghttp2_data_provider SetOutgoingBody(int32_t stream, const std::string& body);
  static nghttp2_session* MakeSession(Role role, Http2Connection* connection);

  // Callbacks of nghttp2.
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
  static ssize_t ReadTunnel(nghttp2_session* session, int32_t id, uint8_t* buf, size_t size,
                            uint32_t* flags, nghttp2_data_source* source, void* user);

  asio::ip::tcp::socket socket_;
  Role role_;
  Http2Limits limits_;
  TrafficStats& traffic_;
  nghttp2_session* session_;
  Events events_;
  std::map<int32_t, Stream> streams_;
  std::map<int32_t, std::shared_ptr<Http2Tunnel>> tunnels_;
  std::vector<StreamEvent> pending_events_;  // Passed to events_ once nghttp2 has returned.
  std::string write_buffer_;                 // Bytes of the pending write.
  bool write_pending_ = false;
  bool dispatching_ = false;
  bool closed_ = false;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_HTTP2_CONNECTION_H_
