#include "src/members/peer_server.h"

#include <algorithm>
#include <system_error>
#include <utility>

#include "src/members/peer_wire.h"

namespace cowsliphill {
namespace {

// The server's idle timeout is longer than the client's by this factor: the client closes idle
// connections first, so it never sends a request on one that the server has closed.
constexpr int kServerIdleFactor = 2;

}  // namespace

PeerServer::PeerServer(asio::io_context& loop, const Clock& clock, EntryVmId self,
                       const PeerAuthenticator& authenticator, const PeerLimits& limits,
                       PeerStats& stats, TrafficStats& traffic)
    : loop_(loop),
      clock_(clock),
      self_(std::move(self)),
      authenticator_(authenticator),
      limits_(limits),
      stats_(stats),
      traffic_(traffic),
      acceptor_(loop) {}

PeerServer::~PeerServer() {
  for (Client& client : clients_) client.connection->Close();
}

Result<Endpoint, PeerListenError> PeerServer::Listen(const Endpoint& endpoint) {
  std::error_code ec;
  const auto address = asio::ip::make_address(endpoint.ip, ec);
  const asio::ip::tcp::endpoint local(address, endpoint.port);
  if (!ec) acceptor_.open(local.protocol(), ec);
  if (!ec) acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acceptor_.bind(local, ec);
  if (!ec) acceptor_.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) return PeerListenError{endpoint, ec.message()};
  Accept();
  return Endpoint{endpoint.ip, acceptor_.local_endpoint().port()};
}

void PeerServer::Handle(MessageKind kind, PeerNode::Handler handler) {
  handlers_[MessagePath(kind)] = std::move(handler);
}

void PeerServer::Tick() {
  const MonotonicTime cutoff = clock_.Now() - limits_.idle_timeout * kServerIdleFactor;
  std::erase_if(clients_, [cutoff](Client& client) {
    if (client.last_used >= cutoff || client.connection->OpenTunnels() > 0) return false;
    client.connection->Close();
    return true;
  });
  if (!accept_failed_) return;
  accept_failed_ = false;
  Accept();
}

void PeerServer::Accept() {
  acceptor_.async_accept([this, alive = std::weak_ptr<bool>(alive_)](std::error_code ec,
                                                                     asio::ip::tcp::socket socket) {
    if (alive.expired()) return;
    accept_failed_ = static_cast<bool>(ec);
    if (ec) return;  // Tick accepts again.
    AddClient(std::move(socket));
    Accept();
  });
}

void PeerServer::AddClient(asio::ip::tcp::socket socket) {
  if (clients_.size() >= limits_.max_connections) {
    const auto oldest =
        std::min_element(clients_.begin(), clients_.end(), [](const Client& a, const Client& b) {
          return std::pair(a.connection->OpenTunnels() > 0, a.last_used) <
                 std::pair(b.connection->OpenTunnels() > 0, b.last_used);
        });
    oldest->connection->Close();
    clients_.erase(oldest);
  }
  ++stats_.connections_in;
  const ClientIt client = clients_.emplace(clients_.end());
  client->last_used = clock_.Now();
  client->connection = std::make_shared<Http2Connection>(
      std::move(socket), Http2Connection::Role::kServer, ConnectionLimits(limits_), traffic_);
  Http2Connection::Events events;
  events.on_message = [this, client](int32_t stream, const Http2Message& request) {
    HandleRequest(*client, stream, request);
  };
  events.on_tunnel_request = [this, client](int32_t stream, const Http2Message& request) {
    HandleTunnelRequest(*client, stream, request);
  };
  events.on_reset = [](int32_t) {};
  events.on_closed = [this, client] { clients_.erase(client); };
  client->connection->Start(std::move(events));
}

