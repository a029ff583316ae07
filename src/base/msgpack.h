// Check to run before decoding MessagePack from other processes: nlohmann::json recurses once per
// level of nesting, so a megabyte of nested arrays would overflow the stack.

#ifndef COWSLIPHILL_BASE_MSGPACK_H_
#define COWSLIPHILL_BASE_MSGPACK_H_

#include <cstddef>
#include <string>

namespace cowsliphill {

inline constexpr size_t kMaxMsgpackNesting = 32;  // Levels of arrays and maps.

// Returns whether `bytes` is a single MessagePack value of at most kMaxMsgpackNesting levels. Call
// it before nlohmann::json::from_msgpack on bytes from another process.
bool IsShallowMsgpack(const std::string& bytes);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BASE_MSGPACK_H_
