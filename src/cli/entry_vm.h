// One entry VM: builds every slice, wires them, runs the loop until it is told to stop.

#ifndef COWSLIPHILL_CLI_ENTRY_VM_H_
#define COWSLIPHILL_CLI_ENTRY_VM_H_

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "src/admin/admin_server.h"
#include "src/admin/log.h"
#include "src/admin/metrics.h"
#include "src/base/clock.h"
#include "src/choose/chooser.h"
#include "src/forward/backend_pool.h"
#include "src/forward/dispatcher.h"
#include "src/forward/edge_server.h"
#include "src/manifest/manifest.h"
#include "src/platform/any_platform.h"
#include "src/settings/settings.h"

namespace cowsliphill {

class EntryVm {
 public:
  EntryVm(Settings settings, const Clock& clock, uint64_t seed);
  ~EntryVm();

  // Serves until SIGTERM or SIGINT. Returns the process's exit code.
  int Run();

 private:
  ForwardContext MakeContext();
  RequestObserver MakeObserver();
  void AddRoutes();
  bool LoadInitialManifest();
  void PutInForce(std::shared_ptr<const Manifest> manifest);
  void AwaitSignal();
  void StartStopping();
  void StopWhenIdle();
  void EveryTick();
  void EveryShortTick();
  void DrainLoop();
  std::string LookupJson(const std::string& caller_ip, const std::string& query) const;
  std::string StatusJson() const;
  AdminAnswer ExplainAnswer(const std::string& service) const;
  AdminAnswer DrainAnswer(const std::string& server) const;
  void OnRequestEnded(const RequestEnd& end);

  Settings settings_;
  const Clock& clock_;
  asio::io_context io_;
  Executor on_loop_;  // Posts to io_.
  EntryVmId id_;      // New at each start.
  Log log_;
  Metrics metrics_;
  AnyPlatform platform_;
  std::shared_ptr<const Manifest> manifest_;  // In force; never null.
  Chooser chooser_;
  Dispatcher dispatcher_;
  BackendPool pool_;
  EntryClaims claims_;
  ForwardContext context_;
  EdgeServer edge_;
  AdminServer admin_;
  asio::signal_set signals_;
  asio::steady_timer tick_;        // Housekeeping.
  asio::steady_timer short_tick_;  // Timers of the slices.
  asio::steady_timer stop_timer_;  // Steps of a graceful stop.
  MonotonicTime stop_started_{};
  bool stopping_ = false;
  int exit_code_ = 0;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLI_ENTRY_VM_H_
