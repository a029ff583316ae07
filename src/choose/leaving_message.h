// Message of kind kBackendLeaving: backend servers that an entry VM first saw leaving, so that
// every entry VM stops sending to them before it finds out by a request of its own.
//
// Pass on only what Chooser::TakeNewlyLeaving names; what came from another entry VM is not in it,
// so nothing is passed around in circles.

#ifndef COWSLIPHILL_CHOOSE_LEAVING_MESSAGE_H_
#define COWSLIPHILL_CHOOSE_LEAVING_MESSAGE_H_

#include <optional>
#include <string>
#include <vector>

#include "src/base/ids.h"

namespace cowsliphill {

struct LeavingMessage {
  std::vector<BackendServerId> servers;  // At most kMostLeavingServers.
};

inline constexpr size_t kMostLeavingServers = 4096;

std::string EncodeLeaving(const LeavingMessage& message);
// nullopt for anything that is not such a message of a known version.
std::optional<LeavingMessage> DecodeLeaving(const std::string& bytes);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_LEAVING_MESSAGE_H_
