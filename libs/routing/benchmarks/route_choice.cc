// Measures the time of one route choice, by number of endpoints and policy. Prints one JSON object
// for each line.
#include <algorithm>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "routing/routing.h"

namespace balsambay::routing {
namespace {

constexpr int kLayers = 80;
constexpr int kChoices = 20000;

inventory::configuration MakeConfig(int endpoints) {
  random_generator rng(7);
  inventory::configuration config;
  config.models["m"] = {.layers = kLayers};
  for (const char* zone : {"a", "b", "c"}) config.zones[zone] = {};
  for (int i = 0; i < endpoints; ++i) {
    const int width = kLayers >> UniformBelow(rng, 4);
    const int first = width * static_cast<int>(UniformBelow(rng, kLayers / width));
    const std::string id = "e" + std::to_string(i);
    inventory::endpoint& e = config.endpoints[id];
    e.id = e.vm = id;
    e.zone = std::string(1, static_cast<char>('a' + UniformBelow(rng, 3)));
    e.model = "m";
    e.layers = {first, first + width};
    e.tokens_per_second = 100.0 * (1 + static_cast<double>(UniformBelow(rng, 10)));
    e.prefill_tokens_per_second = 10000;
  }
  return config;
}

std::vector<endpoint_view> MakeViews(size_t count, random_generator& rng) {
  std::vector<endpoint_view> views(count);
  for (endpoint_view& v : views) {
    v.own_requests = static_cast<int>(UniformBelow(rng, 12));
    v.reported_requests = static_cast<int>(UniformBelow(rng, 20));
    v.report_age = duration(UniformBelow(rng, 1'000'000));
  }
  return views;
}

void RunBenchmark(int endpoints, routing_policy selection_policy, const std::string& policy_name) {
  const planner::topology topo = planner::BuildTopology(MakeConfig(endpoints), "m").value();
  const auto plan = planner::MakePlan(topo, std::vector<uint8_t>(topo.endpoints.size(), 1)).value();
  router r = MakeRouter(topo, plan, 0);
  random_generator rng(3);
  const std::vector<endpoint_view> views = MakeViews(topo.endpoints.size(), rng);
  std::vector<prefix_hit> hits;
  for (endpoint_index i = 0; i < 10; ++i) hits.push_back({.endpoint = i * 5, .tokens = 256});
  const std::vector<endpoint_index> excluded = {1};
  const route_request request{
      .prompt_tokens = 1000, .output_tokens = 100, .prefix_hits = hits, .excluded = excluded};
  std::vector<double> times;
  size_t stages = 0;
  for (int i = 0; i < kChoices; ++i) {
    const auto start = std::chrono::steady_clock::now();
    const auto choice = ChooseRoute(r, request, views, selection_policy, rng);
    const auto elapsed = std::chrono::steady_clock::now() - start;
    times.push_back(std::chrono::duration<double, std::micro>(elapsed).count());
    if (choice.has_value()) stages += choice.value().stages.size();
  }
  std::ranges::sort(times);
  std::cout << nlohmann::json{{"benchmark", "route_choice"},
                              {"policy", policy_name},
                              {"endpoints", endpoints},
                              {"graph_stages", r.graph.stages.size()},
                              {"us_median", times[kChoices / 2]},
                              {"us_p99", times[kChoices * 99 / 100]},
                              {"stages_mean", static_cast<double>(stages) / kChoices}}
            << std::endl;
}

}  // namespace
}  // namespace balsambay::routing

int main() {
  using balsambay::routing::routing_policy;
  for (const int endpoints : {50, 150, 500}) {
    balsambay::routing::RunBenchmark(endpoints, routing_policy::kRoundRobin, "round_robin");
    balsambay::routing::RunBenchmark(endpoints, routing_policy::kLeastInFlight, "least_in_flight");
    balsambay::routing::RunBenchmark(endpoints, routing_policy::kPowerOfTwo, "power_of_two");
    balsambay::routing::RunBenchmark(endpoints, routing_policy::kWeighted, "weighted");
  }
}
