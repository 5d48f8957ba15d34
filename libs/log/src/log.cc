// Formats lines as JSON and writes them through easylogging++.
#include "log/log.h"

#include <easylogging++.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <nlohmann/json.hpp>

#include "base/time.h"

INITIALIZE_EASYLOGGINGPP

namespace balsambay::log {
namespace {

using json = nlohmann::ordered_json;

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info", "warning", "error"};

level& MinimumLevel() {
  static level minimum = level::kInfo;
  return minimum;
}

std::string UtcText(int64_t wall_clock_ms) {
  const std::time_t seconds = wall_clock_ms / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char date[32];
  char out[48];
  std::strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(out, sizeof out, "%s.%03dZ", date, static_cast<int>(wall_clock_ms % 1000));
  return out;
}

json FieldValue(const field& entry) {
  return std::visit([](const auto& value) { return json(value); }, entry.value);
}

// easylogging++ adds nothing of its own: no prefix, no colour, no file.
bool Configure() {
  el::Configurations settings;
  settings.setGlobally(el::ConfigurationType::Format, "%msg");
  settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  settings.setGlobally(el::ConfigurationType::ToFile, "false");
  settings.setGlobally(el::ConfigurationType::Enabled, "true");
  el::Loggers::reconfigureAllLoggers(settings);
  return true;
}

void Write(level value, const std::string& line) {
  static const bool configured = Configure();
  CheckInvariant(configured, "the log is configured before the first line");
  switch (value) {
    case level::kDebug:
      LOG(DEBUG) << line;
      return;
    case level::kInfo:
      LOG(INFO) << line;
      return;
    case level::kWarning:
      LOG(WARNING) << line;
      return;
    case level::kError:
      LOG(ERROR) << line;
      return;
  }
}

}  // namespace

result<level> ParseLevel(std::string_view text) {
  const auto* const it = std::ranges::find(kLevelNames, text);
  if (it != kLevelNames.end()) return static_cast<level>(it - kLevelNames.begin());
  return Failure(errc::kInvalidArgument,
                 "log level \"" + std::string(text) + "\" is none of debug, info, warning, error");
}

std::string_view ToString(level value) { return kLevelNames.at(static_cast<size_t>(value)); }

void SetLevel(level minimum) { MinimumLevel() = minimum; }

bool IsEnabled(level value) { return value >= MinimumLevel(); }

std::string FormatLine(int64_t wall_clock_ms, level value, std::string_view message,
                       std::initializer_list<field> fields) {
  json line;
  line["time"] = UtcText(wall_clock_ms);
  line["level"] = ToString(value);
  line["message"] = message;
  for (const field& entry : fields) line.emplace(std::string(entry.name), FieldValue(entry));
  return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool AdmitLine(line_limit& limit, level value, time_point now) {
  const double seconds = std::chrono::duration<double>(now - limit.at).count();
  limit.tokens = std::min(limit.burst, limit.tokens + seconds * limit.lines_per_s);
  limit.at = now;
  const double reserved = value >= level::kWarning ? 0 : limit.burst / 2;
  if (limit.tokens < 1 + reserved) {
    ++limit.left_out;
    return false;
  }
  limit.tokens -= 1;
  return true;
}

void NeverBlock() {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void Log(level value, std::string_view message, std::initializer_list<field> fields) {
  if (!IsEnabled(value)) return;
  static line_limit limit;
  if (!AdmitLine(limit, value, MonotonicNow())) return;
  // A full pipe leaves the stream in a failed state.
  std::cout.clear();
  if (const uint64_t left_out = std::exchange(limit.left_out, 0); left_out > 0) {
    Write(level::kWarning,
          FormatLine(WallClockMs(), level::kWarning, "log lines left out", {{"count", left_out}}));
  }
  Write(value, FormatLine(WallClockMs(), value, message, fields));
}

}  // namespace balsambay::log
