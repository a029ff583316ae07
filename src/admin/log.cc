#include "src/admin/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <array>
#include <ctime>
#include <nlohmann/json.hpp>

namespace cowsliphill {

namespace {

spdlog::level::level_enum LevelOf(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info", "warning", "error"};

std::string_view NameOfLevel(LogLevel level) { return kLevelNames[static_cast<size_t>(level)]; }

void AppendValue(std::string& line, const LogField& field) {
  if (const auto* text = std::get_if<std::string>(&field.value)) {
    line += JsonText(*text);
  } else if (const auto* n = std::get_if<int64_t>(&field.value)) {
    line += std::to_string(*n);
  } else if (const auto* x = std::get_if<double>(&field.value)) {
    line += nlohmann::json(*x).dump();
  } else {
    line += std::get<bool>(field.value) ? "true" : "false";
  }
}

}  // namespace

std::string JsonText(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string FormatWallTime(WallTime time) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 40> buf;
  const size_t n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  const int64_t millis = time.time_since_epoch().count() % 1000;
  return fmt::format("{}.{:03}Z", std::string_view(buf.data(), n), millis);
}

struct Log::Writer {
  explicit Writer(const LogSettings& settings)
      : pool(std::make_shared<spdlog::details::thread_pool>(settings.queue_entries, 1)),
        logger(std::make_shared<spdlog::async_logger>(
            "cowsliphill", std::make_shared<spdlog::sinks::stdout_sink_mt>(), pool,
            spdlog::async_overflow_policy::overrun_oldest)) {
    logger->set_pattern("%v");
    logger->set_level(LevelOf(settings.level));
    logger->flush_on(spdlog::level::info);
  }
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<spdlog::async_logger> logger;
};

Log::Log(const Clock& clock, const LogSettings& settings)
    : clock_(clock), level_(settings.level), writer_(std::make_unique<Writer>(settings)) {}

Log::~Log() = default;

void Log::Write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  if (!IsEnabled(level)) return;
  std::string line = "{\"time\":\"" + FormatWallTime(clock_.WallNow()) + "\",\"level\":\"";
  line.append(NameOfLevel(level)).append("\",\"event\":").append(JsonText(event));
  for (const LogField& field : fields) {
    line.append(",").append(JsonText(field.name)).append(":");
    AppendValue(line, field);
  }
  line += "}";
  writer_->logger->log(LevelOf(level), line);
}

uint64_t Log::Dropped() const { return writer_->pool->overrun_counter(); }

void Log::Flush() { writer_->logger->flush(); }

}  // namespace cowsliphill
