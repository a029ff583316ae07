#include "src/base/msgpack.h"

#include <nlohmann/json.hpp>

namespace cowsliphill {

namespace {

using nlohmann::json;

// Stops parsing at the first array or map that is nested too deeply. The library prescribes the
// method names.
// NOLINTBEGIN(readability-identifier-naming)
class NestingCheck : public nlohmann::json_sax<json> {
 public:
  bool null() override { return true; }
  bool boolean(bool value) override { return true; }
  bool number_integer(number_integer_t value) override { return true; }
  bool number_unsigned(number_unsigned_t value) override { return true; }
  bool number_float(number_float_t value, const string_t& text) override { return true; }
  bool string(string_t& value) override { return true; }
  bool binary(binary_t& value) override { return true; }
  bool key(string_t& value) override { return true; }
  bool start_object(size_t elements) override { return ++depth_ <= kMaxMsgpackNesting; }
  bool start_array(size_t elements) override { return ++depth_ <= kMaxMsgpackNesting; }
  bool end_object() override { return EndContainer(); }
  bool end_array() override { return EndContainer(); }
  bool parse_error(size_t position, const std::string& token,
                   const nlohmann::detail::exception& error) override {
    return false;
  }

 private:
  bool EndContainer() {
    --depth_;
    return true;
  }

  size_t depth_ = 0;
};
// NOLINTEND(readability-identifier-naming)

}  // namespace

bool IsShallowMsgpack(const std::string& bytes) {
  NestingCheck check;
  return json::sax_parse(bytes, &check, json::input_format_t::msgpack);
}

}  // namespace cowsliphill
