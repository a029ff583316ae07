// Load report of a backend server, carried in the headers of an ordinary response or of the
// response to a probe. A report is already out of date on arrival, so its users must store its
// arrival time.

#ifndef COWSLIPHILL_MEASURE_REPORT_H_
#define COWSLIPHILL_MEASURE_REPORT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "src/manifest/manifest.h"

namespace cowsliphill {

struct Report {
  std::optional<uint32_t> in_flight;  // Requests executing or queued on the server.
  std::optional<uint32_t> slots;      // Requests that the server can execute concurrently.
  std::optional<double> slowdown;     // Current execution time relative to normal; 1 is normal.
  // Requests per second that the server accepts from all entry VMs together.
  std::optional<double> limit;
  bool draining = false;  // The server is shutting down and must get no new requests.
  bool shedding = false;  // The server rejects requests because it is overloaded.
  // The server wants no more requests from this entry VM for this time.
  std::optional<std::chrono::milliseconds> pause = {};
  // Time for which the server is still in warm-up. Only responses to probes state it.
  std::optional<std::chrono::milliseconds> warmup = {};
  std::string unreadable = {};  // Describes headers that can't be read, for logs; may be empty.
};

// What a backend server has stated about itself in any of its responses, whether or not the
// response was used.
struct ServerStatement {
  BackendServerId server;
  uint64_t started = 0;                // Its lifetime; see BackendServer::started.
  Endpoint through;                    // Entry VM that the connection leads through; port 0: none.
  bool leaving = false;                // It gets no new requests.
  std::chrono::milliseconds pause{0};  // See Report::pause.
};

// Returns the value of the header with this lower-case name, or nullopt if there is none.
using HeaderLookup = std::function<std::optional<std::string>(const std::string& name)>;

// Parses a load report in one of the vendors' header formats, which only this function knows.
// Returns nullopt if the headers hold no usable report.
std::optional<Report> ParseReport(ReportFormat format, const HeaderLookup& header);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEASURE_REPORT_H_
