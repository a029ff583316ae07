#include "standins/proxy.h"

#include <array>
#include <asio.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "standins/faults.h"
#include "standins/http_server.h"

namespace cowsliphill::standins {

namespace {

using asio::ip::tcp;

constexpr size_t kBufferBytes = size_t{16} * 1024;  // Size of the read buffers.
constexpr std::chrono::milliseconds kPauseCheck{
    20};  // Interval between checks whether a pause has ended.
constexpr size_t kDirections = 2;

// State shared by all connections and changed by the control server.
struct Shared {
  Faults faults;
  FaultSampler sampler{1};
  uint64_t silence_count = 0;  // How often "silent" was set.
  uint64_t connections = 0;
  uint64_t dropped = 0;
  uint64_t cut = 0;
};

// A caller's connection and the matching connection to the server. The fault `silent` is permanent:
// connections that were open when it was set stay connected but never forward again, while later
// connections work.
class Tunnel : public std::enable_shared_from_this<Tunnel> {
 public:
  Tunnel(tcp::socket from, const asio::any_io_executor& executor, std::shared_ptr<Shared> shared)
      : sockets_{std::move(from), tcp::socket(executor)},
        timers_{asio::steady_timer(executor), asio::steady_timer(executor)},
        shared_(std::move(shared)),
        hit_(shared_->sampler.Hits(shared_->faults.probability)),
        initial_silence_count_(shared_->silence_count) {}

  void Start(const Endpoint& to) {
    const tcp::endpoint endpoint(asio::ip::make_address(to.ip), to.port);
    sockets_[1].async_connect(endpoint, [self = shared_from_this()](std::error_code ec) {
      if (ec) return self->Close();
      asio::error_code ignored;
      for (tcp::socket& it : self->sockets_) it.set_option(tcp::no_delay(true), ignored);
      for (size_t i = 0; i < kDirections; ++i) self->Read(i);
    });
  }

 private:
  const Faults& Active() const { return shared_->faults; }
  bool IsSilent() const { return hit_ && shared_->silence_count > initial_silence_count_; }

  void Read(size_t from) {
    sockets_[from].async_read_some(asio::buffer(buffers_[from]),
                                   [self = shared_from_this(), from](std::error_code ec, size_t n) {
                                     if (ec) return self->OnClosed(from);
                                     self->Take(from, n);
                                   });
  }

  // When one end closes, closes the other end too, unless this tunnel is silent.
  void OnClosed(size_t from) {
    if (IsSilent()) return;
    Close();
  }

  void Take(size_t from, size_t n) {
    if (IsSilent()) return Read(from);
    if (hit_ && Active().pause) return Delay(from, n, kPauseCheck, &Tunnel::Take);
    if (hit_ && Active().delay.count() > 0) return Delay(from, n, Active().delay, &Tunnel::Forward);
    Forward(from, n);
  }

  void Delay(size_t from, size_t n, std::chrono::milliseconds time,
             void (Tunnel::*next)(size_t, size_t)) {
    timers_[from].expires_after(time);
    timers_[from].async_wait([self = shared_from_this(), from, n, next](std::error_code ec) {
      if (!ec) ((*self).*next)(from, n);
    });
  }

  void Forward(size_t from, size_t n) {
    forwarded_ += n;
    const uint64_t limit = Active().cut_after;
    if (hit_ && limit > 0 && forwarded_ > limit) return Reset();
    asio::async_write(sockets_[1 - from], asio::buffer(buffers_[from], n),
                      [self = shared_from_this(), from](std::error_code ec, size_t) {
                        if (ec) return self->Close();
                        self->Read(from);
                      });
  }

  // Closes by a TCP reset, so that neither side takes it for a regular end of the connection.
  void Reset() {
    ++shared_->cut;
    asio::error_code ec;
    for (tcp::socket& it : sockets_) it.set_option(asio::socket_base::linger(true, 0), ec);
    Close();
  }

  void Close() {
    asio::error_code ec;
    for (tcp::socket& it : sockets_) it.close(ec);
    for (asio::steady_timer& it : timers_) it.cancel();
  }

  std::array<tcp::socket, kDirections>
      sockets_;  // Socket 0 is to the caller, socket 1 to the server.
  std::array<asio::steady_timer, kDirections> timers_;
  std::array<std::array<char, kBufferBytes>, kDirections> buffers_{};
  std::shared_ptr<Shared> shared_;
  bool hit_;                        // The faults apply to this connection.
  uint64_t initial_silence_count_;  // Value of Shared::silence_count when this tunnel was created.
  uint64_t forwarded_ = 0;          // Bytes in both directions.
};

}  // namespace

struct Proxy::State : std::enable_shared_from_this<Proxy::State> {
  State(asio::io_context& loop, const ProxyOptions& options)
      : to(options.to),
        acceptor(loop,
                 tcp::endpoint(asio::ip::make_address(options.listen.ip), options.listen.port)),
        control(loop, options.control, [this](HttpExchange it) { OnControl(it); }) {}

  void Accept() {
    acceptor.async_accept([self = shared_from_this()](std::error_code ec, tcp::socket socket) {
      if (!self->acceptor.is_open()) return;
      if (!ec) self->Take(std::move(socket));
      self->Accept();
    });
  }

  void Take(tcp::socket socket) {
    ++shared->connections;
    if (shared->faults.drop_new && shared->sampler.Hits(shared->faults.probability)) {
      ++shared->dropped;
      return;
    }
    std::make_shared<Tunnel>(std::move(socket), acceptor.get_executor(), shared)->Start(to);
  }

  void OnControl(const HttpExchange& exchange) {
    if (exchange.Request().path == "/stats") {
      const nlohmann::json json = {
          {"connections", shared->connections}, {"dropped", shared->dropped}, {"cut", shared->cut}};
      return exchange.Answer({200, {}, json.dump() + "\n", {}});
    }
    const std::optional<Faults> parsed = ParseFaults(exchange.Request().body);
    if (!parsed) return exchange.Answer({400, {}, "body is not valid faults JSON\n", {}});
    shared->faults = *parsed;
    if (parsed->silent) ++shared->silence_count;
    shared->sampler = FaultSampler(parsed->seed);
    exchange.Answer({200, {}, "ok\n", {}});
  }

  Endpoint to;
  tcp::acceptor acceptor;
  HttpServer control;
  std::shared_ptr<Shared> shared = std::make_shared<Shared>();
};

Proxy::Proxy(asio::io_context& loop, const ProxyOptions& options)
    : state_(std::make_shared<State>(loop, options)) {
  state_->Accept();
}

Proxy::~Proxy() {
  asio::error_code ec;
  state_->acceptor.close(ec);
}

Endpoint Proxy::Address() const {
  const tcp::endpoint it = state_->acceptor.local_endpoint();
  return Endpoint{it.address().to_string(), it.port()};
}

Endpoint Proxy::ControlAddress() const { return state_->control.Address(); }

}  // namespace cowsliphill::standins
