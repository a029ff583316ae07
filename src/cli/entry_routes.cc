// The routes of an entry VM's administration API. docs/API.md is their reference.

#include <utility>

#include "src/admin/views.h"
#include "src/base/numbers.h"
#include "src/cli/entry_vm.h"
#include "src/forward/request_headers.h"
#include "src/manifest/manifest_format.h"

namespace cowsliphill {

namespace {

constexpr size_t kMaxHistoryRevisions = 100;  // Most revisions in one answer.
// Longest period that one query of records may span.
constexpr std::chrono::minutes kMaxRecordSpan = std::chrono::hours(720);

AdminAnswer BadParameter(const std::string& name, const std::string& found) {
  return AdminError(400, name + ": found \"" + found + "\"; allowed: a whole number");
}

}  // namespace

void EntryVm::AddRoutes() {
  const auto add = [this](const char* method, const char* path, bool needs_token, auto handle) {
    admin_.Add({method, path, needs_token, std::move(handle)});
  };
  using Request = const AdminRequest&;
  using Reply = const AdminReply&;
  add("GET", "/healthz", false, [](Request, Reply reply) { reply({200, "{\"healthy\":true}\n"}); });
  add("GET", "/readyz", false, [this](Request, Reply reply) {
    const bool ready = follower_->Ready() && !stop_.Begun();
    reply({ready ? 200 : 503, ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n"});
  });
  add("GET", "/metrics", false, [this](Request, Reply reply) {
    SetGauges();
    reply({200, metrics_.Serialize(), "text/plain; version=0.0.4"});
  });
  add("GET", "/v1/status", true, [this](Request, Reply reply) { reply(Status()); });
  add("GET", "/v1/explain", true, [this](Request request, Reply reply) {
    const std::string service = request.Parameter("service");
    reply(ToAdminAnswer(service, chooser_.RecentDecisions(ServiceId(service))));
  });
  add("GET", "/v1/drain", true,
      [this](Request request, Reply reply) { reply(Drain(request.Parameter("backend_server"))); });
  add("GET", "/v1/manifest", true, [this](Request, Reply reply) {
    reply({200, FormatManifest(*manifest_), "application/toml"});
  });
  add("POST", "/v1/manifest", true,
      [this](Request request, Reply reply) { SubmitManifest(request, reply); });
  add("GET", "/v1/manifest/history", true,
      [this](Request request, Reply reply) { ReadHistory(request, reply); });
  add("GET", "/v1/manifest/difference", true,
      [this](Request request, Reply reply) { CompareRevisions(request, reply); });
  add("GET", "/v1/records", true,
      [this](Request request, Reply reply) { ReadRecords(request, reply); });
}

AdminAnswer EntryVm::Status() const {
  EntryVmView view;
  view.id = id_;
  view.failure_domain = settings_.failure_domain;
  view.edge = edge_address_;
  view.stopping = stop_.Begun();
  view.open_requests = context_.open_requests;
  view.caller_connections = edge_.OpenConnections();
  view.manifest = follower_->View();
  view.members = members_->Live();
  view.servers = chooser_.View(clock_.Now());
  view.record_partner = records_->Partner();
  view.table_reachable = claims_.TableReachable();
  return ToAdminAnswer(view);
}

AdminAnswer EntryVm::Drain(const std::string& server) const {
  for (const ServerView& view : chooser_.View(clock_.Now())) {
    if (view.server.Text() == server) return DrainAnswer(view);
  }
  return AdminError(404, "backend_server: found \"" + server +
                             "\"; allowed: a backend server of the manifest in force");
}

void EntryVm::SubmitManifest(const AdminRequest& request, const AdminReply& reply) {
  Submission submission;
  submission.id = request.Parameter("id");
  submission.text = request.body;
  submission.author = Author{request.team, request.services};
  submission.note = request.Parameter("note");
  submission.dry_run = request.Parameter("dry_run") == "true";
  const std::string base = request.Parameter("base");
  const std::optional<uint64_t> revision = ParseUnsigned(base);
  if (!revision) return reply(BadParameter("base", base));
  submission.base_revision = *revision;
  const std::string roll_back = request.Parameter("roll_back_to");
  if (!roll_back.empty()) {
    submission.roll_back_to = ParseUnsigned(roll_back);
    if (!submission.roll_back_to) return reply(BadParameter("roll_back_to", roll_back));
  }
  keeper_->Submit(std::move(submission), [this, reply](const SubmissionAnswer& answer) {
    const AdminAnswer out = ToAdminAnswer(answer);
    log_.Write(LogLevel::kInfo, "manifest submitted", {{"status", int64_t{out.status}}});
    reply(out);
  });
}

void EntryVm::ReadHistory(const AdminRequest& request, const AdminReply& reply) {
  const std::string after = request.Parameter("after");
  const std::optional<uint64_t> revision = ParseUnsigned(after.empty() ? "0" : after);
  if (!revision) return reply(BadParameter("after", after));
  keeper_->History(*revision, kMaxHistoryRevisions,
                   [reply](const HistoryResult& history) { reply(ToAdminAnswer(history)); });
}

void EntryVm::CompareRevisions(const AdminRequest& request, const AdminReply& reply) {
  const std::optional<uint64_t> from = ParseUnsigned(request.Parameter("from"));
  const std::optional<uint64_t> to = ParseUnsigned(request.Parameter("to"));
  if (!from) return reply(BadParameter("from", request.Parameter("from")));
  if (!to) return reply(BadParameter("to", request.Parameter("to")));
  keeper_->Compare(*from, *to, [reply](const DifferenceResult& difference) {
    reply(ToAdminAnswer(difference));
  });
}

void EntryVm::ReadRecords(const AdminRequest& request, const AdminReply& reply) {
  RecordQuery query;
  const std::string minutes = request.Parameter("minutes");
  const std::optional<uint64_t> span = ParseUnsigned(minutes.empty() ? "60" : minutes);
  if (!span || std::chrono::minutes(*span) > kMaxRecordSpan) {
    return reply(BadParameter("minutes", minutes));
  }
  query.to = clock_.WallNow();
  query.from = query.to - std::chrono::minutes(*span);
  query.tenant = TenantId(request.Parameter("tenant"));
  query.service = ServiceId(request.Parameter("service"));
  query.request = LoggedId(RequestId(request.Parameter("request")));
  record_reader_.Read(query, query.to,
                      [reply](const RecordReadResult& records) { reply(ToAdminAnswer(records)); });
}

}  // namespace cowsliphill
