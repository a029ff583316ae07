// Request classes. The class of a request determines its queue order, connection pool and slot
// reservation.

#ifndef COWSLIPHILL_BASE_REQUEST_CLASS_H_
#define COWSLIPHILL_BASE_REQUEST_CLASS_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace cowsliphill {

enum class RequestClass {
  kEmergency,  // Urgent requests; never queued behind requests of another class.
  kRoutine,    // Ordinary requests.
  kBulk,       // Requests with large responses.
};

inline constexpr size_t kRequestClassCount = 3;
inline constexpr std::array<std::string_view, kRequestClassCount> kRequestClassNames = {
    "emergency", "routine", "bulk"};

inline std::string_view NameOf(RequestClass request_class) {
  return kRequestClassNames[static_cast<size_t>(request_class)];
}

inline std::optional<RequestClass> RequestClassFromName(std::string_view name) {
  for (size_t i = 0; i < kRequestClassCount; ++i) {
    if (kRequestClassNames[i] == name) return static_cast<RequestClass>(i);
  }
  return std::nullopt;
}

// What is known about whether a backend server executed a request.
enum class Outcome {
  kRan,      // The backend server answered the request.
  kNotRun,   // The request was certainly not started.
  kUnknown,  // The server may have received the request, but sent no answer that shows it.
};

inline std::string_view NameOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRan:
      return "ran";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BASE_REQUEST_CLASS_H_
