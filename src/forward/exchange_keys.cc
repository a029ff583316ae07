// The part of an exchange that checks the caller's key: when the request arrives, and again before
// each attempt if another manifest has come into force meanwhile.

#include <algorithm>

#include "src/forward/exchange.h"

namespace cowsliphill {

// Whether the request's route needs no key, by the manifest in force. A route that was removed
// meanwhile counts as it was.
bool Exchange::RouteIsKeyless() const {
  const Manifest* in_force = context_.keys->InForce();
  if (meta_.route == nullptr) return false;
  if (in_force == manifest_.get()) return meta_.route->keyless;
  const auto it = std::find_if(in_force->routes.begin(), in_force->routes.end(),
                               [this](const Route& route) { return route.id == meta_.route->id; });
  return it == in_force->routes.end() ? meta_.route->keyless : it->keyless;
}

void Exchange::CheckCallerKey() {
  const KeyIndex& keys = *context_.keys;
  keys_generation_ = keys.Generation();
  key_fault_.reset();
  if (!keys.KeysRequired()) {
    meta_.tenant = TenantId();
    return;
  }
  if (!caller_key_) caller_key_ = context_.wire.take_key(head_);
  const KeyCheck check = CheckKey(*caller_key_, RouteIsKeyless(), keys);
  key_fault_ = check.fault;
  const bool had_workspace = !meta_.tenant.Empty();
  if (key_fault_ == KeyFault::kUnknown && had_workspace) key_fault_ = KeyFault::kWithdrawn;
  if (key_fault_) return;
  meta_.tenant = check.workspace != nullptr ? check.workspace->id : TenantId();
  workspace_priority_ = check.workspace != nullptr ? check.workspace->priority : 0;
}

bool Exchange::KeyIsAccepted() {
  if (context_.keys == nullptr) return true;
  if (context_.keys->Generation() != keys_generation_) CheckCallerKey();
  return !key_fault_;
}

bool Exchange::RefuseWithoutKey() {
  if (ended_ || response_started_ || KeyIsAccepted()) return false;
  request_end_.key_fault = key_fault_;
  buffered_response_.reset();
  std::string detail;
  switch (*key_fault_) {
    case KeyFault::kMissing:
    case KeyFault::kMalformed:
      detail = caller_key_->detail;
      break;
    case KeyFault::kUnknown:
      detail = "no workspace has the key of the request";
      break;
    case KeyFault::kWithdrawn:
      detail = "the key of the request was withdrawn while the request waited";
      break;
  }
  if (MayHaveRun()) {
    RespondWithError({502,
                      Outcome::kUnknown,
                      {},
                      "http_request_denied",
                      detail + "; an earlier attempt may have run"});
  } else {
    RespondWithError({401, Outcome::kNotRun, {}, "http_request_denied", detail});
  }
  return true;
}

uint32_t Exchange::Rank() const {
  const bool with_workspace = context_.keys != nullptr && context_.keys->KeysRequired();
  const uint32_t route_priority = meta_.route->rank;
  return with_workspace ? RankWithWorkspace(workspace_priority_, route_priority) : route_priority;
}

}  // namespace cowsliphill
