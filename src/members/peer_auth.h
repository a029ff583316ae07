// Authenticates messages between entry VMs by HMAC-SHA256 with a key that all of them share.
//
// Each end of a connection sends a nonce. Every authenticator covers both nonces, the direction,
// the sender, the stream number, the path and the payload, so a message can't be replayed: the
// nonces differ on any other connection, and stream numbers don't repeat on the same one.

#ifndef COWSLIPHILL_MEMBERS_PEER_AUTH_H_
#define COWSLIPHILL_MEMBERS_PEER_AUTH_H_

#include <cstdint>
#include <string>

#include "src/base/ids.h"

namespace cowsliphill {

inline constexpr size_t kNonceLength = 32;  // In hexadecimal digits.

// Returns a nonce from a cryptographically secure random generator.
std::string MakeNonce();

enum class PeerDirection : uint8_t { kRequest = 1, kReply = 2 };

// The fields that an authenticator covers besides the payload.
struct PeerMessageIdentity {
  PeerDirection direction = PeerDirection::kRequest;
  std::string client_nonce;
  std::string server_nonce;
  EntryVmId sender;
  int32_t stream = 0;  // HTTP/2 stream number.
  std::string path;    // URL path, which names the message kind.
};

class PeerAuthenticator {
 public:
  explicit PeerAuthenticator(std::string key) : key_(std::move(key)) {}

  // Returns the signature in hexadecimal digits.
  std::string Sign(const PeerMessageIdentity& identity, const std::string& payload) const;
  // Compares in constant time, so that timing reveals nothing about the expected signature.
  bool Verify(const PeerMessageIdentity& identity, const std::string& payload,
              const std::string& signature) const;

 private:
  std::string key_;  // Shared secret from the settings; may be empty only on loopback.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEMBERS_PEER_AUTH_H_
