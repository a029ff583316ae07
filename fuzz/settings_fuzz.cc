// Fuzzes the TOML settings parser: any input is parsed or rejected with a list of issues.

#include "src/settings/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  cowsliphill::ParseSettings(text, "settings.toml");
  return 0;
}
