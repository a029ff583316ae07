#include "src/members/http2_connection.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <string_view>
#include <system_error>

namespace cowsliphill {
namespace {

constexpr size_t kReadBufferBytes = 16384;  // Maximum read per readable event of a connection.
constexpr size_t kMaxWriteBytes = 65536;    // A write stops gathering frames at this size.

constexpr std::string_view kSender = "cowsliphill-sender";
constexpr std::string_view kVersion = "cowsliphill-version";
constexpr std::string_view kNonce = "cowsliphill-nonce";
constexpr std::string_view kAuthenticator = "cowsliphill-authenticator";
constexpr std::string_view kTunnelTo = "cowsliphill-tunnel-to";
constexpr std::string_view kRequest = "cowsliphill-request";
constexpr std::string_view kConnect = "CONNECT";

// Headers for nghttp2. It keeps pointers only: the strings must live until the submit call returns.
class HeaderList {
 public:
  void Add(std::string_view name, std::string_view value, uint8_t flags = NGHTTP2_NV_FLAG_NONE) {
    if (value.empty()) return;
    headers_.push_back({reinterpret_cast<uint8_t*>(const_cast<char*>(name.data())),
                        reinterpret_cast<uint8_t*>(const_cast<char*>(value.data())), name.size(),
                        value.size(), flags});
  }
  // Adds the headers that requests and responses have in common.
  void AddCommon(const Http2Message& message) {
    Add(kVersion, message.version);
    Add(kSender, message.sender);
    Add(kNonce, message.nonce, NGHTTP2_NV_FLAG_NO_INDEX);
    Add(kTunnelTo, message.tunnel_to, NGHTTP2_NV_FLAG_NO_INDEX);
    Add(kRequest, message.request, NGHTTP2_NV_FLAG_NO_INDEX);
    Add(kAuthenticator, message.authenticator, NGHTTP2_NV_FLAG_NO_INDEX);
  }
  const nghttp2_nv* Data() const { return headers_.data(); }
  size_t Size() const { return headers_.size(); }

 private:
  std::vector<nghttp2_nv> headers_;
};

}  // namespace

Http2Connection::Http2Connection(asio::ip::tcp::socket socket, Role role, const Http2Limits& limits,
                                 TrafficStats& traffic)
    : socket_(std::move(socket)),
      role_(role),
      limits_(limits),
      traffic_(traffic),
      session_(MakeSession(role, this)) {}

Http2Connection::~Http2Connection() { nghttp2_session_del(session_); }

nghttp2_session* Http2Connection::MakeSession(Role role, Http2Connection* connection) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, &OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &OnFrame);
  nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, &OnFrameSent);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &OnStreamClosed);
  // A tunnel whose bytes are not read must not hold back the others, so the bytes of the connection
  // count as read on arrival, and those of a tunnel when they are read.
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, 1);
  nghttp2_session* session = nullptr;
  if (role == Role::kClient) {
    nghttp2_session_client_new2(&session, callbacks, connection, option);
  } else {
    nghttp2_session_server_new2(&session, callbacks, connection, option);
  }
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  return session;
}

void Http2Connection::Start(Events events) {
  events_ = std::move(events);
  std::error_code ec;
  socket_.set_option(asio::ip::tcp::no_delay(true), ec);
  socket_.non_blocking(true, ec);
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits_.max_streams},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  };
  // A server must not send ENABLE_PUSH.
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings, role_ == Role::kClient ? 2 : 1);
  AwaitReadable();
  Flush();
}

int32_t Http2Connection::NextStream() const {
  return static_cast<int32_t>(nghttp2_session_get_next_stream_id(session_));
}

int32_t Http2Connection::SendRequest(const Http2Message& request) {
  HeaderList headers;
  headers.Add(":method", "POST");
  headers.Add(":scheme", "http");
  headers.Add(":authority", "peer");
  headers.Add(":path", request.path);
  headers.AddCommon(request);
  const int32_t next = NextStream();
  const nghttp2_data_provider body = SetOutgoingBody(next, request.body);
  const int32_t id = nghttp2_submit_request(session_, nullptr, headers.Data(), headers.Size(),
                                            request.body.empty() ? nullptr : &body, nullptr);
  if (id != next) streams_.erase(next);
  Flush();
  return id;
}

