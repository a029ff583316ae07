// Structured logs: one JSON object per line on standard output. Writing is asynchronous through a
// bounded queue, so the event loop never waits for the writer. When the queue is full, the oldest
// lines are dropped and counted.

#ifndef COWSLIPHILL_ADMIN_LOG_H_
#define COWSLIPHILL_ADMIN_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "src/base/clock.h"
#include "src/settings/settings.h"

namespace cowsliphill {

struct LogField {
  std::string_view name;
  std::variant<std::string, int64_t, double, bool> value;
};

class Log {
 public:
  Log(const Clock& clock, const LogSettings& settings);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  void Write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);
  bool IsEnabled(LogLevel level) const { return level >= level_; }
  uint64_t Dropped() const;  // Number of lines dropped because the queue was full.
  void Flush();

 private:
  struct Writer;

  const Clock& clock_;
  LogLevel level_;  // Lines below it are not written.
  std::unique_ptr<Writer> writer_;
};

// Returns the text as a quoted JSON string. Invalid UTF-8 becomes the replacement character.
std::string JsonText(std::string_view text);

// Returns the time in ISO 8601 format, in UTC with milliseconds.
std::string FormatWallTime(WallTime time);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_ADMIN_LOG_H_
