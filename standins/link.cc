#include "standins/link.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <asio.hpp>
#include <map>
#include <utility>
#include <vector>

namespace cowsliphill::standins {

namespace {

using asio::ip::tcp;

constexpr size_t kBufferBytes = size_t{16} * 1024;
constexpr std::chrono::milliseconds kSilenceCheck{10};  // Interval of checks whether it has ended.
constexpr int kBacklog = 128;
constexpr uint32_t kSourceAddressOffset = 12;  // In the IPv4 header.

// Drops the packets that arrive at the socket from one of the addresses.
void DropPackets(tcp::acceptor& acceptor, const std::vector<uint32_t>& sources) {
  std::vector<sock_filter> code;
  code.push_back(BPF_STMT(BPF_LD | BPF_W | BPF_ABS,
                          static_cast<uint32_t>(SKF_NET_OFF) + kSourceAddressOffset));
  for (size_t i = 0; i < sources.size(); ++i) {
    const auto to_drop = static_cast<uint8_t>(sources.size() - i);
    code.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, sources[i], to_drop, 0));
  }
  code.push_back(BPF_STMT(BPF_RET | BPF_K, UINT32_MAX));
  code.push_back(BPF_STMT(BPF_RET | BPF_K, 0));
  const sock_fprog program{static_cast<decltype(sock_fprog::len)>(code.size()), code.data()};
  setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

// One connection through the link. Side 0 is the entry VM, side 1 the server.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket from, std::shared_ptr<const LinkMode> mode)
      : executor_(from.get_executor()),
        sockets_{std::move(from), tcp::socket(executor_)},
        timers_{asio::steady_timer(executor_), asio::steady_timer(executor_)},
        mode_(std::move(mode)) {}

  void Start(const Endpoint& to) {
    const tcp::endpoint endpoint(asio::ip::make_address(to.ip), to.port);
    sockets_[1].async_connect(endpoint, [self = shared_from_this()](std::error_code ec) {
      if (ec) return self->Reset();
      for (tcp::socket& it : self->sockets_) it.set_option(tcp::no_delay(true), ec);
      for (size_t side = 0; side < self->sockets_.size(); ++side) self->Read(side);
    });
  }
  void Reset() {
    std::error_code ec;
    for (tcp::socket& it : sockets_) it.set_option(asio::socket_base::linger(true, 0), ec);
    for (tcp::socket& it : sockets_) it.close(ec);
    for (asio::steady_timer& it : timers_) it.cancel();
  }

 private:
  void Read(size_t side) {
    sockets_[side].async_read_some(asio::buffer(buffers_[side]),
                                   [self = shared_from_this(), side](std::error_code ec, size_t n) {
                                     self->Take(side, ec, n);
                                   });
  }
  void Take(size_t side, std::error_code ec, size_t n) {
    if (ec == asio::error::operation_aborted) return;
    if (*mode_ == LinkMode::kSilent) {
      timers_[side].expires_after(kSilenceCheck);
      timers_[side].async_wait([self = shared_from_this(), side, ec, n](std::error_code cancelled) {
        if (!cancelled) self->Take(side, ec, n);
      });
      return;
    }
    if (ec == asio::error::eof) {
      std::error_code ignored;
      sockets_[1 - side].shutdown(tcp::socket::shutdown_send, ignored);
      return;
    }
    if (ec) return Reset();
    asio::async_write(sockets_[1 - side], asio::buffer(buffers_[side], n),
                      [self = shared_from_this(), side](std::error_code failed, size_t) {
                        failed ? self->Reset() : self->Read(side);
                      });
  }

  asio::any_io_executor executor_;
  std::array<tcp::socket, 2> sockets_;
  std::array<asio::steady_timer, 2> timers_;
  std::array<std::array<char, kBufferBytes>, 2> buffers_{};
  std::shared_ptr<const LinkMode> mode_;
};

}  // namespace

