// Fuzzes the TOML manifest parser: any input is parsed or rejected, and the formatted text
// of a parsed manifest parses again and formats to the same text.

#include <cstdlib>

#include "src/manifest/manifest_format.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  const auto first = cowsliphill::ParseManifest(text, "manifest.toml");
  if (!cowsliphill::Ok(first)) return 0;
  const std::string formatted = cowsliphill::FormatManifest(cowsliphill::ValueOf(first));
  const auto second = cowsliphill::ParseManifest(formatted, "formatted.toml");
  if (!cowsliphill::Ok(second)) std::abort();
  if (cowsliphill::FormatManifest(cowsliphill::ValueOf(second)) != formatted) std::abort();
  return 0;
}
