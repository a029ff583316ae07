// An entry VM whose manifest and backend servers come from the platform's store. It is stateless
// and reads both again at each start.
//
// Sections of routed_entry.cc:
//   1. Build and listen
//   2. Catalog and members
//   3. Scheduling
//   4. Requests
//   5. Timers
//   6. Signals and the graceful stop
//
// Limits: everything runs on one event loop thread. Claims (src/claims) and records (src/records)
// are not kept, because requests carry their own ids and the platform keeps the callers' records.

#ifndef COWSLIPHILL_CLI_ROUTED_ENTRY_H_
#define COWSLIPHILL_CLI_ROUTED_ENTRY_H_

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "src/admin/log.h"
#include "src/admin/metrics.h"
#include "src/base/clock.h"
#include "src/base/rate_limit.h"
#include "src/base/wake_timer.h"
#include "src/catalog/catalog_follower.h"
#include "src/catalog/snapshot_queue.h"
#include "src/cli/graceful_stop.h"
#include "src/cli/platform_adapter.h"
#include "src/datagram/broadcast_tree.h"
#include "src/datagram/datagram_link.h"
#include "src/forward/backend_pool.h"
#include "src/forward/dispatcher.h"
#include "src/forward/edge_server.h"
#include "src/forward/plain_server.h"
#include "src/links/server_connector.h"
#include "src/links/tunnel_server.h"
#include "src/members/members.h"
#include "src/members/peer_transport.h"
#include "src/poison/poison_watch.h"
#include "src/schedule/schedule_node.h"
#include "src/settings/settings.h"

namespace cowsliphill {

class RoutedEntry {
 public:
  // `seed` must differ between processes.
  RoutedEntry(Settings settings, PlatformAdapter adapter, const Clock& clock, uint64_t seed);
  ~RoutedEntry();

  // Serves until SIGTERM or SIGINT, then stops gracefully. Returns the process's exit code.
  int Run();

 private:
  // An empty VM list: entry VMs find each other through the seeds and by gossip.
  struct NoVmList {
    void ListVms(const std::function<void(VmListResult)>& done) { done(std::vector<ListedVm>()); }
  };
  using EntryMembers = Members<PeerNode, NoVmList>;
  // In milliseconds, for logs.
  static double Millis(Duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
  }

  // 1. Build and listen
  ForwardContext MakeContext();
  CatalogListener MakeListener();
  TableWatchOptions MakeWatchOptions(uint64_t seed) const;
  std::string Listen();

  // 2. Catalog and members
  void OnManifest(const std::shared_ptr<const Manifest>& manifest);
  void OnServers(const ServerChanges& changes);
  void OnEvacuated(const EvacuatedDomains& domains);
  void LogServerChanges(const ServerChanges& changes);
  void LogMemberChange(const MemberChange& change);
  void LogStoreReaderChange();
  void SendCatalogUpdate(CatalogUpdate update);
  void Broadcast(const std::string& payload);
  void SendHops(const std::vector<BroadcastHop>& hops, const std::string& payload);
  void OnCatalogUpdate(const CatalogUpdate& update);
  void SendCatalogRequest(CatalogRequest request);
  void OnCatalogRequest(const CatalogRequest& request);
  std::vector<CatalogRequest> AnswerCatalogRequests();
  const std::string& EncodedSnapshotFor(const CatalogRequest& request);
  void OnMembers();
  void UpdateRank();
  bool Ready() const;
  bool HasCatalog();
  void NoteRunning();
  PlainResponse ServeLookup(const PlainRequest& request);
  PlainResponse ServeReadiness(const std::string& path);
  PlainResponse ServeMetrics(const PlainRequest& request);
  void OnDatagram(const Endpoint& from, const std::string& payload);
  void OnMessage(const Endpoint& from, const std::string& payload);

  // 3. Backend servers (routed_entry_servers.cc)
  ServerConnectorListener MakeConnectorListener();
  std::vector<LinkWatch::Server> LinkedServers();
  TunnelServerListener MakeTunnelListener();
  void EndLinkCheck(const BackendServerId& server, bool answered);
  std::variant<TunnelServerListener::Server, TunnelError> FindServerForTunnel(
      const TunnelRequest& request);
  void OnTunnelEnded(const TunnelEnd& end);
  void OnLinksChanged();
  void SendStuckRequestsAgain();
  ScheduleListener MakeScheduleListener();
  void LogEvacuation(const EvacuationEvent& event);
  ProbeClient::ReadReport MakeReportReader() const;
  PoisonListener MakePoisonListener();

