// Finds the workspace of a caller's key by the key's digest. Built once for each manifest that
// comes into force.
//
//   KeyIndex keys;
//   keys.SetManifest(manifest);
//   const Workspace* workspace = keys.Find(DigestOfKey(key));  // Null: no workspace has the key.
//
// Every lookup compares all digests in full, so its time depends neither on the key nor on the
// position of the match. It grows with the number of keys; deployments have some hundreds.

#ifndef COWSLIPHILL_MANIFEST_KEY_INDEX_H_
#define COWSLIPHILL_MANIFEST_KEY_INDEX_H_

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "src/manifest/manifest.h"

namespace cowsliphill {

KeyDigest DigestOfKey(std::string_view key);

class KeyIndex {
 public:
  // A key that several workspaces list belongs to none of them.
  void SetManifest(std::shared_ptr<const Manifest> manifest);

  // Whether requests need keys. False before the first manifest.
  bool KeysRequired() const { return manifest_ && manifest_->keys_required; }
  // Grows with each manifest: while it stays the same, so do the results of Find.
  uint64_t Generation() const { return generation_; }
  // The manifest of the last SetManifest; null before.
  const Manifest* InForce() const { return manifest_.get(); }
  // Returns null if no workspace has the key. The result is valid until the next SetManifest.
  const Workspace* Find(const KeyDigest& digest) const;

 private:
  std::shared_ptr<const Manifest> manifest_;
  uint64_t generation_ = 0;
  // The digests' halves, and the positions of their workspaces in the manifest.
  std::vector<uint64_t> first_halves_;
  std::vector<uint64_t> second_halves_;
  std::vector<size_t> owners_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_KEY_INDEX_H_
