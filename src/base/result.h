// Result type that holds either a value or a typed error, as std::variant<Value, Error>.

#ifndef COWSLIPHILL_BASE_RESULT_H_
#define COWSLIPHILL_BASE_RESULT_H_

#include <variant>

namespace cowsliphill {

template <typename Value, typename Error>
using Result = std::variant<Value, Error>;

struct Success {};  // Value type of a Result that carries no value.

template <typename Value, typename Error>
bool Ok(const Result<Value, Error>& result) {
  return result.index() == 0;
}

template <typename Value, typename Error>
const Value& ValueOf(const Result<Value, Error>& result) {
  return std::get<0>(result);
}

template <typename Value, typename Error>
Value& ValueOf(Result<Value, Error>& result) {
  return std::get<0>(result);
}

template <typename Value, typename Error>
const Error& ErrorOf(const Result<Value, Error>& result) {
  return std::get<1>(result);
}

}  // namespace cowsliphill

#endif  // COWSLIPHILL_BASE_RESULT_H_