void Http2Connection::SendResponse(int32_t stream, const Http2Message& response) {
  if (closed_ || !streams_.contains(stream)) return;
  tunnels_.erase(stream);
  const std::string status = std::to_string(response.status);
  HeaderList headers;
  headers.Add(":status", status);
  headers.AddCommon(response);
  const nghttp2_data_provider body = SetOutgoingBody(stream, response.body);
  nghttp2_submit_response(session_, stream, headers.Data(), headers.Size(),
                          response.body.empty() ? nullptr : &body);
  Flush();
}

// ---- Tunnels -----------------------------------------------------------------------------------

std::shared_ptr<Http2Tunnel> Http2Connection::AddTunnel(int32_t stream) {
  auto tunnel = std::make_shared<Http2Tunnel>(weak_from_this(), stream, socket_.get_executor());
  tunnels_[stream] = tunnel;
  return tunnel;
}

std::pair<int32_t, std::shared_ptr<Http2Tunnel>> Http2Connection::OpenTunnel(
    const Http2Message& request) {
  HeaderList headers;
  headers.Add(":method", kConnect);
  headers.Add(":authority", "peer");
  headers.AddCommon(request);
  const int32_t next = NextStream();
  std::shared_ptr<Http2Tunnel> tunnel = AddTunnel(next);
  nghttp2_data_provider provider{};
  provider.read_callback = &ReadTunnel;
  const int32_t id =
      nghttp2_submit_request(session_, nullptr, headers.Data(), headers.Size(), &provider, nullptr);
  if (id != next) {
    tunnels_.erase(next);
    tunnel->OnBroken();
    return {id, nullptr};
  }
  streams_[id];
  Flush();
  return {id, std::move(tunnel)};
}

std::shared_ptr<Http2Tunnel> Http2Connection::AcceptTunnel(int32_t stream) {
  const auto it = tunnels_.find(stream);
  if (closed_ || it == tunnels_.end()) return nullptr;
  HeaderList headers;
  headers.Add(":status", "200");
  nghttp2_data_provider provider{};
  provider.read_callback = &ReadTunnel;
  nghttp2_submit_response(session_, stream, headers.Data(), headers.Size(), &provider);
  std::shared_ptr<Http2Tunnel> tunnel = it->second;
  Flush();
  return tunnel;
}

void Http2Connection::OnTunnelRead(int32_t stream, size_t bytes) {
  if (closed_) return;
  nghttp2_session_consume_stream(session_, stream, bytes);
  Flush();
}

void Http2Connection::ResumeTunnel(int32_t stream) {
  if (closed_) return;
  nghttp2_session_resume_data(session_, stream);
  Flush();
}

void Http2Connection::ResetTunnel(int32_t stream) {
  if (closed_ || tunnels_.erase(stream) == 0) return;
  streams_[stream].delivered = true;  // No event for the end of the stream.
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
  Flush();
}

void Http2Connection::BreakTunnels() {
  for (const auto& [stream, tunnel] : std::exchange(tunnels_, {})) tunnel->OnBroken();
}

nghttp2_data_provider Http2Connection::SetOutgoingBody(int32_t stream, const std::string& body) {
  streams_[stream].outgoing = body;
  nghttp2_data_provider provider{};
  provider.read_callback = &ReadBody;
  return provider;
}

void Http2Connection::Close() {
  if (closed_) return;
  closed_ = true;
  BreakTunnels();
  if (!dispatching_) events_ = Events();  // While dispatching, one of the callbacks is running.
  std::error_code ec;
  socket_.close(ec);
}

// Closes the connection after an error or at the end of the session, and notifies the owner once.
void Http2Connection::Fail() {
  if (closed_) return;
  const auto on_closed = std::move(events_.on_closed);
  Close();
  if (on_closed) on_closed();
}

void Http2Connection::AwaitReadable() {
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](std::error_code ec) {
                       if (self->closed_) return;
                       if (ec) return self->Fail();
                       self->Read();
                     });
}

// The buffer is on the stack and not a member, because most connections are idle at any time.
void Http2Connection::Read() {
  std::array<uint8_t, kReadBufferBytes> buf;
  std::error_code ec;
  const size_t n = socket_.read_some(asio::buffer(buf), ec);
  if (ec == asio::error::would_block) return AwaitReadable();
  if (ec) return Fail();
  traffic_.bytes_in += n;
  if (nghttp2_session_mem_recv(session_, buf.data(), n) < 0) return Fail();
  Dispatch();
  if (closed_) return;
  Flush();
  if (!closed_) AwaitReadable();
}

