#include "src/members/peer_auth.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <stdexcept>
#include <string_view>

namespace cowsliphill {
namespace {

constexpr size_t kNonceBytes = kNonceLength / 2;
constexpr size_t kSignatureBytes = 16;  // HMAC-SHA256 cut to half its length (RFC 2104 allows it).
constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::string_view kSignatureContext = "cowsliphill peer 1";

std::string ToHex(const unsigned char* bytes, size_t n) {
  std::string hex;
  hex.reserve(n * 2);
  for (size_t i = 0; i < n; ++i) {
    hex += kHexDigits[bytes[i] >> 4];
    hex += kHexDigits[bytes[i] & 15];
  }
  return hex;
}

// Prefixes the field with its length, so that no two lists of fields encode to the same bytes.
void AppendField(std::string& bytes, std::string_view field) {
  const auto n = static_cast<uint32_t>(field.size());
  for (int shift = 24; shift >= 0; shift -= 8) bytes += static_cast<char>(n >> shift);
  bytes += field;
}

}  // namespace

std::string MakeNonce() {
  std::array<unsigned char, kNonceBytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw std::runtime_error("cannot generate a nonce: RAND_bytes failed");
  }
  return ToHex(bytes.data(), bytes.size());
}

std::string PeerAuthenticator::Sign(const PeerMessageIdentity& identity,
                                    const std::string& payload) const {
  std::string bytes;
  AppendField(bytes, kSignatureContext);
  AppendField(bytes, std::to_string(static_cast<int>(identity.direction)));
  AppendField(bytes, identity.client_nonce);
  AppendField(bytes, identity.server_nonce);
  AppendField(bytes, identity.sender.Text());
  AppendField(bytes, std::to_string(identity.stream));
  AppendField(bytes, identity.path);
  AppendField(bytes, payload);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int n = 0;
  HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data(), &n);
  return ToHex(digest.data(), kSignatureBytes);
}

bool PeerAuthenticator::Verify(const PeerMessageIdentity& identity, const std::string& payload,
                               const std::string& signature) const {
  const std::string expected = Sign(identity, payload);
  return signature.size() == expected.size() &&
         CRYPTO_memcmp(signature.data(), expected.data(), expected.size()) == 0;
}

}  // namespace cowsliphill
