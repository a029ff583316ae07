// Identifies requests that are repeated: same tenant, host, method, path, query and body. Left out
// are the request id, because each attempt of a caller has its own, and the caller's address,
// because a caller may come again from another one.

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
inline RequestHash HashRequest(std::string_view tenant, std::string_view host,
                               std::string_view method, std::string_view target,
                               std::string_view body, uint64_t body_size) {
  RequestHash hash = body_size;
  for (const std::string_view part : {tenant, host, method, target, body}) {
    hash = XXH3_64bits_withSeed(part.data(), part.size(), hash + part.size());
  }
  return hash;
}

inline std::string ToText(RequestHash hash) { return fmt::format("{:016x}", hash); }

}  // namespace cowsliphill

#endif  // COWSLIPHILL_POISON_REQUEST_HASH_H_
