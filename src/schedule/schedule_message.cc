#include "src/schedule/schedule_message.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <string_view>

#include "src/base/packed.h"
#include "src/base/toml_reader.h"

namespace cowsliphill {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Message types (the first byte) and numbers are part of the wire format; never reuse one.
constexpr char kRequest = 'A';
constexpr char kWorkspaceRequest = 'W';  // A request that names a workspace.
constexpr char kReply = 'R';
constexpr char kEnd = 'E';
constexpr char kSlowHost = 'S';
constexpr char kCellUpdate = 'N';
constexpr char kLimitUpdate = 'L';
constexpr char kServerNotice = 'D';
constexpr char kUsageReport = 'U';
constexpr char kUsageAnswer = 'V';
constexpr char kWarmupUpdate = 'H';
constexpr std::string_view kFirstBytes = "AWRESNLDUVH";

constexpr uint32_t kBulk = 1;
constexpr uint32_t kHedge = 2;
constexpr uint32_t kForwarded = 4;
constexpr uint32_t kCharged = 8;

constexpr uint32_t kHasReport = 1;
constexpr uint32_t kHasInFlight = 2;
constexpr uint32_t kHasSlowdown = 4;
constexpr uint32_t kDraining = 8;
constexpr uint32_t kShedding = 16;
constexpr uint32_t kHasLimit = 32;
constexpr uint32_t kLeaving = 1;
constexpr uint32_t kPause = 2;
constexpr uint32_t kShares = 1;
constexpr uint32_t kReplyOnly = 2;
constexpr uint32_t kComplete = 1;
constexpr uint32_t kUnasked = 2;
constexpr double kPercent = 100.0;
constexpr double kMilli = 1000.0;  // Limits are encoded in requests per 1000 s.

// Levels of buckets may be negative, and are encoded as tokens above the lowest one.
constexpr double kLowestLevel = -16777216.0;
constexpr double kTokenParts = 64.0;  // Levels are encoded in 64ths of a token.
constexpr double kRateParts = 16.0;   // Rates of use and demand in 16ths of a request per second.

constexpr auto kLastCause = static_cast<uint32_t>(RefusalCause::kWorkspaceLimit);
constexpr auto kLastEnd = static_cast<uint32_t>(AttemptEnd::kCancelled);

uint64_t NonNegative(int64_t value) { return static_cast<uint64_t>(std::max<int64_t>(value, 0)); }
uint64_t Millis(milliseconds time) { return NonNegative(time.count()); }
uint64_t Percent(double value) { return NonNegative(static_cast<int64_t>(value * kPercent)); }

uint64_t EncodeLimit(double limit) { return NonNegative(static_cast<int64_t>(limit * kMilli)); }

void Put(PackedWriter& out, const ScheduleRequest& request) {
  uint32_t flags = request.bulk ? kBulk : 0;
  if (request.hedge) flags |= kHedge;
  if (request.forwarded_for) flags |= kForwarded;
  if (request.charged && request.workspace != 0) flags |= kCharged;
  const char first = request.workspace != 0 ? kWorkspaceRequest : kRequest;
  out.Number(static_cast<unsigned char>(first), 1).Number(request.id, 4).Number(request.service, 4);
  out.Number(request.failure_domain, 4).Number(request.rank, 1).Number(flags, 1);
  out.Number(Millis(request.target_latency), 2)
      .Number(Millis(request.target_left), 2)
      .Number(Millis(request.deadline_left), 3);
  out.Number(Millis(request.caller_left), 3);
  const size_t n = std::min(request.tried.size(), kMaxTried);
  out.Number(n, 1);
  for (size_t i = 0; i < n; ++i) out.Number(request.tried[i], 4);
  if (request.forwarded_for) out.Text(request.forwarded_for->ToString());
  if (request.workspace != 0) out.Number(request.workspace, 4);
}

void Put(PackedWriter& out, const ScheduleReply& reply) {
  out.Number(static_cast<unsigned char>(kReply), 1).Number(reply.id, 4);
  out.Number(static_cast<uint32_t>(reply.kind), 1);
  if (reply.kind == ScheduleReply::Kind::kAssigned) {
    out.Number(reply.server, 4)
        .Number(Millis(reply.expected), 3)
        .Number(Millis(reply.service_time), 3);
    out.Number(Millis(reply.report_age), 2).Number(reply.in_flight, 2);
    out.Number(Percent(reply.slowdown), 2).Number(reply.usable_servers, 2);
  } else if (reply.kind == ScheduleReply::Kind::kRefused) {
    out.Number(static_cast<uint32_t>(reply.cause), 1).Number(Millis(reply.retry_after), 3);
  }
}

void Put(PackedWriter& out, const ScheduleEnd& end) {
  const Report report = end.report.value_or(Report());
  uint32_t flags = end.report ? kHasReport : 0;
  if (report.in_flight) flags |= kHasInFlight;
  if (report.slowdown) flags |= kHasSlowdown;
  if (report.draining) flags |= kDraining;
  if (report.shedding) flags |= kShedding;
  if (end.limit) flags |= kHasLimit;
  out.Number(static_cast<unsigned char>(kEnd), 1).Number(end.id, 4);
  out.Number(static_cast<uint32_t>(end.end), 1).Number(NonNegative(end.latency.count()), 4);
  out.Number(flags, 1).Number(report.in_flight.value_or(0), 2);
  out.Number(Percent(report.slowdown.value_or(0)), 2);
  if (end.limit) out.Number(EncodeLimit(*end.limit), 4);
}

void Put(PackedWriter& out, const ServerNotice& notice) {
  out.Number(static_cast<unsigned char>(kServerNotice), 1).Number(notice.server, 4);
  out.Number(notice.started & 0xffffffff, 4).Number(notice.started >> 32, 4);
  const bool pauses = notice.pause.count() > 0;
  out.Number((notice.leaving ? kLeaving : 0) | (pauses ? kPause : 0), 1);
  if (pauses) out.Number(Millis(notice.pause), 3).Text(notice.of.ToString());
}

void Put(PackedWriter& out, const SlowHost& slow) {
  out.Number(static_cast<unsigned char>(kSlowHost), 1).Number(slow.id, 4);
}

void Put(PackedWriter& out, const CellUpdate& update) {
  out.Number(static_cast<unsigned char>(kCellUpdate), 1).Number(update.service, 4);
  out.Number(update.failure_domain, 4).Number(update.free_slots, 2);
}

void Put(PackedWriter& out, const LimitUpdate& update) {
  out.Number(static_cast<unsigned char>(kLimitUpdate), 1).Number(update.service, 4);
  out.Number(update.failure_domain, 4).Number(update.shares ? 1 : 0, 1);
  const size_t n = std::min(update.limits.size(), kMaxLimits);
  out.Number(n, 2);
  for (size_t i = 0; i < n; ++i) {
    const LimitUpdate::Limit& limit = update.limits[i];
    out.Number(limit.server, 4).Number(limit.per_second ? 1 : 0, 1);
    out.Number(EncodeLimit(limit.per_second.value_or(0)), 4).Number(Millis(limit.age), 3);
  }
}

void Put(PackedWriter& out, const UsageReport& report) {
  out.Number(static_cast<unsigned char>(kUsageReport), 1).Number(report.lifetime, 4);
  const size_t n = std::min(report.entries.size(), kMaxUsageEntries);
  out.Number(report.sent_at, 4).Number(n, 1);
  for (size_t i = 0; i < n; ++i) {
    const UsageReport::Entry& it = report.entries[i];
    out.Number(it.workspace, 4).Number(it.used, 4).Number(it.demand, 4);
    out.Number(it.reserved, 2).Number(it.recent, 3);
  }
}

uint64_t EncodeRate(double rate) { return NonNegative(std::llround(rate * kRateParts)); }

void Put(PackedWriter& out, const UsageAnswer& answer) {
  out.Number(static_cast<unsigned char>(kUsageAnswer), 1).Number(answer.lifetime, 4);
  const size_t n = std::min(answer.entries.size(), kMaxUsageEntries);
  out.Number(answer.sent_at, 4);
  out.Number((answer.complete ? kComplete : 0) | (answer.unasked ? kUnasked : 0), 1).Number(n, 1);
  for (size_t i = 0; i < n; ++i) {
    const UsageAnswer::Entry& it = answer.entries[i];
    const int64_t level = std::llround((it.level - kLowestLevel) * kTokenParts);
    out.Number(it.workspace, 4).Number(it.known ? 1 : 0, 1).Number(NonNegative(level), 4);
    out.Number(it.used, 4);
    out.Number(EncodeRate(it.others_use), 3).Number(EncodeRate(it.others_demand), 3);
  }
}

void Put(PackedWriter& out, const WarmupUpdate& update) {
  out.Number(static_cast<unsigned char>(kWarmupUpdate), 1).Number(update.service, 4);
  out.Number(update.failure_domain, 4);
  out.Number((update.shares ? kShares : 0) | (update.reply ? kReplyOnly : 0), 1);
  const size_t n = std::min(update.servers.size(), kMaxLimits);
  out.Number(n, 2);
  for (size_t i = 0; i < n; ++i) {
    const WarmupUpdate::Server& it = update.servers[i];
    out.Number(it.server, 4).Number(Millis(it.left), 4).Number(it.age ? 1 : 0, 1);
    if (it.age) out.Number(Millis(*it.age), 3);
  }
}

std::optional<ScheduleMessage> ReadRequest(PackedReader& in, bool has_workspace) {
  ScheduleRequest request;
  request.id = in.Number(4);
  request.service = in.Number(4);
  request.failure_domain = in.Number(4);
  request.rank = in.Number(1);
  const uint32_t flags = in.Number(1);
  request.bulk = (flags & kBulk) != 0;
  request.hedge = (flags & kHedge) != 0;
  request.charged = (flags & kCharged) != 0;
  request.target_latency = milliseconds(in.Number(2));
  request.target_left = milliseconds(in.Number(2));
  request.deadline_left = milliseconds(in.Number(3));
  request.caller_left = milliseconds(in.Number(3));
  const size_t n = in.Number(1);
  if (n > kMaxTried) return std::nullopt;
  for (size_t i = 0; i < n; ++i) request.tried.push_back(in.Number(4));
  if ((flags & kForwarded) != 0) {
    request.forwarded_for = ParseEndpoint(in.Text());
    if (!request.forwarded_for) return std::nullopt;
  }
  if (has_workspace) request.workspace = in.Number(4);
  return request;
}

std::optional<ScheduleMessage> ReadReply(PackedReader& in) {
  ScheduleReply reply;
  reply.id = in.Number(4);
  const uint32_t kind = in.Number(1);
  if (kind < static_cast<uint32_t>(ScheduleReply::Kind::kAssigned) ||
      kind > static_cast<uint32_t>(ScheduleReply::Kind::kRefused)) {
    return std::nullopt;
  }
  reply.kind = static_cast<ScheduleReply::Kind>(kind);
  if (reply.kind == ScheduleReply::Kind::kAssigned) {
    reply.server = in.Number(4);
    reply.expected = milliseconds(in.Number(3));
    reply.service_time = milliseconds(in.Number(3));
    reply.report_age = milliseconds(in.Number(2));
    reply.in_flight = in.Number(2);
    reply.slowdown = in.Number(2) / kPercent;
    reply.usable_servers = in.Number(2);
  } else if (reply.kind == ScheduleReply::Kind::kRefused) {
    const uint32_t cause = in.Number(1);
    if (cause > kLastCause) return std::nullopt;
    reply.cause = static_cast<RefusalCause>(cause);
    reply.retry_after = milliseconds(in.Number(3));
  }
  return reply;
}

std::optional<ScheduleMessage> ReadEnd(PackedReader& in) {
  ScheduleEnd end;
  end.id = in.Number(4);
  const uint32_t kind = in.Number(1);
  if (kind > kLastEnd) return std::nullopt;
  end.end = static_cast<AttemptEnd>(kind);
  end.latency = microseconds(in.Number(4));
  const uint32_t flags = in.Number(1);
  Report report;
  const uint32_t in_flight = in.Number(2);
  const double slowdown = in.Number(2) / kPercent;
  if ((flags & kHasInFlight) != 0) report.in_flight = in_flight;
  if ((flags & kHasSlowdown) != 0) report.slowdown = slowdown;
  report.draining = (flags & kDraining) != 0;
  report.shedding = (flags & kShedding) != 0;
  if ((flags & kHasReport) != 0) end.report = report;
  if ((flags & kHasLimit) != 0) end.limit = in.Number(4) / kMilli;
  return end;
}

std::optional<ScheduleMessage> ReadCellUpdate(PackedReader& in) {
  CellUpdate update;
  update.service = in.Number(4);
  update.failure_domain = in.Number(4);
  update.free_slots = in.Number(2);
  return update;
}

std::optional<ScheduleMessage> ReadLimitUpdate(PackedReader& in) {
  LimitUpdate update;
  update.service = in.Number(4);
  update.failure_domain = in.Number(4);
  update.shares = in.Number(1) != 0;
  const size_t n = in.Number(2);
  if (n > kMaxLimits) return std::nullopt;
  for (size_t i = 0; i < n; ++i) {
    LimitUpdate::Limit limit;
    limit.server = in.Number(4);
    const bool has_limit = in.Number(1) != 0;
    const double per_second = in.Number(4) / kMilli;
    if (has_limit) limit.per_second = per_second;
    limit.age = milliseconds(in.Number(3));
    update.limits.push_back(limit);
  }
  return update;
}

std::optional<ScheduleMessage> ReadWarmupUpdate(PackedReader& in) {
  WarmupUpdate update;
  update.service = in.Number(4);
  update.failure_domain = in.Number(4);
  const uint32_t flags = in.Number(1);
  update.shares = (flags & kShares) != 0;
  update.reply = (flags & kReplyOnly) != 0;
  const size_t n = in.Number(2);
  if (n > kMaxLimits) return std::nullopt;
  for (size_t i = 0; i < n; ++i) {
    WarmupUpdate::Server& it = update.servers.emplace_back();
    it.server = in.Number(4);
    it.left = milliseconds(in.Number(4));
    if (in.Number(1) != 0) it.age = milliseconds(in.Number(3));
  }
  return update;
}

std::optional<ScheduleMessage> ReadServerNotice(PackedReader& in) {
  ServerNotice notice;
  notice.server = in.Number(4);
  notice.started = in.Number(4);
  notice.started |= static_cast<uint64_t>(in.Number(4)) << 32;
  const uint32_t flags = in.Number(1);
  notice.leaving = (flags & kLeaving) != 0;
  if ((flags & kPause) == 0) return notice;
  notice.pause = milliseconds(in.Number(3));
  const std::optional<Endpoint> of = ParseEndpoint(in.Text());
  if (!of) return std::nullopt;
  notice.of = *of;
  return notice;
}

std::optional<ScheduleMessage> ReadUsageReport(PackedReader& in) {
  UsageReport report;
  report.lifetime = in.Number(4);
  report.sent_at = in.Number(4);
  const size_t n = in.Number(1);
  if (n > kMaxUsageEntries) return std::nullopt;
  for (size_t i = 0; i < n; ++i) {
    UsageReport::Entry it;
    it.workspace = in.Number(4);
    it.used = in.Number(4);
    it.demand = in.Number(4);
    it.reserved = in.Number(2);
    it.recent = in.Number(3);
    report.entries.push_back(it);
  }
  return report;
}

std::optional<ScheduleMessage> ReadUsageAnswer(PackedReader& in) {
  UsageAnswer answer;
  answer.lifetime = in.Number(4);
  answer.sent_at = in.Number(4);
  const uint32_t flags = in.Number(1);
  answer.complete = (flags & kComplete) != 0;
  answer.unasked = (flags & kUnasked) != 0;
  const size_t n = in.Number(1);
  if (n > kMaxUsageEntries) return std::nullopt;
  for (size_t i = 0; i < n; ++i) {
    UsageAnswer::Entry it;
    it.workspace = in.Number(4);
    it.known = in.Number(1) != 0;
    it.level = in.Number(4) / kTokenParts + kLowestLevel;
    it.used = in.Number(4);
    it.others_use = in.Number(3) / kRateParts;
    it.others_demand = in.Number(3) / kRateParts;
    answer.entries.push_back(it);
  }
  return answer;
}

std::optional<ScheduleMessage> ReadMessage(char first, PackedReader& in) {
  switch (first) {
    case kRequest:
      return ReadRequest(in, false);
    case kWorkspaceRequest:
      return ReadRequest(in, true);
    case kReply:
      return ReadReply(in);
    case kEnd:
      return ReadEnd(in);
    case kSlowHost:
      return SlowHost{in.Number(4)};
    case kCellUpdate:
      return ReadCellUpdate(in);
    case kLimitUpdate:
      return ReadLimitUpdate(in);
    case kWarmupUpdate:
      return ReadWarmupUpdate(in);
    case kServerNotice:
      return ReadServerNotice(in);
    case kUsageReport:
      return ReadUsageReport(in);
    case kUsageAnswer:
      return ReadUsageAnswer(in);
    default:
      return std::nullopt;
  }
}

}  // namespace

NameHash HashName(const std::string& name) {
  return static_cast<NameHash>(XXH3_64bits(name.data(), name.size()));
}

bool IsScheduleMessage(const std::string& bytes) {
  return !bytes.empty() && kFirstBytes.find(bytes[0]) != std::string_view::npos;
}

std::string EncodeScheduleMessage(const ScheduleMessage& message) {
  PackedWriter out;
  std::visit([&out](const auto& it) { Put(out, it); }, message);
  return out.Take();
}

std::optional<ScheduleMessage> DecodeScheduleMessage(const std::string& bytes) {
  if (bytes.empty()) return std::nullopt;
  const std::string_view all(bytes);
  PackedReader in(all.substr(1));
  const std::optional<ScheduleMessage> message = ReadMessage(bytes[0], in);
  return message && in.FullyConsumed() ? message : std::nullopt;
}

}  // namespace cowsliphill
