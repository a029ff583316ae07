// The network path from all entry VMs to one backend server: forwards connections to the server,
// and can be cut for those that come from one address, in the ways in which real paths are.

#ifndef COWSLIPHILL_STANDINS_LINK_H_
#define COWSLIPHILL_STANDINS_LINK_H_

#include <memory>
#include <optional>
#include <string>

#include "src/base/ids.h"

namespace asio {
class io_context;
}

namespace cowsliphill::standins {

enum class LinkMode {
  kOk,
  kSilent,  // No packet arrives: connections hang, and new ones are not established. Bytes that
            // were sent meanwhile arrive once the link is back.
  kReset,   // Connections are reset, new ones as soon as they are established.
  kRefuse,  // New connections are reset as soon as they are established; open ones live on.
};

std::optional<LinkMode> ParseLinkMode(const std::string& text);

class Link {
 public:
  Link(asio::io_context& loop, const Endpoint& to);
  ~Link();
  // Where entry VMs connect to reach the server.
  Endpoint Address() const;
  // `source`: the IPv4 address from which connections come.
  void SetMode(const std::string& source, LinkMode mode);
  // While the server is down, its host refuses connections.
  void SetServerUp(bool up);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace cowsliphill::standins

#endif  // COWSLIPHILL_STANDINS_LINK_H_
