// A backend server's report about itself, as carried on an ordinary answer or a probe's answer.
// Every report is stale when it arrives; whoever uses one keeps the time at which it came.

#ifndef COWSLIPHILL_MEASURE_REPORT_H_
#define COWSLIPHILL_MEASURE_REPORT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "src/manifest/manifest.h"

namespace cowsliphill {

struct Report {
  std::optional<uint32_t> in_flight;  // Requests executing or queued at the server.
  std::optional<uint32_t> slots;      // Requests that it executes at the same time.
  std::optional<double> slowdown;     // How long work takes there now; 1 is as usual.
  bool draining = false;              // It is leaving: no new work.
  bool shedding = false;              // It refuses work to protect itself.
};

// Value of a header by lower-case name, or nullopt.
using HeaderLookup = std::function<std::optional<std::string>(const std::string& name)>;

// The one place that knows the vendors' wire forms. Nothing usable found: nullopt.
std::optional<Report> ParseReport(ReportFormat format, const HeaderLookup& header);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MEASURE_REPORT_H_
