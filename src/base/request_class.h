// The classes of requests. A class decides queue order, connection pool and slot reservation.

#ifndef COWSLIPHILL_BASE_REQUEST_CLASS_H_
#define COWSLIPHILL_BASE_REQUEST_CLASS_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace cowsliphill {

enum class RequestClass {
  kEmergency,  // Excavation checks: never waits behind another class.
  kRoutine,    // Lookups, filings, permits.
  kBulk,       // Archives and drawing bundles.
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

// What is known about whether a request was executed by a backend server.
enum class Outcome {
  kRan,      // The backend server answered it.
  kNotRun,   // It certainly did not start.
  kUnknown,  // Bytes may have arrived and no answer tells.
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
