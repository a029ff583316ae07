// Probes the backend servers of the services whose probe lease this entry VM holds. ProbeLease
// decides when to probe; the table and the function that sends probes are passed in.
//
// Rendezvous hashing over the members selects the entry VM that tries to acquire the lease of a
// service. This only saves table operations: entry VMs that disagree about the members compete for
// the row, and the conditional write admits one of them.

#ifndef COWSLIPHILL_MEASURE_PROBER_H_
#define COWSLIPHILL_MEASURE_PROBER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/manifest/manifest.h"
#include "src/measure/probe_lease.h"
#include "src/storage/platform.h"

namespace cowsliphill {

struct ProbeTarget {
  BackendServerId server;
  Endpoint endpoint;
  std::string path;
  ReportFormat format = ReportFormat::kNone;
  std::chrono::milliseconds timeout{1000};  // From sending the probe to its complete response.
};

// Returns the member that should probe `service`: the one with the highest hash of service and
// member. Returns an empty id if there are no members.
EntryVmId SelectProber(const ServiceId& service, const std::vector<EntryVmId>& members);

// Returns the probes per second to send to each backend server of `service`: its probe budget times
// its tail_weight, which is clamped to 0 to 1.
double ProbeRate(const Service& service);

template <TableClient Table>
class Prober {
 public:
  using SendProbe = std::function<void(const ProbeTarget& target)>;
  // Intended interval of Tick() calls.
  static constexpr std::chrono::milliseconds kTickInterval{20};

  // `table` must outlive the prober. `clock` must also outlive the calls to `table` that are
  // pending when the prober is destroyed, because their callbacks use it.
  Prober(EntryVmId self, Table& table, const Clock& clock, SendProbe send)
      : self_(std::move(self)), table_(table), clock_(clock), send_(std::move(send)) {}

  // Replaces the probed services and servers. Services that remain keep their lease, and servers
  // that remain keep the time of their last probe.
  void Apply(const Manifest& manifest) {
    std::unordered_map<ServiceId, ProbedService> services;
    for (const Service& config : manifest.services) {
      const auto it = services_.find(config.id);
      ProbedService& service = services[config.id];
      if (it != services_.end()) service = std::move(it->second);
      if (!service.lease) service.lease = std::make_shared<ProbeLease>(self_);
      service.rate = ProbeRate(config);
      service.previous_servers = std::exchange(service.servers, {});
    }
    services_ = std::move(services);
    for (const BackendServer& server : manifest.backend_servers) AddServer(manifest, server);
    for (auto& [id, service] : services_) service.previous_servers.clear();
  }

  // `members` includes this entry VM.
  void SetMembers(std::vector<EntryVmId> members) { members_ = std::move(members); }

  void Tick() {
    for (auto& [id, service] : services_) {
      if (service.rate <= 0.0 || service.servers.empty()) continue;
      PollLease(id, service);
      SendDueProbes(service);
    }
  }

 private:
  struct ProbedServer {
    ProbeTarget target;
    ProbeSpacing spacing;
    // When the last probe was sent, answered or not; initially when the server was added.
    std::optional<MonotonicTime> last_probe;
  };
  struct ProbedService {
    std::shared_ptr<ProbeLease> lease;  // Shared with callbacks of pending calls to the table.
    double rate = 0.0;                  // Probes per second for each server.
    std::vector<ProbedServer> servers;
    // Servers under the previous manifest; empty outside Apply().
    std::vector<ProbedServer> previous_servers;
  };

  void AddServer(const Manifest& manifest, const BackendServer& config) {
    const auto it = services_.find(config.service);
    if (it == services_.end()) return;
    ProbedService& service = it->second;
    ProbedServer server;
    server.target.server = config.id;
    server.target.endpoint = config.endpoint;
    for (const Service& known : manifest.services) {
      if (known.id != config.service) continue;
      server.target.path = known.probe_path;
      server.target.format = known.report_format;
    }
    if (service.rate > 0.0) server.spacing = ProbeSpacing::ForServer(service.rate, config.id);
    // A server that is removed and added again must not be probed sooner than its interval allows,
    // so a server without a known last probe counts as probed now.
    server.last_probe = clock_.Now();
    for (const ProbedServer& previous : service.previous_servers) {
      if (previous.target.server == config.id) server.last_probe = previous.last_probe;
    }
    service.servers.push_back(std::move(server));
  }

  void PollLease(const ServiceId& id, ProbedService& service) {
    const bool wanted = SelectProber(id, members_) == self_;
    const Duration interval = service.servers.front().spacing.interval;
    const ProbeLease::Action action = service.lease->Poll(wanted, interval, clock_.Now());
    const std::shared_ptr<ProbeLease> lease = service.lease;
    if (std::holds_alternative<ProbeLease::Read>(action)) {
      table_.Get(ProbeLeaseKey(id), [&clock = clock_, lease](const GetResult& result) {
        lease->OnRead(result, clock.Now());
      });
    } else if (const auto* write = std::get_if<ProbeLease::Write>(&action)) {
      ConditionalWrite row{ProbeLeaseKey(id), write->expected_version,
                           EncodeProbeLease(write->row)};
      table_.Commit({std::move(row)}, [&clock = clock_, lease](const CommitResult& result) {
        lease->OnWritten(result, clock.Now());
      });
    }
  }

  // Reads the clock for each probe, because the process may be paused between two probes for longer
  // than the lease lasts.
  void SendDueProbes(ProbedService& service) {
    for (ProbedServer& server : service.servers) {
      const MonotonicTime now = clock_.Now();
      if (!service.lease->MayProbe(server.spacing, server.last_probe, now)) continue;
      server.last_probe = now;
      send_(server.target);
    }
  }

  EntryVmId self_;
  Table& table_;
  const Clock& clock_;
  SendProbe send_;
  std::vector<EntryVmId> members_;
  std::unordered_map<ServiceId, ProbedService> services_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEASURE_PROBER_H_
