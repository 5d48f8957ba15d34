// Replays the traces in tests/data. The first line of a trace holds its settings: `patience_ms` is
// the time after which a claimant without a grant gives up, and `red_with` names the fault with
// which the key must run twice. The other lines are operations of the simulation; `expect` lines
// state the outcomes.
#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "simulation.h"

namespace balsambay::ledger::testing {
namespace {

using nlohmann::json;

std::vector<json> ReadTrace(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::vector<json> lines;
  for (std::string line; std::getline(file, line);) lines.push_back(json::parse(line));
  return lines;
}

// Faults with the member `name` set; none for other names.
faults FaultNamed(const std::string& name) {
  faults test_faults;
  test_faults.lease.skip_read_back = name == "skip_read_back";
  test_faults.lease.skip_epoch_condition = name == "skip_epoch_condition";
  test_faults.admit_before_load = name == "admit_before_load";
  return test_faults;
}

std::vector<std::string> Replay(const std::vector<json>& trace, const std::string& fault) {
  const json& header = trace.front();
  settings config = TestSettings();
  if (header.contains("grant_ms")) {
    config.grant_time = std::chrono::milliseconds(header["grant_ms"].get<int>());
    config.retention = config.longest_run + 10 * config.grant_time;
  }
  const auto sim =
      MakeSimulation(header.at("daemons"), header.at("seed"), config, FaultNamed(fault));
  sim->grant_timeout = std::chrono::milliseconds(header.value("patience_ms", 1000));
  sim->ignore_grant_expiry = fault == "ignore_grant_expiry";
  for (size_t i = 1; i < trace.size(); ++i) Apply(*sim, trace[i]);
  return sim->violations;
}

bool RanTwice(const std::vector<std::string>& violations) {
  return std::ranges::any_of(violations, [](const std::string& violation) {
    return violation.find("but ran 2") != std::string::npos;
  });
}

TEST_CASE(
    "recorded traces give the expected outcomes, and the key runs twice with the fault of the "
    "trace") {
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
