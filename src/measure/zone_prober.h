// Decides which backend servers this entry VM asks for their load, and when: each server is asked
// by one entry VM of a failure domain, chosen by rendezvous hashing, which passes the answers on.
// Entry VMs that disagree about the members ask a server twice for a while; that costs a probe and
// no more. Pure.

#ifndef COWSLIPHILL_MEASURE_ZONE_PROBER_H_
#define COWSLIPHILL_MEASURE_ZONE_PROBER_H_

#include <chrono>
#include <map>
#include <vector>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/manifest/manifest.h"

namespace cowsliphill {

class ZoneProber {
 public:
  static constexpr std::chrono::milliseconds kInterval{100};  // Between probes of one server.

  explicit ZoneProber(EntryVmId self);

  // Entry VMs of this failure domain that are alive, this one included.
  void SetMembers(std::vector<EntryVmId> members);
  void SetServers(const std::vector<BackendServer>& servers);

  // Servers to ask now. Each counts as being asked until OnEnded.
  std::vector<BackendServerId> Due(MonotonicTime now);
  void OnEnded(const BackendServerId& server);
  size_t Assigned() const { return probed_.size(); }

 private:
  struct Probed {
    MonotonicTime next;
    bool open = false;  // A probe is on its way.
  };

  void Assign();

  EntryVmId self_;
  std::vector<EntryVmId> members_;
  std::vector<BackendServerId> servers_;
  std::map<BackendServerId, Probed> probed_;  // Ours.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEASURE_ZONE_PROBER_H_
