// Planning time and plan memory by number of engines. Prints JSON lines. Shapes: "staged" has four
// accelerator kinds with fixed stages; "linked" has half of the layers in every other zone, and
// links that limit the plan; "random" gives every engine a random range.
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

std::string PaddedId(const char* prefix, int value) {
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
  const int parts = 1 << UniformBelow(rng, 4);
  const int width = kLayers / parts;
  const int part = static_cast<int>(UniformBelow(rng, parts));
  const int half = std::max(1, parts / 2);
  const int first = width * (shape == "linked" && parts > 1 ? part % half + zone % 2 * half : part);
  return {first, first + width};
}

inventory::configuration MakeConfig(int engines, int zones, const std::string& shape) {
  random_generator rng(7);
  inventory::configuration config;
  config.models["m"] = {.layers = kLayers};
  for (int z = 0; z < zones; ++z) config.zones[PaddedId("z", z)] = {};
  for (int i = 0; i < engines; ++i) {
    const std::string id = PaddedId("e", i);
    const auto zone_number = static_cast<int>(UniformBelow(rng, zones));
    const std::string zone = PaddedId("z", zone_number);
    config.vms[id] = {.zone = zone};
    inventory::endpoint& e = config.endpoints[id];
    e.id = e.vm = id;
    e.zone = zone;
    e.model = "m";
    e.layers = PickRange(rng, shape, zone_number);
    e.tokens_per_second = 100.0 * (1 + static_cast<double>(UniformBelow(rng, 100)));
    e.prefill_tokens_per_second = 10000;
  }
  if (shape != "linked") return config;
  for (int a = 0; a < zones; ++a) {
    for (int b = 0; b < zones; ++b) {
      if (a == b) continue;
      const double megabytes = 0.002 * engines * (1 + static_cast<double>(UniformBelow(rng, 100)));
      config.links.push_back({PaddedId("z", a), PaddedId("z", b), 500, megabytes});
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

double Milliseconds(auto work) {
  const auto start = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
      .count();
}

void Run(int engines, const std::string& shape) {
  const int zones = engines < 500 ? 3 : 20;
  const inventory::configuration config = MakeConfig(engines, zones, shape);
  topology topo;
  const double topology_ms = Milliseconds([&] { topo = BuildTopology(config, "m").value(); });
  std::vector<uint8_t> usable(topo.endpoints.size(), 1);
  plan p;
  std::vector<double> times;
  for (int run = 0; run < 5; ++run) {
    times.push_back(Milliseconds([&] { p = MakePlan(topo, usable).value(); }));
  }
  std::ranges::sort(times);
  usable[0] = 0;
  const double interim_ms = Milliseconds([&] { WithoutUnusable(topo, p, usable); });
  std::cout << nlohmann::json{{"benchmark", "planning"},
                              {"shape", shape},
                              {"engines", engines},
                              {"zones", zones},
                              {"topology_ms", topology_ms},
                              {"plan_ms_median", times[2]},
                              {"plan_ms_max", times[4]},
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
    for (const int engines : {50, 150, 500, 2000, 10000}) balsambay::planner::Run(engines, shape);
  }
}
