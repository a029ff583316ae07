#include "src/measure/report.h"

#include <charconv>

namespace cowsliphill {

namespace {

std::optional<uint32_t> ParseCount(const std::optional<std::string>& text) {
  if (!text) return std::nullopt;
  uint32_t n = 0;
  const auto [rest, ec] = std::from_chars(text->data(), text->data() + text->size(), n);
  if (ec != std::errc() || rest != text->data() + text->size()) return std::nullopt;
  return n;
}

std::optional<Report> ParseBackendHeaders(const HeaderLookup& header) {
  Report report;
  report.in_flight = ParseCount(header("x-backend-in-flight"));
  report.slots = ParseCount(header("x-backend-slots"));
  const std::optional<std::string> state = header("x-backend-state");
  report.draining = state == "draining";
  report.shedding = state == "shedding";
  if (!report.in_flight && !state) return std::nullopt;
  return report;
}

}  // namespace

std::optional<Report> ParseReport(ReportFormat format, const HeaderLookup& header) {
  if (format == ReportFormat::kBackendHeaders) return ParseBackendHeaders(header);
  return std::nullopt;
}

}  // namespace cowsliphill
