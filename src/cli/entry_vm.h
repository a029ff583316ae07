// One entry VM: creates and connects its components and runs the event loop until a signal stops
// it.
//
// Sections of entry_vm.cc:
//   1. Build: components that need no address first; those that need one after listening
//   2. Events between components
//   3. Timers
//   4. The graceful stop
// The routes of the administration API are in entry_routes.cc.

#ifndef COWSLIPHILL_CLI_ENTRY_VM_H_
#define COWSLIPHILL_CLI_ENTRY_VM_H_

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <asio/thread_pool.hpp>
#include <memory>
#include <optional>
#include <string>

#include "src/admin/admin_server.h"
#include "src/admin/log.h"
#include "src/admin/metrics.h"
#include "src/base/clock.h"
#include "src/choose/chooser.h"
#include "src/claims/claim_sweeper.h"
#include "src/cli/graceful_stop.h"
#include "src/forward/backend_pool.h"
#include "src/forward/dispatcher.h"
#include "src/forward/edge_server.h"
#include "src/forward/probe_client.h"
#include "src/manifest/manifest_follower.h"
#include "src/manifest/manifest_keeper.h"
#include "src/measure/prober.h"
#include "src/members/leaving_spread.h"
#include "src/members/members.h"
#include "src/members/peer_transport.h"
#include "src/records/record_keeper.h"
#include "src/records/record_reader.h"
#include "src/settings/settings.h"
#include "src/storage/any_platform.h"

namespace cowsliphill {

class EntryVm {
 public:
  // `seed` must differ between processes.
  EntryVm(Settings settings, const Clock& clock, uint64_t seed);
  ~EntryVm();

  // Serves until SIGTERM or SIGINT, then stops gracefully. Returns the process's exit code.
  int Run();

 private:
  using EntryMembers = Members<PeerNode, AnyPlatform>;
  using EntryFollower = ManifestFollower<AnyPlatform, AnyPlatform, PeerNode>;
  using EntryKeeper = ManifestKeeper<AnyPlatform, AnyPlatform, EntryFollower>;
  using EntryRecords = RecordKeeper<PeerNode, AnyPlatform>;

  // 1. Build
  ForwardContext MakeContext();
  RequestObserver MakeObserver();
  std::string Listen();
  void BuildAfterListening();
  void SubmitInitialManifest();

  // 2. Events between components
  void OnManifest(const ManifestPtr& manifest);
  void OnMembers();
  void ReportLeavingServers();
  void ReadVmList();
  uint64_t OnRequestStarted(const RequestMeta& meta, WallTime started);
  void OnRequestEnded(const RequestEnd& end);
  void OnProbed(const ProbeTarget& target, const std::optional<Report>& report);
  std::string LookupJson(const std::string& caller_ip, const std::string& query) const;

  // 3. Timers
  void EveryShortTick();
  void LongTick();
  void EverySecond();
  void SetGauges();

  // 4. The graceful stop
  void AwaitSignal();
  void StartStopping();
  bool MayDepart(Duration waited);
  bool HasWorkLeft() const;
  void DrainLoop();

  // Administration API, in entry_routes.cc.
  void AddRoutes();
  AdminAnswer Status() const;
  AdminAnswer Drain(const std::string& server) const;
  void SubmitManifest(const AdminRequest& request, const AdminReply& reply);
  void ReadHistory(const AdminRequest& request, const AdminReply& reply);
  void CompareRevisions(const AdminRequest& request, const AdminReply& reply);
  void ReadRecords(const AdminRequest& request, const AdminReply& reply);

  Settings settings_;
  const Clock& clock_;
  uint64_t seed_;
  asio::io_context io_;
  asio::thread_pool worker_;  // One thread for work that would block the event loop.
  Executor on_loop_;          // Posts to io_.
  Executor on_worker_;        // Posts to worker_.
  EntryVmId id_;              // A new id at each start of the process.
  Log log_;
  Metrics metrics_;
  AnyPlatform platform_;
  // The manifest in force. Never null; its revision is 0 until one is known.
  ManifestPtr manifest_;
  Chooser chooser_;
  Dispatcher dispatcher_;
  BackendPool pool_;
  EntryClaims claims_;
  ClaimSweeper<AnyPlatform> claim_sweeper_;
  ForwardContext context_;
  EdgeServer edge_;
  AdminServer admin_;
  PeerNode peers_;
  Endpoint edge_address_;  // Advertised address of the callers' port, for lookup answers.
  std::optional<EntryMembers> members_;
  // Exchanges notices of leaving backend servers with the other entry VMs.
  std::optional<LeavingSpread<PeerNode, EntryMembers>> leaving_spread_;
  std::optional<EntryFollower> follower_;
  std::optional<EntryKeeper> keeper_;
  std::optional<EntryRecords> records_;
  RecordReader<AnyPlatform> record_reader_;
  ProbeClient probe_client_;
  Prober<AnyPlatform> prober_;
  asio::signal_set signals_;
  asio::steady_timer second_timer_;
  asio::steady_timer short_timer_;
  GracefulStop stop_;
  MonotonicTime next_long_tick_{};
  MonotonicTime next_vm_list_{};  // When ReadVmList is called next.
  int exit_code_ = 0;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLI_ENTRY_VM_H_
