#include "src/datagram/broadcast_tree.h"

#include <xxhash.h>

#include <algorithm>

#include "src/base/packed.h"

namespace cowsliphill {

namespace {

// First byte of the encoding; no other kind of datagram starts with it.
constexpr char kFirstByte = 'B';
constexpr size_t kHeaderBytes = 13;

}  // namespace

void BroadcastTree::SetMembers(const FailureDomainId& own_domain,
                               const std::vector<Member>& others) {
  own_.clear();
  others_.clear();
  size_ = others.size();
  for (const Member& member : others) {
    const Node node{member.peer, member.state == MemberState::kAlive, member.millicores,
                    member.peer.ToString()};
    (member.failure_domain == own_domain ? own_ : others_[member.failure_domain]).push_back(node);
  }
}

// Returns the nodes in the range, in the order of their positions.
std::vector<BroadcastTree::Placed> BroadcastTree::Place(const std::vector<Node>& nodes,
                                                        const BroadcastRange& range) {
  std::vector<Placed> placed;
  placed.reserve(nodes.size());
  for (const Node& node : nodes) {
    const auto position =
        static_cast<uint32_t>(XXH3_64bits_withSeed(node.name.data(), node.name.size(), range.seed));
    if (position >= range.first && position <= range.last) placed.push_back({position, &node});
  }
  std::sort(placed.begin(), placed.end(),
            [](const Placed& a, const Placed& b) { return a.position < b.position; });
  return placed;
}

const BroadcastTree::Node* BroadcastTree::PickInner(const std::vector<Placed>& placed,
                                                    uint32_t seed) {
  const bool prefer_large = seed % 2 == 0;
  const Node* best = nullptr;
  for (const Placed& it : placed) {
    if (!it.node->may_forward) continue;
    if (best == nullptr || (prefer_large && it.node->millicores > best->millicores)) {
      best = it.node;
    }
  }
  return best;
}

std::vector<BroadcastHop> BroadcastTree::Start(uint32_t seed) const {
  std::vector<BroadcastHop> hops;
  const BroadcastRange whole{seed};
  const bool direct = size_ <= kMaxDirect;
  for (const auto& [failure_domain, nodes] : others_) {
    const Node* relay = direct ? nullptr : PickInner(Place(nodes, whole), seed);
    if (relay != nullptr) {
      hops.push_back({relay->peer, whole});
    } else {
      for (const Node& node : nodes) hops.push_back({node.peer, std::nullopt});
    }
  }
  if (direct) {
    for (const Node& node : own_) hops.push_back({node.peer, std::nullopt});
    return hops;
  }
  const std::vector<BroadcastHop> own = Forward(whole, Endpoint());
  hops.insert(hops.end(), own.begin(), own.end());
  return hops;
}

std::vector<BroadcastHop> BroadcastTree::Forward(const BroadcastRange& range,
                                                 const Endpoint& from) const {
  std::vector<Placed> placed = Place(own_, range);
  std::erase_if(placed, [&from](const Placed& it) { return it.node->peer == from; });
  std::vector<BroadcastHop> hops;
  const size_t parts = std::min(placed.size(), kFanOut);
  uint32_t first = range.first;
  for (size_t i = 0; i < parts; ++i) {
    const size_t begin = placed.size() * i / parts;
    const size_t end = placed.size() * (i + 1) / parts;
    const uint32_t last = end < placed.size() ? placed[end].position - 1 : range.last;
    const std::vector<Placed> part(placed.begin() + static_cast<std::ptrdiff_t>(begin),
                                   placed.begin() + static_cast<std::ptrdiff_t>(end));
    const Node* inner = part.size() > 1 ? PickInner(part, range.seed) : nullptr;
    if (inner != nullptr) {
      hops.push_back({inner->peer, BroadcastRange{range.seed, first, last}});
    } else {
      for (const Placed& it : part) hops.push_back({it.node->peer, std::nullopt});
    }
    first = last + 1;
  }
  return hops;
}

std::string EncodeBroadcast(const BroadcastRange& range, const std::string& payload) {
  PackedWriter out;
  out.Number(static_cast<unsigned char>(kFirstByte), 1);
  out.Number(range.seed, 4).Number(range.first, 4).Number(range.last, 4);
  return out.Take() + payload;
}

std::optional<BroadcastMessage> DecodeBroadcast(const std::string& bytes) {
  if (bytes.size() < kHeaderBytes || bytes[0] != kFirstByte) return std::nullopt;
  PackedReader in(std::string_view{bytes}.substr(1));
  BroadcastMessage message;
  message.range.seed = in.Number(4);
  message.range.first = in.Number(4);
  message.range.last = in.Number(4);
  message.payload = bytes.substr(kHeaderBytes);
  return message;
}

}  // namespace cowsliphill
