#include "src/links/tunnel_server.h"

#include <algorithm>
#include <array>
#include <asio/steady_timer.hpp>
#include <utility>

namespace cowsliphill {

// One open tunnel. Each direction moves one buffer at a time, so that a reader that is slow holds
// back the writer.
class TunnelServer::Tunnel : public std::enable_shared_from_this<Tunnel> {
 public:
  Tunnel(TunnelServer& owner, ByteStream server, std::shared_ptr<Http2Tunnel> client, TunnelEnd end,
         MonotonicTime started, Duration max_silence)
      : owner_(owner),
        up_{ByteStream(std::move(client), owner.io_.get_executor()), {}, {}},
        down_{std::move(server), {}, {}},
        end_(std::move(end)),
        started_(started),
        max_silence_(max_silence),
        silence_timer_(owner.io_) {}

  void Start() {
    ArmTimer();
    Read(up_, down_, end_.bytes_up);
    Read(down_, up_, end_.bytes_down);
  }
  void Finish() {
    if (std::exchange(finished_, true)) return;
    silence_timer_.cancel();
    up_.from.Close();
    down_.from.Close();
    end_.took = owner_.clock_.Now() - started_;
    owner_.listener_.on_ended(end_);
    owner_.tunnels_.erase(shared_from_this());
  }

 private:
  struct Side {
    ByteStream from;
    std::array<char, kTunnelBufferBytes> buffer;
    std::string outgoing;  // Bytes from `from` that are being written to the other side.
    bool ended = false;    // `from` has finished in an orderly way.
  };

  void Read(Side& side, Side& other, uint64_t& count) {
    side.from.AwaitReadable(
        [self = shared_from_this(), &side, &other, &count](std::error_code failed) {
          self->OnReadable(side, other, count, failed);
        });
  }
  void OnReadable(Side& side, Side& other, uint64_t& count, std::error_code ec) {
    if (finished_) return;
    size_t n = 0;
    if (!ec) n = side.from.ReadSome(side.buffer.data(), side.buffer.size(), ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again) {
      return Read(side, other, count);
    }
    if (ec == asio::error::eof) return OnEnd(side, other);
    if (ec) {
      end_.server_reset = &side == &down_;
      return Finish();
    }
    if (upload_failed_ && &side == &up_) return Read(side, other, count);
    count += n;
    ArmTimer();
    side.outgoing.assign(side.buffer.data(), n);
    other.from.Write(side.outgoing,
                     [self = shared_from_this(), &side, &other, &count](std::error_code failed) {
                       if (self->finished_) return;
                       if (failed && &other == &self->up_) return self->Finish();
                       // The server may have sent a whole response before: reading on from it
                       // shows how the tunnel ends.
                       if (failed) self->upload_failed_ = true;
                       self->Read(side, other, count);
                     });
  }
  void OnEnd(Side& side, Side& other) {
    side.ended = true;
    other.from.FinishWriting();
    if (other.ended) Finish();
  }
  void ArmTimer() {
    silence_timer_.expires_after(
        std::chrono::duration_cast<asio::steady_timer::duration>(max_silence_));
    silence_timer_.async_wait([weak = weak_from_this()](std::error_code ec) {
      const auto self = weak.lock();
      if (!ec && self) self->Finish();
    });
  }

  TunnelServer& owner_;
  Side up_;    // From the other entry VM.
  Side down_;  // From the server.
  TunnelEnd end_;
  MonotonicTime started_;
  Duration max_silence_;
  asio::steady_timer silence_timer_;
  bool upload_failed_ = false;  // Further bytes for the server are discarded.
  bool finished_ = false;
};

TunnelServer::TunnelServer(asio::io_context& io, const Clock& clock,
                           const BackendSettings& settings, double cores,
                           TunnelServerListener listener)
    : io_(io),
      clock_(clock),
      settings_(settings),
      max_tunnels_(std::max(static_cast<size_t>(kTunnelsPerCore * cores), kMinTunnels)),
      listener_(std::move(listener)) {
  settings_.connect_timeout = std::min(settings_.connect_timeout, kConnectTimeout);
}

TunnelServer::~TunnelServer() = default;

void TunnelServer::Open(const EntryVmId& from, const TunnelRequest& request,
                        const PeerNode::TunnelAnswer& answer) {
  TunnelEnd end;
  end.for_entry_vm = from;
  end.request = request.request;
  const auto server = listener_.find_server(request);
  if (const auto* error = std::get_if<TunnelError>(&server)) {
    return Refuse(std::move(end), *error, answer);
  }
  const auto& found = std::get<TunnelServerListener::Server>(server);
  end.server = found.id;
  if (stopping_ || tunnels_.size() + connecting_ >= max_tunnels_) {
    return Refuse(std::move(end), TunnelError::kBusy, answer);
  }
  ++connecting_;
  ConnectDirectly(io_, settings_, found.endpoint,
                  [this, end, request, answer, started = clock_.Now(),
                   alive = std::weak_ptr<bool>(alive_)](ConnectResult result) {
                    if (alive.expired()) return;
                    --connecting_;
                    OnConnected(end, request, started, answer, std::move(result));
                  });
}

void TunnelServer::OnConnected(TunnelEnd end, const TunnelRequest& request, MonotonicTime started,
                               const PeerNode::TunnelAnswer& answer, ConnectResult result) {
  auto* connected = std::get_if<Connected>(&result);
  const TunnelError error = listener_.on_connect(end.server, connected != nullptr);
  if (connected == nullptr) return Refuse(std::move(end), error, answer);
  // The server may have begun to leave while the connection was made.
  const auto server = listener_.find_server(request);
  if (const auto* refusal = std::get_if<TunnelError>(&server)) {
    return Refuse(std::move(end), *refusal, answer);
  }
  std::shared_ptr<Http2Tunnel> client = answer(std::nullopt);
  if (!client) return;  // The other entry VM has given up.
  ++opened_;
  const Duration max_silence =
      std::max<Duration>(request.time_left + kSilenceGrace, settings_.silence_timeout);
  const auto tunnel = std::make_shared<Tunnel>(
      *this, std::move(connected->stream), std::move(client), std::move(end), started, max_silence);
  tunnels_.insert(tunnel);
  tunnel->Start();
}

void TunnelServer::Refuse(TunnelEnd end, TunnelError error, const PeerNode::TunnelAnswer& answer) {
  ++refused_;
  answer(error);
  end.error = error;
  listener_.on_ended(end);
}

void TunnelServer::Close() {
  for (const auto& tunnel : std::set<std::shared_ptr<Tunnel>>(tunnels_)) tunnel->Finish();
}

}  // namespace cowsliphill
