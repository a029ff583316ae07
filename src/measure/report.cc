#include "src/measure/report.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace cowsliphill {

namespace {

// Larger counts are treated as invalid and ignored.
constexpr double kMaxCount = 1e6;
// Longer endpoint-load-metrics headers are ignored.
constexpr size_t kMaxHeaderBytes = 4096;

constexpr std::string_view kTextPrefix = "TEXT ";
constexpr std::string_view kJsonPrefix = "JSON ";
constexpr std::string_view kNamedPrefix = "named_metrics.";

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::optional<uint32_t> ToCount(double value) {
  if (!std::isfinite(value) || value < 0 || value > kMaxCount) return std::nullopt;
  return static_cast<uint32_t>(std::lround(value));
}

std::optional<double> ParseNumber(std::string_view text) {
  double n = 0;
  const auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || rest != text.data() + text.size()) return std::nullopt;
  return n;
}

std::optional<uint32_t> ParseCount(const std::optional<std::string>& text) {
  if (!text) return std::nullopt;
  const auto n = ParseNumber(Trim(*text));
  return n ? ToCount(*n) : std::nullopt;
}

std::optional<Report> ParseBackendHeaders(const HeaderLookup& header) {
  Report report;
  report.in_flight = ParseCount(header("x-backend-in-flight"));
  report.slots = ParseCount(header("x-backend-slots"));
  const std::optional<std::string> text = header("x-backend-state");
  const std::string_view state = text ? Trim(*text) : std::string_view();
  report.draining = state == "draining";
  report.shedding = state == "shedding";
  const bool known_state = report.draining || report.shedding || state == "serving";
  if (!report.in_flight && !known_state) return std::nullopt;
  return report;
}

// The supported metrics of an ORCA load report.
struct EndpointLoad {
  std::optional<double> utilization;  // application_utilization; 1 is full utilization.
  std::optional<double> in_flight;    // named_metrics.in_flight
  std::optional<double> slots;        // named_metrics.slots
  std::optional<double> draining;     // named_metrics.draining; any value but 0 means true.
  std::optional<double> shedding;     // named_metrics.shedding; any value but 0 means true.

  void SetNamedMetric(std::string_view name, double value) {
    if (name == "in_flight") in_flight = value;
    if (name == "slots") slots = value;
    if (name == "draining") draining = value;
    if (name == "shedding") shedding = value;
  }

  std::optional<Report> ToReport() const {
    Report report;
    if (slots) report.slots = ToCount(*slots);
    if (in_flight) {
      report.in_flight = ToCount(*in_flight);
    } else if (utilization && report.slots) {
      report.in_flight = ToCount(*utilization * *report.slots);
    }
    report.draining = draining.value_or(0) != 0;
    report.shedding = shedding.value_or(0) != 0;
    if (!report.in_flight && !draining && !shedding) return std::nullopt;
    return report;
  }
};

// Parses "name=value, named_metrics.name=value"; malformed fields are skipped.
EndpointLoad ParseEndpointText(std::string_view text) {
  EndpointLoad load;
  while (!text.empty()) {
    const size_t comma = text.find(',');
    const std::string_view field = Trim(text.substr(0, comma));
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    const size_t equals = field.find('=');
    if (equals == std::string_view::npos) continue;
    const std::string_view name = Trim(field.substr(0, equals));
    const auto value = ParseNumber(Trim(field.substr(equals + 1)));
    if (!value) continue;
    if (name == "application_utilization") load.utilization = *value;
    if (name.substr(0, kNamedPrefix.size()) == kNamedPrefix) {
      load.SetNamedMetric(name.substr(kNamedPrefix.size()), *value);
    }
  }
  return load;
}

EndpointLoad ParseEndpointJson(std::string_view text) {
  EndpointLoad load;
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) return load;
  const auto utilization = json.find("application_utilization");
  if (utilization != json.end() && utilization->is_number()) {
    load.utilization = utilization->get<double>();
  }
  const auto named = json.find("named_metrics");
  if (named == json.end() || !named->is_object()) return load;
  for (const auto& [name, value] : named->items()) {
    if (value.is_number()) load.SetNamedMetric(name, value.get<double>());
  }
  return load;
}

std::optional<Report> ParseEndpointLoad(const HeaderLookup& header) {
  const std::optional<std::string> value = header("endpoint-load-metrics");
  if (!value || value->size() > kMaxHeaderBytes) return std::nullopt;
  const std::string_view text = Trim(*value);
  if (text.substr(0, kTextPrefix.size()) == kTextPrefix) {
    return ParseEndpointText(text.substr(kTextPrefix.size())).ToReport();
  }
  if (text.substr(0, kJsonPrefix.size()) == kJsonPrefix) {
    return ParseEndpointJson(text.substr(kJsonPrefix.size())).ToReport();
  }
  return std::nullopt;
}

}  // namespace

std::optional<Report> ParseReport(ReportFormat format, const HeaderLookup& header) {
  switch (format) {
    case ReportFormat::kBackendHeaders:
      return ParseBackendHeaders(header);
    case ReportFormat::kEndpointLoad:
      return ParseEndpointLoad(header);
    case ReportFormat::kNone:
      break;
  }
  return std::nullopt;
}

}  // namespace cowsliphill
