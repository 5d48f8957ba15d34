// Fixed cluster with overlapping ranges, rates 16-fold apart and links 100-fold apart.
#include "scenario.h"

#include <string>

namespace balsambay::experiment {
namespace {

struct engine_kind {
  const char* name;
  inventory::layer_range layers;
  double tokens_per_second;
  int max_runs;
  int count;
};

// For each zone in turn. Whole models run on the largest accelerators only.
constexpr engine_kind kKinds[] = {
    {"xl", {0, 80}, 900, 48, 2}, {"l", {0, 50}, 1000, 48, 2}, {"l", {30, 80}, 1000, 48, 2},
    {"m", {0, 40}, 800, 40, 2},  {"m", {40, 80}, 800, 40, 2}, {"s", {0, 20}, 700, 32, 1},
    {"s", {20, 40}, 700, 32, 1}, {"s", {40, 60}, 700, 32, 1},
};

void AddEngine(inventory::configuration& config, const std::string& zone, const engine_kind& kind,
               const std::string& id) {
  config.vms[id] = {.zone = zone};
  inventory::endpoint& e = config.endpoints[id];
  e.id = e.vm = id;
  e.zone = zone;
  e.accelerator = kind.name;
  e.model = "m";
  e.layers = kind.layers;
  e.tokens_per_second = kind.tokens_per_second;
  e.prefill_tokens_per_second = kind.tokens_per_second * kPrefillSpeedup;
  e.max_runs = kind.max_runs;
}

}  // namespace

inventory::configuration MakeCluster() {
  inventory::configuration config;
  config.models["m"] = {.layers = kLayers};
  for (const char* zone : {"a", "b", "c"}) {
    config.zones[zone] = {.region = "r"};
    for (const engine_kind& kind : kKinds) {
      for (int i = 0; i < kind.count; ++i) {
        const std::string id = "e" + std::to_string(100 + config.endpoints.size());
        AddEngine(config, zone, kind, id);
      }
    }
  }
  // Layers 60 to 80 of the small accelerators are in zone a only, so some routes cross zones.
  AddEngine(config, "a", {"s", {60, 80}, 1400, 64, 1}, "e139");
  config.links = {{"a", "b", 300, 1000}, {"b", "a", 300, 1000}, {"a", "c", 400, 1000},
                  {"c", "a", 400, 1000}, {"b", "c", 800, 10},   {"c", "b", 800, 10}};
  return config;
}

planner::endpoint_index PickVictim(const planner::topology& topo) {
  // The only engine of its kind, with the range [60, 80).
  for (planner::endpoint_index i = 0; i < topo.endpoints.size(); ++i) {
    if (topo.endpoints[i].layers.first == 60) return i;
  }
  return 0;
}

}  // namespace balsambay::experiment
