// Protocol constants and limits shared by peer_client and peer_server.

#ifndef COWSLIPHILL_MEMBERS_PEER_WIRE_H_
#define COWSLIPHILL_MEMBERS_PEER_WIRE_H_

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "src/base/numbers.h"
#include "src/members/http2_connection.h"
#include "src/members/peer.h"
#include "src/members/peer_transport.h"

namespace cowsliphill {

inline constexpr const char* kPeerProtocolVersion = "1";
inline constexpr const char* kHelloPath = "/peer/hello";
inline constexpr const char* kTunnelPath = "/peer/tunnel";  // Covered by the authenticator.
inline constexpr size_t kMaxEntryVmIdLength = 128;
// Streams of a connection that messages leave to tunnels.
inline constexpr uint32_t kMaxTunnelsPerConnection = 96;
inline constexpr size_t kMaxTunnelRequestIdLength = 64;

// HTTP status codes of responses. Refusals (all but kStatusOk) carry no authenticator.
inline constexpr int kStatusOk = 200;
inline constexpr int kStatusWrongVersion = 400;
inline constexpr int kStatusWrongAuthenticator = 401;
inline constexpr int kStatusUnknownKind = 404;
inline constexpr int kStatusTooLarge = 413;

inline std::string MessagePath(MessageKind kind) {
  return "/peer/" + std::to_string(static_cast<int>(kind));
}

inline constexpr uint64_t kMaxTunnelTimeLeftMs = 3600000;

// The value of Http2Message::tunnel_to: "SERVER STARTED TIME_LEFT_MS", decimal numbers.
inline std::string FormatTunnelTo(const TunnelRequest& request) {
  return std::to_string(request.server) + " " + std::to_string(request.started) + " " +
         std::to_string(std::max<int64_t>(request.time_left.count(), 0));
}

inline std::optional<TunnelRequest> ParseTunnelTo(std::string_view text) {
  std::array<uint64_t, 3> numbers{};
  for (size_t i = 0; i < numbers.size(); ++i) {
    const bool last = i + 1 == numbers.size();
    const size_t end = last ? text.size() : text.find(' ');
    if (end == std::string_view::npos) return std::nullopt;
    const std::optional<uint64_t> number = ParseUnsigned(text.substr(0, end));
    if (!number) return std::nullopt;
    numbers[i] = *number;
    text.remove_prefix(last ? end : end + 1);
  }
  if (numbers[0] > UINT32_MAX) return std::nullopt;
  TunnelRequest request;
  request.server = static_cast<uint32_t>(numbers[0]);
  request.started = numbers[1];
  request.time_left = std::chrono::milliseconds(std::min(numbers[2], kMaxTunnelTimeLeftMs));
  return request;
}

inline TunnelError TunnelErrorOf(int status) {
  for (const TunnelError it :
       {TunnelError::kServerUnknown, TunnelError::kServerLeaving, TunnelError::kServerUnreachable,
        TunnelError::kBusy, TunnelError::kNoLink}) {
    if (status == static_cast<int>(it)) return it;
  }
  return TunnelError::kNotOpened;
}

inline Http2Limits ConnectionLimits(const PeerLimits& limits) {
  Http2Limits result;
  result.max_body_bytes = limits.max_payload_bytes;
  result.max_buffered_bytes = 2 * static_cast<size_t>(limits.max_payload_bytes);
  result.max_streams = limits.max_streams + kMaxTunnelsPerConnection;
  return result;
}

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_PEER_WIRE_H_
