// Parsing of numbers.

#ifndef COWSLIPHILL_BASE_NUMBERS_H_
#define COWSLIPHILL_BASE_NUMBERS_H_

#include <charconv>
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

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BASE_NUMBERS_H_