void PeerServer::HandleRequest(Client& client, int32_t stream, const Http2Message& request) {
  client.last_used = clock_.Now();
  if (request.too_large) {
    ++stats_.refused_size;
    return Refuse(client, stream, kStatusTooLarge);
  }
  if (request.version != kPeerProtocolVersion) {
    ++stats_.refused_version;
    return Refuse(client, stream, kStatusWrongVersion);
  }
  if (request.path == kHelloPath) return HandleHello(client, stream, request);
  HandleMessage(client, stream, request);
}

void PeerServer::HandleHello(Client& client, int32_t stream, const Http2Message& request) {
  const bool valid = client.client_nonce.empty() && request.nonce.size() == kNonceLength &&
                     !request.sender.empty() && request.sender.size() <= kMaxEntryVmIdLength;
  if (!valid) {
    ++stats_.refused_authenticator;
    return Refuse(client, stream, kStatusWrongAuthenticator);
  }
  client.id = EntryVmId(request.sender);
  client.client_nonce = request.nonce;
  client.server_nonce = MakeNonce();
  Http2Message response;
  response.status = kStatusOk;
  response.sender = self_.Text();
  response.nonce = client.server_nonce;
  client.connection->SendResponse(stream, response);
}

void PeerServer::HandleMessage(Client& client, int32_t stream, const Http2Message& request) {
  PeerMessageIdentity identity{PeerDirection::kRequest,
                               client.client_nonce,
                               client.server_nonce,
                               client.id,
                               stream,
                               request.path};
  const bool handshake_done = !client.client_nonce.empty();
  if (!handshake_done || !authenticator_.Verify(identity, request.body, request.authenticator)) {
    ++stats_.refused_authenticator;
    return Refuse(client, stream, kStatusWrongAuthenticator);
  }
  const auto handler = handlers_.find(request.path);
  if (handler == handlers_.end()) {
    ++stats_.refused_kind;
    return Refuse(client, stream, kStatusUnknownKind);
  }
  ++stats_.requests_in;
  Http2Message response;
  response.status = kStatusOk;
  response.body = handler->second(client.id, request.body);
  identity.direction = PeerDirection::kReply;
  identity.sender = self_;
  response.authenticator = authenticator_.Sign(identity, response.body);
  client.connection->SendResponse(stream, response);
}

void PeerServer::HandleTunnelRequest(Client& client, int32_t stream, const Http2Message& request) {
  client.last_used = clock_.Now();
  const PeerMessageIdentity identity{PeerDirection::kRequest,
                                     client.client_nonce,
                                     client.server_nonce,
                                     client.id,
                                     stream,
                                     kTunnelPath};
  const bool handshake_done = !client.client_nonce.empty();
  if (!handshake_done ||
      !authenticator_.Verify(identity, request.tunnel_to, request.authenticator)) {
    ++stats_.refused_authenticator;
    return Refuse(client, stream, kStatusWrongAuthenticator);
  }
  std::optional<TunnelRequest> tunnel = ParseTunnelTo(request.tunnel_to);
  if (request.version != kPeerProtocolVersion || !tunnel) {
    ++stats_.refused_version;
    return Refuse(client, stream, kStatusWrongVersion);
  }
  if (!tunnel_handler_) {
    ++stats_.refused_kind;
    return Refuse(client, stream, kStatusUnknownKind);
  }
  ++stats_.requests_in;
  tunnel->request = request.request;
  const std::weak_ptr<Http2Connection> weak = client.connection;
  tunnel_handler_(client.id, *tunnel, [weak, stream](const std::optional<TunnelError>& error) {
    const auto connection = weak.lock();
    if (!connection) return std::shared_ptr<Http2Tunnel>();
    if (!error) return connection->AcceptTunnel(stream);
    Http2Message response;
    response.status = static_cast<int>(*error);
    connection->SendResponse(stream, response);
    return std::shared_ptr<Http2Tunnel>();
  });
}

void PeerServer::Refuse(Client& client, int32_t stream, int status) {
  Http2Message response;
  response.status = status;
  client.connection->SendResponse(stream, response);
}

}  // namespace cowsliphill
