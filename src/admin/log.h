// Structured logs: one JSON object a line on standard output. Writing is asynchronous and bounded:
// the loop never waits for the writer; when the queue is full the oldest lines go and are counted.

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
  bool Writes(LogLevel level) const { return level >= level_; }
  uint64_t Dropped() const;  // Lines lost to a full queue.
  void Flush();

 private:
  struct Writer;

  const Clock& clock_;
  LogLevel level_;  // Lines below it are not written.
  std::unique_ptr<Writer> writer_;
};

// A text as a JSON string, with quotes. Invalid UTF-8 becomes the replacement character.
std::string JsonText(std::string_view text);

// ISO 8601 in UTC with milliseconds.
std::string FormatWallTime(WallTime time);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_ADMIN_LOG_H_
