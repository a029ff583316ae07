// Protocol constants and limits shared by peer_client and peer_server.

#ifndef COWSLIPHILL_MEMBERS_PEER_WIRE_H_
#define COWSLIPHILL_MEMBERS_PEER_WIRE_H_

#include <optional>
#include <string>

#include "src/members/http2_connection.h"
#include "src/members/peer.h"
#include "src/members/peer_transport.h"

namespace cowsliphill {

inline constexpr const char* kPeerProtocolVersion = "1";
inline constexpr const char* kHelloPath = "/peer/hello";
inline constexpr size_t kMaxEntryVmIdLength = 128;

// HTTP status codes of responses. Refusals (all but kStatusOk) carry no authenticator.
inline constexpr int kStatusOk = 200;
inline constexpr int kStatusWrongVersion = 400;
inline constexpr int kStatusWrongAuthenticator = 401;
inline constexpr int kStatusUnknownKind = 404;
inline constexpr int kStatusTooLarge = 413;

inline std::string MessagePath(MessageKind kind) {
  return "/peer/" + std::to_string(static_cast<int>(kind));
}

inline Http2Limits ConnectionLimits(const PeerLimits& limits) {
  Http2Limits result;
  result.max_body_bytes = limits.max_payload_bytes;
  result.max_buffered_bytes = 2 * static_cast<size_t>(limits.max_payload_bytes);
  result.max_streams = limits.max_streams;
  return result;
}

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_PEER_WIRE_H_