void Http2Connection::Dispatch() {
  const auto keep_alive = shared_from_this();
  std::vector<StreamEvent> events = std::exchange(pending_events_, {});
  dispatching_ = true;
  for (StreamEvent& event : events) {
    if (closed_) break;
    switch (event.kind) {
      case StreamEvent::Kind::kMessage:
        events_.on_message(event.stream, event.message);
        break;
      case StreamEvent::Kind::kReset:
        events_.on_reset(event.stream);
        break;
      case StreamEvent::Kind::kTunnelRequest:
        if (events_.on_tunnel_request) events_.on_tunnel_request(event.stream, event.message);
        break;
      case StreamEvent::Kind::kTunnelAnswer:
        if (events_.on_tunnel_answer) events_.on_tunnel_answer(event.stream, event.message.status);
        break;
    }
  }
  dispatching_ = false;
  if (closed_) events_ = Events();
}

void Http2Connection::Flush() {
  if (closed_ || write_pending_ || dispatching_) return;
  write_buffer_.clear();
  while (write_buffer_.size() < kMaxWriteBytes) {
    const uint8_t* data = nullptr;
    const ssize_t n = nghttp2_session_mem_send(session_, &data);
    if (n < 0) return Fail();
    if (n == 0) break;
    write_buffer_.append(reinterpret_cast<const char*>(data), static_cast<size_t>(n));
  }
  if (write_buffer_.empty()) {
    const bool session_ended = nghttp2_session_want_read(session_) == 0;
    if (session_ended) Fail();
    return;
  }
  write_pending_ = true;
  traffic_.bytes_out += write_buffer_.size();
  asio::async_write(socket_, asio::buffer(write_buffer_),
                    [self = shared_from_this()](std::error_code ec, size_t) {
                      self->write_pending_ = false;
                      if (self->closed_) return;
                      if (ec) return self->Fail();
                      self->Flush();
                    });
}

size_t Http2Connection::BufferedBytes() const {
  size_t total = 0;
  for (const auto& [id, stream] : streams_) total += stream.incoming.body.size();
  return total;
}

void Http2Connection::QueueMessage(int32_t id, Stream& stream) {
  if (stream.delivered) return;
  stream.delivered = true;
  pending_events_.push_back({id, StreamEvent::Kind::kMessage, std::move(stream.incoming)});
  stream.incoming = Http2Message();
  stream.incoming.too_large = pending_events_.back().message.too_large;
}

void Http2Connection::SetMessageField(Stream& stream, const std::string& name,
                                      const std::string& value) {
  Http2Message& message = stream.incoming;
  if (name == ":path") message.path = value;
  if (name == kVersion) message.version = value;
  if (name == kSender) message.sender = value;
  if (name == kNonce) message.nonce = value;
  if (name == kAuthenticator) message.authenticator = value;
  if (name == kTunnelTo) message.tunnel_to = value;
  if (name == kRequest) message.request = value;
  if (name == ":method") stream.is_connect = value == kConnect;
  if (name == ":status") {
    std::from_chars(value.data(), value.data() + value.size(), message.status);
  }
}

// --- Callbacks of nghttp2 ---

int Http2Connection::OnBeginHeaders(nghttp2_session* session, const nghttp2_frame* frame,
                                    void* user) {
  static_cast<Http2Connection*>(user)->streams_[frame->hd.stream_id];
  return 0;
}

int Http2Connection::OnHeader(nghttp2_session* session, const nghttp2_frame* frame,
                              const uint8_t* name, size_t name_size, const uint8_t* value,
                              size_t value_size, uint8_t flags, void* user) {
  auto* self = static_cast<Http2Connection*>(user);
  Stream& stream = self->streams_[frame->hd.stream_id];
  stream.header_bytes += name_size + value_size;
  if (stream.header_bytes > self->limits_.max_header_bytes) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  self->SetMessageField(stream, std::string(reinterpret_cast<const char*>(name), name_size),
                        std::string(reinterpret_cast<const char*>(value), value_size));
  return 0;
}

int Http2Connection::OnData(nghttp2_session* session, uint8_t flags, int32_t id,
                            const uint8_t* data, size_t size, void* user) {
  auto* self = static_cast<Http2Connection*>(user);
  nghttp2_session_consume_connection(session, size);
  const auto tunnel = self->tunnels_.find(id);
  if (tunnel != self->tunnels_.end()) {
    tunnel->second->OnInput(reinterpret_cast<const char*>(data), size);
    return 0;
  }
  nghttp2_session_consume_stream(session, id, size);
  const auto it = self->streams_.find(id);
  if (it == self->streams_.end() || it->second.delivered) return 0;
  Http2Message& message = it->second.incoming;
  const bool fits = message.body.size() + size <= self->limits_.max_body_bytes &&
                    self->BufferedBytes() + size <= self->limits_.max_buffered_bytes;
  if (fits) {
    message.body.append(reinterpret_cast<const char*>(data), size);
    return 0;
  }
  message.too_large = true;
  message.body.clear();
  self->QueueMessage(id, it->second);
  return 0;
}

