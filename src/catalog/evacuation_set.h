// The evacuated failure domains as of a version of the manifest's table. Pure.

#ifndef COWSLIPHILL_CATALOG_EVACUATION_SET_H_
#define COWSLIPHILL_CATALOG_EVACUATION_SET_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

#include "src/catalog/catalog.h"

namespace cowsliphill {

class EvacuationSet {
 public:
  // Whether the set is the one of `version` or of a later one.
  bool IsKnownAt(uint64_t version) const { return is_known_ && version_ >= version; }

  // Replaces the set, unless it is newer than `version`. Returns whether its content has changed.
  bool Replace(EvacuatedDomains domains, uint64_t version) {
    if (IsKnownAt(version + 1)) return false;
    is_known_ = true;
    version_ = version;
    if (domains == domains_) return false;
    domains_ = std::move(domains);
    return true;
  }

  // Applies an answer of the store: the whole table or, if `after` is set, the changes after that
  // version. Changes have no effect on a set that is older than `after`, because it may lack
  // earlier ones. Returns whether the content has changed.
  bool Apply(const ManifestAnswer& answer, std::optional<uint64_t> after) {
    if (after && !IsKnownAt(*after)) return false;
    EvacuatedDomains domains = after ? domains_ : EvacuatedDomains();
    domains.insert(answer.evacuated.begin(), answer.evacuated.end());
    for (const FailureDomainId& it : answer.evacuation_ended) domains.erase(it);
    for (const FailureDomainId& it : answer.evacuation_unreadable) {
      if (domains_.count(it) > 0) domains.insert(it);
    }
    return Replace(std::move(domains), answer.version);
  }

  const EvacuatedDomains& Domains() const { return domains_; }

 private:
  EvacuatedDomains domains_;
  bool is_known_ = false;
  uint64_t version_ = 0;
};

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CATALOG_EVACUATION_SET_H_
