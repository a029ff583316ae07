#include "src/manifest/manifest_change.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <utility>

#include "src/manifest/manifest_format.h"

namespace cowsliphill {

namespace {

template <typename Item>
ListChange<Item> ListDifference(const std::vector<Item>& base, const std::vector<Item>& next) {
  ListChange<Item> change;
  auto it = base.begin();
  for (const Item& item : next) {
    for (; it != base.end() && it->id < item.id; ++it) change.removed.push_back(it->id);
    const bool kept = it != base.end() && it->id == item.id;
    if (!kept || !(*it == item)) change.set.push_back(item);
    if (kept) ++it;
  }
  for (; it != base.end(); ++it) change.removed.push_back(it->id);
  return change;
}

template <typename Item>
std::vector<Item> ApplyListChange(const std::vector<Item>& base, const ListChange<Item>& change) {
  if (change.Empty()) return base;
  std::vector<Item> next;
  next.reserve(base.size() + change.set.size());
  auto it = change.set.begin();
  auto removed_id = change.removed.begin();
  for (const Item& item : base) {
    for (; it != change.set.end() && it->id < item.id; ++it) next.push_back(*it);
    while (removed_id != change.removed.end() && *removed_id < item.id) ++removed_id;
    const bool replaced = it != change.set.end() && it->id == item.id;
    const bool removed = removed_id != change.removed.end() && *removed_id == item.id;
    if (!replaced && !removed) next.push_back(item);
  }
  next.insert(next.end(), it, change.set.end());
  return next;
}

// Returns the keys of an item and their values as written in TOML.
template <typename Item>
std::vector<std::pair<std::string, std::string>> KeysOf(const Item& item) {
  std::vector<std::pair<std::string, std::string>> keys;
  std::istringstream in(FormatItem(item));
  for (std::string line; std::getline(in, line);) {
    const size_t at = line.find(" = ");
    if (at != std::string::npos) keys.emplace_back(line.substr(0, at), line.substr(at + 3));
  }
  return keys;
}

template <typename Item>
void DescribeChangedKeys(const std::string& table, const std::string& id, const Item& before,
                         const Item& after, std::vector<DifferenceLine>& lines) {
  std::map<std::string, std::pair<std::string, std::string>> values;
  for (auto& [key, value] : KeysOf(before)) values[key].first = value;
  for (auto& [key, value] : KeysOf(after)) values[key].second = value;
  for (const auto& [key, value] : values) {
    if (value.first == value.second) continue;
    lines.push_back({DifferenceLine::Kind::kChanged, table, id, key, value.first, value.second});
  }
}

template <typename Item>
const Item* FindItem(const std::vector<Item>& items, const decltype(Item::id)& id) {
  const auto it = std::lower_bound(items.begin(), items.end(), id,
                                   [](const Item& item, const auto& key) { return item.id < key; });
  return it != items.end() && it->id == id ? &*it : nullptr;
}

template <typename Item>
void DescribeList(const std::string& table, const std::vector<Item>& base,
                  const ListChange<Item>& change, std::vector<DifferenceLine>& lines) {
  for (const auto& id : change.removed) {
    lines.push_back({DifferenceLine::Kind::kRemoved, table, id.Text(), "", "", ""});
  }
  for (const Item& item : change.set) {
    const Item* before = FindItem(base, item.id);
    if (before != nullptr) {
      DescribeChangedKeys(table, item.id.Text(), *before, item, lines);
    } else {
      lines.push_back({DifferenceLine::Kind::kAdded, table, item.id.Text(), "", "", ""});
    }
  }
}

Issue ChangeIssue(const std::string& key, const std::string& found, const std::string& allowed) {
  return {"", 0, key, found, allowed};
}

// Returns the services that a change affects, directly or through their present or former backend
// servers.
std::set<ServiceId> AffectedServices(const Manifest& base, const ManifestChange& change) {
  std::set<ServiceId> affected;
  const auto add_former_service = [&](const BackendServerId& id) {
    const BackendServer* before = FindItem(base.backend_servers, id);
    if (before != nullptr) affected.insert(before->service);
  };
  for (const Service& service : change.services.set) affected.insert(service.id);
  affected.insert(change.services.removed.begin(), change.services.removed.end());
  for (const BackendServerId& id : change.backend_servers.removed) add_former_service(id);
  for (const BackendServer& server : change.backend_servers.set) {
    affected.insert(server.service);
    add_former_service(server.id);
  }
  return affected;
}

// Returns the services that a team listed in `base` may change: those granted by `base`, not by the
// change itself, and new services that the team owns.
std::set<ServiceId> GrantedServices(const Manifest& base, const ManifestChange& change,
                                    const Team& team) {
  std::set<ServiceId> granted(team.services.begin(), team.services.end());
  for (const Service& service : base.services) {
    if (service.owner == team.id) granted.insert(service.id);
  }
  for (const Service& service : change.services.set) {
    const bool added = FindItem(base.services, service.id) == nullptr;
    if (added && service.owner == team.id) granted.insert(service.id);
  }
  return granted;
}

void CheckGranted(const std::set<ServiceId>& affected, const std::set<ServiceId>& granted,
                  const std::string& author_name, std::vector<Issue>& issues) {
  std::string allowed;
  for (const ServiceId& id : granted) allowed += (allowed.empty() ? "" : ", ") + id.Text();
  for (const ServiceId& id : affected) {
    if (granted.count(id) > 0) continue;
    issues.push_back(ChangeIssue(
        "service " + id.Text(), "a change by " + author_name,
        "changes to the services granted to it: " + (allowed.empty() ? "none" : allowed)));
  }
}

}  // namespace

bool ManifestChange::Empty() const {
  return failure_domains.Empty() && teams.Empty() && services.Empty() && backend_servers.Empty() &&
         !entry;
}

ManifestChange Difference(const Manifest& base, const Manifest& next) {
  ManifestChange change;
  change.failure_domains = ListDifference(base.failure_domains, next.failure_domains);
  change.teams = ListDifference(base.teams, next.teams);
  change.services = ListDifference(base.services, next.services);
  change.backend_servers = ListDifference(base.backend_servers, next.backend_servers);
  if (!(base.entry == next.entry)) change.entry = next.entry;
  return change;
}

Manifest Apply(const Manifest& base, const ManifestChange& change) {
  Manifest next;
  next.revision = base.revision;
  next.failure_domains = ApplyListChange(base.failure_domains, change.failure_domains);
  next.teams = ApplyListChange(base.teams, change.teams);
  next.services = ApplyListChange(base.services, change.services);
  next.backend_servers = ApplyListChange(base.backend_servers, change.backend_servers);
  next.entry = change.entry.value_or(base.entry);
  return next;
}

std::string DifferenceLine::ToString() const {
  const char* const sign = kind == Kind::kAdded ? "+ " : kind == Kind::kRemoved ? "- " : "~ ";
  std::string text = sign + table;
  if (!id.empty()) text += " " + id;
  if (!key.empty()) text += " " + key + ": " + before + " -> " + after;
  return text;
}

std::vector<DifferenceLine> DescribeDifference(const Manifest& base, const Manifest& next) {
  const ManifestChange change = Difference(base, next);
  std::vector<DifferenceLine> lines;
  if (change.entry) DescribeChangedKeys("entry", "", base.entry, *change.entry, lines);
  DescribeList("place", base.failure_domains, change.failure_domains, lines);
  DescribeList("team", base.teams, change.teams, lines);
  DescribeList("service", base.services, change.services, lines);
  DescribeList("backend_server", base.backend_servers, change.backend_servers, lines);
  return lines;
}

std::vector<Issue> CheckChange(const Manifest& base, const ManifestChange& change) {
  std::vector<Issue> issues;
  for (const ServiceId& id : change.services.removed) {
    const auto active = std::count_if(
        base.backend_servers.begin(), base.backend_servers.end(), [&](const BackendServer& it) {
          return it.service == id && it.state == BackendState::kActive;
        });
    if (active == 0) continue;
    issues.push_back(
        ChangeIssue("service " + id.Text(),
                    "removal while it has " + std::to_string(active) + " active backend servers",
                    "its removal after a revision with allow_empty = true and no active backend "
                    "server for it"));
  }
  return issues;
}

std::vector<Issue> CheckAuthority(const Manifest& base, const ManifestChange& change,
                                  const Author& author) {
  std::vector<Issue> issues;
  const Team* team = FindItem(base.teams, author.team);
  if (team == nullptr && author.services.empty()) return issues;
  const std::string author_name = "team " + author.team.Text();
  if (!change.failure_domains.Empty() || !change.teams.Empty() || change.entry) {
    issues.push_back(ChangeIssue(
        "places, teams and entry rules", "a change by " + author_name,
        "changes by a token that names no services and whose team is not in the manifest"));
  }
  const std::set<ServiceId> affected = AffectedServices(base, change);
  if (!author.services.empty()) {
    const std::set<ServiceId> granted(author.services.begin(), author.services.end());
    CheckGranted(affected, granted, "this token of " + author_name, issues);
  }
  if (team != nullptr) {
    CheckGranted(affected, GrantedServices(base, change, *team), author_name, issues);
  }
  return issues;
}

}  // namespace cowsliphill
