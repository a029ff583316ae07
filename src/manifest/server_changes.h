// What changed in the list of backend servers. Those who keep something for each server apply
// changes in place of whole lists, because in a large fleet a list has a thousand servers and
// changes several times a second.

#ifndef COWSLIPHILL_MANIFEST_SERVER_CHANGES_H_
#define COWSLIPHILL_MANIFEST_SERVER_CHANGES_H_

#include <vector>

#include "src/manifest/manifest.h"

namespace cowsliphill {

struct ServerChange {
  enum class Kind {
    kAdded,
    kReborn,   // Another process runs under the same id.
    kLeaving,  // It has begun to leave.
    kOther,
  };
  Kind kind = Kind::kOther;
  BackendServer server;  // As it is now.
};

// `removed` comes before `changed`: a server that moves to another service or failure domain is in
// both.
struct ServerChanges {
  std::vector<BackendServer> removed;  // As they were.
  std::vector<ServerChange> changed;

  bool Empty() const { return removed.empty() && changed.empty(); }
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_SERVER_CHANGES_H_
