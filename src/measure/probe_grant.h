// The right of one entry VM to probe the backend servers of one service for a window of time.
//
// Rights are granted by conditional writes to one row of the platform's table per service. No
// clock is shared and none is compared between VMs:
//   - a holder's right lasts for the row's window from the moment before it sent its write;
//   - anyone else first sees the row, lets its whole window pass on its own monotonic clock, and
//     then writes on condition that the row has not changed since.
// So two rights never overlap, whoever believes to be a member, however long a holder was paused
// or a write was under way. Within a right, the probes of one server are spaced so that those of
// successive rights keep the distance too (ProbeSpacing). With the platform down rights run out.
//
// Pure: Poll says what to ask of the table; the answers come back through OnRead and OnWritten.

#ifndef COWSLIPHILL_MEASURE_PROBE_GRANT_H_
#define COWSLIPHILL_MEASURE_PROBE_GRANT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "src/base/clock.h"
#include "src/base/ids.h"
#include "src/storage/platform.h"

namespace cowsliphill {

// Row "probes/SERVICE".
struct GrantRow {
  EntryVmId holder;
  uint64_t nonce = 0;                // With `holder` unique to one write.
  std::chrono::milliseconds window;  // How long the right lasts.
};

std::string GrantKey(const ServiceId& service);
std::string EncodeGrant(const GrantRow& row);
// nullopt for anything that is not a grant of a known version.
std::optional<GrantRow> DecodeGrant(const std::string& bytes);

// When the probes of one server may be sent within a right. Every two probes of a server are at
// least `interval` apart, also across rights: each right keeps free `phase` at its start and
// `interval - phase` at its end.
struct ProbeSpacing {
  Duration interval{};  // One over the budget.
  Duration phase{};     // Of the server; less than `interval`, the same at every entry VM.

  // Phase of a server by its name, so that not all are probed at once.
  static ProbeSpacing Of(double per_second, const BackendServerId& server);
};

class ProbeGrant {
 public:
  static constexpr std::chrono::seconds kWindow{10};        // Least length of a right.
  static constexpr std::chrono::milliseconds kRetry{1000};  // After the platform failed.
  static constexpr double kDrift = 1.01;  // Monotonic clocks of two VMs differ less in speed.

  struct Nothing {};
  struct Read {};
  struct Write {
    uint64_t expected_version = 0;
    GrantRow row;
  };
  using Step = std::variant<Nothing, Read, Write>;

  explicit ProbeGrant(EntryVmId self) : self_(std::move(self)) {}

  // `wanted`: this entry VM should be the prober. `interval`: longest spacing of its probes.
  Step Poll(bool wanted, Duration interval, MonotonicTime now);
  void OnRead(const GetResult& result, MonotonicTime now);
  void OnWritten(const CommitResult& result, MonotonicTime now);

  // To be asked right before each probe. `last` is this process's last probe of the server, if
  // any; it counts as sent whether it was answered or not.
  bool MayProbe(const ProbeSpacing& spacing, std::optional<MonotonicTime> last,
                MonotonicTime now) const;
  bool Holds(MonotonicTime now) const;

 private:
  enum class State {
    kIdle,       // Nothing known.
    kReading,    // A read is under way.
    kObserving,  // A version is known since observed_.
    kWriting,    // A write is under way.
    kHolding,    // version_ is our own write.
  };

  void Observe(const Row& row, MonotonicTime now);
  void Hold(uint64_t version);
  Step StartWrite(Duration interval, MonotonicTime now);

  EntryVmId self_;
  State state_ = State::kIdle;
  uint64_t version_ = 0;        // Of the row as last seen or written.
  MonotonicTime observed_;      // When version_ was first seen.
  Duration observed_window_{};  // Of the row then seen.
  MonotonicTime write_sent_;    // Start of the right if the newest write took effect.
  Duration write_window_{};     // Its length.
  uint64_t nonce_ = 0;          // Of the newest write.
  MonotonicTime next_call_;     // No call to the table before.
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEASURE_PROBE_GRANT_H_
