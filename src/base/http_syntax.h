// Syntax of the heads of HTTP/1.1 messages (RFC 9110 5, RFC 9112 4).

#ifndef COWSLIPHILL_BASE_HTTP_SYNTAX_H_
#define COWSLIPHILL_BASE_HTTP_SYNTAX_H_

#include <algorithm>
#include <string_view>

namespace cowsliphill {

// Whether a response may have this status code: 100 to 599 (RFC 9110 15). 101 answers an upgrade
// request only, and none is ever sent.
constexpr bool IsResponseStatus(int status) {
  return status >= 100 && status <= 599 && status != 101;
}

inline bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// A token: letters, digits and some other characters, without blanks.
inline bool IsFieldName(std::string_view name) {
  constexpr std::string_view others = "!#$%&'*+-.^_`|~";
  return !name.empty() && std::all_of(name.begin(), name.end(), [others](char c) {
    const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return is_letter || IsDigit(c) || others.find(c) != std::string_view::npos;
  });
}

// Anything but control characters; a tab is none. Also holds for reason phrases.
inline bool IsFieldValue(std::string_view value) {
  return std::none_of(value.begin(), value.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && c != '\t') || byte == 0x7f;
  });
}

// The first line of an HTTP/1 response, without its line end. Several spaces before the status code
// and none behind it are accepted, as RFC 9112 4 permits.
inline bool IsStatusLine(std::string_view line) {
  constexpr std::string_view version = "HTTP/1.";
  if (!line.starts_with(version)) return false;
  line.remove_prefix(version.size());
  if (line.size() < 2 || !IsDigit(line[0]) || line[1] != ' ') return false;
  line.remove_prefix(std::min(line.find_first_not_of(' ', 1), line.size()));
  constexpr size_t code_digits = 3;
  const size_t digits =
      static_cast<size_t>(std::find_if_not(line.begin(), line.end(), IsDigit) - line.begin());
  if (digits != code_digits) return false;
  line.remove_prefix(code_digits);
  return line.empty() || (line[0] == ' ' && IsFieldValue(line));
}

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BASE_HTTP_SYNTAX_H_
