// Builds a router and its layer graph from a plan.
#include <algorithm>

#include "details/load.h"
#include "routing/routing.h"

namespace balsambay::routing {
namespace {

// Index of the boundary at `layer`, which must be one of the graph.
uint32_t FindBoundary(const route_graph& graph, int layer) {
  const auto found =
      std::ranges::lower_bound(graph.boundaries, layer, {}, &route_graph::boundary::layer);
  return static_cast<uint32_t>(found - graph.boundaries.begin());
}

void AddBoundaries(route_graph& graph, const planner::plan& plan) {
  std::vector<int> layers = {graph.topo->model.layers};
  for (const planner::stage_flow& s : plan.stages) layers.push_back(s.stage.layers.first);
  std::ranges::sort(layers);
  layers.erase(std::unique(layers.begin(), layers.end()), layers.end());
  for (const int layer : layers) graph.boundaries.push_back({.layer = layer});
}

graph_stage MakeStage(const route_graph& graph, const planner::stage_flow& planned) {
  const details::stage_cost_input cost = details::DescribeStage(*graph.topo, planned.stage);
  return {.stage = planned.stage,
          .end_boundary = FindBoundary(graph, planned.stage.layers.end),
          .zone = graph.topo->endpoints[planned.stage.endpoint].zone,
          .planned_flow = static_cast<float>(planned.tokens_per_second),
          .layer_fraction = cost.layer_fraction,
          .decode_seconds_per_token = cost.decode_seconds_per_token,
          .prefill_seconds_per_token = cost.prefill_seconds_per_token};
}

// Copies the stages in the order of plan::stages, which is sorted by first layer.
void AddStages(route_graph& graph, const planner::plan& plan) {
  for (const planner::stage_flow& s : plan.stages) graph.stages.push_back(MakeStage(graph, s));
  for (route_graph::boundary& b : graph.boundaries) {
    const auto layer = [](const graph_stage& stage) { return stage.stage.layers.first; };
    const auto first = std::ranges::lower_bound(graph.stages, b.layer, {}, layer);
    const auto last = std::ranges::upper_bound(graph.stages, b.layer, {}, layer);
    b.first_stage = static_cast<uint32_t>(first - graph.stages.begin());
    b.end_stage = static_cast<uint32_t>(last - graph.stages.begin());
  }
}

// Fills boundary::inflow_share: first with the planned flow of each hop, then divided by the total
// flow into the zone.
void AddInflowShares(route_graph& graph, const planner::plan& plan) {
  const size_t zones = graph.topo->zones.size();
  for (route_graph::boundary& b : graph.boundaries) {
    if (b.layer > 0 && b.first_stage < b.end_stage) b.inflow_share.assign(zones * zones, 0);
  }
  for (const planner::hop_flow& hop : plan.hops) {
    std::vector<float>& share = graph.boundaries[FindBoundary(graph, hop.layer)].inflow_share;
    share[hop.from_zone * zones + hop.to_zone] = static_cast<float>(hop.tokens_per_second);
  }
  for (route_graph::boundary& b : graph.boundaries) {
    if (b.inflow_share.empty()) continue;
    for (size_t to_zone = 0; to_zone < zones; ++to_zone) {
      float inflow = 0;
      for (size_t from_zone = 0; from_zone < zones; ++from_zone) {
        inflow += b.inflow_share[from_zone * zones + to_zone];
      }
      if (inflow <= 0) continue;
      for (size_t from_zone = 0; from_zone < zones; ++from_zone) {
        b.inflow_share[from_zone * zones + to_zone] /= inflow;
      }
    }
  }
}

// Zones without a link between them get the latency 0.
void AddZoneLatency(route_graph& graph) {
  const planner::topology& topo = *graph.topo;
  for (const int32_t link : topo.zone_links) {
    const double latency_us = link < 0 ? 0 : topo.links[link].latency_us;
    graph.zone_latency.push_back(static_cast<float>(latency_us * 1e-6));
  }
}

}  // namespace

router MakeRouter(const planner::topology& topo, const planner::plan& plan, uint32_t entry_zone) {
  router r{.graph = {.topo = &topo, .entry_zone = entry_zone}};
  AddBoundaries(r.graph, plan);
  AddStages(r.graph, plan);
  AddInflowShares(r.graph, plan);
  AddZoneLatency(r.graph);
  r.next_round_robin.assign(r.graph.boundaries.size(), 0);
  r.reaches_end.assign(r.graph.boundaries.size(), 0);
  r.stage_seconds.assign(r.graph.stages.size(), 0);
  r.remaining_seconds.assign(r.graph.boundaries.size() * topo.zones.size(), 0);
  r.load.assign(topo.endpoints.size(), {});
  r.cached_tokens.assign(topo.endpoints.size(), 0);
  r.weights.assign(std::max(r.graph.stages.size(), topo.endpoints.size()), 0);
  return r;
}

}  // namespace balsambay::routing
