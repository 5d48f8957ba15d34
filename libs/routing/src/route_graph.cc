// Builds the graph that choices walk.
#include <algorithm>

#include "details/load.h"
#include "routing/routing.h"

namespace balsambay::routing {
namespace {

uint32_t BoundaryAt(const route_graph& graph, int layer) {
  const auto found =
      std::ranges::lower_bound(graph.boundaries, layer, {}, &route_graph::boundary::layer);
  return static_cast<uint32_t>(found - graph.boundaries.begin());
}

void AddBoundaries(route_graph& graph, const planner::plan& p) {
  std::vector<int> layers = {graph.topo->model.layers};
  for (const planner::stage_flow& s : p.stages) layers.push_back(s.stage.layers.first);
  std::ranges::sort(layers);
  layers.erase(std::unique(layers.begin(), layers.end()), layers.end());
  for (const int layer : layers) graph.boundaries.push_back({.layer = layer});
}

graph_stage MakeStage(const route_graph& graph, const planner::stage_flow& planned) {
  const details::stage_cost_input cost = details::DescribeStage(*graph.topo, planned.stage);
  return {.stage = planned.stage,
          .end_boundary = BoundaryAt(graph, planned.stage.layers.end),
          .zone = graph.topo->endpoints[planned.stage.endpoint].zone,
          .flow = static_cast<float>(planned.tokens_per_second),
          .model_share = cost.model_share,
          .seconds_per_token = cost.seconds_per_token,
          .seconds_per_prefill = cost.seconds_per_prefill};
}

// plan::stages is sorted by first layer already.
void AddStages(route_graph& graph, const planner::plan& p) {
  for (const planner::stage_flow& s : p.stages) graph.stages.push_back(MakeStage(graph, s));
  for (route_graph::boundary& b : graph.boundaries) {
    const auto layer = [](const graph_stage& stage) { return stage.stage.layers.first; };
    const auto first = std::ranges::lower_bound(graph.stages, b.layer, {}, layer);
    const auto last = std::ranges::upper_bound(graph.stages, b.layer, {}, layer);
    b.first_stage = static_cast<uint32_t>(first - graph.stages.begin());
    b.last_stage = static_cast<uint32_t>(last - graph.stages.begin());
  }
}

void AddHops(route_graph& graph, const planner::plan& p) {
  const size_t zones = graph.topo->zones.size();
  for (route_graph::boundary& b : graph.boundaries) {
    if (b.layer > 0 && b.first_stage < b.last_stage) b.hop_share.assign(zones * zones, 0);
  }
  for (const planner::hop_flow& h : p.hops) {
    std::vector<float>& share = graph.boundaries[BoundaryAt(graph, h.layer)].hop_share;
    share[h.from_zone * zones + h.to_zone] = static_cast<float>(h.tokens_per_second);
  }
  for (route_graph::boundary& b : graph.boundaries) {
    if (b.hop_share.empty()) continue;
    for (size_t to = 0; to < zones; ++to) {
      float inflow = 0;
      for (size_t from = 0; from < zones; ++from) inflow += b.hop_share[from * zones + to];
      if (inflow <= 0) continue;
      for (size_t from = 0; from < zones; ++from) b.hop_share[from * zones + to] /= inflow;
    }
  }
}

void AddZoneLatency(route_graph& graph) {
  const planner::topology& topo = *graph.topo;
  for (const int32_t link : topo.zone_links) {
    const double us = link < 0 ? 0 : topo.links[link].latency_us;
    graph.zone_latency.push_back(static_cast<float>(us * 1e-6));
  }
}

}  // namespace

router MakeRouter(const planner::topology& topo, const planner::plan& p, uint32_t entry_zone) {
  router r{.graph = {.topo = &topo, .entry_zone = entry_zone}};
  AddBoundaries(r.graph, p);
  AddStages(r.graph, p);
  AddHops(r.graph, p);
  AddZoneLatency(r.graph);
  r.next_in_turn.assign(r.graph.boundaries.size(), 0);
  r.completes.assign(r.graph.boundaries.size(), 0);
  r.stage_seconds.assign(r.graph.stages.size(), 0);
  r.rest_seconds.assign(r.graph.boundaries.size() * topo.zones.size(), 0);
  r.load.assign(topo.endpoints.size(), {});
  r.cached.assign(topo.endpoints.size(), 0);
  r.weights.assign(std::max(r.graph.stages.size(), topo.endpoints.size()), 0);
  return r;
}

}  // namespace balsambay::routing
