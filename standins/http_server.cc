#include "standins/http_server.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <cctype>
#include <utility>

namespace cowsliphill::standins {

namespace {

using asio::ip::tcp;

constexpr size_t kReadBytes = size_t{16} * 1024;            // Size of the read buffer.
constexpr size_t kWriteBytes = size_t{64} * 1024;           // Chunk size of a generated body.
constexpr size_t kMaxPendingBytes = size_t{1024} * 1024;    // Unparsed bytes; reading pauses above.
constexpr size_t kMaxBodyBytes = 64 * size_t{1024} * 1024;  // Largest request body.

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

// Decodes %XX sequences and leaves anything else unchanged.
std::string PercentDecoded(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    const bool coded = text[i] == '%' && i + 2 < text.size() &&
                       std::isxdigit(static_cast<unsigned char>(text[i + 1])) != 0 &&
                       std::isxdigit(static_cast<unsigned char>(text[i + 2])) != 0;
    if (!coded) {
      out += text[i];
      continue;
    }
    out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
    i += 2;
  }
  return out;
}

void SplitTarget(const std::string& target, HttpRequest& request) {
  const size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark == std::string::npos) return;
  size_t at = mark + 1;
  while (at < target.size()) {
    const size_t end = std::min(target.find('&', at), target.size());
    const std::string pair = target.substr(at, end - at);
    const size_t equals = pair.find('=');
    const std::string value = equals == std::string::npos ? "" : pair.substr(equals + 1);
    request.query[pair.substr(0, equals)] = PercentDecoded(value);
    at = end + 1;
  }
}

std::string FormatHead(const HttpAnswer& answer, uint64_t size) {
  std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " " +
                     http_status_str(static_cast<http_status>(answer.status)) + "\r\n";
  for (const HttpHeader& it : answer.headers) head += it.name + ": " + it.value + "\r\n";
  head += "Content-Length: " + std::to_string(size) + "\r\n\r\n";
  return head;
}

}  // namespace

std::string HttpRequest::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

std::string HttpRequest::Query(const std::string& name) const {
  const auto it = query.find(name);
  return it == query.end() ? "" : it->second;
}

class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(tcp::socket socket, HttpServer::Handler handler, std::shared_ptr<size_t> open)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        handler_(std::move(handler)),
        open_(std::move(open)) {
    ++*open_;
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
  }
  ~HttpConnection() { --*open_; }

  void Start() {
    asio::error_code ec;
    socket_.set_option(tcp::no_delay(true), ec);
    Read();
  }

  const HttpRequest& Request() const { return request_; }

  void Answer(HttpAnswer answer, std::function<void()> done) {
    if (!request_open_ || closed_ || answering_) return;
    answering_ = true;
    answer_ = std::move(answer);
    on_written_ = std::move(done);
    const bool generated = answer_.generated.size > 0;
    const uint64_t size = generated ? answer_.generated.size : answer_.body.size();
    write_buffer_ = FormatHead(answer_, size);
    const bool head_only = request_.method == "HEAD";
    if (!generated && !head_only) write_buffer_ += answer_.body;
    generated_left_ = generated && !head_only ? size : 0;
    generated_at_ = 0;
    Write();
  }

  void Close() {
    if (closed_) return;
    closed_ = true;
    asio::error_code ec;
    socket_.close(ec);
    timer_.cancel();
    // Keeps the captures of `done` alive until `on_disconnect` has run.
    const auto done = std::exchange(on_written_, nullptr);
    const auto on_disconnect = std::exchange(on_disconnect_, nullptr);
    if (request_open_ && on_disconnect) on_disconnect();
  }

  void OnDisconnect(std::function<void()> on_disconnect) {
    on_disconnect_ = std::move(on_disconnect);
  }

 private:
  static HttpConnection& Self(http_parser* parser) {
    return *static_cast<HttpConnection*>(parser->data);
  }

  static http_parser_settings MakeCallbacks() {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_message_begin = [](http_parser* parser) {
      HttpConnection& self = Self(parser);
      self.request_ = HttpRequest();
      self.target_.clear();
      self.field_.clear();
      self.in_value_ = false;
      return 0;
    };
    callbacks.on_url = [](http_parser* parser, const char* at, size_t n) {
      Self(parser).target_.append(at, n);
      return 0;
    };
    callbacks.on_header_field = [](http_parser* parser, const char* at, size_t n) {
      HttpConnection& self = Self(parser);
      if (self.in_value_) self.field_.clear();
      self.in_value_ = false;
      self.field_.append(at, n);
      return 0;
    };
    callbacks.on_header_value = [](http_parser* parser, const char* at, size_t n) {
      HttpConnection& self = Self(parser);
      self.in_value_ = true;
      self.request_.headers[LowerCase(self.field_)].append(at, n);
      return 0;
    };
    callbacks.on_body = [](http_parser* parser, const char* at, size_t n) {
      HttpConnection& self = Self(parser);
      if (self.request_.body.size() + n > kMaxBodyBytes) return 1;
      self.request_.body.append(at, n);
      return 0;
    };
    callbacks.on_message_complete = [](http_parser* parser) {
      HttpConnection& self = Self(parser);
      self.complete_ = true;
      http_parser_pause(parser, 1);
      return 0;
    };
    return callbacks;
  }

  void Read() {
    reading_ = true;
    socket_.async_read_some(asio::buffer(read_buffer_),
                            [self = shared_from_this()](std::error_code ec, size_t n) {
                              self->reading_ = false;
                              if (ec) return self->Close();
                              self->pending_.append(self->read_buffer_.data(), n);
                              if (!self->request_open_) self->Parse();
                              if (self->closed_) return;
                              if (self->pending_.size() < kMaxPendingBytes) self->Read();
                            });
  }

  void Parse() {
    static const http_parser_settings callbacks = MakeCallbacks();
    complete_ = false;
    const size_t n = http_parser_execute(&parser_, &callbacks, pending_.data(), pending_.size());
    pending_.erase(0, n);
    if (complete_) return Dispatch();
    if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) Close();
  }

  void Dispatch() {
    request_open_ = true;
    request_.method = http_method_str(static_cast<http_method>(parser_.method));
    SplitTarget(target_, request_);
    keep_alive_ = http_should_keep_alive(&parser_) != 0;
    http_parser_pause(&parser_, 0);
    handler_(HttpExchange(shared_from_this()));
  }

  void Write() {
    asio::async_write(socket_, asio::buffer(write_buffer_),
                      [self = shared_from_this()](std::error_code ec, size_t) {
                        if (ec) return self->Close();
                        self->AfterWrite();
                      });
  }

  void AfterWrite() {
    if (generated_left_ == 0) return EndExchange();
    const size_t n = static_cast<size_t>(std::min<uint64_t>(kWriteBytes, generated_left_));
    write_buffer_ = answer_.generated.bytes(generated_at_, n);
    generated_at_ += n;
    generated_left_ -= n;
    const uint64_t rate = answer_.generated.bytes_per_second;
    if (rate == 0) return Write();
    timer_.expires_after(std::chrono::microseconds(n * 1'000'000 / rate));
    timer_.async_wait([self = shared_from_this()](std::error_code ec) {
      if (!ec && !self->closed_) self->Write();
    });
  }

  void EndExchange() {
    request_open_ = false;
    answering_ = false;
    on_disconnect_ = nullptr;
    if (const auto done = std::exchange(on_written_, nullptr)) done();
    if (!keep_alive_) return Close();
    if (!pending_.empty()) Parse();
    if (!closed_ && !reading_) Read();
  }

  tcp::socket socket_;
  asio::steady_timer timer_;  // Paces a generated body.
  HttpServer::Handler handler_;
  std::shared_ptr<size_t> open_;  // Number of open connections of the server.
  http_parser parser_{};
  std::array<char, kReadBytes> read_buffer_{};
  std::string pending_;  // Bytes read but not yet parsed.
  std::string target_;
  std::string field_;      // Name of the header being parsed.
  bool in_value_ = false;  // The parser is in the value of that header.
  HttpRequest request_;
  HttpAnswer answer_;
  std::string write_buffer_;     // Bytes being written.
  uint64_t generated_left_ = 0;  // Bytes of a generated body still to be sent.
  uint64_t generated_at_ = 0;
  std::function<void()> on_written_;
  std::function<void()> on_disconnect_;
  bool complete_ = false;
  bool request_open_ = false;  // The handler has a request that is not yet answered.
  bool answering_ = false;     // The answer to that request is being written.
  bool keep_alive_ = true;
  bool reading_ = false;
  bool closed_ = false;
};

