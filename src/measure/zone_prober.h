// Decides which backend servers this entry VM asks for their load, and when: each server is asked
// by one of a few entry VMs of its own failure domain, chosen by rendezvous hashing, which pass the
// answers on. Servers of a domain without entry VMs are shared out among all. Entry VMs that
// disagree about the members ask a server twice for a while; that costs a probe and no more. Pure.

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
  // Between probes of one server: a tenth of the half second for which hosts stay slow or fast; a
  // fifth where many entry VMs have to be told.
  static constexpr std::chrono::milliseconds kInterval{50};
  static constexpr std::chrono::milliseconds kLongInterval{100};
  static constexpr size_t kManyMembers = 40;
  // Entry VMs of a domain that probe: more would send more and smaller batches to all others.
  static constexpr size_t kProbersPerPlace = 3;

  struct Prober {
    EntryVmId id;
    PlaceId place;
  };

  explicit ZoneProber(EntryVmId self);

  // Entry VMs that are alive, this one included.
  void SetMembers(std::vector<Prober> members);
  void SetServers(const std::vector<BackendServer>& servers);

  // Whether any server is ours to ask.
  bool IsProber() const { return !probed_.empty(); }
  // Servers to ask now. Each counts as being asked until OnEnded.
  std::vector<BackendServerId> Due(MonotonicTime now);
  void OnEnded(const BackendServerId& server);

 private:
  struct Probed {
    MonotonicTime next;
    bool open = false;  // A probe is on its way.
  };

  void Assign();
  bool IsOurs(const BackendServerId& server, const PlaceId& place) const;
  static void KeepFewPerPlace(std::vector<Prober>& members);

  EntryVmId self_;
  std::vector<Prober> members_;  // At most kProbersPerPlace of each domain.
  std::map<BackendServerId, PlaceId> servers_;
  std::chrono::milliseconds interval_ = kInterval;
  std::map<BackendServerId, Probed> probed_;  // Ours.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEASURE_ZONE_PROBER_H_
