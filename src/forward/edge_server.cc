#include "src/forward/edge_server.h"

#include <asio/ip/address.hpp>
#include <utility>
#include <vector>

#include "src/forward/plain_server.h"

namespace cowsliphill {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kLookupPath = "/cowsliphill/entries";
constexpr milliseconds kLingerTimeout{1000};    // Time for a caller to read the last response.
constexpr milliseconds kAcceptRetryDelay{100};  // Delay after a failed accept.

// Returns the query string of a lookup request, or nullopt if the request has another path.
std::optional<std::string> LookupQuery(const HttpHead& head) {
  const std::string_view target = head.target;
  const size_t mark = target.find('?');
  if (target.substr(0, mark) != kLookupPath) return std::nullopt;
  if (mark == std::string::npos) return "";
  return head.target.substr(mark + 1);
}

}  // namespace

CallerConnection::CallerConnection(ForwardContext& context, HttpStream::Socket socket,
                                   std::function<void(CallerConnection&)> on_closed)
    : context_(context), on_closed_(std::move(on_closed)), idle_timer_(context.io) {
  std::error_code ec;
  const auto remote = socket.remote_endpoint(ec);
  if (!ec) caller_ip_ = remote.address().to_string();
  socket.set_option(asio::ip::tcp::no_delay(true), ec);
  socket.non_blocking(true, ec);
  const EdgeSettings& edge = context.settings.edge;
  stream_ = std::make_shared<HttpStream>(std::move(socket), HttpMessageType::kRequests,
                                         edge.max_header_bytes, kReadBufferBytes);
}

void CallerConnection::Start() { ReadRequest(); }

void CallerConnection::ReadRequest() {
  idle_timer_.expires_after(context_.settings.edge.idle_timeout);
  idle_timer_.async_wait([weak = weak_from_this()](std::error_code ec) {
    if (ec) return;
    if (const auto self = weak.lock()) self->Finish(ConnectionAction::kClose);
  });
  stream_->Read([self = shared_from_this()](const HttpEvent& event) { self->OnHead(event); });
}

void CallerConnection::OnHead(const HttpEvent& event) {
  idle_timer_.cancel();
  if (const auto* error = std::get_if<HttpError>(&event)) {
    if (error->kind == HttpErrorKind::kClosed) return Finish(ConnectionAction::kAbort);
    return RejectMalformed(*error);
  }
  const HttpHead& head = std::get<HttpHead>(event);
  if (context_.lookup && LookupQuery(head)) return ServeLookup(head);
  exchange_ = std::make_shared<Exchange>(context_, stream_, head,
                                         [weak = weak_from_this()](ConnectionAction action) {
                                           const auto self = weak.lock();
                                           if (self) self->OnExchangeDone(action);
                                         });
  exchange_->Start();
}

void CallerConnection::ServeLookup(const HttpHead& head) {
  const std::string body = context_.lookup(caller_ip_, *LookupQuery(head));
  const bool keep_alive = head.keep_alive && !context_.leaving;
  DiscardBody([self = shared_from_this(), body, keep_alive] {
    self->stream_->Write(FormatJsonResponse(body, keep_alive), [self, keep_alive](bool ok) {
      if (ok && keep_alive) return self->ReadRequest();
      self->Finish(ok ? ConnectionAction::kClose : ConnectionAction::kAbort);
    });
  });
}

void CallerConnection::DiscardBody(std::function<void()> done) {
  stream_->Read([self = shared_from_this(), done = std::move(done)](const HttpEvent& event) {
    if (std::holds_alternative<HttpEnd>(event)) return done();
    if (std::holds_alternative<HttpError>(event)) return self->Finish(ConnectionAction::kAbort);
    self->DiscardBody(done);
  });
}

void CallerConnection::RejectMalformed(const HttpError& error) {
  context_.observer.on_bad_input("framing", error.detail);
  if (error.kind == HttpErrorKind::kTruncated) return Finish(ConnectionAction::kAbort);
  const bool large = error.kind == HttpErrorKind::kHeadersTooLarge;
  const ErrorResponse response{
      large ? 431 : 400, Outcome::kNotRun, {}, "http_request_error", error.detail};
  stream_->Write(context_.wire.error_response(response, RequestId(), false),
                 [self = shared_from_this()](bool) { self->Finish(ConnectionAction::kClose); });
}

void CallerConnection::OnExchangeDone(ConnectionAction action) {
  exchange_.reset();
  if (action == ConnectionAction::kKeepAlive) return ReadRequest();
  Finish(action);
}

void CallerConnection::Finish(ConnectionAction action) {
  idle_timer_.cancel();
  if (action == ConnectionAction::kAbort) {
    stream_->Close();
  } else {
    stream_->CloseGracefully(kLingerTimeout);
  }
  const auto on_closed = std::exchange(on_closed_, nullptr);
  if (on_closed) on_closed(*this);
}

void CallerConnection::Abort() {
  const auto keep = shared_from_this();
  if (exchange_) exchange_->Abort();
  Finish(ConnectionAction::kAbort);
}

void CallerConnection::CloseWhenIdle() {
  if (!exchange_ && stream_->BetweenMessages()) Finish(ConnectionAction::kClose);
}

EdgeServer::EdgeServer(ForwardContext& context)
    : context_(context), acceptor_(context.io), retry_timer_(context.io) {}

EdgeServer::~EdgeServer() { AbortAll(); }

std::string EdgeServer::Listen(const Endpoint& listen) {
  const std::string error = ListenOn(acceptor_, listen);
  if (!error.empty()) return "edge.listen: " + error;
  Accept();
  return "";
}

Endpoint EdgeServer::LocalEndpoint() const {
  std::error_code ec;
  const auto local = acceptor_.local_endpoint(ec);
  return ec ? Endpoint{} : Endpoint{local.address().to_string(), local.port()};
}

void EdgeServer::Accept() {
  acceptor_.async_accept([this](std::error_code ec, HttpStream::Socket socket) {
    if (!acceptor_.is_open()) return;
    if (!ec) {
      OnAccepted(std::move(socket));
      return Accept();
    }
    retry_timer_.expires_after(kAcceptRetryDelay);
    retry_timer_.async_wait([this](std::error_code timer_ec) {
      if (!timer_ec && acceptor_.is_open()) Accept();
    });
  });
}

void EdgeServer::OnAccepted(HttpStream::Socket socket) {
  if (connections_.size() >= context_.settings.edge.max_connections) {
    ++refused_;
    context_.observer.on_bad_input("connections", "the limit edge.max_connections is reached");
    return;
  }
  const auto connection = std::make_shared<CallerConnection>(
      context_, std::move(socket),
      [this](CallerConnection& closed) { connections_.erase(closed.shared_from_this()); });
  connections_.insert(connection);
  connection->Start();
}

void EdgeServer::StopAccepting() {
  std::error_code ignored;
  acceptor_.close(ignored);
  const std::vector<std::shared_ptr<CallerConnection>> open(connections_.begin(),
                                                            connections_.end());
  for (const auto& connection : open) connection->CloseWhenIdle();
}

void EdgeServer::AbortAll() {
  const std::vector<std::shared_ptr<CallerConnection>> open(connections_.begin(),
                                                            connections_.end());
  for (const auto& connection : open) connection->Abort();
}

}  // namespace cowsliphill
