// Identifies requests that are repeated: same caller, host, method, path, query and body. The
// request id is left out, because each attempt of a caller has its own.

#ifndef COWSLIPHILL_POISON_REQUEST_HASH_H_
#define COWSLIPHILL_POISON_REQUEST_HASH_H_

#include <fmt/format.h>
#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace cowsliphill {

using RequestHash = uint64_t;

// `body` is the part of the body that is known before the request is sent. Two requests whose
// bodies differ only beyond that part have the same hash if their lengths are equal.
inline RequestHash HashRequest(std::string_view caller_ip, std::string_view host,
                               std::string_view method, std::string_view target,
                               std::string_view body, uint64_t body_size) {
  RequestHash hash = body_size;
  for (const std::string_view part : {caller_ip, host, method, target, body}) {
    hash = XXH3_64bits_withSeed(part.data(), part.size(), hash + part.size());
  }
  return hash;
}

inline std::string ToText(RequestHash hash) { return fmt::format("{:016x}", hash); }

}  // namespace cowsliphill

#endif  // COWSLIPHILL_POISON_REQUEST_HASH_H_
