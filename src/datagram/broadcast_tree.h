// How a message reaches all other entry VMs while each of them sends only a few datagrams. The
// sender gives it to one entry VM of each other failure domain, the relay, and within its own
// failure domain to the inner nodes of a tree; relays and inner nodes forward it in the same way.
// Pure: no I/O.
//
//   for (const BroadcastHop& hop : tree.Start(seed)) ...                // To send.
//   for (const BroadcastHop& hop : tree.Forward(range, from)) ...       // To forward.
//
// A seed gives each entry VM a position on a ring of 32 bits. An inner node gets a range of
// positions and forwards the message to the entry VMs there that it knows; the sender may not know
// all of them. With more than kFanOut entry VMs in its range it divides the range and picks an
// inner node for each part: for an even seed the one with the largest processor share, and for an
// odd seed any, because all of the largest may be gone before the members know.
//
// Limits: what an inner node forwards is lost with it. Each broadcast should have another seed, so
// that the next one takes other ways, and what matters must be repeated or asked for.

#ifndef COWSLIPHILL_DATAGRAM_BROADCAST_TREE_H_
#define COWSLIPHILL_DATAGRAM_BROADCAST_TREE_H_

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/base/ids.h"
#include "src/members/peer.h"

namespace cowsliphill {

// Positions from `first` to `last` under a seed.
struct BroadcastRange {
  uint32_t seed = 0;
  uint32_t first = 0;
  uint32_t last = std::numeric_limits<uint32_t>::max();

  // Whether the receiver is its failure domain's relay.
  bool IsWhole() const { return first == 0 && last == std::numeric_limits<uint32_t>::max(); }
};

struct BroadcastHop {
  Endpoint to;
  std::optional<BroadcastRange> forward;  // What the receiver forwards; nullopt: nothing.
};

class BroadcastTree {
 public:
  // Datagrams that an entry VM sends for one broadcast in its failure domain.
  static constexpr size_t kFanOut = 16;
  // Up to this many other entry VMs get a broadcast directly.
  static constexpr size_t kMaxDirect = 20;

  // Replaces the list of the other live entry VMs. Those that are suspect or leaving get broadcasts
  // but forward none.
  void SetMembers(const FailureDomainId& own_domain, const std::vector<Member>& others);

  // Relays come first: if a datagram to a relay is lost on a full link, its whole failure domain
  // misses the message.
  std::vector<BroadcastHop> Start(uint32_t seed) const;
  // `from`: the sender of the datagram, which needs no copy.
  std::vector<BroadcastHop> Forward(const BroadcastRange& range, const Endpoint& from) const;

 private:
  struct Node {
    Endpoint peer;
    bool may_forward = false;
    uint32_t millicores = 0;
    std::string name;  // `peer` as text, for positions.
  };
  struct Placed {
    uint32_t position = 0;
    const Node* node = nullptr;
  };

  static std::vector<Placed> Place(const std::vector<Node>& nodes, const BroadcastRange& range);
  // Returns null if none of them may forward.
  static const Node* PickInner(const std::vector<Placed>& placed, uint32_t seed);

  std::vector<Node> own_;  // In this failure domain.
  std::map<FailureDomainId, std::vector<Node>> others_;
  size_t size_ = 0;  // Number of all other entry VMs.
};

// A datagram that its receiver forwards to a range before it handles `payload`.
struct BroadcastMessage {
  BroadcastRange range;
  std::string payload;
};

std::string EncodeBroadcast(const BroadcastRange& range, const std::string& payload);
// Returns nullopt if the datagram is not such a message.
std::optional<BroadcastMessage> DecodeBroadcast(const std::string& bytes);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_DATAGRAM_BROADCAST_TREE_H_
