// Sends probes to backend servers on connections of their own, so that a probe never takes a
// request's place. Each call is one probe paid for, whatever becomes of it: none is repeated.

#ifndef COWSLIPHILL_FORWARD_PROBE_CLIENT_H_
#define COWSLIPHILL_FORWARD_PROBE_CLIENT_H_

#include <asio/io_context.hpp>
#include <functional>
#include <optional>

#include "src/base/clock.h"
#include "src/forward/http_call.h"
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
  // The report on a probe's answer; nullopt when it tells nothing of the server that was meant.
  using ReadReport = std::function<std::optional<Report>(const HttpHead&, const ProbeTarget&)>;

  // `done` runs for each probe that ends, with no report when it failed.
  ProbeClient(asio::io_context& io, const Clock& clock, const BackendSettings& settings,
              ReadReport read, Done done);

  void Send(const ProbeTarget& target);
  void CloseIdle() { caller_.CloseIdle(); }
  void CloseAll() { caller_.CloseAll(); }
  const ProbeCounts& Counts() const { return counts_; }

 private:
  HttpCaller caller_;
  ReadReport read_;
  Done done_;
  ProbeCounts counts_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_PROBE_CLIENT_H_
