// Fault-injecting TCP proxy: forwards bytes to an address and delays, drops or cuts connections as
// set. POST /faults at the control address sets the faults, GET /stats there counts connections.

#ifndef COWSLIPHILL_STANDINS_PROXY_H_
#define COWSLIPHILL_STANDINS_PROXY_H_

#include <memory>

#include "src/base/ids.h"

namespace asio {
class io_context;
}

namespace cowsliphill::standins {

struct ProxyOptions {
  Endpoint listen{"127.0.0.1", 0};
  Endpoint to;                       // Bytes are forwarded to this address.
  Endpoint control{"127.0.0.1", 0};  // Address of the HTTP control server.
};

class Proxy {
 public:
  Proxy(asio::io_context& loop, const ProxyOptions& options);
  ~Proxy();
  Endpoint Address() const;
  Endpoint ControlAddress() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace cowsliphill::standins

#endif  // COWSLIPHILL_STANDINS_PROXY_H_
