// Selection of the next stage among the candidates at one boundary.
#pragma once

#include <span>

#include "details/load.h"
#include "routing/routing.h"

namespace balsambay::routing::details {

// State of the assembly of one route.
struct route_search {
  router& r;
  const route_request& request;
  std::span<const endpoint_view> views;
  random_generator& rng;
  planner::route stages = {};  // selected so far
  int cached_tokens = 0;       // length of the prefix that every selected stage holds
};

// Fills stage_seconds and remaining_seconds from the present load. Must be called once before
// SelectStage with kWeighted. Without the cost of the remaining route, a stage of few layers would
// look cheaper than one of many.
void EstimateCosts(route_search& search);

// Returns the index into graph.stages of the stage selected at the boundary, or UINT32_MAX when
// none is usable.
uint32_t SelectStage(route_search& search, uint32_t boundary, routing_policy selection_policy);

// Returns a usable endpoint that holds `layer`, drawn by rate, slow start and load, or UINT32_MAX
// when there is none. The endpoint runs its layers from `layer` to the end of its range.
uint32_t SelectByRange(route_search& search, int layer);

}  // namespace balsambay::routing::details
