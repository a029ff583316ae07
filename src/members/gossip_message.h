// Messages of the membership protocol and their MessagePack form.

#ifndef COWSLIPHILL_MEMBERS_GOSSIP_MESSAGE_H_
#define COWSLIPHILL_MEMBERS_GOSSIP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/base/ids.h"

namespace cowsliphill {

inline constexpr size_t kMaxGossipBytes = 8192;  // Longer payloads are rejected undecoded.
inline constexpr size_t kMaxGossipChanges = 32;  // Maximum number of member records in one message.

// Values are part of the wire form; never reuse one.
enum class MemberHealth : uint8_t {
  kAlive = 0,
  kSuspect = 1,  // Missed a probe; is declared dead unless it refutes in time.
  kDead = 2,     // Did not refute in time; can come back with a higher incarnation.
  kGone = 3,     // Announced its departure, or another process answers at its address; final.
};

// What is known about one member. Only the member itself raises its incarnation; a record with a
// higher incarnation replaces one with a lower.
struct MemberRecord {
  EntryVmId id;
  Endpoint edge;  // Address where callers connect.
  Endpoint peer;  // Address where other entry VMs connect.
  FailureDomainId failure_domain;
  RegionId region;           // Region that contains the failure domain.
  uint32_t millicores = 0;   // Processor share.
  uint64_t incarnation = 0;  // Version of the record.
  bool leaving = false;      // Set only by the member itself.
  bool links_lost = false;   // Set only by the member itself; see Member::links_lost.
  MemberHealth health = MemberHealth::kAlive;
};

enum class GossipType : uint8_t {
  kPing = 1,          // Probes the receiver. Answered by kAck.
  kPush = 2,          // Carries new changes, sent at once. Answered by kAck.
  kIndirectPing = 3,  // Asks the receiver to ping `target`. Answered by kAck at once.
  kIndirectAck = 4,   // Reports that `target` answered an indirect ping. Answered by kAck.
  kPull = 5,          // Requests the records after `cursor`. Answered by kPage.
  kAck = 6,
  kPage = 7,  // The sender's record, then others by id. An empty `cursor` marks the last page.
};

// Health of the receiver according to the sender of a message. On any value but kAlive the receiver
// sends its own record, with a higher incarnation if it refutes kSuspect or kDead.
enum class ReceiverHealth : uint8_t { kAlive = 0, kUnknown = 1, kSuspect = 2, kDead = 3 };

struct GossipMessage {
  GossipType type = GossipType::kPing;
  EntryVmId sender;          // Must equal the peer that the transport authenticated.
  uint64_t incarnation = 0;  // Incarnation of the sender.
  uint64_t digest = 0;       // Over the records of the sender and of its live members.
  ReceiverHealth receiver_health = ReceiverHealth::kAlive;
  uint64_t receiver_incarnation = 0;  // Incarnation in the sender's record of the receiver.
  bool request_record = false;        // The reply must contain the receiver's own record.
  EntryVmId target;      // kPing: intended receiver; indirect types: the pinged member.
  Endpoint target_peer;  // kIndirectPing: peer address of `target`.
  EntryVmId cursor;      // kPull: id to continue after; kPage: last id in the page.
  std::vector<MemberRecord> changes;
};

std::string EncodeGossip(const GossipMessage& message);

// Returns nullopt if the payload is malformed, too large, of another version or has a field out of
// range.
std::optional<GossipMessage> DecodeGossip(const std::string& payload);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_GOSSIP_MESSAGE_H_
