// Tests of log lines.
#include "log/log.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace balsambay::log {
namespace {

// Collects what is written to std::cerr.
struct cerr_capture {
  std::ostringstream text;
  std::streambuf* previous = std::cerr.rdbuf(text.rdbuf());
  ~cerr_capture() { std::cerr.rdbuf(previous); }
};

TEST_CASE("a line is one JSON object with time, level, message and fields in order") {
  CHECK(
      FormatLine(1796349600007, level::kWarning, "attempt failed",
                 {{"request", std::string("r1")},
                  {"attempt", 2},
                  {"bytes", size_t{3}},
                  {"load", 0.5},
                  {"whole", false},
                  {"reason", "stage_lost"},
                  {"level", "field with a taken name"},
                  {"bad", std::nan("")}}) ==
      "{\"time\":\"2026-12-04T02:00:00.007Z\",\"level\":\"warning\",\"message\":\"attempt failed\","
      "\"request\":\"r1\",\"attempt\":2,\"bytes\":3,\"load\":0.5,\"whole\":false,"
      "\"reason\":\"stage_lost\",\"bad\":null}");
}

TEST_CASE("any bytes give one line of valid JSON; guards against exceptions and split lines") {
  CHECK(rc::check("bytes", [](const std::string& message, const std::string& value) {
    const std::string line = FormatLine(0, level::kInfo, message, {{"value", value}});
    RC_ASSERT(line.find('\n') == std::string::npos);
    RC_ASSERT(nlohmann::json::parse(line).contains("value"));
  }));
  const std::string line = FormatLine(0, level::kInfo, "\xff\xc3(", {{"\xfe", "\xf0\x9f"}});
  CHECK(nlohmann::json::parse(line)["message"] == "\xef\xbf\xbd\xef\xbf\xbd(");
}

TEST_CASE("lines go to stderr without any addition, from the level on; format marks stay text") {
  cerr_capture captured;
  SetLevel(level::kWarning);
  Log(level::kInfo, "dropped");
  Log(level::kError, "100%msg %datetime %level", {{"a", 1}});
  Log(level::kWarning, "second");
  SetLevel(level::kInfo);
  std::istringstream lines(captured.text.str());
  std::string line;
  std::vector<std::string> messages;
  while (std::getline(lines, line)) messages.push_back(nlohmann::json::parse(line)["message"]);
  CHECK(messages == std::vector<std::string>{"100%msg %datetime %level", "second"});
}

TEST_CASE("levels are read by name and others refused") {
  CHECK(ParseLevel("debug").value() == level::kDebug);
  CHECK(ParseLevel("error").value() == level::kError);
  CHECK(ParseLevel("loud").error().code == errc::kInvalidArgument);
}

// A fault that touches every request: the volume stays bounded, warnings still come through.
TEST_CASE("lines beyond the rate are left out and counted") {
  line_limit limit;
  time_point now{};
  limit.at = now;
  int written = 0;
  for (int i = 0; i < 10'000; ++i) {
    now += std::chrono::microseconds(100);
    if (AdmitLine(limit, level::kInfo, now)) ++written;
  }
  CHECK(written == Approx(200 + 200).margin(2));
  CHECK(limit.left_out == static_cast<uint64_t>(10'000 - written));
  CHECK(AdmitLine(limit, level::kWarning, now));
}

}  // namespace
}  // namespace balsambay::log
