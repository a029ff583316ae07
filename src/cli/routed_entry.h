// An entry VM whose manifest and backend servers come from the platform's store. Stateless: what
// it knows is read again at each start.
//
// Sections of routed_entry.cc:
//   1. Build and listen
//   2. Catalog and members
//   3. Scheduling
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
#include <vector>

#include "src/admin/log.h"
#include "src/admin/log_budget.h"
#include "src/admin/metrics.h"
#include "src/base/clock.h"
#include "src/catalog/catalog_follower.h"
#include "src/cli/graceful_stop.h"
#include "src/cli/platform_adapter.h"
#include "src/forward/backend_pool.h"
#include "src/forward/dispatcher.h"
#include "src/forward/edge_server.h"
#include "src/forward/plain_server.h"
#include "src/members/members.h"
#include "src/members/peer_transport.h"
#include "src/schedule/schedule_node.h"
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
  // 1. Build and listen
  ForwardContext MakeContext();
  CatalogListener MakeListener();
  TableWatchOptions WatchTimes() const;
  std::string Listen();

  // 2. Catalog and members
  void OnManifest(const std::shared_ptr<const Manifest>& manifest);
  void OnServers(const std::vector<BackendServer>& servers);
  void LogServerChanges(const std::vector<BackendServer>& servers);
  void LogMemberChange(const MemberChange& change);
  void LogReaderChange();
  void ApplyCatalog();
  std::vector<Endpoint> NextRelays();
  void Tell(const CatalogUpdate& news);
  void OnNews(const Endpoint& from, const CatalogUpdate& news);
  void AskPeer(CatalogRequest question);
  void OnQuestion(const CatalogRequest& question);
  void AnswerWaitingQuestions();
  void OnMembers();
  void UpdateRank();
  bool Ready() const;
  PlainResponse AnswerLookup(const std::string& path, const std::string& query);
  PlainResponse AnswerReadiness(const std::string& path);
  PlainResponse AnswerMetrics(const std::string& path);

  // 3. Scheduling
  ScheduleListener MakeScheduleListener();
  void OnDatagram(const Endpoint& from, const std::string& payload);

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
  ScheduleNode scheduling_;
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
  std::vector<Endpoint> all_peers_;   // Of the other entry VMs that are alive.
  std::vector<Endpoint> near_peers_;  // Of those in our failure domain.
  std::map<FailureDomainId, std::vector<Endpoint>> far_peers_;  // Of the others.
  size_t next_relay_ = 0;                                       // Takes turns over far_peers_.
  std::optional<Endpoint> news_from_afar_;  // Sender of the news that we are to relay, meanwhile.
  std::vector<CatalogRequest> questions_;   // About what we don't know yet.
  size_t next_asked_ = 0;                   // Takes turns over near peers or seeds.
  uint32_t rank_ = 0;                       // Place in the order of election.
  MonotonicTime started_{};                 // When this process began to serve.
  LogBudget unusual_lines_;
  LogBudget usual_lines_;
  asio::signal_set signals_;
  asio::steady_timer tick_timer_;
  asio::steady_timer second_timer_;
  GracefulStop stop_;
  bool was_reader_ = false;  // As last logged.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLI_ROUTED_ENTRY_H_
