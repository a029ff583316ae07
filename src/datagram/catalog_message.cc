#include "src/datagram/catalog_message.h"

#include <zlib.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "src/base/msgpack.h"
#include "src/base/toml_reader.h"

namespace cowsliphill {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// A message is a MessagePack array whose first item is its kind. The numbers are part of the wire
// format; don't reuse those of removed kinds.
constexpr int kUpdateKind = 8;
constexpr int kRequestKind = 6;
constexpr int kPendingKind = 7;

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

// First byte of a compressed message; no uncompressed one begins with it. It is followed by the
// uncompressed size in four bytes, least significant first, and by a zlib stream.
constexpr char kCompressedMarker = 'z';
constexpr size_t kSizeBytes = 4;
// Messages up to this size fit into one packet uncompressed.
constexpr size_t kCompressionThresholdBytes = 1000;
// A message with a larger uncompressed size is rejected before it is decompressed.
constexpr size_t kMaxExpandedBytes = 1U << 20;

std::string Compress(const std::string& bytes) {
  uLongf n = compressBound(bytes.size());
  std::string out(1 + kSizeBytes + n, kCompressedMarker);
  for (size_t i = 0; i < kSizeBytes; ++i) {
    out[1 + i] = static_cast<char>(bytes.size() >> (8 * i) & 0xff);
  }
  const int result =
      compress2(reinterpret_cast<Bytef*>(out.data() + 1 + kSizeBytes), &n,
                reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
  if (result != Z_OK) return bytes;  // The receiver accepts uncompressed messages of any size.
  out.resize(1 + kSizeBytes + n);
  return out;
}

std::optional<std::string> Expand(const std::string& bytes) {
  if (bytes.empty() || bytes[0] != kCompressedMarker) return bytes;
  if (bytes.size() <= 1 + kSizeBytes) return std::nullopt;
  size_t size = 0;
  for (size_t i = 0; i < kSizeBytes; ++i) {
    size |= static_cast<size_t>(static_cast<unsigned char>(bytes[1 + i])) << (8 * i);
  }
  if (size > kMaxExpandedBytes) return std::nullopt;
  std::string out(size, '\0');
  uLongf n = size;
  const int result = uncompress(reinterpret_cast<Bytef*>(out.data()), &n,
                                reinterpret_cast<const Bytef*>(bytes.data() + 1 + kSizeBytes),
                                bytes.size() - 1 - kSizeBytes);
  if (result != Z_OK || n != size) return std::nullopt;
  return out;
}

json EncodeUpdate(const CatalogUpdate& update) {
  json changed = json::array();
  for (const BackendServer& server : update.changed) changed.push_back(Encode(server));
  json removed = json::array();
  for (const BackendServerId& id : update.removed) removed.push_back(id.Text());
  json evacuated;  // Null: unknown.
  if (update.evacuated) {
    evacuated = json::array();
    for (const FailureDomainId& id : *update.evacuated) evacuated.push_back(id.Text());
  }
  return {kUpdateKind,
          update.manifest_version,
          update.manifest_age.count(),
          update.servers_base_version,
          update.servers_version,
          update.servers_age.count(),
          std::move(changed),
          std::move(removed),
          update.sender.Text(),
          update.revision,
          update.reaches_store,
          json::binary(std::vector<uint8_t>(update.manifest.begin(), update.manifest.end())),
          update.is_snapshot,
          update.manifest_too_large,
          update.sender_rank,
          std::move(evacuated)};
}

CatalogMessage DecodeFields(const json& message) {
  const int kind = message.at(0).get<int>();
  if (kind == kPendingKind) return CatalogRequestPending{};
  if (kind == kRequestKind) {
    CatalogRequest request;
    const std::optional<Endpoint> reply_to = ParseEndpoint(message.at(1).get<std::string>());
    if (reply_to) request.reply_to = *reply_to;
    request.revision = message.at(2).get<uint64_t>();
    request.manifest_version = message.at(3).get<uint64_t>();
    request.servers_version = message.at(4).get<uint64_t>();
    request.forwards = message.at(5).get<uint32_t>();
    return request;
  }
  CatalogUpdate update;
  update.manifest_version = message.at(1).get<uint64_t>();
  update.manifest_age = milliseconds(message.at(2).get<int64_t>());
  update.servers_base_version = message.at(3).get<uint64_t>();
  update.servers_version = message.at(4).get<uint64_t>();
  update.servers_age = milliseconds(message.at(5).get<int64_t>());
  for (const json& row : message.at(6)) update.changed.push_back(DecodeServer(row));
  for (const json& id : message.at(7)) update.removed.emplace_back(id.get<std::string>());
  update.sender = EntryVmId(message.at(8).get<std::string>());
  update.revision = message.at(9).get<uint64_t>();
  update.reaches_store = message.at(10).get<bool>();
  const json::binary_t& manifest = message.at(11).get_binary();
  update.manifest.assign(manifest.begin(), manifest.end());
  update.is_snapshot = message.at(12).get<bool>();
  update.manifest_too_large = message.at(13).get<bool>();
  update.sender_rank = message.at(14).get<uint64_t>();
  // Builds before evacuations send a shorter array.
  if (message.size() > 15 && message.at(15).is_array()) {
    update.evacuated.emplace();
    for (const json& id : message.at(15)) {
      update.evacuated->emplace(id.get<std::string>());
    }
  }
  return update;
}

}  // namespace

std::string EncodeCatalogMessage(const CatalogMessage& message) {
  json fields;
  if (const auto* request = std::get_if<CatalogRequest>(&message)) {
    fields = {kRequestKind,
              request->reply_to.ToString(),
              request->revision,
              request->manifest_version,
              request->servers_version,
              request->forwards};
  } else if (const auto* update = std::get_if<CatalogUpdate>(&message)) {
    fields = EncodeUpdate(*update);
  } else {
    fields = json::array({kPendingKind});
  }
  std::string bytes;
  json::to_msgpack(fields, bytes);
  return bytes.size() > kCompressionThresholdBytes ? Compress(bytes) : bytes;
}

std::optional<CatalogMessage> DecodeCatalogMessage(const std::string& bytes) {
  const std::optional<std::string> expanded = Expand(bytes);
  if (!expanded || !IsShallowMsgpack(*expanded)) return std::nullopt;
  try {
    const json message = json::from_msgpack(*expanded);
    const int kind = message.at(0).get<int>();
    if (kind != kUpdateKind && kind != kRequestKind && kind != kPendingKind) return std::nullopt;
    return DecodeFields(message);
  } catch (const json::exception&) {
    return std::nullopt;  // The caller counts it as bad input.
  }
}

}  // namespace cowsliphill
