// The administration API: HTTP and JSON on cpp-httplib's threads. Each route's handler runs on the
// loop's thread and answers through a callback; the API's thread waits for it, the loop never does.

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
  std::map<std::string, std::string> parameters;  // Of the query.
  std::string body;
  TeamId team;                      // Of the token; "local" when no tokens are set.
  std::vector<ServiceId> services;  // That the token may change; empty: all.

  std::string Parameter(const std::string& name) const;
};

struct AdminAnswer {
  int status = 200;
  std::string body;  // JSON unless `type` says otherwise.
  std::string type = "application/json";
};

using AdminReply = std::function<void(AdminAnswer)>;

struct AdminRoute {
  std::string method;  // "GET" or "POST".
  std::string path;
  bool needs_token = true;  // When tokens are set.
  std::function<void(const AdminRequest&, AdminReply)> handle;
};

// {"error": ...} with the status.
AdminAnswer AdminError(int status, const std::string& text);

class AdminServer {
 public:
  AdminServer(AdminSettings settings, Executor on_loop);
  ~AdminServer();

  void Add(AdminRoute route);
  // Binds and serves. Port 0 takes any free one. Returns what went wrong, or "".
  std::string Start();
  uint16_t Port() const { return port_; }
  void Stop();

 private:
  struct Server;

  const AdminToken* TokenOf(const std::string& authorization) const;

  AdminSettings settings_;
  Executor on_loop_;
  std::unique_ptr<Server> server_;
  std::thread thread_;
  uint16_t port_ = 0;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_ADMIN_ADMIN_SERVER_H_
