// Benchmark of planning time and plan memory by number of engines. Prints JSON lines. Shapes:
// "staged" has four accelerator kinds with fixed stages; "linked" also puts the first half of the
// layers into every other zone and the second half into the rest, with links that limit the plan;
// "random" gives every engine a random layer range.
#include <algorithm>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <numeric>
#include <string>

#include "base/random.h"
#include "planner/planner.h"

namespace balsambay::planner {
namespace {

constexpr int kLayers = 80;

std::string MakePaddedId(const char* prefix, int value) {
  const std::string digits = std::to_string(value);
  return prefix + std::string(6 - digits.size(), '0') + digits;
}

inventory::layer_range PickRange(random_generator& rng, const std::string& shape, int zone) {
  if (shape == "random") {
    const auto first = static_cast<int>(UniformBelow(rng, kLayers));
    const auto length = static_cast<int>(UniformBelow(rng, kLayers - first)) + 1;
    return {first, first + length};
  }
  // Larger accelerators hold more layers.
  const int stage_count = 1 << UniformBelow(rng, 4);
  const int width = kLayers / stage_count;
  const int stage_index = static_cast<int>(UniformBelow(rng, stage_count));
  const int stages_per_half = std::max(1, stage_count / 2);
  const int first = width * (shape == "linked" && stage_count > 1
                                 ? stage_index % stages_per_half + zone % 2 * stages_per_half
                                 : stage_index);
  return {first, first + width};
}

inventory::configuration MakeConfig(int engines, int zones, const std::string& shape) {
  random_generator rng(7);
  inventory::configuration config;
  config.models["m"] = {.layers = kLayers};
  for (int z = 0; z < zones; ++z) config.zones[MakePaddedId("z", z)] = {};
  for (int i = 0; i < engines; ++i) {
    const std::string id = MakePaddedId("e", i);
    const auto zone_index = static_cast<int>(UniformBelow(rng, zones));
    const std::string zone = MakePaddedId("z", zone_index);
    config.vms[id] = {.zone = zone};
    inventory::endpoint& e = config.endpoints[id];
    e.id = e.vm = id;
    e.zone = zone;
    e.model = "m";
    e.layers = PickRange(rng, shape, zone_index);
    e.tokens_per_second = 100.0 * (1 + static_cast<double>(UniformBelow(rng, 100)));
    e.prefill_tokens_per_second = 10000;
  }
  if (shape != "linked") return config;
  for (int a = 0; a < zones; ++a) {
    for (int b = 0; b < zones; ++b) {
      if (a == b) continue;
      const double megabytes_per_second =
          0.002 * engines * (1 + static_cast<double>(UniformBelow(rng, 100)));
      config.links.push_back(
          {MakePaddedId("z", a), MakePaddedId("z", b), 500, megabytes_per_second});
    }
  }
  return config;
}

size_t PlanBytes(const plan& p) {
  const size_t routes = std::accumulate(p.routes.begin(), p.routes.end(),
                                        p.routes.capacity() * sizeof(weighted_route),
                                        [](size_t sum, const weighted_route& r) {
                                          return sum + r.stages.capacity() * sizeof(stage);
                                        });
  return routes + p.stages.capacity() * sizeof(stage_flow) + p.hops.capacity() * sizeof(hop_flow);
}

double MeasureMilliseconds(auto work) {
  const auto start = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
      .count();
}

void RunBenchmark(int engines, const std::string& shape) {
  const int zones = engines < 500 ? 3 : 20;
  const inventory::configuration config = MakeConfig(engines, zones, shape);
  topology topo;
  const double topology_ms =
      MeasureMilliseconds([&] { topo = BuildTopology(config, "m").value(); });
  std::vector<uint8_t> usable(topo.endpoints.size(), 1);
  plan p;
  std::vector<double> plan_ms;
  for (int repetition = 0; repetition < 5; ++repetition) {
    plan_ms.push_back(MeasureMilliseconds([&] { p = MakePlan(topo, usable).value(); }));
  }
  std::ranges::sort(plan_ms);
  usable[0] = 0;
  const double interim_ms = MeasureMilliseconds([&] { RemoveUnusableRoutes(topo, p, usable); });
  std::cout << nlohmann::json{{"benchmark", "planning"},
                              {"shape", shape},
                              {"engines", engines},
                              {"zones", zones},
                              {"topology_ms", topology_ms},
                              {"plan_ms_median", plan_ms[2]},
                              {"plan_ms_max", plan_ms[4]},
                              {"interim_ms", interim_ms},
                              {"routes", p.routes.size()},
                              {"stages", p.stages.size()},
                              {"bound", p.bound},
                              {"bound_is_exact", p.bound_is_exact},
                              {"planned_ratio", p.planned_tokens_per_second / p.bound},
                              {"cut_links", p.cut.links.size()},
                              {"plan_bytes_per_engine", PlanBytes(p) / engines}}
            << std::endl;
}

}  // namespace
}  // namespace balsambay::planner

int main() {
  for (const char* shape : {"staged", "linked", "random"}) {
    for (const int engines : {50, 150, 500, 2000, 10000}) {
      balsambay::planner::RunBenchmark(engines, shape);
    }
  }
}
