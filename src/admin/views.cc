#include "src/admin/views.h"

#include <array>
#include <nlohmann/json.hpp>

#include "src/admin/log.h"

namespace cowsliphill {

namespace {

using nlohmann::json;

constexpr int kIndent = 2;  // Spaces per level of JSON.

AdminAnswer Answer(int status, const json& message) {
  return {status, message.dump(kIndent, ' ', false, json::error_handler_t::replace) + "\n"};
}

double Millis(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

std::string NameOf(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
  }
  return "unknown";
}

std::string NameOf(RecordCause cause) {
  constexpr std::array<const char*, 7> names = {
      "on-time", "late", "refused", "unknown", "cut-answer", "caller-gone", "entry-vm-lost"};
  return names[static_cast<size_t>(cause)];
}

std::string NameOf(DifferenceLine::Kind kind) {
  switch (kind) {
    case DifferenceLine::Kind::kAdded:
      return "added";
    case DifferenceLine::Kind::kRemoved:
      return "removed";
    case DifferenceLine::Kind::kChanged:
      return "changed";
  }
  return "changed";
}

json JsonOf(const ServerView& view) {
  json item = {{"backend_server", view.server.Text()},
               {"service", view.service.Text()},
               {"in_flight", view.in_flight},
               {"leaving", view.leaving},
               {"circuit", view.circuit},
               {"latency_estimate_ms", Millis(view.latency_estimate)}};
  if (!view.last_report) return item;
  item["report_age_ms"] = Millis(view.report_age);
  item["report"] = {{"draining", view.last_report->draining},
                    {"shedding", view.last_report->shedding}};
  if (view.last_report->in_flight) item["report"]["in_flight"] = *view.last_report->in_flight;
  if (view.last_report->slots) item["report"]["slots"] = *view.last_report->slots;
  return item;
}

json JsonOf(const Member& member) {
  return {{"entry_vm", member.id.Text()},   {"edge", member.edge.ToString()},
          {"peer", member.peer.ToString()}, {"place", member.failure_domain.Text()},
          {"region", member.region.Text()}, {"state", NameOf(member.state)}};
}

json JsonOf(const TrackerView& view) {
  json revisions = json::array();
  for (const PeerRevision& peer : view.peers) {
    json item = {{"entry_vm", peer.id.Text()},
                 {"place", peer.failure_domain.Text()},
                 {"revision", peer.revision}};
    if (peer.report_age) item["heard_ms_ago"] = Millis(*peer.report_age);
    revisions.push_back(std::move(item));
  }
  json failure_domains = json::array();
  for (const FailureDomainLag& lag : view.failure_domains) {
    failure_domains.push_back({{"place", lag.failure_domain.Text()},
                               {"lowest_revision", lag.lowest_revision},
                               {"lagging", lag.alarm}});
  }
  return {{"revision", view.in_force.accepted.revision},
          {"digest", view.in_force.accepted.digest},
          {"author", view.in_force.author.Text()},
          {"highest_known", view.highest_known},
          {"ready", view.ready},
          {"waiting_for", view.waiting_for},
          {"entry_vms", revisions},
          {"places", failure_domains}};
}

json JsonOf(const std::vector<DifferenceLine>& lines) {
  json items = json::array();
  for (const DifferenceLine& line : lines) {
    items.push_back({{"kind", NameOf(line.kind)},
                     {"table", line.table},
                     {"id", line.id},
                     {"key", line.key},
                     {"before", line.before},
                     {"after", line.after}});
  }
  return items;
}

json JsonOf(const RequestRecord& record) {
  json item = {{"request", record.request.Text()},
               {"tenant", record.tenant.Text()},
               {"service", record.service.Text()},
               {"class", std::string(cowsliphill::NameOf(record.request_class))},
               {"entry_vm", record.entry_vm.Text()},
               {"backend_server", record.backend_server.Text()},
               {"started", FormatWallTime(record.started)},
               {"deadline_ms", record.deadline.count()},
               {"outcome", std::string(cowsliphill::NameOf(record.outcome))},
               {"cause", NameOf(record.cause)},
               {"detail", record.detail}};
  if (record.ended) item["ended"] = FormatWallTime(*record.ended);
  return item;
}

AdminAnswer ErrorAnswer(HistoryError error) {
  if (error == HistoryError::kNoSuchRevision) {
    return AdminError(
        404,
        "revision: found a revision that was never accepted; allowed: a revision of the history");
  }
  return AdminError(503, "the platform did not answer; ask again");
}

// Converts each kind of answer to a submission into JSON with its HTTP status.
struct SubmissionJson {
  AdminAnswer operator()(const Accepted& answer) const {
    return Answer(200, {{"answer", "accepted"},
                        {"revision", answer.accepted.revision},
                        {"digest", answer.accepted.digest},
                        {"by_earlier_try", answer.already_accepted},
                        {"difference", JsonOf(answer.difference)}});
  }
  AdminAnswer operator()(const Unchanged& answer) const {
    return Answer(200, {{"answer", "unchanged"}, {"revision", answer.revision}});
  }
  AdminAnswer operator()(const WouldBeAccepted& answer) const {
    return Answer(200,
                  {{"answer", "would be accepted"}, {"difference", JsonOf(answer.difference)}});
  }
  AdminAnswer operator()(const Refused& answer) const {
    json issues = json::array();
    for (const Issue& issue : answer.issues) issues.push_back(issue.ToString());
    return Answer(422, {{"answer", "refused"}, {"issues", issues}});
  }
  AdminAnswer operator()(const BaseConflict& answer) const {
    return Answer(409, {{"answer", "conflict"},
                        {"accepted_revision", answer.revision},
                        {"author", answer.author.Text()},
                        {"time", FormatWallTime(answer.time)}});
  }
  AdminAnswer operator()(const Undetermined& answer) const {
    return Answer(
        503, {{"answer", "unknown"}, {"detail", answer.detail + "; ask again with the same id"}});
  }
};

}  // namespace

AdminAnswer ToAdminAnswer(const EntryVmView& view) {
  json members = json::array();
  for (const Member& member : view.members) members.push_back(JsonOf(member));
  json servers = json::array();
  for (const ServerView& server : view.servers) servers.push_back(JsonOf(server));
  return Answer(200, {{"entry_vm", view.id.Text()},
                      {"place", view.failure_domain.Text()},
                      {"edge", view.edge.ToString()},
                      {"stopping", view.stopping},
                      {"open_requests", view.open_requests},
                      {"caller_connections", view.caller_connections},
                      {"record_partner", view.record_partner.Text()},
                      {"table_reachable", view.table_reachable},
                      {"manifest", JsonOf(view.manifest)},
                      {"members", members},
                      {"backend_servers", servers}});
}

AdminAnswer ToAdminAnswer(const std::string& service, const std::vector<Decision>& decisions) {
  json items = json::array();
  for (const Decision& decision : decisions) {
    items.push_back(
        {{"ticket", decision.ticket}, {"chosen", decision.chosen}, {"reason", decision.reason}});
  }
  return Answer(200, {{"service", service}, {"decisions", items}});
}

AdminAnswer ToAdminAnswer(const SubmissionAnswer& answer) {
  return std::visit(SubmissionJson{}, answer);
}

AdminAnswer ToAdminAnswer(const HistoryResult& history) {
  if (!Ok(history)) return ErrorAnswer(ErrorOf(history));
  json items = json::array();
  for (const HistoryEntry& entry : ValueOf(history)) {
    items.push_back({{"revision", entry.head.accepted.revision},
                     {"author", entry.head.author.Text()},
                     {"time", FormatWallTime(entry.head.time)},
                     {"submission", entry.head.submission},
                     {"note", entry.note}});
  }
  return Answer(200, {{"revisions", items}});
}

AdminAnswer ToAdminAnswer(const DifferenceResult& difference) {
  if (!Ok(difference)) return ErrorAnswer(ErrorOf(difference));
  return Answer(200, {{"difference", JsonOf(ValueOf(difference))}});
}

AdminAnswer ToAdminAnswer(const RecordReadResult& records) {
  if (const auto* error = std::get_if<RecordReadError>(&records)) {
    const bool platform = error->kind == RecordReadError::Kind::kPlatform;
    return AdminError(platform ? 503 : 400, error->detail);
  }
  const RecordAnswer& answer = std::get<RecordAnswer>(records);
  json items = json::array();
  for (const RequestRecord& record : answer.records) items.push_back(JsonOf(record));
  json dropped = json::array();
  for (const DroppedRecords& lost : answer.dropped) {
    dropped.push_back({{"tenant", lost.tenant.Text()},
                       {"service", lost.service.Text()},
                       {"cause", NameOf(lost.cause)},
                       {"count", lost.count}});
  }
  return Answer(200, {{"records", items},
                      {"dropped", dropped},
                      {"left_out", answer.left_out},
                      {"malformed_batches", answer.malformed_batches}});
}

AdminAnswer DrainAnswer(const ServerView& view) {
  return Answer(200, {{"backend_server", view.server.Text()},
                      {"leaving", view.leaving},
                      {"in_flight", view.in_flight},
                      {"free", view.leaving && view.in_flight == 0}});
}

}  // namespace cowsliphill
