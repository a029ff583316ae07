// Sends probes to backend servers on separate connections, so that probes never use up the
// connections of requests. A failed probe is not retried, because each one counts against the probe
// budget; only one that got no answer is sent once more if there is another path to the server.

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
  uint64_t failed = 0;  // No connection, no response in time, or a response without a report.
};

struct ProbeOutcome {
  std::optional<Report> report;  // nullopt: the probe failed.
  bool answered = false;         // There was a response, with or without a report.
  bool refused = false;          // The server's host answered at once that nothing listens there.
  uint32_t probes = 1;           // Number of probes sent.
};

class ProbeClient {
 public:
  using Done = std::function<void(const ProbeTarget&, const ProbeOutcome&)>;
  // Returns the report in the response to a probe, or nullopt if the response has no report of the
  // probed server.
  using ReadReport = std::function<std::optional<Report>(const HttpHead&, const ProbeTarget&)>;

  // `done` runs at the end of each call of Send.
  ProbeClient(asio::io_context& io, const Clock& clock, const BackendSettings& settings,
              LinkHooks links, ReadReport read, Done done);

  void Send(const ProbeTarget& target);
  void CloseIdle() { client_.CloseIdle(); }
  void CloseAll() { client_.CloseAll(); }
  const ProbeCounts& Counts() const { return counts_; }

 private:
  void Send(const ProbeTarget& target, uint32_t number);
  void OnResult(const ProbeTarget& target, uint32_t number,
                const Result<HttpCallResponse, HttpCallError>& result);

  LinkHooks links_;
  HttpClient client_;
  ReadReport read_report_;
  Done done_;
  ProbeCounts counts_;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_FORWARD_PROBE_CLIENT_H_
