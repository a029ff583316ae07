#include "src/manifest/key_index.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <new>
#include <utility>

namespace cowsliphill {

namespace {

struct FreeContext {
  void operator()(EVP_MD_CTX* it) const { EVP_MD_CTX_free(it); }
};

std::pair<uint64_t, uint64_t> HalvesOf(const KeyDigest& digest) {
  std::pair<uint64_t, uint64_t> halves;
  std::memcpy(&halves.first, digest.data(), sizeof(halves.first));
  std::memcpy(&halves.second, digest.data() + sizeof(halves.first), sizeof(halves.second));
  return halves;
}

}  // namespace

KeyDigest DigestOfKey(std::string_view key) {
  // Kept between calls: to look up the algorithm and to allocate a context takes longer than the
  // digest itself.
  static EVP_MD* const algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
  thread_local const std::unique_ptr<EVP_MD_CTX, FreeContext> context(EVP_MD_CTX_new());
  std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
  const bool ok = algorithm != nullptr && context &&
                  EVP_DigestInit_ex2(context.get(), algorithm, nullptr) == 1 &&
                  EVP_DigestUpdate(context.get(), key.data(), key.size()) == 1 &&
                  EVP_DigestFinal_ex(context.get(), hash.data(), nullptr) == 1;
  if (!ok) throw std::bad_alloc();  // The only cause with a valid algorithm.
  KeyDigest digest;
  std::copy_n(hash.begin(), digest.size(), digest.begin());
  return digest;
}

void KeyIndex::SetManifest(std::shared_ptr<const Manifest> manifest) {
  manifest_ = std::move(manifest);
  ++generation_;
  first_halves_.clear();
  second_halves_.clear();
  owners_.clear();
  std::vector<std::pair<KeyDigest, size_t>> listed;
  for (size_t i = 0; i < manifest_->workspaces.size(); ++i) {
    for (const KeyDigest& digest : manifest_->workspaces[i].keys) listed.emplace_back(digest, i);
  }
  std::sort(listed.begin(), listed.end());
  listed.erase(std::unique(listed.begin(), listed.end()), listed.end());
  for (size_t i = 0; i < listed.size(); ++i) {
    const auto& [digest, owner] = listed[i];
    const bool shared = (i > 0 && listed[i - 1].first == digest) ||
                        (i + 1 < listed.size() && listed[i + 1].first == digest);
    if (shared) continue;
    const auto [first, second] = HalvesOf(digest);
    first_halves_.push_back(first);
    second_halves_.push_back(second);
    owners_.push_back(owner);
  }
}

const Workspace* KeyIndex::Find(const KeyDigest& digest) const {
  const auto [first, second] = HalvesOf(digest);
  const uint64_t* const first_halves = first_halves_.data();
  const uint64_t* const second_halves = second_halves_.data();
  uint64_t found = 0;  // Position of the match, counted from 1.
  // Without branches on the digests.
  for (uint64_t i = 0; i < owners_.size(); ++i) {
    const uint64_t difference = (first_halves[i] ^ first) | (second_halves[i] ^ second);
    const uint64_t equal = ((difference | (0 - difference)) >> 63) ^ 1;
    found |= (0 - equal) & (i + 1);
  }
  return found == 0 ? nullptr : &manifest_->workspaces[owners_[found - 1]];
}

}  // namespace cowsliphill
