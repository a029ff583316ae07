// Parsing of numbers.

#ifndef COWSLIPHILL_BASE_NUMBERS_H_
#define COWSLIPHILL_BASE_NUMBERS_H_

#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cowsliphill {

// Parses a decimal unsigned integer. `text` must consist of digits only, without sign or spaces.
inline std::optional<uint64_t> ParseUnsigned(std::string_view text) {
  uint64_t n = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || rest != end) return std::nullopt;
  return n;
}

// Parses a decimal number without sign or exponent, such as "12" or "1.3".
inline std::optional<double> ParseDecimal(std::string_view text) {
  if (text.empty() || text.front() < '0' || text.front() > '9') return std::nullopt;
  double n = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, n, std::chars_format::fixed);
  if (ec != std::errc() || rest != end || !std::isfinite(n)) return std::nullopt;
  return n;
}

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BASE_NUMBERS_H_
