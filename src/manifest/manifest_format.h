// Reads and writes manifests in TOML, the form that operators submit. docs/MANIFEST.md lists every
// key.
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

// Parses a manifest and validates it: ranges, references, duplicates, the sum of the probe budgets,
// and services without an active backend server. `file` is the file name in issues. The revision of
// the result is 0. Takes milliseconds with thousands of backend servers: call it off the event
// loop.
ManifestResult ParseManifest(const std::string& text, const std::string& file);

// Returns TOML from which ParseManifest() restores the manifest, except for its revision and what
// has no key in TOML: routes, EntryRules::max_body_bytes, BackendServer::warmup and ::started.
std::string FormatManifest(const Manifest& manifest);

// Returns the TOML of one FailureDomain, Team, Service, BackendServer or EntryRules: the heading of
// its table, then one line for each key.
template <typename Item>
std::string FormatItem(const Item& item);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_MANIFEST_MANIFEST_FORMAT_H_
