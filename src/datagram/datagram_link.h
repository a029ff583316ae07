// UDP datagrams between entry VMs, each with a keyed checksum. Datagrams may be lost or reordered
// and are not retransmitted: a sender sends again what is still needed.
//
// Limits: the checksum rejects datagrams of foreign senders and damaged ones. It is not a
// cryptographic signature, and a recorded datagram can be replayed.

#ifndef COWSLIPHILL_DATAGRAM_DATAGRAM_LINK_H_
#define COWSLIPHILL_DATAGRAM_DATAGRAM_LINK_H_

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "src/base/ids.h"

namespace cowsliphill {

struct DatagramCounts {
  uint64_t sent = 0;
  uint64_t received = 0;
  uint64_t refused = 0;      // Received with a wrong checksum or too short to hold one.
  uint64_t send_errors = 0;  // Bad address, full send buffer or no route to the receiver.
};

class DatagramLink {
 public:
  using ReceiveCallback = std::function<void(const Endpoint& from, const std::string& payload)>;

  DatagramLink(asio::io_context& io, const std::string& key, ReceiveCallback on_receive);

  // Returns an error message, or "" on success.
  std::string Listen(const Endpoint& listen);
  // Sends the payload to each of the endpoints. Never blocks; failures are only counted.
  void Send(const std::vector<Endpoint>& to, const std::string& payload);
  void Close();
  const DatagramCounts& Counts() const { return counts_; }

 private:
  static constexpr size_t kMaxDatagramBytes = 65507;  // The largest UDP payload over IPv4.
  static constexpr size_t kChecksumBytes = 8;
  // Limits the work per wakeup, so that a flood of datagrams leaves the event loop time for others.
  static constexpr int kMaxDatagramsPerWakeup = 64;

  void ReadDatagrams();
  void AwaitDatagrams();

  asio::ip::udp::socket socket_;
  uint64_t checksum_seed_;  // Derived from the key that all entry VMs share.
  ReceiveCallback on_receive_;
  std::vector<char> buffer_;
  DatagramCounts counts_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_DATAGRAM_DATAGRAM_LINK_H_