std::optional<LinkMode> ParseLinkMode(const std::string& text) {
  if (text == "ok") return LinkMode::kOk;
  if (text == "silent") return LinkMode::kSilent;
  if (text == "reset") return LinkMode::kReset;
  if (text == "refuse") return LinkMode::kRefuse;
  return std::nullopt;
}

struct Link::State : std::enable_shared_from_this<Link::State> {
  State(asio::io_context& loop, Endpoint server)
      : to(std::move(server)), acceptor(loop), port_holder(loop) {
    Open(acceptor, {asio::ip::make_address("127.0.0.1"), 0});
    address = acceptor.local_endpoint();
    acceptor.listen(kBacklog);
  }

  template <typename Socket>
  static void Open(Socket& socket, const tcp::endpoint& at) {
    socket.open(tcp::v4());
    socket.set_option(asio::socket_base::reuse_address(true));
    socket.bind(at);
  }

  std::shared_ptr<LinkMode> ModeOf(const std::string& source) {
    auto& mode = modes[source];
    if (!mode) mode = std::make_shared<LinkMode>(LinkMode::kOk);
    return mode;
  }
  void Accept() {
    acceptor.async_accept([weak = weak_from_this()](std::error_code ec, tcp::socket socket) {
      const auto self = weak.lock();
      if (!self || ec) return;
      self->Take(std::move(socket));
      self->Accept();
    });
  }
  void Take(tcp::socket socket) {
    std::error_code ec;
    const tcp::endpoint remote = socket.remote_endpoint(ec);
    if (ec) return;
    const std::string source = remote.address().to_string();
    const std::shared_ptr<LinkMode> mode = ModeOf(source);
    const auto connection = std::make_shared<Connection>(std::move(socket), mode);
    if (*mode == LinkMode::kReset || *mode == LinkMode::kRefuse) return connection->Reset();
    std::erase_if(connections, [](const auto& it) { return it.second.expired(); });
    connections.emplace(source, connection);
    connection->Start(to);
  }
  void FilterPackets() {
    std::vector<uint32_t> silent;
    for (const auto& [source, mode] : modes) {
      if (*mode == LinkMode::kSilent) silent.push_back(asio::ip::make_address_v4(source).to_uint());
    }
    if (acceptor.is_open()) DropPackets(acceptor, silent);
  }
  // A bound socket that does not listen keeps the port, and connections to it are refused.
  void SetListening(bool listening) {
    std::error_code ec;
    if (listening) {
      port_holder.close(ec);
      Open(acceptor, address);
      FilterPackets();
      acceptor.listen(kBacklog);
      Accept();
    } else {
      acceptor.close(ec);
      Open(port_holder, address);
    }
  }

  Endpoint to;
  tcp::endpoint address;
  tcp::acceptor acceptor;
  tcp::socket port_holder;
  std::map<std::string, std::shared_ptr<LinkMode>> modes;  // By the address of the entry VM.
  std::multimap<std::string, std::weak_ptr<Connection>> connections;
};

Link::Link(asio::io_context& loop, const Endpoint& to) : state_(std::make_shared<State>(loop, to)) {
  state_->Accept();
}

Link::~Link() {
  std::error_code ec;
  state_->acceptor.close(ec);
}

Endpoint Link::Address() const {
  return {state_->address.address().to_string(), state_->address.port()};
}

void Link::SetMode(const std::string& source, LinkMode mode) {
  *state_->ModeOf(source) = mode;
  state_->FilterPackets();
  if (mode != LinkMode::kReset) return;
  const auto [begin, end] = state_->connections.equal_range(source);
  for (auto it = begin; it != end; ++it) {
    if (const auto connection = it->second.lock()) connection->Reset();
  }
}

void Link::SetServerUp(bool up) {
  if (state_->acceptor.is_open() != up) state_->SetListening(up);
}

}  // namespace cowsliphill::standins
