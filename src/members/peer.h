// How slices talk to other entry VMs: typed messages over peer streams, and who is a member.

#ifndef COWSLIPHILL_MEMBERS_PEER_H_
#define COWSLIPHILL_MEMBERS_PEER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "src/base/ids.h"
#include "src/base/result.h"

namespace cowsliphill {

enum class MemberState {
  kAlive,
  kSuspect,  // Did not answer; still in lookup answers' tail, not in new ones' head.
  kLeaving,  // Finishes its requests; in no new lookup answer.
};

struct Member {
  EntryVmId id;                    // New at each process start.
  Endpoint edge;                   // Where callers connect.
  Endpoint peer;                   // Where other entry VMs connect.
  FailureDomainId failure_domain;  // Failure domain.
  RegionId region;
  MemberState state = MemberState::kAlive;
};

// Kinds of messages between entry VMs. Values are part of the wire form; never reuse one.
enum class MessageKind : uint8_t {
  kMembership = 1,      // Owned by members: ping, ping on behalf, member changes.
  kManifestHead = 2,    // Owned by manifest: the revision in force at the sender.
  kManifestFetch = 3,   // Owned by manifest: asks for changes since a revision.
  kRecordNotes = 4,     // Owned by records: start and end notes.
  kBackendLeaving = 5,  // Owned by choose: backend servers seen leaving.
  kProbeResults = 6,    // Owned by measure: reports seen by the prober.
};

enum class PeerError {
  kUnreachable,  // Not sent.
  kTimeout,      // Sent; no reply in time.
  kRefused,      // Wrong key, unknown kind or version, or too large.
};

// A peer transport: Request sends and gives the reply; Handle registers what answers a kind. The
// payloads are bytes in MessagePack (nlohmann::json::to_msgpack of a versioned typed message).
// Handlers and callbacks run on the loop's thread.
template <typename T>
concept PeerTransport = requires(
    T& transport, Endpoint to, MessageKind kind, std::string payload,
    std::function<void(Result<std::string, PeerError>)> done,
    std::function<std::string(const EntryVmId& from, const std::string& payload)> handler) {
  transport.Request(to, kind, payload, done);
  transport.Handle(kind, handler);
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_PEER_H_
