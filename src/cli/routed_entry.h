// An entry VM whose manifest and backend servers come from the platform's store. Stateless: what
// it knows is read again at each start.
//
// Sections of routed_entry.cc:
//   1. Build and listen
//   2. Catalog and members
//   3. Reports on backend servers
//   4. Requests
//   5. Timers
//   6. Signals and the graceful stop
//
// Limits: one loop thread; claims and records of src/claims and src/records are not kept here, as
// requests carry ids of their own and the platform keeps the callers' records.

#ifndef COWSLIPHILL_CLI_ROUTED_ENTRY_H_
#define COWSLIPHILL_CLI_ROUTED_ENTRY_H_

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/admin/log.h"
#include "src/admin/log_budget.h"
#include "src/admin/metrics.h"
#include "src/balance/balancer.h"
#include "src/base/clock.h"
#include "src/catalog/catalog_follower.h"
#include "src/cli/graceful_stop.h"
#include "src/cli/platform_adapter.h"
#include "src/forward/backend_pool.h"
#include "src/forward/dispatcher.h"
#include "src/forward/edge_server.h"
#include "src/forward/plain_server.h"
#include "src/forward/probe_client.h"
#include "src/measure/zone_prober.h"
#include "src/members/members.h"
#include "src/members/peer_transport.h"
#include "src/settings/settings.h"
#include "src/zone/datagram_link.h"

namespace cowsliphill {

class RoutedEntry {
 public:
  // `seed` differs between processes.
  RoutedEntry(Settings settings, PlatformAdapter adapter, const Clock& clock, uint64_t seed);
  ~RoutedEntry();

  // Serves until SIGTERM or SIGINT. Returns the process's exit code.
  int Run();

 private:
  // Other entry VMs are found by seeds and by each other.
  struct NoVmList {
    void ListVms(const std::function<void(VmListResult)>& done) { done(std::vector<ListedVm>()); }
  };
  using EntryMembers = Members<PeerNode, NoVmList>;
  // A report that no other entry VM has been told yet.
  struct Unshared {
    ServerReport item;        // Without its age.
    MonotonicTime sampled{};  // When item's report was true.
  };

  // 1. Build and listen
  ForwardContext MakeContext();
  CatalogListener MakeListener();
  TableWatchTimes WatchTimes() const;
  std::string Listen();

  // 2. Catalog and members
  void OnManifest(const std::shared_ptr<const Manifest>& manifest);
  void OnServers(const std::vector<BackendServer>& servers);
  void LogServerChanges(const std::vector<BackendServer>& servers);
  void LogMemberChange(const MemberChange& change);
  void LogReaderChange();
  void ApplyCatalog();
  void Tell(const CatalogNews& news);
  void OnNews(const CatalogNews& news);
  void AskPeer();
  void OnQuestion(const CatalogQuestion& question);
  void OnMembers();
  bool Ready() const;
  PlainAnswer AnswerLookup(const std::string& path, const std::string& query);
  PlainAnswer AnswerReadiness(const std::string& path);
  PlainAnswer AnswerMetrics(const std::string& path);

  // 3. Reports on backend servers
  void OnDatagram(const std::string& payload);
  void OnReports(ReportBatch batch);
  void SendProbes();
  void OnProbed(const ProbeTarget& target, const std::optional<Report>& report);
  void OnAnswerReport(const BackendServerId& server, const Report& report);
  std::vector<Endpoint> NextRelays();
  void UpdateRank();
  void ShareSoon();
  void Share();

  // 4. Requests
  void OnRequestEnded(const RequestEnd& end);

  // 5. Timers
  void EveryTick();
  void EverySecond();
  void SetGauges();

  // 6. Signals and the graceful stop
  void AwaitSignal();
  void StartStopping();
  bool MayDepart(Duration waited);
  void DrainLoop();

  Settings settings_;
  PlatformAdapter adapter_;
  const Clock& clock_;
  asio::io_context io_;
  EntryVmId id_;  // New at each start.
  Log log_;
  Metrics metrics_;
  CatalogClient store_;
  CatalogFollower<CatalogClient> follower_;
  Balancer balancer_;
  Dispatcher dispatcher_;
  BackendPool pool_;
  std::shared_ptr<const Manifest>
      manifest_;                        // In force; never null, revision 0 until there is one.
  std::vector<BackendServer> servers_;  // As last heard.
  ForwardContext context_;
  EdgeServer edge_;
  PlainServer lookup_server_;
  PlainServer readiness_server_;
  PlainServer metrics_server_;
  PeerNode peers_;
  NoVmList no_vm_list_;
  std::optional<EntryMembers> members_;
  DatagramLink datagrams_;
  std::vector<Endpoint> all_peers_;                     // Of the other entry VMs that are alive.
  std::vector<Endpoint> near_peers_;                    // Of those in our failure domain.
  std::map<PlaceId, std::vector<Endpoint>> far_peers_;  // Of the others.
  size_t next_relay_ = 0;                               // Takes turns over far_peers_.
  size_t next_asked_ = 0;                               // Takes turns over near peers or seeds.
  uint32_t rank_ = 0;                                   // Place in the order of election.
  MonotonicTime started_{};                             // When this process began to serve.
  ZoneProber prober_;
  ProbeClient probe_client_;
  std::map<BackendServerId, Unshared> to_share_;  // Since the last Share.
  std::map<ServerTag, ServerReport> far_share_;   // Not yet told to other domains.
  size_t shares_ = 0;                             // Calls of Share that sent something.
  bool sharing_ = false;                          // share_timer_ runs.
  std::map<BackendServerId, ProbeTarget> targets_;
  std::unordered_map<ServerTag, BackendServerId> by_tag_;
  LogBudget unusual_lines_;
  LogBudget usual_lines_;
  asio::signal_set signals_;
  asio::steady_timer tick_timer_;
  asio::steady_timer second_timer_;
  asio::steady_timer share_timer_;
  GracefulStop stop_;
  MonotonicTime last_share_{};
  bool was_reader_ = false;  // As last logged.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLI_ROUTED_ENTRY_H_