  // Answers about this entry VM (routed_entry_explain.cc)
  // Longest time limit of a request that is explained.
  static constexpr std::chrono::milliseconds kMaxExplainedTime{3600000};
  PlainResponse ServeExplain(const std::string& query);
  nlohmann::json ExplainOwnRequest(const ChoiceRequest& request);
  nlohmann::json ExplainAsScheduler(const std::string& peer, const std::string& failure_domain,
                                    const ChoiceRequest& request);
  nlohmann::json ScheduleJson(const ScheduleExplanation& explanation);
  std::string StatusJson();

  // 4. Requests
  void LogBadInput(const std::string& kind, const std::string& detail, RateLimit& budget);
  void OnRequestEnded(const RequestEnd& end);

  // 5. Timers
  void RunCatalogStep();
  void AfterCatalogStep();
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
  EntryVmId id_;  // A new id at each start of the process.
  uint64_t election_rank_;
  Log log_;
  Metrics metrics_;
  ServerConnector connector_;
  ProbeClient link_probes_;  // Direct ones, of the checks that connector_ asks for.
  std::map<BackendServerId, std::vector<std::function<void(bool answered)>>> link_checks_;
  bool was_reaching_none_ = false;  // LinkWatch::ReachesNone() at the last log line.
  bool had_links_lost_ = false;     // LinkWatch::LinksLost() when it was last acted on.
  CatalogClient store_;
  CatalogFollower<CatalogClient> follower_;
  ScheduleNode scheduling_;
  PoisonWatch poison_;
  Dispatcher dispatcher_;
  BackendPool pool_;
  // The manifest in force. Never null; its revision is 0 until one is known.
  std::shared_ptr<const Manifest> manifest_;
  ForwardContext context_;
  EdgeServer edge_;
  PlainServer lookup_server_;
  PlainServer readiness_server_;
  PlainServer metrics_server_;
  PeerNode peers_;
  TunnelServer tunnels_;
  NoVmList no_vm_list_;
  std::optional<EntryMembers> members_;
  DatagramLink datagrams_;
  // Peer addresses of entry VMs.
  struct PeerGroup {
    std::vector<Endpoint> alive;    // Those that are neither suspect nor leaving.
    std::vector<Endpoint> largest;  // Those alive with the largest processor share.
    uint32_t largest_millicores = 0;

    void Add(const Member& member);
    // The n-th choice of one that is alive; nullopt if none is.
    std::optional<Endpoint> Pick(size_t n) const;
  };
  PeerGroup same_domain_peers_;  // The other entry VMs in this failure domain.
  BroadcastTree broadcasts_;
  uint32_t broadcast_seed_ = 0;  // Of the first broadcast; each further one adds one.
  uint32_t broadcasts_sent_ = 0;
  // While this entry VM applies an update that it also relays to its whole failure domain: the
  // address that sent the update. Otherwise unset.
  std::optional<Endpoint> relayed_update_sender_;
  SnapshotQueue snapshot_requests_;
  // The last snapshot that was sent, for the next requests.
  struct EncodedSnapshot {
    uint64_t manifest_version = 0;
    uint64_t servers_version = 0;
    bool has_manifest = false;
    MonotonicTime made{};
    std::string bytes;
  };
  EncodedSnapshot snapshot_;
  // Round-robin position among the peers that get catalog requests.
  size_t next_catalog_request_peer_ = 0;
  // Position among the live entry VMs in the election of the store reader; 0 is elected.
  uint32_t rank_ = 0;
  MonotonicTime started_{};       // When this process began to serve.
  MonotonicTime last_running_{};  // When this process last ran.
  MonotonicTime resumed_{};       // When it last resumed after a pause.
  // Limits of log lines. Those that callers cause have limits of their own, so that many refusals
  // don't hide other events.
  RateLimit event_log_budget_;    // Faults and changes.
  RateLimit failure_log_budget_;  // Malformed requests; requests and tunnels that failed.
  RateLimit success_log_budget_;  // Requests and tunnels that ended without a fault.
  asio::signal_set signals_;
  WakeTimer catalog_timer_;
  asio::steady_timer second_timer_;
  GracefulStop stop_;
  bool was_store_reader_ = false;  // Whether the last log line reported it as the store reader.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLI_ROUTED_ENTRY_H_
