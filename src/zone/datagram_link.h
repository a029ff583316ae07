// Datagrams between entry VMs, each with a keyed checksum. Nothing is repeated or ordered: senders
// send again what still matters.
//
// Limits: the checksum keeps strangers' and damaged datagrams out; it is no signature, and a
// recorded datagram can be replayed.

#ifndef COWSLIPHILL_ZONE_DATAGRAM_LINK_H_
#define COWSLIPHILL_ZONE_DATAGRAM_LINK_H_

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
  uint64_t refused = 0;   // Wrong checksum.
  uint64_t not_sent = 0;  // No room in the socket, or no way there.
};

class DatagramLink {
 public:
  using Receive = std::function<void(const Endpoint& from, const std::string& payload)>;

  DatagramLink(asio::io_context& io, const std::string& key, Receive receive);

  // Returns what went wrong, or "".
  std::string Listen(const Endpoint& listen);
  // The same payload to each; never blocks.
  void Send(const std::vector<Endpoint>& to, const std::string& payload);
  void Close();
  const DatagramCounts& Counts() const { return counts_; }

 private:
  static constexpr size_t kMostBytes = 65507;  // Of one datagram, by UDP.
  static constexpr size_t kChecksumBytes = 8;
  static constexpr int kMostAtOnce =
      64;  // So that a flood leaves the loop time for its other work.

  void ReadAll();
  void Await();

  asio::ip::udp::socket socket_;
  uint64_t seed_;  // Of the checksum, from the shared key.
  Receive receive_;
  std::vector<char> buffer_;
  DatagramCounts counts_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_ZONE_DATAGRAM_LINK_H_
