#include "src/choose/leaving_message.h"

#include <nlohmann/json.hpp>

namespace cowsliphill {

namespace {
constexpr int kLeavingVersion = 1;
}  // namespace

std::string EncodeLeaving(const LeavingMessage& message) {
  nlohmann::json servers = nlohmann::json::array();
  for (const BackendServerId& server : message.servers) servers.push_back(server.Text());
  const nlohmann::json json = {{"v", kLeavingVersion}, {"servers", std::move(servers)}};
  const auto bytes = nlohmann::json::to_msgpack(json);
  return {bytes.begin(), bytes.end()};
}

std::optional<LeavingMessage> DecodeLeaving(const std::string& bytes) {
  const auto json = nlohmann::json::from_msgpack(bytes, true, false);
  try {
    if (json.at("v").get<int>() != kLeavingVersion) return std::nullopt;
    const nlohmann::json& servers = json.at("servers");
    if (!servers.is_array() || servers.size() > kMostLeavingServers) return std::nullopt;
    LeavingMessage message;
    for (const nlohmann::json& server : servers) {
      message.servers.emplace_back(server.get<std::string>());
    }
    return message;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace cowsliphill
