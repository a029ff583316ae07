// Sends probes to backend servers on connections of their own, so that a probe never takes a
// request's place. Each call is one probe paid for, whatever becomes of it: none is repeated.

#ifndef COWSLIPHILL_FORWARD_PROBE_CLIENT_H_
#define COWSLIPHILL_FORWARD_PROBE_CLIENT_H_

#include <asio/io_context.hpp>
#include <functional>
#include <optional>

#include "src/base/clock.h"
#include "src/forward/backend_pool.h"
#include "src/measure/prober.h"
#include "src/measure/report.h"
#include "src/settings/settings.h"

namespace cowsliphill {

struct ProbeCounts {
  uint64_t sent = 0;
  uint64_t answered = 0;
  uint64_t failed = 0;  // No connection, no answer in time, or one without a report.
};

class ProbeClient {
 public:
  using Done = std::function<void(const ProbeTarget&, const std::optional<Report>&)>;

  // `done` runs for each probe that ends, with no report when it failed.
  ProbeClient(asio::io_context& io, const Clock& clock, const Settings& settings, Done done);

  void Send(const ProbeTarget& target);
  void CloseAll() { pool_.CloseAll(); }
  const ProbeCounts& Counts() const { return counts_; }

 private:
  struct Probe;

  void Finish(const std::shared_ptr<Probe>& probe, const std::optional<Report>& report);

  asio::io_context& io_;
  const Clock& clock_;
  BackendPool pool_;
  Done done_;
  ProbeCounts counts_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_PROBE_CLIENT_H_
