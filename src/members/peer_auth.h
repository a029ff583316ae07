// Authenticators of messages between entry VMs: HMAC-SHA256 with the key that all of them share.
//
// Both ends of a connection give a nonce; every authenticator covers both, the direction, the
// stream number, the kind and the payload. So a message can't be replayed: not on another
// connection, as the nonces differ, nor on the same one, as stream numbers don't repeat.

#ifndef COWSLIPHILL_MEMBERS_PEER_AUTH_H_
#define COWSLIPHILL_MEMBERS_PEER_AUTH_H_

#include <cstdint>
#include <string>

#include "src/base/ids.h"

namespace cowsliphill {

inline constexpr size_t kNonceLength = 32;  // Hexadecimal digits.

// Random, from the operating system.
std::string MakeNonce();

enum class PeerDirection : uint8_t { kRequest = 1, kReply = 2 };

// What identifies a message besides its payload.
struct PeerMessageIdentity {
  PeerDirection direction = PeerDirection::kRequest;
  std::string client_nonce;
  std::string server_nonce;
  EntryVmId sender;    // Who sends this message.
  int32_t stream = 0;  // Number of the HTTP/2 stream.
  std::string path;    // Names the kind.
};

class PeerAuthenticator {
 public:
  explicit PeerAuthenticator(std::string key) : key_(std::move(key)) {}

  // Hexadecimal.
  std::string Sign(const PeerMessageIdentity& identity, const std::string& payload) const;
  // Takes the same time for every wrong signature.
  bool Verify(const PeerMessageIdentity& identity, const std::string& payload,
              const std::string& signature) const;

 private:
  std::string key_;  // Shared secret of the settings; empty only on loopback.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_PEER_AUTH_H_
