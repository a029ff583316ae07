// Probes the backend servers that this entry VM has the right to probe. Thin: ProbeGrant decides,
// the table and the sender of probes are passed in.
//
// Which entry VM tries for the right of a service follows from rendezvous hashing over the
// members. That only saves calls to the table: entry VMs that disagree about the members contend
// for the row, and the row decides.

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
#include "src/measure/probe_grant.h"
#include "src/storage/platform.h"

namespace cowsliphill {

struct ProbeTarget {
  BackendServerId server;
  Endpoint endpoint;
  std::string path;
  ReportFormat format = ReportFormat::kNone;
  std::chrono::milliseconds timeout{1000};  // From sending to the whole answer.
};

// The member that should probe `service`: highest hash of service and member.
EntryVmId RendezvousProber(const ServiceId& service, const std::vector<EntryVmId>& members);

// Probes per second and backend server that a service wants: the agreed budget times the weight
// of tail latency. Never above the budget.
double ProbeRate(const Service& service);

template <TableClient Table>
class Prober {
 public:
  using SendProbe = std::function<void(const ProbeTarget& target)>;
  static constexpr std::chrono::milliseconds kTick{20};  // Call Tick about this often.

  // `table` outlives the prober, `clock` also the callbacks of the table.
  Prober(EntryVmId self, Table& table, const Clock& clock, SendProbe send)
      : self_(std::move(self)), table_(table), clock_(clock), send_(std::move(send)) {}

  // Rights and times of last probes of services and servers that remain are kept.
  void Apply(const Manifest& manifest) {
    std::unordered_map<ServiceId, ProbedService> services;
    for (const Service& config : manifest.services) {
      const auto it = services_.find(config.id);
      ProbedService& service = services[config.id];
      if (it != services_.end()) service = std::move(it->second);
      if (!service.grant) service.grant = std::make_shared<ProbeGrant>(self_);
      service.rate = ProbeRate(config);
      service.before = std::exchange(service.servers, {});
    }
    services_ = std::move(services);
    for (const BackendServer& server : manifest.backend_servers) AddServer(manifest, server);
    for (auto& [id, service] : services_) service.before.clear();
  }

  // All members, this entry VM included.
  void SetMembers(std::vector<EntryVmId> members) { members_ = std::move(members); }

  void Tick() {
    for (auto& [id, service] : services_) {
      if (service.rate <= 0.0 || service.servers.empty()) continue;
      PollGrant(id, service);
      SendDue(service);
    }
  }

 private:
  struct ProbedServer {
    ProbeTarget target;
    ProbeSpacing spacing;
    std::optional<MonotonicTime> last;  // Probe, whether it was answered or not.
  };
  struct ProbedService {
    std::shared_ptr<ProbeGrant> grant;  // Shared with callbacks of the table.
    double rate = 0.0;                  // Probes per second and server.
    std::vector<ProbedServer> servers;
    std::vector<ProbedServer> before;  // While a manifest is taken: the servers so far.
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
    if (service.rate > 0.0) server.spacing = ProbeSpacing::Of(service.rate, config.id);
    // One that leaves a manifest and comes back must not be probed sooner for it.
    server.last = clock_.Now();
    for (const ProbedServer& before : service.before) {
      if (before.target.server == config.id) server.last = before.last;
    }
    service.servers.push_back(std::move(server));
  }

  void PollGrant(const ServiceId& id, ProbedService& service) {
    const bool wanted = RendezvousProber(id, members_) == self_;
    const Duration interval = service.servers.front().spacing.interval;
    const ProbeGrant::Step step = service.grant->Poll(wanted, interval, clock_.Now());
    const std::shared_ptr<ProbeGrant> grant = service.grant;
    if (std::holds_alternative<ProbeGrant::Read>(step)) {
      table_.Get(GrantKey(id), [&clock = clock_, grant](const GetResult& result) {
        grant->OnRead(result, clock.Now());
      });
    } else if (const auto* write = std::get_if<ProbeGrant::Write>(&step)) {
      ConditionalWrite row{GrantKey(id), write->expected_version, EncodeGrant(write->row)};
      table_.Commit({std::move(row)}, [&clock = clock_, grant](const CommitResult& result) {
        grant->OnWritten(result, clock.Now());
      });
    }
  }

  // The clock is read anew for each probe: a pause between two of them must not go unnoticed.
  void SendDue(ProbedService& service) {
    for (ProbedServer& server : service.servers) {
      const MonotonicTime now = clock_.Now();
      if (!service.grant->MayProbe(server.spacing, server.last, now)) continue;
      server.last = now;
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
