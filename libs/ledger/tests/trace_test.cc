// Replays the traces in tests/data. A trace states the outcomes with `expect` lines; its first line
// may name the fault with which the key must run twice.
#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "world.h"

namespace balsambay::ledger::testing {
namespace {

using nlohmann::json;

std::vector<json> ReadTrace(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::vector<json> lines;
  for (std::string line; std::getline(file, line);) lines.push_back(json::parse(line));
  return lines;
}

faults FaultNamed(const std::string& name) {
  faults broken;
  broken.lease.skip_read_back = name == "skip_read_back";
  broken.lease.skip_epoch_condition = name == "skip_epoch_condition";
  broken.admit_before_load = name == "admit_before_load";
  return broken;
}

std::vector<std::string> Replay(const std::vector<json>& trace, const std::string& fault) {
  const json& head = trace.front();
  settings config = TestSettings();
  if (head.contains("grant_ms")) {
    config.grant_time = std::chrono::milliseconds(head["grant_ms"].get<int>());
    config.retention = config.longest_run + 10 * config.grant_time;
  }
  const auto w = MakeWorld(head.at("daemons"), head.at("seed"), config, FaultNamed(fault));
  w->patience = std::chrono::milliseconds(head.value("patience_ms", 1000));
  w->ignore_grant_expiry = fault == "ignore_grant_expiry";
  for (size_t i = 1; i < trace.size(); ++i) Apply(*w, trace[i]);
  return w->violations;
}

bool RanTwice(const std::vector<std::string>& violations) {
  return std::ranges::any_of(violations, [](const std::string& violation) {
    return violation.find("but ran 2") != std::string::npos;
  });
}

TEST_CASE("recorded traces give the stated outcomes, and a double run without the mechanism") {
  int traces = 0;
  for (const auto& entry : std::filesystem::directory_iterator(BALSAMBAY_TEST_DATA)) {
    const auto trace = ReadTrace(entry.path());
    INFO(entry.path().filename().string());
    REQUIRE(trace.front().at("trace_format") == 1);
    CHECK(Replay(trace, "") == std::vector<std::string>{});
    const std::string fault = trace.front().value("red_with", "");
    if (!fault.empty()) CHECK(RanTwice(Replay(trace, fault)));
    ++traces;
  }
  CHECK(traces >= 6);
}

}  // namespace
}  // namespace balsambay::ledger::testing
