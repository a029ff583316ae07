// Types shared by all code that communicates with other entry VMs: members, message kinds, errors
// and the PeerTransport concept.

#ifndef COWSLIPHILL_MEMBERS_PEER_H_
#define COWSLIPHILL_MEMBERS_PEER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "src/base/ids.h"
#include "src/base/result.h"

namespace cowsliphill {

enum class MemberState {
  kAlive,
  kSuspect,  // Did not answer a probe; lookup answers list it after all alive members.
  kLeaving,  // Shutting down: finishes its open requests and is in no new lookup answer.
};

struct Member {
  EntryVmId id;   // Changes at each process start.
  Endpoint edge;  // Address to which callers connect.
  Endpoint peer;  // Address to which other entry VMs connect.
  FailureDomainId failure_domain;
  RegionId region;
  MemberState state = MemberState::kAlive;
  uint32_t millicores = 0;  // Processor share.
  bool links_lost = false;  // It reaches no backend server over its own links.
};

// Kinds of messages between entry VMs. The values are part of the wire format; never reuse one.
enum class MessageKind : uint8_t {
  kMembership = 1,      // Used by src/members: probes, indirect probes and member changes.
  kManifestHead = 2,    // Used by src/manifest: the revision in force at the sender.
  kManifestFetch = 3,   // Used by src/manifest: requests the changes since a revision.
  kRecordNotes = 4,     // Used by src/records: notes of open and of ended requests.
  kBackendLeaving = 5,  // Used by src/members: backend servers that are leaving.
  kProbeResults = 6,    // Reserved for load reports that the prober received; not sent at present.
};

enum class PeerError {
  kUnreachable,  // The request was not sent.
  kTimeout,      // Sent, but no reply arrived in time or before the connection closed.
  kRefused,      // Wrong key, unknown kind or protocol version, or a message that is too large.
};

// Asks another entry VM for a tunnel to a backend server.
struct TunnelRequest {
  uint32_t server = 0;   // Hash of the server's id; see HashName in src/schedule.
  uint64_t started = 0;  // BackendServer::started: the tunnel must lead to this lifetime of it.
  std::chrono::milliseconds time_left{0};  // Until the first byte of an answer is of no more use.
  std::string request;                     // Id of the request that it is for, for logs.
};

// Why there is no tunnel. The values are part of the wire format.
enum class TunnelError : uint16_t {
  kNotOpened = 0,            // The other entry VM did not answer.
  kServerUnknown = 404,      // It does not know this lifetime of the server.
  kServerLeaving = 410,      // It knows that the server is leaving.
  kServerUnreachable = 502,  // It has no connection to the server either.
  kBusy = 503,               // It opens no further tunnels now.
  kNoLink = 504,             // Its own link to the server is broken, or may be.
};

// A peer transport: Request sends a message and passes the reply to `done`; Handle registers the
// handler that replies to messages of a kind. Payloads are versioned messages in MessagePack
// (nlohmann::json::to_msgpack). Handlers and callbacks run on the event loop's thread.
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
