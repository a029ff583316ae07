// Guard before decoding MessagePack from outside: nlohmann::json recurses once per level of
// nesting, so a megabyte of nested arrays would overflow the stack.

#ifndef COWSLIPHILL_BASE_MSGPACK_H_
#define COWSLIPHILL_BASE_MSGPACK_H_

#include <cstddef>
#include <string>

namespace cowsliphill {

inline constexpr size_t kMostMsgpackNesting = 32;  // Levels of arrays and maps.

// Whether the bytes are one MessagePack value of at most kMostMsgpackNesting levels. Call it before
// nlohmann::json::from_msgpack on bytes from another process.
bool IsShallowMsgpack(const std::string& bytes);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BASE_MSGPACK_H_
