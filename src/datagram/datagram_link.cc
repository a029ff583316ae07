#include "src/datagram/datagram_link.h"

#include <xxhash.h>

#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>
#include <cstring>
#include <utility>

namespace cowsliphill {

DatagramLink::DatagramLink(asio::io_context& io, const std::string& key, ReceiveCallback on_receive)
    : socket_(io),
      checksum_seed_(XXH3_64bits(key.data(), key.size())),
      on_receive_(std::move(on_receive)),
      buffer_(kMaxDatagramBytes) {}

std::string DatagramLink::Listen(const Endpoint& listen) {
  std::error_code ec;
  const auto address = asio::ip::make_address(listen.ip, ec);
  if (ec) return listen.ToString() + ": " + ec.message();
  const asio::ip::udp::endpoint endpoint(address, listen.port);
  socket_.open(endpoint.protocol(), ec);
  if (!ec) socket_.bind(endpoint, ec);
  if (!ec) socket_.non_blocking(true, ec);
  if (ec) return listen.ToString() + ": " + ec.message();
  AwaitDatagrams();
  return "";
}

void DatagramLink::Send(const std::vector<Endpoint>& to, const std::string& payload) {
  const uint64_t checksum = XXH3_64bits_withSeed(payload.data(), payload.size(), checksum_seed_);
  std::string datagram(kChecksumBytes, '\0');
  std::memcpy(datagram.data(), &checksum, kChecksumBytes);
  datagram += payload;
  for (const Endpoint& peer : to) {
    std::error_code ec;
    const auto address = asio::ip::make_address(peer.ip, ec);
    if (!ec) socket_.send_to(asio::buffer(datagram), {address, peer.port}, 0, ec);
    ++(ec ? counts_.send_errors : counts_.sent);
  }
}

void DatagramLink::AwaitDatagrams() {
  socket_.async_wait(asio::ip::udp::socket::wait_read, [this](std::error_code ec) {
    if (ec || !socket_.is_open()) return;
    ReadDatagrams();
    AwaitDatagrams();
  });
}

void DatagramLink::ReadDatagrams() {
  for (int i = 0; i < kMaxDatagramsPerWakeup && socket_.is_open(); ++i) {
    std::error_code ec;
    asio::ip::udp::endpoint sender;
    const size_t n = socket_.receive_from(asio::buffer(buffer_), sender, 0, ec);
    if (ec) return;
    ++counts_.received;
    uint64_t checksum = 0;
    if (n < kChecksumBytes) {
      ++counts_.refused;
      continue;
    }
    std::memcpy(&checksum, buffer_.data(), kChecksumBytes);
    const std::string payload(buffer_.data() + kChecksumBytes, n - kChecksumBytes);
    if (checksum != XXH3_64bits_withSeed(payload.data(), payload.size(), checksum_seed_)) {
      ++counts_.refused;
      continue;
    }
    on_receive_({sender.address().to_string(), sender.port()}, payload);
  }
}

void DatagramLink::Close() {
  std::error_code ignored;
  socket_.close(ignored);
}

}  // namespace cowsliphill
