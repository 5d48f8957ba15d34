// Structured logs: one JSON object a line on stderr. For the loop's thread only.
#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "base/result.h"
#include "base/time.h"

namespace balsambay::log {

enum class level { kDebug, kInfo, kWarning, kError };

// "debug", "info", "warning" or "error". Errors: kInvalidArgument.
result<level> ParseLevel(std::string_view text);
std::string_view ToString(level value);

// Lines below `minimum` are dropped. The initial level is kInfo.
void SetLevel(level minimum);
bool IsEnabled(level value);

// One member of a line. Views must stay valid until Log() returns. The names "time", "level" and
// "message" are taken; a field with such a name or a repeated name is dropped.
struct field {
  std::string_view name;
  std::variant<bool, int64_t, uint64_t, double, std::string_view> value;

  field(std::string_view key, bool v) : name(key), value(v) {}
  field(std::string_view key, std::signed_integral auto v) : name(key), value(int64_t{v}) {}
  field(std::string_view key, std::unsigned_integral auto v) : name(key), value(uint64_t{v}) {}
  field(std::string_view key, double v) : name(key), value(v) {}
  field(std::string_view key, std::string_view v) : name(key), value(v) {}
  field(std::string_view key, const std::string& v) : name(key), value(std::string_view{v}) {}
  field(std::string_view key, const char* v) : name(key), value(std::string_view{v}) {}
};

// Log(level::kWarning, "attempt failed", {{"request", id}, {"attempt", 2}}). Never throws on any
// text: bytes that are not UTF-8 are written as U+FFFD, numbers that are not finite as null.
void Log(level value, std::string_view message, std::initializer_list<field> fields = {});

// Keeps the volume bounded: lines beyond the rate are counted and left out, and a line tells how
// many once there is room again. Warnings and errors have half of the burst for themselves.
struct line_limit {
  double lines_per_s = 200;  // a fault that touches every request of a small VM for a second
  double burst = 400;
  double tokens = 400;
  time_point at{};
  uint64_t left_out = 0;
};

// Whether a line may be written at `now`.
bool AdmitLine(line_limit& limit, level value, time_point now);

// From now on, writing never waits for a reader: what does not fit into the pipe is lost.
void NeverBlock();

// The line that Log() writes, without the newline. `wall_clock_ms` is Unix time.
std::string FormatLine(int64_t wall_clock_ms, level value, std::string_view message,
                       std::initializer_list<field> fields);

}  // namespace balsambay::log
