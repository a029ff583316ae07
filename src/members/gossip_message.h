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

inline constexpr size_t kMaxGossipBytes = 8192;  // Longer payloads are refused unread.
inline constexpr size_t kMaxGossipChanges = 32;  // Records in one message.

// Values are part of the wire form; never reuse one.
enum class MemberHealth : uint8_t {
  kAlive = 0,
  kSuspect = 1,  // Did not answer; has time to refute.
  kDead = 2,     // Did not refute in time; may still come back with a higher incarnation.
  kGone = 3,     // Said farewell, or its address answers as another process: final.
};

// What is known about one member. Only the member itself raises its incarnation; the record with
// the higher one replaces the other.
struct MemberRecord {
  EntryVmId id;
  Endpoint edge;                   // Where callers connect.
  Endpoint peer;                   // Where other entry VMs connect.
  FailureDomainId failure_domain;  // Failure domain.
  RegionId region;                 // Region of the failure domain.
  uint64_t incarnation = 0;        // Version of the record.
  bool leaving = false;            // Set by the member itself.
  MemberHealth health = MemberHealth::kAlive;
};

enum class GossipType : uint8_t {
  kPing = 1,            // Are you alive? Answered by kAck.
  kPush = 2,            // Fresh changes, sent at once. Answered by kAck.
  kPingOnBehalf = 3,    // Ping `target` for me. Answered by kAck at once.
  kOnBehalfAnswer = 4,  // `target` answered my ping made for you. Answered by kAck.
  kPull = 5,            // Give me records after `cursor`. Answered by kPage.
  kAck = 6,
  kPage = 7,  // Records in order of id; `cursor` empty: the last ones.
};

// How the sender of a message sees its receiver. Anything but kFine calls for an answer: a record
// with a higher incarnation, or an introduction.
enum class Standing : uint8_t { kFine = 0, kUnknown = 1, kSuspect = 2, kDead = 3 };

struct GossipMessage {
  GossipType type = GossipType::kPing;
  EntryVmId sender;          // Also authenticated by the transport.
  uint64_t incarnation = 0;  // The sender's own.
  uint64_t digest = 0;       // Over the sender's live records.
  Standing standing = Standing::kFine;
  uint64_t standing_incarnation = 0;  // Incarnation of the receiver that `standing` is about.
  bool introduce = false;             // The answer must hold the receiver's own record.
  EntryVmId target;                   // Whom the sender expects, or who is to be pinged.
  Endpoint target_peer;               // kPingOnBehalf: where `target` is.
  EntryVmId cursor;                   // kPull: records after this; kPage: last one in it.
  std::vector<MemberRecord> changes;
};

std::string EncodeGossip(const GossipMessage& message);

// nullopt for anything malformed, too large, of another version or out of range.
std::optional<GossipMessage> DecodeGossip(const std::string& payload);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_GOSSIP_MESSAGE_H_
