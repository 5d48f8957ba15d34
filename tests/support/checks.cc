// Journal checks.
#include "checks.h"

#include <algorithm>
#include <set>

namespace balsambay::system_test {
namespace {

using nlohmann::json;

std::string TraceFault(const json& trace, int layers) {
  int next = 0;
  for (const json& stage : trace) {
    if (stage.at("layers").at(0) != next)
      return "gap or overlap before layer " + stage.at("layers").at(0).dump();
    next = stage.at("layers").at(1);
  }
  return next == layers ? "" : "layers from " + std::to_string(next) + " did not run";
}

}  // namespace

int StartsOf(const std::vector<json>& journals, const std::string& text) {
  return static_cast<int>(std::ranges::count_if(journals, [&](const json& entry) {
    return entry.at("event") == "start" && entry.value("body", "").find(text) != std::string::npos;
  }));
}

std::string FindLayerFault(const std::vector<json>& journals, int layers) {
  std::set<std::pair<std::string, int>> seen;
  for (const json& entry : journals) {
    if (entry.at("event") != "token") continue;
    const std::string run = entry.at("run");
    const int index = entry.at("index");
    const std::string name = "run " + run + " token " + std::to_string(index) + ": ";
    if (!seen.insert({run, index}).second) return name + "ran twice";
    const std::string fault = TraceFault(entry.at("trace"), layers);
    if (!fault.empty()) return name + fault;
  }
  return "";
}

int CountStarts(const std::vector<json>& journal) {
  return static_cast<int>(std::ranges::count_if(
      journal, [](const json& entry) { return entry.at("event") == "start"; }));
}

}  // namespace balsambay::system_test
