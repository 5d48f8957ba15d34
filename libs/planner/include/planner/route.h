// Routes through the layers of a model, and the check that a route runs each layer exactly once.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "base/result.h"
#include "inventory/inventory.h"

namespace balsambay::planner {

// Index into topology::endpoints. It stays the same for all plans of one topology.
using endpoint_index = uint32_t;

// One step of a route: the endpoint runs `layers`, which can be a part of the range that it holds.
struct stage {
  endpoint_index endpoint = 0;
  inventory::layer_range layers;
  bool operator==(const stage&) const = default;
};

using route = std::vector<stage>;

// Succeeds when the stages cover layers [0, model.layers) once, in order, with no gap, overlap or
// empty stage, and no endpoint appears twice, because an engine identifies a run by its id only.
// Error: kInvalidArgument, naming the first invalid stage, or the last layer of a route that is too
// short. Callers validate each route again before dispatch.
result<void> ValidateRoute(std::span<const stage> stages, const inventory::model& model);

}  // namespace balsambay::planner
