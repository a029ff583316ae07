#include "src/zone/zone_message.h"

#include <nlohmann/json.hpp>

#include "src/base/msgpack.h"
#include "src/base/toml_reader.h"

namespace cowsliphill {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// First item of each message. Values are part of the wire form; never reuse one.
constexpr int kReports = 1;
constexpr int kNews = 2;
constexpr int kSent = 3;
constexpr double kPercent = 100.0;  // A slowdown travels as a whole number of percent.

json Encode(const ServerReport& item) {
  json row = {item.server.Text(), item.age.count(), item.answered, item.failed, item.missed};
  if (!item.report) return row;
  row.push_back(item.report->in_flight.value_or(0));
  row.push_back(static_cast<int64_t>(item.report->slowdown.value_or(1.0) * kPercent));
  row.push_back(item.report->draining);
  return row;
}

ServerReport DecodeReport(const json& row) {
  ServerReport item;
  item.server = BackendServerId(row.at(0).get<std::string>());
  item.age = milliseconds(row.at(1).get<int64_t>());
  item.answered = row.at(2).get<uint32_t>();
  item.failed = row.at(3).get<uint32_t>();
  item.missed = row.at(4).get<bool>();
  if (row.size() < 8) return item;
  Report report;
  report.in_flight = row.at(5).get<uint32_t>();
  report.slowdown = static_cast<double>(row.at(6).get<int64_t>()) / kPercent;
  report.draining = row.at(7).get<bool>();
  item.report = report;
  return item;
}

json Encode(const BackendServer& server) {
  return {server.id.Text(),
          server.service.Text(),
          server.place.Text(),
          server.endpoint.ToString(),
          server.state == BackendState::kLeaving,
          server.slots,
          server.warmup.count(),
          server.started};
}

BackendServer DecodeServer(const json& row) {
  BackendServer server;
  server.id = BackendServerId(row.at(0).get<std::string>());
  server.service = ServiceId(row.at(1).get<std::string>());
  server.place = PlaceId(row.at(2).get<std::string>());
  const std::optional<Endpoint> endpoint = ParseEndpoint(row.at(3).get<std::string>());
  if (endpoint) server.endpoint = *endpoint;
  server.state = row.at(4).get<bool>() ? BackendState::kLeaving : BackendState::kActive;
  server.slots = row.at(5).get<uint32_t>();
  server.warmup = milliseconds(row.at(6).get<int64_t>());
  server.started = row.at(7).get<uint64_t>();
  return server;
}

json EncodeBatch(const ReportBatch& batch) {
  json rows = json::array();
  for (const ServerReport& item : batch.reports) rows.push_back(Encode(item));
  return {kReports, std::move(rows), batch.relay};
}

json EncodeNews(const CatalogNews& news) {
  json changed = json::array();
  for (const BackendServer& server : news.changed) changed.push_back(Encode(server));
  json gone = json::array();
  for (const BackendServerId& id : news.gone) gone.push_back(id.Text());
  return {kNews,
          news.manifest_version,
          news.manifest_age.count(),
          news.from,
          news.servers_version,
          news.servers_age.count(),
          news.since_failure.count(),
          std::move(changed),
          std::move(gone),
          news.sender.Text(),
          news.revision};
}

ZoneMessage DecodeFields(const json& message) {
  if (message.at(0).get<int>() == kSent) {
    return SentNotice{BackendServerId(message.at(1).get<std::string>())};
  }
  if (message.at(0).get<int>() == kReports) {
    ReportBatch batch;
    batch.relay = message.at(2).get<bool>();
    for (const json& row : message.at(1)) batch.reports.push_back(DecodeReport(row));
    return batch;
  }
  CatalogNews news;
  news.manifest_version = message.at(1).get<uint64_t>();
  news.manifest_age = milliseconds(message.at(2).get<int64_t>());
  news.from = message.at(3).get<uint64_t>();
  news.servers_version = message.at(4).get<uint64_t>();
  news.servers_age = milliseconds(message.at(5).get<int64_t>());
  news.since_failure = milliseconds(message.at(6).get<int64_t>());
  for (const json& row : message.at(7)) news.changed.push_back(DecodeServer(row));
  for (const json& id : message.at(8)) news.gone.emplace_back(id.get<std::string>());
  news.sender = EntryVmId(message.at(9).get<std::string>());
  news.revision = message.at(10).get<uint64_t>();
  return news;
}

}  // namespace

std::string EncodeZoneMessage(const ZoneMessage& message) {
  json fields;
  if (const auto* batch = std::get_if<ReportBatch>(&message)) {
    fields = EncodeBatch(*batch);
  } else if (const auto* notice = std::get_if<SentNotice>(&message)) {
    fields = {kSent, notice->server.Text()};
  } else {
    fields = EncodeNews(std::get<CatalogNews>(message));
  }
  const std::vector<uint8_t> bytes = json::to_msgpack(fields);
  return {bytes.begin(), bytes.end()};
}

std::optional<ZoneMessage> DecodeZoneMessage(const std::string& bytes) {
  if (!IsShallowMsgpack(bytes)) return std::nullopt;
  try {
    const json message = json::from_msgpack(bytes);
    const int kind = message.at(0).get<int>();
    if (kind < kReports || kind > kSent) return std::nullopt;
    return DecodeFields(message);
  } catch (const json::exception&) {
    return std::nullopt;  // Counted by the caller as a refused message.
  }
}

}  // namespace cowsliphill
