// The manifest as operators write it, in TOML. docs/MANIFEST.md lists every key.
//
//   const auto result = ParseManifest(text, "manifest.toml");
//   if (!Ok(result)) for (const Issue& issue : ErrorOf(result)) ...

#ifndef COWSLIPHILL_MANIFEST_MANIFEST_FORMAT_H_
#define COWSLIPHILL_MANIFEST_MANIFEST_FORMAT_H_

#include <string>
#include <vector>

#include "src/base/result.h"
#include "src/base/toml_reader.h"
#include "src/manifest/manifest.h"

namespace cowsliphill {

using ManifestResult = Result<Manifest, std::vector<Issue>>;

// Reads a manifest and checks it as a whole: ranges, references, duplicates, probe budgets that
// add up, services that would stand empty. The revision of the result is 0.
// Costs milliseconds at thousands of backend servers: call it off the event loop.
ManifestResult ParseManifest(const std::string& text, const std::string& file);

// TOML that ParseManifest reads back as the same manifest, but for its revision.
std::string FormatManifest(const Manifest& manifest);

// The TOML of one FailureDomain, Team, Service, BackendServer or EntryRules: heading, then a key a
// line.
template <typename Item>
std::string FormatItem(const Item& item);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_MANIFEST_FORMAT_H_
