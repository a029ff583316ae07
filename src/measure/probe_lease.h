// Lease of one entry VM to probe the backend servers of one service.
//
// A lease is acquired by a conditional write to the service's row in the platform's table. The
// entry VMs share no clock, and times of different VMs are never compared:
//   - The holder's lease lasts for the duration in the row, counted from the moment before the
//     holder sent its write.
//   - Any other entry VM first reads the row, waits for its whole duration on its own monotonic
//     clock, and then writes on condition that the row has not changed since the read.
// Leases therefore never overlap, even if entry VMs disagree about the members, a holder is paused
// or a write is delayed for a long time. Within a lease, the probes of a server are placed so that
// they keep their minimum distance from the probes of the previous and the next lease as well (see
// ProbeSpacing). While the platform is unavailable, leases expire and probing stops.
//
// ProbeLease does no I/O: Poll() returns the table operation to start, and the caller passes its
// result to OnRead() or OnWritten().

#ifndef COWSLIPHILL_MEASURE_PROBE_LEASE_H_
#define COWSLIPHILL_MEASURE_PROBE_LEASE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/storage/platform.h"

namespace cowsliphill {

// Row "probes/SERVICE" of the platform's table.
struct ProbeLeaseRow {
  EntryVmId holder;
  // Together with `holder`, identifies a write of one ProbeLease; each ProbeLease starts at 1.
  uint64_t nonce = 0;
  std::chrono::milliseconds duration;  // How long the lease lasts.
};

std::string ProbeLeaseKey(const ServiceId& service);
std::string EncodeProbeLease(const ProbeLeaseRow& row);
// Returns nullopt if `bytes` is not a lease row of the format version that this program writes.
std::optional<ProbeLeaseRow> DecodeProbeLease(const std::string& bytes);

// Times within a lease at which one backend server may be probed. Any two probes of a server are at
// least `interval` apart, also if they belong to different leases: no probe is sent in the first
// `phase` and in the last `interval - phase` of a lease.
struct ProbeSpacing {
  Duration interval{};  // Minimum time between two probes of the server.
  Duration phase{};     // Less than `interval`; the same on every entry VM.

  // Derives the phase from the server's name, so that the servers of a service are not all probed
  // at the same time. `per_second` is the probe rate of the server.
  static ProbeSpacing ForServer(double per_second, const BackendServerId& server);
};

class ProbeLease {
 public:
  static constexpr std::chrono::seconds kMinDuration{10};  // Shorter leases are never written.
  // Delay after a failed table operation.
  static constexpr std::chrono::milliseconds kRetryDelay{1000};
  // Upper bound on the ratio between the rates of two VMs' monotonic clocks.
  static constexpr double kClockDriftFactor = 1.01;

  struct NoAction {};
  struct Read {};
  struct Write {
    uint64_t expected_version = 0;
    ProbeLeaseRow row;
  };
  using Action = std::variant<NoAction, Read, Write>;

  explicit ProbeLease(EntryVmId self) : self_(std::move(self)) {}

  // Returns the table operation to start now, if any. `wanted` is whether this entry VM should hold
  // the lease; `interval` is the largest ProbeSpacing::interval of the service's servers; a lease
  // lasts at least two of them.
  Action Poll(bool wanted, Duration interval, MonotonicTime now);
  void OnRead(const GetResult& result, MonotonicTime now);
  void OnWritten(const CommitResult& result, MonotonicTime now);

  // Must be called immediately before each probe. `last` is when this process last sent a probe to
  // the server, if it did; probes without an answer count as well.
  bool MayProbe(const ProbeSpacing& spacing, std::optional<MonotonicTime> last,
                MonotonicTime now) const;
  bool IsHeld(MonotonicTime now) const;

 private:
  enum class State {
    kIdle,       // The row is not known.
    kReading,    // A read of the row is in progress.
    kObserving,  // The row has been at version_ since first_observed_ or earlier.
    kWriting,    // A write of the row is in progress.
    kHolding,    // This entry VM wrote version_; the lease may have expired.
  };

  void Observe(const Row& row, MonotonicTime now);
  void MarkHeld(uint64_t version);
  Action StartWrite(Duration interval, MonotonicTime now);

  EntryVmId self_;
  State state_ = State::kIdle;
  uint64_t version_ = 0;          // Version of the row when last read or written.
  MonotonicTime first_observed_;  // When this entry VM learned of version_.
  Duration observed_duration_{};  // Duration of the lease in that row.
  MonotonicTime write_sent_;     // When the last write was sent; the lease starts then if the write
                                 // takes effect.
  Duration write_duration_{};    // Duration of the lease in the last write.
  uint64_t nonce_ = 0;           // Nonce of the last write.
  MonotonicTime earliest_call_;  // No table operation is started before this time.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEASURE_PROBE_LEASE_H_
