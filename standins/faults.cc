#include "standins/faults.h"

#include <nlohmann/json.hpp>

namespace cowsliphill::standins {

namespace {

using Json = nlohmann::json;

std::chrono::milliseconds Milliseconds(const Json& json, const char* key) {
  return std::chrono::milliseconds(json.value(key, int64_t{0}));
}

}  // namespace

std::optional<Faults> ParseFaults(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    Faults faults;
    faults.down = json.value("down", false);
    faults.slow = Milliseconds(json, "slow_ms");
    faults.old_reads = json.value("old_reads", false);
    faults.lost_answers = json.value("lost_answers", false);
    faults.lag = Milliseconds(json, "lag_ms");
    faults.delay = Milliseconds(json, "delay_ms");
    faults.cut_after = json.value("cut_after", uint64_t{0});
    faults.silent = json.value("silent", false);
    faults.pause = json.value("pause", false);
    faults.drop_new = json.value("drop_new", false);
    faults.probability = json.value("probability", 1.0);
    faults.seed = json.value("seed", uint64_t{1});
    return faults;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace cowsliphill::standins
