// State of the backend servers, and the choice of a server from a random sample of a service's
// servers.
//
// A server is identified by its handle, a position in one array. A service keeps three lists of
// handles: `general` (requests of any class), `reserved` (emergencies, and any class if `general`
// is empty) and `ejected` (trial requests only). Servers that are leaving are in none of them. The
// lists are rebuilt when a server moves between them, which is rare; a pick examines a constant
// number of servers.

#ifndef COWSLIPHILL_CHOOSE_CANDIDATES_H_
#define COWSLIPHILL_CHOOSE_CANDIDATES_H_

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "src/base/clock.h"
#include "src/choose/admission.h"
#include "src/choose/circuit.h"
#include "src/choose/latency.h"
#include "src/choose/leaving.h"
#include "src/choose/load_estimate.h"
#include "src/manifest/manifest.h"
#include "src/measure/report.h"

namespace cowsliphill {

using ServerHandle = uint32_t;  // Index of a server in Chooser::servers_.
using Random = std::mt19937_64;

struct ServerState {
  BackendServer config;
  uint32_t service = 0;            // Index of the service in Chooser::services_.
  uint32_t generation = 0;         // Incremented when the handle is reused for another server.
  bool listed = false;             // The current manifest lists the server.
  bool reserved = false;           // The server is reserved for emergencies.
  uint64_t reservation_order = 0;  // Servers are reserved in this order, the same on all entry VMs.
  LoadEstimate load;
  LatencyRatio ratio;
  Circuit circuit;
  ShedPause shed_pause;
  LeavingMark leaving;
  MonotonicTime ramp_start = MonotonicTime::min();  // Start of the ramp-up; min if there is none.
  std::optional<Report> report;                     // Newest report of the server.
  MonotonicTime report_time;                        // Time at which `report` arrived.
};

// The servers of a service that are not leaving, split by the requests that they may get.
struct ServerLists {
  std::vector<ServerHandle> general;   // Requests of any class.
  std::vector<ServerHandle> reserved;  // Emergencies; any class if `general` is empty.
  std::vector<ServerHandle> ejected;   // Servers whose circuit is not closed: trial requests only.
};

// A server that a pick considered and its score, kept for the explain view.
struct CandidateScore {
  ServerHandle server = 0;
  uint32_t generation = 0;
  // Result of CandidatePicker::Score. For an emergency it is raised at general servers if reserved
  // servers are candidates too, so that the emergency prefers a reserved server.
  float score = 0;
};

inline constexpr size_t kMaxCandidates = 6;

struct PickResult {
  std::optional<ServerHandle> server;
  std::array<CandidateScore, kMaxCandidates> candidates;
  size_t count = 0;  // Number of valid entries in `candidates`.
};

struct PickRequest {
  RequestClass request_class = RequestClass::kRoutine;
  // Servers that must not be picked: those of earlier attempts.
  std::span<const ServerHandle> tried;
  // Mean number of requests of other entry VMs per server that is not reserved. Scores of reserved
  // servers use it too.
  double mean_other_requests = 0.0;
  // Mean number of requests of other entry VMs per reserved server. Not read by CandidatePicker.
  double mean_other_requests_reserved = 0.0;
  // Mean latency of the request class; also the half-life of a report's excess load.
  Duration mean_latency{};
  double report_trust = 1.0;                    // ReportTrust of the service, 0 to 1.
  std::span<const ServerHandle> recently_free;  // Servers that recently reported a free slot.
  // Set if the service has emergency tenants but no reserved server: one slot per server is kept
  // free for emergencies.
  bool keep_emergency_slot = false;
};

class CandidatePicker {
 public:
  static constexpr size_t kSampleSize = 3;  // Random servers compared per pick.
  static constexpr size_t kMaxDraws = 12;   // Servers drawn for one sample, unusable ones included.
  // Time from the start of a server's ramp-up to its full share of requests.
  static constexpr std::chrono::seconds kRampDuration{10};
  static constexpr double kInitialRampShare = 0.1;  // Share at the start of the ramp-up.
  // Share of servers reserved for emergencies before the load of reserved servers raises it.
  static constexpr double kReservedShare = 0.05;
  // Largest share of servers reserved for emergencies.
  static constexpr double kMaxReservedShare = 0.25;
  // A service with fewer usable servers reserves none and keeps a slot per server free instead.
  static constexpr size_t kMinUsableServersForReserve = 8;
  // Largest share of servers ejected at once. Of two or more servers, one may always be ejected.
  static constexpr double kMaxEjectedShare = 0.34;

  explicit CandidatePicker(const std::vector<ServerState>& servers) : servers_(servers) {}

  // Splits `members`, which are sorted by reservation_order. Reserves servers if `reserve` is set:
  // kReservedShare of them and `extra` more, up to kMaxReservedShare.
  ServerLists Split(std::span<const ServerHandle> members, bool reserve, size_t extra) const;

  PickResult Pick(const ServerLists& lists, const PickRequest& request, MonotonicTime now,
                  Random& random) const;

  // Returns the cost of sending the request to the server; lower is better. It is the expected
  // latency relative to the class mean, raised slightly by used slots and strongly by recent
  // failures. A server whose oldest open request takes unusually long counts as slow.
  double Score(const ServerState& server, const PickRequest& request, MonotonicTime now) const;

  // Returns the share of its full load that a server may get during its ramp-up, or 1 afterwards.
  static double RampShare(const ServerState& server, MonotonicTime now);

  // Returns how many of `n` servers may be ejected at once.
  static size_t MaxEjected(size_t n);

 private:
  // Returns whether the server may get the request now; random during its ramp-up.
  bool Usable(const ServerState& server, const PickRequest& request, MonotonicTime now,
              Random& random) const;
  // Scores the server and adds it to `result`, if it is usable, untried and not yet in it.
  void AddCandidate(ServerHandle handle, const PickRequest& request, MonotonicTime now,
                    Random& random, PickResult& result) const;
  // Adds up to `wanted` random servers of `from` to `result`.
  void AddSample(const std::vector<ServerHandle>& from, size_t wanted, const PickRequest& request,
                 MonotonicTime now, Random& random, PickResult& result) const;

  const std::vector<ServerState>& servers_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_CANDIDATES_H_