HttpExchange::HttpExchange(std::shared_ptr<HttpConnection> connection)
    : connection_(std::move(connection)) {}

const HttpRequest& HttpExchange::Request() const { return connection_->Request(); }

void HttpExchange::Answer(HttpAnswer answer, std::function<void()> done) const {
  connection_->Answer(std::move(answer), std::move(done));
}

void HttpExchange::Drop() const { connection_->Close(); }

void HttpExchange::OnDisconnect(std::function<void()> callback) const {
  connection_->OnDisconnect(std::move(callback));
}

struct HttpServer::Listener : std::enable_shared_from_this<HttpServer::Listener> {
  Listener(asio::io_context& loop, const Endpoint& listen, Handler on_request, AcceptFilter filter)
      : acceptor(loop, tcp::endpoint(asio::ip::make_address(listen.ip), listen.port)),
        handler(std::move(on_request)),
        accept(std::move(filter)) {}

  void Accept() {
    acceptor.async_accept([self = shared_from_this()](std::error_code ec, tcp::socket socket) {
      if (!self->acceptor.is_open()) return;
      const bool accepted = !ec && (!self->accept || self->accept(*self->open));
      if (accepted) {
        std::make_shared<HttpConnection>(std::move(socket), self->handler, self->open)->Start();
      }
      self->Accept();
    });
  }

  tcp::acceptor acceptor;
  Handler handler;
  AcceptFilter accept;
  std::shared_ptr<size_t> open = std::make_shared<size_t>(0);  // Number of open connections.
};

HttpServer::HttpServer(asio::io_context& loop, const Endpoint& listen, Handler handler,
                       AcceptFilter accept)
    : listener_(std::make_shared<Listener>(loop, listen, std::move(handler), std::move(accept))) {
  listener_->Accept();
}

HttpServer::~HttpServer() { StopListening(); }

Endpoint HttpServer::Address() const {
  const tcp::endpoint it = listener_->acceptor.local_endpoint();
  return Endpoint{it.address().to_string(), it.port()};
}

void HttpServer::StopListening() {
  asio::error_code ec;
  listener_->acceptor.close(ec);
}

}  // namespace cowsliphill::standins