int Http2Connection::OnFrame(nghttp2_session* session, const nghttp2_frame* frame, void* user) {
  const bool carries_message = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
  if (!carries_message) return 0;
  auto* self = static_cast<Http2Connection*>(user);
  const int32_t id = frame->hd.stream_id;
  const bool ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  const auto it = self->streams_.find(id);
  if (it == self->streams_.end()) return 0;
  const auto tunnel = self->tunnels_.find(id);
  const bool is_head = frame->hd.type == NGHTTP2_HEADERS;
  if (tunnel != self->tunnels_.end()) {
    if (is_head && !std::exchange(it->second.delivered, true)) {
      self->pending_events_.push_back({id, StreamEvent::Kind::kTunnelAnswer, it->second.incoming});
    }
    if (ends) tunnel->second->OnInputEnd();
    return 0;
  }
  if (is_head && it->second.is_connect && self->role_ == Role::kServer) {
    it->second.delivered = true;
    self->pending_events_.push_back({id, StreamEvent::Kind::kTunnelRequest, it->second.incoming});
    const std::shared_ptr<Http2Tunnel> requested = self->AddTunnel(id);
    if (ends) requested->OnInputEnd();
    return 0;
  }
  if (ends) self->QueueMessage(id, it->second);
  return 0;
}

// Resets the stream of a request that is too large, so that the rest of its body is not read. The
// stream can only be reset once its response has been sent: nghttp2 drops the responses of streams
// that are being reset.
int Http2Connection::OnFrameSent(nghttp2_session* session, const nghttp2_frame* frame, void* user) {
  auto* self = static_cast<Http2Connection*>(user);
  const auto it = self->streams_.find(frame->hd.stream_id);
  const bool is_response = frame->hd.type == NGHTTP2_HEADERS && it != self->streams_.end();
  if (is_response && it->second.incoming.too_large) {
    nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, it->first, NGHTTP2_NO_ERROR);
  }
  return 0;
}

int Http2Connection::OnStreamClosed(nghttp2_session* session, int32_t id, uint32_t error,
                                    void* user) {
  auto* self = static_cast<Http2Connection*>(user);
  const auto tunnel = self->tunnels_.find(id);
  const bool was_tunnel = tunnel != self->tunnels_.end();
  if (was_tunnel) {
    const std::shared_ptr<Http2Tunnel> ended = tunnel->second;
    self->tunnels_.erase(tunnel);
    if (error != NGHTTP2_NO_ERROR || !ended->input_ended_) ended->OnBroken();
  }
  const auto it = self->streams_.find(id);
  if (it == self->streams_.end()) return 0;
  if (!it->second.delivered) {
    const auto kind = was_tunnel ? StreamEvent::Kind::kTunnelAnswer : StreamEvent::Kind::kReset;
    self->pending_events_.push_back({id, kind, {}});
  }
  self->streams_.erase(it);
  return 0;
}

ssize_t Http2Connection::ReadTunnel(nghttp2_session* session, int32_t id, uint8_t* buf, size_t size,
                                    uint32_t* flags, nghttp2_data_source* source, void* user) {
  auto* self = static_cast<Http2Connection*>(user);
  const auto it = self->tunnels_.find(id);
  if (it == self->tunnels_.end()) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  const size_t n = it->second->TakeOutput(reinterpret_cast<char*>(buf), size);
  if (it->second->OutputEnded()) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  } else if (n == 0) {
    return NGHTTP2_ERR_DEFERRED;
  }
  return static_cast<ssize_t>(n);
}

ssize_t Http2Connection::ReadBody(nghttp2_session* session, int32_t id, uint8_t* buf, size_t size,
                                  uint32_t* flags, nghttp2_data_source* source, void* user) {
  auto* self = static_cast<Http2Connection*>(user);
  const auto it = self->streams_.find(id);
  if (it == self->streams_.end()) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  Stream& stream = it->second;
  const size_t n = std::min(size, stream.outgoing.size() - stream.sent);
  std::copy_n(stream.outgoing.data() + stream.sent, n, buf);
  stream.sent += n;
  if (stream.sent == stream.outgoing.size()) *flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(n);
}

}  // namespace cowsliphill
