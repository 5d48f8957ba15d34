// Time to read, validate and compare a document of the design size (10,000 engines, 440
// workspaces); prints one JSON line for each step, the best of several runs.
#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "base/time.h"
#include "inventory/document.h"
#include "inventory/inventory.h"

namespace {

using json = nlohmann::json;

constexpr int kRuns = 5;
constexpr int kZones = 20;
constexpr int kEngines = 10000;
constexpr int kWorkspaces = 440;

json Engine(int i) {
  const bool upper_half = (i / 3) % 2 == 1;
  return {{"kind", "engine"},
          {"vm", "v" + std::to_string(i)},
          {"address", "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":8000"},
          {"accelerator", "a100"},
          {"accelerator_count", 8},
          {"model", "m" + std::to_string(i % 3)},
          {"layers", upper_half ? json{40, 80} : json{0, 40}},
          {"tokens_per_second", 1000},
          {"prefill_tokens_per_second", 10000}};
}

json LargeDocument() {
  json out = {{"format", 1}, {"services", json::object()}};
  for (int i = 0; i < kZones; ++i) out["zones"]["z" + std::to_string(i)] = {{"region", "r"}};
  for (int i = 0; i < 3; ++i) out["models"]["m" + std::to_string(i)] = {{"layers", 80}};
  for (int i = 0; i < kEngines; ++i) {
    out["vms"]["v" + std::to_string(i)] = {{"zone", "z" + std::to_string(i % kZones)}};
    out["endpoints"]["e" + std::to_string(i)] = Engine(i);
  }
  for (int i = 0; i < kWorkspaces; ++i) {
    out["workspaces"]["w" + std::to_string(i)] = {{"share", 1}};
  }
  return out;
}

template <class Step>
void Measure(const char* name, Step step) {
  double best_ms = 1e9;
  for (int i = 0; i < kRuns; ++i) {
    const balsambay::time_point start = balsambay::MonotonicNow();
    step();
    const auto took = balsambay::MonotonicNow() - start;
    best_ms = std::min(best_ms, static_cast<double>(took.count()) / 1000);
  }
  std::printf("{\"benchmark\":\"inventory_%s\",\"ms\":%.1f}\n", name, best_ms);
}

}  // namespace

int main() {
  namespace inventory = balsambay::inventory;
  const json document = LargeDocument();
  const std::string text = document.dump();
  json changed = document;
  changed["endpoints"]["e5000"]["max_runs"] = 3;
  size_t errors = 0;
  Measure("json_parse", [&] { errors += json::parse(text).empty() ? 1 : 0; });
  Measure("read_text", [&] {
    std::vector<inventory::field_error> found;
    errors += inventory::ReadText(text, found) ? 0 : 1;
  });
  Measure("parse", [&] { errors += inventory::Parse(document).errors.size(); });
  Measure("diff", [&] { errors += inventory::Diff(document, changed).size() == 1 ? 0 : 1; });
  return errors == 0 ? 0 : 1;
}
