// State of the backend servers of one service, and the pick among a few of them.
//
// Servers are named by handles, positions in one array. A service keeps three lists of handles:
// `general` (any class), `reserved` (emergencies only) and `ejected` (trials only). Leaving
// servers are in none. Lists are rebuilt when a server changes sides, which is rare; a pick looks
// at a constant number of servers.

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

using Handle = uint32_t;
using Random = std::mt19937_64;

struct ServerState {
  BackendServer config;
  uint32_t service = 0;     // Position of its service.
  uint32_t generation = 0;  // Grows when the handle goes to another server.
  bool listed = false;      // The manifest in force lists it.
  bool reserved = false;    // For emergencies.
  uint64_t order = 0;       // Place in the order of reservation; the same at every entry VM.
  LoadEstimate load;
  LatencyRatio ratio;
  Circuit circuit;
  ShedPause shed;
  LeavingMark leaving;
  MonotonicTime ramp_start = MonotonicTime::min();  // Cold start; min: none.
  std::optional<Report> report;                     // The newest.
  MonotonicTime reported;                           // When it came.
};

// How a service's servers are split between the classes.
struct ServerLists {
  std::vector<Handle> general;   // Any class.
  std::vector<Handle> reserved;  // Emergencies only.
  std::vector<Handle> ejected;   // Circuit not closed: trials only.
};

// What a pick looked at, for explain.
struct Considered {
  Handle server = 0;
  uint32_t generation = 0;
  float score = 0;  // Expected latency in means of the class; less is better.
};

inline constexpr size_t kMostConsidered = 6;

struct PickResult {
  std::optional<Handle> server;
  std::array<Considered, kMostConsidered> considered;
  size_t count = 0;  // Of `considered`.
};

struct PickRequest {
  RequestClass request_class = RequestClass::kRoutine;
  std::span<const Handle> tried;  // Not picked again while others are usable.
  double typical_others = 0.0;    // What other entry VMs have at a server on average.
  double typical_reserved = 0.0;  // The same for reserved servers.
  Duration half_life{};           // Of what a report says about others.
  double report_trust = 1.0;      // How far reports have told the truth, 0 to 1.
  std::span<const Handle> hot;    // Servers that have just reported a free slot.
  bool one_slot_kept = false;     // Service too small to reserve a server: keep a slot free.
};

class CandidatePicker {
 public:
  static constexpr size_t kDraws = 3;               // Servers compared.
  static constexpr size_t kMostDraws = 12;          // Including those that are not usable now.
  static constexpr std::chrono::seconds kRamp{10};  // From cold to full share.
  static constexpr double kRampFloor = 0.1;         // Share of a server that has just started.
  static constexpr double kReservedShare = 0.05;    // Of a service's servers, for emergencies.
  static constexpr double kMostReserved = 0.25;     // Of a service's servers, for emergencies.
  static constexpr size_t kReserveFrom = 8;         // Services with fewer keep a slot instead.
  static constexpr double kEjectedShare = 0.34;     // Most servers ejected at once.

  explicit CandidatePicker(const std::vector<ServerState>& servers) : servers_(servers) {}

  // Splits `members`, which are in order of reservation.
  // `more`: servers to reserve beyond kReservedShare.
  ServerLists Split(std::span<const Handle> members, bool reserve, size_t more) const;

  PickResult Pick(const ServerLists& lists, const PickRequest& request, MonotonicTime now,
                  Random& random) const;

  // Expected latency at the server, in means of the class.
  double Score(const ServerState& server, const PickRequest& request, MonotonicTime now) const;

  // Share of its full load that a server may get, by its time since a cold start.
  static double RampShare(const ServerState& server, MonotonicTime now);

  // Most servers of `n` that may be ejected at once.
  static size_t MostEjected(size_t n);

 private:
  bool Usable(const ServerState& server, const PickRequest& request, MonotonicTime now,
              Random& random) const;
  void Consider(Handle handle, const PickRequest& request, MonotonicTime now, Random& random,
                PickResult& result) const;
  void Draw(const std::vector<Handle>& from, size_t wanted, const PickRequest& request,
            MonotonicTime now, Random& random, PickResult& result) const;

  const std::vector<ServerState>& servers_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CHOOSE_CANDIDATES_H_
