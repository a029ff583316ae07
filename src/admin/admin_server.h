// The server of the administration API: JSON over HTTP on the threads of cpp-httplib. The handler
// of a route runs on the event loop's thread and replies through a callback. The server's thread
// waits for the reply, so the event loop never blocks.

#ifndef COWSLIPHILL_ADMIN_ADMIN_SERVER_H_
#define COWSLIPHILL_ADMIN_ADMIN_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "src/base/ids.h"
#include "src/settings/settings.h"
#include "src/storage/platform.h"

namespace cowsliphill {

struct AdminRequest {
  std::map<std::string, std::string> parameters;  // Query parameters by name.
  std::string body;
  TeamId team;                      // Team of the token; "local" if the settings have no tokens.
  std::vector<ServiceId> services;  // Services that the token may change; empty: all.

  // Returns "" if the query has no such parameter.
  std::string Parameter(const std::string& name) const;
};

struct AdminAnswer {
  int status = 200;
  std::string body;
  std::string type = "application/json";  // Content type of `body`.
};

using AdminReply = std::function<void(AdminAnswer)>;

struct AdminRoute {
  std::string method;  // "GET" or "POST".
  std::string path;
  bool needs_token = true;  // Whether a token is required if the settings have tokens.
  std::function<void(const AdminRequest&, AdminReply)> handle;
};

// Returns an answer with the body {"error": TEXT}.
AdminAnswer AdminError(int status, const std::string& text);

class AdminServer {
 public:
  AdminServer(AdminSettings settings, Executor on_loop);
  ~AdminServer();

  void Add(AdminRoute route);
  // Binds the address from the settings and starts to serve; port 0 selects any free port. Returns
  // an error message, or "" on success.
  std::string Start();
  uint16_t Port() const { return port_; }
  void Stop();

 private:
  struct Server;

  // Returns the token that the Authorization header carries, or null if it is unknown.
  const AdminToken* FindToken(const std::string& authorization) const;

  AdminSettings settings_;
  Executor on_loop_;
  std::unique_ptr<Server> server_;
  std::thread thread_;
  uint16_t port_ = 0;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_ADMIN_ADMIN_SERVER_H_
