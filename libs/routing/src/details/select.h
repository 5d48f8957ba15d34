// Selection of the next stage among the candidates at one boundary.
#pragma once

#include <span>

#include "details/load.h"
#include "routing/routing.h"

namespace balsambay::routing::details {

// A request on its way through the graph.
struct walk {
  router& r;
  const route_request& request;
  std::span<const endpoint_view> views;
  random_generator& rng;
  planner::route stages = {};
  int cached_tokens = 0;  // held by every stage so far
};

// Fills stage_seconds and rest_seconds from the present load; needed once before SelectStage with
// kWeighted. Without the rest of the route, a stage of few layers would look cheaper than one of
// many.
void EstimateCosts(walk& w);

// Index into graph.stages of the stage to take at the boundary, or UINT32_MAX when none is usable.
uint32_t SelectStage(walk& w, uint32_t boundary, policy how);

// The usable endpoint to run from `layer` to its end, drawn by rate, slow start and load;
// UINT32_MAX when no endpoint holds the layer.
uint32_t SelectByRange(walk& w, int layer);

}  // namespace balsambay::routing::details
