#include "src/zone/zone_message.h"

#include <zlib.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "src/base/msgpack.h"
#include "src/base/toml_reader.h"

namespace cowsliphill {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// MessagePack, an array whose first item is kNews or kQuestion. These items are part of the wire
// form; never reuse one.
constexpr int kNews = 2;
constexpr int kQuestion = 4;

json Encode(const BackendServer& server) {
  return {server.id.Text(),
          server.service.Text(),
          server.failure_domain.Text(),
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
  server.failure_domain = FailureDomainId(row.at(2).get<std::string>());
  const std::optional<Endpoint> endpoint = ParseEndpoint(row.at(3).get<std::string>());
  if (endpoint) server.endpoint = *endpoint;
  server.state = row.at(4).get<bool>() ? BackendState::kLeaving : BackendState::kActive;
  server.slots = row.at(5).get<uint32_t>();
  server.warmup = milliseconds(row.at(6).get<int64_t>());
  server.started = row.at(7).get<uint64_t>();
  return server;
}

// A message that begins with this byte, which none else begins with, is compressed: four bytes of
// its size follow, lowest first, then a zlib stream.
constexpr char kCompressed = 'z';
constexpr size_t kSizeBytes = 4;
constexpr size_t kCompressAbove = 1000;  // Bytes; shorter ones fit into one packet as they are.
constexpr size_t kMostExpanded = 1U
                                 << 20;  // Bytes; a larger size is refused before it is unpacked.

std::string Compress(const std::string& bytes) {
  uLongf n = compressBound(bytes.size());
  std::string out(1 + kSizeBytes + n, kCompressed);
  for (size_t i = 0; i < kSizeBytes; ++i) {
    out[1 + i] = static_cast<char>(bytes.size() >> (8 * i) & 0xff);
  }
  const int result =
      compress2(reinterpret_cast<Bytef*>(out.data() + 1 + kSizeBytes), &n,
                reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
  if (result != Z_OK) return bytes;  // Larger on the wire, and as good.
  out.resize(1 + kSizeBytes + n);
  return out;
}

std::optional<std::string> Expand(const std::string& bytes) {
  if (bytes.empty() || bytes[0] != kCompressed) return bytes;
  if (bytes.size() <= 1 + kSizeBytes) return std::nullopt;
  size_t size = 0;
  for (size_t i = 0; i < kSizeBytes; ++i) {
    size |= static_cast<size_t>(static_cast<unsigned char>(bytes[1 + i])) << (8 * i);
  }
  if (size > kMostExpanded) return std::nullopt;
  std::string out(size, '\0');
  uLongf n = size;
  const int result = uncompress(reinterpret_cast<Bytef*>(out.data()), &n,
                                reinterpret_cast<const Bytef*>(bytes.data() + 1 + kSizeBytes),
                                bytes.size() - 1 - kSizeBytes);
  if (result != Z_OK || n != size) return std::nullopt;
  return out;
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
          std::move(changed),
          std::move(gone),
          news.sender.Text(),
          news.revision,
          news.relay,
          news.reaches_store,
          json::binary(std::vector<uint8_t>(news.manifest.begin(), news.manifest.end())),
          news.whole,
          news.manifest_too_large};
}

ZoneMessage DecodeFields(const json& message) {
  if (message.at(0).get<int>() == kQuestion) {
    CatalogQuestion question;
    const std::optional<Endpoint> reply_to = ParseEndpoint(message.at(1).get<std::string>());
    if (reply_to) question.reply_to = *reply_to;
    question.revision = message.at(2).get<uint64_t>();
    question.manifest_version = message.at(3).get<uint64_t>();
    question.servers_version = message.at(4).get<uint64_t>();
    return question;
  }
  CatalogNews news;
  news.manifest_version = message.at(1).get<uint64_t>();
  news.manifest_age = milliseconds(message.at(2).get<int64_t>());
  news.from = message.at(3).get<uint64_t>();
  news.servers_version = message.at(4).get<uint64_t>();
  news.servers_age = milliseconds(message.at(5).get<int64_t>());
  for (const json& row : message.at(6)) news.changed.push_back(DecodeServer(row));
  for (const json& id : message.at(7)) news.gone.emplace_back(id.get<std::string>());
  news.sender = EntryVmId(message.at(8).get<std::string>());
  news.revision = message.at(9).get<uint64_t>();
  news.relay = message.at(10).get<bool>();
  news.reaches_store = message.at(11).get<bool>();
  const json::binary_t& manifest = message.at(12).get_binary();
  news.manifest.assign(manifest.begin(), manifest.end());
  news.whole = message.at(13).get<bool>();
  news.manifest_too_large = message.at(14).get<bool>();
  return news;
}

}  // namespace

std::string EncodeZoneMessage(const ZoneMessage& message) {
  json fields;
  if (const auto* question = std::get_if<CatalogQuestion>(&message)) {
    fields = {kQuestion, question->reply_to.ToString(), question->revision,
              question->manifest_version, question->servers_version};
  } else {
    fields = EncodeNews(std::get<CatalogNews>(message));
  }
  std::string bytes;
  json::to_msgpack(fields, bytes);
  return bytes.size() > kCompressAbove ? Compress(bytes) : bytes;
}

std::optional<ZoneMessage> DecodeZoneMessage(const std::string& bytes) {
  const std::optional<std::string> expanded = Expand(bytes);
  if (!expanded || !IsShallowMsgpack(*expanded)) return std::nullopt;
  try {
    const json message = json::from_msgpack(*expanded);
    const int kind = message.at(0).get<int>();
    if (kind != kNews && kind != kQuestion) return std::nullopt;
    return DecodeFields(message);
  } catch (const json::exception&) {
    return std::nullopt;  // Counted by the caller as a refused message.
  }
}

}  // namespace cowsliphill
