// Assembles a route from planned stages, or from layer ranges when the planned stages do not
// suffice.
#include <algorithm>

#include "details/select.h"
#include "routing/routing.h"

namespace balsambay::routing {
namespace {

using details::route_search;

// Returned by the selection functions when there is no candidate.
constexpr uint32_t kNoIndex = UINT32_MAX;

// Fills r.load and gives the excluded endpoints the weight 0.
void MeasureLoadsWithExclusions(router& r, const route_request& request,
                                std::span<const endpoint_view> views) {
  details::MeasureLoads(views, r.load);
  for (const endpoint_index e : request.excluded) {
    if (e < r.load.size()) r.load[e].weight = 0;
  }
}

// Marks the boundaries from which stages on usable endpoints lead to the last layer, from the last
// boundary backwards.
void MarkBoundariesThatReachEnd(router& r) {
  const size_t last = r.graph.boundaries.size() - 1;
  r.reaches_end[last] = 1;
  for (size_t b = last; b-- > 0;) {
    const route_graph::boundary& boundary = r.graph.boundaries[b];
    const auto first = r.graph.stages.begin() + boundary.first_stage;
    const auto end = r.graph.stages.begin() + boundary.end_stage;
    r.reaches_end[b] = std::any_of(first, end, [&](const graph_stage& s) {
      return r.load[s.stage.endpoint].weight > 0 && r.reaches_end[s.end_boundary] != 0;
    });
  }
}

void AppendStage(route_search& search, const planner::stage& stage) {
  const int held = search.r.cached_tokens[stage.endpoint];
  search.cached_tokens = search.stages.empty() ? held : std::min(search.cached_tokens, held);
  search.stages.push_back(stage);
}

// Returns false when no planned stages on usable endpoints lead to the last layer.
bool AppendPlannedStages(route_search& search, routing_policy selection_policy) {
  const route_graph& graph = search.r.graph;
  if (graph.boundaries.front().layer != 0 || search.r.reaches_end.front() == 0) return false;
  if (selection_policy == routing_policy::kWeighted) details::EstimateCosts(search);
  uint32_t boundary = 0;
  while (boundary + 1 < graph.boundaries.size()) {
    const uint32_t index = details::SelectStage(search, boundary, selection_policy);
    if (index == kNoIndex) return false;
    AppendStage(search, graph.stages[index].stage);
    boundary = graph.stages[index].end_boundary;
  }
  return true;
}

// Replaces the stages by layer ranges. Each endpoint runs to the end of its range, so that none can
// be needed twice. Returns false when no usable endpoint holds some layer.
bool AppendEndpointRanges(route_search& search) {
  search.stages.clear();
  search.cached_tokens = 0;
  const planner::topology& topo = *search.r.graph.topo;
  int layer = 0;
  while (layer < topo.model.layers) {
    const uint32_t endpoint = details::SelectByRange(search, layer);
    if (endpoint == kNoIndex) return false;
    const int end = topo.endpoints[endpoint].layers.end;
    AppendStage(search, {.endpoint = endpoint, .layers = {layer, end}});
    layer = end;
  }
  return true;
}

// Error text that names the layers that no usable endpoint holds.
std::string DescribeMissingLayers(const router& r) {
  const planner::topology& topo = *r.graph.topo;
  std::vector<inventory::layer_range> missing;
  for (int layer = 0; layer < topo.model.layers; ++layer) {
    bool held = false;
    for (size_t i = 0; i < r.load.size() && !held; ++i) {
      const inventory::layer_range& range = topo.endpoints[i].layers;
      held = r.load[i].weight > 0 && range.first <= layer && layer < range.end;
    }
    if (held) continue;
    if (missing.empty() || missing.back().end != layer) missing.push_back({layer, layer});
    ++missing.back().end;
  }
  return "no usable endpoint for " + planner::FormatLayerRanges(missing);
}

// Copies the prefix hits to r.cached_tokens, or resets the entries of their endpoints to zero.
void SetCachedTokens(router& r, std::span<const prefix_hit> hits, bool clear) {
  for (const prefix_hit& hit : hits) {
    if (hit.endpoint < r.cached_tokens.size()) {
      r.cached_tokens[hit.endpoint] = clear ? 0 : hit.tokens;
    }
  }
}

}  // namespace

result<route_choice> ChooseRoute(router& r, const route_request& request,
                                 std::span<const endpoint_view> views,
                                 routing_policy selection_policy, random_generator& rng) {
  if (views.size() != r.graph.topo->endpoints.size()) {
    return Failure(errc::kInvalidArgument,
                   "`views` has " + std::to_string(views.size()) + " entries for " +
                       std::to_string(r.graph.topo->endpoints.size()) + " endpoints");
  }
  MeasureLoadsWithExclusions(r, request, views);
  MarkBoundariesThatReachEnd(r);
  SetCachedTokens(r, request.prefix_hits, false);
  route_search search{.r = r, .request = request, .views = views, .rng = rng};
  const bool planned = AppendPlannedStages(search, selection_policy);
  const bool found = planned || AppendEndpointRanges(search);
  SetCachedTokens(r, request.prefix_hits, true);
  if (!found) return Failure(errc::kUnavailable, DescribeMissingLayers(r));
  route_choice choice{.stages = std::move(search.stages),
                      .cached_tokens = std::min(search.cached_tokens, request.prompt_tokens),
                      .is_planned = planned,
                      .estimate = {}};
  choice.estimate =
      EstimateRouteLatency(r.graph, choice.stages, request, choice.cached_tokens, views);
  return choice;
}

}  // namespace balsambay::routing
