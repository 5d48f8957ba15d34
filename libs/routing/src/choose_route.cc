// Assembly of a route from selected stages.
#include <algorithm>

#include "details/select.h"
#include "routing/routing.h"

namespace balsambay::routing {
namespace {

using details::walk;

constexpr uint32_t kNone = UINT32_MAX;

void MeasureLoads(router& r, const route_request& request, std::span<const endpoint_view> views) {
  details::MeasureLoads(views, r.load);
  for (const endpoint_index e : request.excluded) {
    if (e < r.load.size()) r.load[e].weight = 0;
  }
}

// Marks, from the end, the boundaries from which allowed stages lead to the end.
void MarkCompletes(router& r) {
  const size_t last = r.graph.boundaries.size() - 1;
  r.completes[last] = 1;
  for (size_t b = last; b-- > 0;) {
    const route_graph::boundary& here = r.graph.boundaries[b];
    const auto first = r.graph.stages.begin() + here.first_stage;
    const auto end = r.graph.stages.begin() + here.last_stage;
    r.completes[b] = std::any_of(first, end, [&](const graph_stage& s) {
      return r.load[s.stage.endpoint].weight > 0 && r.completes[s.end_boundary] != 0;
    });
  }
}

void Append(walk& w, const planner::stage& next) {
  const int held = w.r.cached[next.endpoint];
  w.cached_tokens = w.stages.empty() ? held : std::min(w.cached_tokens, held);
  w.stages.push_back(next);
}

// False when no planned stages lead to the end.
bool WalkPlannedStages(walk& w, policy how) {
  const route_graph& graph = w.r.graph;
  if (graph.boundaries.front().layer != 0 || w.r.completes.front() == 0) return false;
  if (how == policy::kWeighted) details::EstimateCosts(w);
  uint32_t boundary = 0;
  while (boundary + 1 < graph.boundaries.size()) {
    const uint32_t index = details::SelectStage(w, boundary, how);
    if (index == kNone) return false;
    Append(w, graph.stages[index].stage);
    boundary = graph.stages[index].end_boundary;
  }
  return true;
}

// Covers the layers with whole remaining ranges. Each endpoint runs to its end, so none can be
// needed twice.
bool WalkRanges(walk& w) {
  w.stages.clear();
  w.cached_tokens = 0;
  const planner::topology& topo = *w.r.graph.topo;
  int layer = 0;
  while (layer < topo.model.layers) {
    const uint32_t endpoint = details::SelectByRange(w, layer);
    if (endpoint == kNone) return false;
    const int end = topo.endpoints[endpoint].layers.end;
    Append(w, {.endpoint = endpoint, .layers = {layer, end}});
    layer = end;
  }
  return true;
}

std::string DescribeMissing(const router& r) {
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
  return "no usable endpoint for " + planner::DescribeLayers(missing);
}

void SetCached(router& r, std::span<const prefix_hit> hits, bool clear) {
  for (const prefix_hit& hit : hits) {
    if (hit.endpoint < r.cached.size()) r.cached[hit.endpoint] = clear ? 0 : hit.tokens;
  }
}

}  // namespace

result<route_choice> ChooseRoute(router& r, const route_request& request,
                                 std::span<const endpoint_view> views, policy how,
                                 random_generator& rng) {
  if (views.size() != r.graph.topo->endpoints.size()) {
    return Failure(errc::kInvalidArgument,
                   "`views` has " + std::to_string(views.size()) + " entries for " +
                       std::to_string(r.graph.topo->endpoints.size()) + " endpoints");
  }
  MeasureLoads(r, request, views);
  MarkCompletes(r);
  SetCached(r, request.prefix_hits, false);
  walk w{.r = r, .request = request, .views = views, .rng = rng};
  const bool planned = WalkPlannedStages(w, how);
  const bool found = planned || WalkRanges(w);
  SetCached(r, request.prefix_hits, true);
  if (!found) return Failure(errc::kUnavailable, DescribeMissing(r));
  route_choice choice{.stages = std::move(w.stages),
                      .cached_tokens = std::min(w.cached_tokens, request.prompt_tokens),
                      .is_planned = planned,
                      .estimate = {}};
  choice.estimate = EstimateRoute(r.graph, choice.stages, request, choice.cached_tokens, views);
  return choice;
}

}  // namespace balsambay::routing
